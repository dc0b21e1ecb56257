package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// compare replays a pattern with and without the forecast, over a few seeds.
func compare(p pattern) (with, without *replay) {
	with, without = &replay{}, &replay{}
	for seed := range uint64(4) {
		with.add(run(p, seed, 14*time.Second))
		without.add(run(p, seed, 14*time.Second, (*coordinator.Coordinator).ForecastNothing))
	}
	return with, without
}

// TestEarlyRejection replays loads that the engines can't serve, with
// and without the forecast of waits. With it the requests that are refused in
// the end have waited for a small part of the time, no tier is served less in
// time, and those that can be served are.
func TestEarlyRejection(t *testing.T) {
	// heldPart is the part of what requests wait in vain without the forecast
	// that is allowed with it.
	const heldPart = 0.5
	third := func(n int, at time.Duration) bool { return n == 0 && at > 4*time.Second && at < 9*time.Second }
	tests := map[string]pattern{
		"burst of 3": {rate: between(4*time.Second, 9*time.Second, 3)},
		"workspace at 8 times": {rate: between(4*time.Second, 9*time.Second, 1), kindRate: func(tier int, at time.Duration) float64 {
			return map[bool]float64{true: 8, false: 1}[tier == 1 && at > 4*time.Second && at < 9*time.Second]
		}},
		"burst of 2 and an engine lost": {rate: between(4*time.Second, 9*time.Second, 2), down: third},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			with, without := compare(p)
			t.Logf("in vain %v with the forecast, %v without; in time %v, %v; late %v, %v; refused %v, %v", with.inVain, without.inVain, with.inTime, without.inTime, with.late, without.late, with.refused, without.refused)
			if float64(with.inVain) > heldPart*float64(without.inVain) {
				t.Errorf("requests waited %v in vain, %v without the forecast", with.inVain, without.inVain)
			}
			for tier := range with.inTime {
				if with.inTime[tier]*100 < without.inTime[tier]*97 {
					t.Errorf("tier %d: %d in time, %d without the forecast", tier, with.inTime[tier], without.inTime[tier])
				}
			}
		})
	}
}

// TestForecastRefusesNobodyInNeedlessly replays loads that the engines can
// serve: the forecast refuses nobody whom the queue would have served.
func TestForecastRefusesNobodyNeedlessly(t *testing.T) {
	tests := map[string]pattern{
		"base load":      {rate: between(0, 0, 1)},
		"waves":          {rate: func(at time.Duration) float64 { return []float64{0.7, 1.3}[int(at/time.Second)%2] }},
		"burst of 1.5":   {rate: between(4*time.Second, 7*time.Second, 1.5)},
		"an engine lost": {rate: between(0, 0, 1), down: func(n int, at time.Duration) bool { return n == 3 && at > 4*time.Second && at < 8*time.Second }},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			with, without := compare(p)
			t.Logf("refused %v, %v without the forecast of %v", with.refused, without.refused, with.asked)
			for tier, n := range with.refused {
				if n > without.refused[tier]+with.asked[tier]/100 {
					t.Errorf("tier %d: %d refused of %d, %d without the forecast", tier, n, with.asked[tier], without.refused[tier])
				}
			}
		})
	}
}
