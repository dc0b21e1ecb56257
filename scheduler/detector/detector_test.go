package detector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxtaillug.org/scheduler/detector"
)

var start = time.Unix(1000, 0)

// tick is the time between two ticks of a host.
const tick = 60 * time.Millisecond

// node is a host of the simulated fleet.
type node struct {
	*detector.Detector
	address string
	domain  string
	running bool
}

// flight is a packet on its way.
type flight struct {
	from string
	detector.Packet
}

// fleet is a simulated network of hosts.
type fleet struct {
	now   time.Time
	nodes []*node
	rand  *rand.Rand
	// cut reports whether packets between two hosts are lost.
	cut func(a, b *node) bool
	// loss is the part of packets that are lost.
	loss  float64
	sent  int
	clock uint64
	// told is the largest number of members in one message.
	told int
	// at finds hosts by their address.
	at map[string]*node
}

// newFleet returns n hosts in three failure domains, all just started, that
// know the first three at most.
func newFleet(n int) *fleet {
	f := &fleet{now: start, rand: rand.New(rand.NewPCG(1, 2)), clock: 1000, at: make(map[string]*node)}
	for i := range n {
		x := &node{address: fmt.Sprintf("10.0.0.%d:7", i), domain: fmt.Sprint("d", i%3)}
		f.nodes = append(f.nodes, x)
		f.at[x.address] = x
	}
	for i := range f.nodes {
		f.boot(i)
	}
	return f
}

// boot starts a host's process anew.
func (f *fleet) boot(i int) {
	f.clock++
	n := f.nodes[i]
	var contacts []string
	for _, c := range f.nodes[:min(3, len(f.nodes))] {
		contacts = append(contacts, c.address)
	}
	n.Detector = detector.New(detector.Member{
		ID: n.address, Address: n.address, Domain: n.domain, Incarnation: f.clock,
	}, contacts, uint64(i)+f.clock)
	n.running = true
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(tick) {
		var air []flight
		for _, n := range f.nodes {
			if n.running {
				for _, p := range n.Tick(f.now) {
					air = append(air, flight{n.address, p})
				}
			}
		}
		for len(air) > 0 {
			x := air[0]
			air = air[1:]
			f.sent++
			f.told = max(f.told, len(x.Message.Members))
			from, to := f.node(x.from), f.node(x.To)
			if to == nil || !to.running || f.cut != nil && f.cut(from, to) || f.rand.Float64() < f.loss {
				continue
			}
			for _, p := range to.Receive(x.from, x.Message, f.now) {
				air = append(air, flight{to.address, p})
			}
		}
	}
}

// node returns the host at an address.
func (f *fleet) node(address string) *node { return f.at[address] }

// alive returns how many others a host believes alive.
func alive(n *node) (count int) {
	for _, m := range n.Members() {
		if m.Status == detector.Alive {
			count++
		}
	}
	return count
}

// believes returns what a host believes of another.
func believes(n, of *node) detector.Status {
	for _, m := range n.Members() {
		if m.ID == of.address {
			return m.Status
		}
	}
	return detector.Dead
}

func TestAllFindEachOther(t *testing.T) {
	tests := map[string]struct {
		hosts int
		// down are hosts that don't run, among them contacts.
		down []int
		loss float64
		in   time.Duration
	}{
		"nine hosts":            {9, nil, 0, time.Second},
		"two contacts are down": {9, []int{0, 1}, 0, 2 * time.Second},
		"lossy links":           {9, nil, 0.05, 2 * time.Second},
		// The grown sites' traffic starts 14 s after the hosts.
		"eighty-nine hosts": {89, nil, 0, 10 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(tt.hosts)
			f.loss = tt.loss
			for _, i := range tt.down {
				f.nodes[i].running = false
			}
			f.run(tt.in)
			want := tt.hosts - len(tt.down) - 1
			for _, n := range f.nodes {
				if n.running && alive(n) < want {
					t.Errorf("%s knows %d of %d", n.address, alive(n), want)
				}
			}
		})
	}
}

