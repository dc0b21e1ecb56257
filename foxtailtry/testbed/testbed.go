// Package testbed runs daemons and stand-ins in one process, connected by TCP
// sockets on loopback.
package testbed

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
	// pepper and ticketKey are the keys of trials. They protect nothing, so they
	// are constants.
	pepper    = "trial-pepper-0123456789"
	ticketKey = "trial-ticket-0123456789"
	// hostLag is the delay of changes of the platform's host list.
	hostLag = 100 * time.Millisecond
	// listLag and leaseTTL are settings of the daemons, shorter than the
	// defaults so that a trial starts faster.
	listLag  = 300 * time.Millisecond
	leaseTTL = time.Second
	// portsPerHost are the ports for callers, peers and operators.
	portsPerHost = 3
	// cacheBlocks is the capacity of an engine's prefix cache, in blocks.
	cacheBlocks = 2048
	// startTimeout limits the time until all hosts are ready.
	startTimeout = 20 * time.Second
	// headerTimeout limits the time to send a request header to a stand-in.
	headerTimeout = 10 * time.Second
)

// Testbed holds the platform, the upstreams and the hosts of a trial.
type Testbed struct {
	scenario Scenario
	doc      contract.Document
	platform *platform.Platform
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	hosts    []*Host
	servers  []*http.Server
	log      *slog.Logger
	warm     bool
	listLag  time.Duration
	leaseTTL time.Duration

	mu      sync.Mutex
	version uint64
}

// Host is a host of a trial with its daemon.
type Host struct {
	spec     HostSpec
	region   string
	settings daemon.Settings
	daemon   *daemon.Daemon
}

// Name returns the name of the host.
func (h *Host) Name() string { return h.spec.Name }

// CallerAddress returns the address on which the daemon accepts callers.
func (h *Host) CallerAddress() string { return h.settings.Listen }

// Daemon returns the daemon of the host.
func (h *Host) Daemon() *daemon.Daemon { return h.daemon }

// Option configures a Testbed.
type Option func(*Testbed)

// WithLog writes the logs of the daemons to w. By default they are discarded.
func WithLog(w io.Writer) Option {
	return func(tb *Testbed) { tb.log = daemon.NewLog(w, "info") }
}

// WithWarmEngines sets whether all engines start warm.
func WithWarmEngines(warm bool) Option {
	return func(tb *Testbed) { tb.warm = warm }
}

// WithLease sets the daemons' bound on the lag of the host list and the TTL of
// leases.
func WithLease(listLag, leaseTTL time.Duration) Option {
	return func(tb *Testbed) { tb.listLag, tb.leaseTTL = listLag, leaseTTL }
}

// Key returns the API key of a workspace in trials.
func Key(workspace string) string { return "trial-" + workspace }

// New starts the stand-ins and, if withHosts is set, the platform and the
// daemons of a trial.
func New(doc contract.Document, s Scenario, withHosts bool, opts ...Option) (tb *Testbed, err error) {
	tb = &Testbed{
		scenario: s,
		doc:      doc,
		platform: platform.New(hostLag),
		engines:  make(map[string]*engine.Engine),
		services: make(map[string]*service.Service),
		log:      slog.New(slog.DiscardHandler),
		version:  doc.Version,
		listLag:  listLag,
		leaseTTL: leaseTTL,
	}
	for _, opt := range opts {
		opt(tb)
	}
	defer func() {
		if err != nil {
			tb.Close()
			err = eris.Wrap(err, "start trial")
		}
	}()
	if err := tb.startUpstreams(); err != nil {
		return nil, err
	}
	for i := range tb.doc.Workspaces {
		ws := &tb.doc.Workspaces[i]
		ws.KeyHashes = []string{contract.HashKey([]byte(pepper), Key(ws.Name))}
	}
	if !withHosts {
		return tb, nil
	}
	return tb, tb.startHosts()
}

