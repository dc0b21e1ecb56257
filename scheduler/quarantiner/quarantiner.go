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
	// refused, unless WithThresholds sets others.
	RefuseAfterCrashes = 2
	// minRefusal is how long a digest is refused from its threshold on. Each
	// further crash multiplies it by refusalFactor: a request that always crashes
	// its upstream runs five times on its first day.
	minRefusal    = time.Minute
	refusalFactor = 20
	// reportsBeyondThreshold is by how much the number of reports kept of one digest
	// exceeds the higher threshold.
	reportsBeyondThreshold = 6
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

// Quarantiner keeps the crash reports of request digests. It is not safe for
// concurrent use.
type Quarantiner struct {
	retention time.Duration
	capacity  int
	// unknown and known are the numbers of crashes from which on digests are
	// refused.
	unknown, known int
	// spread is added to each refusal.
	spread     time.Duration
	records    map[Digest]*record
	history    *history
	lastExpiry time.Time
	// confirmed holds the digests that have reached their threshold, and
	// confirmedHash is a hash of them that does not depend on their order. order
	// holds them in ascending order, and lastAppended is the last of their reports
	// that appendConfirmed has appended.
	confirmed     map[Digest]*record
	confirmedHash uint64
	order         []Digest
	lastAppended  reportKey
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

// WithThresholds sets the numbers of crashes from which on digests are refused: a
// higher one for known digests, on which an answer had begun before a crash.
func WithThresholds(unknown, known int) Option {
	return func(q *Quarantiner) { q.unknown, q.known = unknown, known }
}

// WithSpread adds a time to each refusal. If it differs between hosts, the requests
// that arrive after a refusal don't all run before the first crash is reported.
func WithSpread(d time.Duration) Option {
	return func(q *Quarantiner) { q.spread = d }
}

// WithHistory remembers when answers began on up to a number of digests, so that
// reports of earlier runs that arrive later are cleared, and digests on which an
// answer began within the retention before a crash count as known.
func WithHistory(retention time.Duration, capacity int) Option {
	return func(q *Quarantiner) { q.history = newHistory(retention, capacity) }
}

// New returns a quarantiner without any reports.
func New(opts ...Option) *Quarantiner {
	q := &Quarantiner{
		retention: DefaultRetention,
		capacity:  DefaultCapacity,
		unknown:   RefuseAfterCrashes,
		known:     RefuseAfterCrashes,
		history:   newHistory(0, 0),
		records:   make(map[Digest]*record),
		confirmed: make(map[Digest]*record),
		unsent:    make(map[reportKey]*report),
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Len returns the number of digests kept, and how many of them have reached their
// threshold.
func (q *Quarantiner) Len() (digests, confirmed int) { return len(q.records), len(q.confirmed) }

// Verdict returns whether and how a request with the digest may run.
func (q *Quarantiner) Verdict(d Digest, now time.Time) Verdict {
	r := q.records[d]
	if r == nil || r.crashes == 0 {
		return Clean
	}
	age := now.Sub(r.lastCrash)
	switch {
	case age >= q.retentionOf(r.crashes, r.known):
		return Clean
	case q.confirmed[d] != nil && age < q.refusal(r.crashes, r.known)+q.spread:
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

// threshold returns the number of crashes from which on a digest is refused.
func (q *Quarantiner) threshold(known bool) int {
	if known {
		return q.known
	}
	return q.unknown
}

// refusal returns how long a digest is refused after a number of crashes.
func (q *Quarantiner) refusal(crashes int, known bool) time.Duration {
	further := crashes - q.threshold(known)
	if further < 0 {
		return 0
	}
	d := minRefusal
	for range min(further, reportsBeyondThreshold) {
		d *= refusalFactor
	}
	return d
}

// retentionOf returns how long a digest is kept after the last of a number of crashes:
// beyond its refusal, so that a further crash extends the refusal.
func (q *Quarantiner) retentionOf(crashes int, known bool) time.Duration {
	return max(q.retention, 2*q.refusal(crashes, known)+q.spread)
}

// maxReports returns the number of reports kept of one digest.
func (q *Quarantiner) maxReports() int { return max(q.unknown, q.known) + reportsBeyondThreshold }

// RecordCrash records that an upstream process crashed while a request with the
// digest was in flight. It returns whether that is a new report.
func (q *Quarantiner) RecordCrash(d Digest, upstream uint64, sent, lost time.Time) bool {
	if !q.add(d, upstream, report{sent: sent, lost: lost, known: q.history.begunWithin(d, lost)}) {
		return false
	}
	q.recordChange(d, upstream)
	r := q.records[d]
	r.reports[upstream].crashes = r.crashes
	return true
}

// add adds a report unless there is one already or there are too many. It is
// cleared if an answer began after its run was sent.
func (q *Quarantiner) add(d Digest, upstream uint64, x report) bool {
	q.expire(x.lost)
	r := q.records[d]
	if r == nil {
		r = &record{reports: make(map[uint64]*report)}
		q.records[d] = r
		q.evict(d)
	}
	if r.reports[upstream] != nil {
		return false
	}
	x.cleared = x.cleared || q.history.begunAfter(d, x.sent)
	r.reports[upstream] = &x
	if len(r.reports) > q.maxReports() {
		q.removeReport(d)
	}
	return r.reports[upstream] != nil
}

// removeReport removes a report of a digest that does not count: the oldest cleared one,
// or else the latest that is not counted, as another crash at the same time is. If all
// count it removes the latest.
func (q *Quarantiner) removeReport(d Digest) {
	r := q.records[d]
	upstreams, counted := r.byTime(), r.counted()
	i := slices.IndexFunc(upstreams, func(u uint64) bool { return r.reports[u].cleared })
	for j := len(upstreams) - 1; i < 0 && j >= 0; j-- {
		if !slices.Contains(counted, upstreams[j]) {
			i = j
		}
	}
	if i < 0 {
		i = len(upstreams) - 1
	}
	delete(r.reports, upstreams[i])
	delete(q.unsent, reportKey{d, upstreams[i]})
}

// RecordComplete records that a request with the digest has run and completed. It
// returns whether that cleared any report.
func (q *Quarantiner) RecordComplete(d Digest) (cleared bool) {
	return q.clear(d, func(*report) bool { return true })
}

// RecordBegun records that an answer on the digest has begun, which clears the
// reports of runs that were sent before. It returns whether there were any.
func (q *Quarantiner) RecordBegun(d Digest, now time.Time) (cleared bool) {
	q.history.record(d, now)
	return q.clear(d, func(x *report) bool { return x.sent.Before(now) })
}

// clear clears the reports of a digest that a function selects and returns whether
// there were any.
func (q *Quarantiner) clear(d Digest, selected func(x *report) bool) (cleared bool) {
	r := q.records[d]
	if r == nil {
		return false
	}
	for upstream, x := range r.reports {
		if !x.cleared && selected(x) {
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
	q.count(d, r)
	x := r.reports[upstream]
	x.transmissions = 0
	q.unsent[reportKey{d, upstream}] = x
}

// count updates what a digest's reports add up to.
func (q *Quarantiner) count(d Digest, r *record) {
	r.count()
	q.setConfirmed(d, r, r.crashes >= q.threshold(r.known))
}

// setConfirmed adds a digest to the confirmed ones or removes it.
func (q *Quarantiner) setConfirmed(d Digest, r *record, confirmed bool) {
	if (q.confirmed[d] != nil) == confirmed {
		return
	}
	q.confirmedHash ^= bits.RotateLeft64(uint64(d)*mixMultiplier, 31) * mixMultiplier
	i, _ := slices.BinarySearch(q.order, d)
	if confirmed {
		q.confirmed[d] = r
		q.order = slices.Insert(q.order, i, d)
	} else {
		delete(q.confirmed, d)
		q.order = slices.Delete(q.order, i, i+1)
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
		if now.Sub(r.lastReport) >= q.retentionOf(r.crashes, r.known) {
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
