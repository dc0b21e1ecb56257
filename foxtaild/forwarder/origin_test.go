package forwarder_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/pinner"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// fakeOrigins knows some origins and records its calls.
type fakeOrigins struct {
	known map[forwarder.StreamID]pinner.Origin
	// delay is the time that Find takes.
	delay time.Duration

	// onRecord is called after each record, if it is set.
	onRecord func()

	mu       sync.Mutex
	asked    []forwarder.StreamID
	recorded []recordedOrigin
}

// recordedOrigin is a call of Record.
type recordedOrigin struct {
	forwarder.StreamID
	pinner.Origin
	until time.Time
}

func (o *fakeOrigins) Record(s forwarder.StreamID, origin pinner.Origin, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recorded = append(o.recorded, recordedOrigin{s, origin, until})
	if o.onRecord != nil {
		o.onRecord()
	}
}

func (o *fakeOrigins) Find(ctx context.Context, s forwarder.StreamID) (pinner.Origin, bool) {
	if ctx.Err() != nil {
		return pinner.Origin{}, false
	}
	time.Sleep(o.delay)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked = append(o.asked, s)
	origin, ok := o.known[s]
	return origin, ok
}

// grantAdmitter grants upstreams in turn and records the admission requests and how often
// each grant was returned.
type grantAdmitter struct {
	fixedAdmitter
	requests []coordinator.Request
	returned []int
}

func (a *grantAdmitter) Admit(ctx context.Context, r coordinator.Request) (forwarder.Grant, error) {
	a.requests = append(a.requests, r)
	g, err := a.fixedAdmitter.Admit(ctx, r)
	if finish := g.ReportFinish; finish != nil {
		n := len(a.returned)
		a.returned = append(a.returned, 0)
		g.ReportFinish = func(f coordinator.Finish) { a.returned[n]++; finish(f) }
	}
	return g, err
}

// checkReturned checks that every grant was returned exactly once.
func (a *grantAdmitter) checkReturned(t *testing.T) {
	t.Helper()
	if slices.ContainsFunc(a.returned, func(n int) bool { return n != 1 }) {
		t.Errorf("grants were returned %v times, want once each", a.returned)
	}
}

// originFixture is a forwarder with origins.
type originFixture struct {
	*fixture
	admitter grantAdmitter
	origins  fakeOrigins
	losses   fakeQuarantine
}

// newOriginFixture returns a forwarder that is granted its upstreams in turn.
func newOriginFixture(t *testing.T, servers ...*server) *originFixture {
	t.Helper()
	s := &originFixture{fixture: newFixture(t, servers...)}
	s.admitter.grants = s.fixture.admitter.grants
	s.use(s.directory)
	return s
}

// use replaces the directory.
func (s *originFixture) use(d forwarder.Directory) {
	s.Forwarder = forwarder.New(&s.admitter, testCodec{}, connector.New(), d, slog.New(slog.DiscardHandler), forwarder.WithOrigins(&s.origins), forwarder.WithQuarantine(&s.losses))
}

// The streams of these tests.
const (
	ownStream     pinner.Key = 11
	resumedStream pinner.Key = 22
)

// newRequest returns a request that begins a stream, or takes one up after an event.
func newRequest(route router.Route, after int64) *forwarder.Request {
	route.Objective = time.Second
	return &forwarder.Request{
		ID: "id-2", Method: http.MethodPost, Target: "/p", Route: &route, Pool: "p", Stream: ownStream, ResumedStream: resumedStream, Resumes: "id-1",
		Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second), LastEventID: after,
	}
}

// stream returns a step that sends events and ends the stream.
func stream(from, to int) step { return step{bytes: streamHead + events(from, to) + "0\r\n\r\n"} }

// cut returns a step that sends events and closes the connection inside the stream.
func cut(from, to int) step {
	return step{bytes: streamHead + events(from, to), action: closeConn}
}

