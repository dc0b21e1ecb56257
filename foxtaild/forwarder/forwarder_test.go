package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// Headers of testCodec.
const (
	idHeader     = "Test-Id"
	sealHeader   = "Test-Seal"
	notRunHeader = "Test-Not-Run"
	afterHeader  = "Test-After"
)

// testCodec is the codec of these tests.
type testCodec struct{}

func (testCodec) Encode(b []byte, r *forwarder.Request, d forwarder.Dispatch) []byte {
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", r.Method, r.Target, d.Upstream.ID, idHeader, r.ID)
	if d.LastEventID != forwarder.NoEvent {
		b = fmt.Appendf(b, "%s: %d\r\n", afterHeader, d.LastEventID)
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(r.Body))
}

func (testCodec) Decode(r *forwarder.Request, status int, h http.Header) forwarder.ResponseInfo {
	return forwarder.ResponseInfo{
		MatchesRequest: h.Get(idHeader) == r.ID, NamesOther: h.Get(idHeader) != "" && h.Get(idHeader) != r.ID, Authentic: h.Get(sealHeader) != "",
		NotRun: h.Get(notRunHeader) != "", WrongUpstream: status == http.StatusMisdirectedRequest,
	}
}

func (testCodec) Tokens([]byte) int { return 0 }

// action is what an upstream does with a connection after it has sent a
// response.
type action int

const (
	// keepServing reads the next request.
	keepServing action = iota
	closeConn
	resetConn
	// stopServing leaves the connection open but reads no further request.
	stopServing
)

// step is how an upstream handles one request. It sends bytes, in which %ID is
// replaced by the request's ID, and then takes the action.
type step struct {
	bytes  string
	action action
}

// server is an upstream that takes the next step for each request.
type server struct {
	t     *testing.T
	l     net.Listener
	mu    sync.Mutex
	steps []step
	// received lists the received requests as "METHOD path after body".
	received []string
	// conns is the number of accepted connections.
	conns int
	// closed is closed when the upstream has closed a connection as the action
	// of a step.
	closed chan struct{}
}

// newServer starts an upstream.
func newServer(t *testing.T, steps ...step) *server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, l: l, steps: steps, closed: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			t.Cleanup(func() { _ = c.Close() })
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

// serve handles the requests of one connection.
func (s *server) serve(c *net.TCPConn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			_ = c.Close()
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			_ = c.Close()
			return
		}
		s.mu.Lock()
		s.received = append(s.received, strings.TrimSpace(fmt.Sprintf("%s %s %s %s", r.Method, r.RequestURI, r.Header.Get(afterHeader), body)))
		var next step
		if len(s.steps) > 0 {
			next, s.steps = s.steps[0], s.steps[1:]
		}
		s.mu.Unlock()
		_, _ = io.WriteString(c, strings.ReplaceAll(next.bytes, "%ID", r.Header.Get(idHeader)))
		switch next.action {
		case closeConn:
			_ = c.Close()
			close(s.closed)
			return
		case resetConn:
			_ = c.SetLinger(0)
			_ = c.Close()
			return
		case stopServing:
			return
		}
	}
}

// requests returns the received requests.
func (s *server) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.received...)
}

// fixedAdmitter grants the given upstreams in turn and then refuses. It records
// the reported finishes.
type fixedAdmitter struct {
	mu       sync.Mutex
	grants   []string
	finishes []coordinator.Finish
	// lifetime is the time until a grant expires, 1 s if 0.
	lifetime time.Duration
}

func (f *fixedAdmitter) Admit(_ context.Context, _ coordinator.Request) (forwarder.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.grants) == 0 {
		return forwarder.Grant{Refusal: &forwarder.Refusal{Outcome: forwarder.NotRun, Reason: "noCapacity", RetryAfter: time.Second}}, nil
	}
	upstream := f.grants[0]
	f.grants = f.grants[1:]
	lifetime := f.lifetime
	if lifetime == 0 {
		lifetime = time.Second
	}
	return forwarder.Grant{
		Upstream: upstream, Expires: time.Now().Add(lifetime), ReportFirstEvent: func(time.Duration) {},
		ReportFinish: func(x coordinator.Finish) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.finishes = append(f.finishes, x)
		},
	}, nil
}

// recorder is a responder that records its calls.
type recorder struct {
	status  int
	header  http.Header
	body    bytes.Buffer
	refusal *forwarder.Refusal
	aborted bool
	// writesLeft is decremented by each write, and the write that sets it to 0
	// fails. If it is 0 at the start, no write fails.
	writesLeft int
}

