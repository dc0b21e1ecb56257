package balancer_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/balancer"
	_ "foxtaillug.org/scheduler/internal/rapidseed"
)

const ms = time.Millisecond

// room returns the room of a domain that does 40 s of work per second, has free slots and
// lets every rank wait.
func room(free int, wait time.Duration) balancer.Room {
	r := balancer.Room{Rate: 40, Free: free, FirstToken: 1}
	if free == 0 {
		r.Waits = []int{int(wait / ms)}
	}
	return r
}

// peer returns a domain that only one coordinator redirects requests to.
func peer(domain string, far bool, r balancer.Room) balancer.Peer {
	return balancer.Peer{Domain: domain, Far: far, Room: r, Known: true, Senders: 1}
}

func TestChoose(t *testing.T) {
	r := balancer.Request{Left: 400 * ms, FirstToken: 100 * ms, Work: 300 * ms, Bytes: 1e4}
	misses, meets := balancer.Home{Wait: 500 * ms}, balancer.Home{InTime: true, Wait: 50 * ms}
	old := balancer.Peer{Domain: "old", Room: balancer.Room{Free: 2}, Senders: 1}
	tests := map[string]struct {
		home   balancer.Home
		peers  []balancer.Peer
		budget float64
		left   time.Duration
		want   string
	}{
		"no other domain": {home: misses},
		"home meets the objective, others have queues":   {home: meets, peers: []balancer.Peer{peer("a", false, room(0, 10*ms))}},
		"a near slot is free":                            {home: meets, peers: []balancer.Peer{peer("a", false, room(1, 0))}, want: "a"},
		"a distant slot is free, home meets":             {home: meets, peers: []balancer.Peer{peer("a", true, room(1, 0))}, budget: 1e6},
		"a distant slot is free, home misses":            {home: misses, peers: []balancer.Peer{peer("a", true, room(1, 0))}, budget: 1e6, want: "a"},
		"the link has no budget":                         {home: misses, peers: []balancer.Peer{peer("a", true, room(1, 0))}, budget: 9e3},
		"near before distant":                            {home: misses, peers: []balancer.Peer{peer("a", true, room(9, 0)), peer("b", false, room(0, 100*ms))}, budget: 1e6, want: "b"},
		"shorter wait of two near ones":                  {home: misses, peers: []balancer.Peer{peer("a", false, room(0, 90*ms)), peer("b", false, room(0, 80*ms))}, want: "b"},
		"a wait that may just miss the objective":        {home: misses, peers: []balancer.Peer{peer("a", false, room(0, 220*ms))}},
		"a wait that meets it":                           {home: misses, peers: []balancer.Peer{peer("a", false, room(0, 190*ms))}, want: "a"},
		"the way to a distant domain counts":             {home: misses, peers: []balancer.Peer{peer("a", true, room(0, 190*ms))}, budget: 1e6},
		"a slower domain needs longer for the prompt":    {home: misses, peers: []balancer.Peer{peer("a", false, func() balancer.Room { x := room(0, 100*ms); x.FirstToken = 3; return x }())}},
		"a request that is late takes only a free slot":  {home: misses, left: -ms, peers: []balancer.Peer{peer("a", false, room(0, ms)), peer("b", false, room(1, 0))}, want: "b"},
		"the wait at home is shorter":                    {home: balancer.Home{Wait: 90 * ms}, peers: []balancer.Peer{peer("a", false, room(0, 100*ms))}},
		"a stale room":                                   {home: misses, peers: []balancer.Peer{{Domain: "a", Room: room(24, 0), Known: true, Senders: 1, Age: time.Second}}},
		"an older room counts less":                      {home: misses, peers: []balancer.Peer{{Domain: "a", Room: room(2, 0), Known: true, Senders: 1, Age: 700 * ms}}},
		"free slots are used up by what was sent":        {home: meets, peers: []balancer.Peer{{Domain: "a", Room: room(2, 0), Known: true, Senders: 1, Sent: 2, SentWork: ms}}},
		"slots are dealt to the senders, not this one":   {home: meets, peers: []balancer.Peer{{Domain: "a", Room: room(2, 0), Known: true, Senders: 5, Sender: 2}}},
		"slots are dealt to the senders, this one":       {home: meets, peers: []balancer.Peer{{Domain: "a", Room: room(2, 0), Known: true, Senders: 5, Sender: 1}}, want: "a"},
		"what was sent waits there":                      {home: misses, peers: []balancer.Peer{{Domain: "a", Room: room(0, 100*ms), Known: true, Senders: 1, SentWork: 4 * time.Second}}},
		"the others have sent as much":                   {home: misses, peers: []balancer.Peer{{Domain: "a", Room: room(0, 100*ms), Known: true, Senders: 4, SentWork: time.Second}}},
		"an earlier build with free slots":               {home: misses, peers: []balancer.Peer{old}, want: "old"},
		"an earlier build without free slots":            {home: misses, peers: []balancer.Peer{{Domain: "old", Senders: 1}}},
		"home is evacuated, all have queues":             {home: balancer.Home{Unable: true}, peers: []balancer.Peer{peer("a", false, room(0, 900*ms)), peer("b", true, room(0, 800*ms))}, want: "b"},
		"home is evacuated, a distant slot is free":      {home: balancer.Home{Unable: true}, peers: []balancer.Peer{peer("a", false, room(0, 9*ms)), peer("b", true, room(1, 0))}, want: "b"},
		"home is evacuated, near and distant slots":      {home: balancer.Home{Unable: true}, peers: []balancer.Peer{peer("a", true, room(9, 0)), peer("b", false, room(1, 0))}, want: "b"},
		"home is evacuated, queues of an earlier build":  {home: balancer.Home{Unable: true}, peers: []balancer.Peer{{Domain: "a", Room: balancer.Room{Free: -9}}, {Domain: "b", Room: balancer.Room{Free: -7}}}, want: "b"},
		"home is evacuated, a queue of an earlier build": {home: balancer.Home{Unable: true}, peers: []balancer.Peer{{Domain: "a", Room: balancer.Room{Free: -1}}, peer("b", false, room(0, time.Second))}, want: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := r
			if test.left != 0 {
				x.Left = test.left
			}
			got, ok := balancer.Choose(x, test.home, test.peers, test.budget)
			if got != test.want || ok != (test.want != "") {
				t.Errorf("chose %q, %v, want %q", got, ok, test.want)
			}
		})
	}
}

