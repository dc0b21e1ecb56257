package coordinator

import "time"

// An upstream that is too busy may tell one host to send it nothing for a while. Other hosts
// go on using it, so its slots are not lost, and the host's requests go elsewhere. If every
// upstream of a pool has told a host so, its requests are refused at once with the time at
// which the first one accepts them again.

// pausedUntil returns until when an upstream wants no requests of an entry host.
func (c *Coordinator) pausedUntil(entry string, u *upstream) time.Time {
	return c.observed.PausedUntil(u.ID, u.Born, entry)
}

// isPaused reports whether an upstream wants no requests of an entry host now.
func (c *Coordinator) isPaused(entry string, u *upstream, now time.Time) bool {
	return c.observed.Pausing(now) && now.Before(c.pausedUntil(entry, u))
}

// timeUntilResumed returns the time until an upstream that may run a queued request accepts
// those of its entry host again; 0 if one does, or if there is none.
func (c *Coordinator) timeUntilResumed(p *pool, w *waiter, now time.Time) (soonest time.Duration) {
	if !c.observed.Pausing(now) {
		return 0
	}
	found := false
	for _, u := range p.members {
		if !u.eligible(now) || !c.suits(u, w.Request) || !c.reaches(w.entry, u, now) {
			continue
		}
		left := c.pausedUntil(w.entry, u).Sub(now)
		if left <= 0 {
			return 0
		}
		if !found || left < soonest {
			soonest, found = left, true
		}
	}
	return soonest
}

// shareRoom counts for each upstream of a pool the queued requests whose entry hosts it has
// not told to pause, so that forecasts use the room that is left for them.
func (c *Coordinator) shareRoom(p *pool, now time.Time) {
	p.open = nil
	if !c.observed.Pausing(now) || len(p.waiting) == 0 {
		return
	}
	waiting := make(map[string]int)
	for _, w := range p.waiting {
		waiting[w.entry]++
	}
	p.open = make(map[string]float64)
	for _, u := range p.members {
		open := len(p.waiting)
		for entry, n := range waiting {
			if c.isPaused(entry, u, now) {
				open -= n
			}
		}
		p.open[u.ID] = float64(open) / float64(len(p.waiting))
	}
}

// openShare returns the fraction of the queued requests that may be sent to an upstream.
func (p *pool) openShare(u *upstream) float64 {
	if share, known := p.open[u.ID]; known {
		return share
	}
	return 1
}
