package directory_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// listedDirectory returns a directory whose listing holds some upstreams.
func listedDirectory(t *testing.T, log *slog.Logger, revision uint64, ids ...string) *directory.Directory {
	t.Helper()
	d := directory.New(log)
	if err := d.Configure(router.Document{Version: 1, Pools: []router.Pool{{Name: "engines"}}}); err != nil {
		t.Fatal(err)
	}
	l := directory.Listing{Position: registrar.Position{Era: 1, Revision: revision}}
	for _, id := range ids {
		l.Upstreams = append(l.Upstreams, registrar.Entry{ID: id, Pool: "engines", Domain: "d", Slots: 6, Born: 1})
	}
	d.Replace(l, now)
	return d
}

// TestKeptUpstreamsAreLogged loses the entries of two upstreams around an outage of the store.
// One publishes its entry again.
func TestKeptUpstreamsAreLogged(t *testing.T) {
	var out bytes.Buffer
	d := listedDirectory(t, slog.New(slog.NewTextHandler(&out, nil)), 1, "back", "gone", "other")
	d.RecordStoreFailure(now)
	d.Replace(directory.Listing{Position: registrar.Position{Era: 1, Revision: 2}, Upstreams: []registrar.Entry{{ID: "other"}}}, now)
	d.Update(registrar.Position{Era: 1, Revision: 3}, func(r *registrar.Registrar) { r.Put(registrar.Entry{ID: "back"}) })
	d.RecordStoreResponse(now.Add(time.Minute))
	for _, want := range []string{
		`msg="upstream kept" upstream=back`, `msg="upstream kept" upstream=gone`,
		`msg="upstream no longer kept" upstream=back published=true`, `msg="upstream no longer kept" upstream=gone published=false`,
	} {
		if n := strings.Count(out.String(), want); n != 1 {
			t.Errorf("%d lines with %q, want 1, in:\n%s", n, want, out.String())
		}
	}
}

// TestGracePeriodEndsAtFedHosts has the entry of an upstream disappear around an outage of the
// store. The hosts that read the store send what they have to one that does not, which must
// not use the upstream for longer than they do.
func TestGracePeriodEndsAtFedHosts(t *testing.T) {
	at := func(revision uint64) registrar.Position { return registrar.Position{Era: 1, Revision: revision} }
	log := slog.New(slog.DiscardHandler)
	end := now.Add(2300 * time.Millisecond)
	// remove removes the upstream after an outage.
	remove := func(d *directory.Directory) {
		d.RecordStoreFailure(now)
		d.Update(at(2), func(r *registrar.Registrar) { r.Remove("left", now) })
	}
	send := func(t *testing.T, from, to *directory.Directory, c directory.Cursor, now time.Time) directory.Cursor {
		t.Helper()
		s, next, ok := from.Snapshot(c, now)
		if !ok {
			return c
		}
		if err := to.Adopt(s, now); err != nil {
			t.Fatal(err)
		}
		return next
	}
	pass := func(d *directory.Directory, revision uint64) {
		d.Update(at(revision), func(*registrar.Registrar) {})
	}
	tests := map[string]func(t *testing.T, a, b, fed *directory.Directory){
		"everything is sent in the grace period, nothing after it": func(t *testing.T, a, _, fed *directory.Directory) {
			remove(a)
			send(t, a, fed, directory.Cursor{}, now)
		},
		"the change is sent in the grace period, nothing after it": func(t *testing.T, a, _, fed *directory.Directory) {
			c := send(t, a, fed, directory.Cursor{}, now)
			remove(a)
			send(t, a, fed, c, now)
		},
		"the other source has sent a later position by the end": func(t *testing.T, a, b, fed *directory.Directory) {
			c, d := send(t, a, fed, directory.Cursor{}, now), send(t, b, fed, directory.Cursor{}, now)
			remove(a)
			remove(b)
			c, d = send(t, a, fed, c, now), send(t, b, fed, d, now)
			pass(b, 3)
			d = send(t, b, fed, d, end)
			a.RecordStoreResponse(end)
			c = send(t, a, fed, c, end)
			pass(a, 4)
			send(t, a, fed, c, end)
			b.RecordStoreResponse(end)
			send(t, b, fed, d, end)
		},
		"the other source knew no outage, and all is sent after it": func(t *testing.T, a, b, fed *directory.Directory) {
			d := send(t, b, fed, directory.Cursor{}, now)
			remove(a)
			b.Update(at(2), func(r *registrar.Registrar) { r.Remove("left", now) })
			send(t, b, fed, d, now)
			send(t, a, fed, directory.Cursor{}, now)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := listedDirectory(t, log, 1, "left", "stays"), listedDirectory(t, log, 1, "left", "stays")
			fed := directory.New(log)
			run(t, a, b, fed)
			if _, usable := fed.Usable("left", end); usable {
				t.Error("the upstream is used after the grace period")
			}
			if _, usable := fed.Usable("stays", end); !usable {
				t.Error("another upstream is not used")
			}
		})
	}
}

// TestLeavingUpstreamStaysUnusedAtFedHosts has a host that has seen an upstream leaving receive
// its entry from one that missed that, and where it is in its grace period.
func TestLeavingUpstreamStaysUnusedAtFedHosts(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	a, fed := listedDirectory(t, log, 1, "left", "stays"), listedDirectory(t, log, 1, "left", "stays")
	fed.Update(registrar.Position{Era: 1, Revision: 2}, func(r *registrar.Registrar) {
		r.Put(registrar.Entry{ID: "left", Pool: "engines", Domain: "d", Slots: 6, Born: 1, Leaving: true})
	})
	a.RecordStoreFailure(now)
	a.Replace(directory.Listing{Position: registrar.Position{Era: 1, Revision: 3}, Upstreams: []registrar.Entry{{ID: "stays"}}}, now)
	s, _, _ := a.Snapshot(directory.Cursor{}, now)
	if err := fed.Adopt(s, now); err != nil {
		t.Fatal(err)
	}
	if _, usable := fed.Usable("left", now); usable {
		t.Error("an upstream that was leaving is used again")
	}
}

// TestRemovalStaysAtFedHosts has a host that knows of an upstream's removal receive everything
// from one where the upstream is in its grace period.
func TestRemovalStaysAtFedHosts(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	at := registrar.Position{Era: 1, Revision: 2}
	a, fed := listedDirectory(t, log, 1, "left", "stays"), listedDirectory(t, log, 1, "left", "stays")
	remove := func(r *registrar.Registrar) { r.Remove("left", now) }
	a.RecordStoreFailure(now)
	a.Update(at, remove)
	fed.Update(at, remove)
	s, _, _ := a.Snapshot(directory.Cursor{}, now)
	if err := fed.Adopt(s, now); err != nil {
		t.Fatal(err)
	}
	if _, usable := fed.Usable("left", now); usable {
		t.Error("an upstream that was removed is used again")
	}
}
