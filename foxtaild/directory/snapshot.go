package directory

import (
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// Upstream is an entry as hosts send it to each other.
type Upstream struct {
	registrar.Entry
	// ColdFor is the remaining warm-up time. It is sent in place of ColdUntil
	// because the hosts' clocks differ.
	ColdFor time.Duration
	// ExpiresIn is what remains of the grace period of an entry that disappeared around
	// an outage of the store; 0 for other entries. Receivers end the period themselves.
	ExpiresIn time.Duration
}

// Snapshot is the content of a directory, or its changes, as sent to a peer.
type Snapshot struct {
	// Full reports whether Upstreams holds all upstreams, and not only those
	// that have changed since the previous snapshot.
	Full bool
	// Document is nil if it has not changed since the previous snapshot, or if Delta says
	// how it has.
	Document  *router.Document
	Delta     *router.Delta
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
	// version is the version of the configuration and digest that of its content; entries is
	// the registrar's number of changes and changes the directory's.
	version, digest, entries, changes uint64
	// deltas reports whether the peer understands deltas of the configuration.
	deltas bool
	// full reports whether the peer has received a full snapshot.
	full bool
}

// CursorAt returns the cursor of a peer that understands deltas and has the version of the
// configuration with a digest, and maybe no upstreams.
func CursorAt(version, digest uint64) Cursor {
	return Cursor{version: version, digest: digest, deltas: true}
}

// Snapshot returns the changes since a cursor, and the new cursor. The zero
// Cursor requests everything. It returns false if there are no changes or the
// directory is not loaded.
func (d *Directory) Snapshot(c Cursor, now time.Time) (s Snapshot, next Cursor, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prune(now)
	changes := d.changes.Load()
	if !d.listed || d.table.Table() == nil || c.full && c.changes == changes {
		return s, c, false
	}
	if !d.registrar.KnowsRemovedSince(c.entries) {
		c.full, c.entries = false, 0
	}
	s = Snapshot{Full: !c.full, Evacuated: d.registrar.Evacuated(), Era: d.position.Era, Revision: d.position.Revision}
	latest := d.documents[len(d.documents)-1]
	if latest.Version != c.version || latest.digest != c.digest {
		s.Document, s.Delta = d.changedDocument(c)
	}
	changed, removed := d.registrar.Since(c.entries)
	if c.full {
		s.Removed = removed
	}
	for _, e := range changed {
		u := Upstream{Entry: e.Entry}
		if e.ColdUntil.After(now) {
			u.ColdFor = e.ColdUntil.Sub(now)
		}
		if !e.ExpiresAt.IsZero() {
			u.ExpiresIn = e.ExpiresAt.Sub(now)
		}
		u.ColdUntil = time.Time{}
		s.Upstreams = append(s.Upstreams, u)
	}
	next = Cursor{version: latest.Version, digest: latest.digest, entries: d.registrar.Changes(), changes: changes, full: true, deltas: c.deltas}
	return s, next, true
}

// changedDocument returns the configuration in force for a peer at a cursor: as a delta if the
// peer understands those and has a version that is kept, or else whole. The caller holds the
// lock.
func (d *Directory) changedDocument(c Cursor) (*router.Document, *router.Delta) {
	latest := d.documents[len(d.documents)-1]
	for _, base := range d.documents[:len(d.documents)-1] {
		if c.deltas && base.Version == c.version && base.digest == c.digest {
			return nil, router.Diff(&base.Document, base.digest, &latest.Document)
		}
	}
	return &latest.Document, nil
}

// Adopt applies a peer's snapshot: its document if that has a newer version, and
// its upstreams unless the directory has a newer position. The error is
// router.ErrOtherBase if the document is a delta that does not apply here; its upstreams
// are applied.
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
	if s.Delta != nil {
		// The upstreams do not depend on it.
		if deltaErr := d.ApplyDelta(s.Delta); errors.Is(deltaErr, router.ErrOtherBase) {
			defer func() { err = deltaErr }()
		} else if deltaErr != nil {
			return deltaErr
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listed && s.position().Compare(d.position) < 0 {
		return nil
	}
	d.beginEra(s.position(), now)
	entries := make([]registrar.Listed, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		if u.ColdFor > 0 {
			u.ColdUntil = now.Add(u.ColdFor)
		}
		e := registrar.Listed{Entry: u.Entry}
		if u.ExpiresIn > 0 {
			e.ExpiresAt = now.Add(u.ExpiresIn)
		}
		entries = append(entries, e)
	}
	before, evacuated := d.registrar.Changes(), d.registrar.Evacuated()
	d.registrar.Adopt(entries, s.Removed, s.Full, now)
	d.registrar.ReplaceEvacuations(s.Evacuated)
	if d.listed && d.position == s.position() && d.registrar.Changes() == before && slices.Equal(d.registrar.Evacuated(), evacuated) {
		// Hosts that feed each other would send it back and forth.
		return nil
	}
	d.position = s.position()
	d.listed = d.listed || s.Full
	d.changes.Add(1)
	d.logKept()
	d.log.Info("directory taken over from a peer", "position", d.position.String(), "full", s.Full, "upstreams", len(entries), "removed", len(s.Removed))
	return nil
}
