// Package acceptor enforces timeouts on callers' connections between requests:
// it closes connections that are idle for too long, and responds with 408 to those
// that take too long to send a request's header. Both limits may change while
// connections are open, which the timeouts of http.Server can't.
//
// A server sets ConnState to Track and no read timeouts, serves the listener that
// Wrap returns, and calls Sweep periodically.
package acceptor

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"foxtaillug.org/foxtaild/internal/prober"
	"foxtaillug.org/foxtaild/reporter"
)

// rejection is the response to a header that has exceeded its timeout. Its status
// promises that the request has not run and never will.
const rejection = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// rejectionTimeout bounds the time to write a rejection and to wait until its
// caller closes the connection. It equals net/http's delay for the same purpose.
const rejectionTimeout = 500 * time.Millisecond

// Limits are the timeouts of connections that wait for a request.
type Limits struct {
	// IdleTimeout is how long a connection may be idle between requests,
	// HeaderTimeout how long a request's header may take from its first byte.
	IdleTimeout, HeaderTimeout time.Duration
}

// Acceptor tracks a server's connections. It is safe for concurrent use.
type Acceptor struct {
	limits func() Limits

	mu        sync.Mutex
	listeners []*listener
	conns     map[*conn]struct{}
	// draining reports whether Drain has been called. drained is closed when no
	// connection is left after that.
	draining bool
	drained  chan struct{}
}

// New returns an acceptor that calls limits at each sweep.
func New(limits func() Limits) *Acceptor {
	return &Acceptor{limits: limits, conns: make(map[*conn]struct{}), drained: make(chan struct{})}
}

// conn is a caller's connection.
type conn struct {
	net.Conn

	mu sync.Mutex
	// waiting reports whether no request is being served on the connection.
	waiting bool
	// expired reports whether the connection has exceeded a limit. It is reset if
	// a request that has been read proves to have begun before.
	expired bool
	// ended reports whether a read has failed because the connection has expired.
	ended bool
	// readAhead reports whether the server has read a byte of the next request
	// while it was still serving the previous one.
	readAhead bool
	// since is when the connection began to wait, and headerSince is when the
	// first byte of the next header arrived, or zero before that. Both have a
	// monotonic clock reading, which steps of the wall clock don't affect.
	since, headerSince time.Time
}

// Read reads from the connection and records when the first byte of a header
// arrives. It returns no byte once the connection has expired, unless a request has
// arrived that was not read in time. If a part of a header arrived together with the
// previous request's last bytes, the connection counts as idle until more of the
// header arrives.
func (c *conn) Read(b []byte) (int, error) {
	for !c.hasExpired() || c.keepUnread() {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.recordRead(len(b))
		}
		if n > 0 || !c.hasExpired() {
			return n, err
		}
	}
	c.end()
	return 0, os.ErrDeadlineExceeded
}

// keepUnread keeps a connection that has expired while it was idle if bytes of the next
// request have arrived, and reports whether it did. This host may have been too busy
// to read them, and its caller would be reset without a response.
func (c *conn) keepUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || !c.headerSince.IsZero() || prober.Probe(c.Conn) != prober.Readable {
		return false
	}
	c.keep()
	return true
}

// end closes the connection. If a part of a header has been read, it responds with
// a rejection first.
func (c *conn) end() {
	c.mu.Lock()
	reject := !c.ended && !c.headerSince.IsZero()
	c.ended = true
	c.mu.Unlock()
	if reject {
		c.reject()
	}
	// If a read fails, net/http treats a partial line as a complete one and may
	// respond with 400.
	_ = c.Conn.Close()
}

// reject responds with a rejection and reads on until the caller closes the
// connection. If it were closed with unread bytes, it would be reset, and the
// caller could lose the response.
func (c *conn) reject() {
	until := time.Now().Add(rejectionTimeout)
	if err := errors.Join(c.SetWriteDeadline(until), c.Conn.SetReadDeadline(until)); err != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, rejection); err != nil {
		return
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// hasExpired reports whether the connection has exceeded a limit.
func (c *conn) hasExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

// recordRead records that bytes have been read into a buffer of the given size.
// They may have been read while the connection was found idle for too long; then
// the connection is kept.
func (c *conn) recordRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.waiting:
		// While a handler runs, net/http reads one byte ahead to detect that the
		// caller has disconnected. It reads bodies into larger buffers.
		c.readAhead = size == 1
	case c.headerSince.IsZero():
		c.headerSince = time.Now()
		c.keep()
	}
}

