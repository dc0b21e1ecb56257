package pinner

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxObservationGap is the longest time between two observations that still make
	// up one watch. A host that was suspended for longer may have missed an origin.
	maxObservationGap = time.Second
	// maxRecords bounds the records of a host. At 50 streams a second that last 15 s,
	// with three copies each, a host holds 3,000.
	maxRecords = 1 << 16
	// minPruneInterval is the minimum time between two searches for old records when
	// there is no room, so that many records at once don't each cost one.
	minPruneInterval = 100 * time.Millisecond
)

// Key identifies a stream by the request that brought its first event.
type Key uint64

// Origin is where a stream began.
type Origin struct {
	Pool string
	// Version is that of the upstream's software. Streams that begin at an upstream
	// whose version is unknown have no origin.
	Version string
}

// record is the origin of one stream.
type record struct {
	origin Origin
	// until is when the stream can't be taken up any more.
	until time.Time
	// route is the stream's route if this host serves it, and unshared reports whether
	// no other host has been sent the record.
	route    string
	unshared bool
}

// watch holds the origins that have been possible for the streams of a route.
type watch struct {
	// since is when the watch began without a gap.
	since time.Time
	// possible are those at the last observation, and lastSeen says when each origin
	// was possible last.
	possible []Origin
	lastSeen map[Origin]time.Time
}

// Pinner is what a host knows of the origins of streams. It is not safe for concurrent
// use.
type Pinner struct {
	records map[Key]record
	watches map[string]*watch
	// observedAt is the time of the last observation, zero if the directory was not up
	// to date then. window is the longest time for which a stream may go on.
	observedAt time.Time
	window     time.Duration
	dropped    uint64
	// prunedAt is the time of the last Prune.
	prunedAt time.Time
}

// New returns a pinner that knows nothing.
func New() *Pinner {
	return &Pinner{records: make(map[Key]record), watches: make(map[string]*watch)}
}

// Record keeps the origin of a stream that this host serves on a route. It is an event of
// the stream's start, and of each time at which the stream goes on.
func (p *Pinner) Record(k Key, route string, o Origin, until, now time.Time) {
	old, known := p.records[k]
	if known && old.origin != o {
		// The caller has used the ID of a request again.
		o = Origin{}
	}
	p.put(k, record{origin: o, until: later(old.until, until), route: route, unshared: true}, now)
}

// Receive keeps the copy of a record that another host has sent.
func (p *Pinner) Receive(k Key, o Origin, until, now time.Time) {
	old, known := p.records[k]
	switch {
	case !known:
		p.put(k, record{origin: o, until: until}, now)
	case old.origin != o:
		old.origin = Origin{}
		fallthrough
	default:
		old.until = later(old.until, until)
		p.records[k] = old
	}
}

// put adds or replaces a record. If there is no room for another one it is dropped.
func (p *Pinner) put(k Key, r record, now time.Time) {
	if _, known := p.records[k]; !known && len(p.records) >= maxRecords {
		if now.Sub(p.prunedAt) >= minPruneInterval {
			p.Prune(now)
		}
		if len(p.records) >= maxRecords {
			p.dropped++
			return
		}
	}
	p.records[k] = r
}

// Prune removes the records of streams that can't be taken up any more.
func (p *Pinner) Prune(now time.Time) {
	p.prunedAt = now
	maps.DeleteFunc(p.records, func(_ Key, r record) bool { return !now.Before(r.until) })
}

// Len returns the number of records, and Dropped that of records for which there was no
// room.
func (p *Pinner) Len() int { return len(p.records) }

// Dropped returns the number of records for which there was no room.
func (p *Pinner) Dropped() uint64 { return p.dropped }

