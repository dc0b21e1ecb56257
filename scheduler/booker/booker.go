// Package booker runs calls that may not be repeated at most once.
//
// A caller takes a ticket first. The ticket names the one process incarnation
// that may ever run it, under a keyed hash, so no other process does; that
// process remembers in memory what became of it and gives repeats the same
// answer. When the process is gone nothing can run the ticket any more, and
// the honest outcome is "unknown".
package booker

import (
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/internal/pq"
)

// DefaultLifetime is how long a ticket may be used after it was issued.
const DefaultLifetime = 15 * time.Minute

// Decision says what is to be done with one use of a ticket.
type Decision int

// The steps.
const (
	// Run dispatches the call; this is returned at most once until the call
	// is proved not to have run.
	Run Decision = iota
	// Wait waits for the use that is running already.
	Wait
	// Replay gives the remembered answer.
	Replay
	// Expired refuses: what became of the ticket is no longer known.
	Expired
	// Mismatch refuses: the ticket was used for another call.
	Mismatch
	// OtherIncarnation refuses: another incarnation issued the ticket.
	OtherIncarnation
	// Full refuses: too many tickets are remembered.
	Full
)

// Response is what a ticketed call ended with.
type Response struct {
	status      int
	contentType string
	body        []byte
	outcome     string
	reason      string
}

// NewResponse returns an answer with an HTTP status and an outcome.
func NewResponse(status int, contentType string, body []byte, outcome, reason string) Response {
	return Response{status: status, contentType: contentType, body: body, outcome: outcome, reason: reason}
}

// Status returns the HTTP status.
func (a Response) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a Response) ContentType() string { return a.contentType }

// Body returns the bytes for the caller.
func (a Response) Body() []byte { return a.body }

// Outcome returns complete, failed, unknown or notRun.
func (a Response) Outcome() string { return a.outcome }

// Reason returns the machine-readable cause of a refusal.
func (a Response) Reason() string { return a.reason }

// record is what is remembered of one ticket.
type record struct {
	nonce   string
	call    uint64
	done    bool
	aborted bool
	answer  Response
	expiry  time.Time
}

// Booker remembers the tickets of one incarnation. It is not safe for
// concurrent use.
type Booker struct {
	self     scheduler.IncarnationID
	started  time.Time
	life     time.Duration
	capacity int
	records  map[string]*record
	expiries *pq.Queue[*record]
}

// DefaultCapacity bounds the tickets remembered at a time.
const DefaultCapacity = 100_000

// Option sets a detail of a Booker.
type Option func(*Booker)

// WithLifetime sets how long a ticket may be used.
func WithLifetime(d time.Duration) Option {
	return func(b *Booker) { b.life = d }
}

// WithCapacity bounds the tickets remembered at a time.
func WithCapacity(n int) Option {
	return func(b *Booker) { b.capacity = n }
}

// New returns the booker of an incarnation that started at a time with a
// monotonic reading, so that a wall clock set back revives no ticket.
func New(self scheduler.IncarnationID, started time.Time, opts ...Option) *Booker {
	b := &Booker{
		self:     self,
		started:  started,
		life:     DefaultLifetime,
		capacity: DefaultCapacity,
		records:  make(map[string]*record),
		expiries: pq.New(func(a, b *record) bool { return a.expiry.Before(b.expiry) }),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Begin decides on one use of a ticket for a call with the given digest. It
// returns Run at most once for a ticket, unless Abort proved that the run
// never left.
func (b *Booker) Begin(t Ticket, call uint64, now time.Time) (Decision, Response) {
	if t.incarnation != b.self {
		return OtherIncarnation, Response{}
	}
	expiry := b.started.Add(t.age + b.life)
	if r, ok := b.records[t.nonce]; ok && !(r.aborted && !now.Before(expiry)) {
		return r.step(call)
	}
	if !now.Before(expiry) {
		return Expired, Response{}
	}
	b.forget(now)
	if len(b.records) >= b.capacity {
		return Full, Response{}
	}
	r := &record{nonce: t.nonce, call: call, expiry: expiry}
	b.records[t.nonce] = r
	b.expiries.Push(r)
	return Run, Response{}
}

// step decides on a repeat.
func (r *record) step(call uint64) (Decision, Response) {
	switch {
	case r.call != call:
		return Mismatch, Response{}
	case r.aborted:
		r.aborted = false
		return Run, Response{}
	case r.done:
		return Replay, r.answer
	default:
		return Wait, Response{}
	}
}

// forget drops tickets that have expired and are not running. Only a ticket
// past its life is forgotten, so a forgotten one can never run again.
func (b *Booker) forget(now time.Time) {
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
		r.expiry = now.Add(b.life)
		b.expiries.Push(r)
	}
}

// Finish records the answer of the one run.
func (b *Booker) Finish(t Ticket, a Response) {
	if r, ok := b.records[t.nonce]; ok && !r.done {
		r.done, r.answer = true, a
	}
}

// Abort takes note of a run of which no byte left, so that the ticket can be
// used again.
func (b *Booker) Abort(t Ticket) {
	if r, ok := b.records[t.nonce]; ok && !r.done {
		r.aborted = true
	}
}

// Age returns how old the incarnation is, for the tickets it issues.
func (b *Booker) Age(now time.Time) time.Duration {
	return now.Sub(b.started)
}

// Len returns how many tickets are remembered.
func (b *Booker) Len() int { return len(b.records) }
