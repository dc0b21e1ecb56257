package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler/balancer"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// newPartlyFull returns a coordinator of two pools, whose slots are in use, and the summary
// of another region with free slots for both.
func newPartlyFull() (*coordinator.Coordinator, coordinator.Summary) {
	c := coordinator.New("process", coordinator.Bounds{}, coordinator.WithFeatures(coordinator.Features{Overflow: true}))
	c.SetFleet(coordinator.Fleet{Hosts: 2, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r1", "far": "r2"}}, start)
	s := coordinator.Summary{Process: "p", Domain: "far", Free: map[string]int{}, Rooms: map[string]balancer.Room{}}
	var entries []registrar.Entry
	for _, pool := range []string{"a", "b"} {
		entries = append(entries, registrar.Entry{ID: pool, Pool: pool, Domain: "d", Slots: 1})
		s.Free[pool], s.Rooms[pool] = 50, balancer.Room{Rate: 50, Free: 50, FirstToken: 1}
	}
	c.SetUpstreams(entries, start)
	return c, s
}

// TestLinkBudgetIsSpentInOrder guards against decisions that depend on the order of a map:
// all pools spend the same budget of the link between regions.
func TestLinkBudgetIsSpentInOrder(t *testing.T) {
	var first []coordinator.Decision
	for i := range 30 {
		c, s := newPartlyFull()
		for id := range uint64(30) {
			r := coordinator.Request{ID: id, Pool: []string{"a", "b"}[id%2], Prompt: 30000, Output: 10, Objective: 2 * time.Second, Left: 5 * time.Second}
			c.Admit("entry", r, start)
		}
		c.RecordSummary(s, start)
		got := c.Advance(start)
		if i == 0 {
			first = got
		}
		if !slices.Equal(got, first) {
			t.Fatalf("run %d decides %+v, the first %+v", i, got, first)
		}
	}
}

// TestLinkBudgetAfterAnEvacuation guards against a debt of the link between regions that
// grows as long as a domain is evacuated and keeps its requests at home afterwards.
func TestLinkBudgetAfterAnEvacuation(t *testing.T) {
	c, s := newPartlyFull()
	c.SetUpstreams(nil, start)
	id, now := uint64(0), start
	admit := func() (sent bool) {
		id++
		c.Admit("entry", coordinator.Request{ID: id, Pool: "a", Prompt: 30000, Output: 10, Objective: 2 * time.Second, Left: 5 * time.Second}, now)
		for _, d := range c.Advance(now) {
			sent = sent || d.ID == id && d.Domain != ""
		}
		return sent
	}
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		c.RecordSummary(s, now)
		if !admit() {
			t.Fatal("a request of the evacuated domain was not redirected")
		}
	}
	c.SetUpstreams([]registrar.Entry{{ID: "a", Pool: "a", Domain: "d", Slots: 1}}, now)
	admit()
	// Within 2 s the link is free for the next request.
	now = now.Add(2 * time.Second)
	c.RecordSummary(s, now)
	c.Admit("entry", coordinator.Request{ID: 9999, Pool: "a", Prompt: 30000, Output: 10, Objective: 2 * time.Second, Left: 5 * time.Second}, now)
	c.Advance(now)
	if !admit() {
		t.Error("a request was not redirected 2 s after the evacuation")
	}
}

// TestRoomOfColdUpstreamsWithoutArrivals guards against a domain that reports all of its
// slots as free although its upstreams are cold and it has had no request yet.
func TestRoomOfColdUpstreamsWithoutArrivals(t *testing.T) {
	table, err := router.NewTable(router.Document{Version: 1, Pools: []router.Pool{{Name: "engines", ColdRate: 11}}})
	if err != nil {
		t.Fatal(err)
	}
	c := coordinator.New("process", coordinator.Bounds{ColdFactor: 1.5, ColdAllowance: 5}, coordinator.WithFeatures(coordinator.Features{Overflow: true}))
	c.SetTable(table, start)
	c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r"}}, start)
	setEngines(c, 4, func(e *registrar.Entry) { e.ColdUntil = start.Add(3 * time.Second) })
	room, told := c.Summary(start.Add(time.Millisecond)).Rooms["engines"]
	if !told || room.Free > 4 {
		t.Errorf("told %v with %d free slots, want at most 4 of 24", told, room.Free)
	}
}
