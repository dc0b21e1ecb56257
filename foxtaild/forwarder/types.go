package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/observer"
	"foxtaillug.org/scheduler/pinner"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// Request is one caller's request, as a front end hands it to the forwarder.
// It must not be changed afterwards.
type Request struct {
	// ID identifies the request; the upstream repeats it in its response.
	ID     string
	Method string
	// Target is the request target: path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the headers that are forwarded to the upstream.
	Header http.Header
	Body   []byte

	Route     *router.Route
	Pool      string
	Workspace string
	Regions   []string
	// Tier is the workspace's service tier, where 0 is the highest. TierName is
	// its name in metrics and explanations.
	Tier     int
	TierName string
	Arrived  time.Time
	// Age is the time between the caller's first try of this request and
	// Arrived.
	Age time.Duration
	// Deadline is when the request ends: the caller's time limit or the route's
	// timeout.
	Deadline time.Time
	// LastEventID is the ID of the last stream event that the caller has
	// received, or NoEvent.
	LastEventID int64
	// Resumes is the ID of the request that brought the caller the first event of
	// the stream which this one takes up again, empty if there is none.
	Resumes string
	// Stream identifies the stream that the request begins, and ResumedStream the one
	// that Resumes began. All hosts derive the same keys from the same requests, and
	// those of different callers and targets differ; 0 means none.
	Stream, ResumedStream pinner.Key
	// Cost is charged to the workspace's quota, in tokens.
	Cost float64
	// Prompt is the number of prompt tokens and Output the expected number of
	// generated tokens; both are 0 for a call of a plain service.
	Prompt, Output int
	// Digest is a hash of what a repeat of the request by its caller has in common
	// with it, and Prefix one of the beginning of its prompt; 0 means none.
	Digest, Prefix uint64
	// HandedOverBy is the host that has handed the request over to this one, empty if it
	// comes from a caller. Dispatched is the number of attempts before that.
	HandedOverBy string
	Dispatched   int
	// Parts are hashes of the parts of its prompt that other requests may share,
	// without its own last part.
	Parts []uint64
}

// logDigest returns the digest as it is logged, so that repeats of one request by
// its caller can be found on all hosts.
func (r *Request) logDigest() string { return strconv.FormatUint(r.Digest, 16) }

// logParts returns the parts as they are logged, so that those which requests
// share can be found on all hosts.
func (r *Request) logParts() []string {
	parts := make([]string, len(r.Parts))
	for i, p := range r.Parts {
		parts[i] = strconv.FormatUint(p, 16)
	}
	return parts
}

// NoEvent is the LastEventID of a caller that has received no event yet.
const NoEvent int64 = -1

// ResponseInfo is what a Codec reads from the status and headers of an
// upstream's response.
type ResponseInfo struct {
	// MatchesRequest reports whether the response belongs to the request, and NamesOther
	// whether it says that it belongs to another one.
	MatchesRequest, NamesOther bool
	// Authentic reports whether the response carries the upstream's proof that
	// it sent it.
	Authentic bool
	// NotRun reports whether the upstream states that it has not run the
	// request and will not run it.
	NotRun bool
	// WrongUpstream reports whether an upstream other than the one addressed
	// responded.
	WrongUpstream bool
	// Terms are what the response says of the upstream.
	Terms observer.Terms
}

// refuses reports whether the response says that its request has not run.
func (i ResponseInfo) refuses() bool { return i.NotRun || i.WrongUpstream }

// Dispatch holds what one attempt sends to an upstream in addition to the
// request.
type Dispatch struct {
	Upstream registrar.Entry
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// LastEventID is the ID of the event after which the stream resumes, or
	// NoEvent.
	LastEventID int64
	// Trace is the W3C traceparent of the attempt, empty if it isn't sampled.
	Trace string
}

// Codec writes request heads and reads response heads in the upstreams'
// dialect of HTTP.
type Codec interface {
	// Encode appends the request line and headers for an upstream to b.
	Encode(b []byte, r *Request, d Dispatch) []byte
	// Decode interprets the status and headers of a response.
	Decode(r *Request, status int, h http.Header) ResponseInfo
	// Tokens returns the number of output tokens that a complete response body
	// states, 0 if it states none.
	Tokens(body []byte) int
}

// Directory looks up upstreams.
type Directory interface {
	// Usable returns an upstream's entry and whether the upstream may receive
	// new requests now.
	Usable(id string, now time.Time) (registrar.Entry, bool)
	// Stride returns the number of tokens per event in a pool's streams.
	Stride(pool string) int
	// Age returns how long ago the source of the entries was known to hold them.
	Age(now time.Time) time.Duration
}

