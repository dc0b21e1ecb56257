package detector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxtaillug.org/scheduler/detector"
)

var startTime = time.Unix(1000, 0)

// tickInterval is the time between two ticks of a host.
const tickInterval = 60 * time.Millisecond

// node is a host in the simulated fleet.
type node struct {
	*detector.Detector
	address string
	domain  string
	running bool
}

// sentPacket is a packet in transit.
type sentPacket struct {
	from string
	detector.Packet
}

// fleet is a simulated fleet of hosts and the network between them.
type fleet struct {
	now   time.Time
	nodes []*node
	rand  *rand.Rand
	// partitioned reports whether packets between two hosts are dropped.
	partitioned func(a, b *node) bool
	// loss is the fraction of packets that are dropped.
	loss float64
	// sent counts the packets sent, and ticks those of all hosts.
	sent, ticks int
	// clock is the incarnation of the process that was started last.
	clock uint64
	// maxMembers is the largest number of members in one message.
	maxMembers int
	// byAddress maps addresses to hosts.
	byAddress map[string]*node
}

// newFleet returns n hosts in three failure domains, all just started. Their
// contacts are the first three hosts.
func newFleet(n int) *fleet {
	f := &fleet{now: startTime, rand: rand.New(rand.NewPCG(1, 2)), clock: 1000, byAddress: make(map[string]*node)}
	for i := range n {
		x := &node{address: fmt.Sprintf("10.0.0.%d:7", i), domain: fmt.Sprint("d", i%3)}
		f.nodes = append(f.nodes, x)
		f.byAddress[x.address] = x
	}
	for i := range f.nodes {
		f.start(i)
	}
	return f
}

// start starts a new process at a host.
func (f *fleet) start(i int) {
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

// run advances the fleet's time by d and delivers all packets. A host ticks when it has
// something to do.
func (f *fleet) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(tickInterval) {
		var inTransit []sentPacket
		for _, n := range f.nodes {
			if n.running && !f.now.Before(n.NextTick()) {
				f.ticks++
				for _, p := range n.Tick(f.now) {
					inTransit = append(inTransit, sentPacket{n.address, p})
				}
			}
		}
		for len(inTransit) > 0 {
			x := inTransit[0]
			inTransit = inTransit[1:]
			f.sent++
			f.maxMembers = max(f.maxMembers, len(x.Message.Members))
			from, to := f.node(x.from), f.node(x.To)
			if to == nil || !to.running || f.partitioned != nil && f.partitioned(from, to) || f.rand.Float64() < f.loss {
				continue
			}
			for _, p := range to.Receive(x.from, x.Message, f.now) {
				inTransit = append(inTransit, sentPacket{to.address, p})
			}
		}
	}
}

// node returns the host at an address.
func (f *fleet) node(address string) *node { return f.byAddress[address] }

// aliveCount returns how many other hosts a host considers alive.
func aliveCount(n *node) (count int) {
	for _, m := range n.Members() {
		if m.Status == detector.Alive {
			count++
		}
	}
	return count
}

// statusOf returns the status of a host in the view of host n, Dead if it is not in
// the view.
func statusOf(n, of *node) detector.Status {
	for _, m := range n.Members() {
		if m.ID == of.address {
			return m.Status
		}
	}
	return detector.Dead
}

func TestHostsDiscoverEachOther(t *testing.T) {
	tests := map[string]struct {
		hosts int
		// down are the hosts that do not run, contacts among them.
		down   []int
		loss   float64
		within time.Duration
	}{
		"nine hosts":            {9, nil, 0, time.Second},
		"two contacts are down": {9, []int{0, 1}, 0, 2 * time.Second},
		"lossy links":           {9, nil, 0.05, 2 * time.Second},
		// In load tests of fleets of this size, traffic starts 14 s after the hosts.
		"eighty-nine hosts": {89, nil, 0, 10 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(tt.hosts)
			f.loss = tt.loss
			for _, i := range tt.down {
				f.nodes[i].running = false
			}
			f.run(tt.within)
			want := tt.hosts - len(tt.down) - 1
			for _, n := range f.nodes {
				if n.running && aliveCount(n) < want {
					t.Errorf("%s considers %d hosts alive, want %d", n.address, aliveCount(n), want)
				}
			}
		})
	}
}

