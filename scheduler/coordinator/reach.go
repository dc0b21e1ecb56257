package coordinator

import (
	"slices"
	"time"

	"foxtaillug.org/scheduler/reacher"
)

// reachWindow is the time for which an upstream that has responded to a host counts as one
// that is up, although another host can't connect to it.
const reachWindow = 2 * time.Second

// entry is what a coordinator knows of an entry host.
type entry struct {
	// reach judges whether the host is cut off.
	reach reacher.Reacher
	// ejected holds the upstreams that the host failed to connect to.
	ejected map[string]ejection
}

// ejection keeps requests from an upstream for a while, longer with each failure.
type ejection struct {
	failures  int
	at, until time.Time
}

// extend extends the ejection after a failure.
func (e *ejection) extend(now time.Time) {
	d := minEjection << min(e.failures, 8)
	e.failures++
	e.at = now
	e.until = now.Add(min(d, maxEjection))
}

// entryOf returns the state of an entry host.
func (c *Coordinator) entryOf(name string) *entry {
	e := c.entries[name]
	if e == nil {
		e = &entry{ejected: make(map[string]ejection)}
		c.entries[name] = e
	}
	return e
}

// reaches reports whether an entry host may be sent to an upstream: it has not failed to
// connect to it lately.
func (c *Coordinator) reaches(name string, u *upstream, now time.Time) bool {
	e := c.entries[name]
	return e == nil || !now.Before(e.ejected[u.ID].until)
}

// noteUnreached records an entry host for the current round if it reaches no upstream that can
// accept a request. Its requests are then not tried one by one.
func (c *Coordinator) noteUnreached(p *pool, name string, now time.Time) {
	if c.entries[name] == nil || slices.ContainsFunc(p.members, func(u *upstream) bool {
		return u.canAccept(now) && c.reaches(name, u, now) && !c.isPaused(name, u, now)
	}) {
		return
	}
	p.unreached = append(p.unreached, name)
}

// isCutOff reports whether the entry host of a queued request is cut off and none of the
// pool's upstreams is to be tried again yet. The request then does not wait.
func (c *Coordinator) isCutOff(p *pool, w *waiter, now time.Time) bool {
	e := c.entries[w.entry]
	return e != nil && e.reach.CutOff(now) && !c.canServe(p, w.entry, w.Request, now)
}

// timeUntilReached returns the time until an entry host may be sent to an upstream.
func (c *Coordinator) timeUntilReached(name string, u *upstream, now time.Time) time.Duration {
	d := max(0, c.pausedUntil(name, u).Sub(now))
	if e := c.entries[name]; e != nil {
		d = max(d, e.ejected[u.ID].until.Sub(now))
	}
	return d
}

// recordResponse records that an upstream has responded to a request that an entry host was
// granted at a time. It says nothing of failures since then.
func (c *Coordinator) recordResponse(name string, u *upstream, granted, now time.Time) {
	e := c.entryOf(name)
	e.reach.Responded()
	if granted.After(e.ejected[u.ID].at) {
		delete(e.ejected, u.ID)
	}
	u.respondedAt = now
	c.endTrial(u, granted, now)
	if granted.After(u.doubtedAt) {
		u.doubted = u.doubted[:0]
	}
	if len(u.ejectedBy) > 0 && granted.After(u.ejection.at) {
		u.liftEjection(now)
	}
}

// recordUnreached records that an entry host could not connect to an upstream. The upstream
// is ejected for this host. It is ejected for all if no host was responded to lately, or if
// a second host fails before any is responded to. What a host that is itself cut off can't
// reach says nothing of the upstream.
func (c *Coordinator) recordUnreached(name string, u *upstream, now time.Time) {
	e := c.entryOf(name)
	e.reach.Failed(u.ID, true, now)
	own := e.ejected[u.ID]
	c.ejectFor(&own, name, u, now)
	e.ejected[u.ID] = own
	if e.reach.CutOff(now) {
		c.liftEjections(name, now)
		return
	}
	if !slices.Contains(u.doubted, name) {
		u.doubted = append(u.doubted, name)
	}
	u.doubtedAt = now
	if len(u.doubted) > 1 || now.Sub(u.respondedAt) > reachWindow {
		c.ejectUpstream(u, now)
		u.ejectedBy = append(u.ejectedBy[:0], u.doubted...)
	}
}

// recordLost records that an entry host's connection to an upstream was lost or silent before
// a response. It reports whether that says something of the upstream.
func (c *Coordinator) recordLost(name string, u *upstream, now time.Time) bool {
	e := c.entryOf(name)
	e.reach.Failed(u.ID, false, now)
	if e.reach.CutOff(now) {
		c.liftEjections(name, now)
		return false
	}
	return true
}

// EntriesCutOff returns the number of entry hosts that are likely cut off from upstreams.
func (c *Coordinator) EntriesCutOff(now time.Time) (n int) {
	for _, e := range c.entries {
		if e.reach.CutOff(now) {
			n++
		}
	}
	return n
}

// liftEjections ends the ejections that rest on what an entry host that is cut off could not
// reach.
func (c *Coordinator) liftEjections(name string, now time.Time) {
	for _, u := range c.upstreams {
		u.doubted = slices.DeleteFunc(u.doubted, func(n string) bool { return n == name })
		if slices.Contains(u.ejectedBy, name) {
			u.liftEjection(now)
		}
	}
}

// wrongTime is how long an upstream receives no requests after another process has responded
// at its address: long enough for few requests to be lost while the directory lists the former
// address, and short if the process was one that was about to end.
const wrongTime = time.Second

// recordWrong records that another process has responded at the address of an upstream. With
// ejection or pacing it gets no requests until its address changes, for wrongTime at most.
// Otherwise it gets none until the directory changes.
func (c *Coordinator) recordWrong(u *upstream, now time.Time) {
	if !c.features.Ejection && !c.features.Pacing {
		u.unavailable = true
		return
	}
	u.wrongUntil = now.Add(wrongTime)
	if c.paces(u) {
		u.pace.Fail(u.fullSlots(), now)
	}
}

// liftEjection ends an ejection for all entry hosts.
func (u *upstream) liftEjection(now time.Time) {
	u.ejectedBy = u.ejectedBy[:0]
	u.ejection = ejection{until: now}
}
