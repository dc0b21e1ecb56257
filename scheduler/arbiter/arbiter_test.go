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

// TestMain fixes rapid's seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

// TestSettledFleetHoldsAllSlots lets a fleet settle and looks whether every
// upstream's owner has the whole of its limit.
func TestSettledFleetHoldsAllSlots(t *testing.T) {
	f := newFleet(1, 3, 4, 2, 8)
	f.run(10 * time.Second)
	for _, b := range f.backends {
		slots := 0
		for _, n := range f.nodes {
			for _, s := range n.arbiter.Status(f.now) {
				if s.ID() == b.id {
					slots = max(slots, s.Slots())
				}
			}
		}
		if slots != 2 {
			t.Errorf("%s: the owner has %d slots, want the cold limit of 2", b.id, slots)
		}
	}
}

// load issues requests at random hosts for a time.
func (f *fleet) load(d time.Duration, perSecond int) {
	n := int(d.Seconds() * float64(perSecond))
	for range n {
		f.after(time.Duration(f.rng.Int64N(int64(d))), func() {
			entry := f.nodes[f.rng.IntN(len(f.nodes))]
			if entry.dead {
				return
			}
			tier := scheduler.Tier(f.rng.IntN(f.tiers))
			length := 50*time.Millisecond + time.Duration(f.rng.Int64N(int64(f.longest)))
			f.issue(entry, tier, length, 4*time.Second, quarantiner.Digest(f.rng.Uint64()))
		})
	}
}

// fault is one thing that goes wrong.
type fault struct {
	kind   int
	target int
	at     time.Duration
	last   time.Duration
}

// The kinds of faults.
const (
	faultKill = iota
	faultPause
	faultPart
	faultCrash
	faultLoss
	faultDrain
	faultLeave
	faultKinds
)

// strike carries a fault out.
func (f *fleet) strike(x fault) {
	n := f.nodes[x.target%len(f.nodes)]
	b := f.backends[x.target%len(f.backends)]
	switch x.kind {
	case faultKill:
		if n.dead {
			return
		}
		f.kill(n)
		f.after(x.last, func() {
			n.view = f.truth()
			f.boot(n)
			f.listsChange()
		})
	case faultPause:
		if end := f.now.Add(x.last); end.After(n.paused) {
			n.paused = end
		}
	case faultPart:
		n.side = 1 - n.side
		f.after(x.last, func() { n.side = 0 })
	case faultCrash:
		f.crash(b)
	case faultLoss:
		f.lossy = 0.2
		f.after(x.last, func() { f.lossy = 0 })
	case faultLeave:
		if b.drained.IsZero() {
			b.drained, b.leaving = f.now, f.now
		}
	case faultDrain:
		if b.drained.IsZero() {
			f.drain(b)
		}
	}
}

// TestPromisesUnderRandomFaults throws random faults, several at a time, at a
// fleet under load: no request is dispatched twice, no upstream gets more than
// its limit or, in cold start, more than it tolerates, and none that was taken out
// gets new work after three seconds.
func TestPromisesUnderRandomFaults(t *testing.T) {
	coldWork := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "upstreams"), rapid.IntRange(1, 3).Draw(t, "cold"), 8)
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{
				kind:   rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
				target: rapid.IntRange(0, 6).Draw(t, "target"),
				at:     time.Duration(rapid.IntRange(0, 15000).Draw(t, "at")) * time.Millisecond,
				last:   time.Duration(rapid.IntRange(10, 6000).Draw(t, "last")) * time.Millisecond,
			}
		}), 0, 6).Draw(t, "faults")
		for _, b := range f.backends {
			warm := time.Duration(rapid.IntRange(0, 12000).Draw(t, "warmAt")) * time.Millisecond
			f.after(warm, func() { b.cold = b.cold && b.epoch > 0 })
		}
		for _, x := range faults {
			f.after(x.at, func() { f.strike(x) })
		}
		f.longest = time.Duration(rapid.IntRange(100, 10000).Draw(t, "longest")) * time.Millisecond
		f.load(20*time.Second, rapid.IntRange(5, 60).Draw(t, "perSecond"))
		f.run(25 * time.Second)
		coldWork += f.coldWork
		if len(f.violations) > 0 {
			t.Fatalf("%d violations, the first: %s", len(f.violations), f.violations[0])
		}
	})
	if coldWork == 0 {
		t.Error("no cold upstream ever got work, so nothing was tested")
	}
}

// TestFleetServesAfterSettling makes sure that the world does work, so that
// the safety tests are not passed by doing nothing.
func TestFleetServesAfterSettling(t *testing.T) {
	f := newFleet(1, 3, 4, 2, 8)
	f.after(2*time.Second, func() {
		for _, b := range f.backends {
			b.cold = false
		}
	})
	f.run(8 * time.Second)
	f.load(10*time.Second, 5)
	f.run(15 * time.Second)
	warm := f.completed[0] + f.completed[1] + f.completed[2]
	f.load(20*time.Second, 20)
	f.run(25 * time.Second)
	done := f.completed[0] + f.completed[1] + f.completed[2] - warm
	all := 400
	if done != all {
		t.Errorf("%d of %d completed, refusals %v", done, all, f.refusals)
	}
}

