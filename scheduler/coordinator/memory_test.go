package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// newTokenRoom returns a coordinator with TokenRoom and n engines of 6 slots, whose memory
// holds a number of tokens.
func newTokenRoom(n, memory int) *coordinator.Coordinator {
	c := coordinator.New("process", coordinator.Bounds{RetryRatio: 0.2, RetryAllowance: 58, RetryWindow: 10 * time.Second, ColdFactor: 1.5, ColdAllowance: 5},
		coordinator.WithFeatures(coordinator.Features{TokenRoom: true}))
	table, err := router.NewTable(router.Document{Version: 1, Pools: []router.Pool{{Name: "engines", ColdRate: 13, Memory: memory}}})
	if err != nil {
		panic(err)
	}
	c.SetTable(table, start)
	c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r"}}, start)
	var entries []registrar.Entry
	for i := range n {
		entries = append(entries, registrar.Entry{ID: fmt.Sprint("engine-", i), Pool: "engines", Domain: "d", Slots: 6})
	}
	c.SetUpstreams(entries, start)
	return c
}

// sized returns a request with a number of prompt tokens and of expected output tokens.
func sized(id uint64, prompt, output int) coordinator.Request {
	return coordinator.Request{
		ID: id, Pool: "engines", Prompt: prompt, Output: output,
		Objective: 600 * time.Millisecond, MaxPause: 400 * time.Millisecond, Left: 5 * time.Second,
	}
}

// granted counts the requests that decisions grant.
func granted(decisions []coordinator.Decision) (n int) {
	for _, d := range decisions {
		if d.Upstream != "" {
			n++
		}
	}
	return n
}

// TestTokenRoom guards against an upstream that gets more tokens than it holds or reads in
// time, and against requests that wait although there is room. At the reference speed, 400 ms
// are 20,000 prompt tokens.
func TestTokenRoom(t *testing.T) {
	tests := map[string]struct {
		memory   int
		requests []coordinator.Request
		granted  int
	}{
		"small requests use all slots":              {100_000, []coordinator.Request{sized(1, 100, 10), sized(2, 100, 10), sized(3, 100, 10), sized(4, 100, 10), sized(5, 100, 10), sized(6, 100, 10), sized(7, 100, 10)}, 6},
		"an idle upstream takes any prompt":         {100_000, []coordinator.Request{sized(1, 39_600, 10)}, 1},
		"an idle upstream needs no reserve":         {40_000, []coordinator.Request{sized(1, 39_600, 400)}, 1},
		"two long prompts are not read at once":     {100_000, []coordinator.Request{sized(1, 15_000, 10), sized(2, 15_000, 10)}, 1},
		"prompts that are read in time":             {100_000, []coordinator.Request{sized(1, 9_000, 10), sized(2, 9_000, 10)}, 2},
		"a short prompt behind a long one":          {100_000, []coordinator.Request{sized(1, 30_000, 10), sized(2, 100, 10)}, 1},
		"memory is full":                            {10_000, []coordinator.Request{sized(1, 4_000, 10), sized(2, 4_000, 10), sized(3, 4_000, 10)}, 2},
		"memory is full with the reserve":           {10_000, []coordinator.Request{sized(1, 4_000, 500), sized(2, 4_000, 500)}, 1},
		"memory is not known":                       {0, []coordinator.Request{sized(1, 39_600, 10), sized(2, 39_600, 10)}, 2},
		"a small request beside a large that waits": {60_000, []coordinator.Request{sized(1, 15_000, 10), sized(2, 15_000, 10), sized(3, 1_000, 10)}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTokenRoom(1, test.memory)
			for _, r := range test.requests {
				c.Admit("entry", r, start)
			}
			if got := granted(c.Advance(start)); got != test.granted {
				t.Errorf("%d granted, want %d", got, test.granted)
			}
		})
	}
}

// TestPromptThatIsReadMakesRoom guards against an upstream that stays closed after it has read
// its prompts, as seen by a first event, the end of a request, or the time.
func TestPromptThatIsReadMakesRoom(t *testing.T) {
	later := start.Add(700 * time.Millisecond)
	tests := map[string]struct {
		after func(c *coordinator.Coordinator)
		want  int
	}{
		"unread": {func(*coordinator.Coordinator) {}, 0},
		"first event": {func(c *coordinator.Coordinator) {
			c.Progress("entry", coordinator.Progress{ID: 1, FirstToken: time.Millisecond}, later)
		}, 1},
		"end": {func(c *coordinator.Coordinator) {
			c.Finish("entry", coordinator.Finish{ID: 1, Ending: coordinator.Cancelled}, later)
		}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTokenRoom(1, 100_000)
			c.Admit("entry", sized(1, 30_000, 10), start)
			c.Advance(start)
			test.after(c)
			c.Admit("entry", sized(2, 30_000, 10), later)
			if got := granted(c.Advance(later)); got != test.want {
				t.Errorf("%d granted, want %d", got, test.want)
			}
		})
	}
	t.Run("overdue", func(t *testing.T) {
		c := newTokenRoom(1, 100_000)
		c.Admit("entry", sized(1, 30_000, 10), start)
		c.Advance(start)
		// 30,000 tokens take 600 ms; the response may be one without a first event.
		later := start.Add(1310 * time.Millisecond)
		c.Admit("entry", sized(2, 30_000, 10), later)
		if got := granted(c.Advance(later)); got != 1 {
			t.Errorf("%d granted after twice the time, want 1", got)
		}
	})
}

