package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// configure applies a configuration with some pools.
func configure(t *testing.T, c *coordinator.Coordinator, version uint64, now time.Time, pools ...router.Pool) {
	t.Helper()
	table, err := router.NewTable(router.Document{Version: version, Pools: pools})
	if err != nil {
		t.Fatal(err)
	}
	c.SetTable(table, now)
}

// engineEntry returns the entry of an engine with one slot.
func engineEntry(id, pool string) registrar.Entry {
	return registrar.Entry{ID: id, Pool: pool, Domain: "d", Slots: 1}
}

// TestWaitingRequestsAreDecidedAfterAChange applies changes of the configuration and
// of the upstreams while requests run and wait. Each request must get one decision in
// its time, no grant of an upstream that its pool does not have, and all slots must be
// free in the end.
func TestWaitingRequestsAreDecidedAfterAChange(t *testing.T) {
	const (
		requests = 12
		changeAt = 60 * time.Millisecond
		step     = 20 * time.Millisecond
		hold     = 100 * time.Millisecond
		last     = 3 * time.Second
	)
	old, other := router.Pool{Name: "engines", ColdRate: 13}, router.Pool{Name: "others", ColdRate: 13}
	before := []registrar.Entry{engineEntry("a", "engines"), engineEntry("b", "engines")}
	tests := map[string]struct {
		pools  []router.Pool
		after  []registrar.Entry
		fleet  func(*coordinator.Fleet)
		served bool
	}{
		"new version":                {pools: []router.Pool{old}, after: before, served: true},
		"pool added":                 {pools: []router.Pool{old, other}, after: before, served: true},
		"pool removed":               {pools: []router.Pool{other}, after: before, served: true},
		"pool and upstreams removed": {pools: []router.Pool{other}},
		"upstreams removed":          {pools: []router.Pool{old}},
		"upstreams moved":            {pools: []router.Pool{old, other}, after: []registrar.Entry{engineEntry("a", "others"), engineEntry("b", "others")}},
		"pool renamed":               {pools: []router.Pool{other}, after: []registrar.Entry{engineEntry("a", "others"), engineEntry("b", "others")}},
		"one upstream moved":         {pools: []router.Pool{old, other}, after: []registrar.Entry{engineEntry("a", "engines"), engineEntry("b", "others")}, served: true},
		"upstreams replaced":         {pools: []router.Pool{old}, after: []registrar.Entry{engineEntry("c", "engines"), engineEntry("d", "engines")}, served: true},
		"upstreams restarted":        {pools: []router.Pool{old}, after: []registrar.Entry{{ID: "a", Pool: "engines", Domain: "d", Slots: 1, Born: 1}, {ID: "b", Pool: "engines", Domain: "d", Slots: 1, Born: 1}}, served: true},
		"cold rate removed":          {pools: []router.Pool{{Name: "engines"}}, after: before, served: true},
		"no longer coordinating":     {pools: []router.Pool{old}, after: before, fleet: func(f *coordinator.Fleet) { f.Standalone = true }, served: true},
		"upstreams out of scope":     {pools: []router.Pool{old}, after: before, fleet: func(f *coordinator.Fleet) { f.Scope = nil }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			configure(t, c, 2, start, old)
			c.SetUpstreams(before, start)
			for id := range uint64(requests) {
				c.Admit("entry", request(id), start)
			}
			listed := before
			decisions, grantedAfter := make(map[uint64]int), 0
			finishAt := make(map[uint64]time.Time)
			for now := start; now.Sub(start) <= last; now = now.Add(step) {
				if now.Sub(start) == changeAt {
					configure(t, c, 3, now, tt.pools...)
					c.SetUpstreams(tt.after, now)
					if tt.fleet != nil {
						f := coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r"}}
						tt.fleet(&f)
						c.SetFleet(f, now)
					}
					listed = tt.after
				}
				for id, at := range finishAt {
					if !now.Before(at) {
						c.Finish("entry", coordinator.Finish{ID: id, Total: hold}, now)
						delete(finishAt, id)
					}
				}
				for _, d := range c.Advance(now) {
					decisions[d.ID]++
					if d.Upstream == "" {
						continue
					}
					finishAt[d.ID] = now.Add(hold)
					if now.Sub(start) >= changeAt {
						grantedAfter++
					}
					if !hasUpstream(listed, d.Upstream, "engines") {
						t.Errorf("request %d was granted %s, which its pool does not have", d.ID, d.Upstream)
					}
				}
			}
			for id := range uint64(requests) {
				if decisions[id] != 1 {
					t.Errorf("request %d got %d decisions, want 1", id, decisions[id])
				}
			}
			if served := grantedAfter > 0; served != tt.served {
				t.Errorf("%d requests granted after the change, want some: %v", grantedAfter, tt.served)
			}
			for _, l := range c.Loads(start.Add(last)) {
				if l.Running > 0 || l.Waiting > 0 {
					t.Errorf("pool %s has %d running and %d waiting requests in the end, want none", l.Pool, l.Running, l.Waiting)
				}
			}
		})
	}
}

