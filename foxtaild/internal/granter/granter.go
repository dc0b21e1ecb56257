// Package granter runs the owner role of a host: a single goroutine owns the
// arbiter and carries out its actions.
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
	"foxtaillug.org/scheduler/ramper"
)

const (
	// eventQueueSize is the maximum number of events that wait for the arbiter.
	eventQueueSize = 8192
	// tickInterval is the time between two calls of the arbiter's Tick.
	tickInterval = 50 * time.Millisecond
	// pollInterval is the time between two reads of the load report of an
	// upstream that is cold or whose running requests are not all known.
	pollInterval = 250 * time.Millisecond
	// slowPollFactor is how many times longer the interval is for the other
	// upstreams.
	slowPollFactor = 4
	// callTimeout bounds a call to a peer or the read of a load report.
	callTimeout = time.Second
)

// event applies a change to the arbiter at the current time and returns the
// resulting actions.
type event func(a *arbiter.Arbiter, now time.Time) arbiter.Actions

// Granter runs the owner role of one host. It is safe for concurrent use.
type Granter struct {
	tracker   *tracker.Tracker
	messenger *messenger.Messenger
	log       *slog.Logger
	arbiter   *arbiter.Arbiter
	events    chan event
	done      chan struct{}
	client    *fasthttp.Client
	gossip    func()
	refresh   func(context.Context)
	pollRound int

	mu       sync.Mutex
	sessions map[scheduler.HostID]*session
}

// Option configures a Granter.
type Option func(*Granter)

// WithGossip sets the function that is called when peers should be notified of
// new suspects immediately.
func WithGossip(f func()) Option {
	return func(g *Granter) { g.gossip = f }
}

// WithConfigRefresh sets the function that queries peers and the platform for a
// newer configuration after this process was suspended.
func WithConfigRefresh(f func(context.Context)) Option {
	return func(g *Granter) { g.refresh = f }
}

// New returns a granter. Run starts it.
func New(t *tracker.Tracker, m *messenger.Messenger, log *slog.Logger, a *arbiter.Arbiter, opts ...Option) *Granter {
	g := &Granter{
		tracker:   t,
		messenger: m,
		log:       log,
		arbiter:   a,
		events:    make(chan event, eventQueueSize),
		done:      make(chan struct{}),
		client: &fasthttp.Client{
			NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, ReadTimeout: callTimeout,
			Dial: func(address string) (net.Conn, error) {
				c, err := fasthttp.DialTimeout(address, callTimeout)
				if err != nil {
					return nil, err
				}
				return m.CountTraffic(c), nil
			},
		},
		gossip:   func() {},
		refresh:  func(context.Context) {},
		sessions: make(map[scheduler.HostID]*session),
	}
	for _, opt := range opts {
		opt(g)
	}
	t.OnConfig(g.configure)
	t.OnHosts(func(hosts []scheduler.Host) {
		g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions { return a.SetHosts(hosts, now) })
	})
	return g
}

// configure passes a configuration that has come into force to the arbiter.
func (g *Granter) configure(cfg *tracker.Config) {
	upstreams, tiers, drains := ArbiterConfig(cfg.Directory())
	g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions {
		return a.SetConfiguration(upstreams, tiers, drains, now)
	})
}

// ArbiterConfig returns the parts of a configuration that an arbiter needs.
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

// Drains returns the domains, upstreams and hosts that a configuration drains.
func Drains(d *contract.Directory) drainer.Drains {
	out := d.Document().Drains
	return drainer.NewDrains(
		lo.Map(out.Domains, func(n string, _ int) scheduler.DomainID { return scheduler.DomainID(n) }),
		lo.Map(out.Upstreams, func(n string, _ int) scheduler.UpstreamID { return scheduler.UpstreamID(n) }),
		lo.Map(out.Hosts, func(n string, _ int) scheduler.HostID { return scheduler.HostID(n) }),
	)
}

// post queues an event. It blocks while the queue is full and drops the event
// if Run has returned.
func (g *Granter) post(e event) {
	select {
	case g.events <- e:
	case <-g.done:
	}
}

// call runs f on the goroutine that owns the arbiter and waits until f or Run has
// returned.
func (g *Granter) call(f event) {
	done := make(chan struct{})
	g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions {
		defer close(done)
		return f(a, now)
	})
	select {
	case <-done:
	case <-g.done:
	}
}

// Run owns the arbiter until ctx is done: it handles events, calls Tick and polls
// load reports.
func (g *Granter) Run(ctx context.Context) {
	defer close(g.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.events:
			g.carryOut(ctx, e(g.arbiter, time.Now()))
		case <-tick.C:
			g.carryOut(ctx, g.arbiter.Tick(time.Now()))
		case <-poll.C:
			g.pollReports(ctx)
		}
	}
}

// carryOut carries out the arbiter's actions.
func (g *Granter) carryOut(ctx context.Context, actions arbiter.Actions) {
	g.queueDecisions(actions)
	for _, l := range actions.LeaseRequests() {
		go g.requestLease(ctx, l)
	}
	for _, s := range actions.ShedRequests() {
		go g.requestShed(ctx, s)
	}
	if actions.SuspectsChanged() {
		g.gossip()
	}
	if actions.NeedsConfirmation() {
		go func() {
			g.refresh(ctx)
			g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions { return a.ConfirmConfiguration(now) })
		}()
	}
}

