package acceptor_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/acceptor"
	"foxtaillug.org/foxtaild/internal/prober"
)

const (
	firstRequest  = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"
	secondRequest = "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"
	// readsBound exceeds the number of reads of a test's connection.
	readsBound = 64
)

// gate reports and holds the reads of the connections of a listener.
type gate struct {
	net.Listener
	// entered receives a value when a read begins, and arrived the number of
	// bytes of a read, which returns after a value has been sent to release.
	entered, release chan struct{}
	arrived          chan int
	// closes counts the calls of Close.
	closes atomic.Int32
	// raw is the connection that was accepted last.
	raw net.Conn
}

func newGate(l net.Listener) *gate {
	return &gate{Listener: l, entered: make(chan struct{}, readsBound), release: make(chan struct{}, readsBound), arrived: make(chan int, readsBound)}
}

func (g *gate) Close() error {
	g.closes.Add(1)
	return g.Listener.Close()
}

func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	g.raw = c
	return gatedConn{c, g}, err
}

// gatedConn is a connection of a gate.
type gatedConn struct {
	net.Conn
	gate *gate
}

func (c gatedConn) Read(b []byte) (int, error) {
	c.gate.entered <- struct{}{}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.gate.arrived <- n
		<-c.gate.release
	}
	return n, err
}

func (c gatedConn) NetConn() net.Conn { return c.Conn }

func (c gatedConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// server is an http.Server behind an acceptor and a gate, with a caller's connection.
type server struct {
	*http.Server
	gate     *gate
	acceptor *acceptor.Acceptor
	caller   net.Conn
	reader   *bufio.Reader
	// served counts the requests that the handler has received.
	served atomic.Int32
	// handling receives a value when the handler is called, which returns when
	// it receives a value from handled; both are nil if the handler does not wait.
	handling, handled chan struct{}
}

// newServer starts a server. onState is called after Track if it is not nil.
func newServer(t *testing.T, limits acceptor.Limits, onState func(*server, http.ConnState)) *server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{gate: newGate(l), acceptor: acceptor.New(func() acceptor.Limits { return limits })}
	s.Server = &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			s.served.Add(1)
			if s.handled != nil {
				s.handling <- struct{}{}
				<-s.handled
			}
			_, _ = io.Copy(io.Discard, r.Body)
		}),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.acceptor.Track(c, state)
			if onState != nil {
				onState(s, state)
			}
		},
	}
	go func() { _ = s.Serve(s.acceptor.Wrap(s.gate)) }()
	t.Cleanup(func() { _ = s.Close() })
	if s.caller, err = net.Dial("tcp4", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.caller.Close() })
	if err := s.caller.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	s.reader = bufio.NewReader(s.caller)
	return s
}

// send sends text to the server.
func (s *server) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(s.caller, text); err != nil {
		t.Fatal(err)
	}
}

// hold makes the handler wait for a value from handled.
func (s *server) hold() {
	s.handling, s.handled = make(chan struct{}, readsBound), make(chan struct{}, readsBound)
}

// exchange sends a request, receives its response and waits until the server reads
// for the next request.
func (s *server) exchange(t *testing.T) {
	t.Helper()
	s.gate.release <- struct{}{}
	s.send(t, firstRequest)
	wait(t, s.gate.arrived)
	s.receive(t)
	// The server has read for the first request and ahead during it.
	for range 3 {
		wait(t, s.gate.entered)
	}
}

