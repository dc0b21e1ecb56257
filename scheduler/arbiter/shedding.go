package arbiter

import (
	"time"

	"github.com/samber/lo"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/quarantiner"
)

// updatePeers sets the other owners of each pool as peers of its shedder.
func (a *Arbiter) updatePeers(now time.Time) {
	owners := a.owners()
	for id, p := range a.pools {
		p.shedder.SetPeers(lo.Without(owners[id], a.self.ID()), now)
	}
}

// owners returns the owners of each pool across all regions.
func (a *Arbiter) owners() map[scheduler.PoolID][]scheduler.HostID {
	byRegion := lo.GroupBy(a.upstreams, func(u Upstream) scheduler.RegionID { return u.region })
	owners := make(map[scheduler.PoolID][]scheduler.HostID)
	for region, upstreams := range byRegion {
		m := a.shardMap(region, len(upstreams))
		for _, u := range upstreams {
			if hosts := m.Replicas(u.id); len(hosts) > 0 {
				owners[u.pool] = append(owners[u.pool], hosts[0])
			}
		}
	}
	return lo.MapValues(owners, func(ids []scheduler.HostID, _ scheduler.PoolID) []scheduler.HostID { return lo.Uniq(ids) })
}

// Shed sheds tier from and all lower tiers of a pool at the request of another
// owner.
func (a *Arbiter) Shed(pool scheduler.PoolID, from scheduler.Tier, hold time.Duration, now time.Time) (out Actions) {
	a.detectSuspension(now, &out)
	if p, ok := a.pools[pool]; ok {
		p.shedder.Shed(from, hold, now)
		a.collect(p.pool.Tick(now), &out)
	}
	return out
}

// RecordShed records another owner's confirmation of a shed request that was
// sent at sent.
func (a *Arbiter) RecordShed(pool scheduler.PoolID, owner scheduler.HostID, from scheduler.Tier, hold time.Duration, sent, now time.Time) (out Actions) {
	a.detectSuspension(now, &out)
	p, ok := a.pools[pool]
	if !ok {
		return out
	}
	p.shedder.RecordShed(owner, from, hold, sent, now)
	a.collect(p.pool.Tick(now), &out)
	a.requestShedding(p, now, &out)
	return out
}

// requestShedding adds shed requests to the other owners, if they are due.
func (a *Arbiter) requestShedding(p *poolState, now time.Time, out *Actions) {
	from, hold, ok := p.shedder.NextRequest(now)
	if !ok || (from == p.requestedTier && now.Sub(p.requestedAt) < shedResendInterval) {
		return
	}
	p.requestedTier, p.requestedAt = from, now
	for _, id := range p.shedder.Peers() {
		out.shedRequests = append(out.shedRequests, ShedRequest{to: id, pool: p.pool.ID(), from: from, hold: hold})
	}
}

// RecordSuspects records the crash reports of a peer.
func (a *Arbiter) RecordSuspects(m quarantiner.Message, now time.Time) {
	a.suspects.Receive(m, now)
}

// Suspects returns at most n crash reports for any peer.
func (a *Arbiter) Suspects(n int, now time.Time) quarantiner.Message {
	return a.suspects.Message(n, now)
}

// SuspectsFor returns at most n crash reports in response to those of a peer.
func (a *Arbiter) SuspectsFor(m quarantiner.Message, n int, now time.Time) quarantiner.Message {
	return a.suspects.Response(m, n, now)
}
