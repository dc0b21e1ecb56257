package coordinator_test

import (
	"slices"
	"testing"
	"time"
)

// uneven are loads on three domains whose engines take 0.6 and 1.7 times the typical
// time, with demand that does not follow their capacity.
var uneven = map[string]fleetLoad{
	"slow domain has the demand": {sites: map[string]site{
		"a": {region: "r1", slowdowns: []float64{1.7, 1.7, 1.7, 1.7}, demand: times(2.6)},
		"b": {region: "r1", slowdowns: []float64{0.6, 0.6, 1.7, 1.7}, demand: times(2)},
		"c": {region: "r2", slowdowns: []float64{0.6, 0.6, 0.6, 0.6}, demand: times(1)},
	}},
	"all are overloaded": {sites: map[string]site{
		"a": {region: "r1", slowdowns: []float64{1.7, 1.7, 1.7, 1.7}, demand: times(3)},
		"b": {region: "r1", slowdowns: []float64{0.6, 0.6, 1.7, 1.7}, demand: times(2.4)},
		"c": {region: "r2", slowdowns: []float64{0.6, 0.6, 0.6, 0.6}, demand: times(2)},
	}},
	"demand moves": {sites: map[string]site{
		"a": {region: "r1", slowdowns: []float64{1.7, 1.7, 0.6, 0.6}, demand: between(0, 5*time.Second, 4)},
		"b": {region: "r1", slowdowns: []float64{0.6, 0.6, 1.7, 1.7}, demand: between(5*time.Second, 10*time.Second, 4)},
		"c": {region: "r2", slowdowns: []float64{0.6, 0.6, 1.7, 1.7}, demand: between(10*time.Second, 15*time.Second, 4)},
	}},
}

// TestUnevenDemandIsServedEvenly guards against a comparison of free slots: a domain
// with slow engines kept its excess while a faster one could have served it in time.
func TestUnevenDemandIsServedEvenly(t *testing.T) {
	t.Parallel()
	for name, load := range uneven {
		t.Run(name, func(t *testing.T) {
			var before, after tally
			var spreadBefore, spreadAfter float64
			for seed := range uint64(4) {
				load.overflow = false
				off := runFleet(load, seed, 15*time.Second)
				load.overflow = true
				on := runFleet(load, seed, 15*time.Second)
				if x := on.total(); on.redirectedTwice > 0 || x.inTime+x.late+x.refused != x.submitted {
					t.Errorf("seed %d: %d requests redirected twice; %+v ended", seed, on.redirectedTwice, x)
				}
				before, after = before.plus(off.total()), after.plus(on.total())
				spreadBefore += off.spread() / 4
				spreadAfter += on.spread() / 4
			}
			t.Logf("by free slots %+v, spread of the share served %.3f; by forecast %+v, spread %.3f", before, spreadBefore, after, spreadAfter)
			if after.inTime <= before.inTime {
				t.Errorf("%d in time, want more than the %d by free slots", after.inTime, before.inTime)
			}
			// A tier may lose to higher ones of other domains, but not to lower ones.
			down, up := 0, 0
			for tier := range after.inTimeByTier {
				down += before.inTimeByTier[tier]
				up += after.inTimeByTier[tier]
				if up*100 < down*99 {
					t.Errorf("%d in time down to tier %d, %d by free slots", up, tier, down)
				}
			}
			if spreadAfter >= spreadBefore {
				t.Errorf("shares served differ by %.3f, want less than the %.3f by free slots", spreadAfter, spreadBefore)
			}
		})
	}
}

// TestOverflowIsDeterministic guards against decisions that depend on the order of a map.
func TestOverflowIsDeterministic(t *testing.T) {
	for name, load := range map[string]fleetLoad{"uneven": uneven["all are overloaded"], "crowd": crowd(true)} {
		t.Run(name, func(t *testing.T) {
			load.overflow = true
			first, second := runFleet(load, 9, 5*time.Second), runFleet(load, 9, 5*time.Second)
			for name, d := range first.domains {
				if len(d.sent) == 0 && name == "a" || !slices.Equal(d.sent, second.domains[name].sent) || d.tally != second.domains[name].tally {
					t.Errorf("domain %s: two runs differ or redirect nothing: %d and %d redirects", name, len(d.sent), len(second.domains[name].sent))
				}
			}
		})
	}
}

