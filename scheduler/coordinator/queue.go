package coordinator

import (
	"cmp"
	"slices"
	"time"

	"foxtaillug.org/scheduler/limiter"
	"foxtaillug.org/scheduler/router"
)

const (
	// maxQueued is the maximum number of queued requests of a pool.
	maxQueued = 2000
	// summaryTTL is how long the summary of another coordinator is valid.
	summaryTTL = time.Second
	// maxRetryAfter is the longest Retry-After of a refusal.
	maxRetryAfter = 2 * time.Second
	// minRetryAfter is the shortest Retry-After, used where a slot is expected
	// soon.
	minRetryAfter = 150 * time.Millisecond
	// responseReserve is how much of the caller's remaining time is kept for
	// sending the response.
	responseReserve = 100 * time.Millisecond
	// sweepInterval is the time between two checks of the whole queue.
	sweepInterval = 15 * time.Millisecond
	// maxWaitFraction is the fraction of the caller's time that a request may
	// wait; the rest is enough for one retry.
	maxWaitFraction = 0.5
	// maxWait is the longest time a request waits for a slot. Callers abandon a
	// stream that has no event after two seconds.
	maxWait = 1400 * time.Millisecond
)

// waiter is an admission request in the queue.
type waiter struct {
	Request
	entry    string
	queuedAt time.Time
	// sendBy is the latest time at which the request can be sent and still meet
	// its objective.
	sendBy time.Time
	// late is set after sendBy has passed.
	late bool
	// triedRound is the last round of serve in which no upstream was found.
	triedRound uint64
	// lastSweep is the time at which the request was last checked for
	// redirection or refusal.
	lastSweep time.Time
	share     claim
	// admittedAs is the rank at admission, at which the request counts as an arrival.
	admittedAs rank
	// reserving is set after the request has reserved an upstream for its tokens.
	reserving bool
}

// age returns the time since the caller first sent the request.
func (w *waiter) age(now time.Time) time.Duration { return w.Age + now.Sub(w.queuedAt) }

// remaining returns the time until the caller's deadline.
func (w *waiter) remaining(now time.Time) time.Duration { return w.Left - now.Sub(w.queuedAt) }

// pool is the state of one pool.
type pool struct {
	router.Pool
	// members are the upstreams that this coordinator may grant.
	members []*upstream
	// elsewhere lists the IDs of the upstreams that other coordinators grant, by
	// version and failure domain.
	elsewhere map[string]map[string][]string
	waiting   []*waiter
	// full lists the versions without an upstream that can accept a request, and
	// unreached the entry hosts that reach none which can, as found in the current round
	// of serve.
	full, unreached []string
	retries         *limiter.Bucket
	// forecaster predicts how long queued requests will wait.
	forecaster forecaster
	// open holds, by upstream, the fraction of the queued requests whose entry hosts it has
	// not told to pause, as of the last sweep; it is nil if it has told none.
	open map[string]float64
	// overflow is what is known for redirecting requests by forecast.
	overflow poolOverflow
	// round counts the calls of serve, lastSweep is the time at which the whole
	// queue was last checked.
	round     uint64
	lastSweep time.Time
	// tokens is what the current round of serve has found of the room for tokens.
	tokens tokenSearch
	// out is the number of upstreams that were out of service for their failures then.
	out    int
	states stateCount
}

// Admit queues an admission request of an entry host. Advance returns the
// decision.
func (c *Coordinator) Admit(entry string, r Request, now time.Time) {
	c.noteStandalone(now)
	p := c.pool(r.Pool, now)
	if c.refuseTooLarge(p, entry, r, now) {
		return
	}
	if reason, after := c.checkLimits(p, r, now); reason != None {
		c.decide(entry, Decision{ID: r.ID, Reason: reason, RetryAfter: after, Explanation: c.explainLimit(p, reason, now)})
		return
	}
	w := &waiter{
		Request: r, entry: entry, queuedAt: now,
		sendBy: now.Add(r.Objective - r.Age - c.minFirstTokenTime(p, r, now)),
	}
	c.ask(w, now)
	w.admittedAs = w.rank()
	p.forecaster.recordArrival(w.admittedAs, now)
	c.recordArrivingWork(p, w, now)
	p.waiting = append(p.waiting, w)
}

// checkLimits checks a request against the maximum length of the queue, then
// charges a retry to the retry budget and any other request to the workspace's
// quota. A redirected request has been charged already.
func (c *Coordinator) checkLimits(p *pool, r Request, now time.Time) (Reason, time.Duration) {
	if len(p.waiting) >= maxQueued {
		return NoCapacity, maxRetryAfter
	}
	if r.Redirected {
		return None, 0
	}
	if r.Repeat {
		if !p.retries.Take(1, now) {
			return OverRetries, minRetryAfter
		}
		return None, 0
	}
	q := c.quotas[r.Workspace]
	if q != nil && !q.Admit(r.Cost, now) {
		return OverQuota, q.TimeUntil(r.Cost, maxRetryAfter, now)
	}
	p.retries.Add(c.bounds.RetryRatio * retryBudgetShare)
	return None, 0
}

// uncharge returns what checkLimits has charged for a request that has not been sent
// to an upstream.
func (c *Coordinator) uncharge(p *pool, r Request) {
	switch q := c.quotas[r.Workspace]; {
	case r.Redirected:
	case r.Repeat:
		p.retries.Add(1)
	case q != nil:
		q.Refund(r.Cost)
	}
}

// Withdraw removes a queued request whose caller has disconnected. If its grant was
// already sent, the entry host ends it with a Finish.
func (c *Coordinator) Withdraw(entry string, id uint64) {
	for _, p := range c.pools {
		p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
			if w.entry != entry || w.ID != id {
				return false
			}
			c.uncharge(p, w.Request)
			return true
		})
	}
}

