package coordinator

import (
	"time"

	"foxtaillug.org/scheduler/sharer"
)

const (
	// expiryInterval is the time between two scans for expired grants.
	expiryInterval = time.Second
	// expiryMargin is added to the caller's remaining time before a grant
	// expires.
	expiryMargin = time.Second
)

// key identifies an admission request or a grant.
type key struct {
	entry string
	id    uint64
}

// grant is a request that was assigned an upstream.
type grant struct {
	req      Request
	upstream *upstream
	at       time.Time
	// onlyPrompt is set if the upstream was processing no other prompt when the
	// request was granted.
	onlyPrompt bool
	// limited is set if the request was charged to the upstream's limit.
	limited bool
	// paced is set after the pace of the upstream was adapted to the request.
	paced bool
	// started is set after the first event, observed after the time to it was
	// passed to the estimator.
	started, observed bool
	// charge is what was charged to its workspace's share.
	charge sharer.Charge
}

// markStarted records that the first event has arrived, so the prompt no longer
// waits to be processed.
func (g *grant) markStarted() {
	if !g.started {
		g.started = true
		g.upstream.pendingPrompt -= g.req.Prompt
	}
}

// release ends a grant and frees its slot.
func (c *Coordinator) release(k key, g *grant) {
	g.markStarted()
	delete(c.grants, k)
	delete(g.upstream.running, k)
	g.upstream.returnTokens(g.req)
}

// Adopt adds the requests that an entry host runs on grants of another
// coordinator.
func (c *Coordinator) Adopt(entry string, running []Running, now time.Time) {
	for _, r := range running {
		u := c.upstreams[r.Upstream]
		if u == nil || c.grants[key{entry, r.ID}] != nil {
			continue
		}
		g := c.addGrant(key{entry, r.ID}, Request{ID: r.ID, Prompt: r.Prompt, Output: r.Output, Left: r.Left}, u, now)
		g.markStarted()
		c.adoptCharge(r, g, now)
		c.paceAdopted(u, now)
	}
}

// Finish records how a granted request ended and releases its slot.
func (c *Coordinator) Finish(entry string, f Finish, now time.Time) {
	k := key{entry, f.ID}
	g := c.grants[k]
	if g == nil {
		return
	}
	c.learnEnd(g, f, g.started, now)
	responded := g.started || f.FirstToken > 0
	c.release(k, g)
	c.recordFinish(entry, g, f, responded, now)
	g.settle(f, now)
	if f.Ending == Complete || f.Ending == Failed || f.Ending == Cancelled {
		c.pool(g.req.Pool, now).forecaster.recordHold(now.Sub(g.at))
	}
	if g.limited && g.upstream.limit != nil && (f.Ending == Unused || f.Ending == ConnectFailed) {
		g.upstream.limit.Add(1)
	}
	switch f.Ending {
	case Unused, ConnectFailed:
		c.uncharge(c.pool(g.req.Pool, now), g.req)
	case WrongUpstream, Rejected:
		// The request has not run, but a repeat has reached an upstream.
		if !g.req.Repeat {
			c.uncharge(c.pool(g.req.Pool, now), g.req)
		}
	}
}

// Progress records the first event of a granted request.
func (c *Coordinator) Progress(entry string, p Progress, now time.Time) {
	if g := c.grants[key{entry, p.ID}]; g != nil && !g.started {
		c.learnFirst(g, p.FirstToken, now)
		g.markStarted()
		c.recordResponse(entry, g.upstream, g.at, now)
		c.recordAnswer(g, now)
		g.upstream.observeReading(g, p.FirstToken)
		c.recordFirst(g, p.FirstToken, now)
		if g.onlyPrompt {
			g.observed = true
			g.upstream.speed.ObserveFirstToken(g.req.Prompt, p.FirstToken)
		}
	}
}

// addGrant records a granted request.
func (c *Coordinator) addGrant(k key, r Request, u *upstream, now time.Time) *grant {
	g := &grant{req: r, upstream: u, at: now, onlyPrompt: u.pendingPrompt == 0}
	u.holdTokens(r, now)
	u.pendingPrompt += r.Prompt
	c.grants[k] = g
	u.running[k] = g
	return g
}

// expireGrants releases grants whose request must have ended. Without it a
// grant whose entry host never reported the end would hold its slot forever.
func (c *Coordinator) expireGrants(now time.Time) {
	for k, g := range c.grants {
		if now.Sub(g.at) > g.req.Left+expiryMargin {
			c.release(k, g)
		}
	}
}
