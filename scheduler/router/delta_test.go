package router_test

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/router"
)

// drawDocument draws a document whose names repeat now and then.
func drawDocument(t *rapid.T, version uint64) router.Document {
	d := router.Document{Version: version, Limits: router.Limits{BodyBytes: rapid.Int64Range(0, 2).Draw(t, "limit")}}
	for range rapid.IntRange(0, 8).Draw(t, "routes") {
		d.Routes = append(d.Routes, router.Route{
			Name: fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "route")), Timeout: time.Duration(rapid.IntRange(0, 1).Draw(t, "timeout")),
			Regions: rapid.SampledFrom([][]string{nil, {"r"}, {"r", "s"}}).Draw(t, "regions"), Targets: []router.Target{{Pool: "p", Weight: 1}},
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "pools") {
		d.Pools = append(d.Pools, router.Pool{Name: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "pool")), Stride: rapid.IntRange(0, 1).Draw(t, "stride")})
	}
	for range rapid.IntRange(0, 4).Draw(t, "workspaces") {
		d.Workspaces = append(d.Workspaces, router.Workspace{Name: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace")), Keys: rapid.SampledFrom([][]string{nil, {"k"}, {"l"}}).Draw(t, "keys")})
	}
	return d
}

// TestDeltaYieldsTheDocument applies the delta between two documents to the first one.
func TestDeltaYieldsTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawDocument(t, 1), drawDocument(t, 2)
		digest := base.Digest()
		got, err := router.Diff(&base, digest, &next).Apply(&base, digest)
		if err != nil || !reflect.DeepEqual(got, next) || got.Digest() != next.Digest() {
			t.Fatalf("got %+v, %v; want %+v", got, err, next)
		}
	})
}

// TestDigestOfEmptyLists compares documents whose lists are empty or missing.
func TestDigestOfEmptyLists(t *testing.T) {
	missing := router.Document{Version: 1, Routes: []router.Route{{Name: "r"}}, Workspaces: []router.Workspace{{Name: "w"}}}
	empty := router.Document{
		Version: 1, Pools: []router.Pool{}, Routes: []router.Route{{Name: "r", Regions: []string{}, Targets: []router.Target{}}},
		Workspaces: []router.Workspace{{Name: "w", Keys: []string{}, Regions: []string{}}},
	}
	none := router.Document{Version: 1}
	if missing.Digest() != empty.Digest() || missing.Digest() == none.Digest() {
		t.Errorf("digests %x, %x, %x; want the first two alike", missing.Digest(), empty.Digest(), none.Digest())
	}
}

// bigDocument returns a document with many routes.
func bigDocument(version uint64, routes int) (d router.Document) {
	d.Version, d.Pools = version, []router.Pool{{Name: "p"}}
	for i := range routes {
		d.Routes = append(d.Routes, router.Route{Name: fmt.Sprint("route-", i), Prefix: fmt.Sprintf("/%d/", i), Targets: []router.Target{{Pool: "p", Weight: 1}}})
	}
	return d
}

// TestDeltaHoldsWhatDiffers changes, adds and removes a route among many.
func TestDeltaHoldsWhatDiffers(t *testing.T) {
	base := bigDocument(1, 1600)
	tests := map[string]struct {
		change func(d *router.Document)
		edits  int
		added  int
	}{
		"version only": {func(*router.Document) {}, 1, 0},
		"changed":      {func(d *router.Document) { d.Routes[800].Timeout = time.Second }, 2, 1},
		"added":        {func(d *router.Document) { d.Routes = append(d.Routes, router.Route{Name: "new"}) }, 1, 1},
		"removed":      {func(d *router.Document) { d.Routes = slices.Delete(d.Routes, 800, 801) }, 2, 0},
		"all replaced": {func(d *router.Document) { d.Routes = []router.Route{{Name: "new"}} }, 1, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			next := bigDocument(2, 1600)
			tt.change(&next)
			x := router.Diff(&base, base.Digest(), &next)
			added := 0
			for _, e := range x.Routes {
				added += len(e.New)
			}
			if len(x.Routes) != tt.edits || added != tt.added {
				t.Errorf("%d edits with %d routes, want %d with %d", len(x.Routes), added, tt.edits, tt.added)
			}
		})
	}
}

// TestDeltaOfAnotherBaseIsRefused applies deltas to documents that are not their base.
func TestDeltaOfAnotherBaseIsRefused(t *testing.T) {
	base, next := bigDocument(1, 3), bigDocument(2, 4)
	x := router.Diff(&base, base.Digest(), &next)
	older, other := bigDocument(0, 3), bigDocument(1, 2)
	for name, d := range map[string]router.Document{"older": older, "same version, other content": other, "the result": next} {
		if got, err := x.Apply(&d, d.Digest()); !errors.Is(err, router.ErrOtherBase) {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
	}
	for name, e := range map[string]router.Edit[router.Route]{
		"negative": {From: -1, Count: 1}, "beyond the end": {From: 3, Count: 1}, "negative count": {Count: -1}, "too many": {From: 1, Count: 1 << 62},
	} {
		y := *x
		y.Routes = []router.Edit[router.Route]{e}
		if got, err := y.Apply(&base, base.Digest()); err == nil {
			t.Errorf("%s: got %+v", name, got)
		}
	}
}

// BenchmarkDelta makes and applies the delta of one route among 1,600.
func BenchmarkDelta(b *testing.B) {
	base, next := bigDocument(1, 1600), bigDocument(2, 1600)
	next.Routes[800].Timeout = time.Second
	digest := base.Digest()
	for b.Loop() {
		if _, err := router.Diff(&base, digest, &next).Apply(&base, digest); err != nil {
			b.Fatal(err)
		}
	}
}
