package coordinator

import (
	"maps"
	"math"
	"slices"
	"time"

	"foxtaillug.org/scheduler/balancer"
	"foxtaillug.org/scheduler/limiter"
)

const (
	// linkBurst is the time whose budget of the link between regions may be used at
	// once: a sixth of it holds the largest request, of 160 KB, in a region of three
	// coordinators or less.
	linkBurst = 500 * time.Millisecond
	// decisionDelay is the time that a redirect takes at the hosts on its way, in
	// addition to the network.
	decisionDelay = 5 * time.Millisecond
	// maxWorkSamples is the number of requests over which their work is averaged.
	maxWorkSamples = 64
)

// overflow is what a coordinator knows for redirecting requests by forecast.
type overflow struct {
	// link admits the bytes that redirected requests send to other regions; it is nil
	// before the first.
	link *limiter.Bucket
	// round is the number of the last summary.
	round uint64
}

// poolOverflow is the part of it that concerns one pool.
type poolOverflow struct {
	// arriving is the work that arrives, in seconds per second, by rank, and meanWork the
	// mean work of the requests, in seconds.
	arriving [maxRank + 1]rate
	meanWork float64
	arrived  int
	// first learns the time to the first event.
	first balancer.Speed
	// sweepAt is the time of the sweep for which home and backlog were computed, ahead the
	// work of the requests that the sweep has left in the queue, by rank.
	sweepAt time.Time
	home    balancer.Room
	backlog balancer.Backlog
	ahead   [maxRank + 1]float64
	// peers are the other failure domains as of the sweep at peersAt, or as of the last
	// summary if that came later.
	peers   []balancer.Peer
	peersAt time.Time
	// sent holds the redirected requests that no summary contains yet, by domain, and
	// total counts all redirected requests.
	sent  map[string][]sentRequest
	total int
}

// sentRequest is a redirected request.
type sentRequest struct {
	at   time.Time
	work time.Duration
}

// recordArrivingWork counts the work of a new admission request.
func (c *Coordinator) recordArrivingWork(p *pool, w *waiter, now time.Time) {
	if !c.features.Overflow {
		return
	}
	_, total := balancer.Work(w.Prompt, w.Output)
	o := &p.overflow
	o.arrived = min(o.arrived+1, maxWorkSamples)
	o.meanWork += (total.Seconds() - o.meanWork) / float64(o.arrived)
	o.addArriving(w.admittedAs, total.Seconds(), now)
}

// addArriving adds work, which is negative if it goes elsewhere, to the work that arrives.
func (o *poolOverflow) addArriving(r rank, work float64, now time.Time) {
	a := &o.arriving[r]
	a.level, a.at = max(0, a.value(now)+work/rateWindow.Seconds()), now
}

// learnFirst learns the speed of an upstream from the time to the first event of a request.
func (c *Coordinator) learnFirst(g *grant, took time.Duration, now time.Time) {
	if !c.features.Overflow || g.req.Prompt == 0 && g.req.Output == 0 {
		return
	}
	first, _ := balancer.Work(g.req.Prompt, g.req.Output)
	g.upstream.capacity.Observe(first, took, now)
	c.pool(g.upstream.Pool, now).overflow.first.Observe(first, took, now)
}

// learnEnd learns the speed of an upstream from the end of a request, whose first event was
// reported before if started is set.
func (c *Coordinator) learnEnd(g *grant, f Finish, started bool, now time.Time) {
	if !c.features.Overflow || f.Ending != Complete {
		return
	}
	if g.req.Prompt == 0 && g.req.Output == 0 {
		_, call := balancer.Work(0, 0)
		g.upstream.capacity.Observe(call, f.Total, now)
		return
	}
	if !started {
		c.learnFirst(g, f.FirstToken, now)
	}
	first, total := balancer.Work(g.req.Prompt, f.Tokens)
	g.upstream.capacity.Observe(total-first, f.Generating, now)
}

// workRate returns the work that the upstream does per second with all slots in use, and
// the standard deviation of it. A failing upstream does only the fraction that succeeds, a
// cold one no more than its rate of requests lets it.
func (p *pool) workRate(u *upstream, now time.Time) (rate, spread float64) {
	slots := u.usableSlots(p.forecaster.meanHold) * p.openShare(u) * u.speed.SuccessRate()
	rate, spread = slots*u.capacity.Mean(), slots*u.capacity.Spread()
	if u.cold != nil && u.isCold(now) {
		rate = min(rate, u.cold.Rate()*p.overflow.meanWork)
	}
	return rate, spread
}

