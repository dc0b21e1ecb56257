package coordinator

import (
	"math"
	"time"
)

// peer is the last summary of another coordinator.
type peer struct {
	summary Summary
	at      time.Time
	// redirected counts the requests redirected to the peer since its summary
	// arrived, in total for each pool and by version.
	redirected map[target]int
}

// target is what requests are redirected for: a pool and the version that they are bound
// to, if any.
type target struct{ pool, version string }

// room returns the number of free slots that another coordinator has for a target, less
// the requests that it will have queued, and whether it has upstreams for it.
func (o *peer) room(t target) (n int, serves bool) {
	free, serves := o.summary.Free[t.pool]
	if versions, known := o.summary.FreeByVersion[t.pool]; known && t.version != "" {
		free, serves = versions[t.version]
	}
	return free - o.redirected[t], serves
}

// countRedirect counts a request that is redirected to the peer.
func (o *peer) countRedirect(t target) {
	o.redirected[t]++
	if t.version != "" {
		o.redirected[target{pool: t.pool}]++
	}
}

// RecordSummary processes the summary of another coordinator.
func (c *Coordinator) RecordSummary(s Summary, now time.Time) {
	c.peers[s.Domain] = peer{summary: s, at: now, redirected: make(map[target]int)}
	c.recordShares(s, now)
	c.forgetSent(s.Domain, now)
	c.RecordEjected(s.Ejected, now)
	for name, used := range s.Used {
		if q := c.quotas[name]; q != nil {
			q.RecordUsage(s.Domain, s.Process, used, now)
		}
	}
}

// Summary returns the summary to be sent to other coordinators.
func (c *Coordinator) Summary(now time.Time) Summary {
	s := Summary{
		Process: c.process, Domain: c.fleet.Domain,
		Free: make(map[string]int), FreeByVersion: make(map[string]map[string]int), Used: make(map[string]float64),
		Rooms: c.rooms(now), Ejected: c.Ejected(),
	}
	for name, p := range c.pools {
		free, byVersion, serves := c.free(p, now)
		if serves {
			s.Free[name] = free
		}
		if len(byVersion) > 0 {
			s.FreeByVersion[name] = byVersion
		}
	}
	for name, q := range c.quotas {
		if used := q.Used(); used > 0 {
			s.Used[name] = used
		}
	}
	s.Shares = c.reportShares(now)
	return s
}

// versionLoad is the load of a pool's upstreams of one version.
type versionLoad struct {
	// slots and free count the slots of eligible upstreams, bound the queued requests
	// that are bound to the version.
	slots, free, bound int
}

// summarizeVersions returns the load of each version that members of a pool have and the
// number of queued requests that are not bound to a version.
func (c *Coordinator) summarizeVersions(p *pool, now time.Time) (loads map[string]*versionLoad, unbound int) {
	loads = make(map[string]*versionLoad)
	for _, u := range p.members {
		l := loads[u.Version]
		if l == nil {
			l = &versionLoad{}
			loads[u.Version] = l
		}
		if u.eligible(now) {
			l.slots += u.slots()
			l.free += u.freeSlots(now)
		}
	}
	for _, w := range p.waiting {
		if w.Version == "" {
			unbound++
		} else if l := loads[w.Version]; l != nil {
			l.bound++
		}
	}
	return loads, unbound
}

// free returns the number of a pool's free slots less its queued requests, in total and by
// version, and whether any upstream may receive requests.
func (c *Coordinator) free(p *pool, now time.Time) (total int, byVersion map[string]int, serves bool) {
	loads, unbound := c.summarizeVersions(p, now)
	slots, excess := 0, 0.0
	for _, l := range loads {
		slots += l.slots
		total += l.free - min(l.free, l.bound)
	}
	total -= unbound
	for _, l := range loads {
		excess += float64(max(0, l.bound-l.free)) * float64(l.slots) / float64(max(slots, 1))
	}
	if total <= 0 {
		// Bound requests that wait take their share of the slots. Where slots are free
		// now, those are of other versions.
		total -= int(math.Round(excess))
	}
	byVersion = make(map[string]int)
	for version, l := range loads {
		if l.slots > 0 && version != "" {
			byVersion[version] = l.free - l.bound - unbound*l.slots/slots
		}
	}
	return total, byVersion, slots > 0
}
