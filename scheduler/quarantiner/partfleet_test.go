package quarantiner_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/quarantiner"
)

const (
	// tick is the resolution of the simulated time.
	tick = 50 * time.Millisecond
	// firstGuilty and firstSound are the digests of the first guilty part, which
	// crashes each upstream that runs it, and of the first sound one.
	firstGuilty = quarantiner.Digest(1)
	firstSound  = quarantiner.Digest(100)
	// chargedFrom is the crash from which on, after contactTime, runs of a guilty part
	// are charged to the fleet, and maxChargedRuns how many may be.
	chargedFrom    = 5
	maxChargedRuns = 3
	// minPrefill and maxPrefill bound the time from sending a request to the begin of
	// its answer or to the crash.
	minPrefill = 30 * time.Millisecond
	maxPrefill = 200 * time.Millisecond
	// maxCheck bounds the time of a health check.
	maxCheck = 50 * time.Millisecond
	// minSoundRate and maxSoundRate bound the requests per second of a sound part,
	// guiltyRate is that of a guilty one.
	minSoundRate = 0.5
	maxSoundRate = 5
	guiltyRate   = 1
	// maxSpread bounds by how much the refusals of hosts differ.
	maxSpread = time.Minute
	// scenarioTime is the duration of a scenario.
	scenarioTime = 90 * time.Second
	// killInterval is the time between two restarts of hosts.
	killInterval = 6 * time.Second
	// A partition begins in the middle of each period and heals near its end.
	partitionPeriod = 15 * time.Second
	partitionFrom   = partitionPeriod / 2
	partitionUntil  = partitionPeriod * 9 / 10
)

// scenario is a fleet with sound and guilty parts and with failures of its hosts,
// connections and upstreams.
type scenario struct {
	hosts, upstreams, sound int
	seed                    uint64
	// loss is the fraction of messages that are lost.
	loss float64
	// guilty holds the time from which on each guilty part crashes upstreams, and
	// guiltyFrom is the time of the first request with a part that always does.
	guilty     []time.Duration
	guiltyFrom time.Duration
	partitions bool
	// killed is one more than the highest host that may be restarted.
	killed int
	// outages is the rate per second at which upstreams crash for other reasons. At a
	// fifth of it all those of a rack do.
	outages float64
	rack    int
}

// run is a request that an upstream runs and whose answer has not begun.
type run struct {
	host      int
	process   *node
	upstream  int
	parts     []quarantiner.Digest
	sent, end time.Duration
}

// check is a health check of an upstream process that has crashed.
type check struct {
	run
	crashed   uint64
	lost, end time.Duration
}

// guiltyPart is a part that crashes upstreams from a time on, and is sound before.
type guiltyPart struct {
	from time.Duration
	// crashes counts the crashes by the part, fifthAt is the time of the fifth.
	crashes int
	fifthAt time.Duration
	// late counts the runs that are charged to the fleet.
	late int
}

// soundPart counts the requests of a sound part and those whose answer began.
type soundPart struct {
	rate         float64
	asked, begun int
}

// partFleet is a simulated fleet that serves requests with sound and guilty parts.
type partFleet struct {
	fleet
	// upstreams holds the process of each upstream.
	upstreams []uint64
	processes uint64
	running   []run
	checks    []check
	sound     []soundPart
	guilty    []guiltyPart
}

func newPartFleet(s scenario) *partFleet {
	f := &partFleet{fleet: fleet{rand: rand.New(rand.NewPCG(s.seed, 1)), loss: s.loss}}
	for range s.hosts {
		f.nodes = append(f.nodes, f.newNode())
	}
	for range s.sound {
		f.sound = append(f.sound, soundPart{rate: minSoundRate + (maxSoundRate-minSoundRate)*f.rand.Float64()})
	}
	for range s.upstreams {
		f.processes++
		f.upstreams = append(f.upstreams, f.processes)
	}
	for _, from := range s.guilty {
		f.guilty = append(f.guilty, guiltyPart{from: from})
	}
	return f
}

// newNode returns a host that has long been running.
func (f *partFleet) newNode() *node {
	return &node{Quarantiner: newParts(quarantiner.WithSpread(f.between(0, maxSpread))), startedAt: -time.Hour}
}

