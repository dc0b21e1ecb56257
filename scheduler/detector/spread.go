package detector

import (
	"cmp"
	"slices"
	"time"
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
// last, and a few random ones.
func (d *Detector) piggyback() (list []Member) {
	ids := d.shuffled()
	for _, id := range ids {
		if e := d.members[id]; e.passes < spread && len(list) < fresh {
			e.passes++
			list = append(list, e.Member)
		}
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

// introduction is the number of members told to a host that joins.
const introduction = 40

// some returns members for a host that joins: those of its own failure domain
// first, then random ones.
func (d *Detector) some(domain string) (list []Member) {
	ids := d.shuffled()
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Compare(distance(d.members[a], domain), distance(d.members[b], domain))
	})
	for _, id := range ids[:min(introduction, len(ids))] {
		list = append(list, d.members[id].Member)
	}
	return list
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
		if m.Incarnation >= d.self.Incarnation && (m.Status != Alive || m.Started != d.self.Started) {
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
		changed := e.Status != m.Status || e.Started != m.Started || e.Leaving != m.Leaving || e.Address != m.Address
		e.Member = m
		if changed {
			d.change(e, m.Status, now)
		}
	case direct && m.Incarnation == e.Incarnation && e.Status == Suspect:
		e.Member = m
		d.change(e, Alive, now)
	case direct && m.Incarnation < e.Incarnation && m.Started != e.Started:
		// A process that started again under an old name, with a clock behind
		// its predecessor's: the answer tells it the higher number.
		e.Status = max(e.Status, Suspect)
	}
	if m.Incarnation == e.Incarnation {
		e.Version, e.Revision = max(e.Version, m.Version), max(e.Revision, m.Revision)
	}
}
