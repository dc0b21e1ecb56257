package arbiter_test

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/arbiter"
	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/quarantiner"
)

// TestMain sets a fixed rapid seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

// TestOwnerHoldsAllSlotsAfterSettling checks that, after the settling time, one
// host holds all slots of each upstream.
func TestOwnerHoldsAllSlotsAfterSettling(t *testing.T) {
	f := newFleet(1, 3, 4, 2, 8)
	f.run(10 * time.Second)
	for _, u := range f.upstreams {
		slots := 0
		for _, n := range f.nodes {
			for _, s := range n.arbiter.Status(f.now) {
				if s.ID() == u.id {
					slots = max(slots, s.Slots())
				}
			}
		}
		if slots != 2 {
			t.Errorf("%s: the owner has %d slots, want the cold limit of 2", u.id, slots)
		}
	}
}

// generateLoad issues requests at random times and hosts over a duration.
func (f *fleet) generateLoad(d time.Duration, perSecond int) {
	n := int(d.Seconds() * float64(perSecond))
	for range n {
		f.after(time.Duration(f.rng.Int64N(int64(d))), func() {
			entry := f.nodes[f.rng.IntN(len(f.nodes))]
			if entry.failed {
				return
			}
			tier := scheduler.Tier(f.rng.IntN(f.tiers))
			duration := 50*time.Millisecond + time.Duration(f.rng.Int64N(int64(f.maxDuration)))
			f.issue(entry, tier, duration, 4*time.Second, quarantiner.Digest(f.rng.Uint64()))
		})
	}
}

// fault is one injected fault.
type fault struct {
	kind     int
	target   int
	at       time.Duration
	duration time.Duration
}

// Kinds of faults.
const (
	faultKill = iota
	faultSuspend
	faultPartition
	faultCrash
	faultLoss
	faultDrain
	faultLeave
	faultKinds
)

// inject injects a fault.
func (f *fleet) inject(x fault) {
	n := f.nodes[x.target%len(f.nodes)]
	u := f.upstreams[x.target%len(f.upstreams)]
	switch x.kind {
	case faultKill:
		if n.failed {
			return
		}
		f.kill(n)
		f.after(x.duration, func() {
			n.hosts = f.aliveHosts()
			f.boot(n)
			f.propagateHostList()
		})
	case faultSuspend:
		if end := f.now.Add(x.duration); end.After(n.suspendedUntil) {
			n.suspendedUntil = end
		}
	case faultPartition:
		n.partition = 1 - n.partition
		f.after(x.duration, func() { n.partition = 0 })
	case faultCrash:
		f.crash(u)
	case faultLoss:
		f.lossRate = 0.2
		f.after(x.duration, func() { f.lossRate = 0 })
	case faultLeave:
		if u.drained.IsZero() {
			u.drained, u.leaving = f.now, f.now
		}
	case faultDrain:
		if u.drained.IsZero() {
			f.drain(u)
		}
	}
}

// TestGuaranteesUnderRandomFaults injects random, overlapping faults into a
// fleet under load. No request may be dispatched twice, no upstream may exceed
// its limit or, while cold, its cold limit, and no drained or leaving upstream
// may receive a request after three seconds.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	coldArrivals := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "upstreams"), rapid.IntRange(1, 3).Draw(t, "cold"), 8)
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{
				kind:     rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
				target:   rapid.IntRange(0, 6).Draw(t, "target"),
				at:       time.Duration(rapid.IntRange(0, 15000).Draw(t, "at")) * time.Millisecond,
				duration: time.Duration(rapid.IntRange(10, 6000).Draw(t, "duration")) * time.Millisecond,
			}
		}), 0, 6).Draw(t, "faults")
		for _, u := range f.upstreams {
			warm := time.Duration(rapid.IntRange(0, 12000).Draw(t, "warmAt")) * time.Millisecond
			f.after(warm, func() { u.cold = u.cold && u.epoch > 0 })
		}
		for _, x := range faults {
			f.after(x.at, func() { f.inject(x) })
		}
		f.maxDuration = time.Duration(rapid.IntRange(100, 10000).Draw(t, "longest")) * time.Millisecond
		f.generateLoad(20*time.Second, rapid.IntRange(5, 60).Draw(t, "perSecond"))
		f.run(25 * time.Second)
		coldArrivals += f.coldArrivals
		if len(f.violations) > 0 {
			t.Fatalf("%d violations, the first: %s", len(f.violations), f.violations[0])
		}
	})
	if coldArrivals == 0 {
		t.Error("no cold upstream ran a request, so the cold limit was not tested")
	}
}

