package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// TestQueueWithBoundRequests lets requests of a scarce version and others wait for the
// slots of engine-0, of v1, and engine-1, of v2.
func TestQueueWithBoundRequests(t *testing.T) {
	const v1, v2 = "v1", "v2"
	tests := map[string]struct {
		// bound and unbound are the numbers of waiting requests, the bound ones with IDs
		// from 1000 and the others from 2000 on. boundLast admits the bound ones last.
		bound, unbound int
		boundLast      bool
		// change changes a request before it is admitted.
		change func(r *coordinator.Request)
		// freed is the engine of which a slot becomes free, want the request that gets it.
		freed string
		want  uint64
	}{
		"bound ones in front, slot of another version": {30, 3, false, nil, v2, 2000},
		"bound ones in front, slot of their version":   {30, 3, false, nil, v1, 1000},
		"bound one behind, slot of its version":        {1, 30, true, nil, v1, 1000},
		"bound one behind, slot of another version":    {1, 30, true, nil, v2, 2000},
		"bound one is past its objective": {1, 30, true, func(r *coordinator.Request) {
			if r.Version != "" {
				r.Age = 2 * time.Second
			}
		}, v1, 1000},
		"others have a higher priority": {1, 3, true, func(r *coordinator.Request) {
			if r.Version != "" {
				r.Priority = 1
			}
		}, v1, 2000},
		"others have a higher tier": {1, 3, true, func(r *coordinator.Request) {
			if r.Version != "" {
				r.Tier = 1
			}
		}, v1, 2000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			setVersions(c, v1, v2)
			occupy(t, c, 100, 6, v1, start)
			occupy(t, c, 200, 6, v2, start)
			admit := func(first uint64, n int, version string) {
				for id := range uint64(n) {
					r := bound(first+id, version)
					if tt.change != nil {
						tt.change(&r)
					}
					c.Admit("entry", r, start.Add(time.Duration(id)*time.Millisecond))
				}
			}
			if !tt.boundLast {
				admit(1000, tt.bound, v1)
			}
			admit(2000, tt.unbound, "")
			if tt.boundLast {
				admit(1000, tt.bound, v1)
			}
			now := start.Add(50 * time.Millisecond)
			if d := c.Advance(now); len(d) > 0 {
				t.Fatalf("%+v without a free slot", d)
			}
			c.Finish("entry", coordinator.Finish{ID: map[string]uint64{v1: 100, v2: 200}[tt.freed]}, now)
			if d := advanceOne(t, c, now); d.ID != tt.want || d.Upstream == "" {
				t.Errorf("%+v, want the slot for request %d", d, tt.want)
			}
		})
	}
}

// TestForecastOfBoundRequests fills a pool of ten engines, one of which has version v1,
// and admits bursts that are bound to v1 or not.
func TestForecastOfBoundRequests(t *testing.T) {
	// Each request holds a slot for half a second, so the 6 slots of v1 serve this many
	// requests in the longest wait of 1.4 s.
	const engines, hold, servable = 10, 500 * time.Millisecond, 16
	tests := map[string]struct {
		bound, unbound int
		// boundRefused and unboundRefused bound the early refusals.
		boundRefused, unboundRefused [2]int
	}{
		"bound ones, as many as its slots serve in time":    {servable, 0, [2]int{0, 0}, [2]int{}},
		"bound ones, more than its slots serve in time":     {60, 0, [2]int{60 - 2*servable, 60 - servable}, [2]int{}},
		"bound ones with a queue of others":                 {servable, 150, [2]int{0, 0}, [2]int{0, 0}},
		"others with a long queue of bound ones":            {300, 20, [2]int{300 - 2*servable, 300 - servable}, [2]int{0, 0}},
		"others, more than all slots serve in time":         {0, 400, [2]int{}, [2]int{100, 300}},
		"others, more than the slots that bound ones leave": {300, 300, [2]int{250, 300}, [2]int{40, 200}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			setEngines(c, engines, func(e *registrar.Entry) {
				e.Version = "v2"
				if e.ID == "engine-0" {
					e.Version = "v1"
				}
			})
			now := start
			fill := func(first uint64) {
				occupy(t, c, first, 6, "v1", now)
				occupy(t, c, first+6, 6*(engines-1), "v2", now)
			}
			fill(100)
			now = now.Add(hold)
			for id := range uint64(6 * engines) {
				c.Finish("entry", coordinator.Finish{ID: 100 + id}, now)
			}
			fill(200)
			for id := range uint64(tt.bound) {
				c.Admit("entry", bound(1000+id, "v1"), now)
			}
			for id := range uint64(tt.unbound) {
				c.Admit("entry", request(2000+id), now)
			}
			var boundRefused, unboundRefused int
			for range 2 {
				for _, d := range c.Advance(now) {
					switch {
					case d.Reason != coordinator.NoCapacity || d.RetryAfter < 500*time.Millisecond:
						t.Fatalf("%+v, want refusals for no capacity with a Retry-After of at least 0.5 s", d)
					case d.ID >= 2000:
						unboundRefused++
					default:
						boundRefused++
					}
				}
				now = now.Add(20 * time.Millisecond)
			}
			if want := tt.boundRefused; boundRefused < want[0] || boundRefused > want[1] {
				t.Errorf("%d of %d bound requests refused, want %d to %d", boundRefused, tt.bound, want[0], want[1])
			}
			if want := tt.unboundRefused; unboundRefused < want[0] || unboundRefused > want[1] {
				t.Errorf("%d of %d other requests refused, want %d to %d", unboundRefused, tt.unbound, want[0], want[1])
			}
		})
	}
}

// BenchmarkAdvanceBound makes decisions with a long queue for one full version while
// slots of another one are free.
func BenchmarkAdvanceBound(b *testing.B) {
	for _, waiting := range []int{0, 100, 1900} {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			c := newCoordinator()
			c.DisableEarlyRejection()
			setEngines(c, 15, func(e *registrar.Entry) {
				e.Version = "v2"
				if e.ID == "engine-0" {
					e.Version = "v1"
				}
			})
			for id := range uint64(6 + waiting) {
				r := bound(id, "v1")
				r.Objective, r.Left, r.Waited = time.Hour, 10*time.Hour, -time.Hour
				c.Admit("entry", r, start)
			}
			c.Advance(start)
			b.ReportAllocs()
			now, id := start, uint64(10_000)
			for b.Loop() {
				now = now.Add(2 * time.Microsecond)
				id++
				c.Admit("entry", request(id), now)
				for _, d := range c.Advance(now) {
					c.Finish("entry", coordinator.Finish{ID: d.ID}, now)
				}
			}
			b.ReportMetric(float64(c.Loads(now)[0].Waiting), "waiting")
		})
	}
}
