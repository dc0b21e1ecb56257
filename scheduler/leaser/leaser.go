// Package leaser decides how many slots of an upstream this host may use,
// without consensus and without persistent state.
//
// The slots of an upstream are divided into shares among its replicas, the
// hosts that rank highest for it. A replica may lease its share to another
// replica for a limited time; whoever holds a share may use its slots. A host
// that holds every share has the whole upstream. A host that is partitioned
// keeps its own share, so both sides of a partition together never exceed the
// limit.
//
// Three rules keep this safe although host lists are seen late and differ
// between hosts:
//
//   - A share shrinks as soon as a host list says so, but grows only after the
//     settling time, which is longer than the lag and a lease together: the
//     smallest share over all lists seen within that time counts.
//   - A process that starts does not know which leases it has granted, so it
//     has no share until the settling time has passed.
//   - A lease expires at the lessee before it expires at the lessor: the lessee
//     counts from when it sent the request, the lessor from when it replied.
package leaser

import (
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/placer"
)

const (
	// DefaultTTL is how long a lease lasts.
	DefaultTTL = 2 * time.Second
	// DefaultLag is the maximum delay with which a change of the host list may
	// be seen.
	DefaultLag = 3 * time.Second
	// driftMargin is added by the lessor to allow for clock drift.
	driftMargin = 100 * time.Millisecond
)

// Share is one of the parts that the slots of an upstream are divided into,
// identified by the rank of the replica that it belongs to.
type Share struct {
	rank  int
	parts int
}

// NewShare returns the share of the replica at rank out of parts.
func NewShare(rank, parts int) Share {
	return Share{rank: rank, parts: parts}
}

// Rank returns the rank of the replica; 0 is the owner.
func (s Share) Rank() int { return s.rank }

// Parts returns the number of shares the slots are divided into; 0 means an
// empty share.
func (s Share) Parts() int { return s.parts }

// Slots returns how many of limit slots belong to the share. The remainder of the
// division goes to the first ranks, so the shares of one shard map sum to limit.
func (s Share) Slots(limit int) int {
	if s.parts <= 0 || s.rank < 0 || s.rank >= s.parts || limit <= 0 {
		return 0
	}
	n := limit / s.parts
	if s.rank < limit%s.parts {
		n++
	}
	return n
}

// MinSlots returns the smallest number of slots, out of limit, that any of the
// shares allows.
func MinSlots(shares []Share, limit int) int {
	if len(shares) == 0 {
		return 0
	}
	n := limit
	for _, s := range shares {
		n = min(n, s.Slots(limit))
	}
	return n
}

// versionedMap is a shard map of the region and when a newer one replaced it.
type versionedMap struct {
	shardMap placer.ShardMap
	replaced time.Time
}

// lease is a lease of this host's share to another host.
type lease struct {
	lessee scheduler.HostID
	until  time.Time
}

// heldLease is a lease that this host holds. Field since is when the current
// unbroken sequence of leases began.
type heldLease struct {
	shares []Share
	since  time.Time
	until  time.Time
}

// upstreamLeases is the lease state of one upstream. Field ownSince is when
// this host's own share became usable again, or will: at the end of a lease.
type upstreamLeases struct {
	leased   lease
	ownSince time.Time
	held     map[scheduler.HostID]heldLease
}

// Leaser tracks the leases of one host. It is not safe for concurrent use.
type Leaser struct {
	self      scheduler.HostID
	ttl       time.Duration
	lag       time.Duration
	started   time.Time
	shardMaps []versionedMap
	upstreams map[scheduler.UpstreamID]*upstreamLeases
}

// Option configures a Leaser.
type Option func(*Leaser)

// WithTTL sets how long a lease lasts.
func WithTTL(d time.Duration) Option {
	return func(l *Leaser) { l.ttl = d }
}

// WithLag sets the maximum delay with which a change of the host list may be
// seen.
func WithLag(d time.Duration) Option {
	return func(l *Leaser) { l.lag = d }
}

