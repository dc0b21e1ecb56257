package quarantiner_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/quarantiner"
)

// BenchmarkMessage makes the message for another host at full capacity, with one
// confirmed digest and nothing to send.
func BenchmarkMessage(b *testing.B) {
	benchmarkMessage(b, quarantiner.New())
}

// BenchmarkMessageOfParts does the same with a full history.
func BenchmarkMessageOfParts(b *testing.B) {
	q := newParts()
	fillHistory(q)
	benchmarkMessage(b, q)
}

// BenchmarkRecordBegun records that answers begin on the parts of a full history, none
// of which has a report.
func BenchmarkRecordBegun(b *testing.B) {
	q := newParts()
	fillHistory(q)
	d := quarantiner.Digest(0)
	for b.Loop() {
		q.RecordBegun(d%historyCapacity, start)
		d++
	}
}

// fillHistory lets answers begin on as many parts as the history holds.
func fillHistory(q *quarantiner.Quarantiner) {
	for d := range quarantiner.Digest(historyCapacity) {
		q.RecordBegun(d, start)
	}
}

func benchmarkMessage(b *testing.B, q *quarantiner.Quarantiner) {
	b.Helper()
	for d := range quarantiner.Digest(quarantiner.DefaultCapacity) {
		crash(q, d, 1, 0)
	}
	for i := range knownThreshold {
		crash(q, 1, uint64(2+i), runTime*10*time.Duration(1+i))
	}
	for len(q.Message(1000, start).Reports) > 0 {
	}
	for b.Loop() {
		q.Message(maxReports, start)
	}
}
