package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/balancer"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// newOverflowing returns a coordinator of domain d with the feature and one engine, whose
// slots are in use. Domains near and other are in its region, far is not.
func newOverflowing(engineDomain string) *coordinator.Coordinator {
	c := coordinator.New("process", coordinator.Bounds{}, coordinator.WithFeatures(coordinator.Features{Overflow: true}))
	regions := map[string]string{"d": "r1", "near": "r1", "other": "r1", "far": "r2"}
	c.SetFleet(coordinator.Fleet{Hosts: 3, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: regions}, start)
	c.SetUpstreams([]registrar.Entry{
		{ID: "engine", Pool: "engines", Domain: engineDomain, Slots: 6, Version: "v1"},
		{ID: "engine-near", Pool: "engines", Domain: "near", Slots: 6, Version: "v2"},
		{ID: "engine-far", Pool: "engines", Domain: "far", Slots: 6, Version: "v1"},
	}, start)
	for id := range uint64(6) {
		c.Admit("entry", coordinator.Request{ID: 100 + id, Pool: "engines", Prompt: 100, Output: 500, Objective: time.Second, Left: 9 * time.Second}, start)
	}
	c.Advance(start)
	return c
}

// summaryOf returns a summary with free slots or, if there are none, a wait.
func summaryOf(domain string, free, wait int) coordinator.Summary {
	r := balancer.Room{Rate: 10, Free: max(free, 0), FirstToken: 1, Round: 5}
	if free <= 0 {
		r.Waits = []int{wait}
	}
	return coordinator.Summary{
		Process: "p-" + domain, Domain: domain, Free: map[string]int{"engines": free},
		FreeByVersion: map[string]map[string]int{"engines": {"v1": 0, "v2": free}}, Rooms: map[string]balancer.Room{"engines": r},
	}
}

// TestOverflowRules checks which requests may go where, whatever the forecasts say.
func TestOverflowRules(t *testing.T) {
	free := []coordinator.Summary{summaryOf("near", 4, 0), summaryOf("far", 4, 0)}
	tests := map[string]struct {
		change    func(r *coordinator.Request)
		summaries []coordinator.Summary
		evacuated bool
		after     time.Duration
		want      string
	}{
		"the nearest free slot":                          {summaries: free, want: "near"},
		"no summary":                                     {},
		"a redirected request":                           {summaries: free, change: func(r *coordinator.Request) { r.Redirected = true }},
		"another region only":                            {summaries: free, change: func(r *coordinator.Request) { r.Regions, r.Objective = []string{"r2"}, time.Millisecond }, want: "far"},
		"its own region only":                            {summaries: free[1:], change: func(r *coordinator.Request) { r.Regions, r.Objective = []string{"r1"}, time.Millisecond }},
		"bound to a version that is free nowhere":        {summaries: free, change: func(r *coordinator.Request) { r.Version = "v1" }},
		"bound to a version that is free":                {summaries: free, change: func(r *coordinator.Request) { r.Version = "v2" }, want: "near"},
		"stale summaries":                                {summaries: free, after: 1100 * time.Millisecond},
		"evacuated, free slots":                          {summaries: free, evacuated: true, want: "near"},
		"evacuated, the shortest queue":                  {summaries: []coordinator.Summary{summaryOf("near", -9, 900), summaryOf("far", -2, 300)}, evacuated: true, want: "far"},
		"evacuated, a redirected request":                {summaries: free, evacuated: true, change: func(r *coordinator.Request) { r.Redirected = true }},
		"a coordinator of an earlier build":              {summaries: []coordinator.Summary{{Process: "p", Domain: "near", Free: map[string]int{"engines": 3}}}, want: "near"},
		"a full coordinator of an earlier build":         {summaries: []coordinator.Summary{{Process: "p", Domain: "near", Free: map[string]int{"engines": -3}}}},
		"evacuated, a coordinator of an earlier build":   {summaries: []coordinator.Summary{{Process: "p", Domain: "near", Free: map[string]int{"engines": -3}}}, evacuated: true, want: "near"},
		"evacuated, another domain is evacuated as well": {summaries: []coordinator.Summary{{Process: "p", Domain: "near"}, summaryOf("far", -2, 300)}, evacuated: true, want: "far"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			domain := "d"
			if test.evacuated {
				domain = "other"
			}
			c := newOverflowing(domain)
			for _, s := range test.summaries {
				c.RecordSummary(s, start)
			}
			now := start.Add(time.Millisecond + test.after)
			r := coordinator.Request{ID: 1, Pool: "engines", Prompt: 100, Output: 10, Objective: 600 * time.Millisecond, Left: 5 * time.Second}
			if test.change != nil {
				test.change(&r)
			}
			c.Admit("entry", r, now)
			got := ""
			for _, d := range c.Advance(now) {
				if d.ID == 1 {
					got = d.Domain
				}
			}
			if got != test.want {
				t.Errorf("redirected to %q, want %q", got, test.want)
			}
		})
	}
}

