package coordinator

import (
	"math"
	"slices"
	"time"

	"foxtaillug.org/scheduler/estimator"
	"foxtaillug.org/scheduler/limiter"
	"foxtaillug.org/scheduler/quarantiner"
	"foxtaillug.org/scheduler/registrar"
)

const (
	// defaultSlots is assumed of an upstream that does not say.
	defaultSlots = 6
	// firstEjection is how long an upstream gets nothing after its connection
	// failed; each further failure doubles it up to lastEjection.
	firstEjection = 300 * time.Millisecond
	lastEjection  = 4 * time.Second
	// minHealth bounds how much a low success rate weighs against an
	// upstream, so that it is still tried now and then.
	minHealth = 0.15
	// coldMargin is the part of a cold upstream's bound that coordinators
	// use; two of them may both believe to be in charge for a moment.
	coldMargin = 0.45
	// coldBurst is the number of requests a cold upstream may get at once.
	coldBurst = 2
	// maxCrashes bounds the requests that others are told of; they remember
	// what they have heard.
	maxCrashes = 256
	// crashMemory is how long a broken request counts as a possible cause of
	// the crash that is noticed after it.
	crashMemory = 1500 * time.Millisecond
)

// broken is a request whose connection was lost.
type broken struct {
	digest uint64
	at     time.Time
}

// upstream is the state of one upstream.
type upstream struct {
	registrar.Entry
	running map[key]*grant
	speed   *estimator.Estimator
	// cold bounds the rate while the upstream is cold.
	cold *limiter.Bucket
	// coldUntil is when a learnt cold state ends.
	coldUntil time.Time
	// absent upstreams may get no new work.
	absent       bool
	ejectedUntil time.Time
	failures     int
	broken       []broken
	// toRead is the number of prompt tokens that are still to be read.
	toRead int
}

// newUpstream returns the state of an upstream that runs nothing.
func newUpstream(e registrar.Entry) *upstream {
	return &upstream{Entry: e, running: make(map[key]*grant), speed: estimator.New()}
}

// tuneCold gives an upstream's cold start its rate: a part of what the
// upstream bears. A host that decides for itself alone sends nothing to a cold
// upstream, as any number of hosts may do so at once.
func (c *Coordinator) tuneCold(u *upstream, now time.Time) {
	p := c.pools[u.Pool]
	if p == nil || p.ColdRate <= 0 {
		u.cold = nil
		return
	}
	bound := p.ColdRate*c.bounds.ColdFactor + c.bounds.ColdAllowance
	size := float64(coldBurst)
	rate := max(bound*coldMargin-size, 0)
	if c.fleet.Standalone {
		rate, size = 0, 0
	}
	if u.cold == nil {
		u.cold = limiter.NewBucket(rate, size, 0, now)
		return
	}
	u.cold.Tune(rate, size, now)
}

// slots returns how many requests the upstream runs at once.
func (u *upstream) slots() int {
	if u.Slots > 0 {
		return u.Slots
	}
	return defaultSlots
}

// isCold reports whether the upstream is in cold start.
func (u *upstream) isCold(now time.Time) bool {
	return now.Before(u.ColdUntil) || now.Before(u.coldUntil)
}

// eligible reports whether the upstream may get new work at all.
func (u *upstream) eligible(now time.Time) bool {
	return !u.absent && !now.Before(u.ejectedUntil)
}

// hasRoom reports whether the upstream may get a request right now.
func (u *upstream) hasRoom(now time.Time) bool {
	if !u.eligible(now) || len(u.running) >= u.slots() {
		return false
	}
	return u.cold == nil || !u.isCold(now) || u.cold.Has(1, now)
}

// completion estimates how long the upstream takes for a request, which
// orders the candidates: the shortest first.
func (u *upstream) completion(a Request) time.Duration {
	if a.Prompt == 0 && a.Output == 0 {
		return u.speed.Call() * time.Duration(1+len(u.running)) / time.Duration(u.slots())
	}
	return u.firstToken(a) + u.speed.Tokens(a.Output)
}

