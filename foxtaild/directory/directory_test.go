package directory_test

import (
	"log/slog"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

var now = time.Unix(1000, 0)

// newDirectory returns a directory with a version and upstreams.
func newDirectory(t *testing.T, version, revision uint64, ids ...string) *directory.Directory {
	t.Helper()
	d := directory.New(slog.New(slog.DiscardHandler))
	if err := d.Configure(router.Document{Version: version}); err != nil {
		t.Fatal(err)
	}
	d.Update(revision, func(r *registrar.Registrar) {
		for _, id := range ids {
			r.Put(registrar.Entry{ID: id, ColdUntil: now.Add(time.Second)})
		}
	})
	d.MarkListed()
	return d
}

// ids returns the usable upstreams.
func ids(d *directory.Directory) (list []string) {
	for _, e := range d.UsableUpstreams(now) {
		list = append(list, e.ID)
	}
	return list
}

// pass lets one directory tell another what it has not been told.
func pass(t *testing.T, from, to *directory.Directory, m directory.Cursor) directory.Cursor {
	t.Helper()
	s, next, ok := from.Snapshot(m, now)
	if !ok {
		t.Fatal("nothing to tell")
	}
	if err := to.Adopt(s, now); err != nil {
		t.Fatal(err)
	}
	return next
}

func TestSnapshotsCarryEverythingOnce(t *testing.T) {
	from := newDirectory(t, 3, 10, "a", "b")
	to := directory.New(slog.New(slog.DiscardHandler))
	mark := pass(t, from, to, directory.Cursor{})
	if to.Table().Version() != 3 || to.Revision() != 10 || len(ids(to)) != 2 || !to.Loaded() {
		t.Fatalf("version %d, revision %d, upstreams %v", to.Table().Version(), to.Revision(), ids(to))
	}
	if _, _, ok := from.Snapshot(mark, now); ok {
		t.Error("there is something to tell without a change")
	}
	from.Update(11, func(r *registrar.Registrar) {
		r.Forget("a")
		r.Put(registrar.Entry{ID: "c"})
		r.Evacuate("d", true)
	})
	s, _, _ := from.Snapshot(mark, now)
	if s.Full || s.Document != nil || len(s.Upstreams) != 1 || len(s.Removed) != 1 || len(s.Evacuated) != 1 {
		t.Errorf("the change is told as %+v", s)
	}
	pass(t, from, to, mark)
	if got := ids(to); len(got) != 2 || got[0] != "b" || got[1] != "c" {
		t.Errorf("upstreams %v, want b and c", got)
	}
}

// TestColdnessTravelsAsDuration gives the snapshot to a host whose clock is an
// hour ahead.
func TestColdnessTravelsAsDuration(t *testing.T) {
	from := newDirectory(t, 1, 1, "a")
	to := directory.New(slog.New(slog.DiscardHandler))
	s, _, _ := from.Snapshot(directory.Cursor{}, now)
	ahead := now.Add(time.Hour)
	if err := to.Adopt(s, ahead); err != nil {
		t.Fatal(err)
	}
	if e, _ := to.Usable("a", ahead); e.ColdUntil.Sub(ahead) != time.Second {
		t.Errorf("cold for %v, want 1s", e.ColdUntil.Sub(ahead))
	}
}

func TestNothingReverts(t *testing.T) {
	old := newDirectory(t, 3, 10, "a")
	fresh := newDirectory(t, 4, 12, "b")
	pass(t, old, fresh, directory.Cursor{})
	if fresh.Table().Version() != 4 || ids(fresh)[0] != "b" {
		t.Errorf("version %d, upstreams %v after an old snapshot", fresh.Table().Version(), ids(fresh))
	}
	fresh.Update(11, func(r *registrar.Registrar) { r.Forget("b") })
	if len(ids(fresh)) != 1 {
		t.Error("an old update was applied")
	}
	if err := fresh.Configure(router.Document{Version: 2}); err != nil || fresh.Table().Version() != 4 {
		t.Errorf("version %d, %v after an old document", fresh.Table().Version(), err)
	}
	faulty := router.Document{Version: 9, Routes: []router.Route{{Name: "r", Prefix: "x"}}}
	if err := fresh.Configure(faulty); err == nil || fresh.Table().Version() != 4 {
		t.Errorf("version %d, %v after a faulty document", fresh.Table().Version(), err)
	}
}

func TestAgeOfWhatAPeerTells(t *testing.T) {
	d := directory.New(slog.New(slog.DiscardHandler))
	d.RecordPeerSync(now.Add(-time.Second))
	if !d.PeerSyncedWithin(now, 2*time.Second) || d.PeerSyncedWithin(now, 500*time.Millisecond) {
		t.Error("the age of a peer's answer does not count")
	}
	d.RecordPeerSync(now.Add(-time.Minute))
	if !d.PeerSyncedWithin(now, 2*time.Second) {
		t.Error("an older answer of another peer replaced a newer one")
	}
	if !d.StoreStale(now, 500*time.Millisecond) {
		t.Error("an answer a second old is not stale after half a second")
	}
}
