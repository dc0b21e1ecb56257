package linker

import (
	"context"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/detector"
)

const (
	// summaryTick is the time between two summaries to other coordinators.
	summaryTick = 150 * time.Millisecond
	// fetchTick is the time between two looks at what peers know.
	fetchTick = 200 * time.Millisecond
	// fetchTime bounds the fetch of a peer's snapshot.
	fetchTime = time.Second
	// storeStale is how long the store may be silent before peers are asked.
	storeStale = 2500 * time.Millisecond
)

// sendSummaries tells other coordinators what they need to know while this
// host is one.
func (l *Linker) sendSummaries(ctx context.Context) {
	tick := time.NewTicker(summaryTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v := l.view.Load()
		if !v.self {
			continue
		}
		ready := make(chan coordinator.Summary, 1)
		l.loop.do(ctx, func(now time.Time) { ready <- l.loop.coordinator.Summary(now) })
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

// fetchSnapshots takes over what a peer knows where this host can't read the
// store, or lags behind.
func (l *Linker) fetchSnapshots(ctx context.Context) {
	tick := time.NewTicker(fetchTick)
	defer tick.Stop()
	lagging := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		best, ok := l.ahead()
		if !ok {
			lagging = 0
			continue
		}
		lagging++
		known := l.directory.Loaded()
		if known && lagging < 2 {
			continue
		}
		l.fetch(ctx, best)
	}
}

// ahead returns the live member that knows more than this host, if the store
// does not tell this host itself.
func (l *Linker) ahead() (best detector.Member, ok bool) {
	version, revision := uint64(0), l.directory.Revision()
	if t := l.directory.Table(); t != nil {
		version = t.Version()
	}
	stale := !l.directory.Loaded() || l.directory.StoreStale(time.Now(), storeStale)
	for _, m := range l.Members() {
		if m.Status != detector.Alive {
			continue
		}
		news := m.Version > version || stale && m.Revision > revision
		if news && (!ok || m.Revision > best.Revision) {
			best, ok = m, true
		}
	}
	return best, ok
}

// fetch asks a member for its snapshot, which comes in by takeFeed.
func (l *Linker) fetch(ctx context.Context, m detector.Member) {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	k, err := l.link(ctx, m.Address)
	if err != nil {
		l.log.Info("snapshot not asked for", "member", m.ID, "error", err.Error())
		return
	}
	k.send(frame{Fetch: true})
}
