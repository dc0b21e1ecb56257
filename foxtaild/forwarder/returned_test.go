package forwarder_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

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

// TestStreamOfReplacedProcessIsNotContinued lets the entry of an upstream change after the
// first event, to that of a process which started before or after the request was sent.
func TestStreamOfReplacedProcessIsNotContinued(t *testing.T) {
	tests := map[string]struct {
		started time.Duration
		version string
		want    string
	}{
		"another version, started before": {-time.Minute, "v2", "aborted"},
		"same version, started before":    {-time.Minute, "v1", "200 " + relayedEvents(0, 5)},
		"another version, started since":  {time.Minute, "v2", "200 " + relayedEvents(0, 5)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			second := newServer(t, stream(3, 5))
			s := newOriginFixture(t, newServer(t), second)
			begun := make(chan struct{})
			s.origins.onRecord = sync.OnceFunc(func() { close(begun) })
			address := startUpstream(t, func(c net.Conn, id string) {
				_, _ = io.WriteString(c, strings.ReplaceAll(streamHead+events(0, 2), "%ID", id))
				<-begun
				s.replaceEntry("upstream-0", func(e *registrar.Entry) {
					e.Version, e.Born = tt.version, time.Now().Add(tt.started).UnixMilli()
				})
				_ = c.Close()
			})
			s.replaceEntry("upstream-0", func(e *registrar.Entry) { e.Address = address })
			req, r := newRequest(resumable, forwarder.NoEvent), &recorder{}
			s.Serve(context.Background(), req, r)
			if r.outcome() != tt.want {
				t.Errorf("the caller received %q, want %q", r.outcome(), tt.want)
			}
			last := s.origins.recorded[len(s.origins.recorded)-1]
			if known := last.Version != ""; known != (tt.want != "aborted") {
				t.Errorf("the last record is %+v", last)
			}
		})
	}
}

// replaceEntry changes an upstream's entry.
func (s *fixture) replaceEntry(id string, change func(e *registrar.Entry)) {
	s.directory.Update(registrar.Position{Revision: 2}, func(r *registrar.Registrar) {
		e, _ := r.Entry(id)
		change(&e)
		r.Put(e)
	})
}
