package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/observer"
	"foxtaillug.org/scheduler/registrar"
)

const (
	// limitTick is the step of these simulations, and limitedRun the time that a request
	// holds its slot at the limited upstream.
	limitTick  = 5 * time.Millisecond
	limitedRun = 60 * time.Millisecond
	// limitWindow, limitFactor and limitAllowance bound the requests that a limited upstream
	// may get, and limitNotice is how long after it was told a host's requests count.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5.0
	limitNotice    = 500 * time.Millisecond
)

// limitHost is a host of a limitFleet: its own coordinator, the host that it asks, and when
// it was first told of the limit.
type limitHost struct {
	c      *coordinator.Coordinator
	leader *limitHost
	told   time.Time
	// part is the host's part of a partition.
	part int
	// aloneUntil is until when the host decides for itself.
	aloneUntil time.Time
}

// limitEvent happens at a time.
type limitEvent struct {
	at time.Time
	do func(now time.Time)
}

// limitFleet is a failure domain whose upstream "limited" names a limit in each response.
type limitFleet struct {
	rand  *rand.Rand
	hosts []*limitHost
	limit observer.Limit
	// others is the number of further upstreams.
	others int
	id     uint64
	events []limitEvent
	// arrivals are the requests of told hosts at the limited upstream.
	arrivals        []time.Time
	granted, served int
	pushedAt        time.Time
}

// newLimitFleet returns a fleet whose hosts ask the first one.
func newLimitFleet(seed uint64, hosts, others int, rate float64) *limitFleet {
	f := &limitFleet{rand: rand.New(rand.NewPCG(seed, 5)), others: others, limit: observer.Limit{State: observer.Limited, Rate: rate}}
	for range hosts {
		f.hosts = append(f.hosts, f.newHost())
	}
	f.elect(start, 1)
	return f
}

// newHost returns a host that has just started.
func (f *limitFleet) newHost() *limitHost {
	c := coordinator.New("p", coordinator.Bounds{RetryAllowance: 50, RetryWindow: 10 * time.Second})
	setEngines(c, 1+f.others, func(e *registrar.Entry) {
		if e.ID == "engine-0" {
			e.ID = "limited"
		}
	})
	return &limitHost{c: c}
}

// later adds an event.
func (f *limitFleet) later(now time.Time, d time.Duration, do func(now time.Time)) {
	f.events = append(f.events, limitEvent{now.Add(d), do})
}

// elect parts the fleet and makes the first host of each part its coordinator. Hosts notice
// it within two seconds.
func (f *limitFleet) elect(now time.Time, parts int) {
	sizes := make([]int, parts)
	for i, h := range f.hosts {
		h.part = i % parts
		sizes[h.part]++
	}
	for i, h := range f.hosts {
		leader := f.hosts[i%parts]
		share := min(1, 1.15*float64(sizes[h.part])/float64(len(f.hosts)))
		f.later(now, time.Duration(f.rand.IntN(2000))*time.Millisecond, func(now time.Time) {
			h.follow(leader, share, len(f.hosts), now)
		})
	}
}

// follow makes a host ask another one, or coordinate if that is itself.
func (h *limitHost) follow(leader *limitHost, share float64, hosts int, now time.Time) {
	h.leader = leader
	if leader != h {
		share = 0.25 / float64(hosts)
		for _, o := range h.c.Observed(0, now) {
			leader.c.Observe(o, now)
		}
	}
	h.c.SetFleet(coordinator.Fleet{Hosts: hosts, Share: share, QuotaShare: share, Domain: "d", Scope: []string{"d"}, Standalone: leader != h}, now)
}

// decider returns the coordinator that decides on a host's requests.
func (h *limitHost) decider(now time.Time) *coordinator.Coordinator {
	if h.leader == nil || now.Before(h.aloneUntil) {
		return h.c
	}
	return h.leader.c
}

// request sends a request of a host. The link to the upstream has a random delay.
func (f *limitFleet) request(h *limitHost, now time.Time) {
	f.id++
	c, r := h.decider(now), request(f.id)
	entry := fmt.Sprintf("%p", h)
	c.Admit(entry, r, now)
	for _, d := range c.Advance(now) {
		if d.Upstream == "" {
			continue
		}
		f.granted++
		f.later(now, time.Duration(f.rand.IntN(50))*time.Millisecond, func(now time.Time) { f.arrive(h, c, d, now) })
	}
}

