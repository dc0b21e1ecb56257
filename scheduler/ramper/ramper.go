// Package ramper decides how many requests one upstream tolerates at present.
//
// An upstream is cold until it has shown otherwise: it gets its declared cold
// limit and no more. Successes over the warm-up time raise the limit step by
// step; a crash, a new epoch in a load report or a report that says so makes
// it cold again at once. A warm upstream's limit follows first-token times
// and the times between tokens: up by one per good answer, down by a fifth
// when they are slow.
package ramper

import (
	"time"
)

const (
	// DefaultWarmUp is how long an upstream must answer well before it
	// gets more than its cold limit.
	DefaultWarmUp = 5 * time.Second
	// DefaultSlowFirstToken is the first-token time that counts as slow.
	DefaultSlowFirstToken = 1900 * time.Millisecond
	// DefaultSlowToken is the time between tokens that counts as slow.
	DefaultSlowToken = 45 * time.Millisecond
	// backOff is the factor a slow answer applies to the limit.
	backOff = 0.8
	// backOffPause keeps one slow batch from counting many times.
	backOffPause = time.Second
)

// Ramper keeps the limit of one upstream.
type Ramper struct {
	coldLimit  int
	fullLimit  int
	warmUp     time.Duration
	slow       time.Duration
	slowToken  time.Duration
	limit      float64
	cold       bool
	coldSince  time.Time
	firstGood  time.Time
	epoch      string
	lowered    time.Time
	reportedAt time.Time
}

// Option sets a detail of a Ramper.
type Option func(*Ramper)

// WithWarmUp sets how long good answers are needed before the limit grows.
func WithWarmUp(d time.Duration) Option {
	return func(r *Ramper) { r.warmUp = d }
}

// WithSlowFirstToken sets the first-token time that lowers the limit.
func WithSlowFirstToken(d time.Duration) Option {
	return func(r *Ramper) { r.slow = d }
}

// WithSlowToken sets the time between tokens that lowers the limit.
func WithSlowToken(d time.Duration) Option {
	return func(r *Ramper) { r.slowToken = d }
}

// New returns the ramper of an upstream nothing is known about: cold.
func New(coldLimit, fullLimit int, now time.Time, opts ...Option) *Ramper {
	r := &Ramper{
		coldLimit: coldLimit,
		fullLimit: fullLimit,
		warmUp:    DefaultWarmUp,
		slow:      DefaultSlowFirstToken,
		slowToken: DefaultSlowToken,
	}
	for _, opt := range opts {
		opt(r)
	}
	r.chill(now)
	return r
}

// chill makes the upstream cold.
func (r *Ramper) chill(now time.Time) {
	r.cold = true
	r.coldSince = now
	r.firstGood = time.Time{}
	r.limit = float64(r.coldLimit)
}

// SetLimits applies new declared limits; a raised full limit is grown into.
func (r *Ramper) SetLimits(coldLimit, fullLimit int) {
	r.coldLimit, r.fullLimit = coldLimit, fullLimit
	r.limit = min(r.limit, float64(fullLimit))
	if r.cold {
		r.limit = float64(coldLimit)
	}
}

// Cold reports whether only the cold limit applies.
func (r *Ramper) Cold() bool { return r.cold }

// Limit returns how many requests the upstream may have in flight.
func (r *Ramper) Limit() int { return int(r.limit) }

// RecordCrash takes note of a reset, a refused connection or an answer cut short.
func (r *Ramper) RecordCrash(now time.Time) { r.chill(now) }

// RecordSuccess takes note of a whole answer to a request granted at granted. An
// answer to work from before the last chill proves nothing.
func (r *Ramper) RecordSuccess(granted time.Time, firstToken, perToken time.Duration, now time.Time) {
	if granted.Before(r.coldSince) {
		return
	}
	if r.firstGood.IsZero() {
		r.firstGood = now
	}
	if r.cold {
		r.warm(now)
		return
	}
	if firstToken > r.slow || perToken > r.slowToken {
		r.lower(now)
		return
	}
	r.limit = min(float64(r.fullLimit), r.limit+1)
}

// warm ends the cold state once answers were good for the warm-up time.
func (r *Ramper) warm(now time.Time) {
	if now.Sub(r.firstGood) < r.warmUp {
		return
	}
	r.cold = false
}

// lower reduces the limit once per pause.
func (r *Ramper) lower(now time.Time) {
	if now.Sub(r.lowered) < backOffPause {
		return
	}
	r.lowered = now
	r.limit = max(float64(r.coldLimit), r.limit*backOff)
}

// Report is a load report as an upstream published it.
type Report struct {
	epoch   string
	cold    bool
	running int
	taken   time.Time
}

// NewReport returns a report that was true at taken. Epoch changes whenever
// the upstream restarts.
func NewReport(epoch string, cold bool, running int, taken time.Time) Report {
	return Report{epoch: epoch, cold: cold, running: running, taken: taken}
}

// Running returns how many requests the upstream had.
func (p Report) Running() int { return p.running }

// TakenAt returns when the report was true.
func (p Report) TakenAt() time.Time { return p.taken }

// RecordReport takes note of a load report; older ones than the newest are
// ignored. One that calls a cold upstream warm, and is younger than its last
// crash, lets the limit grow from the load it was seen to carry.
func (r *Ramper) RecordReport(p Report, now time.Time) {
	if p.taken.Before(r.reportedAt) {
		return
	}
	r.reportedAt = p.taken
	restarted := r.epoch != "" && r.epoch != p.epoch
	r.epoch = p.epoch
	switch {
	case restarted, p.cold && !r.cold && p.taken.After(r.coldSince):
		r.chill(now)
	case p.cold:
		r.firstGood = time.Time{}
	case r.cold && p.taken.After(r.coldSince):
		r.cold = false
		r.limit = min(max(r.limit, float64(p.running)), float64(r.fullLimit))
	}
}
