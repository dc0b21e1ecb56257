package reserver_test

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/reserver"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// typical is the reading time of an upstream that reads 50 tokens in a millisecond.
func typical(tokens int) time.Duration { return time.Duration(tokens) * 20 * time.Microsecond }

// TestAdmits guards against prompts that are read one after another for longer than a stream
// may pause, and against a limit where no prompt is unread.
func TestAdmits(t *testing.T) {
	const ms = time.Millisecond
	stream := reserver.Demand{Prompt: 10_000, Output: 10, MaxPause: 300 * ms}
	tests := map[string]struct {
		unread int
		after  time.Duration
		d      reserver.Demand
		want   bool
	}{
		"none unread":               {0, 0, reserver.Demand{Prompt: 39_600}, true},
		"within the pause":          {10_000, 0, reserver.Demand{Prompt: 5_000, MaxPause: 400 * ms}, true},
		"over the running pause":    {10_000, 0, reserver.Demand{Prompt: 5_001, MaxPause: 400 * ms}, false},
		"over its own pause":        {10_000, 0, reserver.Demand{Prompt: 100, MaxPause: 200 * ms}, false},
		"pause unknown":             {10_000, 0, reserver.Demand{Prompt: 5_001}, false},
		"what was read counts":      {1, 150 * ms, reserver.Demand{Prompt: 5_001, MaxPause: 400 * ms}, false},
		"overdue prompts are read":  {10_000, 501 * ms, reserver.Demand{Prompt: 39_600, MaxPause: 400 * ms}, true},
		"objective limits the rest": {10_000, 0, reserver.Demand{Prompt: 100, Objective: 150 * ms}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := reserver.New(200_000)
			r.Add(stream, 0, typical, start)
			if got := r.Admits(test.d, test.unread, typical, start.Add(test.after)); got != test.want {
				t.Errorf("admits is %v, want %v", got, test.want)
			}
		})
	}
}

// TestObserveReading guards against short prompts, whose first event says little of the
// reading speed, and against a speed that is not learned.
func TestObserveReading(t *testing.T) {
	r := reserver.New(1)
	r.ObserveReading(10, time.Second)
	if got := r.ReadingTime(100, typical); got != typical(100) {
		t.Errorf("reading 100 tokens takes %v after a short prompt, want the estimate %v", got, typical(100))
	}
	for range 20 {
		r.ObserveReading(10_000, 400*time.Millisecond)
	}
	if got := r.ReadingTime(10_000, typical); got < 390*time.Millisecond || got > 410*time.Millisecond {
		t.Errorf("reading 10,000 tokens takes %v, want the observed 400 ms", got)
	}
}

// TestRoomIsReturned adds and removes requests in any order. It guards against tokens and
// pauses that stay counted after their request has ended, and against a closed upstream that
// admits a prompt.
func TestRoomIsReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const memory = 50_000
		r := reserver.New(memory)
		var running []reserver.Demand
		unread := 0
		draw := func() reserver.Demand {
			return reserver.Demand{
				Prompt: rapid.IntRange(1, 40_000).Draw(t, "prompt"), Output: rapid.IntRange(1, 2_000).Draw(t, "output"),
				MaxPause: time.Duration(rapid.IntRange(0, 4).Draw(t, "pause")) * 100 * time.Millisecond,
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				r.Remove(running[i])
				unread -= running[i].Prompt
				running = append(running[:i], running[i+1:]...)
				continue
			}
			d := draw()
			if !r.Fits(d) || !r.Admits(d, unread, typical, start) {
				continue
			}
			if r.Closed(unread, typical, start) && d.Prompt > 0 {
				t.Fatalf("a closed upstream admits %+v", d)
			}
			r.Add(d, unread, typical, start)
			unread += d.Prompt
			running = append(running, d)
			tokens := 0
			for _, d := range running {
				tokens += d.Prompt + d.Output
			}
			if tokens > memory {
				t.Fatalf("%d tokens in a memory of %d", tokens, memory)
			}
		}
		for _, d := range running {
			r.Remove(d)
		}
		whole := reserver.Demand{Prompt: memory - 1, Output: 1, MaxPause: time.Millisecond}
		if !r.Fits(whole) || !r.Admits(whole, 0, typical, start) || r.Closed(0, typical, start) || r.Delay(1000, 0, typical, start) != 0 {
			t.Fatal("an upstream without requests has no room")
		}
	})
}

// TestCovers guards against requests that are not tried although they need less than one that
// found no room.
func TestCovers(t *testing.T) {
	const ms = time.Millisecond
	base := reserver.Demand{Prompt: 100, Output: 10, MaxPause: 300 * ms}
	tests := map[string]struct {
		d    reserver.Demand
		want bool
	}{
		"same":             {base, true},
		"more":             {reserver.Demand{Prompt: 200, Output: 10, MaxPause: 300 * ms}, true},
		"fewer tokens":     {reserver.Demand{Prompt: 99, Output: 10, MaxPause: 300 * ms}, false},
		"fewer outputs":    {reserver.Demand{Prompt: 100, Output: 9, MaxPause: 300 * ms}, false},
		"a longer pause":   {reserver.Demand{Prompt: 100, Output: 10, MaxPause: 400 * ms}, false},
		"an unknown pause": {reserver.Demand{Prompt: 100, Output: 10}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.d.Covers(base); got != test.want {
				t.Errorf("covers is %v, want %v", got, test.want)
			}
		})
	}
}
