package linker_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// crashPath is the target of the request that crashes upstreams.
const crashPath = "/crash"

// crashPause is the time between two requests of the caller.
const crashPause = 200 * time.Millisecond

// maxCrashRuns is how often the request may reach upstreams: three times until
// the third crash and three times after it.
const maxCrashRuns = 6

// plainCodec speaks plain HTTP; every response is authentic.
type plainCodec struct{}

func (plainCodec) Encode(b []byte, r *forwarder.Request, _ forwarder.Dispatch) []byte {
	return fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", r.Method, r.Target, len(r.Body))
}

func (plainCodec) Decode(*forwarder.Request, int, http.Header) forwarder.ResponseInfo {
	return forwarder.ResponseInfo{MatchesRequest: true, Authentic: true}
}

func (plainCodec) Tokens([]byte) int { return 0 }

// discardResponder keeps the refusal of a request and nothing else.
type discardResponder struct{ refusal *forwarder.Refusal }

func (*discardResponder) Begin(int, http.Header, int) error { return nil }
func (*discardResponder) Write([]byte) error                { return nil }
func (d *discardResponder) Refuse(r forwarder.Refusal) error {
	d.refusal = &r
	return nil
}
func (*discardResponder) Abort(forwarder.Refusal) {}

// crashFleet is a set of hosts and of upstreams that crash while they run a
// request for crashPath.
type crashFleet struct {
	t *testing.T
	// accepting upstreams accept connections after a crash and reset them when a
	// request arrives; others refuse connections.
	accepting bool
	entries   []registrar.Entry
	hosts     []*host
	forwarder map[*host]*forwarder.Forwarder

	mu      sync.Mutex
	crashed map[string]bool
	runs    int
}

// newCrashFleet starts the upstreams, n in each failure domain.
func newCrashFleet(t *testing.T, accepting bool, n int, domains ...string) *crashFleet {
	f := &crashFleet{t: t, accepting: accepting, forwarder: make(map[*host]*forwarder.Forwarder), crashed: make(map[string]bool)}
	for _, domain := range domains {
		for i := range n {
			f.startUpstream(fmt.Sprintf("%s%d", domain, i), domain)
		}
	}
	return f
}

// startUpstream starts one upstream.
func (f *crashFleet) startUpstream(id, domain string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = l.Close() })
	f.entries = append(f.entries, registrar.Entry{ID: id, Pool: "engines", Domain: domain, Slots: 6, Address: l.Addr().String()})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serveConn(id, l, c.(*net.TCPConn))
		}
	}()
}

// serveConn serves one connection of an upstream.
func (f *crashFleet) serveConn(id string, l net.Listener, c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	_ = c.SetLinger(0)
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		if r.URL.Path == crashPath {
			f.runs++
			f.crashed[id] = true
		}
		crashed := f.crashed[id]
		f.mu.Unlock()
		if crashed {
			if !f.accepting {
				_ = l.Close()
			}
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// start starts a host that knows all upstreams.
func (f *crashFleet) start(name, domain string, seeds ...string) *host {
	h := startHostIn(f.t, name, domain, freeAddress(f.t), seeds...)
	h.configureWith(f.t, 1, f.entries...)
	f.hosts = append(f.hosts, h)
	f.forwarder[h] = forwarder.New(h, plainCodec{}, connector.New(), h.dir, slog.New(slog.DiscardHandler), forwarder.WithQuarantine(h.inspector))
	return h
}

// send sends a request to a host and returns the refusal, nil if there was none.
func (f *crashFleet) send(h *host, path string, digest uint64, parts ...uint64) *forwarder.Refusal {
	route := &router.Route{Kind: router.Idempotent, Objective: time.Second, Attempts: 1}
	now := time.Now()
	var d discardResponder
	f.forwarder[h].Serve(context.Background(), &forwarder.Request{
		ID: "r", Method: http.MethodGet, Target: path, Route: route, Pool: "engines",
		Arrived: now, Deadline: now.Add(5 * time.Second), LastEventID: forwarder.NoEvent, Digest: digest, Parts: parts,
	}, &d)
	return d.refusal
}

// sendUntilQuarantined sends the request that crashes upstreams to the hosts that
// next returns, until it is refused for that reason.
func (f *crashFleet) sendUntilQuarantined(next func(n int) *host) {
	f.t.Helper()
	for n := 0; ; n++ {
		refusal := f.send(next(n), crashPath, 7)
		if refusal != nil && refusal.Reason == coordinator.Quarantined.String() {
			return
		}
		f.mu.Lock()
		runs := f.runs
		f.mu.Unlock()
		if runs > maxCrashRuns {
			f.t.Fatalf("request reached upstreams %d times, want at most %d", runs, maxCrashRuns)
		}
		if n > 10*maxCrashRuns {
			f.t.Fatalf("request was not refused as quarantined after %d sends; last refusal %+v", n, refusal)
		}
		time.Sleep(crashPause)
	}
}

// TestCrashingRequestIsQuarantinedWithoutOtherTraffic sends nothing else, so that
// no other request finds the crashed upstreams gone.
func TestCrashingRequestIsQuarantinedWithoutOtherTraffic(t *testing.T) {
	for name, accepting := range map[string]bool{"connections refused": false, "connections accepted and reset": true} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, accepting, 12, "a")
			h := f.start("one", "a")
			f.sendUntilQuarantined(func(int) *host { return h })
		})
	}
}

// TestCrashingRequestIsQuarantinedWhileCoordinatorsChange replaces the coordinator
// after each crash; one host, never a coordinator, remains.
func TestCrashingRequestIsQuarantinedWhileCoordinatorsChange(t *testing.T) {
	f := newCrashFleet(t, false, 12, "a")
	oldest := f.start("h0", "a")
	next := f.start("h1", "a", oldest.address)
	remaining := f.start("remaining", "a", oldest.address, next.address)
	eventually(t, "the hosts know each other", func() bool { return len(remaining.Members()) == 2 && len(next.Members()) == 2 })
	hosts := []*host{oldest, next}
	f.sendUntilQuarantined(func(n int) *host {
		if n == 0 {
			return oldest
		}
		hosts[n-1].stop()
		added := f.start(fmt.Sprintf("h%d", n+1), "a", remaining.address)
		eventually(t, "the new host is known", func() bool { return len(added.Members()) > 0 })
		hosts = append(hosts, added)
		return hosts[n]
	})
}

// TestCrashesInAllFailureDomainsAreAddedUp sends the request to one failure domain
// after the other, so that it crashes few upstreams in each.
func TestCrashesInAllFailureDomainsAreAddedUp(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e", "f"}
	f := newCrashFleet(t, false, 4, domains...)
	for i, domain := range domains {
		var seeds []string
		if i > 0 {
			seeds = []string{f.hosts[0].address}
		}
		f.start("host-"+domain, domain, seeds...)
	}
	eventually(t, "the hosts know each other", func() bool {
		for _, h := range f.hosts {
			if len(h.Members()) != len(domains)-1 {
				return false
			}
		}
		return true
	})
	f.sendUntilQuarantined(func(n int) *host { return f.hosts[n%len(f.hosts)] })
}
