package admitter_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/shedder"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

const tiers = 3

// bench is a pool with its clock and ladder.
type bench struct {
	now  time.Time
	pool *admitter.Pool
	gate *shedder.Ladder
	seq  uint64
}

// newBench returns a pool of one upstream with some slots.
func newBench(slots int, opts ...admitter.Option) *bench {
	b := &bench{now: time.Unix(1000, 0), gate: shedder.New(tiers)}
	b.pool = admitter.New("m", tiers, b.gate, opts...)
	b.slots("u", slots)
	return b
}

// slots sets the slots of an upstream for a long time.
func (b *bench) slots(id scheduler.UpstreamID, n int) admitter.Orders {
	return b.pool.SetSlots(id, n, b.now.Add(time.Hour), b.now)
}

// ask asks for a workspace.
func (b *bench) ask(w scheduler.WorkspaceID, tier scheduler.Tier, wait time.Duration, opts ...admitter.RequestOption) (scheduler.RequestID, admitter.Orders) {
	b.seq++
	id := scheduler.NewRequestID("h", b.seq)
	return id, b.pool.Ask(admitter.NewRequest(id, w, tier, b.now.Add(wait), opts...), b.now)
}

// finish ends a request after it took a second.
func (b *bench) finish(id scheduler.RequestID) admitter.Orders {
	return b.pool.Finish(id, admitter.Complete, admitter.NewUsage(10, 100*time.Millisecond, time.Second), b.now)
}

func TestHigherTierFirst(t *testing.T) {
	b := newBench(1)
	running, _ := b.ask("w", 0, time.Minute)
	low, _ := b.ask("w", 2, time.Minute)
	middle, _ := b.ask("w", 1, time.Minute)
	high, _ := b.ask("w", 0, time.Minute)
	for i, want := range []scheduler.RequestID{high, middle, low} {
		grants := b.finish(running).Grants()
		if len(grants) != 1 || grants[0].ID() != want {
			t.Fatalf("grant %d: got %v, want %v", i, grants, want)
		}
		running = want
	}
}

func TestWorkspacesShareATier(t *testing.T) {
	b := newBench(1)
	running, _ := b.ask("a", 0, time.Hour, admitter.WithTokens(10, 10))
	served := map[scheduler.WorkspaceID]int{}
	owner := map[scheduler.RequestID]scheduler.WorkspaceID{}
	for range 40 {
		id, _ := b.ask("a", 0, time.Hour, admitter.WithTokens(10, 10))
		owner[id] = "a"
	}
	for range 10 {
		id, _ := b.ask("b", 0, time.Hour, admitter.WithTokens(10, 10))
		owner[id] = "b"
	}
	for range 20 {
		running = b.finish(running).Grants()[0].ID()
		served[owner[running]]++
	}
	if served["b"] < 9 {
		t.Errorf("of 20 slots the light workspace got %d, the heavy one %d", served["b"], served["a"])
	}
}

func TestInfeasibleAsksAreRefusedAtOnce(t *testing.T) {
	b := newBench(2)
	id, _ := b.ask("w", 0, time.Minute, admitter.WithTokens(10, 10))
	b.pool.Finish(id, admitter.Complete, admitter.NewUsage(10, 500*time.Millisecond, 1500*time.Millisecond), b.now)
	for range 3 {
		_, _ = b.ask("w", 0, time.Minute, admitter.WithTokens(10, 10))
	}
	_, o := b.ask("w", 0, 5*time.Second, admitter.WithTokens(10, 100))
	if len(o.Refusals()) != 1 || o.Refusals()[0].Reason() != admitter.Late {
		t.Errorf("100 tokens at 100 ms each within 5 s, behind another: got %v", o)
	}
	b.slots("u", 9)
	_, o = b.ask("w", 0, 15*time.Second, admitter.WithTokens(10, 100))
	if len(o.Grants()) != 1 {
		t.Errorf("100 tokens at 100 ms each within 15 s: got %v", o)
	}
}

func TestFullQueueDisplacesTheLowestTier(t *testing.T) {
	b := newBench(0, admitter.WithQueue(2))
	_, _ = b.ask("w", 1, time.Minute)
	low, _ := b.ask("w", 2, time.Minute)
	_, o := b.ask("w", 0, time.Minute)
	if len(o.Refusals()) != 1 || o.Refusals()[0].ID() != low {
		t.Errorf("got %v, want the ask of the lowest tier refused", o.Refusals())
	}
	if o.Refusals()[0].RetryAfter() <= 0 {
		t.Error("a shed caller is not told when to come back")
	}
}

