package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtaillug.org/scheduler/limiter"
	"foxtaillug.org/scheduler/quarantiner"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

const (
	// expiryPeriod is the time between two looks for expired grants.
	expiryPeriod = time.Second
	// expiryMargin is how much longer than its caller waits a grant counts.
	expiryMargin = time.Second
)

// Bounds are the promises that hold over the whole fleet.
type Bounds struct {
	// RetryRatio is the number of retries allowed for each request.
	RetryRatio float64
	// RetryAllowance is the number of retries allowed in RetryWindow beyond
	// that.
	RetryAllowance float64
	RetryWindow    time.Duration
	// ColdFactor and ColdAllowance widen the rate of a cold upstream.
	ColdFactor, ColdAllowance float64
}

// Fleet is what membership says of the hosts.
type Fleet struct {
	// Hosts is the number of hosts known to exist, live or not.
	Hosts int
	// Share is the part of the fleet's limits that this coordinator may use,
	// from 0 to 1.
	Share float64
	// QuotaShare is the part of each quota that this coordinator and those it
	// hears of may use together, from 0 to 1.
	QuotaShare float64
	// Scope are the failure domains whose upstreams are granted here.
	Scope []string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// Domain is the failure domain of this host.
	Domain string
	// Standalone marks an entry that decides for itself as its coordinator does
	// not answer.
	Standalone bool
}

// key identifies an ask or a grant.
type key struct {
	entry string
	id    uint64
}

// grant is a request that was given an upstream.
type grant struct {
	ask      Request
	upstream *upstream
	at       time.Time
	// alone reports that no other prompt was being read on the upstream.
	alone bool
	// started reports that the first event has come, observed that its time
	// was learnt from.
	started, observed bool
}

// start takes note of the first event.
func (g *grant) start() {
	if !g.started {
		g.started = true
		g.upstream.toRead -= g.ask.Prompt
	}
}

// end takes a grant back.
func (c *Coordinator) end(k key, g *grant) {
	g.start()
	delete(c.grants, k)
	delete(g.upstream.running, k)
}

// Coordinator decides for one failure domain. It is not safe for concurrent
// use, and takes the time with every event.
type Coordinator struct {
	process   string
	bounds    Bounds
	fleet     Fleet
	table     *router.Table
	upstreams map[string]*upstream
	pools     map[string]*pool
	grants    map[key]*grant
	quotas    map[string]*limiter.Quota
	suspects  *quarantiner.Quarantiner
	crashes   map[uint64]int
	peers     map[string]peer
	decisions []Decision
	// order ranks those that wait.
	order func(a, b *waiter) int
	// rejectEarly reports whether requests are rejected by forecast.
	rejectEarly bool
	// expired is when grants were last looked through for expiry.
	expired time.Time
}

// peer is what another coordinator last said.
type peer struct {
	summary Summary
	at      time.Time
	// sent counts asks redirected to it since.
	sent map[string]int
}

// New returns a coordinator without upstreams for a process.
func New(process string, b Bounds) *Coordinator {
	return &Coordinator{
		process:     process,
		bounds:      b,
		upstreams:   make(map[string]*upstream),
		pools:       make(map[string]*pool),
		grants:      make(map[key]*grant),
		quotas:      make(map[string]*limiter.Quota),
		suspects:    quarantiner.New(),
		crashes:     make(map[uint64]int),
		peers:       make(map[string]peer),
		fleet:       Fleet{Hosts: 1},
		order:       bySlack,
		rejectEarly: true,
	}
}

// SetTable takes in a new configuration.
func (c *Coordinator) SetTable(t *router.Table, now time.Time) {
	c.table = t
	for _, p := range t.Pools() {
		c.pool(p.Name, now).Pool = p
	}
	for _, w := range t.Workspaces() {
		if q := c.quotas[w.Name]; q != nil {
			q.Tune(w.Rate, w.Burst, now)
			continue
		}
		q := limiter.NewQuota(w.Rate, w.Burst, now)
		q.SetShare(c.fleet.QuotaShare, now)
		c.quotas[w.Name] = q
	}
}

// pool returns the state of a pool, new if need be.
func (c *Coordinator) pool(name string, now time.Time) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{Pool: router.Pool{Name: name}, retries: limiter.NewBucket(0, 0, 0, now)}
		c.pools[name] = p
		c.tuneRetries(p, now)
	}
	return p
}

// retryMargin is the part of the retry budget that is used; the rest covers
// hosts that decide alone and views of the fleet that differ.
const retryMargin = 0.6

// tuneRetries gives a pool its part of the retry budget. Half of the
// allowance can be used at once and half over the window, so that no window
// exceeds it.
func (c *Coordinator) tuneRetries(p *pool, now time.Time) {
	allowance := c.bounds.RetryAllowance * c.fleet.Share * retryMargin
	window := max(c.bounds.RetryWindow.Seconds(), 1)
	p.retries.Tune(allowance/2/window, allowance/2, now)
}

// SetFleet takes in a new view of the fleet.
func (c *Coordinator) SetFleet(f Fleet, now time.Time) {
	c.fleet = f
	for _, p := range c.pools {
		c.tuneRetries(p, now)
	}
	for _, q := range c.quotas {
		q.SetShare(f.QuotaShare, now)
	}
	for _, u := range c.upstreams {
		c.tuneCold(u, now)
	}
	c.assign(now)
}

// SetUpstreams takes in the upstreams that may get new work.
func (c *Coordinator) SetUpstreams(entries []registrar.Entry, now time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		u := c.upstreams[e.ID]
		if u == nil || u.Born != e.Born {
			u = newUpstream(e)
			c.upstreams[e.ID] = u
			c.tuneCold(u, now)
		}
		u.Entry = e
		u.absent = false
	}
	for id, u := range c.upstreams {
		if !listed[id] {
			u.absent = true
			if len(u.running) == 0 {
				delete(c.upstreams, id)
			}
		}
	}
	c.assign(now)
}

