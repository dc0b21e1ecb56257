package arbiter

import (
	"time"
)

// wake notices that this process was paused. It then grants nothing until
// its configuration is confirmed, and nothing on an upstream before its next
// load report: either may have been taken out of service meanwhile.
func (a *Arbiter) wake(now time.Time, o *Actions) {
	gap := now.Sub(a.seen)
	a.seen = now
	if gap < wakeGap {
		return
	}
	a.doubting = true
	a.woke = now
	o.confirm = true
	a.resize(now, o)
}

// ConfirmConfiguration takes note that peers and the platform were asked for a newer
// configuration since this process woke up.
func (a *Arbiter) ConfirmConfiguration(now time.Time) (o Actions) {
	a.wake(now, &o)
	if o.confirm {
		return o
	}
	a.doubting = false
	a.resize(now, &o)
	return o
}
