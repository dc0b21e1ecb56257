package relayer_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/foxtaild/relayer"
	"foxtaillug.org/scheduler/detector"
	"foxtaillug.org/scheduler/router"
)

// testTimeout bounds every wait of these tests, which check order and not speed.
const testTimeout = 30 * time.Second

// server serves requests with a function.
type server struct {
	serve  func(ctx context.Context, r *forwarder.Request, out forwarder.Responder)
	cutOff bool

	mu       sync.Mutex
	received []*forwarder.Request
}

func (s *server) Serve(ctx context.Context, r *forwarder.Request, out forwarder.Responder) (res forwarder.Result) {
	s.mu.Lock()
	s.received = append(s.received, r)
	s.mu.Unlock()
	s.serve(ctx, r, out)
	return res
}

func (s *server) CutOff(string) bool { return s.cutOff }

// requests returns the received requests.
func (s *server) requests() []*forwarder.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// fleet is a set of hosts that know each other.
type fleet struct {
	t       *testing.T
	members []detector.Member
}

// add adds a host of a failure domain and region and returns it with a function that ends it.
func (f *fleet) add(name, domain, region string, s *server) (r *relayer.Relayer, end func()) {
	f.t.Helper()
	address := f.address()
	r, err := relayer.New(relayer.Settings{Host: name, Domain: domain, Region: region, Address: address},
		func() []detector.Member { return f.members }, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	f.join(name, domain, region, address)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx, s)
	}()
	end = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	f.t.Cleanup(end)
	return r, end
}

// join adds a member that takes requests at an address.
func (f *fleet) join(name, domain, region, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		f.t.Fatal(err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		f.t.Fatal(err)
	}
	f.members = append(f.members, detector.Member{ID: name, Domain: domain, Region: region, Address: net.JoinHostPort(host, strconv.Itoa(n-1))})
}

// address returns a loopback address whose port is free.
func (f *fleet) address() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// recorder is a responder that records its calls.
type recorder struct {
	status  int
	header  http.Header
	length  int
	body    bytes.Buffer
	writes  int
	refusal *forwarder.Refusal
	// onWrite is called before each write.
	onWrite func()
}

func (r *recorder) Begin(status int, h http.Header, length int) error {
	r.status, r.header, r.length = status, h, length
	return nil
}

func (r *recorder) Write(b []byte) error {
	if r.onWrite != nil {
		r.onWrite()
	}
	r.writes++
	r.body.Write(b)
	return nil
}

func (r *recorder) Refuse(x forwarder.Refusal) error {
	r.refusal = &x
	return nil
}

func (r *recorder) Abort(forwarder.Refusal) {}

// newRequest returns a request.
func newRequest(body []byte) *forwarder.Request {
	return &forwarder.Request{
		ID: "id", Method: http.MethodPost, Target: "/p?q=%20", Host: "h.example", Header: http.Header{"X-Y": {"1", "2"}},
		Body: body, Route: &router.Route{Name: "r", Kind: router.Streaming, Attempts: 2}, Pool: "p", Workspace: "w",
		Arrived: time.Now().Add(-time.Second), Deadline: time.Now().Add(20 * time.Second), LastEventID: forwarder.NoEvent,
	}
}

