package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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
	// known is set if a host remembers that an answer on the digest had begun
	// before the crash.
	known bool
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
	// known is set if an answer on the digest had begun before a crash, or has
	// since.
	known bool
}

// byTime returns the upstream processes of the reports in the order of the crashes.
func (r *record) byTime() []uint64 {
	return slices.SortedFunc(maps.Keys(r.reports), func(a, b uint64) int {
		return cmp.Or(r.reports[a].lost.Compare(r.reports[b].lost), cmp.Compare(a, b))
	})
}

// counted returns the upstream processes of the reports that count: the largest set of
// uncleared runs that follow each other.
func (r *record) counted() (upstreams []uint64) {
	last := (*report)(nil)
	for _, upstream := range r.byTime() {
		if x := r.reports[upstream]; !x.cleared && (last == nil || x.follows(last)) {
			last = x
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}

// count sets crashes to the size of the largest set of runs that follow each
// other, or to what another host has counted if that is more. It ignores counts of
// other hosts that may include a report that has been cleared.
func (r *record) count() {
	r.lastCrash, r.lastReport, r.known = time.Time{}, time.Time{}, false
	most, cleared := 0, false
	for _, upstream := range r.byTime() {
		x := r.reports[upstream]
		r.lastReport = x.lost
		r.known = r.known || x.known || x.cleared
		if x.cleared {
			cleared = true
			continue
		}
		if !cleared {
			most = max(most, x.crashes)
		}
		r.lastCrash = x.lost
	}
	r.crashes = max(len(r.counted()), most)
}
