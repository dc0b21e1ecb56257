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

	"foxtaillug.org/contract"
	"foxtaillug.org/foxtaild/internal/granter"
	"foxtaillug.org/foxtaild/internal/keeper"
	"foxtaillug.org/foxtaild/internal/messenger"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/arbiter"
	"foxtaillug.org/scheduler/drainer"
	"foxtaillug.org/scheduler/placer"
)

const (
	// subset bounds the owners of a pool that one entry asks in a region.
	subset = 8
	// retryPause is the pause when no owner can be reached.
	retryPause = 50 * time.Millisecond
)

// RefusedError says that a request got no slot; nothing of it was run.
type RefusedError struct {
	reason     admitter.Reason
	retryAfter time.Duration
	owner      scheduler.HostID
}

// Error returns the reason.
func (e *RefusedError) Error() string { return "refused: " + e.reason.String() }

// Reason returns why.
func (e *RefusedError) Reason() admitter.Reason { return e.reason }

// RetryAfter returns when asking again is of use; 0 when it is not known.
func (e *RefusedError) RetryAfter() time.Duration { return e.retryAfter }

// Owner returns the host that refused, or "" when none could be asked.
func (e *RefusedError) Owner() scheduler.HostID { return e.owner }

// Demand is what a request needs a slot for.
type Demand struct {
	pool      scheduler.PoolID
	workspace scheduler.WorkspaceID
	tier      scheduler.Tier
	prompt    int
	output    int
	prefix    uint64
	digest    uint64
	deadline  time.Time
	trace     []byte
}

// DemandOption sets a detail of a Demand.
type DemandOption func(*Demand)

// WithTokens sets the length of the prompt and the expected one of the output.
func WithTokens(prompt, output int) DemandOption {
	return func(d *Demand) { d.prompt, d.output = prompt, output }
}

// WithDigests sets the digests of the prompt's beginning and of the whole
// request.
func WithDigests(prefix, whole uint64) DemandOption {
	return func(d *Demand) { d.prefix, d.digest = prefix, whole }
}

// WithTrace sets the binary trace context of a sampled request.
func WithTrace(trace []byte) DemandOption {
	return func(d *Demand) { d.trace = trace }
}

// NewDemand returns a demand for a slot in a pool, of use until deadline.
func NewDemand(pool scheduler.PoolID, workspace scheduler.WorkspaceID, tier scheduler.Tier, deadline time.Time, opts ...DemandOption) Demand {
	d := Demand{pool: pool, workspace: workspace, tier: tier, deadline: deadline}
	for _, opt := range opts {
		opt(&d)
	}
	return d
}

// Slot is the right to dispatch one request to one upstream.
type Slot struct {
	upstream scheduler.UpstreamID
	owner    scheduler.HostID
	expiry   time.Time
	finish   func(ending admitter.Ending, g Usage)
	once     sync.Once
}

// Usage is what a request took.
type Usage struct {
	Tokens     int
	FirstToken time.Duration
	Total      time.Duration
}

// Upstream returns where to dispatch.
func (s *Slot) Upstream() scheduler.UpstreamID { return s.upstream }

// Owner returns the host that granted the slot.
func (s *Slot) Owner() scheduler.HostID { return s.owner }

// Expiry returns when the slot ends if nothing was dispatched.
func (s *Slot) Expiry() time.Time { return s.expiry }

// Finish tells the owner how the request ended. Only the first call counts.
func (s *Slot) Finish(ending admitter.Ending, g Usage) {
	s.once.Do(func() { s.finish(ending, g) })
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
	keeper    *keeper.Keeper
	messenger *messenger.Messenger
	atlas     atomic.Pointer[atlas]
	seq       atomic.Uint64
	ctx       context.Context

	// territories belongs to chart alone.
	territories placer.Atlas

	mu    sync.Mutex
	links map[scheduler.HostID]*link
}

// New returns a requester whose streams live until ctx is done. Requests are
// numbered from a random start, so that an owner does not take the first ones
// of a process for those of the one before.
func New(ctx context.Context, k *keeper.Keeper, m *messenger.Messenger) *Requester {
	r := &Requester{ctx: ctx, keeper: k, messenger: m, links: make(map[scheduler.HostID]*link), territories: make(placer.Atlas)}
	r.seq.Store(uint64(rand.Uint32()))
	r.atlas.Store(&atlas{})
	k.OnState(func(s *keeper.State) { r.chart(s, k.Hosts()) })
	k.OnHosts(func(hosts []scheduler.Host) { r.chart(k.State(), hosts) })
	return r
}

