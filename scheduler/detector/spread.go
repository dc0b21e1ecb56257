package detector

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// randomAlive returns up to n random live members, excluding one.
func (d *Detector) randomAlive(n int, exclude string) (list []*memberState) {
	for _, id := range d.shuffled() {
		e := d.members[id]
		if e.Status == Alive && id != exclude {
			list = append(list, e)
		}
		if len(list) == n {
			break
		}
	}
	return list
}

// shuffled returns the IDs of all members in random order.
func (d *Detector) shuffled() []string {
	ids := make([]string, 0, len(d.members))
	for id := range d.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	d.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// setStatus sets the status of a member and schedules its record to be piggybacked
// on messages.
func (d *Detector) setStatus(e *memberState, s Status, now time.Time) {
	e.Status, e.since, e.transmissions = s, now, 0
	d.changes++
}

// piggyback returns the members to send with a message: changed members, those
// sent the fewest times first, and a few random ones.
func (d *Detector) piggyback() (list []Member) {
	ids := d.shuffled()
	changed := make([]*memberState, 0, len(ids))
	for _, id := range ids {
		if e := d.members[id]; e.transmissions < maxTransmissions {
			changed = append(changed, e)
		}
	}
	slices.SortStableFunc(changed, func(a, b *memberState) int { return cmp.Compare(a.transmissions, b.transmissions) })
	for _, e := range changed[:min(maxChanges, len(changed))] {
		e.transmissions++
		list = append(list, e.Member)
	}
	n := randomMembers
	if d.lastTick.Sub(d.firstTick) < joinRandomTime {
		n = joinRandomMembers
	}
	for _, id := range ids[:min(n, len(ids))] {
		list = append(list, d.members[id].Member)
	}
	return list
}

const (
	// joinMembers is the maximum number of members sent to a joining host in
	// addition to the oldest of each failure domain.
	joinMembers = 40
	// maxDisputed is the maximum number of members of a disputed failure domain
	// that a ping carries for other hosts to correct.
	maxDisputed = 16
	// MaxMembersPerMessage is the maximum number of members in one message, so that
	// it fits into a datagram of 8 KiB with names of the usual length.
	MaxMembersPerMessage = 64
)

// membersForJoin returns live members to send to a host that joins: the oldest of
// each failure domain, then those of its own failure domain by age, then random
// ones.
func (d *Detector) membersForJoin(domain string) (list []Member) {
	list = d.oldest(domain)
	listed := make(map[string]bool, joinMembers)
	for _, m := range list {
		listed[m.ID] = true
	}
	rest := make([]*memberState, 0, len(d.members))
	for _, id := range d.shuffled() {
		if e := d.members[id]; e.Status == Alive && !listed[id] {
			rest = append(rest, e)
		}
	}
	slices.SortStableFunc(rest, func(a, b *memberState) int {
		if c := cmp.Compare(domainDistance(a, domain), domainDistance(b, domain)); c != 0 || a.Domain != domain {
			return c
		}
		return cmp.Compare(a.StartIncarnation, b.StartIncarnation)
	})
	for _, e := range rest[:min(joinMembers, len(rest))] {
		list = append(list, e.Member)
	}
	return list
}

// oldest returns the oldest member of each failure domain, this host included, and
// the second oldest of the given domain. Dead and leaving members are excluded.
func (d *Detector) oldest(domain string) (list []Member) {
	first := make(map[string]Member)
	second := Member{}
	consider := func(m Member) {
		if m.Status >= Dead || m.Leaving {
			return
		}
		e, ok := first[m.Domain]
		switch {
		case !ok || m.Older(e):
			first[m.Domain] = m
			if m.Domain == domain {
				second = e
			}
		case m.Domain == domain && (second.ID == "" || m.Older(second)):
			second = m
		}
	}
	consider(d.self)
	for _, e := range d.members {
		consider(e.Member)
	}
	for _, name := range slices.Sorted(maps.Keys(first)) {
		list = append(list, first[name])
	}
	if second.ID != "" {
		list = append(list, second)
	}
	return list
}

// oldestDigest returns a digest of the oldest member of each failure domain. Hosts
// whose digests differ send each other these members, so that all hosts soon agree
// on them however many members have changed at once. A digest is never 0.
func (d *Detector) oldestDigest() uint64 {
	if d.digest == 0 || d.digestChanges != d.changes {
		var h xxhash.Digest
		h.Reset()
		for _, m := range d.oldest("") {
			// Writing to an xxhash digest never returns an error.
			_, _ = fmt.Fprintf(&h, "%s %s %d\n", m.Domain, m.ID, m.StartIncarnation)
		}
		d.digest, d.digestChanges = h.Sum64()|1, d.changes
	}
	return d.digest
}

// compareOldest sets disputedDomain to a failure domain in which this host's view
// has an older member than the view of a message's sender. The sender may know
// that the older member has ended.
func (d *Detector) compareOldest(m Message) {
	if m.OldestDigest == 0 {
		return
	}
	d.disputedDomain = ""
	if m.OldestDigest == d.oldestDigest() {
		return
	}
	received := make(map[string]Member)
	for _, x := range append(slices.Clone(m.Members), m.From) {
		if e, ok := received[x.Domain]; x.Status < Dead && (!ok || x.Older(e)) {
			received[x.Domain] = x
		}
	}
	for _, own := range d.oldest("") {
		if x, ok := received[own.Domain]; ok && own.ID != d.self.ID && own.Older(x) {
			d.disputedDomain = own.Domain
		}
	}
}

// oldestInDomain returns the oldest members of a failure domain, oldest first, to
// be sent to other hosts for correction.
func (d *Detector) oldestInDomain(domain string) (list []Member) {
	for _, e := range d.members {
		if e.Domain == domain && e.Status < Dead {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		if a.Older(b) {
			return -1
		}
		return 1
	})
	return list[:min(maxDisputed, len(list))]
}

// corrections returns this host's records of those members for which they are
// newer than the received ones, for example because the process has restarted or
// ended.
func (d *Detector) corrections(received []Member) (list []Member) {
	for _, m := range received {
		e := d.members[m.ID]
		if e != nil && (e.Incarnation > m.Incarnation || e.Incarnation == m.Incarnation && e.Status > m.Status) {
			list = append(list, e.Member)
		}
	}
	return list
}

// ackMembers returns the members to send with the ack to a ping, those first that
// matter most to the ping's sender: its own record if it is not considered alive,
// the oldest members, and corrections of outdated records.
func (d *Detector) ackMembers(ping Message, known bool, corrections []Member) (list []Member) {
	if e := d.members[ping.From.ID]; e != nil && e.Status != Alive {
		list = append(list, e.Member)
	}
	switch {
	case !known:
		list = append(list, d.membersForJoin(ping.From.Domain)...)
	case ping.OldestDigest != d.oldestDigest():
		list = append(list, d.oldest(ping.From.Domain)...)
	}
	list = append(list, corrections...)
	if known {
		list = append(list, d.piggyback()...)
	}
	return list[:min(MaxMembersPerMessage, len(list))]
}

// domainDistance returns 0 for a member of the failure domain and 1 for any other.
func domainDistance(e *memberState, domain string) int {
	if e.Domain == domain {
		return 0
	}
	return 1
}

// merge merges a received record of a member into the view. A direct record was
// sent by the member itself, which proves that it is alive.
func (d *Detector) merge(m Member, now time.Time, direct bool) {
	if m.ID == d.self.ID {
		if m.Incarnation >= d.self.Incarnation && (m.Status != Alive || m.StartIncarnation != d.self.StartIncarnation) {
			d.self.Incarnation = m.Incarnation + 1
			d.changes++
		}
		return
	}
	e := d.members[m.ID]
	if e == nil {
		if m.Status >= Dead {
			return
		}
		d.members[m.ID] = &memberState{Member: m, since: now}
		d.changes++
		return
	}
	switch {
	case m.Incarnation > e.Incarnation, m.Incarnation == e.Incarnation && m.Status > e.Status:
		changed := e.Status != m.Status || e.StartIncarnation != m.StartIncarnation || e.Leaving != m.Leaving || e.Address != m.Address
		e.Member = m
		if changed {
			d.setStatus(e, m.Status, now)
		}
	case direct && m.Incarnation == e.Incarnation && e.Status == Suspect:
		e.Member = m
		d.setStatus(e, Alive, now)
	case direct && m.Incarnation < e.Incarnation && m.StartIncarnation != e.StartIncarnation:
		// The host's process has restarted with a clock behind that of the previous
		// process, so its incarnation is lower. As a suspect it is sent the higher
		// one with the ack, and raises its own above it.
		e.Status = max(e.Status, Suspect)
	}
	if m.Incarnation == e.Incarnation {
		e.Version = max(e.Version, m.Version)
		if m.ComparePosition(e.Member) > 0 {
			e.Era, e.Revision = m.Era, m.Revision
		}
	}
}