// serve grants the free slots of a pool to queued requests in their order, and
// ends the wait of those that should wait no longer: it checks new requests at
// once and the whole queue every sweepInterval. Between these sweeps its cost
// does not grow with the queue while no slot is free.
func (c *Coordinator) serve(p *pool, now time.Time) {
	p.round++
	p.full, p.unreached = p.full[:0], p.unreached[:0]
	c.serveTrials(p, now)
	for len(p.waiting) > 0 && c.anyCanAccept(p, now) {
		i := c.next(p, now)
		if i < 0 {
			break
		}
		w := p.waiting[i]
		r := w.Request
		r.Age = w.age(now)
		u := c.place(p, w, r, now)
		if u == nil {
			w.triedRound = p.round
			c.noteFull(p, w.Version, now)
			c.noteUnreached(p, w.entry, now)
			c.reserve(p, w, now)
			continue
		}
		c.grant(w, u, now)
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	from := len(p.waiting)
	for from > 0 && p.waiting[from-1].lastSweep.IsZero() {
		from--
	}
	if now.Sub(p.lastSweep) >= sweepInterval {
		p.lastSweep, from = now, 0
		c.refreshShares(p, now)
	}
	c.sweep(p, from, now)
}

// next returns the index of the first queued request that was not tried in this
// round, or -1 if there is none.
func (c *Coordinator) next(p *pool, now time.Time) (first int) {
	first = -1
	for i, w := range p.waiting {
		if w.triedRound == p.round || w.Version != "" && slices.Contains(p.full, w.Version) || slices.Contains(p.unreached, w.entry) || p.noRoomFor(w, now) {
			continue
		}
		w.late = now.After(w.sendBy)
		if first < 0 || c.order(w, p.waiting[first]) < 0 {
			first = i
		}
	}
	return first
}

// noteFull records a version for the current round if no upstream of it can accept a
// request. Requests that are bound to it are then not tried one by one.
func (c *Coordinator) noteFull(p *pool, version string, now time.Time) {
	if version == "" || slices.ContainsFunc(p.members, func(u *upstream) bool { return u.Version == version && u.canAccept(now) }) {
		return
	}
	p.full = append(p.full, version)
}

// grant assigns an upstream to a queued request.
func (c *Coordinator) grant(w *waiter, u *upstream, now time.Time) {
	g := c.addGrant(key{w.entry, w.ID}, w.Request, u, now)
	if u.cold != nil && u.isCold(now) {
		u.cold.Spend(1, now)
	}
	if u.limit != nil {
		u.limit.Spend(1, now)
		u.limited++
		u.limitedAt = now
		g.limited = true
	}
	c.charge(w, g, now)
	c.decide(w.entry, Decision{ID: w.ID, Upstream: u.ID})
}

// sweep redirects or refuses the requests that should no longer wait here,
// starting at an index: new requests are at the end of the queue.
func (c *Coordinator) sweep(p *pool, from int, now time.Time) {
	fc := c.forecast(p, from, now)
	var before backlog
	kept := p.waiting[:from]
	for _, w := range p.waiting[from:] {
		w.lastSweep = now
		ahead := &before
		if w.Version != "" {
			if q := fc.queue(w.Version); q != nil {
				ahead = &q.ahead
			}
		}
		if !c.resolve(p, w, &fc, ahead.position(w), now) {
			ahead.add(w)
			kept = append(kept, w)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// forecast predicts the waits of a pool. It makes no forecast if only new
// requests are checked, that is, if from is not 0, nor on a standalone host,
// which sees only its own share of the load.
func (c *Coordinator) forecast(p *pool, from int, now time.Time) (fc forecast) {
	if from > 0 {
		return fc
	}
	c.shareRoom(p, now)
	limitWait := c.timeUntilWithinLimits(p, now)
	defer func() { fc.limitWait = limitWait }()
	if c.fleet.Standalone || !c.rejectEarly {
		return fc
	}
	var b backlog
	for _, w := range p.waiting {
		w.late = now.After(w.sendBy)
		if w.Version != "" {
			fc.addBound(w)
			continue
		}
		b.add(w)
	}
	slots := c.slotsFor(p, func(*upstream) bool { return true }, now)
	versions := fc.versions
	fc = p.forecaster.forecast(b, slots, now)
	fc.versions = versions
	for _, q := range versions {
		n := c.slotsFor(p, func(u *upstream) bool { return u.Version == q.version }, now)
		if slots > 0 {
			q.share = n / slots
		}
	}
	return fc
}

// bySlack orders queued requests by tier and priority, then puts those that are bound
// to a version first, then those that can still meet their objective, then orders by
// the time left to meet it.
//
// A bound request can use only a fraction of the slots, and its caller has part of the
// response already. Ordered like the others, which can use any slot, it would seldom be
// the first when a slot of its version becomes free.
//
// If those that are late did not go last, a burst would make every request late: those
// that waited longest would go first, and each would be served just after its
// objective.
func bySlack(a, b *waiter) int {
	if a.Tier != b.Tier || a.Priority != b.Priority {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Priority, b.Priority))
	}
	if aBound, bBound := a.Version != "", b.Version != ""; aBound != bBound {
		if aBound {
			return -1
		}
		return 1
	}
	return byTimeLeft(a, b)
}

// byTimeLeft orders queued requests of the same rank: first those that can still meet their
// objective, then by the time left to meet it.
func byTimeLeft(a, b *waiter) int {
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	return a.sendBy.Compare(b.sendBy)
}
