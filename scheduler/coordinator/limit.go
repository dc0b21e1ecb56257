package coordinator

import (
	"slices"
	"time"

	"foxtaillug.org/scheduler/limiter"
	"foxtaillug.org/scheduler/observer"
)

const (
	// minLimitRate is the lowest rate, in requests per second, at which a limited
	// upstream is used: only its responses show when a lower limit has ended.
	minLimitRate = 0.25
	// limitBurstTime is the time whose requests a limited upstream may get at once, in
	// addition to one: the queues are served at least that often.
	limitBurstTime = 20 * time.Millisecond
	// limitCheckInterval is the time after which a limited upstream that has got no request
	// is preferred to all others: only its responses show when the limit has ended.
	limitCheckInterval = 4 * time.Second
	// fullLimitObjective is the fraction of a request's objective within which a limited
	// upstream whose bucket is full is preferred to faster ones: what it accepts would be
	// lost.
	fullLimitObjective = 0.5
	// maxLimitWait is the longest time that is computed until a limit admits a request;
	// no request waits that long.
	maxLimitWait = time.Hour
	// standaloneRestart is the time without a request after which a standalone host
	// counts as one that has just begun to decide for itself.
	standaloneRestart = 5 * time.Second
)

// Observe records what a host has read in a response of an upstream, and returns what that
// changes.
func (c *Coordinator) Observe(o observer.Observation, now time.Time) observer.Change {
	change := c.observed.Record(o, now)
	if u := c.upstreams[o.Upstream]; u != nil {
		was := u.leaving
		if c.applyObserved(u, now); u.leaving != was {
			c.assignUpstreams(now)
		}
	}
	return change
}

// Observed returns the observations that have changed what is known of an upstream after an
// earlier value of ObservedChanges.
func (c *Coordinator) Observed(changes uint64, now time.Time) []observer.Observation {
	return c.observed.Since(changes, now)
}

// ObservedChanges returns the number of changes of what is known from responses so far.
func (c *Coordinator) ObservedChanges() uint64 { return c.observed.Changes() }

// Standalone reports whether this is a standalone host.
func (c *Coordinator) Standalone() bool { return c.fleet.Standalone }

// applyObserved applies what is known from an upstream's responses. If it has named a limit,
// its rate is the share of it that this coordinator may use. The bucket starts empty, as
// nothing is known of what the upstream has got before.
func (c *Coordinator) applyObserved(u *upstream, now time.Time) {
	u.coldUntil = c.observed.ColdUntil(u.ID, u.Born)
	u.leaving = c.observed.Leaving(u.ID, u.Born)
	c.setBrittle(u, c.observed.Brittle(u.ID, u.Born), now)
	c.paceCold(u, now)
	limit, _, ok := c.observed.Limit(u.ID, u.Born)
	if !ok {
		u.limit = nil
		return
	}
	rate := max(limit, minLimitRate) * c.fleet.QuotaShare
	size := 1 + rate*limitBurstTime.Seconds()
	if u.limit == nil {
		u.limit = limiter.NewBucket(rate, size, 0, now)
		return
	}
	u.limit.SetLimits(rate, size, now)
}

// emptyLimits empties the buckets of the upstreams that this coordinator did not grant
// before a change of the fleet, and has brittle ones start over: their former coordinator may
// just have used the rate and the slots.
func (c *Coordinator) emptyLimits(before Fleet, now time.Time) {
	if before.Standalone != c.fleet.Standalone || !slices.Equal(before.Scope, c.fleet.Scope) {
		c.tookOverAt = now
	}
	for _, u := range c.upstreams {
		if before.Standalone != c.fleet.Standalone || !slices.Contains(before.Scope, u.Domain) {
			u.emptyLimit(now)
			u.resetRoom()
		}
	}
}

// emptyLimit empties the bucket of an upstream that has a limit.
func (u *upstream) emptyLimit(now time.Time) {
	if u.limit != nil {
		u.limit.Empty(now)
	}
}

// noteStandalone does the same at a standalone host that has not decided for itself recently.
func (c *Coordinator) noteStandalone(now time.Time) {
	if c.fleet.Standalone && now.Sub(c.lastAdmit) > standaloneRestart {
		for _, u := range c.upstreams {
			u.emptyLimit(now)
			u.resetRoom()
		}
	}
	c.lastAdmit = now
}

// withinLimit reports whether the upstream's limit admits a request now.
func (u *upstream) withinLimit(now time.Time) bool { return u.limit == nil || u.limit.Has(1, now) }

// preferred reports whether a request goes to the upstream, which may receive it, even if
// others are faster.
func (u *upstream) preferred(r Request, now time.Time) bool {
	if u.limit == nil {
		return false
	}
	success := max(u.speed.SuccessRate(), minSuccessRate)
	inTime := float64(u.firstTokenTime(r)) <= success*success*fullLimitObjective*float64(r.Objective-r.Age)
	return u.limit.Full(now) && inTime || now.Sub(u.limitedAt) > limitCheckInterval
}

// usableSlots returns the number of slots that requests which hold one for a time, in
// seconds, keep busy at the upstream's limit.
func (u *upstream) usableSlots(hold float64) float64 {
	slots := float64(u.slots())
	if u.limit == nil || hold <= 0 {
		return slots
	}
	return min(slots, u.limit.Rate()*hold)
}

// freeSlots returns the number of requests that the upstream may receive now.
func (u *upstream) freeSlots(now time.Time) int {
	free := max(0, u.slots()-len(u.running))
	if u.isClosed(now) {
		free = 0
	}
	if u.limit == nil {
		return free
	}
	return min(free, int(max(0, u.limit.Level(now))))
}

// timeUntilWithinLimit returns the time until the upstream's limit admits a request.
func (u *upstream) timeUntilWithinLimit(now time.Time) time.Duration {
	if u.limit == nil {
		return 0
	}
	return u.limit.TimeUntil(1, maxLimitWait, now)
}

// timeUntilWithinLimits returns the time until the limit of any eligible upstream of a pool
// admits a request, or 0 if there is none.
func (c *Coordinator) timeUntilWithinLimits(p *pool, now time.Time) time.Duration {
	soonest, found := maxLimitWait, false
	for _, u := range p.members {
		if u.eligible(now) {
			soonest, found = min(soonest, u.timeUntilWithinLimit(now)), true
		}
	}
	if !found {
		return 0
	}
	return soonest
}
