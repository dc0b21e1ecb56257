package coordinator

import (
	"slices"
	"time"

	"foxtaillug.org/scheduler/limiter"
	"foxtaillug.org/scheduler/pacer"
)

// The fractions of the bound on a cold upstream's rate that a coordinator uses with
// pacing. A host may believe for a moment that it is the only coordinator while another
// one grants too, so coldRateShare with soleColdShare and with itself stay below 1: a host of
// the build before uses coldRateShare as soon as it takes over. The rest, at least 1.2
// requests a second at a bound of 24.5, is for grants that arrive closer together than they
// were made.
const (
	// newColdShare applies for takeoverTime after a takeover or a suspension, when the
	// former coordinator may still grant.
	newColdShare = 0.25
	// soleColdShare applies once no other host can have become the coordinator for
	// takeoverTime.
	soleColdShare = 0.5
	// suspensionGap is the time between two advances above which the coordinator counts
	// as suspended; it is advanced at least every 200 ms.
	suspensionGap = 600 * time.Millisecond
	// lateFactor is the factor by which a first event may take longer than expected at
	// the learned speed if the objective can't be met.
	lateFactor = 1.5
)

// pacing is what a coordinator knows for all upstreams.
type pacing struct {
	// homeFrom and otherFrom are when this coordinator resumed or took over upstreams of
	// its own and of other failure domains, and completeFrom is when its failure domain was
	// last seen to become complete.
	homeFrom, otherFrom, completeFrom time.Time
	// answered holds, by ID, which process of an upstream has answered, also of upstreams
	// that are not listed for a while.
	answered map[string]int64
	// advancedAt is the time of the last Advance.
	advancedAt time.Time
	// homeShare and otherShare are the fractions of the cold bound in use for upstreams
	// of the own and of other failure domains.
	homeShare, otherShare float64
}

// upstreamPace is the pace of an upstream.
type upstreamPace struct {
	pacer.Pacer
	// known is set once the upstream is listed, cold while it is cold.
	// out is set while it is out of service for its failures.
	known, cold, out bool
	// failedBy lists the hosts that could not connect to the upstream since it last
	// responded to any.
	failedBy []string
}

// coldShares returns the fractions of the cold bound that this coordinator may use for
// upstreams of its own failure domain and of others. It may be one of several that grant
// those of a domain without a live host.
func (c *Coordinator) coldShares(now time.Time) (home, other float64) {
	if c.fleet.Standalone {
		return 0, 0
	}
	home, other = coldRateShare, coldRateShare
	if c.fleet.Complete && now.Sub(c.pacing.completeFrom) > takeoverTime {
		home = soleColdShare
	}
	if now.Sub(c.pacing.homeFrom) < takeoverTime {
		home = newColdShare
	}
	if now.Sub(c.pacing.otherFrom) < takeoverTime {
		other = newColdShare
	}
	return home, other
}

// advancePace applies what has changed with time.
func (c *Coordinator) advancePace(now time.Time) {
	if !c.features.Pacing {
		return
	}
	if !c.pacing.advancedAt.IsZero() && now.Sub(c.pacing.advancedAt) > suspensionGap {
		c.pacing.homeFrom, c.pacing.otherFrom, c.pacing.completeFrom = now, now, now
		c.restartPace(now, func(*upstream) bool { return true })
	}
	c.pacing.advancedAt = now
	home, other := c.coldShares(now)
	if home == c.pacing.homeShare && other == c.pacing.otherShare {
		return
	}
	c.pacing.homeShare, c.pacing.otherShare = home, other
	for _, u := range c.upstreams {
		c.setColdRate(u, now)
	}
}

// paceFleet applies a change of the membership: upstreams that this coordinator did not
// grant before start slowly.
func (c *Coordinator) paceFleet(before Fleet, tookOver func(*upstream) bool, now time.Time) {
	if !c.features.Pacing {
		return
	}
	if !before.Complete && c.fleet.Complete {
		c.pacing.completeFrom = now
	}
	if !c.tookOverAt.Equal(now) {
		return
	}
	c.pacing.otherFrom = now
	if before.Standalone != c.fleet.Standalone || before.Domain != c.fleet.Domain {
		c.pacing.homeFrom = now
	}
	c.restartPace(now, tookOver)
}

