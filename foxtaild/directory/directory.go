// Package directory holds what a host knows of the outside: the configuration
// in force and the upstreams. Sources feed it; the request path asks it.
//
// There are two sources. One reads the operators' store, and is told apart by
// the store's revision, a single counter of all changes. The other is a peer:
// a host that can't read the store takes over the whole state of a peer that
// has read further. The highest revision wins, so the order in which
// changes arrive does not matter.
package directory

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// Upstream is an entry as hosts tell it each other: times are durations, as
// the hosts' clocks differ.
type Upstream struct {
	registrar.Entry
	ColdFor time.Duration
}

// Snapshot is what a host tells a peer of its knowledge.
type Snapshot struct {
	// Full snapshots hold all upstreams, others only those that have changed
	// since the snapshot before.
	Full bool
	// Document is nil if it is the one told before.
	Document  *router.Document
	Upstreams []Upstream
	Removed   []string
	Evacuated []string
	Revision  uint64
}

// Cursor says how much of a directory a peer was told.
type Cursor struct {
	version, entries, changes uint64
	full                      bool
}

// Directory is safe for concurrent use.
type Directory struct {
	log     *slog.Logger
	table   router.Versioned
	changes atomic.Uint64

	mu        sync.Mutex
	document  router.Document
	registrar *registrar.Registrar
	revision  uint64
	listed    bool
	healthyAt time.Time
	fedAt     time.Time
}

// New returns a directory that knows nothing.
func New(log *slog.Logger) *Directory {
	return &Directory{log: log, registrar: registrar.New()}
}

// Table returns the configuration in force; nil before the first.
func (d *Directory) Table() *router.Table { return d.table.Table() }

// Changes counts the changes; a reader that saw a count has seen all before.
func (d *Directory) Changes() uint64 { return d.changes.Load() }

// Revision returns how far the store has been read, by this host or by the
// peer it heard from.
func (d *Directory) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// Loaded reports whether a configuration and a list of upstreams are there.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed && d.table.Table() != nil
}

// Configure puts a document in force unless a newer one already is. A faulty
// document is refused with an error and the old one stays.
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
	if !d.table.Advance(t) {
		return nil
	}
	d.document = doc
	d.changes.Add(1)
	d.log.Info("configuration in force", "version", doc.Version, "routes", len(doc.Routes))
	return nil
}

// Update applies changes of the store that were read up to a revision. An
// update older than what is known is ignored.
func (d *Directory) Update(revision uint64, apply func(*registrar.Registrar)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return
	}
	apply(d.registrar)
	d.revision = revision
	d.changes.Add(1)
}

// MarkListed says that a complete listing of upstreams has been applied.
func (d *Directory) MarkListed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = true
}

// RecordStoreAnswer says that the store answered this host.
func (d *Directory) RecordStoreAnswer(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.healthyAt = now
}

// RecordStoreFailure says that the store did not answer as it should.
func (d *Directory) RecordStoreFailure(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registrar.MarkStoreUnavailable(now)
}

// LastStoreAnswer returns when the store last answered this host, or a peer that
// tells this host what it reads.
func (d *Directory) LastStoreAnswer() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.healthyAt
}

// StoreStale reports whether the store has not answered this host for a time.
func (d *Directory) StoreStale(now time.Time, after time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.healthyAt) > after
}

// Usable reports whether an upstream may get new work at this moment. It is
// asked again right before the first byte leaves.
func (d *Directory) Usable(id string, now time.Time) (registrar.Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, _ := d.registrar.Entry(id)
	return e, d.registrar.Usable(id, now)
}

// Stride returns the number of tokens in one event of a pool's streams.
func (d *Directory) Stride(pool string) int {
	if t := d.Table(); t != nil {
		if p, ok := t.Pool(pool); ok && p.Stride > 0 {
			return p.Stride
		}
	}
	return 1
}

// UsableUpstreams returns all upstreams that may get new work.
func (d *Directory) UsableUpstreams(now time.Time) []registrar.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registrar.UsableEntries(now)
}

// Gauges returns figures for metrics: the configuration's version, how far the
// store was read and how long ago it last answered, in seconds, and the
// upstreams that may get new work.
func (d *Directory) Gauges() []reporter.Gauge {
	now := time.Now()
	usable := len(d.UsableUpstreams(now))
	gauges := []reporter.Gauge{
		{Name: "config_version", Value: float64(d.table.Version())},
		{Name: "store_revision", Value: float64(d.Revision())},
		{Name: "upstreams_usable", Value: float64(usable)},
	}
	if at := d.LastStoreAnswer(); !at.IsZero() {
		gauges = append(gauges, reporter.Gauge{Name: "store_age_seconds", Value: now.Sub(at).Seconds()})
	}
	return gauges
}

// RecordPeerSync says that a peer has told all that it read from the store up to a time.
func (d *Directory) RecordPeerSync(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.fedAt) {
		d.fedAt = at
	}
	if at.After(d.healthyAt) {
		d.healthyAt = at
	}
}

// PeerSyncedWithin reports whether a peer did so within a time.
func (d *Directory) PeerSyncedWithin(now time.Time, within time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.fedAt) < within
}

// Snapshot returns what a peer has not been told since a mark, and the new
// mark. The zero Mark asks for everything. It returns false if there is
// nothing to tell.
func (d *Directory) Snapshot(m Cursor, now time.Time) (s Snapshot, next Cursor, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.changes.Load()
	if !d.listed || d.table.Table() == nil || m.full && m.changes == changes {
		return s, m, false
	}
	s = Snapshot{Full: !m.full, Evacuated: d.registrar.Evacuated(), Revision: d.revision}
	if d.document.Version != m.version {
		doc := d.document
		s.Document = &doc
	}
	changed, removed := d.registrar.Since(m.entries)
	if m.full {
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

// Adopt takes over a peer's snapshot where it is newer than what is known.
func (d *Directory) Adopt(s Snapshot, now time.Time) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "adopt a peer's snapshot")
		}
	}()
	if s.Document != nil && s.Document.Version > d.table.Version() {
		if err := d.Configure(*s.Document); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listed && s.Revision < d.revision {
		return nil
	}
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
	for _, domain := range d.registrar.Evacuated() {
		if !slices.Contains(s.Evacuated, domain) {
			d.registrar.Evacuate(domain, false)
		}
	}
	for _, domain := range s.Evacuated {
		d.registrar.Evacuate(domain, true)
	}
	d.revision = s.Revision
	d.listed = d.listed || s.Full
	d.changes.Add(1)
	d.log.Info("directory taken over from a peer", "revision", s.Revision, "full", s.Full, "upstreams", len(entries), "removed", len(s.Removed))
	return nil
}
