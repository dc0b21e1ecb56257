package quarantiner

import (
	"slices"
	"time"
)

// RefusesParts reports whether a request with some parts must not run: one of them is
// refused, and other refused parts that the request lacks do not explain its crashes.
func (q *Quarantiner) RefusesParts(now time.Time, parts ...Digest) bool {
	return slices.ContainsFunc(parts, func(d Digest) bool {
		return q.Verdict(d, now) == Refused && !q.explained(d, parts, now)
	})
}

// explained reports whether each crash of a refused part is also one of another refused
// part that the request lacks and that has at least as many crashes. It is false if
// there may be crashes of the part that have no report here.
func (q *Quarantiner) explained(d Digest, parts []Digest, now time.Time) bool {
	r := q.records[d]
	crashed := r.uncleared()
	if len(crashed) < r.crashes || len(r.reports) >= q.maxReports() {
		return false
	}
	var others []*record
	for e, x := range q.confirmed {
		if !slices.Contains(parts, e) && q.Verdict(e, now) == Refused && len(x.uncleared()) >= len(crashed) {
			others = append(others, x)
		}
	}
	for _, upstream := range crashed {
		if !slices.ContainsFunc(others, func(x *record) bool { return x.counts(upstream) }) {
			return false
		}
	}
	return true
}

// uncleared returns the upstream processes of the reports that are not cleared.
func (r *record) uncleared() (upstreams []uint64) {
	for upstream, x := range r.reports {
		if !x.cleared {
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}

// counts reports whether there is a report on the crash of an upstream process that is
// not cleared.
func (r *record) counts(upstream uint64) bool {
	x := r.reports[upstream]
	return x != nil && !x.cleared
}
