package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// takeoverAdmitter grants the first upstream to a request and handles each further
// admission request with admit.
type takeoverAdmitter struct {
	fixedAdmitter
	// admit decides on a request for another upstream than the first.
	admit func(ctx context.Context) (upstream string, err error)
	// asked is closed by the first request for another upstream.
	asked chan struct{}
	once  sync.Once
}

func (a *takeoverAdmitter) Admit(ctx context.Context, r coordinator.Request) (forwarder.Grant, error) {
	if !r.Repeat {
		return a.grant("first"), nil
	}
	a.once.Do(func() { close(a.asked) })
	upstream, err := a.admit(ctx)
	if err != nil {
		return forwarder.Grant{}, err
	}
	if upstream == "" {
		return forwarder.Grant{Refusal: &forwarder.Refusal{Outcome: forwarder.NotRun, Reason: "noCapacity", RetryAfter: time.Second}}, nil
	}
	return a.grant(upstream), nil
}

// grant returns a grant for an upstream.
func (a *takeoverAdmitter) grant(upstream string) forwarder.Grant {
	return forwarder.Grant{
		Upstream: upstream, Expires: time.Now().Add(time.Second), ReportFirstEvent: func(time.Duration) {},
		ReportFinish: func(x coordinator.Finish) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.finishes = append(a.finishes, x)
		},
	}
}

// startUpstream starts an upstream that reads one request on each connection and
// passes it to handle, which may write a response. It returns the address.
func startUpstream(t *testing.T, handle func(c net.Conn, id string)) string {
	t.Helper()
	return startUpstreamAt(t, "127.0.0.1:0", handle)
}

