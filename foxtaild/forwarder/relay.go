package forwarder

import (
	"context"
	"net/http"

	"foxtaillug.org/scheduler/coordinator"
)

// maxUnreached is the number of upstreams that a request fails to connect to before it is
// handed over to another host.
const maxUnreached = 2

// Relayer hands requests over to other hosts, which serve them whole. It is safe for
// concurrent use.
type Relayer interface {
	// Relay hands a request over and passes its response on. It returns false if no host
	// took the request; then it has not run.
	Relay(ctx context.Context, r *Request, out Responder) (RelayResult, bool)
}

// RelayResult is how a request that another host took has ended.
type RelayResult struct {
	// Host is the host that took it.
	Host string
	// Status is the HTTP status that was passed on to the caller, 0 if none was.
	Status int
	// Refusal is set if the host has refused the request, and Aborted if it has ended a
	// response that had begun without it being whole.
	Refusal, Aborted *Refusal
	// Lost reports whether the connection to the host was lost, or the response could not
	// be passed on; the request may have run. Err is the cause.
	Lost bool
	Err  error
}

// WithRelayer sets what hands requests over to other hosts while this one is cut off from
// upstreams. Without it they are refused.
func WithRelayer(r Relayer) Option {
	return func(f *Forwarder) { f.relayer = r }
}

// mayHandOver reports whether the request may be handed over to another host: it has not been
// yet, and this host is likely cut off, or this request has failed to connect several times.
func (h *handler) mayHandOver() bool {
	return h.relayer != nil && h.r.HandedOverBy == "" && !h.headSent &&
		(h.unreached >= maxUnreached || h.CutOff(h.pool))
}

// handOver hands the request over to another host if it may be, and again if that host is
// lost and the route allows it. It returns false if the request has to be tried here.
func (h *handler) handOver(ctx context.Context) (res Result, ended bool) {
	for h.mayHandOver() {
		r := *h.r
		r.Dispatched = h.dispatched
		out := &passer{Responder: h.responder}
		x, ok := h.relayer.Relay(ctx, &r, out)
		if !ok {
			return res, false
		}
		h.owner = x.Host
		h.responseStarted = h.responseStarted || out.begun
		h.headSent = out.begun
		if !x.Lost {
			h.endings = append(h.endings, "handedOver")
			return h.endHandedOver(x), true
		}
		h.recordLostHandOver(ctx, x)
		if ctx.Err() != nil || out.begun || !h.mayRetry() {
			return h.giveUp(), true
		}
	}
	return res, false
}

// endHandedOver ends a request that another host has served, refused or broken off.
func (h *handler) endHandedOver(x RelayResult) Result {
	switch {
	case x.Aborted != nil:
		h.refusal = *x.Aborted
		h.responder.Abort(h.refusal)
		return Result{Status: x.Status}
	case x.Refusal != nil:
		if h.possibleRuns == 0 || x.Refusal.Outcome == Unknown || x.Refusal.Outcome == TimedOut {
			h.refusal = *x.Refusal
		}
		h.responseStarted = h.responseStarted || x.Refusal.ResponseStarted
		return h.giveUp()
	default:
		return Result{Status: x.Status, Complete: true}
	}
}

// recordLostHandOver records that another host took the request and was lost: the request may
// have run.
func (h *handler) recordLostHandOver(ctx context.Context, x RelayResult) {
	h.log.Info("request handed over was lost", "id", h.r.ID, "host", x.Host, "error", x.Err.Error())
	h.endings = append(h.endings, "handedOverLost")
	h.dispatched++
	h.possibleRuns++
	h.refusal = Refusal{Outcome: Unknown, Reason: "answerLost", RetryAfter: defaultRetryAfter}
	if ctx.Err() != nil {
		h.setContextRefusal(ctx)
	}
}

// refusedForReach reports whether the last admission request was refused as no upstream could
// take the request in time, which another host may know better.
func (h *handler) refusedForReach() bool {
	reason := h.refusal.Reason
	return reason == coordinator.NoUpstream.String() || reason == coordinator.NoCapacity.String()
}

// passer notes whether a response has begun.
type passer struct {
	Responder
	begun bool
}

// Begin sends the head of the response.
func (p *passer) Begin(status int, header http.Header, length int) error {
	p.begun = true
	return p.Responder.Begin(status, header, length)
}
