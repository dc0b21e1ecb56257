package quarantiner

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// DefaultRetention is the minimum time that a digest is kept after its last
	// crash.
	DefaultRetention = 30 * time.Minute
	// DefaultCapacity is the maximum number of digests kept.
	DefaultCapacity = 4096
	// RefuseAfterCrashes is the number of crashes from which on a digest is
	// refused.
	RefuseAfterCrashes = 2
	// minRefusal is how long a digest is refused after RefuseAfterCrashes crashes.
	// Each further crash multiplies it by refusalFactor: a request that always
	// crashes its upstream runs five times on its first day.
	minRefusal    = time.Minute
	refusalFactor = 20
	// maxReportsPerDigest is the number of reports kept of one digest.
	maxReportsPerDigest = 8
	// orderTolerance is by how much the times of reports from different hosts may
	// differ because of the time that the reports took to arrive.
	orderTolerance = 50 * time.Millisecond
	// expiryInterval is the minimum time between two scans for expired digests.
	expiryInterval = time.Minute
	// mixMultiplier is the odd constant of a multiplicative hash: 2^64 divided by
	// the golden ratio.
	mixMultiplier = 0x9e3779b97f4a7c15
)

// Digest is a hash of what identifies a repeated request.
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

// String returns the verdict's name in logs.
func (v Verdict) String() string { return [...]string{"clean", "suspect", "refused"}[v] }

// report is what is known about one digest in the crash of one upstream process.
type report struct {
	// sent is when the request was sent and lost when its connection was lost.
	sent, lost time.Time
	// crashes is the number of crashes that the host which recorded this one
	// attributed to the digest then, this one included.
	crashes int
	// received is set if another host recorded the crash, which makes the times
	// less exact.
	received bool
	// cleared reports do not count.
	cleared bool
	// transmissions counts how many messages have carried the report since it was
	// new or changed.
	transmissions int
}

// follows reports whether a run was sent after another one was lost.
func (r *report) follows(before *report) bool {
	if !r.received && !before.received {
		return !r.sent.Before(before.lost)
	}
	return !r.sent.Before(before.lost.Add(-orderTolerance)) && !r.lost.Before(before.lost.Add(orderTolerance))
}

// record holds the reports of one digest by upstream process.
type record struct {
	reports map[uint64]*report
	// crashes is the number of crashes that follow each other and lastCrash the
	// time of the last of them, without cleared reports. lastReport includes these.
	crashes               int
	lastCrash, lastReport time.Time
}

// count sets crashes to the size of the largest set of runs that follow each
// other, or to what another host has counted if that is more.
func (r *record) count() {
	runs := make([]*report, 0, len(r.reports))
	r.lastReport = time.Time{}
	for _, x := range r.reports {
		if !x.cleared {
			runs = append(runs, x)
		}
		if x.lost.After(r.lastReport) {
			r.lastReport = x.lost
		}
	}
	slices.SortFunc(runs, func(a, b *report) int { return a.lost.Compare(b.lost) })
	r.crashes, r.lastCrash = 0, time.Time{}
	counted, most := (*report)(nil), 0
	for _, x := range runs {
		if counted == nil || x.follows(counted) {
			counted = x
			r.crashes++
		}
		most = max(most, x.crashes)
		r.lastCrash = x.lost
	}
	r.crashes = max(r.crashes, most)
}

// confirmed reports whether the digest has crashed enough upstreams to be refused.
func (r *record) confirmed() bool { return r.crashes >= RefuseAfterCrashes }

// refusal returns how long a digest is refused after a number of crashes.
func refusal(crashes int) time.Duration {
	if crashes < RefuseAfterCrashes {
		return 0
	}
	d := minRefusal
	for range crashes - RefuseAfterCrashes {
		d *= refusalFactor
	}
	return d
}

// Quarantiner keeps the crash reports of request digests. It is not safe for
// concurrent use.
type Quarantiner struct {
	retention  time.Duration
	capacity   int
	records    map[Digest]*record
	lastExpiry time.Time
	// confirmed holds the digests with RefuseAfterCrashes crashes or more, and
	// confirmedHash is a hash of them that does not depend on their order.
	confirmed     map[Digest]*record
	confirmedHash uint64
	// unsent holds the reports that fewer than maxTransmissions messages have
	// carried.
	unsent map[reportKey]*report
}

// reportKey identifies a report.
type reportKey struct {
	digest   Digest
	upstream uint64
}

// Option configures a Quarantiner.
type Option func(*Quarantiner)

// WithRetention sets the minimum time that a digest is kept after its last crash.
func WithRetention(d time.Duration) Option {
	return func(q *Quarantiner) { q.retention = d }
}

// WithCapacity sets the maximum number of digests kept. Those are removed first
// that have crashed the fewest upstreams, and of these the oldest.
func WithCapacity(n int) Option {
	return func(q *Quarantiner) { q.capacity = n }
}

