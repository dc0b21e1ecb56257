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

// The sources of news on upstreams that get nothing new.
const (
	sourceReport    = "report"
	sourceUnreached = "unreached"
)

// unreachedFor is how long an upstream that took no connection is left alone.
const unreachedFor = time.Second

// wakeGap is the time without any event after which this process must have
// been paused, and its knowledge may be old.
const wakeGap = time.Second

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
	upstreams []Upstream
	charges   map[scheduler.UpstreamID]*charge
	order     []scheduler.UpstreamID
	pools     map[scheduler.PoolID]*poolState
	digests   map[scheduler.RequestID]quarantiner.Digest
	renewed   time.Time
	seen      time.Time
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

// WithLease passes options on to the leaser.
func WithLease(opts ...leaser.Option) Option {
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
		charges:  make(map[scheduler.UpstreamID]*charge),
		pools:    make(map[scheduler.PoolID]*poolState),
		digests:  make(map[scheduler.RequestID]quarantiner.Digest),
	}
}

// SetConfiguration takes the upstreams, the number of tiers and the drains of
// the configuration in force.
func (a *Arbiter) SetConfiguration(upstreams []Upstream, tiers int, drains drainer.Drains, now time.Time) (o Orders) {
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
func (a *Arbiter) replacePools(now time.Time) (o Orders) {
	for _, id := range a.Pools() {
		o.add(a.pools[id].pool.Stop(now))
	}
	a.pools = make(map[scheduler.PoolID]*poolState)
	a.charges = make(map[scheduler.UpstreamID]*charge)
	a.order = nil
	return o
}

// SetHosts takes the newest host list.
func (a *Arbiter) SetHosts(hosts []scheduler.Host, now time.Time) (o Orders) {
	a.wake(now, &o)
	a.hosts = hosts
	a.divide(now)
	a.resize(now, &o)
	return o
}

// Territory returns how the upstreams of a region are divided among hosts
// that are not on their way out. A region without hosts is looked after by
// all.
func Territory(hosts []scheduler.Host, region scheduler.RegionID, upstreams int) placer.Territory {
	staying := lo.Filter(hosts, func(h scheduler.Host, _ int) bool { return !h.Leaving() })
	local := lo.Filter(staying, func(h scheduler.Host, _ int) bool { return h.Region() == region })
	if len(local) == 0 {
		local = staying
	}
	ids := lo.Map(local, func(h scheduler.Host, _ int) scheduler.HostID { return h.ID() })
	return placer.NewTerritory(ids, upstreams)
}

// divide works out which upstreams this host is a guardian of.
func (a *Arbiter) divide(now time.Time) {
	own := lo.Filter(a.upstreams, func(u Upstream, _ int) bool { return u.region == a.self.Region() })
	a.leases.SetTerritory(Territory(a.hosts, a.self.Region(), len(own)), now)
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
	c.ramp.Resize(u.coldLimit, u.limit)
	a.pool(u.pool).pool.SetClosed(u.id, a.drains.Upstream(u.id, u.domain) != drainer.Open)
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

// meetOwners tells each pool's ladder who the other owners are.
func (a *Arbiter) meetOwners(now time.Time) {
	owners := a.owners()
	for id, p := range a.pools {
		p.ladder.SetPeers(lo.Without(owners[id], a.self.ID()), now)
	}
}

// owners returns the owners of each pool over all regions.
func (a *Arbiter) owners() map[scheduler.PoolID][]scheduler.HostID {
	byRegion := lo.GroupBy(a.upstreams, func(u Upstream) scheduler.RegionID { return u.region })
	owners := make(map[scheduler.PoolID][]scheduler.HostID)
	for region, upstreams := range byRegion {
		t := Territory(a.hosts, region, len(upstreams))
		for _, u := range upstreams {
			if g := t.Guardians(u.id); len(g) > 0 {
				owners[u.pool] = append(owners[u.pool], g[0])
			}
		}
	}
	return lo.MapValues(owners, func(ids []scheduler.HostID, _ scheduler.PoolID) []scheduler.HostID { return lo.Uniq(ids) })
}

// closePools closes the upstreams that get nothing new, and opens the others.
func (a *Arbiter) closePools() {
	for id, c := range a.charges {
		a.pool(c.spec.pool).pool.SetClosed(id, a.drains.Upstream(id, c.spec.domain) != drainer.Open)
	}
}

// SetLeaving takes what a source says of an upstream on its way out.
func (a *Arbiter) SetLeaving(id scheduler.UpstreamID, source string, leaving bool) {
	a.drains.SetLeaving(id, source, leaving)
	if c, ok := a.charges[id]; ok {
		a.pool(c.spec.pool).pool.SetClosed(id, a.drains.Upstream(id, c.spec.domain) != drainer.Open)
	}
}

// wake notices that this process was paused. It then grants nothing until
// its configuration is confirmed: an upstream may have been taken out of
// service meanwhile.
func (a *Arbiter) wake(now time.Time, o *Orders) {
	gap := now.Sub(a.seen)
	a.seen = now
	if gap < wakeGap {
		return
	}
	a.doubting = true
	o.confirm = true
	a.resize(now, o)
}

// Confirm takes note that peers and the platform were asked for a newer
// configuration since this process woke up.
func (a *Arbiter) Confirm(now time.Time) (o Orders) {
	a.wake(now, &o)
	if o.confirm {
		return o
	}
	a.doubting = false
	a.resize(now, &o)
	return o
}

// Ask takes a request for a slot.
func (a *Arbiter) Ask(r Request, now time.Time) (o Orders) {
	a.wake(now, &o)
	p, ok := a.pools[r.pool]
	if !ok {
		o.refusals = append(o.refusals, admitter.NewRefusal(r.ask.ID(), admitter.NotOwner, 0))
		return o
	}
	switch a.suspects.Judge(r.digest, now) {
	case quarantiner.Guilty:
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

// take adds a pool's orders and forgets the digests of refused asks.
func (a *Arbiter) take(p admitter.Orders, o *Orders) {
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
func (a *Arbiter) Finish(id scheduler.RequestID, ending admitter.Ending, g admitter.Usage, now time.Time) (o Orders) {
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

// learn draws conclusions on an upstream from how a request ended.
func (a *Arbiter) learn(upstream scheduler.UpstreamID, id scheduler.RequestID, digest quarantiner.Digest, ending admitter.Ending, granted time.Time, g admitter.Usage, now time.Time, o *Orders) {
	c, ok := a.charges[upstream]
	if !ok {
		return
	}
	switch ending {
	case admitter.Complete:
		c.ramp.Succeeded(granted, g.FirstToken(), g.PerToken(), now)
	case admitter.Unreached:
		c.ramp.Crashed(now)
		c.unreached = now
		a.SetLeaving(upstream, sourceUnreached, true)
	case admitter.Crashed:
		c.ramp.Crashed(now)
		a.pool(c.spec.pool).pool.Restarted(upstream)
		a.suspects.Crashed([]quarantiner.Digest{digest}, now)
		o.suspects = true
	}
}

// Reported takes an upstream's load report.
func (a *Arbiter) Reported(id scheduler.UpstreamID, r ramper.Report, leaving bool, now time.Time) (o Orders) {
	a.wake(now, &o)
	c, ok := a.charges[id]
	if !ok || r.Taken().Before(c.reported) {
		return o
	}
	c.reported = r.Taken()
	c.ramp.Reported(r, now)
	a.SetLeaving(id, sourceReport, leaving)
	a.boundForeign(c, r, now)
	a.resizeOne(id, now, &o)
	return o
}

// boundForeign bounds what others have on an upstream. Of the reported
// requests, those this host granted long enough before the report, and which
// still run, are its own for certain; the rest may be others'. The bound
// falls with each report and is made anew only when a share was added.
func (a *Arbiter) boundForeign(c *charge, r ramper.Report, now time.Time) {
	p := a.pool(c.spec.pool).pool
	settled := r.Taken().Add(-unseen)
	_, own := p.Running(c.spec.id, settled)
	bound := max(r.Running()-own, 0)
	grown := a.leases.GrownSince(c.spec.id, now)
	if grown.After(c.bounded) && grown.Before(settled) {
		c.bounded = settled
		p.SetForeign(c.spec.id, bound)
		return
	}
	p.SetForeign(c.spec.id, min(p.Foreign(c.spec.id), bound))
}

// resize works out the slots of every upstream anew.
func (a *Arbiter) resize(now time.Time, o *Orders) {
	for _, id := range a.order {
		a.resizeOne(id, now, o)
	}
}

// resizeOne works out the slots of one upstream anew.
func (a *Arbiter) resizeOne(id scheduler.UpstreamID, now time.Time, o *Orders) {
	c, ok := a.charges[id]
	if !ok {
		return
	}
	slots, until := a.leases.Slots(id, c.ramp.Limit(), a.verified(c, now), now)
	if a.doubting {
		slots, until = 0, now
	}
	a.take(a.pool(c.spec.pool).pool.SetSlots(id, slots, until, now), o)
}

// verified returns the time before which a share must have come to count.
func (a *Arbiter) verified(c *charge, now time.Time) time.Time {
	if c.spec.reports {
		return c.reported.Add(-unseen)
	}
	return now.Add(-unseen)
}

// Interest says how closely an upstream's load reports should be followed.
type Interest int

// The interests, from none to the closest.
const (
	// NoInterest is in upstreams whose share this host has lent.
	NoInterest Interest = iota
	// CalmInterest is in warm upstreams on which all work is accounted for.
	CalmInterest
	// CloseInterest is in upstreams that are cold, or on which a share has
	// just come or others have work.
	CloseInterest
)

// Interest returns how closely an upstream's load reports should be followed.
func (a *Arbiter) Interest(id scheduler.UpstreamID, now time.Time) Interest {
	c, ok := a.charges[id]
	if !ok || a.leases.Lent(id, now) {
		return NoInterest
	}
	verified := a.leases.GrownSince(id, now).Before(a.verified(c, now))
	if verified && !c.ramp.Cold() && a.pool(c.spec.pool).pool.Foreign(id) == 0 {
		return CalmInterest
	}
	return CloseInterest
}

// Lend answers a guardian that wants this host's share of an upstream.
func (a *Arbiter) Lend(id scheduler.UpstreamID, borrower scheduler.HostID, now time.Time) (shares []leaser.Share, lent bool) {
	c, ok := a.charges[id]
	if !ok {
		return nil, false
	}
	p := a.pool(c.spec.pool).pool
	running, _ := p.Running(id, now)
	if !c.spec.reports && running > 0 {
		return nil, false
	}
	shares, lent = a.leases.Lend(id, borrower, now)
	if lent {
		var o Orders
		a.resizeOne(id, now, &o)
	}
	return shares, lent
}

// Return ends a loan that a borrower gave back.
func (a *Arbiter) Return(id scheduler.UpstreamID, borrower scheduler.HostID, now time.Time) {
	a.leases.Return(id, borrower, now)
}

// Borrowed takes a lender's answer to a request sent at asked.
func (a *Arbiter) Borrowed(id scheduler.UpstreamID, lender scheduler.HostID, shares []leaser.Share, asked, now time.Time) (o Orders) {
	a.wake(now, &o)
	a.leases.Borrowed(id, lender, shares, asked, now)
	a.resizeOne(id, now, &o)
	return o
}

// Shut carries out another owner's request to refuse tiers.
func (a *Arbiter) Shut(pool scheduler.PoolID, from scheduler.Tier, hold time.Duration, now time.Time) (o Orders) {
	a.wake(now, &o)
	if p, ok := a.pools[pool]; ok {
		p.ladder.Asked(from, hold, now)
		a.take(p.pool.Tick(now), &o)
	}
	return o
}

// Promised takes another owner's promise to refuse tiers, asked for at asked.
func (a *Arbiter) Promised(pool scheduler.PoolID, by scheduler.HostID, from scheduler.Tier, hold time.Duration, asked, now time.Time) (o Orders) {
	a.wake(now, &o)
	p, ok := a.pools[pool]
	if !ok {
		return o
	}
	p.ladder.Promised(by, from, hold, asked, now)
	a.take(p.pool.Tick(now), &o)
	a.requestShut(p, now, &o)
	return o
}

// requestShut asks the other owners to refuse tiers, if that is due.
func (a *Arbiter) requestShut(p *poolState, now time.Time, o *Orders) {
	from, hold, ok := p.ladder.Request(now)
	if !ok || (from == p.from && now.Sub(p.asked) < shutEvery) {
		return
	}
	p.from, p.asked = from, now
	for _, id := range p.ladder.Peers() {
		o.shuts = append(o.shuts, ShutRequest{to: id, pool: p.pool.ID(), from: from, hold: hold})
	}
}

// HeardSuspect takes what a peer knows of a digest.
func (a *Arbiter) HeardSuspect(d quarantiner.Digest, crashes int, last time.Time) {
	a.suspects.Heard(d, crashes, last)
}

// SuspectsSince returns what was learnt of digests since a time.
func (a *Arbiter) SuspectsSince(t time.Time, n int) []quarantiner.Entry {
	return a.suspects.Since(t, n)
}

// Orphan takes note of an entry that can't be heard any more.
func (a *Arbiter) Orphan(entry scheduler.HostID, now time.Time) (o Orders) {
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

// reports says whether an upstream publishes load reports.
func (a *Arbiter) reports(id scheduler.UpstreamID) bool {
	c, ok := a.charges[id]
	return ok && c.spec.reports
}

// Tick does what time alone calls for. It is to be called some ten times a
// second.
func (a *Arbiter) Tick(now time.Time) (o Orders) {
	a.wake(now, &o)
	a.reach(now)
	a.resize(now, &o)
	for _, id := range a.Pools() {
		p := a.pools[id]
		a.take(p.pool.Tick(now), &o)
		a.requestShut(p, now, &o)
	}
	if now.Sub(a.renewed) >= a.leases.Loan()/2 && !a.stopping {
		a.renewed = now
		o.loans = append(o.loans, a.borrow(now)...)
	}
	return o
}

// reach lets upstreams be tried again that took no connection a while ago.
func (a *Arbiter) reach(now time.Time) {
	for id, c := range a.charges {
		if !c.unreached.IsZero() && now.Sub(c.unreached) >= unreachedFor {
			c.unreached = time.Time{}
			a.SetLeaving(id, sourceUnreached, false)
		}
	}
}

// borrow returns the requests for shares, one for each lender.
func (a *Arbiter) borrow(now time.Time) []LoanRequest {
	byLender := make(map[scheduler.HostID][]scheduler.UpstreamID)
	for _, id := range a.order {
		for _, lender := range a.leases.Lenders(id, now) {
			byLender[lender] = append(byLender[lender], id)
		}
	}
	return loanRequests(byLender, false)
}

// loanRequests returns one request for each lender, in order.
func loanRequests(byLender map[scheduler.HostID][]scheduler.UpstreamID, release bool) []LoanRequest {
	lenders := lo.Keys(byLender)
	slices.Sort(lenders)
	return lo.Map(lenders, func(id scheduler.HostID, _ int) LoanRequest {
		ids := byLender[id]
		slices.Sort(ids)
		return LoanRequest{to: id, upstreams: ids, release: release}
	})
}

// Stop refuses what waits and all that comes, and gives borrowed shares back.
func (a *Arbiter) Stop(now time.Time) (o Orders) {
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

// Charges returns the upstreams this host is a guardian of, sorted.
func (a *Arbiter) Charges() []scheduler.UpstreamID { return a.order }

// Status returns what operators see of this host's upstreams.
func (a *Arbiter) Status(now time.Time) []Status {
	return lo.Map(a.Charges(), func(id scheduler.UpstreamID, _ int) Status {
		c := a.charges[id]
		slots, _ := a.leases.Slots(id, c.ramp.Limit(), a.verified(c, now), now)
		running, _ := a.pool(c.spec.pool).pool.Running(id, now)
		return Status{
			id: id, slots: slots, limit: c.ramp.Limit(), running: running, cold: c.ramp.Cold(),
			closed: a.drains.Upstream(id, c.spec.domain).String(),
		}
	})
}
