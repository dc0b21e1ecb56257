// Package forwarder carries a request to an upstream and its answer back.
//
// It is the one request path of the product: every front makes a Request and
// hands in a Reply. The forwarder asks a coordinator for an upstream, sends
// the request there, and decides what an answer, or the lack of one, means:
//
//   - an upstream that has not run the request may be followed by another one;
//   - one that may have run it is followed by another only where the route
//     allows a request to run twice;
//   - a stream that breaks goes on at another upstream where the route says
//     that it may be resumed, after the last event that was passed on whole;
//   - everything else ends with an honest refusal, at once.
package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"foxtaillug.org/contract"
	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/router"
)

const (
	// maxGrants bounds the grants that one request may use up without a byte
	// being sent.
	maxGrants = 5
	// answerLimit bounds the answer of a plain call that is kept until it is
	// whole, in bytes, unless WithAnswerLimit says otherwise.
	answerLimit = 8 << 20
	// minLeft is the least time worth sending a request with.
	minLeft = 30 * time.Millisecond
	// retryLater is told to callers of requests that ran out of time.
	retryLater = 300 * time.Millisecond
)

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	asker     Admitter
	codec     Codec
	connector *connector.Connector
	directory Directory
	log       *slog.Logger
	tracer    trace.Tracer
	observe   func(contract.Explanation, time.Duration)
	// terminator begins the last event of a whole stream, if there is one.
	terminator []byte
	// answerLimit bounds an answer that is kept until it is whole, in bytes.
	answerLimit int
}

// Option sets a detail of a Forwarder.
type Option func(*Forwarder)

// WithObserver tells each request's end and its time to the first event, 0 if
// none came, to metrics.
func WithObserver(observe func(e contract.Explanation, first time.Duration)) Option {
	return func(f *Forwarder) { f.observe = observe }
}

// WithTracer makes a span of each request, each wait for a grant and each
// attempt.
func WithTracer(t trace.Tracer) Option {
	return func(f *Forwarder) { f.tracer = t }
}

// WithTerminator sets how the last event of a whole stream begins. Without it
// a stream is whole when its body is.
func WithTerminator(line string) Option {
	return func(f *Forwarder) { f.terminator = []byte(line) }
}

// WithResponseLimit bounds the answers of plain calls, in bytes.
func WithResponseLimit(n int) Option {
	return func(f *Forwarder) { f.answerLimit = n }
}

// New returns a forwarder.
func New(a Admitter, c Codec, conns *connector.Connector, d Directory, log *slog.Logger, opts ...Option) *Forwarder {
	f := &Forwarder{
		asker: a, codec: c, connector: conns, directory: d, log: log,
		tracer: noop.Tracer{}, answerLimit: answerLimit,
		observe: func(contract.Explanation, time.Duration) {},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Result tells a front how a request ended.
type Result struct {
	// Status is the status passed on, 0 where the request was refused.
	Status int
	// Complete reports whether the whole answer was passed on.
	Complete bool
}

// run is one request on its way.
type run struct {
	*Forwarder
	r     *Request
	reply Responder
	// sent counts the upstreams that a byte was sent to, tried names them.
	sent  int
	tried []string
	// maybeRun reports whether an upstream may have run the request.
	maybeRun bool
	// ran reports whether an upstream has begun to answer.
	ran bool
	// begun reports whether the head of an answer was passed on, and after is
	// the number of the last event that was.
	begun bool
	after int64
	// failure is an upstream's own failure, to be passed on in the end.
	failure *answer
	refusal Refusal
	queued  time.Duration
	endings []string
	// owner is the host that decided last.
	owner string
	// firstByte is when the first event came after the request's arrival,
	// longest the longest pause after it, which ended at lastByte.
	firstByte, longest time.Duration
	lastByte           time.Time
}

// answer is an upstream's answer with its whole body.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// Serve forwards a request and returns when its answer has been passed on.
func (f *Forwarder) Serve(ctx context.Context, r *Request, reply Responder) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, span := f.tracer.Start(ctx, "entry")
	defer span.End()
	n := &run{Forwarder: f, r: r, reply: reply, after: r.LastEventID}
	res := n.serve(ctx)
	n.report(ctx, res)
	return res
}

// report writes the request's line into the log and tells the metrics. What
// was not served is logged at a level, and so with a budget, of its own.
func (n *run) report(ctx context.Context, res Result) {
	r := n.r
	outcome, level := "complete", slog.LevelInfo
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		outcome = "callerGone"
	case res.Status == 0:
		outcome, level = n.refusal.Outcome.String(), slog.LevelWarn
	case !res.Complete:
		outcome, level = "broken", slog.LevelWarn
	case res.Status >= http.StatusInternalServerError:
		outcome, level = "failed", slog.LevelWarn
	}
	took := time.Since(r.Arrived)
	n.log.Log(context.Background(), level, "request",
		"id", r.ID, "route", r.Route.Name, "kind", r.Route.Kind.String(), "workspace", r.Workspace, "tier", r.Tier, "priority", r.Route.Priority, "pool", r.Pool,
		"outcome", outcome, "status", res.Status, "reason", n.refusal.Reason,
		"retryAfterMs", n.refusal.RetryAfter.Milliseconds(),
		"prompt", r.Prompt, "output", r.Output, "cost", r.Cost, "ageMs", r.Age.Milliseconds(),
		"waitedMs", n.queued.Milliseconds(), "firstMs", n.firstByte.Milliseconds(), "pauseMs", n.longest.Milliseconds(), "tookMs", took.Milliseconds(),
		"owner", n.owner, "upstreams", n.tried, "endings", n.endings)
	upstream := ""
	if len(n.tried) > 0 {
		upstream = n.tried[len(n.tried)-1]
	}
	n.observe(contract.Explanation{
		RequestID: r.ID, At: r.Arrived, Workspace: r.Workspace, Tier: r.TierName, Pool: r.Pool, Owner: n.owner, Upstream: upstream,
		Outcome: outcome, Reason: n.refusal.Reason, WaitedMs: n.queued.Milliseconds(), TotalMs: took.Milliseconds(), Dispatches: n.sent,
	}, n.firstByte)
}

