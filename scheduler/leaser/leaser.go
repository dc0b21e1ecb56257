// Package leaser decides how many slots of an upstream this host may hand
// out, without consensus and without anything that lasts.
//
// The slots of an upstream are divided into shares among its guardians, the
// hosts that rank highest for it. A guardian may lend its share to another
// guardian for a while; whoever holds a share may use it. A host that has
// borrowed every share has the whole upstream; one that is cut off keeps its
// own share, so the parts of a partition together never exceed the limit.
//
// Three rules make this safe although host lists lag and differ:
//
//   - a share shrinks the moment a list says so, but grows only after the
//     settling time, which is longer than the lag and any loan together: the
//     smallest share over all lists seen within that time counts;
//   - a process that starts has forgotten what it lent, so it has no share
//     until the settling time has passed;
//   - a loan ends at the borrower before it ends at the lender: the borrower
//     counts from when it asked, the lender from when it answered.
package leaser

import (
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/placer"
)

const (
	// DefaultLoan is how long a lent share stays lent.
	DefaultLoan = 2 * time.Second
	// DefaultLag bounds how late a change of the host list may be seen.
	DefaultLag = 3 * time.Second
	// driftMargin is added by the lender for clocks that run unevenly.
	driftMargin = 100 * time.Millisecond
)

// Share is a guardian's position among the parts of an upstream's slots.
type Share struct {
	rank  int
	parts int
}

// NewShare returns the share of the guardian at rank out of parts.
func NewShare(rank, parts int) Share {
	return Share{rank: rank, parts: parts}
}

// Rank returns the guardian's position; 0 is the owner.
func (s Share) Rank() int { return s.rank }

// Parts returns among how many the slots are divided; 0 is an empty share.
func (s Share) Parts() int { return s.parts }

// Slots returns how many of limit slots the share stands for. The remainder
// goes to the lowest ranks, so the shares of one list sum to limit.
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

// Smallest returns how many of limit slots every one of shares allows.
func Smallest(shares []Share, limit int) int {
	if len(shares) == 0 {
		return 0
	}
	n := limit
	for _, s := range shares {
		n = min(n, s.Slots(limit))
	}
	return n
}

// listing is one division of the region and when it stopped being the newest.
type listing struct {
	territory placer.ShardMap
	retired   time.Time
}

// loan is a share that this host has lent.
type loan struct {
	borrower scheduler.HostID
	until    time.Time
}

// credit is a share that this host has borrowed. Since is when the present
// unbroken run of loans began.
type credit struct {
	shares []Share
	since  time.Time
	until  time.Time
}

// holding is what this host knows of one upstream. OwnSince is when this
// host's own share became usable again, or will: at the end of a loan.
type holding struct {
	lent     loan
	ownSince time.Time
	borrowed map[scheduler.HostID]credit
}

// Leaser keeps one host's loans. It is not safe for concurrent use.
type Leaser struct {
	self     scheduler.HostID
	loan     time.Duration
	lag      time.Duration
	started  time.Time
	lists    []listing
	holdings map[scheduler.UpstreamID]*holding
}

// Option sets a detail of a Leaser.
type Option func(*Leaser)

// WithTTL sets how long a lent share stays lent.
func WithTTL(d time.Duration) Option {
	return func(l *Leaser) { l.loan = d }
}

// WithLag sets how late a change of the host list may be seen.
func WithLag(d time.Duration) Option {
	return func(l *Leaser) { l.lag = d }
}

