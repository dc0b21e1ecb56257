package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/contract"
	"foxtaillug.org/contract/bundler"
	"foxtaillug.org/standin/porter"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 60 * time.Second

// fakePlatform serves the host list and values, and can be made unavailable.
type fakePlatform struct {
	mu     sync.Mutex
	hosts  []map[string]string
	bundle *bundler.Bundle
	down   bool
	// withholdHosts makes only the host list unavailable.
	withholdHosts bool
	// reads counts the reads of the configuration's manifest.
	reads int
}

// ServeHTTP serves a read of the host list or of a value.
func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.bundle == nil || p.withholdHosts && r.URL.Path == "/v1/hosts" {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	key := strings.TrimPrefix(r.URL.Path, "/v1/values/")
	switch {
	case r.URL.Path == "/v1/hosts":
		time.Sleep(time.Millisecond)
		_ = json.NewEncoder(w).Encode(map[string]any{"revision": len(p.hosts), "hosts": p.hosts})
	case key == bundler.ManifestKey:
		p.reads++
		w.Header().Set("Platform-Revision", fmt.Sprint(p.bundle.Version().Number()))
		_, _ = w.Write(p.bundle.Manifest())
	default:
		_, _ = w.Write(p.bundle.Part(strings.TrimPrefix(key, bundler.PartKeyPrefix)))
	}
}

// set changes the platform under its lock.
func (p *fakePlatform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// newBundle returns the bundle of configuration version n. From version 2 on, its
// failure domain is drained.
func newBundle(t *testing.T, n uint64) *bundler.Bundle {
	t.Helper()
	doc := contract.Document{
		Version: n,
		Regions: []contract.Region{{Name: "r"}},
		Domains: []contract.Domain{{Name: "d", Region: "r"}},
		Tiers:   []contract.Tier{{Name: "t"}},
	}
	if n > 1 {
		doc.Drains.Domains = []string{"d"}
	}
	b, err := bundler.Encode(doc)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	addresses, err := porter.FreeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	return addresses[0]
}

// await fails the test if a condition does not become true in time.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: timed out after %v", what, testTimeout)
		}
	}
}

// settings returns valid settings for a host.
func settings(t *testing.T, name, platform string) Settings {
	return Settings{
		Host: name, Domain: "d", Region: "r", Listen: freeAddress(t), Peers: freeAddress(t), Admin: freeAddress(t), Platform: platform,
		KeyPepper: "0123456789abcdef", TicketKey: "0123456789abcdef",
		ListLag: 100 * time.Millisecond, Loan: 300 * time.Millisecond, StopAfter: time.Second, LogLevel: "error",
	}
}

// startDaemon starts the daemon of a host.
func startDaemon(t *testing.T, s Settings) *Daemon {
	t.Helper()
	d, err := New(s, WithLog(slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	return d
}

// TestNewestVersionHoldsWithoutThePlatform takes the platform down, gives a new
// version with a drain to one host only, and brings the platform back with the
// old version. The drain must reach every host, none may revert, and a host that
// restarts must not be ready before it has the newest version.
func TestNewestVersionHoldsWithoutThePlatform(t *testing.T) {
	p := &fakePlatform{}
	server := httptest.NewServer(p)
	defer server.Close()
	platform := strings.TrimPrefix(server.URL, "http://")
	var daemons []*Daemon
	var all []Settings
	for i := range 3 {
		s := settings(t, fmt.Sprintf("h%d", i), platform)
		all = append(all, s)
		p.hosts = append(p.hosts, map[string]string{"name": s.Host, "domain": s.Domain, "region": s.Region, "address": s.Peers, "state": "live"})
	}
	old := newBundle(t, 1)
	p.set(func() { p.bundle = old })
	for _, s := range all {
		daemons = append(daemons, startDaemon(t, s))
	}
	stopped := make(map[*Daemon]bool)
	stop := func(d *Daemon) {
		if !stopped[d] {
			stopped[d] = true
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			d.Stop(ctx)
		}
	}
	defer func() {
		for _, d := range daemons {
			stop(d)
		}
	}()
	allReady := func(n uint64) func() bool {
		return func() bool {
			for _, d := range daemons {
				if !d.Ready() || d.Status().Version != n || d.Status().Hosts != 3 {
					return false
				}
			}
			return true
		}
	}
	await(t, "version 1 on all hosts", allReady(1))
	p.set(func() { p.down = true })
	newer := newBundle(t, 2)
	if err := daemons[1].tracker.Apply(newer.Manifest(), func(d string) ([]byte, error) { return newer.Part(d), nil }); err != nil {
		t.Fatal(err)
	}
	await(t, "version 2 on all hosts while the platform is down", allReady(2))
	p.set(func() { p.down = false })
	before := p.reads
	await(t, "the stale platform has been read again", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.reads > before+3
	})
	if !allReady(2)() {
		t.Error("a stale platform reverted version 2")
	}
	stop(daemons[2])
	// The host list arrives after the values. A host that has only the values
	// knows no peer to query.
	p.set(func() { p.withholdHosts = true })
	daemons[2] = startDaemon(t, all[2])
	await(t, "the restarted host has a configuration", func() bool { return daemons[2].tracker.Config() != nil })
	await(t, "the restarted host has had time to synchronize without the host list", func() bool { return time.Since(daemons[2].tracker.Config().Since()) > 5*syncPollInterval })
	p.set(func() { p.withholdHosts = false })
	await(t, "the restarted host is ready", daemons[2].Ready)
	if v := daemons[2].Status().Version; v != 2 {
		t.Errorf("restarted host is ready with version %d, want 2", v)
	}
}

// TestFailedStartCanBeStopped starts a daemon on a port that is in use.
func TestFailedStartCanBeStopped(t *testing.T) {
	first := settings(t, "h1", "127.0.0.1:1")
	running := startDaemon(t, first)
	defer running.Stop(context.Background())
	second := settings(t, "h2", "127.0.0.1:1")
	second.Peers = first.Peers
	d, err := New(second, WithLog(slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(); err == nil {
		t.Error("started on a port that is in use")
	}
	if cut := d.Stop(context.Background()); cut != 0 {
		t.Errorf("%d requests cut off", cut)
	}
}

func TestInvalidSettingsAreReportedInOneLine(t *testing.T) {
	tests := map[string]struct {
		change func(s *Settings)
		want   string
	}{
		"host name instead of IP address": {change: func(s *Settings) { s.Listen = "localhost:80" }, want: "--listen"},
		"unencrypted beyond loopback":     {change: func(s *Settings) { s.Peers = "10.0.0.1:80" }, want: "--tls-certificate"},
		"incomplete TLS settings":         {change: func(s *Settings) { s.TLSKey = "x" }, want: "must be set together"},
		"invalid certificate":             {change: func(s *Settings) { s.TLSKey, s.TLSCertificate, s.TLSAuthority = "x", "x", "x" }, want: "peer keys"},
		"short pepper":                    {change: func(s *Settings) { s.KeyPepper = "short" }, want: "--key-pepper"},
		"missing file":                    {change: func(s *Settings) { s.TicketKey = "@/nonexistent" }, want: "--ticket-key"},
		"trace rate above 1":              {change: func(s *Settings) { s.TraceRate = 2 }, want: "--trace-rate"},
		"zero lease TTL":                  {change: func(s *Settings) { s.Loan = 0 }, want: "--loan"},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			s := settings(t, "h", "127.0.0.1:1")
			x.change(&s)
			_, err := New(s)
			if err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line with %q", err, x.want)
			}
		})
	}
}
