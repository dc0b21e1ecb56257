package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/router"
)

// TestRefusedSearchesLeaveRetryBudget has one request ask for another upstream again and
// again while no slot is free. A retry that finds a free slot then must not be refused.
func TestRefusedSearchesLeaveRetryBudget(t *testing.T) {
	const searches = 100
	c := newCoordinator()
	setEngines(c, 1, nil)
	for id := range uint64(6) {
		r := request(id)
		r.Left = time.Hour
		c.Admit("entry", r, start)
	}
	c.Advance(start)
	// Searches of one or a few requests, each withdrawn when its upstream goes on.
	now := start
	reasons := map[coordinator.Reason]int{}
	for i := range uint64(searches) {
		now = now.Add(30 * time.Millisecond)
		r := request(100 + i)
		r.Repeat, r.Left = true, time.Hour
		c.Admit("entry", r, now)
		for _, d := range c.Advance(now) {
			reasons[d.Reason]++
		}
		c.Withdraw("entry", r.ID)
	}
	c.Finish("entry", coordinator.Finish{ID: 0}, now)
	r := request(1000)
	r.Repeat = true
	c.Admit("entry", r, now)
	if d := advanceOne(t, c, now); d.Upstream == "" {
		t.Errorf("a retry was refused as %v with a slot free, after %d searches that sent nothing (refused: %v)", d.Reason, searches, reasons)
	}
}

// TestUnusedRepeatIsNotRefunded returns the unused grant of a repeat, which was not
// charged to the quota.
func TestUnusedRepeatIsNotRefunded(t *testing.T) {
	for name, ending := range map[string]coordinator.Ending{"unused": coordinator.Unused, "rejected": coordinator.Rejected, "unreached": coordinator.ConnectFailed} {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			table, err := router.NewTable(router.Document{Version: 2, Pools: []router.Pool{{Name: "engines"}}, Workspaces: []router.Workspace{{Name: "crews", Rate: 10, Burst: 1000}}})
			if err != nil {
				t.Fatal(err)
			}
			c.SetTable(table, start)
			setEngines(c, 2, nil)
			c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r"}}, start)
			first := request(1)
			first.Workspace, first.Cost = "crews", 400
			c.Admit("entry", first, start)
			if d := advanceOne(t, c, start); d.Upstream == "" {
				t.Fatalf("%+v", d)
			}
			before := c.Summary(start).Used["crews"]
			now := start.Add(time.Second)
			repeat := first
			repeat.ID, repeat.Repeat = 2, true
			c.Admit("entry", repeat, now)
			if d := advanceOne(t, c, now); d.Upstream == "" {
				t.Fatalf("%+v", d)
			}
			c.Finish("entry", coordinator.Finish{ID: 2, Ending: ending}, now)
			if got := c.Summary(now).Used["crews"]; got != before {
				t.Errorf("usage of %v became %v, though the first run goes on", before, got)
			}
		})
	}
}
