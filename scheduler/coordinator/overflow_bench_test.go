package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"foxtaillug.org/scheduler/balancer"
	"foxtaillug.org/scheduler/coordinator"
)

// BenchmarkAdvanceOverflow makes decisions with about 1,900 queued requests and five other
// coordinators without room, by free slots and by forecast. In each step one request ends
// and one arrives.
func BenchmarkAdvanceOverflow(b *testing.B) {
	const step, waiting = 700 * time.Microsecond, 1900
	for name, overflow := range map[string]bool{"slots": false, "forecast": true} {
		b.Run(name, func(b *testing.B) {
			c := coordinator.New("process", coordinator.Bounds{}, coordinator.WithFeatures(coordinator.Features{Overflow: overflow}))
			regions := map[string]string{"d": "r"}
			for i := range 5 {
				regions[fmt.Sprint("other-", i)] = fmt.Sprint("r", i%2)
			}
			c.SetFleet(coordinator.Fleet{Hosts: 6, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: regions}, start)
			c.DisableEarlyRejection()
			setEngines(c, 15, nil)
			summarize := func(now time.Time) {
				for i := range 5 {
					c.RecordSummary(coordinator.Summary{
						Domain: fmt.Sprint("other-", i), Free: map[string]int{"engines": -500},
						Rooms: map[string]balancer.Room{"engines": {Rate: 30, Waits: []int{9000}, FirstToken: 1}},
					}, now)
				}
			}
			id := uint64(0)
			next := func(now time.Time) {
				id++
				r := request(id)
				r.Objective, r.Left = time.Hour, time.Hour
				c.Admit("entry", r, now)
			}
			for range 15*6 + waiting {
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
			summarize(start)
			advance(start)
			b.ReportAllocs()
			now, waited, summarized := start, 0, start
			for b.Loop() {
				now = now.Add(step)
				if now.Sub(summarized) >= 150*time.Millisecond {
					summarized = now
					summarize(now)
				}
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
