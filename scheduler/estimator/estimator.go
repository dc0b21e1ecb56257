// Package estimator estimates the speed of an upstream from its responses.
//
// Engines of one pool differ in speed and do not publish it. An Estimator keeps
// factors relative to reference figures, one each for processing prompts
// (prefill), generating tokens and calls of plain services, and a success rate.
// Older observations lose weight with every new one, so an engine that becomes
// slow is noticed within a few responses.
package estimator

import "time"

const (
	// referenceBase is the time to first token of a typical engine for an empty
	// prompt; the learned factors scale it.
	referenceBase = 50 * time.Millisecond
	// referencePrefill is the time in which a typical engine processes one
	// prompt token.
	referencePrefill = 20 * time.Microsecond
	// referenceToken is the time in which a typical engine generates one token.
	referenceToken = 5 * time.Millisecond
	// referenceCall is the duration of a typical call of a plain service.
	referenceCall = 50 * time.Millisecond
	// speedGain is the weight of a new observation of speed.
	speedGain = 0.25
	// successGain is the weight of a new observation of success or failure.
	successGain = 0.15
	// minFactor and maxFactor bound the factor that a single observation can
	// yield.
	minFactor, maxFactor = 0.1, 20
)

// Estimator estimates the speed and success rate of one upstream. It is not
// safe for concurrent use.
type Estimator struct {
	prefill      float64
	token        float64
	call         float64
	prefillKnown bool
	tokenKnown   bool
	success      float64
}

// New returns an estimator that assumes a typical upstream.
func New() *Estimator {
	return &Estimator{prefill: 1, token: 1, call: 1, success: 1}
}

// blend moves a factor toward an observation.
func blend(factor, observed float64, known bool) float64 {
	observed = min(max(observed, minFactor), maxFactor)
	if !known {
		return observed
	}
	return factor + speedGain*(observed-factor)
}

// FirstTokenTime estimates the time to first token of a prompt, whose length is
// given in tokens.
func (e *Estimator) FirstTokenTime(prompt int) time.Duration {
	f := e.prefill
	if !e.prefillKnown && e.tokenKnown {
		f = e.token
	}
	return time.Duration(f * float64(referenceBase+time.Duration(prompt)*referencePrefill))
}

// GenerationTime estimates the time to generate n tokens.
func (e *Estimator) GenerationTime(n int) time.Duration {
	f := e.token
	if !e.tokenKnown && e.prefillKnown {
		f = e.prefill
	}
	return time.Duration(f * float64(time.Duration(n)*referenceToken))
}

// CallTime estimates the duration of a call of a plain service.
func (e *Estimator) CallTime() time.Duration {
	return time.Duration(e.call * float64(referenceCall))
}

// SuccessRate returns the fraction of recent requests that succeeded, from 0 to
// 1.
func (e *Estimator) SuccessRate() float64 { return e.success }

// ObserveFirstToken records the time to first token of a prompt, whose length is
// given in tokens. No other prompt may have been processed at the same time.
func (e *Estimator) ObserveFirstToken(prompt int, took time.Duration) {
	e.prefill = blend(e.prefill, float64(took)/float64(referenceBase+time.Duration(prompt)*referencePrefill), e.prefillKnown)
	e.prefillKnown = true
}

// ObserveTokens records the time in which n tokens were generated.
func (e *Estimator) ObserveTokens(n int, took time.Duration) {
	if n <= 0 {
		return
	}
	e.token = blend(e.token, float64(took)/float64(time.Duration(n)*referenceToken), e.tokenKnown)
	e.tokenKnown = true
}

// ObserveCall records the duration of a call of a plain service.
func (e *Estimator) ObserveCall(took time.Duration) {
	e.call = blend(e.call, float64(took)/float64(referenceCall), true)
}

// ObserveResult records whether a request succeeded.
func (e *Estimator) ObserveResult(succeeded bool) {
	v := 0.0
	if succeeded {
		v = 1
	}
	e.success += successGain * (v - e.success)
}
