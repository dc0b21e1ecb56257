package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// compare replays a pattern with and without early rejection, over a few seeds.
func compare(p pattern) (with, without *replay) {
	with, without = &replay{}, &replay{}
	for seed := range uint64(4) {
		with.add(run(p, seed, 14*time.Second))
		without.add(run(p, seed, 14*time.Second, (*coordinator.Coordinator).DisableEarlyRejection))
	}
	return with, without
}

// TestEarlyRejection replays loads that exceed the capacity of the engines,
// with and without early rejection. With it, requests that are refused in the
// end wait for a fraction of the time, and in no tier do noticeably fewer
// requests meet their objective.
func TestEarlyRejection(t *testing.T) {
	// maxWastedRatio bounds the time wasted by refused requests with early
	// rejection, relative to that without it.
	const maxWastedRatio = 0.5
	down := func(n int, at time.Duration) bool { return n == 0 && at > 4*time.Second && at < 9*time.Second }
	tests := map[string]pattern{
		"burst of 3": {rate: between(4*time.Second, 9*time.Second, 3)},
		"one tier at 8 times its rate": {rate: between(4*time.Second, 9*time.Second, 1), tierRate: func(tier int, at time.Duration) float64 {
			return map[bool]float64{true: 8, false: 1}[tier == 1 && at > 4*time.Second && at < 9*time.Second]
		}},
		"burst of 2, one engine down": {rate: between(4*time.Second, 9*time.Second, 2), down: down},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			with, without := compare(p)
			t.Logf("wait of refused requests %v with early rejection, %v without; in time %v, %v; late %v, %v; refused %v, %v", with.wasted, without.wasted, with.inTime, without.inTime, with.late, without.late, with.refused, without.refused)
			if float64(with.wasted) > maxWastedRatio*float64(without.wasted) {
				t.Errorf("refused requests waited %v, %v without early rejection", with.wasted, without.wasted)
			}
			for tier := range with.inTime {
				if with.inTime[tier]*100 < without.inTime[tier]*97 {
					t.Errorf("tier %d: %d in time, %d without early rejection", tier, with.inTime[tier], without.inTime[tier])
				}
			}
		})
	}
}

// TestForecastDoesNotRejectServableRequests replays loads that the engines can
// serve: early rejection refuses no request that would have been served from
// the queue.
func TestForecastDoesNotRejectServableRequests(t *testing.T) {
	tests := map[string]pattern{
		"base load":       {rate: between(0, 0, 1)},
		"waves":           {rate: func(at time.Duration) float64 { return []float64{0.7, 1.3}[int(at/time.Second)%2] }},
		"burst of 1.5":    {rate: between(4*time.Second, 7*time.Second, 1.5)},
		"one engine down": {rate: between(0, 0, 1), down: func(n int, at time.Duration) bool { return n == 3 && at > 4*time.Second && at < 8*time.Second }},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			with, without := compare(p)
			t.Logf("refused %v, %v without early rejection, of %v", with.refused, without.refused, with.submitted)
			for tier, n := range with.refused {
				if n > without.refused[tier]+with.submitted[tier]/100 {
					t.Errorf("tier %d: %d refused of %d, %d without early rejection", tier, n, with.submitted[tier], without.refused[tier])
				}
			}
		})
	}
}
