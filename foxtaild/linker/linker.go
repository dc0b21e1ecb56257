package linker

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/detector"
)

const (
	// summaryTick is the time between two summaries to other coordinators.
	summaryTick = 150 * time.Millisecond
	// fetchTick is the time between two looks at what peers know.
	fetchTick = 200 * time.Millisecond
	// fetchTime bounds the fetch of a peer's snapshot.
	fetchTime = time.Second
	// storeStale is how long the store may be silent before peers are asked.
	storeStale = 2500 * time.Millisecond
	// unknownFleet is the size of fleet that a host assumes which has heard of
	// no other: the smallest that the operators run, twice over.
	unknownFleet = 12
	// quotaSlack widens a part of a quota within the allowed overshoot, so
	// that a few dead hosts cost nothing.
	quotaSlack = 1.15
	// aloneShare is the part of a host's limits that it uses while it decides
	// alone, beside what a coordinator may use.
	aloneShare = 0.25
)

// Settings say who a host is and how it reaches others.
type Settings struct {
	// Host names the host, Process this run of it.
	Host, Process  string
	Domain, Region string
	// Address is the IP and port for membership (UDP) and links (TCP).
	Address string
	// Contacts are addresses of some other hosts, which may be down.
	Contacts []string
	// Regions maps every failure domain to its region.
	Regions map[string]string
	// NewsBound is the time in which changes of the store must be in force.
	NewsBound time.Duration
	Bounds    coordinator.Bounds
}

// granted is a request that runs by a coordinator's grant.
type granted struct {
	coordinator.Running
	deadline time.Time
	// holders are the links whose coordinators count the request as running:
	// the one that granted it, and those that were told of it since. Each must
	// hear of its end.
	holders []*link
}

// view is what is derived from membership.
type view struct {
	// coordinators maps failure domains to the address of their coordinator.
	coordinators map[string]string
	// self reports whether this host is its domain's coordinator.
	self bool
	// readers are the addresses of the hosts that read the store for this
	// host's domain.
	readers []string
	members []detector.Member
	hosts   int
}

// reads reports whether the host at an address reads the store.
func (v *view) reads(address string) bool { return slices.Contains(v.readers, address) }

// Linker joins a host with its fleet. It is safe for concurrent use.
type Linker struct {
	settings  Settings
	directory *directory.Directory
	log       *slog.Logger
	desk      *desk
	detector  *detector.Detector
	packets   *net.UDPConn
	listener  net.Listener
	view      atomic.Pointer[view]
	seen      uint64
	// wasSettled reports whether the view was derived after settleTime.
	wasSettled bool
	seq        atomic.Uint64
	leaving    chan struct{}
	// ctx ends with Run; cancel ends it.
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time

	mu      sync.Mutex
	links   map[string]*link
	failed  map[string]time.Time
	running map[uint64]*granted
	local   map[uint64]chan coordinator.Decision
	// followers are the links that are told of changes.
	followers map[*follower]struct{}
}

// New opens the sockets of a host. Run must be called.
func New(s Settings, d *directory.Directory, log *slog.Logger) (l *Linker, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "links between hosts")
		}
	}()
	addr, err := net.ResolveUDPAddr("udp4", s.Address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	l = &Linker{
		settings:  s,
		directory: d,
		log:       log,
		desk:      newDesk(coordinator.New(s.Process, s.Bounds), d),
		detector: detector.New(detector.Member{
			ID: s.Host, Address: s.Address, Domain: s.Domain, Region: s.Region,
			Incarnation: uint64(now.UnixMilli()),
		}, s.Contacts, uint64(now.UnixNano())),
		leaving:   make(chan struct{}),
		links:     make(map[string]*link),
		failed:    make(map[string]time.Time),
		running:   make(map[uint64]*granted),
		local:     make(map[uint64]chan coordinator.Decision),
		followers: make(map[*follower]struct{}),
		started:   now,
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.desk.sinks[s.Host] = l.takeLocal
	l.view.Store(&view{readers: []string{s.Address}})
	if l.packets, err = net.ListenUDP("udp4", addr); err != nil {
		return nil, err
	}
	if l.listener, err = net.Listen("tcp4", s.Address); err != nil {
		_ = l.packets.Close()
		return nil, err
	}
	return l, nil
}

// Run serves until ctx ends.
func (l *Linker) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, l.cancel)
	defer stop()
	var wg sync.WaitGroup
	l.applyFleet(l.view.Load())
	wg.Go(func() { l.desk.run(ctx) })
	wg.Go(func() { l.gossip(ctx) })
	wg.Go(func() { l.serveLinks(ctx) })
	wg.Go(func() { l.sendSummaries(ctx) })
	wg.Go(func() { l.fetchSnapshots(ctx) })
	wg.Go(func() { l.feed(ctx) })
	wg.Go(func() { l.follow(ctx) })
	wg.Wait()
}

