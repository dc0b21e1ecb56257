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

// harness is a pool with a virtual clock and a shedder.
type harness struct {
	now     time.Time
	pool    *admitter.Pool
	shedder *shedder.Shedder
	seq     uint64
}

// newHarness returns a pool of one upstream with the given number of slots.
func newHarness(slots int, opts ...admitter.Option) *harness {
	h := &harness{now: time.Unix(1000, 0), shedder: shedder.New(tiers)}
	h.pool = admitter.New("m", tiers, h.shedder, opts...)
	h.slots("u", slots)
	return h
}

// slots sets the slots of an upstream, valid for an hour.
func (h *harness) slots(id scheduler.UpstreamID, n int) admitter.Actions {
	return h.pool.SetSlots(id, n, h.now.Add(time.Hour), h.now)
}

// admit sends an admission request of a workspace, with a deadline after wait.
func (h *harness) admit(w scheduler.WorkspaceID, tier scheduler.Tier, wait time.Duration, opts ...admitter.RequestOption) (scheduler.RequestID, admitter.Actions) {
	h.seq++
	id := scheduler.NewRequestID("h", h.seq)
	return id, h.pool.Admit(admitter.NewRequest(id, w, tier, h.now.Add(wait), opts...), h.now)
}

// finish completes a request that took one second.
func (h *harness) finish(id scheduler.RequestID) admitter.Actions {
	return h.pool.Finish(id, admitter.Complete, admitter.NewUsage(10, 100*time.Millisecond, time.Second), h.now)
}

func TestHigherTierIsGrantedFirst(t *testing.T) {
	h := newHarness(1)
	running, _ := h.admit("w", 0, time.Minute)
	low, _ := h.admit("w", 2, time.Minute)
	middle, _ := h.admit("w", 1, time.Minute)
	high, _ := h.admit("w", 0, time.Minute)
	for i, want := range []scheduler.RequestID{high, middle, low} {
		grants := h.finish(running).Grants()
		if len(grants) != 1 || grants[0].ID() != want {
			t.Fatalf("grant %d: got %v, want %v", i, grants, want)
		}
		running = want
	}
}

func TestWorkspacesShareTierFairly(t *testing.T) {
	h := newHarness(1)
	running, _ := h.admit("a", 0, time.Hour, admitter.WithTokens(10, 10))
	served := map[scheduler.WorkspaceID]int{}
	workspaces := map[scheduler.RequestID]scheduler.WorkspaceID{}
	for range 40 {
		id, _ := h.admit("a", 0, time.Hour, admitter.WithTokens(10, 10))
		workspaces[id] = "a"
	}
	for range 10 {
		id, _ := h.admit("b", 0, time.Hour, admitter.WithTokens(10, 10))
		workspaces[id] = "b"
	}
	for range 20 {
		running = h.finish(running).Grants()[0].ID()
		served[workspaces[running]]++
	}
	if served["b"] < 9 {
		t.Errorf("of 20 slots the workspace with 10 requests got %d, the one with 40 got %d; want at least 9 for the former", served["b"], served["a"])
	}
}

func TestInfeasibleRequestIsRefusedImmediately(t *testing.T) {
	h := newHarness(2)
	id, _ := h.admit("w", 0, time.Minute, admitter.WithTokens(10, 10))
	h.pool.Finish(id, admitter.Complete, admitter.NewUsage(10, 500*time.Millisecond, 1500*time.Millisecond), h.now)
	for range 3 {
		_, _ = h.admit("w", 0, time.Minute, admitter.WithTokens(10, 10))
	}
	_, out := h.admit("w", 0, 5*time.Second, admitter.WithTokens(10, 100))
	if len(out.Refusals()) != 1 || out.Refusals()[0].Reason() != admitter.Late {
		t.Errorf("10 s of output with a 5 s deadline, behind another request: got %v, want a refusal as late", out)
	}
	h.slots("u", 9)
	_, out = h.admit("w", 0, 15*time.Second, admitter.WithTokens(10, 100))
	if len(out.Grants()) != 1 {
		t.Errorf("10 s of output with a 15 s deadline and free slots: got %v, want a grant", out)
	}
}

func TestFullQueueDisplacesLowestTier(t *testing.T) {
	h := newHarness(0, admitter.WithQueueLimit(2))
	_, _ = h.admit("w", 1, time.Minute)
	low, _ := h.admit("w", 2, time.Minute)
	_, out := h.admit("w", 0, time.Minute)
	if len(out.Refusals()) != 1 || out.Refusals()[0].ID() != low {
		t.Errorf("got %v, want the request of the lowest tier refused", out.Refusals())
	}
	if out.Refusals()[0].RetryAfter() <= 0 {
		t.Error("the refusal has no retry-after")
	}
}

