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

// fakeUpstream is an upstream that sends the responses of a test and records
// the requests.
type fakeUpstream struct {
	listener net.Listener

	mu       sync.Mutex
	requests []string
	dials    int
}

// newFakeUpstream starts an upstream. It sends the result of respond for each
// request, called with the request's number and ID. "CUT" at the end of a
// response is left out and the connection closed instead.
func newFakeUpstream(t testing.TB, respond func(n int, id string) string) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &fakeUpstream{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.dials++
			u.mu.Unlock()
			go u.serve(c, respond)
		}
	}()
	return u
}

// serve serves one connection.
func (u *fakeUpstream) serve(c net.Conn, respond func(n int, id string) string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(HeaderRequestID)
		u.mu.Lock()
		u.requests = append(u.requests, id)
		n := len(u.requests)
		u.mu.Unlock()
		text, cut := strings.CutSuffix(respond(n, id), "CUT")
		_, _ = io.WriteString(c, text)
		if cut {
			return
		}
	}
}

// counts returns the numbers of received requests and accepted connections.
func (u *fakeUpstream) counts() (requests, dials int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests), u.dials
}

// address returns the listen address.
func (u *fakeUpstream) address() string { return u.listener.Addr().String() }

// wholeResponse returns a whole response to a request.
func wholeResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, id, len(body), body)
}

// streamResponse returns a chunked response with one chunk.
func streamResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// fixedAdmitter grants the same upstream for each request, with grants that
// expire after lifetime, and records the reported finishes.
type fixedAdmitter struct {
	lifetime time.Duration
	finishes []coordinator.Finish
}

func (g *fixedAdmitter) Admit(context.Context, coordinator.Request) (forwarder.Grant, error) {
	return forwarder.Grant{
		Upstream: "u", Expires: time.Now().Add(g.lifetime), ReportFirstEvent: func(time.Duration) {},
		ReportFinish: func(f coordinator.Finish) { g.finishes = append(g.finishes, f) },
	}, nil
}

// fixedDirectory is a directory of one upstream. The upstream is usable for the
// first calls of Usable; usable is the number of those left.
type fixedDirectory struct {
	address string
	usable  int
}

func (d *fixedDirectory) Usable(string, time.Time) (registrar.Entry, bool) {
	d.usable--
	return registrar.Entry{ID: "u", Address: d.address}, d.usable >= 0
}

func (*fixedDirectory) Stride(string) int { return 1 }

func (*fixedDirectory) Age(time.Time) time.Duration { return 0 }

// alwaysUsable is more calls of Usable than any test makes.
const alwaysUsable = 1000

// newReceiver returns a receiver with only a forwarder, for one upstream.
func newReceiver(g *fixedAdmitter, d *fixedDirectory) *Receiver {
	return &Receiver{forwarder: forwarder.New(g, codec{}, connector.New(), d, slog.New(slog.DiscardHandler), forwarder.WithTerminator(doneEvent))}
}

// newCall returns a call with a deadline after within.
func newCall(ctx context.Context, id string, within time.Duration) *call {
	now := time.Now()
	return &call{id: id, ctx: ctx, arrived: now, deadline: now.Add(within), release: func() {}}
}

// newRequest returns a POST request to an upstream.
func newRequest(kind router.Kind) upstreamRequest {
	return upstreamRequest{kind: kind, method: http.MethodPost, path: "/v1/completions", contentType: "application/json", body: []byte("{}")}
}

