package linker

import (
	"bytes"
	"encoding/gob"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/observer"
	"foxtaillug.org/scheduler/pinner"
	"foxtaillug.org/scheduler/router"
)

// recorded returns bytes that the build of commit b05643a sent: it knew neither deltas of the
// configuration nor leaving and pauses of upstreams, nor origins by content.
func recorded(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "b05643a", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestFramesOfAnEarlierBuild reads what an entry host of an earlier build sends on a link.
func TestFramesOfAnEarlierBuild(t *testing.T) {
	dec := gob.NewDecoder(bytes.NewReader(recorded(t, "frames.gob")))
	var frames []frame
	for {
		var f frame
		if err := dec.Decode(&f); err != nil {
			if err != io.EOF {
				t.Fatal(err)
			}
			break
		}
		frames = append(frames, f)
	}
	if len(frames) != 7 || frames[0].Hello == nil {
		t.Fatalf("read %d frames", len(frames))
	}
	h := frames[0].Hello
	if o := h.Observed[0]; h.Entry != "h1" || h.Running[0].Upstream != "u" || o.Limit.Rate != 2 || o.Leaving || o.PauseFor != 0 || o.Host != "" {
		t.Errorf("hello is %+v", h)
	}
	if r := frames[1].Asks[0]; r.Pool != "p" || r.Version != "v1" || r.Exclude[0] != "x" {
		t.Errorf("request is %+v", r)
	}
	if f := frames[2]; f.Finishes[0].Ending != coordinator.Rejected || f.Progress[0].FirstToken != time.Second || f.Withdrawn[0] != 9 {
		t.Errorf("frame is %+v", f)
	}
	if s := frames[3].Summary; s.Free["p"] != 3 || s.Used["w"] != 5 {
		t.Errorf("summary is %+v", s)
	}
	for i, f := range frames[4:6] {
		if f.Fetch != (i == 0) || f.Follow != (i == 1) || f.cursor() != (directory.Cursor{}) {
			t.Errorf("frame is %+v, want a request for whole documents", f)
		}
	}
}

// TestResponsesOfAnEarlierBuild reads what a coordinator of an earlier build sends on a link.
func TestResponsesOfAnEarlierBuild(t *testing.T) {
	dec := gob.NewDecoder(bytes.NewReader(recorded(t, "responses.gob")))
	var responses [3]response
	for i := range responses {
		if err := dec.Decode(&responses[i]); err != nil {
			t.Fatal(err)
		}
	}
	if d := responses[0].Decisions; d[0].Upstream != "u" || d[1].Reason != coordinator.NoCapacity {
		t.Errorf("decisions are %+v", d)
	}
	if o := responses[1].Observed[0]; o.Limit != (observer.Limit{State: observer.Limited, Rate: 2}) || o.Leaving {
		t.Errorf("observation is %+v", o)
	}
	dir := directory.New(slog.New(slog.DiscardHandler))
	s, err := decodeSnapshot(responses[2].Snapshot)
	if err == nil {
		err = dir.Adopt(s, time.Now())
	}
	if err != nil || dir.Table().Version() != 3 || len(dir.UsableUpstreams(time.Now())) != 1 || !responses[2].Current {
		t.Errorf("snapshot is %+v, %v", s, err)
	}
}

// TestDatagramsOfAnEarlierBuild reads the datagrams of a host of an earlier build.
func TestDatagramsOfAnEarlierBuild(t *testing.T) {
	o := newOriginsWith(t)
	for _, name := range []string{"copies.cbor", "question.cbor", "answer.cbor"} {
		b := recorded(t, name)
		if _, err := decodeOrigins(b); err != nil || !isOriginsMessage(b) {
			t.Errorf("%s: %v", name, err)
		}
		o.receive(b, "127.0.0.1:1")
	}
	if a := o.pinner.Answer(7, "r", time.Now()); a.Knowledge != pinner.Recorded || a.Origin.Version != "v1" {
		t.Errorf("the record of the copy is %+v", a)
	}
	var m gossipMessage
	b := recorded(t, "ping.cbor")
	if err := cbor.Unmarshal(b, &m); err != nil || isOriginsMessage(b) || m.From.ID != "h1" || m.From.Version != 3 || m.Requests == nil {
		t.Errorf("ping is %+v, %v", m, err)
	}
}

// earlierFrame and earlierSnapshot have the fields of an earlier build that the messages of
// this one add to.
type (
	earlierFrame struct {
		Hello         *hello
		Fetch, Follow bool
		Observed      []earlierObservation
	}
	earlierObservation struct {
		Upstream string
		Born     int64
		Limit    observer.Limit
		Age      time.Duration
		ColdFor  time.Duration
		Brittle  bool
	}
	earlierSnapshot struct {
		Full     bool
		Document *router.Document
		Revision uint64
	}
)

// TestEarlierBuildReadsThisOne decodes messages of this build as an earlier one does: what it
// does not know is ignored, and says nothing wrong.
func TestEarlierBuildReadsThisOne(t *testing.T) {
	var buf bytes.Buffer
	enc, dec := gob.NewEncoder(&buf), gob.NewDecoder(&buf)
	sent := frame{Follow: true, Deltas: true, Version: 3, Digest: 9, Observed: []observer.Observation{
		{Upstream: "u", Born: 7, Leaving: true}, {Upstream: "v", Born: 8, PauseFor: time.Second, Host: "h"},
	}}
	if err := enc.Encode(&sent); err != nil {
		t.Fatal(err)
	}
	var f earlierFrame
	if err := dec.Decode(&f); err != nil || !f.Follow || len(f.Observed) != 2 {
		t.Fatalf("got %+v, %v", f, err)
	}
	for _, o := range f.Observed {
		// An earlier build changes nothing at an observation without a known limit.
		if o.Limit.State != observer.Unknown || o.ColdFor != 0 || o.Brittle {
			t.Errorf("an earlier build reads %+v", o)
		}
	}
	base, next := manyRoutes(1), manyRoutes(2)
	b, err := encodeSnapshot(directory.Snapshot{Delta: router.Diff(&base, base.Digest(), &next), Revision: 4})
	if err != nil {
		t.Fatal(err)
	}
	var s earlierSnapshot
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&s); err != nil || s.Document != nil || s.Revision != 4 {
		t.Errorf("an earlier build reads %+v, %v", s, err)
	}
}
