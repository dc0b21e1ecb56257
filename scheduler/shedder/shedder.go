// Package shedder lets the owners of a pool shed tiers from the lowest up.
//
// An owner that is overloaded at a tier requests all owners of the pool to shed
// the tiers below it, the lowest first. It may shed the tier itself only once
// every owner it can reach has confirmed that it sheds those lower tiers. Such
// a confirmation expires by itself; the requester counts from when it sent the
// request, the peer from when it replied, so the requester never relies on a
// confirmation that has expired.
package shedder

import (
	"maps"
	"slices"
	"time"

	"foxtaillug.org/scheduler"
)

const (
	// DefaultHold is how long tiers stay shed after the last shed request.
	DefaultHold = 2 * time.Second
	// DefaultPeerTimeout is how long a peer counts as reachable after its last
	// message.
	DefaultPeerTimeout = time.Second
)

// peer is the state of another owner of the pool. Field shedUntil holds, per
// tier, until when the peer has confirmed to shed it.
type peer struct {
	lastSeen  time.Time
	shedUntil []time.Time
}

// Shedder is one owner's view of the shed tiers of one pool. It is not safe for
// concurrent use.
type Shedder struct {
	tiers           int
	hold            time.Duration
	peerTimeout     time.Duration
	shedUntil       []time.Time
	overloadedUntil []time.Time
	peers           map[scheduler.HostID]*peer
}

// Option configures a Shedder.
type Option func(*Shedder)

// WithHold sets how long tiers stay shed after the last shed request.
func WithHold(d time.Duration) Option {
	return func(s *Shedder) { s.hold = d }
}

// WithPeerTimeout sets how long a peer counts as reachable after its last
// message.
func WithPeerTimeout(d time.Duration) Option {
	return func(s *Shedder) { s.peerTimeout = d }
}

// New returns a shedder for the given number of tiers that sheds none of them.
func New(tiers int, opts ...Option) *Shedder {
	s := &Shedder{
		tiers:           tiers,
		hold:            DefaultHold,
		peerTimeout:     DefaultPeerTimeout,
		shedUntil:       make([]time.Time, tiers),
		overloadedUntil: make([]time.Time, tiers),
		peers:           make(map[scheduler.HostID]*peer),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetPeers sets the other owners of the pool. A new peer counts as just seen.
func (s *Shedder) SetPeers(ids []scheduler.HostID, now time.Time) {
	peers := make(map[scheduler.HostID]*peer, len(ids))
	for _, id := range ids {
		p, ok := s.peers[id]
		if !ok {
			p = &peer{lastSeen: now, shedUntil: make([]time.Time, s.tiers)}
		}
		peers[id] = p
	}
	s.peers = peers
}

// ReportOverload records that this owner cannot serve a tier in time. The
// lowest tier may be shed right away; before any other, the tiers below it must
// be shed.
func (s *Shedder) ReportOverload(tier scheduler.Tier, now time.Time) {
	if int(tier) < s.tiers {
		s.overloadedUntil[tier] = now.Add(s.hold)
	}
}

// highestOverloaded returns the highest overloaded tier, or false if there is
// none.
func (s *Shedder) highestOverloaded(now time.Time) (scheduler.Tier, bool) {
	for t := range s.tiers {
		if now.Before(s.overloadedUntil[t]) {
			return scheduler.Tier(t), true
		}
	}
	return 0, false
}

// NextRequest returns the request to send to the peers now: to shed tier from
// and all lower tiers for hold. It also sheds those tiers here. It returns
// false if no request is needed.
func (s *Shedder) NextRequest(now time.Time) (from scheduler.Tier, hold time.Duration, ok bool) {
	top, ok := s.highestOverloaded(now)
	if !ok {
		return 0, 0, false
	}
	lowest := scheduler.Tier(s.tiers - 1)
	if top >= lowest {
		return 0, 0, false
	}
	from = lowest
	for from > top+1 && s.allShed(from, now) {
		from--
	}
	s.shedFrom(from, now.Add(s.hold))
	return from, s.hold, true
}

// Shed sheds a tier and all tiers below it at the request of a peer.
func (s *Shedder) Shed(from scheduler.Tier, hold time.Duration, now time.Time) {
	s.shedFrom(from, now.Add(hold))
}

// shedFrom sheds a tier and all tiers below it until the given time.
func (s *Shedder) shedFrom(from scheduler.Tier, until time.Time) {
	for t := max(int(from), 0); t < s.tiers; t++ {
		if s.shedUntil[t].Before(until) {
			s.shedUntil[t] = until
		}
	}
}

// RecordShed records a peer's confirmation that it sheds a tier and all tiers
// below it for hold, counted from when the request was sent.
func (s *Shedder) RecordShed(id scheduler.HostID, from scheduler.Tier, hold time.Duration, sent, now time.Time) {
	p, ok := s.peers[id]
	if !ok {
		return
	}
	p.lastSeen = now
	for t := max(int(from), 0); t < s.tiers; t++ {
		if until := sent.Add(hold); p.shedUntil[t].Before(until) {
			p.shedUntil[t] = until
		}
	}
}

// MarkAlive records that a peer was seen now.
func (s *Shedder) MarkAlive(id scheduler.HostID, now time.Time) {
	if p, ok := s.peers[id]; ok {
		p.lastSeen = now
	}
}

// allShed reports whether a tier and all tiers below it are shed here and at
// every reachable peer.
func (s *Shedder) allShed(from scheduler.Tier, now time.Time) bool {
	for t := int(from); t < s.tiers; t++ {
		if !now.Before(s.shedUntil[t]) {
			return false
		}
		for _, p := range s.peers {
			if now.Sub(p.lastSeen) < s.peerTimeout && !now.Before(p.shedUntil[t]) {
				return false
			}
		}
	}
	return true
}

// MayShed reports whether requests of a tier may be refused for lack of
// capacity: every lower tier is shed at all reachable owners.
func (s *Shedder) MayShed(tier scheduler.Tier, now time.Time) bool {
	return s.allShed(tier+1, now)
}

// Shedding reports whether a tier is shed here because an owner is overloaded
// at a higher one, and for how much longer.
func (s *Shedder) Shedding(tier scheduler.Tier, now time.Time) (left time.Duration, shedding bool) {
	if int(tier) >= s.tiers || tier < 0 {
		return 0, false
	}
	left = s.shedUntil[tier].Sub(now)
	return max(left, 0), left > 0
}

// Peers returns the other owners of the pool, sorted.
func (s *Shedder) Peers() []scheduler.HostID {
	return slices.Sorted(maps.Keys(s.peers))
}
