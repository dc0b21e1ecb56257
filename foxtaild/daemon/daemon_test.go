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

// patience bounds every wait of these tests.
const patience = 60 * time.Second

// fakePlatform serves host lists and values, and can be down.
type fakePlatform struct {
	mu     sync.Mutex
	hosts  []map[string]string
	bundle *bundler.Bundle
	down   bool
	// holdHosts keeps the host list back while values are served.
	holdHosts bool
	reads     int
}

// ServeHTTP serves a read.
func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.bundle == nil || p.holdHosts && r.URL.Path == "/v1/hosts" {
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

// set changes the platform.
func (p *fakePlatform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// version returns the bundle of a version in which a failure domain is
// drained from version 2 on.
func version(t *testing.T, n uint64) *bundler.Bundle {
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

// free returns a free address on loopback.
func free(t *testing.T) string {
	t.Helper()
	addresses, err := porter.Free(1)
	if err != nil {
		t.Fatal(err)
	}
	return addresses[0]
}

// await waits for something to become true.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

// settings returns the settings of a host.
func settings(t *testing.T, name, platform string) Settings {
	return Settings{
		Host: name, Domain: "d", Region: "r", Listen: free(t), Peers: free(t), Admin: free(t), Platform: platform,
		KeyPepper: "0123456789abcdef", TicketKey: "0123456789abcdef",
		ListLag: 100 * time.Millisecond, Loan: 300 * time.Millisecond, StopAfter: time.Second, LogLevel: "error",
	}
}

// launch starts a host.
func launch(t *testing.T, s Settings) *Daemon {
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

// TestNewestVersionHoldsWithoutThePlatform takes the platform down, has one
// host alone hear of a drain, and brings the platform back stale. The drain
// reaches every host, none goes back, and a host that starts anew serves
// nothing before it has the newest.
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
	old := version(t, 1)
	p.set(func() { p.bundle = old })
	for _, s := range all {
		daemons = append(daemons, launch(t, s))
	}
	stopped := make(map[*Daemon]bool)
	stop := func(d *Daemon) {
		if !stopped[d] {
			stopped[d] = true
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			d.Stop(ctx)
		}
	}
	defer func() {
		for _, d := range daemons {
			stop(d)
		}
	}()
	everywhere := func(n uint64) func() bool {
		return func() bool {
			for _, d := range daemons {
				if !d.Ready() || d.Status().Version != n || d.Status().Hosts != 3 {
					return false
				}
			}
			return true
		}
	}
	await(t, "version 1 everywhere", everywhere(1))
	p.set(func() { p.down = true })
	news := version(t, 2)
	if err := daemons[1].keeper.Offer(news.Manifest(), func(d string) ([]byte, error) { return news.Part(d), nil }); err != nil {
		t.Fatal(err)
	}
	await(t, "version 2 everywhere while the platform is down", everywhere(2))
	p.set(func() { p.down = false })
	before := p.reads
	await(t, "the stale platform is read again", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.reads > before+3
	})
	if !everywhere(2)() {
		t.Error("a stale platform took version 2 back")
	}
	stop(daemons[2])
	// The host list comes after the values: a host that has only these knows
	// no peer to ask.
	p.set(func() { p.holdHosts = true })
	daemons[2] = launch(t, all[2])
	await(t, "the host that started again has a configuration", func() bool { return daemons[2].keeper.State() != nil })
	await(t, "it is given time to believe itself settled", func() bool { return time.Since(daemons[2].keeper.State().Since()) > 5*settleTick })
	p.set(func() { p.holdHosts = false })
	await(t, "the host that started again is ready", daemons[2].Ready)
	if v := daemons[2].Status().Version; v != 2 {
		t.Errorf("a host that started again is ready with version %d", v)
	}
}

// TestFailedStartCanBeStopped starts a host on a port that is taken.
func TestFailedStartCanBeStopped(t *testing.T) {
	first := settings(t, "h1", "127.0.0.1:1")
	running := launch(t, first)
	defer running.Stop(context.Background())
	second := settings(t, "h2", "127.0.0.1:1")
	second.Peers = first.Peers
	d, err := New(second, WithLog(slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(); err == nil {
		t.Error("started on a port that is taken")
	}
	if cut := d.Stop(context.Background()); cut != 0 {
		t.Errorf("%d requests cut off", cut)
	}
}

func TestWrongSettingsAreOneClearLine(t *testing.T) {
	tests := map[string]struct {
		change func(s *Settings)
		want   string
	}{
		"name in place of IP":    {change: func(s *Settings) { s.Listen = "localhost:80" }, want: "--listen"},
		"clear text off the box": {change: func(s *Settings) { s.Peers = "10.0.0.1:80" }, want: "--tls-certificate"},
		"half of TLS":            {change: func(s *Settings) { s.TLSKey = "x" }, want: "go together"},
		"broken certificate":     {change: func(s *Settings) { s.TLSKey, s.TLSCertificate, s.TLSAuthority = "x", "x", "x" }, want: "peer keys"},
		"short pepper":           {change: func(s *Settings) { s.KeyPepper = "short" }, want: "--key-pepper"},
		"file is missing":        {change: func(s *Settings) { s.TicketKey = "@/nonexistent" }, want: "--ticket-key"},
		"rate over 1":            {change: func(s *Settings) { s.TraceRate = 2 }, want: "--trace-rate"},
		"no loan":                {change: func(s *Settings) { s.Loan = 0 }, want: "--loan"},
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
