package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// advanceOne advances the coordinator and returns its only decision.
func advanceOne(t *testing.T, c *coordinator.Coordinator, now time.Time) coordinator.Decision {
	t.Helper()
	d := c.Advance(now)
	if len(d) != 1 {
		t.Fatalf("%d decisions, want 1: %+v", len(d), d)
	}
	return d[0]
}

// request returns an admission request for an engine.
func request(id uint64) coordinator.Request {
	return coordinator.Request{ID: id, Pool: "engines", Prompt: 100, Output: 10, Objective: 600 * time.Millisecond, Left: 5 * time.Second}
}

// setEngines sets n engines in the coordinator's failure domain.
func setEngines(c *coordinator.Coordinator, n int, change func(*registrar.Entry)) {
	var entries []registrar.Entry
	for i := range n {
		e := registrar.Entry{ID: fmt.Sprint("engine-", i), Pool: "engines", Domain: "d", Slots: 6}
		if change != nil {
			change(&e)
		}
		entries = append(entries, e)
	}
	c.SetUpstreams(entries, start)
}

func TestSlotsAreNotExceeded(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 1, nil)
	for id := range uint64(10) {
		c.Admit("entry", request(id), start)
	}
	if got := c.Advance(start); len(got) != 6 {
		t.Fatalf("%d requests granted, want 6, the number of slots", len(got))
	}
	c.Finish("entry", coordinator.Finish{ID: 0}, start)
	if got := advanceOne(t, c, start); got.Upstream != "engine-0" {
		t.Errorf("freed slot was not granted: %+v", got)
	}
}

// TestAdoptedRequestReleasesSlot guards against slots that are lost when an
// entry host changes its coordinator: the new one counted the running requests
// of the host and never ended them.
func TestAdoptedRequestReleasesSlot(t *testing.T) {
	tests := map[string]func(c *coordinator.Coordinator) time.Time{
		"finish": func(c *coordinator.Coordinator) time.Time {
			c.Finish("entry", coordinator.Finish{ID: 1}, start)
			return start
		},
		"link closed": func(c *coordinator.Coordinator) time.Time {
			c.DropEntry("entry")
			return start
		},
		"deadline passed": func(c *coordinator.Coordinator) time.Time {
			now := start.Add(7 * time.Second)
			c.Advance(now)
			return now
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			setEngines(c, 1, nil)
			c.Adopt("entry", []coordinator.Running{{ID: 1, Upstream: "engine-0", Left: 5 * time.Second}}, start)
			if got := c.Summary(start).Free["engines"]; got != 5 {
				t.Fatalf("%d slots free with an adopted request, want 5", got)
			}
			now := end(c)
			if got := c.Summary(now).Free["engines"]; got != 6 {
				t.Errorf("%d slots free after the request ended, want 6", got)
			}
		})
	}
}

// TestColdUpstreamRateIsBounded counts the requests that a cold upstream
// receives in any second from a coordinator, from a second one that also
// considers itself the coordinator, and from all hosts as standalone ones.
func TestColdUpstreamRateIsBounded(t *testing.T) {
	const perSecond, factor, allowance, hosts = 13.0, 1.5, 5.0, 12
	var sent []time.Time
	flood := func(c *coordinator.Coordinator) {
		setEngines(c, 1, func(e *registrar.Entry) { e.ColdUntil = start.Add(time.Hour) })
		id := uint64(0)
		for ms := 0; ms < 5000; ms += 5 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			id++
			c.Admit("entry", request(id), now)
			for _, d := range c.Advance(now) {
				if d.Upstream != "" {
					sent = append(sent, now)
					c.Finish("entry", coordinator.Finish{ID: d.ID}, now)
				}
			}
		}
	}
	flood(newCoordinator())
	flood(newCoordinator())
	if len(sent) < 2*5 {
		t.Errorf("%d requests in 5 s, too few for a cold upstream to warm up", len(sent))
	}
	for range hosts {
		c := newCoordinator()
		c.SetFleet(coordinator.Fleet{Hosts: hosts, Share: 1. / hosts, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Standalone: true}, start)
		flood(c)
	}
	for _, from := range sent {
		n := 0
		for _, at := range sent {
			if !at.Before(from) && at.Before(from.Add(time.Second)) {
				n++
			}
		}
		if bound := perSecond*factor + allowance; float64(n) > bound {
			t.Fatalf("%d requests within a second of %v, want at most %.1f", n, from.Sub(start), bound)
		}
	}
}

