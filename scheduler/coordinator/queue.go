package coordinator

import (
	"cmp"
	"slices"
	"time"

	"foxtaillug.org/scheduler/limiter"
	"foxtaillug.org/scheduler/quarantiner"
	"foxtaillug.org/scheduler/router"
)

const (
	// maxWaiting bounds the queue of a pool.
	maxWaiting = 2000
	// peerMemory is how long the summary of another coordinator counts.
	peerMemory = time.Second
	// longestRetryAfter bounds what a refused caller is told to wait.
	longestRetryAfter = 2 * time.Second
	// quickRetryAfter is told where a slot is expected soon.
	quickRetryAfter = 150 * time.Millisecond
	// lateReserve is kept of the time a caller has left, so that an answer
	// still arrives.
	lateReserve = 100 * time.Millisecond
	// lateWait is how long a request waits at most for a late answer. Callers
	// abandon a stream that has no event after two seconds.
	lateWait = 1400 * time.Millisecond
)

// waiter is an ask in the queue.
type waiter struct {
	Ask
	entry string
	since time.Time
	// slack is how much later the request could be sent and still meet its
	// objective; below zero it is late.
	slack time.Duration
}

// age returns how long ago the caller first asked.
func (w *waiter) age(now time.Time) time.Duration { return w.Age + now.Sub(w.since) }

// left returns how much longer the caller waits.
func (w *waiter) left(now time.Time) time.Duration { return w.Left - now.Sub(w.since) }

// pool is the state of one pool.
type pool struct {
	router.Pool
	waiting []*waiter
	retries *limiter.Bucket
}

// Ask takes in a request for a slot. The decision comes with Advance.
func (c *Coordinator) Ask(entry string, a Ask, now time.Time) {
	p := c.pool(a.Pool, now)
	if reason, after := c.limit(p, a, now); reason != None {
		c.decide(entry, Decision{ID: a.ID, Reason: reason, RetryAfter: after})
		return
	}
	p.waiting = append(p.waiting, &waiter{Ask: a, entry: entry, since: now})
}

// limit checks an ask against the limits of the whole fleet and counts it.
func (c *Coordinator) limit(p *pool, a Ask, now time.Time) (Reason, time.Duration) {
	if c.suspects.Judge(quarantiner.Digest(a.Digest), now) == quarantiner.Guilty {
		return Quarantined, longestRetryAfter
	}
	if len(p.waiting) >= maxWaiting {
		return NoCapacity, longestRetryAfter
	}
	if a.Redirected {
		return None, 0
	}
	if a.Repeat {
		if !p.retries.Take(1, now) {
			return OverRetries, quickRetryAfter
		}
		return None, 0
	}
	q := c.quotas[a.Workspace]
	if q != nil && !q.Admit(a.Cost, now) {
		return OverQuota, q.Until(a.Cost, longestRetryAfter, now)
	}
	p.retries.Add(c.bounds.RetryRatio * retryMargin)
	return None, 0
}

// serve gives the free slots of a pool to those that wait, in their order,
// and refuses those for which it is too late.
func (c *Coordinator) serve(p *pool, now time.Time) {
	if len(p.waiting) == 0 {
		return
	}
	for _, w := range p.waiting {
		w.slack = w.Objective - w.age(now) - c.quickest(p, w.Ask, now)
	}
	slices.SortStableFunc(p.waiting, c.order)
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if !c.settle(p, w, now) {
			kept = append(kept, w)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// bySlack ranks those that wait: by tier, then those that can still meet their
// objective, then by the time left to meet it. Without the second step a
// burst would make every request late: the longest waiting go first, and each
// is served just after its objective.
func bySlack(a, b *waiter) int {
	if a.Tier != b.Tier {
		return cmp.Compare(a.Tier, b.Tier)
	}
	if (a.slack > 0) != (b.slack > 0) {
		return cmp.Compare(b.slack, a.slack)
	}
	return cmp.Compare(a.slack, b.slack)
}

// settle decides on one ask if it can, and reports whether it did.
func (c *Coordinator) settle(p *pool, w *waiter, now time.Time) bool {
	if u := c.place(p, w.Ask, now); u != nil {
		c.begin(key{w.entry, w.ID}, w.Ask, u, now)
		if u.cold != nil && u.isCold(now) {
			u.cold.Spend(1, now)
		}
		c.decide(w.entry, Decision{ID: w.ID, Upstream: u.ID})
		return true
	}
	if domain := c.redirect(p, w.Ask, now); domain != "" {
		c.decide(w.entry, Decision{ID: w.ID, Domain: domain})
		return true
	}
	if !c.tooLate(w, now) {
		return false
	}
	reason := NoCapacity
	if !c.exists(p, w.Ask, now) {
		reason = NoUpstream
	}
	if q := c.quotas[w.Workspace]; q != nil && !w.Redirected && !w.Repeat {
		q.Refund(w.Cost)
	}
	c.decide(w.entry, Decision{ID: w.ID, Reason: reason, RetryAfter: quickRetryAfter})
	return true
}

// tooLate reports whether a request that still waits is given up.
func (c *Coordinator) tooLate(w *waiter, now time.Time) bool {
	if w.left(now) < lateReserve {
		return true
	}
	return now.Sub(w.since) > max(w.Objective-w.Age, lateWait)
}

// redirect returns the failure domain whose coordinator has room for a
// request, nearest first; empty if none is known to.
func (c *Coordinator) redirect(p *pool, a Ask, now time.Time) (domain string) {
	if a.Redirected || c.fleet.Alone {
		return ""
	}
	here := c.fleet.Regions[c.fleet.Domain]
	bestRoom, bestNear := 0, false
	for d, other := range c.peers {
		if now.Sub(other.at) > peerMemory || d == c.fleet.Domain {
			continue
		}
		if len(a.Regions) > 0 && !slices.Contains(a.Regions, c.fleet.Regions[d]) {
			continue
		}
		room := other.summary.Free[p.Name] - other.sent[p.Name]
		near := c.fleet.Regions[d] == here
		if room <= 0 || domain != "" && (bestNear && !near || bestNear == near && room <= bestRoom) {
			continue
		}
		domain, bestRoom, bestNear = d, room, near
	}
	if domain != "" {
		c.peers[domain].sent[p.Name]++
	}
	return domain
}
