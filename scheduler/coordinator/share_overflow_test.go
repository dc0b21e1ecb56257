package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// TestRedirectedRequestsKeepToShares guards against a workspace that gets past its share
// because the coordinator of its callers' domain, which is evacuated, redirects its requests.
func TestRedirectedRequestsKeepToShares(t *testing.T) {
	for _, overflow := range []bool{false, true} {
		t.Run(fmt.Sprintf("overflow %v", overflow), func(t *testing.T) {
			s := shareTrial{
				domains: 2, slots: 24, length: 15 * time.Second, evacuated: true, countFrom: 2 * time.Second,
				features: coordinator.Features{FairShares: true, Overflow: overflow},
			}
			s.demands = contending()
			s.run()
			t.Logf("small workspaces served %.3f, the big one %.3f", s.fraction(isSmall), s.fraction(isBig))
			if got := s.fraction(isSmall); got < 0.97 {
				t.Errorf("the small workspaces were served %.3f, want at least 0.97", got)
			}
		})
	}
}

// TestLessUrgentRequestsWithinShare guards against forecasts in which the urgent requests of
// a workspace over its share come before the less urgent ones of others.
func TestLessUrgentRequestsWithinShare(t *testing.T) {
	s := shareTrial{domains: 1, slots: 24, length: 15 * time.Second, countFrom: 2 * time.Second, features: coordinator.Features{FairShares: true}}
	s.demands = contending()
	for i := range s.demands {
		if isSmall(s.demands[i]) {
			s.demands[i].priority = 2
		}
	}
	s.run()
	t.Logf("small workspaces served %.3f, the big one %.3f", s.fraction(isSmall), s.fraction(isBig))
	if got := s.fraction(isSmall); got < 0.97 {
		t.Errorf("the small workspaces were served %.3f, want at least 0.97", got)
	}
}

// TestOldLevelDoesNotCount guards against an order by the fair level of the last contention:
// what is served in idle room afterwards grows beyond it.
func TestOldLevelDoesNotCount(t *testing.T) {
	c := withShares(coordinator.Features{FairShares: true})
	now := makeOver(t, c, 0)
	c.Admit("entry", asked(1, "small", 0), now)
	now = now.Add(50 * time.Millisecond)
	c.Advance(now)
	if over := c.OverShares(now); len(over) != 1 {
		t.Fatalf("over their share: %+v, want big", over)
	}
	finishOne(c, 6, now)
	c.Finish("entry", coordinator.Finish{ID: 1}, now)
	// Nobody waits for 2 s, then six requests run and two more wait.
	now = now.Add(2 * time.Second)
	for id := range uint64(6) {
		c.Admit("entry", asked(100+id, "big", 0), now)
	}
	c.Advance(now)
	now = now.Add(time.Millisecond)
	c.Admit("entry", asked(2, "big", 0), now)
	c.Admit("entry", asked(3, "small", 1), now)
	c.Advance(now)
	if got := finishOne(c, 2, now); !slices.Equal(got, []uint64{2, 3}) {
		t.Errorf("served in the order %v, want [2 3], by priority", got)
	}
}

// TestRedirectedWorkNoLongerArrives guards against work that is counted as arriving at one
// rank and taken out at another, because its workspace went over its share meanwhile: the
// waits reported to the others were then too long.
func TestRedirectedWorkNoLongerArrives(t *testing.T) {
	c := withShares(coordinator.Features{FairShares: true, Overflow: true})
	f := coordinator.Fleet{Hosts: 2, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r", "near": "r"}}
	c.SetFleet(f, start)
	for id := range uint64(26) {
		c.Admit("entry", asked(100+id, "big", 0), start)
	}
	c.Advance(start)
	now := start.Add(50 * time.Millisecond)
	c.Admit("entry", asked(1, "small", 0), now)
	c.Withdraw("entry", 1)
	c.Advance(now)
	if over := c.OverShares(now); len(over) != 1 || over[0].Workspace != "big" {
		t.Fatalf("over their share: %+v, want big", over)
	}
	c.RecordSummary(summaryOf("near", 50, 0), now)
	now = now.Add(20 * time.Millisecond)
	if n := len(c.Advance(now)); n != 20 {
		t.Fatalf("%d redirected, want all 20 that wait", n)
	}
	// Rank 2 is priority 2 of the first tier. Nothing waits, so it waits for 0.55 s of work
	// at 6 slots, less the work of the six that run, which came 70 ms before: 248 ms. With
	// the work of the 20 it would be 459 ms, at the least rate that is assumed.
	if waits := c.Summary(now).Rooms["engines"].Waits; waits[min(2, len(waits)-1)] > 300 {
		t.Errorf("waits are %v ms, want at most 300 for rank 2", waits)
	}
}