// New returns the leaser of a process that started now.
func New(self scheduler.HostID, now time.Time, opts ...Option) *Leaser {
	l := &Leaser{
		self:     self,
		loan:     DefaultLoan,
		lag:      DefaultLag,
		started:  now,
		holdings: make(map[scheduler.UpstreamID]*holding),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Loan returns how long a lent share stays lent.
func (l *Leaser) Loan() time.Duration { return l.loan }

// Settling returns how long a share takes to grow.
func (l *Leaser) Settling() time.Duration {
	return l.lag + l.loan + 2*driftMargin
}

// SetTerritory takes the newest division of the region among its hosts.
func (l *Leaser) SetTerritory(t placer.ShardMap, now time.Time) {
	if n := len(l.lists); n > 0 {
		if l.lists[n-1].territory.Equal(t) {
			return
		}
		l.lists[n-1].retired = now
	}
	l.lists = append(l.lists, listing{territory: t})
	l.prune(now)
}

// prune forgets lists that were replaced longer ago than the settling time.
func (l *Leaser) prune(now time.Time) {
	kept := l.lists[:0]
	for i, list := range l.lists {
		if i == len(l.lists)-1 || now.Sub(list.retired) < l.Settling() {
			kept = append(kept, list)
		}
	}
	l.lists = kept
}

// Guardians returns the hosts that share an upstream on the newest list.
func (l *Leaser) Guardians(upstream scheduler.UpstreamID) []scheduler.HostID {
	if len(l.lists) == 0 {
		return nil
	}
	return l.lists[len(l.lists)-1].territory.Replicas(upstream)
}

// ownShares returns this host's share on every list that still counts.
func (l *Leaser) ownShares(upstream scheduler.UpstreamID, now time.Time) []Share {
	if now.Sub(l.started) < l.Settling() {
		return nil
	}
	l.prune(now)
	shares := make([]Share, 0, len(l.lists))
	for _, list := range l.lists {
		shares = append(shares, shareOn(list.territory, upstream, l.self))
	}
	return shares
}

// shareOn returns a host's share of an upstream on one list.
func shareOn(t placer.ShardMap, upstream scheduler.UpstreamID, self scheduler.HostID) Share {
	guardians := t.Replicas(upstream)
	for i, id := range guardians {
		if id == self {
			return Share{rank: i, parts: len(guardians)}
		}
	}
	return Share{}
}

// holding returns the record of an upstream, making it at first use.
func (l *Leaser) holding(upstream scheduler.UpstreamID) *holding {
	h, ok := l.holdings[upstream]
	if !ok {
		h = &holding{borrowed: make(map[scheduler.HostID]credit)}
		l.holdings[upstream] = h
	}
	return h
}

// Lend answers a guardian that wants this host's share. The returned shares
// are valid for Loan from when the borrower asked. What this host still has
// on the upstream shows in the load reports that the borrower waits for.
func (l *Leaser) Lend(upstream scheduler.UpstreamID, borrower scheduler.HostID, now time.Time) (shares []Share, lent bool) {
	if borrower == l.self {
		return nil, false
	}
	shares = l.ownShares(upstream, now)
	if len(shares) == 0 {
		return nil, false
	}
	h := l.holding(upstream)
	if now.Before(h.lent.until) && h.lent.borrower != borrower {
		return nil, false
	}
	if !l.prefers(upstream, borrower) {
		return nil, false
	}
	h.lent = loan{borrower: borrower, until: now.Add(l.loan + driftMargin)}
	h.ownSince = h.lent.until
	return shares, true
}

// Lent reports whether this host's share of an upstream is lent.
func (l *Leaser) Lent(upstream scheduler.UpstreamID, now time.Time) bool {
	return now.Before(l.holding(upstream).lent.until)
}

// prefers reports whether borrower ranks above this host for the upstream.
func (l *Leaser) prefers(upstream scheduler.UpstreamID, borrower scheduler.HostID) bool {
	for _, id := range l.Guardians(upstream) {
		if id == borrower {
			return true
		}
		if id == l.self {
			return false
		}
	}
	return false
}

// Lenders returns the guardians whose shares this host should ask for: all
// that rank below it. A host that is not the first asks only when none above
// it has asked for its own share for as long as a loan lasts.
func (l *Leaser) Lenders(upstream scheduler.UpstreamID, now time.Time) []scheduler.HostID {
	h := l.holding(upstream)
	guardians := l.Guardians(upstream)
	for i, id := range guardians {
		if id != l.self {
			continue
		}
		if i > 0 && now.Sub(l.ownsSince(h)) < l.loan {
			return nil
		}
		return guardians[i+1:]
	}
	return nil
}

// Borrowed records the answer of a lender to a request sent at asked. Now is
// when the answer was read.
func (l *Leaser) Borrowed(upstream scheduler.UpstreamID, lender scheduler.HostID, shares []Share, asked, now time.Time) {
	h := l.holding(upstream)
	old, ok := h.borrowed[lender]
	since := now
	if ok && asked.Before(old.until) && now.Before(old.until) {
		since = old.since
	}
	h.borrowed[lender] = credit{shares: shares, since: since, until: asked.Add(l.loan)}
}

// Slots returns how many of limit slots this host may have in use on the
// upstream, and until when at the longest. Only shares held since before
// verified count: work that an earlier holder left behind shows in a load
// report that is younger than the share, and in no other.
func (l *Leaser) Slots(upstream scheduler.UpstreamID, limit int, verified, now time.Time) (n int, until time.Time) {
	until = now.Add(l.loan)
	h := l.holding(upstream)
	if l.ownsSince(h).Before(verified) {
		n = Smallest(l.ownShares(upstream, now), limit)
	}
	for _, lender := range l.Guardians(upstream) {
		c, ok := h.borrowed[lender]
		if !ok || !now.Before(c.until) || !c.since.Before(verified) {
			continue
		}
		n += Smallest(c.shares, limit)
		if c.until.Before(until) {
			until = c.until
		}
	}
	return n, until
}

// ownsSince returns when this host's own share last became usable.
func (l *Leaser) ownsSince(h *holding) time.Time {
	settled := l.started.Add(l.Settling())
	if h.ownSince.After(settled) {
		return h.ownSince
	}
	return settled
}

// GrownSince returns when a share of the upstream that counts now was last
// added, by a loan or by the end of one.
func (l *Leaser) GrownSince(upstream scheduler.UpstreamID, now time.Time) time.Time {
	h := l.holding(upstream)
	grown := l.ownsSince(h)
	for _, c := range h.borrowed {
		if now.Before(c.until) && c.since.After(grown) {
			grown = c.since
		}
	}
	return grown
}

// Release gives up everything borrowed of an upstream, on a planned stop, and
// returns the lenders to be told.
func (l *Leaser) Release(upstream scheduler.UpstreamID) (lenders []scheduler.HostID) {
	h := l.holding(upstream)
	for _, lender := range l.Guardians(upstream) {
		if _, ok := h.borrowed[lender]; ok {
			lenders = append(lenders, lender)
		}
	}
	clear(h.borrowed)
	return lenders
}

// Return ends a loan early because the borrower gave it back.
func (l *Leaser) Return(upstream scheduler.UpstreamID, borrower scheduler.HostID, now time.Time) {
	h := l.holding(upstream)
	if h.lent.borrower == borrower && now.Before(h.lent.until) {
		h.lent = loan{}
		h.ownSince = now
	}
}
