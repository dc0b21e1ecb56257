package arbiter

import (
	"time"

	"github.com/samber/lo"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/quarantiner"
)

// meetOwners tells each pool's ladder who the other owners are.
func (a *Arbiter) meetOwners(now time.Time) {
	owners := a.owners()
	for id, p := range a.pools {
		p.ladder.SetPeers(lo.Without(owners[id], a.self.ID()), now)
	}
}

// owners returns the owners of each pool over all regions.
func (a *Arbiter) owners() map[scheduler.PoolID][]scheduler.HostID {
	byRegion := lo.GroupBy(a.upstreams, func(u Upstream) scheduler.RegionID { return u.region })
	owners := make(map[scheduler.PoolID][]scheduler.HostID)
	for region, upstreams := range byRegion {
		t := a.territory(region, len(upstreams))
		for _, u := range upstreams {
			if g := t.Replicas(u.id); len(g) > 0 {
				owners[u.pool] = append(owners[u.pool], g[0])
			}
		}
	}
	return lo.MapValues(owners, func(ids []scheduler.HostID, _ scheduler.PoolID) []scheduler.HostID { return lo.Uniq(ids) })
}

// Shed carries out another owner's request to refuse tiers.
func (a *Arbiter) Shed(pool scheduler.PoolID, from scheduler.Tier, hold time.Duration, now time.Time) (o Actions) {
	a.wake(now, &o)
	if p, ok := a.pools[pool]; ok {
		p.ladder.Asked(from, hold, now)
		a.take(p.pool.Tick(now), &o)
	}
	return o
}

// RecordShed takes another owner's promise to refuse tiers, asked for at asked.
func (a *Arbiter) RecordShed(pool scheduler.PoolID, by scheduler.HostID, from scheduler.Tier, hold time.Duration, asked, now time.Time) (o Actions) {
	a.wake(now, &o)
	p, ok := a.pools[pool]
	if !ok {
		return o
	}
	p.ladder.Promised(by, from, hold, asked, now)
	a.take(p.pool.Tick(now), &o)
	a.requestShut(p, now, &o)
	return o
}

// requestShut asks the other owners to refuse tiers, if that is due.
func (a *Arbiter) requestShut(p *poolState, now time.Time, o *Actions) {
	from, hold, ok := p.ladder.Request(now)
	if !ok || (from == p.from && now.Sub(p.asked) < shutEvery) {
		return
	}
	p.from, p.asked = from, now
	for _, id := range p.ladder.Peers() {
		o.shuts = append(o.shuts, ShedRequest{to: id, pool: p.pool.ID(), from: from, hold: hold})
	}
}

// RecordSuspect takes what a peer knows of a digest.
func (a *Arbiter) RecordSuspect(d quarantiner.Digest, crashes int, last time.Time) {
	a.suspects.Merge(d, crashes, last)
}

// SuspectsSince returns what was learnt of digests since a time.
func (a *Arbiter) SuspectsSince(t time.Time, n int) []quarantiner.Entry {
	return a.suspects.Since(t, n)
}
