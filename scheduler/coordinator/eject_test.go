package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

const (
	// faultTick is the step of these simulations, and faultRun the time of a sound request.
	faultTick = time.Millisecond
	faultRun  = 60 * time.Millisecond
	// fastFailure is the time of a request that fails at once, as on the users' platform.
	fastFailure = 7 * time.Millisecond
)

// outcome is how an upstream ends a request, and after which time.
type outcome struct {
	ending coordinator.Ending
	took   time.Duration
}

// sound is the outcome of a request that completes.
var sound = outcome{coordinator.Complete, faultRun}

// faultPlay simulates upstreams some of which fail requests.
type faultPlay struct {
	// upstreams is the number of upstreams, each with slots slots; rate is the number of
	// requests a second.
	upstreams, slots int
	rate             float64
	// rateAt is the rate at a time if it is set.
	rateAt func(at time.Duration) float64
	// retryable marks the requests as retryable; contents is the number of distinct
	// contents, 0 for one each.
	retryable bool
	contents  uint64
	// respond returns the outcome of a request at an upstream.
	respond func(rnd *rand.Rand, upstream int, content uint64, at time.Duration) outcome
	// step is called every faultTick.
	step func(c *coordinator.Coordinator, now time.Time)
	// result: the requests by upstream and those that failed, and the times at which an
	// upstream was sent a request.
	sent, failed []int
	served       int
	sentAt       [][]time.Duration
	out          []int
	ejections    []coordinator.Ejection
	c            *coordinator.Coordinator
	submitted    int
	id           uint64
	events       []limitEvent
}

// run plays a number of seconds.
func (f *faultPlay) run(seed uint64, d time.Duration, features coordinator.Features) *faultPlay {
	rnd := rand.New(rand.NewPCG(seed, 21))
	if f.c == nil {
		f.c = newCoordinator()
	}
	coordinator.WithFeatures(features)(f.c)
	setFaulty(f.c, f.upstreams, f.slots, start)
	f.sent, f.failed, f.sentAt = make([]int, f.upstreams), make([]int, f.upstreams), make([][]time.Duration, f.upstreams)
	contents := make(map[uint64]uint64)
	next := 0.0
	for now := start; now.Before(start.Add(d)); now = now.Add(faultTick) {
		at := now.Sub(start)
		if f.step != nil {
			f.step(f.c, now)
		}
		f.events = slices.DeleteFunc(f.events, func(e limitEvent) bool {
			due := !e.at.After(now)
			if due {
				e.do(now)
			}
			return due
		})
		rate := f.rate
		if f.rateAt != nil {
			rate = f.rateAt(at)
		}
		for next += rate * faultTick.Seconds(); next >= 1; next-- {
			f.id++
			f.submitted++
			content := f.id
			if f.contents > 0 {
				content = 1 + rnd.Uint64N(f.contents)
			}
			contents[f.id] = content
			r := request(f.id)
			r.Workspace, r.Content, r.Retryable = fmt.Sprint("w", content%16), uint16(content%65521), f.retryable
			f.c.Admit("entry", r, now)
		}
		for _, x := range f.c.Advance(now) {
			if x.Upstream == "" {
				continue
			}
			var u int
			_, _ = fmt.Sscanf(x.Upstream, "u%02d", &u)
			f.sent[u]++
			f.sentAt[u] = append(f.sentAt[u], at)
			o := f.respond(rnd, u, contents[x.ID], at)
			f.events = append(f.events, limitEvent{now.Add(o.took), func(now time.Time) {
				if o.ending == coordinator.Complete {
					f.served++
				} else {
					f.failed[u]++
				}
				f.c.Finish("entry", coordinator.Finish{ID: x.ID, Ending: o.ending, Total: o.took}, now)
			}})
		}
		f.ejections = append(f.ejections, f.c.Ejections()...)
		for _, l := range f.c.Loads(now) {
			if l.Pool == "engines" {
				f.out = append(f.out, l.Out)
			}
		}
	}
	return f
}