// Responder sends the response to a caller.
type Responder interface {
	// Begin sends the status and headers of an upstream's response. A length of
	// 0 or more announces a body that is sent as a whole; a negative one
	// announces a stream.
	Begin(status int, h http.Header, length int) error
	// Write sends a part of the body without delay.
	Write(b []byte) error
	// Refuse responds to a request for which no upstream response is relayed.
	Refuse(r Refusal) error
	// Abort ends a response that has begun in a way that the caller can't
	// mistake for a complete one.
	Abort(r Refusal)
}

// Outcome is what is known about a request without a complete response.
type Outcome uint8

// The outcomes.
const (
	// NotRun requests have not run and will not.
	NotRun Outcome = iota
	// OverQuota requests have not run because their workspace's quota is used
	// up.
	OverQuota
	// Unknown requests may have run; the upstream's response was lost.
	Unknown
	// TimedOut requests may have run; no response arrived in time.
	TimedOut
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"notRun", "overQuota", "unknown", "timedOut"}[o]
}

// Refusal is the response to a request that the forwarder does not complete.
type Refusal struct {
	Outcome Outcome
	// ResponseStarted reports whether an upstream had begun to respond.
	ResponseStarted bool
	Reason          string
	RetryAfter      time.Duration
	// Explanation is what decided on the refusal of an admission request, nil if that is
	// not known.
	Explanation *coordinator.Explanation
}

// Grant is the decision on an admission request: the upstream that the request
// may be sent to once, or a refusal.
type Grant struct {
	// Owner is the name or address of the host that decided on the admission
	// request.
	Owner string
	// Upstream is the upstream that the request may be sent to until Expires.
	Upstream string
	Expires  time.Time
	// Refusal is set if the request was not admitted.
	Refusal *Refusal
	// ReportObservation reports what the head of a response says of the upstream; nil if
	// no coordinator uses it.
	ReportObservation func(observer.Observation)
	// ReportFirstEvent reports the time between dispatch and the first event.
	// ReportFinish reports the request's end and must be called exactly once.
	ReportFirstEvent func(first time.Duration)
	ReportFinish     func(coordinator.Finish)
}

// Admitter obtains grants from the coordinators. Admit returns an error only
// if ctx has ended.
type Admitter interface {
	Admit(ctx context.Context, r coordinator.Request) (Grant, error)
}

// Loss is a run whose connection was lost, or to which no response arrived in time.
type Loss struct {
	Digest uint64
	// Parts are the parts of the request's prompt that may have crashed the
	// upstream: none if an answer to the request had begun, or if the connection
	// was not ended by the other side.
	Parts    []uint64
	Upstream registrar.Entry
	// Sent is when the request was sent.
	Sent time.Time
}

// Quarantine keeps track of requests that crash upstreams, and of parts of prompts
// that do. It is safe for concurrent use.
type Quarantine interface {
	// Refuses reports whether requests with a digest and parts must not run.
	Refuses(digest uint64, parts []uint64) bool
	// RecordLoss records that a run was lost.
	RecordLoss(l Loss)
	// RecordBegun records that an upstream has begun to answer a request with some
	// parts: with the first event of a stream or with a whole response.
	RecordBegun(parts []uint64)
	// RecordComplete records that an upstream has run a request with success.
	RecordComplete(digest uint64)
}

// StreamID identifies a stream among those of all hosts.
type StreamID struct {
	Key pinner.Key
	// Route is the name of the stream's route.
	Route string
}

// Origins knows in which pool and at which software version streams began, also those
// that other hosts served. It is safe for concurrent use.
type Origins interface {
	// Record records the origin of a stream that this host serves. It is kept until a
	// time, and sent to other hosts in the background.
	Record(s StreamID, o pinner.Origin, until time.Time)
	// Find returns the origin of a stream that a caller takes up again. It returns false
	// if no host that it reaches in time knows it, or if the key is 0. With a content key,
	// of a stream that the caller does not name, streams with the same content must not
	// have several origins.
	Find(ctx context.Context, s StreamID) (o pinner.Origin, ok bool)
}

// noOrigins knows no stream.
type noOrigins struct{}

func (noOrigins) Record(StreamID, pinner.Origin, time.Time) {}
func (noOrigins) Find(context.Context, StreamID) (o pinner.Origin, ok bool) {
	return o, false
}

// noQuarantine refuses nothing.
type noQuarantine struct{}

func (noQuarantine) Refuses(uint64, []uint64) bool { return false }
func (noQuarantine) RecordLoss(Loss)               {}
func (noQuarantine) RecordBegun([]uint64)          {}
func (noQuarantine) RecordComplete(uint64)         {}
