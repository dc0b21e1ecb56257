package observer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// endRetention is how long the end of a limit is kept, so that another host's older
	// record does not revive the limit.
	endRetention = time.Minute
	// coldTolerance is the time by which the end of a warm-up may move without being a
	// change: responses name the remaining time, which takes a while to arrive.
	coldTolerance = time.Second
	// pauseTolerance is the time by which the end of a pause may move without being a change.
	pauseTolerance = 100 * time.Millisecond
	// goneRetention is how long the record of an upstream that may receive no requests is
	// kept, as it may return: its failure domain may be evacuated.
	goneRetention = 10 * time.Minute
)

// Observation is what a host has learnt from a response of an upstream. It is sent between
// hosts; its time is a duration, because the clocks of the hosts differ.
type Observation struct {
	Upstream string
	// Born is the start time of the upstream's process, in Unix milliseconds.
	Born  int64
	Limit Limit
	// Age is the time since the response arrived or, if it names no limit, since its
	// request was sent: a limit that was named in between still holds.
	Age time.Duration
	// ColdFor is the remaining warm-up time at the time at which the observation is sent, 0
	// if the response named none.
	ColdFor time.Duration
	// Brittle reports whether the upstream falls over if it has to reject many requests.
	Brittle bool
	// Leaving reports whether the upstream's process ends soon.
	Leaving bool
	// PauseFor is the remaining time for which the upstream wants no requests of Host, 0 if
	// none. Host is set by the receiver, to its name of the host that has sent this.
	PauseFor time.Duration
	Host     string
}

// Change is what an observation changes.
type Change uint8

// The changes of a limit, and of whether an upstream is brittle.
const (
	// None means that both stay as they were.
	None Change = iota
	// Began means that the upstream has a limit that it had not.
	Began
	// Changed means that the upstream has another limit.
	Changed
	// Ended means that the upstream has no limit any more.
	Ended
	// TurnedBrittle and TurnedSound mean that the upstream is brittle, or is no longer. They
	// are returned if the limit stays as it was.
	TurnedBrittle
	TurnedSound
	// BeganLeaving means that the upstream's process ends soon. It is returned if nothing
	// else changes.
	BeganLeaving
	// PausedHost means that the upstream wants no requests of a host for a while. It is
	// returned if nothing else changes.
	PausedHost
)

// String returns the name of the change as it is logged.
func (c Change) String() string {
	return [...]string{"none", "began", "changed", "ended", "brittle", "sound", "leaving", "paused"}[c]
}

// record is the latest observation of an upstream. born is the latest start of a process that
// any observation has named.
type record struct {
	born  int64
	limit Limit
	at    time.Time
	// coldUntil is the latest end of a warm-up that was named.
	coldUntil time.Time
	// brittle is set by a response that says so, at brittleAt, and unset by a later one.
	brittle   bool
	brittleAt time.Time
	// leaving is set by a response that says so, of the process that started at leavingBorn.
	leaving     bool
	leavingBorn int64
	// pauses are those of hosts, by name.
	pauses map[string]pause
	// seenAt is the time of the latest observation.
	seenAt time.Time
	// changed is the value of Table.changes at the last change of any of this.
	changed uint64
}

// pause is the time until which the process of an upstream that started at born wants no
// requests of a host. changed is the value of Table.changes when it began.
type pause struct {
	born    int64
	until   time.Time
	changed uint64
}

// Table holds the latest observation of each upstream. It is not safe for concurrent use.
type Table struct {
	records map[string]*record
	changes uint64
	// pausedUntil is the end of the last pause.
	pausedUntil time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]*record)} }

// Record adds an observation and returns what it changes. One of an earlier time
// than the latest does not. The process that an observation names does not decide, as it is
// that of an entry, which may be outdated.
func (t *Table) Record(o Observation, now time.Time) (c Change) {
	at := now.Add(-o.Age)
	r := t.records[o.Upstream]
	if r == nil {
		if o.Limit.State != Limited && o.ColdFor <= 0 && !o.Brittle && !o.Leaving && o.PauseFor <= 0 {
			return None
		}
		r = &record{limit: Limit{State: Unlimited}}
		t.records[o.Upstream] = r
	}
	r.born, r.seenAt = max(r.born, o.Born), now
	t.recordWarmUp(r, o, now)
	c = t.recordPause(r, o, now)
	if l := t.recordLeaving(r, o); l != None {
		c = l
	}
	if b := t.recordBrittle(r, o, at); b != None {
		c = b
	}
	if o.Limit.State == Unknown {
		return c
	}
	if at.Before(r.at) || at.Equal(r.at) && o.Limit.State == Unlimited {
		return c
	}
	r.at = at
	switch {
	case r.limit == o.Limit:
		return c
	case o.Limit.State == Unlimited:
		c = Ended
	case r.limit.State == Limited:
		c = Changed
	default:
		c = Began
	}
	t.changes++
	r.limit, r.changed = o.Limit, t.changes
	return c
}

// recordWarmUp records the warm-up that an observation names, if any.
func (t *Table) recordWarmUp(r *record, o Observation, now time.Time) {
	until := now.Add(o.ColdFor)
	if o.ColdFor <= 0 || !until.After(r.coldUntil) {
		return
	}
	if until.Sub(r.coldUntil) > coldTolerance {
		t.changes++
		r.changed = t.changes
	}
	r.coldUntil = until
}

