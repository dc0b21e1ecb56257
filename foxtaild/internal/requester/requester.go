// Package requester requests slots on behalf of an entry host: it chooses an owner,
// sends it admission requests over one stream per owner, and turns the grants into
// slots that expire on the monotonic clock of this process.
package requester

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"go.opentelemetry.io/otel/trace"

	"foxtaillug.org/contract"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/foxtaild/internal/granter"
	"foxtaillug.org/foxtaild/internal/messenger"
	"foxtaillug.org/foxtaild/internal/tracker"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/arbiter"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/drainer"
	"foxtaillug.org/scheduler/placer"
)

const (
	// maxOwners is the maximum number of a pool's owners that an entry host sends
	// requests to in its own region, and also the maximum in all other regions
	// together.
	maxOwners = 8
	// retryDelay is the delay before the next attempt if no owner is reachable.
	retryDelay = 50 * time.Millisecond
	// minRetryAfter is the minimum delay before a refused caller may retry. The
	// Retry-After header has a resolution of one second.
	minRetryAfter = time.Second
)

// refusedError reports that a request was refused a slot. No part of it was run.
type refusedError struct {
	reason     admitter.Reason
	retryAfter time.Duration
	owner      scheduler.HostID
}

// Error returns the reason of the refusal.
func (e *refusedError) Error() string { return "admission request refused: " + e.reason.String() }

// request is an admission request that expires at deadline.
type request struct {
	coordinator.Request
	deadline time.Time
	// trace is the binary trace context of a sampled request.
	trace []byte
}

// newRequest returns a request with its deadline and trace context.
func newRequest(ctx context.Context, r coordinator.Request) request {
	req := request{Request: r, deadline: time.Now().Add(r.Left)}
	if sc := trace.SpanContextFromContext(ctx); sc.IsSampled() {
		req.trace = binaryTrace(sc)
	}
	return req
}

// binaryTrace returns a trace context as 25 bytes: trace ID, span ID and flags.
func binaryTrace(sc trace.SpanContext) []byte {
	t, s := sc.TraceID(), sc.SpanID()
	return append(append(append([]byte{}, t[:]...), s[:]...), byte(sc.TraceFlags()))
}

// slot is the right to dispatch one request to one upstream.
type slot struct {
	upstream scheduler.UpstreamID
	owner    scheduler.HostID
	expiry   time.Time
	finish   func(ending admitter.Ending, u usage)
}

// usage is the number of tokens that were generated for a request and the time it
// took.
type usage struct {
	tokens            int
	firstToken, total time.Duration
}

// endings maps how a request ended to the ending that is reported to its owner.
var endings = map[coordinator.Ending]admitter.Ending{
	coordinator.Complete:       admitter.Complete,
	coordinator.Unused:         admitter.NotRun,
	coordinator.Rejected:       admitter.NotRun,
	coordinator.Failed:         admitter.Failed,
	coordinator.ConnectionLost: admitter.Crashed,
	coordinator.TimedOut:       admitter.Cancelled,
	coordinator.ConnectFailed:  admitter.ConnectFailed,
	coordinator.WrongUpstream:  admitter.Failed,
	coordinator.Cancelled:      admitter.Cancelled,
}

// usageOf returns the usage of a finished request. A streamed response is reported
// without its first token, which is added here; for any other response, the first
// token counts as received together with the last.
func usageOf(f coordinator.Finish) usage {
	u := usage{tokens: f.Tokens, firstToken: f.FirstToken, total: f.Total}
	if f.FirstToken > 0 {
		u.tokens++
	} else {
		u.firstToken = f.Total
	}
	return u
}

// poolUpstream is an upstream of a pool with its replicas, the hosts that may
// grant its slots, owner first.
type poolUpstream struct {
	replicas []scheduler.HostID
	slots    int
	// local is whether the upstream is in the entry host's region.
	local bool
}

// poolMap holds the upstreams of each pool. It is immutable.
type poolMap map[scheduler.PoolID][]poolUpstream

// Requester requests slots on behalf of one entry host. It is safe for concurrent
// use.
type Requester struct {
	tracker   *tracker.Tracker
	messenger *messenger.Messenger
	pools     atomic.Pointer[poolMap]
	seq       atomic.Uint64
	ctx       context.Context

	// shardMaps is used by buildPools only.
	shardMaps placer.ShardMaps

	mu    sync.Mutex
	links map[scheduler.HostID]*link
}

