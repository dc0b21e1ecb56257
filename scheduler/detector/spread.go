package detector

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// pick returns up to n random live members other than one.
func (d *Detector) pick(n int, not string) (picked []*entry) {
	for _, id := range d.shuffled() {
		e := d.members[id]
		if e.Status == Alive && id != not {
			picked = append(picked, e)
		}
		if len(picked) == n {
			break
		}
	}
	return picked
}

// shuffled returns all members' ids in random order.
func (d *Detector) shuffled() []string {
	ids := make([]string, 0, len(d.members))
	for id := range d.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	d.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// change sets what is believed of a member and spreads it.
func (d *Detector) change(e *entry, s Status, now time.Time) {
	e.Status, e.since, e.passes = s, now, 0
	d.changes++
}

// piggyback returns the members that travel with a message: those changed
// last, the least told first, and a few random ones.
func (d *Detector) piggyback() (list []Member) {
	ids := d.shuffled()
	changed := make([]*entry, 0, len(ids))
	for _, id := range ids {
		if e := d.members[id]; e.passes < spread {
			changed = append(changed, e)
		}
	}
	slices.SortStableFunc(changed, func(a, b *entry) int { return cmp.Compare(a.passes, b.passes) })
	for _, e := range changed[:min(fresh, len(changed))] {
		e.passes++
		list = append(list, e.Member)
	}
	n := sample
	if d.lastTick.Sub(d.firstTick) < youngTime {
		n = youngSample
	}
	for _, id := range ids[:min(n, len(ids))] {
		list = append(list, d.members[id].Member)
	}
	return list
}

const (
	// introduction is the number of members told to a host that joins.
	introduction = 40
	// disputedSample is the number of members told to have them corrected.
	disputedSample = 16
	// MaxMembersPerMessage bounds the members that one message names, so that it fits into a
	// datagram of 8 KiB with names of the usual length.
	MaxMembersPerMessage = 64
)

// some returns live members for a host that joins: the oldest of each failure
// domain, those of its own domain by age, then random ones.
func (d *Detector) some(domain string) (list []Member) {
	list = d.oldest(domain)
	told := make(map[string]bool, introduction)
	for _, m := range list {
		told[m.ID] = true
	}
	rest := make([]*entry, 0, len(d.members))
	for _, id := range d.shuffled() {
		if e := d.members[id]; e.Status == Alive && !told[id] {
			rest = append(rest, e)
		}
	}
	slices.SortStableFunc(rest, func(a, b *entry) int {
		if c := cmp.Compare(distance(a, domain), distance(b, domain)); c != 0 || a.Domain != domain {
			return c
		}
		return cmp.Compare(a.StartIncarnation, b.StartIncarnation)
	})
	for _, e := range rest[:min(introduction, len(rest))] {
		list = append(list, e.Member)
	}
	return list
}

// oldest returns the oldest live member of each failure domain, this host
// among them, and the second oldest of one domain.
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

// oldestDigest returns a digest of the oldest members. Hosts whose digests
// differ tell each other whom they mean, so that all soon agree on them
// however many members have changed at once.
func (d *Detector) oldestDigest() uint64 {
	if d.digest == 0 || d.digestedChanges != d.changes {
		var h xxhash.Digest
		h.Reset()
		for _, m := range d.oldest("") {
			// Writing to a digest can't fail.
			_, _ = fmt.Fprintf(&h, "%s %s %d\n", m.Domain, m.ID, m.StartIncarnation)
		}
		d.digest, d.digestedChanges = h.Sum64()|1, d.changes
	}
	return d.digest
}

// dispute notes in which failure domain this host believes in older members
// than a message's sender, which may know that they are gone.
func (d *Detector) dispute(m Message) {
	if m.OldestDigest == 0 {
		return
	}
	d.disputed = ""
	if m.OldestDigest == d.oldestDigest() {
		return
	}
	told := make(map[string]Member)
	for _, x := range append(slices.Clone(m.Members), m.From) {
		if e, ok := told[x.Domain]; x.Status < Dead && (!ok || x.Older(e)) {
			told[x.Domain] = x
		}
	}
	for _, own := range d.oldest("") {
		if x, ok := told[own.Domain]; ok && own.ID != d.self.ID && own.Older(x) {
			d.disputed = own.Domain
		}
	}
}

// byAgeIn returns the oldest members of a failure domain, which others may
// correct.
func (d *Detector) byAgeIn(domain string) (list []Member) {
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
	return list[:min(disputedSample, len(list))]
}

// corrections returns what is known better of members than told: of processes
// that have started anew, or are gone.
func (d *Detector) corrections(told []Member) (list []Member) {
	for _, m := range told {
		e := d.members[m.ID]
		if e != nil && (e.Incarnation > m.Incarnation || e.Incarnation == m.Incarnation && e.Status > m.Status) {
			list = append(list, e.Member)
		}
	}
	return list
}

// answer returns the members that travel with the answer to a ping, what the
// sender needs most first: that it is suspected itself, who is the oldest, and
// what it has wrong.
func (d *Detector) answer(ping Message, known bool, corrections []Member) (list []Member) {
	if e := d.members[ping.From.ID]; e != nil && e.Status != Alive {
		list = append(list, e.Member)
	}
	switch {
	case !known:
		list = append(list, d.some(ping.From.Domain)...)
	case ping.OldestDigest != d.oldestDigest():
		list = append(list, d.oldest(ping.From.Domain)...)
	}
	list = append(list, corrections...)
	if known {
		list = append(list, d.piggyback()...)
	}
	return list[:min(MaxMembersPerMessage, len(list))]
}

// distance is 0 for a member of a failure domain and 1 for any other.
func distance(e *entry, domain string) int {
	if e.Domain == domain {
		return 0
	}
	return 1
}

// merge takes in what a message says of a member. A record that comes from
// the member itself proves that it is alive.
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
		d.members[m.ID] = &entry{Member: m, since: now}
		d.changes++
		return
	}
	switch {
	case m.Incarnation > e.Incarnation, m.Incarnation == e.Incarnation && m.Status > e.Status:
		changed := e.Status != m.Status || e.StartIncarnation != m.StartIncarnation || e.Leaving != m.Leaving || e.Address != m.Address
		e.Member = m
		if changed {
			d.change(e, m.Status, now)
		}
	case direct && m.Incarnation == e.Incarnation && e.Status == Suspect:
		e.Member = m
		d.change(e, Alive, now)
	case direct && m.Incarnation < e.Incarnation && m.StartIncarnation != e.StartIncarnation:
		// A process that started again under an old name, with a clock behind
		// its predecessor's: the answer tells it the higher number.
		e.Status = max(e.Status, Suspect)
	}
	if m.Incarnation == e.Incarnation {
		e.Version, e.Revision = max(e.Version, m.Version), max(e.Revision, m.Revision)
	}
}
