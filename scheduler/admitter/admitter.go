package admitter

import (
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/internal/pq"
)

const (
	// DefaultQueue bounds the asks that wait in one pool at one owner.
	DefaultQueue = 100_000
	// GrantLife is how long a grant may wait to be used.
	GrantLife = time.Second
	// pressLead is how long before an ask must be given up its tier counts as
	// under pressure; the lower tiers are shut all over the pool within it.
	pressLead = 500 * time.Millisecond
	// shedRetry is the least time after which a shed caller is asked back.
	shedRetry = time.Second
	// finishGrace is how long after its deadline the end of a granted
	// request may still be told; after that its entry is taken for dead.
	finishGrace = 2 * time.Second
	// sweepEvery is how often granted requests are looked through for such.
	sweepEvery = time.Second
)

// Pool is the part of a pool that this host owns. It is not safe for
// concurrent use.
type Pool struct {
	id        scheduler.PoolID
	gate      Gate
	capacity  int
	tiers     []*tierQueue
	queued    map[scheduler.RequestID]*waiting
	expiries  *pq.Queue[*waiting]
	running   map[scheduler.RequestID]*running
	upstreams map[scheduler.UpstreamID]*upstream
	order     []*upstream
	service   time.Duration
	lengths   map[scheduler.WorkspaceID]*lengths
	swept     time.Time
	reports   func(scheduler.UpstreamID) bool
	stopping  bool
}

// Option sets a detail of a Pool.
type Option func(*Pool)

// WithQueue bounds the asks that wait.
func WithQueue(n int) Option {
	return func(p *Pool) { p.capacity = n }
}

// WithReports sets what says which upstreams publish load reports; by default
// none does.
func WithReports(reports func(scheduler.UpstreamID) bool) Option {
	return func(p *Pool) { p.reports = reports }
}