func TestDeadHostIsDetectedAndRejoins(t *testing.T) {
	f := newFleet(9)
	f.run(2 * time.Second)
	f.nodes[4].running = false
	f.run(2500 * time.Millisecond)
	for i, n := range f.nodes {
		if i != 4 && statusOf(n, f.nodes[4]) != detector.Dead {
			t.Errorf("%s has status %v for a dead host", n.address, statusOf(n, f.nodes[4]))
		}
	}
	f.start(4)
	f.run(1500 * time.Millisecond)
	for i, n := range f.nodes {
		if i != 4 && statusOf(n, f.nodes[4]) != detector.Alive {
			t.Errorf("%s has status %v for a restarted host", n.address, statusOf(n, f.nodes[4]))
		}
	}
}

// TestIdleHostsTickSeldom counts the ticks of a calm fleet.
func TestIdleHostsTickSeldom(t *testing.T) {
	for _, hosts := range []int{9, 90} {
		f := newFleet(hosts)
		f.run(5 * time.Second)
		f.ticks = 0
		f.run(10 * time.Second)
		// A ping every 300 ms and a look at unreachable addresses every second.
		if perSecond := float64(f.ticks) / 10 / float64(hosts); perSecond > 5 {
			t.Errorf("%d hosts tick %.1f times a second each, want at most 5", hosts, perSecond)
		}
	}
}

// TestPacketLossDeclaresNoHostDead runs a fleet for 33 s with 5% packet loss.
func TestPacketLossDeclaresNoHostDead(t *testing.T) {
	f := newFleet(9)
	f.loss = 0.05
	f.run(3 * time.Second)
	for range 100 {
		f.run(300 * time.Millisecond)
		for _, n := range f.nodes {
			for _, m := range n.Members() {
				if m.Status == detector.Dead {
					t.Fatalf("%s considers %s dead", n.address, m.ID)
				}
			}
		}
	}
}

func TestPartitionHeals(t *testing.T) {
	f := newFleet(9)
	f.run(2 * time.Second)
	f.partitioned = func(a, b *node) bool { return (a.domain == "d2") != (b.domain == "d2") }
	f.run(4 * time.Second)
	for _, n := range f.nodes {
		want := 5
		if n.domain == "d2" {
			want = 2
		}
		if aliveCount(n) != want {
			t.Errorf("%s considers %d hosts alive during the partition, want %d", n.address, aliveCount(n), want)
		}
	}
	f.partitioned = nil
	f.run(6 * time.Second)
	for _, n := range f.nodes {
		if aliveCount(n) != 8 {
			t.Errorf("%s considers %d hosts alive after the partition, want 8", n.address, aliveCount(n))
		}
	}
}

// TestSuspendedHostSuspectsNobody suspends a host for 5 s. When it resumes, it must
// not declare others dead for acks that it missed, and the others must soon
// consider it alive again.
func TestSuspendedHostSuspectsNobody(t *testing.T) {
	f := newFleet(9)
	f.run(2 * time.Second)
	suspended := f.nodes[5]
	suspended.running = false
	f.run(5 * time.Second)
	suspended.running = true
	f.run(2 * tickInterval)
	if got := aliveCount(suspended); got != 8 {
		t.Errorf("the resumed host considers %d hosts alive, want 8", got)
	}
	f.run(2 * time.Second)
	for _, n := range f.nodes {
		if aliveCount(n) != 8 {
			t.Errorf("%s considers %d hosts alive, want 8", n.address, aliveCount(n))
		}
	}
}

// TestRestartWithEarlierClock restarts a host with a lower incarnation than that of
// its previous process, as happens when its clock was set back.
func TestRestartWithEarlierClock(t *testing.T) {
	f := newFleet(9)
	f.run(2 * time.Second)
	f.nodes[3].running = false
	f.run(3 * time.Second)
	f.clock = 10
	f.start(3)
	f.run(4 * time.Second)
	for i, n := range f.nodes {
		if i != 3 && statusOf(n, f.nodes[3]) != detector.Alive {
			t.Errorf("%s has status %v for the restarted host", n.address, statusOf(n, f.nodes[3]))
		}
	}
}

