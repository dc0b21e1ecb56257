package forwarder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
)

// refuser refuses each request with an explanation.
type refuser struct{ explanation *coordinator.Explanation }

func (r refuser) Admit(context.Context, coordinator.Request) (forwarder.Grant, error) {
	return forwarder.Grant{Refusal: &forwarder.Refusal{Outcome: forwarder.NotRun, Reason: "noCapacity", RetryAfter: time.Second, Explanation: r.explanation}}, nil
}

// TestRequestLineNamesWhatDecided guards against refusals whose log line does not say what
// decided, and against keys on lines that have nothing to explain.
func TestRequestLineNamesWhatDecided(t *testing.T) {
	room := map[string]float64{"waitMs": 2100, "upstreamsServing": 11, "upstreamsCold": 2, "upstreamsEjected": 1, "upstreamsLeaving": 0}
	tests := map[string]struct {
		e    *coordinator.Explanation
		want map[string]float64
	}{
		"by an earlier build": {nil, nil},
		"wait and room":       {&coordinator.Explanation{Wait: 2100 * time.Millisecond, Serving: 11, Cold: 2, Ejected: 1}, room},
		"share": {&coordinator.Explanation{Serving: 3, Asked: 64.5, Served: 20.5, Level: 12}, map[string]float64{
			"waitMs": 0, "upstreamsServing": 3, "upstreamsCold": 0, "upstreamsEjected": 0, "upstreamsLeaving": 0, "shareAsked": 64.5, "shareServed": 20.5, "shareLevel": 12,
		}},
	}
	keys := []string{"waitMs", "upstreamsServing", "upstreamsCold", "upstreamsEjected", "upstreamsLeaving", "shareAsked", "shareServed", "shareLevel"}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var buf bytes.Buffer
			s := newFixture(t)
			f := forwarder.New(refuser{test.e}, testCodec{}, connector.New(), s.directory, slog.New(slog.NewJSONHandler(&buf, nil)))
			route := nonIdempotent
			f.Serve(context.Background(), &forwarder.Request{
				ID: "id", Method: http.MethodPost, Target: "/", Route: &route, Pool: "p",
				Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second), LastEventID: forwarder.NoEvent,
			}, &recorder{})
			var line map[string]any
			if err := json.Unmarshal(buf.Bytes(), &line); err != nil {
				t.Fatalf("log is %q: %v", buf.String(), err)
			}
			for _, k := range keys {
				want, expected := test.want[k]
				if got, found := line[k]; found != expected || found && got != want {
					t.Errorf("%s is %v, want %v", k, got, want)
				}
			}
		})
	}
}
