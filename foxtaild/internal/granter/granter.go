// Package granter runs the owner role of a host: one goroutine owns the
// arbiter and carries out its orders.
package granter

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"foxtaillug.org/contract"
	"foxtaillug.org/contract/peerv1"
	"foxtaillug.org/foxtaild/internal/messenger"
	"foxtaillug.org/foxtaild/internal/tracker"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/arbiter"
	"foxtaillug.org/scheduler/drainer"
	"foxtaillug.org/scheduler/leaser"
	"foxtaillug.org/scheduler/quarantiner"
	"foxtaillug.org/scheduler/ramper"
)

const (
	// ringSize bounds the events that wait for the arbiter.
	ringSize = 8192
	// tickEvery is how often time alone is looked at.
	tickEvery = 50 * time.Millisecond
	// reportEvery is how often load reports are read of upstreams that are
	// cold or whose work is not all accounted for.
	reportEvery = 250 * time.Millisecond
	// calmEvery is how many times less often the reports of others are read.
	calmEvery = 4
	// callTime bounds a call to a peer or of a load report.
	callTime = time.Second
	// suspectsTold bounds the suspects told to a peer at a time.
	suspectsTold = 256
)

// event changes the arbiter at a time and returns its orders.
type event func(a *arbiter.Arbiter, now time.Time) arbiter.Actions

// Granter runs one host's owner role. It is safe for concurrent use.
type Granter struct {
	tracker   *tracker.Tracker
	messenger *messenger.Messenger
	log       *slog.Logger
	arbiter   *arbiter.Arbiter
	events    chan event
	done      chan struct{}
	client    *fasthttp.Client
	gossip    func()
	confirm   func(context.Context)
	round     int

	mu       sync.Mutex
	sessions map[scheduler.HostID]*session
}

// Option sets a detail of a Granter.
type Option func(*Granter)

// WithGossip sets what is called when peers should hear of an update at once.
func WithGossip(f func()) Option {
	return func(g *Granter) { g.gossip = f }
}

// WithConfigRefresh sets what asks peers and the platform for a newer configuration
// after this process was paused.
func WithConfigRefresh(f func(context.Context)) Option {
	return func(g *Granter) { g.confirm = f }
}

// New returns a granter that must be run.
func New(k *tracker.Tracker, m *messenger.Messenger, log *slog.Logger, a *arbiter.Arbiter, opts ...Option) *Granter {
	g := &Granter{
		tracker:   k,
		messenger: m,
		log:       log,
		arbiter:   a,
		events:    make(chan event, ringSize),
		done:      make(chan struct{}),
		client: &fasthttp.Client{
			NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, ReadTimeout: callTime,
			Dial: func(address string) (net.Conn, error) {
				c, err := fasthttp.DialTimeout(address, callTime)
				if err != nil {
					return nil, err
				}
				return m.Count(c), nil
			},
		},
		gossip:   func() {},
		confirm:  func(context.Context) {},
		sessions: make(map[scheduler.HostID]*session),
	}
	for _, opt := range opts {
		opt(g)
	}
	k.OnConfig(g.configure)
	k.OnHosts(func(hosts []scheduler.Host) {
		g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions { return a.SetHosts(hosts, now) })
	})
	return g
}

// configure passes a configuration that has come into force on.
func (g *Granter) configure(s *tracker.Config) {
	upstreams, tiers, drains := ArbiterConfig(s.Directory())
	g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions {
		return a.SetConfiguration(upstreams, tiers, drains, now)
	})
}

// ArbiterConfig returns what an arbiter needs of a configuration.
func ArbiterConfig(d *contract.Directory) (upstreams []arbiter.Upstream, tiers int, drains drainer.Drains) {
	for _, m := range d.Upstreams() {
		upstreams = append(upstreams, arbiter.NewUpstream(
			m.ID(), m.Pools()[0], m.Domain(), m.Region(),
			arbiter.WithLimits(m.ColdLimit(), m.Limit()),
			arbiter.WithWarmUp(m.WarmUp()),
			arbiter.WithLoadReports(m.IsEngine()),
		))
	}
	return upstreams, d.NumTiers(), Drains(d)
}

