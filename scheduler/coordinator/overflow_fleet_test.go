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
	"foxtaillug.org/scheduler/router"
)

// site describes one failure domain of a fleet and its callers.
type site struct {
	region string
	// slowdowns has the factor of time of each engine.
	slowdowns []float64
	// demand multiplies the rates of kinds at a time.
	demand func(at time.Duration) float64
	// earlier is set if the coordinator is of a build that knows no rooms.
	earlier bool
}

// fleetLoad is a load on several failure domains.
type fleetLoad struct {
	sites map[string]site
	// overflow enables the feature under test.
	overflow bool
	// lost reports whether a summary between two domains is lost.
	lost func(from, to string, at time.Duration) bool
	// promptFactor multiplies the lengths of prompts; 0 means 1.
	promptFactor float64
}

// tally counts the requests of the callers of one domain.
type tally struct {
	submitted, inTime, late, refused int
	// inTimeByTier splits inTime.
	inTimeByTier [3]int
}

// served returns the fraction of the requests that were served.
func (t tally) served() float64 { return float64(t.inTime+t.late) / float64(max(t.submitted, 1)) }

// work returns the time that the request takes on a typical engine.
func (r replayed) work() time.Duration {
	return 50*time.Millisecond + time.Duration(r.prompt)*20*time.Microsecond + time.Duration(r.output)*5*time.Millisecond
}

// redirect is a redirected request and the bytes that it and its response have.
type redirect struct {
	domain string
	at     time.Duration
	bytes  float64
}

// fleetDomain is the state of one failure domain.
type fleetDomain struct {
	site
	name    string
	c       *coordinator.Coordinator
	engines map[string]*engine
	tally
	// sent lists the redirects.
	sent []redirect
	// queued is the work of the queued requests and maxQueued the most there was.
	queued, maxQueued time.Duration
}

// fleetReplay is one run of a load on a fleet.
type fleetReplay struct {
	fleetLoad
	domains map[string]*fleetDomain
	heap    events
	n       int
	ids     uint64
	// calls holds the requests by ID, homes the domains of their callers.
	calls map[uint64]replayed
	homes map[uint64]*fleetDomain
	// redirectedTwice counts the requests that were redirected more than once.
	redirectedTwice int
}

// way returns the time that a message takes between two domains.
func (s *fleetReplay) way(a, b string) time.Duration {
	switch {
	case a == b:
		return 200 * time.Microsecond
	case s.domains[a].region == s.domains[b].region:
		return time.Millisecond
	}
	return 12 * time.Millisecond
}

// runFleet replays a load for a time.
func runFleet(load fleetLoad, seed uint64, length time.Duration) *fleetReplay {
	s := &fleetReplay{fleetLoad: load, domains: map[string]*fleetDomain{}, calls: map[uint64]replayed{}, homes: map[uint64]*fleetDomain{}}
	names := slices.Sorted(maps.Keys(load.sites))
	regions := map[string]string{}
	var entries []registrar.Entry
	for _, name := range names {
		d := &fleetDomain{site: load.sites[name], name: name, engines: map[string]*engine{}}
		s.domains[name], regions[name] = d, d.region
		for i, slowdown := range d.slowdowns {
			e := &engine{id: fmt.Sprint(name, "-", i), slowdown: slowdown, down: func(time.Duration) bool { return false }}
			d.engines[e.id] = e
			entries = append(entries, registrar.Entry{ID: e.id, Pool: "engines", Domain: name, Slots: 6})
		}
	}
	for i, name := range names {
		d := s.domains[name]
		d.c = coordinator.New("process-"+name, coordinator.Bounds{RetryRatio: 0.2, RetryAllowance: 58, RetryWindow: 10 * time.Second, ColdFactor: 1.5, ColdAllowance: 5},
			coordinator.WithFeatures(coordinator.Features{Overflow: load.overflow && !d.earlier}))
		t, err := router.NewTable(router.Document{Version: 1, Pools: []router.Pool{{Name: "engines"}}})
		if err != nil {
			panic(err)
		}
		d.c.SetTable(t, start)
		d.c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: name, Scope: []string{name}, Regions: regions}, start)
		d.c.SetUpstreams(entries, start)
		s.callers(d, seed+uint64(i)*1000, length)
		// The coordinators send their summaries at different moments.
		for at := time.Duration(i*37) * time.Millisecond; at < length+15*time.Second; at += 150 * time.Millisecond {
			s.schedule(start.Add(at), d, func(now time.Time) { s.summarize(d, now) })
		}
		for at := time.Duration(0); at < length+15*time.Second; at += 10 * time.Millisecond {
			s.schedule(start.Add(at), d, func(time.Time) { d.maxQueued = max(d.maxQueued, d.queued) })
		}
	}
	for len(s.heap) > 0 {
		e := heap.Pop(&s.heap).(event)
		e.do(e.at)
	}
	return s
}