// arrive runs a request at its upstream and then reports its response.
func (f *limitFleet) arrive(h *limitHost, c *coordinator.Coordinator, d coordinator.Decision, now time.Time) {
	if d.Upstream == "limited" {
		f.served++
		if !h.told.IsZero() && now.Sub(h.told) >= limitNotice {
			f.arrivals = append(f.arrivals, now)
		}
	}
	sent := now
	f.later(now, limitedRun, func(now time.Time) {
		o := observer.Observation{Upstream: d.Upstream, Limit: f.limit}
		if d.Upstream != "limited" || f.limit.State != observer.Limited {
			o.Limit, o.Age = observer.Limit{State: observer.Unlimited}, now.Sub(sent)
		} else if h.told.IsZero() {
			h.told = now
		}
		h.c.Observe(o, now)
		c.Observe(o, now)
		c.Finish(d.Entry, coordinator.Finish{ID: d.ID, Total: limitedRun}, now)
	})
}

// run sends requests at a rate and calls disturb at each tick.
func (f *limitFleet) run(from time.Time, d time.Duration, perSecond float64, disturb func(now time.Time)) (end time.Time) {
	for now := from; now.Before(from.Add(d)); now = now.Add(limitTick) {
		due := slices.Clone(f.events)
		f.events = slices.DeleteFunc(f.events, func(e limitEvent) bool { return !e.at.After(now) })
		for _, e := range due {
			if !e.at.After(now) {
				e.do(now)
			}
		}
		disturb(now)
		for n := perSecond * limitTick.Seconds(); f.rand.Float64() < n; n-- {
			f.request(f.hosts[f.rand.IntN(len(f.hosts))], now)
		}
		if now.Sub(f.pushedAt) >= time.Second {
			f.pushedAt = now
			for _, h := range f.hosts {
				if h.leader != nil && h.leader != h {
					for _, o := range h.leader.c.Observed(0, now) {
						h.c.Observe(o, now)
					}
				}
			}
		}
	}
	return from.Add(d)
}

// most returns the largest number of counted requests in a window.
func (f *limitFleet) most() (most float64) {
	for _, from := range f.arrivals {
		most = max(most, count(f.arrivals, from, limitWindow))
	}
	return most
}

// TestLimitHoldsWhileCoordinatorsChange lets hosts elect other coordinators, restart, part
// and decide for themselves, in series that overlap, while an upstream names a limit.
func TestLimitHoldsWhileCoordinatorsChange(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// elect, restart and alone are the mean times between such events, 0 for never. An
		// election parts the fleet into up to parts.
		elect, restart, alone time.Duration
		hosts, others, parts  int
	}{
		"calm":                  {hosts: 9, others: 3},
		"only limited":          {hosts: 9},
		"elections":             {hosts: 9, others: 3, elect: 6 * time.Second, parts: 1},
		"elections, restarts":   {hosts: 9, others: 3, elect: 6 * time.Second, restart: 2 * time.Second, parts: 1},
		"hosts alone":           {hosts: 9, others: 1, alone: 500 * time.Millisecond},
		"hosts alone, 90":       {hosts: 90, others: 1, alone: 100 * time.Millisecond},
		"only limited, alone":   {hosts: 9, alone: 300 * time.Millisecond},
		"parts":                 {hosts: 9, others: 1, elect: 8 * time.Second, parts: 3},
		"parts, alone":          {hosts: 30, others: 1, elect: 8 * time.Second, alone: time.Second, parts: 3},
		"everything":            {hosts: 9, others: 2, elect: 8 * time.Second, restart: 3 * time.Second, alone: time.Second, parts: 2},
		"everything, 90 hosts":  {hosts: 90, others: 2, elect: 8 * time.Second, restart: 3 * time.Second, alone: time.Second, parts: 3},
		"everything, no others": {hosts: 9, elect: 8 * time.Second, restart: 3 * time.Second, alone: time.Second, parts: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for i, rate := range []float64{0, 0.2, 1.7, 4, 12} {
				f := newLimitFleet(uint64(i), tt.hosts, tt.others, rate)
				happens := func(mean time.Duration) bool {
					return mean > 0 && f.rand.Float64() < limitTick.Seconds()/mean.Seconds()
				}
				f.run(start, 60*time.Second, 60, func(now time.Time) {
					if happens(tt.elect) {
						f.rand.Shuffle(len(f.hosts), func(i, j int) { f.hosts[i], f.hosts[j] = f.hosts[j], f.hosts[i] })
						f.elect(now, 1+f.rand.IntN(tt.parts))
					}
					if happens(tt.restart) {
						i := f.rand.IntN(len(f.hosts))
						old := f.hosts[i]
						f.hosts[i] = f.newHost()
						for _, h := range f.hosts {
							if h.leader == old {
								h.leader = nil
							}
						}
						f.elect(now, 1)
					}
					if happens(tt.alone) {
						f.hosts[f.rand.IntN(len(f.hosts))].aloneUntil = now.Add(time.Duration(f.rand.IntN(4000)) * time.Millisecond)
					}
				})
				allowed := limitFactor*limitWindow.Seconds()*rate + limitAllowance
				t.Logf("limit %g: %d requests at the upstream in 60 s, at most %.0f counted in %v, %.1f allowed", rate, f.served, f.most(), limitWindow, allowed)
				if f.most() > allowed {
					t.Errorf("limit %g: %.0f requests in %v, want at most %.1f", rate, f.most(), limitWindow, allowed)
				}
				if name == "calm" && float64(f.served) < rate*60/2 {
					t.Errorf("limit %g: %d requests in 60 s, want at least half of the limit", rate, f.served)
				}
			}
		})
	}
}