func TestDeadHostsAreNoticedAndComeBack(t *testing.T) {
	f := newFleet(9)
	f.run(2 * time.Second)
	f.nodes[4].running = false
	f.run(2500 * time.Millisecond)
	for i, n := range f.nodes {
		if i != 4 && believes(n, f.nodes[4]) != detector.Dead {
			t.Errorf("%s believes %v of a dead host", n.address, believes(n, f.nodes[4]))
		}
	}
	f.boot(4)
	f.run(1500 * time.Millisecond)
	for i, n := range f.nodes {
		if i != 4 && believes(n, f.nodes[4]) != detector.Alive {
			t.Errorf("%s believes %v of a host that is back", n.address, believes(n, f.nodes[4]))
		}
	}
}

// TestLossyLinksKillNobody runs a fleet with lossy links for a while.
func TestLossyLinksKillNobody(t *testing.T) {
	f := newFleet(9)
	f.loss = 0.05
	f.run(3 * time.Second)
	for range 100 {
		f.run(300 * time.Millisecond)
		for _, n := range f.nodes {
			for _, m := range n.Members() {
				if m.Status == detector.Dead {
					t.Fatalf("%s believes that %s is dead", n.address, m.ID)
				}
			}
		}
	}
}

func TestPartitionsHeal(t *testing.T) {
	f := newFleet(9)
	f.run(2 * time.Second)
	f.cut = func(a, b *node) bool { return (a.domain == "d2") != (b.domain == "d2") }
	f.run(4 * time.Second)
	for _, n := range f.nodes {
		want := 5
		if n.domain == "d2" {
			want = 2
		}
		if alive(n) != want {
			t.Errorf("%s believes %d alive behind the cut, want %d", n.address, alive(n), want)
		}
	}
	f.cut = nil
	f.run(6 * time.Second)
	for _, n := range f.nodes {
		if alive(n) != 8 {
			t.Errorf("%s believes %d alive after the cut, want 8", n.address, alive(n))
		}
	}
}

// TestPausedHostBlamesNobody stops a host for a while: when it wakes it must
// not declare others dead for its own silence, and it is alive again soon.
func TestPausedHostBlamesNobody(t *testing.T) {
	f := newFleet(9)
	f.run(2 * time.Second)
	paused := f.nodes[5]
	paused.running = false
	f.run(5 * time.Second)
	paused.running = true
	f.run(2 * tick)
	if got := alive(paused); got != 8 {
		t.Errorf("the host that woke believes %d alive, want 8", got)
	}
	f.run(2 * time.Second)
	for _, n := range f.nodes {
		if alive(n) != 8 {
			t.Errorf("%s believes %d alive, want 8", n.address, alive(n))
		}
	}
}

// TestClockBehindAfterRestart starts a host again with a lower incarnation
// than its predecessor's, as after a step of the clock.
func TestClockBehindAfterRestart(t *testing.T) {
	f := newFleet(9)
	f.run(2 * time.Second)
	f.nodes[3].running = false
	f.run(3 * time.Second)
	f.clock = 10
	f.boot(3)
	f.run(4 * time.Second)
	for i, n := range f.nodes {
		if i != 3 && believes(n, f.nodes[3]) != detector.Alive {
			t.Errorf("%s believes %v of the host", n.address, believes(n, f.nodes[3]))
		}
	}
}

func TestLeavingIsKnownSoon(t *testing.T) {
	f := newFleet(9)
	f.run(2 * time.Second)
	for _, p := range f.nodes[7].Leave(f.now) {
		f.node(p.To).Receive(f.nodes[7].address, p.Message, f.now)
	}
	f.run(900 * time.Millisecond)
	for i, n := range f.nodes {
		for _, m := range n.Members() {
			if i != 7 && m.ID == f.nodes[7].address && !m.Leaving {
				t.Errorf("%s does not know", n.address)
			}
		}
	}
}

