package receiver

import (
	"bufio"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/foxtaild/internal/prober"
	"foxtaillug.org/scheduler/router"
)

const (
	// goneEvery is how often it is looked whether the caller went away.
	goneEvery = 100 * time.Millisecond
	// doneEvent begins the last event of a whole stream.
	doneEvent = "data: [DONE]"
)

// work is what an upstream is to be sent.
type work struct {
	kind           router.Kind
	method, path   string
	contentType    string
	body           []byte
	prompt, output int
	digest, prefix uint64
}

// forward has a call's work done by an upstream, at most once.
func (r *Receiver) forward(k *call, w work, reply forwarder.Responder) {
	header := make(http.Header, 1)
	if w.contentType != "" {
		header["Content-Type"] = []string{w.contentType}
	}
	r.forwarder.Serve(k.ctx, &forwarder.Request{
		ID: k.id, Method: w.method, Target: w.path, Header: header, Body: w.body,
		Route: &router.Route{Name: string(k.pool), Kind: w.kind, Attempts: 1}, Pool: string(k.pool),
		Workspace: string(k.standing.ID()), Tier: int(k.standing.Tier()), TierName: k.standing.TierName(),
		Arrived: k.arrived, Deadline: k.deadline, LastEventID: forwarder.NoEvent,
		Prompt: w.prompt, Output: w.output, Digest: w.digest, Prefix: w.prefix,
	}, reply)
}

// whole keeps a whole answer, or the refusal that stands for it. It
// implements forwarder.Reply.
type whole struct {
	status      int
	contentType string
	body        []byte
	refused     *refusal
}

// Begin takes the head of an upstream's answer.
func (a *whole) Begin(status int, h http.Header, _ int) error {
	a.status, a.contentType = status, h.Get(fiber.HeaderContentType)
	return nil
}

// Write takes a part of the body.
func (a *whole) Write(b []byte) error {
	a.body = append(a.body, b...)
	return nil
}

// Refuse takes the refusal.
func (a *whole) Refuse(f forwarder.Refusal) error {
	own := refusalOf(f)
	a.refused = &own
	return nil
}

// Abort takes the refusal of an answer that broke off.
func (a *whole) Abort(f forwarder.Refusal) { _ = a.Refuse(f) }

// refusal returns why there is no good answer, nil if there is one.
func (a *whole) refusal() *refusal {
	if a.refused == nil && a.status >= fiber.StatusInternalServerError {
		return &refusal{status: fiber.StatusBadGateway, outcome: Failed, reason: reasonUpstreamError, detail: "The upstream answered with an error."}
	}
	return a.refused
}

// callWhole forwards a call and returns its whole answer.
func (r *Receiver) callWhole(k *call, w work) *whole {
	a := &whole{}
	r.forward(k, w, a)
	return a
}

// stream passes a stream on as it comes. What is not a stream, it keeps. It
// implements forwarder.Reply.
type stream struct {
	whole
	// begun is closed when the answer is known to be a stream; out then takes
	// the caller's writer.
	begun chan struct{}
	out   chan *bufio.Writer
	w     *bufio.Writer
	// describe returns the text of a refusal.
	describe func(refusal) []byte
}

// Begin takes the head of an upstream's answer, and for a stream waits for the
// caller's writer.
func (s *stream) Begin(status int, h http.Header, length int) error {
	err := s.whole.Begin(status, h, length)
	if err == nil && length < 0 {
		close(s.begun)
		s.w = <-s.out
	}
	return err
}

// Write passes on a part of the body.
func (s *stream) Write(b []byte) error {
	if s.w == nil {
		return s.whole.Write(b)
	}
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	return s.w.Flush()
}

// Abort ends a stream with an error event in place of its last one.
func (s *stream) Abort(f forwarder.Refusal) {
	s.whole.Abort(f)
	if s.w == nil {
		return
	}
	// The caller may be gone; there is nobody else to tell.
	_, _ = s.w.WriteString("event: error\ndata: ")
	_, _ = s.w.Write(s.describe(*s.refused))
	_, _ = s.w.WriteString("\n\n")
	_ = s.w.Flush()
}

// serveStream forwards a call and relays its answer event by event.
func (r *Receiver) serveStream(c fiber.Ctx, k *call, w work) error {
	stop := watchCaller(c, k)
	s := &stream{begun: make(chan struct{}), out: make(chan *bufio.Writer), describe: func(f refusal) []byte {
		now := time.Now()
		return f.document(k.id, k.dir.AttendedFrom(now), now)
	}}
	over := make(chan struct{})
	go func() {
		defer close(over)
		r.forward(k, w, s)
		k.release()
	}()
	select {
	case <-s.begun:
	case <-over:
		stop()
		return r.writeWhole(c, k, &s.whole)
	}
	c.Status(s.status).Set(fiber.HeaderContentType, s.contentType)
	c.Set(HeaderRequestID, k.id)
	c.Set(fiber.HeaderCacheControl, "no-store")
	return c.SendStreamWriter(func(out *bufio.Writer) {
		defer stop()
		s.out <- out
		<-over
	})
}

// writeWhole sends a whole answer, or the refusal that stands for it.
func (r *Receiver) writeWhole(c fiber.Ctx, k *call, a *whole) error {
	if f := a.refusal(); f != nil {
		return r.write(c, k.id, *f)
	}
	c.Set(fiber.HeaderContentType, a.contentType)
	c.Set(HeaderOutcome, string(Complete))
	c.Set(HeaderRequestID, k.id)
	return c.Status(a.status).Send(a.body)
}

// watchCaller cancels a request when its caller closes the connection. It
// must be stopped before the handler returns the connection to the library.
func watchCaller(c fiber.Ctx, k *call) (stop func()) {
	ctx, cancel := context.WithCancel(k.ctx)
	k.ctx = ctx
	conn := c.RequestCtx().Conn()
	over := make(chan struct{})
	go func() {
		tick := time.NewTicker(goneEvery)
		defer tick.Stop()
		for {
			select {
			case <-over:
				return
			case <-ctx.Done():
				return
			case <-tick.C:
				if prober.Probe(conn) == prober.Closed {
					cancel()
					return
				}
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(over)
		cancel()
	})
}