// roomOf returns the room of a pool and the work ahead in its queue.
func (c *Coordinator) roomOf(p *pool, now time.Time) (room balancer.Room, b balancer.Backlog) {
	variance := 0.0
	for _, u := range p.members {
		if !u.eligible(now) {
			continue
		}
		rate, spread := p.workRate(u, now)
		if u.canAccept(now) {
			free := u.freeSlots(now)
			if u.cold != nil && u.isCold(now) {
				free = min(free, int(u.cold.Level(now)))
			}
			room.Free += free
		}
		room.Rate += rate
		variance += spread * spread
	}
	room.Spread = math.Sqrt(variance)
	room.Free = max(0, room.Free-len(p.waiting))
	room.FirstToken = 1 / p.overflow.first.Mean()
	b = p.backlogOf(now)
	tiers := make([]float64, maxRank/(2*priorityLevels)+1)
	for r := range b.InTime {
		tiers[r/(2*priorityLevels)] += b.InTime[r] + b.Late[r]
	}
	for _, work := range tiers {
		room.Queued = append(room.Queued, int(work*1000))
	}
	if room.Free == 0 {
		room.Waits = b.Waits(room.Rate)
	}
	return room, b
}

// runningWork returns what is left of the work of a pool's running requests, in
// milliseconds.
func (p *pool) runningWork(now time.Time) (ms int) {
	for _, u := range p.members {
		for _, g := range u.running {
			_, total := balancer.Work(g.req.Prompt, g.req.Output)
			done := time.Duration(u.capacity.Mean() * float64(now.Sub(g.at)))
			ms += int(max(0, total-done) / time.Millisecond)
		}
	}
	return ms
}

// backlogOf returns the work in a pool's queue.
func (p *pool) backlogOf(now time.Time) balancer.Backlog {
	b := balancer.Backlog{
		InTime: make([]float64, maxRank+1), Late: make([]float64, maxRank+1), Arriving: make([]float64, maxRank+1),
		Mean: p.overflow.meanWork,
	}
	for r := range p.overflow.arriving {
		b.Arriving[r] = p.overflow.arriving[r].value(now)
	}
	for _, w := range p.waiting {
		_, total := balancer.Work(w.Prompt, w.Output)
		if now.After(w.sendBy) {
			b.Late[w.rank()] += total.Seconds()
			continue
		}
		b.InTime[w.rank()] += total.Seconds()
	}
	return b
}

// rooms returns the rooms for a summary; it is nil if the feature is off.
func (c *Coordinator) rooms(now time.Time) map[string]balancer.Room {
	if !c.features.Overflow {
		return nil
	}
	c.overflow.round++
	rooms := make(map[string]balancer.Room)
	for name, p := range c.pools {
		// The rate is 0 where all upstreams are cold and no request has come yet. Without a
		// room the others would take the coordinator for one of an earlier build and go by
		// its free slots, most of which cold upstreams may not use yet.
		if !slices.ContainsFunc(p.members, func(u *upstream) bool { return u.eligible(now) }) {
			continue
		}
		room, _ := c.roomOf(p, now)
		room.Round, room.Running = c.overflow.round, p.runningWork(now)
		rooms[name] = room
	}
	return rooms
}

// forgetSent forgets the redirected requests that a summary of their domain contains.
func (c *Coordinator) forgetSent(domain string, now time.Time) {
	if !c.features.Overflow {
		return
	}
	way := balancer.NearWay
	if c.isFar(domain) {
		way = balancer.FarWay
	}
	// The summary has travelled one way and a request may have needed one, too.
	newest := now.Add(-2*way - decisionDelay)
	for _, p := range c.pools {
		p.overflow.peersAt = time.Time{}
		if p.overflow.sent == nil {
			continue
		}
		p.overflow.sent[domain] = slices.DeleteFunc(p.overflow.sent[domain], func(s sentRequest) bool { return s.at.Before(newest) })
	}
}

// isFar reports whether a failure domain is in another region.
func (c *Coordinator) isFar(domain string) bool {
	return c.fleet.Regions[domain] != c.fleet.Regions[c.fleet.Domain]
}

// overflowTarget is redirectTarget by forecast, for requests that are not bound to a
// version.
func (c *Coordinator) overflowTarget(p *pool, w *waiter, now time.Time) (domain string) {
	o := &p.overflow
	if !o.sweepAt.Equal(p.lastSweep) || o.backlog.InTime == nil {
		o.sweepAt = p.lastSweep
		o.home, o.backlog = c.roomOf(p, now)
		clear(o.ahead[:])
	}
	first, work := balancer.Work(w.Prompt, w.Output)
	r := w.rank()
	left := w.queuedAt.Add(w.Objective - w.Age).Sub(now)
	h := balancer.Home{Unable: !c.canServe(p, w.entry, w.Request, now), Wait: o.backlog.Wait(int(r), o.ahead[r], o.home.Rate)}
	h.InTime = !now.After(w.sendBy) && h.Wait+time.Duration(o.home.FirstToken*float64(first)) <= left
	x := balancer.Request{Rank: int(r), Left: left, FirstToken: first, Work: work, Bytes: balancer.Bytes(w.Prompt, w.Output)}
	peers := c.candidates(p, w.Request, now)
	domain, ok := balancer.Choose(x, h, peers, c.linkBudget(now))
	if !ok {
		if !now.After(w.sendBy) {
			o.ahead[r] += work.Seconds()
		}
		return ""
	}
	best := c.peers[domain]
	best.countRedirect(target{pool: p.Name})
	c.recordSent(p, domain, w, now)
	return domain
}

