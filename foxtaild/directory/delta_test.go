package directory_test

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// changedDocument returns a document of a version whose routes differ in a few places between
// versions. An empty list of regions is one when it comes from the store.
func changedDocument(version uint64, salt int) (doc router.Document) {
	doc.Version, doc.Pools = version, []router.Pool{{Name: "p"}}
	for i := range 40 {
		r := router.Route{Name: fmt.Sprint("r", i), Prefix: fmt.Sprintf("/%d/", i), Regions: []string{}, Targets: []router.Target{{Pool: "p", Weight: 1}}}
		if i%7 == int(version)%7 {
			r.Timeout = time.Duration(version*10 + uint64(salt))
		}
		if i != int(version)%40 {
			doc.Routes = append(doc.Routes, r)
		}
	}
	return doc
}

// configure puts a document in force.
func configure(t *testing.T, d *directory.Directory, doc router.Document) {
	t.Helper()
	if err := d.Configure(doc); err != nil {
		t.Fatal(err)
	}
}

// cursorOf returns the cursor of a host that asks with the configuration that it has.
func cursorOf(d *directory.Directory) directory.Cursor { return directory.CursorAt(d.Configuration()) }

// TestPeersReceiveDeltas has hosts at random versions follow one whose configuration changes:
// each has the same routes in the end, and was sent whole documents only where it must.
func TestPeersReceiveDeltas(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		from, to := newDirectory(t, 1, 1, "a"), directory.New(slog.New(slog.DiscardHandler))
		if r.IntN(2) == 0 {
			configure(t, to, changedDocument(2, 0))
			configure(t, from, changedDocument(2, 0))
		}
		cursor, whole, skipped := cursorOf(to), 0, 0
		for version := uint64(3); version < 20; version++ {
			configure(t, from, changedDocument(version, 0))
			if r.IntN(3) == 0 && skipped < 3 {
				skipped++
				continue
			}
			skipped = 0
			s, next, _ := from.Snapshot(cursor, now)
			if s.Document != nil {
				whole++
			}
			if err := to.Adopt(s, now); err != nil {
				t.Fatal(err)
			}
			cursor = next
		}
		configure(t, from, changedDocument(20, 0))
		transfer(t, from, to, cursor)
		if !reflect.DeepEqual(from.Table().Routes(), to.Table().Routes()) {
			t.Fatal("the routes differ")
		}
		if whole > 1 {
			t.Errorf("%d whole documents were sent, want at most the first", whole)
		}
	}
}

// TestHostThatIsTooFarBehindReceivesTheWhole has a host ask whose version is not kept, or is
// another content of it, or does not understand deltas.
func TestHostThatIsTooFarBehindReceivesTheWhole(t *testing.T) {
	from := newDirectory(t, 1, 1, "a")
	for version := uint64(2); version <= 30; version++ {
		configure(t, from, changedDocument(version, 0))
	}
	at := func(doc router.Document) directory.Cursor { return directory.CursorAt(doc.Version, doc.Digest()) }
	tests := map[string]struct {
		cursor directory.Cursor
		whole  bool
	}{
		"nothing":          {directory.CursorAt(0, 0), true},
		"one behind":       {at(changedDocument(29, 0)), false},
		"long behind":      {at(changedDocument(3, 0)), true},
		"other content":    {at(changedDocument(29, 1)), true},
		"no deltas":        {directory.Cursor{}, true},
		"restored, latest": {at(changedDocument(30, 1)), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, next, ok := from.Snapshot(tt.cursor, now)
			if whole := s.Document != nil; !ok || whole != tt.whole || whole == (s.Delta != nil) || !s.Full {
				t.Errorf("whole document: %v, delta: %v, full: %v; want a whole one: %v", whole, s.Delta != nil, s.Full, tt.whole)
			}
			if _, _, ok := from.Snapshot(next, now); ok {
				t.Error("the cursor after it has further changes")
			}
		})
	}
}

// TestDeltaOfAnotherBaseLeavesTheConfiguration adopts a delta that is relative to another
// document: the upstreams that come with it are applied, the configuration stays.
func TestDeltaOfAnotherBaseLeavesTheConfiguration(t *testing.T) {
	from, to := newDirectory(t, 1, 1, "a"), newDirectory(t, 1, 1)
	configure(t, from, changedDocument(2, 0))
	configure(t, to, changedDocument(2, 1))
	cursor := cursorOf(from)
	configure(t, from, changedDocument(3, 0))
	from.Update(registrar.Position{Revision: 5}, func(r *registrar.Registrar) { r.Put(registrar.Entry{ID: "b"}) })
	s, _, _ := from.Snapshot(cursor, now)
	if err := to.Adopt(s, now); !errors.Is(err, router.ErrOtherBase) {
		t.Errorf("got %v", err)
	}
	if to.Table().Version() != 2 || len(ids(to)) != 2 {
		t.Errorf("version %d and upstreams %v, want version 2 and both upstreams", to.Table().Version(), ids(to))
	}
	transfer(t, from, to, cursorOf(to))
	if to.Table().Version() != 3 {
		t.Error("the whole document was not adopted")
	}
}
