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

// The fleet simulates several arbiters on one virtual clock, with delayed and
// lost messages, network partitions, suspended and failed hosts, delayed host
// lists, and upstreams that turn cold. It uses no network.

const (
	lag            = 2 * time.Second
	leaseTTL       = time.Second
	tickInterval   = 50 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	// reportAge is the time until a load is published.
	reportAge = 200 * time.Millisecond
	maxDelay  = 20 * time.Millisecond
	// admitTimeout is how long an entry host waits for an unreachable owner.
	admitTimeout = 300 * time.Millisecond
	// coldTime is how long an upstream stays cold after a crash.
	coldTime = 5 * time.Second
	// gossipInterval is the maximum time until a resumed host receives updates
	// by gossip.
	gossipInterval = 500 * time.Millisecond
	pool           = scheduler.PoolID("report")
	region         = scheduler.RegionID("r1")
	domain         = scheduler.DomainID("d1")
)

// event is a scheduled event.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// eventQueue is a heap of events ordered by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any) {
	e, _ := x.(event)
	*q = append(*q, e)
}

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// node is one host: its arbiter and its role as entry host. Messages reach only
// nodes of the same partition.
type node struct {
	host           scheduler.Host
	arbiter        *arbiter.Arbiter
	incarnation    int
	failed         bool
	suspendedUntil time.Time
	partition      int
	hosts          []scheduler.Host
	waiting        map[scheduler.RequestID]*job
	configs        *versioner.Versioner[drainer.Drains]
}

// job is one request of a caller.
type job struct {
	tier       scheduler.Tier
	duration   time.Duration
	deadline   time.Time
	entry      *node
	digest     quarantiner.Digest
	owner      scheduler.HostID
	attempts   int
	grantedAt  time.Time
	dispatches int
	crashes    int
	outcome    string
}

// upstream is a simulated upstream.
type upstream struct {
	id        scheduler.UpstreamID
	epoch     int
	cold      bool
	coldSince time.Time
	coldLimit int
	running   map[*job]bool
	history   []ramper.Report
	drained   time.Time
	leaving   time.Time
	peak      int
}

// fleet is the simulated system.
type fleet struct {
	now          time.Time
	start        time.Time
	seq          int
	lastID       uint64
	eventQueue   eventQueue
	rng          *rand.Rand
	nodes        []*node
	upstreams    []*upstream
	specs        []arbiter.Upstream
	drains       drainer.Drains
	drainedIDs   []scheduler.UpstreamID
	tiers        int
	limit        int
	lossRate     float64
	crashDigest  quarantiner.Digest
	violations   []string
	refusals     map[admitter.Reason]int
	completed    map[scheduler.Tier]int
	issued       map[scheduler.Tier]int
	coldArrivals int
	maxDuration  time.Duration
	onRefusal    func(n *node, j *job, reason admitter.Reason)
}

// newFleet returns a fleet of idle hosts and cold upstreams.
func newFleet(seed uint64, hosts, upstreams, coldLimit, limit int) *fleet {
	f := &fleet{
		now:         time.Unix(1_000_000, 0),
		rng:         rand.New(rand.NewPCG(seed, 7)),
		tiers:       3,
		maxDuration: 1500 * time.Millisecond,
		limit:       limit,
		refusals:    make(map[admitter.Reason]int),
		completed:   make(map[scheduler.Tier]int),
		issued:      make(map[scheduler.Tier]int),
	}
	f.start = f.now
	for i := range upstreams {
		id := scheduler.UpstreamID(fmt.Sprintf("u%d", i))
		f.upstreams = append(f.upstreams, &upstream{id: id, cold: true, coldSince: f.now, coldLimit: coldLimit, running: make(map[*job]bool)})
		f.specs = append(f.specs, arbiter.NewUpstream(id, pool, domain, region,
			arbiter.WithLimits(coldLimit, limit), arbiter.WithWarmUp(time.Second), arbiter.WithLoadReports(true)))
	}
	for i := range hosts {
		h := scheduler.NewHost(scheduler.HostID(fmt.Sprintf("h%d", i)), domain, region)
		f.nodes = append(f.nodes, &node{host: h})
	}
	for _, n := range f.nodes {
		n.hosts = f.aliveHosts()
		f.boot(n)
	}
	f.every(reportInterval/5, f.recordLoads)
	return f
}

