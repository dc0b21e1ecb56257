package coordinator

import (
	"math"
	"time"
)

const (
	// rateTime is the time over which arrivals are averaged: about the longest
	// objective, so that a burst counts before its first requests are late.
	rateTime = 600 * time.Millisecond
	// holdWeight is the weight of one request in the average time that requests
	// hold a slot.
	holdWeight = 1.0 / 32
	// rejectFactor times the wait that is left to a request is the forecast wait
	// at which it is rejected early: forecasts err by about as much.
	rejectFactor = 1.5
	// leastPart is the part of all slots a second that any rank is taken to
	// get, as what goes before it comes in waves.
	leastPart = 0.2
	// minHeld is the number of ended requests before anything is forecast.
	minHeld = 32
	// retryPart is the part of the time that a caller has left, as a divisor,
	// that it waits at most before it comes back.
	retryPart = 3
	// retrySpread is the part by which the times to come back are scattered.
	retrySpread = 0.4
)

// rank is a request's standing in a queue: no request of a lower rank gets a
// slot before one of a higher that could take it. 0 is the highest.
type rank int

// maxRank bounds the ranks that are told apart.
const maxRank = 31

// priorities is the number of priorities within a tier that are told apart.
const priorities = 8

// rankOf returns the rank of an ask.
func rankOf(a Request) rank {
	return rank(min(max(a.Tier, 0)*priorities+min(max(a.Priority, 0), priorities-1), maxRank))
}

// rate is an exponentially decaying average of events a second.
type rate struct {
	level float64
	at    time.Time
}

// add counts an event.
func (r *rate) add(now time.Time) {
	r.level = r.value(now) + 1/rateTime.Seconds()
	r.at = now
}

// value returns the events a second.
func (r *rate) value(now time.Time) float64 {
	return r.level * math.Exp(-now.Sub(r.at).Seconds()/rateTime.Seconds())
}

// forecaster foresees how long requests wait for a slot of a pool, from how
// long requests hold one and how many of each rank arrive.
type forecaster struct {
	arrivals [maxRank + 1]rate
	// hold is the average time that a request holds a slot, in seconds, and
	// held counts the requests that it was learnt from.
	hold float64
	held int
}

// arrived counts a request that asks for a slot.
func (f *forecaster) arrived(r rank, now time.Time) { f.arrivals[r].add(now) }

// ended learns from a request that has held a slot for a time.
func (f *forecaster) ended(held time.Duration) {
	f.held++
	f.hold += (held.Seconds() - f.hold) * max(holdWeight, 1/float64(f.held))
}

// backlog counts those that wait, by rank, in time and late.
type backlog struct {
	inTime, late [maxRank + 1]int
}

// forecast is what a forecaster says of a queue at a moment: for each rank, the
// slots a second that are left to it, and how many wait before it.
type forecast struct {
	known bool
	// inTimeRate and lateRate are the slots a second left to the requests of a
	// rank by those that go before them.
	inTimeRate, lateRate [maxRank + 1]float64
	// inTimeAhead and lateAhead count those that go before the first of a rank.
	inTimeAhead, lateAhead [maxRank + 1]int
}

// forecast returns the forecast for a queue before a number of slots.
func (f *forecaster) forecast(b backlog, slots int, now time.Time) (o forecast) {
	if f.held < minHeld || f.hold <= 0 || slots == 0 {
		return o
	}
	o.known = true
	left, ahead := float64(slots)/f.hold, 0
	least := leastPart * left
	for r := range b.inTime {
		o.inTimeRate[r], o.inTimeAhead[r] = max(left, least), ahead
		left -= f.arrivals[r].value(now)
		ahead += b.inTime[r]
		o.lateRate[r], o.lateAhead[r] = max(left, least), ahead
		ahead += b.late[r]
	}
	return o
}

// wait returns how long the request at a position among those of its rank, in
// time or late, waits for a slot; 0 where nothing is known.
func (o *forecast) wait(r rank, late bool, position int) time.Duration {
	if !o.known {
		return 0
	}
	rate, ahead := o.inTimeRate[r], o.inTimeAhead[r]
	if late {
		rate, ahead = o.lateRate[r], o.lateAhead[r]
	}
	return time.Duration(float64(ahead+position+1) / rate * float64(time.Second))
}

// position returns how many of a request's rank, in time or late as it is, go
// before the next one.
func (b *backlog) position(w *waiter) int {
	if w.late {
		return b.late[rankOf(w.Request)]
	}
	return b.inTime[rankOf(w.Request)]
}

// add counts a request that waits.
func (b *backlog) add(w *waiter) {
	if w.late {
		b.late[rankOf(w.Request)]++
		return
	}
	b.inTime[rankOf(w.Request)]++
}

// rejectEarly reports whether a request will not be reached while it may wait,
// and when its caller should come back: when it would have been reached, or as
// late as is of use, and not all at once.
func (o *forecast) rejectEarly(w *waiter, position int, now time.Time) (is bool, after time.Duration) {
	d := o.wait(rankOf(w.Request), w.late, position)
	if float64(d) <= rejectFactor*float64(w.waitLeft(now)) {
		return false, 0
	}
	after = time.Duration(float64(min(d, longestRetryAfter)) * (1 - retrySpread*scatter(w.ID)))
	return true, max(quickRetryAfter, min(after, w.left(now)/retryPart))
}

// scatter maps an ask to a number from 0 to 1.
func scatter(id uint64) float64 {
	const odd, bits = 0x9e3779b97f4a7c15, 24
	return float64(id*odd>>(64-bits)) / (1 << bits)
}
