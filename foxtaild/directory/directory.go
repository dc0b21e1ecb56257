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

	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// Upstream is an entry as hosts send it to each other.
type Upstream struct {
	registrar.Entry
	// ColdFor is the remaining warm-up time. It is sent in place of ColdUntil
	// because the hosts' clocks differ.
	ColdFor time.Duration
}

// Snapshot is the content of a directory, or its changes, as sent to a peer.
type Snapshot struct {
	// Full reports whether Upstreams holds all upstreams, and not only those
	// that have changed since the previous snapshot.
	Full bool
	// Document is nil if it has not changed since the previous snapshot.
	Document  *router.Document
	Upstreams []Upstream
	Removed   []string
	Evacuated []string
	// Era and Revision are the position in the store.
	Era, Revision uint64
}

// position returns the snapshot's position in the store.
func (s *Snapshot) position() registrar.Position {
	return registrar.Position{Era: s.Era, Revision: s.Revision}
}

// Cursor marks the changes of a directory that a peer has received. The zero
// Cursor stands for none.
type Cursor struct {
	// version is the version of the configuration, entries the registrar's
	// number of changes and changes the directory's.
	version, entries, changes uint64
	// full reports whether the peer has received a full snapshot.
	full bool
}

// Directory is a host's copy of the configuration and the upstreams. It is safe
// for concurrent use.
type Directory struct {
	log     *slog.Logger
	table   router.Versioned
	changes atomic.Uint64

	mu        sync.Mutex
	document  router.Document
	registrar *registrar.Registrar
	position  registrar.Position
	// listed reports whether a complete listing of the upstreams has been
	// applied.
	listed           bool
	storeRespondedAt time.Time
	peerSyncedAt     time.Time
}

// New returns an empty directory.
func New(log *slog.Logger) *Directory {
	return &Directory{log: log, registrar: registrar.New()}
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

// Configure puts a document in force unless one with the same or a newer version
// already is. An invalid document is rejected with an error and the old one stays
// in force.
func (d *Directory) Configure(doc router.Document) (err error) {
	defer func() {
		if err != nil {
			d.log.Error("configuration refused", "version", doc.Version, "error", err.Error())
		}
	}()
	t, err := router.NewTable(doc)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.table.Apply(t) {
		return nil
	}
	d.document = doc
	d.changes.Add(1)
	d.log.Info("configuration in force", "version", doc.Version, "routes", len(doc.Routes))
	return nil
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
	if d.registrar.Prune(now) {
		d.changes.Add(1)
	}
}

// RecordStoreFailure records that the store did not respond as expected.
func (d *Directory) RecordStoreFailure(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registrar.MarkStoreUnavailable(now)
}

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
	}
	if at := d.LastStoreResponse(); !at.IsZero() {
		gauges = append(gauges, reporter.Gauge{Name: "store_age_seconds", Value: now.Sub(at).Seconds()})
	}
	return gauges
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
	}
	if d.registrar.Prune(time.Now()) {
		d.changes.Add(1)
	}
}

// PeerSyncedWithin reports whether the latest time that RecordPeerSync was called
// with is less than a duration ago.
func (d *Directory) PeerSyncedWithin(now time.Time, within time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.peerSyncedAt) < within
}

// Snapshot returns the changes since a cursor, and the new cursor. The zero
// Cursor requests everything. It returns false if there are no changes or the
// directory is not loaded.
func (d *Directory) Snapshot(c Cursor, now time.Time) (s Snapshot, next Cursor, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.changes.Load()
	if !d.listed || d.table.Table() == nil || c.full && c.changes == changes {
		return s, c, false
	}
	if !d.registrar.KnowsRemovedSince(c.entries) {
		c.full, c.entries = false, 0
	}
	s = Snapshot{Full: !c.full, Evacuated: d.registrar.Evacuated(), Era: d.position.Era, Revision: d.position.Revision}
	if d.document.Version != c.version {
		doc := d.document
		s.Document = &doc
	}
	changed, removed := d.registrar.Since(c.entries)
	if c.full {
		s.Removed = removed
	}
	for _, e := range changed {
		u := Upstream{Entry: e}
		if e.ColdUntil.After(now) {
			u.ColdFor = e.ColdUntil.Sub(now)
		}
		u.ColdUntil = time.Time{}
		s.Upstreams = append(s.Upstreams, u)
	}
	return s, Cursor{version: d.document.Version, entries: d.registrar.Changes(), changes: changes, full: true}, true
}

// Adopt applies a peer's snapshot: its document if that has a newer version, and
// its upstreams unless the directory has a newer position.
func (d *Directory) Adopt(s Snapshot, now time.Time) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "adopt snapshot of a peer")
		}
	}()
	if s.Document != nil && s.Document.Version > d.table.Version() {
		if err := d.Configure(*s.Document); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listed && s.position().Compare(d.position) < 0 {
		return nil
	}
	d.beginEra(s.position(), now)
	entries := make([]registrar.Entry, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		if u.ColdFor > 0 {
			u.ColdUntil = now.Add(u.ColdFor)
		}
		entries = append(entries, u.Entry)
	}
	if s.Full {
		d.registrar.Replace(entries, now)
	} else {
		for _, e := range entries {
			d.registrar.Put(e)
		}
		for _, id := range s.Removed {
			d.registrar.Forget(id)
		}
	}
	d.registrar.ReplaceEvacuations(s.Evacuated)
	d.position = s.position()
	d.listed = d.listed || s.Full
	d.changes.Add(1)
	d.log.Info("directory taken over from a peer", "position", d.position.String(), "full", s.Full, "upstreams", len(entries), "removed", len(s.Removed))
	return nil
}
