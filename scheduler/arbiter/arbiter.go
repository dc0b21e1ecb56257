package arbiter

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/drainer"
	"foxtaillug.org/scheduler/leaser"
	"foxtaillug.org/scheduler/placer"
	"foxtaillug.org/scheduler/quarantiner"
	"foxtaillug.org/scheduler/ramper"
	"foxtaillug.org/scheduler/shedder"
)

// The sources of updates on upstreams that get no new work.
const (
	sourceReport    = "report"
	sourceUnreached = "unreached"
)

// unreachedFor is how long an upstream that took no connection is left alone.
const unreachedFor = time.Second

// wakeGap is the time without any event after which this process must have
// been paused, and its knowledge may be old.
const wakeGap = time.Second

// silenceFor is how long an upstream that has published load reports may be
// silent before it is taken for cold.
const silenceFor = 5 * time.Second

// transit bounds how long a request is on its way after it was dispatched.
const transit = 250 * time.Millisecond

// unseen is how old a grant must be to show in a load report for certain.
const unseen = admitter.GrantLife + transit

// shutEvery is how often other owners are asked again to keep tiers shut
// when nothing has changed.
const shutEvery = 500 * time.Millisecond

// charge is one upstream that this host is a guardian of.
type charge struct {
	spec     Upstream
	ramp     *ramper.Ramper
	reported time.Time
	bounded  time.Time
	// unreached is when it last took no connection.
	unreached time.Time
}

// poolState is a pool with its ladder and the last request made of others.
type poolState struct {
	pool   *admitter.Pool
	ladder *shedder.Ladder
	asked  time.Time
	from   scheduler.Tier
}

// Arbiter is the owner role of one host. It is not safe for concurrent use.
type Arbiter struct {
	self      scheduler.Host
	tiers     int
	queue     int
	leases    *leaser.Leaser
	drains    *drainer.Drainer
	suspects  *quarantiner.Quarantiner
	hosts     []scheduler.Host
	atlas     placer.ShardMaps
	upstreams []Upstream
	charges   map[scheduler.UpstreamID]*charge
	order     []scheduler.UpstreamID
	pools     map[scheduler.PoolID]*poolState
	digests   map[scheduler.RequestID]quarantiner.Digest
	renewed   time.Time
	seen      time.Time
	woke      time.Time
	doubting  bool
	stopping  bool
}

// Option sets a detail of an Arbiter.
type Option func(*options)

// options are the details of an Arbiter.
type options struct {
	lease []leaser.Option
	queue int
}

// WithLeaserOptions passes options on to the leaser.
func WithLeaserOptions(opts ...leaser.Option) Option {
	return func(o *options) { o.lease = append(o.lease, opts...) }
}

// WithQueue bounds the asks that wait in each pool.
func WithQueue(n int) Option {
	return func(o *options) { o.queue = n }
}

// New returns the arbiter of a process that started now.
func New(self scheduler.Host, now time.Time, opts ...Option) *Arbiter {
	o := options{queue: admitter.DefaultQueue}
	for _, opt := range opts {
		opt(&o)
	}
	return &Arbiter{
		self:     self,
		seen:     now,
		queue:    o.queue,
		leases:   leaser.New(self.ID(), now, o.lease...),
		drains:   drainer.New(),
		suspects: quarantiner.New(),
		atlas:    make(placer.ShardMaps),
		charges:  make(map[scheduler.UpstreamID]*charge),
		pools:    make(map[scheduler.PoolID]*poolState),
		digests:  make(map[scheduler.RequestID]quarantiner.Digest),
	}
}

// SetConfiguration takes the upstreams, the number of tiers and the drains of
// the configuration in force.
func (a *Arbiter) SetConfiguration(upstreams []Upstream, tiers int, drains drainer.Drains, now time.Time) (o Actions) {
	a.wake(now, &o)
	if tiers != a.tiers {
		o.Add(a.replacePools(now))
	}
	a.tiers = tiers
	a.upstreams = upstreams
	a.drains.SetDrains(drains)
	a.divide(now)
	a.closePools()
	a.resize(now, &o)
	return o
}

// replacePools refuses what waits when the tiers themselves have changed.
func (a *Arbiter) replacePools(now time.Time) (o Actions) {
	for _, id := range a.Pools() {
		o.add(a.pools[id].pool.Stop(now))
	}
	a.pools = make(map[scheduler.PoolID]*poolState)
	a.charges = make(map[scheduler.UpstreamID]*charge)
	a.order = nil
	return o
}

