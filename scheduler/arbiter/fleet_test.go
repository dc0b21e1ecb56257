package arbiter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/arbiter"
	"foxtaillug.org/scheduler/drainer"
	"foxtaillug.org/scheduler/leaser"
	"foxtaillug.org/scheduler/quarantiner"
	"foxtaillug.org/scheduler/ramper"
	"foxtaillug.org/scheduler/versioner"
)

// The fleet runs N arbiters on one virtual clock, with delayed, lost and cut
// messages, paused and dead hosts, lagging host lists and upstreams that turn
// cold. It is a helper for tests and knows nothing of sockets.

const (
	lag       = 2 * time.Second
	loan      = time.Second
	tickEvery = 50 * time.Millisecond
	lookEvery = 250 * time.Millisecond
	reportAge = 200 * time.Millisecond
	maxDelay  = 20 * time.Millisecond
	patience  = 300 * time.Millisecond
	coldFor   = 5 * time.Second
	// gossipEvery is how soon a host that woke up hears of updates by itself.
	gossipEvery = 500 * time.Millisecond
	pool        = scheduler.PoolID("report")
	region      = scheduler.RegionID("r1")
	domain      = scheduler.DomainID("d1")
)

// happening is something that comes at a time.
type happening struct {
	at  time.Time
	seq int
	do  func()
}

// agenda is a heap of happenings.
type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any) {
	h, _ := x.(happening)
	*a = append(*a, h)
}

func (a *agenda) Pop() any {
	old := *a
	h := old[len(old)-1]
	*a = old[:len(old)-1]
	return h
}

// node is one host: its arbiter and its entry.
type node struct {
	host        scheduler.Host
	arbiter     *arbiter.Arbiter
	incarnation int
	dead        bool
	paused      time.Time
	side        int
	view        []scheduler.Host
	waiting     map[scheduler.RequestID]*job
	configs     *versioner.Versioner[drainer.Drains]
}

// job is one request of a caller.
type job struct {
	tier       scheduler.Tier
	length     time.Duration
	deadline   time.Time
	entry      *node
	digest     quarantiner.Digest
	asked      scheduler.HostID
	tries      int
	granted    time.Time
	dispatches int
	crashes    int
	outcome    string
}

// backend is a fake upstream.
type backend struct {
	id        scheduler.UpstreamID
	epoch     int
	cold      bool
	coldSince time.Time
	bears     int
	running   map[*job]bool
	history   []ramper.Report
	drained   time.Time
	leaving   time.Time
	most      int
}

// fleet is the whole test world.
type fleet struct {
	now        time.Time
	start      time.Time
	seq        int
	ids        uint64
	agenda     agenda
	rng        *rand.Rand
	nodes      []*node
	backends   []*backend
	specs      []arbiter.Upstream
	drains     drainer.Drains
	out        []scheduler.UpstreamID
	tiers      int
	full       int
	lossy      float64
	poison     quarantiner.Digest
	violations []string
	refusals   map[admitter.Reason]int
	completed  map[scheduler.Tier]int
	issued     map[scheduler.Tier]int
	coldWork   int
	longest    time.Duration
	onRefusal  func(n *node, j *job, reason admitter.Reason)
}

// newFleet returns a world of hosts and upstreams at rest.
func newFleet(seed uint64, hosts, backends, coldLimit, full int) *fleet {
	f := &fleet{
		now:       time.Unix(1_000_000, 0),
		rng:       rand.New(rand.NewPCG(seed, 7)),
		tiers:     3,
		longest:   1500 * time.Millisecond,
		full:      full,
		refusals:  make(map[admitter.Reason]int),
		completed: make(map[scheduler.Tier]int),
		issued:    make(map[scheduler.Tier]int),
	}
	f.start = f.now
	for i := range backends {
		id := scheduler.UpstreamID(fmt.Sprintf("u%d", i))
		f.backends = append(f.backends, &backend{id: id, cold: true, coldSince: f.now, bears: coldLimit, running: make(map[*job]bool)})
		f.specs = append(f.specs, arbiter.NewUpstream(id, pool, domain, region,
			arbiter.WithLimits(coldLimit, full), arbiter.WithWarmUp(time.Second), arbiter.WithLoadReports(true)))
	}
	for i := range hosts {
		h := scheduler.NewHost(scheduler.HostID(fmt.Sprintf("h%d", i)), domain, region)
		f.nodes = append(f.nodes, &node{host: h})
	}
	for _, n := range f.nodes {
		n.view = f.truth()
		f.boot(n)
	}
	f.every(lookEvery/5, f.noteLoads)
	return f
}

