// Package shedder lets the owners of a pool refuse tiers from the lowest up.
//
// Each owner that comes under pressure at a tier asks all owners of the pool
// to shut the tiers below it, the lowest first. It may refuse the tier itself
// only once every owner it can reach has answered that those lower tiers are
// shut. A promise to keep tiers shut runs out by itself; the asker counts it
// from when it asked, the promiser from when it answered, so the asker never
// relies on a promise that has ended.
package shedder

import (
	"maps"
	"slices"
	"time"

	"foxtaillug.org/scheduler"
)

const (
	// DefaultHold is how long tiers stay shut after the last request.
	DefaultHold = 2 * time.Second
	// DefaultReach is how long a silent peer counts as reachable.
	DefaultReach = time.Second
)

// peer is what is known of another owner of the pool.
type peer struct {
	heard    time.Time
	promises []time.Time
}

// Ladder is one owner's view of the shut tiers of one pool. It is not safe
// for concurrent use.
type Ladder struct {
	tiers int
	hold  time.Duration
	reach time.Duration
	shut  []time.Time
	want  []time.Time
	peers map[scheduler.HostID]*peer
}

// Option sets a detail of a Ladder.
type Option func(*Ladder)

// WithHold sets how long tiers stay shut after the last request.
func WithHold(d time.Duration) Option {
	return func(l *Ladder) { l.hold = d }
}

// WithReach sets how long a silent peer counts as reachable.
func WithReach(d time.Duration) Option {
	return func(l *Ladder) { l.reach = d }
}

// New returns a ladder over tiers tiers, all open.
func New(tiers int, opts ...Option) *Ladder {
	l := &Ladder{
		tiers: tiers,
		hold:  DefaultHold,
		reach: DefaultReach,
		shut:  make([]time.Time, tiers),
		want:  make([]time.Time, tiers),
		peers: make(map[scheduler.HostID]*peer),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetPeers takes the other owners of the pool. A new one counts as reachable
// from now on.
func (l *Ladder) SetPeers(ids []scheduler.HostID, now time.Time) {
	peers := make(map[scheduler.HostID]*peer, len(ids))
	for _, id := range ids {
		p, ok := l.peers[id]
		if !ok {
			p = &peer{heard: now, promises: make([]time.Time, l.tiers)}
		}
		peers[id] = p
	}
	l.peers = peers
}

// Press notes that this owner cannot serve a tier in time. The lowest tier may
// be refused as it is; for another one the tiers below must be shut first.
func (l *Ladder) Press(tier scheduler.Tier, now time.Time) {
	if int(tier) < l.tiers {
		l.want[tier] = now.Add(l.hold)
	}
}

// pressed returns the highest tier that is under pressure.
func (l *Ladder) pressed(now time.Time) (scheduler.Tier, bool) {
	for t := range l.tiers {
		if now.Before(l.want[t]) {
			return scheduler.Tier(t), true
		}
	}
	return 0, false
}

// Request returns the highest tier that the peers should now be asked to
// shut, together with all below it, and for how long; ok is false when there
// is no need.
func (l *Ladder) Request(now time.Time) (from scheduler.Tier, hold time.Duration, ok bool) {
	top, ok := l.pressed(now)
	if !ok {
		return 0, 0, false
	}
	lowest := scheduler.Tier(l.tiers - 1)
	if top >= lowest {
		return 0, 0, false
	}
	from = lowest
	for from > top+1 && l.promised(from, now) {
		from--
	}
	l.close(from, now.Add(l.hold))
	return from, l.hold, true
}

// Asked takes a peer's request to shut tiers from one down, and carries it
// out.
func (l *Ladder) Asked(from scheduler.Tier, hold time.Duration, now time.Time) {
	l.close(from, now.Add(hold))
}

// close shuts tiers from one down until a time.
func (l *Ladder) close(from scheduler.Tier, until time.Time) {
	for t := max(int(from), 0); t < l.tiers; t++ {
		if l.shut[t].Before(until) {
			l.shut[t] = until
		}
	}
}

// Promised records a peer's answer to a request for tiers from one down that
// was sent at asked with a hold.
func (l *Ladder) Promised(id scheduler.HostID, from scheduler.Tier, hold time.Duration, asked, now time.Time) {
	p, ok := l.peers[id]
	if !ok {
		return
	}
	p.heard = now
	for t := max(int(from), 0); t < l.tiers; t++ {
		if until := asked.Add(hold); p.promises[t].Before(until) {
			p.promises[t] = until
		}
	}
}

// Heard notes a sign of life from a peer.
func (l *Ladder) Heard(id scheduler.HostID, now time.Time) {
	if p, ok := l.peers[id]; ok {
		p.heard = now
	}
}

// promised reports whether tiers from one down are shut here and at every
// peer that can be reached.
func (l *Ladder) promised(from scheduler.Tier, now time.Time) bool {
	for t := int(from); t < l.tiers; t++ {
		if !now.Before(l.shut[t]) {
			return false
		}
		for _, p := range l.peers {
			if now.Sub(p.heard) < l.reach && !now.Before(p.promises[t]) {
				return false
			}
		}
	}
	return true
}

// Permits reports whether a request of a tier may be refused for want of
// capacity: every tier below is shut at all owners that can be reached.
func (l *Ladder) Permits(tier scheduler.Tier, now time.Time) bool {
	return l.promised(tier+1, now)
}

// Shut reports whether a tier is refused here at the request of an owner
// that is under pressure at a higher one, and how long that still holds.
func (l *Ladder) Shut(tier scheduler.Tier, now time.Time) (left time.Duration, shut bool) {
	if int(tier) >= l.tiers || tier < 0 {
		return 0, false
	}
	left = l.shut[tier].Sub(now)
	return max(left, 0), left > 0
}

// Peers returns the other owners of the pool, sorted.
func (l *Ladder) Peers() []scheduler.HostID {
	return slices.Sorted(maps.Keys(l.peers))
}
