package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/observer"
)

// pauseFor lets an upstream tell a host to send it nothing for a time.
func pauseFor(c *coordinator.Coordinator, upstream, host string, d time.Duration, now time.Time) {
	c.Observe(observer.Observation{Upstream: upstream, Host: host, PauseFor: d}, now)
}

// TestPausedHostIsNotSentThere has the first of two upstreams tell one host to pause.
func TestPausedHostIsNotSentThere(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 2, nil)
	pauseFor(c, "engine-0", "told", 5*time.Second, start)
	for id := range uint64(6) {
		c.Admit("told", request(id), start)
		c.Admit("other", request(100+id), start)
	}
	got := make(map[string]int)
	for _, d := range c.Advance(start) {
		got[d.Entry+" "+d.Upstream]++
	}
	if got["told engine-0"] > 0 || got["told engine-1"] == 0 || got["other engine-0"] != 6 {
		t.Errorf("grants were %v; want none of engine-0 to the host that is told to pause, and its slots to the other", got)
	}
	if l := c.Loads(start)[0]; l.Pausing != 1 || l.Upstreams != 2 {
		t.Errorf("the load counts %d pausing of %d upstreams, want 1 of 2", l.Pausing, l.Upstreams)
	}
}

// TestPauseEnds has the only upstream tell a host to pause for less than the host's request
// may wait.
func TestPauseEnds(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 1, nil)
	pauseFor(c, "engine-0", "told", 300*time.Millisecond, start)
	c.Admit("told", request(1), start)
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(20 * time.Millisecond) {
		if d := c.Advance(now); len(d) > 0 {
			if waited := now.Sub(start); d[0].Upstream != "engine-0" || waited < 300*time.Millisecond || waited > 400*time.Millisecond {
				t.Errorf("%+v after %v, want a grant after 300 ms", d[0], waited)
			}
			return
		}
	}
	t.Error("the request got no decision")
}

// TestPoolThatPausesRefusesWithTheTrueTime has all upstreams tell a host to pause for longer
// than its requests wait. They are refused at once, with a Retry-After that a caller honours,
// and at the end of the pause they are served. Other hosts are served all the time.
func TestPoolThatPausesRefusesWithTheTrueTime(t *testing.T) {
	const pause = 4 * time.Second
	tests := map[string]struct {
		tier int
		left time.Duration
		// least is the shortest Retry-After: with jitter, that of the bound or a third of
		// the caller's time.
		least time.Duration
	}{
		"high tier":         {0, 15 * time.Second, 1200 * time.Millisecond},
		"low tier":          {2, 15 * time.Second, 1200 * time.Millisecond},
		"little time":       {1, 3 * time.Second, 900 * time.Millisecond},
		"almost no time":    {1, 60 * time.Millisecond, 0},
		"waits longer here": {1, 600 * time.Second, 1200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCoordinator()
			setEngines(c, 2, nil)
			pauseFor(c, "engine-0", "told", pause, start)
			pauseFor(c, "engine-1", "told", pause+time.Second, start)
			r := request(1)
			r.Tier, r.Left = tt.tier, tt.left
			c.Admit("told", r, start)
			d := advanceOne(t, c, start)
			if d.Upstream != "" || d.Reason == coordinator.None || d.RetryAfter < tt.least {
				t.Errorf("got %+v, want a refusal with at least %v", d, tt.least)
			}
			other := request(2)
			c.Admit("other", other, start)
			if d := advanceOne(t, c, start); d.Upstream == "" {
				t.Errorf("another host got %+v, want a grant", d)
			}
			now := start.Add(pause)
			again := request(3)
			c.Admit("told", again, now)
			if d := advanceOne(t, c, now); d.Upstream != "engine-0" {
				t.Errorf("after the pause the host got %+v, want a grant", d)
			}
		})
	}
}

// TestStandaloneHostKeepsItsPause has a host decide for itself after it was told to pause.
func TestStandaloneHostKeepsItsPause(t *testing.T) {
	c := newCoordinator()
	setEngines(c, 2, nil)
	pauseFor(c, "engine-0", "self", 5*time.Second, start)
	c.SetFleet(coordinator.Fleet{Hosts: 3, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Standalone: true}, start)
	for id := range uint64(6) {
		c.Admit("self", request(id), start)
	}
	for _, d := range c.Advance(start) {
		if d.Upstream == "engine-0" {
			t.Fatalf("got %+v during the pause", d)
		}
	}
}

// TestForecastCountsTheRoomThatPausesLeave overloads a pool one of whose two upstreams has told
// the host to pause: requests that half of the slots can't serve in time are refused at once.
func TestForecastCountsTheRoomThatPausesLeave(t *testing.T) {
	refusedAtOnce := func(pause time.Duration) (n int) {
		c := newCoordinator()
		setEngines(c, 2, nil)
		now, id := start, uint64(0)
		step := func(arrivals int) {
			for range arrivals {
				id++
				c.Admit("told", request(id), now)
			}
			for _, d := range c.Advance(now) {
				if d.Upstream != "" {
					c.Finish("told", coordinator.Finish{ID: d.ID, Ending: coordinator.Complete, Total: 100 * time.Millisecond}, now.Add(100*time.Millisecond))
				}
			}
			now = now.Add(100 * time.Millisecond)
		}
		for range 20 {
			step(10)
		}
		if pause > 0 {
			pauseFor(c, "engine-0", "told", pause, now)
		}
		first := id + 1
		for range 140 {
			id++
			c.Admit("told", request(id), now)
		}
		for range 3 {
			for _, d := range c.Advance(now) {
				if d.Upstream == "" && d.ID >= first {
					n++
				}
			}
			now = now.Add(15 * time.Millisecond)
		}
		return n
	}
	with, without := refusedAtOnce(20*time.Second), refusedAtOnce(0)
	if with <= without {
		t.Errorf("%d requests were refused at once with half of the slots and %d with all, want more", with, without)
	}
}