// aliveHosts returns the hosts that are alive.
func (f *fleet) aliveHosts() (hosts []scheduler.Host) {
	for _, n := range f.nodes {
		if !n.failed {
			hosts = append(hosts, n.host)
		}
	}
	return hosts
}

// at schedules an event at a time.
func (f *fleet) at(t time.Time, do func()) {
	f.seq++
	heap.Push(&f.eventQueue, event{at: t, seq: f.seq, do: do})
}

// after schedules an event after a delay.
func (f *fleet) after(d time.Duration, do func()) { f.at(f.now.Add(d), do) }

// every repeats an event at a fixed interval.
func (f *fleet) every(d time.Duration, do func()) {
	f.after(d, func() {
		do()
		f.every(d, do)
	})
}

// run advances the clock by d and runs the events that fall due.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.eventQueue) > 0 && !f.eventQueue[0].at.After(end) {
		e, _ := heap.Pop(&f.eventQueue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// violation records a broken guarantee.
func (f *fleet) violation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%v: ", f.now.Sub(f.start))+fmt.Sprintf(format, args...))
}

// runOn runs do on a host: when it resumes if it is suspended, never if it has
// failed.
func (f *fleet) runOn(n *node, do func()) {
	incarnation := n.incarnation
	if n.failed {
		return
	}
	if f.now.Before(n.suspendedUntil) {
		f.at(n.suspendedUntil, func() {
			if n.incarnation == incarnation {
				f.runOn(n, do)
			}
		})
		return
	}
	do()
}

// delay returns a random network delay.
func (f *fleet) delay() time.Duration {
	return time.Duration(f.rng.Int64N(int64(maxDelay)))
}

// send delivers a message between hosts unless it is lost or the hosts are in
// different partitions.
func (f *fleet) send(from, to *node, do func()) {
	incarnation := to.incarnation
	if f.rng.Float64() < f.lossRate {
		return
	}
	f.after(f.delay(), func() {
		if from.partition == to.partition && to.incarnation == incarnation {
			f.runOn(to, do)
		}
	})
}

// node returns a host by ID.
func (f *fleet) node(id scheduler.HostID) *node {
	for _, n := range f.nodes {
		if n.host.ID() == id {
			return n
		}
	}
	return nil
}

// boot starts the process of a host.
func (f *fleet) boot(n *node) {
	n.incarnation++
	n.failed = false
	n.waiting = make(map[scheduler.RequestID]*job)
	n.configs = versioner.New[drainer.Drains]()
	n.arbiter = arbiter.New(n.host, f.now, arbiter.WithLeaserOptions(leaser.WithLag(lag), leaser.WithTTL(leaseTTL)))
	f.apply(n, n.arbiter.SetHosts(n.hosts, f.now))
	_ = n.configs.Apply(versioner.NewVersion(uint64(len(f.drainedIDs)), "start"), f.drains)
	f.apply(n, n.arbiter.SetConfiguration(f.specs, f.tiers, f.drains, f.now))
	f.repeat(n, tickInterval, func() { f.apply(n, n.arbiter.Tick(f.now)) })
	f.repeat(n, reportInterval, func() { f.readReports(n) })
}

// repeat runs do on a host at a fixed interval until its process ends. Runs
// that fall due while the host is suspended are combined into one when it
// resumes, as with time.Ticker.
func (f *fleet) repeat(n *node, d time.Duration, do func()) {
	incarnation := n.incarnation
	f.after(d, func() {
		if n.failed || n.incarnation != incarnation {
			return
		}
		f.runOn(n, func() {
			do()
			f.repeat(n, d, do)
		})
	})
}

// kill ends the process of a host; its requests on upstreams end with it.
func (f *fleet) kill(n *node) {
	n.failed = true
	n.incarnation++
	for _, u := range f.upstreams {
		for j := range u.running {
			if j.entry == n {
				delete(u.running, j)
			}
		}
	}
	for _, m := range f.nodes {
		f.send(n, m, func() { f.apply(m, m.arbiter.DropEntry(n.host.ID(), f.now)) })
	}
	f.propagateHostList()
}

