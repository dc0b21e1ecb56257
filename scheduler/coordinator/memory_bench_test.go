package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// BenchmarkAdvanceTokenRoom makes decisions at 15 engines with 1,900 waiting requests: in each
// step one request ends and one arrives. With room for tokens only slots are short; without,
// slots are free that no request has the tokens for.
func BenchmarkAdvanceTokenRoom(b *testing.B) {
	for name, prompt := range map[string]int{"room": 100, "none": 30_000} {
		b.Run(name, func(b *testing.B) {
			c := newTokenRoom(15, 100_000)
			c.DisableEarlyRejection()
			id := uint64(0)
			next := func(now time.Time) {
				id++
				r := sized(id, prompt, 10)
				r.Objective, r.Left = time.Hour, time.Hour
				c.Admit("entry", r, now)
			}
			for range 1900 {
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
				now = now.Add(700 * time.Microsecond)
				next(now)
				if len(running) > 0 {
					c.Finish("entry", coordinator.Finish{ID: running[0]}, now)
					running = running[1:]
				}
				advance(now)
				waited += c.Loads(now)[0].Waiting
			}
			b.ReportMetric(float64(waited)/float64(b.N), "waiting")
		})
	}
}