func (r *recorder) Begin(status int, h http.Header, _ int) error {
	r.status, r.header = status, h
	return nil
}

func (r *recorder) Write(b []byte) error {
	if r.writesLeft > 0 {
		if r.writesLeft--; r.writesLeft == 0 {
			return errors.New("caller disconnected")
		}
	}
	r.body.Write(b)
	return nil
}

func (r *recorder) Refuse(x forwarder.Refusal) error {
	r.refusal = &x
	return nil
}

func (r *recorder) Abort(forwarder.Refusal) { r.aborted = true }

// outcome returns "aborted", the outcome of the refusal, or the status and body
// that the caller received.
func (r *recorder) outcome() string {
	switch {
	case r.aborted:
		return "aborted"
	case r.refusal != nil:
		return r.refusal.Outcome.String()
	default:
		return strconv.Itoa(r.status) + " " + r.body.String()
	}
}

// response returns a whole response.
func response(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %03d X\r\n%s: %%ID\r\n%sContent-Length: %d\r\n\r\n%s", status, idHeader, headers, len(body), body)
}

// sealed is the header line of an authentic response.
const sealed = sealHeader + ": s\r\n"

// okResponse returns a step that sends an authentic response with status 200.
func okResponse(body string) step { return step{bytes: response(200, sealed, body)} }

// chunk returns s as one chunk of the chunked transfer coding.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// events returns the events with the IDs from..to, each in a chunk.
func events(from, to int) (s string) {
	for i := from; i <= to; i++ {
		s += chunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))
	}
	return s
}

// relayedEvents returns the events with the IDs from..to as the caller receives
// them.
func relayedEvents(from, to int) (s string) {
	for i := from; i <= to; i++ {
		s += fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
	}
	return s
}

// streamHead is the head of an authentic chunked stream.
const streamHead = "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\n"

// Routes of the tests.
var (
	idempotent    = router.Route{Name: "idempotent", Kind: router.Idempotent, Attempts: 2}
	nonIdempotent = router.Route{Name: "nonIdempotent", Kind: router.NonIdempotent, Attempts: 2}
	streaming     = router.Route{Name: "streaming", Kind: router.Streaming, Attempts: 2}
	resumable     = router.Route{Name: "resumable", Kind: router.Streaming, Resumable: true, Attempts: 2}
)

// fixture is a forwarder with its admitter.
type fixture struct {
	*forwarder.Forwarder
	admitter  *fixedAdmitter
	directory *directory.Directory
}

// newFixture returns a forwarder whose admitter grants the servers in turn.
func newFixture(t *testing.T, servers ...*server) *fixture {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	dir := directory.New(log)
	admitter := &fixedAdmitter{}
	for i, s := range servers {
		id := fmt.Sprint("upstream-", i)
		dir.Update(registrar.Position{Revision: 1}, func(r *registrar.Registrar) {
			r.Put(registrar.Entry{ID: id, Pool: "p", Address: s.l.Addr().String(), Version: "v1", Slots: 1})
		})
		admitter.grants = append(admitter.grants, id)
	}
	s := &fixture{admitter: admitter, directory: dir}
	s.Forwarder = s.withAdmitter(admitter)
	return s
}

// withAdmitter returns a forwarder with the fixture's directory.
func (s *fixture) withAdmitter(a forwarder.Admitter) *forwarder.Forwarder {
	return forwarder.New(a, testCodec{}, connector.New(), s.directory, slog.New(slog.DiscardHandler))
}

// serve forwards one request.
func (s *fixture) serve(route router.Route, id string) *recorder {
	r := &recorder{}
	route.Objective = time.Second
	s.Serve(context.Background(), &forwarder.Request{
		ID: id, Method: http.MethodPost, Target: "/p?q=1", Body: []byte("body"), Route: &route, Pool: "p",
		Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second), LastEventID: forwarder.NoEvent,
	}, r)
	return r
}

