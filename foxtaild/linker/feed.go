package linker

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/detector"
	"foxtaillug.org/scheduler/router"
)

const (
	// feedInterval is the time between two checks for changes to send to
	// followers.
	feedInterval = 60 * time.Millisecond
	// followInterval is the time between two checks of which hosts feed this one, once its
	// directory is loaded. Until then it is feedInterval.
	followInterval = 240 * time.Millisecond
	// feedHeartbeat is the time after the last update to a follower at which a
	// heartbeat is sent.
	feedHeartbeat = 400 * time.Millisecond
	// maxFeedAgeRatio is the fraction of the update deadline after which a host
	// that receives no updates reads the store itself.
	maxFeedAgeRatio = 0.65
	// readersEach is the number of hosts of a region that read the store, and of hosts of a
	// failure domain that are fed by those and feed the others.
	readersEach = 2
	// firstSnapshotTimeout is how long a host that has just started waits for
	// its first snapshot before it reads the store itself. If the failure domain has
	// readers, up to firstReadSpread more for each of its live hosts is added, so that
	// hosts which start together don't all read at once.
	firstSnapshotTimeout = 900 * time.Millisecond
	firstReadSpread      = 250 * time.Millisecond
	// settleTime is how long a host that has just started listens for others
	// before it may conclude that it is the oldest of its failure domain.
	settleTime = 250 * time.Millisecond
)

// follower is an incoming link whose host receives directory changes.
type follower struct {
	cursor directory.Cursor
	// push queues a response; it returns false if earlier ones are still queued.
	push     func(response) bool
	lastSent time.Time
	// synced is the time up to which the host has been told that it has everything.
	synced time.Time
	// mark is the host's last mark; nil if it has sent none.
	mark atomic.Pointer[receivedMark]
}

// receivedMark is a mark of a follower and the time of its arrival.
type receivedMark struct {
	n  uint64
	at time.Time
}

// addMark adds the follower's last mark to a response that says up to which time the follower
// has everything.
func (f *follower) addMark(r response, synced time.Time) response {
	if m := f.mark.Load(); m != nil {
		r.Mark, r.SyncedAfter = m.n, synced.Sub(m.at)
	}
	return r
}

// ReadsStore reports whether this host is to read the store. The oldest members of a
// region read it and send updates to the readers of its failure domains, which send them
// on: what is read crosses a link between regions once for each, however many hosts there
// are. A host that receives no updates reads the store itself.
func (l *Linker) ReadsStore(now time.Time) bool {
	age := now.Sub(l.started)
	if !l.settled(now) {
		return false
	}
	v := l.view.Load()
	if v.readsStore(l.settings.Address) {
		return true
	}
	wait := firstSnapshotTimeout
	if !l.directory.Loaded() && !v.isReader(l.settings.Address) {
		wait += l.firstReadDelay()
	}
	return age > wait && !l.directory.PeerSyncedWithin(now, l.maxFeedAge())
}

// firstReadDelay returns how much longer than firstSnapshotTimeout this host waits for
// its first snapshot. It depends on the host's name.
func (l *Linker) firstReadDelay() time.Duration {
	live := 0
	for _, m := range l.view.Load().members {
		if m.Domain == l.settings.Domain && m.Status == detector.Alive {
			live++
		}
	}
	return time.Duration(xxhash.Sum64String(l.settings.Host) % uint64(time.Duration(live)*firstReadSpread+1))
}

// maxFeedAge returns the maximum age of the updates from peers.
func (l *Linker) maxFeedAge() time.Duration {
	return time.Duration(maxFeedAgeRatio * float64(l.settings.UpdateDeadline))
}

