package ejector

import "time"

const (
	// minInterval is the time from the ejection to the first trial, which doubles with each
	// trial that fails up to maxInterval. An upstream that is sound again is back within
	// maxInterval and the time of at most maxPasses trials, below the 3 s that are required.
	minInterval = 300 * time.Millisecond
	maxInterval = time.Second
	// passInterval is the time from a trial that has succeeded to the next one.
	passInterval = 50 * time.Millisecond
	// maxPasses is the largest number of successive trials that must succeed.
	maxPasses = 3
	// trialTime is the time after which a trial without a response counts as failed.
	trialTime = time.Second
	// flapTime is the time in service after which earlier ejections do not count.
	flapTime = 10 * time.Second
	// hintTTL is how long the verdict of another host is valid.
	hintTTL = 2 * time.Second
	// maxOutTime is the time without evidence after which an upstream is back.
	maxOutTime = 10 * time.Second
)

// trials is the state of an upstream that is out.
type trials struct {
	out bool
	// outRate is the failure rate at the ejection, since is the time of it, and backAt that of
	// the last return to service.
	outRate       float64
	since, backAt time.Time
	// hinted is set as long as the verdict is that of another host, as of judgedAt. judgedAt is
	// the time of the last evidence otherwise.
	hinted   bool
	judgedAt time.Time
	// sentAt is when the trial that has not been judged was granted, zero if there is none, and
	// passedAt when the last one that succeeded was. The next one is due at nextAt and is looked
	// for from scanAt on.
	sentAt, passedAt, nextAt, scanAt time.Time
	interval                         time.Duration
	// passed of needed trials have succeeded.
	passed, needed int
	// flaps counts the ejections shortly after a return to service.
	flaps int
}

// begin begins an ejection. An upstream that has failed a part of its requests only has to pass
// more trials.
func (t *trials) begin(rate float64, part bool, now time.Time) {
	if !t.backAt.IsZero() && now.Sub(t.backAt) < flapTime {
		t.flaps++
	} else {
		t.flaps = 0
	}
	t.needed = 1 + t.flaps
	if part {
		t.needed++
	}
	t.needed = min(t.needed, maxPasses)
	t.out, t.outRate, t.since, t.judgedAt, t.hinted = true, rate, now, now, false
	t.interval, t.passed, t.sentAt = minInterval, 0, time.Time{}
	t.nextAt = now.Add(t.interval)
}

// end ends an ejection.
func (t *trials) end(now time.Time) { t.out, t.hinted, t.backAt = false, false, now }

// expired reports whether an ejection rests on evidence that is too old.
func (t *trials) expired(now time.Time) bool {
	if t.hinted {
		return now.Sub(t.judgedAt) > hintTTL
	}
	return now.Sub(t.judgedAt) > maxOutTime
}

// TrialDue reports whether the upstream is out and should get a trial request.
func (t *trials) TrialDue(now time.Time) bool {
	return t.out && !now.Before(t.nextAt) && !now.Before(t.scanAt) && (t.sentAt.IsZero() || now.Sub(t.sentAt) >= trialTime)
}

// Postpone records that no request suited as a trial for now, so that the queue is not searched
// with each event.
func (t *trials) Postpone(d time.Duration, now time.Time) { t.scanAt = now.Add(d) }

// TrialOverdue returns for how long a trial has been due.
func (t *trials) TrialOverdue(now time.Time) time.Duration { return now.Sub(t.nextAt) }

// TimeUntilTrial returns the time until the upstream may get a trial request, 0 if it is not out.
func (t *trials) TimeUntilTrial(now time.Time) time.Duration {
	if !t.out {
		return 0
	}
	d := t.nextAt.Sub(now)
	if !t.sentAt.IsZero() {
		d = max(d, t.sentAt.Add(trialTime).Sub(now))
	}
	return max(0, d)
}

// StartTrial records that a trial request was granted. One before
// that was not judged has had no response in time, but may still have one.
func (t *trials) StartTrial(now time.Time) {
	if !t.sentAt.IsZero() {
		t.interval = min(2*t.interval, maxInterval)
	}
	t.sentAt = now
}

// grow doubles the interval after a trial that has failed.
func (t *trials) grow() {
	t.passed = 0
	t.interval = min(2*t.interval, maxInterval)
}

// Void records that a request has ended in a way that says nothing of the upstream. A trial is
// followed by another one soon.
func (t *trials) Void(sent, now time.Time) {
	if t.out && !t.sentAt.IsZero() && sent.Equal(t.sentAt) {
		t.sentAt, t.nextAt = time.Time{}, now.Add(passInterval)
	}
}

// Answered records that the upstream has begun to respond to a request, which ends a trial with
// success.
func (p *Pool) Answered(r *Record, sent, now time.Time) {
	if r.out && r.pool == p {
		p.passTrial(r, sent, now)
	}
}

// passTrial records that a request has succeeded while its upstream was out. Requests from before
// say nothing: they may be long streams.
func (p *Pool) passTrial(r *Record, sent, now time.Time) {
	if !sent.After(r.since) || !sent.After(r.passedAt) {
		return
	}
	if sent.Equal(r.sentAt) {
		r.sentAt = time.Time{}
	}
	r.passedAt, r.judgedAt = sent, now
	r.passed++
	r.nextAt = now.Add(passInterval)
	r.decay(now)
	r.average(false)
	if r.passed >= r.needed {
		p.restore(r, "trials succeeded", now)
	}
}

// failTrial records that a request has failed while its upstream was out. One that has failed
// there before may itself be at fault, and is not judged.
func (p *Pool) failTrial(r *Record, sent time.Time, repeated bool, now time.Time) {
	if !sent.After(r.since) {
		return
	}
	trial := !r.sentAt.IsZero() && sent.Equal(r.sentAt)
	if trial {
		r.sentAt = time.Time{}
		r.nextAt = now.Add(r.interval)
	}
	if repeated {
		return
	}
	confirmed := r.hinted
	r.judgedAt, r.hinted = now, false
	r.decay(now)
	r.average(true)
	if confirmed {
		p.changes = append(p.changes, Change{ID: r.id, Out: true, Reason: "verdict of another host confirmed", Rate: r.rate, PoolRate: r.poolRate})
	}
	r.outRate = max(r.outRate, r.rate)
	r.grow()
	if trial {
		r.nextAt = now.Add(r.interval)
	}
}

// Hint records that another host had an upstream out at a time. The verdict is valid for
// two seconds, unless this host knows better.
func (p *Pool) Hint(r *Record, at, now time.Time) {
	switch {
	case r.pool != p || now.Sub(at) > hintTTL || r.succeededAt.After(at):
	case r.out && r.hinted && at.After(r.judgedAt):
		r.judgedAt = at
	case !r.out && !r.backAt.After(at) && p.out < p.maxOut():
		p.out++
		r.begin(likeRate, false, now)
		r.hinted, r.judgedAt = true, at
		p.changes = append(p.changes, Change{ID: r.id, Out: true, Reason: "verdict of another host", Hinted: true})
	}
}
