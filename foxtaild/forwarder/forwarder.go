// Package forwarder sends requests to upstreams and relays their responses.
//
// All requests take this path: each front end builds a Request and provides a
// Responder. The forwarder requests a grant for an upstream from a
// coordinator, sends the request there and handles the response or its
// absence:
//
//   - if the upstream has not run the request, another one may be tried;
//   - if it may have run the request, another one is tried only where the
//     route allows a request to run twice;
//   - a broken stream resumes at another upstream, after the last event that
//     was relayed whole, where the route marks its streams as resumable, but only in
//     the pool and at the software version that began it. The same holds for a caller
//     that takes a stream up again, maybe at another host: its origin is looked up;
//   - if an upstream falls silent, another one takes the request over where it may be
//     tried again, but only once that one has accepted it: until then the first
//     may still go on;
//   - in all other cases the request is refused immediately, and the refusal says
//     whether it may have run.
package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"foxtaillug.org/contract"
	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/pinner"
	"foxtaillug.org/scheduler/reacher"
	"foxtaillug.org/scheduler/registrar"
)

const (
	// maxGrants is the number of grants that one request may use, including
	// those under which no byte was sent.
	maxGrants = 5
	// defaultMaxResponseBytes is the size limit of a response that is buffered
	// until it is complete, unless WithResponseLimit sets another one.
	defaultMaxResponseBytes = 8 << 20
	// defaultMaxBufferedBytes is the limit of the response buffers of all requests,
	// unless WithBufferLimit sets another one.
	defaultMaxBufferedBytes = 64 << 20
	// minTimeLeft is the minimum time until the deadline for a request to be
	// sent.
	minTimeLeft = 30 * time.Millisecond
	// defaultRetryAfter is the retry delay sent to callers when no coordinator
	// has set one.
	defaultRetryAfter = 300 * time.Millisecond
	// quarantineRetryAfter is the retry delay sent to callers whose request crashes
	// upstreams. The refusal lasts longer than callers wait.
	quarantineRetryAfter = 2 * time.Second
)

// errBuffersFull is the error of a response that there is no room for.
var errBuffersFull = eris.New("response buffers of all requests are full")

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	admitter  Admitter
	codec     Codec
	connector *connector.Connector
	directory Directory
	origins   Origins
	returns   returns
	// reach judges whether this host is cut off from upstreams, and relayer hands requests
	// over to other hosts while it is; nil if there is none.
	reach   reach
	relayer Relayer
	// quarantine refuses requests that crash upstreams.
	quarantine Quarantine
	// accepts reports whether an upstream accepts requests of this host, or else why not.
	accepts func(e registrar.Entry) (reason string, ok bool)
	log     *slog.Logger
	tracer  trace.Tracer
	observe func(contract.Explanation, time.Duration)
	// terminator is the prefix of the line that marks the last event of a
	// complete stream; empty if streams have no such event.
	terminator []byte
	// maxResponseBytes is the size limit of a response that is buffered until
	// it is complete.
	maxResponseBytes int
	// buffered is the size of the response buffers of all requests, and
	// maxBufferedBytes its limit.
	buffered         atomic.Int64
	maxBufferedBytes int64
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithObserver sets a function, such as one that updates metrics, that is
// called at each request's end with the time from the request's arrival to its
// first event, 0 if there was none.
func WithObserver(observe func(e contract.Explanation, first time.Duration)) Option {
	return func(f *Forwarder) { f.observe = observe }
}

// WithTracer sets the tracer that records a span for each request, each wait
// for a grant and each attempt.
func WithTracer(t trace.Tracer) Option {
	return func(f *Forwarder) { f.tracer = t }
}

// WithTerminator sets the prefix of the line that marks the last event of a
// complete stream. Without it a stream is complete when its HTTP body is.
func WithTerminator(line string) Option {
	return func(f *Forwarder) { f.terminator = []byte(line) }
}

// WithResponseLimit sets the maximum size in bytes of responses that are not
// streamed.
func WithResponseLimit(n int) Option {
	return func(f *Forwarder) { f.maxResponseBytes = n }
}

// WithBufferLimit sets the maximum size in bytes of the response buffers of all
// requests together.
func WithBufferLimit(n int64) Option {
	return func(f *Forwarder) { f.maxBufferedBytes = n }
}

