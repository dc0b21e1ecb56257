package pinner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/pinner"
)

// scenario is a fleet with failures of hosts and connections, and changes of versions and
// routes.
type scenario struct {
	hosts, domains int
	seed           uint64
	loss           float64
	// kills, stops, suspensions, splits and cuts are rates per second of hosts that
	// are killed, stopped as planned and suspended, of partitions, and of cuts from the
	// store; restarts is that of all hosts at once.
	kills, stops, suspensions, splits, cuts, restarts float64
	// changes is the rate per second of changes in times of change, which alternate
	// with calm ones.
	changes float64
	lag     time.Duration
	// hold is for how long hosts have seen an origin before they use it.
	hold time.Duration
	// rate is that of streams per second.
	rate float64
	time time.Duration
}

// changePeriod is the time from one time of changes to the next.
const changePeriod = 80 * time.Second

// happens reports whether an event with a rate per second happens in a tick.
func (f *fleet) happens(rate float64) bool { return f.rand.Float64() < rate*tick.Seconds() }

// routes are those of the model, in order.
var routes = []string{"chat", "code"}

// changeOrigins lets a version come or go, or moves a route.
func (f *fleet) changeOrigins() {
	possible := make(map[string][]pinner.Origin)
	last := f.states[len(f.states)-1].possible
	route := routes[f.rand.IntN(len(routes))]
	for r, origins := range last {
		possible[r] = origins
	}
	versions := []string{"v1", "v2", "v3"}
	pools := []string{"m", "n"}
	o := pinner.Origin{Pool: pools[f.rand.IntN(2)], Version: versions[f.rand.IntN(3)]}
	switch f.rand.IntN(5) {
	case 0: // The route moves.
		possible[route] = []pinner.Origin{o}
	case 1: // A version appears.
		possible[route] = append([]pinner.Origin{o}, last[route]...)
	case 2: // Only the newest version is left.
		if len(last[route]) > 1 {
			possible[route] = last[route][:1]
		}
	case 3: // The route leaves or comes back.
		if _, ok := last[route]; ok {
			delete(possible, route)
		} else {
			possible[route] = []pinner.Origin{o}
		}
	case 4: // Streams of the other route change with it.
		possible[routes[0]], possible[routes[1]] = []pinner.Origin{o}, []pinner.Origin{o}
	}
	f.change(possible)
}

// fail lets hosts and connections fail and recover.
func (f *fleet) fail(s scenario) {
	i := f.rand.IntN(len(f.hosts))
	h := f.hosts[i]
	switch {
	case f.happens(s.restarts):
		for i := range f.hosts {
			f.start(i)
		}
	case h.alive && f.happens(s.kills):
		f.kill(i)
	case h.alive && f.happens(s.stops):
		f.stop(i)
	case h.alive && f.happens(s.suspensions):
		h.suspendedUntil = f.now + f.upTo(20*time.Second)
	case f.happens(s.cuts):
		h.cutOff = !h.cutOff
	}
	if f.happens(s.splits) {
		f.split = !f.split
		if f.rand.IntN(2) == 0 {
			for _, h := range f.hosts {
				h.cutOff = f.split && h.domain == 1
			}
		}
	}
	for i, h := range f.hosts {
		if !h.alive && f.happens(0.5) {
			f.start(i)
		}
	}
}

// play runs a scenario.
func play(s scenario) *fleet {
	first := state{possible: map[string][]pinner.Origin{"chat": {first}, "code": {first}}}
	f := newFleet(s.seed, s.hosts, s.domains, first)
	f.loss, f.fleetLag, f.hold = s.loss, s.lag, s.hold
	for f.now < s.time {
		f.advance()
		if f.now%changePeriod < changePeriod/4 && f.happens(s.changes) {
			f.changeOrigins()
		}
		for range len(routes) {
			if f.happens(s.rate) {
				f.begin(f.rand.IntN(len(f.hosts)), routes[f.rand.IntN(len(routes))])
			}
		}
		f.fail(s)
	}
	return f
}

func drawScenario(t *rapid.T) (s scenario) {
	rate := func(name string) float64 { return rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, name) }
	s.hosts = rapid.IntRange(2, 12).Draw(t, "hosts")
	s.domains = rapid.IntRange(1, 3).Draw(t, "domains")
	s.seed = rapid.Uint64().Draw(t, "seed")
	s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	s.kills, s.stops, s.suspensions = rate("kills"), rate("stops"), rate("suspensions")
	s.splits, s.cuts = rate("splits"), rate("cuts")
	s.restarts = rapid.SampledFrom([]float64{0, 0, 0.01}).Draw(t, "restarts")
	s.changes = rapid.SampledFrom([]float64{0.05, 0.3, 2}).Draw(t, "changes")
	s.lag = rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, maxLag}).Draw(t, "lag")
	s.rate, s.time = 5, 2*changePeriod
	return s
}

// TestOriginIsNeverWrong lets hosts use an origin only when all others that are up to date
// have seen it.
func TestOriginIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		s.hold = maxLag
		for _, o := range play(s).outcomes {
			if o.wrong {
				t.Fatalf("a stream of %v that began at %v went on elsewhere at %v", o.origin, o.beganAt, o.at)
			}
		}
	})
}