// chart works out anew who may be asked for each pool. The keeper calls it
// for one change at a time.
func (r *Requester) chart(s *keeper.State, hosts []scheduler.Host) {
	if s == nil {
		return
	}
	a := make(atlas)
	drains := drainer.New()
	drains.SetDrains(granter.Drains(s.Directory()))
	byRegion := lo.GroupBy(s.Directory().Upstreams(), contract.Member.Region)
	for region, members := range byRegion {
		t := r.territories.Keep(region, arbiter.Territory(hosts, region, len(members)))
		for _, m := range members {
			if drains.Upstream(m.ID(), m.Domain()) != drainer.Open {
				continue
			}
			pool := m.Pools()[0]
			a[pool] = append(a[pool], guarded{
				guardians: t.Guardians(m.ID()),
				slots:     m.Limit(),
				local:     region == r.keeper.Self().Region(),
			})
		}
	}
	r.atlas.Store(&a)
}

// Acquire gets a slot, or a RefusedError. It tries another owner only as long
// as the request has not left: a slot that was granted is the caller's to use
// or to give back.
func (r *Requester) Acquire(ctx context.Context, d Demand) (slot *Slot, err error) {
	ctx, cancel := context.WithDeadline(ctx, d.deadline)
	defer cancel()
	if len((*r.atlas.Load())[d.pool]) == 0 {
		return nil, &RefusedError{reason: admitter.Closed}
	}
	tried := make(map[scheduler.HostID]*RefusedError)
	for ctx.Err() == nil {
		id, ok := r.choose(d, tried)
		if !ok {
			if last := firstRefusal(tried); last != nil {
				return nil, last
			}
			pause(ctx, retryPause)
			continue
		}
		slot, err := r.link(id).ask(ctx, d, r.seq.Add(1))
		if err == nil {
			return slot, nil
		}
		var refused *RefusedError
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
	return nil, &RefusedError{reason: admitter.Late}
}

// firstRefusal returns a refusal for want of capacity if there was one, and
// any other otherwise.
func firstRefusal(tried map[scheduler.HostID]*RefusedError) (first *RefusedError) {
	for _, e := range tried {
		if first == nil || e.reason == admitter.Shed || e.reason == admitter.Late {
			first = e
		}
	}
	return first
}

// final reports whether another owner need not be asked after a refusal. An
// owner that sheds speaks for the pool, unless another is known to have room.
func (r *Requester) final(d Demand, e *RefusedError, from scheduler.HostID, tried map[scheduler.HostID]*RefusedError) bool {
	switch e.reason {
	case admitter.NotOwner, admitter.Closed, admitter.Stopping:
		return false
	case admitter.Shed, admitter.Late:
		return !lo.SomeBy(r.candidates(d.pool, tried), func(c candidate) bool { return c.host != from && c.room })
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
func (r *Requester) candidates(pool scheduler.PoolID, tried map[scheduler.HostID]*RefusedError) []candidate {
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
	self := string(r.keeper.Self().ID())
	return append(placer.Rank(local, self, subset), placer.Rank(remote, self, subset)...)
}

// firstReachable returns the first guardian that can be asked. One that has
// refused for want of capacity speaks for those that rank below it; one that
// is stopping, or does not own the pool, does not.
func (r *Requester) firstReachable(guardians []scheduler.HostID, tried map[scheduler.HostID]*RefusedError) (scheduler.HostID, bool) {
	for _, id := range guardians {
		e, again := tried[id]
		if again && (e.reason == admitter.Shed || e.reason == admitter.Late || e.reason == admitter.Closed) {
			return "", false
		}
		if !again && !r.link(id).down() {
			return id, true
		}
	}
	return "", false
}

// choose returns the owner to ask.
func (r *Requester) choose(d Demand, tried map[scheduler.HostID]*RefusedError) (scheduler.HostID, bool) {
	all := lo.Map(r.candidates(d.pool, tried), func(c candidate, _ int) placer.Candidate {
		return placer.NewCandidate(c.host, c.slots, c.load, placer.WithLocal(c.local))
	})
	c, ok := placer.Choose(all, d.prefix, rand.Uint64())
	return c.Host(), ok
}

// link returns the stream to an owner, making it at first use.
func (r *Requester) link(id scheduler.HostID) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.links[id]
	if !ok {
		l = newLink(r.ctx, id, r.keeper.Self().ID(), r.messenger)
		r.links[id] = l
	}
	return l
}
