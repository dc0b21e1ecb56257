package coordinator_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// TestSoundUpstreamIsBackInTime guards against upstreams that are left out although they are sound
// again, also while requests are few, may not be retried, or take long.
func TestSoundUpstreamIsBackInTime(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		rate      float64
		retryable bool
		took      time.Duration
	}{
		"many requests":               {300, true, faultRun},
		"few requests":                {10, true, faultRun},
		"requests may not be retried": {100, false, faultRun},
		"long requests":               {20, true, 1300 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, end := range []time.Duration{4 * time.Second, 4200 * time.Millisecond, 5500 * time.Millisecond, 7900 * time.Millisecond} {
				f := &faultPlay{upstreams: 3, slots: 8, retryable: tt.retryable}
				f.rateAt = func(at time.Duration) float64 {
					if at < 2*time.Second {
						return 500
					}
					return tt.rate
				}
				f.respond = func(_ *rand.Rand, u int, _ uint64, at time.Duration) outcome {
					if u == 1 && at >= time.Second && at < end {
						return outcome{coordinator.Failed, fastFailure}
					}
					return outcome{coordinator.Complete, tt.took}
				}
				f.run(1, end+4*time.Second, ejection)
				i := int(end / faultTick)
				if f.out[i] == 0 {
					t.Fatal("not out at the end of the fault")
				}
				back := slices.Index(f.out[i:], 0)
				t.Logf("back %v after the fault", time.Duration(back)*faultTick)
				if back < 0 || back > int(3*time.Second/faultTick) {
					t.Errorf("back after %d ms", back)
				}
			}
		})
	}
}

// TestFlappingUpstream guards against an upstream that fails and recovers by turns: callers get few
// of its failures, and it is used between them.
func TestFlappingUpstream(t *testing.T) {
	play := func(features coordinator.Features) *faultPlay {
		f := &faultPlay{upstreams: 4, slots: 4, rate: 280, retryable: true}
		f.respond = func(rnd *rand.Rand, u int, _ uint64, at time.Duration) outcome {
			if u == 1 && at%(2*time.Second) < time.Second {
				return outcome{coordinator.Failed, fastFailure}
			}
			return sound
		}
		return f.run(3, 20*time.Second, features)
	}
	off, on := play(coordinator.Features{}), play(ejection)
	t.Logf("failed of %d: %d without ejection, %d with it; %d changes", on.submitted, off.failed[1], on.failed[1], len(on.ejections))
	if on.failed[1] > 100 || on.failed[1] > off.failed[1]/2 {
		t.Errorf("%d requests failed, want at most 100 and half of %d", on.failed[1], off.failed[1])
	}
}

// TestNewCoordinatorKnowsWhichUpstreamsAreOut guards against a coordinator that takes over a domain
// and finds out anew which upstreams fail; a verdict that is not confirmed ends after 2 s.
func TestNewCoordinatorKnowsWhichUpstreamsAreOut(t *testing.T) {
	before := (&faultPlay{upstreams: 3, slots: 4, rate: 200, respond: fails(0, time.Hour, 1)}).run(1, time.Second, ejection)
	s := before.c.Summary(start.Add(time.Second))
	if !slices.Equal(s.Ejected, []string{"u01"}) {
		t.Fatalf("summary lists %v as ejected", s.Ejected)
	}
	if s.Free["engines"] > 0 {
		t.Errorf("%d slots free, want none: that of the ejected upstream is no room", s.Free["engines"])
	}
	for name, tt := range map[string]struct {
		respond    func(*rand.Rand, int, uint64, time.Duration) outcome
		maxFailed  int
		wantLonger bool
	}{
		"still failing": {fails(0, time.Hour, 1), 4, true},
		"sound again":   {fails(0, 0), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			after := &faultPlay{upstreams: 3, slots: 4, rate: 200, respond: tt.respond, c: newCoordinator()}
			coordinator.WithFeatures(ejection)(after.c)
			s := s
			s.Domain, s.Process = "e", "other"
			after.c.RecordSummary(s, start)
			after.run(1, 3*time.Second, ejection)
			if after.failed[1] > tt.maxFailed {
				t.Errorf("%d requests failed, want at most %d", after.failed[1], tt.maxFailed)
			}
			if got := after.out[len(after.out)-1] > 0; got != tt.wantLonger {
				t.Errorf("out after 3 s: %t, want %t", got, tt.wantLonger)
			}
		})
	}
}

