// Package limiter bounds what many hosts do together without shared state.
//
// A Quota follows a workspace's budget that all hosts draw on: each host
// counts its own use, hears of the others' use late, and admits by the sum.
// Hosts that can't be heard are assumed to use their part of the rate.
//
// A Bucket bounds a rate for this host alone. Where the sum over the fleet is
// a promise, each host gets a part of it that is fixed by the fleet's size.
package limiter

import "time"

// Bucket is a token bucket. The zero value admits nothing. It is not safe for
// concurrent use.
type Bucket struct {
	rate, size, level float64
	last              time.Time
}

// NewBucket returns a bucket that refills at a rate a second up to a size and
// begins with a level.
func NewBucket(rate, size, level float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, size: size, level: min(level, size), last: now}
}

// Tune changes the rate and the size; what was used stays used.
func (b *Bucket) Tune(rate, size float64, now time.Time) {
	b.refill(now)
	b.rate, b.size = rate, size
	b.level = min(b.level, size)
}

// refill adds what has accrued.
func (b *Bucket) refill(now time.Time) {
	if d := now.Sub(b.last); d > 0 {
		b.level = min(b.size, b.level+b.rate*d.Seconds())
		b.last = now
	}
}

// Add puts n into the bucket beyond its refill.
func (b *Bucket) Add(n float64) { b.level = min(b.size, b.level+n) }

// Take takes n if that much is there.
func (b *Bucket) Take(n float64, now time.Time) bool {
	if !b.Has(n, now) {
		return false
	}
	b.level -= n
	return true
}

// Has reports whether n could be taken.
func (b *Bucket) Has(n float64, now time.Time) bool {
	b.refill(now)
	return b.level >= n
}

// Spend takes n whether or not it is there; the level may fall below zero.
func (b *Bucket) Spend(n float64, now time.Time) {
	b.refill(now)
	b.level -= n
}

// Until returns how long it takes until n is there, at most longest.
func (b *Bucket) Until(n float64, longest time.Duration, now time.Time) time.Duration {
	b.refill(now)
	lacks := n - b.level
	if lacks <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return longest
	}
	return min(longest, time.Duration(lacks/b.rate*float64(time.Second)))
}

// Quota follows one workspace's budget over the whole fleet.
type Quota struct {
	bucket *Bucket
	rate   float64
	burst  float64
	used   float64
	heard  map[string]report
	part   float64
}

// startLevel is the part of the burst with which a fresh host begins: its
// predecessor's use is unknown.
const startLevel = 0.5

// NewQuota returns a full budget of rate tokens a second and burst tokens.
func NewQuota(rate, burst float64, now time.Time) *Quota {
	return &Quota{
		bucket: NewBucket(rate, burst, burst*startLevel, now),
		rate:   rate,
		burst:  burst,
		heard:  make(map[string]report),
		part:   1,
	}
}

// Tune changes the budget.
func (q *Quota) Tune(rate, burst float64, now time.Time) {
	q.rate, q.burst = rate, burst
	q.apply(now)
}

// SetShare sets the part of the budget that the hosts which hear each other
// may use, from 0 to 1.
func (q *Quota) SetShare(part float64, now time.Time) {
	if part != q.part {
		q.part = part
		q.apply(now)
	}
}

// apply gives the bucket its part of the budget.
func (q *Quota) apply(now time.Time) {
	q.bucket.Tune(q.rate*q.part, q.burst*q.part, now)
}

// debtPart is the part of the burst that a request may cost to be admitted from
// any level above zero. What it takes too much is missing afterwards.
const debtPart = 0.25

// need returns the level at which a request is admitted. If it were the whole
// cost, a workspace that always asks for more than its quota would see its
// large requests refused and its small ones admitted, as the level never rises
// to the cost of a large one.
func (q *Quota) need(cost float64) float64 {
	if cost <= debtPart*q.bucket.size {
		return 1
	}
	return min(cost, q.bucket.size)
}

// Admit takes a request's cost from the budget if it is not exhausted.
func (q *Quota) Admit(cost float64, now time.Time) bool {
	if q.rate <= 0 {
		return true
	}
	if !q.bucket.Has(q.need(cost), now) {
		return false
	}
	q.Spend(cost, now)
	return true
}

// Spend takes a cost whether or not the budget has it.
func (q *Quota) Spend(cost float64, now time.Time) {
	q.bucket.Spend(cost, now)
	q.used += cost
}

// Refund gives back the cost of a request that did not run.
func (q *Quota) Refund(cost float64) {
	q.bucket.Add(cost)
	q.used -= cost
}

// Used returns what this host has admitted since its start, in tokens. It is
// the figure that others hear.
func (q *Quota) Used() float64 { return q.used }

// report is the last figure of another source.
type report struct {
	process string
	used    float64
}

// ReceiveUsage takes in the figure of another source, such as a failure domain, which
// comes from one of its processes. The first figure of a process sets where
// counting begins.
func (q *Quota) ReceiveUsage(source, process string, used float64, now time.Time) {
	before, known := q.heard[source]
	q.heard[source] = report{process: process, used: used}
	if known && before.process == process && used != before.used {
		q.bucket.Spend(used-before.used, now)
	}
}

// Until returns when a request of a cost would be admitted.
func (q *Quota) Until(cost float64, longest time.Duration, now time.Time) time.Duration {
	return q.bucket.Until(q.need(cost), longest, now)
}
