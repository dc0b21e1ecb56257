// Package world runs hosts and stand-ins inside one process, over real
// sockets on loopback.
package world

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"foxtaillug.org/contract"
	"foxtaillug.org/contract/bundler"
	"foxtaillug.org/foxtaild/daemon"
	"foxtaillug.org/standin/engine"
	"foxtaillug.org/standin/platform"
	"foxtaillug.org/standin/porter"
	"foxtaillug.org/standin/service"
)

const (
	// pepper and ticketKey are the keys of a trial; they guard nothing.
	pepper    = "trial-pepper-0123456789"
	ticketKey = "trial-ticket-0123456789"
	// hostLag is the lag of the platform's host list.
	hostLag = 100 * time.Millisecond
	// listLag and loan are the daemons' settings; they are shorter than the
	// defaults so that a trial starts soon.
	listLag = 300 * time.Millisecond
	loan    = time.Second
	// portsPerHost are those for callers, peers and operators.
	portsPerHost = 3
	// cacheBlocks is the size of an engine's prefix cache.
	cacheBlocks = 2048
	// startTime bounds the start of all hosts.
	startTime = 20 * time.Second
	// headerTime bounds the reading of a request's head by stand-ins.
	headerTime = 10 * time.Second
)

// World is everything that runs in a trial.
type World struct {
	scenario Scenario
	doc      contract.Document
	platform *platform.Platform
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	hosts    []*Host
	servers  []*http.Server
	log      *slog.Logger
	warm     bool
	lag      time.Duration
	loan     time.Duration

	mu      sync.Mutex
	version uint64
}

// Host is one daemon of a trial.
type Host struct {
	spec     HostSpec
	region   string
	settings daemon.Settings
	daemon   *daemon.Daemon
}

// Name returns the host's name.
func (h *Host) Name() string { return h.spec.Name }

// Callers returns the address for callers.
func (h *Host) Callers() string { return h.settings.Listen }

// Daemon returns the host's process.
func (h *Host) Daemon() *daemon.Daemon { return h.daemon }

// Option sets a detail of a World.
type Option func(*World)

// WithLog sends the daemons' logs to a writer; by default they are dropped.
func WithLog(w io.Writer) Option {
	return func(x *World) { x.log = daemon.NewLog(w, "info") }
}

// WithWarmEngines starts all engines warm.
func WithWarmEngines(warm bool) Option {
	return func(x *World) { x.warm = warm }
}

// WithLease sets the daemons' bound on the lag of the host list and how long
// shares stay lent.
func WithLease(lag, loan time.Duration) Option {
	return func(x *World) { x.lag, x.loan = lag, loan }
}

// Key returns the API key of a workspace in a trial.
func Key(workspace string) string { return "trial-" + workspace }

// New starts the stand-ins and, if withHosts, the daemons of a trial.
func New(doc contract.Document, s Scenario, withHosts bool, opts ...Option) (w *World, err error) {
	w = &World{
		scenario: s,
		doc:      doc,
		platform: platform.New(hostLag),
		engines:  make(map[string]*engine.Engine),
		services: make(map[string]*service.Service),
		log:      slog.New(slog.DiscardHandler),
		version:  doc.Version,
		lag:      listLag,
		loan:     loan,
	}
	for _, opt := range opts {
		opt(w)
	}
	defer func() {
		if err != nil {
			w.Close()
			err = eris.Wrap(err, "start trial")
		}
	}()
	if err := w.startUpstreams(); err != nil {
		return nil, err
	}
	for i := range w.doc.Workspaces {
		ws := &w.doc.Workspaces[i]
		ws.KeyHashes = []string{contract.HashKey([]byte(pepper), Key(ws.Name))}
	}
	if !withHosts {
		return w, nil
	}
	return w, w.startHosts()
}

// serve serves a handler on a loopback port.
func (w *World) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTime, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// startUpstreams starts a stand-in for each upstream.
func (w *World) startUpstreams() error {
	for i := range w.doc.Upstreams {
		u := &w.doc.Upstreams[i]
		h, err := w.upstream(*u, uint64(i+1))
		if err != nil {
			return err
		}
		if u.Address, err = w.serve(h); err != nil {
			return err
		}
	}
	return nil
}

// upstream makes the stand-in of one upstream.
func (w *World) upstream(u contract.Upstream, seed uint64) (http.Handler, error) {
	if u.Service != "" {
		s := service.New(milliseconds(w.scenario.ServiceMs))
		w.services[u.Name] = s
		return s.Handler(), nil
	}
	speed, ok := w.scenario.Generations[u.Generation]
	if !ok {
		return nil, eris.Errorf("scenario: generation %q of upstream %s is missing", u.Generation, u.Name)
	}
	e := engine.New(engine.Config{
		Name: u.Name, Model: u.Models[0],
		PrefillPerToken: milliseconds(speed.PrefillMsPerToken),
		TokenTime:       milliseconds(speed.TokenMs),
		BatchSlowdown:   speed.BatchSlowdown,
		ColdFor:         secondsOf(w.scenario.ColdSeconds),
		ColdLimit:       u.ColdLimit,
		MaxBatch:        speed.MaxBatch,
		Warm:            w.warm,
		ReportLag:       secondsOf(w.scenario.ReportLagSeconds),
		CacheBlocks:     cacheBlocks,
		Seed:            seed,
	})
	w.engines[u.Name] = e
	return e.Handler(), nil
}

