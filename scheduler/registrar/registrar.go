// Package registrar keeps the directory of upstreams: which exist, which are
// leaving, which are cold, and which failure domains are evacuated.
//
// It processes the entries that upstreams publish in the store and decides
// whether an upstream may receive new requests. An entry may also expire merely
// because the store was unavailable. Such an entry is kept for a grace period
// after the store returns, during which a live upstream publishes it again.
//
// A store that was restored from an older copy has lost what was written since. That
// an upstream is leaving or was removed, and that a failure domain is evacuated, stays
// in force here (restore.go).
package registrar

import (
	"slices"
	"time"
)

// outageGrace is how long an entry that disappeared around a store outage
// remains usable; live upstreams publish again within two seconds.
const outageGrace = 2200 * time.Millisecond

// shiftTolerance is the difference up to which two times of an entry count as the same: hosts
// send each other the time that is left, which is later by the time on the way.
const shiftTolerance = 100 * time.Millisecond

// Entry is the information that an upstream publishes about itself.
type Entry struct {
	ID      string
	Pool    string
	Address string
	Domain  string
	// Version is the version of the upstream's software, empty if it does not say.
	// Versions have no order.
	Version string
	Slots   int
	// Leaving upstreams receive no new requests.
	Leaving bool
	// ColdUntil is the end of the upstream's warm-up; zero if it is warm.
	ColdUntil time.Time
	// Born is the start time of the process, in Unix milliseconds. An upstream
	// that restarts under the same ID has a new Born.
	Born int64
}

// sameAs reports whether two entries differ by no more than the time on the way between hosts.
func (e Entry) sameAs(o Entry) bool {
	if !e.ColdUntil.IsZero() && !o.ColdUntil.IsZero() && o.ColdUntil.Sub(e.ColdUntil).Abs() < shiftTolerance {
		o.ColdUntil = e.ColdUntil
	}
	return e == o
}

// record is an entry and its state in the directory.
type record struct {
	Entry
	// expiresAt is the end of the grace period of an entry that disappeared
	// around a store outage; zero for other entries.
	expiresAt time.Time
	// changed is the value of Registrar.changes at the last change of this
	// entry.
	changed uint64
}

// Registrar is the directory. It is not safe for concurrent use.
type Registrar struct {
	records map[string]*record
	// evacuated holds the evacuated failure domains. The time is the end of an
	// evacuation that a restored store does not have; it is zero for others.
	evacuated map[string]time.Time
	// kept holds the IDs of the records in their grace period.
	kept map[string]bool
	// respondedAt is when the store last responded, and failedAt the last time after that at
	// which it could not be read, zero if there is none.
	respondedAt, failedAt time.Time
	// lapse is the duration of the shortest outage in which entries may expire, and graceUntil
	// the end of the grace period after the last such outage.
	lapse      time.Duration
	graceUntil time.Time
	changes    uint64
	// removed holds the entries that were removed since the value completeSince of
	// changes.
	removed       map[string]removal
	completeSince uint64
	// left holds the upstreams that were leaving when the store was restored or have
	// been since, by ID, with the start time of their process. A peer that has not
	// received that may report them as ready. departed holds those that had been
	// removed, until departedUntil, and held their entries in the restored store.
	left, departed map[string]int64
	departedUntil  time.Time
	held           map[string]Entry
	// versions counts the entries of each version in each pool, and versionChanges how
	// many times a version has come or gone.
	versions       map[poolVersion]int
	versionChanges uint64
}

// Listed is an entry as hosts send it to each other.
type Listed struct {
	Entry
	// ExpiresAt is the end of the grace period of an entry that disappeared around a
	// store outage; zero for other entries.
	ExpiresAt time.Time
}

// removal is an entry that was removed.
type removal struct {
	// changed is the value of Registrar.changes at the removal.
	changed uint64
	born    int64
	leaving bool
}

// maxRemoved bounds the number of removals kept for Since, and that of processes whose
// leaving is kept after a restore of the store.
const maxRemoved = 4096

