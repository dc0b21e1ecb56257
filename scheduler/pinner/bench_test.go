package pinner_test

import (
	"fmt"
	"testing"

	"foxtaillug.org/scheduler/pinner"
)

// BenchmarkHolders measures how long a host takes to find the holders of a record.
func BenchmarkHolders(b *testing.B) {
	for _, size := range []int{9, 90, 1200} {
		domains := make([]int, 3)
		if size == 1200 {
			domains = make([]int, 21)
		}
		for i := range size {
			domains[i%len(domains)]++
		}
		hosts := hostsIn(domains...)
		b.Run(fmt.Sprintf("%d hosts", size), func(b *testing.B) {
			k := pinner.Key(0)
			for b.Loop() {
				k++
				pinner.Holders(k, "0", hosts)
			}
		})
	}
}

// BenchmarkRecord measures recording and sharing a stream's origin among 3,000 others.
func BenchmarkRecord(b *testing.B) {
	p := pinner.New()
	for k := range pinner.Key(3000) {
		p.Receive(k, first, start.Add(window), start)
	}
	for b.Loop() {
		p.Record(0, route, first, start.Add(window), start)
		p.Unshared(start)
	}
}