// startHosts starts the platform and the daemons, and waits until they serve.
func (w *World) startHosts() error {
	address, err := w.serve(w.platform.Handler())
	if err != nil {
		return err
	}
	regions := lo.SliceToMap(w.doc.Domains, func(d contract.Domain) (string, string) { return d.Name, d.Region })
	for _, spec := range w.scenario.Hosts {
		ports, err := porter.Free(portsPerHost)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, &Host{spec: spec, region: regions[spec.Domain], settings: daemon.Settings{
			Host: spec.Name, Domain: spec.Domain, Region: regions[spec.Domain],
			Listen: ports[0], Peers: ports[1], Admin: ports[2], Platform: address,
			KeyPepper: pepper, TicketKey: ticketKey,
			ListLag: w.lag, Loan: w.loan, StopAfter: time.Minute,
		}})
	}
	w.platform.SetHosts(lo.Map(w.hosts, func(h *Host, _ int) platform.Host {
		return platform.Host{Name: h.spec.Name, Domain: h.spec.Domain, Region: h.region, Address: h.settings.Peers, State: "live"}
	}))
	if err := w.publish(); err != nil {
		return err
	}
	for _, h := range w.hosts {
		if err := w.StartHost(h); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// StartHost starts a host's process, for the first time or again.
func (w *World) StartHost(h *Host) (err error) {
	if h.daemon, err = daemon.New(h.settings, daemon.WithLog(w.log)); err != nil {
		return err
	}
	return h.daemon.Start()
}

// awaitReady waits until every host is ready and every upstream has a slot.
func (w *World) awaitReady() error {
	end := time.Now().Add(startTime)
	for time.Now().Before(end) {
		if w.slots() >= len(w.doc.Upstreams) && lo.EveryBy(w.hosts, func(h *Host) bool { return h.daemon.Ready() }) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return eris.Errorf("hosts are not ready after %v", startTime)
}

// slots counts the upstreams of which some host holds a slot.
func (w *World) slots() int {
	held := make(map[string]bool)
	for _, h := range w.hosts {
		for _, u := range h.daemon.Status().Upstreams {
			if u.Slots > 0 {
				held[u.Name] = true
			}
		}
	}
	return len(held)
}

// publish publishes the document as operators do: parts first.
func (w *World) publish() error {
	b, err := bundler.Encode(w.doc)
	if err != nil {
		return err
	}
	for _, digest := range b.Digests() {
		w.platform.Publish(bundler.PartKeyPrefix+digest, b.Part(digest))
	}
	w.platform.Publish(bundler.ManifestKey, b.Manifest())
	return nil
}

// Change publishes a changed document under the next version.
func (w *World) Change(change func(*contract.Document)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	change(&w.doc)
	w.doc.Version = w.version
	return w.publish()
}

// InForce reports whether the version published last is in force on every
// host.
func (w *World) InForce() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.EveryBy(w.hosts, func(h *Host) bool { return h.daemon.Status().Version == w.version })
}

// Drain takes a failure domain out of service, or all back in for "".
func (w *World) Drain(domain string) error {
	return w.Change(func(d *contract.Document) {
		d.Drains.Domains = nil
		if domain != "" {
			d.Drains.Domains = []string{domain}
		}
	})
}

// Document returns the configuration with the addresses of the stand-ins.
func (w *World) Document() contract.Document {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doc
}

// Hosts returns the hosts.
func (w *World) Hosts() []*Host { return w.hosts }

// Engines returns the engines by name.
func (w *World) Engines() map[string]*engine.Engine { return w.engines }

// Services returns the booking services by name.
func (w *World) Services() map[string]*service.Service { return w.services }

// Platform returns the platform.
func (w *World) Platform() *platform.Platform { return w.platform }

// Scenario returns what the trial runs with.
func (w *World) Scenario() Scenario { return w.scenario }

// Prefill returns the prompt tokens computed and wasted on all engines.
func (w *World) Prefill() (computed, wasted int64) {
	for _, e := range w.engines {
		s := e.Stats()
		computed += s.Prefilled
		wasted += s.WastedPrefill
	}
	return computed, wasted
}

// Doubled returns how many bookings ran more than once.
func (w *World) Doubled() (doubled int, runs map[string]int) {
	runs = make(map[string]int)
	for _, s := range w.services {
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	return lo.CountBy(lo.Values(runs), func(n int) bool { return n > 1 }), runs
}

// Close ends everything.
func (w *World) Close() {
	var wg sync.WaitGroup
	for _, h := range w.hosts {
		if h.daemon == nil {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			h.daemon.Stop(ctx)
		})
	}
	wg.Wait()
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// String names the world.
func (w *World) String() string {
	return fmt.Sprintf("%d hosts, %d upstreams", len(w.hosts), len(w.doc.Upstreams))
}