// New returns a quarantiner without any reports.
func New(opts ...Option) *Quarantiner {
	q := &Quarantiner{
		retention: DefaultRetention,
		capacity:  DefaultCapacity,
		records:   make(map[Digest]*record),
		confirmed: make(map[Digest]*record),
		unsent:    make(map[reportKey]*report),
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Len returns the number of digests kept, and how many of them have crashed
// RefuseAfterCrashes upstreams or more.
func (q *Quarantiner) Len() (digests, confirmed int) { return len(q.records), len(q.confirmed) }

// Verdict returns whether and how a request with the digest may run.
func (q *Quarantiner) Verdict(d Digest, now time.Time) Verdict {
	r := q.records[d]
	if r == nil || r.crashes == 0 {
		return Clean
	}
	age := now.Sub(r.lastCrash)
	switch {
	case age >= q.retentionOf(r.crashes):
		return Clean
	case r.confirmed() && age < refusal(r.crashes):
		return Refused
	default:
		return Suspect
	}
}

// Crashes returns the number of crashes attributed to a digest.
func (q *Quarantiner) Crashes(d Digest) int {
	if r := q.records[d]; r != nil {
		return r.crashes
	}
	return 0
}

// retentionOf returns how long a digest is kept after the last of a number of crashes:
// beyond its refusal, so that a further crash extends the refusal.
func (q *Quarantiner) retentionOf(crashes int) time.Duration {
	return max(q.retention, 2*refusal(crashes))
}

// RecordCrash records that an upstream process crashed while a request with the
// digest was in flight. It returns whether that is a new report.
func (q *Quarantiner) RecordCrash(d Digest, upstream uint64, sent, lost time.Time) bool {
	q.expire(lost)
	r := q.records[d]
	if r == nil {
		r = &record{reports: make(map[uint64]*report)}
		q.records[d] = r
	}
	if r.reports[upstream] != nil || len(r.reports) >= maxReportsPerDigest && !q.removeCleared(d) {
		return false
	}
	x := &report{sent: sent, lost: lost}
	r.reports[upstream] = x
	q.recordChange(d, upstream)
	x.crashes = r.crashes
	q.evict(d)
	return true
}

// removeCleared removes a cleared report of a digest and returns whether there was
// one.
func (q *Quarantiner) removeCleared(d Digest) bool {
	for upstream, x := range q.records[d].reports {
		if x.cleared {
			delete(q.records[d].reports, upstream)
			delete(q.unsent, reportKey{d, upstream})
			return true
		}
	}
	return false
}

// RecordComplete records that a request with the digest has run and completed. It
// returns whether that cleared any report.
func (q *Quarantiner) RecordComplete(d Digest) (cleared bool) {
	r := q.records[d]
	if r == nil {
		return false
	}
	for upstream, x := range r.reports {
		if !x.cleared {
			x.cleared, cleared = true, true
			q.recordChange(d, upstream)
		}
	}
	return cleared
}

// recordChange updates what depends on a report that is new or has changed, and
// queues the report for other hosts.
func (q *Quarantiner) recordChange(d Digest, upstream uint64) {
	r := q.records[d]
	r.count()
	q.setConfirmed(d, r, r.confirmed())
	x := r.reports[upstream]
	x.transmissions = 0
	q.unsent[reportKey{d, upstream}] = x
}

// setConfirmed adds a digest to the confirmed ones or removes it.
func (q *Quarantiner) setConfirmed(d Digest, r *record, confirmed bool) {
	if (q.confirmed[d] != nil) == confirmed {
		return
	}
	q.confirmedHash ^= bits.RotateLeft64(uint64(d)*mixMultiplier, 31) * mixMultiplier
	if confirmed {
		q.confirmed[d] = r
	} else {
		delete(q.confirmed, d)
	}
}

// remove removes a digest.
func (q *Quarantiner) remove(d Digest) {
	r := q.records[d]
	q.setConfirmed(d, r, false)
	for upstream := range r.reports {
		delete(q.unsent, reportKey{d, upstream})
	}
	delete(q.records, d)
}

// expire removes digests whose retention is over, at most once per
// expiryInterval.
func (q *Quarantiner) expire(now time.Time) {
	if now.Sub(q.lastExpiry) < expiryInterval {
		return
	}
	q.lastExpiry = now
	for d, r := range q.records {
		if now.Sub(r.lastReport) >= q.retentionOf(r.crashes) {
			q.remove(d)
		}
	}
}

// evict removes the digest other than the given one that has crashed the fewest
// upstreams, and of these the one with the oldest reports, if there are more than
// the capacity allows.
func (q *Quarantiner) evict(keep Digest) {
	if len(q.records) <= q.capacity {
		return
	}
	var least Digest
	var found *record
	for d, r := range q.records {
		if d == keep {
			continue
		}
		if found == nil || r.crashes < found.crashes || r.crashes == found.crashes && r.lastReport.Before(found.lastReport) {
			least, found = d, r
		}
	}
	if found != nil {
		q.remove(least)
	}
}
