package coordinator_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

const (
	// recoveryEngines and recoveryHosts are the size of the replayed failure domain.
	recoveryEngines, recoveryHosts = 20, 8
	// recoverySpan is the time after a start or recovery in which outcomes are counted.
	recoverySpan = 10 * time.Second
	// recoveryCold is the length of a cold start.
	recoveryCold = 3 * time.Second
	// listingDelay is the time after which the directory shows a change of an engine.
	listingDelay = 300 * time.Millisecond
	// thrashSlots is the number of requests that a thrashing engine runs well, and thrashFactor
	// how much longer those beyond it take.
	thrashSlots  = 2
	thrashFactor = 8
	never        = time.Hour
)

// span is a time from and to.
type span struct{ from, to time.Duration }

// includes reports whether a time lies in the span.
func (s span) includes(at time.Duration) bool { return at >= s.from && at < s.to }

// recovery is a scenario: what happens to each engine of a failure domain.
type recovery struct {
	// load multiplies the base load, which five times fills four engines to two thirds.
	load float64
	// from is the start of the counted time.
	from time.Duration
	// down, thrashing and evacuated are the spans of an engine. An engine is cold after each
	// time down if cold is set.
	down      func(n int) []span
	thrashing func(n int) span
	evacuated func(n int) span
	cold      bool
	features  coordinator.Features
	seed      uint64
	// takeover is when a new coordinator replaces the present one; 0 means never.
	takeover time.Duration
}

// recoveringEngine is an engine and what runs on it.
type recoveringEngine struct {
	engine
	downs     []span
	thrashing span
	evacuated span
	cold      bool
	running   []*attempt
}

// attempt is one run of a request on an engine.
type attempt struct {
	x    *recoveryRequest
	id   uint64
	lost bool
}

// recoveryRequest is a request and its outcome.
type recoveryRequest struct {
	replayed
	host  string
	first time.Time
	// ran is set after the request was sent to an engine.
	ran     bool
	exclude []string
}

// paceCount counts the outcomes of one tier.
type paceCount struct{ submitted, inTime, late, refused, failed int }

// add adds the counts of another paceCount.
func (t *paceCount) add(o paceCount) {
	t.submitted += o.submitted
	t.inTime += o.inTime
	t.late += o.late
	t.refused += o.refused
	t.failed += o.failed
}

// recoveryReplay is one run of a scenario.
type recoveryReplay struct {
	recovery
	c        *coordinator.Coordinator
	engines  []*recoveringEngine
	heap     events
	n        int
	ids      uint64
	requests map[uint64]*recoveryRequest
	// pending holds the IDs of the requests that wait for a decision.
	pending map[uint64]bool
	tiers   [3]paceCount
	// unreached and lostRuns count attempts that found an engine down and runs that were
	// lost.
	unreached, lostRuns int
}

// schedule adds an event.
func (r *recoveryReplay) schedule(at time.Time, do func(time.Time)) {
	r.n++
	heap.Push(&r.heap, event{at: at, do: do, n: r.n})
}

// runRecovery replays a scenario.
func runRecovery(s recovery) *recoveryReplay {
	r := &recoveryReplay{recovery: s, requests: make(map[uint64]*recoveryRequest), pending: make(map[uint64]bool)}
	for i := range recoveryEngines {
		e := &recoveringEngine{engine: engine{id: fmt.Sprintf("engine-%02d", i), slowdown: []float64{0.6, 0.6, 1.7, 1.7}[i%4]}, cold: s.cold}
		if s.down != nil {
			e.downs = s.down(i)
		}
		if s.thrashing != nil {
			e.thrashing = s.thrashing(i)
		}
		if s.evacuated != nil {
			e.evacuated = s.evacuated(i)
		}
		e.engine.down = func(at time.Duration) bool {
			return slices.ContainsFunc(e.downs, func(d span) bool { return d.includes(at) })
		}
		if len(e.downs) > 0 && s.cold {
			e.coldFrom, e.coldTo = e.downs[0].to, e.downs[0].to+recoveryCold
		}
		for _, d := range e.downs {
			r.schedule(start.Add(d.from), func(now time.Time) { r.crash(e, now) })
		}
		r.engines = append(r.engines, e)
	}
	r.elect(start)
	if s.takeover > 0 {
		r.schedule(start.Add(s.takeover), r.elect)
	}
	rnd := rand.New(rand.NewPCG(s.seed, 9))
	length := s.from + recoverySpan + 2*time.Second
	for _, k := range kinds {
		for at := time.Duration(0); at < length; {
			at += time.Duration(rnd.ExpFloat64() / (k.perSecond * s.load * recoveryEngines / 4) * float64(time.Second))
			x := &recoveryRequest{
				replayed: replayed{
					kind:   k,
					prompt: int(k.prompt * math.Exp(rnd.NormFloat64()*0.8-0.32)),
					output: int(k.output*math.Exp(rnd.NormFloat64()-0.5)) + 4,
					at:     start.Add(at),
				},
				host: fmt.Sprint("host-", rnd.IntN(recoveryHosts)),
			}
			r.schedule(x.at, func(now time.Time) {
				r.count(x, func(t *paceCount) { t.submitted++ })
				r.admit(x, now)
			})
		}
	}
	listed := []registrar.Entry{}
	for at := time.Duration(0); at < length+15*time.Second; at += 10 * time.Millisecond {
		r.schedule(start.Add(at), func(now time.Time) {
			if entries := r.entries(now); !slices.Equal(entries, listed) {
				listed = entries
				r.c.SetUpstreams(entries, now)
			}
		})
	}
	for len(r.heap) > 0 {
		e := heap.Pop(&r.heap).(event)
		e.do(e.at)
		r.apply(r.c.Advance(e.at), e.at)
	}
	return r
}

