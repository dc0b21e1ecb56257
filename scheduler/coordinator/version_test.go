package coordinator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// setVersions sets an engine of each given version in the coordinator's failure domain.
func setVersions(c *coordinator.Coordinator, versions ...string) {
	i := 0
	setEngines(c, len(versions), func(e *registrar.Entry) {
		e.Version = versions[i]
		i++
	})
}

// bound returns an admission request that is bound to a version.
func bound(id uint64, version string) coordinator.Request {
	r := request(id)
	r.Version = version
	return r
}

// occupy runs n requests that are bound to a version, with IDs from a first one on.
func occupy(t *testing.T, c *coordinator.Coordinator, first uint64, n int, version string, now time.Time) {
	t.Helper()
	for i := range n {
		c.Admit("entry", bound(first+uint64(i), version), now)
	}
	for _, d := range c.Advance(now) {
		if d.Upstream == "" {
			t.Fatalf("no slot of %s: %+v", version, d)
		}
	}
}

// failConnections runs n requests at an engine's version and reports failed connections.
func failConnections(t *testing.T, c *coordinator.Coordinator, n int, version string) {
	t.Helper()
	occupy(t, c, 500, n, version, start)
	for i := range n {
		c.Finish("entry", coordinator.Finish{ID: 500 + uint64(i), Ending: coordinator.ConnectFailed}, start)
	}
}

