package ejector

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// evidenceTime is the time constant with which failures are forgotten.
	evidenceTime = 6 * time.Second
	// rateGain is the weight of one request in an upstream's failure rate, and meanGain that in
	// its mean rate, which varies less: a service may fail 14% of its sound requests.
	rateGain = 0.15
	meanGain = 0.03
	// minPoolRate is the lowest failure rate that is assumed for the rest of a pool, as single
	// failures are normal, and unknownPoolRate that for a rest without evidence: from then on,
	// five failures in a row are needed in place of three.
	minPoolRate     = 0.02
	unknownPoolRate = 0.1
	// allRate and partRate are the fractions of the requests which the rest of the pool would
	// serve that an upstream fails by the hypotheses of the two tests.
	allRate  = 0.9
	partRate = 0.4
	// threshold is the logarithm of the likelihood ratio at which an upstream is out. A sound
	// one reaches it once in over e^10.5 = 36,000 requests. If the rest fails 14%, six failures
	// in a row are needed.
	threshold = 10.5
	// minFailures is the number of distinct requests that must have failed.
	minFailures = 3
	// likeRate is the fraction of an upstream's failure rate at which the rest of the pool
	// fails like it.
	likeRate = 0.5
	// outShare is the share of a pool that may be out at once.
	outShare = 1.0 / 3
	// swapMargin is the difference of failure rates at which an upstream is out in place of
	// another one.
	swapMargin = 0.2
	// lossSpread is the time within which the connections of an upstream that crashes are lost.
	// Together they count as one failure.
	lossSpread = 20 * time.Millisecond
	// largePool is the number of upstreams from which on the rate of the rest of a pool is that
	// of the whole pool, computed at most once per rateAge: it does not depend on one upstream.
	largePool = 16
	rateAge   = 10 * time.Millisecond
	// maxContents is the number of failed contents that are remembered.
	maxContents = 8
)

// content is the content of a failed request.
type content struct {
	hash uint64
	at   time.Time
}

// Record is the evidence of one upstream. It belongs to at most one Pool.
type Record struct {
	id string
	// pool is the pool that the record belongs to. It is nil once the upstream is no longer
	// listed or has restarted: requests that still end there are not evidence.
	pool *Pool
	// rate and mean are moving averages of the failure rate over about 7 and 30 requests.
	rate, mean float64
	// samples counts the requests in them.
	samples int
	// all and part are the states of the two tests, at is the time of the last evidence, and
	// poolRate the failure rate of the rest of the pool as of the last failure.
	all, part, poolRate float64
	at                  time.Time
	// failures counts the distinct failed requests since both tests were at 0, the first of them
	// at failedAt, and successes the others that were sent later than that.
	failures, successes int
	failedAt            time.Time
	contents            []content
	lostAt              time.Time
	// succeededAt is the time of the last success of a request that was sent while in service.
	succeededAt time.Time
	trials
}

// NewRecord returns the record of an upstream of which nothing is known.
func NewRecord(id string) *Record { return &Record{id: id} }

// Hinted reports whether the upstream is out by the verdict of another host.
func (r *Record) Hinted() bool { return r.out && r.hinted }

// Out reports whether the upstream is out of service.
func (r *Record) Out() bool { return r.out }

// decay forgets evidence over time.
func (r *Record) decay(now time.Time) {
	d := math.Exp(-max(0, now.Sub(r.at).Seconds()) / evidenceTime.Seconds())
	r.all, r.part, r.at = r.all*d, r.part*d, now
	if d < 1/math.E {
		r.rate, r.mean, r.samples = 0, 0, 0
	}
}

// average updates the averages of the failure rate.
func (r *Record) average(failed bool) {
	r.samples++
	x := 0.0
	if failed {
		x = 1
	}
	r.rate += rateGain * (x - r.rate)
	r.mean += meanGain * (x - r.mean)
}

// observe updates the averages and the tests with the result of a request.
func (r *Record) observe(failed bool, sent, now time.Time) {
	r.average(failed)
	r.all = advance(r.all, r.poolRate, allRate, failed)
	r.part = advance(r.part, r.poolRate, partRate, failed)
	switch {
	case r.all == 0 && r.part == 0:
		r.failures, r.successes = 0, 0
	case failed:
		if r.failures == 0 {
			r.failedAt = now
		}
		r.failures++
	case sent.After(r.failedAt):
		r.successes++
	}
}