func TestLeavingReachesAllHosts(t *testing.T) {
	f := newFleet(9)
	f.run(2 * time.Second)
	for _, p := range f.nodes[7].Leave(f.now) {
		f.node(p.To).Receive(f.nodes[7].address, p.Message, f.now)
	}
	f.run(900 * time.Millisecond)
	for i, n := range f.nodes {
		for _, m := range n.Members() {
			if i != 7 && m.ID == f.nodes[7].address && !m.Leaving {
				t.Errorf("%s does not consider the leaving host as leaving", n.address)
			}
		}
	}
}

// TestLoadIsIndependentOfFleetSize compares the packets sent per host in a small and
// in a large fleet.
func TestLoadIsIndependentOfFleetSize(t *testing.T) {
	perHost := func(hosts int) float64 {
		f := newFleet(hosts)
		f.run(5 * time.Second)
		f.sent = 0
		f.run(10 * time.Second)
		return float64(f.sent) / float64(hosts) / 10
	}
	small, large := perHost(9), perHost(120)
	if large > 1.3*small {
		t.Errorf("%.1f packets per host and second with 9 hosts, %.1f with 120", small, large)
	}
}

// oldest returns the oldest member of a failure domain in a host's view.
func oldest(n *node, domain string) (best detector.Member) {
	for _, m := range append(n.Members(), n.Self()) {
		if m.Domain == domain && m.Status < detector.Dead && (best.ID == "" || m.Older(best)) {
			best = m
		}
	}
	return best
}

// wrongOldest counts wrong views of the oldest host: those that hosts have of their
// own failure domain, and those of all failure domains.
func (f *fleet) wrongOldest() (own, all int) {
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

// TestHostsAgreeOnTheOldest starts many hosts at once: for the first time, after all
// were killed, and after one failure domain was lost. The oldest host of a failure
// domain makes decisions for it, so a host with a wrong view of the oldest decides
// on its own.
func TestHostsAgreeOnTheOldest(t *testing.T) {
	const (
		// ownDeadline is the operators' limit on the time until a configuration
		// change is in force.
		ownDeadline = 3 * time.Second
		// allDeadline is the operators' limit on the time for a recovery.
		allDeadline = 12 * time.Second
		step        = 240 * time.Millisecond
	)
	restart := func(f *fleet, domain string) {
		for _, i := range f.rand.Perm(len(f.nodes)) {
			if domain == "" || f.nodes[i].domain == domain {
				f.start(i)
			}
		}
	}
	tests := map[string]struct {
		hosts int
		event func(f *fleet)
	}{
		"30 started":       {30, func(f *fleet) { restart(f, "") }},
		"300 started":      {300, func(f *fleet) { restart(f, "") }},
		"100 killed":       {100, func(f *fleet) { f.run(2 * time.Second); restart(f, "") }},
		"300 killed":       {300, func(f *fleet) { f.run(2 * time.Second); restart(f, "") }},
		"100, domain lost": {100, func(f *fleet) { f.loseDomain("d1", 1500*time.Millisecond); restart(f, "d1") }},
		"300, domain lost": {300, func(f *fleet) { f.loseDomain("d1", 1500*time.Millisecond); restart(f, "d1") }},
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
				own, all := f.wrongOldest()
				if own == 0 && ownAt < 0 {
					ownAt = passed
				}
				if f.maxMembers > detector.MaxMembersPerMessage {
					t.Fatalf("a message carries %d members, want at most %d", f.maxMembers, detector.MaxMembersPerMessage)
				}
				if all == 0 {
					t.Logf("hosts agreed on the oldest of their own failure domain after %v, of all after %v", ownAt, passed)
					if ownAt > ownDeadline {
						t.Errorf("hosts agreed on the oldest of their own failure domain after %v, want at most %v", ownAt, ownDeadline)
					}
					return
				}
				if passed > allDeadline {
					t.Fatalf("after %v, %d views of the oldest are wrong, %d of them of the own failure domain", passed, all, own)
				}
			}
		})
	}
}

// loseDomain runs the fleet for 2 s and then runs it for d with the hosts of a
// failure domain stopped.
func (f *fleet) loseDomain(domain string, d time.Duration) {
	f.run(2 * time.Second)
	for _, n := range f.nodes {
		n.running = n.running && n.domain != domain
	}
	f.run(d)
}