// restartPace starts over with the upstreams that meet a condition, as another host may
// have granted them.
func (c *Coordinator) restartPace(now time.Time, condition func(*upstream) bool) {
	for _, u := range c.upstreams {
		if !condition(u) {
			continue
		}
		c.startPace(u, now)
		if u.cold != nil {
			u.cold.Empty(now)
		}
	}
	c.pacing.homeShare, c.pacing.otherShare = c.coldShares(now)
	for _, u := range c.upstreams {
		c.setColdRate(u, now)
	}
}

// startPace begins slow start: with half of the slots if the upstream has answered and is
// not cold.
func (c *Coordinator) startPace(u *upstream, now time.Time) {
	window := pacer.StartWindow
	born, answered := c.pacing.answered[u.ID]
	if answered && born == u.Born && !u.isCold(now) {
		window = u.fullSlots() / 2
	}
	u.pace.Start(window, now)
}

// paceAdopted records that an upstream runs a request that another coordinator granted: it
// counts as one that answers, and can sustain at least what it runs.
func (c *Coordinator) paceAdopted(u *upstream, now time.Time) {
	if !c.features.Pacing {
		return
	}
	if _, known := c.pacing.answered[u.ID]; !known {
		c.noteAnswered(u)
		c.startPace(u, now)
	}
	if !u.isCold(now) {
		u.pace.RaiseTo(len(u.running))
	}
}

// noteAnswered records which process of an upstream has answered.
func (c *Coordinator) noteAnswered(u *upstream) {
	const spare = 64
	if c.pacing.answered == nil || len(c.pacing.answered) > 2*len(c.upstreams)+spare {
		c.pacing.answered = make(map[string]int64)
	}
	c.pacing.answered[u.ID] = u.Born
}

// paceListed begins slow start of an upstream that is new, has restarted or is listed
// again.
func (c *Coordinator) paceListed(u *upstream, now time.Time) {
	if !c.features.Pacing || u.pace.known && !u.unavailable {
		return
	}
	if !u.pace.known {
		c.forgetFailures(u, now)
	}
	c.startPace(u, now)
	u.pace.known = true
}

// paceCold begins slow start of an upstream that turns cold.
func (c *Coordinator) paceCold(u *upstream, now time.Time) {
	if !c.features.Pacing {
		return
	}
	cold := u.isCold(now)
	if cold && !u.pace.cold {
		c.startPace(u, now)
		c.setColdRate(u, now)
	}
	u.pace.cold = cold
}

// paceReviewed does what paceRestored does for the upstreams of a pool of which a number are out
// of service.
func (c *Coordinator) paceReviewed(p *pool, out int, now time.Time) {
	if out == 0 && p.out == 0 {
		return
	}
	p.out = out
	for _, u := range p.members {
		c.paceRestored(u, now, now)
	}
}

// paceRestored begins slow start of an upstream that has returned from outlier ejection. It
// counts requests that were granted since a time: that of the trial that has succeeded, if any.
// One that can't be reached goes on with single trial requests.
func (c *Coordinator) paceRestored(u *upstream, since, now time.Time) {
	out := u.isOut()
	restored := u.pace.out && !out
	u.pace.out = out
	if !restored || !c.features.Pacing || u.pace.Trial() {
		return
	}
	c.startPace(u, since)
	if !u.isCold(now) {
		u.pace.RaiseTo(len(u.running))
	}
	c.setColdRate(u, now)
}

// setPacedColdRate sets the rate for an upstream while it is cold: the fraction of the bound
// that this coordinator may use, less the burst, at the upstream's pace.
func (c *Coordinator) setPacedColdRate(u *upstream, bound float64, now time.Time) {
	share := c.pacing.otherShare
	if u.Domain == c.fleet.Domain {
		share = c.pacing.homeShare
	}
	if c.fleet.Standalone {
		share = 0
	}
	size := min(coldBurst, max(1, share*bound/4))
	rate := max(share*bound-size, 0)
	if !u.brittle {
		rate *= u.pace.Rate()
	}
	if share == 0 {
		size = 0
	}
	if u.cold == nil {
		u.cold = limiter.NewBucket(rate, size, 0, now)
		return
	}
	u.cold.SetLimits(rate, size, now)
}