// TestRetryBudget lets every failure domain of a fleet retry as often as it can
// and counts the retries in any window.
func TestRetryBudget(t *testing.T) {
	const (
		domains, ratio, allowance = 3, 0.2, 58.0
		window                    = 10 * time.Second
		perSecond                 = 20
	)
	var retries []time.Time
	for range domains {
		c := newCoordinator()
		c.SetFleet(coordinator.Fleet{Hosts: 9, Share: 1. / domains, QuotaShare: 1, Domain: "d", Scope: []string{"d"}}, start)
		setEngines(c, 20, nil)
		id := uint64(0)
		for ms := 0; ms < 40_000; ms += 1000 / perSecond {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for range 4 {
				r := request(id)
				r.Repeat = id%4 != 0
				id++
				c.Admit("entry", r, now)
				for _, d := range c.Advance(now) {
					if d.Upstream != "" && r.Repeat {
						retries = append(retries, now)
					}
					c.Finish("entry", coordinator.Finish{ID: d.ID}, now)
				}
			}
		}
	}
	bound := ratio*perSecond*domains*window.Seconds() + allowance
	for _, from := range retries {
		n := 0
		for _, at := range retries {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		if float64(n) > bound {
			t.Fatalf("%d retries within 10 s of %v, want at most %.0f", n, from.Sub(start), bound)
		}
	}
	if len(retries) == 0 {
		t.Error("no retry was allowed")
	}
}

func TestRedirectTarget(t *testing.T) {
	regionOf := map[string]string{"d": "r", "near": "r", "far": "s"}
	tests := map[string]struct {
		free    map[string]int
		regions []string
		age     time.Duration
		// busy domains have an engine of their own without a free slot.
		busy bool
		want string
	}{
		"nearest domain first":               {map[string]int{"near": 1, "far": 9}, nil, 0, true, "near"},
		"far domain if the near one is full": {map[string]int{"near": 0, "far": 9}, nil, 0, true, "far"},
		"waits if all are full":              {map[string]int{"near": 0, "far": -3}, nil, 0, true, ""},
		"allowed regions only":               {map[string]int{"far": 9}, []string{"r"}, 0, true, ""},
		"outdated summary":                   {map[string]int{"near": 5}, nil, 3 * time.Second, true, ""},
		"evacuated, all full":                {map[string]int{"near": -5, "far": -3}, nil, 0, false, "far"},
		"evacuated, near domain is free":     {map[string]int{"near": 1, "far": 9}, nil, 0, false, "near"},
		"evacuated, no peers":                {nil, nil, 0, false, ""},
		"evacuated, long queue far away":     {map[string]int{"far": -30}, nil, 0, false, "far"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			c.SetFleet(coordinator.Fleet{Hosts: 3, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: regionOf}, start)
			for domain, free := range tt.free {
				c.RecordSummary(coordinator.Summary{Process: domain, Domain: domain, Free: map[string]int{"engines": free}}, start)
			}
			if tt.busy {
				setEngines(c, 1, nil)
				for id := range uint64(6) {
					c.Admit("entry", request(100+id), start)
				}
				c.Advance(start)
			}
			r := request(1)
			r.Regions = tt.regions
			now := start.Add(tt.age)
			c.Admit("entry", r, now)
			got := ""
			for _, d := range c.Advance(now) {
				got = d.Domain
			}
			if got != tt.want {
				t.Errorf("redirected to %q, want %q", got, tt.want)
			}
		})
	}
}

func TestQuotaRefusalAndRefund(t *testing.T) {
	c := newCoordinator()
	table, err := router.NewTable(router.Document{
		Version: 2, Pools: []router.Pool{{Name: "engines"}},
		Workspaces: []router.Workspace{{Name: "crews", Rate: 100, Burst: 1000}},
	})
	if err != nil {
		t.Fatal(err)
	}
	c.SetTable(table, start)
	setEngines(c, 1, nil)
	send := func(id uint64) coordinator.Decision {
		r := request(id)
		r.Workspace, r.Cost = "crews", 400
		c.Admit("entry", r, start)
		return advanceOne(t, c, start)
	}
	if d := send(1); d.Upstream == "" {
		t.Fatalf("request within the quota was refused: %+v", d)
	}
	d := send(2)
	if d.Reason != coordinator.OverQuota || d.RetryAfter < time.Second {
		t.Errorf("%+v, want an overQuota refusal with RetryAfter of at least 1s", d)
	}
	c.Finish("entry", coordinator.Finish{ID: 1, Ending: coordinator.Unused}, start)
	if d := send(3); d.Upstream == "" {
		t.Errorf("cost of a request that did not run was not refunded: %+v", d)
	}
}

