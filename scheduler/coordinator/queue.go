package coordinator

import (
	"cmp"
	"math"
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
	// sweepPeriod is the time between two looks at all that wait.
	sweepPeriod = 15 * time.Millisecond
	// waitPart is the part of the time that a caller has which it waits at
	// most: what is left is enough to come back once.
	waitPart = 0.5
	// lateWait is how long a request waits at most for a late answer. Callers
	// abandon a stream that has no event after two seconds.
	lateWait = 1400 * time.Millisecond
)

// waiter is an ask in the queue.
type waiter struct {
	Request
	entry string
	since time.Time
	// sendBy is when the request must be sent at the latest to meet its
	// objective.
	sendBy time.Time
	// late reports whether that time has passed.
	late bool
	// tried is the round of serving in which no upstream could be found.
	tried uint64
	// swept is when it was last looked at whether it should wait on.
	swept time.Time
}

// age returns how long ago the caller first asked.
func (w *waiter) age(now time.Time) time.Duration { return w.Age + now.Sub(w.since) }

// left returns how much longer the caller waits.
func (w *waiter) left(now time.Time) time.Duration { return w.Left - now.Sub(w.since) }

// pool is the state of one pool.
type pool struct {
	router.Pool
	// members are the upstreams that may be granted here.
	members []*upstream
	waiting []*waiter
	retries *limiter.Bucket
	// forecaster foresees how long those that wait still have to.
	forecaster forecaster
	// round counts the calls of serve, sweptAt is when all that wait were
	// last looked at.
	round   uint64
	sweptAt time.Time
}

// Submit takes in a request for a slot. The decision comes with Advance.
func (c *Coordinator) Submit(entry string, a Request, now time.Time) {
	p := c.pool(a.Pool, now)
	if reason, after := c.limit(p, a, now); reason != None {
		c.decide(entry, Decision{ID: a.ID, Reason: reason, RetryAfter: after})
		return
	}
	p.forecaster.arrived(rankOf(a), now)
	p.waiting = append(p.waiting, &waiter{
		Request: a, entry: entry, since: now,
		sendBy: now.Add(a.Objective - a.Age - c.quickest(p, a, now)),
	})
}

