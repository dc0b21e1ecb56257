package forwarder_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/router"
)

// TestFirstResponseDuringTakeoverIsKept has the silent upstream respond while the other
// one is awaited, which then closes its connection.
func TestFirstResponseDuringTakeoverIsKept(t *testing.T) {
	tests := map[string]struct {
		route         router.Route
		before, after string
		want          string
	}{
		"idempotent": {idempotent, "", response(200, sealed, "yes"), "200 yes"},
		"stream":     {resumable, streamHead + events(0, 2), events(3, 5) + "0\r\n\r\n", "200 " + relayedEvents(0, 5)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, a := newTakeoverFixture(t)
			a.admit = func(context.Context) (string, error) { return "second", nil }
			arrived, responded, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
			s.put("first", startUpstream(t, func(c net.Conn, id string) {
				_, _ = io.WriteString(c, strings.ReplaceAll(tt.before, "%ID", id))
				<-arrived
				_, _ = io.WriteString(c, strings.ReplaceAll(tt.after, "%ID", id))
				close(responded)
				_, _ = c.Read(make([]byte, 1))
				close(closed)
			}))
			s.put("second", startUpstream(t, func(net.Conn, string) {
				close(arrived)
				<-responded
				<-closed
			}))
			if got := s.serve(tt.route, "id-1"); got.outcome() != tt.want {
				t.Errorf("the caller received %q, want %q", got.outcome(), tt.want)
			}
		})
	}
}

// TestRefusalAfterTakeover has the other upstream reject the request after it has taken
// it over. The first one may have run it.
func TestRefusalAfterTakeover(t *testing.T) {
	s, a := newTakeoverFixture(t)
	a.admit = func(context.Context) (string, error) { return "second", nil }
	closed := make(chan struct{})
	s.put("first", startUpstream(t, func(c net.Conn, _ string) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	}))
	s.put("second", startUpstream(t, func(c net.Conn, id string) {
		<-closed
		_, _ = io.WriteString(c, strings.ReplaceAll(response(503, notRunHeader+": 1\r\n", "busy"), "%ID", id))
	}))
	got := s.serve(idempotent, "id-1")
	if got.outcome() == "notRun" {
		t.Errorf("the caller received %q with %+v, though the first upstream may have run the request", got.outcome(), got.refusal)
	}
}

// TestRejectionAfterFailedTakeover has the other upstream close its connection during
// the takeover, after it may have run the request, and the first one reject it then.
func TestRejectionAfterFailedTakeover(t *testing.T) {
	s, a := newTakeoverFixture(t)
	a.admit = func(context.Context) (string, error) { return "second", nil }
	lost := make(chan struct{})
	s.put("first", startUpstream(t, func(c net.Conn, id string) {
		<-lost
		_, _ = io.WriteString(c, strings.ReplaceAll(response(503, notRunHeader+": 1\r\n", "busy"), "%ID", id))
	}))
	s.put("second", startUpstream(t, func(c net.Conn, _ string) {
		_ = c.Close()
		close(lost)
	}))
	got := s.serve(idempotent, "id-1")
	if got.outcome() == "notRun" {
		t.Errorf("the caller received %q with %+v, though the second upstream may have run the request", got.outcome(), got.refusal)
	}
}

// TestTakeoverAfterTerminator has the first upstream send the terminator and fall silent
// inside the end of the body. Every grant must be returned.
func TestTakeoverAfterTerminator(t *testing.T) {
	s, a := newTakeoverFixture(t)
	var grants atomic.Int32
	a.admit = func(context.Context) (string, error) { grants.Add(1); return "second", nil }
	f := forwarder.New(a, testCodec{}, connector.New(), s.directory, slog.New(slog.DiscardHandler), forwarder.WithTerminator("data: [DONE]"))
	s.put("first", startUpstream(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%ID", id)+events(0, 2)+chunk("data: [DONE]\n\n")+"0\r\n")
		_, _ = c.Read(make([]byte, 1))
	}))
	s.put("second", startUpstream(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%ID", id)+chunk("data: [DONE]\n\n")+"0\r\n\r\n")
		_, _ = c.Read(make([]byte, 1))
	}))
	route := resumable
	route.Objective = time.Second
	r := &recorder{}
	f.Serve(context.Background(), &forwarder.Request{
		ID: "id-1", Method: http.MethodPost, Target: "/p", Body: []byte("body"), Route: &route, Pool: "p",
		Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second), LastEventID: forwarder.NoEvent,
	}, r)
	s.admitter.mu.Lock()
	defer s.admitter.mu.Unlock()
	if n := int(grants.Load()) + 1; len(s.admitter.finishes) != n {
		t.Errorf("%d of %d grants were returned (%v); the caller received %q", len(s.admitter.finishes), n, s.admitter.finishes, r.outcome())
	}
}

// TestSilentUpstreamIsNotReplacedByItself grants an outdated entry with the address of
// the silent upstream, which rejects that request once it goes on.
func TestSilentUpstreamIsNotReplacedByItself(t *testing.T) {
	s, a := newTakeoverFixture(t)
	var once sync.Once
	decided := make(chan struct{})
	a.admit = func(context.Context) (string, error) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if len(a.finishes) == 0 {
			return "outdated", nil
		}
		once.Do(func() { close(decided) })
		return "", nil
	}
	var requests atomic.Int32
	address := startUpstream(t, func(c net.Conn, id string) {
		if requests.Add(1) > 1 {
			once.Do(func() { time.AfterFunc(time.Second, func() { close(decided) }) })
			<-decided
			_, _ = io.WriteString(c, strings.ReplaceAll(response(421, "", ""), "%ID", id))
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead+events(0, 2), "%ID", id))
		<-decided
		_, _ = io.WriteString(c, events(3, 5)+"0\r\n\r\n")
	})
	s.put("first", address)
	s.put("outdated", address)
	if got, want := s.serve(resumable, "id-1").outcome(), "200 "+relayedEvents(0, 5); got != want {
		t.Errorf("the caller received %q, want %q", got, want)
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("the upstream received %d requests, want 1", n)
	}
}
