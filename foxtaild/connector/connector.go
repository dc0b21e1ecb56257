// Package connector pools connections to upstreams.
//
// A connection carries one request at a time. It returns to the pool only if the
// response was complete and nothing followed it. Before a connection is reused it
// is probed without reading from it: if the upstream has closed it, or has sent
// bytes that belong to no response, the connection is not reused.
package connector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
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
	// dialTimeout bounds the time to connect. It allows for two round trips
	// between regions and a busy upstream.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout is how long sent data may stay unacknowledged, or unread by an
	// upstream whose buffers are full, before the kernel closes a connection. It
	// exceeds the pauses of sound upstreams by far; requests have deadlines of their
	// own.
	ackTimeout = 5 * time.Second
	// defaultIdleTimeout is how long an upstream is assumed to keep an idle
	// connection open if it does not say.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's own timeout an idle
	// connection is closed.
	idleMargin = 700 * time.Millisecond
	// defaultMaxIdle bounds the idle connections to one upstream unless
	// WithMaxIdle sets another bound.
	defaultMaxIdle = 8
	// probeTime is how long a probe keeps its connection open.
	probeTime = 100 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	br      *bufio.Reader
	limiter *readLimiter
	watched *watchedReader
	// key identifies the upstream and its address.
	key         string
	idleTimeout time.Duration
	idleSince   time.Time
	reused      bool
}

// Reader returns the buffered reader for responses on the connection.
func (c *Conn) Reader() *bufio.Reader { return c.br }

// ErrReadLimit is the error of a read beyond the limit of SetReadLimit.
var ErrReadLimit = eris.New("upstream sent more bytes than the limit")

// readLimiter bounds the bytes that are read from a connection.
type readLimiter struct {
	r io.Reader
	// left is the number of bytes that may be read; negative means no limit.
	left int64
}

// Read reads up to the limit.
func (l *readLimiter) Read(p []byte) (int, error) {
	if l.left < 0 {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, ErrReadLimit
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// SetReadLimit bounds the bytes that can be read from now on, not counting those in
// the buffer of Reader. A negative limit means none.
func (c *Conn) SetReadLimit(n int64) { c.limiter.left = n }

// Readable reports whether bytes have arrived that have not been read.
func (c *Conn) Readable() bool { return prober.Probe(c.Conn) == prober.Readable }

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// SetIdleTimeout sets how long the upstream keeps the connection open while it is
// idle, as stated by the upstream.
func (c *Conn) SetIdleTimeout(d time.Duration) { c.idleTimeout = d }

// errReset is the error of a read from a connection that was reset while it was
// written to.
var errReset = eris.New("connection was reset by the upstream or timed out")

// resetReader reads from a TCP connection. The kernel reports a reset to one call
// only; if a concurrent write gets the error, a read would see a clean end, which
// also ends responses without a length.
type resetReader struct{ net.Conn }

// Read reads from the connection. At its end it returns io.EOF only if the upstream
// has closed the connection, and errReset otherwise.
func (r resetReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if errors.Is(err, io.EOF) && !closedByPeer(r.Conn) {
		err = errReset
	}
	return n, err
}

// closedByPeer reports whether the end of a TCP connection that was read was sent by
// the peer. It is true for a connection whose state is unknown.
func closedByPeer(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	ctlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return ctlErr == nil && (err != nil || info.State != unix.BPF_TCP_CLOSE)
}

// Connector is a pool of connections. It is safe for concurrent use.
type Connector struct {
	dialer  net.Dialer
	maxIdle int
	// made counts the connections that were dialled; reused counts how often one was
	// taken from the pool.
	made, reused atomic.Uint64

	mu sync.Mutex
	// idle holds the pooled connections by Conn.key, the last used at the end.
	idle map[string][]*Conn
}

// Option configures a Connector.
type Option func(*Connector)

// WithMaxIdle bounds the idle connections to one upstream.
func WithMaxIdle(n int) Option {
	return func(c *Connector) { c.maxIdle = n }
}

// New returns an empty connector.
func New(opts ...Option) *Connector {
	c := &Connector{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
			Control:         setAckTimeout,
		},
		maxIdle: defaultMaxIdle,
		idle:    make(map[string][]*Conn),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// setAckTimeout sets TCP_USER_TIMEOUT on a connection.
func setAckTimeout(_, _ string, raw syscall.RawConn) (err error) {
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if ctlErr != nil {
		return ctlErr
	}
	return err
}

// Get returns an idle connection to an upstream at an address, or dials a new one
// if there is none.
func (c *Connector) Get(ctx context.Context, id, address string) (conn *Conn, err error) {
	key := id + "@" + address
	if conn := c.takeIdle(key, time.Now()); conn != nil {
		return conn, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to upstream at %s", address)
	}
	c.made.Add(1)
	watched := &watchedReader{Conn: resetReader{raw}}
	limiter := &readLimiter{r: watched, left: -1}
	return &Conn{
		Conn: raw, br: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter, watched: watched,
		key: key, idleTimeout: defaultIdleTimeout,
	}, nil
}

// Probe connects to an address. It fails if the connection is refused, or ended within
// probeTime.
func (c *Connector) Probe(ctx context.Context, address string) (err error) {
	defer func() { err = eris.Wrapf(err, "connect to upstream at %s", address) }()
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(probeTime))
	if _, err = conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// takeIdle returns an idle connection that is still usable, or nil. It closes the
// unusable ones that it finds.
func (c *Connector) takeIdle(key string, now time.Time) *Conn {
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
		if now.Sub(conn.idleSince) < conn.idleTimeout-idleMargin && conn.br.Buffered() == 0 && prober.Probe(conn.Conn) == prober.Idle {
			conn.reused = true
			c.reused.Add(1)
			return conn
		}
		_ = conn.Close()
	}
}

// Put gives a connection back to the pool. Its last response must have been read
// completely. A connection with unread data, or beyond the limit of idle ones, is
// closed.
func (c *Connector) Put(conn *Conn) {
	conn.idleSince = time.Now()
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

// Gauges returns metrics: the number of idle connections, and how many were made
// and how often one was reused since the start.
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

// Sweep closes connections that have been idle for too long.
func (c *Connector) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Sub(conn.idleSince) < conn.idleTimeout-idleMargin {
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
