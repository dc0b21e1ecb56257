// Package gossiper replicates the state that all hosts need: the configuration in
// force, the digests of requests that crash upstreams, and the current incarnation
// of each host.
//
// Updates are pushed to a few peers immediately. In addition, every host regularly
// synchronizes with a random peer, which delivers any update that a push missed.
package gossiper

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"foxtaillug.org/contract/bundler"
	"foxtaillug.org/contract/peerv1"
	"foxtaillug.org/foxtaild/internal/messenger"
	"foxtaillug.org/foxtaild/internal/tracker"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/versioner"
)

const (
	// syncInterval is the time between two synchronizations with a random peer.
	syncInterval = time.Second
	// fanOut is the number of peers that an update is pushed to.
	fanOut = 4
	// callTimeout bounds a call to a peer.
	callTimeout = 2 * time.Second
	// pushDelay is the delay before a push, which merges a burst of updates into
	// one push.
	pushDelay = 20 * time.Millisecond
	// startupPeers is the number of peers that a host synchronizes with when it
	// starts or resumes after suspension.
	startupPeers = 16
	// maxRecentBundles is the number of bundles that are kept so that a peer that
	// has one of them can be sent the changes only.
	maxRecentBundles = 8
)

// Owner is the part of the owner role that exchanges updates with peers.
type Owner interface {
	// Suspects returns the crash reports for a peer. If received is not nil, they
	// are the response to it.
	Suspects(received *peerv1.SuspectReports) *peerv1.SuspectReports
	RecordSuspects(reports *peerv1.SuspectReports)
	Shed(tiers []*peerv1.ShutTier)
}

// Gossiper exchanges updates between one host and its peers. It is safe for
// concurrent use.
type Gossiper struct {
	tracker     *tracker.Tracker
	messenger   *messenger.Messenger
	incarnation scheduler.IncarnationID
	log         *slog.Logger
	pushes      chan struct{}

	mu           sync.Mutex
	owner        Owner
	incarnations map[scheduler.HostID]scheduler.IncarnationID
	recent       []*bundler.Bundle
	fetching     map[versioner.Version]bool
}

// New returns a gossiper. Run starts it.
func New(t *tracker.Tracker, m *messenger.Messenger, incarnation scheduler.IncarnationID, log *slog.Logger) *Gossiper {
	g := &Gossiper{
		tracker:      t,
		messenger:    m,
		incarnation:  incarnation,
		log:          log,
		pushes:       make(chan struct{}, 1),
		incarnations: make(map[scheduler.HostID]scheduler.IncarnationID),
		fetching:     make(map[versioner.Version]bool),
	}
	t.OnConfig(func(cfg *tracker.Config) {
		g.addRecent(cfg.Bundle())
		log.Info("configuration in force", "version", cfg.Version().Number(), "digest", cfg.Version().Digest())
		g.Push()
	})
	return g
}

// SetOwner sets the owner role of this host.
func (g *Gossiper) SetOwner(o Owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owner = o
}

// Push makes Run push updates to peers immediately.
func (g *Gossiper) Push() {
	select {
	case g.pushes <- struct{}{}:
	default:
	}
}

// addRecent adds a bundle to the recent ones.
func (g *Gossiper) addRecent(b *bundler.Bundle) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recent = append(g.recent, b)
	if len(g.recent) > maxRecentBundles {
		g.recent = g.recent[1:]
	}
}

// Run synchronizes with peers until ctx is done.
func (g *Gossiper) Run(ctx context.Context) {
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.pushes:
			time.Sleep(pushDelay)
			g.startSync(ctx, fanOut)
		case <-tick.C:
			g.startSync(ctx, 1)
		}
	}
}

// startSync starts to synchronize with n random peers.
func (g *Gossiper) startSync(ctx context.Context, n int) {
	peers := g.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, id := range peers[:min(n, len(peers))] {
		go g.SyncWithPeer(ctx, id)
	}
}

// peers returns all other hosts on the host list.
func (g *Gossiper) peers() []scheduler.HostID {
	return lo.FilterMap(g.tracker.Hosts(), func(h scheduler.Host, _ int) (scheduler.HostID, bool) {
		return h.ID(), h.ID() != g.tracker.Self().ID()
	})
}

