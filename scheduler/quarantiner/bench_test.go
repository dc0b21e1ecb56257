package quarantiner_test

import (
	"testing"

	"foxtaillug.org/scheduler/quarantiner"
)

// BenchmarkMessage makes the message for another host at full capacity, with one
// confirmed digest and nothing to send.
func BenchmarkMessage(b *testing.B) {
	q := quarantiner.New()
	for d := range quarantiner.Digest(quarantiner.DefaultCapacity) {
		crash(q, d, 1, 0)
	}
	crash(q, 1, 2, runTime*10)
	for len(q.Message(1000, start).Reports) > 0 {
	}
	for b.Loop() {
		q.Message(maxReports, start)
	}
}
