package coordinator

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which arrivals are averaged: about the
	// longest objective, so that a burst counts before its first requests are
	// late.
	rateWindow = 600 * time.Millisecond
	// holdGain is the weight of one request in the average time that requests
	// hold a slot.
	holdGain = 1.0 / 32
	// rejectFactor is the ratio of the forecast wait to the remaining wait
	// above which a request is rejected early. Forecasts are off by about this
	// factor.
	rejectFactor = 1.5
	// minRateShare is the fraction of all slots per second that every rank is
	// assumed to get, because the requests ahead of it arrive in waves.
	minRateShare = 0.2
	// minSamples is the number of ended requests required before a forecast is
	// made.
	minSamples = 32
	// retryDivisor divides the time until the caller's deadline; the result
	// bounds its Retry-After.
	retryDivisor = 3
	// retryJitter is the largest fraction by which Retry-After is randomly
	// reduced.
	retryJitter = 0.4
)

// rank combines a request's tier, whether its workspace is over its share, and its
// priority: no request gets a slot before one of a higher rank that could take it. 0 is
// the highest.
type rank int

const (
	// maxOrder is the lowest order by tier and priority; requests that would be ordered
	// below it share it.
	maxOrder = 31
	// maxRank is the lowest rank.
	maxRank = 2*maxOrder + 1
)

// priorityLevels is the number of distinct priorities within a tier.
const priorityLevels = 8

// rank returns the rank of a queued request.
func (w *waiter) rank() rank { return rankOf(w.Request, w.share.over) }

// rankOf returns the rank of a request whose workspace is over its share or not.
func rankOf(r Request, over bool) rank {
	order := min(max(r.Tier, 0)*priorityLevels+min(max(r.Priority, 0), priorityLevels-1), maxOrder)
	tier, priority := order/priorityLevels, order%priorityLevels
	if over {
		priority += priorityLevels
	}
	return rank(2*tier*priorityLevels + priority)
}

// rate is an exponentially decaying average of events per second.
type rate struct {
	level float64
	at    time.Time
}

// add counts an event.
func (r *rate) add(now time.Time) {
	r.level = r.value(now) + 1/rateWindow.Seconds()
	r.at = now
}

// value returns the number of events per second.
func (r *rate) value(now time.Time) float64 {
	return r.level * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// forecaster predicts how long requests wait for a slot of a pool, from how
// long requests hold a slot and how many of each rank arrive.
type forecaster struct {
	arrivals [maxRank + 1]rate
	// meanHold is the average time that a request holds a slot, in seconds, and
	// samples the number of requests it was computed from.
	meanHold float64
	samples  int
}

// recordArrival counts a new admission request.
func (f *forecaster) recordArrival(r rank, now time.Time) { f.arrivals[r].add(now) }

// recordHold updates the average with the time that a request held a slot.
func (f *forecaster) recordHold(held time.Duration) {
	f.samples++
	f.meanHold += (held.Seconds() - f.meanHold) * max(holdGain, 1/float64(f.samples))
}

// backlog counts queued requests by rank, those in time and late ones apart.
type backlog struct {
	inTime, late [maxRank + 1]int
}

// forecast is the predicted service of a queue at a moment: for each rank, the
// slots per second available to it and the number of requests ahead of it.
type forecast struct {
	valid bool
	// slots is the number of slots of the pool that its upstreams' limits let it use.
	slots float64
	// limitWait is the time until the limit of any upstream admits a request.
	limitWait time.Duration
	// inTimeRate and lateRate are the slots per second that the requests ahead
	// leave to those of a rank.
	inTimeRate, lateRate [maxRank + 1]float64
	// inTimeAhead and lateAhead count the requests ahead of the first of a
	// rank.
	inTimeAhead, lateAhead [maxRank + 1]int
	// versions are the requests that are bound to a version. The numbers ahead do not
	// contain them.
	versions []*versionQueue
}

// forecast returns the forecast for a queue that is served by a number of
// slots. It is not valid before enough requests have ended.
func (f *forecaster) forecast(b backlog, slots float64, now time.Time) (fc forecast) {
	if f.samples < minSamples || f.meanHold <= 0 || slots == 0 {
		return fc
	}
	fc.valid, fc.slots = true, slots
	left, ahead := slots/f.meanHold, 0
	least := minRateShare * left
	for r := range b.inTime {
		fc.inTimeRate[r], fc.inTimeAhead[r] = max(left, least), ahead
		left -= f.arrivals[r].value(now)
		ahead += b.inTime[r]
		fc.lateRate[r], fc.lateAhead[r] = max(left, least), ahead
		ahead += b.late[r]
	}
	return fc
}

// wait returns how long the request at a position among those of its rank, in
// time or late, waits for a slot if it is not bound to a version; 0 if there is no
// valid forecast.
func (fc *forecast) wait(r rank, late bool, position int) time.Duration {
	if !fc.valid {
		return 0
	}
	rate, ahead := fc.inTimeRate[r], fc.inTimeAhead[r]
	if late {
		rate, ahead = fc.lateRate[r], fc.lateAhead[r]
	}
	return seconds(fc.timeUntil(float64(ahead+position+1), r, rate))
}

// seconds returns the duration of a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// position returns how many requests of the same rank, and in time or late like
// w, are ahead of w.
func (b *backlog) position(w *waiter) int {
	if w.late {
		return b.late[w.rank()]
	}
	return b.inTime[w.rank()]
}

// add counts a queued request.
func (b *backlog) add(w *waiter) {
	if w.late {
		b.late[w.rank()]++
		return
	}
	b.inTime[w.rank()]++
}

// rejectEarly reports whether a request that waits for a slot for d is not expected
// to get one within its remaining wait, and its Retry-After.
func (w *waiter) rejectEarly(d time.Duration, now time.Time) (reject bool, after time.Duration) {
	if float64(d) <= rejectFactor*float64(w.remainingWait(now)) {
		return false, 0
	}
	return true, w.retryAfter(d, now)
}

// retryAfter returns the Retry-After of a request that would get a slot after d: that
// time, bounded by the caller's deadline and with jitter so that callers do not all
// retry at the same time.
func (w *waiter) retryAfter(d time.Duration, now time.Time) time.Duration {
	after := time.Duration(float64(min(d, maxRetryAfter)) * (1 - retryJitter*jitter(w.ID)))
	return max(minRetryAfter, min(after, w.remaining(now)/retryDivisor))
}

// jitter maps a request number to a pseudo-random number from 0 to 1.
func jitter(id uint64) float64 {
	const odd, bits = 0x9e3779b97f4a7c15, 24
	return float64(id*odd>>(64-bits)) / (1 << bits)
}