// limit checks an ask against the limits of the whole fleet and counts it.
func (c *Coordinator) limit(p *pool, a Request, now time.Time) (Reason, time.Duration) {
	if c.suspects.Verdict(quarantiner.Digest(a.Digest), now) == quarantiner.Refused {
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
// and looks now and then for those that should wait no longer. Its cost does
// not grow with the queue while no slot is free.
func (c *Coordinator) serve(p *pool, now time.Time) {
	p.round++
	for len(p.waiting) > 0 && c.anyRoom(p, now) {
		i := c.next(p, now)
		if i < 0 {
			break
		}
		w := p.waiting[i]
		a := w.Request
		a.Age = w.age(now)
		u := c.place(p, a, now)
		if u == nil {
			w.tried = p.round
			continue
		}
		c.grant(w, u, now)
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	from := len(p.waiting)
	for from > 0 && p.waiting[from-1].swept.IsZero() {
		from--
	}
	if now.Sub(p.sweptAt) >= sweepPeriod {
		p.sweptAt, from = now, 0
	}
	c.sweep(p, from, now)
}

// next returns the first of those that wait and were not tried in this round.
func (c *Coordinator) next(p *pool, now time.Time) (first int) {
	first = -1
	for i, w := range p.waiting {
		if w.tried == p.round {
			continue
		}
		w.late = now.After(w.sendBy)
		if first < 0 || c.order(w, p.waiting[first]) < 0 {
			first = i
		}
	}
	return first
}

// grant gives an upstream to one that waits.
func (c *Coordinator) grant(w *waiter, u *upstream, now time.Time) {
	c.begin(key{w.entry, w.ID}, w.Request, u, now)
	if u.cold != nil && u.isCold(now) {
		u.cold.Spend(1, now)
	}
	c.decide(w.entry, Decision{ID: w.ID, Upstream: u.ID})
}

// sweep redirects or refuses those that should not wait here any longer, from
// an index on: the latest to come are at the end.
func (c *Coordinator) sweep(p *pool, from int, now time.Time) {
	o := c.forecast(p, from, now)
	var before backlog
	kept := p.waiting[:from]
	for _, w := range p.waiting[from:] {
		w.swept = now
		if !c.settle(p, w, &o, before.position(w), now) {
			before.add(w)
			kept = append(kept, w)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// forecast forecasts the waits of a pool if the whole queue is looked at. A host
// that decides alone sees only its own part of the load and forecasts nothing.
func (c *Coordinator) forecast(p *pool, from int, now time.Time) (o forecast) {
	if from > 0 || c.fleet.Standalone || !c.rejectEarly {
		return o
	}
	var b backlog
	for _, w := range p.waiting {
		w.late = now.After(w.sendBy)
		b.add(w)
	}
	slots := 0
	for _, u := range p.members {
		if u.eligible(now) {
			slots += u.slots()
		}
	}
	return p.forecaster.forecast(b, slots, now)
}

// bySlack ranks those that wait: by tier, then those that can still meet their
// objective, then by the time left to meet it. Without the second step a
// burst would make every request late: the longest waiting go first, and each
// is served just after its objective.
func bySlack(a, b *waiter) int {
	if a.Tier != b.Tier || a.Priority != b.Priority {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Priority, b.Priority))
	}
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	return a.sendBy.Compare(b.sendBy)
}

// settle ends the wait of one that no upstream here takes, if it should end,
// and reports whether it did.
func (c *Coordinator) settle(p *pool, w *waiter, o *forecast, position int, now time.Time) bool {
	if domain := c.redirect(p, w.Request, now); domain != "" {
		c.decide(w.entry, Decision{ID: w.ID, Domain: domain})
		return true
	}
	after := quickRetryAfter
	if !c.tooLate(w, now) {
		reject := false
		if reject, after = o.rejectEarly(w, position, now); !reject {
			return false
		}
	}
	reason := NoCapacity
	if !c.exists(p, w.Request, now) {
		reason = NoUpstream
	}
	if q := c.quotas[w.Workspace]; q != nil && !w.Redirected && !w.Repeat {
		q.Refund(w.Cost)
	}
	c.decide(w.entry, Decision{ID: w.ID, Reason: reason, RetryAfter: after})
	return true
}

// tooLate reports whether a request that still waits is given up.
func (c *Coordinator) tooLate(w *waiter, now time.Time) bool {
	return w.left(now) < lateReserve || w.waitLeft(now) < 0
}

// waitLeft returns how much longer a request may wait for a slot.
func (w *waiter) waitLeft(now time.Time) time.Duration {
	most := min(lateWait, time.Duration(waitPart*float64(w.Left+w.Waited)))
	return most - w.Waited - now.Sub(w.since)
}

// redirect returns the failure domain whose coordinator should be asked
// instead: the nearest that has room, or, where this domain has no upstream for
// the request, as during an evacuation, the one where the fewest wait for a
// slot. It is empty if the request should wait here.
func (c *Coordinator) redirect(p *pool, a Request, now time.Time) (domain string) {
	if a.Redirected || c.fleet.Standalone {
		return ""
	}
	least := 1
	if !c.exists(p, a, now) {
		least = math.MinInt
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
		free, serves := other.summary.Free[p.Name]
		room := free - other.sent[p.Name]
		if !serves || room < least {
			continue
		}
		near := c.fleet.Regions[d] == here && room > 0
		if domain != "" && (bestNear && !near || bestNear == near && room <= bestRoom) {
			continue
		}
		domain, bestRoom, bestNear = d, room, near
	}
	if domain != "" {
		c.peers[domain].sent[p.Name]++
	}
	return domain
}
