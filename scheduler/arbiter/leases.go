package arbiter

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/leaser"
)

// Lease handles a replica's request to lease this host's share of an upstream.
// A share of an upstream without load reports is not leased while requests that
// this host granted run there, since the lessee could not see them.
func (a *Arbiter) Lease(id scheduler.UpstreamID, lessee scheduler.HostID, now time.Time) (shares []leaser.Share, leased bool, out Actions) {
	rep, ok := a.replicas[id]
	if !ok {
		return nil, false, out
	}
	p := a.pool(rep.spec.pool).pool
	running, _ := p.Running(id, now)
	if !rep.spec.loadReports && running > 0 {
		return nil, false, out
	}
	shares, leased = a.leases.Lease(id, lessee, now)
	if leased {
		// What remains may have become usable: another held share had expired.
		a.resizeUpstream(id, now, &out)
	}
	return shares, leased, out
}

// ReturnLease ends a lease early because the lessee returned it.
func (a *Arbiter) ReturnLease(id scheduler.UpstreamID, lessee scheduler.HostID, now time.Time) {
	a.leases.Return(id, lessee, now)
}

// RecordLease records a lessor's reply to a lease request that was sent at
// sent.
func (a *Arbiter) RecordLease(id scheduler.UpstreamID, lessor scheduler.HostID, shares []leaser.Share, sent, now time.Time) (out Actions) {
	a.detectSuspension(now, &out)
	a.leases.RecordLease(id, lessor, shares, sent, now)
	a.resizeUpstream(id, now, &out)
	return out
}

// leaseRequests returns the lease requests to send, one for each lessor.
func (a *Arbiter) leaseRequests(now time.Time) []LeaseRequest {
	byLessor := make(map[scheduler.HostID][]scheduler.UpstreamID)
	for _, id := range a.replicaIDs {
		for _, lessor := range a.leases.Lessors(id, now) {
			byLessor[lessor] = append(byLessor[lessor], id)
		}
	}
	return newLeaseRequests(byLessor, false)
}

// newLeaseRequests returns one request for each lessor, sorted by lessor.
func newLeaseRequests(byLessor map[scheduler.HostID][]scheduler.UpstreamID, release bool) []LeaseRequest {
	lessors := lo.Keys(byLessor)
	slices.Sort(lessors)
	return lo.Map(lessors, func(id scheduler.HostID, _ int) LeaseRequest {
		ids := byLessor[id]
		slices.Sort(ids)
		return LeaseRequest{to: id, upstreams: ids, release: release}
	})
}
