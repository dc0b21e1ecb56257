// Package ramper computes the concurrency limit of one upstream.
//
// An upstream is assumed to be cold at first, and its limit is the declared cold
// limit. Once it has responded successfully for the warm-up time, or a load report
// says that it is warm, it is warm and its limit rises step by step. A crash, a new epoch in a load report or a report
// that says that the upstream is cold makes it cold again immediately. The limit of a
// warm upstream follows its time to first token and its time between tokens by
// additive increase and multiplicative decrease: it rises by one per fast
// response and falls by a fifth after a slow one.
package ramper

import (
	"time"
)

const (
	// DefaultWarmUp is how long an upstream must respond successfully before its
	// limit rises above the cold limit.
	DefaultWarmUp = 5 * time.Second
	// DefaultSlowFirstToken is the time to first token above which a response
	// counts as slow.
	DefaultSlowFirstToken = 1900 * time.Millisecond
	// DefaultSlowToken is the time between tokens above which a response counts as
	// slow.
	DefaultSlowToken = 45 * time.Millisecond
	// slowFactor is the factor by which a slow response multiplies the limit.
	slowFactor = 0.8
	// decreaseInterval is the minimum time between two decreases of the limit, so
	// that one slow batch of responses counts only once.
	decreaseInterval = time.Second
)

// Ramper computes the concurrency limit of one upstream. It is not safe for
// concurrent use.
type Ramper struct {
	coldLimit    int
	fullLimit    int
	warmUp       time.Duration
	slowFirst    time.Duration
	slowToken    time.Duration
	limit        float64
	cold         bool
	coldSince    time.Time
	firstSuccess time.Time
	epoch        string
	loweredAt    time.Time
	reportedAt   time.Time
}

// Option configures a Ramper.
type Option func(*Ramper)

// WithWarmUp sets how long the upstream must respond successfully before its limit
// rises above the cold limit.
func WithWarmUp(d time.Duration) Option {
	return func(r *Ramper) { r.warmUp = d }
}

// WithSlowFirstToken sets the time to first token above which the limit is
// lowered.
func WithSlowFirstToken(d time.Duration) Option {
	return func(r *Ramper) { r.slowFirst = d }
}

// WithSlowToken sets the time between tokens above which the limit is lowered.
func WithSlowToken(d time.Duration) Option {
	return func(r *Ramper) { r.slowToken = d }
}

// New returns the ramper of an upstream about which nothing is known: it is cold.
func New(coldLimit, fullLimit int, now time.Time, opts ...Option) *Ramper {
	r := &Ramper{
		coldLimit: coldLimit,
		fullLimit: fullLimit,
		warmUp:    DefaultWarmUp,
		slowFirst: DefaultSlowFirstToken,
		slowToken: DefaultSlowToken,
	}
	for _, opt := range opts {
		opt(r)
	}
	r.markCold(now)
	return r
}

// markCold makes the upstream cold and resets its limit to the cold limit.
func (r *Ramper) markCold(now time.Time) {
	r.cold = true
	r.coldSince = now
	r.firstSuccess = time.Time{}
	r.limit = float64(r.coldLimit)
}

// SetLimits sets new declared limits. If the full limit is raised, the limit of a
// warm upstream rises to it step by step.
func (r *Ramper) SetLimits(coldLimit, fullLimit int) {
	r.coldLimit, r.fullLimit = coldLimit, fullLimit
	r.limit = min(r.limit, float64(fullLimit))
	if r.cold {
		r.limit = float64(coldLimit)
	}
}

// Cold reports whether the upstream is cold, so that its cold limit applies.
func (r *Ramper) Cold() bool { return r.cold }

// Limit returns the maximum number of requests in flight at the upstream.
func (r *Ramper) Limit() int { return int(r.limit) }

// RecordCrash records a connection reset, a refused connection or a truncated
// response.
func (r *Ramper) RecordCrash(now time.Time) { r.markCold(now) }

// RecordSuccess records a complete response to a request that was granted at
// granted. It is ignored if the upstream became cold after that time, as it says
// nothing about the upstream's present state.
func (r *Ramper) RecordSuccess(granted time.Time, firstToken, perToken time.Duration, now time.Time) {
	if granted.Before(r.coldSince) {
		return
	}
	if r.firstSuccess.IsZero() {
		r.firstSuccess = now
	}
	if r.cold {
		r.warm(now)
		return
	}
	if firstToken > r.slowFirst || perToken > r.slowToken {
		r.lower(now)
		return
	}
	r.limit = min(float64(r.fullLimit), r.limit+1)
}

// warm ends the cold state if the upstream has responded successfully for the
// warm-up time.
func (r *Ramper) warm(now time.Time) {
	if now.Sub(r.firstSuccess) < r.warmUp {
		return
	}
	r.cold = false
}

// lower lowers the limit, at most once per decreaseInterval.
func (r *Ramper) lower(now time.Time) {
	if now.Sub(r.loweredAt) < decreaseInterval {
		return
	}
	r.loweredAt = now
	r.limit = max(float64(r.coldLimit), r.limit*slowFactor)
}

// Report is a load report published by an upstream.
type Report struct {
	epoch   string
	cold    bool
	running int
	taken   time.Time
}

// NewReport returns a report of the upstream's state at the time taken. The epoch
// changes whenever the upstream restarts.
func NewReport(epoch string, cold bool, running int, taken time.Time) Report {
	return Report{epoch: epoch, cold: cold, running: running, taken: taken}
}

// Running returns the number of requests that were running at the upstream.
func (p Report) Running() int { return p.running }

// TakenAt returns the time at which the report was taken.
func (p Report) TakenAt() time.Time { return p.taken }

// RecordReport records a load report. A report older than the newest one recorded
// is ignored. If a report says that a cold upstream is warm, and was taken after
// the upstream became cold, the limit rises from the load that the report shows.
// A report that says that a cold upstream is still cold restarts its warm-up time.
func (r *Ramper) RecordReport(p Report, now time.Time) {
	if p.taken.Before(r.reportedAt) {
		return
	}
	r.reportedAt = p.taken
	restarted := r.epoch != "" && r.epoch != p.epoch
	r.epoch = p.epoch
	switch {
	case restarted, p.cold && !r.cold && p.taken.After(r.coldSince):
		r.markCold(now)
	case p.cold:
		r.firstSuccess = time.Time{}
	case r.cold && p.taken.After(r.coldSince):
		r.cold = false
		r.limit = min(max(r.limit, float64(p.running)), float64(r.fullLimit))
	}
}
