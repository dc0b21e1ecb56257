package linker

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"foxtaillug.org/scheduler/detector"
)

// TestLargestMessageFitsADatagram encodes a message with the maximum number of
// members, whose names are longer than those of the operators' hosts.
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
	b, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > maxDatagramBytes {
		t.Errorf("largest message takes %d bytes, want at most %d", len(b), maxDatagramBytes)
	}
}