// assign lists for each pool the upstreams that may be granted here.
func (c *Coordinator) assign(now time.Time) {
	for _, p := range c.pools {
		p.members = p.members[:0]
	}
	for _, u := range c.upstreams {
		if slices.Contains(c.fleet.Scope, u.Domain) {
			p := c.pool(u.Pool, now)
			p.members = append(p.members, u)
		}
	}
	for _, p := range c.pools {
		slices.SortFunc(p.members, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Adopt takes in what an entry runs by another coordinator's grants.
func (c *Coordinator) Adopt(entry string, running []Running, now time.Time) {
	for _, r := range running {
		u := c.upstreams[r.Upstream]
		if u == nil || c.grants[key{entry, r.ID}] != nil {
			continue
		}
		c.begin(key{entry, r.ID}, Request{ID: r.ID, Prompt: r.Prompt, Output: r.Output, Digest: r.Digest, Left: r.Left}, u, now).start()
	}
}

// DropEntry forgets an entry whose link has ended.
func (c *Coordinator) DropEntry(entry string) {
	for _, p := range c.pools {
		p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.entry == entry })
	}
	for k, g := range c.grants {
		if k.entry == entry {
			c.end(k, g)
		}
	}
}

// Withdraw forgets an ask whose caller has gone. A grant that is on its way
// is ended by a Finish.
func (c *Coordinator) Withdraw(entry string, id uint64) {
	for _, p := range c.pools {
		p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.entry == entry && w.ID == id })
	}
}

// ReceiveSummary takes in what another coordinator says.
func (c *Coordinator) ReceiveSummary(s Summary, now time.Time) {
	c.peers[s.Domain] = peer{summary: s, at: now, sent: make(map[string]int)}
	for name, used := range s.Used {
		if q := c.quotas[name]; q != nil {
			q.ReceiveUsage(s.Domain, s.Process, used, now)
		}
	}
	for digest, n := range s.Crashes {
		c.suspects.Merge(quarantiner.Digest(digest), n, now)
	}
}

// Summary returns what other coordinators should hear.
func (c *Coordinator) Summary(now time.Time) Summary {
	s := Summary{Process: c.process, Domain: c.fleet.Domain, Free: make(map[string]int), Used: make(map[string]float64), Crashes: maps.Clone(c.crashes)}
	for name, p := range c.pools {
		for _, u := range p.members {
			if u.eligible(now) {
				s.Free[name] += max(0, u.slots()-len(u.running))
			}
		}
		if _, serves := s.Free[name]; serves {
			s.Free[name] -= len(p.waiting)
		}
	}
	for name, q := range c.quotas {
		if used := q.Used(); used > 0 {
			s.Used[name] = used
		}
	}
	return s
}

// Loads returns how full each pool is.
func (c *Coordinator) Loads(now time.Time) []Load {
	loads := make([]Load, 0, len(c.pools))
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		p := c.pools[name]
		l := Load{Pool: name, Waiting: len(p.waiting)}
		for _, u := range p.members {
			if u.absent {
				continue
			}
			l.Upstreams++
			l.Slots += u.slots()
			l.Running += len(u.running)
			if u.isCold(now) {
				l.Cold++
			}
			if now.Before(u.ejectedUntil) {
				l.Ejected++
			}
		}
		loads = append(loads, l)
	}
	return loads
}

// Finish takes note of how a granted request ended.
func (c *Coordinator) Finish(entry string, f Finish, now time.Time) {
	k := key{entry, f.ID}
	g := c.grants[k]
	if g == nil {
		return
	}
	c.end(k, g)
	g.upstream.ended(c, g, f, now)
	if f.Ending == Complete || f.Ending == Failed || f.Ending == Abandoned {
		c.pool(g.ask.Pool, now).forecaster.ended(now.Sub(g.at))
	}
	if f.Ending == Unused || f.Ending == Unreached || f.Ending == WrongUpstream || f.Ending == Rejected {
		if q := c.quotas[g.ask.Workspace]; q != nil && !g.ask.Redirected {
			q.Refund(g.ask.Cost)
		}
	}
}

// Progress takes note of a first event.
func (c *Coordinator) Progress(entry string, p Progress) {
	if g := c.grants[key{entry, p.ID}]; g != nil && !g.started {
		g.start()
		if g.alone {
			g.observed = true
			g.upstream.speed.ObserveFirstToken(g.ask.Prompt, p.FirstToken)
		}
	}
}

// begin records a granted request.
func (c *Coordinator) begin(k key, a Request, u *upstream, now time.Time) *grant {
	g := &grant{ask: a, upstream: u, at: now, alone: u.toRead == 0}
	u.toRead += a.Prompt
	c.grants[k] = g
	u.running[k] = g
	return g
}

// Advance returns the decisions made since the last call.
func (c *Coordinator) Advance(now time.Time) []Decision {
	if now.Sub(c.expired) >= expiryPeriod {
		c.expired = now
		c.expire(now)
	}
	for _, p := range c.pools {
		c.serve(p, now)
	}
	d := c.decisions
	c.decisions = nil
	return d
}

// expire drops grants whose request must have ended: their entry never said
// so, and the slot would be lost for good.
func (c *Coordinator) expire(now time.Time) {
	for k, g := range c.grants {
		if now.Sub(g.at) > g.ask.Left+expiryMargin {
			c.end(k, g)
		}
	}
}

// decide records a decision.
func (c *Coordinator) decide(entry string, d Decision) {
	d.Entry = entry
	c.decisions = append(c.decisions, d)
}
