package receiver

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"foxtaillug.org/foxtaild/internal/dispatcher"
	"foxtaillug.org/foxtaild/internal/granter"
	"foxtaillug.org/foxtaild/internal/prober"
	"foxtaillug.org/foxtaild/internal/requester"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/drainer"
)

const (
	// goneEvery is how often it is looked whether the caller went away.
	goneEvery = 100 * time.Millisecond
	// maxTries bounds the slots one request may get before a byte of it has
	// left.
	maxTries = 8
)

// work is what an upstream is to be sent.
type work struct {
	method      string
	path        string
	contentType []byte
	body        []byte
	demand      []requester.DemandOption
}

// run is a request that has left for an upstream.
type run struct {
	slot  *requester.Slot
	x     *dispatcher.Exchange
	sent  time.Time
	first time.Time
	span  trace.Span
	req   *fasthttp.Request
	stop  func() bool
}

// finish tells the owner how the run ended, once.
func (u *run) finish(ending admitter.Ending, tokens int) {
	g := requester.Usage{Tokens: tokens, Total: time.Since(u.sent)}
	if !u.first.IsZero() {
		g.FirstToken = u.first.Sub(u.sent)
	}
	u.slot.Finish(ending, g)
	u.span.SetAttributes(attribute.Int("tokens", tokens))
	u.span.End()
	if u.stop != nil {
		u.stop()
	}
	if u.req != nil {
		fasthttp.ReleaseRequest(u.req)
		u.req = nil
	}
}

// dispatch gets a slot and sends the work, once. A slot of which no byte was
// used may be followed by another; nothing else is tried twice.
func (r *Receiver) dispatch(k *call, w work) (u *run, f refusal, ok bool) {
	for range maxTries {
		slot, f, ok := r.acquire(k, w)
		if !ok {
			return nil, f, false
		}
		u, f, again := r.send(k, w, slot)
		if u != nil {
			return u, refusal{}, true
		}
		if !again {
			return nil, f, false
		}
	}
	f = notRun(fiber.StatusServiceUnavailable, reasonNotDispatched, "No upstream took the request.")
	f.retryAfter = time.Second
	return nil, f, false
}

// acquire gets a slot for a request.
func (r *Receiver) acquire(k *call, w work) (slot *requester.Slot, f refusal, ok bool) {
	ctx, span := r.reporter.Tracer().Start(k.ctx, "grantWait")
	defer span.End()
	began := time.Now()
	opts := w.demand
	if sc := span.SpanContext(); sc.IsSampled() {
		opts = append(opts, requester.WithTrace(binaryTrace(sc)))
	}
	d := requester.NewDemand(k.pool, k.standing.ID(), k.standing.Tier(), k.deadline, opts...)
	slot, err := r.requester.Acquire(ctx, d)
	k.entry.WaitedMs += time.Since(began).Milliseconds()
	if err == nil {
		k.entry.Owner, k.entry.Upstream = string(slot.Owner()), string(slot.Upstream())
		return slot, refusal{}, true
	}
	var refused *requester.RefusedError
	if !eris.As(err, &refused) {
		refused = &requester.RefusedError{}
	}
	if k.ctx.Err() == context.Canceled {
		return nil, notRun(fiber.StatusServiceUnavailable, reasonCallerGone, ""), false
	}
	k.entry.Owner = string(refused.Owner())
	return nil, refusedSlot(refused.Reason(), refused.RetryAfter()), false
}

// binaryTrace returns a trace context as 25 bytes: trace, span and flags.
func binaryTrace(sc trace.SpanContext) []byte {
	t, s := sc.TraceID(), sc.SpanID()
	return append(append(append([]byte{}, t[:]...), s[:]...), byte(sc.TraceFlags()))
}

// send dispatches to the upstream of a slot. Again is true when it is proved
// that no byte has left, so that another slot may be taken.
func (r *Receiver) send(k *call, w work, slot *requester.Slot) (u *run, f refusal, again bool) {
	member, ok := k.dir.Upstream(slot.Upstream())
	if s := r.keeper.State(); s != nil {
		member, ok = s.Directory().Upstream(slot.Upstream())
	}
	if !ok {
		slot.Finish(admitter.NotRun, requester.Usage{})
		return nil, refusal{}, true
	}
	ctx, span := r.reporter.Tracer().Start(k.ctx, "upstream", trace.WithAttributes(attribute.String("upstream", string(slot.Upstream()))))
	req := upstreamRequest(w.method, w.path, member.Address(), w.contentType, w.body, k.id)
	r.reporter.Propagator().Inject(ctx, headerCarrier{&req.Header})
	u = &run{slot: slot, span: span, req: req}
	sent := func() bool {
		u.sent = time.Now()
		open := r.open(member.ID(), member.Domain()) && k.ctx.Err() == nil
		if open {
			k.entry.Dispatches++
		}
		return open
	}
	x, err := r.dispatcher.Send(member.Address(), req, slot.Expiry(), k.deadline, sent, k.ctx.Done())
	if err == nil {
		u.x, u.first = x, time.Now()
		u.stop = context.AfterFunc(k.ctx, x.Cancel)
		return u, refusal{}, false
	}
	return nil, r.failed(k, u, err), eris.Is(err, dispatcher.ErrNotSent) && k.ctx.Err() == nil
}

// open reports whether the configuration in force lets an upstream have new
// work. It is asked again right before the first byte leaves.
func (r *Receiver) open(id scheduler.UpstreamID, domain scheduler.DomainID) bool {
	s := r.keeper.State()
	if s == nil {
		return false
	}
	d := drainer.New()
	d.SetDrains(granter.Drains(s.Directory()))
	return d.Upstream(id, domain) == drainer.Open
}

// failed tells the owner of a dispatch that failed and returns the refusal.
func (r *Receiver) failed(k *call, u *run, err error) refusal {
	switch {
	case eris.Is(err, dispatcher.ErrUnreached):
		u.finish(admitter.Unreached, 0)
		return notRun(fiber.StatusServiceUnavailable, reasonNotDispatched, "The upstream took no connection.")
	case eris.Is(err, dispatcher.ErrNotSent):
		u.finish(admitter.NotRun, 0)
		return notRun(fiber.StatusServiceUnavailable, reasonNotDispatched, "The request did not leave in time.")
	case k.ctx.Err() == context.Canceled:
		u.finish(admitter.Cancelled, 0)
		return refusal{status: fiber.StatusBadGateway, outcome: Unknown, reason: reasonCallerGone}
	case timedOut(err):
		u.finish(admitter.Cancelled, 0)
		return refusal{status: fiber.StatusGatewayTimeout, outcome: Unknown, reason: reasonTimeout, detail: "The upstream did not answer in time."}
	case eris.Is(err, dispatcher.ErrCrossed):
		u.finish(admitter.Failed, 0)
		return refusal{status: fiber.StatusBadGateway, outcome: Unknown, reason: reasonAnswerCrossed, detail: "The upstream sent an answer to another request."}
	default:
		u.finish(admitter.Crashed, 0)
		return refusal{status: fiber.StatusBadGateway, outcome: Unknown, reason: reasonUpstreamSilent, detail: "The upstream broke off before it answered."}
	}
}

// timedOut reports whether an error is a deadline that passed.
func timedOut(err error) bool {
	var ne net.Error
	return eris.As(err, &ne) && ne.Timeout()
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
	return func() {
		close(over)
		cancel()
	}
}