// recordSent counts a request that is redirected to another failure domain.
func (c *Coordinator) recordSent(p *pool, domain string, w *waiter, now time.Time) {
	if !c.features.Overflow {
		return
	}
	o := &p.overflow
	_, work := balancer.Work(w.Prompt, w.Output)
	if c.isFar(domain) {
		c.setLinkRate(now)
		link := c.overflow.link
		link.Spend(balancer.Bytes(w.Prompt, w.Output), now)
		// An evacuated domain spends more than the budget. Its debt is bounded, so that
		// the link is used again within a second of the end of the evacuation.
		link.Add(max(0, -link.Level(now)-link.Rate()*linkBurst.Seconds()))
	}
	if o.sent == nil {
		o.sent = make(map[string][]sentRequest)
	}
	o.sent[domain] = append(o.sent[domain], sentRequest{now, work})
	o.total++
	for i := range o.peers {
		if o.peers[i].Domain == domain {
			o.peers[i].Sent++
			o.peers[i].SentWork += work
		}
	}
	o.addArriving(w.admittedAs, -work.Seconds(), now)
}

// candidates returns the failure domains that may serve a request.
func (c *Coordinator) candidates(p *pool, r Request, now time.Time) []balancer.Peer {
	o := &p.overflow
	if !o.peersAt.Equal(p.lastSweep) {
		c.setLinkRate(now)
		o.peersAt, o.peers = p.lastSweep, c.peersOf(p, now)
	}
	if len(r.Regions) == 0 {
		return o.peers
	}
	return slices.DeleteFunc(slices.Clone(o.peers), func(x balancer.Peer) bool { return !c.mayGrant(p, x.Domain, r, now) })
}

// peersOf returns the failure domains whose coordinators have upstreams of a pool and have
// sent a summary recently, in order.
func (c *Coordinator) peersOf(p *pool, now time.Time) (peers []balancer.Peer) {
	senders := c.senders(p, now)
	for _, d := range slices.Sorted(maps.Keys(c.peers)) {
		other := c.peers[d]
		free, serves := other.summary.Free[p.Name]
		if d == c.fleet.Domain || now.Sub(other.at) > summaryTTL || !serves {
			continue
		}
		x := balancer.Peer{Domain: d, Far: c.isFar(d), Age: now.Sub(other.at)}
		if x.Room, x.Known = other.summary.Rooms[p.Name]; !x.Known {
			x.Room.Free = free
		}
		for _, s := range p.overflow.sent[d] {
			x.Sent++
			x.SentWork += s.work
		}
		for _, s := range senders {
			if s == d {
				continue
			}
			x.Senders++
			if s < c.fleet.Domain {
				x.Sender++
			}
		}
		peers = append(peers, x)
	}
	return peers
}

// senders returns the failure domains whose coordinators have no free slots of a pool and
// may redirect requests, this one included, in order.
func (c *Coordinator) senders(p *pool, now time.Time) []string {
	senders := []string{c.fleet.Domain}
	for d, other := range c.peers {
		free, serves := other.summary.Free[p.Name]
		if d != c.fleet.Domain && now.Sub(other.at) <= summaryTTL && serves && free <= 0 {
			senders = append(senders, d)
		}
	}
	slices.Sort(senders)
	return senders
}

// linkBudget returns the bytes that may be sent to other regions now. A bucket that is full
// admits any request.
func (c *Coordinator) linkBudget(now time.Time) float64 {
	if c.overflow.link.Full(now) {
		return math.Inf(1)
	}
	return c.overflow.link.Level(now)
}

// setLinkRate sets this coordinator's part of the budget of the link between regions.
func (c *Coordinator) setLinkRate(now time.Time) {
	n := 1
	for d, other := range c.peers {
		if d != c.fleet.Domain && !c.isFar(d) && now.Sub(other.at) <= summaryTTL {
			n++
		}
	}
	rate := balancer.LinkRate * balancer.OverflowShare / float64(n)
	size := rate * linkBurst.Seconds()
	if c.overflow.link == nil {
		c.overflow.link = limiter.NewBucket(rate, size, size, now)
	}
	c.overflow.link.SetLimits(rate, size, now)
}

// addOverflowLoad adds the work rate and the redirected requests to the load of a pool.
func (c *Coordinator) addOverflowLoad(p *pool, l *Load, now time.Time) {
	l.OverflowSent = p.overflow.total
	for _, u := range p.members {
		if c.features.Overflow && u.eligible(now) {
			rate, _ := p.workRate(u, now)
			l.WorkRate += rate
		}
	}
}
