// Package estimator learns how fast an upstream is from its own answers.
//
// Engines of one pool differ in speed and do not announce it. An Estimator
// keeps two factors against reference figures, one for reading prompts and
// one for generating tokens, and a success rate. What it learnt loses weight
// with every new observation, so an engine that turns slow is noticed within
// a few answers.
package estimator

import "time"

const (
	// referenceBase is the time to the first token of an empty prompt, of a
	// typical engine; the factors learnt correct it.
	referenceBase = 50 * time.Millisecond
	// referencePrefill is the time a typical engine reads one token in.
	referencePrefill = 20 * time.Microsecond
	// referenceToken is the time a typical engine generates one token in.
	referenceToken = 5 * time.Millisecond
	// referenceCall is how long a typical plain call takes.
	referenceCall = 50 * time.Millisecond
	// gain is the weight of a new observation of speed.
	gain = 0.25
	// healthGain is the weight of a new observation of success.
	healthGain = 0.15
	// minFactor and maxFactor bound what one observation can claim.
	minFactor, maxFactor = 0.1, 20
)

// Estimator describes one upstream. It is not safe for concurrent use.
type Estimator struct {
	prefill     float64
	token       float64
	call        float64
	knowPrefill bool
	knowToken   bool
	health      float64
}

// New returns an estimator that assumes a typical upstream.
func New() *Estimator {
	return &Estimator{prefill: 1, token: 1, call: 1, health: 1}
}

// blend moves a factor toward an observation.
func blend(factor, observed float64, known bool) float64 {
	observed = min(max(observed, minFactor), maxFactor)
	if !known {
		return observed
	}
	return factor + gain*(observed-factor)
}

// FirstToken returns how long the first token takes when so many prompt
// tokens are read before it.
func (e *Estimator) FirstToken(prompt int) time.Duration {
	f := e.prefill
	if !e.knowPrefill && e.knowToken {
		f = e.token
	}
	return time.Duration(f * float64(referenceBase+time.Duration(prompt)*referencePrefill))
}

// Tokens returns how long so many tokens take to generate.
func (e *Estimator) Tokens(n int) time.Duration {
	f := e.token
	if !e.knowToken && e.knowPrefill {
		f = e.prefill
	}
	return time.Duration(f * float64(time.Duration(n)*referenceToken))
}

// Call returns how long a plain call takes.
func (e *Estimator) Call() time.Duration {
	return time.Duration(e.call * float64(referenceCall))
}

// Health returns the part of recent requests that went well, from 0 to 1.
func (e *Estimator) Health() float64 { return e.health }

// ObserveFirstToken takes in the time to a first token that had no other
// prompt read before it.
func (e *Estimator) ObserveFirstToken(prompt int, took time.Duration) {
	e.prefill = blend(e.prefill, float64(took)/float64(referenceBase+time.Duration(prompt)*referencePrefill), e.knowPrefill)
	e.knowPrefill = true
}

// ObserveTokens takes in the time in which tokens were generated.
func (e *Estimator) ObserveTokens(n int, took time.Duration) {
	if n <= 0 {
		return
	}
	e.token = blend(e.token, float64(took)/float64(time.Duration(n)*referenceToken), e.knowToken)
	e.knowToken = true
}

// ObserveCall takes in the time of a plain call.
func (e *Estimator) ObserveCall(took time.Duration) {
	e.call = blend(e.call, float64(took)/float64(referenceCall), true)
}

// ObserveEnd takes in whether a request went well.
func (e *Estimator) ObserveEnd(well bool) {
	v := 0.0
	if well {
		v = 1
	}
	e.health += healthGain * (v - e.health)
}
