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

// Sources of the leaving state of an upstream.
const (
	sourceReport  = "report"
	sourceConnect = "unreached"
)

// connectBackoff is how long an upstream that refused a connection receives no
// new requests.
const connectBackoff = time.Second

// suspensionGap is the time without any event after which this process is
// assumed to have been suspended, so that its state may be stale.
const suspensionGap = time.Second

// reportTimeout is how long after its last load report an upstream that
// publishes load reports is treated as cold.
const reportTimeout = 5 * time.Second

// maxTransit is the maximum time from the dispatch of a request to its arrival.
const maxTransit = 250 * time.Millisecond

// grantReportDelay is the age from which a grant is certain to be included in a
// load report.
const grantReportDelay = admitter.GrantLifetime + maxTransit

// shedResendInterval is how often an unchanged shed request is sent again to
// the other owners.
const shedResendInterval = 500 * time.Millisecond

// replica is the state of one upstream that this host is a replica for.
type replica struct {
	spec       Upstream
	ramp       *ramper.Ramper
	reportedAt time.Time
	// boundedAt is the time up to which all grants are included in the load
	// report that last reset the bound of foreign requests.
	boundedAt time.Time
	// connectFailedAt is when the upstream last refused a connection; zero once
	// it may be tried again.
	connectFailedAt time.Time
}

// poolState is a pool with its shedder and the last shed request sent to the
// other owners.
type poolState struct {
	pool          *admitter.Pool
	shedder       *shedder.Shedder
	requestedAt   time.Time
	requestedTier scheduler.Tier
}

// Arbiter implements the owner role of one host. It is not safe for concurrent
// use.
type Arbiter struct {
	self        scheduler.Host
	tiers       int
	queueLimit  int
	leases      *leaser.Leaser
	drains      *drainer.Drainer
	suspects    *quarantiner.Quarantiner
	hosts       []scheduler.Host
	shardMaps   placer.ShardMaps
	upstreams   []Upstream
	replicas    map[scheduler.UpstreamID]*replica
	replicaIDs  []scheduler.UpstreamID
	pools       map[scheduler.PoolID]*poolState
	digests     map[scheduler.RequestID]quarantiner.Digest
	lastRenewal time.Time
	lastEvent   time.Time
	resumedAt   time.Time
	unconfirmed bool
	stopping    bool
}

// Option configures an Arbiter.
type Option func(*options)

// options holds the configuration of an Arbiter.
type options struct {
	leaser     []leaser.Option
	queueLimit int
}

// WithLeaserOptions passes options to the leaser.
func WithLeaserOptions(opts ...leaser.Option) Option {
	return func(o *options) { o.leaser = append(o.leaser, opts...) }
}

// WithQueueLimit sets the maximum number of requests that wait in each pool.
func WithQueueLimit(n int) Option {
	return func(o *options) { o.queueLimit = n }
}

// New returns the arbiter of a process that started now.
func New(self scheduler.Host, now time.Time, opts ...Option) *Arbiter {
	o := options{queueLimit: admitter.DefaultQueueLimit}
	for _, opt := range opts {
		opt(&o)
	}
	return &Arbiter{
		self:       self,
		lastEvent:  now,
		queueLimit: o.queueLimit,
		leases:     leaser.New(self.ID(), now, o.leaser...),
		drains:     drainer.New(),
		suspects:   quarantiner.New(),
		shardMaps:  make(placer.ShardMaps),
		replicas:   make(map[scheduler.UpstreamID]*replica),
		pools:      make(map[scheduler.PoolID]*poolState),
		digests:    make(map[scheduler.RequestID]quarantiner.Digest),
	}
}

// SetConfiguration sets the upstreams, the number of tiers and the drains of
// the current configuration.
func (a *Arbiter) SetConfiguration(upstreams []Upstream, tiers int, drains drainer.Drains, now time.Time) (out Actions) {
	a.detectSuspension(now, &out)
	if tiers != a.tiers {
		out.Add(a.replacePools(now))
	}
	a.tiers = tiers
	a.upstreams = upstreams
	a.drains.SetDrains(drains)
	a.assignReplicas(now)
	a.applyDrains()
	a.resize(now, &out)
	return out
}

// replacePools refuses all waiting requests and drops the pools, because the
// number of tiers has changed.
func (a *Arbiter) replacePools(now time.Time) (out Actions) {
	for _, id := range a.Pools() {
		out.add(a.pools[id].pool.Stop(now))
	}
	a.pools = make(map[scheduler.PoolID]*poolState)
	a.replicas = make(map[scheduler.UpstreamID]*replica)
	a.replicaIDs = nil
	return out
}

// SetHosts sets the newest host list.
func (a *Arbiter) SetHosts(hosts []scheduler.Host, now time.Time) (out Actions) {
	a.detectSuspension(now, &out)
	a.hosts = hosts
	a.assignReplicas(now)
	a.resize(now, &out)
	return out
}