// advance returns the state of a test after a request.
func advance(state, poolRate, share float64, failed bool) float64 {
	rate := poolRate + share*(1-poolRate)
	if failed {
		return state + math.Log(rate/poolRate)
	}
	return max(0, state+math.Log((1-rate)/(1-poolRate)))
}

// repeats reports whether a request with the same content has failed lately, and remembers it.
func (r *Record) repeats(hash uint64, now time.Time) bool {
	r.contents = slices.DeleteFunc(r.contents, func(c content) bool { return now.Sub(c.at) > evidenceTime })
	for i := range r.contents {
		if r.contents[i].hash == hash {
			r.contents[i].at = now
			return true
		}
	}
	if len(r.contents) == maxContents {
		r.contents = slices.Delete(r.contents, 0, 1)
	}
	r.contents = append(r.contents, content{hash, now})
	return false
}

// Failure is a request that an upstream has failed.
type Failure struct {
	// Content is a hash of the request's content.
	Content uint64
	// Sent is when the request was granted.
	Sent time.Time
	// Lost reports whether the connection was lost.
	Lost bool
}

// Change is an upstream that was ejected or has come back.
type Change struct {
	ID  string
	Out bool
	// Reason is why.
	Reason string
	// Hinted reports whether the ejection rests on the verdict of another host only.
	Hinted bool
	// Rate is the failure rate of the upstream, PoolRate that of the rest of the pool, both
	// from 0 to 1.
	Rate, PoolRate float64
	// Lasted is the time for which an upstream that is back was out.
	Lasted time.Duration
}

// Pool judges the upstreams of one pool. The zero value is ready to use. It is not safe for
// concurrent use.
type Pool struct {
	records []*Record
	changes []Change
	out     int
	// failed is set after a failure until the next review.
	failed bool
	rates  []float64
	// rate is the failure rate of a large pool at ratedAt.
	rate    float64
	ratedAt time.Time
}

// SetRecords replaces the upstreams of the pool. Those that were not in it start anew.
func (p *Pool) SetRecords(records []*Record, now time.Time) {
	if slices.Equal(p.records, records) {
		return
	}
	listed := make(map[*Record]bool, len(records))
	for _, r := range records {
		listed[r] = true
		if r.pool != p {
			*r = Record{id: r.id, pool: p}
		}
	}
	for _, r := range p.records {
		if !listed[r] && r.pool == p {
			r.pool = nil
		}
	}
	p.records = slices.Clone(records)
	p.out = 0
	for _, r := range p.records {
		if r.out {
			p.out++
		}
	}
	p.limit(now)
}

// Out returns the number of upstreams that are out.
func (p *Pool) Out() int { return p.out }

// Changes returns the changes since the last call.
func (p *Pool) Changes() []Change {
	c := p.changes
	p.changes = nil
	return c
}

// maxOut returns the number of upstreams that may be out at once.
func (p *Pool) maxOut() int {
	if len(p.records) < 2 {
		return 0
	}
	return max(1, int(outShare*float64(len(p.records))))
}

// poolRate returns the failure rate of the other upstreams without the worst of them: as many as
// may be out, but not all.
func (p *Pool) poolRate(r *Record, now time.Time) float64 {
	if len(p.records) < largePool {
		return p.restRate(r, now)
	}
	if now.Sub(p.ratedAt) >= rateAge {
		p.rate, p.ratedAt = p.restRate(nil, now), now
	}
	return p.rate
}

// restRate computes poolRate; all upstreams count if r is nil.
func (p *Pool) restRate(r *Record, now time.Time) float64 {
	rate := p.restMean(r, now, func(o *Record) float64 { return o.rate })
	mean := p.restMean(r, now, func(o *Record) float64 { return o.mean })
	samples := 0
	for _, o := range p.records {
		if o != r && now.Sub(o.at) <= evidenceTime {
			samples += o.samples
		}
	}
	unknown := unknownPoolRate / (1 + unknownPoolRate*float64(samples))
	return min(max(rate, mean, unknown, minPoolRate), 1-minPoolRate)
}

