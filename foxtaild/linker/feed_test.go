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

// manyRoutes returns a configuration of a version with many routes, one of which differs
// between versions.
func manyRoutes(version uint64) router.Document {
	d := router.Document{Version: version, Pools: []router.Pool{{Name: "engines"}}}
	for i := range 1600 {
		d.Routes = append(d.Routes, router.Route{
			Name: fmt.Sprint("route-", i), Host: "h.example", Prefix: fmt.Sprintf("/service-%d/", i), Timeout: time.Second,
			Targets: []router.Target{{Pool: "engines", Weight: 1}},
		})
	}
	d.Routes[5].Timeout = time.Duration(version)
	return d
}

// TestChangedRouteCostsNoWholeConfiguration changes a route among many. Followers that
// understand deltas are sent little, others the whole.
func TestChangedRouteCostsNoWholeConfiguration(t *testing.T) {
	d := filledDirectory(t, 1)
	l, updates := newFeedLinker(d, 3)
	old := &follower{}
	for f := range l.followers {
		if old.push == nil {
			old = f
			continue
		}
		f.cursor = (&frame{Deltas: true}).cursor()
	}
	for version := uint64(2); version < 5; version++ {
		if err := d.Configure(manyRoutes(version)); err != nil {
			t.Fatal(err)
		}
		l.updateFollowers(time.Now())
	}
	for f, got := range updates {
		whole, last := len(got[0].Snapshot), len(got[2].Snapshot)
		if f != old && last > whole/50 {
			t.Errorf("a changed route cost %d bytes, the whole %d", last, whole)
		}
		if f == old && last < whole/2 {
			t.Errorf("a host that does not understand deltas was sent %d bytes", last)
		}
		fresh := directory.New(l.log)
		for _, r := range got {
			s, err := decodeSnapshot(r.Snapshot)
			if err == nil {
				err = fresh.Adopt(s, time.Now())
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if v, digest := fresh.Configuration(); v != 4 || digest != digestOf(d) {
			t.Errorf("a follower has version %d with digest %x, want 4 with %x", v, digest, digestOf(d))
		}
	}
}

// digestOf returns the digest of a directory's configuration.
func digestOf(d *directory.Directory) uint64 {
	_, digest := d.Configuration()
	return digest
}

// TestUpdateRelativeToAnotherConfigurationIsAskedForWhole receives a delta that does not apply.
func TestUpdateRelativeToAnotherConfigurationIsAskedForWhole(t *testing.T) {
	d := filledDirectory(t, 1)
	l, _ := newFeedLinker(d, 0)
	k := &link{out: make(chan frame, 1), broken: make(chan struct{})}
	base, next := manyRoutes(7), manyRoutes(8)
	b, err := encodeSnapshot(directory.Snapshot{Delta: router.Diff(&base, base.Digest(), &next), Revision: 9})
	if err != nil {
		t.Fatal(err)
	}
	l.receiveUpdate(k, response{Snapshot: b})
	f := <-k.out
	if version, digest := d.Configuration(); !f.Fetch || !f.Deltas || f.Version != version || f.Digest != digest {
		t.Errorf("sent %+v, want a request for the directory", f)
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