// requestLease sends a lease request to the lessor and records the reply. A
// request that returns shares needs no reply.
func (g *Granter) requestLease(ctx context.Context, l arbiter.LeaseRequest) {
	client, err := g.messenger.Client(l.To())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := client.Consent(ctx, &peerv1.ConsentRequest{
		Host:      string(g.tracker.Self().ID()),
		Upstreams: lo.Map(l.Upstreams(), func(id scheduler.UpstreamID, _ int) string { return string(id) }),
		Release:   l.Release(),
	})
	if err != nil || l.Release() || len(reply.Loans) != len(l.Upstreams()) {
		return
	}
	g.post(func(a *arbiter.Arbiter, now time.Time) (out arbiter.Actions) {
		for i, lease := range reply.Loans {
			if lease.Lent {
				shares := lo.Map(lease.Shares, func(s *peerv1.Share, _ int) leaser.Share {
					return leaser.NewShare(int(s.Rank), int(s.Parts))
				})
				out.Add(a.RecordLease(l.Upstreams()[i], l.To(), shares, sent, now))
			}
		}
		return out
	})
}

// Consent leases this host's shares of upstreams to another replica, or ends
// leases that the lessee returns.
func (g *Granter) Consent(req *peerv1.ConsentRequest) *peerv1.ConsentReply {
	reply := &peerv1.ConsentReply{}
	lessee := scheduler.HostID(req.Host)
	g.call(func(a *arbiter.Arbiter, now time.Time) (out arbiter.Actions) {
		for _, name := range req.Upstreams {
			id := scheduler.UpstreamID(name)
			if req.Release {
				a.ReturnLease(id, lessee, now)
				continue
			}
			shares, leased, actions := a.Lease(id, lessee, now)
			out.Add(actions)
			reply.Loans = append(reply.Loans, &peerv1.Loan{
				Lent: leased,
				Shares: lo.Map(shares, func(s leaser.Share, _ int) *peerv1.Share {
					return &peerv1.Share{Rank: uint32(s.Rank()), Parts: uint32(s.Parts())}
				}),
			})
		}
		return out
	})
	return reply
}

// requestShed sends a shed request to another owner and records that it was
// confirmed.
func (g *Granter) requestShed(ctx context.Context, s arbiter.ShedRequest) {
	client, err := g.messenger.Client(s.To())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	_, err = client.Gossip(ctx, &peerv1.GossipRequest{
		Host: string(g.tracker.Self().ID()),
		Shut: []*peerv1.ShutTier{{Pool: string(s.Pool()), Tier: uint32(s.From()), ValidMs: uint32(s.Hold().Milliseconds())}},
	})
	if err != nil {
		return
	}
	g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions {
		return a.RecordShed(s.Pool(), s.To(), s.From(), s.Hold(), sent, now)
	})
}

// Shed sheds tiers at the request of another owner.
func (g *Granter) Shed(tiers []*peerv1.ShutTier) {
	if len(tiers) == 0 {
		return
	}
	g.call(func(a *arbiter.Arbiter, now time.Time) (out arbiter.Actions) {
		for _, t := range tiers {
			hold := time.Duration(t.ValidMs) * time.Millisecond
			out.Add(a.Shed(scheduler.PoolID(t.Pool), scheduler.Tier(t.Tier), hold, now))
		}
		return out
	})
}

// Status returns the status of this host's upstreams for operators.
func (g *Granter) Status() (status []arbiter.Status) {
	g.call(func(a *arbiter.Arbiter, now time.Time) (out arbiter.Actions) {
		status = a.Status(now)
		return out
	})
	return status
}

// Stop refuses all waiting requests and returns the shares leased from other
// hosts.
func (g *Granter) Stop() {
	g.call(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions { return a.Stop(now) })
}

// loadReport is the load report of an engine.
type loadReport struct {
	Epoch   string `json:"epoch"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
	Running int    `json:"running"`
	AgeMs   int64  `json:"ageMs"`
}

// pollReports reads the load reports of this host's engines that are due.
func (g *Granter) pollReports(ctx context.Context) {
	cfg := g.tracker.Config()
	if cfg == nil || ctx.Err() != nil {
		return
	}
	g.pollRound++
	for i, id := range g.arbiter.Replicas() {
		switch g.arbiter.PollRate(id, time.Now()) {
		case arbiter.PollNever:
			continue
		case arbiter.PollSlowly:
			if (g.pollRound+i)%slowPollFactor != 0 {
				continue
			}
		}
		if m, ok := cfg.Directory().Upstream(id); ok && m.IsEngine() {
			go g.readReport(id, m.Address())
		}
	}
}

// readReport reads the load report of an engine and records it. The report is
// dated with the earliest time it can describe: when it was requested, less its
// age.
func (g *Granter) readReport(id scheduler.UpstreamID, address string) {
	sent := time.Now()
	status, body, err := g.client.GetTimeout(nil, "http://"+address+"/load", callTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return
	}
	var l loadReport
	if err := json.Unmarshal(body, &l); err != nil {
		g.log.Warn("invalid load report", "upstream", id, "error", err.Error())
		return
	}
	taken := sent.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	g.post(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions {
		return a.RecordReport(id, ramper.NewReport(l.Epoch, l.Cold, l.Running, taken), l.Leaving, now)
	})
}