// TestFirstEventFixesTheVersion lets attempts end at several versions before and after
// the caller's first event.
func TestFirstEventFixesTheVersion(t *testing.T) {
	tests := map[string]struct {
		// versions are those of the upstreams in the order of the grants.
		versions []string
		steps    []step
		want     string
		asked    []string
		sent     []int
	}{
		"event at the first upstream":  {[]string{"v1", "v2", "v1"}, []step{cut(0, 1), stream(2, 3), stream(2, 3)}, "200 " + relayedEvents(0, 3), []string{"", "v1", "v1"}, []int{1, 0, 1}},
		"event at the second upstream": {[]string{"v1", "v2", "v1", "v2"}, []step{cut(0, -1), cut(0, 1), stream(2, 3), stream(2, 3)}, "200 " + relayedEvents(0, 3), []string{"", "", "v2", "v2"}, []int{1, 1, 0, 1}},
		"rejected at the first":        {[]string{"v1", "v2", "v2"}, []step{{bytes: response(503, notRunHeader+": 1\r\n", "busy")}, cut(0, 1), stream(2, 3)}, "200 " + relayedEvents(0, 3), []string{"", "", "v2"}, []int{1, 1, 1}},
		"unknown version first":        {[]string{"", "v2"}, []step{cut(0, -1), stream(0, 3)}, "200 " + relayedEvents(0, 3), []string{"", ""}, []int{1, 1}},
		"event at an unknown version":  {[]string{"", ""}, []step{cut(0, 1), stream(2, 3)}, "aborted", []string{""}, []int{1, 0}},
		"other versions only":          {[]string{"v1", "v2", "", "v3", "v4", "v1"}, []step{cut(0, 1), stream(2, 3), stream(2, 3), stream(2, 3), stream(2, 3), stream(2, 3)}, "aborted", []string{"", "v1", "v1", "v1", "v1"}, []int{1, 0, 0, 0, 0, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var servers []*server
			versions := make(map[string]string)
			for i, x := range tt.steps {
				servers = append(servers, newServer(t, x))
				versions[fmt.Sprint("upstream-", i)] = tt.versions[i]
			}
			s := newOriginFixture(t, servers...)
			s.setVersions(versions)
			r, route := &recorder{}, resumable
			route.Attempts = 4
			s.Serve(context.Background(), newRequest(route, forwarder.NoEvent), r)
			if r.outcome() != tt.want {
				t.Errorf("the caller received %q, want %q", r.outcome(), tt.want)
			}
			var asked []string
			for i, x := range s.admitter.requests {
				asked = append(asked, x.Version)
				if len(x.Exclude) != i {
					t.Errorf("admission request %d excludes %v, want all upstreams granted before", i, x.Exclude)
				}
			}
			if !slices.Equal(asked, tt.asked) {
				t.Errorf("versions %q asked for, want %q", asked, tt.asked)
			}
			for i, x := range servers {
				if n := len(x.requests()); n != tt.sent[i] {
					t.Errorf("upstream %d received %d requests, want %d", i, n, tt.sent[i])
				}
			}
			s.admitter.checkReturned(t)
		})
	}
}

// restartingDirectory has upstreams start again at version v2 after some look-ups.
type restartingDirectory struct {
	forwarder.Directory
	// restarts holds the number of look-ups of each upstream before it starts again.
	restarts map[string]int
}

func (d *restartingDirectory) Usable(id string, now time.Time) (registrar.Entry, bool) {
	e, ok := d.Directory.Usable(id, now)
	if n, ok := d.restarts[id]; ok {
		if n == 0 {
			e.Version, e.Born = "v2", 2
		}
		d.restarts[id] = max(n-1, 0)
	}
	return e, ok
}

// TestUpstreamStartsAgainAtAnotherVersion has an upstream start again under its ID at
// several points of an attempt.
func TestUpstreamStartsAgainAtAnotherVersion(t *testing.T) {
	tests := map[string]struct {
		restarts map[string]int
		want     string
		sent     [2]int
		recorded bool
	}{
		"never":                               {nil, "200 " + relayedEvents(0, 3), [2]int{1, 1}, true},
		"second between grant and connection": {map[string]int{"upstream-1": 0}, "aborted", [2]int{1, 0}, true},
		"second between connection and first byte": {map[string]int{"upstream-1": 1}, "aborted", [2]int{1, 0}, true},
		"second before its first event":            {map[string]int{"upstream-1": 2}, "aborted", [2]int{1, 1}, true},
		"first before its first event":             {map[string]int{"upstream-0": 2}, "aborted", [2]int{1, 0}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newServer(t, cut(0, 1)), newServer(t, stream(2, 3))
			s := newOriginFixture(t, first, second)
			s.use(&restartingDirectory{s.directory, tt.restarts})
			r := &recorder{}
			s.Serve(context.Background(), newRequest(resumable, forwarder.NoEvent), r)
			if r.outcome() != tt.want {
				t.Errorf("the caller received %q, want %q", r.outcome(), tt.want)
			}
			if n := [2]int{len(first.requests()), len(second.requests())}; n != tt.sent {
				t.Errorf("the upstreams received %v requests, want %v", n, tt.sent)
			}
			if got := len(s.origins.recorded) > 0; got != tt.recorded {
				t.Errorf("an origin was recorded: %v, want %v", got, tt.recorded)
			}
			if slices.ContainsFunc(s.losses.events, func(event string) bool { return strings.HasPrefix(event, "lost upstream-1") }) {
				t.Errorf("%v were reported to the quarantine, want the first connection only", s.losses.events)
			}
			s.admitter.checkReturned(t)
		})
	}
}

// TestUpstreamOfAnotherVersionIsNotConnectedTo grants one that can't be reached.
func TestUpstreamOfAnotherVersionIsNotConnectedTo(t *testing.T) {
	s := newOriginFixture(t, newServer(t, cut(0, 1)))
	s.directory.Update(registrar.Position{Revision: 2}, func(r *registrar.Registrar) {
		r.Put(registrar.Entry{ID: "unreached", Pool: "p", Address: "127.0.0.1:1", Version: "v2", Slots: 1})
	})
	s.admitter.grants = append(s.admitter.grants, "unreached")
	s.Serve(context.Background(), newRequest(resumable, forwarder.NoEvent), &recorder{})
	if f := s.admitter.finishes; len(f) != 2 || f[1].Ending != coordinator.Unused {
		t.Errorf("reported finishes %+v, want the second of two unused", f)
	}
}