// between returns a random duration between two others.
func (f *partFleet) between(a, b time.Duration) time.Duration {
	return a + time.Duration(f.rand.Int64N(int64(b-a)))
}

// happens reports whether an event with a rate per second happens in a tick.
func (f *partFleet) happens(rate float64) bool { return f.rand.Float64() < rate*tick.Seconds() }

// request sends a request to a host. It returns whether it runs rather than being
// refused for one of its parts.
func (f *partFleet) request(host int, parts ...quarantiner.Digest) bool {
	n := f.nodes[host]
	if n.RefusesParts(f.clock(host), parts...) {
		return false
	}
	f.running = append(f.running, run{
		host: host, process: n, parts: parts, upstream: f.rand.IntN(len(f.upstreams)),
		sent: f.now, end: f.now + f.between(minPrefill, maxPrefill),
	})
	return true
}

// requestGuilty sends a request with a guilty part and a random sound one.
func (f *partFleet) requestGuilty(i int) {
	host, g := f.rand.IntN(len(f.nodes)), &f.guilty[i]
	sound := firstSound + quarantiner.Digest(f.rand.IntN(len(f.sound)))
	if !f.request(host, firstGuilty+quarantiner.Digest(i), sound) {
		return
	}
	if g.crashes >= chargedFrom && f.now-g.fifthAt > contactTime && f.now-f.nodes[host].startedAt > contactTime {
		g.late++
	}
}

// requests sends the requests of a tick.
func (f *partFleet) requests(guilty bool) {
	for i := range f.sound {
		if p := &f.sound[i]; f.happens(p.rate) {
			p.asked++
			f.request(f.rand.IntN(len(f.nodes)), firstSound+quarantiner.Digest(i))
		}
	}
	for i, g := range f.guilty {
		if (guilty || g.from > 0) && f.happens(guiltyRate) {
			f.requestGuilty(i)
		}
	}
}

// crash ends an upstream with all requests that it runs, and replaces it.
func (f *partFleet) crash(upstream int) {
	crashed := f.upstreams[upstream]
	f.processes++
	f.upstreams[upstream] = f.processes
	f.running = slices.DeleteFunc(f.running, func(r run) bool {
		if r.upstream != upstream {
			return false
		}
		f.checks = append(f.checks, check{run: r, crashed: crashed, lost: f.now, end: f.now + f.between(0, maxCheck)})
		return true
	})
}

// advance processes the events until the next tick.
func (f *partFleet) advance() {
	f.now += tick
	slices.SortStableFunc(f.running, func(a, b run) int { return cmp.Compare(a.end, b.end) })
	for len(f.running) > 0 && f.running[0].end <= f.now {
		if d := f.running[0].parts[0]; d < firstSound && f.now >= f.guilty[d-firstGuilty].from {
			g := &f.guilty[d-firstGuilty]
			if g.crashes++; g.crashes == chargedFrom {
				g.fifthAt = f.now
			}
			f.crash(f.running[0].upstream)
			continue
		}
		r := f.running[0]
		f.running = f.running[1:]
		if f.nodes[r.host] == r.process {
			f.begin(r)
		}
	}
	f.checks = slices.DeleteFunc(f.checks, func(c check) bool {
		if c.end > f.now {
			return false
		}
		if f.nodes[c.host] == c.process {
			f.report(c)
		}
		return true
	})
}

// begin records that the answer to a request has begun.
func (f *partFleet) begin(r run) {
	for _, d := range r.parts {
		if len(r.parts) == 1 {
			f.sound[d-firstSound].begun++
		}
		if r.process.RecordBegun(d, f.clock(r.host)) {
			f.spread(r.host)
		}
	}
}

// report records the crash that a health check has found.
func (f *partFleet) report(c check) {
	at := f.clock(c.host)
	for _, d := range c.parts {
		c.process.RecordCrash(d, c.crashed, at.Add(c.sent-f.now), at.Add(c.lost-f.now))
	}
	f.spread(c.host)
}

// spread lets a host send new reports to three others without delay.
func (f *partFleet) spread(host int) {
	for range 3 {
		f.exchange(host, f.rand.IntN(len(f.nodes)))
	}
}

