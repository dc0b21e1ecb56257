package relayer

import (
	"context"
	"sync"
)

const (
	// maxCarried is the number of requests that a host carries for others at the same time,
	// and maxCarriedBytes the size of their bodies.
	maxCarried      = 128
	maxCarriedBytes = 16 << 20
)

// capacity bounds what a host carries for others. The zero value is ready to use.
type capacity struct {
	mu              sync.Mutex
	requests, bytes int
	stopping        bool
	// drained is closed when the last request has ended after drain was called.
	drained chan struct{}
}

// take reserves room for a request and returns the answer to its offer.
func (c *capacity) take(bytes int) answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.stopping:
		return stopping
	case c.requests >= maxCarried || bytes < 0 || c.bytes+bytes > maxCarriedBytes:
		return busy
	}
	c.requests++
	c.bytes += bytes
	return taken
}

// release returns the room of a request.
func (c *capacity) release(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
	c.bytes -= bytes
	if c.requests == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}

// used returns the number of requests and the size of their bodies.
func (c *capacity) used() (requests, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests, c.bytes
}

// drain takes no more requests and waits until all have ended or ctx is done.
func (c *capacity) drain(ctx context.Context) error {
	c.mu.Lock()
	c.stopping = true
	if c.requests == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.drained == nil {
		c.drained = make(chan struct{})
	}
	drained := c.drained
	c.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
