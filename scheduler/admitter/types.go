package admitter

import (
	"time"

	"foxtaillug.org/scheduler"
)

// Reason is why a request was refused. A refused request was not run at all.
type Reason int

// Refusal reasons.
const (
	// Granted is the zero Reason: not refused.
	Granted Reason = iota
	// Shed means lack of capacity; lower tiers are shed first.
	Shed
	// Late means that the request cannot finish before its deadline.
	Late
	// NoUpstream means that no upstream of the pool accepts new requests.
	NoUpstream
	// Quarantined means that the request crashes upstreams.
	Quarantined
	// NotOwner means that this host has no slots of the pool.
	NotOwner
	// Stopping means that this host is shutting down.
	Stopping
	// Unreachable means that no owner of the pool responds.
	Unreachable
)

// reasonNames maps reasons to the names used in responses and logs.
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

// String returns the name of the reason in responses and logs.
func (r Reason) String() string {
	return reasonNames[r]
}

// Request is an admission request: it asks for one slot in a pool. Its lengths
// are in tokens: output is the longest output to expect, likely a length that
// most outputs do not exceed.
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

// RequestOption configures a Request.
type RequestOption func(*Request)

// WithTokens sets the prompt length and the expected output length in tokens.
func WithTokens(prompt, output int) RequestOption {
	return func(r *Request) { r.prompt, r.output = prompt, output }
}

// WithPrefix sets the digest of the prompt prefix.
func WithPrefix(prefix uint64) RequestOption {
	return func(r *Request) { r.prefix = prefix }
}

// WithSuspect marks a request that may crash upstreams.
func WithSuspect(suspect bool) RequestOption {
	return func(r *Request) { r.suspect = suspect }
}

// NewRequest returns a request that must finish before the deadline.
func NewRequest(id scheduler.RequestID, workspace scheduler.WorkspaceID, tier scheduler.Tier, deadline time.Time, opts ...RequestOption) Request {
	r := Request{id: id, workspace: workspace, tier: tier, deadline: deadline}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// ID returns the ID of the request.
func (r Request) ID() scheduler.RequestID { return r.id }

// Tier returns the tier of the request.
func (r Request) Tier() scheduler.Tier { return r.tier }

// cost returns the tokens that the request counts for in fair sharing.
func (r Request) cost() float64 {
	return float64(r.prompt + r.output + 1)
}

// Grant allows a request to be dispatched to an upstream until it expires.
type Grant struct {
	id       scheduler.RequestID
	upstream scheduler.UpstreamID
	until    time.Time
}

// ID returns the ID of the request.
func (g Grant) ID() scheduler.RequestID { return g.id }

// Upstream returns the upstream that the request may be dispatched to.
func (g Grant) Upstream() scheduler.UpstreamID { return g.upstream }

// Expires returns when the grant expires if it has not been used.
func (g Grant) Expires() time.Time { return g.until }

// Refusal is the refusal of a request.
type Refusal struct {
	id         scheduler.RequestID
	reason     Reason
	retryAfter time.Duration
}

// NewRefusal returns a refusal; retryAfter is 0 if it is unknown when a retry
// may succeed.
func NewRefusal(id scheduler.RequestID, reason Reason, retryAfter time.Duration) Refusal {
	return Refusal{id: id, reason: reason, retryAfter: retryAfter}
}

// ID returns the ID of the request.
func (r Refusal) ID() scheduler.RequestID { return r.id }

// Reason returns why the request was refused.
func (r Refusal) Reason() Reason { return r.reason }

// RetryAfter returns after how long a retry may succeed; 0 if that is unknown.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Actions are the decisions of a Pool, to be carried out by the caller: grants
// first, then refusals.
type Actions struct {
	grants   []Grant
	refusals []Refusal
}

// Grants returns the granted slots.
func (a Actions) Grants() []Grant { return a.grants }

// Refusals returns the refused requests.
func (a Actions) Refusals() []Refusal { return a.refusals }

// Shedder coordinates, across all owners of the pool, which tiers may be
// refused.
type Shedder interface {
	// ReportOverload records that a tier cannot be served in time.
	ReportOverload(tier scheduler.Tier, now time.Time)
	// MayShed reports whether requests of a tier may be refused for lack of
	// capacity.
	MayShed(tier scheduler.Tier, now time.Time) bool
	// Shedding reports whether a tier is refused in favor of a higher one, and
	// for how much longer.
	Shedding(tier scheduler.Tier, now time.Time) (left time.Duration, shedding bool)
}

// Ending is how a granted request ended.
type Ending int

// Endings of granted requests.
const (
	// Complete means that the whole response was received.
	Complete Ending = iota + 1
	// NotRun means that nothing was sent to the upstream.
	NotRun
	// Failed means that the upstream responded with an error.
	Failed
	// Crashed means that the upstream closed the connection before the response
	// was complete.
	Crashed
	// Cancelled means that the caller disconnected.
	Cancelled
	// ConnectFailed means that the upstream accepted no connection; nothing was
	// sent.
	ConnectFailed
)

// Usage is the output of a request and the time that it took.
type Usage struct {
	tokens     int
	firstToken time.Duration
	total      time.Duration
}

// NewUsage returns a usage with the number of output tokens, the time to the
// first of them, and the time from dispatch to the end.
func NewUsage(tokens int, firstToken, total time.Duration) Usage {
	return Usage{tokens: tokens, firstToken: firstToken, total: total}
}

// FirstToken returns the time from dispatch to the first token.
func (u Usage) FirstToken() time.Duration { return u.firstToken }

// PerToken returns the mean time between tokens; 0 for fewer than two tokens.
func (u Usage) PerToken() time.Duration {
	if u.tokens < 2 {
		return 0
	}
	return (u.total - u.firstToken) / time.Duration(u.tokens-1)
}
