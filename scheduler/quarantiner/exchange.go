package quarantiner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// maxTransmissions is how many messages carry a new or changed report.
const maxTransmissions = 8

// Report is a crash report as hosts exchange it. Times are durations, because
// the clocks of hosts differ.
type Report struct {
	Digest Digest `cbor:"1,keyasint"`
	// Upstream identifies the process that crashed.
	Upstream uint64 `cbor:"2,keyasint"`
	// AgeMs is the time since the connection was lost and RanMs the time from
	// sending the request to that, in milliseconds.
	AgeMs uint32 `cbor:"3,keyasint"`
	RanMs uint32 `cbor:"4,keyasint"`
	// Crashes is the number of crashes that the host which recorded this one
	// attributed to the digest then, this one included.
	Crashes uint8 `cbor:"6,keyasint,omitempty"`
	// Cleared reports that a request with the digest has completed since, or an
	// answer on it has begun.
	Cleared bool `cbor:"5,keyasint,omitempty"`
	// Known reports that a host remembers an answer on the digest from before the
	// crash.
	Known bool `cbor:"7,keyasint,omitempty"`
}

// Message carries reports to another host.
type Message struct {
	// Confirmed is a hash of the sender's digests that have reached their
	// threshold. Hosts with different hashes send each other the reports of these
	// digests.
	Confirmed uint64   `cbor:"1,keyasint,omitempty"`
	Reports   []Report `cbor:"2,keyasint,omitempty"`
}

// Message returns the message to send to any host, with at most n of the reports
// that are new or have changed.
func (q *Quarantiner) Message(n int, now time.Time) Message {
	q.expire(now)
	return Message{Confirmed: q.confirmedHash, Reports: q.takeUnsent(n, now)}
}

// Response returns the message to send to the host that a message came from, with
// at most n reports. If the confirmed digests of the two hosts differ, it includes
// reports of this host's, in turn.
func (q *Quarantiner) Response(m Message, n int, now time.Time) Message {
	r := q.Message(n, now)
	if m.Confirmed == r.Confirmed {
		return r
	}
	r.Reports = q.appendConfirmed(r.Reports, n, now)
	return r
}

// appendConfirmed appends reports of confirmed digests up to a total of n, from the
// one after the last that it appended before.
func (q *Quarantiner) appendConfirmed(reports []Report, n int, now time.Time) []Report {
	last := q.lastAppended
	from, _ := slices.BinarySearch(q.order, last.digest)
	digests := slices.Concat(q.order[from:], q.order[:from], q.order[from:min(from+1, len(q.order))])
	for i, d := range digests {
		x := q.confirmed[d]
		for _, upstream := range slices.Sorted(maps.Keys(x.reports)) {
			// The digest of the last report comes first with the reports after that one,
			// and at the end with the others.
			appended := d == last.digest && upstream <= last.upstream
			if i == 0 && appended || i == len(q.order) && !appended {
				continue
			}
			if len(reports) >= n {
				return reports
			}
			reports = append(reports, x.reports[upstream].encode(d, upstream, now))
			q.lastAppended = reportKey{d, upstream}
		}
	}
	return reports
}

// Receive processes a message from another host. It returns whether it added or
// changed any report.
func (q *Quarantiner) Receive(m Message, now time.Time) (changed bool) {
	for _, x := range m.Reports {
		if q.Merge(x, now) {
			changed = true
		}
	}
	return changed
}

// Merge merges a report from another host and returns whether it added or changed
// one.
func (q *Quarantiner) Merge(x Report, now time.Time) bool {
	lost := now.Add(-time.Duration(x.AgeMs) * time.Millisecond)
	sent := lost.Add(-time.Duration(x.RanMs) * time.Millisecond)
	crashes := min(int(x.Crashes), q.maxReports())
	if q.records[x.Digest] == nil && now.Sub(lost) >= q.retentionOf(crashes, x.Known || x.Cleared) {
		return false
	}
	if q.add(x.Digest, x.Upstream, report{sent: sent, lost: lost, crashes: crashes, received: true, cleared: x.Cleared, known: x.Known}) {
		q.recordChange(x.Digest, x.Upstream)
		return true
	}
	own := q.records[x.Digest].reports[x.Upstream]
	if own == nil {
		return false
	}
	if own.received && lost.Before(own.lost) {
		// The longer a report is on its way, the younger it seems.
		own.sent, own.lost = sent, lost
		q.count(x.Digest, q.records[x.Digest])
	}
	cleared := own.cleared || x.Cleared || q.history.begunAfter(x.Digest, own.sent)
	known := own.known || x.Known
	changed := cleared != own.cleared || known != own.known
	own.cleared, own.known = cleared, known
	if changed || cleared != x.Cleared || known != x.Known {
		// One of the two hosts does not know all of it.
		q.recordChange(x.Digest, x.Upstream)
	}
	return changed
}

// encode returns a report for another host.
func (r *report) encode(d Digest, upstream uint64, now time.Time) Report {
	return Report{
		Digest: d, Upstream: upstream, Crashes: uint8(min(r.crashes, math.MaxUint8)), Cleared: r.cleared, Known: r.known,
		AgeMs: milliseconds(now.Sub(r.lost)), RanMs: milliseconds(r.lost.Sub(r.sent)),
	}
}

// milliseconds converts a duration. A negative one becomes 0 and one that is too
// long becomes the longest.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// takeUnsent returns at most n of the reports that are new or have changed and
// counts them as carried by one more message. Reports of confirmed digests go
// first, then those carried by the fewest messages, and of these the latest.
func (q *Quarantiner) takeUnsent(n int, now time.Time) []Report {
	keys := slices.SortedFunc(maps.Keys(q.unsent), func(a, b reportKey) int {
		x, y := q.unsent[a], q.unsent[b]
		if c := q.confirmed[a.digest] != nil; c != (q.confirmed[b.digest] != nil) {
			if c {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(x.transmissions, y.transmissions), y.lost.Compare(x.lost), cmp.Compare(a.digest, b.digest), cmp.Compare(a.upstream, b.upstream))
	})
	reports := make([]Report, 0, min(n, len(keys)))
	for _, k := range keys[:min(n, len(keys))] {
		x := q.unsent[k]
		reports = append(reports, x.encode(k.digest, k.upstream, now))
		if x.transmissions++; x.transmissions >= maxTransmissions {
			delete(q.unsent, k)
		}
	}
	return reports
}
