package directory_test

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

var now = time.Unix(1000, 0)

// newDirectory returns a directory with a configuration of the given version and
// with upstreams at the given revision.
func newDirectory(t *testing.T, version, revision uint64, ids ...string) *directory.Directory {
	t.Helper()
	d := directory.New(slog.New(slog.DiscardHandler))
	if err := d.Configure(router.Document{Version: version}); err != nil {
		t.Fatal(err)
	}
	d.Update(registrar.Position{Revision: revision}, func(r *registrar.Registrar) {
		for _, id := range ids {
			r.Put(registrar.Entry{ID: id, ColdUntil: now.Add(time.Second)})
		}
	})
	d.MarkListed()
	return d
}

// ids returns the names of the usable upstreams.
func ids(d *directory.Directory) (list []string) {
	for _, e := range d.UsableUpstreams(now) {
		list = append(list, e.ID)
	}
	return list
}

// transfer adopts a snapshot of one directory in another and returns the new
// cursor.
func transfer(t *testing.T, from, to *directory.Directory, c directory.Cursor) directory.Cursor {
	t.Helper()
	s, next, ok := from.Snapshot(c, now)
	if !ok {
		t.Fatal("no changes in the snapshot")
	}
	if err := to.Adopt(s, now); err != nil {
		t.Fatal(err)
	}
	return next
}

func TestSnapshotsCarryEverythingOnce(t *testing.T) {
	from := newDirectory(t, 3, 10, "a", "b")
	to := directory.New(slog.New(slog.DiscardHandler))
	cursor := transfer(t, from, to, directory.Cursor{})
	if to.Table().Version() != 3 || to.Position().Revision != 10 || len(ids(to)) != 2 || !to.Loaded() {
		t.Fatalf("version %d, position %v, upstreams %v", to.Table().Version(), to.Position(), ids(to))
	}
	if _, _, ok := from.Snapshot(cursor, now); ok {
		t.Error("snapshot without a change")
	}
	from.Update(registrar.Position{Revision: 11}, func(r *registrar.Registrar) {
		r.Forget("a")
		r.Put(registrar.Entry{ID: "c"})
		r.Evacuate("d", true)
	})
	s, _, _ := from.Snapshot(cursor, now)
	if s.Full || s.Document != nil || len(s.Upstreams) != 1 || len(s.Removed) != 1 || len(s.Evacuated) != 1 {
		t.Errorf("snapshot of the change is %+v", s)
	}
	transfer(t, from, to, cursor)
	if got := ids(to); len(got) != 2 || got[0] != "b" || got[1] != "c" {
		t.Errorf("upstreams %v, want b and c", got)
	}
}

// TestColdStateIsSentAsDuration adopts a snapshot on a host whose clock is an hour
// ahead.
func TestColdStateIsSentAsDuration(t *testing.T) {
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

func TestOlderStateIsIgnored(t *testing.T) {
	old := newDirectory(t, 3, 10, "a")
	fresh := newDirectory(t, 4, 12, "b")
	transfer(t, old, fresh, directory.Cursor{})
	if fresh.Table().Version() != 4 || ids(fresh)[0] != "b" {
		t.Errorf("version %d, upstreams %v after an old snapshot", fresh.Table().Version(), ids(fresh))
	}
	fresh.Update(registrar.Position{Revision: 11}, func(r *registrar.Registrar) { r.Forget("b") })
	if len(ids(fresh)) != 1 {
		t.Error("an old update was applied")
	}
	if err := fresh.Configure(router.Document{Version: 2}); err != nil || fresh.Table().Version() != 4 {
		t.Errorf("version %d, %v after an old document", fresh.Table().Version(), err)
	}
	invalid := router.Document{Version: 9, Routes: []router.Route{{Name: "r", Prefix: "x"}}}
	if err := fresh.Configure(invalid); err == nil || fresh.Table().Version() != 4 {
		t.Errorf("version %d, %v after an invalid document", fresh.Table().Version(), err)
	}
}

func TestPeerSyncCountsFromTheStoresAnswer(t *testing.T) {
	d := directory.New(slog.New(slog.DiscardHandler))
	d.RecordPeerSync(now.Add(-time.Second))
	if !d.PeerSyncedWithin(now, 2*time.Second) || d.PeerSyncedWithin(now, 500*time.Millisecond) {
		t.Error("age of the peer's data is not counted")
	}
	d.RecordPeerSync(now.Add(-time.Minute))
	if !d.PeerSyncedWithin(now, 2*time.Second) {
		t.Error("older data of another peer replaced newer data")
	}
	if !d.StoreStale(now, 500*time.Millisecond) {
		t.Error("response of a second ago is not stale after half a second")
	}
}

// TestEarlierEraIsIgnored applies what was read before a restore after it.
func TestEarlierEraIsIgnored(t *testing.T) {
	old := newDirectory(t, 3, 10, "a")
	restored := newDirectory(t, 3, 10, "a")
	restored.Replace(directory.Listing{Position: registrar.Position{Era: 1, Revision: 5}, Upstreams: []registrar.Entry{{ID: "b"}}}, now)
	transfer(t, old, restored, directory.Cursor{})
	restored.Update(registrar.Position{Revision: 99}, func(r *registrar.Registrar) { r.Put(registrar.Entry{ID: "c"}) })
	restored.Replace(directory.Listing{Position: registrar.Position{Revision: 99}}, now)
	if got := ids(restored); !slices.Contains(got, "b") || slices.Contains(got, "c") {
		t.Errorf("upstreams %v, want b and not c", got)
	}
	if got, want := restored.Position(), (registrar.Position{Era: 1, Revision: 5}); got != want {
		t.Errorf("position %v, want %v", got, want)
	}
	transfer(t, restored, old, directory.Cursor{})
	if got, want := old.Position(), restored.Position(); got != want {
		t.Errorf("position %v after a snapshot of the later era, want %v", got, want)
	}
}

// TestFollowerThatMissedManyRemovalsGetsEverything removes more upstreams between two
// snapshots than removals are kept.
func TestFollowerThatMissedManyRemovalsGetsEverything(t *testing.T) {
	from := newDirectory(t, 1, 1, "kept", "removed")
	to := directory.New(slog.New(slog.DiscardHandler))
	cursor := transfer(t, from, to, directory.Cursor{})
	from.Update(registrar.Position{Revision: 2}, func(r *registrar.Registrar) {
		r.Forget("removed")
		for i := range 5000 {
			id := fmt.Sprint("short-lived ", i)
			r.Put(registrar.Entry{ID: id})
			r.Forget(id)
		}
	})
	transfer(t, from, to, cursor)
	if got := ids(to); !slices.Equal(got, []string{"kept"}) {
		t.Errorf("upstreams %v, want only kept", got)
	}
}
