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

// The headers of this test's dialect.
const (
	idHeader     = "Test-Id"
	sealHeader   = "Test-Seal"
	notRunHeader = "Test-Not-Run"
	afterHeader  = "Test-After"
)

// dialect is the codec of this test.
type dialect struct{}

func (dialect) Encode(b []byte, r *forwarder.Request, d forwarder.Dispatch) []byte {
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", r.Method, r.Target, d.Upstream.ID, idHeader, r.ID)
	if d.LastEventID != forwarder.NoEvent {
		b = fmt.Appendf(b, "%s: %d\r\n", afterHeader, d.LastEventID)
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(r.Body))
}

func (dialect) Decode(r *forwarder.Request, status int, h http.Header) forwarder.ResponseInfo {
	return forwarder.ResponseInfo{
		MatchesRequest: h.Get(idHeader) == r.ID, Authentic: h.Get(sealHeader) != "",
		NotRun: h.Get(notRunHeader) != "", WrongUpstream: status == http.StatusMisdirectedRequest,
	}
}

func (dialect) Tokens([]byte) int { return 0 }

// what an upstream does after it has written its bytes.
type then int

const (
	keep then = iota
	closeIt
	reset
	silence
)

// step is what an upstream does with one request: %ID stands for its id.
type step struct {
	bytes string
	then  then
}

// server is an upstream that plays steps, one for each request it gets.
type server struct {
	t     *testing.T
	l     net.Listener
	mu    sync.Mutex
	steps []step
	// got are the requests that came, as "METHOD path after body".
	got []string
	// conns counts connections.
	conns int
	// closed is closed when the upstream has closed a connection by a step.
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

// serve plays the steps on one connection.
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
		s.got = append(s.got, strings.TrimSpace(fmt.Sprintf("%s %s %s %s", r.Method, r.RequestURI, r.Header.Get(afterHeader), body)))
		var now step
		if len(s.steps) > 0 {
			now, s.steps = s.steps[0], s.steps[1:]
		}
		s.mu.Unlock()
		_, _ = io.WriteString(c, strings.ReplaceAll(now.bytes, "%ID", r.Header.Get(idHeader)))
		switch now.then {
		case closeIt:
			_ = c.Close()
			close(s.closed)
			return
		case reset:
			_ = c.SetLinger(0)
			_ = c.Close()
			return
		case silence:
			return
		}
	}
}

// requests returns what the upstream got.
func (s *server) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.got...)
}

// fixed is an asker that grants the given upstreams in turn, then refuses.
type fixed struct {
	mu       sync.Mutex
	grants   []string
	finishes []coordinator.Finish
	// life is how long a grant is good, a second if it is 0.
	life time.Duration
}

func (f *fixed) Admit(_ context.Context, a coordinator.Request) (forwarder.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.grants) == 0 {
		return forwarder.Grant{Refusal: &forwarder.Refusal{Outcome: forwarder.NotRun, Reason: "noCapacity", RetryAfter: time.Second}}, nil
	}
	upstream := f.grants[0]
	f.grants = f.grants[1:]
	life := f.life
	if life == 0 {
		life = time.Second
	}
	return forwarder.Grant{
		Upstream: upstream, Expires: time.Now().Add(life), ReportFirstEvent: func(time.Duration) {},
		ReportFinish: func(x coordinator.Finish) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.finishes = append(f.finishes, x)
		},
	}, nil
}

// recorder is a reply that keeps what it gets.
type recorder struct {
	status  int
	header  http.Header
	body    bytes.Buffer
	refusal *forwarder.Refusal
	aborted bool
	// fails is the number of events after which the caller takes no more.
	fails int
}

func (r *recorder) Begin(status int, h http.Header, _ int) error {
	r.status, r.header = status, h
	return nil
}

