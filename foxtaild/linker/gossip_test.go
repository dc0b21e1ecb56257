package linker

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"foxtaillug.org/scheduler/detector"
	"foxtaillug.org/scheduler/quarantiner"
)

// TestLargestMessageFitsADatagram encodes a message with the maximum number of crash
// reports and of members, whose names are longer than those of the operators' hosts.
func TestLargestMessageFitsADatagram(t *testing.T) {
	member := func(i int) detector.Member {
		return detector.Member{
			ID: fmt.Sprintf("edge-%s-%d", strings.Repeat("x", 16), i), Address: "10.200.200.200:65535",
			Domain: strings.Repeat("d", 16), Region: strings.Repeat("r", 10),
			Incarnation: math.MaxUint64, StartIncarnation: math.MaxUint64, Status: detector.Suspect,
			Version: math.MaxUint32, Revision: math.MaxUint32, Leaving: true,
		}
	}
	m := detector.Message{Kind: detector.Ack, Seq: math.MaxUint64, From: member(0), OldestDigest: math.MaxUint64}
	for i := range detector.MaxMembersPerMessage {
		m.Members = append(m.Members, member(1000+i))
	}
	l := Linker{settings: Settings{Host: m.From.ID}, crashes: maxReports{}}
	for range detector.MaxMembersPerMessage {
		b, err := l.encodeGossip(m, nil)
		if err != nil {
			t.Fatal(err)
		}
		if len(b) > maxDatagramBytes {
			t.Errorf("message with %d members takes %d bytes, want at most %d", len(m.Members), len(b), maxDatagramBytes)
		}
		m.Members = m.Members[1:]
	}
}

// maxReports are crash reports without end, each as large as possible.
type maxReports struct{ noCrashReports }

func (maxReports) Response(_ quarantiner.Message, n int) quarantiner.Message {
	return quarantiner.Message{Confirmed: math.MaxUint64, Reports: slices.Repeat([]quarantiner.Report{{
		Digest: math.MaxUint64, Upstream: math.MaxUint64, AgeMs: math.MaxUint32, RanMs: math.MaxUint32, Crashes: math.MaxUint8, Cleared: true,
	}}, n)}
}

// TestBuildsWithoutCrashReportsReadMessages decodes a message as a host of an older
// build does, and one of such a host as this build does.
func TestBuildsWithoutCrashReportsReadMessages(t *testing.T) {
	sent := detector.Message{Kind: detector.Ack, Seq: 7, From: detector.Member{ID: "h", Incarnation: 3}, Members: []detector.Member{{ID: "m"}}, OldestDigest: 5}
	b, err := cbor.Marshal(gossipMessage{Message: sent, Crashes: &quarantiner.Message{Confirmed: 1}})
	if err != nil {
		t.Fatal(err)
	}
	var older detector.Message
	if err := cbor.Unmarshal(b, &older); err != nil || !reflect.DeepEqual(older, sent) {
		t.Errorf("older build reads %+v, %v", older, err)
	}
	if b, err = cbor.Marshal(sent); err != nil {
		t.Fatal(err)
	}
	var newer gossipMessage
	if err := cbor.Unmarshal(b, &newer); err != nil || !reflect.DeepEqual(newer, gossipMessage{Message: sent}) {
		t.Errorf("this build reads %+v, %v", newer, err)
	}
}
