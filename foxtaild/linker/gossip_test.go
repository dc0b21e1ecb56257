package linker

import (
	"fmt"
	"log/slog"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"foxtaillug.org/foxtaild/directory"
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
	tests := map[string]struct{ requests, parts CrashReports }{
		"requests": {maxReports{}, noCrashReports{}},
		"parts":    {noCrashReports{}, maxReports{}},
		"both":     {maxReports{}, maxReports{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := Linker{settings: Settings{Host: m.From.ID}, crashes: tt.requests, partCrashes: tt.parts}
			m := m
			for range detector.MaxMembersPerMessage {
				b, err := l.encodeGossip(m, crashMessage{})
				if err != nil {
					t.Fatal(err)
				}
				if len(b) > maxDatagramBytes {
					t.Errorf("message with %d members takes %d bytes, want at most %d", len(m.Members), len(b), maxDatagramBytes)
				}
				m.Members = m.Members[1:]
			}
		})
	}
}

// TestNeitherKindOfReportDisplacesTheOther encodes messages while there are more
// reports than there is room for.
func TestNeitherKindOfReportDisplacesTheOther(t *testing.T) {
	tests := map[string]struct {
		requests, parts         CrashReports
		wantRequests, wantParts int
	}{
		"none":     {noCrashReports{}, noCrashReports{}, 0, 0},
		"requests": {maxReports{}, noCrashReports{}, maxReportsPerMessage, 0},
		"parts":    {noCrashReports{}, maxReports{}, 0, maxReportsPerMessage / 2},
		"both":     {maxReports{}, maxReports{}, maxReportsPerMessage / 2, maxReportsPerMessage / 2},
	}
	count := func(m *quarantiner.Message) int {
		if m == nil {
			return 0
		}
		return len(m.Reports)
	}
	for name, tt := range tests {
		for _, kind := range []detector.Kind{detector.Ping, detector.Ack} {
			t.Run(fmt.Sprint(name, " ", kind), func(t *testing.T) {
				l := Linker{settings: Settings{Host: "h"}, crashes: tt.requests, partCrashes: tt.parts}
				b, err := l.encodeGossip(detector.Message{Kind: kind, From: detector.Member{ID: "h"}}, crashMessage{})
				if err != nil {
					t.Fatal(err)
				}
				var m gossipMessage
				if err := cbor.Unmarshal(b, &m); err != nil {
					t.Fatal(err)
				}
				if r, p := count(m.Requests), count(m.Parts); r != tt.wantRequests || p != tt.wantParts {
					t.Errorf("%d reports on requests and %d on parts, want %d and %d", r, p, tt.wantRequests, tt.wantParts)
				}
			})
		}
	}
}

// maxReports are crash reports without end, each as large as possible.
type maxReports struct{ noCrashReports }

func (m maxReports) Message(n int) quarantiner.Message {
	return m.Response(quarantiner.Message{}, n)
}

func (maxReports) Response(_ quarantiner.Message, n int) quarantiner.Message {
	return quarantiner.Message{Confirmed: math.MaxUint64, Reports: slices.Repeat([]quarantiner.Report{{
		Digest: math.MaxUint64, Upstream: math.MaxUint64, AgeMs: math.MaxUint32, RanMs: math.MaxUint32, Crashes: math.MaxUint8, Cleared: true, Known: true,
	}}, n)}
}

// TestOlderBuildsReadMessages decodes a message as hosts of older builds do, and
// messages of such hosts as this build does.
func TestOlderBuildsReadMessages(t *testing.T) {
	// requestsOnly is the message of the builds that have no reports on parts.
	type requestsOnly struct {
		detector.Message
		Crashes *quarantiner.Message `cbor:"7,keyasint,omitempty"`
	}
	sent := detector.Message{Kind: detector.Ack, Seq: 7, From: detector.Member{ID: "h", Incarnation: 3}, Members: []detector.Member{{ID: "m"}}, OldestDigest: 5}
	requests := &quarantiner.Message{Confirmed: 1, Reports: []quarantiner.Report{{Digest: 2, Upstream: 3, AgeMs: 4, RanMs: 5, Crashes: 1}}}
	parts := &quarantiner.Message{Confirmed: 6, Reports: []quarantiner.Report{{Digest: 7, Upstream: 8, AgeMs: 9, RanMs: 10, Crashes: 2, Known: true}}}
	now := gossipMessage{Message: sent, crashMessage: crashMessage{Requests: requests, Parts: parts}}
	tests := map[string]struct{ message, read, want any }{
		"read by a build without reports":          {now, &detector.Message{}, &sent},
		"read by a build without reports on parts": {now, &requestsOnly{}, &requestsOnly{Message: sent, Crashes: requests}},
		"read by this build":                       {now, &gossipMessage{}, &now},
		"of a build without reports":               {sent, &gossipMessage{}, &gossipMessage{Message: sent}},
		"of a build without reports on parts":      {requestsOnly{Message: sent, Crashes: requests}, &gossipMessage{}, &gossipMessage{Message: sent, crashMessage: crashMessage{Requests: requests}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, err := cbor.Marshal(tt.message)
			if err != nil {
				t.Fatal(err)
			}
			if err := cbor.Unmarshal(b, tt.read); err != nil || !reflect.DeepEqual(tt.read, tt.want) {
				t.Errorf("read %+v, %v; want %+v", tt.read, err, tt.want)
			}
		})
	}
}

// receivedReports records the messages that it receives.
type receivedReports struct {
	noCrashReports
	messages []quarantiner.Message
}

func (r *receivedReports) Receive(m quarantiner.Message) { r.messages = append(r.messages, m) }

// TestReceivedReportsReachTheirKind receives messages with reports of either kind, and
// one of a build that has no reports on parts.
func TestReceivedReportsReachTheirKind(t *testing.T) {
	one, two := quarantiner.Message{Confirmed: 1}, quarantiner.Message{Confirmed: 2}
	tests := map[string]struct {
		message                 crashMessage
		wantRequests, wantParts []quarantiner.Message
	}{
		"none":                        {crashMessage{}, nil, nil},
		"requests, of an older build": {crashMessage{Requests: &one}, []quarantiner.Message{one}, nil},
		"parts":                       {crashMessage{Parts: &two}, nil, []quarantiner.Message{two}},
		"both":                        {crashMessage{Requests: &one, Parts: &two}, []quarantiner.Message{one}, []quarantiner.Message{two}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var requests, parts receivedReports
			l := Linker{directory: directory.New(slog.New(slog.DiscardHandler)), crashes: &requests, partCrashes: &parts, detector: detector.New(detector.Member{ID: "h"}, nil, 1)}
			from := detector.Member{ID: "other", Address: "127.0.0.1:1", Incarnation: 1}
			l.receive(datagram{from: from.Address, message: gossipMessage{Message: detector.Message{Kind: detector.Ack, From: from}, crashMessage: tt.message}})
			if !reflect.DeepEqual(requests.messages, tt.wantRequests) || !reflect.DeepEqual(parts.messages, tt.wantParts) {
				t.Errorf("received %v and %v, want %v and %v", requests.messages, parts.messages, tt.wantRequests, tt.wantParts)
			}
		})
	}
}
