package relayer

import (
	"context"
	"encoding/gob"
	"net"
	"net/http"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
)

const (
	// offerTimeout bounds the time from an offer to its answer and from that to the request,
	// whose body may take as long as it does at minLinkRate bytes per second besides: a tenth
	// of the operators' slowest links.
	offerTimeout = 400 * time.Millisecond
	minLinkRate  = 256 << 10
	// keepTimeout is how long an unused connection is kept at the host that took requests.
	keepTimeout = 30 * time.Second
	// writeMargin is how long after the deadline of its request a response may be written.
	writeMargin = time.Second
)

// serve takes requests on a connection of another host until it ends.
func (r *Relayer) serve(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Also closes the connection when serve returns.
	context.AfterFunc(ctx, func() { _ = c.Close() })
	messages := make(chan message)
	go func() {
		// The other host sends nothing while it is served, so the end of the connection
		// is noticed here.
		defer cancel()
		dec := gob.NewDecoder(c)
		for {
			var m message
			if err := dec.Decode(&m); err != nil {
				return
			}
			select {
			case messages <- m:
			case <-ctx.Done():
				return
			}
		}
	}()
	enc := gob.NewEncoder(c)
	for {
		m, ok := next(ctx, messages, keepTimeout)
		if !ok || m.Offer == nil {
			return
		}
		if !r.takeOffer(ctx, c, enc, messages, *m.Offer) {
			return
		}
	}
}

// next returns the next message, or false if there is none in time.
func next(ctx context.Context, messages <-chan message, timeout time.Duration) (m message, ok bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case m = <-messages:
		return m, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return m, false
}

// takeOffer answers an offer and serves the request if it is taken. It returns false if the
// connection can't be used again.
func (r *Relayer) takeOffer(ctx context.Context, c net.Conn, enc *gob.Encoder, messages <-chan message, o offer) bool {
	a := cutOff
	if !r.server.CutOff(o.Pool) {
		a = r.capacity.take(o.Bytes)
	}
	if a == taken {
		defer r.capacity.release(o.Bytes)
	}
	_ = c.SetWriteDeadline(time.Now().Add(offerTimeout))
	if err := enc.Encode(&reply{Answer: a}); err != nil || a != taken {
		return err == nil
	}
	m, ok := next(ctx, messages, offerTimeout+time.Duration(o.Bytes)*time.Second/minLinkRate)
	if !ok || m.Request == nil || len(m.Request.Request.Body) != o.Bytes || m.Request.Request.Route == nil {
		r.log.Info("request of another host did not follow its offer", "host", o.Host)
		return false
	}
	r.carried.Add(1)
	req := m.Request.Request
	req.Arrived = time.Now()
	req.Deadline = req.Arrived.Add(m.Request.Left)
	req.HandedOverBy = o.Host
	_ = c.SetWriteDeadline(req.Deadline.Add(writeMargin))
	p := &responder{enc: enc}
	r.server.Serve(ctx, &req, p)
	return p.send(&reply{End: true}) == nil
}

// responder sends a response to the host that handed its request over. It implements
// forwarder.Responder.
type responder struct {
	enc *gob.Encoder
	err error
}

// send sends a reply; after an error it does nothing.
func (p *responder) send(m *reply) error {
	if p.err == nil {
		p.err = p.enc.Encode(m)
	}
	return p.err
}

// Begin sends the head of the response.
func (p *responder) Begin(status int, h http.Header, length int) error {
	return p.send(&reply{Head: &head{Status: status, Header: h, Length: length}})
}

// Write sends a part of the body.
func (p *responder) Write(b []byte) error {
	if len(b) == 0 {
		return p.err
	}
	return p.send(&reply{Data: b})
}

// Refuse sends a refusal.
func (p *responder) Refuse(x forwarder.Refusal) error { return p.send(&reply{Refusal: &x}) }

// Abort ends a response that has begun.
func (p *responder) Abort(x forwarder.Refusal) { _ = p.send(&reply{Abort: &x}) }