// setFaulty sets a number of upstreams with a number of slots each.
func setFaulty(c *coordinator.Coordinator, n, slots int, now time.Time) {
	entries := make([]registrar.Entry, 0, n)
	for i := range n {
		entries = append(entries, registrar.Entry{ID: fmt.Sprintf("u%02d", i), Pool: "engines", Domain: "d", Slots: slots})
	}
	c.SetUpstreams(entries, now)
}

// ejection enables outlier ejection.
var ejection = coordinator.Features{Ejection: true}

// fails returns the outcomes of a pool of which some upstreams fail at once between two times.
func fails(from, to time.Duration, faulty ...int) func(*rand.Rand, int, uint64, time.Duration) outcome {
	return func(_ *rand.Rand, u int, _ uint64, at time.Duration) outcome {
		if slices.Contains(faulty, u) && at >= from && at < to {
			return outcome{coordinator.Failed, fastFailure}
		}
		return sound
	}
}

// TestFastFailureDoesNotAttractRequests guards against an upstream that fails at once while all
// others are full: its free slots attracted 279 of 1,200 requests.
func TestFastFailureDoesNotAttractRequests(t *testing.T) {
	play := func(features coordinator.Features) *faultPlay {
		f := &faultPlay{upstreams: 3, slots: 4, rate: 200, respond: fails(0, time.Hour, 1)}
		return f.run(1, 6*time.Second, features)
	}
	off, on := play(coordinator.Features{}), play(ejection)
	t.Logf("failed of %d: %d without ejection, %d with it; served %d and %d", on.submitted, off.failed[1], on.failed[1], off.served, on.served)
	if off.failed[1] < 200 || on.failed[1] >= 20 {
		t.Errorf("%d requests failed with ejection, want less than 20", on.failed[1])
	}
	if on.served < off.served {
		t.Errorf("%d served with ejection, want at least %d", on.served, off.served)
	}
}

// TestFaultOfADomain guards against the known fault: 3 of 23 upstreams of a failure domain answer
// nearly all requests with an error, in 7 ms, while the others are full.
func TestFaultOfADomain(t *testing.T) {
	t.Parallel()
	const from, to = 2 * time.Second, 7 * time.Second
	faulty := []int{3, 11, 20}
	play := func(features coordinator.Features, retryable bool) *faultPlay {
		f := &faultPlay{upstreams: 23, slots: 4, rate: 1700, retryable: retryable}
		f.respond = func(rnd *rand.Rand, u int, _ uint64, at time.Duration) outcome {
			if slices.Contains(faulty, u) && at >= from && at < to && rnd.Float64() < 0.97 {
				return outcome{coordinator.Failed, fastFailure}
			}
			return sound
		}
		return f.run(2, 10*time.Second, features)
	}
	off, on := play(coordinator.Features{}, false), play(ejection, true)
	total := 0
	for _, u := range faulty {
		total += on.failed[u]
		fast := 0
		for _, at := range on.sentAt[u] {
			if at >= from+50*time.Millisecond && at < to {
				fast++
			}
		}
		// Trials after 0.3, 0.9, 1.9, 2.9 and 3.9 s, and one more for each that succeeds.
		if fast > 9 {
			t.Errorf("upstream %d was sent %d requests later than 50 ms after the fault began, want trials only", u, fast)
		}
		if n := len(on.sentAt[u]); on.sentAt[u][n-1] < 9*time.Second {
			t.Errorf("upstream %d is not back", u)
		}
	}
	t.Logf("failed of %d: %d without ejection, %d with it (per upstream %d, %d, %d); served %d and %d", on.submitted,
		off.failed[3]+off.failed[11]+off.failed[20], total, on.failed[3], on.failed[11], on.failed[20], off.served, on.served)
	if total > 40 {
		t.Errorf("%d requests failed, want at most 40", total)
	}
	if n := slices.Max(on.out); n != 3 {
		t.Errorf("up to %d upstreams were out, want 3", n)
	}
}