func TestEachCallerReceivesItsOwnResponse(t *testing.T) {
	tests := map[string]struct {
		respond func(n int, id string) string
		// want is the result of the first and the second request: the response
		// body or the outcome of a refusal.
		want [2]string
		// dials is the number of connections for both requests.
		dials int
	}{
		"complete response":      {respond: func(_ int, id string) string { return wholeResponse(id, "for "+id) }, want: [2]string{"for a", "for b"}, dials: 1},
		"no request ID returned": {respond: func(_ int, id string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }, want: [2]string{"ok", "ok"}, dials: 1},
		"response to another request": {respond: func(n int, id string) string {
			return wholeResponse(map[bool]string{true: "x", false: id}[n == 1], "for "+id)
		}, want: [2]string{"unknown", "for b"}, dials: 2},
		"late second response": {respond: func(_ int, id string) string { return wholeResponse(id, "for "+id) + wholeResponse("x", "late") }, want: [2]string{"for a", "for b"}, dials: 2},
		"no content":           {respond: func(int, string) string { return "HTTP/1.1 204 No Content\r\n\r\n" }, want: [2]string{"", ""}, dials: 1},
		"connection closed before the headers": {respond: func(n int, id string) string {
			return map[bool]string{true: "CUT", false: wholeResponse(id, "for "+id)}[n == 1]
		}, want: [2]string{"unknown", "for b"}, dials: 2},
		"connection closed within the body": {respond: func(n int, id string) string {
			return map[bool]string{true: wholeResponse(id, "0123456789")[:70] + "CUT", false: wholeResponse(id, "for "+id)}[n == 1]
		}, want: [2]string{"failed", "for b"}, dials: 2},
		"connection closed within a chunk": {respond: func(n int, id string) string {
			return map[bool]string{true: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabCUT", false: wholeResponse(id, "for "+id)}[n == 1]
		}, want: [2]string{"failed", "for b"}, dials: 2},
		"connection closed before the last chunk": {respond: func(n int, id string) string {
			return map[bool]string{true: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nCUT", false: wholeResponse(id, "for "+id)}[n == 1]
		}, want: [2]string{"failed", "for b"}, dials: 2},
		"connection closed after the response": {respond: func(_ int, id string) string { return wholeResponse(id, "for "+id) + "CUT" }, want: [2]string{"for a", "for b"}, dials: 2},
		"upstream responds with status 500": {respond: func(_ int, id string) string {
			return strings.Replace(wholeResponse(id, "oops"), "200 OK", "500 Internal Server Error", 1)
		}, want: [2]string{"failed", "failed"}, dials: 2},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, x.respond)
			r := newReceiver(&fixedAdmitter{lifetime: time.Second}, &fixedDirectory{address: u.address(), usable: alwaysUsable})
			for i, id := range []string{"a", "b"} {
				a := r.forwardBuffered(newCall(context.Background(), id, time.Second), newRequest(router.NonIdempotent))
				got := string(a.body)
				if f := a.refusal(); f != nil {
					got = string(f.outcome)
				}
				if got != x.want[i] {
					t.Errorf("request %s ended with %q (%+v), want %q", id, got, a.refusal(), x.want[i])
				}
				time.Sleep(10 * time.Millisecond)
			}
			if requests, dials := u.counts(); requests != 2 || dials != x.dials {
				t.Errorf("%d requests on %d connections, want 2 on %d", requests, dials, x.dials)
			}
		})
	}
}