// RegionShardMap returns the shard map of a region: how its upstreams are
// divided among its hosts. The upstreams of a region without hosts are divided
// among all hosts.
func RegionShardMap(hosts []scheduler.Host, region scheduler.RegionID, upstreams int) placer.ShardMap {
	local := lo.Filter(hosts, func(h scheduler.Host, _ int) bool { return h.Region() == region })
	if len(local) == 0 {
		local = hosts
	}
	leaving := lo.Filter(local, func(h scheduler.Host, _ int) bool { return h.Leaving() })
	return placer.NewShardMap(lo.Map(local, hostID), upstreams, placer.WithLeaving(lo.Map(leaving, hostID)))
}

// shardMap returns the current shard map of a region.
func (a *Arbiter) shardMap(region scheduler.RegionID, upstreams int) placer.ShardMap {
	return a.shardMaps.Reuse(region, RegionShardMap(a.hosts, region, upstreams))
}

// hostID returns the ID of a host.
func hostID(h scheduler.Host, _ int) scheduler.HostID { return h.ID() }

// assignReplicas determines which upstreams this host is a replica for.
func (a *Arbiter) assignReplicas(now time.Time) {
	own := lo.Filter(a.upstreams, func(u Upstream, _ int) bool { return u.region == a.self.Region() })
	a.leases.SetShardMap(a.shardMap(a.self.Region(), len(own)), now)
	kept := make(map[scheduler.UpstreamID]bool)
	for _, u := range own {
		if slices.Contains(a.leases.Replicas(u.id), a.self.ID()) {
			kept[u.id] = true
			a.addReplica(u, now)
		}
	}
	for id, rep := range a.replicas {
		if !kept[id] {
			a.pool(rep.spec.pool).pool.Remove(id)
			delete(a.replicas, id)
		}
	}
	a.replicaIDs = slices.Sorted(maps.Keys(a.replicas))
	a.updatePeers(now)
}

// addReplica adds an upstream that this host is a replica for, or updates its
// limits.
func (a *Arbiter) addReplica(u Upstream, now time.Time) {
	rep, ok := a.replicas[u.id]
	if !ok {
		rep = &replica{spec: u, ramp: ramper.New(u.coldLimit, u.limit, now, ramper.WithWarmUp(u.warmUp))}
		a.replicas[u.id] = rep
	}
	rep.spec = u
	rep.ramp.SetLimits(u.coldLimit, u.limit)
	a.pool(u.pool).pool.SetClosed(u.id, a.drains.UpstreamReason(u.id, u.domain) != drainer.InService)
}

// pool returns the state of a pool, creating it on first use.
func (a *Arbiter) pool(id scheduler.PoolID) *poolState {
	p, ok := a.pools[id]
	if !ok {
		s := shedder.New(a.tiers)
		p = &poolState{shedder: s, pool: admitter.New(id, a.tiers, s, admitter.WithQueueLimit(a.queueLimit), admitter.WithLoadReports(a.publishesReports))}
		a.pools[id] = p
	}
	return p
}

// Admit queues a request for a slot, or refuses it.
func (a *Arbiter) Admit(r Request, now time.Time) (out Actions) {
	a.detectSuspension(now, &out)
	p, ok := a.pools[r.pool]
	if !ok || a.leasedOut(r.pool, now) {
		out.refusals = append(out.refusals, admitter.NewRefusal(r.req.ID(), admitter.NotOwner, 0))
		return out
	}
	switch a.suspects.Verdict(r.digest, now) {
	case quarantiner.Refused:
		out.refusals = append(out.refusals, admitter.NewRefusal(r.req.ID(), admitter.Quarantined, 0))
		return out
	case quarantiner.Suspect:
		admitter.WithSuspect(true)(&r.req)
	}
	a.digests[r.req.ID()] = r.digest
	a.collect(p.pool.Admit(r.req, now), &out)
	a.requestShedding(p, now, &out)
	return out
}

// leasedOut reports whether this host's shares of all open upstreams of a pool
// are leased to other replicas, so that requests waiting here would get no
// slot.
func (a *Arbiter) leasedOut(id scheduler.PoolID, now time.Time) bool {
	leased := false
	for _, upstream := range a.replicaIDs {
		rep := a.replicas[upstream]
		if rep.spec.pool != id || a.drains.UpstreamReason(upstream, rep.spec.domain) != drainer.InService {
			continue
		}
		if !a.leases.Leased(upstream, now) {
			return false
		}
		leased = true
	}
	return leased
}

// collect adds the actions of a pool and forgets the digests of refused
// requests.
func (a *Arbiter) collect(p admitter.Actions, out *Actions) {
	for _, r := range p.Refusals() {
		delete(a.digests, r.ID())
	}
	out.add(p)
}

