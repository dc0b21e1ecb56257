package arbiter

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/leaser"
)

// Lease answers a guardian that wants this host's share of an upstream.
func (a *Arbiter) Lease(id scheduler.UpstreamID, borrower scheduler.HostID, now time.Time) (shares []leaser.Share, lent bool) {
	c, ok := a.charges[id]
	if !ok {
		return nil, false
	}
	p := a.pool(c.spec.pool).pool
	running, _ := p.Running(id, now)
	if !c.spec.reports && running > 0 {
		return nil, false
	}
	shares, lent = a.leases.Lend(id, borrower, now)
	if lent {
		var o Actions
		a.resizeOne(id, now, &o)
	}
	return shares, lent
}

// ReturnLease ends a loan that a borrower gave back.
func (a *Arbiter) ReturnLease(id scheduler.UpstreamID, borrower scheduler.HostID, now time.Time) {
	a.leases.Return(id, borrower, now)
}

// RecordLease takes a lender's answer to a request sent at asked.
func (a *Arbiter) RecordLease(id scheduler.UpstreamID, lender scheduler.HostID, shares []leaser.Share, asked, now time.Time) (o Actions) {
	a.wake(now, &o)
	a.leases.Borrowed(id, lender, shares, asked, now)
	a.resizeOne(id, now, &o)
	return o
}

// borrow returns the requests for shares, one for each lender.
func (a *Arbiter) borrow(now time.Time) []LeaseRequest {
	byLender := make(map[scheduler.HostID][]scheduler.UpstreamID)
	for _, id := range a.order {
		for _, lender := range a.leases.Lenders(id, now) {
			byLender[lender] = append(byLender[lender], id)
		}
	}
	return loanRequests(byLender, false)
}

// loanRequests returns one request for each lender, in order.
func loanRequests(byLender map[scheduler.HostID][]scheduler.UpstreamID, release bool) []LeaseRequest {
	lenders := lo.Keys(byLender)
	slices.Sort(lenders)
	return lo.Map(lenders, func(id scheduler.HostID, _ int) LeaseRequest {
		ids := byLender[id]
		slices.Sort(ids)
		return LeaseRequest{to: id, upstreams: ids, release: release}
	})
}
