package coordinator

import (
	"math"
	"time"

	"foxtaillug.org/scheduler/sharer"
)

// WorkspaceLoad is the recent work of a workspace in a pool, summed over tiers, as this
// coordinator knows it of all failure domains. All work is in slot seconds.
type WorkspaceLoad struct {
	Pool, Workspace string
	// Asked and Served are decaying sums of the work that the workspace asked for and was
	// served.
	Asked, Served float64
	// Owed is the work up to the fair level of each tier that the workspace asked for and
	// was not served. It is 0 without contention.
	Owed float64
	// Over is set if requests of some tier and priority are over the workspace's share.
	Over bool
}

// WorkspaceLoads returns the load of the maxSharers workspaces that asked for most work
// at this coordinator recently. It is empty without FairShares.
func (c *Coordinator) WorkspaceLoads(now time.Time) (list []WorkspaceLoad) {
	type id struct{ pool, workspace string }
	index := make(map[id]int)
	for _, b := range c.busiest(now) {
		k := id{b.pool, b.account.Workspace()}
		i, ok := index[k]
		if !ok {
			i = len(list)
			index[k] = i
			list = append(list, WorkspaceLoad{Pool: k.pool, Workspace: k.workspace})
		}
		list[i].add(b.account, now)
	}
	return list
}

// add adds the work in one tier. The level and the verdicts of a sharer are of its last
// refresh, so they count only while requests wait.
func (l *WorkspaceLoad) add(a *sharer.Account, now time.Time) {
	asked, served := a.Load(now)
	l.Asked += asked
	l.Served += served
	if !a.Sharer().Contended(now) {
		return
	}
	l.Over = l.Over || a.OverFrom() < sharer.Levels
	if level := a.Sharer().Level(now); !math.IsInf(level, 1) {
		l.Owed += max(0, min(asked, level)-served)
	}
}