// truth returns the hosts that are alive.
func (f *fleet) truth() (hosts []scheduler.Host) {
	for _, n := range f.nodes {
		if !n.dead {
			hosts = append(hosts, n.host)
		}
	}
	return hosts
}

// at plans a happening.
func (f *fleet) at(t time.Time, do func()) {
	f.seq++
	heap.Push(&f.agenda, happening{at: t, seq: f.seq, do: do})
}

// after plans a happening.
func (f *fleet) after(d time.Duration, do func()) { f.at(f.now.Add(d), do) }

// every repeats something for ever.
func (f *fleet) every(d time.Duration, do func()) {
	f.after(d, func() {
		do()
		f.every(d, do)
	})
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.agenda) > 0 && !f.agenda[0].at.After(end) {
		h, _ := heap.Pop(&f.agenda).(happening)
		f.now = h.at
		h.do()
	}
	f.now = end
}

// violate notes a broken promise.
func (f *fleet) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%v: ", f.now.Sub(f.start))+fmt.Sprintf(format, args...))
}

// on runs something on a host, later if it is paused, never if it has died.
func (f *fleet) on(n *node, do func()) {
	incarnation := n.incarnation
	if n.dead {
		return
	}
	if f.now.Before(n.paused) {
		f.at(n.paused, func() {
			if n.incarnation == incarnation {
				f.on(n, do)
			}
		})
		return
	}
	do()
}

// delay returns how long a message takes.
func (f *fleet) delay() time.Duration {
	return time.Duration(f.rng.Int64N(int64(maxDelay)))
}

// send delivers a message between hosts unless it is lost or cut.
func (f *fleet) send(from, to *node, do func()) {
	incarnation := to.incarnation
	if f.rng.Float64() < f.lossy {
		return
	}
	f.after(f.delay(), func() {
		if from.side == to.side && to.incarnation == incarnation {
			f.on(to, do)
		}
	})
}

// node returns a host by name.
func (f *fleet) node(id scheduler.HostID) *node {
	for _, n := range f.nodes {
		if n.host.ID() == id {
			return n
		}
	}
	return nil
}

// boot starts a host's process.
func (f *fleet) boot(n *node) {
	n.incarnation++
	n.dead = false
	n.waiting = make(map[scheduler.RequestID]*job)
	n.configs = versioner.New[drainer.Drains]()
	n.arbiter = arbiter.New(n.host, f.now, arbiter.WithLeaserOptions(leaser.WithLag(lag), leaser.WithTTL(loan)))
	f.obey(n, n.arbiter.SetHosts(n.view, f.now))
	_ = n.configs.Apply(versioner.NewVersion(uint64(len(f.out)), "start"), f.drains)
	f.obey(n, n.arbiter.SetConfiguration(f.specs, f.tiers, f.drains, f.now))
	f.repeat(n, tickEvery, func() { f.obey(n, n.arbiter.Tick(f.now)) })
	f.repeat(n, lookEvery, func() { f.look(n) })
}

// repeat runs something on a host until it dies. What falls due during a pause
// runs once when the host wakes up, as a ticker does.
func (f *fleet) repeat(n *node, d time.Duration, do func()) {
	incarnation := n.incarnation
	f.after(d, func() {
		if n.dead || n.incarnation != incarnation {
			return
		}
		f.on(n, func() {
			do()
			f.repeat(n, d, do)
		})
	})
}

