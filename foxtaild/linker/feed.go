package linker

import (
	"context"
	"maps"
	"slices"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/detector"
)

const (
	// feedTick is the time between two looks for changes to tell followers.
	feedTick = 60 * time.Millisecond
	// feedBeat is the time between two signs of health to followers.
	feedBeat = 400 * time.Millisecond
	// freshPart is the part of the time in which changes must be in force after
	// which a host that is told nothing reads the store itself.
	freshPart = 0.65
	// readers is the number of hosts of a failure domain that read the store.
	readers = 2
	// feedGrace is how long a host that has just started waits for its first
	// snapshot before it reads the store itself.
	feedGrace = 900 * time.Millisecond
	// settleTime is how long a host that has just started listens for others
	// before it believes that it is its domain's first.
	settleTime = 250 * time.Millisecond
)

// follower is a link whose entry is told of changes.
type follower struct {
	mark directory.Cursor
	// push queues a response, or reports that the link is busy.
	push func(response) bool
	beat time.Time
}

// ReadsStore reports whether this host is to read the store: the oldest members of
// a failure domain do, and tell the others. A host that is told
// nothing reads for itself.
func (l *Linker) ReadsStore(now time.Time) bool {
	age := now.Sub(l.started)
	if !l.settled(now) {
		return false
	}
	if l.view.Load().reads(l.settings.Address) {
		return true
	}
	return age > feedGrace && !l.directory.PeerSyncedWithin(now, l.fresh())
}

// fresh returns how old what this host is told may be.
func (l *Linker) fresh() time.Duration {
	return time.Duration(freshPart * float64(l.settings.UpdateDeadline))
}

// domainReaders returns the addresses of the hosts of a failure domain that
// read the store: its oldest live members.
func domainReaders(domain string, members []detector.Member) (addresses []string) {
	live := slices.DeleteFunc(slices.Clone(members), func(m detector.Member) bool {
		return m.Domain != domain || m.Status != detector.Alive || m.Leaving
	})
	slices.SortFunc(live, func(a, b detector.Member) int {
		if a.Older(b) {
			return -1
		}
		return 1
	})
	for _, m := range live[:min(readers, len(live))] {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// feed tells followers of changes until ctx ends.
func (l *Linker) feed(ctx context.Context) {
	tick := time.NewTicker(feedTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			l.feedAll(now)
		}
	}
}

// update is what followers at one mark are told.
type update struct {
	snapshot []byte
	next     directory.Cursor
}

// feedAll tells each follower what it has not been told. Followers that were
// told the same so far share one encoded update, as all of a failure domain
// may have started at once.
func (l *Linker) feedAll(now time.Time) {
	current := l.view.Load().reads(l.settings.Address)
	age := now.Sub(l.directory.LastStoreAnswer())
	updates := make(map[directory.Cursor]update)
	for _, f := range l.listFollowers() {
		u, known := updates[f.mark]
		if !known {
			u = l.update(f.mark, now)
			updates[f.mark] = u
		}
		switch {
		case u.snapshot != nil:
			if f.push(response{Snapshot: u.snapshot, Current: current, Age: age}) {
				f.mark, f.beat = u.next, now
			}
		case current && now.Sub(f.beat) >= feedBeat:
			if f.push(response{Current: true, Age: age}) {
				f.beat = now
			}
		}
	}
}

// update returns what a follower at a mark has not been told; its snapshot is
// nil if there is nothing.
func (l *Linker) update(m directory.Cursor, now time.Time) (u update) {
	s, next, ok := l.directory.Snapshot(m, now)
	if !ok {
		return u
	}
	b, err := encodeSnapshot(s)
	if err != nil {
		l.log.Error("followers not told", "error", err.Error())
		return u
	}
	return update{snapshot: b, next: next}
}

// listFollowers returns the links that are told of changes.
func (l *Linker) listFollowers() []*follower {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.followers))
}

// follow keeps this host told by the readers of its failure domain.
func (l *Linker) follow(ctx context.Context) {
	tick := time.NewTicker(feedTick)
	defer tick.Stop()
	followed := make(map[string]*link)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v := l.view.Load()
		if v.reads(l.settings.Address) {
			clear(followed)
			continue
		}
		for _, address := range v.readers {
			k, err := l.link(ctx, address)
			if err != nil || k == followed[address] {
				continue
			}
			followed[address] = k
			k.send(frame{Follow: true})
		}
	}
}

// takeFeed takes in what a peer tells.
func (l *Linker) takeFeed(r response) {
	now := time.Now()
	if r.Snapshot != nil {
		s, err := decodeSnapshot(r.Snapshot)
		if err == nil {
			err = l.directory.Adopt(s, now)
		}
		if err != nil {
			l.log.Error("snapshot refused", "error", err.Error())
			return
		}
	}
	if r.Current {
		l.directory.RecordPeerSync(now.Add(-r.Age))
	}
}
