package arbiter

import (
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/drainer"
	"foxtaillug.org/scheduler/quarantiner"
	"foxtaillug.org/scheduler/ramper"
)

// closePools closes the upstreams that get nothing new, and opens the others.
func (a *Arbiter) closePools() {
	for id, c := range a.charges {
		a.pool(c.spec.pool).pool.SetClosed(id, a.drains.UpstreamReason(id, c.spec.domain) != drainer.InService)
	}
}

// SetLeaving takes what a source says of an upstream on its way out.
func (a *Arbiter) SetLeaving(id scheduler.UpstreamID, source string, leaving bool) {
	a.drains.SetLeaving(id, source, leaving)
	if c, ok := a.charges[id]; ok {
		a.pool(c.spec.pool).pool.SetClosed(id, a.drains.UpstreamReason(id, c.spec.domain) != drainer.InService)
	}
}

// learn draws conclusions on an upstream from how a request ended.
func (a *Arbiter) learn(upstream scheduler.UpstreamID, id scheduler.RequestID, digest quarantiner.Digest, ending admitter.Ending, granted time.Time, g admitter.Usage, now time.Time, o *Actions) {
	c, ok := a.charges[upstream]
	if !ok {
		return
	}
	switch ending {
	case admitter.Complete:
		c.ramp.RecordSuccess(granted, g.FirstToken(), g.PerToken(), now)
	case admitter.ConnectFailed:
		c.ramp.RecordCrash(now)
		c.unreached = now
		a.SetLeaving(upstream, sourceUnreached, true)
	case admitter.Crashed:
		c.ramp.RecordCrash(now)
		a.pool(c.spec.pool).pool.Restarted(upstream)
		a.suspects.RecordCrash([]quarantiner.Digest{digest}, now)
		o.suspects = true
	}
}

// RecordReport takes an upstream's load report.
func (a *Arbiter) RecordReport(id scheduler.UpstreamID, r ramper.Report, leaving bool, now time.Time) (o Actions) {
	a.wake(now, &o)
	c, ok := a.charges[id]
	if !ok || r.TakenAt().Before(c.reported) {
		return o
	}
	c.reported = r.TakenAt()
	c.ramp.RecordReport(r, now)
	a.SetLeaving(id, sourceReport, leaving)
	a.boundForeign(c, r, now)
	a.resizeOne(id, now, &o)
	return o
}

// boundForeign bounds what others have on an upstream. Of the reported
// requests, those this host granted long enough before the report, and which
// still run, are its own for certain; the rest may be others'. The bound
// falls with each report and is made anew only when a share was added.
func (a *Arbiter) boundForeign(c *charge, r ramper.Report, now time.Time) {
	p := a.pool(c.spec.pool).pool
	settled := r.TakenAt().Add(-unseen)
	_, own := p.Running(c.spec.id, settled)
	bound := max(r.Running()-own, 0)
	grown := a.leases.GrownSince(c.spec.id, now)
	if grown.After(c.bounded) && grown.Before(settled) {
		c.bounded = settled
		p.SetForeign(c.spec.id, bound)
		return
	}
	p.SetForeign(c.spec.id, min(p.Foreign(c.spec.id), bound))
}

// resize works out the slots of every upstream anew.
func (a *Arbiter) resize(now time.Time, o *Actions) {
	for _, id := range a.order {
		a.resizeOne(id, now, o)
	}
}

// resizeOne works out the slots of one upstream anew.
func (a *Arbiter) resizeOne(id scheduler.UpstreamID, now time.Time, o *Actions) {
	c, ok := a.charges[id]
	if !ok {
		return
	}
	slots, until := a.leases.Slots(id, c.ramp.Limit(), a.verified(c, now), now)
	if a.doubting || (c.spec.reports && c.reported.Before(a.woke)) {
		slots, until = 0, now
	}
	a.take(a.pool(c.spec.pool).pool.SetSlots(id, slots, until, now), o)
}

// verified returns the time before which a share must have come to count.
func (a *Arbiter) verified(c *charge, now time.Time) time.Time {
	if c.spec.reports {
		return c.reported.Add(-unseen)
	}
	return now.Add(-unseen)
}

// PollRate returns how closely an upstream's load reports should be followed.
func (a *Arbiter) PollRate(id scheduler.UpstreamID, now time.Time) PollRate {
	c, ok := a.charges[id]
	if !ok || a.leases.Lent(id, now) {
		return PollNever
	}
	verified := a.leases.GrownSince(id, now).Before(a.verified(c, now)) && !c.reported.Before(a.woke)
	if verified && !c.ramp.Cold() && a.pool(c.spec.pool).pool.Foreign(id) == 0 {
		return PollSlowly
	}
	return PollFast
}

// reports says whether an upstream publishes load reports.
func (a *Arbiter) reports(id scheduler.UpstreamID) bool {
	c, ok := a.charges[id]
	return ok && c.spec.reports
}

// reach lets upstreams be tried again that took no connection a while ago, and
// takes those for cold that have been silent for too long.
func (a *Arbiter) reach(now time.Time) {
	for id, c := range a.charges {
		if !c.unreached.IsZero() && now.Sub(c.unreached) >= unreachedFor {
			c.unreached = time.Time{}
			a.SetLeaving(id, sourceUnreached, false)
		}
		if c.spec.reports && !c.ramp.Cold() && now.Sub(c.reported) >= silenceFor {
			c.ramp.RecordCrash(now)
		}
	}
}