// Option configures a Registrar.
type Option func(*Registrar)

// WithLapse sets the duration of the shortest outage of the store in which the entries of live
// upstreams may expire. By default it is 0.
func WithLapse(d time.Duration) Option {
	return func(r *Registrar) { r.lapse = d }
}

// New returns an empty directory.
func New(opts ...Option) *Registrar {
	r := &Registrar{
		records: make(map[string]*record), kept: make(map[string]bool), evacuated: make(map[string]time.Time), removed: make(map[string]removal),
		left: make(map[string]int64), departed: make(map[string]int64), held: make(map[string]Entry),
		versions: make(map[poolVersion]int),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// MarkStoreUnavailable records that the store could not be read at a time. Entries that
// disappear within the grace period after an outage may have expired for that reason. An
// outage lasts from the store's last response, and counts if it is long enough for that.
func (r *Registrar) MarkStoreUnavailable(now time.Time) { r.failedAt = now }

// MarkStoreAvailable records that the store responded at a time, to this host or to another.
func (r *Registrar) MarkStoreAvailable(at time.Time) {
	if !at.After(r.respondedAt) {
		return
	}
	r.endOutage(at)
	r.respondedAt = at
	if at.After(r.failedAt) {
		r.failedAt = time.Time{}
	}
}

// endOutage sets the grace period after an outage that ends now, if there is one.
func (r *Registrar) endOutage(now time.Time) {
	if !r.failedAt.IsZero() && now.Sub(r.respondedAt) >= r.lapse {
		r.graceUntil = r.failedAt.Add(outageGrace)
	}
}

// Put adds or updates a published entry.
func (r *Registrar) Put(e Entry) {
	if born, ok := r.left[e.ID]; ok && born == e.Born {
		e.Leaving = true
	}
	if e.Leaving && !r.departedUntil.IsZero() {
		r.recordLeaving(e.ID, e.Born)
	}
	delete(r.departed, e.ID)
	delete(r.held, e.ID)
	old := r.records[e.ID]
	if old != nil && old.Entry.sameAs(e) && old.expiresAt.IsZero() {
		return
	}
	r.changes++
	r.countVersion(e, 1)
	if old != nil {
		r.countVersion(old.Entry, -1)
	}
	r.records[e.ID] = &record{Entry: e, changed: r.changes}
	delete(r.kept, e.ID)
	delete(r.removed, e.ID)
}

// Remove records that an entry disappeared from the store.
func (r *Registrar) Remove(id string, now time.Time) {
	delete(r.held, id)
	old := r.records[id]
	if old == nil {
		return
	}
	r.endOutage(now)
	if old.Leaving || !now.Before(r.graceUntil) {
		r.Forget(id)
		return
	}
	if old.expiresAt.IsZero() {
		r.expire(old, r.graceUntil)
	}
}

// expire sets the end of an entry's grace period.
func (r *Registrar) expire(u *record, until time.Time) {
	r.changes++
	u.expiresAt, u.changed = until, r.changes
	r.kept[u.ID] = true
}

// Forget removes an entry without a grace period.
func (r *Registrar) Forget(id string) {
	delete(r.held, id)
	old := r.records[id]
	if old == nil {
		return
	}
	delete(r.records, id)
	delete(r.kept, id)
	r.countVersion(old.Entry, -1)
	r.changes++
	if len(r.removed) >= maxRemoved {
		clear(r.removed)
		r.completeSince = r.changes - 1
	}
	r.removed[id] = removal{changed: r.changes, born: old.Born, leaving: old.Leaving}
}

// Kept returns the ends of the grace periods of the entries that disappeared around a
// store outage, by ID.
func (r *Registrar) Kept() map[string]time.Time {
	kept := make(map[string]time.Time, len(r.kept))
	for id := range r.kept {
		kept[id] = r.records[id].expiresAt
	}
	return kept
}

// Changes returns the number of changes of entries so far.
func (r *Registrar) Changes() uint64 { return r.changes }

// KnowsRemovedSince reports whether Since returns all removals after an earlier value
// of Changes; only so many are kept.
func (r *Registrar) KnowsRemovedSince(changes uint64) bool { return changes >= r.completeSince }

// Since returns the entries that changed and the IDs of those that were removed
// after an earlier value of Changes.
func (r *Registrar) Since(changes uint64) (changed []Listed, removed []string) {
	for _, u := range r.records {
		if u.changed > changes {
			changed = append(changed, Listed{u.Entry, u.expiresAt})
		}
	}
	for id, x := range r.removed {
		if x.changed > changes {
			removed = append(removed, id)
		}
	}
	return changed, removed
}

// Replace applies a complete listing: entries that are not listed are removed as
// by Remove.
func (r *Registrar) Replace(entries []Entry, now time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		r.putListed(e)
	}
	r.removeUnlisted(listed, now)
}

// removeUnlisted removes the entries that are not in a complete listing.
func (r *Registrar) removeUnlisted(listed map[string]bool, now time.Time) {
	for id := range r.records {
		if !listed[id] {
			r.Remove(id, now)
		}
	}
}

// Adopt applies what another host holds: everything, or what has changed since it last
// sent this one its entries.
func (r *Registrar) Adopt(changed []Listed, removed []string, full bool, now time.Time) {
	empty := r.changes == 0
	listed := make(map[string]bool, len(changed))
	for _, l := range changed {
		listed[l.ID] = true
		switch {
		case !l.ExpiresAt.IsZero():
			r.keep(l, empty)
		case full:
			r.putListed(l.Entry)
		default:
			r.Put(l.Entry)
		}
	}
	if full {
		r.removeUnlisted(listed, now)
	}
	for _, id := range removed {
		r.Forget(id)
	}
}

// keep applies an entry that is in its grace period at another host. One that has been
// removed here stays removed, and one that this host has seen leaving is removed.
func (r *Registrar) keep(l Listed, empty bool) {
	old := r.records[l.ID]
	if old == nil && !empty {
		return
	}
	if old != nil && old.Leaving && old.Born == l.Born {
		r.Forget(l.ID)
		return
	}
	until := l.ExpiresAt
	if old != nil && !old.expiresAt.IsZero() {
		if old.Entry.sameAs(l.Entry) && !until.Before(old.expiresAt.Add(-shiftTolerance)) {
			return
		}
		if old.expiresAt.Before(until) {
			until = old.expiresAt
		}
	}
	r.Put(l.Entry)
	r.expire(r.records[l.ID], until)
}

// Evacuate starts or ends the evacuation of a failure domain, as the store says.
func (r *Registrar) Evacuate(domain string, on bool) {
	if on {
		r.evacuated[domain] = time.Time{}
	} else {
		delete(r.evacuated, domain)
	}
}

// Evacuated returns the failure domains that are being evacuated, sorted. Their
// upstreams receive no new requests.
func (r *Registrar) Evacuated() []string {
	domains := make([]string, 0, len(r.evacuated))
	for d := range r.evacuated {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	return domains
}

// Usable reports whether an upstream may receive new requests.
func (r *Registrar) Usable(id string, now time.Time) bool {
	u := r.records[id]
	if u == nil || u.Leaving {
		return false
	}
	if _, evacuated := r.evacuated[u.Domain]; evacuated {
		return false
	}
	return u.expiresAt.IsZero() || now.Before(u.expiresAt)
}

// Entry returns the entry of an upstream.
func (r *Registrar) Entry(id string) (Entry, bool) {
	u := r.records[id]
	if u == nil {
		return Entry{}, false
	}
	return u.Entry, true
}

// UsableEntries returns the entries of all upstreams that may receive new
// requests, sorted by ID.
func (r *Registrar) UsableEntries(now time.Time) []Entry {
	var list []Entry
	for id, u := range r.records {
		if r.Usable(id, now) {
			list = append(list, u.Entry)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}
