package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, host string
	sent     time.Time
	ended    time.Time
	status   int
	// complete reports whether the whole answer has arrived.
	complete bool
	reused   bool
	err      string
}

// shape is what a client sends.
type shape struct {
	method, path, tokens string
	deadline             time.Duration
	body                 int
}

// client sends requests one after the other on one connection, which it keeps.
type client struct {
	address, host string
	conn          net.Conn
	br            *bufio.Reader
}

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and reads the answer.
func (c *client) send(s shape) (q request) {
	q = request{id: newID(), host: c.host, sent: time.Now(), reused: c.conn != nil}
	defer func() { q.ended = time.Now() }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			q.err = "connect: " + err.Error()
			return q
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(s.deadline + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: key-1\r\n", s.method, s.path, q.id, s.deadline.Milliseconds())
	if s.tokens != "" {
		fmt.Fprintf(&b, "Model-Id: m\r\nToken-Count: %s\r\nPrefix-Hash: 5c1e07a2:60,%s:400\r\n", s.tokens, q.id)
	}
	if s.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", s.body)
	}
	b.WriteString("\r\n")
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return c.fail(q, "write: "+err.Error())
	}
	for left := s.body; left > 0; {
		n, err := c.conn.Write(make([]byte, min(left, 64<<10)))
		if err != nil {
			return c.fail(q, "write body: "+err.Error())
		}
		left -= n
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: s.method})
	if err != nil {
		return c.fail(q, "read: "+err.Error())
	}
	q.status = resp.StatusCode
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return c.fail(q, "read body: "+err.Error())
	}
	q.complete = true
	if resp.Close {
		c.close()
	}
	return q
}

// fail ends the connection after an error.
func (c *client) fail(q request, err string) request {
	q.err = err
	c.close()
	return q
}

// close closes the connection.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// press has a number of users send a request to a host at the same moment, in each interval until ctx
// is done, on as many connections as they need.
func (l *lab) press(ctx context.Context, h *host, users func() int, interval time.Duration, s shape) {
	var idle []*client
	var mu sync.Mutex
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for range users() {
			mu.Lock()
			c := &client{address: fmt.Sprint(h.ip, ":", callerPort), host: h.name}
			if last := len(idle) - 1; last >= 0 {
				c, idle = idle[last], idle[:last]
			}
			mu.Unlock()
			wg.Go(func() {
				q := c.send(s)
				l.record(q)
				mu.Lock()
				idle = append(idle, c)
				mu.Unlock()
			})
		}
	}
}
