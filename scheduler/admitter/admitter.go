package admitter

import (
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/internal/pq"
)

const (
	// DefaultQueueLimit is the maximum number of requests that wait in one pool
	// at one owner.
	DefaultQueueLimit = 100_000
	// GrantLifetime is how long a grant may wait to be used.
	GrantLifetime = time.Second
	// shedLeadTime is how long before a waiting request has to be refused its
	// tier is reported as overloaded, so that the lower tiers are shed across
	// the pool by then.
	shedLeadTime = 500 * time.Millisecond
	// minRetryAfter is the minimum Retry-After of a refused request.
	minRetryAfter = time.Second
	// finishGrace is how long after the deadline of a granted request its
	// finish may still be reported; after that its entry host is presumed
	// failed.
	finishGrace = 2 * time.Second
	// sweepInterval is how often granted requests are checked against
	// finishGrace.
	sweepInterval = time.Second
)

// Pool schedules the upstreams of one pool that this host owns. Field order holds
// them in the order in which they were added. Pool is not safe for concurrent use.
type Pool struct {
	id               scheduler.PoolID
	shedder          Shedder
	queueLimit       int
	tiers            []*tierQueue
	queued           map[scheduler.RequestID]*waiting
	expiries         *pq.Queue[*waiting]
	running          map[scheduler.RequestID]*running
	upstreams        map[scheduler.UpstreamID]*upstream
	order            []*upstream
	serviceTime      time.Duration
	lengthStats      map[scheduler.WorkspaceID]*outputLengths
	lastSweep        time.Time
	publishesReports func(scheduler.UpstreamID) bool
	stopping         bool
}

// Option configures a Pool.
type Option func(*Pool)

// WithQueueLimit sets the maximum number of waiting requests.
func WithQueueLimit(n int) Option {
	return func(p *Pool) { p.queueLimit = n }
}

// WithLoadReports sets the function that reports whether an upstream publishes
// load reports. By default none does.
func WithLoadReports(publishesReports func(scheduler.UpstreamID) bool) Option {
	return func(p *Pool) { p.publishesReports = publishesReports }
}

