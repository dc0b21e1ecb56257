package coordinator

import (
	"math"
	"slices"
	"time"

	"foxtaillug.org/scheduler/balancer"
	"foxtaillug.org/scheduler/ejector"
	"foxtaillug.org/scheduler/estimator"
	"foxtaillug.org/scheduler/limiter"
	"foxtaillug.org/scheduler/pacer"
	"foxtaillug.org/scheduler/registrar"
)

const (
	// defaultSlots is assumed for an upstream that does not publish its number
	// of slots.
	defaultSlots = 6
	// minEjection is how long an upstream receives no requests after a failed
	// connection; each further failure doubles the time up to maxEjection.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
	// minSuccessRate bounds the penalty for a low success rate, so that a
	// failing upstream still gets a request now and then.
	minSuccessRate = 0.15
	// coldRateShare is the fraction of the bound on a cold upstream's rate that
	// a coordinator uses, because for a moment two hosts may both consider
	// themselves the coordinator.
	coldRateShare = 0.45
	// coldBurst is the number of requests that may be sent to a cold upstream
	// at once.
	coldBurst = 2
)

// upstream is the state of one upstream.
type upstream struct {
	registrar.Entry
	running map[key]*grant
	speed   *estimator.Estimator
	// cold limits the request rate while the upstream is cold.
	cold *limiter.Bucket
	// coldUntil is the end of the warm-up that the upstream reported in a
	// response.
	coldUntil time.Time
	// limit admits the requests that this coordinator may send while the upstream names
	// a limit, and is nil while it names none. limited counts the requests that it has
	// admitted, the last of them at limitedAt.
	// brittle upstreams fall over if they have to reject many requests. room is the number
	// of requests that they get at once.
	brittle   bool
	room      float64
	limit     *limiter.Bucket
	limited   int
	limitedAt time.Time
	// pace limits the requests after a start or recovery.
	pace upstreamPace
	// unavailable upstreams are no longer listed, and leaving ones have said that their
	// process ends soon. Neither receives new requests.
	unavailable, leaving bool
	// wrongUntil is until when the upstream receives no requests because another process
	// has responded at its address.
	wrongUntil time.Time
	// ejection keeps all requests from the upstream. ejectedBy lists the entry hosts that
	// could not connect to it if it rests on that, and doubted those that could not since
	// the upstream last responded to any.
	ejection           ejection
	ejectedBy, doubted []string
	// doubtedAt is the time of the last such failure, respondedAt that of the last response.
	doubtedAt, respondedAt time.Time
	// capacity is the work that a slot does per second.
	capacity balancer.Speed
	// pendingPrompt is the number of prompt tokens that are not yet processed.
	pendingPrompt int
	// record is the evidence of failed requests; nil if there is no outlier ejection.
	record *ejector.Record
	// tokens is the room for tokens, nil if it is not counted.
	tokens *tokenRoom
}

// newUpstream returns the state of an upstream that runs no requests.
func newUpstream(e registrar.Entry) *upstream {
	return &upstream{Entry: e, running: make(map[key]*grant), speed: estimator.New()}
}

// setColdRate sets the request rate for an upstream while it is cold: a
// fraction of what the bounds allow, less the burst, so that any second stays
// within that fraction. A standalone host sends nothing to a cold upstream,
// because any number of hosts may be standalone at the same time.
func (c *Coordinator) setColdRate(u *upstream, now time.Time) {
	p := c.pools[u.Pool]
	if p == nil || p.ColdRate <= 0 {
		u.cold = nil
		return
	}
	bound := p.ColdRate*c.bounds.ColdFactor + c.bounds.ColdAllowance
	if c.features.Pacing {
		c.setPacedColdRate(u, bound, now)
		return
	}
	size := float64(coldBurst)
	rate := max(bound*coldRateShare-size, 0)
	if c.fleet.Standalone {
		rate, size = 0, 0
	}
	if u.cold == nil {
		u.cold = limiter.NewBucket(rate, size, 0, now)
		return
	}
	u.cold.SetLimits(rate, size, now)
}

// slots returns the number of requests that the upstream gets at once.
func (u *upstream) slots() int {
	if u.brittle {
		return int(max(1, min(u.room, u.maxRoom())))
	}
	return u.pacedSlots()
}

// fullSlots returns the number of requests that the upstream runs concurrently.
func (u *upstream) fullSlots() int {
	if u.Slots > 0 {
		return u.Slots
	}
	return defaultSlots
}

// isCold reports whether the upstream is warming up.
func (u *upstream) isCold(now time.Time) bool {
	return now.Before(u.ColdUntil) || now.Before(u.coldUntil)
}

// eligible reports whether the upstream may receive new requests, regardless of
// free slots.
func (u *upstream) eligible(now time.Time) bool {
	return u.inService() && !now.Before(u.ejection.until) && !now.Before(u.wrongUntil) && !u.isOut() && !(u.pace.Trial() && u.pace.Resting(now))
}

// inService reports whether the upstream may receive new requests now or later.
func (u *upstream) inService() bool { return !u.unavailable && !u.leaving }

// canAccept reports whether the upstream may receive a request now.
func (u *upstream) canAccept(now time.Time) bool {
	if !u.eligible(now) || len(u.running) >= u.slots() || !u.withinLimit(now) || u.isClosed(now) || u.pace.Resting(now) {
		return false
	}
	return u.cold == nil || !u.isCold(now) || u.cold.Has(1, now)
}