// Observe records which origins are possible now for the streams of each route, as far as
// the directory says, and whether the directory is up to date. The window is the longest
// time for which a stream may go on. A route that is missing is watched anew when it
// comes back.
func (p *Pinner) Observe(possible map[string][]Origin, upToDate bool, window time.Duration, now time.Time) {
	continuous := !p.observedAt.IsZero() && now.Sub(p.observedAt) <= maxObservationGap
	p.window, p.observedAt = window, now
	if !upToDate {
		p.observedAt = time.Time{}
	}
	if !upToDate || !continuous {
		clear(p.watches)
	}
	maps.DeleteFunc(p.watches, func(route string, _ *watch) bool { return possible[route] == nil })
	for route, origins := range possible {
		w := p.watches[route]
		if w == nil {
			w = &watch{since: now, lastSeen: make(map[Origin]time.Time)}
			p.watches[route] = w
		}
		w.observe(origins, now)
		maps.DeleteFunc(w.lastSeen, func(_ Origin, at time.Time) bool { return now.Sub(at) > window })
	}
}

// observe records the origins that are possible now. Those of the last observation have
// been so until now.
func (w *watch) observe(origins []Origin, now time.Time) {
	for _, o := range w.possible {
		w.lastSeen[o] = now
	}
	w.possible = slices.Clone(origins)
	for _, o := range origins {
		w.lastSeen[o] = now
	}
}

// Knowledge is what a host knows of the origin of a stream.
type Knowledge uint8

const (
	// Unknown means that the host can say nothing.
	Unknown Knowledge = iota
	// Recorded means that the host has a record of the stream.
	Recorded
	// Sole means that only one origin has been possible for the route's streams.
	Sole
	// Mixed means that several have been.
	Mixed
)

// String returns the name of the knowledge in logs.
func (k Knowledge) String() string { return [...]string{"unknown", "recorded", "sole", "mixed"}[k] }

// Answer is what one host knows of the origin of a stream.
type Answer struct {
	Knowledge Knowledge
	// Origin is set for Recorded and Sole. It is empty for a record that two streams
	// claim.
	Origin Origin
}

// Answer returns what this host knows of the origin of a stream of a route.
func (p *Pinner) Answer(k Key, route string, now time.Time) Answer {
	if r, ok := p.records[k]; ok && now.Before(r.until) {
		return Answer{Recorded, r.origin}
	}
	return p.watched(route, now)
}

// watched returns what the watch of a route says of its streams.
func (p *Pinner) watched(route string, now time.Time) Answer {
	w := p.watches[route]
	if w == nil || now.Sub(p.observedAt) > maxObservationGap {
		return Answer{}
	}
	switch {
	case len(w.lastSeen) > 1:
		return Answer{Knowledge: Mixed}
	case len(w.lastSeen) == 1 && now.Sub(w.since) > p.window:
		for o := range w.lastSeen {
			if o.Version != "" {
				return Answer{Sole, o}
			}
		}
	}
	return Answer{}
}

// Copy is a record for another host.
type Copy struct {
	Key    Key
	Origin Origin
	// Left is the time for which the record is kept.
	Left time.Duration
}

// Unshared returns the records of this host's streams that other hosts need and have not
// been sent, which they count as from now on. While a route has a sole origin, records of
// its streams are not needed.
func (p *Pinner) Unshared(now time.Time) (copies []Copy) {
	sole := make(map[string]bool)
	for k, r := range p.records {
		if !r.unshared || !now.Before(r.until) {
			continue
		}
		if _, checked := sole[r.route]; !checked {
			sole[r.route] = p.watched(r.route, now).Knowledge == Sole
		}
		if sole[r.route] {
			continue
		}
		r.unshared = false
		p.records[k] = r
		copies = append(copies, Copy{k, r.origin, r.until.Sub(now)})
	}
	return copies
}

// All returns all records, for a host that leaves and hands them over.
func (p *Pinner) All(now time.Time) (copies []Copy) {
	for k, r := range p.records {
		if now.Before(r.until) {
			copies = append(copies, Copy{k, r.origin, r.until.Sub(now)})
		}
	}
	return copies
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
