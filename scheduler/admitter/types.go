package admitter

import (
	"time"

	"foxtaillug.org/scheduler"
)

// Reason says why an ask was refused. Nothing of a refused ask was run.
type Reason int

// The reasons.
const (
	// Granted is the zero Reason.
	Granted Reason = iota
	// Shed refuses for want of capacity, lower tiers first.
	Shed
	// Late refuses what cannot finish before its deadline.
	Late
	// NoUpstream refuses because no upstream of the pool takes new work.
	NoUpstream
	// Quarantined refuses a request that crashes upstreams.
	Quarantined
	// NotOwner refuses because this host has no slots of the pool.
	NotOwner
	// Stopping refuses because this host is about to stop.
	Stopping
	// Unreachable refuses because no owner of the pool answers.
	Unreachable
)

// reasonNames are the reasons as callers and logs see them.
var reasonNames = map[Reason]string{
	Granted:     "granted",
	Shed:        "shed",
	Late:        "deadline",
	NoUpstream:  "noUpstream",
	Quarantined: "quarantined",
	NotOwner:    "notOwner",
	Stopping:    "stopping",
	Unreachable: "ownerUnreachable",
}

// String returns the reason as callers and logs see it.
func (r Reason) String() string {
	return reasonNames[r]
}

// Request is one request for a slot.
type Request struct {
	id        scheduler.RequestID
	workspace scheduler.WorkspaceID
	tier      scheduler.Tier
	prompt    int
	output    int
	likely    int
	prefix    uint64
	suspect   bool
	arrived   time.Time
	deadline  time.Time
}

// RequestOption sets a detail of an Ask.
type RequestOption func(*Request)

// WithTokens sets the lengths of the prompt and, as expected, of the output.
func WithTokens(prompt, output int) RequestOption {
	return func(a *Request) { a.prompt, a.output = prompt, output }
}

// WithPrefix sets the digest of the prompt's beginning.
func WithPrefix(prefix uint64) RequestOption {
	return func(a *Request) { a.prefix = prefix }
}

// WithSuspect marks a request that may crash upstreams.
func WithSuspect(suspect bool) RequestOption {
	return func(a *Request) { a.suspect = suspect }
}

// NewRequest returns an ask that is of use until deadline.
func NewRequest(id scheduler.RequestID, workspace scheduler.WorkspaceID, tier scheduler.Tier, deadline time.Time, opts ...RequestOption) Request {
	a := Request{id: id, workspace: workspace, tier: tier, deadline: deadline}
	for _, opt := range opts {
		opt(&a)
	}
	return a
}

// ID returns the request's identity.
func (a Request) ID() scheduler.RequestID { return a.id }

// Tier returns the request's standing.
func (a Request) Tier() scheduler.Tier { return a.tier }

// cost is what the ask counts for in fair sharing, in tokens.
func (a Request) cost() float64 {
	return float64(a.prompt + a.output + 1)
}

// Grant lets a request be dispatched to an upstream until it expires.
type Grant struct {
	id       scheduler.RequestID
	upstream scheduler.UpstreamID
	until    time.Time
}

// ID returns the request's identity.
func (g Grant) ID() scheduler.RequestID { return g.id }

// Upstream returns where the request is to be dispatched.
func (g Grant) Upstream() scheduler.UpstreamID { return g.upstream }

// Until returns when the grant ends if it was not used.
func (g Grant) Until() time.Time { return g.until }

// Refusal ends an ask.
type Refusal struct {
	id         scheduler.RequestID
	reason     Reason
	retryAfter time.Duration
}

// NewRefusal returns a refusal for a reason; retryAfter is 0 when it is not
// known when asking again is of use.
func NewRefusal(id scheduler.RequestID, reason Reason, retryAfter time.Duration) Refusal {
	return Refusal{id: id, reason: reason, retryAfter: retryAfter}
}

// ID returns the request's identity.
func (r Refusal) ID() scheduler.RequestID { return r.id }

// Reason returns why the ask was refused.
func (r Refusal) Reason() Reason { return r.reason }

// RetryAfter returns when asking again is of use; 0 when it is not known.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Orders are what a Pool wants done, in this order.
type Orders struct {
	grants   []Grant
	refusals []Refusal
}

// Grants returns the slots given out.
func (o Orders) Grants() []Grant { return o.grants }

// Refusals returns the asks that ended.
func (o Orders) Refusals() []Refusal { return o.refusals }

// Gate says in which order tiers may be refused over the whole pool.
type Gate interface {
	// Press notes that a tier cannot be served in time.
	Press(tier scheduler.Tier, now time.Time)
	// Permits reports whether a tier may be refused for want of capacity.
	Permits(tier scheduler.Tier, now time.Time) bool
	// Shut reports whether a tier is refused in favour of a higher one.
	Shut(tier scheduler.Tier, now time.Time) (left time.Duration, shut bool)
}

// Ending says how a granted request ended.
type Ending int

// The endings.
const (
	// Complete means that the whole answer came.
	Complete Ending = iota + 1
	// NotRun means that no byte left for the upstream.
	NotRun
	// Failed means that the upstream answered with an error.
	Failed
	// Crashed means that the upstream broke off.
	Crashed
	// Cancelled means that the caller went away.
	Cancelled
	// ConnectFailed means that the upstream took no connection; no byte left.
	ConnectFailed
)

// Usage is what a request took.
type Usage struct {
	tokens     int
	firstToken time.Duration
	total      time.Duration
}

// NewUsage returns the output tokens, the time to the first of them and the
// time from dispatch to the end.
func NewUsage(tokens int, firstToken, total time.Duration) Usage {
	return Usage{tokens: tokens, firstToken: firstToken, total: total}
}

// FirstToken returns the time to the first token.
func (g Usage) FirstToken() time.Duration { return g.firstToken }

// PerToken returns the mean time between tokens, 0 for fewer than two.
func (g Usage) PerToken() time.Duration {
	if g.tokens < 2 {
		return 0
	}
	return (g.total - g.firstToken) / time.Duration(g.tokens-1)
}
