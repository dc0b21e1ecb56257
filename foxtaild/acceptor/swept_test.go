package acceptor_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/acceptor"
)

// closeHook calls onClose with the number of each call of Close before it closes.
type closeHook struct {
	net.Conn
	calls   atomic.Int32
	onClose func(call int32)
}

func (c *closeHook) Close() error {
	c.onClose(c.calls.Add(1))
	return c.Conn.Close()
}

// hookListener accepts connections with a closeHook.
type hookListener struct {
	net.Listener
	onClose func(call int32)
}

func (l hookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closeHook{Conn: c, onClose: l.onClose}, nil
}

// TestSweptConnectionServesNoRequest has a request arrive after a sweep has decided to
// close its connection. It must not be handled, as its response would be lost.
func TestSweptConnectionServesNoRequest(t *testing.T) {
	a := acceptor.New(func() acceptor.Limits { return acceptor.Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second} })
	handled, refused, swept := make(chan struct{}), make(chan struct{}), make(chan struct{})
	s := &http.Server{ConnState: a.Track, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(handled)
		<-swept
	})}
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	caller, err := net.Dial("tcp4", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	l := hookListener{raw, func(call int32) {
		if call > 1 {
			if call == 2 {
				close(refused)
			}
			return
		}
		_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		select {
		case <-handled:
			t.Error("a request was handled on a connection that a sweep closes")
		case <-refused:
		}
	}}
	go func() { _ = s.Serve(a.Wrap(l)) }()
	defer func() { _ = s.Close() }()
	for a.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	a.Sweep(time.Now().Add(time.Minute))
	close(swept)
}