// SetHosts takes the newest host list.
func (a *Arbiter) SetHosts(hosts []scheduler.Host, now time.Time) (o Actions) {
	a.wake(now, &o)
	a.hosts = hosts
	a.divide(now)
	a.resize(now, &o)
	return o
}

// RegionShardMap returns how the upstreams of a region are divided among its
// hosts. A region without hosts is looked after by all.
func RegionShardMap(hosts []scheduler.Host, region scheduler.RegionID, upstreams int) placer.ShardMap {
	local := lo.Filter(hosts, func(h scheduler.Host, _ int) bool { return h.Region() == region })
	if len(local) == 0 {
		local = hosts
	}
	leaving := lo.Filter(local, func(h scheduler.Host, _ int) bool { return h.Leaving() })
	return placer.NewShardMap(lo.Map(local, hostID), upstreams, placer.WithLeaving(lo.Map(leaving, hostID)))
}

// territory returns how the upstreams of a region are divided now.
func (a *Arbiter) territory(region scheduler.RegionID, upstreams int) placer.ShardMap {
	return a.atlas.Reuse(region, RegionShardMap(a.hosts, region, upstreams))
}

// hostID returns a host's name.
func hostID(h scheduler.Host, _ int) scheduler.HostID { return h.ID() }

// divide works out which upstreams this host is a guardian of.
func (a *Arbiter) divide(now time.Time) {
	own := lo.Filter(a.upstreams, func(u Upstream, _ int) bool { return u.region == a.self.Region() })
	a.leases.SetTerritory(a.territory(a.self.Region(), len(own)), now)
	kept := make(map[scheduler.UpstreamID]bool)
	for _, u := range own {
		if slices.Contains(a.leases.Guardians(u.id), a.self.ID()) {
			kept[u.id] = true
			a.keep(u, now)
		}
	}
	for id, c := range a.charges {
		if !kept[id] {
			a.pool(c.spec.pool).pool.Remove(id)
			delete(a.charges, id)
		}
	}
	a.order = slices.Sorted(maps.Keys(a.charges))
	a.meetOwners(now)
}

// keep takes an upstream into this host's charge, or its new limits.
func (a *Arbiter) keep(u Upstream, now time.Time) {
	c, ok := a.charges[u.id]
	if !ok {
		c = &charge{spec: u, ramp: ramper.New(u.coldLimit, u.limit, now, ramper.WithWarmUp(u.warmUp))}
		a.charges[u.id] = c
	}
	c.spec = u
	c.ramp.SetLimits(u.coldLimit, u.limit)
	a.pool(u.pool).pool.SetClosed(u.id, a.drains.UpstreamReason(u.id, u.domain) != drainer.InService)
}

// pool returns a pool, making it at first use.
func (a *Arbiter) pool(id scheduler.PoolID) *poolState {
	p, ok := a.pools[id]
	if !ok {
		ladder := shedder.New(a.tiers)
		p = &poolState{ladder: ladder, pool: admitter.New(id, a.tiers, ladder, admitter.WithQueue(a.queue), admitter.WithReports(a.reports))}
		a.pools[id] = p
	}
	return p
}

// Admit takes a request for a slot.
func (a *Arbiter) Admit(r Request, now time.Time) (o Actions) {
	a.wake(now, &o)
	p, ok := a.pools[r.pool]
	if !ok || a.yields(r.pool, now) {
		o.refusals = append(o.refusals, admitter.NewRefusal(r.ask.ID(), admitter.NotOwner, 0))
		return o
	}
	switch a.suspects.Verdict(r.digest, now) {
	case quarantiner.Refused:
		o.refusals = append(o.refusals, admitter.NewRefusal(r.ask.ID(), admitter.Quarantined, 0))
		return o
	case quarantiner.Suspect:
		admitter.WithSuspect(true)(&r.ask)
	}
	a.digests[r.ask.ID()] = r.digest
	a.take(p.pool.Ask(r.ask, now), &o)
	a.requestShut(p, now, &o)
	return o
}

// yields reports whether every upstream of a pool that takes new work is lent
// to another guardian, so that asks wait here in vain.
func (a *Arbiter) yields(id scheduler.PoolID, now time.Time) bool {
	lent := false
	for _, upstream := range a.order {
		c := a.charges[upstream]
		if c.spec.pool != id || a.drains.UpstreamReason(upstream, c.spec.domain) != drainer.InService {
			continue
		}
		if !a.leases.Lent(upstream, now) {
			return false
		}
		lent = true
	}
	return lent
}