// isPaced reports whether the upstream gets fewer requests than it has slots.
func (u *upstream) isPaced() bool { return u.pace.Paced() && !u.brittle }

// pacedSlots returns the number of requests that the upstream gets at once. A trial waits
// for none that was granted before the upstream failed.
func (u *upstream) pacedSlots() int {
	n := u.pace.Window(u.fullSlots())
	if u.pace.Trial() {
		for _, g := range u.running {
			if g.at.Before(u.pace.Since()) {
				n++
			}
		}
	}
	return min(n, u.fullSlots())
}

// recordPace adapts the pace of an upstream to an answer to a request.
func (c *Coordinator) recordPace(g *grant, a pacer.Answer, now time.Time) {
	u := g.upstream
	if !c.features.Pacing || u.brittle || g.paced {
		return
	}
	g.paced = true
	rate := u.pace.Rate()
	u.pace.Record(a, g.at, len(u.running), u.fullSlots(), now)
	if rate != u.pace.Rate() && u.isCold(now) {
		c.setColdRate(u, now)
	}
}

// recordFirst records the time from sending a request to its first event, or to the end of a
// call. The objective of an adopted request is not known.
func (c *Coordinator) recordFirst(g *grant, took time.Duration, now time.Time) {
	answer := pacer.InTime
	expected := time.Duration(lateFactor * float64(g.upstream.firstTokenTime(g.req)))
	if g.req.Objective > 0 && took > max(g.req.Objective, expected) {
		answer = pacer.Late
	}
	c.recordPace(g, answer, now)
}

// recordPacedFinish records how a request ended that had no first event before.
func (c *Coordinator) recordPacedFinish(g *grant, f Finish, now time.Time) {
	switch {
	case f.Ending == Complete && f.FirstToken > 0:
		c.recordFirst(g, f.FirstToken, now)
	case f.Ending == Complete:
		c.recordFirst(g, f.Total, now)
	case f.Ending == Rejected:
		c.recordPace(g, pacer.Rejected, now)
	}
}

// paces reports whether the pace of an upstream replaces the fixed times after failures.
func (c *Coordinator) paces(u *upstream) bool { return c.features.Pacing && !u.brittle }

// ejectUpstream extends an upstream's ejection for all hosts after a failure, unless it is
// ejected already: requests that were under way when it failed say nothing new.
func (c *Coordinator) ejectUpstream(u *upstream, now time.Time) {
	if !c.paces(u) {
		u.ejection.extend(now)
		return
	}
	u.pace.Fail(u.fullSlots(), now)
	if now.Before(u.ejection.until) {
		return
	}
	u.ejection.until = now.Add(pacer.TrialInterval(u.ejection.failures))
	u.ejection.failures++
	u.ejection.at = now
}

// ejectFor extends the ejection of an upstream for one host. If the upstream has responded
// to none since two hosts failed, the others share the trial requests.
func (c *Coordinator) ejectFor(own *ejection, name string, u *upstream, now time.Time) {
	if !c.paces(u) {
		own.extend(now)
		return
	}
	if !slices.Contains(u.pace.failedBy, name) {
		u.pace.failedBy = append(u.pace.failedBy, name)
	}
	if len(u.pace.failedBy) > 1 {
		u.pace.Fail(u.fullSlots(), now)
	}
	if u.pace.Trial() {
		u.pace.Missed(now)
		own.at, own.until = now, u.pace.RestUntil()
		return
	}
	own.extend(now)
}

// endTrial records that an upstream has responded to a request granted at a time. If it had
// failed for all, it has recovered, also for the hosts that failed to connect to it before.
func (c *Coordinator) endTrial(u *upstream, granted, now time.Time) {
	if !c.features.Pacing {
		return
	}
	c.noteAnswered(u)
	u.pace.failedBy = u.pace.failedBy[:0]
	if u.pace.Trial() && granted.After(u.pace.Since()) {
		u.pace.Recover(now)
		c.forgetFailures(u, granted)
	}
}

// forgetFailures ends what hosts have against an upstream from before a time.
func (c *Coordinator) forgetFailures(u *upstream, before time.Time) {
	for _, e := range c.entries {
		if own, ok := e.ejected[u.ID]; ok && own.at.Before(before) {
			delete(e.ejected, u.ID)
		}
	}
}