// Withdraw removes a waiting request whose caller disconnected. If the request
// has been granted meanwhile, its entry host reports how it ended.
func (a *Arbiter) Withdraw(id scheduler.RequestID) {
	for _, p := range a.pools {
		if p.pool.Withdraw(id) {
			delete(a.digests, id)
			return
		}
	}
}

// Finish records the end of a granted request.
func (a *Arbiter) Finish(id scheduler.RequestID, ending admitter.Ending, usage admitter.Usage, now time.Time) (out Actions) {
	a.detectSuspension(now, &out)
	digest := a.digests[id]
	delete(a.digests, id)
	for _, p := range a.pools {
		upstream, granted, ok := p.pool.Granted(id)
		if !ok {
			continue
		}
		a.recordEnding(upstream, id, digest, ending, granted, usage, now, &out)
		a.collect(p.pool.Finish(id, ending, usage, now), &out)
		a.resizeUpstream(upstream, now, &out)
		return out
	}
	return out
}

// PollRate is how often the load reports of an upstream should be polled.
type PollRate int

// Poll rates, from lowest to highest.
const (
	// PollNever is for upstreams that this host is no replica for, or whose
	// share it has leased to another host.
	PollNever PollRate = iota
	// PollSlowly is for warm upstreams whose running requests were all granted by
	// this host.
	PollSlowly
	// PollFast is for upstreams that are cold, whose share this host has just
	// gained, that may run requests granted by other hosts, or that have not
	// reported since this process was suspended.
	PollFast
)

// DropEntry removes the waiting requests of an entry host that is unreachable,
// and stops tracking its granted requests on upstreams with load reports.
func (a *Arbiter) DropEntry(entry scheduler.HostID, now time.Time) (out Actions) {
	a.detectSuspension(now, &out)
	for _, id := range a.Pools() {
		a.collect(a.pools[id].pool.DropEntry(entry, now), &out)
	}
	for id := range a.digests {
		if id.Entry() == entry {
			delete(a.digests, id)
		}
	}
	return out
}

// Tick performs periodic work. Call it about 20 times a second.
func (a *Arbiter) Tick(now time.Time) (out Actions) {
	a.detectSuspension(now, &out)
	a.checkReachability(now)
	a.resize(now, &out)
	for _, id := range a.Pools() {
		p := a.pools[id]
		if a.leasedOut(id, now) {
			a.collect(p.pool.RefuseAsNotOwner(now), &out)
		}
		a.collect(p.pool.Tick(now), &out)
		a.requestShedding(p, now, &out)
	}
	if now.Sub(a.lastRenewal) >= a.leases.TTL()/2 && !a.stopping {
		a.lastRenewal = now
		out.leaseRequests = append(out.leaseRequests, a.leaseRequests(now)...)
	}
	return out
}

// Stop refuses all waiting requests and all that arrive later. Its lease requests
// give the shares leased from other hosts back to their lessors.
func (a *Arbiter) Stop(now time.Time) (out Actions) {
	a.stopping = true
	byLessor := make(map[scheduler.HostID][]scheduler.UpstreamID)
	for _, id := range a.replicaIDs {
		for _, lessor := range a.leases.Release(id) {
			byLessor[lessor] = append(byLessor[lessor], id)
		}
	}
	for _, id := range a.Pools() {
		a.collect(a.pools[id].pool.Stop(now), &out)
	}
	out.leaseRequests = newLeaseRequests(byLessor, true)
	return out
}

// Summary returns the numbers of slots, running requests and waiting requests of
// a pool on this host.
func (a *Arbiter) Summary(id scheduler.PoolID) (slots, running, queued int) {
	p, ok := a.pools[id]
	if !ok {
		return 0, 0, 0
	}
	return p.pool.Summary()
}

// Pools returns the pools that this host has or had upstreams of, sorted.
func (a *Arbiter) Pools() []scheduler.PoolID {
	return slices.Sorted(maps.Keys(a.pools))
}

// Replicas returns the upstreams that this host is a replica for, sorted.
func (a *Arbiter) Replicas() []scheduler.UpstreamID { return a.replicaIDs }

// Status returns the status of this host's upstreams.
func (a *Arbiter) Status(now time.Time) []Status {
	return lo.Map(a.Replicas(), func(id scheduler.UpstreamID, _ int) Status {
		rep := a.replicas[id]
		slots, _ := a.leases.Slots(id, rep.ramp.Limit(), a.verifiedUntil(rep, now), now)
		running, _ := a.pool(rep.spec.pool).pool.Running(id, now)
		return Status{
			id: id, slots: slots, limit: rep.ramp.Limit(), running: running, cold: rep.ramp.Cold(),
			closed: a.drains.UpstreamReason(id, rep.spec.domain).String(),
		}
	})
}
