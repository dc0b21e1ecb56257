package receiver

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
	"strings"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// wire is a fake upstream that writes what a test wants and keeps what came.
type wire struct {
	listener net.Listener

	mu       sync.Mutex
	requests []string
	dials    int
}

// newWire serves each request on each connection with answer, which gets the
// number of the request and its identity. An answer that ends in "CUT" is cut
// off there and the connection closed.
func newWire(t testing.TB, answer func(n int, id string) string) *wire {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.dials++
			w.mu.Unlock()
			go w.serve(c, answer)
		}
	}()
	return w
}

// serve serves one connection.
func (w *wire) serve(c net.Conn, answer func(n int, id string) string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(HeaderRequestID)
		w.mu.Lock()
		w.requests = append(w.requests, id)
		n := len(w.requests)
		w.mu.Unlock()
		text, cut := strings.CutSuffix(answer(n, id), "CUT")
		_, _ = io.WriteString(c, text)
		if cut {
			return
		}
	}
}

// seen returns the requests that came and the connections made.
func (w *wire) seen() (requests, dials int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests), w.dials
}

// address returns where the fake listens.
func (w *wire) address() string { return w.listener.Addr().String() }

// wholeAnswer returns a whole answer to a request.
func wholeAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, id, len(body), body)
}

// streamAnswer returns an answer in one chunk.
func streamAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// oneGrant grants one upstream for a time.
type oneGrant struct {
	life     time.Duration
	finishes []coordinator.Finish
}

func (g *oneGrant) Admit(context.Context, coordinator.Request) (forwarder.Grant, error) {
	return forwarder.Grant{
		Upstream: "u", Expires: time.Now().Add(g.life), ReportFirstEvent: func(time.Duration) {},
		ReportFinish: func(f coordinator.Finish) { g.finishes = append(g.finishes, f) },
	}, nil
}

// place is a directory of one upstream. It lets the upstream have new work a
// number of times.
type place struct {
	address string
	opened  int
}

func (p *place) Usable(string, time.Time) (registrar.Entry, bool) {
	p.opened--
	return registrar.Entry{ID: "u", Address: p.address}, p.opened >= 0
}

func (*place) Stride(string) int { return 1 }

// always is often enough for any test.
const always = 1000

// newReceiver returns a receiver that can forward to one upstream and nothing
// else.
func newReceiver(g *oneGrant, p *place) *Receiver {
	return &Receiver{forwarder: forwarder.New(g, codec{}, connector.New(), p, slog.New(slog.DiscardHandler), forwarder.WithTerminator(doneEvent))}
}

// newCall returns a call that ends after a time.
func newCall(ctx context.Context, id string, within time.Duration) *call {
	now := time.Now()
	return &call{id: id, ctx: ctx, arrived: now, deadline: now.Add(within), release: func() {}}
}

// post is the work of the tests.
func post(kind router.Kind) work {
	return work{kind: kind, method: http.MethodPost, path: "/v1/completions", contentType: "application/json", body: []byte("{}")}
}

func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	tests := map[string]struct {
		answer func(n int, id string) string
		// want is what the first and the second request end with: a body, or
		// the outcome of a refusal.
		want [2]string
		// dials is how many connections are made for the two.
		dials int
	}{
		"whole":                {answer: func(_ int, id string) string { return wholeAnswer(id, "for "+id) }, want: [2]string{"for a", "for b"}, dials: 1},
		"no identity returned": {answer: func(_ int, id string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }, want: [2]string{"ok", "ok"}, dials: 1},
		"answer to another": {answer: func(n int, id string) string {
			return wholeAnswer(map[bool]string{true: "x", false: id}[n == 1], "for "+id)
		}, want: [2]string{"unknown", "for b"}, dials: 2},
		"a second, late answer": {answer: func(_ int, id string) string { return wholeAnswer(id, "for "+id) + wholeAnswer("x", "late") }, want: [2]string{"for a", "for b"}, dials: 2},
		"no content":            {answer: func(int, string) string { return "HTTP/1.1 204 No Content\r\n\r\n" }, want: [2]string{"", ""}, dials: 1},
		"cut before the head": {answer: func(n int, id string) string {
			return map[bool]string{true: "CUT", false: wholeAnswer(id, "for "+id)}[n == 1]
		}, want: [2]string{"unknown", "for b"}, dials: 2},
		"cut within the body": {answer: func(n int, id string) string {
			return map[bool]string{true: wholeAnswer(id, "0123456789")[:70] + "CUT", false: wholeAnswer(id, "for "+id)}[n == 1]
		}, want: [2]string{"failed", "for b"}, dials: 2},
		"cut within a chunk": {answer: func(n int, id string) string {
			return map[bool]string{true: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabCUT", false: wholeAnswer(id, "for "+id)}[n == 1]
		}, want: [2]string{"failed", "for b"}, dials: 2},
		"last chunk never comes": {answer: func(n int, id string) string {
			return map[bool]string{true: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nCUT", false: wholeAnswer(id, "for "+id)}[n == 1]
		}, want: [2]string{"failed", "for b"}, dials: 2},
		"closed after the answer": {answer: func(_ int, id string) string { return wholeAnswer(id, "for "+id) + "CUT" }, want: [2]string{"for a", "for b"}, dials: 2},
		"upstream failed": {answer: func(_ int, id string) string {
			return strings.Replace(wholeAnswer(id, "oops"), "200 OK", "500 Internal Server Error", 1)
		}, want: [2]string{"failed", "failed"}, dials: 2},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWire(t, x.answer)
			r := newReceiver(&oneGrant{life: time.Second}, &place{address: w.address(), opened: always})
			for i, id := range []string{"a", "b"} {
				a := r.callWhole(newCall(context.Background(), id, time.Second), post(router.NonIdempotent))
				got := string(a.body)
				if f := a.refusal(); f != nil {
					got = string(f.outcome)
				}
				if got != x.want[i] {
					t.Errorf("request %s ended with %q (%+v), want %q", id, got, a.refusal(), x.want[i])
				}
				time.Sleep(10 * time.Millisecond)
			}
			if requests, dials := w.seen(); requests != 2 || dials != x.dials {
				t.Errorf("%d requests on %d connections, want 2 on %d", requests, dials, x.dials)
			}
		})
	}
}

