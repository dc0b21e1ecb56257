// Package directory holds a host's copy of the configuration in force and of the
// upstreams. The request path reads it.
//
// It is updated from two sources. One is the operators' store, whose position is its
// era and a single counter of all changes. The other is a peer: a host that can't
// read the store adopts the whole state of a peer that has read further. The highest
// position wins, so the order in which changes arrive does not matter.
package directory

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// Directory is a host's copy of the configuration and the upstreams. It is safe
// for concurrent use.
type Directory struct {
	log     *slog.Logger
	table   router.Versioned
	changes atomic.Uint64

	mu sync.Mutex
	// documents are the last versions of the configuration; the last one is in force.
	documents []*versionedDocument
	registrar *registrar.Registrar
	position  registrar.Position
	// listed reports whether a complete listing of the upstreams has been
	// applied.
	listed           bool
	storeRespondedAt time.Time
	peerSyncedAt     time.Time
	// kept holds the entries in their grace period that have been logged.
	kept map[string]time.Time
}

// New returns an empty directory. The options are those of its registrar.
func New(log *slog.Logger, opts ...registrar.Option) *Directory {
	return &Directory{log: log, registrar: registrar.New(opts...)}
}

// Table returns the configuration in force, or nil before the first.
func (d *Directory) Table() *router.Table { return d.table.Table() }

// Changes returns the number of changes so far. A reader that reads the
// directory after it has read a count sees all changes up to it.
func (d *Directory) Changes() uint64 { return d.changes.Load() }

// Position returns the position in the store up to which this host, or the peer whose
// snapshot it adopted, has read.
func (d *Directory) Position() registrar.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position
}

// Loaded reports whether a configuration and a list of upstreams have been
// loaded.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed && d.table.Table() != nil
}

// Update applies changes that were read from the store up to a position. An update
// from an older position than the directory's is ignored.
func (d *Directory) Update(p registrar.Position, apply func(*registrar.Registrar)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.Compare(d.position) < 0 {
		return
	}
	apply(d.registrar)
	d.position = p
	d.changes.Add(1)
	d.logKept()
}

// Listing is a complete listing of the store.
type Listing struct {
	Position  registrar.Position
	Upstreams []registrar.Entry
	Evacuated []string
}

// Replace applies a complete listing of the store, unless it is from an older position
// than the directory's.
func (d *Directory) Replace(l Listing, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.Position.Compare(d.position) < 0 {
		return
	}
	d.beginEra(l.Position, now)
	d.registrar.Replace(l.Upstreams, now)
	d.registrar.ReplaceEvacuations(l.Evacuated)
	d.position, d.listed = l.Position, true
	d.changes.Add(1)
	d.logKept()
}

// beginEra prepares the registrar for a position of a later era, in which the store has
// lost changes that this host may have applied. The caller holds the lock.
func (d *Directory) beginEra(p registrar.Position, now time.Time) {
	if !d.listed || p.Era == d.position.Era {
		return
	}
	d.log.Warn("store restored from an older copy", "from", d.position.String(), "to", p.String())
	d.registrar.BeginEra(now)
}

// MarkListed records that a complete listing of the upstreams has been applied.
func (d *Directory) MarkListed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = true
}

// RecordStoreResponse records that the store responded to this host.
func (d *Directory) RecordStoreResponse(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeRespondedAt = now
	d.registrar.MarkStoreAvailable(now)
	d.prune(now)
}

// prune ends the grace periods that are over. The caller holds the lock.
func (d *Directory) prune(now time.Time) {
	if d.registrar.Prune(now) {
		d.changes.Add(1)
		d.logKept()
	}
}

// RecordStoreFailure records that the store did not respond as expected.
func (d *Directory) RecordStoreFailure(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registrar.MarkStoreUnavailable(now)
}