// readersAmong returns the addresses of the readers among members that meet a condition: the
// oldest that are alive and not leaving.
func readersAmong(members []detector.Member, condition func(detector.Member) bool) (addresses []string) {
	live := slices.DeleteFunc(slices.Clone(members), func(m detector.Member) bool {
		return !condition(m) || m.Status != detector.Alive || m.Leaving
	})
	slices.SortFunc(live, func(a, b detector.Member) int {
		if a.Older(b) {
			return -1
		}
		return 1
	})
	for _, m := range live[:min(readersEach, len(live))] {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// feedFollowers sends changes to followers until ctx is done. It waits while there are none.
func (l *Linker) feedFollowers(ctx context.Context) {
	tick := time.NewTicker(feedInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			l.updateFollowers(now)
		}
		if len(l.listFollowers()) > 0 {
			continue
		}
		tick.Stop()
		select {
		case <-ctx.Done():
			return
		case <-l.followed:
			tick.Reset(feedInterval)
		}
	}
}

// update is the encoded update for all followers at one cursor.
type update struct {
	snapshot []byte
	// next is the cursor of a follower that has received the update.
	next directory.Cursor
}

// updateFollowers sends each follower the changes that it has not received.
// Followers at the same cursor share one encoded update, because all hosts of a
// failure domain may have started at once.
func (l *Linker) updateFollowers(now time.Time) {
	v := l.view.Load()
	reads := v.readsStore(l.settings.Address)
	current := reads || v.isReader(l.settings.Address)
	synced := l.directory.LastStoreResponse()
	age := now.Sub(synced)
	updates := make(map[directory.Cursor]update)
	for _, f := range l.listFollowers() {
		u, known := updates[f.cursor]
		if !known {
			u = l.encodeUpdate(f.cursor, now)
			updates[f.cursor] = u
		}
		switch {
		case u.snapshot != nil:
			if f.push(f.addMark(response{Snapshot: u.snapshot, Current: current, Age: age}, synced)) {
				f.cursor, f.lastSent, f.synced = u.next, now, synced
			}
		case current && (now.Sub(f.lastSent) >= feedHeartbeat || !reads && synced.After(f.synced)):
			// What a reader has been told is sent on at once, as its age adds up.
			if f.push(f.addMark(response{Current: true, Age: age}, synced)) {
				f.lastSent, f.synced = now, synced
			}
		}
	}
}

// encodeUpdate returns the update for a peer at a cursor; its snapshot is nil if
// nothing has changed.
func (l *Linker) encodeUpdate(c directory.Cursor, now time.Time) (u update) {
	s, next, ok := l.directory.Snapshot(c, now)
	if !ok {
		return u
	}
	b, err := encodeSnapshot(s)
	if err != nil {
		l.log.Error("can't encode directory update", "error", err.Error())
		return u
	}
	return update{snapshot: b, next: next}
}

// listFollowers returns the links that receive directory changes.
func (l *Linker) listFollowers() []*follower {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.followers))
}

// followReaders subscribes to the hosts that feed this one until ctx is done, and again
// whenever they or the links to them change.
func (l *Linker) followReaders(ctx context.Context) {
	timer := time.NewTimer(feedInterval)
	defer timer.Stop()
	followed := make(map[string]*link)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(feedInterval)
		if l.directory.Loaded() {
			timer.Reset(followInterval)
		}
		for _, address := range l.view.Load().sources(l.settings.Address) {
			k, err := l.link(ctx, address)
			if err != nil || k == followed[address] {
				continue
			}
			followed[address] = k
			l.follow(k)
		}
	}
}

// follow subscribes to the directory of the peer of a link.
func (l *Linker) follow(k *link) {
	k.send(l.withConfiguration(frame{Follow: true, Mark: k.marks.next(time.Now())}))
}

// receiveUpdate applies an update of the directory or of upstreams' limits from the peer of a
// link. It asks for the whole directory if the update does not apply to what this host has.
func (l *Linker) receiveUpdate(k *link, r response) {
	now := time.Now()
	if len(r.Observed) > 0 {
		l.loop.enqueue(l.ctx, func(now time.Time) { l.loop.observe("coordinator", r.Observed, now) })
	}
	l.receiveEjected(r.Ejected)
	l.holdShares(r.Shares)
	if r.Snapshot != nil {
		s, err := decodeSnapshot(r.Snapshot)
		if err == nil {
			err = l.directory.Adopt(s, now)
		}
		if errors.Is(err, router.ErrOtherBase) {
			l.log.Info("peer's changes of the configuration are relative to another one", "peer", k.address, "error", err.Error())
			k.send(l.withConfiguration(frame{Fetch: true}))
			return
		}
		if err != nil {
			l.log.Error("peer snapshot rejected", "error", err.Error())
			return
		}
	}
	if r.Current {
		l.recordSync(k, r, now)
	}
}

// recordSync records up to which time the peer of a link has sent this host everything, and
// marks the time anew if the last mark is old.
func (l *Linker) recordSync(k *link, r response, now time.Time) {
	at := now.Add(-r.Age)
	if r.Mark != 0 {
		marked, known := k.marks.time(r.Mark)
		if !known {
			return
		}
		at = marked.Add(r.SyncedAfter)
		if at.After(now) {
			// This host's clock has stood still since the mark.
			at = now
		}
		if k.marks.due(r.Mark, now) {
			k.send(frame{Mark: k.marks.next(now)})
		}
	}
	l.directory.RecordPeerSync(at)
}
