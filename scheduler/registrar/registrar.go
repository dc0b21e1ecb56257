// Package registrar keeps the directory of upstreams: which exist, which of
// them are leaving, which are cold, and which failure domains are evacuated.
//
// It is fed with the entries that upstreams publish of themselves and answers
// one question: may this upstream get new work now? Entries may lapse only
// because their store was away. Such an entry is kept for a grace period
// after the store's return, in which a live upstream publishes itself again.
package registrar

import (
	"slices"
	"time"
)

// lapseGrace is how long an entry that vanished around an outage of its store
// still counts; live upstreams are published again within two seconds.
const lapseGrace = 2200 * time.Millisecond

// Entry is what an upstream publishes of itself.
type Entry struct {
	ID      string
	Pool    string
	Address string
	Domain  string
	Slots   int
	// Leaving upstreams take no new work.
	Leaving bool
	// ColdUntil is when the upstream's warm-up ends; zero when it is warm.
	ColdUntil time.Time
	// Born is when the process started, in Unix milliseconds. An upstream
	// that starts again under its old id has a new Born.
	Born int64
}

// record is an entry with what the registrar knows of it.
type record struct {
	Entry
	lapsesAt time.Time
	// changed is the registrar's count of changes when this entry changed.
	changed uint64
}

// Registrar is the directory. It is not safe for concurrent use.
type Registrar struct {
	records   map[string]*record
	evacuated map[string]bool
	unstable  time.Time
	changes   uint64
	// removed holds the count of changes at which an entry was removed.
	removed map[string]uint64
}

// maxRemoved bounds the removals that are remembered for Since.
const maxRemoved = 4096

// New returns an empty directory.
func New() *Registrar {
	return &Registrar{records: make(map[string]*record), evacuated: make(map[string]bool), removed: make(map[string]uint64)}
}

// MarkStoreUnavailable says that the store could not be read at a time. Entries that
// vanish within the grace period after it may have lapsed for that reason.
func (r *Registrar) MarkStoreUnavailable(now time.Time) {
	r.unstable = now
}

// Put takes in an entry as it was published.
func (r *Registrar) Put(e Entry) {
	old := r.records[e.ID]
	if old != nil && old.Entry == e && old.lapsesAt.IsZero() {
		return
	}
	r.changes++
	r.records[e.ID] = &record{Entry: e, changed: r.changes}
	delete(r.removed, e.ID)
}

// Remove takes note that an entry vanished from the store.
func (r *Registrar) Remove(id string, now time.Time) {
	old := r.records[id]
	if old == nil {
		return
	}
	if !old.Leaving && !r.unstable.IsZero() && now.Sub(r.unstable) < lapseGrace {
		if old.lapsesAt.IsZero() {
			old.lapsesAt = r.unstable.Add(lapseGrace)
		}
		return
	}
	r.Forget(id)
}

// Forget removes an entry at once.
func (r *Registrar) Forget(id string) {
	if r.records[id] == nil {
		return
	}
	delete(r.records, id)
	r.changes++
	if len(r.removed) >= maxRemoved {
		clear(r.removed)
	}
	r.removed[id] = r.changes
}

// Changes counts the changes of entries.
func (r *Registrar) Changes() uint64 { return r.changes }

// Since returns the entries that changed and those that were removed after a
// count of changes.
func (r *Registrar) Since(changes uint64) (changed []Entry, removed []string) {
	for _, u := range r.records {
		if u.changed > changes {
			changed = append(changed, u.Entry)
		}
	}
	for id, at := range r.removed {
		if at > changes {
			removed = append(removed, id)
		}
	}
	return changed, removed
}

// Replace takes in a complete listing: entries that it lacks have vanished.
func (r *Registrar) Replace(entries []Entry, now time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		r.Put(e)
	}
	for id := range r.records {
		if !listed[id] {
			r.Remove(id, now)
		}
	}
}

// Evacuate starts or ends the evacuation of a failure domain.
func (r *Registrar) Evacuate(domain string, on bool) {
	if on {
		r.evacuated[domain] = true
	} else {
		delete(r.evacuated, domain)
	}
}

// Evacuated returns the failure domains that get no new work.
func (r *Registrar) Evacuated() []string {
	domains := make([]string, 0, len(r.evacuated))
	for d := range r.evacuated {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	return domains
}

// Usable reports whether an upstream may get new work.
func (r *Registrar) Usable(id string, now time.Time) bool {
	u := r.records[id]
	if u == nil || u.Leaving || r.evacuated[u.Domain] {
		return false
	}
	return u.lapsesAt.IsZero() || now.Before(u.lapsesAt)
}

// Entry returns what is known of an upstream.
func (r *Registrar) Entry(id string) (Entry, bool) {
	u := r.records[id]
	if u == nil {
		return Entry{}, false
	}
	return u.Entry, true
}

// UsableEntries returns the entries of all upstreams that may get new work, sorted
// by id, and drops entries whose grace period is over.
func (r *Registrar) UsableEntries(now time.Time) []Entry {
	var list []Entry
	for id, u := range r.records {
		if !u.lapsesAt.IsZero() && !now.Before(u.lapsesAt) {
			r.Forget(id)
			continue
		}
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
