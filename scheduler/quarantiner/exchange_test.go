package quarantiner_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/quarantiner"
)

const (
	// contactTime is how long a host must have run undisturbed to be held to the
	// bound.
	contactTime = 4 * time.Second
	// exchangeInterval is the time between two messages that a host sends to one
	// other, as in the membership protocol.
	exchangeInterval = 300 * time.Millisecond
	// maxReports is the number of reports in a message.
	maxReports = 24
)

// node is a host of a simulated fleet.
type node struct {
	*quarantiner.Quarantiner
	startedAt time.Duration
	// part is the side of a partition that the host is on.
	part int
}

// fleet is a simulated fleet that exchanges crash reports and receives one request
// that crashes every upstream.
type fleet struct {
	rand  *rand.Rand
	now   time.Duration
	nodes []*node
	// loss is the fraction of the messages that are lost.
	loss float64
	// crashes counts the crashes by the request, thirdAt is the time of the third.
	crashes int
	thirdAt time.Duration
	// late counts the runs that are charged to the fleet: after contactTime from
	// the third crash, at hosts undisturbed for contactTime.
	late int
}

func newFleet(n int, seed uint64, loss float64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), loss: loss}
	for range n {
		f.nodes = append(f.nodes, &node{Quarantiner: quarantiner.New(), startedAt: -time.Hour})
	}
	return f
}

// clock returns the current time at a host; clocks differ.
func (f *fleet) clock(i int) time.Time { return start.Add(f.now + time.Duration(i)*time.Hour) }

// exchange lets a host send a message to another one, which responds.
func (f *fleet) exchange(from, to int) {
	a, b := f.nodes[from], f.nodes[to]
	if from == to || a.part != b.part || f.rand.Float64() < f.loss {
		return
	}
	m := a.Message(maxReports, f.clock(from))
	b.Receive(m, f.clock(to))
	if r := b.Response(m, maxReports, f.clock(to)); f.rand.Float64() >= f.loss {
		a.Receive(r, f.clock(from))
	}
}

// send sends the request to a host, which runs it unless it refuses it.
func (f *fleet) send(i int) {
	n := f.nodes[i]
	if n.Verdict(1, f.clock(i)) == quarantiner.Refused {
		return
	}
	f.crashes++
	if f.crashes == 3 {
		f.thirdAt = f.now
	}
	if f.crashes > 3 && f.now-f.thirdAt > contactTime && f.now-n.startedAt > contactTime {
		f.late++
	}
	n.RecordCrash(1, uint64(f.crashes), f.clock(i).Add(-runTime), f.clock(i))
	for range 3 {
		f.exchange(i, f.rand.IntN(len(f.nodes)))
	}
}

// step advances the time by exchangeInterval; every host sends one message.
func (f *fleet) step() {
	for _, i := range f.rand.Perm(len(f.nodes)) {
		f.exchange(i, f.rand.IntN(len(f.nodes)))
	}
	f.now += exchangeInterval
}

// restart replaces the process of a host.
func (f *fleet) restart(i int) {
	f.nodes[i] = &node{Quarantiner: quarantiner.New(), startedAt: f.now, part: f.nodes[i].part}
}

// TestReportsSurviveKillsAndPartitions sends a request that crashes upstreams to
// random hosts while others are killed in series, partitioned, and lose messages.
// In each part some host always remains.
func TestReportsSurviveKillsAndPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 90).Draw(t, "hosts")
		f := newFleet(n, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"))
		partitions := rapid.Bool().Draw(t, "partitions")
		killed := rapid.IntRange(0, 3*n/4).Draw(t, "killed")
		for step := range 200 {
			f.step()
			if f.rand.IntN(3) == 0 {
				f.send(f.rand.IntN(n))
			}
			// A series kills random hosts among the first ones, sometimes all of them.
			if step%20 == 10 {
				for _, i := range f.rand.Perm(killed)[:f.rand.IntN(killed+1)] {
					f.restart(i)
				}
			}
			if partitions && step%50 == 25 {
				for i, x := range f.nodes {
					x.part = i % 2
				}
			}
			if partitions && step%50 == 45 {
				for _, x := range f.nodes {
					x.part = 0
				}
			}
		}
		if f.late > 3 {
			t.Fatalf("%d runs after the third crash, want at most 3; %d crashes", f.late, f.crashes)
		}
	})
}

// TestReportsReachAllHosts records two crashes at different hosts of a fleet of the
// target size, while a rack of 20 upstreams that ran six requests each has crashed.
func TestReportsReachAllHosts(t *testing.T) {
	f := newFleet(1200, 1, 0.02)
	for d := range quarantiner.Digest(120) {
		i := f.rand.IntN(len(f.nodes))
		f.nodes[i].RecordCrash(100+d, uint64(d), f.clock(i), f.clock(i))
	}
	f.send(0)
	f.now += time.Second
	f.send(1)
	for f.now < time.Second+contactTime {
		f.step()
	}
	for i, n := range f.nodes {
		if n.Verdict(1, f.clock(i)) != quarantiner.Refused {
			t.Fatalf("host %d does not refuse the request %v after the second crash", i, contactTime)
		}
	}
}

