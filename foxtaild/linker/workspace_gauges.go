package linker

import (
	"sync"

	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler/coordinator"
)

// workspaceGauges are the metrics by pool and workspace. It is safe for concurrent use.
type workspaceGauges struct {
	mu sync.Mutex
	// shown holds what the last call of gauges returned with values.
	shown map[workspaceKey]bool
}

// workspaceKey identifies a workspace in a pool.
type workspaceKey struct{ pool, workspace string }

// gauges returns the metrics of loads, which may be nil. A gauge keeps its last value, so a
// workspace that is no longer among the busiest gets zeros once. There must be one caller
// that passes the gauges on.
func (w *workspaceGauges) gauges(loads *[]coordinator.WorkspaceLoad) (list []reporter.Gauge) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var current []coordinator.WorkspaceLoad
	if loads != nil {
		current = *loads
	}
	shown := make(map[workspaceKey]bool, len(current))
	for _, x := range current {
		shown[workspaceKey{x.Pool, x.Workspace}] = true
		list = appendWorkspace(list, x)
	}
	for k := range w.shown {
		if !shown[k] {
			list = appendWorkspace(list, coordinator.WorkspaceLoad{Pool: k.pool, Workspace: k.workspace})
		}
	}
	w.shown = shown
	return list
}

// appendWorkspace appends the gauges of one workspace in a pool.
func appendWorkspace(list []reporter.Gauge, x coordinator.WorkspaceLoad) []reporter.Gauge {
	tags := map[string]string{"pool": x.Pool, "workspace": x.Workspace}
	return append(list,
		reporter.Gauge{Name: "workspace_work_asked", Tags: tags, Value: x.Asked},
		reporter.Gauge{Name: "workspace_work_served", Tags: tags, Value: x.Served},
		reporter.Gauge{Name: "workspace_work_owed", Tags: tags, Value: x.Owed},
		reporter.Gauge{Name: "workspace_over_share", Tags: tags, Value: boolToFloat(x.Over)})
}