// New returns the leaser of a process that started now.
func New(self scheduler.HostID, now time.Time, opts ...Option) *Leaser {
	l := &Leaser{
		self:      self,
		ttl:       DefaultTTL,
		lag:       DefaultLag,
		started:   now,
		upstreams: make(map[scheduler.UpstreamID]*upstreamLeases),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// TTL returns how long a lease lasts.
func (l *Leaser) TTL() time.Duration { return l.ttl }

// SettlingTime returns how long a share takes to grow after the shard map
// changed, and how long a process waits after its start before it uses its
// shares.
func (l *Leaser) SettlingTime() time.Duration {
	return l.lag + l.ttl + 2*driftMargin
}

// SetShardMap sets the newest shard map of the region.
func (l *Leaser) SetShardMap(m placer.ShardMap, now time.Time) {
	if n := len(l.shardMaps); n > 0 {
		if l.shardMaps[n-1].shardMap.Equal(m) {
			return
		}
		l.shardMaps[n-1].replaced = now
	}
	l.shardMaps = append(l.shardMaps, versionedMap{shardMap: m})
	l.prune(now)
}

// prune removes shard maps that were replaced longer ago than the settling
// time.
func (l *Leaser) prune(now time.Time) {
	kept := l.shardMaps[:0]
	for i, m := range l.shardMaps {
		if i == len(l.shardMaps)-1 || now.Sub(m.replaced) < l.SettlingTime() {
			kept = append(kept, m)
		}
	}
	l.shardMaps = kept
}

// Replicas returns the hosts that share an upstream on the newest shard map, by
// rank.
func (l *Leaser) Replicas(upstream scheduler.UpstreamID) []scheduler.HostID {
	if len(l.shardMaps) == 0 {
		return nil
	}
	return l.shardMaps[len(l.shardMaps)-1].shardMap.Replicas(upstream)
}

// ownShares returns this host's share on every shard map that still counts, or
// nil until the settling time has passed since the start of the process.
func (l *Leaser) ownShares(upstream scheduler.UpstreamID, now time.Time) []Share {
	if now.Sub(l.started) < l.SettlingTime() {
		return nil
	}
	l.prune(now)
	shares := make([]Share, 0, len(l.shardMaps))
	for _, m := range l.shardMaps {
		shares = append(shares, shareOn(m.shardMap, upstream, l.self))
	}
	return shares
}

// shareOn returns a host's share of an upstream on one shard map.
func shareOn(m placer.ShardMap, upstream scheduler.UpstreamID, self scheduler.HostID) Share {
	replicas := m.Replicas(upstream)
	for i, id := range replicas {
		if id == self {
			return Share{rank: i, parts: len(replicas)}
		}
	}
	return Share{}
}

// upstreamLeases returns the lease state of an upstream, creating it on first
// use.
func (l *Leaser) upstreamLeases(upstream scheduler.UpstreamID) *upstreamLeases {
	u, ok := l.upstreams[upstream]
	if !ok {
		u = &upstreamLeases{held: make(map[scheduler.HostID]heldLease)}
		l.upstreams[upstream] = u
	}
	return u
}

// Lease leases this host's share to a replica that ranks above it. The returned
// shares, one for each shard map that still counts, are valid for TTL from when
// the lessee sent its request. Requests that this host still has on the upstream
// show up in the load reports that the lessee waits for.
func (l *Leaser) Lease(upstream scheduler.UpstreamID, lessee scheduler.HostID, now time.Time) (shares []Share, leased bool) {
	if lessee == l.self {
		return nil, false
	}
	shares = l.ownShares(upstream, now)
	if len(shares) == 0 {
		return nil, false
	}
	u := l.upstreamLeases(upstream)
	if now.Before(u.leased.until) && u.leased.lessee != lessee {
		return nil, false
	}
	if !l.ranksAbove(upstream, lessee) {
		return nil, false
	}
	u.leased = lease{lessee: lessee, until: now.Add(l.ttl + driftMargin)}
	u.ownSince = u.leased.until
	return shares, true
}

// Leased reports whether this host's share of an upstream is leased to another
// host.
func (l *Leaser) Leased(upstream scheduler.UpstreamID, now time.Time) bool {
	return now.Before(l.upstreamLeases(upstream).leased.until)
}

// ranksAbove reports whether the lessee ranks above this host for the upstream.
func (l *Leaser) ranksAbove(upstream scheduler.UpstreamID, lessee scheduler.HostID) bool {
	for _, id := range l.Replicas(upstream) {
		if id == lessee {
			return true
		}
		if id == l.self {
			return false
		}
	}
	return false
}

// Lessors returns the replicas that this host should request leases from: all
// that rank below it. A host other than the owner requests leases only once its
// own share has been usable for TTL, which means that no replica above it has
// leased that share meanwhile.
func (l *Leaser) Lessors(upstream scheduler.UpstreamID, now time.Time) []scheduler.HostID {
	u := l.upstreamLeases(upstream)
	replicas := l.Replicas(upstream)
	for i, id := range replicas {
		if id != l.self {
			continue
		}
		if i > 0 && now.Sub(l.ownsSince(u)) < l.ttl {
			return nil
		}
		return replicas[i+1:]
	}
	return nil
}

// RecordLease records a lessor's reply to a lease request. The request was sent
// at sent, and the reply was read at now.
func (l *Leaser) RecordLease(upstream scheduler.UpstreamID, lessor scheduler.HostID, shares []Share, sent, now time.Time) {
	u := l.upstreamLeases(upstream)
	old, ok := u.held[lessor]
	since := now
	if ok && sent.Before(old.until) && now.Before(old.until) {
		since = old.since
	}
	u.held[lessor] = heldLease{shares: shares, since: since, until: sent.Add(l.ttl)}
}

// Slots returns how many of limit slots this host may use on the upstream, and
// until when at most. Only shares held since before verifiedUntil count: requests
// that an earlier holder left running are visible only in load reports that are
// newer than the share.
func (l *Leaser) Slots(upstream scheduler.UpstreamID, limit int, verifiedUntil, now time.Time) (n int, until time.Time) {
	until = now.Add(l.ttl)
	u := l.upstreamLeases(upstream)
	if l.ownsSince(u).Before(verifiedUntil) {
		n = MinSlots(l.ownShares(upstream, now), limit)
	}
	for _, lessor := range l.Replicas(upstream) {
		hl, ok := u.held[lessor]
		if !ok || !now.Before(hl.until) || !hl.since.Before(verifiedUntil) {
			continue
		}
		n += MinSlots(hl.shares, limit)
		if hl.until.Before(until) {
			until = hl.until
		}
	}
	return n, until
}

// ownsSince returns when this host's own share last became usable.
func (l *Leaser) ownsSince(u *upstreamLeases) time.Time {
	settled := l.started.Add(l.SettlingTime())
	if u.ownSince.After(settled) {
		return u.ownSince
	}
	return settled
}

// LastGrowth returns when this host last gained a share of the upstream that
// still counts, either by a lease or by the end of one.
func (l *Leaser) LastGrowth(upstream scheduler.UpstreamID, now time.Time) time.Time {
	u := l.upstreamLeases(upstream)
	last := l.ownsSince(u)
	for _, hl := range u.held {
		if now.Before(hl.until) && hl.since.After(last) {
			last = hl.since
		}
	}
	return last
}

// Release drops all leases held on an upstream, for a planned stop, and returns
// the lessors to notify.
func (l *Leaser) Release(upstream scheduler.UpstreamID) (lessors []scheduler.HostID) {
	u := l.upstreamLeases(upstream)
	for _, lessor := range l.Replicas(upstream) {
		if _, ok := u.held[lessor]; ok {
			lessors = append(lessors, lessor)
		}
	}
	clear(u.held)
	return lessors
}

// Return ends a lease early because the lessee returned it.
func (l *Leaser) Return(upstream scheduler.UpstreamID, lessee scheduler.HostID, now time.Time) {
	u := l.upstreamLeases(upstream)
	if u.leased.lessee == lessee && now.Before(u.leased.until) {
		u.leased = lease{}
		u.ownSince = now
	}
}