// firstToken estimates the time to a request's first event.
func (u *upstream) firstToken(a Request) time.Duration {
	if a.Prompt == 0 && a.Output == 0 {
		return u.speed.Call()
	}
	return u.speed.FirstToken(u.toRead + a.Prompt)
}

// anyRoom reports whether any upstream of a pool has room.
func (c *Coordinator) anyRoom(p *pool, now time.Time) bool {
	for _, u := range p.members {
		if u.hasRoom(now) {
			return true
		}
	}
	return false
}

// allowed reports whether a request may run in the upstream's region, and
// has not been there before.
func (c *Coordinator) allowed(u *upstream, a Request) bool {
	if slices.Contains(a.Exclude, u.ID) {
		return false
	}
	return len(a.Regions) == 0 || slices.Contains(a.Regions, c.fleet.Regions[u.Domain])
}

// place returns the upstream on which a request would end first, or nil if
// none has room.
func (c *Coordinator) place(p *pool, a Request, now time.Time) (best *upstream) {
	lowest := math.Inf(1)
	for _, u := range p.members {
		if !u.hasRoom(now) || !c.allowed(u, a) {
			continue
		}
		health := max(u.speed.Health(), minHealth)
		score := float64(u.completion(a)) / (health * health)
		if score < lowest || score == lowest && u.ID < best.ID {
			best, lowest = u, score
		}
	}
	return best
}

// quickest returns the shortest time to a first byte that any upstream of a
// pool would take.
func (c *Coordinator) quickest(p *pool, a Request, now time.Time) (best time.Duration) {
	for _, u := range p.members {
		if !u.eligible(now) {
			continue
		}
		if d := u.firstToken(a); best == 0 || d < best {
			best = d
		}
	}
	return best
}

// exists reports whether any upstream of a pool may serve a request, now or
// later.
func (c *Coordinator) exists(p *pool, a Request, now time.Time) bool {
	for _, u := range p.members {
		if u.eligible(now) && c.allowed(u, a) {
			return true
		}
	}
	return false
}

// ended learns from how a request ended.
func (u *upstream) ended(c *Coordinator, g *grant, f Finish, now time.Time) {
	switch f.Ending {
	case Complete:
		u.failures = 0
		u.broken = nil
		u.speed.ObserveEnd(true)
		u.observe(g, f)
	case Failed, TimedOut:
		u.speed.ObserveEnd(false)
	case ConnectionLost:
		u.speed.ObserveEnd(false)
		u.broken = append(u.broken, broken{digest: g.ask.Digest, at: now})
	case Unreached:
		u.eject(now)
		u.blame(c, now)
	case WrongUpstream:
		u.absent = true
	case Rejected:
		u.ejectedUntil = now.Add(firstEjection / 3)
	}
	if f.ColdFor > 0 {
		u.coldUntil = now.Add(f.ColdFor)
	}
}

// observe learns the upstream's speed.
func (u *upstream) observe(g *grant, f Finish) {
	if g.ask.Prompt == 0 && g.ask.Output == 0 {
		u.speed.ObserveCall(f.Total)
		return
	}
	if g.alone && f.FirstToken > 0 && !g.observed {
		u.speed.ObserveFirstToken(g.ask.Prompt, f.FirstToken)
	}
	u.speed.ObserveTokens(f.Tokens, f.Generating)
}

// eject keeps new work away for a while, longer with each failure.
func (u *upstream) eject(now time.Time) {
	d := firstEjection << min(u.failures, 8)
	u.failures++
	u.ejectedUntil = now.Add(min(d, lastEjection))
}

// blame hands the requests that broke right before the upstream went down to
// the quarantine.
func (u *upstream) blame(c *Coordinator, now time.Time) {
	var digests []quarantiner.Digest
	for _, b := range u.broken {
		if now.Sub(b.at) < crashMemory && b.digest != 0 {
			digests = append(digests, quarantiner.Digest(b.digest))
			if len(c.crashes) >= maxCrashes {
				clear(c.crashes)
			}
			c.crashes[b.digest]++
		}
	}
	u.broken = nil
	if len(digests) > 0 {
		c.suspects.RecordCrash(digests, now)
	}
}