func TestUpstreamResponses(t *testing.T) {
	notRun := step{bytes: response(503, notRunHeader+": 1\r\n", "busy")}
	misdirected := step{bytes: response(421, "", "")}
	truncated := step{bytes: "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed + "Content-Length: 50\r\n\r\nhalf", action: closeConn}
	tests := map[string]struct {
		route   router.Route
		first   step
		second  step
		want    string
		arrived [2]int
	}{
		"complete":                          {idempotent, okResponse("yes"), okResponse("no"), "200 yes", [2]int{1, 0}},
		"upstream's own 404 status":         {idempotent, step{bytes: response(404, sealed, "none")}, okResponse("no"), "404 none", [2]int{1, 0}},
		"not run, retried at another":       {nonIdempotent, notRun, okResponse("yes"), "200 yes", [2]int{1, 1}},
		"misdirected, retried at another":   {nonIdempotent, misdirected, okResponse("yes"), "200 yes", [2]int{1, 1}},
		"not run twice":                     {nonIdempotent, notRun, notRun, "notRun", [2]int{1, 1}},
		"connection reset, repeatable":      {idempotent, step{action: resetConn}, okResponse("yes"), "200 yes", [2]int{1, 1}},
		"connection reset, not repeatable":  {nonIdempotent, step{action: resetConn}, okResponse("no"), "unknown", [2]int{1, 0}},
		"connection closed, not repeatable": {nonIdempotent, step{action: closeConn}, okResponse("no"), "unknown", [2]int{1, 0}},
		"truncated, repeatable":             {idempotent, truncated, okResponse("yes"), "200 yes", [2]int{1, 1}},
		"truncated, not repeatable":         {nonIdempotent, truncated, okResponse("no"), "unknown", [2]int{1, 0}},
		"not authentic":                     {nonIdempotent, step{bytes: response(200, "", "forged")}, okResponse("no"), "unknown", [2]int{1, 0}},
		"content encoding":                  {nonIdempotent, step{bytes: response(200, sealed+"Content-Encoding: gzip\r\n", "x")}, okResponse("no"), "unknown", [2]int{1, 0}},
		"not HTTP":                          {nonIdempotent, step{bytes: "what?\r\n\r\n"}, okResponse("no"), "unknown", [2]int{1, 0}},
		"status below 100, not repeatable":  {nonIdempotent, step{bytes: response(99, sealed, "hi")}, okResponse("no"), "unknown", [2]int{1, 0}},
		"status below 100, repeatable":      {idempotent, step{bytes: response(0, sealed, "hi")}, okResponse("yes"), "200 yes", [2]int{1, 1}},
		"response to another request first": {nonIdempotent, step{bytes: strings.ReplaceAll(response(200, sealed, "theirs"), "%ID", "other") + response(200, sealed, "ours")}, okResponse("no"), "200 ours", [2]int{1, 0}},
		"response to another request only":  {nonIdempotent, step{bytes: strings.ReplaceAll(response(200, sealed, "theirs"), "%ID", "other"), action: closeConn}, okResponse("no"), "unknown", [2]int{1, 0}},
		"extra response after":              {nonIdempotent, step{bytes: response(200, sealed, "ours") + response(200, sealed, "again")}, okResponse("no"), "200 ours", [2]int{1, 0}},
		"no length, connection closed":      {nonIdempotent, step{bytes: "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed + "\r\nall", action: closeConn}, okResponse("no"), "200 all", [2]int{1, 0}},
		"no length, connection reset":       {nonIdempotent, step{bytes: "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed + "\r\nsome", action: resetConn}, okResponse("no"), "unknown", [2]int{1, 0}},
		"status 500, repeatable":            {idempotent, step{bytes: response(500, sealed, "bad")}, okResponse("yes"), "200 yes", [2]int{1, 1}},
		"status 500, not repeatable":        {nonIdempotent, step{bytes: response(500, sealed, "bad")}, okResponse("no"), "500 bad", [2]int{1, 0}},
		"status 500, then 502":              {idempotent, step{bytes: response(500, sealed, "bad")}, step{bytes: response(502, sealed, "worse")}, "502 worse", [2]int{1, 1}},
		"stream":                            {streaming, step{bytes: streamHead + events(0, 3) + "0\r\n\r\n"}, okResponse("no"), "200 " + relayedEvents(0, 3), [2]int{1, 0}},
		"stream broken":                     {streaming, step{bytes: streamHead + events(0, 1), action: closeConn}, okResponse("no"), "aborted", [2]int{1, 0}},
		"stream broken before first event":  {streaming, step{bytes: streamHead, action: closeConn}, okResponse("no"), "unknown", [2]int{1, 0}},
		"stream resumed":                    {resumable, step{bytes: streamHead + events(0, 1), action: closeConn}, step{bytes: streamHead + events(2, 3) + "0\r\n\r\n"}, "200 " + relayedEvents(0, 3), [2]int{1, 1}},
		"stream broken inside an event":     {resumable, step{bytes: streamHead + events(0, 1) + chunk("id: 2\nda"), action: resetConn}, step{bytes: streamHead + events(2, 3) + "0\r\n\r\n"}, "200 " + relayedEvents(0, 3), [2]int{1, 1}},
		"resumed stream repeats events":     {resumable, step{bytes: streamHead + events(0, 1), action: closeConn}, step{bytes: streamHead + events(0, 3) + "0\r\n\r\n"}, "200 " + relayedEvents(0, 3), [2]int{1, 1}},
		"resumed stream skips an event":     {resumable, step{bytes: streamHead + events(0, 1), action: closeConn}, step{bytes: streamHead + events(3, 4) + "0\r\n\r\n"}, "aborted", [2]int{1, 1}},
		"stream skips an event":             {streaming, step{bytes: streamHead + events(0, 0) + events(2, 2) + "0\r\n\r\n"}, okResponse("no"), "aborted", [2]int{1, 0}},
		"stream ends inside an event":       {streaming, step{bytes: streamHead + events(0, 0) + chunk("id: 1\n") + "0\r\n\r\n"}, okResponse("no"), "aborted", [2]int{1, 0}},
		"stream broken at both upstreams":   {resumable, step{bytes: streamHead + events(0, 1), action: closeConn}, step{bytes: streamHead + events(2, 2), action: closeConn}, "aborted", [2]int{1, 1}},
		"status 400 to a stream request":    {resumable, step{bytes: response(400, sealed, "no such model")}, okResponse("no"), "400 no such model", [2]int{1, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newServer(t, tt.first), newServer(t, tt.second)
			s := newFixture(t, first, second)
			got := s.serve(tt.route, "id-1")
			if got.outcome() != tt.want {
				t.Errorf("the caller received %q, want %q", got.outcome(), tt.want)
			}
			if n := [2]int{len(first.requests()), len(second.requests())}; n != tt.arrived {
				t.Errorf("the upstreams received %v requests, want %v", n, tt.arrived)
			}
			for _, r := range first.requests() {
				if !strings.HasPrefix(r, "POST /p?q=1") || !strings.HasSuffix(r, "body") {
					t.Errorf("the first upstream received %q, want POST /p?q=1 with body", r)
				}
			}
		})
	}
}

func TestResumedStreamContinuesAfterLastEvent(t *testing.T) {
	first := newServer(t, step{bytes: streamHead + events(0, 4), action: resetConn})
	second := newServer(t, step{bytes: streamHead + events(5, 6) + "0\r\n\r\n"})
	newFixture(t, first, second).serve(resumable, "id")
	if got := second.requests(); len(got) != 1 || got[0] != "POST /p?q=1 4 body" {
		t.Errorf("the second upstream received %q, want a request to resume after event 4", got)
	}
}

// TestOnlyCleanConnectionsAreReused sends two requests and counts the
// upstream's connections: a connection is reused only if it is open and has no
// unread bytes.
func TestOnlyCleanConnectionsAreReused(t *testing.T) {
	tests := map[string]struct {
		first step
		conns int
	}{
		"clean":                 {okResponse("a"), 1},
		"extra response":        {step{bytes: response(200, sealed, "a") + response(200, sealed, "b")}, 2},
		"Connection: close":     {step{bytes: response(200, sealed+"Connection: close\r\n", "a"), action: closeConn}, 2},
		"closed without notice": {step{bytes: response(200, sealed, "a"), action: closeConn}, 2},
		"short keep-alive":      {step{bytes: response(200, sealed+"Keep-Alive: timeout=0\r\n", "a")}, 2},
		"clean stream":          {step{bytes: response(200, sealed, "id: 0\n\n")}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := newServer(t, tt.first, okResponse("second"))
			s := newFixture(t, srv)
			s.admitter.grants = []string{"upstream-0", "upstream-0"}
			s.serve(nonIdempotent, "id-1")
			if tt.first.action == closeConn {
				<-srv.closed
			}
			if got := s.serve(nonIdempotent, "id-2").outcome(); got != "200 second" {
				t.Errorf("the second request ended with %q, want 200 second", got)
			}
			srv.mu.Lock()
			defer srv.mu.Unlock()
			if srv.conns != tt.conns {
				t.Errorf("%d connections, want %d", srv.conns, tt.conns)
			}
		})
	}
}

// TestRemovedUpstreamReceivesNoRequest checks that a grant for an upstream that
// is no longer in the directory goes unused.
func TestRemovedUpstreamReceivesNoRequest(t *testing.T) {
	gone, live := newServer(t, okResponse("no")), newServer(t, okResponse("yes"))
	s := newFixture(t, gone, live)
	s.admitter.grants = []string{"unknown", "upstream-1"}
	if got := s.serve(nonIdempotent, "id").outcome(); got != "200 yes" {
		t.Errorf("got %q, want 200 yes", got)
	}
	if f := s.admitter.finishes; len(f) != 2 || f[0].Ending != coordinator.Unused {
		t.Errorf("reported finishes %+v, want the first of two unused", f)
	}
}

// TestLostRunIsNotRefusedAsNotRun loses the connection of an idempotent request and
// then grants an upstream that can't be used.
func TestLostRunIsNotRefusedAsNotRun(t *testing.T) {
	lost := step{action: resetConn}
	rejected := step{bytes: response(503, notRunHeader+": 1\r\n", "busy")}
	tests := map[string]struct {
		steps []step
		// grants are the upstreams after those of steps.
		grants   []string
		lifetime time.Duration
		want     string
	}{
		"upstream has left":                  {[]step{lost}, []string{"left"}, time.Second, "unknown"},
		"grants of upstreams that have left": {[]step{lost}, []string{"left", "left", "left", "left"}, time.Second, "unknown"},
		"no grant":                           {[]step{lost}, nil, time.Second, "unknown"},
		"unreached":                          {[]step{lost}, []string{"unreached"}, time.Second, "unknown"},
		"rejected":                           {[]step{lost, rejected}, nil, time.Second, "unknown"},
		"never sent, upstream has left":      {nil, []string{"left", "left", "left", "left", "left"}, time.Second, "notRun"},
		"never sent, grant has expired":      {nil, []string{"expired"}, time.Nanosecond, "notRun"},
		"rejected, then upstream has left":   {[]step{rejected}, []string{"left"}, time.Second, "notRun"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var servers []*server
			for _, x := range tt.steps {
				servers = append(servers, newServer(t, x))
			}
			s := newFixture(t, servers...)
			s.admitter.grants, s.admitter.lifetime = append(s.admitter.grants, tt.grants...), tt.lifetime
			s.directory.Update(registrar.Position{Revision: 2}, func(r *registrar.Registrar) {
				r.Put(registrar.Entry{ID: "unreached", Address: "127.0.0.1:1", Slots: 1})
				r.Put(registrar.Entry{ID: "expired", Address: newServer(t).l.Addr().String(), Slots: 1})
			})
			if got := s.serve(idempotent, "id-1").outcome(); got != tt.want {
				t.Errorf("the caller received %q, want %q", got, tt.want)
			}
		})
	}
}

// TestCallerDisconnectAbandonsRequest checks that the upstream connection is
// closed when the caller disconnects.
func TestCallerDisconnectAbandonsRequest(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	noticed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			noticed <- err
			return
		}
		br := bufio.NewReader(c)
		r, err := http.ReadRequest(br)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		cancel()
		if err == nil {
			_, err = br.ReadByte()
		}
		noticed <- err
	}()
	s := newFixture(t, &server{l: l})
	route := resumable
	r := &recorder{}
	s.Serve(ctx, &forwarder.Request{
		ID: "id", Method: http.MethodPost, Target: "/", Body: []byte("x"), Route: &route,
		Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), LastEventID: forwarder.NoEvent,
	}, r)
	if err := <-noticed; err == nil {
		t.Error("the upstream's connection is still open")
	}
	if f := s.admitter.finishes; len(f) != 1 || f[0].Ending != coordinator.Cancelled {
		t.Errorf("reported finishes %+v, want one abandoned", f)
	}
}

// TestRequestNearDeadlineIsNotSent checks that a request with less than the
// minimum time left is not sent.
func TestRequestNearDeadlineIsNotSent(t *testing.T) {
	srv := newServer(t, okResponse("no"))
	s := newFixture(t, srv)
	r := &recorder{}
	route := nonIdempotent
	s.Serve(context.Background(), &forwarder.Request{
		ID: "id", Method: http.MethodPost, Target: "/", Route: &route, Arrived: time.Now(),
		Deadline: time.Now().Add(5 * time.Millisecond), LastEventID: forwarder.NoEvent,
	}, r)
	if got := r.outcome(); got != "notRun" {
		t.Errorf("got %q, want notRun", got)
	}
	if n := len(srv.requests()); n != 0 {
		t.Errorf("the upstream received %d requests, want none", n)
	}
}
