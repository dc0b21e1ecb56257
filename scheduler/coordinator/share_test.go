package coordinator_test

import (
	"bytes"
	"encoding/gob"
	"math"
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// withShares returns a coordinator with one engine of six slots.
func withShares(f coordinator.Features) *coordinator.Coordinator {
	c := coordinator.New("process", coordinator.Bounds{RetryRatio: 1, RetryAllowance: 1000, RetryWindow: 10 * time.Second}, coordinator.WithFeatures(f))
	c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r"}}, start)
	c.SetUpstreams([]registrar.Entry{{ID: "engine-0", Pool: "engines", Domain: "d", Slots: 6, Version: "v1"}}, start)
	return c
}

// asked returns an admission request of a workspace.
func asked(id uint64, workspace string, priority int) coordinator.Request {
	return coordinator.Request{ID: id, Pool: "engines", Workspace: workspace, Priority: priority, Prompt: 100, Output: 100, Objective: time.Minute, Left: time.Minute}
}

// makeOver has workspace big hold all slots with requests of a priority while workspace
// small asks for work and gets none, so that big is over its share from that priority on.
func makeOver(t *testing.T, c *coordinator.Coordinator, priority int) time.Time {
	t.Helper()
	for id := range uint64(6) {
		c.Admit("entry", asked(100+id, "big", priority), start)
	}
	if n := len(c.Advance(start)); n != 6 {
		t.Fatalf("%d granted, want 6", n)
	}
	for id := range uint64(3) {
		c.Admit("entry", asked(200+id, "small", 0), start)
		c.Withdraw("entry", 200+id)
	}
	return start
}

// finishOne ends one of the requests of makeOver for each of n grants and returns the
// requests that are granted instead.
func finishOne(c *coordinator.Coordinator, n int, now time.Time) (got []uint64) {
	for id := range uint64(n) {
		c.Finish("entry", coordinator.Finish{ID: 100 + id}, now)
		for _, d := range c.Advance(now) {
			if d.Upstream != "" {
				got = append(got, d.ID)
			}
		}
	}
	return got
}

// TestOrderByShare guards against an order in which a workspace over its share takes the
// place of others, loses its urgent requests first, or in which requests that must keep
// their place lose it.
func TestOrderByShare(t *testing.T) {
	tests := map[string]struct {
		// priority is that of the requests with which big exceeds its share.
		priority int
		// big and small are waiting requests of the workspaces, in this order.
		big, small []coordinator.Request
		off        bool
		want       []uint64
	}{
		"over its share goes last": {
			0,
			[]coordinator.Request{asked(1, "big", 0)},
			[]coordinator.Request{asked(2, "small", 1), asked(3, "small", 0), asked(4, "small", 2)},
			false,
			[]uint64{3, 2, 4, 1},
		},
		"without shares": {
			0,
			[]coordinator.Request{asked(1, "big", 0)},
			[]coordinator.Request{asked(2, "small", 1), asked(3, "small", 0), asked(4, "small", 2)},
			true,
			[]uint64{1, 3, 2, 4},
		},
		"streams are lost first": {
			2,
			[]coordinator.Request{asked(1, "big", 0), asked(2, "big", 2), asked(3, "big", 1)},
			[]coordinator.Request{asked(4, "small", 2)},
			false,
			[]uint64{1, 3, 4, 2},
		},
		"its own order": {
			0,
			[]coordinator.Request{asked(1, "big", 2), asked(2, "big", 1), asked(3, "big", 0)},
			[]coordinator.Request{asked(4, "small", 2)},
			false,
			[]uint64{4, 3, 2, 1},
		},
		// A redirected request follows those within their share, or a domain that is
		// evacuated would take its callers' requests past all shares.
		"bound, repeated and redirected requests": {
			0,
			[]coordinator.Request{
				with(asked(1, "big", 0), func(r *coordinator.Request) { r.Redirected = true }),
				with(asked(2, "big", 0), func(r *coordinator.Request) { r.Repeat = true }),
				with(asked(3, "big", 0), func(r *coordinator.Request) { r.Version = "v1" }),
			},
			[]coordinator.Request{asked(4, "small", 1)},
			false,
			[]uint64{3, 2, 4, 1},
		},
		"a lower tier": {
			0,
			[]coordinator.Request{asked(1, "big", 0)},
			[]coordinator.Request{with(asked(2, "small", 0), func(r *coordinator.Request) { r.Tier = 1 })},
			false,
			[]uint64{1, 2},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := withShares(coordinator.Features{FairShares: !tt.off})
			now := makeOver(t, c, tt.priority)
			for i, r := range append(slices.Clone(tt.big), tt.small...) {
				c.Admit("entry", r, now.Add(time.Duration(i)*time.Microsecond))
			}
			now = now.Add(50 * time.Millisecond)
			c.Advance(now)
			if got := finishOne(c, len(tt.want), now); !slices.Equal(got, tt.want) {
				t.Errorf("served in the order %v, want %v", got, tt.want)
			}
		})
	}
}

