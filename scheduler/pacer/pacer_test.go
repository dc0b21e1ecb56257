package pacer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/pacer"
)

var start = time.Unix(1000, 0)

// step is an answer, or a failure to connect or a recovery.
type step func(p *pacer.Pacer, now time.Time)

// record returns a step that records an answer to a request granted just before, while
// the upstream runs a number of others.
func record(a pacer.Answer, running int) step {
	return func(p *pacer.Pacer, now time.Time) { p.Record(a, now.Add(-time.Millisecond), running, 8, now) }
}

func fail(p *pacer.Pacer, now time.Time)      { p.Fail(8, now) }
func recovered(p *pacer.Pacer, now time.Time) { p.Recover(now) }

// begin returns a step that begins slow start.
func begin(window int) step {
	return func(p *pacer.Pacer, now time.Time) { p.Start(window, now) }
}

// times repeats a step.
func times(n int, s step) (steps []step) {
	for range n {
		steps = append(steps, s)
	}
	return steps
}

// TestWindow guards against a pace that opens too late or too early, and against one that a
// single bad answer of a busy upstream closes.
func TestWindow(t *testing.T) {
	tests := map[string]struct {
		steps  []step
		window int
		paced  bool
		rate   float64
	}{
		"not started":                        {window: 8, rate: 1},
		"started":                            {steps: []step{begin(2)}, window: 2, paced: true, rate: 0.75},
		"doubles with a round trip":          {steps: append([]step{begin(2)}, times(2, record(pacer.InTime, 1))...), window: 4, paced: true, rate: 1},
		"full after six answers":             {steps: append([]step{begin(2)}, times(6, record(pacer.InTime, 1))...), window: 8, rate: 1},
		"late while full":                    {steps: []step{record(pacer.Late, 7)}, window: 8, rate: 1},
		"late while it starts":               {steps: []step{begin(4), record(pacer.Late, 3)}, window: 3, paced: true, rate: 0.375},
		"rejected while full":                {steps: []step{record(pacer.Rejected, 7)}, window: 6, paced: true, rate: 0.5},
		"rejected with few running":          {steps: []step{record(pacer.Rejected, 3)}, window: 3, paced: true, rate: 0.5},
		"lost while full":                    {steps: []step{record(pacer.Lost, 7)}, window: 4, paced: true, rate: 0.5},
		"grows slowly after a decrease":      {steps: append([]step{record(pacer.Lost, 7)}, times(4, record(pacer.InTime, 3))...), window: 4, paced: true, rate: 1},
		"one more with a round trip":         {steps: append([]step{record(pacer.Lost, 7)}, times(5, record(pacer.InTime, 3))...), window: 5, paced: true, rate: 1},
		"at least one":                       {steps: append([]step{begin(1)}, times(9, record(pacer.Lost, 0))...), window: 1, paced: true, rate: 0.125},
		"failed":                             {steps: []step{fail}, window: 1, paced: true, rate: 0.75},
		"failed twice and recovered":         {steps: []step{fail, fail, recovered}, window: 4, paced: true, rate: 0.75},
		"failed again after a recovery":      {steps: []step{fail, recovered, fail, recovered}, window: 2, paced: true, rate: 0.75},
		"answers during a trial say nothing": {steps: []step{fail, record(pacer.InTime, 0), recovered}, window: 4, paced: true, rate: 0.75},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var p pacer.Pacer
			now := start
			for _, s := range tt.steps {
				now = now.Add(10 * time.Millisecond)
				s(&p, now)
			}
			if p.Window(8) != tt.window || p.Paced() != tt.paced || p.Rate() != tt.rate {
				t.Errorf("window %d, paced %v, rate %.3f; want %d, %v, %.3f", p.Window(8), p.Paced(), p.Rate(), tt.window, tt.paced, tt.rate)
			}
		})
	}
}

// TestOneDecreaseARoundTrip guards against a window that closes because a batch of requests
// that were granted together are late together.
func TestOneDecreaseARoundTrip(t *testing.T) {
	var p pacer.Pacer
	p.Start(8, start)
	granted := start.Add(10 * time.Millisecond)
	for i := range 5 {
		p.Record(pacer.Late, granted, 7, 8, granted.Add(time.Duration(100+i)*time.Millisecond))
	}
	if p.Window(8) != 6 {
		t.Errorf("window %d after a batch of late answers, want 6", p.Window(8))
	}
}

// TestRest guards against an upstream that refuses single requests and gets them without a
// pause: each costs a caller a try.
func TestRest(t *testing.T) {
	var p pacer.Pacer
	now := start
	for i, want := range []time.Duration{100, 200, 400, 400} {
		now = now.Add(time.Second)
		p.Record(pacer.Rejected, now, 0, 8, now)
		if got := p.RestUntil().Sub(now); got != want*time.Millisecond {
			t.Errorf("rest of %v after rejection %d, want %d ms", got, i, want)
		}
	}
	var busy pacer.Pacer
	if busy.Record(pacer.Rejected, start, 5, 8, start); busy.Resting(start) {
		t.Error("an upstream that runs five requests rests, want it to get one more when one ends")
	}
}

// TestTrialIntervals guards against a first trial that comes late and trials that cost more
// than doubling from 300 ms: not more than one more in any time.
func TestTrialIntervals(t *testing.T) {
	var trials, fixed []time.Duration
	at, before := time.Duration(0), time.Duration(0)
	for i := range 12 {
		at += pacer.TrialInterval(i)
		before += min(4*time.Second, 300*time.Millisecond<<min(i, 8))
		trials, fixed = append(trials, at), append(fixed, before)
	}
	if trials[0] < 100*time.Millisecond || trials[0] > 300*time.Millisecond {
		t.Errorf("first trial after %v, want 100 to 300 ms", trials[0])
	}
	for i := 2; i < len(trials); i++ {
		if trials[i] < fixed[i-2] {
			t.Errorf("trial %d after %v, want two fewer than the trials after %v", i, trials[i], fixed[i-2])
		}
	}
}

// TestAnySequence checks with random answers that a window is from one to the slots, that a
// rate stays within its bounds, and that answers in time open the upstream again.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p pacer.Pacer
		now := start
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				p.Start(rapid.IntRange(0, slots).Draw(t, "window"), now)
			case 1:
				p.Fail(slots, now)
			case 2:
				p.Missed(now)
			case 3:
				p.Recover(now)
			default:
				granted := now.Add(-time.Duration(rapid.IntRange(0, 200).Draw(t, "granted")) * time.Millisecond)
				p.Record(pacer.Answer(rapid.IntRange(0, 3).Draw(t, "answer")), granted, rapid.IntRange(0, slots).Draw(t, "running"), slots, now)
			}
			if w := p.Window(slots); w < 1 || w > slots || !p.Paced() && w != slots {
				t.Fatalf("window %d of %d slots, paced %v", w, slots, p.Paced())
			}
			if r := p.Rate(); r < 0.125 || r > 1 {
				t.Fatalf("rate %.3f", r)
			}
			if p.RestUntil().Sub(now) > 400*time.Millisecond {
				t.Fatalf("rest of %v", p.RestUntil().Sub(now))
			}
		}
		p.Recover(now)
		for range slots*slots + 8 {
			now = now.Add(time.Millisecond)
			p.Record(pacer.InTime, now, 0, slots, now)
		}
		if p.Paced() {
			t.Fatalf("paced after %d answers in time, window %d of %d", slots*slots+8, p.Window(slots), slots)
		}
	})
}