// TestHandedOverRequestIsServedUnchanged hands requests over and compares what arrives on
// both sides.
func TestHandedOverRequestIsServedUnchanged(t *testing.T) {
	large := make([]byte, 1<<20)
	for i := range large {
		large[i] = byte(rand.Uint32())
	}
	tests := map[string]struct {
		body  []byte
		serve func(out forwarder.Responder)
		want  string
		// writes is the number of parts that have to arrive apart.
		writes int
	}{
		"whole response": {[]byte("body"), func(out forwarder.Responder) {
			_ = out.Begin(http.StatusCreated, http.Header{"A": {"b"}}, 5)
			_ = out.Write([]byte("whole"))
		}, "201 5 b whole", 1},
		"stream": {nil, func(out forwarder.Responder) {
			_ = out.Begin(http.StatusOK, http.Header{"A": {"c"}}, -1)
			for i := range 3 {
				_ = out.Write([]byte(strconv.Itoa(i)))
			}
		}, "200 -1 c 012", 3},
		"large body": {large, func(out forwarder.Responder) {
			_ = out.Begin(http.StatusOK, http.Header{"A": {"d"}}, 0)
		}, "200 0 d ", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fleet{t: t}
			s := &server{serve: func(_ context.Context, _ *forwarder.Request, out forwarder.Responder) { tt.serve(out) }}
			a, _ := f.add("a", "d", "r", &server{})
			f.add("b", "d", "r", s)
			for range 2 {
				out, req := &recorder{}, newRequest(tt.body)
				res, ok := a.Relay(context.Background(), req, out)
				if !ok || res.Lost || res.Host != "b" || res.Status != out.status {
					t.Fatalf("got %+v, %v", res, ok)
				}
				if got := strconv.Itoa(out.status) + " " + strconv.Itoa(out.length) + " " + out.header.Get("A") + " " + out.body.String(); got != tt.want || out.writes != tt.writes {
					t.Errorf("got %q in %d parts, want %q in %d", got, out.writes, tt.want, tt.writes)
				}
				got := s.requests()[len(s.requests())-1]
				if got.ID != req.ID || got.Method != req.Method || got.Target != req.Target || got.Host != req.Host || !slices.Equal(got.Header["X-Y"], req.Header["X-Y"]) ||
					!bytes.Equal(got.Body, req.Body) || got.Route.Name != req.Route.Name || got.Route.Attempts != req.Route.Attempts || got.Route.Kind != req.Route.Kind || got.Workspace != req.Workspace || got.LastEventID != req.LastEventID {
					t.Errorf("the other host got another request: %+v", got)
				}
				if got.HandedOverBy != "a" {
					t.Errorf("handed over by %q, want a", got.HandedOverBy)
				}
				if got.Age < time.Second || got.Age > testTimeout || time.Until(got.Deadline) > 20*time.Second {
					t.Errorf("age %v, %v left; want over 1s, and at most 20s", got.Age, time.Until(got.Deadline))
				}
			}
		})
	}
}

// TestEndsWithoutResponse hands over requests that the other host refuses, breaks off or loses.
func TestEndsWithoutResponse(t *testing.T) {
	begin := func(out forwarder.Responder) {
		_ = out.Begin(http.StatusOK, nil, -1)
		_ = out.Write([]byte("part"))
	}
	var endHost func()
	tests := map[string]struct {
		serve func(out forwarder.Responder)
		check func(res forwarder.RelayResult) bool
	}{
		"refused": {func(out forwarder.Responder) {
			_ = out.Refuse(forwarder.Refusal{Outcome: forwarder.NotRun, Reason: "noCapacity", RetryAfter: time.Second})
		}, func(res forwarder.RelayResult) bool {
			return !res.Lost && res.Refusal != nil && *res.Refusal == forwarder.Refusal{Outcome: forwarder.NotRun, Reason: "noCapacity", RetryAfter: time.Second}
		}},
		"broken off": {func(out forwarder.Responder) {
			begin(out)
			out.Abort(forwarder.Refusal{Outcome: forwarder.Unknown, ResponseStarted: true, Reason: "answerLost"})
		}, func(res forwarder.RelayResult) bool { return !res.Lost && res.Aborted != nil && res.Status == 200 }},
		"host ends before a response": {func(forwarder.Responder) { endHost() }, func(res forwarder.RelayResult) bool { return res.Lost && res.Status == 0 }},
		"host ends within a response": {func(out forwarder.Responder) {
			begin(out)
			endHost()
		}, func(res forwarder.RelayResult) bool { return res.Lost && res.Status == 200 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fleet{t: t}
			a, _ := f.add("a", "d", "r", &server{})
			s := &server{serve: func(_ context.Context, _ *forwarder.Request, out forwarder.Responder) { tt.serve(out) }}
			_, end := f.add("b", "d", "r", s)
			endHost = func() { go end(); time.Sleep(50 * time.Millisecond) }
			res, ok := a.Relay(context.Background(), newRequest(nil), &recorder{})
			if !ok || !tt.check(res) {
				t.Errorf("got %+v, %v", res, ok)
			}
		})
	}
}

