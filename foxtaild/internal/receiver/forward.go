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
	// callerCheckInterval is the time between checks whether the caller has
	// disconnected.
	callerCheckInterval = 100 * time.Millisecond
	// doneEvent is the prefix of the line that marks the last event of a
	// complete stream.
	doneEvent = "data: [DONE]"
)

// upstreamRequest is the request that is sent to an upstream for a call. prompt
// and output are in tokens.
type upstreamRequest struct {
	kind           router.Kind
	method, path   string
	contentType    string
	body           []byte
	prompt, output int
	digest, prefix uint64
}

// forward sends a call's request to an upstream, at most once, and the result
// to responder.
func (r *Receiver) forward(k *call, req upstreamRequest, responder forwarder.Responder) {
	header := make(http.Header, 1)
	if req.contentType != "" {
		header["Content-Type"] = []string{req.contentType}
	}
	r.forwarder.Serve(k.ctx, &forwarder.Request{
		ID: k.id, Method: req.method, Target: req.path, Header: header, Body: req.body,
		Route: &router.Route{Name: string(k.pool), Kind: req.kind, Attempts: 1}, Pool: string(k.pool),
		Workspace: string(k.workspace.ID()), Tier: int(k.workspace.Tier()), TierName: k.workspace.TierName(),
		Arrived: k.arrived, Deadline: k.deadline, LastEventID: forwarder.NoEvent,
		Prompt: req.prompt, Output: req.output, Digest: req.digest, Prefix: req.prefix,
	}, responder)
}

// bufferedResponse buffers a whole response, or the refusal that replaces it.
// It implements forwarder.Responder.
type bufferedResponse struct {
	status      int
	contentType string
	body        []byte
	refused     *refusal
}

// Begin stores the status and content type of an upstream's response.
func (b *bufferedResponse) Begin(status int, h http.Header, _ int) error {
	b.status, b.contentType = status, h.Get(fiber.HeaderContentType)
	return nil
}

// Write appends a part of the body.
func (b *bufferedResponse) Write(p []byte) error {
	b.body = append(b.body, p...)
	return nil
}

// Refuse stores the refusal.
func (b *bufferedResponse) Refuse(f forwarder.Refusal) error {
	refused := convertRefusal(f)
	b.refused = &refused
	return nil
}

// Abort stores the refusal of a response that broke off.
func (b *bufferedResponse) Abort(f forwarder.Refusal) { _ = b.Refuse(f) }

// refusal returns the refusal to send to the caller, nil if there is a
// successful response. A 5xx response is replaced by a refusal.
func (b *bufferedResponse) refusal() *refusal {
	if b.refused == nil && b.status >= fiber.StatusInternalServerError {
		return &refusal{status: fiber.StatusBadGateway, outcome: Failed, reason: reasonUpstreamError, detail: "The upstream answered with an error."}
	}
	return b.refused
}

// forwardBuffered forwards a call and returns its whole response.
func (r *Receiver) forwardBuffered(k *call, req upstreamRequest) *bufferedResponse {
	b := &bufferedResponse{}
	r.forward(k, req, b)
	return b
}

// stream relays a streamed response as it arrives and buffers any other
// response. It implements forwarder.Responder.
type stream struct {
	bufferedResponse
	// started is closed when the upstream's response turns out to be a stream;
	// the caller's writer must then be sent to out.
	started chan struct{}
	out     chan *bufio.Writer
	w       *bufio.Writer
	// encodeRefusal returns the body of a refusal.
	encodeRefusal func(refusal) []byte
}

// Begin stores the status and content type of an upstream's response and, for a
// stream, waits for the caller's writer.
func (s *stream) Begin(status int, h http.Header, length int) error {
	err := s.bufferedResponse.Begin(status, h, length)
	if err == nil && length < 0 {
		close(s.started)
		s.w = <-s.out
	}
	return err
}

// Write relays a part of the body immediately, or buffers it if the response isn't
// a stream.
func (s *stream) Write(b []byte) error {
	if s.w == nil {
		return s.bufferedResponse.Write(b)
	}
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	return s.w.Flush()
}

// Abort ends a stream with an error event instead of its regular last event.
func (s *stream) Abort(f forwarder.Refusal) {
	s.bufferedResponse.Abort(f)
	if s.w == nil {
		return
	}
	// Write errors are ignored: they mean that the caller has disconnected, and
	// nobody else needs to know.
	_, _ = s.w.WriteString("event: error\ndata: ")
	_, _ = s.w.Write(s.encodeRefusal(*s.refused))
	_, _ = s.w.WriteString("\n\n")
	_ = s.w.Flush()
}

// serveStream forwards a call and relays its response event by event.
func (r *Receiver) serveStream(c fiber.Ctx, k *call, req upstreamRequest) error {
	stop := watchCaller(c, k)
	s := &stream{started: make(chan struct{}), out: make(chan *bufio.Writer), encodeRefusal: func(f refusal) []byte {
		now := time.Now()
		return f.problemJSON(k.id, k.dir.AttendedFrom(now), now)
	}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer k.release()
		defer r.abortPanicked(k, s)
		r.forward(k, req, s)
	}()
	select {
	case <-s.started:
	case <-done:
		stop()
		return r.writeResponse(c, k, &s.bufferedResponse)
	}
	c.Status(s.status).Set(fiber.HeaderContentType, s.contentType)
	c.Set(HeaderRequestID, k.id)
	c.Set(fiber.HeaderCacheControl, "no-store")
	return c.SendStreamWriter(func(out *bufio.Writer) {
		defer stop()
		s.out <- out
		<-done
	})
}

// abortPanicked aborts a stream whose forwarder panicked. It must be deferred
// directly by the goroutine of the stream: a panic there would end the process.
func (r *Receiver) abortPanicked(k *call, s *stream) {
	if fault := recover(); fault != nil {
		r.recordPanic(k, fault)
		s.Abort(forwarder.Refusal{Outcome: forwarder.Unknown, Reason: reasonInternal})
	}
}

// writeResponse sends a buffered response, or the refusal that replaces it.
func (r *Receiver) writeResponse(c fiber.Ctx, k *call, b *bufferedResponse) error {
	if f := b.refusal(); f != nil {
		return r.writeRefusal(c, k.id, *f)
	}
	c.Set(fiber.HeaderContentType, b.contentType)
	c.Set(HeaderOutcome, string(Complete))
	c.Set(HeaderRequestID, k.id)
	return c.Status(b.status).Send(b.body)
}

// watchCaller cancels a request when its caller closes the connection. Call
// stop before the handler returns the connection to the HTTP library.
func watchCaller(c fiber.Ctx, k *call) (stop func()) {
	ctx, cancel := context.WithCancel(k.ctx)
	k.ctx = ctx
	conn := c.RequestCtx().Conn()
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(callerCheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
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
		close(done)
		cancel()
	})
}