// recordBrittle records whether a response says that its upstream is brittle.
func (t *Table) recordBrittle(r *record, o Observation, at time.Time) (c Change) {
	proved := o.Brittle || o.Limit.State == Unlimited
	if !proved || at.Before(r.brittleAt) || at.Equal(r.brittleAt) && !o.Brittle {
		return None
	}
	if r.brittle != o.Brittle {
		t.changes++
		r.changed = t.changes
		c = TurnedSound
		if o.Brittle {
			c = TurnedBrittle
		}
	}
	r.brittle, r.brittleAt = o.Brittle, at
	return c
}

// recordLeaving records that a response says that its upstream's process ends soon, which it
// does whatever later responses or the upstream's entry say.
func (t *Table) recordLeaving(r *record, o Observation) (c Change) {
	if !o.Leaving || r.leaving && r.leavingBorn >= o.Born {
		return None
	}
	t.changes++
	r.leaving, r.leavingBorn, r.changed = true, o.Born, t.changes
	return BeganLeaving
}

// recordPause records that an upstream wants no requests of a host for a while.
func (t *Table) recordPause(r *record, o Observation, now time.Time) (c Change) {
	until := now.Add(o.PauseFor)
	p := r.pauses[o.Host]
	if o.PauseFor <= 0 || o.Born < p.born || o.Born == p.born && !until.After(p.until) {
		return None
	}
	if r.pauses == nil {
		r.pauses = make(map[string]pause)
	}
	if o.Born > p.born || until.Sub(p.until) > pauseTolerance {
		t.changes++
		p.changed, c = t.changes, PausedHost
	}
	p.born, p.until = o.Born, until
	r.pauses[o.Host] = p
	if until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
	return c
}

// PausedUntil returns until when an upstream wants no requests of a host, or zero if its
// process has named no time.
func (t *Table) PausedUntil(upstream string, born int64, host string) time.Time {
	r := t.records[upstream]
	if r == nil || r.pauses[host].born < born {
		return time.Time{}
	}
	return r.pauses[host].until
}

// IsPausing reports whether the process of an upstream wants no requests of some host.
func (t *Table) IsPausing(upstream string, born int64, now time.Time) bool {
	r := t.records[upstream]
	if r == nil {
		return false
	}
	for _, p := range r.pauses {
		if p.born >= born && now.Before(p.until) {
			return true
		}
	}
	return false
}

// Pausing reports whether any upstream wants no requests of some host.
func (t *Table) Pausing(now time.Time) bool { return now.Before(t.pausedUntil) }

// Leaving reports whether the process of an upstream has said that it ends soon.
func (t *Table) Leaving(upstream string, born int64) bool {
	r := t.records[upstream]
	return r != nil && r.leaving && r.leavingBorn >= born
}

// Brittle reports whether an upstream is brittle, as far as is known.
func (t *Table) Brittle(upstream string, born int64) bool {
	r := t.records[upstream]
	return r != nil && r.born >= born && r.brittle
}

// ColdUntil returns the end of the warm-up that an upstream has named, or zero if its process
// named none.
func (t *Table) ColdUntil(upstream string, born int64) time.Time {
	r := t.records[upstream]
	if r == nil || r.born < born {
		return time.Time{}
	}
	return r.coldUntil
}

// Limit returns the rate that an upstream accepts, in requests per second from all hosts
// together, and since when that has been confirmed. It returns false if its process, or a
// later one than that which its entry names, has no limit.
func (t *Table) Limit(upstream string, born int64) (rate float64, at time.Time, ok bool) {
	r := t.records[upstream]
	if r == nil || r.born < born || r.limit.State != Limited {
		return 0, time.Time{}, false
	}
	return r.limit.Rate, r.at, true
}

// Changes returns the number of changes of what the table holds so far.
func (t *Table) Changes() uint64 { return t.changes }

// Since returns the observations that changed something after an earlier value of Changes,
// sorted by upstream and host: one of each upstream, and one of each pause that has not ended.
func (t *Table) Since(changes uint64, now time.Time) (list []Observation) {
	for id, r := range t.records {
		if r.changed > changes {
			list = append(list, Observation{
				Upstream: id, Born: r.born, Limit: r.limit, Age: now.Sub(r.at), ColdFor: max(0, r.coldUntil.Sub(now)), Brittle: r.brittle,
				Leaving: r.leaving && r.leavingBorn >= r.born,
			})
		}
		for host, p := range r.pauses {
			if p.changed > changes && now.Before(p.until) {
				list = append(list, Observation{Upstream: id, Born: p.born, PauseFor: p.until.Sub(now), Host: host})
			}
		}
	}
	slices.SortFunc(list, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Host, b.Host))
	})
	return list
}

// Prune removes the records that are no longer needed: ends of limits and of warm-ups, and
// upstreams that are not usable, when nothing was observed of them for long.
func (t *Table) Prune(usable func(upstream string) bool, now time.Time) {
	for id, r := range t.records {
		maps.DeleteFunc(r.pauses, func(_ string, p pause) bool { return !now.Before(p.until) })
		ended := r.limit.State == Unlimited && !now.Before(r.coldUntil) && !r.brittle && !r.leaving && len(r.pauses) == 0
		if ended && now.Sub(r.at) > endRetention || now.Sub(r.seenAt) > goneRetention && !usable(id) {
			delete(t.records, id)
		}
	}
}
