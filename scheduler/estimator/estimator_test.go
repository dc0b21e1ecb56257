package estimator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/estimator"
)

func TestLearnsSpeed(t *testing.T) {
	tests := map[string]struct{ slowness float64 }{
		"typical": {1},
		"fast":    {0.6},
		"slow":    {1.7},
		"crawls":  {8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := estimator.New()
			first, tokens, call := e.FirstToken(2000), e.Tokens(50), e.Call()
			scale := func(d time.Duration) time.Duration { return time.Duration(tt.slowness * float64(d)) }
			for range 12 {
				e.ObserveFirstToken(2000, scale(first))
				e.ObserveTokens(50, scale(tokens))
				e.ObserveCall(scale(call))
			}
			for what, pair := range map[string][2]time.Duration{
				"first token": {e.FirstToken(2000), scale(first)},
				"tokens":      {e.Tokens(50), scale(tokens)},
				"call":        {e.Call(), scale(call)},
			} {
				if got, want := pair[0].Seconds(), pair[1].Seconds(); got < 0.9*want || got > 1.1*want {
					t.Errorf("%s: %.3f s estimated, %.3f s observed", what, got, want)
				}
			}
		})
	}
}

// TestOneSpeedStandsForTheOther knows only how fast tokens are generated.
func TestOneSpeedStandsForTheOther(t *testing.T) {
	e := estimator.New()
	before := e.FirstToken(1000)
	e.ObserveTokens(10, 2*e.Tokens(10))
	if got := e.FirstToken(1000); got != 2*before {
		t.Errorf("%v to the first token at half the speed, want %v", got, 2*before)
	}
}

func TestHealthFallsAndRecovers(t *testing.T) {
	e := estimator.New()
	for range 10 {
		e.ObserveEnd(false)
	}
	if e.Health() > 0.25 {
		t.Errorf("health %.2f after ten failures", e.Health())
	}
	for range 20 {
		e.ObserveEnd(true)
	}
	if e.Health() < 0.9 {
		t.Errorf("health %.2f after twenty successes", e.Health())
	}
}

// TestAbsurdObservationsAreBounded feeds what a broken clock or an empty
// stream could give.
func TestAbsurdObservationsAreBounded(t *testing.T) {
	e := estimator.New()
	e.ObserveTokens(0, time.Hour)
	e.ObserveFirstToken(0, time.Hour)
	e.ObserveTokens(5, 0)
	if e.FirstToken(0) > 2*time.Second || e.Tokens(100) <= 0 {
		t.Errorf("first token %v, tokens %v", e.FirstToken(0), e.Tokens(100))
	}
}
