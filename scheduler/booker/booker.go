// Package booker provides at-most-once execution for calls that are not
// idempotent.
//
// A caller first obtains a ticket. The ticket names the only process incarnation
// that may run the call and is authenticated by a keyed hash, so no other process
// runs it. That process keeps the result in memory and returns the same response
// to retries. Once the process has ended, nothing can run the ticket any more, and
// the outcome of the call is reported as "unknown".
package booker

import (
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/internal/pq"
)

// DefaultLifetime is how long a ticket is valid after it is issued.
const DefaultLifetime = 15 * time.Minute

// Decision says how to handle one request that presents a ticket.
type Decision int

// The decisions.
const (
	// Run means that the call is to be dispatched. It is returned at most once
	// for a ticket, unless Abort has recorded that the call did not run.
	Run Decision = iota
	// Wait means that the call is running: its response is to be awaited.
	Wait
	// Replay means that the stored response is to be returned.
	Replay
	// Expired refuses the request: the ticket has expired, and its result is no
	// longer known.
	Expired
	// Mismatch refuses the request: the ticket was used for a different call.
	Mismatch
	// OtherIncarnation refuses the request: another process incarnation issued
	// the ticket.
	OtherIncarnation
	// Full refuses the request: the number of tickets in memory is at capacity.
	Full
)

// Response is the result of a call that was made with a ticket.
type Response struct {
	status      int
	contentType string
	body        []byte
	outcome     string
	reason      string
}

// NewResponse returns a response with an HTTP status, an outcome and, for a
// refusal, a reason.
func NewResponse(status int, contentType string, body []byte, outcome, reason string) Response {
	return Response{status: status, contentType: contentType, body: body, outcome: outcome, reason: reason}
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// ContentType returns the media type of the body.
func (r Response) ContentType() string { return r.contentType }

// Body returns the response body.
func (r Response) Body() []byte { return r.body }

// Outcome returns the outcome of the call: complete, failed, unknown or notRun.
func (r Response) Outcome() string { return r.outcome }

// Reason returns the machine-readable cause of a refusal.
func (r Response) Reason() string { return r.reason }

// record is the state of one ticket that has been used.
type record struct {
	nonce   string
	call    uint64
	done    bool
	aborted bool
	result  Response
	expiry  time.Time
}

// Booker tracks the tickets that one process incarnation has issued. It is not
// safe for concurrent use.
type Booker struct {
	self     scheduler.IncarnationID
	started  time.Time
	lifetime time.Duration
	capacity int
	records  map[string]*record
	expiries *pq.Queue[*record]
}

// DefaultCapacity is the maximum number of tickets kept in memory.
const DefaultCapacity = 100_000

// Option configures a Booker.
type Option func(*Booker)

// WithLifetime sets how long a ticket is valid after it is issued.
func WithLifetime(d time.Duration) Option {
	return func(b *Booker) { b.lifetime = d }
}

// WithCapacity sets the maximum number of tickets kept in memory.
func WithCapacity(n int) Option {
	return func(b *Booker) { b.capacity = n }
}

// New returns the booker of a process incarnation. The start time must have a
// monotonic clock reading, so that setting the wall clock back does not make an
// expired ticket valid again.
func New(self scheduler.IncarnationID, started time.Time, opts ...Option) *Booker {
	b := &Booker{
		self:     self,
		started:  started,
		lifetime: DefaultLifetime,
		capacity: DefaultCapacity,
		records:  make(map[string]*record),
		expiries: pq.New(func(a, b *record) bool { return a.expiry.Before(b.expiry) }),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Begin decides how to handle a request that presents a ticket for a call with
// the given digest, and returns the stored response if the decision is Replay. It
// returns Run at most once for a ticket, unless Abort has recorded that the call
// was not sent.
func (b *Booker) Begin(t Ticket, call uint64, now time.Time) (Decision, Response) {
	if t.incarnation != b.self {
		return OtherIncarnation, Response{}
	}
	expiry := b.started.Add(t.age + b.lifetime)
	if r, ok := b.records[t.nonce]; ok && !(r.aborted && !now.Before(expiry)) {
		return r.decide(call)
	}
	if !now.Before(expiry) {
		return Expired, Response{}
	}
	b.removeExpired(now)
	if len(b.records) >= b.capacity {
		return Full, Response{}
	}
	r := &record{nonce: t.nonce, call: call, expiry: expiry}
	b.records[t.nonce] = r
	b.expiries.Push(r)
	return Run, Response{}
}

// decide returns the decision for a retry.
func (r *record) decide(call uint64) (Decision, Response) {
	switch {
	case r.call != call:
		return Mismatch, Response{}
	case r.aborted:
		r.aborted = false
		return Run, Response{}
	case r.done:
		return Replay, r.result
	default:
		return Wait, Response{}
	}
}

// removeExpired removes tickets that have expired and are not running. Because
// only expired tickets are removed, a removed ticket can never run again.
func (b *Booker) removeExpired(now time.Time) {
	for {
		r, ok := b.expiries.Peek()
		if !ok || now.Before(r.expiry) {
			return
		}
		b.expiries.Pop()
		if r.done || r.aborted {
			delete(b.records, r.nonce)
			continue
		}
		r.expiry = now.Add(b.lifetime)
		b.expiries.Push(r)
	}
}

// Finish stores the response to the call that Begin let run.
func (b *Booker) Finish(t Ticket, resp Response) {
	if r, ok := b.records[t.nonce]; ok && !r.done {
		r.done, r.result = true, resp
	}
}

// Abort records that no byte of the call was sent, so that the ticket can be used
// again.
func (b *Booker) Abort(t Ticket) {
	if r, ok := b.records[t.nonce]; ok && !r.done {
		r.aborted = true
	}
}

// Age returns how long the process incarnation has run, for use in the tickets
// that it issues.
func (b *Booker) Age(now time.Time) time.Duration {
	return now.Sub(b.started)
}

// Len returns the number of tickets in memory.
func (b *Booker) Len() int { return len(b.records) }