// TestFleetCompletesAllRequestsAfterSettling checks that a fleet without faults
// completes all requests, so that the safety tests cannot pass by granting
// nothing.
func TestFleetCompletesAllRequestsAfterSettling(t *testing.T) {
	f := newFleet(1, 3, 4, 2, 8)
	f.after(2*time.Second, func() {
		for _, u := range f.upstreams {
			u.cold = false
		}
	})
	f.run(8 * time.Second)
	f.generateLoad(10*time.Second, 5)
	f.run(15 * time.Second)
	warm := f.completed[0] + f.completed[1] + f.completed[2]
	f.generateLoad(20*time.Second, 20)
	f.run(25 * time.Second)
	done := f.completed[0] + f.completed[1] + f.completed[2] - warm
	all := 400
	if done != all {
		t.Errorf("%d of %d requests completed, refusals %v", done, all, f.refusals)
	}
}

// TestOtherHostsTakeOverAfterOwnerFails kills the owner of one of two upstreams
// and checks that the other hosts complete all requests.
func TestOtherHostsTakeOverAfterOwnerFails(t *testing.T) {
	f := newFleet(3, 3, 2, 2, 8)
	f.after(2*time.Second, func() {
		for _, u := range f.upstreams {
			u.cold = false
		}
	})
	f.run(8 * time.Second)
	f.kill(f.nodes[0])
	f.run(5 * time.Second)
	before := f.completed[0]
	for range 20 {
		f.issue(f.nodes[1], 0, 100*time.Millisecond, 4*time.Second, 0)
	}
	f.run(5 * time.Second)
	if got := f.completed[0] - before; got != 20 {
		t.Errorf("%d of 20 requests completed after a host failed, refusals %v", got, f.refusals)
	}
}

// TestCrashingRequestIsRefusedAfterSecondCrash repeats a request that crashes
// every upstream it runs on, among harmless requests.
func TestCrashingRequestIsRefusedAfterSecondCrash(t *testing.T) {
	f := newFleet(5, 3, 4, 2, 8)
	f.crashDigest = 666
	f.after(2*time.Second, func() {
		for _, u := range f.upstreams {
			u.cold = false
		}
	})
	f.run(8 * time.Second)
	f.generateLoad(20*time.Second, 4)
	crashes := 0
	for i := range 10 {
		f.after(time.Duration(i)*1500*time.Millisecond, func() {
			j := f.issue(f.nodes[i%3], 0, time.Second, 4*time.Second, f.crashDigest)
			f.after(1400*time.Millisecond, func() { crashes += j.crashes })
		})
	}
	f.run(25 * time.Second)
	if crashes != 2 {
		t.Errorf("the request crashed %d upstreams, want 2", crashes)
	}
	if f.refusals[admitter.Quarantined] != 8 {
		t.Errorf("%d of 8 repeats were refused as quarantined", f.refusals[admitter.Quarantined])
	}
}

