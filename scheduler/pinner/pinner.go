package pinner

import "time"

const (
	// maxRecords bounds the records of a host. At 50 streams a second that last 15 s,
	// with three copies each, a host holds 3,000.
	maxRecords = 1 << 16
	// minPruneInterval is the minimum time between two searches for old records when
	// there is no room, so that many records at once don't each cost one.
	minPruneInterval = 100 * time.Millisecond
)

// Key identifies a stream by the request that brought its first event, or streams that are
// alike by what their callers send again when they take one up without naming it.
type Key uint64

// contentBit is the bit that tells the two kinds of keys apart: it is set in the keys of
// single streams, also in those of earlier builds.
const contentBit = 1

// StreamKey returns the key of the one stream that a hash identifies.
func StreamKey(hash uint64) Key { return Key(hash | contentBit) }

// ContentKey returns the key of all streams whose requests have content with a hash, or 0,
// which is no key, for the hash 0.
func ContentKey(hash uint64) Key {
	if hash == 0 {
		return 0
	}
	if k := Key(hash &^ contentBit); k != 0 {
		return k
	}
	return contentBit << 1
}

// IsContent reports whether several streams may have the key.
func (k Key) IsContent() bool { return k&contentBit == 0 }

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
	// route is the stream's route if this host serves it.
	route string
}

// Pinner is what a host knows of the origins of streams. It is not safe for concurrent
// use.
type Pinner struct {
	records map[Key]record
	// unshared are the records of this host's streams that no other host has been sent.
	unshared map[Key]bool
	watches  map[string]*watch
	// observedAt is the time of the last observation, zero if the directory was not up
	// to date then.
	observedAt time.Time
	// runsSince is since when there has been an observation at least every
	// maxObservationGap, and ranAt the time of the last one.
	runsSince, ranAt time.Time
	// window is the longest time for which a stream may go on, the first of windows,
	// which get shorter.
	window  time.Duration
	windows []windowUse
	// staleness is for how long an origin that has left may still be used elsewhere.
	staleness time.Duration
	dropped   uint64
	// prunedAt is the time of the last Prune.
	prunedAt time.Time
}

// Option configures a Pinner.
type Option func(*Pinner)

// WithStaleness sets the longest time for which another host may go on beginning streams
// at an origin that this host has seen leave.
func WithStaleness(d time.Duration) Option {
	return func(p *Pinner) { p.staleness = d }
}

// New returns a pinner that knows nothing.
func New(opts ...Option) *Pinner {
	p := &Pinner{
		records: make(map[Key]record), unshared: make(map[Key]bool), watches: make(map[string]*watch),
		staleness: DefaultStaleness,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Record keeps the origin of a stream that this host serves on a route. It is an event of
// the stream's start, and of each time at which the stream goes on.
func (p *Pinner) Record(k Key, route string, o Origin, until, now time.Time) {
	old, known := p.live(k, now)
	if known && old.origin != o {
		// The caller has used the ID of a request again, or the version has proved to be
		// unknown.
		o = Origin{}
	}
	if p.put(k, record{origin: o, until: later(old.until, until), route: route}, now) {
		p.unshared[k] = true
	}
}

// Receive keeps the copy of a record that another host has sent.
func (p *Pinner) Receive(k Key, o Origin, until, now time.Time) {
	old, known := p.live(k, now)
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

// live returns the record of a stream that can still be taken up.
func (p *Pinner) live(k Key, now time.Time) (r record, ok bool) {
	if r, ok = p.records[k]; !ok || !now.Before(r.until) {
		return record{}, false
	}
	return r, true
}

// put adds or replaces a record. If there is no room for another one it drops the record
// and returns false.
func (p *Pinner) put(k Key, r record, now time.Time) bool {
	if _, known := p.records[k]; !known && len(p.records) >= maxRecords {
		if now.Sub(p.prunedAt) >= minPruneInterval {
			p.Prune(now)
		}
		if len(p.records) >= maxRecords {
			p.dropped++
			return false
		}
	}
	p.records[k] = r
	return true
}

// Prune removes the records of streams that can't be taken up any more.
func (p *Pinner) Prune(now time.Time) {
	p.prunedAt = now
	for k, r := range p.records {
		if !now.Before(r.until) {
			delete(p.records, k)
			delete(p.unshared, k)
		}
	}
}

// Len returns the number of records, and Dropped that of records for which there was no
// room.
func (p *Pinner) Len() int { return len(p.records) }

// Dropped returns the number of records for which there was no room.
func (p *Pinner) Dropped() uint64 { return p.dropped }

// Knowledge is what a host knows of the origin of a stream.
type Knowledge uint8

const (
	// Unknown means that the host can't tell.
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
	// claim. For Unknown it is the only origin that the host has seen in a watch that is
	// too short, if there is one: it confirms nothing, but contradicts others.
	Origin Origin
}

// Answer returns what this host knows of the origin of a stream of a route.
func (p *Pinner) Answer(k Key, route string, now time.Time) Answer {
	if r, ok := p.live(k, now); ok {
		return Answer{Recorded, r.origin}
	}
	return p.watched(route, now)
}

// Copy is a record for another host.
type Copy struct {
	Key    Key
	Origin Origin
	// Left is the time for which the record is kept.
	Left time.Duration
}

// Unshared returns the records of this host's streams that other hosts need and have not
// been sent, which they count as from now on. While a route has a sole origin, and other
// hosts have had the time to find the same, records of its streams are not needed.
func (p *Pinner) Unshared(now time.Time) (copies []Copy) {
	settled := make(map[string]bool)
	for k := range p.unshared {
		r, ok := p.live(k, now)
		if !ok {
			delete(p.unshared, k)
			continue
		}
		if _, checked := settled[r.route]; !checked {
			settled[r.route] = p.settled(r.route, now)
		}
		if settled[r.route] {
			continue
		}
		delete(p.unshared, k)
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