// TestRequestIsSentToOneHostOnly offers a request to hosts that do not take it: it is sent
// to the one that does, and to no other.
func TestRequestIsSentToOneHostOnly(t *testing.T) {
	complete := func(_ context.Context, _ *forwarder.Request, out forwarder.Responder) {
		_ = out.Begin(http.StatusOK, nil, 0)
	}
	tests := map[string]func(f *fleet) (requests func() int){
		"cut off too": func(f *fleet) func() int {
			s := &server{serve: complete, cutOff: true}
			f.add("b", "d", "r", s)
			return func() int { return len(s.requests()) }
		},
		"stopping": func(f *fleet) func() int {
			s := &server{serve: complete}
			b, _ := f.add("b", "d", "r", s)
			if err := b.Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
			return func() int { return len(s.requests()) }
		},
		"refuses connections": func(f *fleet) func() int {
			f.join("b", "d", "r", f.address())
			return func() int { return 0 }
		},
		"does not answer": func(f *fleet) func() int {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			f.join("b", "d", "r", l.Addr().String())
			var mu sync.Mutex
			received := 0
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						b, _ := io.ReadAll(c)
						mu.Lock()
						defer mu.Unlock()
						if bytes.Contains(b, []byte("secret body")) {
							received++
						}
					}()
				}
			}()
			return func() int {
				mu.Lock()
				defer mu.Unlock()
				return received
			}
		},
		"leaves": func(f *fleet) func() int {
			s := &server{serve: complete}
			f.add("b", "d", "r", s)
			f.members[len(f.members)-1].Leaving = true
			return func() int { return len(s.requests()) }
		},
		"in a region that is not allowed": func(f *fleet) func() int {
			s := &server{serve: complete}
			f.add("b", "e", "far", s)
			return func() int { return len(s.requests()) }
		},
	}
	for name, add := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fleet{t: t}
			a, _ := f.add("a", "d", "r", &server{})
			others := add(f)
			s := &server{serve: complete}
			f.add("c", "d", "r", s)
			for range 6 {
				req := newRequest([]byte("secret body"))
				req.Regions = []string{"r"}
				if res, ok := a.Relay(context.Background(), req, &recorder{}); !ok || res.Lost || res.Host != "c" {
					t.Fatalf("got %+v, %v, want a response of host c", res, ok)
				}
			}
			if n := others(); n != 0 || len(s.requests()) != 6 {
				t.Errorf("%d requests at the host that took none, %d at the other, want 0 and 6", n, len(s.requests()))
			}
		})
	}
}

// TestNoHostTakesRequest checks that a request that nobody took is not sent.
func TestNoHostTakesRequest(t *testing.T) {
	f := &fleet{t: t}
	a, _ := f.add("a", "d", "r", &server{})
	s := &server{cutOff: true}
	f.add("b", "d", "r", s)
	if res, ok := a.Relay(context.Background(), newRequest(nil), &recorder{}); ok || len(s.requests()) != 0 {
		t.Errorf("got %+v, %v, want false", res, ok)
	}
}

// TestOffersGoBeyondTheDomain puts a host into a failure domain whose other hosts are all cut
// off: a request is offered elsewhere in time.
func TestOffersGoBeyondTheDomain(t *testing.T) {
	f := &fleet{t: t}
	a, _ := f.add("a", "d", "r", &server{})
	for i := range 8 {
		f.add("d"+strconv.Itoa(i), "d", "r", &server{cutOff: true})
	}
	s := &server{serve: func(_ context.Context, _ *forwarder.Request, out forwarder.Responder) {
		_ = out.Begin(http.StatusOK, nil, 0)
	}}
	f.add("e", "e", "s", s)
	for range 10 {
		if res, ok := a.Relay(context.Background(), newRequest(nil), &recorder{}); !ok || res.Host != "e" {
			t.Fatalf("got %+v, %v, want a response of host e", res, ok)
		}
	}
}

