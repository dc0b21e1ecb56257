// Package daemon assembles and runs the components of a foxtaild process. The
// program foxtaild is a thin wrapper around it, and foxtailtry runs several
// daemons in one process.
package daemon

import (
	"context"
	"crypto/rand"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"foxtaillug.org/contract/peerv1"
	"foxtaillug.org/foxtaild/internal/gossiper"
	"foxtaillug.org/foxtaild/internal/granter"
	"foxtaillug.org/foxtaild/internal/messenger"
	"foxtaillug.org/foxtaild/internal/receiver"
	"foxtaillug.org/foxtaild/internal/requester"
	"foxtaillug.org/foxtaild/internal/tracker"
	"foxtaillug.org/foxtaild/internal/watcher"
	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/arbiter"
	"foxtaillug.org/scheduler/leaser"

	"connectrpc.com/connect"
)

// syncTimeout bounds how long a host queries its peers for a newer configuration
// after it has started or resumed, and how long before that a host with a
// configuration waits for the host list.
const syncTimeout = 2 * time.Second

// syncPollInterval is the time between two checks whether the configuration and the
// host list have arrived, without which peers can't be queried.
const syncPollInterval = 20 * time.Millisecond

// Daemon is the foxtaild process of one host.
type Daemon struct {
	settings    Settings
	log         *slog.Logger
	injector    *do.RootScope
	incarnation scheduler.IncarnationID
	tracker     *tracker.Tracker
	messenger   *messenger.Messenger
	gossiper    *gossiper.Gossiper
	granter     *granter.Granter
	receiver    *receiver.Receiver
	reporter    *reporter.Reporter
	watcher     *watcher.Watcher
	listeners   listeners
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	// synced is closed when syncConfig has returned.
	synced  chan struct{}
	started bool
}

// listeners are the listening sockets of a daemon.
type listeners struct {
	callers, peers, admin net.Listener
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithLog sets the logger. The default writes JSON lines to standard error.
func WithLog(log *slog.Logger) Option {
	return func(d *Daemon) { d.log = log }
}

// New checks the settings and assembles a daemon.
func New(s Settings, opts ...Option) (d *Daemon, err error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	d = &Daemon{
		settings:    s,
		log:         NewLog(os.Stderr, s.LogLevel),
		incarnation: scheduler.IncarnationID(s.Host + "-" + rand.Text()[:10]),
		synced:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.log = d.log.With("host", s.Host)
	d.injector = do.New()
	if err := d.provide(); err != nil {
		return nil, err
	}
	return d, nil
}

// NewLog returns a logger that writes JSON lines to w.
func NewLog(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	_ = l.UnmarshalText([]byte(level))
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l}))
}

