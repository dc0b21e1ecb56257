// Package requester is the entry's side of scheduling: it picks the owner to
// ask for a slot, asks over one stream per owner, and turns the answers into
// slots with an expiry on this process's own monotonic clock.
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
	// subset bounds the owners of a pool that one entry asks in a region.
	subset = 8
	// retryPause is the pause when no owner can be reached.
	retryPause = 50 * time.Millisecond
	// minRetry is the least that a refused caller is told to wait; the header
	// that says so counts whole seconds.
	minRetry = time.Second
)

// refusedError says that a request got no slot; nothing of it was run.
type refusedError struct {
	reason     admitter.Reason
	retryAfter time.Duration
	owner      scheduler.HostID
}

// Error returns the reason.
func (e *refusedError) Error() string { return "refused: " + e.reason.String() }

// demand is what a request needs a slot for, until deadline.
type demand struct {
	coordinator.Request
	deadline time.Time
	// trace is the binary trace context of a sampled request.
	trace []byte
}

// newDemand returns the demand of an ask.
func newDemand(ctx context.Context, a coordinator.Request) demand {
	d := demand{Request: a, deadline: time.Now().Add(a.Left)}
	if sc := trace.SpanContextFromContext(ctx); sc.IsSampled() {
		d.trace = binaryTrace(sc)
	}
	return d
}

// binaryTrace returns a trace context as 25 bytes: trace, span and flags.
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

// usage is what a request took.
type usage struct {
	tokens            int
	firstToken, total time.Duration
}

// endings maps how a request ended to what its owner is told.
var endings = map[coordinator.Ending]admitter.Ending{
	coordinator.Complete:       admitter.Complete,
	coordinator.Unused:         admitter.NotRun,
	coordinator.Rejected:       admitter.NotRun,
	coordinator.Failed:         admitter.Failed,
	coordinator.ConnectionLost: admitter.Crashed,
	coordinator.TimedOut:       admitter.Cancelled,
	coordinator.Unreached:      admitter.ConnectFailed,
	coordinator.WrongUpstream:  admitter.Failed,
	coordinator.Abandoned:      admitter.Cancelled,
}

// usageOf returns what a request took. A whole answer's first token counts as
// coming with its last.
func usageOf(f coordinator.Finish) usage {
	u := usage{tokens: f.Tokens, firstToken: f.FirstToken, total: f.Total}
	if f.FirstToken > 0 {
		u.tokens++
	} else {
		u.firstToken = f.Total
	}
	return u
}

// guarded is an upstream with the hosts that may grant it, owner first.
type guarded struct {
	guardians []scheduler.HostID
	slots     int
	local     bool
}

// atlas is who may be asked for each pool. It never changes.
type atlas map[scheduler.PoolID][]guarded

// Requester asks for slots on behalf of one entry. It is safe for concurrent
// use.
type Requester struct {
	tracker   *tracker.Tracker
	messenger *messenger.Messenger
	atlas     atomic.Pointer[atlas]
	seq       atomic.Uint64
	ctx       context.Context

	// territories belongs to chart alone.
	territories placer.ShardMaps

	mu    sync.Mutex
	links map[scheduler.HostID]*link
}

// New returns a requester whose streams live until ctx is done. Requests are
// numbered from a random start, so that an owner does not take the first ones
// of a process for those of the one before.
func New(ctx context.Context, k *tracker.Tracker, m *messenger.Messenger) *Requester {
	r := &Requester{ctx: ctx, tracker: k, messenger: m, links: make(map[scheduler.HostID]*link), territories: make(placer.ShardMaps)}
	r.seq.Store(uint64(rand.Uint32()))
	r.atlas.Store(&atlas{})
	k.OnConfig(func(s *tracker.Config) { r.chart(s, k.Hosts()) })
	k.OnHosts(func(hosts []scheduler.Host) { r.chart(k.Config(), hosts) })
	return r
}

// chart works out anew who may be asked for each pool. The tracker calls it
// for one change at a time.
func (r *Requester) chart(s *tracker.Config, hosts []scheduler.Host) {
	if s == nil {
		return
	}
	a := make(atlas)
	drains := drainer.New()
	drains.SetDrains(granter.Drains(s.Directory()))
	byRegion := lo.GroupBy(s.Directory().Upstreams(), contract.Member.Region)
	for region, members := range byRegion {
		t := r.territories.Reuse(region, arbiter.RegionShardMap(hosts, region, len(members)))
		for _, m := range members {
			if drains.UpstreamReason(m.ID(), m.Domain()) != drainer.InService {
				continue
			}
			pool := m.Pools()[0]
			a[pool] = append(a[pool], guarded{
				guardians: t.Replicas(m.ID()),
				slots:     m.Limit(),
				local:     region == r.tracker.Self().Region(),
			})
		}
	}
	r.atlas.Store(&a)
}