func (r *recorder) Write(b []byte) error {
	if r.fails > 0 {
		if r.fails--; r.fails == 0 {
			return errors.New("the caller is gone")
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

// outcome says in a word what the caller got.
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

// answer returns a whole answer.
func answer(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %%ID\r\n%sContent-Length: %d\r\n\r\n%s", status, idHeader, headers, len(body), body)
}

// sealed is the header of a genuine answer.
const sealed = sealHeader + ": s\r\n"

// good is a genuine answer.
func good(body string) step { return step{bytes: answer(200, sealed, body)} }

// chunk encodes one chunk.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// events returns the chunks of events from one number to another.
func events(from, to int) (s string) {
	for i := from; i <= to; i++ {
		s += chunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))
	}
	return s
}

// plainEvents returns the same events as a caller sees them.
func plainEvents(from, to int) (s string) {
	for i := from; i <= to; i++ {
		s += fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
	}
	return s
}

// streamHead is the head of a genuine stream in chunks.
const streamHead = "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\n"

// The routes of the tests.
var (
	safe      = router.Route{Name: "safe", Kind: router.Idempotent, Attempts: 2}
	unsafe    = router.Route{Name: "unsafe", Kind: router.NonIdempotent, Attempts: 2}
	once      = router.Route{Name: "once", Kind: router.Streaming, Attempts: 2}
	resumable = router.Route{Name: "resumable", Kind: router.Streaming, Resumable: true, Attempts: 2}
)

// setup joins upstreams and a forwarder.
type setup struct {
	*forwarder.Forwarder
	asker *fixed
}

// newSetup returns a forwarder whose asker grants the servers in turn.
func newSetup(t *testing.T, servers ...*server) *setup {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	dir := directory.New(log)
	asker := &fixed{}
	for i, s := range servers {
		id := fmt.Sprint("upstream-", i)
		dir.Update(1, func(r *registrar.Registrar) {
			r.Put(registrar.Entry{ID: id, Address: s.l.Addr().String(), Slots: 1})
		})
		asker.grants = append(asker.grants, id)
	}
	return &setup{Forwarder: forwarder.New(asker, dialect{}, connector.New(), dir, log), asker: asker}
}

// serve forwards one request.
func (s *setup) serve(route router.Route, id string) *recorder {
	r := &recorder{}
	route.Objective = time.Second
	s.Serve(context.Background(), &forwarder.Request{
		ID: id, Method: http.MethodPost, Target: "/p?q=1", Body: []byte("body"), Route: &route, Pool: "p",
		Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second), LastEventID: forwarder.NoEvent,
	}, r)
	return r
}