// TestHostCutOffEjectsNone guards against a host whose requests are lost at all upstreams, while
// those of the others are served.
func TestHostCutOffEjectsNone(t *testing.T) {
	c := newCoordinator()
	coordinator.WithFeatures(ejection)(c)
	setFaulty(c, 6, 4, start)
	var running []coordinator.Decision
	id := uint64(0)
	now := start
	for range 4000 {
		now = now.Add(5 * time.Millisecond)
		for _, d := range running {
			f := coordinator.Finish{ID: d.ID, Total: 5 * time.Millisecond}
			if d.Entry == "cut" {
				f.Ending = coordinator.ConnectionLost
			}
			c.Finish(d.Entry, f, now)
		}
		running = running[:0]
		for i, entry := range []string{"cut", "a", "b", "c"} {
			id++
			r := request(id)
			r.Content, r.Retryable = uint16(id), i%2 == 0
			c.Admit(entry, r, now)
		}
		for _, d := range c.Advance(now) {
			if d.Upstream != "" {
				running = append(running, d)
			}
		}
		if list := c.Ejections(); len(list) > 0 {
			t.Fatalf("ejected: %+v", list)
		}
	}
}

// TestTrialsTakeRequestsThatMayBeRetried guards against trials that cost callers a request that may
// not be repeated while others wait.
func TestTrialsTakeRequestsThatMayBeRetried(t *testing.T) {
	c := newCoordinator()
	coordinator.WithFeatures(ejection)(c)
	setFaulty(c, 2, 4, start)
	finish := map[uint64]time.Time{}
	retryable := map[uint64]bool{}
	trials, costly := 0, 0
	for ms := range 6000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for id, at := range finish {
			if !now.Before(at) {
				c.Finish("entry", coordinator.Finish{ID: id, Total: faultRun}, now)
				delete(finish, id)
			}
		}
		if ms%8 == 0 {
			r := request(uint64(ms + 1))
			r.Content, r.Retryable = uint16(ms+1), ms%5 == 0
			retryable[r.ID] = r.Retryable
			c.Admit("entry", r, now)
		}
		for _, d := range c.Advance(now) {
			switch d.Upstream {
			case "u00":
				finish[d.ID] = now.Add(faultRun)
			case "u01":
				c.Finish("entry", coordinator.Finish{ID: d.ID, Ending: coordinator.Failed}, now)
				if ms > 500 {
					trials++
					if !retryable[d.ID] {
						costly++
					}
				}
			}
		}
	}
	if trials < 4 || trials > 8 || costly > 0 {
		t.Errorf("%d trials, %d of them with requests that may not be retried", trials, costly)
	}
}

// TestHostThatDecidesAloneEjects guards against a standalone host that goes on sending requests to a
// failing upstream: it has no coordinator whose evidence it could use.
func TestHostThatDecidesAloneEjects(t *testing.T) {
	c := newCoordinator()
	c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r"}, Standalone: true}, start)
	f := &faultPlay{upstreams: 3, slots: 4, rate: 200, respond: fails(0, 3*time.Second, 1), c: c}
	f.run(1, 7*time.Second, ejection)
	if f.failed[1] >= 20 || f.out[len(f.out)-1] != 0 {
		t.Errorf("%d requests failed, want less than 20; %d upstreams are out 4 s after the fault", f.failed[1], f.out[len(f.out)-1])
	}
	t.Logf("%d of %d requests failed", f.failed[1], f.submitted)
}

// BenchmarkDecisionWithEjection measures a decision with 2,000 waiting requests while an upstream is
// out, with and without ejection.
func BenchmarkDecisionWithEjection(b *testing.B) {
	for name, features := range map[string]coordinator.Features{"off": {}, "on": ejection} {
		b.Run(name, func(b *testing.B) {
			c := newCoordinator()
			coordinator.WithFeatures(features)(c)
			setFaulty(c, 23, 4, start)
			id := uint64(0)
			now := start
			admit := func() {
				id++
				r := request(id)
				r.Content, r.Left, r.Objective = uint16(id), time.Hour, time.Hour
				c.Admit("entry", r, now)
			}
			var running []coordinator.Decision
			for range 1900 + 23*4 {
				admit()
			}
			running = append(running, c.Advance(now)...)
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				for i, d := range running {
					if d.Upstream == "u05" || d.Upstream != "" && i == len(running)-1 {
						f := coordinator.Finish{ID: d.ID, Total: faultRun}
						if d.Upstream == "u05" {
							f.Ending = coordinator.Failed
						}
						c.Finish("entry", f, now)
						running = slices.Delete(running, i, i+1)
						break
					}
				}
				admit()
				running = append(running, c.Advance(now)...)
			}
		})
	}
}