// New returns a pool with the given number of tiers and no upstreams.
func New(id scheduler.PoolID, tiers int, shedder Shedder, opts ...Option) *Pool {
	p := &Pool{
		id:               id,
		shedder:          shedder,
		queueLimit:       DefaultQueueLimit,
		publishesReports: func(scheduler.UpstreamID) bool { return false },
		queued:           make(map[scheduler.RequestID]*waiting),
		running:          make(map[scheduler.RequestID]*running),
		upstreams:        make(map[scheduler.UpstreamID]*upstream),
		lengthStats:      make(map[scheduler.WorkspaceID]*outputLengths),
		expiries: pq.New(func(a, b *waiting) bool {
			return a.req.deadline.Before(b.req.deadline)
		}),
	}
	for range tiers {
		p.tiers = append(p.tiers, newTierQueue())
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// ID returns the name of the pool.
func (p *Pool) ID() scheduler.PoolID { return p.id }

// Admit queues a request for a slot, or refuses it.
func (p *Pool) Admit(r Request, now time.Time) (out Actions) {
	r.arrived = now
	r.tier = p.clamp(r.tier)
	r.output, r.likely = p.outputLengths(r.workspace).expect(r.output)
	if reason := p.refusal(r, now); reason != Granted {
		out.refusals = append(out.refusals, Refusal{id: r.id, reason: reason, retryAfter: p.retryAfter(r.tier, now)})
		return out
	}
	w := &waiting{req: r}
	p.tiers[r.tier].push(w)
	p.queued[r.id] = w
	w.expiry = p.expiries.Push(w)
	p.displace(r, now, &out)
	p.fill(now, &out)
	if _, still := p.queued[r.id]; still && p.late(r, now) {
		w.late = true
		p.reportOverload(w, now, &out)
	}
	return out
}

// outputLengths returns the output length statistics of a workspace, creating
// them on first use.
func (p *Pool) outputLengths(id scheduler.WorkspaceID) *outputLengths {
	l, ok := p.lengthStats[id]
	if !ok {
		l = &outputLengths{}
		p.lengthStats[id] = l
	}
	return l
}

// clamp limits a tier to the tiers of the pool.
func (p *Pool) clamp(t scheduler.Tier) scheduler.Tier {
	return min(max(t, 0), scheduler.Tier(len(p.tiers)-1))
}

// refusal returns the reason to refuse a request on arrival, or Granted.
func (p *Pool) refusal(r Request, now time.Time) Reason {
	if p.stopping {
		return Stopping
	}
	if len(p.upstreams) == 0 {
		return NotOwner
	}
	if !p.open() {
		return NoUpstream
	}
	if _, shedding := p.shedder.Shedding(r.tier, now); shedding {
		return Shed
	}
	if p.infeasible(r, now) {
		return Late
	}
	return Granted
}

// refuse removes a waiting request from the queue and refuses it.
func (p *Pool) refuse(w *waiting, reason Reason, now time.Time, out *Actions) {
	p.dequeue(w)
	out.refusals = append(out.refusals, Refusal{
		id:         w.req.id,
		reason:     reason,
		retryAfter: p.retryAfter(w.req.tier, now),
	})
}

// dequeue removes a request from the queue.
func (p *Pool) dequeue(w *waiting) {
	p.tiers[w.req.tier].remove(w)
	p.expiries.Remove(w.expiry)
	delete(p.queued, w.req.id)
}

// Withdraw removes a request whose caller disconnected. It reports whether the
// request was still waiting.
func (p *Pool) Withdraw(id scheduler.RequestID) bool {
	w, ok := p.queued[id]
	if ok {
		p.dequeue(w)
	}
	return ok
}

// fill grants free slots to waiting requests, highest tier first.
func (p *Pool) fill(now time.Time, out *Actions) {
	for t := range p.tiers {
		if !p.fillTier(scheduler.Tier(t), now, out) {
			return
		}
	}
}

// fillTier grants slots to the requests of one tier. A request that would most
// likely not finish in time on the free upstream is refused if others wait
// behind it: to run it there would waste its prefill, and to let it wait for a
// faster upstream would leave the slot idle. With no other request behind it the
// slot would be idle anyway, so the request runs on the chance that it finishes
// sooner than estimated. fillTier reports whether the queue of the tier is empty
// afterwards.
func (p *Pool) fillTier(tier scheduler.Tier, now time.Time, out *Actions) bool {
	q := p.tiers[tier]
	for w := q.next(); w != nil; w = q.next() {
		if !now.Before(w.req.deadline) || p.infeasible(w.req, now) {
			p.refuse(w, Late, now, out)
			continue
		}
		u := p.pick(w.req, now)
		if u == nil {
			return false
		}
		if q.length() > 1 && !u.inTime(w.req, w.req.likely, now) {
			p.refuse(w, Late, now, out)
			continue
		}
		p.grant(w, u, now, out)
	}
	return true
}

// pick returns the best upstream for a request, or nil if none has a free slot.
func (p *Pool) pick(r Request, now time.Time) *upstream {
	var best *upstream
	for _, u := range p.order {
		if !u.canAccept(r, now) {
			continue
		}
		if best == nil || u.preferredTo(best, r, now) {
			best = u
		}
	}
	return best
}

// grant gives a waiting request a slot on an upstream.
func (p *Pool) grant(w *waiting, u *upstream, now time.Time, out *Actions) {
	p.dequeue(w)
	r := &running{req: w.req, upstream: u, granted: now}
	p.running[w.req.id] = r
	u.running[w.req.id] = r
	if w.req.suspect {
		u.suspects++
	}
	u.remember(w.req.prefix)
	p.tiers[w.req.tier].addServed(w.req.workspace, w.req.cost())
	until := now.Add(GrantLifetime)
	if u.slotsUntil.Before(until) {
		until = u.slotsUntil
	}
	out.grants = append(out.grants, Grant{id: w.req.id, upstream: u.id, until: until})
}

// Finish records the end of a granted request and reassigns its slot.
func (p *Pool) Finish(id scheduler.RequestID, ending Ending, usage Usage, now time.Time) (out Actions) {
	r, ok := p.running[id]
	if !ok {
		return out
	}
	p.release(r)
	if ending == Complete {
		p.serviceTime = smooth(p.serviceTime, usage.total)
		r.upstream.observe(usage)
		p.outputLengths(r.req.workspace).observe(usage.tokens)
	}
	p.tiers[r.req.tier].addServed(r.req.workspace, p.correction(r.req, ending, usage))
	p.fill(now, &out)
	return out
}

// correction returns the difference in tokens between what a workspace was
// charged for a request and what the request used.
func (p *Pool) correction(r Request, ending Ending, usage Usage) float64 {
	if ending == NotRun || ending == ConnectFailed {
		return -r.cost()
	}
	return float64(usage.tokens - r.output)
}

// release frees the slot of a granted request.
func (p *Pool) release(r *running) {
	delete(p.running, r.req.id)
	delete(r.upstream.running, r.req.id)
	if r.req.suspect {
		r.upstream.suspects--
	}
}

// DropEntry removes the waiting requests of an entry host that is unreachable.
// Its granted requests on upstreams with load reports are abandoned immediately; on
// other upstreams they keep their slots until after their deadline.
func (p *Pool) DropEntry(entry scheduler.HostID, now time.Time) (out Actions) {
	for id, w := range p.queued {
		if id.Entry() == entry {
			p.dequeue(w)
		}
	}
	for id, r := range p.running {
		if id.Entry() == entry && p.publishesReports(r.upstream.id) {
			p.abandon(r)
		}
	}
	p.fill(now, &out)
	return out
}

// Stop refuses all waiting requests and all that arrive later.
func (p *Pool) Stop(now time.Time) (out Actions) {
	p.stopping = true
	p.refuseAll(Stopping, now, &out)
	return out
}

// RefuseAsNotOwner refuses all waiting requests because other hosts hold the slots.
func (p *Pool) RefuseAsNotOwner(now time.Time) (out Actions) {
	p.refuseAll(NotOwner, now, &out)
	return out
}

// refuseAll refuses all waiting requests, so that their entry hosts can try
// other owners.
func (p *Pool) refuseAll(reason Reason, now time.Time, out *Actions) {
	for _, q := range p.tiers {
		for w := q.oldest(); w != nil; w = q.oldest() {
			p.refuse(w, reason, now, out)
		}
	}
}

// Tick refuses requests that can no longer finish in time and reports
// overloaded tiers. Call it about 20 times a second.
func (p *Pool) Tick(now time.Time) (out Actions) {
	p.sweep(now)
	if !p.open() {
		p.refuseAll(NoUpstream, now, &out)
		return out
	}
	p.expire(now, &out)
	p.fill(now, &out)
	p.refuseShedTiers(now, &out)
	for t := range p.tiers {
		p.checkTier(scheduler.Tier(t), now, &out)
	}
	return out
}
