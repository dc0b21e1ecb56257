package forwarder_test

import (
	"context"
	"fmt"
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

// testDigest and testParts are those of the request under test.
const testDigest = 7

var testParts = []uint64{11, 12}

// fakeQuarantine records the reports that it gets. From the n-th call of Refuses on it
// refuses.
type fakeQuarantine struct {
	mu         sync.Mutex
	refuseFrom int
	calls      int
	events     []string
}

func (q *fakeQuarantine) Refuses(_ uint64, parts []uint64) bool {
	if !slices.Equal(parts, testParts) {
		q.add(fmt.Sprint("asked about ", parts))
	}

	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls++
	return q.refuseFrom > 0 && q.calls >= q.refuseFrom
}

func (q *fakeQuarantine) RecordLoss(l forwarder.Loss) {
	if l.Digest != testDigest || l.Sent.IsZero() {
		q.add(fmt.Sprintf("wrong loss %+v", l))
	}
	q.add(fmt.Sprint("lost ", l.Upstream.ID, l.Parts))
}

func (q *fakeQuarantine) RecordBegun(parts []uint64) { q.add(fmt.Sprint("begun ", parts)) }

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
		dir.Update(registrar.Position{Revision: 1}, func(r *registrar.Registrar) {
			r.Put(registrar.Entry{ID: id, Pool: "p", Address: s.l.Addr().String(), Version: "v1", Slots: 1})
		})
		admitter.grants = append(admitter.grants, id)
	}
	f := forwarder.New(admitter, testCodec{}, connector.New(), dir, slog.New(slog.DiscardHandler), forwarder.WithQuarantine(q))
	r := &recorder{}
	route.Objective = time.Second
	if route.Timeout == 0 {
		route.Timeout = 20 * time.Second
	}
	f.Serve(context.Background(), &forwarder.Request{
		ID: "r", Method: http.MethodPost, Target: "/", Route: &route, Pool: "p", Digest: testDigest, Parts: testParts,
		Arrived: time.Now(), Deadline: time.Now().Add(route.Timeout), LastEventID: forwarder.NoEvent,
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

// TestRunsAreReportedToQuarantine checks how runs and their ends are reported, and
// that a loss names the parts only if no answer had begun.
func TestRunsAreReportedToQuarantine(t *testing.T) {
	const begun, suspect, innocent = "begun [11 12]", "lost a[11 12]", "lost a[]"
	briefly := nonIdempotent
	briefly.Timeout = 200 * time.Millisecond
	reset, closed, wholeStream := step{action: resetConn}, step{action: closeConn}, step{bytes: streamHead + events(0, 3) + "0\r\n\r\n"}
	wholeHead := "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed
	tests := map[string]struct {
		route router.Route
		steps []step
		want  []string
	}{
		"success":                      {idempotent, []step{okResponse("ok")}, []string{begun, "complete"}},
		"reset, then success":          {idempotent, []step{reset, okResponse("ok")}, []string{suspect, begun, "complete"}},
		"closed, then success":         {idempotent, []step{closed, okResponse("ok")}, []string{suspect, begun, "complete"}},
		"own error, then success":      {idempotent, []step{{bytes: response(500, sealed, "x")}, okResponse("ok")}, []string{begun, "complete"}},
		"rejected, then success":       {idempotent, []step{{bytes: response(503, notRunHeader+": 1\r\n", "")}, okResponse("ok")}, []string{begun, "complete"}},
		"not found":                    {idempotent, []step{{bytes: response(404, sealed, "x")}}, nil},
		"own error":                    {nonIdempotent, []step{{bytes: response(500, sealed, "x")}}, nil},
		"silent until the deadline":    {briefly, []step{{action: stopServing}}, []string{innocent}},
		"closed after the head":        {nonIdempotent, []step{{bytes: wholeHead + "Content-Length: 50\r\n\r\n", action: closeConn}}, []string{innocent}},
		"reset inside the body":        {nonIdempotent, []step{{bytes: wholeHead + "Content-Length: 50\r\n\r\nhalf", action: resetConn}}, []string{innocent}},
		"no response at all":           {nonIdempotent, []step{{bytes: "\x00\r\n\r\n", action: closeConn}}, []string{innocent}},
		"stream":                       {resumable, []step{wholeStream}, []string{begun, "complete"}},
		"stream, then resumed":         {resumable, []step{{bytes: streamHead + events(0, 1), action: closeConn}, {bytes: streamHead + events(2, 3) + "0\r\n\r\n"}}, []string{begun, innocent, begun, "complete"}},
		"stream without events":        {resumable, []step{{bytes: "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed + "\r\n", action: closeConn}}, nil},
		"stream closed before events":  {resumable, []step{{bytes: streamHead, action: closeConn}, wholeStream}, []string{suspect, begun, "complete"}},
		"stream reset before the head": {resumable, []step{reset, wholeStream}, []string{suspect, begun, "complete"}},
		"stream reset in first event":  {resumable, []step{{bytes: streamHead + chunk("id: 0\nda"), action: resetConn}, wholeStream}, []string{suspect, begun, "complete"}},
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
