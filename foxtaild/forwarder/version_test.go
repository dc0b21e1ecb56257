package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/registrar"
)

// setVersions sets the software versions of the fixture's upstreams.
func (s *fixture) setVersions(byID map[string]string) {
	s.directory.Update(registrar.Position{Revision: 2}, func(r *registrar.Registrar) {
		for id, version := range byID {
			e, _ := r.Entry(id)
			e.Version = version
			r.Put(e)
		}
	})
}

// TestBrokenStreamIsNotResumedAtAnotherVersion breaks a stream off after its first events.
func TestBrokenStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	tests := map[string]struct {
		first, second string
		want          string
	}{
		"same version":    {"v1", "v1", "200 " + relayedEvents(0, 5)},
		"another version": {"v1", "v1.2", "aborted"},
		"unknown version": {"v1", "", "aborted"},
		"both unknown":    {"", "", "aborted"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			second := newServer(t, step{bytes: streamHead + events(3, 5) + "0\r\n\r\n"})
			f := newFixture(t, newServer(t, step{bytes: streamHead + events(0, 2), action: closeConn}), second)
			f.setVersions(map[string]string{"upstream-0": tt.first, "upstream-1": tt.second})
			if got := f.serve(resumable, "id-1").outcome(); got != tt.want {
				t.Errorf("the caller received %q, want %q", got, tt.want)
			}
			if n := len(second.requests()); tt.want == "aborted" && n > 0 {
				t.Errorf("the upstream of the other version received %d requests", n)
			}
		})
	}
}

// TestTakeoverKeepsTheVersion has an upstream fall silent, and grants one of another
// version.
func TestTakeoverKeepsTheVersion(t *testing.T) {
	s, a := newTakeoverFixture(t)
	a.admit = func(context.Context) (string, error) { return "second", nil }
	s.put("first", startUpstream(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead+events(0, 2), "%ID", id))
		time.Sleep(1500 * time.Millisecond)
		_, _ = io.WriteString(c, events(3, 5)+"0\r\n\r\n")
	}))
	s.put("second", startUpstream(t, func(net.Conn, string) { t.Error("the upstream of the other version received the request") }))
	s.setVersions(map[string]string{"first": "v1", "second": "v2"})
	if got, want := s.serve(resumable, "id-1").outcome(), "200 "+relayedEvents(0, 5); got != want {
		t.Errorf("the caller received %q, want %q", got, want)
	}
}

// TestResumptionOfUnknownStreamIsRefused has a caller take up a stream that no host knows.
func TestResumptionOfUnknownStreamIsRefused(t *testing.T) {
	upstream := newServer(t, step{bytes: streamHead + events(3, 5) + "0\r\n\r\n"})
	f := newFixture(t, upstream)
	f.setVersions(map[string]string{"upstream-0": "v1"})
	r, route := &recorder{}, resumable
	route.Objective = time.Second
	f.Serve(context.Background(), &forwarder.Request{
		ID: "id-2", Resumes: "id-1", Method: http.MethodPost, Target: "/p", Route: &route, Pool: "p",
		Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second), LastEventID: 2,
	}, r)
	if r.outcome() != "notRun" || len(upstream.requests()) > 0 {
		t.Errorf("the caller received %q and the upstream %d requests, want a refusal", r.outcome(), len(upstream.requests()))
	}
}