// TestSendersShareFreeSlots guards against herding: all senders together use each free slot
// of a room once, and no sender uses two more than another.
func TestSendersShareFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free, n, round := rapid.IntRange(0, 60).Draw(t, "free"), rapid.IntRange(1, 8).Draw(t, "senders"), rapid.Uint64().Draw(t, "round")
		var parts []int
		sum := 0
		for i := range n {
			x := room(free, 0)
			x.Round = round
			p := balancer.Peer{Domain: "a", Room: x, Known: true, Senders: n, Sender: i}
			// A sender whose home meets the objective uses free slots only.
			for {
				if _, ok := balancer.Choose(balancer.Request{}, balancer.Home{InTime: true}, []balancer.Peer{p}, 0); !ok {
					break
				}
				p.Sent++
			}
			parts, sum = append(parts, p.Sent), sum+p.Sent
		}
		if sum != free || slices.Max(parts)-slices.Min(parts) > 1 {
			t.Fatalf("%d senders use %v of %d slots", n, parts, free)
		}
	})
}

// TestHomeThatMeetsIsNotLeft checks for any rooms that a request stays at home while home
// meets its objective and no near slot is free, and crosses regions only within the budget.
func TestHomeThatMeetsIsNotLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []balancer.Peer
		for range rapid.IntRange(0, 5).Draw(t, "peers") {
			peers = append(peers, balancer.Peer{
				Domain: string(rune('a' + len(peers))), Far: rapid.Bool().Draw(t, "far"), Known: rapid.Bool().Draw(t, "known"),
				Room: room(rapid.IntRange(0, 3).Draw(t, "free"), time.Duration(rapid.IntRange(0, 900).Draw(t, "wait"))*ms),
				Age:  time.Duration(rapid.IntRange(0, 1200).Draw(t, "age")) * ms, Sent: rapid.IntRange(0, 3).Draw(t, "sent"),
				Senders: rapid.IntRange(1, 5).Draw(t, "senders"),
			})
		}
		h := balancer.Home{InTime: rapid.Bool().Draw(t, "inTime"), Wait: time.Duration(rapid.IntRange(0, 900).Draw(t, "home")) * ms}
		r := balancer.Request{Left: 500 * ms, FirstToken: 100 * ms, Bytes: 2}
		budget := float64(rapid.IntRange(0, 4).Draw(t, "budget"))
		got, ok := balancer.Choose(r, h, peers, budget)
		if !ok {
			return
		}
		p := peers[got[0]-'a']
		if p.Age >= time.Second || p.Far && (h.InTime || budget < r.Bytes) || h.InTime && p.Room.Free <= p.Sent {
			t.Fatalf("chose %+v for %+v", p, h)
		}
	})
}