// TestEndOfLimitIsNoticed ends a limit. The upstream gets its share of the load again, also
// after a limit of 0, and if another host has told a new coordinator that it still holds.
func TestEndOfLimitIsNoticed(t *testing.T) {
	for _, rate := range []float64{0, 0.2, 2} {
		for _, elects := range []bool{false, true} {
			t.Run(fmt.Sprintf("limit %g, election %v", rate, elects), func(t *testing.T) {
				f := newLimitFleet(1, 9, 2, rate)
				calm := func(time.Time) {}
				now := f.run(start, 20*time.Second, 60, calm)
				f.limit = observer.Limit{State: observer.Unlimited}
				if elects {
					f.hosts[0], f.hosts[5] = f.hosts[5], f.hosts[0]
					f.elect(now, 1)
				}
				now = f.run(now, 15*time.Second, 60, calm)
				before := f.served
				f.run(now, 10*time.Second, 200, calm)
				if n := f.served - before; n < 100 {
					t.Errorf("%d requests in 10 s after the end of the limit, want a share of 2,000", n)
				}
			})
		}
	}
}

// TestLowerLimitHoldsSoon lowers a limit under load.
func TestLowerLimitHoldsSoon(t *testing.T) {
	f := newLimitFleet(1, 9, 2, 20)
	calm := func(time.Time) {}
	now := f.run(start, 20*time.Second, 60, calm)
	f.limit.Rate = 1
	now = f.run(now, limitNotice, 60, calm)
	f.arrivals = nil
	f.run(now, 20*time.Second, 60, calm)
	if allowed := limitFactor*limitWindow.Seconds() + limitAllowance; f.most() > allowed {
		t.Errorf("%.0f requests in %v, want at most %.0f", f.most(), limitWindow, allowed)
	}
}

// TestLateResponseDoesNotEndLimit delivers the response to a request from before the limit
// was named after one that names it.
func TestLateResponseDoesNotEndLimit(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 1, nil)
	named := observer.Observation{Upstream: "engine-0", Limit: observer.Limit{State: observer.Limited, Rate: 1}}
	c.Observe(named, start)
	plain := observer.Observation{Upstream: "engine-0", Limit: observer.Limit{State: observer.Unlimited}, Age: 10 * time.Second}
	if change := c.Observe(plain, start.Add(time.Second)); change != observer.None {
		t.Errorf("a response to a request sent before the limit was named: the limit %v", change)
	}
	plain.Age = 100 * time.Millisecond
	if change := c.Observe(plain, start.Add(2*time.Second)); change != observer.Ended {
		t.Errorf("a response to a later request: the limit %v, want ended", change)
	}
}

