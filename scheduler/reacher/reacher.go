// Package reacher judges whether a host is cut off from upstreams, from how the host's own
// requests ended.
//
// That an upstream can't be reached is a fact of a host and the upstream: the upstream may
// be down, or the host's path to it. A host that fails at several upstreams and has heard
// from none since is more likely cut off itself. A host that has sent nothing knows nothing,
// and does not count as cut off.
package reacher

import "time"

const (
	// minUnreached is the number of upstreams that a host must have failed to connect to,
	// and minFailed that of upstreams at which it failed in any way, to count as cut off.
	// One request may crash two upstreams before it is refused.
	minUnreached = 2
	minFailed    = 3
	// failureRetention is how long a failure counts.
	failureRetention = 10 * time.Second
)

// failure is the last failure at an upstream.
type failure struct {
	at time.Time
	// unreached reports whether no connection could be made.
	unreached bool
}

// Reacher holds the failures of one host since an upstream last responded to it. The zero
// value is ready to use. It is not safe for concurrent use.
type Reacher struct {
	failures map[string]failure
	// probed is set after a probe until an upstream responds: one failure then suffices.
	probed bool
}

// Failed records that a connection to an upstream could not be made, if unreached is set, or
// else was lost or silent before a response.
func (r *Reacher) Failed(upstream string, unreached bool, now time.Time) {
	if r.failures == nil {
		r.failures = make(map[string]failure)
	}
	r.failures[upstream] = failure{at: now, unreached: unreached || r.failures[upstream].unreached}
}

// Responded records that an upstream has responded.
func (r *Reacher) Responded() {
	clear(r.failures)
	r.probed = false
}

// Probed records that a connection to an upstream could be made. That does not show that
// requests reach it.
func (r *Reacher) Probed() {
	clear(r.failures)
	r.probed = true
}

// Upstreams returns the upstreams at which the host has failed, in no order.
func (r *Reacher) Upstreams(now time.Time) (ids []string) {
	for id, f := range r.failures {
		if now.Sub(f.at) <= failureRetention {
			ids = append(ids, id)
		}
	}
	return ids
}

// CutOff reports whether the host is likely cut off.
func (r *Reacher) CutOff(now time.Time) bool {
	failed, unreached := 0, 0
	for _, f := range r.failures {
		if now.Sub(f.at) > failureRetention {
			continue
		}
		failed++
		if f.unreached {
			unreached++
		}
	}
	return unreached >= minUnreached || failed >= minFailed || r.probed && failed > 0
}
