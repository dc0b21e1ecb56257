// Package quarantiner detects requests that crash upstreams and refuses them.
//
// When an upstream crashes, many requests may be in flight, one of which is the
// cause. All of them become suspects. The caller should let an upstream run at
// most one suspect at a time, along with other requests, so that if it crashes
// again, the cause is known: the suspect in flight is confirmed as the cause and
// its digest is refused from then on. Digests are keyed hashes; no part of a
// request is stored.
package quarantiner

import (
	"time"
)

const (
	// DefaultRetention is how long a digest is kept after its last crash.
	DefaultRetention = 30 * time.Minute
	// DefaultCapacity is the maximum number of digests kept.
	DefaultCapacity = 16384
	// RefuseAfterCrashes is the number of crashes from which on a digest is
	// refused.
	RefuseAfterCrashes = 2
)

// Digest is a keyed hash of a request's model and body.
type Digest uint64

// Verdict says whether and how a request with a given digest may run.
type Verdict int

// The verdicts, in increasing order of severity.
const (
	// Clean requests run without restriction.
	Clean Verdict = iota
	// Suspect requests may run, but the caller should let an upstream run only one
	// of them at a time.
	Suspect
	// Refused requests are not run.
	Refused
)

// record is the crash history of one digest.
type record struct {
	crashes int
	last    time.Time
}

// Quarantiner keeps the crash history of request digests. It is not safe for
// concurrent use.
type Quarantiner struct {
	retention time.Duration
	capacity  int
	records   map[Digest]record
	order     []Digest
}

// Option configures a Quarantiner.
type Option func(*Quarantiner)

// WithRetention sets how long a digest is kept after its last crash.
func WithRetention(d time.Duration) Option {
	return func(q *Quarantiner) { q.retention = d }
}

// WithCapacity sets the maximum number of digests kept; the oldest are removed
// first.
func WithCapacity(n int) Option {
	return func(q *Quarantiner) { q.capacity = n }
}

// New returns a quarantiner without any crash history.
func New(opts ...Option) *Quarantiner {
	q := &Quarantiner{
		retention: DefaultRetention,
		capacity:  DefaultCapacity,
		records:   make(map[Digest]record),
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Verdict returns whether and how a request with the digest may run.
func (q *Quarantiner) Verdict(d Digest, now time.Time) Verdict {
	r, ok := q.records[d]
	switch {
	case !ok || now.Sub(r.last) >= q.retention:
		return Clean
	case r.crashes >= RefuseAfterCrashes:
		return Refused
	default:
		return Suspect
	}
}

// RecordCrash records the crash of an upstream that had requests with the given
// digests in flight. If one of them was a suspect already, it is confirmed as the
// cause and the others do not become suspects. Of several suspects, the first one
// listed is confirmed.
func (q *Quarantiner) RecordCrash(inflight []Digest, now time.Time) {
	for _, d := range inflight {
		if q.Verdict(d, now) == Suspect {
			q.put(d, RefuseAfterCrashes, now)
			return
		}
	}
	for _, d := range inflight {
		if q.Verdict(d, now) == Clean {
			q.put(d, 1, now)
		}
	}
}

// Merge merges the record that a peer has of a digest; the higher crash count and
// the later time are kept.
func (q *Quarantiner) Merge(d Digest, crashes int, last time.Time) {
	r := q.records[d]
	q.put(d, max(r.crashes, min(crashes, RefuseAfterCrashes)), latest(r.last, last))
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// put stores a record and removes the oldest ones in excess of the capacity.
func (q *Quarantiner) put(d Digest, crashes int, last time.Time) {
	if _, ok := q.records[d]; !ok {
		q.order = append(q.order, d)
	}
	q.records[d] = record{crashes: crashes, last: last}
	for len(q.order) > q.capacity {
		delete(q.records, q.order[0])
		q.order = q.order[1:]
	}
}

// Entry is the crash history of one digest, for reporting to peers.
type Entry struct {
	digest  Digest
	crashes int
	last    time.Time
}

// Digest returns the digest.
func (e Entry) Digest() Digest { return e.digest }

// Crashes returns the number of crashes attributed to the digest.
func (e Entry) Crashes() int { return e.crashes }

// Last returns the time of the last crash attributed to the digest.
func (e Entry) Last() time.Time { return e.last }

// Since returns at most n entries whose last crash was at or after t, those added
// last first.
func (q *Quarantiner) Since(t time.Time, n int) []Entry {
	var entries []Entry
	for i := len(q.order) - 1; i >= 0 && len(entries) < n; i-- {
		d := q.order[i]
		if r := q.records[d]; !r.last.Before(t) {
			entries = append(entries, Entry{digest: d, crashes: r.crashes, last: r.last})
		}
	}
	return entries
}