// SyncWithPeers synchronizes with several random peers and waits for them, so that a
// host that starts or resumes after suspension serves no configuration older than
// the ones that its peers have in force.
func (g *Gossiper) SyncWithPeers(ctx context.Context) {
	var wg sync.WaitGroup
	peers := g.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, id := range peers[:min(startupPeers, len(peers))] {
		wg.Go(func() { g.SyncWithPeer(ctx, id) })
	}
	wg.Wait()
}

// SyncWithPeer exchanges updates with a peer and fetches its configuration if it is
// newer.
func (g *Gossiper) SyncWithPeer(ctx context.Context, id scheduler.HostID) {
	client, err := g.messenger.Client(id)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.Gossip(ctx, g.message(nil))
	if err != nil {
		return
	}
	g.record(scheduler.HostID(reply.Host), scheduler.IncarnationID(reply.Incarnation), reply.Suspects)
	v := versioner.NewVersion(reply.ConfigVersion, reply.ConfigDigest)
	if err := g.fetch(ctx, id, v); err != nil {
		g.log.Warn("configuration not fetched", "from", id, "version", v.Number(), "error", err.Error())
	}
}

// message returns the current state of this host for a peer, in response to the
// crash reports received from it if there are any.
func (g *Gossiper) message(received *peerv1.SuspectReports) *peerv1.GossipRequest {
	m := &peerv1.GossipRequest{
		Host:        string(g.tracker.Self().ID()),
		Incarnation: string(g.incarnation),
		Suspects:    g.suspects(received),
	}
	if cfg := g.tracker.Config(); cfg != nil {
		m.ConfigVersion, m.ConfigDigest = cfg.Version().Number(), cfg.Version().Digest()
	}
	return m
}

// suspects returns the crash reports for a peer.
func (g *Gossiper) suspects(received *peerv1.SuspectReports) *peerv1.SuspectReports {
	g.mu.Lock()
	o := g.owner
	g.mu.Unlock()
	if o == nil {
		return nil
	}
	return o.Suspects(received)
}

// record records the incarnation and the crash reports of a peer.
func (g *Gossiper) record(id scheduler.HostID, incarnation scheduler.IncarnationID, suspects *peerv1.SuspectReports) {
	g.mu.Lock()
	if incarnation != "" {
		g.incarnations[id] = incarnation
	}
	o := g.owner
	g.mu.Unlock()
	if o != nil && suspects != nil {
		o.RecordSuspects(suspects)
	}
}

// Incarnation returns the incarnation that a host reported last.
func (g *Gossiper) Incarnation(id scheduler.HostID) (scheduler.IncarnationID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.incarnations[id]
	return i, ok
}

// Gossip handles a message from a peer that synchronizes with this host. It fetches
// the peer's configuration in the background if it is newer.
func (g *Gossiper) Gossip(ctx context.Context, req *peerv1.GossipRequest) (*peerv1.GossipReply, error) {
	if err := g.messenger.AuthorizePeer(ctx, req.Host); err != nil {
		return nil, err
	}
	id := scheduler.HostID(req.Host)
	g.record(id, scheduler.IncarnationID(req.Incarnation), req.Suspects)
	g.mu.Lock()
	o := g.owner
	g.mu.Unlock()
	if o != nil {
		o.Shed(req.Shut)
	}
	if v := versioner.NewVersion(req.ConfigVersion, req.ConfigDigest); g.tracker.Wants(v) {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			if err := g.fetch(ctx, id, v); err != nil {
				g.log.Warn("configuration not fetched", "from", id, "version", v.Number(), "error", err.Error())
			}
		}()
	}
	m := g.message(req.Suspects)
	return &peerv1.GossipReply{
		Host: m.Host, Incarnation: m.Incarnation,
		ConfigVersion: m.ConfigVersion, ConfigDigest: m.ConfigDigest, Suspects: m.Suspects,
	}, nil
}

