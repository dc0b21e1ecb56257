package admitter

import (
	"time"

	"foxtaillug.org/scheduler"
)

// infeasible reports whether no open upstream could finish the request, with its
// likely output length, in time even if it started now.
func (p *Pool) infeasible(r Request, now time.Time) bool {
	left := r.deadline.Sub(now)
	for _, u := range p.order {
		if !u.closed && u.estimate(r.likely) <= left {
			return false
		}
	}
	return true
}

// late reports whether a queued request is not expected to get a slot in time, or
// the queue is over its limit.
func (p *Pool) late(r Request, now time.Time) bool {
	if len(p.queued) > p.queueLimit {
		return true
	}
	return now.Add(p.wait(r.tier) + p.serviceTime).After(r.deadline)
}

// wait estimates how long a request that arrives in a tier now has to wait.
func (p *Pool) wait(tier scheduler.Tier) time.Duration {
	ahead := 0
	for t := scheduler.Tier(0); t <= tier; t++ {
		ahead += p.tiers[t].length()
	}
	slots := 0
	for _, u := range p.order {
		if !u.closed {
			slots += u.slots
		}
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(ahead) * p.serviceTime / time.Duration(slots)
}

// displace makes room in a full queue by refusing the newest request of the
// lowest tier below that of r.
func (p *Pool) displace(r Request, now time.Time, out *Actions) {
	if len(p.queued) <= p.queueLimit {
		return
	}
	for t := scheduler.Tier(len(p.tiers) - 1); t > r.tier; t-- {
		if w := p.tiers[t].newest(); w != nil {
			p.shedder.ReportOverload(t, now)
			p.refuse(w, Shed, now, out)
			return
		}
	}
}

// reportOverload reports the tier of a waiting request as overloaded. It
// refuses the request if it is late and all lower tiers are known to be shed.
func (p *Pool) reportOverload(w *waiting, now time.Time, out *Actions) {
	p.shedder.ReportOverload(w.req.tier, now)
	if !w.late || p.lowerTierWaits(w.req.tier) || !p.shedder.MayShed(w.req.tier, now) {
		return
	}
	p.refuse(w, Shed, now, out)
}

// lowerTierWaits reports whether a request of a lower tier is queued.
func (p *Pool) lowerTierWaits(tier scheduler.Tier) bool {
	for t := int(tier) + 1; t < len(p.tiers); t++ {
		if p.tiers[t].length() > 0 {
			return true
		}
	}
	return false
}

// retryAfter returns after how long a caller of a tier should retry.
func (p *Pool) retryAfter(tier scheduler.Tier, now time.Time) time.Duration {
	left, _ := p.shedder.Shedding(tier, now)
	return max(minRetryAfter, left, p.wait(tier))
}

// abandon releases a granted request whose entry host is unreachable. It may
// still be running: on an upstream with load reports it counts as foreign until
// the reports show that it ended.
func (p *Pool) abandon(r *running) {
	p.release(r)
	if p.publishesReports(r.upstream.id) {
		r.upstream.foreign++
	}
}

// sweep abandons requests that must have ended: unless it is suspended, an
// entry host ends every request at its deadline.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for _, r := range p.running {
		if now.Sub(r.req.deadline) > finishGrace {
			p.abandon(r)
		}
	}
}

// expire refuses requests that can no longer finish before their deadline.
func (p *Pool) expire(now time.Time, out *Actions) {
	for {
		w, ok := p.expiries.Peek()
		if !ok || (now.Before(w.req.deadline) && !p.infeasible(w.req, now)) {
			return
		}
		p.shedder.ReportOverload(w.req.tier, now)
		p.refuse(w, Late, now, out)
	}
}

// refuseShedTiers refuses the waiting requests of tiers that are now shed.
func (p *Pool) refuseShedTiers(now time.Time, out *Actions) {
	for t, q := range p.tiers {
		if _, shedding := p.shedder.Shedding(scheduler.Tier(t), now); !shedding {
			continue
		}
		for w := q.newest(); w != nil; w = q.newest() {
			p.refuse(w, Shed, now, out)
		}
	}
}

// checkTier reports the tier as overloaded, so that lower tiers are shed,
// shortly before its oldest request has to be refused. It then refuses, newest
// first, the requests that will not get a slot in time.
func (p *Pool) checkTier(tier scheduler.Tier, now time.Time, out *Actions) {
	q := p.tiers[tier]
	if w := q.oldest(); w != nil && p.infeasible(w.req, now.Add(shedLeadTime)) {
		p.shedder.ReportOverload(tier, now)
	}
	for w := q.newest(); w != nil && w.late; w = q.newest() {
		w.late = p.late(w.req, now)
		before := q.length()
		p.reportOverload(w, now, out)
		if q.length() == before {
			return
		}
	}
}
