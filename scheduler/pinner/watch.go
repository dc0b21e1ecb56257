package pinner

import (
	"slices"
	"time"
)

const (
	// maxObservationGap is the longest time between two observations that still make
	// up one watch. A host that was suspended for longer may have missed an origin.
	maxObservationGap = time.Second
	// DefaultStaleness bounds the time for which another host goes on beginning streams
	// at an origin that this host has seen leave, unless WithStaleness sets another one.
	// A host that is cut off together with upstreams uses them for as long as they serve,
	// a partition or a drain of up to half a minute.
	DefaultStaleness = 30 * time.Second
	// settlingTime is for how long an origin has been a host's sole one before the host
	// relies on others to know the same. It exceeds 2 s, by which a directory that
	// counts as up to date may be behind, and maxObservationGap.
	settlingTime = 3100 * time.Millisecond
)

// watch holds the origins that have been possible for the streams of a route.
type watch struct {
	// since is the time from which on lastSeen is complete.
	since time.Time
	// possible are those at the last observation, and lastSeen says when each origin
	// was possible last.
	possible []Origin
	lastSeen map[Origin]time.Time
	// soleAt is when the watch found a sole origin, zero if it has none.
	soleAt time.Time
}

// windowUse is a time for which streams might go on, and when it was in force last.
type windowUse struct {
	length time.Duration
	at     time.Time
}

// Observe records which origins are possible now for the streams of each route, as far as
// the directory says, and whether the directory is up to date: no more than 2 s behind.
// It must be called with each state of the directory, as an origin that comes and goes
// between two calls is missed, and at least every 500 ms. The window is the longest time
// from the dispatch of a stream to the last moment at which it may be taken up again. A
// route that is missing is watched anew when it comes back.
func (p *Pinner) Observe(possible map[string][]Origin, upToDate bool, window time.Duration, now time.Time) {
	continuous := !p.observedAt.IsZero() && now.Sub(p.observedAt) <= maxObservationGap
	if now.Sub(p.ranAt) > maxObservationGap {
		p.runsSince = now
	}
	p.ranAt = now
	p.setWindow(window, now)
	for route := range possible {
		if p.watches[route] == nil {
			p.watches[route] = &watch{since: now, lastSeen: make(map[Origin]time.Time)}
		}
	}
	for route, w := range p.watches {
		origins, present := possible[route]
		if !present || !continuous {
			w.since = now
		}
		w.observe(origins, upToDate, continuous, now)
		for o, at := range w.lastSeen {
			if now.Sub(at) > p.retention() {
				delete(w.lastSeen, o)
			}
		}
		if !present && len(w.lastSeen) == 0 {
			delete(p.watches, route)
		}
	}
	p.observedAt = now
	if !upToDate {
		p.observedAt = time.Time{}
	}
	for route, w := range p.watches {
		switch sole := p.watched(route, now).Knowledge == Sole; {
		case !sole:
			w.soleAt = time.Time{}
		case w.soleAt.IsZero():
			w.soleAt = now
		}
	}
}

// setWindow sets the longest time for which a stream may go on, which is the longest one
// that streams may still be subject to. When it grows, origins that were forgotten after a
// shorter time are missing.
func (p *Pinner) setWindow(window time.Duration, now time.Time) {
	complete := now.Add(-p.retention())
	p.windows = slices.DeleteFunc(p.windows, func(w windowUse) bool {
		return w.length <= window || now.Sub(w.at) > w.length+p.staleness
	})
	p.windows = append(p.windows, windowUse{window, now})
	if window > p.window {
		for _, w := range p.watches {
			w.since = later(w.since, complete)
		}
	}
	p.window = p.windows[0].length
}

// retention returns for how long an origin that is not possible any more counts.
func (p *Pinner) retention() time.Duration { return p.window + p.staleness }

// observe records the origins that are possible now. Those of the last observation have
// been so until now, unless there was a gap. What a directory that is not up to date shows
// counts only when it is new.
func (w *watch) observe(origins []Origin, upToDate, continuous bool, now time.Time) {
	if continuous {
		for _, o := range w.possible {
			w.lastSeen[o] = now
		}
	}
	for _, o := range origins {
		if upToDate || !slices.Contains(w.possible, o) {
			w.lastSeen[o] = now
		}
	}
	w.possible = slices.Clone(origins)
}

// watched returns what the watch of a route says of its streams.
func (p *Pinner) watched(route string, now time.Time) Answer {
	w := p.watches[route]
	if w == nil {
		return Answer{}
	}
	if len(w.lastSeen) > 1 {
		return Answer{Knowledge: Mixed}
	}
	complete := now.Sub(p.observedAt) <= maxObservationGap && now.Sub(w.since) > p.retention()
	for o := range w.lastSeen {
		if complete && o.Version != "" {
			return Answer{Sole, o}
		}
		return Answer{Unknown, o}
	}
	return Answer{}
}

// Witnesses reports whether this host has run since before any stream began that may still
// be taken up, and so may have been sent copies of its record.
func (p *Pinner) Witnesses(now time.Time) bool {
	return now.Sub(p.ranAt) <= maxObservationGap && now.Sub(p.runsSince) > p.window
}

// Shares reports whether other hosts need the records of a route's streams now.
func (p *Pinner) Shares(route string, now time.Time) bool { return !p.settled(route, now) }

// settled reports whether a route has had a sole origin for so long that other hosts know
// the same.
func (p *Pinner) settled(route string, now time.Time) bool {
	if p.watched(route, now).Knowledge != Sole {
		return false
	}
	// An observation finds a sole origin later than time alone makes it one.
	soleAt := p.watches[route].soleAt
	return !soleAt.IsZero() && now.Sub(soleAt) > settlingTime
}
