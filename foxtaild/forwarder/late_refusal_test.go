package forwarder_test

import (
	"strings"
	"testing"

	"foxtaillug.org/scheduler/router"
)

// TestRefusalOfAnotherRequestSaysNothing has an upstream send a refusal that is not of the
// request which awaits a response, on a connection that has carried another request before or
// on a new one.
func TestRefusalOfAnotherRequestSaysNothing(t *testing.T) {
	named := func(status int, headers, id string) string {
		return strings.ReplaceAll(response(status, headers, "no"), "%ID", id)
	}
	unnamed := func(status int, headers string) string {
		return strings.ReplaceAll(response(status, headers, "no"), idHeader+": %ID\r\n", "")
	}
	notRun := notRunHeader + ": 1\r\n"
	ours := response(200, sealed, "ours")
	tests := map[string]struct {
		route  router.Route
		reused bool
		next   step
		want   string
		// arrived is the number of requests at the first and the second upstream.
		arrived [2]int
	}{
		"earlier refusal, then the response":     {nonIdempotent, true, step{bytes: named(503, notRun, "earlier") + ours}, "200 ours", [2]int{2, 0}},
		"earlier redirect, then the response":    {nonIdempotent, true, step{bytes: named(421, "", "earlier") + ours}, "200 ours", [2]int{2, 0}},
		"earlier refusal, then nothing":          {nonIdempotent, true, step{bytes: named(503, notRun, "earlier"), action: closeConn}, "unknown", [2]int{2, 0}},
		"earlier refusal, repeatable":            {idempotent, true, step{bytes: named(503, notRun, "earlier"), action: closeConn}, "200 second", [2]int{2, 1}},
		"earlier refusal of a stream":            {streaming, true, step{bytes: named(503, notRun, "earlier") + streamHead + events(0, 1) + "0\r\n\r\n"}, "200 " + relayedEvents(0, 1), [2]int{2, 0}},
		"refusal without a name, then closed":    {nonIdempotent, true, step{bytes: unnamed(503, notRun), action: closeConn}, "unknown", [2]int{2, 0}},
		"its own refusal":                        {nonIdempotent, true, step{bytes: response(503, notRun, "no")}, "200 second", [2]int{2, 1}},
		"earlier refusal on a new connection":    {nonIdempotent, false, step{bytes: named(503, notRun, "earlier") + ours}, "200 ours", [2]int{1, 0}},
		"refusal without a name, new connection": {nonIdempotent, false, step{bytes: unnamed(503, notRun)}, "200 second", [2]int{1, 1}},
		"redirect without a name, new":           {nonIdempotent, false, step{bytes: unnamed(421, "")}, "200 second", [2]int{1, 1}},
		"unnamed after another's, new":           {nonIdempotent, false, step{bytes: named(200, sealed, "earlier") + unnamed(503, notRun), action: closeConn}, "unknown", [2]int{1, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			steps := []step{tt.next}
			if tt.reused {
				steps = []step{okResponse("first"), tt.next}
			}
			first, second := newServer(t, steps...), newServer(t, okResponse("second"))
			s := newFixture(t, first, second)
			s.admitter.grants = []string{"upstream-0", "upstream-1"}
			if tt.reused {
				s.admitter.grants = []string{"upstream-0", "upstream-0", "upstream-1"}
				if got := s.serve(nonIdempotent, "id-1").outcome(); got != "200 first" {
					t.Fatalf("the first caller received %q", got)
				}
			}
			if got := s.serve(tt.route, "id-2").outcome(); got != tt.want {
				t.Errorf("the caller received %q, want %q", got, tt.want)
			}
			if n := [2]int{len(first.requests()), len(second.requests())}; n != tt.arrived {
				t.Errorf("the upstreams received %v requests, want %v", n, tt.arrived)
			}
			first.mu.Lock()
			defer first.mu.Unlock()
			if tt.reused && first.conns != 1 {
				t.Errorf("the upstream accepted %d connections, want the first one to be used again", first.conns)
			}
		})
	}
}
