package linker

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// decisionBefore and requestBefore have the fields of the build before that
// TestExplanationBetweenBuilds reads.
type (
	responseBefore struct{ Decisions []decisionBefore }
	decisionBefore struct {
		Entry      string
		ID         uint64
		Upstream   string
		Domain     string
		Reason     coordinator.Reason
		RetryAfter time.Duration
	}
	frameBefore   struct{ Asks []requestBefore }
	requestBefore struct {
		ID        uint64
		Pool      string
		Objective time.Duration
	}
)

// recode encodes a message and decodes it as another type.
func recode(t *testing.T, from, to any) {
	t.Helper()
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(from); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&buf).Decode(to); err != nil {
		t.Fatal(err)
	}
}

// TestExplanationBetweenBuilds guards against decisions and admission requests that a host of
// the build before can't read or does not know a reason of, or that mislead this one.
func TestExplanationBetweenBuilds(t *testing.T) {
	sent := coordinator.Decision{ID: 7, Reason: coordinator.NoCapacity, TooLarge: true, RetryAfter: time.Second, Explanation: &coordinator.Explanation{Serving: 3, Wait: time.Minute}}
	var before responseBefore
	recode(t, &response{Decisions: []coordinator.Decision{sent}}, &before)
	if d := before.Decisions[0]; d.ID != 7 || d.Reason.String() != "noCapacity" || d.RetryAfter != time.Second {
		t.Errorf("the build before reads %+v", d)
	}
	var now response
	recode(t, &before, &now)
	if r := refusal(now.Decisions[0]); r.Reason != "noCapacity" || r.Explanation != nil {
		t.Errorf("a refusal of the build before is %+v", r)
	}
	recode(t, &response{Decisions: []coordinator.Decision{sent}}, &now)
	if r := refusal(now.Decisions[0]); r.Reason != "tooLarge" || r.Explanation == nil || *r.Explanation != *sent.Explanation {
		t.Errorf("a refusal of this build is %+v", r)
	}
	var asked frameBefore
	recode(t, &frame{Asks: []coordinator.Request{{ID: 1, Pool: "p", Objective: time.Second, MaxPause: time.Second}}}, &asked)
	var read frame
	recode(t, &asked, &read)
	if r := read.Asks[0]; r.Pool != "p" || r.MaxPause != 0 {
		t.Errorf("a request of the build before is %+v", r)
	}
}