// callers schedules the requests of the callers of a domain.
func (s *fleetReplay) callers(d *fleetDomain, seed uint64, length time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	for _, k := range kinds {
		for at := time.Duration(0); ; {
			factor := d.demand(at)
			if factor == 0 {
				break
			}
			at += time.Duration(rnd.ExpFloat64() / (k.perSecond * factor) * float64(time.Second))
			if at >= length {
				break
			}
			prompt := k.prompt * max(s.promptFactor, 1)
			x := replayed{
				kind:   k,
				prompt: int(prompt * math.Exp(rnd.NormFloat64()*0.8-0.32)),
				output: int(k.output*math.Exp(rnd.NormFloat64()-0.5)) + 4,
				at:     start.Add(at),
			}
			s.schedule(x.at, d, func(now time.Time) {
				s.ids++
				s.calls[s.ids], s.homes[s.ids] = x, d
				d.submitted++
				s.admit(d, s.ids, now, false)
			})
		}
	}
}

// schedule adds an event of a domain, after which its coordinator decides.
func (s *fleetReplay) schedule(at time.Time, d *fleetDomain, do func(time.Time)) {
	s.n++
	heap.Push(&s.heap, event{at: at, n: s.n, do: func(now time.Time) {
		do(now)
		s.apply(d, d.c.Advance(now), now)
	}})
}

// admit sends a request to a coordinator.
func (s *fleetReplay) admit(d *fleetDomain, id uint64, now time.Time, redirected bool) {
	x := s.calls[id]
	d.queued += x.work()
	d.c.Admit("entry", coordinator.Request{
		ID: id, Pool: "engines", Tier: x.tier, Objective: x.objective, Age: now.Sub(x.at), Left: x.deadline - now.Sub(x.at), Waited: now.Sub(x.at),
		Prompt: x.prompt, Output: x.output, Redirected: redirected,
	}, now)
}

// summarize sends a domain's summary to the others.
func (s *fleetReplay) summarize(d *fleetDomain, now time.Time) {
	summary := d.c.Summary(now)
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		other := s.domains[name]
		if name == d.name || s.lost != nil && s.lost(d.name, name, now.Sub(start)) {
			continue
		}
		s.schedule(now.Add(s.way(d.name, name)), other, func(at time.Time) { other.c.RecordSummary(summary, at) })
	}
}

// apply carries out the decisions of a domain.
func (s *fleetReplay) apply(d *fleetDomain, decisions []coordinator.Decision, now time.Time) {
	for _, x := range decisions {
		call, home := s.calls[x.ID], s.homes[x.ID]
		d.queued -= call.work()
		switch {
		case x.Domain != "":
			if home != d {
				s.redirectedTwice++
			}
			target := s.domains[x.Domain]
			d.sent = append(d.sent, redirect{x.Domain, now.Sub(start), 4*float64(call.prompt) + 40*float64(call.output)})
			id := x.ID
			s.schedule(now.Add(s.way(home.name, d.name)+s.way(home.name, target.name)), target, func(at time.Time) { s.admit(target, id, at, true) })
		case x.Upstream != "":
			s.start(d, home, x, call, now)
		default:
			home.refused++
		}
	}
}

// start runs a granted request.
func (s *fleetReplay) start(d, home *fleetDomain, x coordinator.Decision, call replayed, now time.Time) {
	way := s.way(home.name, d.name)
	sent := now.Add(way)
	first, end := d.engines[x.Upstream].start(call.prompt, call.output, sent.Add(way))
	first, end = first.Add(way), end.Add(way)
	if first.Sub(call.at) <= call.objective {
		home.inTime++
		home.inTimeByTier[call.tier]++
	} else {
		home.late++
	}
	s.schedule(first.Add(way), d, func(at time.Time) {
		d.c.Progress("entry", coordinator.Progress{ID: x.ID, FirstToken: first.Sub(sent)}, at)
	})
	s.schedule(end.Add(way), d, func(at time.Time) {
		d.c.Finish("entry", coordinator.Finish{
			ID: x.ID, Ending: coordinator.Complete, FirstToken: first.Sub(sent),
			Generating: end.Sub(first), Tokens: call.output, Total: end.Sub(sent),
		}, at)
	})
}

// total returns the sum of all tallies.
func (s *fleetReplay) total() (t tally) {
	for _, d := range s.domains {
		t = t.plus(d.tally)
	}
	return t
}

// plus returns the sum of two tallies.
func (t tally) plus(o tally) tally {
	t.submitted += o.submitted
	t.inTime += o.inTime
	t.late += o.late
	t.refused += o.refused
	for tier, n := range o.inTimeByTier {
		t.inTimeByTier[tier] += n
	}
	return t
}

// sentTo counts the requests that a domain has redirected to another one between two
// times.
func (d *fleetDomain) sentTo(domain string, from, to time.Duration) (n int) {
	for _, x := range d.sent {
		if x.domain == domain && x.at >= from && x.at < to {
			n++
		}
	}
	return n
}

// spread returns the difference between the highest and the lowest share served
// of a domain.
func (s *fleetReplay) spread() float64 {
	lowest, highest := 1.0, 0.0
	for _, d := range s.domains {
		if d.submitted > 0 {
			lowest, highest = min(lowest, d.served()), max(highest, d.served())
		}
	}
	return highest - lowest
}

// times returns a demand that is constant.
func times(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}
