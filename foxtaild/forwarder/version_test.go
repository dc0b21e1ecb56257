package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
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

// TestTakeoverBeforeTheFirstEventMayChangeTheVersion has an upstream fall silent before an
// event of it was relayed, and one of another version take the request over.
func TestTakeoverBeforeTheFirstEventMayChangeTheVersion(t *testing.T) {
	tests := map[string]string{
		"no head":                       "",
		"no event":                      streamHead,
		"an event in a part of a chunk": streamHead + "40\r\nid: 0\ndata: v1\n\nid: 1",
	}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, a := newTakeoverFixture(t)
			a.admit = func(context.Context) (string, error) { return "second", nil }
			s.put("first", startUpstream(t, func(c net.Conn, id string) {
				_, _ = io.WriteString(c, strings.ReplaceAll(before, "%ID", id))
				_, _ = c.Read(make([]byte, 1))
			}))
			s.put("second", startUpstream(t, func(c net.Conn, id string) {
				_, _ = io.WriteString(c, strings.ReplaceAll(streamHead+events(0, 5)+"0\r\n\r\n", "%ID", id))
			}))
			s.setVersions(map[string]string{"first": "v1", "second": "v2"})
			if got, want := s.serve(resumable, "id-1").outcome(), "200 "+relayedEvents(0, 5); got != want {
				t.Errorf("the caller received %q, want %q", got, want)
			}
		})
	}
}

// TestSilentUpstreamOfUnknownVersionKeepsItsRequest has an upstream of an unknown version
// fall silent after its first events. No other one may go on.
func TestSilentUpstreamOfUnknownVersionKeepsItsRequest(t *testing.T) {
	s, a := newTakeoverFixture(t)
	a.admit = func(context.Context) (string, error) {
		t.Error("another upstream was looked for")
		return "", nil
	}
	s.put("first", startUpstream(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead+events(0, 2), "%ID", id))
		time.Sleep(1500 * time.Millisecond)
		_, _ = io.WriteString(c, events(3, 5)+"0\r\n\r\n")
	}))
	s.setVersions(map[string]string{"first": ""})
	if got, want := s.serve(resumable, "id-1").outcome(), "200 "+relayedEvents(0, 5); got != want {
		t.Errorf("the caller received %q, want %q", got, want)
	}
}

// searchRecorder records the admission requests for another upstream.
type searchRecorder struct {
	*takeoverAdmitter
	mu       sync.Mutex
	searches []coordinator.Request
}

func (a *searchRecorder) Admit(ctx context.Context, r coordinator.Request) (forwarder.Grant, error) {
	if r.Repeat {
		a.mu.Lock()
		a.searches = append(a.searches, r)
		a.mu.Unlock()
	}
	return a.takeoverAdmitter.Admit(ctx, r)
}

// TestGrantOfAnotherVersionIsReturnedInATakeover grants one to the first search. The
// second search finds none.
func TestGrantOfAnotherVersionIsReturnedInATakeover(t *testing.T) {
	s, a := newTakeoverFixture(t)
	recorder := &searchRecorder{takeoverAdmitter: a}
	s.fixture.Forwarder = s.withAdmitter(recorder)
	searches, again := 0, make(chan struct{})
	a.admit = func(context.Context) (string, error) {
		searches++
		switch searches {
		case 1:
			return "second", nil
		case 2:
			close(again)
		}
		return "", nil
	}
	s.put("first", startUpstream(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead+events(0, 2), "%ID", id))
		<-again
		_, _ = io.WriteString(c, events(3, 5)+"0\r\n\r\n")
	}))
	s.put("second", startUpstream(t, func(net.Conn, string) { t.Error("the upstream of the other version received the request") }))
	s.setVersions(map[string]string{"first": "v1", "second": "v2"})
	if got, want := s.serve(resumable, "id-1").outcome(), "200 "+relayedEvents(0, 5); got != want {
		t.Errorf("the caller received %q, want %q", got, want)
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if r := recorder.searches; len(r) < 2 || r[0].Version != "v1" || r[1].Version != "v1" || !slices.Equal(r[1].Exclude, []string{"first", "second"}) {
		t.Errorf("admission requests %+v, want two for v1, the second without both upstreams", r)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if f := a.finishes; len(f) != 2 || f[0].Ending != coordinator.Unused || f[1].Ending != coordinator.Complete {
		t.Errorf("reported finishes %+v, want one unused and one complete", f)
	}
}