// expire makes reads fail from now on. The caller must hold the mutex.
func (c *conn) expire() {
	c.expired = true
	_ = c.Conn.SetReadDeadline(time.Unix(0, 0))
}

// keep makes reads possible again. The caller must hold the mutex.
func (c *conn) keep() {
	if c.expired && !c.ended {
		c.expired = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// setWaiting records that the connection waits for a request from now on.
func (c *conn) setWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.since, c.headerSince = true, time.Now(), time.Time{}
	if c.readAhead {
		c.readAhead, c.headerSince = false, c.since
	}
}

// setServing records that the server has read a request's header. A connection
// that expired after the header had been read is kept.
func (c *conn) setServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	c.keep()
}

// isWaiting reports whether no request is being served on the connection.
func (c *conn) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// sweep makes reads fail if the connection has waited beyond the limits.
func (c *conn) sweep(l Limits, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.expired {
		return
	}
	since, limit := c.since, l.IdleTimeout
	if !c.headerSince.IsZero() {
		since, limit = c.headerSince, l.HeaderTimeout
	}
	if now.Sub(since) > limit {
		c.expire()
	}
}

// drain makes reads fail if the connection is idle.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && !c.expired && c.headerSince.IsZero() {
		c.expire()
	}
}

// listener accepts tracked connections.
type listener struct {
	net.Listener
	acceptor *Acceptor
	// close closes the listener once, as both Drain and the server close it.
	close func() error
}

// Wrap returns a listener whose connections are tracked.
func (a *Acceptor) Wrap(raw net.Listener) net.Listener {
	l := &listener{Listener: raw, acceptor: a, close: sync.OnceValue(raw.Close)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listeners = append(a.listeners, l)
	return l
}

// Close closes the listener.
func (l *listener) Close() error { return l.close() }

// Accept waits for a connection and tracks it.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw}
	c.setWaiting()
	l.acceptor.mu.Lock()
	defer l.acceptor.mu.Unlock()
	if l.acceptor.draining {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	l.acceptor.conns[c] = struct{}{}
	return c, nil
}

// Track records a connection's state. It is a ConnState hook for http.Server.
func (a *Acceptor) Track(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setServing()
	case http.StateIdle:
		c.setWaiting()
		if a.isDraining() {
			c.drain()
		}
	case http.StateClosed, http.StateHijacked:
		a.remove(c)
	}
}

// isDraining reports whether Drain has been called.
func (a *Acceptor) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// remove removes a connection that is closed or no longer the server's.
func (a *Acceptor) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.conns[c]; !ok {
		return
	}
	delete(a.conns, c)
	if a.draining && len(a.conns) == 0 {
		close(a.drained)
	}
}

// Drain closes the listeners and the idle connections, and each other connection
// when it becomes idle. The returned channel is closed when no connection is left.
// A request that has begun is served. Shutdown of http.Server should be called
// afterwards, as it drops requests that the server has not yet marked as active.
func (a *Acceptor) Drain() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return a.drained
	}
	a.draining = true
	for _, l := range a.listeners {
		_ = l.Close()
	}
	for c := range a.conns {
		c.drain()
	}
	if len(a.conns) == 0 {
		close(a.drained)
	}
	return a.drained
}

// Sweep ends the connections that have exceeded a limit: their reads fail and
// close them. A request whose header the server has read in the meantime is still
// served. now must have a monotonic clock reading.
func (a *Acceptor) Sweep(now time.Time) {
	l := a.limits()
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.sweep(l, now)
	}
}

// Waiting returns the number of connections on which no request is being served.
func (a *Acceptor) Waiting() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if c.isWaiting() {
			n++
		}
	}
	return n
}

// Gauges returns metrics: the number of connections that wait for a request, and
// the number of all connections.
func (a *Acceptor) Gauges() []reporter.Gauge {
	waiting := a.Waiting()
	a.mu.Lock()
	defer a.mu.Unlock()
	return []reporter.Gauge{
		{Name: "callers_waiting", Value: float64(waiting)},
		{Name: "callers_connected", Value: float64(len(a.conns))},
	}
}