// TestBoundRequest admits a request that is bound to version v1 in a pool of engine-0, of
// v1, and engine-1, of v2.
func TestBoundRequest(t *testing.T) {
	const v1, v2 = "v1", "v2"
	tests := map[string]struct {
		prepare func(t *testing.T, c *coordinator.Coordinator)
		change  func(r *coordinator.Request)
		// want is the upstream granted, reason that of a refusal; with neither the
		// request waits for a slot.
		want   string
		reason coordinator.Reason
		// after is the time after which the decision is made.
		after time.Duration
		// retryAfter is the least Retry-After of a refusal, retryBy the longest if set.
		retryAfter, retryBy time.Duration
	}{
		"other version is less loaded": {
			prepare: func(t *testing.T, c *coordinator.Coordinator) { occupy(t, c, 100, 5, v1, start) },
			want:    "engine-0",
		},
		"only another version is free": {
			prepare: func(t *testing.T, c *coordinator.Coordinator) { occupy(t, c, 100, 6, v1, start) },
		},
		"slot of its version becomes free": {
			prepare: func(t *testing.T, c *coordinator.Coordinator) {
				occupy(t, c, 100, 6, v1, start)
				c.Finish("entry", coordinator.Finish{ID: 100}, start.Add(time.Second))
			},
			after: time.Second, want: "engine-0",
		},
		"full for as long as it may wait": {
			prepare: func(t *testing.T, c *coordinator.Coordinator) { occupy(t, c, 100, 6, v1, start) },
			after:   1420 * time.Millisecond, reason: coordinator.NoCapacity,
		},
		"no upstream of its version": {
			prepare: func(_ *testing.T, c *coordinator.Coordinator) { setVersions(c, v2, v2) },
			reason:  coordinator.NoUpstream, retryAfter: time.Second,
		},
		"similar versions only": {
			prepare: func(_ *testing.T, c *coordinator.Coordinator) { setVersions(c, "v1.0", "V1", "v10") },
			reason:  coordinator.NoUpstream, retryAfter: time.Second,
		},
		"versions of upstreams are unknown": {
			prepare: func(_ *testing.T, c *coordinator.Coordinator) { setVersions(c, "", "") },
			reason:  coordinator.NoUpstream, retryAfter: time.Second,
		},
		"upstream restarted at another version": {
			prepare: func(_ *testing.T, c *coordinator.Coordinator) {
				setEngines(c, 1, func(e *registrar.Entry) { e.Born, e.Version = 7, v2 })
			},
			reason: coordinator.NoUpstream, retryAfter: time.Second,
		},
		"upstreams of its version left": {
			prepare: func(t *testing.T, c *coordinator.Coordinator) {
				occupy(t, c, 100, 1, v1, start)
				c.SetUpstreams([]registrar.Entry{{ID: "engine-1", Pool: "engines", Domain: "d", Slots: 6, Version: v2}}, start)
			},
			reason: coordinator.NoUpstream, retryAfter: time.Second,
		},
		"excluded": {
			change: func(r *coordinator.Request) { r.Exclude = []string{"engine-0"} },
			reason: coordinator.NoUpstream, retryAfter: time.Second,
		},
		"one of two excluded": {
			prepare: func(_ *testing.T, c *coordinator.Coordinator) { setVersions(c, v1, v2, v1) },
			change:  func(r *coordinator.Request) { r.Exclude = []string{"engine-0"} },
			want:    "engine-2",
		},
		"in another region": {
			change: func(r *coordinator.Request) { r.Regions = []string{"s"} },
			reason: coordinator.NoUpstream, retryAfter: time.Second,
		},
		"redirected, none here": {
			prepare: func(_ *testing.T, c *coordinator.Coordinator) { setVersions(c, v2) },
			change:  func(r *coordinator.Request) { r.Redirected = true },
			reason:  coordinator.NoUpstream, retryAfter: time.Second,
		},
		"ejected for a moment": {
			prepare: func(t *testing.T, c *coordinator.Coordinator) { failConnections(t, c, 1, v1) },
			after:   320 * time.Millisecond, want: "engine-0",
		},
		"ejected for longer than it may wait": {
			prepare: func(t *testing.T, c *coordinator.Coordinator) { failConnections(t, c, 4, v1) },
			reason:  coordinator.NoUpstream, retryAfter: time.Second,
		},
		"cold, within its rate": {
			prepare: func(_ *testing.T, c *coordinator.Coordinator) {
				setEngines(c, 2, func(e *registrar.Entry) {
					e.Version = map[string]string{"engine-0": v1, "engine-1": v2}[e.ID]
					if e.Version == v1 {
						e.ColdUntil = start.Add(time.Hour)
					}
				})
			},
			after: 200 * time.Millisecond, want: "engine-0",
		},
		"cold at a standalone host": {
			prepare: func(_ *testing.T, c *coordinator.Coordinator) {
				setEngines(c, 1, func(e *registrar.Entry) { e.Version, e.ColdUntil = v1, start.Add(3*time.Second) })
				c.SetFleet(coordinator.Fleet{Hosts: 3, Share: 0.1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Standalone: true}, start)
			},
			reason: coordinator.NoCapacity, retryAfter: time.Second,
		},
		"only in another domain, at a standalone host": {
			prepare: func(_ *testing.T, c *coordinator.Coordinator) {
				setEngines(c, 1, func(e *registrar.Entry) { e.Version, e.Domain = v1, "near" })
				c.SetFleet(coordinator.Fleet{Hosts: 3, Share: 0.1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Standalone: true}, start)
			},
			reason: coordinator.NoUpstream, retryAfter: 100 * time.Millisecond, retryBy: 200 * time.Millisecond,
		},
		"not bound": {
			prepare: func(t *testing.T, c *coordinator.Coordinator) { occupy(t, c, 100, 6, v1, start) },
			change:  func(r *coordinator.Request) { r.Version = "" },
			want:    "engine-1",
		},
		"not bound, versions unknown": {
			prepare: func(_ *testing.T, c *coordinator.Coordinator) { setVersions(c, "") },
			change:  func(r *coordinator.Request) { r.Version = "" },
			want:    "engine-0",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			setVersions(c, v1, v2)
			if tt.prepare != nil {
				tt.prepare(t, c)
			}
			r := bound(1, v1)
			if tt.change != nil {
				tt.change(&r)
			}
			c.Admit("entry", r, start)
			decided := tt.want != "" || tt.reason != coordinator.None
			for waited := time.Duration(0); waited <= tt.after; waited += 20 * time.Millisecond {
				d := c.Advance(start.Add(waited))
				if len(d) == 0 {
					continue
				}
				if !decided || len(d) != 1 || d[0].Upstream != tt.want || d[0].Reason != tt.reason || d[0].Domain != "" || d[0].RetryAfter < tt.retryAfter || tt.retryBy > 0 && d[0].RetryAfter > tt.retryBy {
					t.Errorf("decision %+v, want upstream %q or refusal %v with RetryAfter of at least %v, at most %v if set", d, tt.want, tt.reason, tt.retryAfter, tt.retryBy)
				}
				return
			}
			if decided {
				t.Errorf("no decision after %v, want upstream %q or refusal %v", tt.after, tt.want, tt.reason)
			}
		})
	}
}

