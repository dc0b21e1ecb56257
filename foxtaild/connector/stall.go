package connector

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Watcher follows how a connection is read.
type Watcher interface {
	// StallTimeout returns how long a read waits for the next byte before Stalled is
	// called.
	StallTimeout() time.Duration
	// Stalled is called when no byte has arrived for that time, or after Wake. The
	// read goes on unless it returns an error, with which the read then ends.
	Stalled() error
	// Resumed is called when a byte has arrived.
	Resumed()
}

// watchedReader reads from a connection and calls the connection's watcher.
type watchedReader struct {
	net.Conn

	mu sync.Mutex
	// watcher is nil if the connection is not watched.
	watcher Watcher
	// deadline ends each read of a watched connection.
	deadline time.Time
	// woken reports whether Wake was called since the last call of Stalled.
	woken bool
}

// setDeadline sets the deadline of the next read of the connection. It returns false
// if Stalled must be called first.
func (r *watchedReader) setDeadline(stallTimeout time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.woken {
		r.woken = false
		return false
	}
	d := time.Now().Add(stallTimeout)
	if r.deadline.Before(d) {
		d = r.deadline
	}
	// A connection on which the deadline can't be set fails the read that follows.
	_ = r.Conn.SetReadDeadline(d)
	return true
}

// Read reads from the connection. It is only called by the goroutine that also calls
// Watch and Unwatch.
func (r *watchedReader) Read(p []byte) (int, error) {
	w := r.watcher
	if w == nil {
		return r.Conn.Read(p)
	}
	for {
		if r.setDeadline(w.StallTimeout()) {
			n, err := r.Conn.Read(p)
			if n > 0 {
				w.Resumed()
				return n, err
			}
			if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(r.deadline) {
				return n, err
			}
		}
		if err := w.Stalled(); err != nil {
			return 0, err
		}
	}
}

// Watch has a watcher follow all reads until Unwatch. Each of them ends at the
// deadline at the latest. The caller must not set another read deadline meanwhile.
func (c *Conn) Watch(w Watcher, deadline time.Time) {
	c.watched.mu.Lock()
	defer c.watched.mu.Unlock()
	c.watched.watcher, c.watched.deadline, c.watched.woken = w, deadline, false
}

// Unwatch ends Watch and sets the read deadline to that of Watch.
func (c *Conn) Unwatch() {
	c.watched.mu.Lock()
	defer c.watched.mu.Unlock()
	if c.watched.watcher != nil {
		c.watched.watcher = nil
		_ = c.SetReadDeadline(c.watched.deadline)
	}
}

// Wake has the current or the next read call Stalled, if w is still the connection's
// watcher. Any goroutine may call it.
func (c *Conn) Wake(w Watcher) {
	c.watched.mu.Lock()
	defer c.watched.mu.Unlock()
	if c.watched.watcher == w {
		c.watched.woken = true
		_ = c.SetReadDeadline(time.Now())
	}
}