// logKept logs the grace periods of entries that have begun or ended since the last call.
// The caller holds the lock.
func (d *Directory) logKept() {
	kept := d.registrar.Kept()
	for id, until := range kept {
		if d.kept[id] != until {
			d.log.Info("upstream kept", "upstream", id, "forMs", time.Until(until).Milliseconds(), "position", d.position.String())
		}
	}
	for id := range d.kept {
		if _, ok := kept[id]; ok {
			continue
		}
		_, published := d.registrar.Entry(id)
		d.log.Info("upstream no longer kept", "upstream", id, "published", published, "position", d.position.String())
	}
	d.kept = kept
}

// Age returns how long ago the store last responded to this host, or to a peer that sends
// its updates to this host.
func (d *Directory) Age(now time.Time) time.Duration { return now.Sub(d.LastStoreResponse()) }

// LastStoreResponse returns when the store last responded to this host, or to a
// peer that sends its updates to this host.
func (d *Directory) LastStoreResponse() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeRespondedAt
}

// StoreStale reports whether the time that LastStoreResponse returns is longer ago
// than a duration.
func (d *Directory) StoreStale(now time.Time, after time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.storeRespondedAt) > after
}

// Usable returns an upstream and reports whether it may receive new requests now.
// The forwarder checks this again right before it sends the first byte.
func (d *Directory) Usable(id string, now time.Time) (registrar.Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, _ := d.registrar.Entry(id)
	return e, d.registrar.Usable(id, now)
}

// Versions returns the software versions of each pool's upstreams, usable or not, and
// how many times a version has come or gone so far.
func (d *Directory) Versions() (byPool map[string][]string, changes uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registrar.Versions(), d.registrar.VersionChanges()
}

// VersionChanges returns how many times a version has come or gone in a pool so far.
func (d *Directory) VersionChanges() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registrar.VersionChanges()
}

// Stride returns the number of tokens per event in the streams of a pool.
func (d *Directory) Stride(pool string) int {
	if t := d.Table(); t != nil {
		if p, ok := t.Pool(pool); ok && p.Stride > 0 {
			return p.Stride
		}
	}
	return 1
}

// HealthPath returns the path of the health checks of a pool's upstreams, "" if
// there is none.
func (d *Directory) HealthPath(pool string) string {
	if t := d.Table(); t != nil {
		if p, ok := t.Pool(pool); ok {
			return p.HealthPath
		}
	}
	return ""
}

// UsableUpstreams returns all upstreams that may receive new requests.
func (d *Directory) UsableUpstreams(now time.Time) []registrar.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registrar.UsableEntries(now)
}

// Gauges returns metrics: the version of the configuration, the revision up to
// which the store was read and its era, the seconds since it last responded, and
// the number of upstreams that may receive new requests.
func (d *Directory) Gauges() []reporter.Gauge {
	now := time.Now()
	usable, position := len(d.UsableUpstreams(now)), d.Position()
	gauges := []reporter.Gauge{
		{Name: "config_version", Value: float64(d.table.Version())},
		{Name: "store_revision", Value: float64(position.Revision)},
		{Name: "store_era", Value: float64(position.Era)},
		{Name: "upstreams_usable", Value: float64(usable)},
		{Name: "upstreams_kept", Value: float64(d.countKept())},
	}
	if at := d.LastStoreResponse(); !at.IsZero() {
		gauges = append(gauges, reporter.Gauge{Name: "store_age_seconds", Value: now.Sub(at).Seconds()})
	}
	return gauges
}

// countKept returns the number of entries in their grace period.
func (d *Directory) countKept() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.kept)
}

// RecordPeerSync records that a peer has sent all that it had read from the store
// at a time.
func (d *Directory) RecordPeerSync(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.peerSyncedAt) {
		d.peerSyncedAt = at
	}
	if at.After(d.storeRespondedAt) {
		d.storeRespondedAt = at
		d.registrar.MarkStoreAvailable(at)
	}
	d.prune(time.Now())
}

// PeerSyncedWithin reports whether the latest time that RecordPeerSync was called
// with is less than a duration ago.
func (d *Directory) PeerSyncedWithin(now time.Time, within time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.peerSyncedAt) < within
}