func TestRefusedWhenNothingIsOpen(t *testing.T) {
	tests := map[string]struct {
		do   func(b *bench)
		want admitter.Reason
	}{
		"closed":   {do: func(b *bench) { b.pool.SetClosed("u", true) }, want: admitter.NoUpstream},
		"stopping": {do: func(b *bench) { b.pool.Stop(b.now) }, want: admitter.Stopping},
		"removed":  {do: func(b *bench) { b.pool.Remove("u") }, want: admitter.NotOwner},
		"shut":     {do: func(b *bench) { b.gate.Asked(0, time.Second, b.now) }, want: admitter.Shed},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(1)
			x.do(b)
			if _, o := b.ask("w", 0, time.Minute); len(o.Refusals()) != 1 || o.Refusals()[0].Reason() != x.want {
				t.Errorf("got %v, want %v", o, x.want)
			}
		})
	}
}

// TestWaitingAsksMoveOnWhenThePoolCloses takes the only upstream out while asks
// wait; they are told at once and not at their deadline.
func TestWaitingAsksMoveOnWhenThePoolCloses(t *testing.T) {
	b := newBench(1)
	_, _ = b.ask("w", 0, time.Minute)
	_, _ = b.ask("w", 0, time.Minute)
	_, _ = b.ask("w", 1, time.Minute)
	b.pool.SetClosed("u", true)
	o := b.pool.Tick(b.now)
	if len(o.Refusals()) != 2 || o.Refusals()[0].Reason() != admitter.NoUpstream {
		t.Errorf("got %v, want two refusals because nothing is open", o.Refusals())
	}
}

// TestEveryAskEndsOnce lets random asks, ends, withdrawals and changes of
// slots come; every ask is answered at most once, in-flight work never exceeds
// the slots by new grants, and nothing of a lower tier is granted while a
// higher one waits.
func TestEveryAskEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(rapid.IntRange(0, 3).Draw(t, "slots"), admitter.WithQueue(8))
		slots := map[scheduler.UpstreamID]int{}
		open := map[scheduler.RequestID]scheduler.Tier{}
		running := map[scheduler.RequestID]scheduler.UpstreamID{}
		take := func(o admitter.Orders) {
			for _, g := range o.Grants() {
				tier, ok := open[g.ID()]
				if !ok {
					t.Fatalf("%v granted although it had ended", g.ID())
				}
				delete(open, g.ID())
				running[g.ID()] = g.Upstream()
				for _, higher := range open {
					if higher < tier && b.pool.Queued(higher) > 0 {
						t.Fatalf("tier %d granted while tier %d waits", tier, higher)
					}
				}
			}
			for _, r := range o.Refusals() {
				if _, ok := open[r.ID()]; !ok {
					t.Fatalf("%v refused although it had ended", r.ID())
				}
				delete(open, r.ID())
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				b.seq++
				id := scheduler.NewRequestID("h", b.seq)
				tier := scheduler.Tier(rapid.IntRange(0, 2).Draw(t, "tier"))
				open[id] = tier
				wait := time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond
				w := scheduler.WorkspaceID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "workspace")))
				take(b.pool.Ask(admitter.NewRequest(id, w, tier, b.now.Add(wait)), b.now))
			case 2:
				for id := range running {
					delete(running, id)
					take(b.finish(id))
					break
				}
			case 3:
				for id := range open {
					if b.pool.Withdraw(id) {
						delete(open, id)
					}
					break
				}
			case 4:
				id := scheduler.UpstreamID(fmt.Sprint("u", rapid.IntRange(0, 1).Draw(t, "upstream")))
				slots[id] = rapid.IntRange(0, 4).Draw(t, "n")
				take(b.slots(id, slots[id]))
			default:
				take(b.pool.Tick(b.now))
			}
		}
	})
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	b := newBench(4)
	first, o := b.ask("w", 0, time.Minute, admitter.WithSuspect(true))
	if len(o.Grants()) != 1 {
		t.Fatal("the first suspect is not granted")
	}
	if _, o := b.ask("w", 0, time.Minute, admitter.WithSuspect(true)); len(o.Grants()) != 0 {
		t.Error("two suspects run on one upstream")
	}
	if o := b.finish(first); len(o.Grants()) != 1 {
		t.Error("the second suspect does not follow the first")
	}
}

func BenchmarkAskAndFinish(b *testing.B) {
	x := newBench(1 << 30)
	for i := range 6 {
		x.slots(scheduler.UpstreamID(fmt.Sprint("u", i)), 1<<20)
	}
	b.ReportAllocs()
	for b.Loop() {
		id, _ := x.ask("w", 1, time.Minute, admitter.WithTokens(100, 100), admitter.WithPrefix(7))
		x.finish(id)
	}
}

func BenchmarkQueueOf100000(b *testing.B) {
	x := newBench(1)
	running, _ := x.ask("w", 0, time.Hour)
	for i := range 100_000 {
		x.ask(scheduler.WorkspaceID(fmt.Sprint("w", i%2000)), scheduler.Tier(i%3), time.Hour)
	}
	b.ReportAllocs()
	for b.Loop() {
		x.ask("w7", 0, time.Hour)
		running = x.finish(running).Grants()[0].ID()
	}
}