// hasUpstream reports whether an entry with an ID and a pool is listed.
func hasUpstream(entries []registrar.Entry, id, pool string) bool {
	for _, e := range entries {
		if e.ID == id && e.Pool == pool {
			return true
		}
	}
	return false
}

// TestColdRateFollowsConfiguration counts what a cold upstream receives in any second
// after its pool got its rate, or another one, by a change of the configuration.
func TestColdRateFollowsConfiguration(t *testing.T) {
	const factor, allowance, span = 1.5, 5.0, 5 * time.Second
	cold := func(pool string) registrar.Entry {
		return registrar.Entry{ID: "a", Pool: pool, Domain: "d", Slots: 6, ColdUntil: start.Add(time.Hour)}
	}
	tests := map[string]struct {
		first, second []router.Pool
		entry         registrar.Entry
		bound         float64
	}{
		"upstream known before its pool": {nil, []router.Pool{{Name: "new", ColdRate: 13}}, cold("new"), 13},
		"rate lowered":                   {[]router.Pool{{Name: "new", ColdRate: 130}}, []router.Pool{{Name: "new", ColdRate: 13}}, cold("new"), 13},
		"rate added":                     {[]router.Pool{{Name: "new"}}, []router.Pool{{Name: "new", ColdRate: 13}}, cold("new"), 13},
		"upstream moved":                 {[]router.Pool{{Name: "old", ColdRate: 130}, {Name: "new", ColdRate: 13}}, nil, cold("old"), 13},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			configure(t, c, 2, start, tt.first...)
			c.SetUpstreams([]registrar.Entry{tt.entry}, start)
			if tt.second != nil {
				configure(t, c, 3, start, tt.second...)
			} else {
				c.SetUpstreams([]registrar.Entry{cold("new")}, start)
			}
			var sent []time.Time
			id := uint64(0)
			for now := start; now.Sub(start) < span; now = now.Add(5 * time.Millisecond) {
				id++
				r := request(id)
				r.Pool = "new"
				c.Admit("entry", r, now)
				for _, d := range c.Advance(now) {
					if d.Upstream != "" {
						sent = append(sent, now)
						c.Finish("entry", coordinator.Finish{ID: d.ID}, now)
					}
				}
			}
			if len(sent) < int(span.Seconds()) {
				t.Errorf("%d requests in %v, too few for a cold upstream to warm up", len(sent), span)
			}
			for i, from := range sent {
				n := 0
				for _, at := range sent[i:] {
					if at.Before(from.Add(time.Second)) {
						n++
					}
				}
				if bound := tt.bound*factor + allowance; float64(n) > bound {
					t.Fatalf("%d requests within a second of %v, want at most %.1f", n, from.Sub(start), bound)
				}
			}
		})
	}
}
