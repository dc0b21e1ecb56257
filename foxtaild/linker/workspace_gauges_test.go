package linker

import (
	"fmt"
	"log/slog"
	"maps"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// TestWorkspaceGauges guards against metrics by workspace that do not show who is over its
// share, that keep the last value of a workspace for ever, that list all workspaces, or that
// exist without the feature.
func TestWorkspaceGauges(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		shares bool
		// others is the number of workspaces beside big that ask.
		others int
		// listed is the number of workspaces with metrics.
		listed int
	}{
		"few":             {true, 2, 3},
		"many":            {true, 40, 32},
		"without feature": {false, 2, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := coordinator.New("p", coordinator.Bounds{}, coordinator.WithFeatures(coordinator.Features{FairShares: tt.shares}))
			c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}}, start)
			c.SetUpstreams([]registrar.Entry{{ID: "e", Pool: "engines", Domain: "d", Slots: 6}}, start)
			for id := range uint64(6 + tt.others) {
				workspace := "big"
				if id >= 6 {
					workspace = fmt.Sprint("small-", id)
				}
				c.Admit("entry", coordinator.Request{ID: id, Pool: "engines", Workspace: workspace, Prompt: 100, Output: 100, Objective: time.Minute, Left: time.Minute}, start)
			}
			c.Advance(start)
			c.Advance(start.Add(50 * time.Millisecond))
			l := newLoop("host", c, nil, slog.New(slog.DiscardHandler))
			var w workspaceGauges
			if got := w.gauges(l.workspaceLoads.Load()); len(got) != 0 {
				t.Errorf("%d gauges before the first measurement", len(got))
			}
			l.measureLoads(start.Add(50 * time.Millisecond))
			values := make(map[string]map[string]float64)
			collect := func() (n int) {
				list := w.gauges(l.workspaceLoads.Load())
				for _, g := range list {
					if values[g.Name] == nil {
						values[g.Name] = make(map[string]float64)
					}
					values[g.Name][g.Tags["pool"]+" "+g.Tags["workspace"]] = g.Value
				}
				return len(list)
			}
			collect()
			if n := len(values["workspace_work_asked"]); n != tt.listed {
				t.Fatalf("%d workspaces, want %d", n, tt.listed)
			}
			if tt.listed == 0 {
				return
			}
			for workspace, over := range values["workspace_over_share"] {
				asked, served, owed := values["workspace_work_asked"][workspace], values["workspace_work_served"][workspace], values["workspace_work_owed"][workspace]
				big := workspace == "engines big"
				if (over == 1) != big || (owed > 0) == big || (served > 0) != big || asked <= 0 || owed > asked {
					t.Errorf("%s: asked %v, served %v, owed %v, over its share %v", workspace, asked, served, owed, over)
				}
			}
			before := maps.Clone(values["workspace_work_asked"])
			l.measureLoads(start.Add(time.Hour))
			if n := collect(); n != 4*len(before) {
				t.Errorf("%d gauges of %d workspaces that are idle", n, len(before))
			}
			for name, byWorkspace := range values {
				for workspace, v := range byWorkspace {
					if v != 0 {
						t.Errorf("%s of %s stays %v", name, workspace, v)
					}
				}
			}
			if n := collect(); n != 0 {
				t.Errorf("%d gauges after the zeros", n)
			}
		})
	}
}
