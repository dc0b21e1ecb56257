package forwarder_test

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// fakeQuarantine records the reports that it gets. From the n-th call of Refuses on it
// refuses.
type fakeQuarantine struct {
	mu         sync.Mutex
	refuseFrom int
	calls      int
	events     []string
}

func (q *fakeQuarantine) Refuses(uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls++
	return q.refuseFrom > 0 && q.calls >= q.refuseFrom
}

func (q *fakeQuarantine) RecordLoss(_ uint64, e registrar.Entry, _ time.Time) { q.add("lost " + e.ID) }

func (q *fakeQuarantine) RecordComplete(uint64) { q.add("complete") }

func (q *fakeQuarantine) add(event string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.events = append(q.events, event)
}

// serveWithQuarantine forwards one request to upstreams in turn.
func serveWithQuarantine(t *testing.T, q *fakeQuarantine, route router.Route, servers ...*server) *recorder {
	t.Helper()
	dir := directory.New(slog.New(slog.DiscardHandler))
	admitter := &fixedAdmitter{}
	for i, s := range servers {
		id := string(rune('a' + i))
		dir.Update(registrar.Position{Revision: 1}, func(r *registrar.Registrar) { r.Put(registrar.Entry{ID: id, Address: s.l.Addr().String(), Slots: 1}) })
		admitter.grants = append(admitter.grants, id)
	}
	f := forwarder.New(admitter, testCodec{}, connector.New(), dir, slog.New(slog.DiscardHandler), forwarder.WithQuarantine(q))
	r := &recorder{}
	route.Objective = time.Second
	f.Serve(context.Background(), &forwarder.Request{
		ID: "r", Method: http.MethodPost, Target: "/", Route: &route, Pool: "p", Digest: 7,
		Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second), LastEventID: forwarder.NoEvent,
	}, r)
	return r
}

// TestQuarantinedRequestIsNotSent refuses a request at each call of Refuses.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	lost := step{action: resetConn}
	tests := map[string]struct {
		refuseFrom int
		want       string
		runs       int
	}{
		"before the grant":              {1, "notRun quarantined", 0},
		"while it waited for the grant": {2, "notRun quarantined", 0},
		"after a lost run":              {3, "unknown answerLost", 1},
		"while it waited for a retry":   {4, "unknown answerLost", 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newServer(t, lost), newServer(t, okResponse("ok"))
			r := serveWithQuarantine(t, &fakeQuarantine{refuseFrom: tt.refuseFrom}, idempotent, a, b)
			if r.refusal == nil {
				t.Fatalf("response %s, want a refusal", r.outcome())
			}
			if got := r.refusal.Outcome.String() + " " + r.refusal.Reason; got != tt.want {
				t.Errorf("refusal %q, want %q", got, tt.want)
			}
			if runs := len(a.requests()) + len(b.requests()); runs != tt.runs {
				t.Errorf("request was sent %d times, want %d", runs, tt.runs)
			}
		})
	}
}

// TestRunsAreReportedToQuarantine checks how the ends of runs are reported.
func TestRunsAreReportedToQuarantine(t *testing.T) {
	tests := map[string]struct {
		route router.Route
		steps []step
		want  []string
	}{
		"success":                 {idempotent, []step{okResponse("ok")}, []string{"complete"}},
		"reset, then success":     {idempotent, []step{{action: resetConn}, okResponse("ok")}, []string{"lost a", "complete"}},
		"closed, then success":    {idempotent, []step{{action: closeConn}, okResponse("ok")}, []string{"lost a", "complete"}},
		"own error, then success": {idempotent, []step{{bytes: response(500, sealed, "x")}, okResponse("ok")}, []string{"complete"}},
		"rejected, then success":  {idempotent, []step{{bytes: response(503, notRunHeader+": 1\r\n", "")}, okResponse("ok")}, []string{"complete"}},
		"not found":               {idempotent, []step{{bytes: response(404, sealed, "x")}}, nil},
		"stream":                  {resumable, []step{{bytes: streamHead + events(0, 3) + "0\r\n\r\n"}}, []string{"complete"}},
		"stream, then resumed":    {resumable, []step{{bytes: streamHead + events(0, 1), action: closeConn}, {bytes: streamHead + events(2, 3) + "0\r\n\r\n"}}, []string{"lost a", "complete"}},
		"stream without events":   {resumable, []step{{bytes: "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed + "\r\n", action: closeConn}}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var servers []*server
			for _, s := range tt.steps {
				servers = append(servers, newServer(t, s))
			}
			q := &fakeQuarantine{}
			serveWithQuarantine(t, q, tt.route, servers...)
			if !slices.Equal(q.events, tt.want) {
				t.Errorf("reported %q, want %q", q.events, tt.want)
			}
		})
	}
}
