package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// BenchmarkAdvanceShares makes decisions with 2,000 requests of 2,000 workspaces in the
// queue: in each step one request ends and one arrives.
func BenchmarkAdvanceShares(b *testing.B) {
	const step, workspaces = 700 * time.Microsecond, 2000
	for name, on := range map[string]bool{"off": false, "on": true} {
		b.Run(name, func(b *testing.B) {
			c := coordinator.New("process", coordinator.Bounds{}, coordinator.WithFeatures(coordinator.Features{FairShares: on}))
			c.DisableEarlyRejection()
			c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}}, start)
			var entries []registrar.Entry
			for i := range 15 {
				entries = append(entries, registrar.Entry{ID: fmt.Sprint("engine-", i), Pool: "engines", Domain: "d", Slots: 6})
			}
			c.SetUpstreams(entries, start)
			var names [workspaces]string
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
			}
			id := uint64(0)
			next := func(now time.Time) {
				id++
				r := request(id)
				r.Objective, r.Left, r.Workspace = time.Hour, time.Hour, names[id*7919%workspaces]
				c.Admit("entry", r, now)
			}
			for range 90 + 1900 {
				next(start)
			}
			var running []uint64
			advance := func(now time.Time) {
				for _, d := range c.Advance(now) {
					if d.Upstream != "" {
						running = append(running, d.ID)
					}
				}
			}
			advance(start)
			b.ReportAllocs()
			now, waited := start, 0
			for b.Loop() {
				now = now.Add(step)
				next(now)
				c.Finish("entry", coordinator.Finish{ID: running[0]}, now)
				running = running[1:]
				advance(now)
				waited += c.Loads(now)[0].Waiting
			}
			b.ReportMetric(float64(waited)/float64(b.N), "waiting")
		})
	}
}