// TestSpeed checks that a slow upstream and one with slow spells differ in their spread. The
// values are those of the last 4 s on average, which hold one spell.
func TestSpeed(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		factor       func(i int) float64
		mean, spread float64
		tolerance    float64
	}{
		"nothing known":       {mean: 1, tolerance: 0},
		"typical":             {factor: func(int) float64 { return 1 }, mean: 1, tolerance: 0.01},
		"slow":                {factor: func(int) float64 { return 1.7 }, mean: 1 / 1.7, tolerance: 0.02, spread: 0.05},
		"fast":                {factor: func(int) float64 { return 0.6 }, mean: 1 / 0.6, tolerance: 0.03, spread: 0.1},
		"slow 15% of a cycle": {factor: func(i int) float64 { return []float64{1, 2.5}[boolToInt(i%40 < 6)] }, mean: 0.85 + 0.15/2.5, tolerance: 0.03, spread: 0.22},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const cycle = 40
			var s balancer.Speed
			mean, spread := s.Mean(), s.Spread()
			if test.factor != nil {
				mean, spread = 0, 0
				for i := range 10 * cycle {
					at := now.Add(time.Duration(i) * 100 * ms)
					// In each 100 ms the slots are held for one second together.
					s.Observe(time.Duration(float64(time.Second)/test.factor(i)), time.Second, at)
					if i >= 9*cycle {
						mean += s.Mean() / cycle
						spread += s.Spread() / cycle
					}
				}
			}
			if got := mean; math.Abs(got-test.mean) > test.tolerance {
				t.Errorf("mean is %.3f, want %.3f", got, test.mean)
			}
			if got := spread; math.Abs(got-test.spread) > 0.1 {
				t.Errorf("spread is %.3f, want %.3f", got, test.spread)
			}
		})
	}
}

// TestIdleUpstreamIsNotForgotten guards against a slow upstream that counts as typical, or as
// unknown, after it has had no request for a while.
func TestIdleUpstreamIsNotForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	var s balancer.Speed
	for range 40 {
		s.Observe(time.Second, 2*time.Second, now)
	}
	s.Observe(time.Millisecond, time.Millisecond, now.Add(time.Hour))
	if got := s.Mean(); math.Abs(got-0.5) > 0.02 {
		t.Errorf("speed is %.3f after an hour and one short request, want about 0.5", got)
	}
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestWaits checks that lower ranks wait longer, behind the work that arrives for higher ones.
func TestWaits(t *testing.T) {
	b := balancer.Backlog{InTime: []float64{2, 0, 4}, Late: []float64{0, 1, 0}, Arriving: []float64{5, 2, 0}, Mean: 0.5}
	if got, want := b.Waits(10), []int{250, 500, 2500}; !slices.Equal(got, want) {
		t.Errorf("waits are %v ms, want %v", got, want)
	}
	if got := b.Wait(2, 0, 0); got < time.Minute {
		t.Errorf("wait is %v without an upstream", got)
	}
}