// startUpstreamAt starts an upstream at an address.
func startUpstreamAt(t *testing.T, address string, handle func(c net.Conn, id string)) string {
	t.Helper()
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if _, err = io.Copy(io.Discard, r.Body); err == nil {
					handle(c, r.Header.Get(idHeader))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestSilentUpstreamKeepsItsRequest has an upstream fall silent and go on after the
// forwarder has asked for another one, which does not take the request over.
func TestSilentUpstreamKeepsItsRequest(t *testing.T) {
	refuse := func(context.Context) (string, error) { return "", nil }
	grantSecond := func(context.Context) (string, error) { return "second", nil }
	tests := map[string]struct {
		route router.Route
		// before and after are what the upstream sends before and after its silence.
		before, after string
		admit         func(ctx context.Context) (string, error)
		// second is the response of the other upstream.
		second string
		want   string
		// dispatches is the number of upstreams that received the request.
		dispatches int
	}{
		"stream, no capacity elsewhere": {
			resumable, streamHead + events(0, 2), events(3, 5) + "0\r\n\r\n", refuse, "", "200 " + relayedEvents(0, 5), 1,
		},
		"stream without events, no capacity elsewhere": {
			resumable, "", streamHead + events(0, 2) + "0\r\n\r\n", refuse, "", "200 " + relayedEvents(0, 2), 1,
		},
		"stream, silent inside an event": {
			resumable, streamHead + events(0, 0) + chunk("id: 1\nda"), chunk("ta: e1\n\n") + "0\r\n\r\n", refuse, "", "200 " + relayedEvents(0, 1), 1,
		},
		"stream, silent inside a chunk": {
			resumable, streamHead + events(0, 0) + "10\r\nid: 1\nda", "ta: e1\n\n\r\n0\r\n\r\n", refuse, "", "200 " + relayedEvents(0, 1), 1,
		},
		"stream, rejected elsewhere": {
			resumable, streamHead + events(0, 2), events(3, 5) + "0\r\n\r\n", grantSecond, response(503, notRunHeader+": 1\r\n", "busy"), "200 " + relayedEvents(0, 5), 2,
		},
		"stream, failed elsewhere": {
			resumable, streamHead + events(0, 2), events(3, 5) + "0\r\n\r\n", grantSecond, response(500, sealed, "bad"), "200 " + relayedEvents(0, 5), 2,
		},
		"stream, connection lost elsewhere": {
			resumable, streamHead + events(0, 2), events(3, 5) + "0\r\n\r\n", grantSecond, "", "200 " + relayedEvents(0, 5), 2,
		},
		"stream, other upstream unreached": {
			resumable, streamHead + events(0, 2), events(3, 5) + "0\r\n\r\n", func(context.Context) (string, error) { return "unreached", nil }, "", "200 " + relayedEvents(0, 5), 1,
		},
		"stream, other upstream has left": {
			resumable, streamHead + events(0, 2), events(3, 5) + "0\r\n\r\n", func(context.Context) (string, error) { return "left", nil }, "", "200 " + relayedEvents(0, 5), 1,
		},
		"idempotent, no capacity elsewhere": {
			idempotent, "", response(200, sealed, "yes"), refuse, "", "200 yes", 1,
		},
		"idempotent, rejected elsewhere": {
			idempotent, "", response(200, sealed, "yes"), grantSecond, response(503, notRunHeader+": 1\r\n", "busy"), "200 yes", 2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, a := newTakeoverFixture(t)
			decided := make(chan struct{})
			var once sync.Once
			a.admit = func(ctx context.Context) (string, error) {
				upstream, err := tt.admit(ctx)
				if upstream != "second" {
					defer once.Do(func() { close(decided) })
				}
				return upstream, err
			}
			s.put("first", startUpstream(t, func(c net.Conn, id string) {
				_, _ = io.WriteString(c, strings.ReplaceAll(tt.before, "%ID", id))
				<-decided
				_, _ = io.WriteString(c, strings.ReplaceAll(tt.after, "%ID", id))
			}))
			s.put("second", startUpstream(t, func(c net.Conn, id string) {
				_, _ = io.WriteString(c, strings.ReplaceAll(tt.second, "%ID", id))
				_ = c.Close()
				once.Do(func() { close(decided) })
			}))
			got := s.serve(tt.route, "id-1")
			if got.outcome() != tt.want {
				t.Errorf("the caller received %q, want %q", got.outcome(), tt.want)
			}
			if n := s.dispatches(); n != tt.dispatches {
				t.Errorf("%d upstreams received the request, want %d", n, tt.dispatches)
			}
		})
	}
}

// TestSilentUpstreamGoesOnDuringAdmission has an upstream go on while the request for
// another one waits. That request must be withdrawn and a late grant returned.
func TestSilentUpstreamGoesOnDuringAdmission(t *testing.T) {
	tests := map[string]func(ctx context.Context) (string, error){
		"withdrawn":  func(ctx context.Context) (string, error) { <-ctx.Done(); return "", ctx.Err() },
		"late grant": func(ctx context.Context) (string, error) { <-ctx.Done(); return "second", nil },
	}
	for name, admit := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, a := newTakeoverFixture(t)
			answered := make(chan struct{})
			a.admit = func(ctx context.Context) (string, error) {
				defer close(answered)
				return admit(ctx)
			}
			s.put("first", startUpstream(t, func(c net.Conn, id string) {
				_, _ = io.WriteString(c, strings.ReplaceAll(streamHead+events(0, 2), "%ID", id))
				<-a.asked
				_, _ = io.WriteString(c, events(3, 3))
				<-answered
				_, _ = io.WriteString(c, events(4, 5)+"0\r\n\r\n")
			}))
			s.put("second", startUpstream(t, func(net.Conn, string) { t.Error("the other upstream received a request") }))
			if got, want := s.serve(resumable, "id-1").outcome(), "200 "+relayedEvents(0, 5); got != want {
				t.Errorf("the caller received %q, want %q", got, want)
			}
			if name == "late grant" {
				s.waitForFinish(t, coordinator.Unused)
			}
		})
	}
}

