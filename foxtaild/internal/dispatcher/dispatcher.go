// Package dispatcher sends requests to upstreams, each at most once.
//
// It knows exactly whether a byte of a request has left: the expiry of a
// grant is checked on the monotonic clock right before the first write, and
// whatever fails before that write is proved not to have run. After it nothing
// is tried again, neither here nor by the HTTP library, of which only the
// codec is used.
package dispatcher

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"foxtaillug.org/foxtaild/internal/prober"
)

const (
	// dialTime bounds the set-up of a connection.
	dialTime = time.Second
	// idleTime is how long a connection is kept for another request; it is
	// shorter than servers keep theirs, so that a request seldom meets a
	// connection that is being closed.
	idleTime = 4 * time.Second
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 64
	// bufferSize is the size of a connection's read and write buffers.
	bufferSize = 8 << 10
	// writeTime bounds the writing of a request.
	writeTime = 10 * time.Second
)

// RequestIDHeader carries a request's identity to the upstream and back.
const RequestIDHeader = "Foxtail-Request-Id"

var (
	// ErrNotSent says that no byte of the request has left.
	ErrNotSent = eris.New("not sent")
	// ErrUnreached says that the upstream took no connection.
	ErrUnreached = eris.Wrap(ErrNotSent, "no connection")
	// ErrExpired says that the grant ended before the request could leave.
	ErrExpired = eris.Wrap(ErrNotSent, "grant expired")
	// ErrCrossed says that the answer belongs to another request.
	ErrCrossed = eris.New("answer to another request")
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
	idle time.Time
}

// Dispatcher keeps connections to upstreams by address. It is safe for
// concurrent use.
type Dispatcher struct {
	mu    sync.Mutex
	idle  map[string][]*conn
	limit int
}

// New returns a dispatcher without connections.
func New() *Dispatcher {
	return &Dispatcher{idle: make(map[string][]*conn), limit: maxIdle}
}

// Exchange is a request that has left and its answer.
type Exchange struct {
	dispatcher *Dispatcher
	address    string
	conn       *conn
	resp       *fasthttp.Response
	once       sync.Once
}

// Response returns the answer's head; its body is a stream.
func (x *Exchange) Response() *fasthttp.Response { return x.resp }

// Body returns the answer's body as it comes; it is empty for answers that
// have none.
func (x *Exchange) Body() io.Reader {
	if body := x.resp.BodyStream(); body != nil {
		return body
	}
	return http.NoBody
}

// Whole reports whether n bytes are the whole body by the answer's head.
func (x *Exchange) Whole(n int) bool {
	length := x.resp.Header.ContentLength()
	return x.resp.BodyStream() == nil || length < 0 || length == n
}

// Cancel breaks the exchange off, which cancels the work upstream. It may be
// called at any time and more than once.
func (x *Exchange) Cancel() {
	x.once.Do(func() { _ = x.conn.Close() })
}

// Finish ends an exchange whose answer was read to its end, and keeps the
// connection.
func (x *Exchange) Finish() {
	x.once.Do(func() {
		_ = x.resp.CloseBodyStream()
		if x.resp.ConnectionClose() || x.conn.r.Buffered() > 0 {
			_ = x.conn.Close()
			return
		}
		x.dispatcher.put(x.address, x.conn)
	})
}

// get returns an idle connection that is young enough, or nil.
func (d *Dispatcher) get(address string, now time.Time) *conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	idle := d.idle[address]
	for len(idle) > 0 {
		c := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		d.idle[address] = idle
		if now.Sub(c.idle) < idleTime && c.r.Buffered() == 0 && prober.Probe(c.Conn) == prober.Silent {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection for another request.
func (d *Dispatcher) put(address string, c *conn) {
	c.idle = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle[address]) >= d.limit {
		_ = c.Close()
		return
	}
	d.idle[address] = append(d.idle[address], c)
}

// dial sets up a connection.
func (d *Dispatcher) dial(address string) (*conn, error) {
	raw, err := net.DialTimeout("tcp", address, dialTime)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: raw,
		r:    bufio.NewReaderSize(raw, bufferSize),
		w:    bufio.NewWriterSize(raw, bufferSize),
	}, nil
}

// Send dispatches a request and reads the head of its answer. Expiry is when
// the grant ends and deadline when the whole exchange must have ended. Sent
// is called right before the first byte leaves; if it returns false the
// request stays here. An error that is ErrNotSent proves that nothing left;
// after any other the request may have run. Cancelled is closed when the
// caller goes away.
func (d *Dispatcher) Send(address string, req *fasthttp.Request, expiry, deadline time.Time, sent func() bool, cancelled <-chan struct{}) (x *Exchange, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "dispatch to %s", address)
		}
	}()
	c := d.get(address, time.Now())
	if c == nil {
		if c, err = d.dial(address); err != nil {
			return nil, eris.Wrap(ErrUnreached, err.Error())
		}
	}
	if !time.Now().Before(expiry) {
		_ = c.Close()
		return nil, ErrExpired
	}
	if !sent() {
		_ = c.Close()
		return nil, eris.Wrap(ErrNotSent, "upstream closed")
	}
	x = &Exchange{dispatcher: d, address: address, conn: c, resp: &fasthttp.Response{StreamBody: true}}
	stop := x.cancelOn(cancelled)
	defer stop()
	if err := x.roundTrip(req, deadline); err != nil {
		x.Cancel()
		return nil, err
	}
	return x, nil
}

// cancelOn cancels the exchange when a channel closes, until stop is called.
func (x *Exchange) cancelOn(cancelled <-chan struct{}) (stop func()) {
	if cancelled == nil {
		return func() {}
	}
	over := make(chan struct{})
	go func() {
		select {
		case <-cancelled:
			x.Cancel()
		case <-over:
		}
	}()
	return func() { close(over) }
}

// roundTrip writes the request and reads the head of the answer.
func (x *Exchange) roundTrip(req *fasthttp.Request, deadline time.Time) error {
	c := x.conn
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	_ = c.SetReadDeadline(deadline)
	if err := req.Write(c.w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	x.resp.SkipBody = req.Header.IsHead()
	if err := x.resp.Read(c.r); err != nil {
		return err
	}
	want, got := req.Header.Peek(RequestIDHeader), x.resp.Header.Peek(RequestIDHeader)
	if len(got) > 0 && string(got) != string(want) {
		return ErrCrossed
	}
	return nil
}

// Close closes all idle connections.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, idle := range d.idle {
		for _, c := range idle {
			_ = c.Close()
		}
	}
	d.idle = make(map[string][]*conn)
}