// crowd returns a load in which five domains have too much from 2 s to 6 s and a sixth has
// nothing of its own.
func crowd(overflow bool) fleetLoad {
	sites := map[string]site{"f": {region: "r1", slowdowns: []float64{0.6, 0.6, 0.6, 0.6}, demand: times(0)}}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		sites[name] = site{region: "r1", slowdowns: []float64{1.7, 1.7, 1.7, 1.7}, demand: between(2*time.Second, 6*time.Second, 4)}
	}
	return fleetLoad{sites: sites, overflow: overflow}
}

// maxFreeQueue is the most work that may wait in the free domain of crowd: what its 24 slots
// at 0.6 of the typical time do within the longest objective, 600 ms.
const maxFreeQueue = 24 * time.Second

// TestOneFreeDomainIsNotFlooded guards against herding: each of five coordinators used the
// free slots that all of them saw.
func TestOneFreeDomainIsNotFlooded(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		off, on := runFleet(crowd(false), seed, 8*time.Second), runFleet(crowd(true), seed, 8*time.Second)
		t.Logf("seed %d: most work queued %v by free slots, %v by forecast; %+v, %+v", seed, off.domains["f"].maxQueued, on.domains["f"].maxQueued, off.total(), on.total())
		if got := on.domains["f"].maxQueued; got > maxFreeQueue {
			t.Errorf("seed %d: %v of work waits at the free domain, want at most %v", seed, got, maxFreeQueue)
		}
		if on.total().inTime <= off.total().inTime {
			t.Errorf("seed %d: %d in time, want more than the %d by free slots", seed, on.total().inTime, off.total().inTime)
		}
		least, most := 1<<30, 0
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			n := on.domains[name].sentTo("f", 0, 8*time.Second)
			least, most = min(least, n), max(most, n)
		}
		if least*2 < most {
			t.Errorf("seed %d: one domain has sent %d requests, another one %d", seed, least, most)
		}
	}
}

// TestDomainThatComesBackIsUsedAndNotFlooded guards against a rush to a domain whose first
// summary arrives while all others have queues.
func TestDomainThatComesBackIsUsedAndNotFlooded(t *testing.T) {
	const back = 4 * time.Second
	load := crowd(true)
	load.lost = func(from, to string, at time.Duration) bool { return (from == "f" || to == "f") && at < back }
	for seed := range uint64(4) {
		s := runFleet(load, seed, 8*time.Second)
		before, after := 0, 0
		for _, d := range s.domains {
			before += d.sentTo("f", 0, back)
			after += d.sentTo("f", back, back+300*time.Millisecond)
		}
		t.Logf("seed %d: %d requests redirected within 300 ms, most work queued %v", seed, after, s.domains["f"].maxQueued)
		if before > 0 || after < 12 {
			t.Errorf("seed %d: %d requests redirected before the domain is back, %d within 300 ms after it, want half of its 24 slots used", seed, before, after)
		}
		if got := s.domains["f"].maxQueued; got > maxFreeQueue {
			t.Errorf("seed %d: %v of work waits there, want at most %v", seed, got, maxFreeQueue)
		}
	}
}

// TestStaleSummaries guards against redirects to rooms that are no longer there, and against
// doing worse than the comparison of free slots where summaries are lost.
func TestStaleSummaries(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		lost func(from, to string, at time.Duration) bool
		// none is the time in which no request may be redirected.
		none [2]time.Duration
	}{
		"partition": {
			lost: func(_, _ string, at time.Duration) bool { return at > 4*time.Second && at < 8*time.Second },
			none: [2]time.Duration{5050 * time.Millisecond, 8 * time.Second},
		},
		"three of four are lost": {
			lost: func(_, _ string, at time.Duration) bool { return at/(150*time.Millisecond)%4 != 0 },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			load := uneven["all are overloaded"]
			load.lost = test.lost
			var before, after tally
			for seed := range uint64(4) {
				load.overflow = false
				before = before.plus(runFleet(load, seed, 12*time.Second).total())
				load.overflow = true
				s := runFleet(load, seed, 12*time.Second)
				after = after.plus(s.total())
				for _, d := range s.domains {
					for other := range s.domains {
						if n := d.sentTo(other, test.none[0], test.none[1]); n > 0 {
							t.Errorf("seed %d: %d requests redirected without a summary", seed, n)
						}
					}
				}
			}
			t.Logf("by free slots %+v, by forecast %+v", before, after)
			if after.inTime <= before.inTime {
				t.Errorf("%d in time, want more than the %d by free slots", after.inTime, before.inTime)
			}
		})
	}
}

