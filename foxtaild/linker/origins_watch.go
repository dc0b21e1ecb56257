package linker

import (
	"slices"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/pinner"
	"foxtaillug.org/scheduler/router"
)

const (
	// observeInterval is the maximum time between two observations: a fourth of the gap
	// that package pinner allows.
	observeInterval = 250 * time.Millisecond
	// maxDirectoryAge is the maximum time since the store's last response for which the
	// directory counts as up to date.
	maxDirectoryAge = 2 * time.Second
	// returnTime is the time after the end of a request in which its caller may take the
	// stream up again.
	returnTime = forwarder.ResumptionDelay
)

// originWatch is the state from which the possible origins of streams are derived.
type originWatch struct {
	// table and versionChanges are those that possible was derived from.
	table          *router.Table
	versionChanges uint64
	possible       map[string][]pinner.Origin
	// timeout is the longest timeout of the routes of such streams.
	timeout    time.Duration
	observedAt time.Time
}

// observe has the pinner observe the directory if the possible origins may have changed,
// and regularly. The caller holds the lock.
func (o *Origins) observe(now time.Time) {
	d, w := o.linker.directory, &o.watch
	t := d.Table()
	changed := t != w.table || d.VersionChanges() != w.versionChanges
	if !changed && now.Sub(w.observedAt) < observeInterval {
		return
	}
	if changed {
		var versions map[string][]string
		versions, w.versionChanges = d.Versions()
		w.table = t
		w.possible, w.timeout = possibleOrigins(t, versions)
	}
	w.observedAt = now
	o.pinner.Observe(w.possible, d.Loaded() && !d.StoreStale(now, maxDirectoryAge), w.timeout+returnTime, now)
}

// answer returns what this host knows of the origin of a stream, and whether it has run since
// before the stream began. A version that has come since the last tick counts. The caller
// holds the lock.
func (o *Origins) answer(k pinner.Key, route string, now time.Time) (a pinner.Answer, witness bool) {
	o.observe(now)
	return o.pinner.Answer(k, route, now), o.pinner.Witnesses(now)
}

// possibleOrigins returns the origins that streams of each route which callers may take up
// again can have, and the longest timeout of these routes.
func possibleOrigins(t *router.Table, versions map[string][]string) (possible map[string][]pinner.Origin, timeout time.Duration) {
	possible = make(map[string][]pinner.Origin)
	if t == nil {
		return possible, 0
	}
	for _, r := range t.Routes() {
		if r.Kind != router.Streaming || !r.Resumable {
			continue
		}
		timeout = max(timeout, r.Timeout)
		// A list that is not nil, as the route is watched even if no origin is possible.
		list := append(make([]pinner.Origin, 0, 1), possible[r.Name]...)
		for _, pool := range r.Pools() {
			for _, version := range versions[pool] {
				if o := (pinner.Origin{Pool: pool, Version: version}); !slices.Contains(list, o) {
					list = append(list, o)
				}
			}
		}
		possible[r.Name] = list
	}
	return possible, timeout
}
