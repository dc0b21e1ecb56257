package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtaillug.org/scheduler/limiter"
	"foxtaillug.org/scheduler/observer"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// Bounds are limits that hold for the fleet as a whole.
type Bounds struct {
	// RetryRatio is the number of retries allowed per request.
	RetryRatio float64
	// RetryAllowance is the number of retries allowed within RetryWindow in
	// addition to that.
	RetryAllowance float64
	RetryWindow    time.Duration
	// ColdFactor and ColdAllowance (requests per second) set how far a cold
	// upstream's rate may exceed the ColdRate of its pool.
	ColdFactor, ColdAllowance float64
}

// Fleet is a coordinator's view of the membership.
type Fleet struct {
	// Hosts is the number of known hosts, live or not.
	Hosts int
	// Share is the fraction of the fleet's limits that this coordinator may
	// use, from 0 to 1.
	Share float64
	// QuotaShare is the fraction of each quota that this coordinator and those
	// it receives summaries from may use together, from 0 to 1.
	QuotaShare float64
	// Scope lists the failure domains whose upstreams this coordinator grants:
	// its own, and any without a live host for which it substitutes.
	Scope []string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// Domain is the failure domain of this host.
	Domain string
	// Complete is set if every known host of Domain is alive, so that no other host can
	// have become its coordinator.
	Complete bool
	// Standalone is set on an entry host that decides for itself because its
	// coordinator does not respond.
	Standalone bool
}

// Coordinator grants the upstreams of one failure domain. It is not safe for
// concurrent use, and takes the time with every event.
type Coordinator struct {
	process   string
	bounds    Bounds
	features  Features
	fleet     Fleet
	table     *router.Table
	upstreams map[string]*upstream
	pools     map[string]*pool
	// poolList holds the pools by name, the order in which they are served: they spend one
	// budget of the link between regions.
	poolList []*pool
	grants   map[key]*grant
	// entries holds what is known of the entry hosts, by name.
	entries map[string]*entry
	quotas  map[string]*limiter.Quota
	// observed is what upstreams say of themselves in their responses.
	observed *observer.Table
	// lastAdmit is the time of the last admission request.
	lastAdmit time.Time
	// tookOverAt is when the upstreams that this coordinator grants last changed.
	tookOverAt time.Time
	// pacing is what pace.go keeps for all upstreams.
	pacing pacing
	// peers holds the other coordinators by failure domain.
	peers map[string]peer
	// shares divides work among workspaces if FairShares is on.
	shares shares
	// overflow is what is known for redirecting requests by forecast.
	overflow overflow
	// outliers is the state of outlier ejection.
	outliers outliers
	// decisions are those not yet returned by Advance.
	decisions []Decision
	// order compares queued requests; the lowest is served first.
	order func(a, b *waiter) int
	// rejectEarly enables early rejection by forecast.
	rejectEarly bool
	// lastExpiry is the time of the last scan for expired grants.
	lastExpiry time.Time
}

// New returns a coordinator without upstreams. The process name identifies it
// in summaries.
func New(process string, b Bounds, opts ...Option) *Coordinator {
	c := &Coordinator{
		process:     process,
		bounds:      b,
		upstreams:   make(map[string]*upstream),
		pools:       make(map[string]*pool),
		grants:      make(map[key]*grant),
		entries:     make(map[string]*entry),
		quotas:      make(map[string]*limiter.Quota),
		observed:    observer.NewTable(),
		peers:       make(map[string]peer),
		fleet:       Fleet{Hosts: 1},
		order:       bySlack,
		rejectEarly: true,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// SetTable applies a new configuration.
func (c *Coordinator) SetTable(t *router.Table, now time.Time) {
	c.table = t
	for _, p := range t.Pools() {
		c.pool(p.Name, now).Pool = p
	}
	for _, u := range c.upstreams {
		c.setColdRate(u, now)
		c.setMemory(u, now)
	}
	for _, w := range t.Workspaces() {
		if q := c.quotas[w.Name]; q != nil {
			q.SetLimits(w.Rate, w.Burst, now)
			continue
		}
		q := limiter.NewQuota(w.Rate, w.Burst, now)
		q.SetShare(c.fleet.QuotaShare, now)
		c.quotas[w.Name] = q
	}
}

// pool returns the state of a pool, creating it if needed.
func (c *Coordinator) pool(name string, now time.Time) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{Pool: router.Pool{Name: name}, retries: limiter.NewBucket(0, 0, 0, now)}
		c.pools[name] = p
		i, _ := slices.BinarySearchFunc(c.poolList, name, func(o *pool, name string) int { return cmp.Compare(o.Name, name) })
		c.poolList = slices.Insert(c.poolList, i, p)
		c.setRetryBudget(p, now)
	}
	return p
}

// retryBudgetShare is the fraction of the retry budget that is used; the rest
// covers standalone hosts and hosts whose views of the fleet differ.
const retryBudgetShare = 0.6