// TestLinkBudget guards against redirected requests that fill the link between regions,
// which other traffic needs.
func TestLinkBudget(t *testing.T) {
	const budget = 60e6 / 8 / 4
	load := fleetLoad{overflow: true, promptFactor: 8, sites: map[string]site{
		"a": {region: "r1", slowdowns: []float64{1.7, 1.7}, demand: times(3)},
		"b": {region: "r1", slowdowns: []float64{1.7, 1.7}, demand: times(3)},
		"c": {region: "r2", slowdowns: []float64{0.2, 0.2, 0.2, 0.2, 0.2, 0.2}, demand: times(0)},
	}}
	s := runFleet(load, 1, 10*time.Second)
	const length = 10 * time.Second
	total, largest, busiest := 0.0, 0.0, 0.0
	var all []redirect
	for _, d := range s.domains {
		for _, x := range d.sent {
			if s.domains[x.domain].region != d.region {
				all, largest = append(all, x), max(largest, x.bytes)
				if x.at < length {
					total += x.bytes
				}
			}
		}
	}
	for _, from := range all {
		sum := 0.0
		for _, x := range all {
			if x.at >= from.at && x.at < from.at+time.Second {
				sum += x.bytes
			}
		}
		busiest = max(busiest, sum)
		// The buckets hold half a second, and each admits one request when it is full.
		if bound := 1.5*budget + 2*largest; sum > bound {
			t.Fatalf("%.0f bytes sent in a second from %v, want at most %.0f", sum, from.at, bound)
		}
	}
	mean := total / length.Seconds()
	t.Logf("%.0f bytes a second of %.0f on average, %.0f in the busiest second, %d requests, the largest of %.0f", mean, budget, busiest, len(all), largest)
	if mean < budget/2 || mean > 1.1*budget {
		t.Errorf("%.0f bytes a second sent, want about the budget of %.0f", mean, budget)
	}
}

// TestOverflowBesideAnEarlierBuild guards against a coordinator without rooms being left out,
// or being flooded, by those that have them.
func TestOverflowBesideAnEarlierBuild(t *testing.T) {
	t.Parallel()
	var before tally
	for seed := range uint64(4) {
		before = before.plus(runFleet(uneven["demand moves"], seed, 15*time.Second).total())
	}
	for _, earlier := range []string{"a", "b", "c"} {
		t.Run(earlier, func(t *testing.T) {
			var after tally
			from, to := 0, 0
			for seed := range uint64(4) {
				load := uneven["demand moves"]
				load.overflow = true
				load.sites = map[string]site{"a": load.sites["a"], "b": load.sites["b"], "c": load.sites["c"]}
				x := load.sites[earlier]
				x.earlier = true
				load.sites[earlier] = x
				s := runFleet(load, seed, 15*time.Second)
				after = after.plus(s.total())
				for name, d := range s.domains {
					to += d.sentTo(earlier, 0, time.Hour)
					if name == earlier {
						from += len(d.sent)
					}
				}
			}
			t.Logf("all by free slots %+v, one of three %+v; %d redirected by it, %d to it", before, after, from, to)
			if from == 0 || to == 0 {
				t.Errorf("%d requests redirected by the earlier build, %d to it, want some", from, to)
			}
			if after.inTime*100 < before.inTime*99 {
				t.Errorf("%d in time, want about the %d of a fleet of the earlier build", after.inTime, before.inTime)
			}
		})
	}
}