// Drains returns what a configuration takes out of service.
func Drains(d *contract.Directory) drainer.Drains {
	out := d.Document().Drains
	return drainer.NewDrains(
		lo.Map(out.Domains, func(n string, _ int) scheduler.DomainID { return scheduler.DomainID(n) }),
		lo.Map(out.Upstreams, func(n string, _ int) scheduler.UpstreamID { return scheduler.UpstreamID(n) }),
		lo.Map(out.Hosts, func(n string, _ int) scheduler.HostID { return scheduler.HostID(n) }),
	)
}

// post queues an event; it waits when the ring is full.
func (g *Granter) post(e event) {
	select {
	case g.events <- e:
	case <-g.done:
	}
}

// call has f run by the goroutine that owns the arbiter, and waits for it.
func (g *Granter) call(f event) {
	over := make(chan struct{})
	g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions {
		defer close(over)
		return f(a, now)
	})
	select {
	case <-over:
	case <-g.done:
	}
}

// Run owns the arbiter until ctx is done.
func (g *Granter) Run(ctx context.Context) {
	defer close(g.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.events:
			g.carryOut(ctx, e(g.arbiter, time.Now()))
		case <-tick.C:
			g.carryOut(ctx, g.arbiter.Tick(time.Now()))
		case <-report.C:
			g.readReports(ctx)
		}
	}
}

// carryOut does what the arbiter ordered.
func (g *Granter) carryOut(ctx context.Context, o arbiter.Actions) {
	g.answer(o)
	for _, l := range o.LeaseRequests() {
		go g.requestLoan(ctx, l)
	}
	for _, s := range o.ShedRequests() {
		go g.requestShut(ctx, s)
	}
	if o.SuspectsChanged() {
		g.gossip()
	}
	if o.NeedsConfirmation() {
		go func() {
			g.confirm(ctx)
			g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions { return a.ConfirmConfiguration(now) })
		}()
	}
}

// requestLoan asks a lender for its shares.
func (g *Granter) requestLoan(ctx context.Context, l arbiter.LeaseRequest) {
	client, err := g.messenger.Client(l.To())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	asked := time.Now()
	reply, err := client.Consent(ctx, &peerv1.ConsentRequest{
		Host:      string(g.tracker.Self().ID()),
		Upstreams: lo.Map(l.Upstreams(), func(id scheduler.UpstreamID, _ int) string { return string(id) }),
		Release:   l.Release(),
	})
	if err != nil || l.Release() || len(reply.Loans) != len(l.Upstreams()) {
		return
	}
	g.post(func(a *arbiter.Arbiter, now time.Time) (o arbiter.Actions) {
		for i, loan := range reply.Loans {
			if loan.Lent {
				shares := lo.Map(loan.Shares, func(s *peerv1.Share, _ int) leaser.Share {
					return leaser.NewShare(int(s.Rank), int(s.Parts))
				})
				o.Add(a.RecordLease(l.Upstreams()[i], l.To(), shares, asked, now))
			}
		}
		return o
	})
}

// Consent answers a guardian that wants this host's shares.
func (g *Granter) Consent(req *peerv1.ConsentRequest) *peerv1.ConsentReply {
	reply := &peerv1.ConsentReply{}
	borrower := scheduler.HostID(req.Host)
	g.call(func(a *arbiter.Arbiter, now time.Time) (o arbiter.Actions) {
		for _, name := range req.Upstreams {
			id := scheduler.UpstreamID(name)
			if req.Release {
				a.ReturnLease(id, borrower, now)
				continue
			}
			shares, lent := a.Lease(id, borrower, now)
			reply.Loans = append(reply.Loans, &peerv1.Loan{
				Lent: lent,
				Shares: lo.Map(shares, func(s leaser.Share, _ int) *peerv1.Share {
					return &peerv1.Share{Rank: uint32(s.Rank()), Parts: uint32(s.Parts())}
				}),
			})
		}
		return o
	})
	return reply
}