func TestUnservableRequestIsRefusedWithReason(t *testing.T) {
	tests := map[string]struct {
		do   func(h *harness)
		want admitter.Reason
	}{
		"upstream closed":  {do: func(h *harness) { h.pool.SetClosed("u", true) }, want: admitter.NoUpstream},
		"stopping":         {do: func(h *harness) { h.pool.Stop(h.now) }, want: admitter.Stopping},
		"upstream removed": {do: func(h *harness) { h.pool.Remove("u") }, want: admitter.NotOwner},
		"tier shed":        {do: func(h *harness) { h.shedder.Shed(0, time.Second, h.now) }, want: admitter.Shed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(1)
			tc.do(h)
			if _, out := h.admit("w", 0, time.Minute); len(out.Refusals()) != 1 || out.Refusals()[0].Reason() != tc.want {
				t.Errorf("got %v, want %v", out, tc.want)
			}
		})
	}
}

// TestQueuedRequestsAreRefusedWhenPoolCloses closes the only upstream while
// requests wait: they must be refused immediately, not at their deadline.
func TestQueuedRequestsAreRefusedWhenPoolCloses(t *testing.T) {
	h := newHarness(1)
	_, _ = h.admit("w", 0, time.Minute)
	_, _ = h.admit("w", 0, time.Minute)
	_, _ = h.admit("w", 1, time.Minute)
	h.pool.SetClosed("u", true)
	out := h.pool.Tick(h.now)
	if len(out.Refusals()) != 2 || out.Refusals()[0].Reason() != admitter.NoUpstream {
		t.Errorf("got %v, want two refusals for lack of an open upstream", out.Refusals())
	}
}

// TestEveryRequestEndsOnce applies random requests, finishes, withdrawals and
// changes of slots. Every request must be granted or refused at most once, and
// no request of a lower tier may be granted while one of a higher tier waits.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(rapid.IntRange(0, 3).Draw(t, "slots"), admitter.WithQueueLimit(8))
		slots := map[scheduler.UpstreamID]int{}
		waiting := map[scheduler.RequestID]scheduler.Tier{}
		running := map[scheduler.RequestID]scheduler.UpstreamID{}
		check := func(out admitter.Actions) {
			for _, g := range out.Grants() {
				tier, ok := waiting[g.ID()]
				if !ok {
					t.Fatalf("%v granted although it was no longer waiting", g.ID())
				}
				delete(waiting, g.ID())
				running[g.ID()] = g.Upstream()
				for _, higher := range waiting {
					if higher < tier && h.pool.Queued(higher) > 0 {
						t.Fatalf("tier %d granted while tier %d waits", tier, higher)
					}
				}
			}
			for _, r := range out.Refusals() {
				if _, ok := waiting[r.ID()]; !ok {
					t.Fatalf("%v refused although it was no longer waiting", r.ID())
				}
				delete(waiting, r.ID())
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				h.seq++
				id := scheduler.NewRequestID("h", h.seq)
				tier := scheduler.Tier(rapid.IntRange(0, 2).Draw(t, "tier"))
				waiting[id] = tier
				wait := time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond
				w := scheduler.WorkspaceID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "workspace")))
				check(h.pool.Admit(admitter.NewRequest(id, w, tier, h.now.Add(wait)), h.now))
			case 2:
				for id := range running {
					delete(running, id)
					check(h.finish(id))
					break
				}
			case 3:
				for id := range waiting {
					if h.pool.Withdraw(id) {
						delete(waiting, id)
					}
					break
				}
			case 4:
				id := scheduler.UpstreamID(fmt.Sprint("u", rapid.IntRange(0, 1).Draw(t, "upstream")))
				slots[id] = rapid.IntRange(0, 4).Draw(t, "n")
				check(h.slots(id, slots[id]))
			default:
				check(h.pool.Tick(h.now))
			}
		}
	})
}

func TestUpstreamRunsOneSuspectAtATime(t *testing.T) {
	h := newHarness(4)
	first, out := h.admit("w", 0, time.Minute, admitter.WithSuspect(true))
	if len(out.Grants()) != 1 {
		t.Fatal("the first suspect was not granted")
	}
	if _, out := h.admit("w", 0, time.Minute, admitter.WithSuspect(true)); len(out.Grants()) != 0 {
		t.Error("two suspects were granted on one upstream")
	}
	if out := h.finish(first); len(out.Grants()) != 1 {
		t.Error("the second suspect was not granted after the first finished")
	}
}

func BenchmarkAdmitAndFinish(b *testing.B) {
	h := newHarness(1 << 30)
	for i := range 6 {
		h.slots(scheduler.UpstreamID(fmt.Sprint("u", i)), 1<<20)
	}
	b.ReportAllocs()
	for b.Loop() {
		id, _ := h.admit("w", 1, time.Minute, admitter.WithTokens(100, 100), admitter.WithPrefix(7))
		h.finish(id)
	}
}

func BenchmarkQueueOf100000(b *testing.B) {
	h := newHarness(1)
	running, _ := h.admit("w", 0, time.Hour)
	for i := range 100_000 {
		h.admit(scheduler.WorkspaceID(fmt.Sprint("w", i%2000)), scheduler.Tier(i%3), time.Hour)
	}
	b.ReportAllocs()
	for b.Loop() {
		h.admit("w7", 0, time.Hour)
		running = h.finish(running).Grants()[0].ID()
	}
}