// TestLoadDoesNotGrowWithTheFleet compares packets for each host.
func TestLoadDoesNotGrowWithTheFleet(t *testing.T) {
	each := func(hosts int) float64 {
		f := newFleet(hosts)
		f.run(5 * time.Second)
		f.sent = 0
		f.run(10 * time.Second)
		return float64(f.sent) / float64(hosts) / 10
	}
	small, large := each(9), each(120)
	if large > 1.3*small {
		t.Errorf("%.1f packets a second with 9 hosts, %.1f with 120", small, large)
	}
}

// oldest returns whom a host takes for the oldest of a failure domain.
func oldest(n *node, domain string) (best detector.Member) {
	for _, m := range append(n.Members(), n.Self()) {
		if m.Domain == domain && m.Status < detector.Dead && (best.ID == "" || m.Older(best)) {
			best = m
		}
	}
	return best
}

// disagreeing returns how many hosts are wrong about the oldest of their own
// failure domain, and of any.
func (f *fleet) disagreeing() (own, all int) {
	truth := make(map[string]detector.Member)
	for _, n := range f.nodes {
		if e, ok := truth[n.domain]; n.running && (!ok || n.Self().Older(e)) {
			truth[n.domain] = n.Self()
		}
	}
	for _, n := range f.nodes {
		for domain, want := range truth {
			if n.running && oldest(n, domain).ID != want.ID {
				all++
				if domain == n.domain {
					own++
				}
			}
		}
	}
	return own, all
}

// TestHostsAgreeOnTheOldest starts many hosts at once, for the first time, all
// again after they were killed, and those of one failure domain that was lost.
// The oldest of a failure domain decides for it, so a host that is wrong about
// it decides alone.
func TestHostsAgreeOnTheOldest(t *testing.T) {
	const (
		// ownBound is the operators' bound for a change to be in force.
		ownBound = 3 * time.Second
		// allBound is the operators' bound for a recovery.
		allBound = 12 * time.Second
		step     = 240 * time.Millisecond
	)
	restart := func(f *fleet, domain string) {
		for _, i := range f.rand.Perm(len(f.nodes)) {
			if domain == "" || f.nodes[i].domain == domain {
				f.boot(i)
			}
		}
	}
	tests := map[string]struct {
		hosts int
		event func(f *fleet)
	}{
		"30 started":         {30, func(f *fleet) { restart(f, "") }},
		"300 started":        {300, func(f *fleet) { restart(f, "") }},
		"100 killed":         {100, func(f *fleet) { f.run(2 * time.Second); restart(f, "") }},
		"300 killed":         {300, func(f *fleet) { f.run(2 * time.Second); restart(f, "") }},
		"100, a domain lost": {100, func(f *fleet) { f.lose("d1", 1500*time.Millisecond); restart(f, "d1") }},
		"300, a domain lost": {300, func(f *fleet) { f.lose("d1", 1500*time.Millisecond); restart(f, "d1") }},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(x.hosts)
			x.event(f)
			ownAt, from := time.Duration(-1), f.now
			for {
				f.run(step)
				passed := f.now.Sub(from)
				own, all := f.disagreeing()
				if own == 0 && ownAt < 0 {
					ownAt = passed
				}
				if f.told > detector.MaxMembersPerMessage {
					t.Fatalf("a message names %d members, want at most %d", f.told, detector.MaxMembersPerMessage)
				}
				if all == 0 {
					t.Logf("agreed on their own after %v, on all after %v", ownAt, passed)
					if ownAt > ownBound {
						t.Errorf("hosts agree on their own oldest after %v, want %v", ownAt, ownBound)
					}
					return
				}
				if passed > allBound {
					t.Fatalf("after %v hosts are wrong about %d oldest members, %d of them their own", passed, all, own)
				}
			}
		})
	}
}

// lose stops the hosts of a failure domain for a time, after they have run.
func (f *fleet) lose(domain string, d time.Duration) {
	f.run(2 * time.Second)
	for _, n := range f.nodes {
		n.running = n.running && n.domain != domain
	}
	f.run(d)
}