// TestBoundRedirectsUseRoom guards against free slots that are used twice: by requests that are
// bound to a version and by others that follow before the next summary.
func TestBoundRedirectsUseRoom(t *testing.T) {
	c := newOverflowing("d")
	c.RecordSummary(summaryOf("near", 5, 0), start)
	id := uint64(0)
	redirected := func(n int, version string) (got int) {
		for range n {
			id++
			c.Admit("entry", coordinator.Request{ID: id, Pool: "engines", Prompt: 100, Output: 10, Version: version, Objective: time.Second, Left: 5 * time.Second}, start)
		}
		for _, d := range c.Advance(start) {
			if d.Domain == "near" {
				got++
			}
		}
		return got
	}
	if got := redirected(3, "v2"); got != 3 {
		t.Fatalf("%d bound requests redirected, want 3", got)
	}
	if got := redirected(4, ""); got != 2 {
		t.Errorf("%d other requests redirected, want 2, the slots left of 5", got)
	}
}

// TestSummaryTellsRooms checks what summaries report to the others: speeds as learned, cold upstreams
// for no more than they may get, and nothing without the feature.
func TestSummaryTellsRooms(t *testing.T) {
	c := newOverflowing("d")
	now := start.Add(time.Second)
	before := c.Summary(now).Rooms["engines"]
	if before.Rate != 6 || before.Free != 0 || before.Running == 0 {
		t.Errorf("room is %+v, want 6 slots of a typical engine in use", before)
	}
	for id := range uint64(6) {
		// 2.5 s of generation and 52 ms to the first token at a typical engine.
		c.Progress("entry", coordinator.Progress{ID: 100 + id, FirstToken: 104 * time.Millisecond}, now)
		c.Finish("entry", coordinator.Finish{ID: 100 + id, Ending: coordinator.Complete, FirstToken: 104 * time.Millisecond, Generating: 5 * time.Second, Tokens: 500}, now)
	}
	room := c.Summary(now).Rooms["engines"]
	if room.Rate < 3 || room.Rate > 3.2 || room.Free != 6 || room.Running != 0 || room.FirstToken < 1.5 || len(room.Waits) != 0 {
		t.Errorf("room is %+v, want six free slots at half the typical speed", room)
	}
	if l := c.Loads(now)[0]; l.WorkRate != room.Rate {
		t.Errorf("load says %v, summary %v", l.WorkRate, room.Rate)
	}
	for id := range uint64(9) {
		c.Admit("entry", coordinator.Request{ID: 200 + id, Pool: "engines", Tier: 1, Priority: 2, Prompt: 100, Output: 500, Objective: time.Second, Left: 9 * time.Second}, now)
	}
	c.Advance(now)
	room = c.Summary(now).Rooms["engines"]
	// Three requests of 2.552 s of work wait, and a new one takes as long to get a slot.
	if room.Queued[1] != 7656 || room.Queued[0] != 0 || room.Waits[0] > 1000 || room.Waits[len(room.Waits)-1] < 3000 {
		t.Errorf("room is %+v", room)
	}
	plain := newCoordinator()
	setEngines(plain, 1, nil)
	if s := plain.Summary(now); s.Rooms != nil {
		t.Errorf("rooms are %+v without the feature", s.Rooms)
	}
}