// kill ends a host's process; what it had on upstreams ends with it.
func (f *fleet) kill(n *node) {
	n.dead = true
	n.incarnation++
	for _, b := range f.backends {
		for j := range b.running {
			if j.entry == n {
				delete(b.running, j)
			}
		}
	}
	for _, m := range f.nodes {
		f.send(n, m, func() { f.obey(m, m.arbiter.DropEntry(n.host.ID(), f.now)) })
	}
	f.listsChange()
}

// listsChange lets every host see the newest list within the lag.
func (f *fleet) listsChange() {
	for _, n := range f.nodes {
		f.after(time.Duration(f.rng.Int64N(int64(lag))), func() {
			f.on(n, func() {
				n.view = f.truth()
				f.obey(n, n.arbiter.SetHosts(n.view, f.now))
			})
		})
	}
}

// look reads the load reports of a host's upstreams.
func (f *fleet) look(n *node) {
	for _, id := range n.arbiter.Replicas() {
		b := f.backend(id)
		f.after(f.delay(), func() {
			r, ok := b.report(f.now)
			if ok {
				f.after(f.delay(), func() {
					f.on(n, func() { f.obey(n, n.arbiter.RecordReport(id, r, b.left(r.TakenAt()), f.now)) })
				})
			}
		})
	}
}

// backend returns an upstream by name.
func (f *fleet) backend(id scheduler.UpstreamID) *backend {
	for _, b := range f.backends {
		if b.id == id {
			return b
		}
	}
	return nil
}

// noteLoads has every upstream remember its load.
func (f *fleet) noteLoads() {
	for _, b := range f.backends {
		b.history = append(b.history, ramper.NewReport(fmt.Sprint(b.epoch), b.cold, len(b.running), f.now))
		if len(b.history) > 100 {
			b.history = b.history[50:]
		}
	}
}

// left reports whether the upstream said at a time that it is leaving.
func (b *backend) left(at time.Time) bool {
	return !b.leaving.IsZero() && !at.Before(b.leaving)
}

// report returns the newest load that is old enough to be read.
func (b *backend) report(now time.Time) (r ramper.Report, ok bool) {
	for _, h := range b.history {
		if now.Sub(h.TakenAt()) >= reportAge {
			r, ok = h, true
		}
	}
	return r, ok
}

// obey carries out what a host's arbiter ordered.
func (f *fleet) obey(n *node, o arbiter.Actions) {
	for _, g := range o.Grants() {
		entry := f.node(g.ID().Entry())
		f.send(n, entry, func() { f.granted(entry, n, g) })
	}
	for _, r := range o.Refusals() {
		entry := f.node(r.ID().Entry())
		f.send(n, entry, func() { f.refused(entry, r) })
	}
	for _, l := range o.LeaseRequests() {
		f.borrow(n, l)
	}
	for _, s := range o.ShedRequests() {
		f.shut(n, s)
	}
	if o.NeedsConfirmation() {
		f.confirm(n)
	}
	if o.SuspectsChanged() {
		for _, e := range n.arbiter.SuspectsSince(f.now.Add(-time.Second), 100) {
			for _, m := range f.nodes {
				f.send(n, m, func() { m.arbiter.RecordSuspect(e.Digest(), e.Crashes(), e.Last()) })
			}
		}
	}
}

// confirm has a host that woke up ask for the newest configuration.
func (f *fleet) confirm(n *node) {
	f.after(f.delay(), func() {
		drains, version := f.drains, versioner.NewVersion(uint64(len(f.out)), "")
		f.after(f.delay(), func() {
			f.hear(n, drains, version)
			f.on(n, func() { f.obey(n, n.arbiter.ConfirmConfiguration(f.now)) })
		})
	})
}

// borrow carries a request for shares to its lender and the answer back.
func (f *fleet) borrow(n *node, l arbiter.LeaseRequest) {
	lender := f.node(l.To())
	asked := f.now
	f.send(n, lender, func() {
		for _, id := range l.Upstreams() {
			if l.Release() {
				lender.arbiter.ReturnLease(id, n.host.ID(), f.now)
				continue
			}
			shares, lent := lender.arbiter.Lease(id, n.host.ID(), f.now)
			if lent {
				f.send(lender, n, func() {
					f.obey(n, n.arbiter.RecordLease(id, lender.host.ID(), shares, asked, f.now))
				})
			}
		}
	})
}

