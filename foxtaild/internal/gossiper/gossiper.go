// Package gossiper spreads what hosts should all know: the configuration in
// force, requests that crash upstreams, and which incarnation of each host is
// running.
//
// News is pushed to a few peers the moment it is learnt, and every host
// compares notes with a random peer from time to time, which finds whatever a
// push has missed.
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
	// roundEvery is how often notes are compared with a random peer.
	roundEvery = time.Second
	// fanOut is to how many peers an update is pushed at once.
	fanOut = 4
	// callTime bounds a call to a peer.
	callTime = 2 * time.Second
	// suspectWindow is how far back suspects are told in every round.
	suspectWindow = 10 * time.Second
	// pushPause merges a burst of updates into one push.
	pushPause = 20 * time.Millisecond
	// settlePeers is how many peers a host asks when it starts or wakes up.
	settlePeers = 16
	// history is how many former bundles are kept to answer with changes
	// only.
	history = 8
)

// Owner is the part of the owner role that takes and gives updates.
type Owner interface {
	Suspects(since time.Time) []*peerv1.Suspect
	RecordSuspects(suspects []*peerv1.Suspect)
	Shed(tiers []*peerv1.ShutTier)
}

// Gossiper spreads one host's updates. It is safe for concurrent use.
type Gossiper struct {
	tracker     *tracker.Tracker
	messenger   *messenger.Messenger
	incarnation scheduler.IncarnationID
	log         *slog.Logger
	news        chan struct{}

	mu           sync.Mutex
	owner        Owner
	incarnations map[scheduler.HostID]scheduler.IncarnationID
	former       []*bundler.Bundle
	fetching     map[versioner.Version]bool
}

// New returns a gossiper that must be run.
func New(k *tracker.Tracker, m *messenger.Messenger, incarnation scheduler.IncarnationID, log *slog.Logger) *Gossiper {
	g := &Gossiper{
		tracker:      k,
		messenger:    m,
		incarnation:  incarnation,
		log:          log,
		news:         make(chan struct{}, 1),
		incarnations: make(map[scheduler.HostID]scheduler.IncarnationID),
		fetching:     make(map[versioner.Version]bool),
	}
	k.OnConfig(func(s *tracker.Config) {
		g.remember(s.Bundle())
		log.Info("configuration in force", "version", s.Version().Number(), "digest", s.Version().Digest())
		g.Push()
	})
	return g
}

// SetOwner sets the owner role that takes and gives updates.
func (g *Gossiper) SetOwner(o Owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owner = o
}

// Push has peers told at once.
func (g *Gossiper) Push() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// remember keeps a bundle to answer later with changes only.
func (g *Gossiper) remember(b *bundler.Bundle) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.former = append(g.former, b)
	if len(g.former) > history {
		g.former = g.former[1:]
	}
}

// Run spreads updates until ctx is done.
func (g *Gossiper) Run(ctx context.Context) {
	round := time.NewTicker(roundEvery)
	defer round.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.news:
			time.Sleep(pushPause)
			g.tell(ctx, fanOut)
		case <-round.C:
			g.tell(ctx, 1)
		}
	}
}

// tell compares notes with some random peers.
func (g *Gossiper) tell(ctx context.Context, n int) {
	peers := g.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, id := range peers[:min(n, len(peers))] {
		go g.SyncWithPeer(ctx, id)
	}
}

// peers returns all other hosts.
func (g *Gossiper) peers() []scheduler.HostID {
	return lo.FilterMap(g.tracker.Hosts(), func(h scheduler.Host, _ int) (scheduler.HostID, bool) {
		return h.ID(), h.ID() != g.tracker.Self().ID()
	})
}

// SyncWithPeers compares notes with several peers, so that a host that starts or
// wakes up serves nothing older than what its peers have in force.
func (g *Gossiper) SyncWithPeers(ctx context.Context) {
	var wg sync.WaitGroup
	peers := g.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, id := range peers[:min(settlePeers, len(peers))] {
		wg.Go(func() { g.SyncWithPeer(ctx, id) })
	}
	wg.Wait()
}

// SyncWithPeer compares notes with one peer, and fetches what it has newer.
func (g *Gossiper) SyncWithPeer(ctx context.Context, id scheduler.HostID) {
	client, err := g.messenger.Client(id)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	reply, err := client.Gossip(ctx, g.note())
	if err != nil {
		return
	}
	g.hear(scheduler.HostID(reply.Host), scheduler.IncarnationID(reply.Incarnation), reply.Suspects)
	v := versioner.NewVersion(reply.ConfigVersion, reply.ConfigDigest)
	if err := g.fetch(ctx, id, v); err != nil {
		g.log.Warn("configuration not fetched", "from", id, "version", v.Number(), "error", err.Error())
	}
}