// elect makes a new coordinator, to which the hosts pass what they run and ask for.
func (r *recoveryReplay) elect(now time.Time) {
	r.c = newCoordinator(coordinator.WithFeatures(r.features))
	r.c.SetUpstreams(r.entries(now), now)
	r.c.SetFleet(coordinator.Fleet{
		Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r"}, Complete: true,
	}, now)
	for _, e := range r.engines {
		for _, a := range e.running {
			r.c.Adopt(a.x.host, []coordinator.Running{{ID: a.id, Upstream: e.id, Prompt: a.x.prompt, Output: a.x.output, Left: a.x.deadline}}, now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		delete(r.pending, id)
		r.admit(r.requests[id], now)
	}
}

// entries returns what the directory lists.
func (r *recoveryReplay) entries(now time.Time) (entries []registrar.Entry) {
	at := now.Sub(start) - listingDelay
	for _, e := range r.engines {
		if e.evacuated.includes(at) {
			continue
		}
		x := registrar.Entry{ID: e.id, Pool: "engines", Domain: "d", Slots: 6}
		for _, d := range e.downs {
			if at < d.to {
				break
			}
			x.Born++
			if e.cold {
				x.ColdUntil = start.Add(d.to + recoveryCold)
			}
		}
		if e.thrashing.to > 0 && at >= e.thrashing.from {
			x.Born++
		}
		entries = append(entries, x)
	}
	return entries
}

// count changes the paceCount of a request's tier if the request counts.
func (r *recoveryReplay) count(x *recoveryRequest, change func(*paceCount)) {
	if at := x.at.Sub(start); at >= r.from && at < r.from+recoverySpan {
		change(&r.tiers[x.tier])
	}
}

// admit sends a request to the coordinator, a repeat if it has run before.
func (r *recoveryReplay) admit(x *recoveryRequest, now time.Time) {
	r.ids++
	r.requests[r.ids], r.pending[r.ids] = x, true
	r.c.Admit(x.host, coordinator.Request{
		ID: r.ids, Pool: "engines", Tier: x.tier, Objective: x.objective, Age: now.Sub(x.at), Left: x.deadline - now.Sub(x.at),
		Prompt: x.prompt, Output: x.output, Repeat: x.ran, Exclude: x.exclude,
	}, now)
}

// crash loses what runs on an engine.
func (r *recoveryReplay) crash(e *recoveringEngine, now time.Time) {
	lost := e.running
	e.running, e.prefillFree = nil, now
	for _, a := range lost {
		a.lost = true
		r.lostRuns++
		r.schedule(now.Add(2*time.Millisecond), func(now time.Time) {
			r.c.Finish(a.x.host, coordinator.Finish{ID: a.id, Ending: coordinator.ConnectionLost}, now)
			a.x.exclude = append(a.x.exclude, e.id)
			r.admit(a.x, now)
		})
	}
}

// apply carries out decisions.
func (r *recoveryReplay) apply(decisions []coordinator.Decision, now time.Time) {
	for _, d := range decisions {
		x := r.requests[d.ID]
		delete(r.pending, d.ID)
		if d.Upstream == "" {
			r.count(x, func(t *paceCount) {
				if x.ran {
					t.failed++
				} else {
					t.refused++
				}
			})
			continue
		}
		i := slices.IndexFunc(r.engines, func(e *recoveringEngine) bool { return e.id == d.Upstream })
		r.schedule(now.Add(time.Millisecond), func(now time.Time) { r.arrive(r.engines[i], x, d.ID, now) })
	}
}

// arrive runs a request on an engine that is up.
func (r *recoveryReplay) arrive(e *recoveringEngine, x *recoveryRequest, id uint64, now time.Time) {
	at := now.Sub(start)
	crashes := e.crashes
	accepted := e.accept(at)
	if e.crashes > crashes {
		r.crash(e, now)
	}
	if !accepted {
		r.unreached++
		r.schedule(now.Add(time.Millisecond), func(now time.Time) {
			r.c.Finish(x.host, coordinator.Finish{ID: id, Ending: coordinator.ConnectFailed}, now)
			x.exclude = append(x.exclude, e.id)
			r.admit(x, now)
		})
		return
	}
	slowdown := e.slowdown
	if e.thrashing.includes(at) && len(e.running) >= thrashSlots {
		e.slowdown *= thrashFactor
	}
	first, end := e.start(x.prompt, x.output, now)
	e.slowdown = slowdown
	x.ran = true
	a := &attempt{x: x, id: id}
	e.running = append(e.running, a)
	r.schedule(first, func(at time.Time) {
		if a.lost {
			return
		}
		if x.first.IsZero() {
			x.first = at
		}
		r.c.Progress(x.host, coordinator.Progress{ID: id, FirstToken: at.Sub(now)}, at)
	})
	r.schedule(end, func(at time.Time) {
		if a.lost {
			return
		}
		e.running = slices.DeleteFunc(e.running, func(o *attempt) bool { return o == a })
		r.count(x, func(t *paceCount) {
			if x.first.Sub(x.at) <= x.objective {
				t.inTime++
			} else {
				t.late++
			}
		})
		r.c.Finish(x.host, coordinator.Finish{
			ID: id, Ending: coordinator.Complete, FirstToken: first.Sub(now), Generating: end.Sub(first), Tokens: x.output, Total: end.Sub(now),
		}, at)
	})
}