// shut carries a request to refuse tiers to another owner and back.
func (f *fleet) shut(n *node, s arbiter.ShedRequest) {
	other := f.node(s.To())
	asked := f.now
	f.send(n, other, func() {
		f.obey(other, other.arbiter.Shed(s.Pool(), s.From(), s.Hold(), f.now))
		f.send(other, n, func() {
			f.obey(n, n.arbiter.RecordShed(s.Pool(), s.To(), s.From(), s.Hold(), asked, f.now))
		})
	})
}

// issue has a caller send a request to a host.
func (f *fleet) issue(n *node, tier scheduler.Tier, length, wait time.Duration, digest quarantiner.Digest) *job {
	j := &job{tier: tier, length: length, deadline: f.now.Add(wait), entry: n, digest: digest}
	f.issued[tier]++
	f.on(n, func() { f.ask(n, j, nil) })
	return j
}

// ask sends a job's ask to an owner that was not tried.
func (f *fleet) ask(n *node, j *job, tried []scheduler.HostID) {
	if j.outcome != "" || f.now.After(j.deadline) || j.tries > 4 {
		j.outcome = "notRun"
		return
	}
	to := f.choose(n, tried)
	if to == nil {
		j.outcome = "notRun"
		return
	}
	j.tries++
	f.ids++
	id := scheduler.NewRequestID(n.host.ID(), f.ids)
	n.waiting[id] = j
	j.asked = to.host.ID()
	ask := admitter.NewRequest(id, "w", j.tier, j.deadline, admitter.WithTokens(10, 10))
	f.send(n, to, func() { f.obey(to, to.arbiter.Admit(arbiter.NewRequest(pool, ask, j.digest), f.now)) })
	if to.side != n.side || to.dead {
		f.after(patience, func() {
			f.on(n, func() {
				if n.waiting[id] == j {
					delete(n.waiting, id)
					f.ask(n, j, append(tried, to.host.ID()))
				}
			})
		})
	}
}

// choose picks an owner of the pool as an entry sees it.
func (f *fleet) choose(n *node, tried []scheduler.HostID) *node {
	t := arbiter.RegionShardMap(n.view, region, len(f.specs))
	var owners []scheduler.HostID
	for _, u := range f.specs {
		for _, id := range t.Replicas(u.ID()) {
			if !slices.Contains(tried, id) {
				owners = append(owners, id)
				break
			}
		}
	}
	if len(owners) == 0 {
		return nil
	}
	return f.node(owners[f.rng.IntN(len(owners))])
}

// granted dispatches a job if its grant is still good.
func (f *fleet) granted(n, owner *node, g admitter.Grant) {
	j, ok := n.waiting[g.ID()]
	delete(n.waiting, g.ID())
	if !ok || !f.now.Before(g.Until()) {
		f.finish(n, owner, g.ID(), admitter.NotRun, 0)
		if ok {
			f.ask(n, j, nil)
		}
		return
	}
	j.dispatches++
	if j.dispatches > 1 {
		f.violate("a request was dispatched %d times", j.dispatches)
	}
	j.granted = f.now
	b := f.backend(g.Upstream())
	f.after(f.delay(), func() { f.arrive(b, j, n, owner, g.ID()) })
}

