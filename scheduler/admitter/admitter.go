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
	// pressShare is the part of an ask's time that may pass in the queue
	// before its tier counts as under pressure.
	pressShare = 4
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
func (p *Pool) Ask(a Ask, now time.Time) (o Orders) {
	a.arrived = now
	a.tier = p.clamp(a.tier)
	a.output = p.length(a.workspace).expect(a.output)
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
		w.hopeless = true
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
func (p *Pool) refusal(a Ask, now time.Time) Reason {
	if p.stopping {
		return Stopping
	}
	if len(p.upstreams) == 0 {
		return NotOwner
	}
	if !p.open() {
		return Closed
	}
	if _, shut := p.gate.Shut(a.tier, now); shut {
		return Shed
	}
	if p.tooSlow(a, now) {
		return Late
	}
	return Granted
}

// open reports whether any upstream takes new work.
func (p *Pool) open() bool {
	for _, u := range p.order {
		if !u.closed {
			return true
		}
	}
	return false
}

// tooSlow reports whether no upstream can finish the ask in time even if it
// started now.
func (p *Pool) tooSlow(a Ask, now time.Time) bool {
	left := a.deadline.Sub(now)
	for _, u := range p.order {
		if !u.closed && u.estimate(a) <= left {
			return false
		}
	}
	return true
}

// late reports whether an ask in the queue will not get its turn in time.
func (p *Pool) late(a Ask, now time.Time) bool {
	if len(p.queued) > p.capacity {
		return true
	}
	return now.Add(p.wait(a.tier) + p.service).After(a.deadline)
}

// wait returns how long an ask that arrives now in a tier has to wait.
func (p *Pool) wait(tier scheduler.Tier) time.Duration {
	ahead := 0
	for t := scheduler.Tier(0); t <= tier; t++ {
		ahead += p.tiers[t].length()
	}
	slots := 0
	for _, u := range p.order {
		if !u.closed {
			slots += u.slots
		}
	}
	if slots == 0 {
		return 0
	}
	return time.Duration(ahead) * p.service / time.Duration(slots)
}

// displace makes room in a full queue by refusing the newest ask of the
// lowest tier below the new one.
func (p *Pool) displace(a Ask, now time.Time, o *Orders) {
	if len(p.queued) <= p.capacity {
		return
	}
	for t := scheduler.Tier(len(p.tiers) - 1); t > a.tier; t-- {
		if w := p.tiers[t].newest(); w != nil {
			p.gate.Press(t, now)
			p.refuse(w, Shed, now, o)
			return
		}
	}
}

// press notes pressure at a waiting ask's tier, and refuses the ask if it is
// hopeless and the lower tiers are known to be shut.
func (p *Pool) press(w *waiting, now time.Time, o *Orders) {
	p.gate.Press(w.ask.tier, now)
	if !w.hopeless || p.lowerWaits(w.ask.tier) || !p.gate.Permits(w.ask.tier, now) {
		return
	}
	p.refuse(w, Shed, now, o)
}

// lowerWaits reports whether an ask of a lower tier is in the queue.
func (p *Pool) lowerWaits(tier scheduler.Tier) bool {
	for t := int(tier) + 1; t < len(p.tiers); t++ {
		if p.tiers[t].length() > 0 {
			return true
		}
	}
	return false
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

// retryAfter returns when a caller of a tier should come back.
func (p *Pool) retryAfter(tier scheduler.Tier, now time.Time) time.Duration {
	left, _ := p.gate.Shut(tier, now)
	return max(shedRetry, left, p.wait(tier))
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

// fillTier grants slots to one tier. It reports whether the tier has nothing
// left that waits for a slot.
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
		p.grant(w, u, now, o)
	}
	return true
}

// pick returns the upstream for an ask, or nil when none has a slot.
func (p *Pool) pick(a Ask, now time.Time) *upstream {
	var best *upstream
	for _, u := range p.order {
		if !u.takes(a, now) {
			continue
		}
		if best == nil || u.better(best, a) {
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
func (p *Pool) correction(a Ask, ending Ending, g Usage) float64 {
	if ending == NotRun || ending == Unreached {
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

// SetSlots sets how many requests an upstream may have, and until when that
// is sure. A new upstream joins the pool.
func (p *Pool) SetSlots(id scheduler.UpstreamID, slots int, until, now time.Time) (o Orders) {
	u := p.upstream(id)
	u.slots, u.until = slots, until
	p.fill(now, &o)
	return o
}

// upstream returns an upstream of the pool, adding it at first use.
func (p *Pool) upstream(id scheduler.UpstreamID) *upstream {
	u, ok := p.upstreams[id]
	if !ok {
		u = newUpstream(id)
		p.upstreams[id] = u
		p.order = append(p.order, u)
	}
	return u
}

// SetClosed says whether an upstream takes new work.
func (p *Pool) SetClosed(id scheduler.UpstreamID, closed bool) {
	p.upstream(id).closed = closed
}

// SetForeign sets how many requests of other hosts an upstream has.
func (p *Pool) SetForeign(id scheduler.UpstreamID, n int) {
	p.upstream(id).foreign = n
}

// Foreign returns how many requests of other hosts an upstream has.
func (p *Pool) Foreign(id scheduler.UpstreamID) int {
	return p.upstream(id).foreign
}

// Restarted forgets what an upstream's cache held.
func (p *Pool) Restarted(id scheduler.UpstreamID) {
	p.upstream(id).forgetPrefixes()
}

// Remove takes an upstream out of the pool; what runs there runs on.
func (p *Pool) Remove(id scheduler.UpstreamID) {
	delete(p.upstreams, id)
	for i, u := range p.order {
		if u.id == id {
			p.order = append(p.order[:i:i], p.order[i+1:]...)
			return
		}
	}
}

// Stop refuses everything that waits and all that comes.
func (p *Pool) Stop(now time.Time) (o Orders) {
	p.stopping = true
	for _, q := range p.tiers {
		for w := q.oldest(); w != nil; w = q.oldest() {
			p.refuse(w, Stopping, now, &o)
		}
	}
	return o
}

// Tick ends asks whose time has come and looks for tiers under pressure. It
// is to be called some ten times a second.
func (p *Pool) Tick(now time.Time) (o Orders) {
	p.sweep(now)
	p.expire(now, &o)
	p.fill(now, &o)
	p.shutTiers(now, &o)
	for t := range p.tiers {
		p.pressTier(scheduler.Tier(t), now, &o)
	}
	return o
}

// disown gives up a granted request whose entry can't be heard. It may still
// run: where load reports tell, it counts as foreign work until they clear it.
func (p *Pool) disown(r *running) {
	p.release(r)
	if p.reports(r.upstream.id) {
		r.upstream.foreign++
	}
}

// sweep gives up requests that must have ended: their entry, unless it is
// paused, ends every request at its deadline.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for _, r := range p.running {
		if now.Sub(r.ask.deadline) > finishGrace {
			p.disown(r)
		}
	}
}

// expire refuses asks that can't be finished before their deadline any more.
func (p *Pool) expire(now time.Time, o *Orders) {
	for {
		w, ok := p.expiries.Peek()
		if !ok || (now.Before(w.ask.deadline) && !p.tooSlow(w.ask, now)) {
			return
		}
		p.gate.Press(w.ask.tier, now)
		p.refuse(w, Late, now, o)
	}
}

// shutTiers refuses what waits in tiers that were shut meanwhile.
func (p *Pool) shutTiers(now time.Time, o *Orders) {
	for t, q := range p.tiers {
		if _, shut := p.gate.Shut(scheduler.Tier(t), now); !shut {
			continue
		}
		for w := q.newest(); w != nil; w = q.newest() {
			p.refuse(w, Shed, now, o)
		}
	}
}

// pressTier looks at the oldest ask of a tier, and refuses from the newest
// end what will not get its turn.
func (p *Pool) pressTier(tier scheduler.Tier, now time.Time, o *Orders) {
	q := p.tiers[tier]
	if w := q.oldest(); w != nil && q.waited(now) > w.ask.deadline.Sub(w.ask.arrived)/pressShare {
		p.gate.Press(tier, now)
	}
	for w := q.newest(); w != nil && w.hopeless; w = q.newest() {
		w.hopeless = p.late(w.ask, now)
		before := q.length()
		p.press(w, now, o)
		if q.length() == before {
			return
		}
	}
}

// Running returns how many granted requests an upstream has, and how many of
// them were granted before a time.
func (p *Pool) Running(id scheduler.UpstreamID, before time.Time) (n, older int) {
	u, ok := p.upstreams[id]
	if !ok {
		return 0, 0
	}
	for _, r := range u.running {
		if r.granted.Before(before) {
			older++
		}
	}
	return len(u.running), older
}

// Granted returns when a running request was granted and to which upstream.
func (p *Pool) Granted(id scheduler.RequestID) (upstream scheduler.UpstreamID, at time.Time, ok bool) {
	r, ok := p.running[id]
	if !ok {
		return "", time.Time{}, false
	}
	return r.upstream.id, r.granted, true
}

// Summary returns the pool's slots, running and waiting requests.
func (p *Pool) Summary() (slots, running, queued int) {
	for _, u := range p.order {
		if !u.closed {
			slots += max(u.slots-u.foreign, 0)
		}
	}
	return slots, len(p.running), len(p.queued)
}

// Queued returns how many asks of a tier wait.
func (p *Pool) Queued(tier scheduler.Tier) int {
	return p.tiers[tier].length()
}
