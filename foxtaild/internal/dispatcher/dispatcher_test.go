package dispatcher_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"foxtaillug.org/foxtaild/internal/dispatcher"
)

// wire is a fake upstream that writes what a test wants and keeps what came.
type wire struct {
	listener net.Listener

	mu       sync.Mutex
	requests []string
	dials    int
}

// newWire serves each request on each connection with answer, which gets the
// number of the request and its identity. An answer that ends in "CUT" is cut
// off there and the connection closed.
func newWire(t *testing.T, answer func(n int, id string) string) *wire {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.dials++
			w.mu.Unlock()
			go w.serve(c, answer)
		}
	}()
	return w
}

// serve serves one connection.
func (w *wire) serve(c net.Conn, answer func(n int, id string) string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(dispatcher.RequestIDHeader)
		w.mu.Lock()
		w.requests = append(w.requests, id)
		n := len(w.requests)
		w.mu.Unlock()
		text, cut := strings.CutSuffix(answer(n, id), "CUT")
		_, _ = io.WriteString(c, text)
		if cut {
			return
		}
	}
}

// seen returns the requests that came and the connections made.
func (w *wire) seen() (requests, dials int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests), w.dials
}

// address returns where the fake listens.
func (w *wire) address() string { return w.listener.Addr().String() }

// whole returns a whole answer to a request.
func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", dispatcher.RequestIDHeader, id, len(body), body)
}

// send sends a request with an identity.
func send(d *dispatcher.Dispatcher, address, id string, expiry time.Duration) (*dispatcher.Exchange, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod("POST")
	req.SetRequestURI("/v1/completions")
	req.Header.SetHost(address)
	req.Header.Set(dispatcher.RequestIDHeader, id)
	req.SetBodyString("{}")
	now := time.Now()
	return d.Send(address, req, now.Add(expiry), now.Add(5*time.Second), func() bool { return true }, nil)
}

// read reads an exchange's body to its end.
func read(x *dispatcher.Exchange) (string, error) {
	body, err := io.ReadAll(x.Body())
	if err == nil && !x.Whole(len(body)) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		x.Finish()
	} else {
		x.Cancel()
	}
	return string(body), err
}