// arrive has an upstream take a job.
func (f *fleet) arrive(b *backend, j *job, n, owner *node, id scheduler.RequestID) {
	if n.dead {
		return
	}
	b.running[j] = true
	b.most = max(b.most, len(b.running))
	notice := b.coldSince.Add(2*reportAge + 3*lookEvery)
	if b.cold {
		f.coldWork++
	}
	if b.cold && len(b.running) > b.bears && (b.epoch == 0 || j.granted.After(notice)) {
		f.violate("cold %s runs %d, bears %d", b.id, len(b.running), b.bears)
	}
	if len(b.running) > f.full {
		f.violate("%s runs %d of %d", b.id, len(b.running), f.full)
	}
	if !b.drained.IsZero() && f.now.Sub(b.drained) > 3*time.Second {
		f.violate("%s got new work %v after it was taken out", b.id, f.now.Sub(b.drained))
	}
	epoch := b.epoch
	if f.poison != 0 && j.digest == f.poison {
		j.crashes++
		f.crash(b)
	}
	left := max(j.deadline.Sub(f.now), 0)
	if left < j.length {
		f.after(left, func() { f.cutOff(b, j, n, owner, id) })
	}
	f.after(j.length, func() {
		if b.epoch != epoch || !b.running[j] {
			return
		}
		delete(b.running, j)
		f.on(n, func() { f.finish(n, owner, id, admitter.Complete, j.length) })
		j.outcome = "complete"
		f.completed[j.tier]++
	})
	f.watchCrash(b, epoch, j, n, owner, id)
}

// cutOff ends a job at its deadline, as every entry does that is not paused.
func (f *fleet) cutOff(b *backend, j *job, n, owner *node, id scheduler.RequestID) {
	f.on(n, func() {
		if !b.running[j] {
			return
		}
		delete(b.running, j)
		j.outcome = "failed"
		f.finish(n, owner, id, admitter.Cancelled, 0)
	})
}

// watchCrash tells the owner when the upstream breaks off a job.
func (f *fleet) watchCrash(b *backend, epoch int, j *job, n, owner *node, id scheduler.RequestID) {
	f.after(tickEvery, func() {
		switch {
		case j.outcome != "" || n.dead:
		case b.epoch != epoch:
			j.outcome = "failed"
			f.on(n, func() { f.finish(n, owner, id, admitter.Crashed, 0) })
		default:
			f.watchCrash(b, epoch, j, n, owner, id)
		}
	})
}

// finish tells an owner how a request ended.
func (f *fleet) finish(n, owner *node, id scheduler.RequestID, ending admitter.Ending, total time.Duration) {
	f.send(n, owner, func() {
		f.obey(owner, owner.arbiter.Finish(id, ending, admitter.NewUsage(100, total/10, total), f.now))
	})
}

// refused ends a job, or has it ask another owner.
func (f *fleet) refused(n *node, r admitter.Refusal) {
	j, ok := n.waiting[r.ID()]
	if !ok {
		return
	}
	delete(n.waiting, r.ID())
	if r.Reason() == admitter.NotOwner || r.Reason() == admitter.Stopping {
		f.ask(n, j, []scheduler.HostID{j.asked})
		return
	}
	f.refusals[r.Reason()]++
	j.outcome = "refused " + r.Reason().String()
	if f.onRefusal != nil {
		f.onRefusal(n, j, r.Reason())
	}
}

// crash makes an upstream drop everything and start cold.
func (f *fleet) crash(b *backend) {
	b.epoch++
	b.cold = true
	b.coldSince = f.now
	clear(b.running)
	epoch := b.epoch
	f.after(coldFor, func() {
		if b.epoch == epoch {
			b.cold = false
		}
	})
}

// drain takes an upstream out at every host, each hearing of it within a
// second. News for a paused host is lost with its connections; it hears by
// gossip after it woke up.
func (f *fleet) drain(b *backend) {
	b.drained = f.now
	f.out = append(f.out, b.id)
	f.drains = drainer.NewDrains(nil, slices.Clone(f.out), nil)
	drains, version := f.drains, versioner.NewVersion(uint64(len(f.out)), "")
	for _, n := range f.nodes {
		f.after(time.Duration(f.rng.Int64N(int64(time.Second))), func() {
			if f.now.Before(n.paused) {
				f.at(n.paused.Add(gossipEvery), func() { f.hear(n, drains, version) })
				return
			}
			f.hear(n, drains, version)
		})
	}
}

// hear has a host apply a configuration unless it has a newer one.
func (f *fleet) hear(n *node, drains drainer.Drains, version versioner.Version) {
	f.on(n, func() {
		if n.configs.Apply(version, drains) == nil {
			f.obey(n, n.arbiter.SetConfiguration(f.specs, f.tiers, drains, f.now))
		}
	})
}