// TestRedirectOfBoundRequest has upstreams of several versions in the directory and
// summaries of some of the other coordinators.
func TestRedirectOfBoundRequest(t *testing.T) {
	regionOf := map[string]string{"d": "r", "near": "r", "far": "s", "farther": "s"}
	type (
		versions = map[string][]string
		free     = map[string]map[string]int
	)
	tests := map[string]struct {
		// directory lists the versions of the upstreams of each domain.
		directory versions
		// free holds the free slots of the other coordinators by version, or as ""
		// those of one that does not say versions.
		free free
		// busy is the number of requests of v1 that run here.
		busy    int
		change  func(r *coordinator.Request)
		want    string
		refused bool
	}{
		"version in another domain only":    {versions{"d": {"v2"}, "near": {"v2"}, "far": {"v1"}}, free{"near": {"": 6}, "far": {"": 1}}, 0, nil, "far", false},
		"version in a full domain only":     {versions{"d": {"v2"}, "near": {"v2"}, "far": {"v1"}}, free{"near": {"": 6}, "far": {"": -3}}, 0, nil, "far", false},
		"version in two domains":            {versions{"near": {"v1", "v2"}, "far": {"v1", "v2"}}, free{"near": {"v1": -2, "v2": 6}, "far": {"v1": 2, "v2": -2}}, 0, nil, "far", false},
		"full here, free there":             {versions{"d": {"v1", "v2"}, "near": {"v1", "v2"}}, free{"near": {"v1": 1, "v2": -3}}, 6, nil, "near", false},
		"full here, only others free there": {versions{"d": {"v1", "v2"}, "near": {"v1", "v2"}}, free{"near": {"v1": 0, "v2": 6}}, 6, nil, "", false},
		"full here, none there":             {versions{"d": {"v1"}, "near": {"v2"}}, free{"near": {"": 6}}, 6, nil, "", false},
		"domain without host":               {versions{"d": {"v2"}, "near": {"v2"}, "farther": {"v1"}}, free{"near": {"v2": 9}, "far": {"v1": 1}}, 0, nil, "far", false},
		"domain without host, one version":  {versions{"d": {"v2"}, "farther": {"v1"}}, free{"far": {"": 1}}, 0, nil, "far", false},
		"domain without host, other region": {versions{"d": {"v2"}, "farther": {"v1"}}, free{"near": {"": 1}}, 0, func(r *coordinator.Request) { r.Regions = []string{"s"} }, "near", false},
		"domain without host, none yet":     {versions{"d": {"v2"}, "near": {"v2"}, "farther": {"v1"}}, free{"near": {"v2": 9, "v3": 1}}, 0, nil, "", false},
		"domain out of touch":               {versions{"d": {"v2"}, "near": {"v1"}}, nil, 0, nil, "", false},
		"disallowed region":                 {versions{"d": {"v2"}, "far": {"v1"}}, free{"far": {"": 6}}, 0, func(r *coordinator.Request) { r.Regions = []string{"r"} }, "", true},
		"excluded there":                    {versions{"d": {"v2"}, "near": {"v1"}}, free{"near": {"": 6}}, 0, func(r *coordinator.Request) { r.Exclude = []string{"near-0"} }, "", true},
		"one of two excluded there":         {versions{"d": {"v2"}, "near": {"v1", "v1"}}, free{"near": {"": 6}}, 0, func(r *coordinator.Request) { r.Exclude = []string{"near-0"} }, "near", false},
		"redirected before":                 {versions{"d": {"v2"}, "near": {"v1"}}, free{"near": {"": 6}}, 0, func(r *coordinator.Request) { r.Redirected = true }, "", true},
		"version nowhere":                   {versions{"d": {"v2"}, "near": {"v2"}, "far": {"v3"}}, free{"near": {"": 6}, "far": {"": 6}}, 0, nil, "", true},
		"not bound, full here":              {versions{"d": {"v1"}, "near": {"v2"}}, free{"near": {"": 6}}, 6, func(r *coordinator.Request) { r.Version = "" }, "near", false},
		"not bound, several versions there": {versions{"d": {"v1"}, "near": {"v2", "v3"}}, free{"near": {"v2": 6, "v3": 0}}, 6, func(r *coordinator.Request) { r.Version = "" }, "near", false},
		"not bound, upstreams elsewhere":    {versions{"near": {"v2"}}, free{"near": {"": -6}}, 0, func(r *coordinator.Request) { r.Version = "" }, "near", false},
		"not bound, upstreams out of touch": {versions{"near": {"v2"}}, nil, 0, func(r *coordinator.Request) { r.Version = "" }, "", false},
		"not bound, allowed regions only":   {versions{"d": {"v1"}, "far": {"v2"}}, free{"far": {"": 6}}, 6, func(r *coordinator.Request) { r.Version, r.Regions = "", []string{"r"} }, "", false},
		"not bound, several versions, busy": {versions{"d": {"v1"}, "near": {"v2", "v3"}}, free{"near": {"v2": 1, "v3": -1}}, 6, func(r *coordinator.Request) { r.Version = "" }, "", false},
		"summary lacks the version":         {versions{"near": {"v1", "v2"}}, free{"near": {"v2": 6, "v3": 6}}, 0, nil, "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			c.SetFleet(coordinator.Fleet{Hosts: 3, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: regionOf}, start)
			var entries []registrar.Entry
			for domain, list := range tt.directory {
				for i, v := range list {
					entries = append(entries, registrar.Entry{ID: fmt.Sprint(domain, "-", i), Pool: "engines", Domain: domain, Slots: 6, Version: v})
				}
			}
			c.SetUpstreams(entries, start)
			for domain, byVersion := range tt.free {
				s := coordinator.Summary{Process: domain, Domain: domain, Free: map[string]int{}}
				for _, n := range byVersion {
					s.Free["engines"] += n
				}
				if _, unknown := byVersion[""]; !unknown {
					s.FreeByVersion = map[string]map[string]int{"engines": byVersion}
				}
				c.RecordSummary(s, start)
			}
			occupy(t, c, 100, tt.busy, "v1", start)
			r := bound(1, "v1")
			if tt.change != nil {
				tt.change(&r)
			}
			c.Admit("entry", r, start)
			var got coordinator.Decision
			for _, d := range c.Advance(start) {
				got = d
			}
			if got.Domain != tt.want || got.Upstream != "" || (got.Reason == coordinator.NoUpstream) != tt.refused {
				t.Errorf("decision %+v, want redirect to %q, refused %v", got, tt.want, tt.refused)
			}
		})
	}
}