// TestTooLargeIsRefusedAtOnce guards against a request that waits for room that no upstream
// of its pool has.
func TestTooLargeIsRefusedAtOnce(t *testing.T) {
	c := newTokenRoom(2, 30_000)
	c.Admit("entry", sized(1, 30_000, 1), start)
	if d := advanceOne(t, c, start); d.Upstream != "" || !d.TooLarge || d.Reason != coordinator.NoCapacity || d.RetryAfter <= 0 {
		t.Errorf("decision is %+v, want a refusal as too large", d)
	}
	c.Admit("entry", sized(2, 29_999, 1), start)
	if d := advanceOne(t, c, start); d.Upstream == "" {
		t.Errorf("decision is %+v, want a grant", d)
	}
}

// TestAdoptedTokensAreCounted guards against a new coordinator that fills upstreams whose
// memory requests of the former one use.
func TestAdoptedTokensAreCounted(t *testing.T) {
	c := newTokenRoom(1, 40_000)
	c.Adopt("entry", []coordinator.Running{{ID: 1, Upstream: "engine-0", Prompt: 30_000, Output: 100, Left: 5 * time.Second}}, start)
	c.Admit("entry", sized(2, 20_000, 10), start)
	if got := granted(c.Advance(start)); got != 0 {
		t.Errorf("%d granted beside adopted tokens, want 0", got)
	}
	// The grant expires, as its entry host does not report its end.
	later := start.Add(7 * time.Second)
	c.Admit("entry", sized(3, 20_000, 10), later)
	if got := granted(c.Advance(later)); got != 1 {
		t.Errorf("%d granted after the adopted request expired, want 1", got)
	}
}

// TestClosedUpstreamHasNoFreeSlots guards against other domains that send requests to an
// upstream that still reads a long prompt.
func TestClosedUpstreamHasNoFreeSlots(t *testing.T) {
	c := newTokenRoom(2, 100_000)
	c.Admit("entry", sized(1, 39_600, 10), start)
	c.Advance(start)
	if got := c.Summary(start).Free["engines"]; got != 6 {
		t.Errorf("%d slots free, want the 6 of the idle engine", got)
	}
}

// TestLargeRequestIsNotOvertakenForever keeps an engine's memory full with small requests, of
// which one ends every 50 ms, and guards against a large one that never finds room because a
// small one takes each part that becomes free.
func TestLargeRequestIsNotOvertakenForever(t *testing.T) {
	const large, tier = 1000, 1
	c := newTokenRoom(1, 45_000)
	var running []uint64
	id, grantedAt := uint64(1), time.Duration(-1)
	step := func(at time.Duration) {
		now := start.Add(at)
		id++
		r := sized(id, 10_000, 20)
		r.Tier = tier
		c.Admit("entry", r, now)
		for _, d := range c.Advance(now) {
			switch {
			case d.ID == large:
				grantedAt = at
			case d.Upstream != "":
				running = append(running, d.ID)
				c.Progress("entry", coordinator.Progress{ID: d.ID, FirstToken: 100 * time.Millisecond}, now)
			}
		}
	}
	at := time.Duration(0)
	for range 12 {
		at += 10 * time.Millisecond
		step(at)
	}
	if len(running) != 4 {
		t.Fatalf("%d small requests run, want the 4 that fill the memory", len(running))
	}
	r := sized(large, 30_000, 20)
	r.Tier = tier
	c.Admit("entry", r, start.Add(at))
	admitted := at
	for at < admitted+time.Second && grantedAt < 0 {
		at += 50 * time.Millisecond
		if len(running) > 0 {
			c.Finish("entry", coordinator.Finish{ID: running[0], Ending: coordinator.Cancelled}, start.Add(at))
			running = running[1:]
		}
		step(at)
	}
	if grantedAt < 0 {
		t.Error("the large request was not granted within a second")
	}
	t.Logf("granted after %v", grantedAt-admitted)
}