// provide registers the daemon's components with the injector and builds them.
func (d *Daemon) provide() (err error) {
	s := d.settings
	pepper, err := longSecret("--key-pepper", s.KeyPepper)
	if err != nil {
		return err
	}
	ticket, err := longSecret("--ticket-key", s.TicketKey)
	if err != nil {
		return err
	}
	keys, err := s.keys()
	if err != nil {
		return err
	}
	self := scheduler.NewHost(scheduler.HostID(s.Host), scheduler.DomainID(s.Domain), scheduler.RegionID(s.Region), scheduler.WithAddress(s.Peers))
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	i := d.injector
	do.ProvideValue(i, d.log)
	do.ProvideValue(i, tracker.New(self))
	do.Provide(i, func(i do.Injector) (*messenger.Messenger, error) {
		return messenger.New(do.MustInvoke[*tracker.Tracker](i), keys), nil
	})
	do.Provide(i, func(i do.Injector) (*gossiper.Gossiper, error) {
		return gossiper.New(do.MustInvoke[*tracker.Tracker](i), do.MustInvoke[*messenger.Messenger](i), d.incarnation, d.log), nil
	})
	do.Provide(i, func(i do.Injector) (*granter.Granter, error) {
		a := arbiter.New(self, time.Now(), arbiter.WithLeaserOptions(leaser.WithTTL(s.Loan), leaser.WithLag(s.ListLag)))
		g := do.MustInvoke[*gossiper.Gossiper](i)
		return granter.New(do.MustInvoke[*tracker.Tracker](i), do.MustInvoke[*messenger.Messenger](i), d.log, a, granter.WithGossip(g.Push), granter.WithConfigRefresh(d.refreshConfig)), nil
	})
	do.Provide(i, func(i do.Injector) (*requester.Requester, error) {
		return requester.New(ctx, do.MustInvoke[*tracker.Tracker](i), do.MustInvoke[*messenger.Messenger](i)), nil
	})
	do.Provide(i, func(do.Injector) (*reporter.Reporter, error) { return reporter.New(s.Host, d.traceOptions()...) })
	do.Provide(i, func(i do.Injector) (*watcher.Watcher, error) {
		return watcher.New(s.Platform, do.MustInvoke[*tracker.Tracker](i), d.log), nil
	})
	do.Provide(i, func(i do.Injector) (*receiver.Receiver, error) {
		rep, err := do.Invoke[*reporter.Reporter](i)
		if err != nil {
			return nil, err
		}
		return receiver.New(receiver.Dependencies{
			Tracker:     do.MustInvoke[*tracker.Tracker](i),
			Admitter:    do.MustInvoke[*requester.Requester](i),
			Messenger:   do.MustInvoke[*messenger.Messenger](i),
			Gossiper:    do.MustInvoke[*gossiper.Gossiper](i),
			Reporter:    rep,
			Log:         d.log,
			Secrets:     receiver.NewSecrets(pepper, ticket),
			Incarnation: d.incarnation,
		}), nil
	})
	return d.invoke()
}

// traceOptions returns the options for sampling and exporting traces.
func (d *Daemon) traceOptions() (opts []reporter.Option) {
	opts = append(opts, reporter.WithSampling(d.settings.TraceRate))
	if d.settings.TraceOTLP != "" {
		opts = append(opts, reporter.WithOTLP(d.settings.TraceOTLP))
	}
	if d.settings.TraceLog {
		opts = append(opts, reporter.WithTraceWriter(os.Stdout))
	}
	return opts
}

// invoke builds the components. It builds each component that subscribes to
// configurations before one can arrive.
func (d *Daemon) invoke() (err error) {
	i := d.injector
	d.tracker = do.MustInvoke[*tracker.Tracker](i)
	d.messenger = do.MustInvoke[*messenger.Messenger](i)
	d.gossiper = do.MustInvoke[*gossiper.Gossiper](i)
	d.granter = do.MustInvoke[*granter.Granter](i)
	d.gossiper.SetOwner(d.granter)
	d.watcher = do.MustInvoke[*watcher.Watcher](i)
	if d.reporter, err = do.Invoke[*reporter.Reporter](i); err != nil {
		return err
	}
	d.receiver, err = do.Invoke[*receiver.Receiver](i)
	return err
}

// peerHandler serves peers. It passes each call to the responsible component.
type peerHandler struct {
	d *Daemon
}

// Schedule serves the stream of one entry host.
func (h peerHandler) Schedule(ctx context.Context, stream *connect.BidiStream[peerv1.EntryFrame, peerv1.OwnerFrame]) error {
	return h.d.granter.Schedule(ctx, stream)
}

// Consent responds to a lessee that requests or returns a lease of this host's shares.
func (h peerHandler) Consent(ctx context.Context, req *peerv1.ConsentRequest) (*peerv1.ConsentReply, error) {
	if err := h.d.messenger.AuthorizePeer(ctx, req.Host); err != nil {
		return nil, err
	}
	return h.d.granter.Consent(req), nil
}

// Gossip exchanges state with a peer.
func (h peerHandler) Gossip(ctx context.Context, req *peerv1.GossipRequest) (*peerv1.GossipReply, error) {
	return h.d.gossiper.Gossip(ctx, req)
}

// Fetch returns the configuration in force.
func (h peerHandler) Fetch(ctx context.Context, req *peerv1.FetchRequest) (*peerv1.FetchReply, error) {
	return h.d.gossiper.Fetch(ctx, req)
}

