package coordinator

import (
	"math"
	"time"
)

// Explanation is what decided on a refusal, for the operators. It is sent between hosts; one
// of a build before sends none.
type Explanation struct {
	// Wait is the time after which the request was expected to get an upstream, 0 if there
	// was no forecast.
	Wait time.Duration
	// Serving, Cold, Ejected and Leaving count the upstreams of the pool that the coordinator
	// may grant, by state.
	Serving, Cold, Ejected, Leaving int
	// Asked and Served are the work that the workspace asked for and was served, and Level
	// is the fair level of its tier, all in seconds of a slot; 0 if shares are not kept.
	Asked, Served, Level float64
}

// stateCount counts a pool's upstreams by state, as found in a round of serve.
type stateCount struct {
	Explanation
	round   uint64
	counted bool
}

// explain returns what decides on the refusal of a request of a pool that was expected to wait
// for a time. The upstreams are counted once a round.
func (c *Coordinator) explain(p *pool, wait time.Duration, now time.Time) *Explanation {
	if s := &p.states; !s.counted || s.round != p.round {
		*s = stateCount{round: p.round, counted: true}
		for _, u := range p.members {
			switch {
			case u.leaving:
				s.Leaving++
			case !u.inService():
			case !u.eligible(now):
				s.Ejected++
			case u.isCold(now):
				s.Cold++
			default:
				s.Serving++
			}
		}
	}
	e := p.states.Explanation
	e.Wait = wait
	return &e
}

// explainLimit does the same as explain for a request that was refused before it was queued: nil unless for
// a full queue, as limits have nothing to do with the upstreams.
func (c *Coordinator) explainLimit(p *pool, reason Reason, now time.Time) *Explanation {
	if reason != NoCapacity {
		return nil
	}
	return c.explain(p, 0, now)
}

// explainQueued does the same as explain for a queued request at a position among those of its rank.
func (c *Coordinator) explainQueued(p *pool, w *waiter, fc *forecast, position int, now time.Time) *Explanation {
	wait := fc.wait(w.rank(), w.late, position)
	if w.Version != "" {
		wait = fc.boundWait(w, c.slotsFor(p, func(u *upstream) bool { return c.suits(u, w.Request) }, now), position)
	}
	e := c.explain(p, max(wait, fc.limitWait, c.timeUntilResumed(p, w, now)), now)
	if a := w.share.account; a != nil {
		e.Asked, e.Served = a.Load(now)
		// Without contention the level is infinite, which is left out.
		if level := a.Sharer().Level(now); !math.IsInf(level, 1) {
			e.Level = level
		}
	}
	return e
}
