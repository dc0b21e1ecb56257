package relayer

import (
	"context"
	"encoding/gob"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/forwarder"
)

const (
	// dialTimeout bounds the time to connect to another host.
	dialTimeout = 300 * time.Millisecond
	// maxOffers is the number of hosts that a request is offered to.
	maxOffers = 4
	// avoidTime is how long a host that did not take a request is left out.
	avoidTime = time.Second
	// maxIdle is the number of unused connections that are kept to one host, and
	// reuseTimeout how long they are.
	maxIdle      = 8
	reuseTimeout = 10 * time.Second
	// minTimeLeft is the least time left at which a request is handed over.
	minTimeLeft = 100 * time.Millisecond
)

// errNotTaken is the error of an offer that another host declined.
var errNotTaken = eris.New("request was not taken")

// conn is a connection to another host.
type conn struct {
	net.Conn
	enc *gob.Encoder
	dec *gob.Decoder
	// host and address are those of the other host.
	host, address string
	idleSince     time.Time
}

// Relay hands a request over to another host and passes its response on. It returns false if
// no host took the request; then it has not run.
func (r *Relayer) Relay(ctx context.Context, req *forwarder.Request, out forwarder.Responder) (res forwarder.RelayResult, ok bool) {
	for _, p := range r.candidates(req) {
		if ctx.Err() != nil || time.Until(req.Deadline) < minTimeLeft {
			break
		}
		c, err := r.offer(ctx, p, req)
		if err != nil {
			r.log.Info("request not taken", "id", req.ID, "host", p.name, "error", err.Error())
			r.avoid(p.name)
			continue
		}
		r.handedOver.Add(1)
		res = r.handOver(ctx, c, req, out)
		if res.Lost {
			r.lost.Add(1)
		}
		return res, true
	}
	r.notTaken.Add(1)
	return res, false
}

// offer offers a request to another host and returns the connection on which it waits for
// the request.
func (r *Relayer) offer(ctx context.Context, p peer, req *forwarder.Request) (c *conn, err error) {
	o := message{Offer: &offer{Host: r.settings.Host, Pool: req.Pool, Bytes: len(req.Body)}}
	for {
		c, reused := r.takeIdle(p.address), true
		if c == nil {
			reused = false
			if c, err = dial(ctx, p); err != nil {
				return nil, err
			}
		}
		a, err := c.offer(ctx, &o)
		switch {
		case err == nil && a == taken:
			return c, nil
		case err == nil:
			r.keep(c)
			return nil, eris.Wrap(errNotTaken, a.String())
		}
		_ = c.Close()
		if !reused {
			return nil, err
		}
	}
}

// offer sends an offer and reads its answer.
func (c *conn) offer(ctx context.Context, m *message) (a answer, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_ = c.SetDeadline(time.Now().Add(offerTimeout))
	if err = c.enc.Encode(m); err != nil {
		return noAnswer, err
	}
	var answered reply
	err = c.dec.Decode(&answered)
	return answered.Answer, err
}

// dial connects to another host.
func dial(ctx context.Context, p peer) (c *conn, err error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, enc: gob.NewEncoder(raw), dec: gob.NewDecoder(raw), host: p.name, address: p.address}, nil
}

// handOver sends a request that was taken and passes its response on.
func (r *Relayer) handOver(ctx context.Context, c *conn, req *forwarder.Request, out forwarder.Responder) (res forwarder.RelayResult) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	res = forwarder.RelayResult{Host: c.host}
	_ = c.SetDeadline(req.Deadline.Add(writeMargin))
	h := handedOver{Request: *req, Left: time.Until(req.Deadline)}
	h.Request.Age += time.Since(req.Arrived)
	err := c.enc.Encode(&message{Request: &h})
	for err == nil {
		var m reply
		if err = c.dec.Decode(&m); err != nil {
			break
		}
		if m.End {
			if stop() {
				r.keep(c)
			}
			return res
		}
		err = pass(&res, &m, out)
	}
	stop()
	_ = c.Close()
	res.Lost, res.Err = true, err
	return res
}

// pass passes a part of a response on to the caller.
func pass(res *forwarder.RelayResult, m *reply, out forwarder.Responder) error {
	switch {
	case m.Head != nil:
		res.Status = m.Head.Status
		return out.Begin(m.Head.Status, m.Head.Header, m.Head.Length)
	case m.Data != nil:
		return out.Write(m.Data)
	case m.Refusal != nil:
		res.Refusal = m.Refusal
	case m.Abort != nil:
		res.Aborted = m.Abort
	}
	return nil
}

// takeIdle returns a kept connection to an address, or nil.
func (r *Relayer) takeIdle(address string) *conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	for list := r.idle[address]; len(list) > 0; {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		r.idle[address] = list
		if time.Since(c.idleSince) < reuseTimeout {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// sweep closes connections that have not been used for long until ctx is done, and then all.
func (r *Relayer) sweep(ctx context.Context) {
	tick := time.NewTicker(reuseTimeout)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			r.closeIdle(now.Add(-reuseTimeout))
		case <-ctx.Done():
			r.closeIdle(time.Now())
			return
		}
	}
}

// closeIdle closes the kept connections that have not been used since a time.
func (r *Relayer) closeIdle(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, list := range r.idle {
		kept := slices.DeleteFunc(list, func(c *conn) bool {
			if c.idleSince.After(since) {
				return false
			}
			_ = c.Close()
			return true
		})
		r.idle[address] = kept
		if len(kept) == 0 {
			delete(r.idle, address)
		}
	}
}

// keep keeps a connection for the next request.
func (r *Relayer) keep(c *conn) {
	c.idleSince = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idle[c.address]) >= maxIdle {
		_ = c.Close()
		return
	}
	r.idle[c.address] = append(r.idle[c.address], c)
}
