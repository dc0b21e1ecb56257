// Package connector keeps connections to upstreams.
//
// A connection is used by one request at a time and goes back only when its
// answer was complete and nothing followed it. Before it is used again it is
// looked at without reading: an upstream that has closed it, or has sent
// bytes that belong to no request, is not given another.
package connector

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"foxtaillug.org/foxtaild/internal/prober"
	"foxtaillug.org/foxtaild/reporter"
)

const (
	// dialTime bounds the set-up of a connection: two round trips between
	// regions and a busy upstream.
	dialTime = 300 * time.Millisecond
	// silenceTime is how long sent bytes may stay unacknowledged before the
	// kernel gives a connection up.
	silenceTime = 1500 * time.Millisecond
	// idleTime is how long an idle connection is kept where the upstream
	// states nothing.
	idleTime = 4 * time.Second
	// idleMargin is how much sooner than the upstream's own time-out an idle
	// connection is closed.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream, unless WithIdle says
	// otherwise.
	maxIdle = 8
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
)

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	br     *bufio.Reader
	key    string
	idle   time.Duration
	since  time.Time
	reused bool
}

// Reader returns the buffered reader of the connection's answers.
func (c *Conn) Reader() *bufio.Reader { return c.br }

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// SetIdleTimeout sets how long the upstream said it keeps an idle connection.
func (c *Conn) SetIdleTimeout(d time.Duration) { c.idle = d }

// Connector keeps connections. It is safe for concurrent use.
type Connector struct {
	dialer  net.Dialer
	maxIdle int
	// made and reused count connections for metrics.
	made, reused atomic.Uint64

	mu   sync.Mutex
	idle map[string][]*Conn
}

// Option sets a detail of a Connector.
type Option func(*Connector)

// WithMaxIdle bounds the idle connections to one upstream.
func WithMaxIdle(n int) Option {
	return func(c *Connector) { c.maxIdle = n }
}

// New returns a connector without connections.
func New(opts ...Option) *Connector {
	c := &Connector{
		dialer: net.Dialer{
			Timeout:         dialTime,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
			Control:         control,
		},
		maxIdle: maxIdle,
		idle:    make(map[string][]*Conn),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// control bounds how long a connection may be silent.
func control(_, _ string, raw syscall.RawConn) (err error) {
	cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTime.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}

// Get returns a connection to an upstream at an address: an idle one, or a new
// one.
func (c *Connector) Get(ctx context.Context, id, address string) (conn *Conn, err error) {
	key := id + "@" + address
	if conn := c.take(key, time.Now()); conn != nil {
		return conn, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	c.made.Add(1)
	return &Conn{Conn: raw, br: bufio.NewReaderSize(raw, readBuffer), key: key, idle: idleTime}, nil
}

// take returns an idle connection that is still good.
func (c *Connector) take(key string, now time.Time) *Conn {
	for {
		c.mu.Lock()
		list := c.idle[key]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		conn := list[len(list)-1]
		c.idle[key] = list[:len(list)-1]
		c.mu.Unlock()
		if now.Sub(conn.since) < conn.idle-idleMargin && conn.br.Buffered() == 0 && prober.Probe(conn.Conn) == prober.Silent {
			conn.reused = true
			c.reused.Add(1)
			return conn
		}
		_ = conn.Close()
	}
}

// Put gives a connection back whose last answer was complete.
func (c *Connector) Put(conn *Conn) {
	conn.since = time.Now()
	_ = conn.SetDeadline(time.Time{})
	if conn.br.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[conn.key]) >= c.maxIdle {
		_ = conn.Close()
		return
	}
	c.idle[conn.key] = append(c.idle[conn.key], conn)
}

// Gauges returns figures for metrics: the idle connections, and those made and
// reused since the start.
func (c *Connector) Gauges() []reporter.Gauge {
	c.mu.Lock()
	idle := 0
	for _, list := range c.idle {
		idle += len(list)
	}
	c.mu.Unlock()
	return []reporter.Gauge{
		{Name: "connections_idle", Value: float64(idle)},
		{Name: "connections_made", Value: float64(c.made.Load())},
		{Name: "connections_reused", Value: float64(c.reused.Load())},
	}
}

// Sweep closes connections that were idle too long.
func (c *Connector) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Sub(conn.since) < conn.idle-idleMargin {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, key)
		} else {
			c.idle[key] = kept
		}
	}
}