// requestShut asks another owner to refuse tiers.
func (g *Granter) requestShut(ctx context.Context, s arbiter.ShedRequest) {
	client, err := g.messenger.Client(s.To())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	asked := time.Now()
	_, err = client.Gossip(ctx, &peerv1.GossipRequest{
		Host: string(g.tracker.Self().ID()),
		Shut: []*peerv1.ShutTier{{Pool: string(s.Pool()), Tier: uint32(s.From()), ValidMs: uint32(s.Hold().Milliseconds())}},
	})
	if err != nil {
		return
	}
	g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions {
		return a.RecordShed(s.Pool(), s.To(), s.From(), s.Hold(), asked, now)
	})
}

// Shed carries out another owner's requests to refuse tiers.
func (g *Granter) Shed(tiers []*peerv1.ShutTier) {
	if len(tiers) == 0 {
		return
	}
	g.call(func(a *arbiter.Arbiter, now time.Time) (o arbiter.Actions) {
		for _, t := range tiers {
			hold := time.Duration(t.ValidMs) * time.Millisecond
			o.Add(a.Shed(scheduler.PoolID(t.Pool), scheduler.Tier(t.Tier), hold, now))
		}
		return o
	})
}

// RecordSuspects takes what a peer knows of digests.
func (g *Granter) RecordSuspects(suspects []*peerv1.Suspect) {
	if len(suspects) == 0 {
		return
	}
	g.post(func(a *arbiter.Arbiter, now time.Time) (o arbiter.Actions) {
		for _, s := range suspects {
			last := now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
			a.RecordSuspect(quarantiner.Digest(s.Digest), int(s.Crashes), last)
		}
		return o
	})
}

// Suspects returns what was learnt of digests since a time.
func (g *Granter) Suspects(since time.Time) (suspects []*peerv1.Suspect) {
	g.call(func(a *arbiter.Arbiter, now time.Time) (o arbiter.Actions) {
		for _, e := range a.SuspectsSince(since, suspectsTold) {
			suspects = append(suspects, &peerv1.Suspect{
				Digest:  uint64(e.Digest()),
				Crashes: uint32(e.Crashes()),
				AgeMs:   uint32(now.Sub(e.Last()).Milliseconds()),
			})
		}
		return o
	})
	return suspects
}

// Status returns what operators see of this host's upstreams.
func (g *Granter) Status() (status []arbiter.Status) {
	g.call(func(a *arbiter.Arbiter, now time.Time) (o arbiter.Actions) {
		status = a.Status(now)
		return o
	})
	return status
}

// Stop refuses what waits here and gives borrowed shares back.
func (g *Granter) Stop() {
	g.call(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions { return a.Stop(now) })
}

// load is an engine's load report.
type load struct {
	Epoch   string `json:"epoch"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
	Running int    `json:"running"`
	AgeMs   int64  `json:"ageMs"`
}

// readReports reads the load reports of this host's engines.
func (g *Granter) readReports(ctx context.Context) {
	s := g.tracker.Config()
	if s == nil || ctx.Err() != nil {
		return
	}
	g.round++
	for i, id := range g.arbiter.Replicas() {
		switch g.arbiter.PollRate(id, time.Now()) {
		case arbiter.PollNever:
			continue
		case arbiter.PollSlowly:
			if (g.round+i)%calmEvery != 0 {
				continue
			}
		}
		if m, ok := s.Directory().Upstream(id); ok && m.IsEngine() {
			go g.readReport(id, m.Address())
		}
	}
}

// readReport reads one load report. The report was true at the latest when it
// was asked for, less its age.
func (g *Granter) readReport(id scheduler.UpstreamID, address string) {
	asked := time.Now()
	status, body, err := g.client.GetTimeout(nil, "http://"+address+"/load", callTime)
	if err != nil || status != fasthttp.StatusOK {
		return
	}
	var l load
	if err := json.Unmarshal(body, &l); err != nil {
		g.log.Warn("load report unreadable", "upstream", id, "error", err.Error())
		return
	}
	taken := asked.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions {
		return a.RecordReport(id, ramper.NewReport(l.Epoch, l.Cold, l.Running, taken), l.Leaving, now)
	})
}