// Admit gets a slot, or the owners' refusal, for a request that must not leave
// before. It implements forwarder.Asker.
func (r *Requester) Admit(ctx context.Context, a coordinator.Request) (g forwarder.Grant, err error) {
	s, err := r.acquire(ctx, newDemand(ctx, a))
	var refused *refusedError
	switch {
	case ctx.Err() != nil:
		if s != nil {
			s.finish(admitter.NotRun, usage{})
		}
		return g, ctx.Err()
	case eris.As(err, &refused):
		return forwarder.Grant{Owner: string(refused.owner), Refusal: &forwarder.Refusal{
			Outcome: forwarder.NotRun, Reason: refused.reason.String(), RetryAfter: max(refused.retryAfter, minRetry),
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

// acquire gets a slot, or a refusedError. It tries another owner only as long
// as the request has not left: a slot that was granted is the caller's to use
// or to give back.
func (r *Requester) acquire(ctx context.Context, d demand) (s *slot, err error) {
	if len((*r.atlas.Load())[scheduler.PoolID(d.Pool)]) == 0 {
		return nil, &refusedError{reason: admitter.NoUpstream}
	}
	tried := make(map[scheduler.HostID]*refusedError)
	for ctx.Err() == nil {
		id, ok := r.choose(d, tried)
		if !ok {
			if last := firstRefusal(tried); last != nil {
				return nil, last
			}
			pause(ctx, retryPause)
			continue
		}
		s, err := r.link(id).ask(ctx, d, r.seq.Add(1))
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
		if r.final(d, refused, id, tried) {
			return nil, refused
		}
		tried[id] = refused
	}
	return nil, &refusedError{reason: admitter.Late}
}

// firstRefusal returns a refusal for want of capacity if there was one, and
// any other otherwise.
func firstRefusal(tried map[scheduler.HostID]*refusedError) (first *refusedError) {
	for _, e := range tried {
		if first == nil || e.reason == admitter.Shed || e.reason == admitter.Late {
			first = e
		}
	}
	return first
}

// final reports whether another owner need not be asked after a refusal. An
// owner that sheds speaks for the pool, unless another is known to have room.
func (r *Requester) final(d demand, e *refusedError, from scheduler.HostID, tried map[scheduler.HostID]*refusedError) bool {
	switch e.reason {
	case admitter.NotOwner, admitter.NoUpstream, admitter.Stopping:
		return false
	case admitter.Shed, admitter.Late:
		return !lo.SomeBy(r.candidates(scheduler.PoolID(d.Pool), tried), func(c candidate) bool { return c.host != from && c.room })
	default:
		return true
	}
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// candidate is an owner that may be asked, as placer sees it.
type candidate struct {
	host  scheduler.HostID
	slots int
	load  int
	local bool
	room  bool
}

// candidates returns the owners of a pool that can be reached and were not
// tried.
func (r *Requester) candidates(pool scheduler.PoolID, tried map[scheduler.HostID]*refusedError) []candidate {
	byHost := make(map[scheduler.HostID]*candidate)
	var order []scheduler.HostID
	for _, g := range (*r.atlas.Load())[pool] {
		id, ok := r.firstReachable(g.guardians, tried)
		if !ok {
			continue
		}
		c, ok := byHost[id]
		if !ok {
			c = &candidate{host: id, local: g.local}
			byHost[id] = c
			order = append(order, id)
		}
		c.slots += g.slots
	}
	slices.Sort(order)
	order = r.near(order, byHost)
	return lo.Map(order, func(id scheduler.HostID, _ int) candidate {
		c := *byHost[id]
		r.link(id).fill(pool, &c)
		return c
	})
}

// near keeps a deterministic subset of the owners in each region, so that an
// entry talks to few of them however large the fleet is.
func (r *Requester) near(ids []scheduler.HostID, byHost map[scheduler.HostID]*candidate) []scheduler.HostID {
	if len(ids) <= subset {
		return ids
	}
	local, remote := lo.FilterReject(ids, func(id scheduler.HostID, _ int) bool { return byHost[id].local })
	self := string(r.tracker.Self().ID())
	return append(placer.Rank(local, self, subset), placer.Rank(remote, self, subset)...)
}

// firstReachable returns the first guardian that can be asked. One that has
// refused for want of capacity speaks for those that rank below it; one that
// is stopping, or does not own the pool, does not.
func (r *Requester) firstReachable(guardians []scheduler.HostID, tried map[scheduler.HostID]*refusedError) (scheduler.HostID, bool) {
	for _, id := range guardians {
		e, again := tried[id]
		if again && (e.reason == admitter.Shed || e.reason == admitter.Late || e.reason == admitter.NoUpstream) {
			return "", false
		}
		if !again && !r.link(id).down() {
			return id, true
		}
	}
	return "", false
}

// choose returns the owner to ask.
func (r *Requester) choose(d demand, tried map[scheduler.HostID]*refusedError) (scheduler.HostID, bool) {
	all := lo.Map(r.candidates(scheduler.PoolID(d.Pool), tried), func(c candidate, _ int) placer.Candidate {
		return placer.NewCandidate(c.host, c.slots, c.load, placer.WithLocal(c.local))
	})
	c, ok := placer.Choose(all, d.Prefix, rand.Uint64())
	return c.Host(), ok
}

// link returns the stream to an owner, making it at first use.
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
