package coordinator

import (
	"math"
	"time"
)

// resolve redirects or refuses a queued request that no upstream here can run,
// if it should wait no longer, and reports whether it did.
func (c *Coordinator) resolve(p *pool, w *waiter, fc *forecast, position int, now time.Time) bool {
	if domain := c.redirectTarget(p, w, now); domain != "" {
		c.decide(w.entry, Decision{ID: w.ID, Domain: domain})
		return true
	}
	after := minRetryAfter
	paused := c.timeUntilResumed(p, w, now)
	if paused > 0 {
		after = w.retryAfter(paused, now)
	}
	if !c.tooLate(w, now) && !c.isCutOff(p, w, now) {
		reject := false
		if w.Version != "" {
			reject, after = c.rejectBound(p, w, fc, position, now)
		} else {
			reject, after = w.rejectEarly(fc.wait(w.rank(), w.late, position), now)
			wait := max(fc.limitWait, paused)
			if !reject && wait > w.remainingWait(now) {
				reject, after = true, w.retryAfter(wait, now)
			}
		}
		if !reject {
			return false
		}
	}
	reason := NoCapacity
	if !c.canServe(p, w.entry, w.Request, now) {
		reason = NoUpstream
	}
	c.uncharge(p, w.Request)
	c.decide(w.entry, Decision{ID: w.ID, Reason: reason, RetryAfter: after, Explanation: c.explainQueued(p, w, fc, position, now)})
	return true
}

// tooLate reports whether a queued request has run out of time.
func (c *Coordinator) tooLate(w *waiter, now time.Time) bool {
	return w.remaining(now) < responseReserve || w.remainingWait(now) < 0
}

// remainingWait returns how much longer a request may wait for a slot.
func (w *waiter) remainingWait(now time.Time) time.Duration {
	limit := min(maxWait, time.Duration(maxWaitFraction*float64(w.Left+w.Waited)))
	return limit - w.Waited - now.Sub(w.queuedAt)
}

// redirectTarget returns the failure domain whose coordinator should get a
// request instead, and counts the redirect: the one with the most free slots in
// this region, or else in another region. Where this domain has no upstream for
// the request, as during an evacuation, and no other domain has a free slot, it
// is the one with the shortest queue. It is empty if the request should wait
// here. For a request that is bound to a version only slots of that version count.
func (c *Coordinator) redirectTarget(p *pool, w *waiter, now time.Time) (domain string) {
	r := w.Request
	if r.Redirected || c.fleet.Standalone {
		return ""
	}
	if c.features.Overflow && r.Version == "" {
		return c.overflowTarget(p, w, now)
	}
	least := 1
	if !c.canServe(p, w.entry, r, now) {
		least = math.MinInt
	}
	here := c.fleet.Regions[c.fleet.Domain]
	bestRoom, bestNear := 0, false
	t := target{p.Name, r.Version}
	for d, other := range c.peers {
		if now.Sub(other.at) > summaryTTL || d == c.fleet.Domain {
			continue
		}
		room, serves := other.room(t)
		if !serves || room < least || !c.mayGrant(p, d, r, now) {
			continue
		}
		near := c.fleet.Regions[d] == here && room > 0
		if domain != "" && (bestNear && !near || bestNear == near && room <= bestRoom) {
			continue
		}
		domain, bestRoom, bestNear = d, room, near
	}
	if domain != "" {
		best := c.peers[domain]
		best.countRedirect(t)
		c.recordSent(p, domain, w, now)
	}
	return domain
}