// Leave tells the fleet that this host takes no new duties. It may be called
// once.
func (l *Linker) Leave() { close(l.leaving) }

// Members returns the other hosts that are known.
func (l *Linker) Members() []detector.Member { return l.view.Load().members }

// viewFleet derives a new view when membership has changed.
func (l *Linker) viewFleet() {
	settled := l.settled(time.Now())
	if c := l.detector.Changes(); c == l.seen && settled == l.wasSettled {
		return
	}
	l.seen, l.wasSettled = l.detector.Changes(), settled
	old := l.view.Load()
	v := l.derive()
	l.view.Store(v)
	if old.self != v.self || old.hosts != v.hosts || !maps.Equal(old.coordinators, v.coordinators) {
		l.log.Info("view of the fleet", "hosts", v.hosts, "coordinator", v.self, "coordinators", v.coordinators)
	}
	l.applyFleet(v)
}

// derive works out the coordinators.
func (l *Linker) derive() *view {
	self := l.detector.Self()
	v := &view{coordinators: make(map[string]string), members: l.detector.Members()}
	oldest := make(map[string]detector.Member)
	for _, m := range append(slices.Clone(v.members), self) {
		v.hosts++
		if m.Status >= detector.Dead || m.Leaving {
			continue
		}
		if o, ok := oldest[m.Domain]; !ok || older(m, o) {
			oldest[m.Domain] = m
		}
	}
	for domain, m := range oldest {
		v.coordinators[domain] = m.Address
	}
	v.self = l.wasSettled && oldest[self.Domain].ID == self.ID
	v.readers = domainReaders(self.Domain, append(slices.Clone(v.members), self))
	return v
}

// settled reports whether this host has listened long enough to know whether
// it is its domain's first. Until then it coordinates nothing.
func (l *Linker) settled(now time.Time) bool {
	return len(l.settings.Contacts) == 0 || now.Sub(l.started) >= settleTime
}

// older reports whether a process has run longer than another.
func older(a, b detector.Member) bool {
	return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.ID, b.ID)) < 0
}

// scope returns the failure domains whose upstreams this host's domain
// coordinates: its own, and those without a live host that it is first to
// take over.
func (l *Linker) scope(v *view) []string {
	scope := []string{l.settings.Domain}
	for domain, region := range l.settings.Regions {
		if v.coordinators[domain] != "" || domain == l.settings.Domain {
			continue
		}
		heirs := make([]string, 0, len(v.coordinators))
		for d := range v.coordinators {
			heirs = append(heirs, d)
		}
		slices.SortFunc(heirs, func(a, b string) int {
			nearA, nearB := l.settings.Regions[a] == region, l.settings.Regions[b] == region
			if nearA != nearB {
				if nearA {
					return -1
				}
				return 1
			}
			return cmp.Compare(a, b)
		})
		if len(heirs) > 0 && heirs[0] == l.settings.Domain {
			scope = append(scope, domain)
		}
	}
	return scope
}

// fleetSize estimates how many hosts exist, and counts those that are heard
// and those of them in this host's failure domain. A failure domain of which
// no host was ever heard, as after a start behind a partition, counts as large
// as this host's own; a host that has heard nobody assumes a small fleet.
func fleetSize(s Settings, members []detector.Member) (hosts, heard, own int) {
	known := map[string]int{s.Domain: 1}
	heard, own = 1, 1
	for _, m := range members {
		known[m.Domain]++
		if m.Status >= detector.Dead {
			continue
		}
		heard++
		if m.Domain == s.Domain {
			own++
		}
	}
	if len(members) == 0 && len(s.Contacts) > 0 {
		known[s.Domain] = max(1, unknownFleet/max(len(s.Regions), 1))
	}
	for domain := range s.Regions {
		if known[domain] == 0 {
			known[domain] = known[s.Domain]
		}
	}
	for _, n := range known {
		hosts += n
	}
	return hosts, heard, own
}

