package admitter

import (
	"time"

	"foxtaillug.org/scheduler"
)

// tooSlow reports whether no upstream can finish the ask in time even if it
// started now.
func (p *Pool) tooSlow(a Request, now time.Time) bool {
	left := a.deadline.Sub(now)
	for _, u := range p.order {
		if !u.closed && u.estimate(a.likely) <= left {
			return false
		}
	}
	return true
}

// late reports whether an ask in the queue will not get its turn in time.
func (p *Pool) late(a Request, now time.Time) bool {
	if len(p.queued) > p.capacity {
		return true
	}
	return now.Add(p.wait(a.tier) + p.service).After(a.deadline)
}

// wait returns how long an ask that arrives now in a tier has to wait.
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
	return time.Duration(ahead) * p.service / time.Duration(slots)
}

// displace makes room in a full queue by refusing the newest ask of the
// lowest tier below the new one.
func (p *Pool) displace(a Request, now time.Time, o *Orders) {
	if len(p.queued) <= p.capacity {
		return
	}
	for t := scheduler.Tier(len(p.tiers) - 1); t > a.tier; t-- {
		if w := p.tiers[t].newest(); w != nil {
			p.gate.Press(t, now)
			p.refuse(w, Shed, now, o)
			return
		}
	}
}

// press notes pressure at a waiting ask's tier, and refuses the ask if it is
// infeasible and the lower tiers are known to be shut.
func (p *Pool) press(w *waiting, now time.Time, o *Orders) {
	p.gate.Press(w.ask.tier, now)
	if !w.infeasible || p.lowerWaits(w.ask.tier) || !p.gate.Permits(w.ask.tier, now) {
		return
	}
	p.refuse(w, Shed, now, o)
}

// lowerWaits reports whether an ask of a lower tier is in the queue.
func (p *Pool) lowerWaits(tier scheduler.Tier) bool {
	for t := int(tier) + 1; t < len(p.tiers); t++ {
		if p.tiers[t].length() > 0 {
			return true
		}
	}
	return false
}

// retryAfter returns when a caller of a tier should come back.
func (p *Pool) retryAfter(tier scheduler.Tier, now time.Time) time.Duration {
	left, _ := p.gate.Shut(tier, now)
	return max(shedRetry, left, p.wait(tier))
}

// disown gives up a granted request whose entry can't be heard. It may still
// run: where load reports tell, it counts as foreign work until they clear it.
func (p *Pool) disown(r *running) {
	p.release(r)
	if p.reports(r.upstream.id) {
		r.upstream.foreign++
	}
}

// sweep gives up requests that must have ended: their entry, unless it is
// paused, ends every request at its deadline.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for _, r := range p.running {
		if now.Sub(r.ask.deadline) > finishGrace {
			p.disown(r)
		}
	}
}

// expire refuses asks that can't be finished before their deadline any more.
func (p *Pool) expire(now time.Time, o *Orders) {
	for {
		w, ok := p.expiries.Peek()
		if !ok || (now.Before(w.ask.deadline) && !p.tooSlow(w.ask, now)) {
			return
		}
		p.gate.Press(w.ask.tier, now)
		p.refuse(w, Late, now, o)
	}
}

// shutTiers refuses what waits in tiers that were shut meanwhile.
func (p *Pool) shutTiers(now time.Time, o *Orders) {
	for t, q := range p.tiers {
		if _, shut := p.gate.Shut(scheduler.Tier(t), now); !shut {
			continue
		}
		for w := q.newest(); w != nil; w = q.newest() {
			p.refuse(w, Shed, now, o)
		}
	}
}

// pressTier looks at the oldest ask of a tier: shortly before it must be given
// up, the lower tiers are shut. It refuses from the newest end what will not
// get its turn.
func (p *Pool) pressTier(tier scheduler.Tier, now time.Time, o *Orders) {
	q := p.tiers[tier]
	if w := q.oldest(); w != nil && p.tooSlow(w.ask, now.Add(pressLead)) {
		p.gate.Press(tier, now)
	}
	for w := q.newest(); w != nil && w.infeasible; w = q.newest() {
		w.infeasible = p.late(w.ask, now)
		before := q.length()
		p.press(w, now, o)
		if q.length() == before {
			return
		}
	}
}