// TestClearedReportsAreClearedEverywhere lets a request complete at one host after
// all hosts have refused it.
func TestClearedReportsAreClearedEverywhere(t *testing.T) {
	f := newFleet(64, 1, 0.02)
	f.send(0)
	f.now += time.Second
	f.send(1)
	for range 20 {
		f.step()
	}
	f.nodes[7].RecordComplete(1)
	for range 20 {
		f.step()
	}
	for i, n := range f.nodes {
		if v := n.Verdict(1, f.clock(i)); v != quarantiner.Clean {
			t.Errorf("verdict of host %d is %v, want clean", i, v)
		}
	}
}

// TestClearedCrashesCountedByAnotherHostDoNotCount lets a request complete at one
// host between two crashes at another, which counts both.
func TestClearedCrashesCountedByAnotherHostDoNotCount(t *testing.T) {
	a, b := quarantiner.New(), quarantiner.New()
	crash(a, 1, 1, 0)
	b.Receive(a.Message(maxReports, start), start)
	b.RecordComplete(1)
	crash(a, 1, 2, time.Second)
	now := start.Add(time.Second)
	m := b.Message(maxReports, now)
	b.Receive(a.Message(maxReports, now), now)
	a.Receive(m, now)
	for name, q := range map[string]*quarantiner.Quarantiner{"crashes": a, "completed run": b} {
		if v := q.Verdict(1, now); v != quarantiner.Suspect {
			t.Errorf("verdict of the host with the %s is %v, want suspect", name, v)
		}
	}
}

// TestNewHostLearnsOfOldCrashes starts a host hours after the last of four crashes, when
// the digest is still refused, and another one after the digest's retention.
func TestNewHostLearnsOfOldCrashes(t *testing.T) {
	f := newFleet(3, 1, 0)
	for range 4 {
		f.send(0)
		f.now += 25 * time.Minute
	}
	f.now += 3 * time.Hour
	f.restart(1)
	for range 5 {
		f.exchange(1, 0)
	}
	if v := f.nodes[1].Verdict(1, f.clock(1)); v != quarantiner.Refused {
		t.Errorf("verdict of the new host is %v, want refused", v)
	}
	f.now += 24 * time.Hour
	f.restart(2)
	for range 5 {
		f.exchange(2, 0)
	}
	if d, _ := f.nodes[2].Len(); d != 0 {
		t.Errorf("a host that started a day later keeps %d digests, want none", d)
	}
	if d, _ := f.nodes[0].Len(); d != 0 {
		t.Errorf("the first host still keeps %d digests", d)
	}
}

// TestResponsesTakeTurns sends few reports at a time to a host that knows none of
// many confirmed digests.
func TestResponsesTakeTurns(t *testing.T) {
	for name, n := range map[string]int{"one at a time": 1, "part of a digest": 3, "one digest": 8, "several digests": maxReports, "all": 100} {
		t.Run(name, func(t *testing.T) {
			const digests, reportsOfEach = 10, 8
			q := quarantiner.New()
			for d := range quarantiner.Digest(digests) {
				for i := range uint64(reportsOfEach) {
					crash(q, 1+d, i, time.Duration(i)*time.Second)
				}
			}
			now := start.Add(time.Minute)
			for len(q.Message(maxReports, now).Reports) > 0 {
			}
			sent := make(map[[2]uint64]int)
			for range (digests*reportsOfEach + n - 1) / n {
				for _, x := range q.Response(quarantiner.Message{}, n, now).Reports {
					sent[[2]uint64{uint64(x.Digest), x.Upstream}]++
				}
			}
			if len(sent) != digests*reportsOfEach {
				t.Errorf("%d of %d reports were sent", len(sent), digests*reportsOfEach)
			}
		})
	}
}

// TestOrderOfReportsDoesNotMatter merges the same reports in random order.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []quarantiner.Report
		for range rapid.IntRange(1, 8).Draw(t, "reports") {
			reports = append(reports, quarantiner.Report{
				Digest:   1,
				Upstream: rapid.Uint64Range(1, 4).Draw(t, "upstream"),
				AgeMs:    rapid.Uint32Range(0, 100_000).Draw(t, "age"),
				RanMs:    20,
				Cleared:  rapid.Bool().Draw(t, "cleared"),
			})
		}
		// One crash is always reported with the same times.
		ages := make(map[uint64]uint32)
		for i, r := range reports {
			if age, ok := ages[r.Upstream]; ok {
				reports[i].AgeMs = age
			}
			ages[r.Upstream] = reports[i].AgeMs
		}
		crashes := func(list []quarantiner.Report) int {
			q := quarantiner.New()
			for _, r := range list {
				q.Merge(r, start)
			}
			return q.Crashes(1)
		}
		shuffled := slices.Clone(reports)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)).Shuffle(len(shuffled), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		if a, b := crashes(reports), crashes(shuffled); a != b {
			t.Fatalf("%d crashes in one order, %d in another", a, b)
		}
	})
}
