// Package acceptor looks after callers' connections while no request of
// theirs is served: it closes those that are idle for too long, or that take
// too long to send a request's head. Both limits may change while connections
// are open, which http.Server's own time-outs can't.
//
// A server uses an Acceptor as its ConnState hook, listens through Wrap, and
// calls Sweep now and then.
package acceptor

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"foxtaillug.org/foxtaild/reporter"
)

// Limits bound connections that wait for a request.
type Limits struct {
	// IdleTimeout is how long a connection may be silent between requests, HeaderTimeout how
	// long a request's head may take from its first byte.
	IdleTimeout, HeaderTimeout time.Duration
}

// Acceptor tracks a server's connections. It is safe for concurrent use.
type Acceptor struct {
	limits func() Limits

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns an acceptor that asks for its limits at each sweep.
func New(limits func() Limits) *Acceptor {
	return &Acceptor{limits: limits, conns: make(map[*conn]struct{})}
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	// waiting reports that no request is served on the connection.
	waiting atomic.Bool
	// since is when the connection began to wait, and headSince when the first
	// byte of the next head came, 0 before; both in nanoseconds of Unix time.
	since, headSince atomic.Int64
}

// Read reads, and notes the first byte of a head. A head of which a part came
// together with the request before it counts as idle until more of it comes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.waiting.Load() && c.headSince.Load() == 0 {
		c.headSince.Store(time.Now().UnixNano())
	}
	return n, err
}

// wait says that the connection waits for a request from now on.
func (c *conn) wait() {
	c.headSince.Store(0)
	c.since.Store(time.Now().UnixNano())
	c.waiting.Store(true)
}

// overdue reports whether the connection has waited beyond the limits.
func (c *conn) overdue(l Limits, now time.Time) bool {
	if !c.waiting.Load() {
		return false
	}
	if head := c.headSince.Load(); head > 0 {
		return now.UnixNano()-head > int64(l.HeaderTimeout)
	}
	return now.UnixNano()-c.since.Load() > int64(l.IdleTimeout)
}

// listener gives out tracked connections.
type listener struct {
	net.Listener
	acceptor *Acceptor
}

// Wrap returns a listener whose connections are tracked.
func (a *Acceptor) Wrap(l net.Listener) net.Listener { return listener{l, a} }

// Accept waits for a connection.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw}
	c.wait()
	l.acceptor.mu.Lock()
	defer l.acceptor.mu.Unlock()
	l.acceptor.conns[c] = struct{}{}
	return c, nil
}

// Track takes note of a connection's state. It is an http.Server's ConnState.
func (a *Acceptor) Track(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.waiting.Store(false)
	case http.StateIdle:
		c.wait()
	case http.StateClosed, http.StateHijacked:
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.conns, c)
	}
}

// Sweep closes the connections that have waited too long.
func (a *Acceptor) Sweep(now time.Time) {
	l := a.limits()
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if c.overdue(l, now) {
			_ = c.Close()
			delete(a.conns, c)
		}
	}
}

// Waiting returns the number of connections on which no request is served.
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

// Gauges returns figures for metrics: the connections that wait for a request,
// and all.
func (a *Acceptor) Gauges() []reporter.Gauge {
	waiting := a.Waiting()
	a.mu.Lock()
	defer a.mu.Unlock()
	return []reporter.Gauge{
		{Name: "callers_waiting", Value: float64(waiting)},
		{Name: "callers_connected", Value: float64(len(a.conns))},
	}
}