// completionTime estimates how long the upstream takes to complete a request.
func (u *upstream) completionTime(r Request) time.Duration {
	if r.Prompt == 0 && r.Output == 0 {
		return u.speed.CallTime() * time.Duration(1+len(u.running)) / time.Duration(u.slots())
	}
	return u.firstTokenTime(r) + u.speed.GenerationTime(r.Output)
}

// firstTokenTime estimates the time to a request's first event.
func (u *upstream) firstTokenTime(r Request) time.Duration {
	if r.Prompt == 0 && r.Output == 0 {
		return u.speed.CallTime()
	}
	return u.speed.FirstTokenTime(u.pendingPrompt + r.Prompt)
}

// anyCanAccept reports whether any upstream of a pool may receive a request
// now.
func (c *Coordinator) anyCanAccept(p *pool, now time.Time) bool {
	for _, u := range p.members {
		if u.canAccept(now) {
			return true
		}
	}
	return false
}

// allowed reports whether a request of an entry host may run in the upstream's region and at
// its version, and has not been tried on the upstream before, and whether the host reaches
// the upstream.
func (c *Coordinator) allowed(u *upstream, entry string, r Request, now time.Time) bool {
	return c.suits(u, r) && c.reaches(entry, u, now) && !c.isPaused(entry, u, now) && (!u.brittle || !c.fleet.Standalone || c.mayUseBrittle(u))
}

// suits reports whether a request may run in the upstream's region and at its version, and
// has not been tried on the upstream before.
func (c *Coordinator) suits(u *upstream, r Request) bool {
	if r.Version != "" && r.Version != u.Version || slices.Contains(r.Exclude, u.ID) {
		return false
	}
	return len(r.Regions) == 0 || slices.Contains(r.Regions, c.fleet.Regions[u.Domain])
}

// place returns the upstream that is expected to complete a queued request first, or nil if
// none may receive it now; r is the request with its present age. The time is divided by the
// square of the success rate, so that a failing upstream is chosen less often.
func (c *Coordinator) place(p *pool, w *waiter, r Request, now time.Time) (best *upstream) {
	of := w.rank()
	lowest := math.Inf(1)
	for _, u := range p.members {
		if !u.canAccept(now) || !c.allowed(u, w.entry, r, now) || !u.hasRoom(key{w.entry, r.ID}, r, of, now) {
			continue
		}
		success := max(u.speed.SuccessRate(), minSuccessRate)
		score := float64(u.completionTime(r)+u.pauseCost(r, now)) / (success * success)
		if u.preferred(r, now) {
			score = 0
		}
		if score < lowest || score == lowest && u.ID < best.ID {
			best, lowest = u, score
		}
	}
	return best
}

// minFirstTokenTime returns the shortest estimated time to the first event among
// the eligible upstreams of a pool, for a request that is bound to a version among
// those that it may use.
func (c *Coordinator) minFirstTokenTime(p *pool, r Request, now time.Time) (best time.Duration) {
	for _, u := range p.members {
		if !u.eligible(now) || r.Version != "" && !c.suits(u, r) {
			continue
		}
		if d := u.firstTokenTime(r); best == 0 || d < best {
			best = d
		}
	}
	return best
}

// canServe reports whether any upstream of a pool may serve a request of an entry host, now
// or later.
func (c *Coordinator) canServe(p *pool, entry string, r Request, now time.Time) bool {
	for _, u := range p.members {
		if u.eligible(now) && c.allowed(u, entry, r, now) {
			return true
		}
	}
	return false
}

// recordFinish updates the upstream's state with how a request of an entry host ended, after a
// first event if responded is set.
func (c *Coordinator) recordFinish(name string, g *grant, f Finish, responded bool, now time.Time) {
	u := g.upstream
	if f.Ending == Complete {
		// A trial that returns the upstream to service is the first answer of its new pace.
		c.recordEvidence(name, g, f, responded, now)
	}
	c.recordPacedFinish(g, f, now)
	switch f.Ending {
	case Complete, Failed, Rejected:
		c.recordResponse(name, u, g.at, now)
	}
	switch f.Ending {
	case Complete:
		u.ejection.failures = 0
		u.adjustRoom(true)
		u.speed.ObserveResult(true)
		u.observeSpeed(g, f)
	case Failed:
		u.speed.ObserveResult(false)
	case TimedOut, ConnectionLost:
		if responded || c.recordLost(name, u, now) {
			u.speed.ObserveResult(false)
			c.recordPace(g, pacer.Lost, now)
		}
	case ConnectFailed:
		c.recordUnreached(name, u, now)
	case WrongUpstream:
		c.recordWrong(u, now)
	case Rejected:
		if c.paces(u) {
			break
		}
		pause := minEjection / 3
		if u.brittle {
			pause = brittlePause
			u.adjustRoom(false)
		}
		if until := now.Add(pause); until.After(u.ejection.until) {
			u.ejection.until = until
		}
	}
	if f.Ending != Complete {
		c.recordEvidence(name, g, f, responded, now)
	}
}

// observeSpeed passes the times of a completed request to the estimator.
func (u *upstream) observeSpeed(g *grant, f Finish) {
	if g.req.Prompt == 0 && g.req.Output == 0 {
		u.speed.ObserveCall(f.Total)
		return
	}
	if g.onlyPrompt && f.FirstToken > 0 && !g.observed {
		u.speed.ObserveFirstToken(g.req.Prompt, f.FirstToken)
	}
	u.speed.ObserveTokens(f.Tokens, f.Generating)
}