// TestNotRunIsTrue refuses requests as not run, of which no byte may arrive.
func TestNotRunIsTrue(t *testing.T) {
	w := newWire(t, func(_ int, id string) string { return wholeAnswer(id, "") })
	closed := newWire(t, nil)
	_ = closed.listener.Close()
	tests := map[string]struct {
		granter oneGrant
		place   place
		within  time.Duration
	}{
		"grant expired":    {granter: oneGrant{life: -time.Millisecond}, place: place{address: w.address(), opened: always}, within: time.Second},
		"nobody listens":   {granter: oneGrant{life: time.Second}, place: place{address: closed.address(), opened: always}, within: time.Second},
		"closed meanwhile": {granter: oneGrant{life: time.Second}, place: place{address: w.address(), opened: 1}, within: time.Second},
		"no time left":     {granter: oneGrant{life: time.Second}, place: place{address: w.address(), opened: always}, within: 5 * time.Millisecond},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			a := newReceiver(&x.granter, &x.place).callWhole(newCall(context.Background(), "a", x.within), post(router.NonIdempotent))
			if f := a.refusal(); f == nil || f.outcome != NotRun {
				t.Errorf("got %+v, want a refusal as not run", f)
			}
			for _, f := range x.granter.finishes {
				if f.Ending != coordinator.Unused && f.Ending != coordinator.Unreached {
					t.Errorf("the owner was told %v", f.Ending)
				}
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	if requests, _ := w.seen(); requests != 0 {
		t.Errorf("%d requests arrived although all were called not run", requests)
	}
}

// TestHeadHasNoBody sends HEAD, whose answer tells a length and has no body.
func TestHeadHasNoBody(t *testing.T) {
	w := newWire(t, func(int, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" })
	r := newReceiver(&oneGrant{life: time.Second}, &place{address: w.address(), opened: always})
	for range 2 {
		a := r.callWhole(newCall(context.Background(), "a", time.Second), work{kind: router.Idempotent, method: http.MethodHead, path: "/"})
		if a.refusal() != nil || len(a.body) > 0 || a.status != http.StatusOK {
			t.Errorf("got %+v", a)
		}
	}
}

// TestCallerGoneBreaksTheExchangeOff cancels a call that its upstream never
// answers.
func TestCallerGoneBreaksTheExchangeOff(t *testing.T) {
	arrived := make(chan struct{})
	never := make(chan struct{})
	t.Cleanup(func() { close(never) })
	w := newWire(t, func(int, string) string {
		close(arrived)
		<-never
		return "CUT"
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	g := &oneGrant{life: time.Second}
	a := newReceiver(g, &place{address: w.address(), opened: always}).callWhole(newCall(ctx, "a", time.Hour), post(router.NonIdempotent))
	if f := a.refusal(); f == nil || f.outcome != Unknown || f.reason != reasonCallerGone {
		t.Errorf("got %+v, want unknown as the caller is gone", f)
	}
	if len(g.finishes) != 1 || g.finishes[0].Ending != coordinator.Abandoned {
		t.Errorf("the owner was told %+v", g.finishes)
	}
}

// relay forwards a stream to a writer and returns the reply.
func relay(r *Receiver, id string, out io.Writer) *stream {
	s := &stream{begun: make(chan struct{}), out: make(chan *bufio.Writer, 1), describe: func(f refusal) []byte { return []byte(f.reason) }}
	s.out <- bufio.NewWriterSize(out, 64)
	r.forward(newCall(context.Background(), id, 20*time.Second), post(router.Streaming), s)
	return s
}

func TestStreams(t *testing.T) {
	const lineBytes = 16 << 10
	long := "data: " + strings.Repeat("x", 3*lineBytes) + "\n\n"
	broken := "event: error\ndata: " + reasonUpstreamBroke + "\n\n"
	tests := map[string]struct {
		in string
		// want is what the caller gets, in itself if it is empty.
		want string
		// tokens are those after the first.
		tokens int
		ending coordinator.Ending
	}{
		"whole":              {in: "data: a\n\ndata: b\n\ndata: [DONE]\n\n", tokens: 1},
		"with returns":       {in: "data: a\r\n\r\ndata: b\r\n\r\ndata: [DONE]\r\n\r\n", tokens: 1},
		"long event":         {in: long + "data: [DONE]\n\n"},
		"comments":           {in: ": keep\n\ndata: a\n\ndata: [DONE]\n\n"},
		"cut after an event": {in: "data: a\n\n", want: "data: a\n\n" + broken, ending: coordinator.ConnectionLost},
		"cut in an event":    {in: "data: a\n\ndata: b", want: "data: a\n\n" + broken, ending: coordinator.ConnectionLost},
		"cut in the last":    {in: "data: a\n\ndata: [DON", want: "data: a\n\n" + broken, ending: coordinator.ConnectionLost},
		"last event quoted":  {in: "data: " + strings.Repeat("x", lineBytes-len("data: ")) + "data: [DONE]\n\n", want: "data: " + strings.Repeat("x", lineBytes-len("data: ")) + "data: [DONE]\n\n" + broken, ending: coordinator.ConnectionLost},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWire(t, func(int, string) string { return streamAnswer(x.in) })
			g := &oneGrant{life: time.Second}
			var out bytes.Buffer
			relay(newReceiver(g, &place{address: w.address(), opened: always}), "a", &out)
			want := x.want
			if want == "" {
				want = x.in
			}
			if out.String() != want {
				t.Errorf("relayed %q, want %q", out.String(), want)
			}
			if len(g.finishes) != 1 || g.finishes[0].Ending != x.ending || g.finishes[0].Tokens != x.tokens {
				t.Errorf("the owner was told %+v, want %v with %d tokens", g.finishes, x.ending, x.tokens)
			}
		})
	}
}

// TestStreamWithoutEventsIsRefused has an upstream end a stream before its
// first event: nothing was begun, so the caller gets a refusal.
func TestStreamWithoutEventsIsRefused(t *testing.T) {
	w := newWire(t, func(int, string) string { return streamAnswer("data") })
	var out bytes.Buffer
	s := relay(newReceiver(&oneGrant{life: time.Second}, &place{address: w.address(), opened: always}), "a", &out)
	if f := s.refusal(); f == nil || f.outcome != Failed || out.Len() > 0 {
		t.Errorf("got %+v and %q, want a refusal", f, out.String())
	}
}

// failing is a caller that takes some bytes and no more.
type failing struct {
	left int
}

func (f *failing) Write(b []byte) (int, error) {
	if f.left -= len(b); f.left < 0 {
		return 0, errors.New("gone")
	}
	return len(b), nil
}

func TestStreamsNoticeTheCallerGone(t *testing.T) {
	w := newWire(t, func(int, string) string { return streamAnswer(strings.Repeat("data: a\n\n", 1000)) })
	g := &oneGrant{life: time.Second}
	relay(newReceiver(g, &place{address: w.address(), opened: always}), "a", &failing{left: 100})
	if len(g.finishes) != 1 || g.finishes[0].Ending != coordinator.Abandoned {
		t.Errorf("the owner was told %+v, want that the caller is gone", g.finishes)
	}
}

func BenchmarkStream(b *testing.B) {
	text := streamAnswer(strings.Repeat("data: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n", 1000) + doneEvent + "\n\n")
	w := newWire(b, func(int, string) string { return text })
	r := newReceiver(&oneGrant{life: time.Second}, &place{address: w.address(), opened: 1 << 40})
	b.ReportAllocs()
	for b.Loop() {
		if f := relay(r, "a", io.Discard).refusal(); f != nil {
			b.Fatal(f)
		}
	}
}
