package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// TestReservationEndsWithTheUpstream guards against a large request that keeps its reservation of an
// upstream which no longer receives requests, while small ones overtake it at the others. The
// memory of two engines is full of small requests, of which one ends every 30 ms.
func TestReservationEndsWithTheUpstream(t *testing.T) {
	const large, tier = 1000, 1
	c := newTokenRoom(2, 45_000)
	running := map[string][]uint64{}
	id, count, grantedAt := uint64(1), 0, time.Duration(-1)
	step := func(at time.Duration) {
		now := start.Add(at)
		id++
		r := sized(id, 10_000, 20)
		r.Tier = tier
		c.Admit("entry", r, now)
		for _, d := range c.Advance(now) {
			switch {
			case d.ID == large:
				grantedAt = at
			case d.Upstream != "":
				count++
				running[d.Upstream] = append(running[d.Upstream], d.ID)
				c.Progress("entry", coordinator.Progress{ID: d.ID, FirstToken: 100 * time.Millisecond}, now)
			}
		}
	}
	finish := func(upstream string, at time.Duration) {
		if ids := running[upstream]; len(ids) > 0 {
			c.Finish("entry", coordinator.Finish{ID: ids[0], Ending: coordinator.Cancelled}, start.Add(at))
			running[upstream] = ids[1:]
		}
	}
	at := time.Duration(0)
	for range 20 {
		at += 10 * time.Millisecond
		step(at)
	}
	if count != 8 {
		t.Fatalf("%d small requests run, want the 8 that fill the memory", count)
	}
	r := sized(large, 30_000, 20)
	r.Tier = tier
	c.Admit("entry", r, start.Add(at))
	admitted := at
	for ; at < admitted+340*time.Millisecond; at += 30 * time.Millisecond {
		step(at)
	}
	// Both lack as much, so that the first one is reserved; it is no longer listed.
	c.SetUpstreams([]registrar.Entry{{ID: "engine-1", Pool: "engines", Domain: "d", Slots: 6}}, start.Add(at))
	for grantedAt < 0 && at < admitted+time.Second {
		at += 30 * time.Millisecond
		finish("engine-1", at)
		step(at)
	}
	if grantedAt < 0 {
		t.Fatal("the large request was not granted within a second")
	}
	t.Logf("granted after %v", grantedAt-admitted)
}