// serve serves a handler on a free loopback port and returns its address.
func (tb *Testbed) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	tb.servers = append(tb.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// startUpstreams starts a stand-in for each upstream and sets its address in
// the document.
func (tb *Testbed) startUpstreams() error {
	for i := range tb.doc.Upstreams {
		u := &tb.doc.Upstreams[i]
		h, err := tb.newUpstream(*u, uint64(i+1))
		if err != nil {
			return err
		}
		if u.Address, err = tb.serve(h); err != nil {
			return err
		}
	}
	return nil
}

// newUpstream creates the stand-in for an upstream and returns its handler.
func (tb *Testbed) newUpstream(u contract.Upstream, seed uint64) (http.Handler, error) {
	if u.Service != "" {
		s := service.New(milliseconds(tb.scenario.ServiceMs))
		tb.services[u.Name] = s
		return s.Handler(), nil
	}
	speed, ok := tb.scenario.Generations[u.Generation]
	if !ok {
		return nil, eris.Errorf("scenario: generation %q of upstream %s is missing", u.Generation, u.Name)
	}
	e := engine.New(engine.Config{
		Name: u.Name, Model: u.Models[0],
		PrefillPerToken: milliseconds(speed.PrefillMsPerToken),
		TokenTime:       milliseconds(speed.TokenMs),
		BatchSlowdown:   speed.BatchSlowdown,
		ColdFor:         seconds(tb.scenario.ColdSeconds),
		ColdLimit:       u.ColdLimit,
		MaxBatch:        speed.MaxBatch,
		Warm:            tb.warm,
		ReportLag:       seconds(tb.scenario.ReportLagSeconds),
		CacheBlocks:     cacheBlocks,
		Seed:            seed,
	})
	tb.engines[u.Name] = e
	return e.Handler(), nil
}

// startHosts starts the platform and the daemons, and waits until all are
// ready.
func (tb *Testbed) startHosts() error {
	address, err := tb.serve(tb.platform.Handler())
	if err != nil {
		return err
	}
	regions := lo.SliceToMap(tb.doc.Domains, func(d contract.Domain) (string, string) { return d.Name, d.Region })
	for _, spec := range tb.scenario.Hosts {
		ports, err := porter.FreeAddresses(portsPerHost)
		if err != nil {
			return err
		}
		tb.hosts = append(tb.hosts, &Host{spec: spec, region: regions[spec.Domain], settings: daemon.Settings{
			Host: spec.Name, Domain: spec.Domain, Region: regions[spec.Domain],
			Listen: ports[0], Peers: ports[1], Admin: ports[2], Platform: address,
			KeyPepper: pepper, TicketKey: ticketKey,
			ListLag: tb.listLag, Loan: tb.leaseTTL, StopAfter: time.Minute,
		}})
	}
	tb.platform.SetHosts(lo.Map(tb.hosts, func(h *Host, _ int) platform.Host {
		return platform.Host{Name: h.spec.Name, Domain: h.spec.Domain, Region: h.region, Address: h.settings.Peers, State: "live"}
	}))
	if err := tb.publish(); err != nil {
		return err
	}
	for _, h := range tb.hosts {
		if err := tb.StartHost(h); err != nil {
			return err
		}
	}
	return tb.awaitReady()
}

// StartHost starts a host's daemon, for the first time or again after a stop.
func (tb *Testbed) StartHost(h *Host) (err error) {
	if h.daemon, err = daemon.New(h.settings, daemon.WithLog(tb.log)); err != nil {
		return err
	}
	return h.daemon.Start()
}

// awaitReady waits until every host is ready and hosts hold slots of every
// upstream.
func (tb *Testbed) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if tb.upstreamsWithSlots() >= len(tb.doc.Upstreams) && lo.EveryBy(tb.hosts, func(h *Host) bool { return h.daemon.Ready() }) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return eris.Errorf("hosts are not ready after %v", startTimeout)
}

// upstreamsWithSlots returns the number of upstreams of which at least one
// host holds a slot.
func (tb *Testbed) upstreamsWithSlots() int {
	held := make(map[string]bool)
	for _, h := range tb.hosts {
		for _, u := range h.daemon.Status().Upstreams {
			if u.Slots > 0 {
				held[u.Name] = true
			}
		}
	}
	return len(held)
}

// publish publishes the document as operators do: the parts before the
// manifest that refers to them.
func (tb *Testbed) publish() error {
	b, err := bundler.Encode(tb.doc)
	if err != nil {
		return err
	}
	for _, digest := range b.Digests() {
		tb.platform.Publish(bundler.PartKeyPrefix+digest, b.Part(digest))
	}
	tb.platform.Publish(bundler.ManifestKey, b.Manifest())
	return nil
}

// Change applies a change to the document and publishes it under the next
// version.
func (tb *Testbed) Change(change func(*contract.Document)) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.version++
	change(&tb.doc)
	tb.doc.Version = tb.version
	return tb.publish()
}

// InForce reports whether the latest published version is in force on every
// host.
func (tb *Testbed) InForce() bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return lo.EveryBy(tb.hosts, func(h *Host) bool { return h.daemon.Status().Version == tb.version })
}

// Drain takes a failure domain out of service. An empty domain puts all of
// them back in service.
func (tb *Testbed) Drain(domain string) error {
	return tb.Change(func(d *contract.Document) {
		d.Drains.Domains = nil
		if domain != "" {
			d.Drains.Domains = []string{domain}
		}
	})
}

// Document returns the current configuration document, with the addresses of
// the stand-ins.
func (tb *Testbed) Document() contract.Document {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.doc
}

// Hosts returns all hosts of the trial.
func (tb *Testbed) Hosts() []*Host { return tb.hosts }

// Engines returns the engines by name.
func (tb *Testbed) Engines() map[string]*engine.Engine { return tb.engines }

// Services returns the booking services by name.
func (tb *Testbed) Services() map[string]*service.Service { return tb.services }

// Platform returns the stand-in platform.
func (tb *Testbed) Platform() *platform.Platform { return tb.platform }

// Scenario returns the scenario of the trial.
func (tb *Testbed) Scenario() Scenario { return tb.scenario }

// PrefillTokens returns the prompt tokens that all engines computed, and how many of
// them were wasted on requests that did not complete.
func (tb *Testbed) PrefillTokens() (computed, wasted int64) {
	for _, e := range tb.engines {
		s := e.Stats()
		computed += s.PrefilledTokens
		wasted += s.WastedPrefillTokens
	}
	return computed, wasted
}

// BookingRuns returns the number of bookings that ran more than once, and the
// runs of each booking by its reference.
func (tb *Testbed) BookingRuns() (doubled int, runs map[string]int) {
	runs = make(map[string]int)
	for _, s := range tb.services {
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	return lo.CountBy(lo.Values(runs), func(n int) bool { return n > 1 }), runs
}

// Close stops all daemons and stand-ins.
func (tb *Testbed) Close() {
	var wg sync.WaitGroup
	for _, h := range tb.hosts {
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
	for _, s := range tb.servers {
		_ = s.Close()
	}
}

// String describes the size of the testbed.
func (tb *Testbed) String() string {
	return fmt.Sprintf("%d hosts, %d upstreams", len(tb.hosts), len(tb.doc.Upstreams))
}