// serve tries upstreams until the request has its answer or is given up.
func (n *run) serve(ctx context.Context) Result {
	for range maxGrants {
		g, ok := n.ask(ctx)
		if !ok {
			return n.giveUp()
		}
		end := n.attempt(ctx, g)
		n.endings = append(n.endings, end.ending.String())
		switch {
		case end.delivered:
			return Result{Status: end.status, Complete: true}
		case end.ended || ctx.Err() != nil:
			return n.giveUp()
		case !n.mayRetry():
			return n.giveUp()
		}
	}
	n.refusal = Refusal{Outcome: NotRun, Reason: "noUpstream", RetryAfter: retryLater}
	return n.giveUp()
}

// mayRetry reports whether the route allows another upstream.
func (n *run) mayRetry() bool {
	if n.sent >= max(n.r.Route.Attempts, 1) {
		return false
	}
	return !n.maybeRun || n.r.Route.Repeatable()
}

// ask gets a grant and keeps the refusal, if it is one.
func (n *run) ask(ctx context.Context) (Grant, bool) {
	r := n.r
	ctx, span := n.tracer.Start(ctx, "grantWait")
	defer span.End()
	began := time.Now()
	g, err := n.asker.Admit(ctx, coordinator.Request{
		Pool: r.Pool, Workspace: r.Workspace, Tier: r.Tier, Priority: r.Route.Priority,
		Age: r.Age + began.Sub(r.Arrived), Objective: r.Route.Objective, Left: time.Until(r.Deadline), Waited: n.queued,
		Cost: r.Cost, Prompt: r.Prompt, Output: r.Output,
		Repeat: n.sent > 0, Exclude: n.tried, Regions: r.Regions, Digest: r.Digest, Prefix: r.Prefix,
	})
	n.queued += time.Since(began)
	if err != nil {
		n.refuse(ctx)
		return g, false
	}
	n.owner = g.Owner
	if g.Refusal == nil {
		return g, true
	}
	if !n.maybeRun {
		n.refusal = *g.Refusal
	}
	return g, false
}

// refuse sets the refusal of a request whose time is over.
func (n *run) refuse(ctx context.Context) {
	v := NotRun
	if n.maybeRun {
		v = TimedOut
	}
	reason := "deadline"
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = "callerGone"
	}
	n.refusal = Refusal{Outcome: v, Reason: reason, RetryAfter: retryLater}
}

// giveUp ends a request that has no good answer.
func (n *run) giveUp() Result {
	n.refusal.ResponseStarted = n.ran
	if n.begun {
		n.reply.Abort(n.refusal)
		return Result{Status: http.StatusOK}
	}
	if a := n.failure; a != nil {
		return n.deliver(a)
	}
	if err := n.reply.Refuse(n.refusal); err != nil {
		n.log.Debug("refusal not delivered", "id", n.r.ID, "error", err.Error())
	}
	return Result{}
}

// deliver passes a whole answer on.
func (n *run) deliver(a *answer) Result {
	err := n.reply.Begin(a.status, a.header, len(a.body))
	if err == nil {
		err = n.reply.Write(a.body)
	}
	if err != nil {
		n.log.Debug("answer not delivered", "id", n.r.ID, "error", err.Error())
		n.reply.Abort(Refusal{Outcome: Unknown, ResponseStarted: true, Reason: "callerGone"})
	}
	return Result{Status: a.status, Complete: err == nil}
}

// resumable reports whether the request's stream may go on elsewhere.
func (n *run) resumable() bool {
	return n.r.Route.Kind == router.Streaming && n.r.Route.Resumable
}
