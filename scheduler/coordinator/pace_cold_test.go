package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

const (
	// coldBound is the number of requests that a cold upstream tolerates in any second.
	coldBound = 13*1.5 + 5
	// coldTick is the step of the simulation, coldAsk the time between two requests of a
	// host, which together ask for more than coldBound, and coldDelivery the longest time from a grant to
	// its arrival.
	coldTick     = 5 * time.Millisecond
	coldAsk      = 20 * time.Millisecond
	coldDelivery = 100 * time.Millisecond
	// coldPeriod is the time after which the requests of all hosts pause again.
	coldPeriod = 2 * time.Second
	// suspicion is the shortest time after which a host that does not respond is replaced as
	// the coordinator.
	suspicion = 700 * time.Millisecond
	// noticed is the longest time until two coordinators notice each other, or that another
	// one was elected.
	noticed = 1900 * time.Millisecond
)

// coldHost is a host that may coordinate the failure domain of a cold upstream.
type coldHost struct {
	c              *coordinator.Coordinator
	suspendedUntil time.Time
	dead           bool
}

// coldFleet is a failure domain with one cold upstream, which answers all requests in time.
type coldFleet struct {
	t        *rapid.T
	hosts    []*coldHost
	events   []limitEvent
	arrivals []time.Time
	// pause is the time of each coldPeriod in which no request is sent, so that buckets fill.
	pause time.Duration
	id    uint64
}

// newHost adds a host that decides for itself until it is elected.
func (f *coldFleet) newHost(now time.Time) *coldHost {
	h := &coldHost{c: newCoordinator(coordinator.WithFeatures(coordinator.Features{Pacing: true}))}
	h.c.SetUpstreams([]registrar.Entry{{ID: "engine-00", Pool: "engines", Domain: "d", Slots: 64, ColdUntil: start.Add(time.Hour)}}, now)
	f.view(h, false, false, now)
	f.hosts = append(f.hosts, h)
	return h
}

// view sets what a host believes of the fleet.
func (f *coldFleet) view(h *coldHost, coordinating, complete bool, now time.Time) {
	h.c.SetFleet(coordinator.Fleet{
		Hosts: 3, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r"},
		Standalone: !coordinating, Complete: complete,
	}, now)
}

// later adds an event.
func (f *coldFleet) later(at time.Time, do func(now time.Time)) {
	f.events = append(f.events, limitEvent{at, do})
}

// within draws a time.
func (f *coldFleet) within(name string, least, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(least/coldTick), int(most/coldTick)).Draw(f.t, name)) * coldTick
}

// run sends more requests to each host than the upstream tolerates. The first grants after a pause
// arrive late and the others at once, so as many as possible arrive within a second.
func (f *coldFleet) run(from, to time.Time) {
	for now := from; now.Before(to); now = now.Add(coldTick) {
		due := slices.Clone(f.events)
		f.events = slices.DeleteFunc(f.events, func(e limitEvent) bool { return !e.at.After(now) })
		for _, e := range due {
			if !e.at.After(now) {
				e.do(now)
			}
		}
		phase := now.Sub(start) % coldPeriod
		for i, h := range f.hosts {
			if h.dead || now.Before(h.suspendedUntil) {
				continue
			}
			entry := fmt.Sprint("entry-", i)
			if now.Sub(start)%coldAsk == 0 && phase >= f.pause {
				f.id++
				h.c.Admit(entry, coordinator.Request{ID: f.id, Pool: "engines", Objective: time.Second, Left: time.Second}, now)
			}
			for _, d := range h.c.Advance(now) {
				if d.Upstream == "" {
					continue
				}
				took := coldDelivery
				if phase >= f.pause+coldPeriod/4 {
					took = 0
				}
				f.arrivals = append(f.arrivals, now.Add(took))
				f.later(now.Add(took+2*coldTick), func(now time.Time) {
					h.c.Finish(entry, coordinator.Finish{ID: d.ID, Ending: coordinator.Complete, Total: took + 2*coldTick}, now)
				})
			}
		}
	}
}

