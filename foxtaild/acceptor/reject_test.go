package acceptor_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/acceptor"
)

// TestSlowHeaderIsRejected lowers the header timeout while a header is being read.
func TestSlowHeaderIsRejected(t *testing.T) {
	limits := acceptor.Limits{IdleTimeout: time.Hour, HeaderTimeout: 10 * time.Second}
	tests := map[string]struct {
		// first is a complete request, whose response is read before partial is
		// sent in one or more writes.
		first   string
		partial []string
	}{
		"start of a request line":          {"", []string{"GET /"}},
		"part of a header":                 {"", []string{"GET / HTTP/1.1\r\nHo"}},
		"header in parts":                  {"", []string{"G", "ET / HTTP/1.1\r\n", "Host: h\r\n"}},
		"one byte after a request":         {firstRequest, []string{"G"}},
		"part of a header after a request": {firstRequest, []string{"GET / HTTP/1.1\r\nHo"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, limits, nil)
			wait(t, s.gate.entered)
			if tt.first != "" {
				s.gate.release <- struct{}{}
				s.send(t, tt.first)
				wait(t, s.gate.arrived)
				s.receive(t)
				// The server reads ahead, and then for the next request.
				wait(t, s.gate.entered)
				wait(t, s.gate.entered)
			}
			served := s.served.Load()
			for _, part := range tt.partial {
				s.send(t, part)
				wait(t, s.gate.arrived)
				s.gate.release <- struct{}{}
				wait(t, s.gate.entered)
			}
			s.acceptor.Sweep(time.Now().Add(limits.HeaderTimeout / 2))
			s.acceptor.Sweep(time.Now().Add(2 * limits.HeaderTimeout))
			resp, err := http.ReadResponse(s.reader, nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			if resp.StatusCode != http.StatusRequestTimeout || !resp.Close {
				t.Errorf("status %d, close %v; want 408 and the connection closed after the response", resp.StatusCode, resp.Close)
			}
			if rest, err := io.ReadAll(s.reader); len(rest) > 0 || err != nil {
				t.Errorf("read %q and error %v after the response, want the end of the connection", rest, err)
			}
			if n := s.served.Load(); n != served {
				t.Errorf("the handler received %d requests more, want none", n-served)
			}
		})
	}
}

// scriptedConn is a connection whose reads return the scripted parts. A read with
// no part left waits for a deadline in the past, a read after CloseWrite returns
// the rest of what the caller sends.
type scriptedConn struct {
	net.Conn
	parts, rest []string
	expired     chan struct{}
	expire      sync.Once

	// calls are the calls in order, without reads of parts and read deadlines in
	// the future.
	calls []string
	// onRead is called by the reads of the rest.
	onRead func()
}

func (c *scriptedConn) Read(b []byte) (n int, err error) {
	if len(c.parts) > 0 {
		n, c.parts = copy(b, c.parts[0]), c.parts[1:]
		return n, nil
	}
	if len(c.calls) == 0 {
		<-c.expired
		return 0, os.ErrDeadlineExceeded
	}
	if len(c.rest) == 0 {
		c.calls = append(c.calls, "end")
		return 0, io.EOF
	}
	n, c.rest = copy(b, c.rest[0]), c.rest[1:]
	c.calls = append(c.calls, "read")
	c.onRead()
	return n, nil
}

func (c *scriptedConn) Write(b []byte) (int, error) {
	status, _, _ := strings.Cut(string(b), "\r\n")
	c.calls = append(c.calls, status)
	return len(b), nil
}

func (c *scriptedConn) CloseWrite() error {
	c.calls = append(c.calls, "close writing")
	return nil
}

func (c *scriptedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.expire.Do(func() { close(c.expired) })
		if len(c.calls) > 0 {
			c.calls = append(c.calls, "end of reading")
		}
	}
	return nil
}

func (c *scriptedConn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		return errors.New("no deadline")
	}
	c.calls = append(c.calls, "write deadline")
	return nil
}

func (c *scriptedConn) Close() error { return nil }

// scriptedListener returns one connection.
type scriptedListener struct {
	net.Listener
	conn net.Conn
	// onAccept is called by Accept if it is not nil.
	onAccept func()
}

func (l scriptedListener) Accept() (net.Conn, error) {
	if l.onAccept != nil {
		l.onAccept()
	}
	return l.conn, nil
}

func (l scriptedListener) Close() error { return nil }

// TestRejectionReachesSendingCaller checks that a rejection has a write deadline,
// and that what the caller goes on to send is read: closing a connection with
// unread bytes resets it, and the caller may lose the response.
func TestRejectionReachesSendingCaller(t *testing.T) {
	raw := &scriptedConn{parts: []string{"GET / HT"}, rest: []string{"TP/1.1\r\n", "Host: h\r\n\r\n"}, expired: make(chan struct{})}
	a := acceptor.New(func() acceptor.Limits { return acceptor.Limits{IdleTimeout: time.Hour, HeaderTimeout: time.Second} })
	c, err := a.Wrap(scriptedListener{conn: raw}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	raw.onRead = func() { a.Sweep(time.Now().Add(time.Hour)) }
	b := make([]byte, 100)
	if n, err := c.Read(b); n == 0 || err != nil {
		t.Fatalf("read %d bytes with error %v, want the first part", n, err)
	}
	a.Sweep(time.Now().Add(time.Minute))
	for range 2 {
		if n, err := c.Read(b); n > 0 || !isTimeout(err) {
			t.Errorf("read %d bytes with error %v, want none and a timeout", n, err)
		}
		a.Track(c, http.StateActive)
	}
	want := "write deadline, HTTP/1.1 408 Request Timeout, close writing, read, read, end"
	if got := strings.Join(raw.calls, ", "); got != want {
		t.Errorf("calls: %s, want %s", got, want)
	}
}
