package linker

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// filledDirectory returns a directory with n upstreams.
func filledDirectory(t testing.TB, n int) *directory.Directory {
	t.Helper()
	d := directory.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err := d.Configure(router.Document{Version: 1, Pools: []router.Pool{{Name: "engines"}}}); err != nil {
		t.Fatal(err)
	}
	d.Update(registrar.Position{Revision: 1}, func(r *registrar.Registrar) {
		for i := range n {
			r.Put(registrar.Entry{ID: fmt.Sprintf("i-%010x", i), Pool: "engines", Domain: "d", Slots: 6, Address: "10.5.64.25:8104"})
		}
	})
	d.MarkListed()
	return d
}

// newFeedLinker returns a linker with followers that accept every response, and
// the responses sent to each.
func newFeedLinker(d *directory.Directory, followers int) (l *Linker, updates map[*follower][]response) {
	l = &Linker{directory: d, log: slog.New(slog.NewTextHandler(io.Discard, nil)), followers: make(map[*follower]struct{})}
	l.view.Store(&view{})
	updates = make(map[*follower][]response)
	for range followers {
		f := &follower{}
		f.push = func(r response) bool {
			updates[f] = append(updates[f], r)
			return true
		}
		l.followers[f] = struct{}{}
	}
	return l, updates
}

// TestFollowersShareOneEncoding starts many hosts of a failure domain at once and
// checks that the snapshot is encoded once for all of them, and so is a later
// change.
func TestFollowersShareOneEncoding(t *testing.T) {
	d := filledDirectory(t, 300)
	l, updates := newFeedLinker(d, 40)
	now := time.Now()
	l.updateFollowers(now)
	d.Update(registrar.Position{Revision: 2}, func(r *registrar.Registrar) { r.Remove("i-0000000001", now) })
	l.updateFollowers(now.Add(feedInterval))
	shared := make(map[int]*byte)
	for _, got := range updates {
		if len(got) != 2 {
			t.Fatalf("%d updates, want 2", len(got))
		}
		for i, r := range got {
			if shared[i] == nil {
				shared[i] = &r.Snapshot[0]
			}
			if shared[i] != &r.Snapshot[0] {
				t.Fatalf("update %d was encoded more than once", i)
			}
		}
	}
	for _, got := range updates {
		fresh := directory.New(l.log)
		for _, r := range got {
			s, err := decodeSnapshot(r.Snapshot)
			if err != nil {
				t.Fatal(err)
			}
			if err := fresh.Adopt(s, now); err != nil {
				t.Fatal(err)
			}
		}
		if want, n := len(d.UsableUpstreams(now)), len(fresh.UsableUpstreams(now)); n != want {
			t.Errorf("follower has %d upstreams, want %d", n, want)
		}
		break
	}
}

// BenchmarkFeed sends one change to the hosts of a failure domain that are
// otherwise up to date.
func BenchmarkFeed(b *testing.B) {
	d := filledDirectory(b, 3000)
	l, updates := newFeedLinker(d, 100)
	now, revision := time.Now(), uint64(1)
	l.updateFollowers(now)
	for b.Loop() {
		revision++
		d.Update(registrar.Position{Revision: revision}, func(r *registrar.Registrar) {
			r.Put(registrar.Entry{ID: "i-new", Pool: "engines", Domain: "d", Slots: 6, Born: int64(revision)})
		})
		clear(updates)
		l.updateFollowers(now)
	}
}
