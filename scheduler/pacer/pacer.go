// Package pacer finds the load that an upstream can sustain after it has started or
// recovered, from how it answers.
//
// A Pacer holds a window, the number of requests that the upstream gets at once,
// and a rate, as a fraction of the highest rate that it may get. Both follow
// additive increase and multiplicative decrease (AIMD). A window that has not
// been reduced grows by one with each answer in time, so it doubles with each
// round trip (slow start); one that has been reduced grows by one with each round
// trip. Once the window reaches the slots, the upstream is no longer paced until
// it fails or restarts.
package pacer

import "time"

const (
	// StartWindow is the window of an upstream of which nothing is known.
	StartWindow = 2
	// busyDecrease multiplies the window when the upstream is too busy, and
	// lostDecrease when it lost a request or failed. Requests that it refuses or
	// serves late cost their callers less.
	busyDecrease, lostDecrease = 0.75, 0.5
	// startRate is the fraction of the rate at which an upstream starts.
	// rateIncrease is added to it with each answer in time; rateDecrease
	// multiplies it otherwise, down to minRate.
	startRate, rateIncrease, rateDecrease, minRate = 0.75, 0.125, 0.5, 0.125
	// restPerRate is the time in which an upstream that refuses single requests
	// gets none, at the full rate; it is divided by the rate.
	restPerRate = 50 * time.Millisecond
)

// Answer is what the end or the first event of a request says of an upstream.
type Answer uint8

// The answers.
const (
	// InTime means that the first event came within the objective.
	InTime Answer = iota
	// Late means that it came later.
	Late
	// Rejected means that the upstream refused the request.
	Rejected
	// Lost means that the request was lost or could not be sent.
	Lost
)

// Pacer paces one upstream. The zero value is an upstream that is not paced. It is
// not safe for concurrent use.
type Pacer struct {
	paced, trial bool
	// reduced is set after a decrease: the window then grows slowly.
	reduced      bool
	window, rate float64
	// since is the time of the last start or decrease. Requests that were granted
	// before say nothing of the present pace.
	since time.Time
	// restUntil is the end of a rest, missed counts the trial requests that failed.
	restUntil time.Time
	missed    int
}

// Start begins slow start with a window.
func (p *Pacer) Start(window int, now time.Time) {
	*p = Pacer{paced: true, window: float64(max(window, 1)), rate: startRate, since: now}
}

// Fail records that the upstream can't be reached: it gets single trial requests
// until Recover. The window that it has then is half of the present one.
func (p *Pacer) Fail(slots int, now time.Time) {
	if p.trial {
		return
	}
	window := max(1, lostDecrease*float64(p.Window(slots)))
	*p = Pacer{paced: true, trial: true, window: window, rate: startRate, since: now}
}

// Missed records that a trial request has failed too: the next one comes after the trial
// interval, at most maxMissed.
func (p *Pacer) Missed(now time.Time) {
	if !p.trial || p.Resting(now) {
		return
	}
	p.restUntil = now.Add(min(maxMissed, TrialInterval(p.missed)))
	p.missed++
}

// Recover records that a trial request has succeeded, or that the upstream was not at
// fault.
func (p *Pacer) Recover(now time.Time) {
	if p.trial {
		p.trial, p.since, p.restUntil, p.missed = false, now, time.Time{}, 0
	}
}

// RaiseTo raises the window to a number of requests that the upstream is known to run.
func (p *Pacer) RaiseTo(running int) {
	if p.paced && !p.trial && !p.reduced {
		p.window = max(p.window, float64(running))
	}
}

// Paced reports whether the window or the rate is reduced.
func (p *Pacer) Paced() bool { return p.paced }

// Trial reports whether the upstream gets single trial requests.
func (p *Pacer) Trial() bool { return p.trial }

// Since returns the time of the last start, failure or decrease.
func (p *Pacer) Since() time.Time { return p.since }

// Window returns the number of requests that an upstream with a number of slots gets
// at once.
func (p *Pacer) Window(slots int) int {
	switch {
	case p.trial:
		return 1
	case !p.paced:
		return slots
	}
	return max(1, min(slots, int(p.window)))
}

// Rate returns the fraction of the highest rate that the upstream gets.
func (p *Pacer) Rate() float64 {
	if !p.paced {
		return 1
	}
	return p.rate
}

// Resting reports whether the upstream gets no request now because it has refused
// one while it ran few.
func (p *Pacer) Resting(now time.Time) bool { return now.Before(p.restUntil) }

// RestUntil returns the end of the last rest.
func (p *Pacer) RestUntil() time.Time { return p.restUntil }

// Record adapts the pace to the answer to a request that was granted at a time, when
// the upstream runs a number of others.
func (p *Pacer) Record(a Answer, granted time.Time, running, slots int, now time.Time) {
	if granted.Before(p.since) || p.trial {
		return
	}
	if a == InTime {
		p.increase(slots)
		return
	}
	if !p.paced {
		if a == Late {
			// Answers are late in an overload too, which pacing does not mend.
			return
		}
		p.paced, p.window, p.rate = true, float64(slots), 1
	}
	p.decrease(a, running, now)
}

// increase raises the window and the rate after an answer in time.
func (p *Pacer) increase(slots int) {
	if !p.paced {
		return
	}
	p.rate = min(1, p.rate+rateIncrease)
	if p.reduced {
		p.window += 1 / max(p.window, 1)
	} else {
		p.window++
	}
	if p.window >= float64(slots) && p.rate >= 1 {
		p.paced, p.reduced = false, false
	}
}

// decrease reduces the window and the rate, at most once a round trip: requests that
// were granted before are not recorded afterwards.
func (p *Pacer) decrease(a Answer, running int, now time.Time) {
	factor := busyDecrease
	if a == Lost {
		factor = lostDecrease
	}
	p.window = max(1, factor*min(p.window, float64(running+1)))
	p.rate = max(minRate, p.rate*rateDecrease)
	p.reduced, p.since = true, now
	if a == Rejected && running == 0 {
		p.restUntil = now.Add(time.Duration(float64(restPerRate) / p.rate))
	}
}

const (
	// firstTrial is the time until the first trial request after a failure. The time
	// doubles with each further failure, up to maxTrial: one more trial in ten seconds
	// than with 300 ms, but single ones.
	firstTrial = 100 * time.Millisecond
	maxTrial   = 4 * time.Second
	// maxMissed bounds the time between trial requests where the hosts that fail may be
	// cut off: others must not have to wait longer for the upstream.
	maxMissed = 400 * time.Millisecond
)

// TrialInterval returns the time until the next trial request after a number of
// failures before the last one.
func TrialInterval(failures int) time.Duration {
	return min(maxTrial, firstTrial<<min(failures, 8))
}
