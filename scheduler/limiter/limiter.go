// Package limiter limits the combined rate of many hosts without shared state.
//
// A Quota tracks a workspace's budget that all hosts draw on: each host counts
// its own usage, receives the usage of the others with a delay, and admits by
// the sum. Hosts that can't be reached are assumed to use their share of the
// rate.
//
// A Bucket limits a rate for this host alone. Where the sum over the fleet is
// bounded, each host gets a fixed share that depends on the size of the fleet.
package limiter

import "time"

// Bucket is a token bucket. The zero value admits nothing. It is not safe for
// concurrent use.
type Bucket struct {
	rate, size, level float64
	last              time.Time
}

// NewBucket returns a bucket that is refilled at a rate per second up to a size
// and starts at a level.
func NewBucket(rate, size, level float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, size: size, level: min(level, size), last: now}
}

// SetLimits changes the rate per second and the size; tokens already taken stay
// taken.
func (b *Bucket) SetLimits(rate, size float64, now time.Time) {
	b.refill(now)
	b.rate, b.size = rate, size
	b.level = min(b.level, size)
}

// refill adds the tokens that have accrued since the last call.
func (b *Bucket) refill(now time.Time) {
	if d := now.Sub(b.last); d > 0 {
		b.level = min(b.size, b.level+b.rate*d.Seconds())
		b.last = now
	}
}

// Add adds n tokens on top of the refill.
func (b *Bucket) Add(n float64) { b.level = min(b.size, b.level+n) }

// Take takes n tokens if they are available and reports whether it did.
func (b *Bucket) Take(n float64, now time.Time) bool {
	if !b.Has(n, now) {
		return false
	}
	b.level -= n
	return true
}

// Has reports whether n tokens are available.
func (b *Bucket) Has(n float64, now time.Time) bool {
	b.refill(now)
	return b.level >= n
}

// Spend takes n tokens whether or not they are available; the level may become
// negative.
func (b *Bucket) Spend(n float64, now time.Time) {
	b.refill(now)
	b.level -= n
}

// Empty takes all tokens; a negative level stays.
func (b *Bucket) Empty(now time.Time) {
	b.refill(now)
	b.level = min(b.level, 0)
}

// Rate returns the number of tokens per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Full reports whether the bucket holds as many tokens as it can.
func (b *Bucket) Full(now time.Time) bool {
	b.refill(now)
	return b.level >= b.size
}

// Level returns the number of available tokens; it may be negative.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// TimeUntil returns the time until n tokens are available, at most limit.
func (b *Bucket) TimeUntil(n float64, limit time.Duration, now time.Time) time.Duration {
	b.refill(now)
	missing := n - b.level
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return limit
	}
	return time.Duration(min(float64(limit), missing/b.rate*float64(time.Second)))
}

// Quota tracks one workspace's budget across the fleet. It is not safe for
// concurrent use.
type Quota struct {
	bucket *Bucket
	rate   float64
	burst  float64
	used   float64
	// reports holds the last usage report of each other source.
	reports map[string]report
	share   float64
}

// initialFill is the fraction of the burst that is available after a start: the
// usage of the previous process is unknown.
const initialFill = 0.5

// NewQuota returns a budget of rate tokens per second and burst tokens, of
// which initialFill is available. A rate of 0 means no limit.
func NewQuota(rate, burst float64, now time.Time) *Quota {
	return &Quota{
		bucket:  NewBucket(rate, burst, burst*initialFill, now),
		rate:    rate,
		burst:   burst,
		reports: make(map[string]report),
		share:   1,
	}
}

// SetLimits changes the budget, in tokens per second and tokens.
func (q *Quota) SetLimits(rate, burst float64, now time.Time) {
	q.rate, q.burst = rate, burst
	q.apply(now)
}

// SetShare sets the fraction of the budget that the hosts that exchange reports
// may use together, from 0 to 1.
func (q *Quota) SetShare(share float64, now time.Time) {
	if share != q.share {
		q.share = share
		q.apply(now)
	}
}

// apply sets the bucket's limits to the share of the budget.
func (q *Quota) apply(now time.Time) {
	q.bucket.SetLimits(q.rate*q.share, q.burst*q.share, now)
}

// overdraftShare is the fraction of the burst up to which a request is admitted
// at any level of at least one token. Cost beyond the level becomes debt.
const overdraftShare = 0.25

// minLevel returns the level at which a request is admitted. If it were always
// the whole cost, a workspace that permanently exceeds its quota would see its
// large requests refused and its small ones admitted, as the level would never
// rise to the cost of a large one.
func (q *Quota) minLevel(cost float64) float64 {
	if cost <= overdraftShare*q.bucket.size {
		return 1
	}
	return min(cost, q.bucket.size)
}

// Admit charges a request's cost, in tokens, if the budget is not exhausted,
// and reports whether it did.
func (q *Quota) Admit(cost float64, now time.Time) bool {
	if q.rate <= 0 {
		return true
	}
	if !q.bucket.Has(q.minLevel(cost), now) {
		return false
	}
	q.Spend(cost, now)
	return true
}

// Spend charges a cost, in tokens, whether or not the budget covers it.
func (q *Quota) Spend(cost float64, now time.Time) {
	q.bucket.Spend(cost, now)
	q.used += cost
}

// Refund returns the cost of a request that did not run.
func (q *Quota) Refund(cost float64) {
	q.bucket.Add(cost)
	q.used -= cost
}

// Used returns the usage that this host has admitted since its start, in
// tokens. It is the figure sent to other hosts.
func (q *Quota) Used() float64 { return q.used }

// report is the last usage report of another source.
type report struct {
	process string
	used    float64
}

// RecordUsage processes a usage report, in tokens since the start of the
// process, of another source such as a failure domain. The first report of a
// process only sets the baseline for the next ones.
func (q *Quota) RecordUsage(source, process string, used float64, now time.Time) {
	before, known := q.reports[source]
	q.reports[source] = report{process: process, used: used}
	if known && before.process == process && used != before.used {
		q.bucket.Spend(used-before.used, now)
	}
}

// TimeUntil returns the time until a request of a cost would be admitted, at
// most limit.
func (q *Quota) TimeUntil(cost float64, limit time.Duration, now time.Time) time.Duration {
	return q.bucket.TimeUntil(q.minLevel(cost), limit, now)
}
