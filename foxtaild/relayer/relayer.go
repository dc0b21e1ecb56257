package relayer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler/detector"
)

// Settings identify a host.
type Settings struct {
	Host, Domain, Region string
	// Address is the IP address and port at which the host takes requests.
	Address string
}

// Server serves requests that other hosts hand over.
type Server interface {
	Serve(ctx context.Context, r *forwarder.Request, out forwarder.Responder) forwarder.Result
	// CutOff reports whether this host is likely cut off from the upstreams of a pool.
	CutOff(pool string) bool
}

// Relayer hands requests over and takes those of other hosts. It is safe for concurrent
// use.
type Relayer struct {
	settings Settings
	members  func() []detector.Member
	log      *slog.Logger
	listener net.Listener
	server   Server
	// capacity is what this host carries for others.
	capacity capacity
	// handedOver, lost and notTaken count the requests that others took, those of them
	// whose end is not known, and those that none took; carried counts those of others.
	handedOver, lost, notTaken, carried atomic.Uint64

	mu sync.Mutex
	// idle holds the kept connections by address, and avoided the hosts that did not take a
	// request lately, by name, until when they are left out.
	idle    map[string][]*conn
	avoided map[string]time.Time
	rand    *rand.Rand
}

// New opens the socket at which the host takes requests. members returns the other known
// hosts, whose addresses have the port before that at which they take requests. The caller
// must call Run.
func New(s Settings, members func() []detector.Member, log *slog.Logger) (r *Relayer, err error) {
	l, err := net.Listen("tcp4", s.Address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for requests of other hosts")
	}
	return &Relayer{
		settings: s, members: members, log: log, listener: l,
		idle: make(map[string][]*conn), avoided: make(map[string]time.Time),
		rand: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
	}, nil
}

// Run takes requests of other hosts and has s serve them until ctx is done.
func (r *Relayer) Run(ctx context.Context, s Server) {
	r.server = s
	stop := context.AfterFunc(ctx, func() { _ = r.listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.sweep(ctx) })
	for {
		c, err := r.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				r.log.Error("can't accept connections of other hosts", "error", err.Error())
			}
			return
		}
		wg.Go(func() { r.serve(ctx, c) })
	}
}

// Stop takes no more requests and waits until those of other hosts have ended, or ctx is
// done.
func (r *Relayer) Stop(ctx context.Context) error {
	return eris.Wrap(r.capacity.drain(ctx), "wait for requests of other hosts")
}

// Gauges returns metrics: the requests that are carried for other hosts now, and how many
// were since the start, and those that were handed over, with their results.
func (r *Relayer) Gauges() []reporter.Gauge {
	requests, bytes := r.capacity.used()
	result := func(name string, n *atomic.Uint64) reporter.Gauge {
		return reporter.Gauge{Name: "requests_handed_over", Tags: map[string]string{"result": name}, Value: float64(n.Load())}
	}
	return []reporter.Gauge{
		{Name: "requests_carried", Value: float64(requests)},
		{Name: "bytes_carried", Value: float64(bytes)},
		{Name: "requests_carried_total", Value: float64(r.carried.Load())},
		result("taken", &r.handedOver), result("lost", &r.lost), result("notTaken", &r.notTaken),
	}
}
