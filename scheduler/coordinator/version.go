package coordinator

import (
	"math"
	"slices"
	"time"
)

// versionQueue describes the queued requests of a pool that are bound to one version.
type versionQueue struct {
	version string
	// share is the fraction of the pool's slots that upstreams of the version have.
	share float64
	// queued counts all of the requests, ahead those that were swept already.
	queued, ahead backlog
}

// through returns the number of requests down to a rank.
func (q *versionQueue) through(r rank) (n int) {
	for i := range r + 1 {
		n += q.queued.inTime[i] + q.queued.late[i]
	}
	return n
}

// queue returns the queue of a version, or nil if the forecast has none.
func (fc *forecast) queue(version string) *versionQueue {
	for _, q := range fc.versions {
		if q.version == version {
			return q
		}
	}
	return nil
}

// addBound counts a request that is bound to a version.
func (fc *forecast) addBound(w *waiter) {
	q := fc.queue(w.Version)
	if q == nil {
		q = &versionQueue{version: w.Version}
		fc.versions = append(fc.versions, q)
	}
	q.queued.add(w)
}

// timeUntil returns the seconds until n slots were free for requests of a rank that are
// not bound to a version, at a rate of slots per second. The bound requests ahead take
// only slots of their version: all of them as long as any of those requests wait.
func (fc *forecast) timeUntil(n float64, r rank, rate float64) float64 {
	need := n
	for _, q := range fc.versions {
		need += float64(q.through(r))
	}
	t := need / rate
	// This time is too long by the requests that will still wait then. Each step leaves
	// out at least one more version, or none and the time is final.
	for range fc.versions {
		need, left := n, 1.0
		for _, q := range fc.versions {
			if bound := float64(q.through(r)); bound <= q.share*rate*t {
				need += bound
			} else {
				left -= q.share
			}
		}
		if left <= 0 {
			break
		}
		t = need / (rate * left)
	}
	return t
}

// boundWait returns how long a request that is bound to a version waits for one of the
// given number of slots, at a position among the requests of its version and rank. It
// shares them with the requests of higher ranks that are not bound. The result is 0 if
// there is no valid forecast.
func (fc *forecast) boundWait(w *waiter, slots float64, position int) time.Duration {
	q := fc.queue(w.Version)
	if !fc.valid || q == nil || slots == 0 {
		return 0
	}
	r := w.rank()
	ahead := position
	if r > 0 {
		ahead += q.through(r - 1)
	}
	if w.late {
		ahead += q.queued.inTime[r]
	}
	share := slots / fc.slots
	return seconds((float64(fc.inTimeAhead[r]) + float64(ahead+1)/share) / fc.inTimeRate[r])
}

// rejectBound decides like waiter.rejectEarly for a request that is bound to a version.
// It does not wait for a slot if no upstream of that version can take it in time.
func (c *Coordinator) rejectBound(p *pool, w *waiter, fc *forecast, position int, now time.Time) (reject bool, after time.Duration) {
	soonest, found := c.timeUntilReady(p, w, now)
	switch {
	case !found && c.mayRunElsewhere(p, w.Request):
		// The summary of a coordinator that has one may arrive soon.
		return w.Redirected || c.fleet.Standalone, minRetryAfter
	case !found:
		return true, w.retryAfter(maxRetryAfter, now)
	case soonest > w.remainingWait(now):
		return true, w.retryAfter(soonest, now)
	}
	slots := c.slotsFor(p, func(u *upstream) bool { return c.suits(u, w.Request) }, now)
	return w.rejectEarly(fc.boundWait(w, slots, position), now)
}

// timeUntilReady returns the time until an upstream of a pool may serve a request,
// regardless of free slots, and whether there is one.
func (c *Coordinator) timeUntilReady(p *pool, w *waiter, now time.Time) (soonest time.Duration, found bool) {
	soonest = math.MaxInt64
	for _, u := range p.members {
		if u.inService() && c.suits(u, w.Request) {
			soonest, found = min(soonest, max(u.timeUntilReady(now), c.timeUntilReached(w.entry, u, now))), true
		}
	}
	return soonest, found
}

// timeUntilReady returns the time until the upstream is not ejected and its limit and, if
// it is cold, its rate admit a request.
func (u *upstream) timeUntilReady(now time.Time) time.Duration {
	d := max(0, u.ejection.until.Sub(now), u.timeUntilTrial(now))
	if u.cold != nil && u.isCold(now) {
		warm := max(u.ColdUntil.Sub(now), u.coldUntil.Sub(now))
		d = max(d, u.cold.TimeUntil(1, warm, now))
	}
	return max(d, u.timeUntilWithinLimit(now))
}

// slotsFor returns the number of slots, free or not, that the limits of the eligible
// upstreams of a pool that meet a condition let requests use.
func (c *Coordinator) slotsFor(p *pool, condition func(*upstream) bool, now time.Time) (n float64) {
	for _, u := range p.members {
		if u.eligible(now) && condition(u) {
			n += u.usableSlots(p.forecaster.meanHold) * p.openShare(u)
		}
	}
	return n
}

// addElsewhere lists an upstream that another coordinator grants.
func (p *pool) addElsewhere(u *upstream) {
	if p.elsewhere == nil {
		p.elsewhere = make(map[string]map[string][]string)
	}
	if p.elsewhere[u.Version] == nil {
		p.elsewhere[u.Version] = make(map[string][]string)
	}
	p.elsewhere[u.Version][u.Domain] = append(p.elsewhere[u.Version][u.Domain], u.ID)
}

// mayRunElsewhere reports whether another coordinator's upstream may run a request that is
// bound to a version.
func (c *Coordinator) mayRunElsewhere(p *pool, r Request) bool {
	for domain := range p.elsewhere[r.Version] {
		if c.mayRunIn(p, domain, r) {
			return true
		}
	}
	return false
}

// mayRunIn reports whether an upstream of another failure domain may run a request that is
// bound to a version.
func (c *Coordinator) mayRunIn(p *pool, domain string, r Request) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, c.fleet.Regions[domain]) {
		return false
	}
	return slices.ContainsFunc(p.elsewhere[r.Version][domain], func(id string) bool { return !slices.Contains(r.Exclude, id) })
}

// mayGrant reports whether the coordinator of a failure domain may have an upstream for a
// request: one of its region and, if the request is bound to a version, of that version.
// The coordinator may also grant the upstreams of a domain that has no coordinator.
func (c *Coordinator) mayGrant(p *pool, domain string, r Request, now time.Time) bool {
	if r.Version == "" {
		return len(r.Regions) == 0 || slices.Contains(r.Regions, c.fleet.Regions[domain])
	}
	for d := range p.elsewhere[r.Version] {
		if other, known := c.peers[d]; d != domain && known && now.Sub(other.at) <= summaryTTL {
			continue
		}
		if c.mayRunIn(p, d, r) {
			return true
		}
	}
	return false
}