// setRetryBudget sets a pool's share of the retry budget. Half of the allowance
// is available as a burst and half accrues over the window, so that no window
// exceeds it.
func (c *Coordinator) setRetryBudget(p *pool, now time.Time) {
	allowance := c.bounds.RetryAllowance * c.fleet.Share * retryBudgetShare
	window := max(c.bounds.RetryWindow.Seconds(), 1)
	p.retries.SetLimits(allowance/2/window, allowance/2, now)
}

// SetFleet applies a new view of the membership.
func (c *Coordinator) SetFleet(f Fleet, now time.Time) {
	before := c.fleet
	c.fleet = f
	c.emptyLimits(before, now)
	c.paceFleet(before, func(u *upstream) bool {
		return before.Standalone != f.Standalone || !slices.Contains(before.Scope, u.Domain)
	}, now)
	for _, p := range c.pools {
		c.setRetryBudget(p, now)
	}
	for _, q := range c.quotas {
		q.SetShare(f.QuotaShare, now)
	}
	for _, u := range c.upstreams {
		c.setColdRate(u, now)
		c.applyObserved(u, now)
	}
	c.assignUpstreams(now)
}

// SetUpstreams replaces the list of upstreams that may receive new requests.
func (c *Coordinator) SetUpstreams(entries []registrar.Entry, now time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		u := c.upstreams[e.ID]
		if u == nil || u.Born != e.Born {
			u = newUpstream(e)
			c.upstreams[e.ID] = u
		}
		if u.Address != e.Address {
			u.wrongUntil = time.Time{}
		}
		u.Entry = e
		c.paceListed(u, now)
		u.unavailable = false
		c.setColdRate(u, now)
		c.setMemory(u, now)
		c.applyObserved(u, now)
	}
	for id, u := range c.upstreams {
		if !listed[id] {
			u.unavailable = true
			if len(u.running) == 0 {
				delete(c.upstreams, id)
			}
		}
	}
	c.assignUpstreams(now)
}

// assignUpstreams lists for each pool the upstreams that this coordinator may
// grant and those that others grant.
func (c *Coordinator) assignUpstreams(now time.Time) {
	for _, p := range c.pools {
		p.members = p.members[:0]
		clear(p.elsewhere)
	}
	for _, u := range c.upstreams {
		p := c.pool(u.Pool, now)
		switch {
		case slices.Contains(c.fleet.Scope, u.Domain):
			p.members = append(p.members, u)
		case u.inService():
			p.addElsewhere(u)
		}
	}
	for _, p := range c.pools {
		slices.SortFunc(p.members, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
		c.assignRecords(p, now)
	}
}

// DropEntry drops the requests and grants of an entry host whose link has
// closed.
func (c *Coordinator) DropEntry(entry string) {
	delete(c.entries, entry)
	for _, p := range c.pools {
		p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.entry == entry })
	}
	for k, g := range c.grants {
		if k.entry == entry {
			c.release(k, g)
		}
	}
}

// Loads returns the load of each pool, sorted by name.
func (c *Coordinator) Loads(now time.Time) []Load {
	loads := make([]Load, 0, len(c.pools))
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		p := c.pools[name]
		l := Load{Pool: name, Waiting: len(p.waiting), Out: c.outliers.out(name)}
		for _, u := range p.members {
			if u.leaving {
				l.Leaving++
			}
			if !u.inService() {
				continue
			}
			l.Upstreams++
			l.Slots += u.slots()
			l.Running += len(u.running)
			if u.isCold(now) {
				l.Cold++
			} else if u.eligible(now) {
				l.Serving++
			}
			if u.isPaced() {
				l.Paced++
			}
			if u.limit != nil {
				l.Limited++
				l.LimitRate += u.limit.Rate()
				l.LimitSpent += u.limited
				if _, at, ok := c.observed.Limit(u.ID, u.Born); ok {
					l.LimitAge = max(l.LimitAge, now.Sub(at))
				}
			}
			if now.Before(u.ejection.until) || now.Before(u.wrongUntil) {
				l.Ejected++
			}
			if c.observed.IsPausing(u.ID, u.Born, now) {
				l.Pausing++
			}
		}
		c.addOverflowLoad(p, &l, now)
		loads = append(loads, l)
	}
	return loads
}

// Advance serves the queues and returns the decisions made since the last call.
func (c *Coordinator) Advance(now time.Time) []Decision {
	c.advancePace(now)
	if now.Sub(c.lastExpiry) >= expiryInterval {
		c.lastExpiry = now
		c.expireGrants(now)
		c.observed.Prune(func(id string) bool { return c.upstreams[id] != nil }, now)
	}
	for _, p := range c.poolList {
		c.serve(p, now)
	}
	d := c.decisions
	c.decisions = nil
	return d
}

// decide adds a decision for an entry host.
func (c *Coordinator) decide(entry string, d Decision) {
	d.Entry = entry
	c.decisions = append(c.decisions, d)
}