// most returns the largest number of arrivals in a second.
func (f *coldFleet) most() (most int) {
	slices.SortFunc(f.arrivals, time.Time.Compare)
	from := 0
	for to, at := range f.arrivals {
		for at.Sub(f.arrivals[from]) >= time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// replaced has another host take over from a leader that does not respond from a time to
// another, and step down again after the leader is back.
func (f *coldFleet) replaced(leader *coldHost, from, back time.Time) {
	elected := from.Add(f.within("elected", suspicion, 2*suspicion))
	if !elected.Before(back) {
		return
	}
	other := f.newHost(from)
	f.later(elected, func(now time.Time) { f.view(other, true, false, now) })
	ends := back.Add(f.within("steps down", 0, noticed))
	f.later(ends, func(now time.Time) { f.view(other, false, false, now) })
	if leader.dead {
		return
	}
	// A leader that was parted notices it at the latest when the other host may use more.
	notices := from.Add(f.within("notices", 0, elected.Sub(from)+noticed))
	if leader.suspendedUntil.Equal(back) {
		notices = back.Add(f.within("notices", 0, noticed))
	}
	if notices.Before(ends) {
		f.later(notices, func(now time.Time) { f.view(leader, true, false, now) })
	}
	f.later(back.Add(f.within("complete", 0, time.Second)), func(now time.Time) { f.view(leader, true, true, now) })
}

// TestColdBoundHoldsWhilePaced guards against two hosts that both use the larger part of a
// cold upstream's rate: after a partition, after a suspension from which a coordinator
// resumes with its former view, and after a kill. Hosts that decide for themselves send it
// nothing.
func TestColdBoundHoldsWhilePaced(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := &coldFleet{t: t, pause: 900 * time.Millisecond}
		leader := f.newHost(start)
		f.newHost(start)
		f.view(leader, true, true, start)
		now := start.Add(5 * time.Second)
		f.run(start, now)
		for range rapid.IntRange(1, 3).Draw(t, "faults") {
			back := now.Add(f.within("fault", 200*time.Millisecond, 6*time.Second))
			switch rapid.SampledFrom([]string{"parted", "suspended", "killed"}).Draw(t, "kind") {
			case "suspended":
				leader.suspendedUntil = back
				f.replaced(leader, now, back)
			case "parted":
				f.replaced(leader, now, back)
			case "killed":
				leader.dead = true
				next := f.newHost(now)
				complete := back.Add(suspicion)
				f.later(now.Add(f.within("elected", suspicion, 2*suspicion)), func(now time.Time) { f.view(next, true, false, now) })
				f.later(complete.Add(time.Second), func(now time.Time) { f.view(next, true, true, now) })
				leader = next
			}
			end := back.Add(4 * time.Second)
			f.run(now, end)
			now = end
		}
		if n := f.most(); float64(n) > coldBound {
			t.Fatalf("%d requests in a second, want at most %.1f", n, coldBound)
		}
	})
}

// TestSoleCoordinatorUsesMoreOfTheColdRate guards against a cold upstream that is left at
// the fraction that two coordinators may use although only one host can grant it, and against a new
// coordinator that uses that rate at once.
func TestSoleCoordinatorUsesMoreOfTheColdRate(t *testing.T) {
	tests := map[string]struct {
		complete           bool
		firstLow, firstTop int
		laterLow, laterTop int
	}{
		"every host alive": {complete: true, firstLow: 4, firstTop: 6, laterLow: 30, laterTop: 32},
		"a host missing":   {firstLow: 4, firstTop: 6, laterLow: 26, laterTop: 28},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := &coldFleet{}
			f.view(f.newHost(start), true, tt.complete, start)
			f.run(start, start.Add(8*time.Second))
			count := func(from, to time.Duration) (n int) {
				for _, at := range f.arrivals {
					if d := at.Sub(start); d >= from && d < to {
						n++
					}
				}
				return n
			}
			if n := count(time.Second, 2*time.Second); n < tt.firstLow || n > tt.firstTop {
				t.Errorf("%d requests in the second second, want %d to %d", n, tt.firstLow, tt.firstTop)
			}
			if n := count(4*time.Second, 7*time.Second); n < tt.laterLow || n > tt.laterTop {
				t.Errorf("%d requests in the fifth to seventh second, want %d to %d", n, tt.laterLow, tt.laterTop)
			}
		})
	}
}

// TestResumedCoordinatorUsesLittleOfTheColdRate guards against a coordinator that was
// suspended and resumes with its former view, beside the one that has taken over.
func TestResumedCoordinatorUsesLittleOfTheColdRate(t *testing.T) {
	f := &coldFleet{}
	leader := f.newHost(start)
	f.view(leader, true, true, start)
	f.run(start, start.Add(6*time.Second))
	leader.suspendedUntil = start.Add(8 * time.Second)
	f.run(start.Add(6*time.Second), start.Add(9*time.Second))
	n := 0
	for _, at := range f.arrivals {
		if !at.Before(leader.suspendedUntil) {
			n++
		}
	}
	if n < 3 || n > 6 {
		t.Errorf("%d requests in the first second after the suspension, want 3 to 6", n)
	}
}

// TestColdBoundHoldsBesideEarlierBuild guards against a coordinator that counts as the only one and
// uses more of a cold upstream's rate than a host of a build without pacing leaves, which takes
// over and uses its fraction at once.
func TestColdBoundHoldsBesideEarlierBuild(t *testing.T) {
	f := &coldFleet{}
	f.view(f.newHost(start), true, true, start)
	f.run(start, start.Add(5*time.Second))
	other := f.newHost(start.Add(5 * time.Second))
	coordinator.WithFeatures(coordinator.Features{})(other.c)
	f.view(other, true, false, start.Add(5*time.Second))
	f.run(start.Add(5*time.Second), start.Add(9*time.Second))
	if n := f.most(); float64(n) > coldBound {
		t.Errorf("%d requests in a second, want at most %.1f", n, coldBound)
	}
}