// New returns a requester whose streams are closed when ctx is done. Request
// numbers start at a random value, so that an owner does not mistake the first
// requests of a process for those of the process before it.
func New(ctx context.Context, t *tracker.Tracker, m *messenger.Messenger) *Requester {
	r := &Requester{ctx: ctx, tracker: t, messenger: m, links: make(map[scheduler.HostID]*link), shardMaps: make(placer.ShardMaps)}
	r.seq.Store(uint64(rand.Uint32()))
	r.pools.Store(&poolMap{})
	t.OnConfig(func(cfg *tracker.Config) { r.buildPools(cfg, t.Hosts()) })
	t.OnHosts(func(hosts []scheduler.Host) { r.buildPools(t.Config(), hosts) })
	return r
}

// buildPools rebuilds the pool map from the shard maps of all regions. The tracker
// never calls it concurrently.
func (r *Requester) buildPools(cfg *tracker.Config, hosts []scheduler.Host) {
	if cfg == nil {
		return
	}
	pools := make(poolMap)
	drains := drainer.New()
	drains.SetDrains(granter.Drains(cfg.Directory()))
	byRegion := lo.GroupBy(cfg.Directory().Upstreams(), contract.Member.Region)
	for region, members := range byRegion {
		shards := r.shardMaps.Reuse(region, arbiter.RegionShardMap(hosts, region, len(members)))
		for _, m := range members {
			if drains.UpstreamReason(m.ID(), m.Domain()) != drainer.InService {
				continue
			}
			pool := m.Pools()[0]
			pools[pool] = append(pools[pool], poolUpstream{
				replicas: shards.Replicas(m.ID()),
				slots:    m.Limit(),
				local:    region == r.tracker.Self().Region(),
			})
		}
	}
	r.pools.Store(&pools)
}

// Admit returns a slot or the owners' refusal for a request, which must not have
// been dispatched yet. It implements forwarder.Admitter.
func (r *Requester) Admit(ctx context.Context, req coordinator.Request) (g forwarder.Grant, err error) {
	s, err := r.acquire(ctx, newRequest(ctx, req))
	var refused *refusedError
	switch {
	case ctx.Err() != nil:
		if s != nil {
			s.finish(admitter.NotRun, usage{})
		}
		return g, ctx.Err()
	case eris.As(err, &refused):
		return forwarder.Grant{Owner: string(refused.owner), Refusal: &forwarder.Refusal{
			Outcome: forwarder.NotRun, Reason: refused.reason.String(), RetryAfter: max(refused.retryAfter, minRetryAfter),
		}}, nil
	case err != nil:
		return g, err
	}
	return forwarder.Grant{
		Owner: string(s.owner), Upstream: string(s.upstream), Expires: s.expiry,
		ReportFirstEvent: func(time.Duration) {},
		ReportFinish:     func(f coordinator.Finish) { s.finish(endings[f.Ending], usageOf(f)) },
	}, nil
}

// acquire returns a slot or a refusedError. It tries further owners only until one
// of them grants a slot, so never after the request may have been dispatched. The
// caller must use the slot or return it.
func (r *Requester) acquire(ctx context.Context, req request) (s *slot, err error) {
	if len((*r.pools.Load())[scheduler.PoolID(req.Pool)]) == 0 {
		return nil, &refusedError{reason: admitter.NoUpstream}
	}
	tried := make(map[scheduler.HostID]*refusedError)
	for ctx.Err() == nil {
		id, ok := r.choose(req, tried)
		if !ok {
			if refused := chooseRefusal(tried); refused != nil {
				return nil, refused
			}
			sleep(ctx, retryDelay)
			continue
		}
		s, err := r.link(id).admit(ctx, req, r.seq.Add(1))
		if err == nil {
			return s, nil
		}
		var refused *refusedError
		if !eris.As(err, &refused) {
			continue
		}
		if refused.reason == admitter.Stopping {
			r.link(id).avoid()
		}
		if r.isFinal(req, refused, id, tried) {
			return nil, refused
		}
		tried[id] = refused
	}
	return nil, &refusedError{reason: admitter.Late}
}