// note returns this host's newest knowledge.
func (g *Gossiper) note() *peerv1.GossipRequest {
	n := &peerv1.GossipRequest{
		Host:        string(g.tracker.Self().ID()),
		Incarnation: string(g.incarnation),
		Suspects:    g.suspects(),
	}
	if s := g.tracker.Config(); s != nil {
		n.ConfigVersion, n.ConfigDigest = s.Version().Number(), s.Version().Digest()
	}
	return n
}

// suspects returns the digests learnt of lately.
func (g *Gossiper) suspects() []*peerv1.Suspect {
	g.mu.Lock()
	o := g.owner
	g.mu.Unlock()
	if o == nil {
		return nil
	}
	return o.Suspects(time.Now().Add(-suspectWindow))
}

// hear takes a peer's knowledge.
func (g *Gossiper) hear(id scheduler.HostID, incarnation scheduler.IncarnationID, suspects []*peerv1.Suspect) {
	g.mu.Lock()
	if incarnation != "" {
		g.incarnations[id] = incarnation
	}
	o := g.owner
	g.mu.Unlock()
	if o != nil {
		o.RecordSuspects(suspects)
	}
}

// Incarnation returns the run of a host's process that was last heard of.
func (g *Gossiper) Incarnation(id scheduler.HostID) (scheduler.IncarnationID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.incarnations[id]
	return i, ok
}

// Gossip answers a peer that compares notes.
func (g *Gossiper) Gossip(ctx context.Context, req *peerv1.GossipRequest) (*peerv1.GossipReply, error) {
	if err := g.messenger.AuthorizePeer(ctx, req.Host); err != nil {
		return nil, err
	}
	id := scheduler.HostID(req.Host)
	g.hear(id, scheduler.IncarnationID(req.Incarnation), req.Suspects)
	g.mu.Lock()
	o := g.owner
	g.mu.Unlock()
	if o != nil {
		o.Shed(req.Shut)
	}
	if v := versioner.NewVersion(req.ConfigVersion, req.ConfigDigest); g.tracker.Wants(v) {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTime)
			defer cancel()
			if err := g.fetch(ctx, id, v); err != nil {
				g.log.Warn("configuration not fetched", "from", id, "version", v.Number(), "error", err.Error())
			}
		}()
	}
	n := g.note()
	return &peerv1.GossipReply{
		Host: n.Host, Incarnation: n.Incarnation,
		ConfigVersion: n.ConfigVersion, ConfigDigest: n.ConfigDigest, Suspects: n.Suspects,
	}, nil
}

// claim reports whether a version is to be fetched now, and not under way.
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

// fetch gets a version from a peer and puts it in force.
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
		return nil, eris.Errorf("peer %s sent no part %s", id, digest)
	})
}

// manifestOf returns the manifest of an answer, made out of the one in force
// where the answer tells only what has changed.
func manifestOf(reply *peerv1.FetchReply, old *tracker.Config) ([]byte, error) {
	if len(reply.Manifest) > 0 || old == nil {
		return reply.Manifest, nil
	}
	base, v, err := bundler.ReadManifest(old.Bundle().Manifest())
	if err != nil || v.Number() != reply.BaseVersion {
		return nil, eris.Errorf("changes since version %d, which is not in force", reply.BaseVersion)
	}
	changes := lo.MapEntries(reply.Changes, func(i uint32, digest string) (int, string) { return int(i), digest })
	return bundler.ApplyDelta(base, reply.Version, int(reply.PartCount), changes)
}

// Fetch answers a peer with the newest bundle, or with what has changed since
// the one it has.
func (g *Gossiper) Fetch(_ context.Context, req *peerv1.FetchRequest) (*peerv1.FetchReply, error) {
	s := g.tracker.Config()
	if s == nil {
		return nil, connect.NewError(connect.CodeNotFound, eris.New("no configuration in force"))
	}
	have := versioner.NewVersion(req.HaveVersion, req.HaveDigest)
	g.mu.Lock()
	base, known := lo.Find(g.former, func(b *bundler.Bundle) bool { return b.Version() == have })
	g.mu.Unlock()
	if !known {
		parts := lo.Map(s.Bundle().Digests(), func(d string, _ int) []byte { return s.Bundle().Part(d) })
		return &peerv1.FetchReply{Manifest: s.Bundle().Manifest(), Parts: parts}, nil
	}
	return changesSince(s.Bundle(), base)
}

// changesSince describes a bundle by a former one.
func changesSince(b, base *bundler.Bundle) (reply *peerv1.FetchReply, err error) {
	m, v, err := bundler.ReadManifest(b.Manifest())
	if err != nil {
		return nil, err
	}
	former, bv, err := bundler.ReadManifest(base.Manifest())
	if err != nil {
		return nil, err
	}
	reply = &peerv1.FetchReply{
		Version: v.Number(), BaseVersion: bv.Number(), PartCount: uint32(len(m.Parts)),
		Changes: make(map[uint32]string),
	}
	for i, digest := range bundler.Delta(m, former) {
		reply.Changes[uint32(i)] = digest
		if base.Part(digest) == nil {
			reply.Parts = append(reply.Parts, b.Part(digest))
		}
	}
	return reply, nil
}