// TestNotRunRefusalSendsNoBytes checks that no byte of a request that is
// refused as not run reaches an upstream.
func TestNotRunRefusalSendsNoBytes(t *testing.T) {
	u := newFakeUpstream(t, func(_ int, id string) string { return wholeResponse(id, "") })
	closed := newFakeUpstream(t, nil)
	_ = closed.listener.Close()
	tests := map[string]struct {
		admitter  fixedAdmitter
		directory fixedDirectory
		within    time.Duration
	}{
		"grant expired":                {admitter: fixedAdmitter{lifetime: -time.Millisecond}, directory: fixedDirectory{address: u.address(), usable: alwaysUsable}, within: time.Second},
		"connection refused":           {admitter: fixedAdmitter{lifetime: time.Second}, directory: fixedDirectory{address: closed.address(), usable: alwaysUsable}, within: time.Second},
		"upstream drained after grant": {admitter: fixedAdmitter{lifetime: time.Second}, directory: fixedDirectory{address: u.address(), usable: 1}, within: time.Second},
		"no time left":                 {admitter: fixedAdmitter{lifetime: time.Second}, directory: fixedDirectory{address: u.address(), usable: alwaysUsable}, within: 5 * time.Millisecond},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			a := newReceiver(&x.admitter, &x.directory).forwardBuffered(newCall(context.Background(), "a", x.within), newRequest(router.NonIdempotent))
			if f := a.refusal(); f == nil || f.outcome != NotRun {
				t.Errorf("got %+v, want a refusal as not run", f)
			}
			for _, f := range x.admitter.finishes {
				if f.Ending != coordinator.Unused && f.Ending != coordinator.ConnectFailed {
					t.Errorf("reported ending %v, want unused or unreached", f.Ending)
				}
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	if requests, _ := u.counts(); requests != 0 {
		t.Errorf("%d requests reached the upstream although all were refused as not run", requests)
	}
}

// TestHEADResponseHasNoBody checks that the Content-Length of a response to
// HEAD is not treated as the length of a body.
func TestHEADResponseHasNoBody(t *testing.T) {
	u := newFakeUpstream(t, func(int, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" })
	r := newReceiver(&fixedAdmitter{lifetime: time.Second}, &fixedDirectory{address: u.address(), usable: alwaysUsable})
	for range 2 {
		a := r.forwardBuffered(newCall(context.Background(), "a", time.Second), upstreamRequest{kind: router.Idempotent, method: http.MethodHead, path: "/"})
		if a.refusal() != nil || len(a.body) > 0 || a.status != http.StatusOK {
			t.Errorf("got %+v", a)
		}
	}
}

// TestCallerDisconnectCancelsExchange checks that a call is cancelled when its
// caller disconnects before the upstream has responded.
func TestCallerDisconnectCancelsExchange(t *testing.T) {
	arrived := make(chan struct{})
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	u := newFakeUpstream(t, func(int, string) string {
		close(arrived)
		<-release
		return "CUT"
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	g := &fixedAdmitter{lifetime: time.Second}
	a := newReceiver(g, &fixedDirectory{address: u.address(), usable: alwaysUsable}).forwardBuffered(newCall(ctx, "a", time.Hour), newRequest(router.NonIdempotent))
	if f := a.refusal(); f == nil || f.outcome != Unknown || f.reason != reasonCallerGone {
		t.Errorf("got %+v, want unknown because the caller disconnected", f)
	}
	if len(g.finishes) != 1 || g.finishes[0].Ending != coordinator.Cancelled {
		t.Errorf("reported finishes %+v, want one abandoned", g.finishes)
	}
}

// relayStream forwards a streaming request, relays the response to out and
// returns the responder.
func relayStream(r *Receiver, id string, out io.Writer) *stream {
	s := &stream{started: make(chan struct{}), out: make(chan *bufio.Writer, 1), encodeRefusal: func(f refusal) []byte { return []byte(f.reason) }}
	s.out <- bufio.NewWriterSize(out, 64)
	r.forward(newCall(context.Background(), id, 20*time.Second), newRequest(router.Streaming), s)
	return s
}

func TestStreamRelay(t *testing.T) {
	const lineBytes = 16 << 10
	long := "data: " + strings.Repeat("x", 3*lineBytes) + "\n\n"
	broken := "event: error\ndata: " + reasonUpstreamBrokeOff + "\n\n"
	tests := map[string]struct {
		in string
		// want is what the caller receives; if empty, it is the same as in.
		want string
		// tokens is the reported number of tokens after the first.
		tokens int
		ending coordinator.Ending
	}{
		"complete":                     {in: "data: a\n\ndata: b\n\ndata: [DONE]\n\n", tokens: 1},
		"CRLF line ends":               {in: "data: a\r\n\r\ndata: b\r\n\r\ndata: [DONE]\r\n\r\n", tokens: 1},
		"long event":                   {in: long + "data: [DONE]\n\n"},
		"comment":                      {in: ": keep\n\ndata: a\n\ndata: [DONE]\n\n"},
		"closed after an event":        {in: "data: a\n\n", want: "data: a\n\n" + broken, ending: coordinator.ConnectionLost},
		"closed within an event":       {in: "data: a\n\ndata: b", want: "data: a\n\n" + broken, ending: coordinator.ConnectionLost},
		"closed within the last event": {in: "data: a\n\ndata: [DON", want: "data: a\n\n" + broken, ending: coordinator.ConnectionLost},
		"terminator within a line":     {in: "data: " + strings.Repeat("x", lineBytes-len("data: ")) + "data: [DONE]\n\n", want: "data: " + strings.Repeat("x", lineBytes-len("data: ")) + "data: [DONE]\n\n" + broken, ending: coordinator.ConnectionLost},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, func(int, string) string { return streamResponse(x.in) })
			g := &fixedAdmitter{lifetime: time.Second}
			var out bytes.Buffer
			relayStream(newReceiver(g, &fixedDirectory{address: u.address(), usable: alwaysUsable}), "a", &out)
			want := x.want
			if want == "" {
				want = x.in
			}
			if out.String() != want {
				t.Errorf("relayed %q, want %q", out.String(), want)
			}
			if len(g.finishes) != 1 || g.finishes[0].Ending != x.ending || g.finishes[0].Tokens != x.tokens {
				t.Errorf("reported finishes %+v, want one %v with %d tokens", g.finishes, x.ending, x.tokens)
			}
		})
	}
}

// TestStreamWithoutEventsIsRefused checks that the caller receives a refusal
// when a stream ends before its first event: no response has begun by then.
func TestStreamWithoutEventsIsRefused(t *testing.T) {
	u := newFakeUpstream(t, func(int, string) string { return streamResponse("data") })
	var out bytes.Buffer
	s := relayStream(newReceiver(&fixedAdmitter{lifetime: time.Second}, &fixedDirectory{address: u.address(), usable: alwaysUsable}), "a", &out)
	if f := s.refusal(); f == nil || f.outcome != Failed || out.Len() > 0 {
		t.Errorf("got %+v and %q, want a refusal", f, out.String())
	}
}

// failingWriter is a caller that disconnects after some bytes.
type failingWriter struct {
	remaining int
}

func (f *failingWriter) Write(b []byte) (int, error) {
	if f.remaining -= len(b); f.remaining < 0 {
		return 0, errors.New("caller disconnected")
	}
	return len(b), nil
}

func TestCallerDisconnectEndsStream(t *testing.T) {
	u := newFakeUpstream(t, func(int, string) string { return streamResponse(strings.Repeat("data: a\n\n", 1000)) })
	g := &fixedAdmitter{lifetime: time.Second}
	relayStream(newReceiver(g, &fixedDirectory{address: u.address(), usable: alwaysUsable}), "a", &failingWriter{remaining: 100})
	if len(g.finishes) != 1 || g.finishes[0].Ending != coordinator.Cancelled {
		t.Errorf("reported finishes %+v, want one abandoned", g.finishes)
	}
}

func BenchmarkStream(b *testing.B) {
	text := streamResponse(strings.Repeat("data: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n", 1000) + doneEvent + "\n\n")
	u := newFakeUpstream(b, func(int, string) string { return text })
	r := newReceiver(&fixedAdmitter{lifetime: time.Second}, &fixedDirectory{address: u.address(), usable: 1 << 40})
	b.ReportAllocs()
	for b.Loop() {
		if f := relayStream(r, "a", io.Discard).refusal(); f != nil {
			b.Fatal(f)
		}
	}
}