// TestLimitEndsWithItsProcess replaces the process of a limited upstream.
func TestLimitEndsWithItsProcess(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 1, func(e *registrar.Entry) { e.Born = 1 })
	c.Observe(observer.Observation{Upstream: "engine-0", Born: 1, Limit: observer.Limit{State: observer.Limited, Rate: 1}}, start)
	admit := func(id uint64) int {
		for i := range uint64(6) {
			c.Admit("entry", request(id+i), start)
		}
		return len(c.Advance(start))
	}
	if n := admit(10); n != 0 {
		t.Errorf("%d requests granted at once, want none", n)
	}
	setEngines(c, 1, func(e *registrar.Entry) { e.Born = 2 })
	if n := admit(20); n != 6 {
		t.Errorf("%d requests granted at the new process, want 6", n)
	}
}

// TestLimitHoldsWhileEntryIsOutdated gives the coordinator the entry of a former process, as
// after a restore of the store, while the upstream names a limit.
func TestLimitHoldsWhileEntryIsOutdated(t *testing.T) {
	for name, born := range map[string]int64{"named before": 2, "named since, read with the outdated entry": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			setEngines(c, 1, func(e *registrar.Entry) { e.Born = 2 })
			c.Observe(observer.Observation{Upstream: "engine-0", Born: 2, Limit: observer.Limit{State: observer.Limited, Rate: 2}}, start)
			setEngines(c, 1, func(e *registrar.Entry) { e.Born = 1 })
			now := start.Add(time.Second)
			c.Observe(observer.Observation{Upstream: "engine-0", Born: born, Limit: observer.Limit{State: observer.Limited, Rate: 1}}, now)
			for id := range uint64(6) {
				c.Admit("entry", request(id), now)
			}
			granted := 0
			for _, d := range c.Advance(now) {
				if d.Upstream != "" {
					granted++
				}
			}
			if granted > 1 {
				t.Errorf("%d requests granted at once with a limit of 1 a second, want at most 1", granted)
			}
		})
	}
}

// TestRequestBeyondLimitsIsRefusedAtOnce sends more requests than the upstreams of a pool,
// which all name limits, accept in the time that the requests may wait.
func TestRequestBeyondLimitsIsRefusedAtOnce(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 2, nil)
	for _, id := range []string{"engine-0", "engine-1"} {
		c.Observe(observer.Observation{Upstream: id, Limit: observer.Limit{State: observer.Limited, Rate: 0.5}}, start)
	}
	c.Admit("entry", request(1), start)
	d := advanceOne(t, c, start)
	if d.Reason != coordinator.NoCapacity || d.RetryAfter < 500*time.Millisecond {
		t.Errorf("got %+v, want a refusal with the time until a limit admits a request", d)
	}
	now := start.Add(2 * time.Second)
	c.Admit("entry", request(2), now)
	if d := advanceOne(t, c, now); d.Upstream == "" {
		t.Errorf("got %+v, want a grant within the limits", d)
	}
}

// TestSummaryCountsWhatLimitsAdmit checks that no requests are redirected to upstreams whose
// limits do not admit any.
func TestSummaryCountsWhatLimitsAdmit(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 2, nil)
	c.Observe(observer.Observation{Upstream: "engine-0", Limit: observer.Limit{State: observer.Limited, Rate: 1}}, start)
	if free := c.Summary(start).Free["engines"]; free != 6 {
		t.Errorf("%d slots free, want the 6 of the upstream without a limit", free)
	}
	if free := c.Summary(start.Add(3 * time.Second)).Free["engines"]; free != 7 {
		t.Errorf("%d slots free, want 6 and what the limit admits", free)
	}
}

// TestUnusedGrantIsReturnedToTheLimit ends grants with and without a request.
func TestUnusedGrantIsReturnedToTheLimit(t *testing.T) {
	tests := map[string]struct {
		ending coordinator.Ending
		want   int
	}{
		"unused":   {coordinator.Unused, 1},
		"complete": {coordinator.Complete, 0},
		"lost":     {coordinator.ConnectionLost, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			setEngines(c, 1, nil)
			c.Observe(observer.Observation{Upstream: "engine-0", Limit: observer.Limit{State: observer.Limited, Rate: 1}}, start)
			now := start.Add(2 * time.Second)
			c.Admit("entry", request(1), now)
			if d := advanceOne(t, c, now); d.Upstream == "" {
				t.Fatalf("got %+v, want a grant", d)
			}
			c.Finish("entry", coordinator.Finish{ID: 1, Ending: tt.ending}, now)
			if free := c.Summary(now).Free["engines"]; free != tt.want {
				t.Errorf("%d slots free, want %d", free, tt.want)
			}
		})
	}
}
