// Package acceptor enforces timeouts on callers' connections between requests:
// it closes connections that are idle for too long or that take too long to send
// a request's header. Both limits may change while connections are open, which
// the timeouts of http.Server can't.
//
// A server sets ConnState to Track, serves the listener that Wrap returns, and
// calls Sweep periodically.
package acceptor

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"foxtaillug.org/foxtaild/reporter"
)

// Limits are the timeouts of connections that wait for a request.
type Limits struct {
	// IdleTimeout is how long a connection may be idle between requests,
	// HeaderTimeout how long a request's header may take from its first byte.
	IdleTimeout, HeaderTimeout time.Duration
}

// Acceptor tracks a server's connections. It is safe for concurrent use.
type Acceptor struct {
	limits func() Limits

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns an acceptor that calls limits at each sweep.
func New(limits func() Limits) *Acceptor {
	return &Acceptor{limits: limits, conns: make(map[*conn]struct{})}
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	// waiting reports whether no request is being served on the connection.
	waiting atomic.Bool
	// since is when the connection began to wait, and headerSince is when the
	// first byte of the next header arrived, or 0 before that. Both are Unix
	// times in nanoseconds.
	since, headerSince atomic.Int64
}

// Read reads from the connection and records when the first byte of a header
// arrives. If the start of a header arrived together with the previous request,
// the connection counts as idle until more of the header arrives.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.waiting.Load() && c.headerSince.Load() == 0 {
		c.headerSince.Store(time.Now().UnixNano())
	}
	return n, err
}

// setWaiting records that the connection waits for a request from now on.
func (c *conn) setWaiting() {
	c.headerSince.Store(0)
	c.since.Store(time.Now().UnixNano())
	c.waiting.Store(true)
}

// expired reports whether the connection has waited beyond the limits.
func (c *conn) expired(l Limits, now time.Time) bool {
	if !c.waiting.Load() {
		return false
	}
	if header := c.headerSince.Load(); header > 0 {
		return now.UnixNano()-header > int64(l.HeaderTimeout)
	}
	return now.UnixNano()-c.since.Load() > int64(l.IdleTimeout)
}

// listener accepts tracked connections.
type listener struct {
	net.Listener
	acceptor *Acceptor
}

// Wrap returns a listener whose connections are tracked.
func (a *Acceptor) Wrap(l net.Listener) net.Listener { return listener{l, a} }

// Accept waits for a connection and tracks it.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw}
	c.setWaiting()
	l.acceptor.mu.Lock()
	defer l.acceptor.mu.Unlock()
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
		c.waiting.Store(false)
	case http.StateIdle:
		c.setWaiting()
	case http.StateClosed, http.StateHijacked:
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.conns, c)
	}
}

// Sweep closes the connections that have exceeded a limit.
func (a *Acceptor) Sweep(now time.Time) {
	l := a.limits()
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if c.expired(l, now) {
			_ = c.Close()
			delete(a.conns, c)
		}
	}
}

// Waiting returns the number of connections on which no request is being served.
func (a *Acceptor) Waiting() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if c.waiting.Load() {
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
