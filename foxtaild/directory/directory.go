// Package directory holds what a host knows of the outside: the configuration
// in force and the upstreams. Sources feed it; the request path asks it.
//
// There are two sources. One reads the operators' store, and is told apart by
// the store's revision, a single counter of all changes. The other is a peer:
// a host that can't read the store takes over the whole state of a peer that
// has read further. The highest revision wins, so the order in which news
// arrives does not matter.
package directory

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// Upstream is an entry as hosts tell it each other: times are durations, as
// the hosts' clocks differ.
type Upstream struct {
	registrar.Entry
	ColdFor time.Duration
}

// Snapshot is a host's whole knowledge, for a peer.
type Snapshot struct {
	Document  router.Document
	Upstreams []Upstream
	Evacuated []string
	Revision  uint64
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

// Known reports whether a configuration and a list of upstreams are there.
func (d *Directory) Known() bool {
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

// Listed says that a complete listing of upstreams has been applied.
func (d *Directory) Listed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = true
}

// Healthy says that the store answered this host.
func (d *Directory) Healthy(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.healthyAt = now
}

// Unstable says that the store did not answer as it should.
func (d *Directory) Unstable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registrar.Unstable(now)
}

// Stale reports whether the store has not answered this host for a time.
func (d *Directory) Stale(now time.Time, after time.Duration) bool {
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

// Usables returns all upstreams that may get new work.
func (d *Directory) Usables(now time.Time) []registrar.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registrar.Usables(now)
}

// Snapshot returns what a peer may take over.
func (d *Directory) Snapshot(now time.Time) (s Snapshot, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.listed || d.table.Table() == nil {
		return Snapshot{}, false
	}
	s = Snapshot{Document: d.document, Evacuated: d.registrar.Evacuated(), Revision: d.revision}
	for _, e := range d.registrar.All() {
		u := Upstream{Entry: e}
		if e.ColdUntil.After(now) {
			u.ColdFor = e.ColdUntil.Sub(now)
		}
		u.ColdUntil = time.Time{}
		s.Upstreams = append(s.Upstreams, u)
	}
	return s, true
}

// Adopt takes over a peer's snapshot where it is newer than what is known.
func (d *Directory) Adopt(s Snapshot, now time.Time) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "adopt a peer's snapshot")
		}
	}()
	if s.Document.Version > d.table.Version() {
		if err := d.Configure(s.Document); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listed && s.Revision <= d.revision {
		return nil
	}
	entries := make([]registrar.Entry, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		if u.ColdFor > 0 {
			u.ColdUntil = now.Add(u.ColdFor)
		}
		entries = append(entries, u.Entry)
	}
	d.registrar.Replace(entries, now)
	for _, domain := range d.registrar.Evacuated() {
		if !slices.Contains(s.Evacuated, domain) {
			d.registrar.Evacuate(domain, false)
		}
	}
	for _, domain := range s.Evacuated {
		d.registrar.Evacuate(domain, true)
	}
	d.revision, d.listed = s.Revision, true
	d.changes.Add(1)
	d.log.Info("directory taken over from a peer", "revision", s.Revision, "upstreams", len(entries))
	return nil
}
