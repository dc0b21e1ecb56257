package forwarder_test

import (
	"net/http"
	"strconv"
	"testing"
)

// TestErrorDoesNotCompleteResumedStream has the second upstream respond to a resumed
// stream with an error of its own.
func TestErrorDoesNotCompleteResumedStream(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusBadRequest, http.StatusNotFound, http.StatusTooManyRequests, http.StatusInternalServerError} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			f := newFixture(t,
				newServer(t, step{bytes: streamHead + events(0, 2), action: closeConn}),
				newServer(t, step{bytes: response(status, "", "failure")}))
			got := f.serve(resumable, "id-1")
			if !got.aborted || got.body.String() != relayedEvents(0, 2) {
				t.Errorf("the caller received %q with body %q, want the first events and an aborted stream", got.outcome(), got.body.String())
			}
		})
	}
}
