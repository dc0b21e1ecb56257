package coordinator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/registrar"
)

// TestMain fixes the seed of property tests.
func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

// greedy is a workspace that asks for more than its share.
type greedy struct {
	prompt, output int
	// gap is the mean time between two requests, next the time of the next one.
	gap, next time.Duration
	served    float64
}

// TestGreedyWorkspacesGetEqualWork guards against shares that depend on the size of the
// requests or on how many are asked: over 10 s, workspaces that ask for more than their
// share are served the same work, no slot is idle, and one that asks for little is served.
func TestGreedyWorkspacesGetEqualWork(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const (
			slots, from, to = 12, 3 * time.Second, 13 * time.Second
			// The sums decay within 2 s, so what a workspace is served more in one window
			// is not taken back in another; this adds up to a few in 100 over 10 s.
			tolerance, leastLight = 0.05, 0.6
		)
		c := coordinator.New("process", coordinator.Bounds{}, coordinator.WithFeatures(coordinator.Features{FairShares: true}))
		c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}}, start)
		c.SetUpstreams([]registrar.Entry{{ID: "a", Pool: "engines", Domain: "d", Slots: slots / 2}, {ID: "b", Pool: "engines", Domain: "d", Slots: slots / 2}}, start)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		n := rapid.IntRange(2, 8).Draw(t, "greedy")
		large := 0.0
		list := make([]*greedy, n)
		for i := range list {
			list[i] = &greedy{prompt: rapid.IntRange(0, 4000).Draw(t, "prompt"), output: rapid.IntRange(1, 60).Draw(t, "output")}
			hold := holdOf(list[i].prompt, list[i].output)
			large = max(large, hold.Seconds())
			excess := rapid.Float64Range(1.5, 3).Draw(t, "excess")
			list[i].gap = time.Duration(float64(hold) * float64(n) / slots / excess)
		}
		owners, ends := map[uint64]int{}, map[uint64]time.Duration{}
		id, lightAsked, lightServed := uint64(0), 0, 0
		admit := func(i int, at time.Duration) {
			id++
			owners[id] = i
			r := coordinator.Request{ID: id, Pool: "engines", Workspace: fmt.Sprint(i), Objective: 500 * time.Millisecond, Left: 3 * time.Second, Prompt: 100, Output: 4}
			if i < n {
				r.Prompt, r.Output = list[i].prompt, list[i].output
			}
			c.Admit("entry", r, start.Add(at))
		}
		var order []uint64
		for at := time.Duration(0); at < to; at += 2 * time.Millisecond {
			now := start.Add(at)
			kept := order[:0]
			for _, x := range order {
				if ends[x] > at {
					kept = append(kept, x)
					continue
				}
				c.Finish("entry", coordinator.Finish{ID: x, FirstToken: time.Millisecond, Total: time.Millisecond}, now)
			}
			order = kept
			for i := range n {
				for g := list[i]; g.next <= at; g.next += time.Duration(rnd.ExpFloat64() * float64(g.gap)) {
					admit(i, at)
				}
			}
			if rnd.Float64() < 0.008 {
				admit(n, at)
				lightAsked++
			}
			for _, d := range c.Advance(now) {
				i := owners[d.ID]
				if d.Upstream == "" {
					continue
				}
				hold := 70 * time.Millisecond
				if i < n {
					hold = holdOf(list[i].prompt, list[i].output)
				}
				ends[d.ID] = at + hold
				order = append(order, d.ID)
				switch {
				case i == n:
					lightServed++
				case at >= from:
					list[i].served += hold.Seconds()
				}
			}
			if l := c.Loads(now)[0]; l.Waiting > 0 && l.Running < l.Slots {
				t.Fatalf("%d requests wait at %v while %d of %d slots are in use", l.Waiting, at, l.Running, l.Slots)
			}
		}
		total := 0.0
		for _, g := range list {
			total += g.served
		}
		level := total / float64(n)
		for i, g := range list {
			if off := math.Abs(g.served - level); off > large+tolerance*level {
				t.Errorf("workspace %d with requests of %v was served %.2f s of slots, want %.2f within one request of %.2f and %.0f%%", i, holdOf(g.prompt, g.output), g.served, level, large, tolerance*100)
			}
		}
		if float64(lightServed) < leastLight*float64(lightAsked) {
			t.Errorf("%d of %d requests of the workspace that asks for little were served", lightServed, lightAsked)
		}
	})
}

// TestKindsAndSizes guards against kinds, sizes, tiers and workspaces that shares starve:
// three kinds of requests, of which streams hold a slot for longest, come from workspaces
// of two tiers, one of which asks for far more than the others.
func TestKindsAndSizes(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := &shareTrial{features: coordinator.Features{FairShares: true}, domains: 1, slots: 18, length: 12 * time.Second, countFrom: 2 * time.Second, seed: rapid.Uint64().Draw(t, "seed")}
		n := rapid.IntRange(3, 8).Draw(t, "workspaces")
		excess := rapid.Float64Range(1, 2).Draw(t, "excess")
		const perRequest = (0.369 + 0.2 + 1.45) / 3
		for i := range n + 1 {
			tier, perSecond := 0, excess*float64(s.slots)/perRequest/float64(n+2)/3
			switch i {
			case 0:
				perSecond *= 2
			case n:
				tier, perSecond = 1, perSecond/2
			}
			name := fmt.Sprint("workspace-", i)
			for p, k := range kinds {
				for _, size := range []float64{0.5, 2} {
					s.demands = append(s.demands, demand{workspace: name, tier: tier, priority: p, perSecond: perSecond * (2.5 - size) / 2, prompt: int(k.prompt * size), output: int(k.output * size)})
				}
			}
		}
		s.run()
		in := func(tier int) float64 { return s.fraction(func(d demand) bool { return d.tier == tier }) }
		// At about the capacity, a burst of the higher tier may be refused while requests of
		// the lower one come at a better time.
		if in(0) < in(1)-0.02 {
			t.Errorf("the lower tier was served %.3f, the higher %.3f", in(1), in(0))
		}
		all := in(0)
		for _, d := range s.demands {
			same := func(of func(x demand) bool) float64 {
				return s.fraction(func(x demand) bool { return x.tier == 0 && of(x) })
			}
			if d.tier > 0 {
				continue
			}
			workspace := same(func(x demand) bool { return x.workspace == d.workspace })
			kind := same(func(x demand) bool { return x.priority == d.priority })
			size := same(func(x demand) bool { return x.priority == d.priority && x.prompt == d.prompt })
			if workspace < all/4 || kind < all/4 || size < kind/2 {
				t.Errorf("%+v: workspace served %.3f, kind %.3f, size %.3f, all %.3f", d, workspace, kind, size, all)
			}
		}
		if s.idle > 0 {
			t.Errorf("a slot was idle while requests waited, %d times", s.idle)
		}
	})
}