// claim reports whether a version is to be fetched and marks it as being fetched. It
// returns false if the version is being fetched already.
func (g *Gossiper) claim(v versioner.Version) bool {
	if v.Number() == 0 || !g.tracker.Wants(v) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fetching[v] {
		return false
	}
	g.fetching[v] = true
	return true
}

// fetch fetches a version from a peer and puts it in force.
func (g *Gossiper) fetch(ctx context.Context, id scheduler.HostID, v versioner.Version) (err error) {
	if !g.claim(v) {
		return nil
	}
	defer func() {
		g.mu.Lock()
		delete(g.fetching, v)
		g.mu.Unlock()
	}()
	client, err := g.messenger.Client(id)
	if err != nil {
		return err
	}
	req := &peerv1.FetchRequest{Version: v.Number()}
	old := g.tracker.Config()
	if old != nil {
		req.HaveVersion, req.HaveDigest = old.Version().Number(), old.Version().Digest()
	}
	reply, err := client.Fetch(ctx, req)
	if err != nil {
		return err
	}
	manifest, err := manifestOf(reply, old)
	if err != nil {
		return err
	}
	parts := lo.KeyBy(reply.Parts, bundler.Digest)
	return g.tracker.Apply(manifest, func(digest string) ([]byte, error) {
		if p, ok := parts[digest]; ok {
			return p, nil
		}
		if old != nil && old.Bundle().Part(digest) != nil {
			return old.Bundle().Part(digest), nil
		}
		return nil, eris.Errorf("peer %s: part %s is missing in the reply", id, digest)
	})
}

// manifestOf returns the manifest of a reply. If the reply holds only changes, they
// are applied to the manifest of old, the configuration in force.
func manifestOf(reply *peerv1.FetchReply, old *tracker.Config) ([]byte, error) {
	if len(reply.Manifest) > 0 || old == nil {
		return reply.Manifest, nil
	}
	base, v, err := bundler.ReadManifest(old.Bundle().Manifest())
	if err != nil || v.Number() != reply.BaseVersion {
		return nil, eris.Errorf("reply has changes since version %d, which is not in force", reply.BaseVersion)
	}
	changes := lo.MapEntries(reply.Changes, func(i uint32, digest string) (int, string) { return int(i), digest })
	return bundler.ApplyDelta(base, reply.Version, int(reply.PartCount), changes)
}

// Fetch returns the configuration in force to a peer, or only its changes since the
// version that the peer has.
func (g *Gossiper) Fetch(_ context.Context, req *peerv1.FetchRequest) (*peerv1.FetchReply, error) {
	cfg := g.tracker.Config()
	if cfg == nil {
		return nil, connect.NewError(connect.CodeNotFound, eris.New("no configuration in force"))
	}
	have := versioner.NewVersion(req.HaveVersion, req.HaveDigest)
	g.mu.Lock()
	base, known := lo.Find(g.recent, func(b *bundler.Bundle) bool { return b.Version() == have })
	g.mu.Unlock()
	if !known {
		parts := lo.Map(cfg.Bundle().Digests(), func(d string, _ int) []byte { return cfg.Bundle().Part(d) })
		return &peerv1.FetchReply{Manifest: cfg.Bundle().Manifest(), Parts: parts}, nil
	}
	return changesSince(cfg.Bundle(), base)
}

// changesSince returns a reply that describes a bundle by its changes since base.
func changesSince(b, base *bundler.Bundle) (reply *peerv1.FetchReply, err error) {
	m, v, err := bundler.ReadManifest(b.Manifest())
	if err != nil {
		return nil, err
	}
	baseManifest, baseVersion, err := bundler.ReadManifest(base.Manifest())
	if err != nil {
		return nil, err
	}
	reply = &peerv1.FetchReply{
		Version: v.Number(), BaseVersion: baseVersion.Number(), PartCount: uint32(len(m.Parts)),
		Changes: make(map[uint32]string),
	}
	for i, digest := range bundler.Delta(m, baseManifest) {
		reply.Changes[uint32(i)] = digest
		if base.Part(digest) == nil {
			reply.Parts = append(reply.Parts, b.Part(digest))
		}
	}
	return reply, nil
}