// with returns a changed request.
func with(r coordinator.Request, change func(r *coordinator.Request)) coordinator.Request {
	change(&r)
	return r
}

// TestStandaloneHostKeepsToShares guards against a host that decides alone, and sees only
// its own load, serving a workspace first that is over its share in the fleet, and against
// one that keeps to an old verdict.
func TestStandaloneHostKeepsToShares(t *testing.T) {
	tests := map[string]struct {
		age  time.Duration
		want []uint64
	}{
		"fresh": {time.Second, []uint64{2, 1}},
		"old":   {4 * time.Second, []uint64{1, 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			coordinating := withShares(coordinator.Features{FairShares: true})
			now := makeOver(t, coordinating, 0)
			coordinating.Admit("entry", asked(1, "big", 0), now)
			coordinating.Admit("entry", asked(2, "small", 0), now)
			now = now.Add(50 * time.Millisecond)
			coordinating.Advance(now)
			over := coordinating.OverShares(now)
			if len(over) != 1 || over[0].Workspace != "big" {
				t.Fatalf("over their share: %+v, want big", over)
			}
			c := withShares(coordinator.Features{FairShares: true})
			c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Standalone: true}, now)
			for id := range uint64(6) {
				c.Admit("entry", asked(100+id, "other", 0), now)
			}
			c.Advance(now)
			c.HoldShares(over, now)
			now = now.Add(tt.age)
			c.Admit("entry", asked(1, "big", 0), now)
			c.Admit("entry", asked(2, "small", 0), now.Add(time.Microsecond))
			if got := finishOne(c, 2, now); !slices.Equal(got, tt.want) {
				t.Errorf("served in the order %v, want %v", got, tt.want)
			}
		})
	}
}

// TestSummariesOfBothBuilds guards against summaries that one of this build and the one
// before can't read, and against unknown shares that count as none.
func TestSummariesOfBothBuilds(t *testing.T) {
	// earlier is the summary of the build before.
	type earlier struct {
		Process, Domain string
		Free            map[string]int
		Used            map[string]float64
	}
	c := withShares(coordinator.Features{FairShares: true})
	makeOver(t, c, 0)
	var buf bytes.Buffer
	sent := c.Summary(start)
	if len(sent.Shares) != 2 || sent.Shares[0].Workspace != "big" {
		t.Fatalf("shares %+v, want those of big and small", sent.Shares)
	}
	if err := gob.NewEncoder(&buf).Encode(&sent); err != nil {
		t.Fatal(err)
	}
	var read earlier
	if err := gob.NewDecoder(&buf).Decode(&read); err != nil || read.Domain != "d" {
		t.Errorf("an earlier build reads %+v: %v", read, err)
	}
	if err := gob.NewEncoder(&buf).Encode(&earlier{Process: "p2", Domain: "d2", Free: map[string]int{"engines": 0}}); err != nil {
		t.Fatal(err)
	}
	var received coordinator.Summary
	if err := gob.NewDecoder(&buf).Decode(&received); err != nil {
		t.Fatal(err)
	}
	c.Admit("entry", asked(1, "small", 0), start)
	c.RecordSummary(received, start)
	c.Advance(start.Add(50 * time.Millisecond))
	if over := c.OverShares(start.Add(50 * time.Millisecond)); len(over) != 1 || over[0].Workspace != "big" {
		t.Errorf("over their share: %+v, want big", over)
	}
}

// TestRequestThatNeverRanIsNotCharged guards against a workspace that is over its share by
// requests whose grants were not used or that upstreams refused.
func TestRequestThatNeverRanIsNotCharged(t *testing.T) {
	tests := map[string]struct {
		ending coordinator.Ending
		want   float64
	}{
		"unused":    {coordinator.Unused, 0},
		"rejected":  {coordinator.Rejected, 0},
		"unreached": {coordinator.ConnectFailed, 0},
		"complete":  {coordinator.Complete, 0.552},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := withShares(coordinator.Features{FairShares: true})
			c.Admit("entry", asked(1, "big", 0), start)
			c.Advance(start)
			c.Finish("entry", coordinator.Finish{ID: 1, Ending: tt.ending}, start)
			got := c.Summary(start).Shares
			if len(got) != 1 || len(got[0].Served) > 1 {
				t.Fatalf("shares %+v, want one workspace with one priority", got)
			}
			served := 0.0
			for _, x := range got[0].Served {
				served += x
			}
			if math.Abs(served-tt.want) > 1e-9 || math.Abs(got[0].Asked-0.552) > 1e-9 {
				t.Errorf("asked %v, served %v, want 0.552, %v", got[0].Asked, served, tt.want)
			}
		})
	}
}
