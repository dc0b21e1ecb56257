package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/observer"
	"foxtaillug.org/scheduler/registrar"
)

// TestLeavingUpstreamIsNotGranted has an upstream of two say that its process ends, while its
// entry stays as it is.
func TestLeavingUpstreamIsNotGranted(t *testing.T) {
	leaving := observer.Observation{Upstream: "engine-0", Born: 1, Leaving: true}
	put := func(born int64) func(c *coordinator.Coordinator, now time.Time) {
		return func(c *coordinator.Coordinator, now time.Time) {
			c.SetUpstreams([]registrar.Entry{
				{ID: "engine-0", Pool: "engines", Domain: "d", Slots: 6, Born: born},
				{ID: "engine-1", Pool: "engines", Domain: "d", Slots: 6, Born: 1},
			}, now)
		}
	}
	observe := func(o observer.Observation) func(c *coordinator.Coordinator, now time.Time) {
		return func(c *coordinator.Coordinator, now time.Time) { c.Observe(o, now) }
	}
	fleet := func(f coordinator.Fleet) func(c *coordinator.Coordinator, now time.Time) {
		return func(c *coordinator.Coordinator, now time.Time) { c.SetFleet(f, now) }
	}
	tests := map[string]struct {
		steps []func(c *coordinator.Coordinator, now time.Time)
		// want is the number of requests that engine-0 gets of twelve.
		want int
	}{
		"not leaving":                  {nil, 6},
		"leaving":                      {[]func(*coordinator.Coordinator, time.Time){observe(leaving)}, 0},
		"the entry is written again":   {[]func(*coordinator.Coordinator, time.Time){observe(leaving), put(1)}, 0},
		"said before the entry":        {[]func(*coordinator.Coordinator, time.Time){put(0), observe(leaving), put(1)}, 0},
		"another process":              {[]func(*coordinator.Coordinator, time.Time){observe(leaving), put(2)}, 6},
		"a standalone host":            {[]func(*coordinator.Coordinator, time.Time){observe(leaving), fleet(coordinator.Fleet{Hosts: 3, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Standalone: true})}, 0},
		"another coordinator's before": {[]func(*coordinator.Coordinator, time.Time){fleet(coordinator.Fleet{Hosts: 3, Domain: "e"}), observe(leaving), fleet(coordinator.Fleet{Hosts: 3, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}})}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			put(1)(c, start)
			for _, step := range tt.steps {
				step(c, start)
			}
			for id := range uint64(12) {
				c.Admit("entry", request(id), start)
			}
			got := 0
			for _, d := range c.Advance(start) {
				if d.Upstream == "engine-0" {
					got++
				}
			}
			if got != tt.want {
				t.Errorf("the upstream was granted %d times, want %d", got, tt.want)
			}
			if l := c.Loads(start)[0]; (l.Leaving == 1) != (tt.want == 0) || l.Upstreams+l.Leaving != 2 {
				t.Errorf("the load counts %d leaving and %d others", l.Leaving, l.Upstreams)
			}
		})
	}
}

// TestPoolThatLeavesRefusesAtOnce has the only upstream of a pool say that its process ends.
func TestPoolThatLeavesRefusesAtOnce(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 1, nil)
	c.Observe(observer.Observation{Upstream: "engine-0", Leaving: true}, start)
	if s := c.Summary(start); len(s.Free) != 0 {
		t.Errorf("the summary offers %v", s.Free)
	}
}
