package forwarder

import (
	"context"
	"net/http"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// Request is one caller's request as the product sees it. A front fills it
// in; it is not changed afterwards.
type Request struct {
	// ID is the request's identity, which the upstream repeats in its answer.
	ID     string
	Method string
	// Target is the path with its query, as the caller sent it.
	Target string
	Host   string
	// Header holds what is passed on to the upstream.
	Header http.Header
	Body   []byte

	Route     *router.Route
	Pool      string
	Workspace string
	Regions   []string
	// Tier is the workspace's standing; 0 is the highest. Standing is its name
	// for metrics and explanations.
	Tier     int
	TierName string
	Arrived  time.Time
	// Age is how long before Arrived the caller first asked.
	Age time.Duration
	// Deadline is when the caller or the route's timeout ends the request.
	Deadline time.Time
	// LastEventID is the number of the last event that the caller has, or noEvent.
	LastEventID int64
	// Cost is what the request takes from the workspace's quota, in tokens.
	Cost float64
	// Prompt and Output are the tokens to be read and expected to be
	// generated; both are 0 for a plain call.
	Prompt, Output int
	// Digest identifies the request's content, Prefix the beginning of its
	// prompt; 0 means none.
	Digest, Prefix uint64
}

// NoEvent is the After of a request that has no event yet.
const NoEvent int64 = -1

// ResponseInfo says what the head of an upstream's answer means.
type ResponseInfo struct {
	// MatchesRequest reports whether the answer belongs to the request.
	MatchesRequest bool
	// Authentic reports whether the upstream vouches for the answer.
	Authentic bool
	// NotRun reports whether the upstream states that it has not run, and will
	// not run, the request.
	NotRun bool
	// WrongUpstream reports whether another upstream than the one named answered.
	WrongUpstream bool
	// ColdFor is how much longer the upstream says that it stays cold.
	ColdFor time.Duration
}

// Dispatch is what an upstream is told of one attempt beside the request.
type Dispatch struct {
	Upstream registrar.Entry
	// Remaining is the time that is left for the answer.
	Remaining time.Duration
	// LastEventID is the number of the event after which a stream goes on, or
	// NoEvent.
	LastEventID int64
	// Trace is the W3C trace context of the attempt, empty if it isn't traced.
	Trace string
}

// Codec speaks the upstreams' dialect of HTTP.
type Codec interface {
	// Encode appends the head of a request for an upstream.
	Encode(b []byte, r *Request, d Dispatch) []byte
	// Decode reads the head of an answer.
	Decode(r *Request, status int, h http.Header) ResponseInfo
	// Tokens returns the number of tokens that a whole answer says it has, 0
	// if it says nothing.
	Tokens(body []byte) int
}

// Directory knows the upstreams.
type Directory interface {
	// Usable reports whether an upstream may get new work at this moment, and
	// where it is.
	Usable(id string, now time.Time) (registrar.Entry, bool)
	// Stride returns the number of tokens in one event of a pool's streams.
	Stride(pool string) int
}

// Responder is where a request's answer goes.
type Responder interface {
	// Begin passes on the head of an upstream's answer. A body of a known
	// length is passed on whole; a length below zero announces a stream.
	Begin(status int, h http.Header, length int) error
	// Write passes on a part of the body at once.
	Write(b []byte) error
	// Refuse answers a request for which no upstream's answer is passed on.
	Refuse(r Refusal) error
	// Abort ends a begun answer so that it can't look complete.
	Abort(r Refusal)
}

// Outcome says what is known of a request that no upstream has answered.
type Outcome uint8

// The verdicts.
const (
	// NotRun requests have not run and will not.
	NotRun Outcome = iota
	// OverQuota requests have not run as their workspace's quota is used up.
	OverQuota
	// Unknown requests may have run; the upstream's answer was lost.
	Unknown
	// TimedOut requests may have run; no answer came in time.
	TimedOut
)

// String returns the verdict's name for logs.
func (v Outcome) String() string {
	return [...]string{"notRun", "overQuota", "unknown", "timedOut"}[v]
}

// Refusal is the answer to a request that is given up.
type Refusal struct {
	Outcome Outcome
	// ResponseStarted reports that an upstream had begun to answer.
	ResponseStarted bool
	Reason          string
	RetryAfter      time.Duration
}

// Grant is the answer to an ask: an upstream that a request may be sent to,
// once, or a refusal.
type Grant struct {
	// Owner is the host that decided.
	Owner string
	// Upstream is where the request may be sent until Expires.
	Upstream string
	Expires  time.Time
	// Refusal is set if there is no grant.
	Refusal *Refusal
	// ReportFirstEvent reports the first event and its time since the request was sent;
	// Finish reports the end and must be called exactly once.
	ReportFirstEvent func(first time.Duration)
	ReportFinish     func(coordinator.Finish)
}

// Admitter gets grants. An error means that ctx has ended.
type Admitter interface {
	Admit(ctx context.Context, a coordinator.Request) (Grant, error)
}