// TestTakeover kills the owner of everything and looks whether others serve.
func TestTakeover(t *testing.T) {
	f := newFleet(3, 3, 2, 2, 8)
	f.after(2*time.Second, func() {
		for _, b := range f.backends {
			b.cold = false
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
		t.Errorf("%d of 20 completed after a host died, refusals %v", got, f.refusals)
	}
}

// TestPoisonIsRefusedAfterTheSecondCrash has a caller send a request again and
// again that crashes each upstream, beside harmless work.
func TestPoisonIsRefusedAfterTheSecondCrash(t *testing.T) {
	f := newFleet(5, 3, 4, 2, 8)
	f.poison = 666
	f.after(2*time.Second, func() {
		for _, b := range f.backends {
			b.cold = false
		}
	})
	f.run(8 * time.Second)
	f.load(20*time.Second, 4)
	crashes := 0
	for i := range 10 {
		f.after(time.Duration(i)*1500*time.Millisecond, func() {
			j := f.issue(f.nodes[i%3], 0, time.Second, 4*time.Second, f.poison)
			f.after(1400*time.Millisecond, func() { crashes += j.crashes })
		})
	}
	f.run(25 * time.Second)
	if crashes != 2 {
		t.Errorf("the request crashed %d upstreams, want 2", crashes)
	}
	if f.refusals[admitter.Quarantined] != 8 {
		t.Errorf("%d of 8 repeats were quarantined", f.refusals[admitter.Quarantined])
	}
}

// TestWokenHostGrantsNothingUntilConfirmed pauses the only host over the update
// that its upstream was taken out.
func TestWokenHostGrantsNothingUntilConfirmed(t *testing.T) {
	f := newFleet(1, 1, 1, 2, 8)
	f.run(8 * time.Second)
	n := f.nodes[0]
	n.paused = f.now.Add(5 * time.Second)
	for i := range 50 {
		f.after(time.Duration(i)*100*time.Millisecond, func() { f.issue(n, 0, 100*time.Millisecond, 20*time.Second, 0) })
	}
	f.after(100*time.Millisecond, func() { f.drain(f.backends[0]) })
	f.run(20 * time.Second)
	if len(f.violations) > 0 {
		t.Errorf("%d violations, the first: %s", len(f.violations), f.violations[0])
	}
	if f.refusals[admitter.NoUpstream] == 0 {
		t.Error("nothing was refused, so nothing was asked after the pause")
	}
}

// TestTakeoverCountsWorkOfTheFormerOwner kills the owner of a cold upstream
// while requests it granted still run there; the next owner has to leave room
// for them.
func TestTakeoverCountsWorkOfTheFormerOwner(t *testing.T) {
	f := newFleet(1, 3, 1, 2, 8)
	f.run(8 * time.Second)
	b := f.backends[0]
	guardians := arbiter.RegionShardMap(f.truth(), region, 1).Replicas(b.id)
	owner, entry := f.node(guardians[0]), f.node(guardians[1])
	for range 2 {
		f.issue(entry, 0, 25*time.Second, 30*time.Second, 0)
	}
	f.run(time.Second)
	if len(b.running) != 2 {
		t.Fatalf("%d requests run before the owner dies, want 2", len(b.running))
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
		t.Errorf("%d of 12 completed in the end, refusals %v", f.completed[0], f.refusals)
	}
}

// TestGuardianThatLentEverythingSendsAsksOn asks a guardian whose share is
// lent; the ask must not wait there for slots that others have.
func TestGuardianThatLentEverythingSendsAsksOn(t *testing.T) {
	f := newFleet(1, 3, 1, 2, 8)
	f.run(10 * time.Second)
	guardians := arbiter.RegionShardMap(f.truth(), region, 1).Replicas(f.backends[0].id)
	second := f.node(guardians[1])
	ask := admitter.NewRequest(scheduler.NewRequestID(guardians[0], 1), "w", 0, f.now.Add(time.Minute))
	o := second.arbiter.Admit(arbiter.NewRequest(pool, ask, 0), f.now)
	if len(o.Refusals()) != 1 || o.Refusals()[0].Reason() != admitter.NotOwner {
		t.Errorf("got %v, want that it is not the owner", o.Refusals())
	}
}

// TestWokenHostWaitsForAYoungerLoadReport pauses the only host while its
// upstream says in load reports that it is leaving.
func TestWokenHostWaitsForAYoungerLoadReport(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 1, 1, 2, 8)
		f.run(8 * time.Second)
		n, b := f.nodes[0], f.backends[0]
		n.paused = f.now.Add(5 * time.Second)
		for i := range 50 {
			f.after(time.Duration(i)*100*time.Millisecond, func() { f.issue(n, 0, 100*time.Millisecond, 20*time.Second, 0) })
		}
		f.after(100*time.Millisecond, func() { b.drained, b.leaving = f.now, f.now })
		f.run(20 * time.Second)
		if len(f.violations) > 0 {
			t.Errorf("seed %d: %d violations, the first: %s", seed, len(f.violations), f.violations[0])
		}
	}
}
