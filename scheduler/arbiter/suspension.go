package arbiter

import (
	"time"
)

// detectSuspension detects that this process was suspended. The arbiter then
// grants nothing until its configuration is confirmed, and nothing on an
// upstream with load reports before the next one: the upstream may have been
// drained or may have started to leave meanwhile.
func (a *Arbiter) detectSuspension(now time.Time, out *Actions) {
	gap := now.Sub(a.lastEvent)
	a.lastEvent = now
	if gap < suspensionGap {
		return
	}
	a.unconfirmed = true
	a.resumedAt = now
	out.needsConfirmation = true
	a.resize(now, out)
}

// ConfirmConfiguration records that peers and the platform have been queried
// for a newer configuration since this process resumed.
func (a *Arbiter) ConfirmConfiguration(now time.Time) (out Actions) {
	a.detectSuspension(now, &out)
	if out.needsConfirmation {
		return out
	}
	a.unconfirmed = false
	a.resize(now, &out)
	return out
}