// chooseRefusal returns a refusal for lack of capacity if there is one, otherwise
// any other, or nil if no owner has refused.
func chooseRefusal(tried map[scheduler.HostID]*refusedError) (chosen *refusedError) {
	for _, e := range tried {
		if chosen == nil || e.reason == admitter.Shed || e.reason == admitter.Late {
			chosen = e
		}
	}
	return chosen
}

// isFinal reports whether no other owner is to be tried after a refusal. A refusal
// for lack of capacity is final for the whole pool unless another owner is known
// to have free slots.
func (r *Requester) isFinal(req request, e *refusedError, from scheduler.HostID, tried map[scheduler.HostID]*refusedError) bool {
	switch e.reason {
	case admitter.NotOwner, admitter.NoUpstream, admitter.Stopping:
		return false
	case admitter.Shed, admitter.Late:
		return !lo.SomeBy(r.candidates(scheduler.PoolID(req.Pool), tried), func(c candidate) bool { return c.host != from && c.hasRoom })
	default:
		return true
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// candidate is an owner that a request may be sent to.
type candidate struct {
	host  scheduler.HostID
	slots int
	load  int
	local bool
	// hasRoom is whether the owner is known to have free slots.
	hasRoom bool
}

// candidates returns the owners of a pool that are available and have not been
// tried.
func (r *Requester) candidates(pool scheduler.PoolID, tried map[scheduler.HostID]*refusedError) []candidate {
	byHost := make(map[scheduler.HostID]*candidate)
	var order []scheduler.HostID
	for _, u := range (*r.pools.Load())[pool] {
		id, ok := r.firstAvailable(u.replicas, tried)
		if !ok {
			continue
		}
		c, ok := byHost[id]
		if !ok {
			c = &candidate{host: id, local: u.local}
			byHost[id] = c
			order = append(order, id)
		}
		c.slots += u.slots
	}
	slices.Sort(order)
	order = r.limitOwners(order, byHost)
	return lo.Map(order, func(id scheduler.HostID, _ int) candidate {
		c := *byHost[id]
		r.link(id).setLoad(pool, &c)
		return c
	})
}

// limitOwners returns a deterministic subset of the owners in this region and of
// those in other regions, so that an entry host connects to few of them regardless
// of the size of the fleet.
func (r *Requester) limitOwners(ids []scheduler.HostID, byHost map[scheduler.HostID]*candidate) []scheduler.HostID {
	if len(ids) <= maxOwners {
		return ids
	}
	local, remote := lo.FilterReject(ids, func(id scheduler.HostID, _ int) bool { return byHost[id].local })
	self := string(r.tracker.Self().ID())
	return append(placer.Rank(local, self, maxOwners), placer.Rank(remote, self, maxOwners)...)
}

// firstAvailable returns the first replica that a request can be sent to. A refusal
// for lack of capacity or of a usable upstream also holds for the replicas that
// rank below; a refusal by a host that is stopping or is not the owner does not.
func (r *Requester) firstAvailable(replicas []scheduler.HostID, tried map[scheduler.HostID]*refusedError) (scheduler.HostID, bool) {
	for _, id := range replicas {
		e, refused := tried[id]
		if refused && (e.reason == admitter.Shed || e.reason == admitter.Late || e.reason == admitter.NoUpstream) {
			return "", false
		}
		if !refused && !r.link(id).unavailable() {
			return id, true
		}
	}
	return "", false
}

// choose returns the owner to send a request to.
func (r *Requester) choose(req request, tried map[scheduler.HostID]*refusedError) (scheduler.HostID, bool) {
	all := lo.Map(r.candidates(scheduler.PoolID(req.Pool), tried), func(c candidate, _ int) placer.Candidate {
		return placer.NewCandidate(c.host, c.slots, c.load, placer.WithLocal(c.local))
	})
	c, ok := placer.Choose(all, req.Prefix, rand.Uint64())
	return c.Host(), ok
}

// link returns the link to an owner, creating it at first use.
func (r *Requester) link(id scheduler.HostID) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.links[id]
	if !ok {
		l = newLink(r.ctx, id, r.tracker.Self().ID(), r.messenger)
		r.links[id] = l
	}
	return l
}