// take adds a pool's orders and forgets the digests of refused asks.
func (a *Arbiter) take(p admitter.Orders, o *Actions) {
	for _, r := range p.Refusals() {
		delete(a.digests, r.ID())
	}
	o.add(p)
}

// Withdraw takes back an ask whose caller went away. If it was granted
// meanwhile, the entry says how it ended.
func (a *Arbiter) Withdraw(id scheduler.RequestID) {
	for _, p := range a.pools {
		if p.pool.Withdraw(id) {
			delete(a.digests, id)
			return
		}
	}
}

// Finish takes the end of a granted request.
func (a *Arbiter) Finish(id scheduler.RequestID, ending admitter.Ending, g admitter.Usage, now time.Time) (o Actions) {
	a.wake(now, &o)
	digest := a.digests[id]
	delete(a.digests, id)
	for _, p := range a.pools {
		upstream, granted, ok := p.pool.Granted(id)
		if !ok {
			continue
		}
		a.learn(upstream, id, digest, ending, granted, g, now, &o)
		a.take(p.pool.Finish(id, ending, g, now), &o)
		a.resizeOne(upstream, now, &o)
		return o
	}
	return o
}

// PollRate says how closely an upstream's load reports should be followed.
type PollRate int

// The interests, from none to the closest.
const (
	// PollNever is in upstreams whose share this host has lent.
	PollNever PollRate = iota
	// PollSlowly is in warm upstreams on which all work is accounted for.
	PollSlowly
	// PollFast is in upstreams that are cold, or on which a share has
	// just come or others have work.
	PollFast
)

// DropEntry takes note of an entry that can't be heard any more.
func (a *Arbiter) DropEntry(entry scheduler.HostID, now time.Time) (o Actions) {
	a.wake(now, &o)
	for _, id := range a.Pools() {
		a.take(a.pools[id].pool.Orphan(entry, now), &o)
	}
	for id := range a.digests {
		if id.Entry() == entry {
			delete(a.digests, id)
		}
	}
	return o
}

// Tick does what time alone calls for. It is to be called some ten times a
// second.
func (a *Arbiter) Tick(now time.Time) (o Actions) {
	a.wake(now, &o)
	a.reach(now)
	a.resize(now, &o)
	for _, id := range a.Pools() {
		p := a.pools[id]
		if a.yields(id, now) {
			a.take(p.pool.Yield(now), &o)
		}
		a.take(p.pool.Tick(now), &o)
		a.requestShut(p, now, &o)
	}
	if now.Sub(a.renewed) >= a.leases.Loan()/2 && !a.stopping {
		a.renewed = now
		o.loans = append(o.loans, a.borrow(now)...)
	}
	return o
}

// Stop refuses what waits and all that comes, and gives borrowed shares back.
func (a *Arbiter) Stop(now time.Time) (o Actions) {
	a.stopping = true
	byLender := make(map[scheduler.HostID][]scheduler.UpstreamID)
	for _, id := range a.order {
		for _, lender := range a.leases.Release(id) {
			byLender[lender] = append(byLender[lender], id)
		}
	}
	for _, id := range a.Pools() {
		a.take(a.pools[id].pool.Stop(now), &o)
	}
	o.loans = loanRequests(byLender, true)
	return o
}

// Summary returns a pool's slots, running and waiting requests at this host.
func (a *Arbiter) Summary(id scheduler.PoolID) (slots, running, queued int) {
	p, ok := a.pools[id]
	if !ok {
		return 0, 0, 0
	}
	return p.pool.Summary()
}

// Pools returns the pools this host has upstreams of, sorted.
func (a *Arbiter) Pools() []scheduler.PoolID {
	return slices.Sorted(maps.Keys(a.pools))
}

// Replicas returns the upstreams this host is a guardian of, sorted.
func (a *Arbiter) Replicas() []scheduler.UpstreamID { return a.order }

// Status returns what operators see of this host's upstreams.
func (a *Arbiter) Status(now time.Time) []Status {
	return lo.Map(a.Replicas(), func(id scheduler.UpstreamID, _ int) Status {
		c := a.charges[id]
		slots, _ := a.leases.Slots(id, c.ramp.Limit(), a.verified(c, now), now)
		running, _ := a.pool(c.spec.pool).pool.Running(id, now)
		return Status{
			id: id, slots: slots, limit: c.ramp.Limit(), running: running, cold: c.ramp.Cold(),
			closed: a.drains.UpstreamReason(id, c.spec.domain).String(),
		}
	})
}