// WithQuarantine sets the quarantine that refuses requests that crash upstreams.
// Without it the Admitter is expected to refuse them.
func WithQuarantine(q Quarantine) Option {
	return func(f *Forwarder) { f.quarantine = q }
}

// WithOrigins sets what knows where streams began. Without it no caller can take a
// stream up again.
func WithOrigins(o Origins) Option {
	return func(f *Forwarder) { f.origins = o }
}

// WithAcceptance sets a function that reports whether an upstream accepts requests of this
// host, as far as it has said in its responses, or else why not. The forwarder calls it right
// before it sends the first byte.
func WithAcceptance(accepts func(e registrar.Entry) (reason string, ok bool)) Option {
	return func(f *Forwarder) { f.accepts = accepts }
}

// New returns a forwarder.
func New(a Admitter, c Codec, conns *connector.Connector, d Directory, log *slog.Logger, opts ...Option) *Forwarder {
	f := &Forwarder{
		admitter: a, codec: c, connector: conns, directory: d, log: log,
		tracer: noop.Tracer{}, maxResponseBytes: defaultMaxResponseBytes, maxBufferedBytes: defaultMaxBufferedBytes, quarantine: noQuarantine{}, origins: noOrigins{}, returns: returns{gone: make(map[string]gone)}, reach: reach{pools: make(map[string]*reacher.Reacher)},
		observe: func(contract.Explanation, time.Duration) {},
		accepts: func(registrar.Entry) (reason string, ok bool) { return "", true },
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Result is how a request ended, for the front end.
type Result struct {
	// Status is the HTTP status relayed to the caller, 0 if the request was
	// refused.
	Status int
	// Complete reports whether the whole response was relayed.
	Complete bool
}

// handler handles one request and holds its state.
type handler struct {
	*Forwarder
	r         *Request
	responder Responder
	// dispatched counts the attempts in which the request was sent. tried lists
	// the upstreams that it was sent to and those that could not be reached, and
	// versions those of their software.
	dispatched int
	tried      []string
	versions   []string
	// unreached is the number of upstreams that could not be connected to.
	unreached int
	// excluded lists further upstreams that must not be tried.
	excluded []string
	// pool is the pool whose upstreams are tried. origin is where the stream began, nil
	// until an event is relayed or if the caller does not take a stream up.
	pool   string
	origin *pinner.Origin
	// relayedFrom is the upstream whose events were relayed last, and relayedSince when
	// the request was sent to it.
	relayedFrom  registrar.Entry
	relayedSince time.Time
	// relayedVersions lists the versions of the upstreams whose events were relayed.
	relayedVersions []string
	// possibleRuns is the number of upstreams that may have run the request.
	possibleRuns int
	// responseStarted reports whether an upstream has begun to respond.
	responseStarted bool
	// headSent reports whether the head of a streamed response was sent to the
	// caller; lastEventID is the ID of the last event that was.
	headSent    bool
	lastEventID int64
	// failedResponse is the last authentic 5xx response, which is relayed if no
	// other upstream succeeds.
	failedResponse *response
	refusal        Refusal
	// buffered is the size of this request's response buffers.
	buffered int64
	// waited is the time spent waiting for grants; endings lists how the
	// attempts ended, and limits what their responses said of the rate that
	// their upstreams accept.
	waited  time.Duration
	endings []string
	limits  []string
	// owner is the host that decided on the last admission request.
	owner string
	// directoryAge is the highest age of the directory at an attempt.
	directoryAge time.Duration
	// firstEvent is the time from the request's arrival to its first event.
	// longestPause is the longest time between two events, and lastEventAt is
	// when the last one arrived.
	firstEvent, longestPause time.Duration
	lastEventAt              time.Time
}

// response is an upstream's response with its whole body.
type response struct {
	status int
	header http.Header
	body   []byte
}

// Serve forwards a request and returns when its response or refusal has been
// sent.
func (f *Forwarder) Serve(ctx context.Context, r *Request, responder Responder) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, span := f.tracer.Start(ctx, "entry")
	defer span.End()
	h := &handler{Forwarder: f, r: r, responder: responder, lastEventID: r.LastEventID, pool: r.Pool, dispatched: r.Dispatched}
	defer func() { f.buffered.Add(-h.buffered) }()
	res := h.serve(ctx)
	h.report(ctx, res)
	return res
}

// growBuffer returns a copy of a full buffer with twice its capacity, at least minimum.
// It fails if the buffers of all requests would exceed their limit. Buffers count
// until the request ends.
func (h *handler) growBuffer(b []byte, minimum int) ([]byte, error) {
	size := max(2*cap(b), minimum)
	h.buffered += int64(size)
	if h.Forwarder.buffered.Add(int64(size)) > h.maxBufferedBytes {
		return nil, errBuffersFull
	}
	return append(make([]byte, 0, size), b...), nil
}

// serve tries upstreams until one response is relayed or the request is
// refused.
func (h *handler) serve(ctx context.Context) Result {
	if res, ended := h.handOver(ctx); ended {
		return res
	}
	if h.r.resumesStream() && !h.findOrigin(ctx) {
		return h.giveUp()
	}
	for range maxGrants {
		g, ok := h.requestGrant(ctx)
		if !ok {
			if ctx.Err() == nil && h.refusedForReach() {
				if res, ended := h.handOver(ctx); ended {
					return res
				}
			}
			return h.giveUp()
		}
		res := h.attempt(ctx, g)
		for res.successor != nil {
			h.endings = append(h.endings, res.ending.String())
			res = res.successor.complete(ctx)
		}
		h.endings = append(h.endings, res.ending.String())
		if !res.delivered {
			h.checkReplaced()
		}
		switch {
		case res.delivered:
			return Result{Status: res.status, Complete: true}
		case res.final || ctx.Err() != nil:
			return h.giveUp()
		case !h.mayRetry():
			return h.giveUp()
		}
		if res, ended := h.handOver(ctx); ended {
			return res
		}
	}
	h.refuse(Refusal{Outcome: NotRun, Reason: "noUpstream", RetryAfter: defaultRetryAfter})
	return h.giveUp()
}

// mayRetry reports whether the route allows an attempt at another upstream.
func (h *handler) mayRetry() bool {
	if h.dispatched >= max(h.r.Route.Attempts, 1) || !h.mayGoOn() {
		return false
	}
	return h.possibleRuns == 0 || h.r.Route.Retryable()
}

// refuse sets the refusal of a request that is not run now, unless an earlier
// attempt may have run it.
func (h *handler) refuse(r Refusal) {
	if h.possibleRuns == 0 {
		h.refusal = r
	}
}

// refuseQuarantined sets the refusal of a request that crashes upstreams.
func (h *handler) refuseQuarantined() {
	h.refuse(Refusal{Outcome: NotRun, Reason: coordinator.Quarantined.String(), RetryAfter: quarantineRetryAfter})
}

// setContextRefusal sets the refusal of a request whose deadline has passed or
// whose caller has disconnected.
func (h *handler) setContextRefusal(ctx context.Context) {
	o := NotRun
	if h.possibleRuns > 0 {
		o = TimedOut
	}
	reason := "deadline"
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = "callerGone"
	}
	h.refusal = Refusal{Outcome: o, Reason: reason, RetryAfter: defaultRetryAfter}
}

// giveUp ends a request without a successful response: it aborts a response
// that has begun, or else relays an upstream's failure or sends the refusal.
func (h *handler) giveUp() Result {
	h.refusal.ResponseStarted = h.responseStarted
	if h.headSent {
		h.responder.Abort(h.refusal)
		return Result{Status: http.StatusOK}
	}
	if resp := h.failedResponse; resp != nil {
		return h.deliver(resp)
	}
	if err := h.responder.Refuse(h.refusal); err != nil {
		h.log.Debug("sending the refusal to the caller failed", "id", h.r.ID, "error", err.Error())
	}
	return Result{}
}

// deliver relays a whole response.
func (h *handler) deliver(resp *response) Result {
	err := h.responder.Begin(resp.status, resp.header, len(resp.body))
	if err == nil {
		err = h.responder.Write(resp.body)
	}
	if err != nil {
		h.log.Debug("sending the response to the caller failed", "id", h.r.ID, "error", err.Error())
		h.responder.Abort(Refusal{Outcome: Unknown, ResponseStarted: true, Reason: "callerGone"})
	}
	return Result{Status: resp.status, Complete: err == nil}
}