func TestAnswers(t *testing.T) {
	notRun := step{bytes: answer(503, notRunHeader+": 1\r\n", "busy")}
	misdirected := step{bytes: answer(421, "", "")}
	truncated := step{bytes: "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed + "Content-Length: 50\r\n\r\nhalf", then: closeIt}
	tests := map[string]struct {
		route   router.Route
		first   step
		second  step
		want    string
		arrived [2]int
	}{
		"whole":                           {safe, good("yes"), good("no"), "200 yes", [2]int{1, 0}},
		"own status":                      {safe, step{bytes: answer(404, sealed, "none")}, good("no"), "404 none", [2]int{1, 0}},
		"not run, then elsewhere":         {unsafe, notRun, good("yes"), "200 yes", [2]int{1, 1}},
		"misdirected, then elsewhere":     {unsafe, misdirected, good("yes"), "200 yes", [2]int{1, 1}},
		"not run twice":                   {unsafe, notRun, notRun, "notRun", [2]int{1, 1}},
		"reset, repeatable":               {safe, step{then: reset}, good("yes"), "200 yes", [2]int{1, 1}},
		"reset, not repeatable":           {unsafe, step{then: reset}, good("no"), "unknown", [2]int{1, 0}},
		"closed, not repeatable":          {unsafe, step{then: closeIt}, good("no"), "unknown", [2]int{1, 0}},
		"truncated, repeatable":           {safe, truncated, good("yes"), "200 yes", [2]int{1, 1}},
		"truncated, not repeatable":       {unsafe, truncated, good("no"), "unknown", [2]int{1, 0}},
		"no seal":                         {unsafe, step{bytes: answer(200, "", "forged")}, good("no"), "unknown", [2]int{1, 0}},
		"encoded":                         {unsafe, step{bytes: answer(200, sealed+"Content-Encoding: gzip\r\n", "x")}, good("no"), "unknown", [2]int{1, 0}},
		"not HTTP":                        {unsafe, step{bytes: "what?\r\n\r\n"}, good("no"), "unknown", [2]int{1, 0}},
		"another's answer first":          {unsafe, step{bytes: strings.ReplaceAll(answer(200, sealed, "theirs"), "%ID", "other") + answer(200, sealed, "ours")}, good("no"), "200 ours", [2]int{1, 0}},
		"another's answer only":           {unsafe, step{bytes: strings.ReplaceAll(answer(200, sealed, "theirs"), "%ID", "other"), then: closeIt}, good("no"), "unknown", [2]int{1, 0}},
		"extra answer after":              {unsafe, step{bytes: answer(200, sealed, "ours") + answer(200, sealed, "again")}, good("no"), "200 ours", [2]int{1, 0}},
		"no length, closed":               {unsafe, step{bytes: "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed + "\r\nall", then: closeIt}, good("no"), "200 all", [2]int{1, 0}},
		"no length, reset":                {unsafe, step{bytes: "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed + "\r\nsome", then: reset}, good("no"), "unknown", [2]int{1, 0}},
		"failed, repeatable":              {safe, step{bytes: answer(500, sealed, "bad")}, good("yes"), "200 yes", [2]int{1, 1}},
		"failed, not repeatable":          {unsafe, step{bytes: answer(500, sealed, "bad")}, good("no"), "500 bad", [2]int{1, 0}},
		"failed twice":                    {safe, step{bytes: answer(500, sealed, "bad")}, step{bytes: answer(502, sealed, "worse")}, "502 worse", [2]int{1, 1}},
		"stream":                          {once, step{bytes: streamHead + events(0, 3) + "0\r\n\r\n"}, good("no"), "200 " + plainEvents(0, 3), [2]int{1, 0}},
		"stream broken":                   {once, step{bytes: streamHead + events(0, 1), then: closeIt}, good("no"), "aborted", [2]int{1, 0}},
		"stream lost before it began":     {once, step{bytes: streamHead, then: closeIt}, good("no"), "unknown", [2]int{1, 0}},
		"stream resumed":                  {resumable, step{bytes: streamHead + events(0, 1), then: closeIt}, step{bytes: streamHead + events(2, 3) + "0\r\n\r\n"}, "200 " + plainEvents(0, 3), [2]int{1, 1}},
		"stream resumed inside an event":  {resumable, step{bytes: streamHead + events(0, 1) + chunk("id: 2\nda"), then: reset}, step{bytes: streamHead + events(2, 3) + "0\r\n\r\n"}, "200 " + plainEvents(0, 3), [2]int{1, 1}},
		"resumed too early":               {resumable, step{bytes: streamHead + events(0, 1), then: closeIt}, step{bytes: streamHead + events(0, 3) + "0\r\n\r\n"}, "200 " + plainEvents(0, 3), [2]int{1, 1}},
		"resumed too late":                {resumable, step{bytes: streamHead + events(0, 1), then: closeIt}, step{bytes: streamHead + events(3, 4) + "0\r\n\r\n"}, "aborted", [2]int{1, 1}},
		"event lacks":                     {once, step{bytes: streamHead + events(0, 0) + events(2, 2) + "0\r\n\r\n"}, good("no"), "aborted", [2]int{1, 0}},
		"stream ends as if whole":         {once, step{bytes: streamHead + events(0, 0) + chunk("id: 1\n") + "0\r\n\r\n"}, good("no"), "aborted", [2]int{1, 0}},
		"stream broken at both":           {resumable, step{bytes: streamHead + events(0, 1), then: closeIt}, step{bytes: streamHead + events(2, 2), then: closeIt}, "aborted", [2]int{1, 1}},
		"stream refused in the beginning": {resumable, step{bytes: answer(400, sealed, "no such model")}, good("no"), "400 no such model", [2]int{1, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newServer(t, tt.first), newServer(t, tt.second)
			s := newSetup(t, first, second)
			got := s.serve(tt.route, "id-1")
			if got.outcome() != tt.want {
				t.Errorf("the caller got %q, want %q", got.outcome(), tt.want)
			}
			if n := [2]int{len(first.requests()), len(second.requests())}; n != tt.arrived {
				t.Errorf("%v requests arrived, want %v", n, tt.arrived)
			}
			for _, r := range first.requests() {
				if !strings.HasPrefix(r, "POST /p?q=1") || !strings.HasSuffix(r, "body") {
					t.Errorf("the upstream got %q", r)
				}
			}
		})
	}
}

func TestResumedStreamGoesOnAfterTheLastEvent(t *testing.T) {
	first := newServer(t, step{bytes: streamHead + events(0, 4), then: reset})
	second := newServer(t, step{bytes: streamHead + events(5, 6) + "0\r\n\r\n"})
	newSetup(t, first, second).serve(resumable, "id")
	if got := second.requests(); len(got) != 1 || got[0] != "POST /p?q=1 4 body" {
		t.Errorf("the second upstream got %q, want to go on after 4", got)
	}
}

// TestConnectionsAreKeptOnlyIfClean sends two requests and counts connections.
func TestConnectionsAreKeptOnlyIfClean(t *testing.T) {
	tests := map[string]struct {
		first step
		conns int
	}{
		"clean":            {good("a"), 1},
		"extra answer":     {step{bytes: answer(200, sealed, "a") + answer(200, sealed, "b")}, 2},
		"closed after":     {step{bytes: answer(200, sealed+"Connection: close\r\n", "a"), then: closeIt}, 2},
		"closed unnoticed": {step{bytes: answer(200, sealed, "a"), then: closeIt}, 2},
		"short keep-alive": {step{bytes: answer(200, sealed+"Keep-Alive: timeout=0\r\n", "a")}, 2},
		"clean stream":     {step{bytes: answer(200, sealed, "id: 0\n\n")}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := newServer(t, tt.first, good("second"))
			s := newSetup(t, srv)
			s.asker.grants = []string{"upstream-0", "upstream-0"}
			s.serve(unsafe, "id-1")
			if tt.first.then == closeIt {
				<-srv.closed
			}
			if got := s.serve(unsafe, "id-2").outcome(); got != "200 second" {
				t.Errorf("the second request got %q", got)
			}
			srv.mu.Lock()
			defer srv.mu.Unlock()
			if srv.conns != tt.conns {
				t.Errorf("%d connections, want %d", srv.conns, tt.conns)
			}
		})
	}
}

// TestLeavingUpstreamGetsNothing grants an upstream that has left meanwhile.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	gone, live := newServer(t, good("no")), newServer(t, good("yes"))
	s := newSetup(t, gone, live)
	s.asker.grants = []string{"unknown", "upstream-1"}
	if got := s.serve(unsafe, "id").outcome(); got != "200 yes" {
		t.Errorf("got %q", got)
	}
	if f := s.asker.finishes; len(f) != 2 || f[0].Ending != coordinator.Unused {
		t.Errorf("finishes %+v, want the first unused", f)
	}
}

// TestCallerGone cancels a request and waits for the upstream to notice.
func TestCallerGone(t *testing.T) {
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
	s := newSetup(t, &server{l: l})
	route := resumable
	r := &recorder{}
	s.Serve(ctx, &forwarder.Request{
		ID: "id", Method: http.MethodPost, Target: "/", Body: []byte("x"), Route: &route,
		Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), LastEventID: forwarder.NoEvent,
	}, r)
	if err := <-noticed; err == nil {
		t.Error("the upstream's connection is still open")
	}
	if f := s.asker.finishes; len(f) != 1 || f[0].Ending != coordinator.Abandoned {
		t.Errorf("finishes %+v, want one abandoned", f)
	}
}

// TestPassedDeadlineSendsNothing hands in a request without time left.
func TestPassedDeadlineSendsNothing(t *testing.T) {
	srv := newServer(t, good("no"))
	s := newSetup(t, srv)
	r := &recorder{}
	route := unsafe
	s.Serve(context.Background(), &forwarder.Request{
		ID: "id", Method: http.MethodPost, Target: "/", Route: &route, Arrived: time.Now(),
		Deadline: time.Now().Add(5 * time.Millisecond), LastEventID: forwarder.NoEvent,
	}, r)
	if got := r.outcome(); got != "notRun" {
		t.Errorf("got %q, want notRun", got)
	}
	if n := len(srv.requests()); n != 0 {
		t.Errorf("%d requests arrived", n)
	}
}