// applyFleet tells the coordinator what the view means for it.
func (l *Linker) applyFleet(v *view) {
	hosts, heard, own := fleetSize(l.settings, v.members)
	f := coordinator.Fleet{
		Hosts: hosts, Domain: l.settings.Domain, Regions: l.settings.Regions,
		Alone: !v.self, Scope: l.scope(v),
	}
	if v.self {
		f.Share = float64(own) / float64(hosts)
		f.QuotaPart = min(1, quotaSlack*float64(heard)/float64(hosts))
	} else {
		f.Share = aloneShare / float64(hosts)
		f.QuotaPart = aloneShare / float64(hosts)
	}
	l.desk.do(l.ctx, func(now time.Time) { l.desk.coordinator.SetFleet(f, now) })
}

// takeLocal takes decisions of this host's own coordinator.
func (l *Linker) takeLocal(decisions []coordinator.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range decisions {
		if ch := l.local[d.ID]; ch != nil {
			ch <- d
			delete(l.local, d.ID)
		}
	}
}

// askLocal asks this host's own coordinator.
func (l *Linker) askLocal(ctx context.Context, a coordinator.Ask) (d coordinator.Decision, err error) {
	ch := make(chan coordinator.Decision, 1)
	l.mu.Lock()
	l.local[a.ID] = ch
	l.mu.Unlock()
	l.desk.take(ctx, l.settings.Host, &frame{Asks: []coordinator.Ask{a}})
	select {
	case d = <-ch:
		return d, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	delete(l.local, a.ID)
	l.mu.Unlock()
	l.desk.take(l.ctx, l.settings.Host, &frame{Withdrawn: []uint64{a.ID}, Finishes: []coordinator.Finish{{ID: a.ID, Ending: coordinator.Unused}}})
	return d, ctx.Err()
}

// link returns a live link to an address, dialling one if need be.
func (l *Linker) link(ctx context.Context, address string) (*link, error) {
	l.mu.Lock()
	k := l.links[address]
	if k != nil && k.live() {
		l.mu.Unlock()
		return k, nil
	}
	if time.Since(l.failed[address]) < linkRetry {
		l.mu.Unlock()
		return nil, errLink
	}
	l.mu.Unlock()
	k, err := dialLink(ctx, address, l.takeFeed, l.log)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed[address] = time.Now()
		return nil, err
	}
	if other := l.links[address]; other != nil && other.live() {
		k.fail(errLink)
		return other, nil
	}
	l.links[address] = k
	k.send(frame{Hello: l.hello(k)})
	return k, nil
}

// hello describes this entry to a new link's coordinator, which from then on
// holds what runs. The caller holds the lock.
func (l *Linker) hello(k *link) *hello {
	h := &hello{Entry: l.settings.Host}
	for _, r := range l.running {
		r.Left = time.Until(r.deadline)
		r.holders = append(r.holders, k)
		h.Running = append(h.Running, r.Running)
	}
	return h
}

// Ask gets a decision: of this domain's coordinator, of the one it names, or,
// where none answers, of this host alone.
func (l *Linker) Ask(ctx context.Context, a coordinator.Ask) (g forwarder.Grant, err error) {
	a.ID = l.seq.Add(1)
	v := l.view.Load()
	began := time.Now()
	var via *link
	var d coordinator.Decision
	if v.self {
		d, err = l.askLocal(ctx, a)
	} else {
		d, via, err = l.askLink(ctx, v.coordinators[l.settings.Domain], a)
	}
	if err == nil && d.Domain != "" {
		a.Redirected = true
		a.Age += time.Since(began)
		a.Left -= time.Since(began)
		d, via, err = l.askLink(ctx, v.coordinators[d.Domain], a)
	}
	if err == nil && d.Domain != "" {
		err = errLink
	}
	if err != nil && ctx.Err() == nil {
		l.log.Debug("deciding alone", "ask", a.ID, "error", err.Error())
		via = nil
		d, err = l.askLocal(ctx, a)
		if err == nil && d.Domain != "" {
			d = coordinator.Decision{ID: a.ID, Reason: coordinator.NoCapacity, RetryAfter: linkRetry}
		}
	}
	if err != nil {
		return g, err
	}
	return l.grant(a, d, via), nil
}