// TestCallerThatLeavesEndsRequest cancels a request that another host serves.
func TestCallerThatLeavesEndsRequest(t *testing.T) {
	f := &fleet{t: t}
	a, _ := f.add("a", "d", "r", &server{})
	started, ended := make(chan struct{}), make(chan struct{})
	f.add("b", "d", "r", &server{serve: func(ctx context.Context, _ *forwarder.Request, _ forwarder.Responder) {
		close(started)
		<-ctx.Done()
		close(ended)
	}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	if res, ok := a.Relay(ctx, newRequest(nil), &recorder{}); !ok || !res.Lost {
		t.Errorf("got %+v, %v, want a lost request", res, ok)
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the other host goes on")
	}
}

// TestSlowCallerHoldsResponseBack has a caller that does not read: the other host can't write
// without end.
func TestSlowCallerHoldsResponseBack(t *testing.T) {
	f := &fleet{t: t}
	a, _ := f.add("a", "d", "r", &server{})
	const parts, size = 1024, 64 << 10
	written := make(chan int, parts)
	f.add("b", "d", "r", &server{serve: func(_ context.Context, _ *forwarder.Request, out forwarder.Responder) {
		_ = out.Begin(http.StatusOK, nil, -1)
		for i := range parts {
			if out.Write(make([]byte, size)) != nil {
				return
			}
			written <- i
		}
	}})
	blocked, resume := make(chan struct{}), make(chan struct{})
	out := &recorder{onWrite: sync.OnceFunc(func() {
		close(blocked)
		<-resume
	})}
	done := make(chan forwarder.RelayResult)
	go func() {
		res, _ := a.Relay(context.Background(), newRequest(nil), out)
		done <- res
	}()
	<-blocked
	for before := -1; before != len(written); time.Sleep(100 * time.Millisecond) {
		before = len(written)
	}
	if n := len(written); n == parts {
		t.Errorf("the other host wrote all %d parts while the caller read none", n)
	}
	close(resume)
	if res := <-done; res.Lost || out.body.Len() != parts*size {
		t.Errorf("got %+v and %d bytes, want %d", res, out.body.Len(), parts*size)
	}
}

// TestStopWaitsForCarriedRequests stops a host while it serves a request of another one.
func TestStopWaitsForCarriedRequests(t *testing.T) {
	f := &fleet{t: t}
	a, _ := f.add("a", "d", "r", &server{})
	started, finish := make(chan struct{}), make(chan struct{})
	b, _ := f.add("b", "d", "r", &server{serve: func(_ context.Context, _ *forwarder.Request, out forwarder.Responder) {
		close(started)
		<-finish
		_ = out.Begin(http.StatusOK, nil, 0)
	}})
	done := make(chan forwarder.RelayResult)
	go func() {
		res, _ := a.Relay(context.Background(), newRequest(nil), &recorder{})
		done <- res
	}()
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := b.Stop(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("stopped with %v while a request runs", err)
	}
	close(finish)
	if res := <-done; res.Lost || res.Status != http.StatusOK {
		t.Errorf("got %+v, want a response", res)
	}
	if err := b.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

// TestCarriedRequestsAreBounded offers more requests than a host carries.
func TestCarriedRequestsAreBounded(t *testing.T) {
	tests := map[string]struct {
		size, most int
	}{"number": {10, 128}, "bytes": {4 << 20, 4}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fleet{t: t}
			a, _ := f.add("a", "d", "r", &server{})
			finish := make(chan struct{})
			s := &server{serve: func(_ context.Context, _ *forwarder.Request, out forwarder.Responder) {
				<-finish
				_ = out.Begin(http.StatusOK, nil, 0)
			}}
			f.add("b", "d", "r", s)
			release := sync.OnceFunc(func() { close(finish) })
			// The hosts end only when their requests have.
			t.Cleanup(release)
			var wg sync.WaitGroup
			for range tt.most {
				wg.Go(func() {
					// An offer that is not answered in time, as on a busy machine, is made again.
					for until := time.Now().Add(testTimeout); time.Now().Before(until); {
						if _, ok := a.Relay(context.Background(), newRequest(make([]byte, tt.size)), &recorder{}); ok {
							return
						}
					}
				})
			}
			for until := time.Now().Add(testTimeout); len(s.requests()) < tt.most; time.Sleep(time.Millisecond) {
				if time.Now().After(until) {
					t.Fatalf("%d requests were taken, want %d", len(s.requests()), tt.most)
				}
			}
			if res, ok := a.Relay(context.Background(), newRequest(make([]byte, tt.size)), &recorder{}); ok {
				t.Errorf("one more was taken: %+v", res)
			}
			release()
			wg.Wait()
		})
	}
}

// TestGarbageIsNotServed sends bytes that are no messages, a request without an offer, and an
// offer that the request does not match.
func TestGarbageIsNotServed(t *testing.T) {
	type offer struct {
		Host, Pool string
		Bytes      int
	}
	type handedOver struct {
		Request forwarder.Request
		Left    time.Duration
	}
	type message struct {
		Offer   *offer
		Request *handedOver
	}
	request := &handedOver{Request: *newRequest([]byte("body")), Left: time.Second}
	tests := map[string]func(c net.Conn){
		"garbage":               func(c net.Conn) { _, _ = c.Write(make([]byte, 4096)) },
		"request without offer": func(c net.Conn) { _ = gob.NewEncoder(c).Encode(message{Request: request}) },
		"larger than its offer": func(c net.Conn) {
			e := gob.NewEncoder(c)
			_ = e.Encode(message{Offer: &offer{"x", "p", 1}})
			_ = e.Encode(message{Request: request})
		},
		"offer of negative size": func(c net.Conn) {
			e := gob.NewEncoder(c)
			_ = e.Encode(message{Offer: &offer{"x", "p", -1}})
			_ = e.Encode(message{Request: request})
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fleet{t: t}
			s := &server{serve: func(context.Context, *forwarder.Request, forwarder.Responder) {}}
			f.add("b", "d", "r", s)
			host, port, _ := net.SplitHostPort(f.members[0].Address)
			n, _ := strconv.Atoi(port)
			c, err := net.Dial("tcp4", net.JoinHostPort(host, strconv.Itoa(n+1)))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			send(c)
			_ = c.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := io.ReadAll(c); err != nil && errors.Is(err, context.DeadlineExceeded) {
				t.Error("the connection stays open")
			}
			if len(s.requests()) != 0 {
				t.Error("a request was served")
			}
		})
	}
}