// TestSilentUpstreamIsReplaced has an upstream fall silent for good. Its connection
// must be closed before the other upstream's events are relayed.
func TestSilentUpstreamIsReplaced(t *testing.T) {
	tests := map[string]struct {
		route         router.Route
		before, after string
		want          string
	}{
		"stream":               {resumable, streamHead + events(0, 2), streamHead + events(3, 5) + "0\r\n\r\n", "200 " + relayedEvents(0, 5)},
		"stream without event": {resumable, streamHead, streamHead + events(0, 5) + "0\r\n\r\n", "200 " + relayedEvents(0, 5)},
		"stream without head":  {resumable, "", streamHead + events(0, 5) + "0\r\n\r\n", "200 " + relayedEvents(0, 5)},
		"idempotent":           {idempotent, "", response(200, sealed, "yes"), "200 yes"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, a := newTakeoverFixture(t)
			a.admit = func(context.Context) (string, error) { return "second", nil }
			closed := make(chan struct{})
			s.put("first", startUpstream(t, func(c net.Conn, id string) {
				_, _ = io.WriteString(c, strings.ReplaceAll(tt.before, "%ID", id))
				_, _ = c.Read(make([]byte, 1))
				close(closed)
			}))
			s.put("second", startUpstream(t, func(c net.Conn, id string) {
				head, rest, _ := strings.Cut(strings.ReplaceAll(tt.after, "%ID", id), "\r\n\r\n")
				_, _ = io.WriteString(c, head+"\r\n\r\n")
				<-closed
				_, _ = io.WriteString(c, rest)
			}))
			if got := s.serve(tt.route, "id-1").outcome(); got != tt.want {
				t.Errorf("the caller received %q, want %q", got, tt.want)
			}
			s.waitForFinish(t, coordinator.TimedOut)
		})
	}
}

// TestSilentTakeoverIsAccepted has the other upstream accept the request and stay
// silent as well before it responds.
func TestSilentTakeoverIsAccepted(t *testing.T) {
	s, a := newTakeoverFixture(t)
	a.admit = func(context.Context) (string, error) { return "second", nil }
	closed := make(chan struct{})
	s.put("first", startUpstream(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead+events(0, 2), "%ID", id))
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	}))
	s.put("second", startUpstream(t, func(c net.Conn, id string) {
		<-closed
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead+events(3, 5)+"0\r\n\r\n", "%ID", id))
	}))
	if got, want := s.serve(resumable, "id-1").outcome(), "200 "+relayedEvents(0, 5); got != want {
		t.Errorf("the caller received %q, want %q", got, want)
	}
}

// takeoverFixture is a forwarder with upstreams that are added by name.
type takeoverFixture struct {
	*fixture
	admitter *takeoverAdmitter
}

// newTakeoverFixture returns a forwarder that knows an upstream that refuses
// connections, and its admitter.
func newTakeoverFixture(t *testing.T) (*takeoverFixture, *takeoverAdmitter) {
	t.Helper()
	a := &takeoverAdmitter{asked: make(chan struct{})}
	s := &takeoverFixture{fixture: newFixture(t), admitter: a}
	s.fixture.Forwarder = s.withAdmitter(a)
	s.put("unreached", "127.0.0.1:1")
	return s, a
}

// put adds an upstream to the directory.
func (s *takeoverFixture) put(id, address string) {
	s.directory.Update(registrar.Position{Revision: 1}, func(r *registrar.Registrar) {
		r.Put(registrar.Entry{ID: id, Pool: "p", Address: address, Version: "v1", Slots: 1})
	})
}

// dispatches returns the number of grants under which the request was sent.
func (s *takeoverFixture) dispatches() (n int) {
	s.admitter.mu.Lock()
	defer s.admitter.mu.Unlock()
	for _, f := range s.admitter.finishes {
		if f.Ending != coordinator.Unused && f.Ending != coordinator.ConnectFailed {
			n++
		}
	}
	return n
}

// waitForFinish waits until a grant has ended in a given way.
func (s *takeoverFixture) waitForFinish(t *testing.T, want coordinator.Ending) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		s.admitter.mu.Lock()
		for _, f := range s.admitter.finishes {
			if f.Ending == want {
				s.admitter.mu.Unlock()
				return
			}
		}
		s.admitter.mu.Unlock()
	}
	t.Errorf("no grant ended %v", want)
}
