// Package quarantiner keeps requests that crash upstreams away from them.
//
// Many requests are in flight when an upstream crashes and one of them is to
// blame. All become suspects; from then on at most one suspect at a time runs
// on an upstream, beside ordinary work. When an upstream crashes again under
// a suspect, there is no doubt which one it was, and its digest is refused
// from then on. Digests are keyed hashes; nothing of the request is kept.
package quarantiner

import (
	"time"
)

const (
	// DefaultRetention is how long a digest is remembered after its last crash.
	DefaultRetention = 30 * time.Minute
	// DefaultCapacity bounds the number of digests remembered.
	DefaultCapacity = 16384
	// RefuseAfterCrashes is the number of crashes after which a digest is refused.
	RefuseAfterCrashes = 2
)

// Digest is a keyed hash of a request's model and body.
type Digest uint64

// Verdict says how a request with a digest may be run.
type Verdict int

// The verdicts, from harmless to harmful.
const (
	// Clean requests run like any other.
	Clean Verdict = iota
	// Suspect requests run one at a time on an upstream.
	Suspect
	// Refused requests are refused, not run.
	Refused
)

// record is what is remembered of one digest.
type record struct {
	crashes int
	last    time.Time
}

// Quarantiner remembers crashes. It is not safe for concurrent use.
type Quarantiner struct {
	memory   time.Duration
	capacity int
	records  map[Digest]record
	order    []Digest
}

// Option sets a detail of a Quarantiner.
type Option func(*Quarantiner)

// WithRetention sets how long a digest is remembered.
func WithRetention(d time.Duration) Option {
	return func(q *Quarantiner) { q.memory = d }
}

// WithCapacity bounds the number of digests remembered; the oldest go first.
func WithCapacity(n int) Option {
	return func(q *Quarantiner) { q.capacity = n }
}

// New returns a quarantiner that suspects nothing.
func New(opts ...Option) *Quarantiner {
	q := &Quarantiner{
		memory:   DefaultRetention,
		capacity: DefaultCapacity,
		records:  make(map[Digest]record),
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Verdict returns how a request with the digest may be run.
func (q *Quarantiner) Verdict(d Digest, now time.Time) Verdict {
	r, ok := q.records[d]
	switch {
	case !ok || now.Sub(r.last) >= q.memory:
		return Clean
	case r.crashes >= RefuseAfterCrashes:
		return Refused
	default:
		return Suspect
	}
}

// RecordCrash takes note of an upstream that crashed with these digests in
// flight. If one of them was a suspect already, it alone is to blame.
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

// Merge merges what a peer knows of a digest; the higher count wins.
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

// put stores a record and forgets the oldest ones past the capacity.
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

// Entry is one remembered digest, for telling peers.
type Entry struct {
	digest  Digest
	crashes int
	last    time.Time
}

// Digest returns the keyed hash.
func (e Entry) Digest() Digest { return e.digest }

// Crashes returns how many crashes the digest is blamed for.
func (e Entry) Crashes() int { return e.crashes }

// Last returns when it was last blamed.
func (e Entry) Last() time.Time { return e.last }

// Since returns what was learnt at or after a time, at most n entries.
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
