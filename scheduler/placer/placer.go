// Package placer assigns upstreams to hosts and chooses the owner host from
// which an entry host requests a slot.
//
// Upstreams are assigned by rendezvous hashing: hosts that see the same host
// list compute the same assignment without communicating, and when a host
// leaves, only the upstreams that it owned move. Among the owners of a pool, a
// request goes to the owner that its prompt prefix hashes to. If the load of
// that owner has reached its bound, the request goes to the less loaded of two
// randomly chosen owners.
package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxtaillug.org/scheduler"
)

// MaxReplicas is the maximum number of hosts that share the slots of one
// upstream.
const MaxReplicas = 5

// maxLoadPerSlot is the number of running and queued requests per slot from
// which an owner is no longer preferred for prefix affinity. 1.25 allows a short
// queue per engine.
const maxLoadPerSlot = 1.25

// Weight returns the rendezvous hash weight of a host for a key.
func Weight(host scheduler.HostID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(host))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Rank returns the n hosts with the highest weights for key, highest first, or
// all hosts if there are fewer.
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

// Candidate is an owner host of upstreams in a pool, as seen by an entry host.
type Candidate struct {
	host        scheduler.HostID
	slots       int
	load        int
	local       bool
	unreachable bool
}

// CandidateOption configures a Candidate.
type CandidateOption func(*Candidate)

// WithLocal sets whether the owner is in the same region as the entry host.
func WithLocal(local bool) CandidateOption {
	return func(c *Candidate) { c.local = local }
}

// WithUnreachable sets whether the owner is unreachable.
func WithUnreachable(unreachable bool) CandidateOption {
	return func(c *Candidate) { c.unreachable = unreachable }
}

// NewCandidate returns an owner host with a number of slots for the pool and a
// load, the number of its requests that are running, queued or in transit.
func NewCandidate(host scheduler.HostID, slots, load int, opts ...CandidateOption) Candidate {
	c := Candidate{host: host, slots: slots, load: load}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// Host returns the ID of the owner host.
func (c Candidate) Host() scheduler.HostID { return c.host }

// full reports whether the owner's load has reached its bound.
func (c Candidate) full() bool {
	return float64(c.load) >= maxLoadPerSlot*float64(c.slots)
}

// better reports whether c is preferred to d: candidates with slots come first,
// then those with the lower load per slot.
func (c Candidate) better(d Candidate) bool {
	if (c.slots > 0) != (d.slots > 0) {
		return c.slots > 0
	}
	if c.slots == 0 {
		return c.load < d.load
	}
	return c.load*d.slots < d.load*c.slots
}

// Choose returns the owner to send a request to, or false if no owner is
// reachable. Owners in the entry host's region are preferred unless the one
// chosen among them is full. The prefix digest selects the owner that may have
// the prompt's prefix cached; random selects the two owners that are compared if
// that owner is full.
func Choose(candidates []Candidate, prefix, random uint64) (Candidate, bool) {
	if c, ok := chooseAmong(candidates, prefix, random, true); ok && !c.full() {
		return c, true
	}
	return chooseAmong(candidates, prefix, random, false)
}

// chooseAmong chooses among the reachable candidates, or only among those in the
// local region: first by prefix affinity, then as the better of two random ones.
func chooseAmong(candidates []Candidate, prefix, random uint64, localOnly bool) (Candidate, bool) {
	usable := func(c Candidate) bool {
		return !c.unreachable && (c.local || !localOnly)
	}
	n := 0
	var preferred Candidate
	var maxWeight uint64
	for _, c := range candidates {
		if !usable(c) {
			continue
		}
		n++
		if w := affinity(prefix, c.host); w >= maxWeight && c.slots > 0 {
			preferred, maxWeight = c, w
		}
	}
	if n == 0 {
		return Candidate{}, false
	}
	if preferred.slots > 0 && !preferred.full() {
		return preferred, true
	}
	i := int(random % uint64(n))
	j := i
	if n > 1 {
		j = (i + 1 + int(random/uint64(n)%uint64(n-1))) % n
	}
	first, second := nth(candidates, usable, i), nth(candidates, usable, j)
	if second.better(first) {
		return second, true
	}
	return first, true
}

// affinity returns the rendezvous hash weight of a host for a prefix digest,
// without allocating.
func affinity(prefix uint64, host scheduler.HostID) uint64 {
	x := xxhash.Sum64String(string(host)) ^ prefix
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// nth returns the k-th usable candidate, counted from 0.
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
