// Package placer decides which host an entry asks for a slot.
//
// Hosts and upstreams are matched by rendezvous hashing, so that hosts which
// see the same list agree without talking, and a host that leaves moves only
// its own upstreams. Among the owners of one pool a request goes to the owner
// its prompt prefix hashes to, unless that owner is past its bound; then the
// less loaded of two others is taken.
package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxtaillug.org/scheduler"
)

// MaxReplicas is how many hosts share the slots of one upstream.
const MaxReplicas = 5

// loadBound is how many requests per slot, running and queued, an owner may
// have before affinity gives way; 1.25 leaves a short queue per engine.
const loadBound = 1.25

// Weight returns the rendezvous weight of a host for a key.
func Weight(host scheduler.HostID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(host))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Rank returns hosts by falling weight for key, at most n of them.
func Rank(hosts []scheduler.HostID, key string, n int) []scheduler.HostID {
	type weighted struct {
		id     scheduler.HostID
		weight uint64
	}
	all := make([]weighted, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, weighted{id: h, weight: Weight(h, key)})
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	ids := make([]scheduler.HostID, 0, min(n, len(all)))
	for _, w := range all[:min(n, len(all))] {
		ids = append(ids, w.id)
	}
	return ids
}

// Candidate is one owner of a pool as an entry sees it.
type Candidate struct {
	host        scheduler.HostID
	slots       int
	load        int
	local       bool
	unreachable bool
}

// CandidateOption sets a detail of a Candidate.
type CandidateOption func(*Candidate)

// WithLocal marks an owner in the entry's own region.
func WithLocal(local bool) CandidateOption {
	return func(c *Candidate) { c.local = local }
}

// WithUnreachable marks an owner that does not answer.
func WithUnreachable(unreachable bool) CandidateOption {
	return func(c *Candidate) { c.unreachable = unreachable }
}

// NewCandidate returns an owner with slots for the pool and load requests
// running, queued or on their way.
func NewCandidate(host scheduler.HostID, slots, load int, opts ...CandidateOption) Candidate {
	c := Candidate{host: host, slots: slots, load: load}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// Host returns the owner's name.
func (c Candidate) Host() scheduler.HostID { return c.host }

// full reports whether the owner is past its bound.
func (c Candidate) full() bool {
	return float64(c.load) >= loadBound*float64(c.slots)
}

// better orders candidates: with slots first, then by load per slot.
func (c Candidate) better(d Candidate) bool {
	if (c.slots > 0) != (d.slots > 0) {
		return c.slots > 0
	}
	if c.slots == 0 {
		return c.load < d.load
	}
	return c.load*d.slots < d.load*c.slots
}

// Choose returns the owner to ask, or false when none can be reached. The
// prefix digest picks the owner that may hold the prompt's cache; draw is a
// random number for the two choices.
func Choose(candidates []Candidate, prefix, draw uint64) (Candidate, bool) {
	if c, ok := chooseAmong(candidates, prefix, draw, true); ok && !c.full() {
		return c, true
	}
	return chooseAmong(candidates, prefix, draw, false)
}

// chooseAmong applies affinity and then two choices to a part of candidates.
func chooseAmong(candidates []Candidate, prefix, draw uint64, localOnly bool) (Candidate, bool) {
	usable := func(c Candidate) bool {
		return !c.unreachable && (c.local || !localOnly)
	}
	n := 0
	var home Candidate
	var homeWeight uint64
	for _, c := range candidates {
		if !usable(c) {
			continue
		}
		n++
		if w := mix(prefix, c.host); w >= homeWeight && c.slots > 0 {
			home, homeWeight = c, w
		}
	}
	if n == 0 {
		return Candidate{}, false
	}
	if home.slots > 0 && !home.full() {
		return home, true
	}
	i := int(draw % uint64(n))
	j := i
	if n > 1 {
		j = (i + 1 + int(draw/uint64(n)%uint64(n-1))) % n
	}
	first, second := nth(candidates, usable, i), nth(candidates, usable, j)
	if second.better(first) {
		return second, true
	}
	return first, true
}

// mix hashes a prefix digest with a host without allocating.
func mix(prefix uint64, host scheduler.HostID) uint64 {
	x := xxhash.Sum64String(string(host)) ^ prefix
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// nth returns the k-th candidate that is usable.
func nth(candidates []Candidate, usable func(Candidate) bool, k int) Candidate {
	for _, c := range candidates {
		if !usable(c) {
			continue
		}
		if k == 0 {
			return c
		}
		k--
	}
	return Candidate{}
}