// slowWriter writes in pieces with a pause before each.
type slowWriter struct {
	io.Writer
	size  int
	pause time.Duration
}

func (w *slowWriter) Write(b []byte) (n int, err error) {
	for len(b) > 0 && err == nil {
		time.Sleep(w.pause)
		var m int
		m, err = w.Writer.Write(b[:min(len(b), w.size)])
		n, b = n+m, b[m:]
	}
	return n, err
}

// TestLargeRequestOnASlowLinkIsServed sends a request that takes longer to arrive than an
// answer to an offer may take.
func TestLargeRequestOnASlowLinkIsServed(t *testing.T) {
	type offer struct {
		Host, Pool string
		Bytes      int
	}
	type handedOver struct {
		Request forwarder.Request
		Left    time.Duration
	}
	type message struct {
		Offer   *offer
		Request *handedOver
	}
	f, served := &fleet{t: t}, make(chan int, 1)
	f.add("b", "d", "r", &server{serve: func(_ context.Context, r *forwarder.Request, _ forwarder.Responder) { served <- len(r.Body) }})
	host, port, _ := net.SplitHostPort(f.members[0].Address)
	n, _ := strconv.Atoi(port)
	c, err := net.Dial("tcp4", net.JoinHostPort(host, strconv.Itoa(n+1)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	body := make([]byte, 1<<20)
	w := &slowWriter{Writer: c, size: len(body)}
	e := gob.NewEncoder(w)
	if err := e.Encode(message{Offer: &offer{"x", "p", len(body)}}); err != nil {
		t.Fatal(err)
	}
	// Six pieces, in 0.9 s.
	w.size, w.pause = len(body)/5, 150*time.Millisecond
	if err := e.Encode(message{Request: &handedOver{Request: *newRequest(body), Left: testTimeout}}); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-served:
		if got != len(body) {
			t.Errorf("a body of %d bytes was served, want %d", got, len(body))
		}
	case <-time.After(testTimeout):
		t.Error("the request was not served")
	}
}