// askLink asks a coordinator at an address.
func (l *Linker) askLink(ctx context.Context, address string, a coordinator.Ask) (d coordinator.Decision, k *link, err error) {
	if address == "" || address == l.settings.Address {
		return d, nil, errLink
	}
	if k, err = l.link(ctx, address); err != nil {
		return d, nil, err
	}
	d, err = k.ask(ctx, a)
	return d, k, err
}

// grant wraps a decision so that its end is reported to who made it.
func (l *Linker) grant(a coordinator.Ask, d coordinator.Decision, via *link) forwarder.Grant {
	g := forwarder.Grant{Decision: d, Granted: time.Now()}
	if d.Upstream == "" {
		return g
	}
	r := &granted{
		Running:  coordinator.Running{ID: a.ID, Upstream: d.Upstream, Prompt: a.Prompt, Output: a.Output, Digest: a.Digest},
		deadline: time.Now().Add(a.Left),
	}
	if via != nil {
		r.holders = []*link{via}
	}
	l.mu.Lock()
	l.running[a.ID] = r
	l.mu.Unlock()
	g.Progress = func(p coordinator.Progress) { l.tell(r, via == nil, frame{Progress: []coordinator.Progress{p}}) }
	g.Finish = func(f coordinator.Finish) {
		l.mu.Lock()
		delete(l.running, a.ID)
		l.mu.Unlock()
		l.tell(r, via == nil, frame{Finishes: []coordinator.Finish{f}})
	}
	return g
}

// tell sends news of a running request to whoever counts it.
func (l *Linker) tell(r *granted, local bool, f frame) {
	if local {
		l.desk.take(l.ctx, l.settings.Host, &f)
	}
	l.mu.Lock()
	holders := slices.Clone(r.holders)
	l.mu.Unlock()
	for _, k := range holders {
		if k.live() {
			k.send(f)
		}
	}
}

// sendSummaries tells other coordinators what they need to know while this
// host is one.
func (l *Linker) sendSummaries(ctx context.Context) {
	tick := time.NewTicker(summaryTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v := l.view.Load()
		if !v.self {
			continue
		}
		ready := make(chan coordinator.Summary, 1)
		l.desk.do(ctx, func(now time.Time) { ready <- l.desk.coordinator.Summary(now) })
		select {
		case <-ctx.Done():
			return
		case s := <-ready:
			for domain, address := range v.coordinators {
				if domain == l.settings.Domain {
					continue
				}
				go func() {
					if k, err := l.link(ctx, address); err == nil {
						k.send(frame{Summary: &s})
					}
				}()
			}
		}
	}
}

// fetchSnapshots takes over what a peer knows where this host can't read the
// store, or lags behind.
func (l *Linker) fetchSnapshots(ctx context.Context) {
	tick := time.NewTicker(fetchTick)
	defer tick.Stop()
	lagging := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		best, ok := l.ahead()
		if !ok {
			lagging = 0
			continue
		}
		lagging++
		known := l.directory.Known()
		if known && lagging < 2 {
			continue
		}
		l.fetch(ctx, best)
	}
}

// ahead returns the live member that knows more than this host, if the store
// does not tell this host itself.
func (l *Linker) ahead() (best detector.Member, ok bool) {
	version, revision := uint64(0), l.directory.Revision()
	if t := l.directory.Table(); t != nil {
		version = t.Version()
	}
	stale := !l.directory.Known() || l.directory.Stale(time.Now(), storeStale)
	for _, m := range l.Members() {
		if m.Status != detector.Alive {
			continue
		}
		news := m.Version > version || stale && m.Revision > revision
		if news && (!ok || m.Revision > best.Revision) {
			best, ok = m, true
		}
	}
	return best, ok
}

// fetch asks a member for its snapshot, which comes in by takeFeed.
func (l *Linker) fetch(ctx context.Context, m detector.Member) {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	k, err := l.link(ctx, m.Address)
	if err != nil {
		l.log.Info("snapshot not asked for", "member", m.ID, "error", err.Error())
		return
	}
	k.send(frame{Fetch: true})
}

// formatUint writes a number.
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