// TestGreyUpstreamIsEjected guards against upstreams that fail a part of their requests, in each of
// the ways in which they do.
func TestGreyUpstreamIsEjected(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		failure outcome
		rate    float64
		base    float64
		// within is the time in which the upstream has to be out.
		within time.Duration
	}{
		"errors":                       {outcome{coordinator.Failed, 20 * time.Millisecond}, 0.45, 0, time.Second},
		"lost connections":             {outcome{coordinator.ConnectionLost, 30 * time.Millisecond}, 0.45, 0, 1500 * time.Millisecond},
		"silence":                      {outcome{coordinator.TimedOut, 500 * time.Millisecond}, 0.45, 0, 3 * time.Second},
		"errors beside a noisy pool":   {outcome{coordinator.Failed, 20 * time.Millisecond}, 0.6, 0.14, 3 * time.Second},
		"a third of requests fail":     {outcome{coordinator.Failed, 20 * time.Millisecond}, 0.33, 0, 3 * time.Second},
		"all fail beside a noisy pool": {outcome{coordinator.Failed, fastFailure}, 1, 0.14, 300 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const from = time.Second
			for seed := range uint64(8) {
				f := &faultPlay{upstreams: 6, slots: 4, rate: 420, retryable: true}
				f.respond = func(rnd *rand.Rand, u int, _ uint64, at time.Duration) outcome {
					p := tt.base
					if u == 2 && at >= from {
						p = tt.rate
					}
					if rnd.Float64() < p {
						return tt.failure
					}
					return sound
				}
				f.run(seed, 6*time.Second, ejection)
				at := slices.IndexFunc(f.out, func(n int) bool { return n > 0 })
				if d := time.Duration(at) * faultTick; at < 0 || d > from+tt.within {
					t.Errorf("seed %d: out at %v, want within %v of %v", seed, d, tt.within, from)
				}
				sound := 0
				for _, e := range f.ejections {
					if e.ID != "u02" && e.Out {
						sound++
					}
				}
				// Of a noisy pool's 420 requests a second, few runs of failures look like a fault.
				if sound > 0 && tt.base == 0 || sound > 1 {
					t.Errorf("seed %d: %d ejections of sound upstreams", seed, sound)
				}
			}
		})
	}
}

// TestUpstreamsThatFailAlikeStay guards against ejections where the request or the service is at
// fault: plain services answer some sound requests with an error.
func TestUpstreamsThatFailAlikeStay(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		rate func(at time.Duration) float64
		took time.Duration
	}{
		"a part of the calls": {func(time.Duration) float64 { return 0.14 }, faultRun},
		"half of the calls":   {func(time.Duration) float64 { return 0.5 }, faultRun},
		"all calls": {func(at time.Duration) float64 {
			if at > 2*time.Second {
				return 1
			}
			return 0
		}, fastFailure},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			out, ejections := 0, 0
			const seeds, length = 8, 10 * time.Second
			for seed := range uint64(seeds) {
				f := &faultPlay{upstreams: 6, slots: 4, rate: 300, retryable: true}
				f.respond = func(rnd *rand.Rand, _ int, _ uint64, at time.Duration) outcome {
					if rnd.Float64() < tt.rate(at) {
						return outcome{coordinator.Failed, tt.took}
					}
					return sound
				}
				f.run(seed, length, ejection)
				for _, n := range f.out {
					out += n
				}
				for _, e := range f.ejections {
					if e.Out {
						ejections++
					}
				}
			}
			share := float64(out) * faultTick.Seconds() / (6 * seeds * length.Seconds())
			t.Logf("%d ejections in %d runs of %v, %.4f of the upstreams' time", ejections, seeds, length, share)
			if share > 0.005 {
				t.Errorf("out %.4f of the time, want at most 0.005", share)
			}
		})
	}
}

// TestPoisonousRequestEjectsNoUpstream guards against a request that fails wherever it runs and is
// sent again and again.
func TestPoisonousRequestEjectsNoUpstream(t *testing.T) {
	f := &faultPlay{upstreams: 4, slots: 4, rate: 100, contents: 4}
	f.respond = func(_ *rand.Rand, _ int, content uint64, _ time.Duration) outcome {
		if content == 3 {
			return outcome{coordinator.Failed, fastFailure}
		}
		return sound
	}
	f.run(1, 20*time.Second, ejection)
	if len(f.ejections) > 0 {
		t.Errorf("ejected: %+v", f.ejections)
	}
}