func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	tests := map[string]struct {
		answer func(n int, id string) string
		// want is what the first and the second request end with: a body, or
		// "error".
		want [2]string
		// dials is how many connections are made for the two.
		dials int
	}{
		"whole":                 {answer: func(_ int, id string) string { return whole(id, "for "+id) }, want: [2]string{"for a", "for b"}, dials: 1},
		"no identity returned":  {answer: func(_ int, id string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }, want: [2]string{"ok", "ok"}, dials: 1},
		"answer to another":     {answer: func(n int, id string) string { return whole(map[bool]string{true: "x", false: id}[n == 1], "for "+id) }, want: [2]string{"error", "for b"}, dials: 2},
		"a second, late answer": {answer: func(_ int, id string) string { return whole(id, "for "+id) + whole("x", "late") }, want: [2]string{"for a", "for b"}, dials: 2},
		"no content":            {answer: func(int, string) string { return "HTTP/1.1 204 No Content\r\n\r\n" }, want: [2]string{"", ""}, dials: 1},
		"cut before the head": {answer: func(n int, id string) string {
			return map[bool]string{true: "CUT", false: whole(id, "for "+id)}[n == 1]
		}, want: [2]string{"error", "for b"}, dials: 2},
		"cut within the body": {answer: func(n int, id string) string {
			return map[bool]string{true: whole(id, "0123456789")[:70] + "CUT", false: whole(id, "for "+id)}[n == 1]
		}, want: [2]string{"error", "for b"}, dials: 2},
		"cut within a chunk": {answer: func(n int, id string) string {
			return map[bool]string{true: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabCUT", false: whole(id, "for "+id)}[n == 1]
		}, want: [2]string{"error", "for b"}, dials: 2},
		"last chunk never comes": {answer: func(n int, id string) string {
			return map[bool]string{true: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nCUT", false: whole(id, "for "+id)}[n == 1]
		}, want: [2]string{"error", "for b"}, dials: 2},
		"closed after the answer": {answer: func(_ int, id string) string { return whole(id, "for "+id) + "CUT" }, want: [2]string{"for a", "for b"}, dials: 2},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWire(t, x.answer)
			d := dispatcher.New()
			defer d.Close()
			for i, id := range []string{"a", "b"} {
				got := "error"
				ex, err := send(d, w.address(), id, time.Second)
				if err == nil {
					if body, err := read(ex); err == nil {
						got = body
					}
				}
				if got != x.want[i] {
					t.Errorf("request %s ended with %q (%v), want %q", id, got, err, x.want[i])
				}
				if err != nil && eris.Is(err, dispatcher.ErrNotSent) {
					t.Errorf("request %s had left and was called not sent", id)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if requests, dials := w.seen(); requests != 2 || dials != x.dials {
				t.Errorf("%d requests on %d connections, want 2 on %d", requests, dials, x.dials)
			}
		})
	}
}

func TestNotSentIsTrue(t *testing.T) {
	w := newWire(t, func(_ int, id string) string { return whole(id, "") })
	closed := newWire(t, nil)
	_ = closed.listener.Close()
	tests := map[string]struct {
		do   func(d *dispatcher.Dispatcher) error
		want error
	}{
		"grant expired": {do: func(d *dispatcher.Dispatcher) error {
			_, err := send(d, w.address(), "a", -time.Millisecond)
			return err
		}, want: dispatcher.ErrExpired},
		"nobody listens": {do: func(d *dispatcher.Dispatcher) error {
			_, err := send(d, closed.address(), "a", time.Second)
			return err
		}, want: dispatcher.ErrUnreached},
		"closed meanwhile": {do: func(d *dispatcher.Dispatcher) error {
			req := &fasthttp.Request{}
			_, err := d.Send(w.address(), req, time.Now().Add(time.Second), time.Now().Add(time.Second), func() bool { return false }, nil)
			return err
		}, want: dispatcher.ErrNotSent},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			d := dispatcher.New()
			defer d.Close()
			err := x.do(d)
			if !errors.Is(err, x.want) || !eris.Is(err, dispatcher.ErrNotSent) {
				t.Errorf("got %v, want %v, which is not sent", err, x.want)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	if requests, _ := w.seen(); requests != 0 {
		t.Errorf("%d requests arrived although all were called not sent", requests)
	}
}

// TestHeadHasNoBody sends HEAD, whose answer tells a length and has no body.
func TestHeadHasNoBody(t *testing.T) {
	w := newWire(t, func(int, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" })
	d := dispatcher.New()
	defer d.Close()
	for range 2 {
		req := &fasthttp.Request{}
		req.Header.SetMethod("HEAD")
		req.Header.SetHost(w.address())
		x, err := d.Send(w.address(), req, time.Now().Add(time.Second), time.Now().Add(5*time.Second), func() bool { return true }, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := read(x); err != nil || body != "" {
			t.Errorf("got %q, %v", body, err)
		}
	}
}

func TestCancelBreaksTheExchangeOff(t *testing.T) {
	w := newWire(t, func(int, string) string {
		time.Sleep(time.Minute)
		return "CUT"
	})
	d := dispatcher.New()
	defer d.Close()
	cancelled := make(chan struct{})
	time.AfterFunc(20*time.Millisecond, func() { close(cancelled) })
	req := &fasthttp.Request{}
	req.Header.SetHost(w.address())
	if _, err := d.Send(w.address(), req, time.Now().Add(time.Second), time.Now().Add(time.Hour), func() bool { return true }, cancelled); err == nil || eris.Is(err, dispatcher.ErrNotSent) {
		t.Errorf("got %v, want an error that is not ErrNotSent", err)
	}
}