// TestRedirectsOfOneVersionAreCounted redirects more requests than a domain has slots of
// their version, between two summaries.
func TestRedirectsOfOneVersionAreCounted(t *testing.T) {
	c := newCoordinator()
	c.SetUpstreams([]registrar.Entry{
		{ID: "engine-0", Pool: "engines", Domain: "d", Slots: 6, Version: "v1"},
		{ID: "near-0", Pool: "engines", Domain: "near", Slots: 6, Version: "v1"},
		{ID: "near-1", Pool: "engines", Domain: "near", Slots: 6, Version: "v2"},
	}, start)
	occupy(t, c, 100, 6, "v1", start)
	c.RecordSummary(coordinator.Summary{Process: "p", Domain: "near", Free: map[string]int{"engines": 5}, FreeByVersion: map[string]map[string]int{"engines": {"v1": 2, "v2": 3}}}, start)
	admit := func(first uint64, n int, version string) (redirected int) {
		for id := range uint64(n) {
			c.Admit("entry", bound(first+id, version), start)
		}
		for _, d := range c.Advance(start) {
			if d.Domain == "near" {
				redirected++
			}
		}
		return redirected
	}
	if got := admit(200, 5, "v1"); got != 2 {
		t.Errorf("%d requests of a version redirected, want 2, its free slots", got)
	}
	if got := admit(300, 5, ""); got != 3 {
		t.Errorf("%d requests redirected then, want 3, the slots left", got)
	}
}

// TestSummaryOfVersions checks the free slots that other coordinators are told of, with
// queued requests of a scarce version.
func TestSummaryOfVersions(t *testing.T) {
	tests := map[string]struct {
		versions []string
		// running and waiting are numbers of requests by version, "" if not bound.
		running, waiting map[string]int
		free             int
		byVersion        map[string]int
	}{
		"idle":                            {[]string{"v1", "v2", "v2"}, nil, nil, 18, map[string]int{"v1": 6, "v2": 12}},
		"one version":                     {[]string{"v1", "v1"}, map[string]int{"v1": 3}, nil, 9, map[string]int{"v1": 9}},
		"one version, queue":              {[]string{"v1"}, map[string]int{"v1": 6}, map[string]int{"v1": 2, "": 3}, -5, map[string]int{"v1": -5}},
		"queue of a scarce version":       {[]string{"v1", "v2", "v2"}, map[string]int{"v1": 6}, map[string]int{"v1": 30}, 12, map[string]int{"v1": -30, "v2": 12}},
		"full, queue of a scarce version": {[]string{"v1", "v2"}, map[string]int{"v1": 6, "v2": 6}, map[string]int{"v1": 10}, -5, map[string]int{"v1": -10, "v2": 0}},
		"versions unknown":                {[]string{"", ""}, nil, nil, 12, nil},
		"full, queue for any":             {[]string{"v1", "v2", "v2"}, map[string]int{"v1": 6, "v2": 12}, map[string]int{"": 9}, -9, map[string]int{"v1": -3, "v2": -6}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			setVersions(c, tt.versions...)
			id := uint64(0)
			for _, load := range []map[string]int{tt.running, tt.waiting} {
				for _, version := range slices.Sorted(maps.Keys(load)) {
					for range load[version] {
						id++
						c.Admit("entry", bound(id, version), start)
					}
				}
				c.Advance(start)
			}
			s := c.Summary(start)
			if got := s.Free["engines"]; got != tt.free {
				t.Errorf("%d slots free, want %d", got, tt.free)
			}
			if got := s.FreeByVersion["engines"]; !maps.Equal(got, tt.byVersion) {
				t.Errorf("slots free by version %v, want %v", got, tt.byVersion)
			}
		})
	}
}
