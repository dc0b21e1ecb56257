package arbiter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/drainer"
	"foxtaillug.org/scheduler/quarantiner"
	"foxtaillug.org/scheduler/ramper"
)

// applyDrains closes the upstreams that receive no new requests, and opens the
// others.
func (a *Arbiter) applyDrains() {
	for id, rep := range a.replicas {
		a.pool(rep.spec.pool).pool.SetClosed(id, a.drains.UpstreamReason(id, rep.spec.domain) != drainer.InService)
	}
}

// SetLeaving records whether an upstream is leaving according to a source.
func (a *Arbiter) SetLeaving(id scheduler.UpstreamID, source string, leaving bool) {
	a.drains.SetLeaving(id, source, leaving)
	if rep, ok := a.replicas[id]; ok {
		a.pool(rep.spec.pool).pool.SetClosed(id, a.drains.UpstreamReason(id, rep.spec.domain) != drainer.InService)
	}
}

// recordEnding updates the state of an upstream from how a request ended.
func (a *Arbiter) recordEnding(upstream scheduler.UpstreamID, id scheduler.RequestID, digest quarantiner.Digest, ending admitter.Ending, granted time.Time, usage admitter.Usage, now time.Time, out *Actions) {
	rep, ok := a.replicas[upstream]
	if !ok {
		return
	}
	switch ending {
	case admitter.Complete:
		rep.ramp.RecordSuccess(granted, usage.FirstToken(), usage.PerToken(), now)
		if a.suspects.RecordComplete(digest) {
			out.suspectsChanged = true
		}
	case admitter.ConnectFailed:
		rep.ramp.RecordCrash(now)
		rep.connectFailedAt = now
		a.SetLeaving(upstream, sourceConnect, true)
	case admitter.Crashed:
		rep.ramp.RecordCrash(now)
		a.pool(rep.spec.pool).pool.ForgetPrefixes(upstream)
		if digest != 0 && a.suspects.RecordCrash(digest, crashID(upstream, now), granted, now) {
			out.suspectsChanged = true
		}
	}
}

// crashID identifies a crash: only the owner of an upstream reports its crashes,
// and each of them once.
func crashID(upstream scheduler.UpstreamID, now time.Time) uint64 {
	return xxhash.Sum64String(string(upstream)) ^ uint64(now.UnixNano())
}

// RecordReport records a load report of an upstream.
func (a *Arbiter) RecordReport(id scheduler.UpstreamID, r ramper.Report, leaving bool, now time.Time) (out Actions) {
	a.detectSuspension(now, &out)
	rep, ok := a.replicas[id]
	if !ok || r.TakenAt().Before(rep.reportedAt) {
		return out
	}
	rep.reportedAt = r.TakenAt()
	rep.ramp.RecordReport(r, now)
	a.SetLeaving(id, sourceReport, leaving)
	a.boundForeign(rep, r, now)
	a.resizeUpstream(id, now, &out)
	return out
}

// boundForeign updates the upper bound of the foreign requests on an upstream,
// those granted by other hosts. Of the reported requests, those that this host
// granted long enough before the report, and that still run, are certainly its
// own; the rest may be foreign. A report can only lower the bound, except that
// the first report that includes all grants made before this host last gained a
// share resets it.
func (a *Arbiter) boundForeign(rep *replica, r ramper.Report, now time.Time) {
	p := a.pool(rep.spec.pool).pool
	settled := r.TakenAt().Add(-grantReportDelay)
	_, own := p.Running(rep.spec.id, settled)
	bound := max(r.Running()-own, 0)
	grownAt := a.leases.LastGrowth(rep.spec.id, now)
	if grownAt.After(rep.boundedAt) && grownAt.Before(settled) {
		rep.boundedAt = settled
		p.SetForeign(rep.spec.id, bound)
		return
	}
	p.SetForeign(rep.spec.id, min(p.Foreign(rep.spec.id), bound))
}

// resize updates the slots of every upstream.
func (a *Arbiter) resize(now time.Time, out *Actions) {
	for _, id := range a.replicaIDs {
		a.resizeUpstream(id, now, out)
	}
}

// resizeUpstream updates the slots of one upstream.
func (a *Arbiter) resizeUpstream(id scheduler.UpstreamID, now time.Time, out *Actions) {
	rep, ok := a.replicas[id]
	if !ok {
		return
	}
	slots, until := a.leases.Slots(id, rep.ramp.Limit(), a.verifiedUntil(rep, now), now)
	if a.unconfirmed || (rep.spec.loadReports && rep.reportedAt.Before(a.resumedAt)) {
		slots, until = 0, now
	}
	a.collect(a.pool(rep.spec.pool).pool.SetSlots(id, slots, until, now), out)
}

// verifiedUntil returns the time before which a share must have been gained to
// count: all grants that an earlier holder made with it are then included in the
// newest load report or, without load reports, have been used or have expired.
func (a *Arbiter) verifiedUntil(rep *replica, now time.Time) time.Time {
	if rep.spec.loadReports {
		return rep.reportedAt.Add(-grantReportDelay)
	}
	return now.Add(-grantReportDelay)
}

// PollRate returns how often the load reports of an upstream should be polled.
func (a *Arbiter) PollRate(id scheduler.UpstreamID, now time.Time) PollRate {
	rep, ok := a.replicas[id]
	if !ok || a.leases.Leased(id, now) {
		return PollNever
	}
	verified := a.leases.LastGrowth(id, now).Before(a.verifiedUntil(rep, now)) && !rep.reportedAt.Before(a.resumedAt)
	if verified && !rep.ramp.Cold() && a.pool(rep.spec.pool).pool.Foreign(id) == 0 {
		return PollSlowly
	}
	return PollFast
}

// publishesReports reports whether an upstream publishes load reports.
func (a *Arbiter) publishesReports(id scheduler.UpstreamID) bool {
	rep, ok := a.replicas[id]
	return ok && rep.spec.loadReports
}

// checkReachability reopens upstreams whose connect backoff has passed, and
// treats upstreams as cold whose load reports have stopped.
func (a *Arbiter) checkReachability(now time.Time) {
	for id, rep := range a.replicas {
		if !rep.connectFailedAt.IsZero() && now.Sub(rep.connectFailedAt) >= connectBackoff {
			rep.connectFailedAt = time.Time{}
			a.SetLeaving(id, sourceConnect, false)
		}
		if rep.spec.loadReports && !rep.ramp.Cold() && now.Sub(rep.reportedAt) >= reportTimeout {
			rep.ramp.RecordCrash(now)
		}
	}
}