// Book runs a call made with a ticket.
func (h peerHandler) Book(ctx context.Context, req *peerv1.BookRequest) (*peerv1.BookReply, error) {
	return h.d.receiver.Book(ctx, req)
}

// Start opens the sockets and starts the components in the background. Stop ends
// them.
func (d *Daemon) Start() (err error) {
	defer func() {
		if err != nil {
			d.listeners.close()
			err = eris.Wrap(err, "start")
		}
	}()
	if d.listeners, err = listen(d.settings); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	stop := d.cancel
	d.cancel = func() {
		cancel()
		stop()
	}
	d.started = true
	d.wg.Go(func() { d.granter.Run(ctx) })
	d.wg.Go(func() { d.watcher.Run(ctx) })
	d.wg.Go(func() { d.gossiper.Run(ctx) })
	d.wg.Go(func() {
		if err := d.messenger.Serve(ctx, d.listeners.peers, peerHandler{d}); err != nil {
			d.log.Error("can't serve peers", "error", err.Error())
		}
	})
	d.wg.Go(func() {
		if err := d.receiver.Serve(d.listeners.callers); err != nil {
			d.log.Error("can't serve callers", "error", err.Error())
		}
	})
	d.wg.Go(func() { d.serveAdmin(ctx) })
	d.wg.Go(func() { d.syncConfig(ctx) })
	d.log.Info("started", "incarnation", d.incarnation, "callers", d.settings.Listen, "peers", d.settings.Peers, "admin", d.settings.Admin)
	return nil
}

// listen opens the listening sockets.
func listen(s Settings) (l listeners, err error) {
	if l.callers, err = net.Listen("tcp", s.Listen); err != nil {
		return l, err
	}
	if l.peers, err = net.Listen("tcp", s.Peers); err != nil {
		return l, err
	}
	l.admin, err = net.Listen("tcp", s.Admin)
	return l, err
}

// close closes the open sockets.
func (l listeners) close() {
	for _, s := range []net.Listener{l.callers, l.peers, l.admin} {
		if s != nil {
			_ = s.Close()
		}
	}
}

// hostListWaitOver reports whether the host list has been read, or could not be
// read within syncTimeout after the configuration. Without the list there is no
// peer to query, and an older configuration would look like the newest.
func (d *Daemon) hostListWaitOver() bool {
	cfg := d.tracker.Config()
	return d.tracker.HasHostList() || cfg != nil && time.Since(cfg.Since()) > syncTimeout
}

// syncConfig queries several peers once for a newer configuration. The host is not
// ready before it returns.
func (d *Daemon) syncConfig(ctx context.Context) {
	defer close(d.synced)
	tick := time.NewTicker(syncPollInterval)
	defer tick.Stop()
	for d.tracker.Config() == nil || !d.hostListWaitOver() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	d.gossiper.SyncWithPeers(ctx)
}

// refreshConfig queries the peers and the platform for a newer configuration after
// this process was suspended.
func (d *Daemon) refreshConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(d.watcher.Refresh)
	wg.Go(func() { d.gossiper.SyncWithPeers(ctx) })
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Ready reports whether the host serves callers.
func (d *Daemon) Ready() bool {
	select {
	case <-d.synced:
		return d.tracker.Config() != nil && !d.tracker.Stopping()
	default:
		return false
	}
}

// Stop stops the daemon gracefully: it is no longer ready, refuses waiting and new
// admission requests, returns the shares leased from other hosts and waits until
// every accepted request has ended or ctx is done. It returns the number of
// requests that were cut off. If the daemon was not started, Stop only cancels its
// context.
func (d *Daemon) Stop(ctx context.Context) (cut int64) {
	if !d.started {
		d.cancel()
		return 0
	}
	d.log.Info("stopping", "inProgress", d.receiver.InProgress())
	d.tracker.MarkStopping()
	d.granter.Stop()
	cut = d.receiver.Stop(ctx)
	d.cancel()
	d.listeners.close()
	d.wg.Wait()
	_ = d.reporter.Close(context.Background())
	d.log.Info("stopped", "cutOff", cut)
	return cut
}
