package linker

import (
	"context"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/detector"
)

const (
	// summaryInterval is the time between two summaries to other coordinators.
	summaryInterval = 150 * time.Millisecond
	// coordinatorCheckInterval is the time between two checks whether this host has become
	// a coordinator, which then sends summaries.
	coordinatorCheckInterval = 300 * time.Millisecond
	// fetchInterval is the time between two comparisons with the configuration
	// versions and store revisions of the peers.
	fetchInterval = 200 * time.Millisecond
	// fetchTimeout bounds the time to connect to a peer for its snapshot.
	fetchTimeout = time.Second
	// storeStaleRatio is the fraction of the update deadline after the store's last response
	// after which a peer's snapshot is fetched. The store holds a reader's call for up to 0.4.
	storeStaleRatio = 0.5
)

// sendSummaries sends summaries to the coordinators of other failure domains
// while this host is a coordinator.
func (l *Linker) sendSummaries(ctx context.Context) {
	timer := time.NewTimer(summaryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		v := l.view.Load()
		if !v.coordinating {
			timer.Reset(coordinatorCheckInterval)
			continue
		}
		timer.Reset(summaryInterval)
		ready := make(chan coordinator.Summary, 1)
		l.loop.enqueue(ctx, func(now time.Time) { ready <- l.loop.coordinator.Summary(now) })
		select {
		case <-ctx.Done():
			return
		case s := <-ready:
			for domain, address := range v.coordinators {
				if domain == l.settings.Domain {
					continue
				}
				go func() {
					if k, err := l.link(ctx, address); err == nil {
						k.send(frame{Summary: &s})
					}
				}()
			}
		}
	}
}

// fetchSnapshots fetches a peer's snapshot while this host can't read the store
// or lags behind. A host whose directory is loaded does so only if two
// comparisons in a row find a peer that is ahead.
func (l *Linker) fetchSnapshots(ctx context.Context) {
	tick := time.NewTicker(fetchInterval)
	defer tick.Stop()
	lagging := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		best, ok := l.mostCurrentPeer()
		if !ok {
			lagging = 0
			continue
		}
		lagging++
		loaded := l.directory.Loaded()
		if loaded && lagging < 2 {
			continue
		}
		l.fetch(ctx, best)
	}
}

// currentPeer is a live member that this host should fetch the directory from, if ok is set.
type currentPeer struct {
	detector.Member
	ok bool
}

// mostCurrentPeer returns the live member that has read the store furthest among
// those that have a newer configuration than this host or, if the store does not
// respond to this host, a later position.
func (l *Linker) mostCurrentPeer() (detector.Member, bool) {
	p := l.current.Load()
	if p == nil || !p.ok || !l.lagsBehind(p.Member) {
		return detector.Member{}, false
	}
	return p.Member, true
}

// lagsBehind reports whether a member has a newer configuration than this host or, if the store
// does not respond to this host, a later position.
func (l *Linker) lagsBehind(m detector.Member) bool {
	version, _ := l.directory.Configuration()
	if m.Version > version {
		return true
	}
	at := l.directory.Position()
	staleAfter := time.Duration(storeStaleRatio * float64(l.settings.UpdateDeadline))
	return m.ComparePosition(detector.Member{Era: at.Era, Revision: at.Revision}) > 0 &&
		(!l.directory.Loaded() || l.directory.StoreStale(time.Now(), staleAfter))
}

// comparePeers looks for the most current member, once per fetchInterval. Only the goroutine
// that owns the detector may call it.
func (l *Linker) comparePeers(now time.Time) {
	if now.Sub(l.comparedAt) < fetchInterval {
		return
	}
	l.comparedAt = now
	best, newest, ok := l.detector.MostCurrent(l.lagsBehind)
	l.current.Store(&currentPeer{best, ok})
	l.announced.Store(newest)
}

// Behind reports whether another host has a newer configuration than this one, as far as this
// host knows.
func (l *Linker) Behind() bool {
	version, _ := l.directory.Configuration()
	return l.announced.Load() > version
}

// fetch requests the snapshot of a member; receiveUpdate gets the response.
func (l *Linker) fetch(ctx context.Context, m detector.Member) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	k, err := l.link(ctx, m.Address)
	if err != nil {
		l.log.Info("can't request snapshot", "member", m.ID, "error", err.Error())
		return
	}
	k.send(l.withConfiguration(frame{Fetch: true}))
}

// withConfiguration returns a frame that asks for the directory with the configuration that
// this host has, so that only what has changed since is sent.
func (l *Linker) withConfiguration(f frame) frame {
	f.Deltas = true
	f.Version, f.Digest = l.directory.Configuration()
	return f
}
