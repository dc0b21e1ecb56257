package forwarder_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/registrar"
)

// TestReturnedUpstreamHasNoKnownVersion lets an upstream refuse a connection and then start
// again before its entry says so, at another version or not.
func TestReturnedUpstreamHasNoKnownVersion(t *testing.T) {
	tests := map[string]struct {
		// updated reports whether the new entry has arrived.
		updated bool
		want    string
		// sent is the number of requests at the other upstream, which has the old version.
		sent int
	}{
		"entry of the process before": {false, "aborted", 0},
		"new entry":                   {true, "200 " + relayedEvents(0, 3), 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			gone, other := newServer(t), newServer(t, stream(2, 3))
			s := newOriginFixture(t, gone, other)
			_ = gone.l.Close()
			s.admitter.grants = []string{"upstream-0"}
			if got := s.serve(resumable, "id-1").outcome(); got != "notRun" {
				t.Fatalf("the caller received %q while the upstream was gone, want a refusal", got)
			}
			startUpstreamAt(t, gone.l.Addr().String(), func(c net.Conn, id string) {
				_, _ = io.WriteString(c, strings.ReplaceAll(streamHead+events(0, 1), "%ID", id))
			})
			if tt.updated {
				s.directory.Update(registrar.Position{Revision: 2}, func(r *registrar.Registrar) {
					e, _ := r.Entry("upstream-0")
					e.Born++
					r.Put(e)
				})
			}
			s.admitter.grants = []string{"upstream-0", "upstream-1"}
			r := &recorder{}
			s.Serve(context.Background(), newRequest(resumable, forwarder.NoEvent), r)
			if r.outcome() != tt.want {
				t.Errorf("the caller received %q, want %q", r.outcome(), tt.want)
			}
			if n := len(other.requests()); n != tt.sent {
				t.Errorf("the other upstream received %d requests, want %d", n, tt.sent)
			}
			if n := len(s.origins.recorded); (n > 0) != tt.updated {
				t.Errorf("%d origins were recorded: %+v", n, s.origins.recorded)
			}
		})
	}
}