// receive returns the next response's status.
func (s *server) receive(t *testing.T) int {
	t.Helper()
	resp, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		t.Fatalf("no response after the handler received %d requests: %v", s.served.Load(), err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// wait waits for a value from c.
func wait[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("timeout")
	}
	return v
}

// TestRequestThatHasBegunIsNotClosedAsIdle sweeps a connection after its timeout at
// different moments of a request.
func TestRequestThatHasBegunIsNotClosedAsIdle(t *testing.T) {
	limits := acceptor.Limits{IdleTimeout: 10 * time.Second, HeaderTimeout: time.Hour}
	sweep := func(s *server) { s.acceptor.Sweep(time.Now().Add(2 * limits.IdleTimeout)) }
	sweepHeaders := func(s *server) { s.acceptor.Sweep(time.Now().Add(2 * limits.HeaderTimeout)) }
	sweepWhenFirstIdle := func() func(*server, http.ConnState) {
		var once sync.Once
		return func(s *server, state http.ConnState) {
			if state == http.StateIdle {
				once.Do(func() { sweep(s) })
			}
		}
	}
	sweepUnread := func() func(*server, http.ConnState) {
		var once sync.Once
		return func(s *server, state http.ConnState) {
			if state != http.StateIdle {
				return
			}
			once.Do(func() {
				_, _ = io.WriteString(s.caller, secondRequest)
				for prober.Probe(s.gate.raw) != prober.Readable {
					runtime.Gosched()
				}
				sweep(s)
			})
		}
	}
	tests := map[string]struct {
		onState func(*server, http.ConnState)
		play    func(*testing.T, *server)
		// responses is the number of responses that the caller must receive.
		responses int
	}{
		"before the read returns": {nil, func(t *testing.T, s *server) {
			s.send(t, firstRequest)
			wait(t, s.gate.arrived)
			sweep(s)
			s.gate.release <- struct{}{}
		}, 1},
		"before the read of a part returns": {nil, func(t *testing.T, s *server) {
			s.send(t, firstRequest[:10])
			wait(t, s.gate.arrived)
			sweep(s)
			s.gate.release <- struct{}{}
			s.gate.release <- struct{}{}
			s.send(t, firstRequest[10:])
		}, 1},
		"while its body is read": {nil, func(t *testing.T, s *server) {
			s.send(t, "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
			wait(t, s.gate.arrived)
			s.gate.release <- struct{}{}
			wait(t, s.gate.entered)
			wait(t, s.gate.entered)
			sweepHeaders(s)
			s.gate.release <- struct{}{}
			s.send(t, "dy")
		}, 1},
		"while it is served": {nil, func(t *testing.T, s *server) {
			s.hold()
			s.send(t, firstRequest)
			s.gate.release <- struct{}{}
			wait(t, s.handling)
			wait(t, s.gate.entered)
			wait(t, s.gate.entered)
			sweepHeaders(s)
			close(s.handled)
		}, 1},
		"after a part was read": {nil, func(t *testing.T, s *server) {
			s.send(t, firstRequest[:10])
			wait(t, s.gate.arrived)
			s.gate.release <- struct{}{}
			wait(t, s.gate.entered)
			wait(t, s.gate.entered)
			sweep(s)
			s.gate.release <- struct{}{}
			s.send(t, firstRequest[10:])
		}, 1},
		"after a byte was read during the previous request": {sweepWhenFirstIdle(), func(t *testing.T, s *server) {
			s.hold()
			s.send(t, firstRequest)
			s.gate.release <- struct{}{}
			wait(t, s.gate.arrived)
			wait(t, s.handling)
			s.send(t, secondRequest)
			if n := wait(t, s.gate.arrived); n != 1 {
				t.Fatalf("%d bytes read ahead, want 1", n)
			}
			s.gate.release <- struct{}{}
			close(s.handled)
			s.gate.release <- struct{}{}
		}, 2},
		"before any of it was read": {sweepUnread(), func(t *testing.T, s *server) {
			s.gate.release <- struct{}{}
			s.send(t, firstRequest)
			s.gate.release <- struct{}{}
		}, 2},
		"after it was read with the previous request": {sweepWhenFirstIdle(), func(t *testing.T, s *server) {
			s.gate.release <- struct{}{}
			s.send(t, firstRequest+secondRequest)
		}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, limits, tt.onState)
			tt.play(t, s)
			for range tt.responses {
				if status := s.receive(t); status != http.StatusOK {
					t.Errorf("status %d, want 200", status)
				}
			}
			// The connection is kept for a further request.
			s.gate.release <- struct{}{}
			s.gate.release <- struct{}{}
			s.send(t, firstRequest)
			if status := s.receive(t); status != http.StatusOK {
				t.Errorf("status %d of a further request, want 200", status)
			}
		})
	}
}

// TestExpiredPartOfHeaderIsNotParsed expires a connection with a part of a header
// that was read with the previous request.
func TestExpiredPartOfHeaderIsNotParsed(t *testing.T) {
	limits := acceptor.Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second}
	s := newServer(t, limits, func(s *server, state http.ConnState) {
		if state == http.StateIdle {
			s.acceptor.Sweep(time.Now().Add(time.Minute))
		}
	})
	s.gate.release <- struct{}{}
	s.send(t, firstRequest+secondRequest[:10])
	if status := s.receive(t); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	if rest, err := io.ReadAll(s.reader); len(rest) > 0 || err != nil {
		t.Errorf("read %q and error %v after the response, want the end of the connection", rest, err)
	}
}

func TestExpiredConnectionReturnsNoByte(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	a := acceptor.New(func() acceptor.Limits { return acceptor.Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second} })
	caller, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	c, err := a.Wrap(l).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	a.Sweep(time.Now().Add(time.Minute))
	for range 2 {
		// The server removes a deadline before it reads the next request.
		_ = c.SetReadDeadline(time.Time{})
		if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Errorf("read %d bytes with error %v, want none and an error", n, err)
		}
		// A request that arrives after the first failed read must not be read. The write
		// may fail, as the connection has been closed.
		_, _ = io.WriteString(caller, firstRequest)
	}
}
