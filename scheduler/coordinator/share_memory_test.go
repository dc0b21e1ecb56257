package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/router"
)

// TestReservationHoldsAgainstOverShare guards against requests of a workspace over its share
// that take the memory which a large request of another workspace has reserved, because they
// are more urgent.
func TestReservationHoldsAgainstOverShare(t *testing.T) {
	c := withShares(coordinator.Features{FairShares: true, TokenRoom: true})
	table, err := router.NewTable(router.Document{Version: 1, Pools: []router.Pool{{Name: "engines", Memory: 45_000}}})
	if err != nil {
		t.Fatal(err)
	}
	c.SetTable(table, start)
	now := makeOver(t, c, 0)
	for id := range uint64(6) {
		c.Progress("entry", coordinator.Progress{ID: 100 + id, FirstToken: 52 * time.Millisecond}, now)
	}
	large := asked(1, "small", 2)
	large.Prompt, large.Objective = 44_500, time.Second
	c.Admit("entry", large, now)
	// After more than half of its objective, one of the slots is free but not the memory.
	now = now.Add(600 * time.Millisecond)
	c.Advance(now)
	c.Finish("entry", coordinator.Finish{ID: 100, Ending: coordinator.Cancelled}, now)
	if d := c.Advance(now); len(d) != 0 {
		t.Fatalf("decisions are %+v, want none for the large request", d)
	}
	now = now.Add(time.Millisecond)
	c.Admit("entry", asked(2, "big", 0), now)
	if d := c.Advance(now); len(d) != 0 {
		t.Errorf("decisions are %+v, want none for a workspace over its share", d)
	}
	c.Admit("entry", asked(3, "small", 0), now)
	if got := granted(c.Advance(now)); got != 1 {
		t.Errorf("%d granted of a higher rank, want 1", got)
	}
}
