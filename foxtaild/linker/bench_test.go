package linker

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/detector"
	"foxtaillug.org/scheduler/quarantiner"
)

// BenchmarkControlBytes reports the bytes that one request costs between its
// entry host and its coordinator, in both directions, once gob has sent its type
// definitions.
func BenchmarkControlBytes(b *testing.B) {
	var up, down bytes.Buffer
	entry, coord := gob.NewEncoder(&up), gob.NewEncoder(&down)
	request := func(id uint64) {
		for _, f := range []frame{
			{Asks: []coordinator.Request{{
				ID: id, Pool: "stone-model", Workspace: "workspace-17", Tier: 1, Priority: 2, Objective: 600 * time.Millisecond,
				Left: 5 * time.Second, Cost: 3400, Prompt: 2890, Output: 52,
			}}},
			{Progress: []coordinator.Progress{{ID: id, FirstToken: 130 * time.Millisecond}}},
			{Finishes: []coordinator.Finish{{ID: id, FirstToken: 130 * time.Millisecond, Generating: 250 * time.Millisecond, Total: 380 * time.Millisecond, Tokens: 48}}},
		} {
			if err := entry.Encode(&f); err != nil {
				b.Fatal(err)
			}
		}
		if err := coord.Encode(&response{Decisions: []coordinator.Decision{{Entry: "edge-casa-ain-sebaa-1#7", ID: id, Upstream: "i-53ebc6cf29"}}}); err != nil {
			b.Fatal(err)
		}
	}
	request(1)
	n := uint64(100_000)
	up.Reset()
	down.Reset()
	first := n
	for b.Loop() {
		n++
		request(n)
	}
	b.ReportMetric(float64(up.Len()+down.Len())/float64(n-first), "B/request")
}

// BenchmarkCrashReportBytes reports the size of a crash report in a membership
// message, also of one on a known part, and of the hash of the digests that the sender refuses.
func BenchmarkCrashReportBytes(b *testing.B) {
	size := func(m quarantiner.Message) int {
		data, err := cbor.Marshal(gossipMessage{crashMessage: crashMessage{Requests: &m}})
		if err != nil {
			b.Fatal(err)
		}
		return len(data)
	}
	report := quarantiner.Report{Digest: 0x1234567890abcdef, Upstream: 0xfedcba0987654321, AgeMs: 90_000, RanMs: 400, Crashes: 1}
	known := report
	known.Known = true
	none := size(quarantiner.Message{})
	var hash, one, oneKnown int
	for b.Loop() {
		hash = size(quarantiner.Message{Confirmed: 0x1234567890abcdef})
		one = size(quarantiner.Message{Reports: []quarantiner.Report{report, report}}) - size(quarantiner.Message{Reports: []quarantiner.Report{report}})
		oneKnown = size(quarantiner.Message{Reports: []quarantiner.Report{report, known}}) - size(quarantiner.Message{Reports: []quarantiner.Report{report}})
	}
	b.ReportMetric(float64(one), "B/report")
	b.ReportMetric(float64(oneKnown), "B/knownReport")
	b.ReportMetric(float64(hash-none), "B/hash")
}

// BenchmarkMembershipBytes reports the size of a membership message in steady
// state.
func BenchmarkMembershipBytes(b *testing.B) {
	m := detector.Member{
		ID: "edge-casa-ain-sebaa-1", Address: "10.1.0.25:7600", Domain: "casa-ain-sebaa", Region: "casablanca",
		Incarnation: 1_790_000_000_000, StartIncarnation: 1_790_000_000_000, Version: 108, Revision: 4711,
	}
	message := detector.Message{Seq: 4711, From: m, Members: []detector.Member{m, m}}
	size := 0
	for b.Loop() {
		data, err := cbor.Marshal(message)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "B/message")
}
