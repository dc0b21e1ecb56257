package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/observer"
	"foxtaillug.org/scheduler/registrar"
)

// TestRefusalIsExplained guards against refusals of which operators can't see whether the wait
// or missing upstreams decided.
func TestRefusalIsExplained(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 4, func(e *registrar.Entry) {
		if e.ID == "engine-1" {
			e.ColdUntil = start.Add(time.Minute)
		}
	})
	c.Observe(observer.Observation{Upstream: "engine-2", Leaving: true}, start)
	// A request that can't connect ejects engine-3.
	r := request(100)
	r.Exclude = []string{"engine-0", "engine-1", "engine-2"}
	c.Admit("entry", r, start)
	if d := advanceOne(t, c, start); d.Upstream != "engine-3" {
		t.Fatalf("decision is %+v, want engine-3", d)
	}
	c.Finish("entry", coordinator.Finish{ID: 100, Ending: coordinator.ConnectFailed}, start)
	// The request that is refused has no time left to wait for a slot.
	for id := range uint64(10) {
		c.Admit("entry", request(10+id), start)
	}
	for _, d := range c.Advance(start) {
		if d.Explanation != nil {
			t.Errorf("grant %+v has an explanation", d)
		}
	}
	r = request(1)
	r.Left = 50 * time.Millisecond
	c.Admit("entry", r, start)
	d := advanceOne(t, c, start)
	want := coordinator.Explanation{Serving: 1, Cold: 1, Ejected: 1, Leaving: 1}
	if d.Explanation == nil || *d.Explanation != want {
		t.Errorf("explanation is %+v of %+v, want %+v", d.Explanation, d, want)
	}
	if l := c.Loads(start)[0]; l.Serving != want.Serving || l.Cold != want.Cold || l.Ejected != want.Ejected || l.Leaving != want.Leaving {
		t.Errorf("load is %+v, want the upstreams of %+v", l, want)
	}
}

// TestForecastWaitIsExplained guards against an early rejection that does not tell the wait by
// which it was decided.
func TestForecastWaitIsExplained(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 1, nil)
	now, id := start, uint64(0)
	for range 40 {
		id++
		c.Admit("entry", request(id), now)
		advanceOne(t, c, now)
		now = now.Add(time.Second)
		c.Finish("entry", coordinator.Finish{ID: id, Ending: coordinator.Complete, FirstToken: 50 * time.Millisecond, Generating: 950 * time.Millisecond, Tokens: 10, Total: time.Second}, now)
	}
	for range 30 {
		id++
		c.Admit("entry", request(id), now)
	}
	refused := 0
	for _, d := range c.Advance(now) {
		if d.Reason != coordinator.NoCapacity {
			continue
		}
		refused++
		if d.Explanation == nil || d.Explanation.Wait < time.Second || d.Explanation.Serving != 1 {
			t.Errorf("explanation is %+v, want a wait of more than a second at one upstream", d.Explanation)
		}
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
}

// TestLimitsAreNotExplainedByUpstreams guards against a refusal by quota that blames upstreams.
func TestLimitsAreNotExplainedByUpstreams(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 1, nil)
	for id := range uint64(200) {
		r := request(id)
		r.Repeat = true
		c.Admit("entry", r, start)
	}
	found := false
	for _, d := range c.Advance(start) {
		if d.Reason == coordinator.OverRetries {
			found = true
			if d.Explanation != nil {
				t.Fatalf("explanation is %+v, want none", d.Explanation)
			}
		}
	}
	if !found {
		t.Error("no retry was refused")
	}
}
