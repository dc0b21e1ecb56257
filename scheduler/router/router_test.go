package router_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"foxtaillug.org/scheduler/router"
)

// document returns a small configuration of a version.
func document(version uint64, routes ...router.Route) router.Document {
	return router.Document{
		Version: version,
		Routes:  routes,
		Pools:   []router.Pool{{Name: "engines"}, {Name: "bookings"}},
		Workspaces: []router.Workspace{
			{Name: "crews", Keys: []string{"k1", "k2"}},
		},
	}
}

// route returns a route to a pool.
func route(name, host, prefix, pool string) router.Route {
	return router.Route{Name: name, Host: host, Prefix: prefix, Targets: []router.Target{{Pool: pool, Weight: 1}}}
}

func ExampleTable_Route() {
	t, err := router.NewTable(document(1, route("all", "desk.example", "/", "bookings"), route("reports", "desk.example", "/reports/", "engines")))
	if err != nil {
		panic(err)
	}
	r, _ := t.Route("desk.example:8080", "/reports/7")
	fmt.Println(r.Name)
	r, _ = t.Route("DESK.example", "/visits")
	fmt.Println(r.Name)
	// Output:
	// reports
	// all
}

func TestLongestPrefixWins(t *testing.T) {
	table, err := router.NewTable(document(1,
		route("a", "h", "/a/", "engines"),
		route("ab", "h", "/a/b/", "engines"),
		route("other", "g", "/", "engines"),
	))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct{ host, path, want string }{
		"exact prefix":         {"h", "/a/", "a"},
		"longest of two":       {"h", "/a/b/c/d", "ab"},
		"partial segment":      {"h", "/a/bc", "a"},
		"prefix without slash": {"h", "/a", ""},
		"no matching prefix":   {"h", "/", ""},
		"unknown host":         {"x", "/a/", ""},
		"root":                 {"g", "/anything", "other"},
		"empty path":           {"g", "", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r, ok := table.Route(tt.host, tt.path); ok {
				got = r.Name
			}
			if got != tt.want {
				t.Errorf("route of %s%s is %q, want %q", tt.host, tt.path, got, tt.want)
			}
		})
	}
}

func TestInvalidDocumentIsRejected(t *testing.T) {
	tests := map[string]router.Document{
		"prefix without slash": document(1, route("r", "h", "/a", "engines")),
		"unknown pool":         document(1, route("r", "h", "/a/", "nothing")),
		"no pool":              document(1, router.Route{Name: "r", Host: "h", Prefix: "/a/"}),
	}
	for name, doc := range tests {
		t.Run(name, func(t *testing.T) {
			if table, err := router.NewTable(doc); err == nil || table != nil {
				t.Errorf("table %v, error %v; want an error and no table", table, err)
			}
		})
	}
}

func TestTargetsSplitByWeight(t *testing.T) {
	r := route("r", "h", "/", "engines")
	r.Targets = []router.Target{{Pool: "engines", Weight: 90}, {Pool: "bookings", Weight: 10}, {Pool: "none", Weight: 0}}
	const n = 20000
	counts := map[string]int{}
	for i := range n {
		id := fmt.Sprint("request-", i)
		first, again := r.Target(id), r.Target(id)
		counts[first]++
		if first != again {
			t.Fatalf("request %s got two different targets", id)
		}
	}
	if got := float64(counts["bookings"]) / n; got < 0.09 || got > 0.11 || counts["none"] > 0 {
		t.Errorf("requests by pool %v, want a tenth for bookings and none for the pool none", counts)
	}
}

func TestPoolsAreThoseOfTarget(t *testing.T) {
	tests := map[string]struct {
		targets []router.Target
		want    []string
	}{
		"one":                {[]router.Target{{Pool: "a", Weight: 1}}, []string{"a"}},
		"one, no weight":     {[]router.Target{{Pool: "a"}}, []string{"a"}},
		"split":              {[]router.Target{{Pool: "a", Weight: 1}, {Pool: "b", Weight: 3}, {Pool: "c"}}, []string{"a", "b"}},
		"the first has none": {[]router.Target{{Pool: "a"}, {Pool: "b", Weight: 3}}, []string{"b"}},
		"negative":           {[]router.Target{{Pool: "a", Weight: -1}, {Pool: "b", Weight: 1}}, []string{"b"}},
		"no weight at all":   {[]router.Target{{Pool: "a"}, {Pool: "b"}}, []string{"a"}},
		"listed twice":       {[]router.Target{{Pool: "a", Weight: 1}, {Pool: "a", Weight: 1}}, []string{"a"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := router.Route{Targets: tt.targets}
			got := map[string]bool{}
			for i := range 1000 {
				got[r.Target(fmt.Sprint("request-", i))] = true
			}
			if pools := r.Pools(); !slices.Equal(pools, tt.want) || !slices.Equal(slices.Sorted(maps.Keys(got)), tt.want) {
				t.Errorf("pools %v, requests go to %v, want %v", pools, got, tt.want)
			}
		})
	}
}

func TestVersionsNeverRevert(t *testing.T) {
	var v router.Versioned
	for _, step := range []struct {
		version uint64
		want    uint64
	}{{3, 3}, {2, 3}, {3, 3}, {9, 9}, {8, 9}} {
		table, err := router.NewTable(document(step.version))
		if err != nil {
			t.Fatal(err)
		}
		v.Apply(table)
		if v.Version() != step.want {
			t.Errorf("after Advance to version %d, version %d is in force, want %d", step.version, v.Version(), step.want)
		}
	}
}

func BenchmarkRoute(b *testing.B) {
	doc := document(1)
	for i := range 5000 {
		doc.Routes = append(doc.Routes, route(fmt.Sprint(i), "h", fmt.Sprintf("/r%d/s/", i), "engines"))
	}
	table, err := router.NewTable(doc)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Route("h", "/r4711/s/x/y"); !ok {
			b.Fatal("no route found")
		}
	}
}