// New returns a pool with a number of tiers and no upstreams.
func New(id scheduler.PoolID, tiers int, gate Gate, opts ...Option) *Pool {
	p := &Pool{
		id:        id,
		gate:      gate,
		capacity:  DefaultQueue,
		reports:   func(scheduler.UpstreamID) bool { return false },
		queued:    make(map[scheduler.RequestID]*waiting),
		running:   make(map[scheduler.RequestID]*running),
		upstreams: make(map[scheduler.UpstreamID]*upstream),
		lengths:   make(map[scheduler.WorkspaceID]*lengths),
		expiries: pq.New(func(a, b *waiting) bool {
			return a.ask.deadline.Before(b.ask.deadline)
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

// ID returns the pool's name.
func (p *Pool) ID() scheduler.PoolID { return p.id }

// Ask takes a request for a slot.
func (p *Pool) Ask(a Request, now time.Time) (o Orders) {
	a.arrived = now
	a.tier = p.clamp(a.tier)
	a.output, a.likely = p.length(a.workspace).expect(a.output)
	if reason := p.refusal(a, now); reason != Granted {
		o.refusals = append(o.refusals, Refusal{id: a.id, reason: reason, retryAfter: p.retryAfter(a.tier, now)})
		return o
	}
	w := &waiting{ask: a}
	p.tiers[a.tier].push(w)
	p.queued[a.id] = w
	w.expiry = p.expiries.Push(w)
	p.displace(a, now, &o)
	p.fill(now, &o)
	if _, still := p.queued[a.id]; still && p.late(a, now) {
		w.infeasible = true
		p.press(w, now, &o)
	}
	return o
}

// length returns the record of a workspace's output lengths.
func (p *Pool) length(id scheduler.WorkspaceID) *lengths {
	l, ok := p.lengths[id]
	if !ok {
		l = &lengths{}
		p.lengths[id] = l
	}
	return l
}

// clamp keeps a tier within the pool's tiers.
func (p *Pool) clamp(t scheduler.Tier) scheduler.Tier {
	return min(max(t, 0), scheduler.Tier(len(p.tiers)-1))
}

// refusal returns why an ask is refused on arrival, or Granted.
func (p *Pool) refusal(a Request, now time.Time) Reason {
	if p.stopping {
		return Stopping
	}
	if len(p.upstreams) == 0 {
		return NotOwner
	}
	if !p.open() {
		return NoUpstream
	}
	if _, shut := p.gate.Shut(a.tier, now); shut {
		return Shed
	}
	if p.tooSlow(a, now) {
		return Late
	}
	return Granted
}

// refuse ends a waiting ask.
func (p *Pool) refuse(w *waiting, reason Reason, now time.Time, o *Orders) {
	p.drop(w)
	o.refusals = append(o.refusals, Refusal{
		id:         w.ask.id,
		reason:     reason,
		retryAfter: p.retryAfter(w.ask.tier, now),
	})
}

// drop takes an ask out of the queue.
func (p *Pool) drop(w *waiting) {
	p.tiers[w.ask.tier].remove(w)
	p.expiries.Remove(w.expiry)
	delete(p.queued, w.ask.id)
}

// Withdraw takes back an ask whose caller went away. It reports whether the
// ask was still waiting.
func (p *Pool) Withdraw(id scheduler.RequestID) bool {
	w, ok := p.queued[id]
	if ok {
		p.drop(w)
	}
	return ok
}

// fill grants free slots to waiting asks, highest tier first.
func (p *Pool) fill(now time.Time, o *Orders) {
	for t := range p.tiers {
		if !p.fillTier(scheduler.Tier(t), now, o) {
			return
		}
	}
}

// fillTier grants slots to one tier. An ask that the free upstream would most
// likely not finish in time is given up when others wait behind it: waiting for
// a faster one would leave the slot idle, and its prefill would be wasted. With
// nobody behind, the slot would be idle anyway, and the ask may be lucky. It
// reports whether the tier
// has nothing left that waits for a slot.
func (p *Pool) fillTier(tier scheduler.Tier, now time.Time, o *Orders) bool {
	q := p.tiers[tier]
	for w := q.next(); w != nil; w = q.next() {
		if !now.Before(w.ask.deadline) || p.tooSlow(w.ask, now) {
			p.refuse(w, Late, now, o)
			continue
		}
		u := p.pick(w.ask, now)
		if u == nil {
			return false
		}
		if q.length() > 1 && !u.inTime(w.ask, w.ask.likely, now) {
			p.refuse(w, Late, now, o)
			continue
		}
		p.grant(w, u, now, o)
	}
	return true
}

// pick returns the upstream for an ask, or nil when none has a slot. One that
// would finish all but the longest such asks in time goes first.
func (p *Pool) pick(a Request, now time.Time) *upstream {
	var best *upstream
	for _, u := range p.order {
		if !u.takes(a, now) {
			continue
		}
		if best == nil || u.better(best, a, now) {
			best = u
		}
	}
	return best
}

// grant gives a waiting ask a slot.
func (p *Pool) grant(w *waiting, u *upstream, now time.Time, o *Orders) {
	p.drop(w)
	r := &running{ask: w.ask, upstream: u, granted: now}
	p.running[w.ask.id] = r
	u.running[w.ask.id] = r
	if w.ask.suspect {
		u.suspects++
	}
	u.remember(w.ask.prefix)
	p.tiers[w.ask.tier].charge(w.ask.workspace, w.ask.cost())
	until := now.Add(GrantLife)
	if u.until.Before(until) {
		until = u.until
	}
	o.grants = append(o.grants, Grant{id: w.ask.id, upstream: u.id, until: until})
}

// Finish takes the end of a granted request, and gives its slot away.
func (p *Pool) Finish(id scheduler.RequestID, ending Ending, g Usage, now time.Time) (o Orders) {
	r, ok := p.running[id]
	if !ok {
		return o
	}
	p.release(r)
	if ending == Complete {
		p.service = smooth(p.service, g.total)
		r.upstream.learn(g)
		p.length(r.ask.workspace).observe(g.tokens)
	}
	p.tiers[r.ask.tier].charge(r.ask.workspace, p.correction(r.ask, ending, g))
	p.fill(now, &o)
	return o
}

// correction returns the difference between what a request was charged and
// what it took.
func (p *Pool) correction(a Request, ending Ending, g Usage) float64 {
	if ending == NotRun || ending == ConnectFailed {
		return -a.cost()
	}
	return float64(g.tokens - a.output)
}

// release frees the slot of a granted request.
func (p *Pool) release(r *running) {
	delete(p.running, r.ask.id)
	delete(r.upstream.running, r.ask.id)
	if r.ask.suspect {
		r.upstream.suspects--
	}
}

// Orphan withdraws the waiting asks of an entry that can't be heard and gives
// up its granted requests; where no load reports tell, only after their
// deadline.
func (p *Pool) Orphan(entry scheduler.HostID, now time.Time) (o Orders) {
	for id, w := range p.queued {
		if id.Entry() == entry {
			p.drop(w)
		}
	}
	for id, r := range p.running {
		if id.Entry() == entry && p.reports(r.upstream.id) {
			p.disown(r)
		}
	}
	p.fill(now, &o)
	return o
}

// Stop refuses everything that waits and all that comes.
func (p *Pool) Stop(now time.Time) (o Orders) {
	p.stopping = true
	p.refuseAll(Stopping, now, &o)
	return o
}

// Yield ends all waiting asks because other hosts have the slots.
func (p *Pool) Yield(now time.Time) (o Orders) {
	p.refuseAll(NotOwner, now, &o)
	return o
}

// refuseAll ends all waiting asks, so that their entries can ask elsewhere.
func (p *Pool) refuseAll(reason Reason, now time.Time, o *Orders) {
	for _, q := range p.tiers {
		for w := q.oldest(); w != nil; w = q.oldest() {
			p.refuse(w, reason, now, o)
		}
	}
}

// Tick ends asks whose time has come and looks for tiers under pressure. It
// is to be called some ten times a second.
func (p *Pool) Tick(now time.Time) (o Orders) {
	p.sweep(now)
	if !p.open() {
		p.refuseAll(NoUpstream, now, &o)
		return o
	}
	p.expire(now, &o)
	p.fill(now, &o)
	p.shutTiers(now, &o)
	for t := range p.tiers {
		p.pressTier(scheduler.Tier(t), now, &o)
	}
	return o
}