// restart replaces the process of a host.
func (f *partFleet) restart(i int) {
	part := f.nodes[i].part
	f.nodes[i] = f.newNode()
	f.nodes[i].startedAt, f.nodes[i].part = f.now, part
}

// fail lets upstreams crash for other reasons, restarts hosts, and begins or heals a
// partition.
func (f *partFleet) fail(s scenario) {
	if f.happens(s.outages) {
		f.crash(f.rand.IntN(s.upstreams))
	}
	if f.happens(s.outages / 5) {
		for i := range s.rack {
			f.crash(i)
		}
	}
	if f.now%killInterval == killInterval/2 {
		for _, i := range f.rand.Perm(s.killed)[:f.rand.IntN(s.killed+1)] {
			f.restart(i)
		}
	}
	for i, n := range f.nodes {
		n.part = 0
		if phase := f.now % partitionPeriod; s.partitions && phase >= partitionFrom && phase < partitionUntil {
			n.part = i % 2
		}
	}
}

// drawScenario draws one in which some host always remains in each part of a
// partition.
func drawScenario(t *rapid.T) scenario {
	var s scenario
	s.hosts = rapid.IntRange(4, 90).Draw(t, "hosts")
	s.upstreams = rapid.IntRange(4, 60).Draw(t, "upstreams")
	s.sound = rapid.IntRange(4, 40).Draw(t, "sound")
	s.seed = rapid.Uint64().Draw(t, "seed")
	s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
	for range rapid.IntRange(1, 2).Draw(t, "guilty") {
		s.guilty = append(s.guilty, rapid.SampledFrom([]time.Duration{0, 20 * time.Second}).Draw(t, "from"))
	}
	s.guiltyFrom = time.Duration(rapid.IntRange(0, 20).Draw(t, "guiltyFrom")) * time.Second
	s.partitions = rapid.Bool().Draw(t, "partitions")
	s.killed = rapid.IntRange(0, min(3*s.hosts/4, s.hosts-2)).Draw(t, "killed")
	s.outages = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "outages")
	s.rack = rapid.IntRange(0, s.upstreams/2).Draw(t, "rack")
	return s
}

// checkParts runs a scenario and checks that guilty parts are refused and sound ones
// are not.
func checkParts(t rapid.TB, s scenario) {
	f := newPartFleet(s)
	for f.now < scenarioTime {
		f.advance()
		f.requests(f.now >= s.guiltyFrom)
		if f.now%exchangeInterval == 0 {
			for _, i := range f.rand.Perm(s.hosts) {
				f.exchange(i, f.rand.IntN(s.hosts))
			}
		}
		f.fail(s)
	}
	for i, g := range f.guilty {
		if g.late > maxChargedRuns {
			t.Errorf("%d late runs of guilty part %d, want at most %d; %d crashes", g.late, i, maxChargedRuns, g.crashes)
		}
	}
	for i, p := range f.sound {
		if 2*p.begun < p.asked {
			t.Errorf("%d of %d requests with sound part %d were answered, want at least half", p.begun, p.asked, i)
		}
	}
}

// TestGuiltyPartsAreRefusedAndSoundOnesAreNot sends requests with parts that crash
// upstreams, each with a random sound one, to random hosts while others are killed,
// partitioned, and lose messages, and upstreams fail for other reasons.
func TestGuiltyPartsAreRefusedAndSoundOnesAreNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkParts(t, drawScenario(t)) })
}

// TestSoundPartIsServedBesideTwoGuiltyOnes crashes upstreams from the start, before
// any answer on the sound part has begun.
func TestSoundPartIsServedBesideTwoGuiltyOnes(t *testing.T) {
	checkParts(t, scenario{
		hosts: 34, upstreams: 11, sound: 4, seed: 1, guilty: []time.Duration{0, 0},
		killed: 15, outages: 0.1, rack: 4,
	})
}

// TestPartThatTurnsGuiltyIsRefusedInTime lets a part on which answers have begun crash
// upstreams from a time on.
func TestPartThatTurnsGuiltyIsRefusedInTime(t *testing.T) {
	checkParts(t, scenario{
		hosts: 77, upstreams: 47, sound: 10, seed: 0xde, loss: 0.05, guilty: []time.Duration{20 * time.Second},
		guiltyFrom: 3 * time.Second, partitions: true, outages: 0.1, rack: 22,
	})
}