// propagateHostList delivers the newest host list to every host within the lag.
func (f *fleet) propagateHostList() {
	for _, n := range f.nodes {
		f.after(time.Duration(f.rng.Int64N(int64(lag))), func() {
			f.runOn(n, func() {
				n.hosts = f.aliveHosts()
				f.apply(n, n.arbiter.SetHosts(n.hosts, f.now))
			})
		})
	}
}

// readReports reads the load reports of a host's upstreams.
func (f *fleet) readReports(n *node) {
	for _, id := range n.arbiter.Replicas() {
		u := f.upstream(id)
		f.after(f.delay(), func() {
			r, ok := u.report(f.now)
			if ok {
				f.after(f.delay(), func() {
					f.runOn(n, func() { f.apply(n, n.arbiter.RecordReport(id, r, u.wasLeaving(r.TakenAt()), f.now)) })
				})
			}
		})
	}
}

// upstream returns an upstream by ID.
func (f *fleet) upstream(id scheduler.UpstreamID) *upstream {
	for _, u := range f.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// recordLoads adds the current load of every upstream to its history.
func (f *fleet) recordLoads() {
	for _, u := range f.upstreams {
		u.history = append(u.history, ramper.NewReport(fmt.Sprint(u.epoch), u.cold, len(u.running), f.now))
		if len(u.history) > 100 {
			u.history = u.history[50:]
		}
	}
}

// wasLeaving reports whether the upstream reported at a time that it is
// leaving.
func (u *upstream) wasLeaving(at time.Time) bool {
	return !u.leaving.IsZero() && !at.Before(u.leaving)
}

// report returns the newest load that is old enough to have been published.
func (u *upstream) report(now time.Time) (r ramper.Report, ok bool) {
	for _, h := range u.history {
		if now.Sub(h.TakenAt()) >= reportAge {
			r, ok = h, true
		}
	}
	return r, ok
}

// apply carries out the actions of a host's arbiter.
func (f *fleet) apply(n *node, out arbiter.Actions) {
	for _, g := range out.Grants() {
		entry := f.node(g.ID().Entry())
		f.send(n, entry, func() { f.handleGrant(entry, n, g) })
	}
	for _, r := range out.Refusals() {
		entry := f.node(r.ID().Entry())
		f.send(n, entry, func() { f.handleRefusal(entry, r) })
	}
	for _, l := range out.LeaseRequests() {
		f.requestLeases(n, l)
	}
	for _, s := range out.ShedRequests() {
		f.requestShedding(n, s)
	}
	if out.NeedsConfirmation() {
		f.confirm(n)
	}
	if out.SuspectsChanged() {
		reports := n.arbiter.Suspects(100, f.now)
		for _, m := range f.nodes {
			f.send(n, m, func() { m.arbiter.RecordSuspects(reports, f.now) })
		}
	}
}

// confirm lets a resumed host query the newest configuration.
func (f *fleet) confirm(n *node) {
	f.after(f.delay(), func() {
		drains, version := f.drains, versioner.NewVersion(uint64(len(f.drainedIDs)), "")
		f.after(f.delay(), func() {
			f.applyConfig(n, drains, version)
			f.runOn(n, func() { f.apply(n, n.arbiter.ConfirmConfiguration(f.now)) })
		})
	})
}

// requestLeases delivers a lease request to its lessor and returns the reply.
func (f *fleet) requestLeases(n *node, l arbiter.LeaseRequest) {
	lessor := f.node(l.To())
	sent := f.now
	f.send(n, lessor, func() {
		for _, id := range l.Upstreams() {
			if l.Release() {
				lessor.arbiter.ReturnLease(id, n.host.ID(), f.now)
				continue
			}
			shares, leased, out := lessor.arbiter.Lease(id, n.host.ID(), f.now)
			f.apply(lessor, out)
			if leased {
				f.send(lessor, n, func() {
					f.apply(n, n.arbiter.RecordLease(id, lessor.host.ID(), shares, sent, f.now))
				})
			}
		}
	})
}

// requestShedding delivers a shed request to another owner and returns the
// reply.
func (f *fleet) requestShedding(n *node, s arbiter.ShedRequest) {
	other := f.node(s.To())
	sent := f.now
	f.send(n, other, func() {
		f.apply(other, other.arbiter.Shed(s.Pool(), s.From(), s.Hold(), f.now))
		f.send(other, n, func() {
			f.apply(n, n.arbiter.RecordShed(s.Pool(), s.To(), s.From(), s.Hold(), sent, f.now))
		})
	})
}

// issue sends a request of a caller to a host.
func (f *fleet) issue(n *node, tier scheduler.Tier, duration, wait time.Duration, digest quarantiner.Digest) *job {
	j := &job{tier: tier, duration: duration, deadline: f.now.Add(wait), entry: n, digest: digest}
	f.issued[tier]++
	f.runOn(n, func() { f.admit(n, j, nil) })
	return j
}

// admit sends an admission request for a job to an owner that was not tried
// yet.
func (f *fleet) admit(n *node, j *job, tried []scheduler.HostID) {
	if j.outcome != "" || f.now.After(j.deadline) || j.attempts > 4 {
		j.outcome = "notRun"
		return
	}
	to := f.chooseOwner(n, tried)
	if to == nil {
		j.outcome = "notRun"
		return
	}
	j.attempts++
	f.lastID++
	id := scheduler.NewRequestID(n.host.ID(), f.lastID)
	n.waiting[id] = j
	j.owner = to.host.ID()
	req := admitter.NewRequest(id, "w", j.tier, j.deadline, admitter.WithTokens(10, 10))
	f.send(n, to, func() { f.apply(to, to.arbiter.Admit(arbiter.NewRequest(pool, req, j.digest), f.now)) })
	if to.partition != n.partition || to.failed {
		f.after(admitTimeout, func() {
			f.runOn(n, func() {
				if n.waiting[id] == j {
					delete(n.waiting, id)
					f.admit(n, j, append(tried, to.host.ID()))
				}
			})
		})
	}
}

// chooseOwner returns a random owner of the pool according to the host list of
// an entry host.
func (f *fleet) chooseOwner(n *node, tried []scheduler.HostID) *node {
	m := arbiter.RegionShardMap(n.hosts, region, len(f.specs))
	var owners []scheduler.HostID
	for _, spec := range f.specs {
		for _, id := range m.Replicas(spec.ID()) {
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

// handleGrant dispatches a job if its grant is still valid.
func (f *fleet) handleGrant(n, owner *node, g admitter.Grant) {
	j, ok := n.waiting[g.ID()]
	delete(n.waiting, g.ID())
	if !ok || !f.now.Before(g.Expires()) {
		f.finish(n, owner, g.ID(), admitter.NotRun, 0)
		if ok {
			f.admit(n, j, nil)
		}
		return
	}
	j.dispatches++
	if j.dispatches > 1 {
		f.violation("request dispatched %d times", j.dispatches)
	}
	j.grantedAt = f.now
	u := f.upstream(g.Upstream())
	f.after(f.delay(), func() { f.arrive(u, j, n, owner, g.ID()) })
}

// arrive starts a job on an upstream.
func (f *fleet) arrive(u *upstream, j *job, n, owner *node, id scheduler.RequestID) {
	if n.failed {
		return
	}
	u.running[j] = true
	u.peak = max(u.peak, len(u.running))
	// By then the replicas have read a report that the upstream is cold.
	detected := u.coldSince.Add(2*reportAge + 3*reportInterval)
	if u.cold {
		f.coldArrivals++
	}
	if u.cold && len(u.running) > u.coldLimit && (u.epoch == 0 || j.grantedAt.After(detected)) {
		f.violation("cold upstream %s runs %d requests, limit %d", u.id, len(u.running), u.coldLimit)
	}
	if len(u.running) > f.limit {
		f.violation("upstream %s runs %d requests, limit %d", u.id, len(u.running), f.limit)
	}
	if !u.drained.IsZero() && f.now.Sub(u.drained) > 3*time.Second {
		f.violation("upstream %s received a request %v after it was drained", u.id, f.now.Sub(u.drained))
	}
	epoch := u.epoch
	if f.crashDigest != 0 && j.digest == f.crashDigest {
		j.crashes++
		f.crash(u)
	}
	remaining := max(j.deadline.Sub(f.now), 0)
	if remaining < j.duration {
		f.after(remaining, func() { f.cancelAtDeadline(u, j, n, owner, id) })
	}
	f.after(j.duration, func() {
		if u.epoch != epoch || !u.running[j] {
			return
		}
		delete(u.running, j)
		f.runOn(n, func() { f.finish(n, owner, id, admitter.Complete, j.duration) })
		j.outcome = "complete"
		f.completed[j.tier]++
	})
	f.watchCrash(u, epoch, j, n, owner, id)
}

// cancelAtDeadline ends a job at its deadline, as every entry host does that is
// not suspended.
func (f *fleet) cancelAtDeadline(u *upstream, j *job, n, owner *node, id scheduler.RequestID) {
	f.runOn(n, func() {
		if !u.running[j] {
			return
		}
		delete(u.running, j)
		j.outcome = "failed"
		f.finish(n, owner, id, admitter.Cancelled, 0)
	})
}

// watchCrash notifies the owner when a crash of the upstream ends a job.
func (f *fleet) watchCrash(u *upstream, epoch int, j *job, n, owner *node, id scheduler.RequestID) {
	f.after(tickInterval, func() {
		switch {
		case j.outcome != "" || n.failed:
		case u.epoch != epoch:
			j.outcome = "failed"
			f.runOn(n, func() { f.finish(n, owner, id, admitter.Crashed, 0) })
		default:
			f.watchCrash(u, epoch, j, n, owner, id)
		}
	})
}

// finish reports to an owner how a request ended.
func (f *fleet) finish(n, owner *node, id scheduler.RequestID, ending admitter.Ending, total time.Duration) {
	f.send(n, owner, func() {
		f.apply(owner, owner.arbiter.Finish(id, ending, admitter.NewUsage(100, total/10, total), f.now))
	})
}

// handleRefusal ends a job, or tries another owner.
func (f *fleet) handleRefusal(n *node, r admitter.Refusal) {
	j, ok := n.waiting[r.ID()]
	if !ok {
		return
	}
	delete(n.waiting, r.ID())
	if r.Reason() == admitter.NotOwner || r.Reason() == admitter.Stopping {
		f.admit(n, j, []scheduler.HostID{j.owner})
		return
	}
	f.refusals[r.Reason()]++
	j.outcome = "refused " + r.Reason().String()
	if f.onRefusal != nil {
		f.onRefusal(n, j, r.Reason())
	}
}

// crash makes an upstream drop all requests and restart cold.
func (f *fleet) crash(u *upstream) {
	u.epoch++
	u.cold = true
	u.coldSince = f.now
	clear(u.running)
	epoch := u.epoch
	f.after(coldTime, func() {
		if u.epoch == epoch {
			u.cold = false
		}
	})
}

// drain drains an upstream. Every host is notified within a second. A suspended
// host loses the notification with its connections and receives the change by
// gossip after it resumes.
func (f *fleet) drain(u *upstream) {
	u.drained = f.now
	f.drainedIDs = append(f.drainedIDs, u.id)
	f.drains = drainer.NewDrains(nil, slices.Clone(f.drainedIDs), nil)
	drains, version := f.drains, versioner.NewVersion(uint64(len(f.drainedIDs)), "")
	for _, n := range f.nodes {
		f.after(time.Duration(f.rng.Int64N(int64(time.Second))), func() {
			if f.now.Before(n.suspendedUntil) {
				f.at(n.suspendedUntil.Add(gossipInterval), func() { f.applyConfig(n, drains, version) })
				return
			}
			f.applyConfig(n, drains, version)
		})
	}
}

// applyConfig lets a host apply a configuration unless it has a newer one.
func (f *fleet) applyConfig(n *node, drains drainer.Drains, version versioner.Version) {
	f.runOn(n, func() {
		if n.configs.Apply(version, drains) == nil {
			f.apply(n, n.arbiter.SetConfiguration(f.specs, f.tiers, drains, f.now))
		}
	})
}
