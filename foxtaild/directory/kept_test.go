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
