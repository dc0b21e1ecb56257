package linker

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"foxtaillug.org/scheduler/balancer"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/sharer"
)

// BenchmarkSummaryBytes reports the size of the summary that a coordinator sends to each
// other failure domain, with 2,000 workspaces and 2 pools, once gob has sent its type
// definitions, by the parts that it has.
func BenchmarkSummaryBytes(b *testing.B) {
	const workspaces, listed = 2000, 32
	addShares := func(s *coordinator.Summary, pool string) {
		for i := range listed {
			s.Shares = append(s.Shares, coordinator.Share{
				Pool: pool, Tier: 1,
				Share: sharer.Share{Workspace: fmt.Sprint("workspace-", i), Asked: 1234.567 + float64(i)/7, Served: []float64{345.678 + float64(i)/7, 456.789, 12.345}},
			})
		}
	}
	parts := map[string]func(s *coordinator.Summary){
		"none":   func(*coordinator.Summary) {},
		"shares": func(s *coordinator.Summary) { addShares(s, "stone-model") },
		"sharesOfBothPools": func(s *coordinator.Summary) {
			addShares(s, "stone-model")
			addShares(s, "plain-service")
		},
		"rooms": func(s *coordinator.Summary) {
			s.Rooms = map[string]balancer.Room{}
			for _, pool := range []string{"stone-model", "plain-service"} {
				s.Rooms[pool] = balancer.Room{
					Rate: 61.23, Spread: 7.891, Queued: []int{0, 5400, 98000}, Running: 91234, Free: -120,
					Waits: []int{0, 40, 90, 150, 400, 700, 900, 1400, 2100}, FirstToken: 1.2345, Round: 123456,
				}
			}
		},
		"ejected": func(s *coordinator.Summary) {
			for i := range 5 {
				s.Ejected = append(s.Ejected, fmt.Sprint("i-53ebc6cf2", i))
			}
		},
	}
	parts["all"] = func(s *coordinator.Summary) { parts["sharesOfBothPools"](s); parts["rooms"](s); parts["ejected"](s) }
	for name, fill := range parts {
		b.Run(name, func(b *testing.B) {
			s := coordinator.Summary{
				Process: "edge-casa-ain-sebaa-1#7", Domain: "casa-a",
				Free: map[string]int{"stone-model": -120, "plain-service": 4}, Used: map[string]float64{},
			}
			for i := range workspaces {
				s.Used[fmt.Sprint("workspace-", i)] = 123456.789 + float64(i)
			}
			fill(&s)
			var buf bytes.Buffer
			enc := gob.NewEncoder(&buf)
			encode := func() {
				buf.Reset()
				if err := enc.Encode(&frame{Summary: &s}); err != nil {
					b.Fatal(err)
				}
			}
			encode()
			for b.Loop() {
				encode()
			}
			b.ReportMetric(float64(buf.Len()), "B/summary")
		})
	}
}
