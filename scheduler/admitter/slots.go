package admitter

import (
	"time"

	"foxtaillug.org/scheduler"
)

// open reports whether any upstream takes new work.
func (p *Pool) open() bool {
	for _, u := range p.order {
		if !u.closed {
			return true
		}
	}
	return false
}

// SetSlots sets how many requests an upstream may have, and until when that
// is sure. A new upstream joins the pool.
func (p *Pool) SetSlots(id scheduler.UpstreamID, slots int, until, now time.Time) (o Orders) {
	u := p.upstream(id)
	u.slots, u.until = slots, until
	p.fill(now, &o)
	return o
}

// upstream returns an upstream of the pool, adding it at first use.
func (p *Pool) upstream(id scheduler.UpstreamID) *upstream {
	u, ok := p.upstreams[id]
	if !ok {
		u = newUpstream(id)
		p.upstreams[id] = u
		p.order = append(p.order, u)
	}
	return u
}

// SetClosed says whether an upstream takes new work.
func (p *Pool) SetClosed(id scheduler.UpstreamID, closed bool) {
	p.upstream(id).closed = closed
}

// SetForeign sets how many requests of other hosts an upstream has.
func (p *Pool) SetForeign(id scheduler.UpstreamID, n int) {
	p.upstream(id).foreign = n
}

// Foreign returns how many requests of other hosts an upstream has.
func (p *Pool) Foreign(id scheduler.UpstreamID) int {
	return p.upstream(id).foreign
}

// Restarted forgets what an upstream's cache held.
func (p *Pool) Restarted(id scheduler.UpstreamID) {
	p.upstream(id).forgetPrefixes()
}

// Remove takes an upstream out of the pool; what runs there runs on.
func (p *Pool) Remove(id scheduler.UpstreamID) {
	delete(p.upstreams, id)
	for i, u := range p.order {
		if u.id == id {
			p.order = append(p.order[:i:i], p.order[i+1:]...)
			return
		}
	}
}

// Running returns how many granted requests an upstream has, and how many of
// them were granted before a time.
func (p *Pool) Running(id scheduler.UpstreamID, before time.Time) (n, older int) {
	u, ok := p.upstreams[id]
	if !ok {
		return 0, 0
	}
	for _, r := range u.running {
		if r.granted.Before(before) {
			older++
		}
	}
	return len(u.running), older
}

// Granted returns when a running request was granted and to which upstream.
func (p *Pool) Granted(id scheduler.RequestID) (upstream scheduler.UpstreamID, at time.Time, ok bool) {
	r, ok := p.running[id]
	if !ok {
		return "", time.Time{}, false
	}
	return r.upstream.id, r.granted, true
}

// Summary returns the pool's slots, running and waiting requests.
func (p *Pool) Summary() (slots, running, queued int) {
	for _, u := range p.order {
		if !u.closed {
			slots += max(u.slots-u.foreign, 0)
		}
	}
	return slots, len(p.running), len(p.queued)
}

// Queued returns how many asks of a tier wait.
func (p *Pool) Queued(tier scheduler.Tier) int {
	return p.tiers[tier].length()
}
