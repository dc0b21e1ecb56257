package admitter

import (
	"time"

	"foxtaillug.org/scheduler"
)

// open reports whether any upstream accepts new requests.
func (p *Pool) open() bool {
	for _, u := range p.order {
		if !u.closed {
			return true
		}
	}
	return false
}

// SetSlots sets how many requests an upstream may run, and until when this is
// guaranteed. It adds an unknown upstream to the pool.
func (p *Pool) SetSlots(id scheduler.UpstreamID, slots int, until, now time.Time) (out Actions) {
	u := p.upstream(id)
	u.slots, u.slotsUntil = slots, until
	p.fill(now, &out)
	return out
}

// upstream returns an upstream of the pool, adding it on first use.
func (p *Pool) upstream(id scheduler.UpstreamID) *upstream {
	u, ok := p.upstreams[id]
	if !ok {
		u = newUpstream(id)
		p.upstreams[id] = u
		p.order = append(p.order, u)
	}
	return u
}

// SetClosed sets whether an upstream is closed to new requests.
func (p *Pool) SetClosed(id scheduler.UpstreamID, closed bool) {
	p.upstream(id).closed = closed
}

// SetForeign sets how many foreign requests, those granted by other hosts, an
// upstream runs.
func (p *Pool) SetForeign(id scheduler.UpstreamID, n int) {
	p.upstream(id).foreign = n
}

// Foreign returns how many requests granted by other hosts an upstream runs.
func (p *Pool) Foreign(id scheduler.UpstreamID) int {
	return p.upstream(id).foreign
}

// ForgetPrefixes clears the prompt prefixes assumed to be in an upstream's
// cache, for example after it restarted.
func (p *Pool) ForgetPrefixes(id scheduler.UpstreamID) {
	p.upstream(id).forgetPrefixes()
}

// Remove removes an upstream from the pool. Requests on it keep running.
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
// them were granted before the given time.
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

// Granted returns the upstream of a running request and when it was granted.
func (p *Pool) Granted(id scheduler.RequestID) (upstream scheduler.UpstreamID, at time.Time, ok bool) {
	r, ok := p.running[id]
	if !ok {
		return "", time.Time{}, false
	}
	return r.upstream.id, r.granted, true
}

// Summary returns the numbers of slots, running requests and waiting requests of
// the pool. Slots of closed upstreams and those that foreign requests use do not
// count.
func (p *Pool) Summary() (slots, running, queued int) {
	for _, u := range p.order {
		if !u.closed {
			slots += max(u.slots-u.foreign, 0)
		}
	}
	return slots, len(p.running), len(p.queued)
}

// Queued returns the number of waiting requests of a tier.
func (p *Pool) Queued(tier scheduler.Tier) int {
	return p.tiers[tier].length()
}
