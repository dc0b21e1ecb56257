package sharer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Share is the work of a workspace as totals since the start of a process, in slot
// seconds. It is sent between coordinators.
type Share struct {
	Workspace string
	Asked     float64
	// Served is by priority; trailing zeros are left out.
	Served []float64
}

// source holds what another source, such as a failure domain, has reported.
type source struct {
	at   time.Time
	rows map[string]*row
}

// row is the work of one workspace at another process.
type row struct {
	// process is the one that sent the last report of the workspace, at the time at.
	process string
	at      time.Time
	// totals are those of the last report, recent the decaying sums at the scale of the
	// sharer.
	totals, recent sums
}

// sums returns the totals of a report.
func (x *Share) sums() (s sums) {
	s.asked = x.Asked
	for i, v := range x.Served {
		if i < Levels {
			s.served[i] = v
		}
	}
	return s
}

// addDiff adds the difference of two totals times a factor. Corrections may be negative;
// no sum becomes so.
func (s *sums) addDiff(after, before *sums, factor float64) {
	s.asked = max(0, s.asked+(after.asked-before.asked)*factor)
	for i := range s.served {
		s.served[i] = max(0, s.served[i]+(after.served[i]-before.served[i])*factor)
	}
}

// Record processes a report of the work at another source, such as a failure domain.
// The first report of a process, and of a workspace, only sets the baseline.
func (s *Sharer) Record(name, process string, shares []Share, now time.Time) {
	weight := s.weight(now)
	o := s.sources[name]
	if o == nil {
		o = &source{rows: make(map[string]*row)}
		s.sources[name] = o
	}
	o.at = now
	for i := range shares {
		x := &shares[i]
		totals := x.sums()
		s.Account(x.Workspace, now)
		r := o.rows[x.Workspace]
		if r == nil {
			r = &row{process: process, at: now, totals: totals}
			o.rows[x.Workspace] = r
			continue
		}
		if r.process == process && now.Sub(r.at) <= reportTTL {
			r.recent.addDiff(&totals, &r.totals, weight)
		}
		r.process, r.at, r.totals = process, now, totals
	}
	maps.DeleteFunc(o.rows, func(_ string, r *row) bool { return now.Sub(r.at) > accountTTL })
}

// addSources adds the work that other sources have reported within reportTTL.
func (s *Sharer) addSources(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.sources)) {
		o := s.sources[name]
		if now.Sub(o.at) > reportTTL {
			continue
		}
		for workspace, r := range o.rows {
			if a := s.accounts[workspace]; a != nil {
				a.all.add(&r.recent)
			}
		}
	}
}

// Busiest returns the accounts that asked for most work at this process recently, at most
// limit of them.
func (s *Sharer) Busiest(limit int, now time.Time) []*Account {
	least := s.weight(now) * negligible
	var busy []*Account
	for _, a := range s.list {
		if a.recent.asked > least || a.recent.total() > least {
			busy = append(busy, a)
		}
	}
	slices.SortFunc(busy, func(a, b *Account) int {
		return cmp.Or(-cmp.Compare(a.recent.asked, b.recent.asked), cmp.Compare(a.workspace, b.workspace))
	})
	return busy[:min(len(busy), limit)]
}

// Recent returns the work that a workspace asked at this process recently, in slot
// seconds.
func (a *Account) Recent(now time.Time) float64 { return a.recent.asked / a.sharer.weight(now) }

// Report returns the totals of an account, to be sent to other processes.
func (a *Account) Report() Share {
	n := Levels
	for n > 0 && a.totals.served[n-1] == 0 {
		n--
	}
	return Share{Workspace: a.workspace, Asked: a.totals.asked, Served: slices.Clone(a.totals.served[:n])}
}