// TestResumedHostGrantsNothingUntilConfirmed suspends the only host while its
// upstream is drained, so that the host resumes with a stale configuration.
func TestResumedHostGrantsNothingUntilConfirmed(t *testing.T) {
	f := newFleet(1, 1, 1, 2, 8)
	f.run(8 * time.Second)
	n := f.nodes[0]
	n.suspendedUntil = f.now.Add(5 * time.Second)
	for i := range 50 {
		f.after(time.Duration(i)*100*time.Millisecond, func() { f.issue(n, 0, 100*time.Millisecond, 20*time.Second, 0) })
	}
	f.after(100*time.Millisecond, func() { f.drain(f.upstreams[0]) })
	f.run(20 * time.Second)
	if len(f.violations) > 0 {
		t.Errorf("%d violations, the first: %s", len(f.violations), f.violations[0])
	}
	if f.refusals[admitter.NoUpstream] == 0 {
		t.Error("no request was refused as noUpstream, so none arrived after the suspension")
	}
}

// TestNewOwnerCountsRequestsOfFormerOwner kills the owner of a cold upstream
// while requests that it granted still run there. The next owner must count
// them against the limit.
func TestNewOwnerCountsRequestsOfFormerOwner(t *testing.T) {
	f := newFleet(1, 3, 1, 2, 8)
	f.run(8 * time.Second)
	u := f.upstreams[0]
	replicas := arbiter.RegionShardMap(f.aliveHosts(), region, 1).Replicas(u.id)
	owner, entry := f.node(replicas[0]), f.node(replicas[1])
	for range 2 {
		f.issue(entry, 0, 25*time.Second, 30*time.Second, 0)
	}
	f.run(time.Second)
	if len(u.running) != 2 {
		t.Fatalf("%d requests run before the owner fails, want 2", len(u.running))
	}
	f.kill(owner)
	f.run(5 * time.Second)
	for range 10 {
		f.issue(entry, 0, 100*time.Millisecond, 60*time.Second, 0)
	}
	f.run(10 * time.Second)
	if len(f.violations) > 0 {
		t.Errorf("%d violations, the first: %s", len(f.violations), f.violations[0])
	}
	f.run(40 * time.Second)
	if f.completed[0] != 12 {
		t.Errorf("%d of 12 requests completed, refusals %v", f.completed[0], f.refusals)
	}
}

// TestReplicaThatLeasedOutItsShareRefusesAsNotOwner sends an admission request
// to a replica whose share is leased to another host. The request must not wait
// there for slots that other hosts hold.
func TestReplicaThatLeasedOutItsShareRefusesAsNotOwner(t *testing.T) {
	f := newFleet(1, 3, 1, 2, 8)
	f.run(10 * time.Second)
	replicas := arbiter.RegionShardMap(f.aliveHosts(), region, 1).Replicas(f.upstreams[0].id)
	second := f.node(replicas[1])
	req := admitter.NewRequest(scheduler.NewRequestID(replicas[0], 1), "w", 0, f.now.Add(time.Minute))
	out := second.arbiter.Admit(arbiter.NewRequest(pool, req, 0), f.now)
	if len(out.Refusals()) != 1 || out.Refusals()[0].Reason() != admitter.NotOwner {
		t.Errorf("got %v, want one refusal as notOwner", out.Refusals())
	}
}

// TestResumedHostWaitsForNewerLoadReport suspends the only host while its
// upstream starts to report that it is leaving.
func TestResumedHostWaitsForNewerLoadReport(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 1, 1, 2, 8)
		f.run(8 * time.Second)
		n, u := f.nodes[0], f.upstreams[0]
		n.suspendedUntil = f.now.Add(5 * time.Second)
		for i := range 50 {
			f.after(time.Duration(i)*100*time.Millisecond, func() { f.issue(n, 0, 100*time.Millisecond, 20*time.Second, 0) })
		}
		f.after(100*time.Millisecond, func() { u.drained, u.leaving = f.now, f.now })
		f.run(20 * time.Second)
		if len(f.violations) > 0 {
			t.Errorf("seed %d: %d violations, the first: %s", seed, len(f.violations), f.violations[0])
		}
	}
}
