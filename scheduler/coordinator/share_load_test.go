package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// TestWorkspaceLoads guards against metrics that miss work of a tier, that show more owed to
// a workspace than it asked for, or that show a workspace as over its share or short of it
// when no request waits any more.
func TestWorkspaceLoads(t *testing.T) {
	tests := map[string]struct {
		// after is the time since the last request waited.
		after time.Duration
		// contended is set if big is over its share and small is owed work.
		contended bool
	}{
		"while requests wait":        {0, true},
		"shortly after":              {200 * time.Millisecond, true},
		"when no request has waited": {400 * time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := withShares(coordinator.Features{FairShares: true})
			makeOver(t, c, 0)
			// A request of another tier adds to the work that small asks for.
			second := asked(300, "small", 0)
			second.Tier = 1
			c.Admit("entry", second, start)
			c.Admit("entry", asked(301, "small", 0), start)
			c.Admit("entry", asked(302, "tiny", 0), start)
			now := start.Add(50 * time.Millisecond)
			c.Advance(now)
			c.Withdraw("entry", 300)
			c.Withdraw("entry", 301)
			c.Withdraw("entry", 302)
			got := make(map[string]coordinator.WorkspaceLoad)
			for _, l := range c.WorkspaceLoads(now.Add(tt.after)) {
				got[l.Workspace] = l
			}
			big, small := got["big"], got["small"]
			if len(got) != 3 || big.Asked <= 0 || big.Served <= 0 || small.Asked <= 0 || small.Served != 0 {
				t.Fatalf("loads are %+v", got)
			}
			// Big has asked for six requests and small for five, one of another tier.
			if ratio := small.Asked / big.Asked; tt.contended && (ratio < 4.9/6 || ratio > 5.1/6) {
				t.Errorf("small asked for %v of the work of big, want 5/6", ratio)
			}
			if big.Over != tt.contended || big.Owed != 0 || (small.Owed > 0) != tt.contended || small.Over {
				t.Errorf("contended %v: loads are %+v", tt.contended, got)
			}
			if tiny := got["tiny"]; tiny.Owed > tiny.Asked || (tiny.Owed > 0) != tt.contended {
				t.Errorf("tiny asked for %v and is owed %v", tiny.Asked, tiny.Owed)
			}
		})
	}
}