// restMean returns the mean of an average of the other upstreams that have had requests lately,
// without the worst.
func (p *Pool) restMean(r *Record, now time.Time, average func(*Record) float64) float64 {
	p.rates = p.rates[:0]
	for _, o := range p.records {
		if o != r && now.Sub(o.at) <= evidenceTime {
			p.rates = append(p.rates, average(o))
		}
	}
	if len(p.rates) == 0 {
		return 0
	}
	slices.Sort(p.rates)
	n := max(1, len(p.rates)-p.maxOut())
	sum := 0.0
	for _, rate := range p.rates[:n] {
		sum += rate
	}
	return sum / float64(n)
}

// Succeeded records that a request of an upstream that was granted at a time has completed.
func (p *Pool) Succeeded(r *Record, sent, now time.Time) {
	if r.pool != p {
		return
	}
	if r.out {
		p.passTrial(r, sent, now)
		return
	}
	r.decay(now)
	r.observe(false, sent, now)
	r.succeededAt = now
}

// Failed records that an upstream has failed a request.
func (p *Pool) Failed(r *Record, f Failure, now time.Time) {
	if r.pool != p {
		return
	}
	if f.Lost && now.Sub(r.lostAt) <= lossSpread && f.Sent.Before(r.lostAt) {
		return
	}
	if f.Lost {
		r.lostAt = now
	}
	repeated := r.repeats(f.Content, now)
	if r.out {
		p.failTrial(r, f.Sent, repeated, now)
		return
	}
	if repeated {
		return
	}
	p.failed = true
	r.decay(now)
	r.poolRate = p.poolRate(r, now)
	r.observe(true, f.Sent, now)
	if r.failures >= minFailures && max(r.all, r.part) >= threshold && r.poolRate < likeRate*r.rate {
		p.eject(r, now)
	}
}

// eject takes an upstream out of service, if no more than the allowed share is out, or in place of
// one that fails less.
func (p *Pool) eject(r *Record, now time.Time) {
	if p.out >= p.maxOut() {
		best := p.best()
		if best == nil || best.outRate+swapMargin > r.rate {
			return
		}
		p.restore(best, "worse upstream", now)
	}
	p.out++
	r.begin(r.rate, r.successes > 0, now)
	p.changes = append(p.changes, Change{ID: r.id, Out: true, Reason: "failures", Rate: r.rate, PoolRate: r.poolRate})
}

// best returns the upstream that is out with the lowest failure rate; nil if none is out.
func (p *Pool) best() (best *Record) {
	for _, r := range p.records {
		if r.out && (best == nil || cmp.Compare(r.outRate, best.outRate) < 0) {
			best = r
		}
	}
	return best
}

// restore returns an upstream to service.
func (p *Pool) restore(r *Record, reason string, now time.Time) {
	p.out--
	p.changes = append(p.changes, Change{ID: r.id, Reason: reason, Hinted: r.hinted, Rate: r.rate, PoolRate: r.poolRate, Lasted: now.Sub(r.since)})
	r.end(now)
	r.all, r.part, r.failures, r.successes = 0, 0, 0, 0
}

// limit returns upstreams to service while more than the allowed share is out.
func (p *Pool) limit(now time.Time) {
	for p.out > p.maxOut() {
		p.restore(p.best(), "share of the pool", now)
	}
}

// Review returns upstreams to service that should be out no longer although no trial has
// succeeded: the rest of the pool fails like them, or nothing has been learned of them for long.
func (p *Pool) Review(now time.Time) {
	if p.out == 0 {
		return
	}
	for _, r := range p.records {
		if r.out && r.expired(now) {
			p.restore(r, "no evidence", now)
		}
	}
	if !p.failed {
		return
	}
	p.failed = false
	for _, r := range p.records {
		if !r.out || r.hinted {
			continue
		}
		if rate := p.poolRate(r, now); rate >= likeRate*r.outRate {
			r.poolRate = rate
			p.restore(r, "pool fails alike", now)
		}
	}
}