// BenchmarkAdvance makes decisions with a long queue: in each step one request
// ends and one arrives.
func BenchmarkAdvance(b *testing.B) {
	// step is the time between two finished requests. As requests wait for at
	// most 1.4 s, the queue holds at most 1.4 s / step of them.
	for waiting, step := range map[int]time.Duration{0: 2 * time.Millisecond, 100: 2 * time.Millisecond, 1900: 700 * time.Microsecond} {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			c := newCoordinator()
			c.DisableEarlyRejection()
			setEngines(c, 15, nil)
			id := uint64(0)
			next := func(now time.Time) {
				id++
				r := request(id)
				r.Objective, r.Left = time.Hour, time.Hour
				c.Admit("entry", r, now)
			}
			for range 15*6 + waiting {
				next(start)
			}
			var running []uint64
			advance := func(now time.Time) {
				for _, d := range c.Advance(now) {
					if d.Upstream != "" {
						running = append(running, d.ID)
					}
				}
			}
			advance(start)
			b.ReportAllocs()
			now, waited := start, 0
			for b.Loop() {
				now = now.Add(step)
				next(now)
				c.Finish("entry", coordinator.Finish{ID: running[0]}, now)
				running = running[1:]
				advance(now)
				waited += c.Loads(now)[0].Waiting
			}
			b.ReportMetric(float64(waited)/float64(b.N), "waiting")
		})
	}
}

func TestOrderByTierAndPriority(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 1, nil)
	for id := range uint64(6) {
		c.Admit("entry", request(100+id), start)
	}
	c.Advance(start)
	for id, rank := range [][2]int{{1, 0}, {0, 2}, {1, 1}, {0, 1}} {
		r := request(uint64(id))
		r.Tier, r.Priority = rank[0], rank[1]
		c.Admit("entry", r, start)
	}
	var got []uint64
	for id := range uint64(4) {
		c.Finish("entry", coordinator.Finish{ID: 100 + id}, start)
		got = append(got, advanceOne(t, c, start).ID)
	}
	if want := []uint64{3, 1, 0, 2}; !slices.Equal(got, want) {
		t.Errorf("served in the order %v, want %v", got, want)
	}
}

// TestMaxWait checks how long requests without a slot wait: never so long that
// their caller has no time to retry, and no longer after a redirect.
func TestMaxWait(t *testing.T) {
	tests := map[string]struct {
		left, waited, want time.Duration
	}{
		"long deadline":           {5 * time.Second, 0, 1400 * time.Millisecond},
		"short deadline":          {800 * time.Millisecond, 0, 400 * time.Millisecond},
		"waited elsewhere before": {4 * time.Second, time.Second, 400 * time.Millisecond},
		"wait used up before":     {600 * time.Millisecond, 800 * time.Millisecond, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			setEngines(c, 1, nil)
			for id := range uint64(6) {
				c.Admit("entry", request(100+id), start)
			}
			c.Advance(start)
			r := request(1)
			r.Left, r.Waited = tt.left, tt.waited
			c.Admit("entry", r, start)
			for waited := time.Duration(0); waited < 5*time.Second; waited += 20 * time.Millisecond {
				if d := c.Advance(start.Add(waited)); len(d) == 0 {
					continue
				}
				if waited < tt.want || waited > tt.want+40*time.Millisecond {
					t.Errorf("refused after %v, want %v", waited, tt.want)
				}
				return
			}
			t.Error("request was never refused")
		})
	}
}

// TestRestartUnderSameID publishes an upstream with a new Born: the state of
// its previous process no longer counts.
func TestRestartUnderSameID(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 1, nil)
	for id := range uint64(6) {
		c.Admit("entry", request(id), start)
	}
	c.Advance(start)
	c.Finish("entry", coordinator.Finish{ID: 0, Ending: coordinator.ConnectFailed}, start)
	if got := c.Summary(start).Free["engines"]; got != 0 {
		t.Fatalf("%d slots free at an upstream that refuses connections, want 0", got)
	}
	setEngines(c, 1, func(e *registrar.Entry) { e.Born = 7 })
	if got := c.Summary(start).Free["engines"]; got != 6 {
		t.Errorf("%d slots free after the restart, want 6", got)
	}
	c.Finish("entry", coordinator.Finish{ID: 1}, start)
	if got := c.Summary(start).Free["engines"]; got != 6 {
		t.Errorf("%d slots free after a request of the previous process ended, want 6", got)
	}
}

// TestRejectionDoesNotShortenEjection rejects a request at an upstream to which a
// connection has just failed for the second time.
func TestRejectionDoesNotShortenEjection(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 1, nil)
	for id := range uint64(3) {
		c.Admit("entry", request(id), start)
	}
	c.Advance(start)
	for id, ending := range []coordinator.Ending{coordinator.ConnectFailed, coordinator.ConnectFailed, coordinator.Rejected} {
		c.Finish("entry", coordinator.Finish{ID: uint64(id), Ending: ending}, start)
	}
	now := start.Add(500 * time.Millisecond)
	c.Admit("entry", request(10), now)
	for _, d := range c.Advance(now) {
		if d.Upstream != "" {
			t.Error("upstream is granted before its ejection of 600 ms is over")
		}
	}
	now = start.Add(700 * time.Millisecond)
	c.Admit("entry", request(11), now)
	if d := c.Advance(now); len(d) == 0 || d[0].Upstream == "" {
		t.Errorf("upstream is not granted after its ejection: %+v", d)
	}
}
