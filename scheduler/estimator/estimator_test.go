package estimator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/estimator"
)

func TestEstimatesConverge(t *testing.T) {
	tests := map[string]struct{ slowdown float64 }{
		"typical":   {1},
		"fast":      {0.6},
		"slow":      {1.7},
		"very slow": {8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := estimator.New()
			first, tokens, call := e.FirstTokenTime(2000), e.GenerationTime(50), e.CallTime()
			scale := func(d time.Duration) time.Duration { return time.Duration(tt.slowdown * float64(d)) }
			for range 12 {
				e.ObserveFirstToken(2000, scale(first))
				e.ObserveTokens(50, scale(tokens))
				e.ObserveCall(scale(call))
			}
			for what, pair := range map[string][2]time.Duration{
				"first token": {e.FirstTokenTime(2000), scale(first)},
				"tokens":      {e.GenerationTime(50), scale(tokens)},
				"call":        {e.CallTime(), scale(call)},
			} {
				if got, want := pair[0].Seconds(), pair[1].Seconds(); got < 0.9*want || got > 1.1*want {
					t.Errorf("%s: %.3f s estimated, %.3f s observed", what, got, want)
				}
			}
		})
	}
}

// TestFirstTokenFallsBackToTokenSpeed checks the estimate of an estimator that
// has only observed the speed of generating tokens.
func TestFirstTokenFallsBackToTokenSpeed(t *testing.T) {
	e := estimator.New()
	before := e.FirstTokenTime(1000)
	e.ObserveTokens(10, 2*e.GenerationTime(10))
	if got := e.FirstTokenTime(1000); got != 2*before {
		t.Errorf("time to first token %v at half the speed, want %v", got, 2*before)
	}
}

func TestSuccessRateFallsAndRecovers(t *testing.T) {
	e := estimator.New()
	for range 10 {
		e.ObserveResult(false)
	}
	if e.SuccessRate() > 0.25 {
		t.Errorf("success rate %.2f after ten failures", e.SuccessRate())
	}
	for range 20 {
		e.ObserveResult(true)
	}
	if e.SuccessRate() < 0.9 {
		t.Errorf("success rate %.2f after twenty successes", e.SuccessRate())
	}
}

// TestExtremeObservationsAreBounded passes observations that a broken clock or
// an empty stream could produce.
func TestExtremeObservationsAreBounded(t *testing.T) {
	e := estimator.New()
	e.ObserveTokens(0, time.Hour)
	e.ObserveFirstToken(0, time.Hour)
	e.ObserveTokens(5, 0)
	if e.FirstTokenTime(0) > 2*time.Second || e.GenerationTime(100) <= 0 {
		t.Errorf("time to first token %v, generation time %v", e.FirstTokenTime(0), e.GenerationTime(100))
	}
}
