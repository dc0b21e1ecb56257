package linker

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/detector"
)

// Settings say who a host is and how it reaches others.
type Settings struct {
	// Host names the host, Process this run of it.
	Host, Process  string
	Domain, Region string
	// Address is the IP and port for membership (UDP) and links (TCP).
	Address string
	// Seeds are addresses of some other hosts, which may be down.
	Seeds []string
	// Regions maps every failure domain to its region.
	Regions map[string]string
	// UpdateDeadline is the time in which changes of the store must be in force.
	UpdateDeadline time.Duration
	Bounds         coordinator.Bounds
}

// Linker joins a host with its fleet. It is safe for concurrent use.
type Linker struct {
	settings  Settings
	directory *directory.Directory
	log       *slog.Logger
	loop      *loop
	detector  *detector.Detector
	packets   *net.UDPConn
	listener  net.Listener
	view      atomic.Pointer[view]
	seen      uint64
	// wasSettled reports whether the view was derived after settleTime, viewed
	// is when it was, and applied is what the coordinator was told of it.
	wasSettled bool
	viewed     time.Time
	applied    coordinator.Fleet
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
		loop:      newLoop(coordinator.New(s.Process, s.Bounds), d),
		detector: detector.New(detector.Member{
			ID: s.Host, Address: s.Address, Domain: s.Domain, Region: s.Region,
			Incarnation: uint64(now.UnixMilli()),
		}, s.Seeds, uint64(now.UnixNano())),
		leaving:   make(chan struct{}),
		links:     make(map[string]*link),
		failed:    make(map[string]time.Time),
		running:   make(map[uint64]*granted),
		local:     make(map[uint64]chan coordinator.Decision),
		followers: make(map[*follower]struct{}),
		started:   now,
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.loop.sinks[s.Host] = l.takeLocal
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
	wg.Go(func() { l.loop.run(ctx) })
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

// Gauges returns figures for metrics: the hosts known by their state, the
// links to other hosts, what this host runs, and how full the pools are as its
// own coordinator sees them.
func (l *Linker) Gauges() []reporter.Gauge {
	v := l.view.Load()
	states := map[detector.Status]int{detector.Alive: 1, detector.Suspect: 0, detector.Dead: 0}
	for _, m := range v.members {
		states[min(m.Status, detector.Dead)]++
	}
	l.mu.Lock()
	links, running := len(l.links), len(l.running)
	l.mu.Unlock()
	gauges := []reporter.Gauge{
		{Name: "hosts", Tags: map[string]string{"state": "alive"}, Value: float64(states[detector.Alive])},
		{Name: "hosts", Tags: map[string]string{"state": "suspect"}, Value: float64(states[detector.Suspect])},
		{Name: "hosts", Tags: map[string]string{"state": "dead"}, Value: float64(states[detector.Dead])},
		{Name: "coordinating", Value: truth(v.self)},
		{Name: "links", Value: float64(links)},
		{Name: "requests_running", Value: float64(running)},
	}
	for _, p := range l.loop.loads() {
		for name, n := range map[string]int{
			"pool_upstreams": p.Upstreams, "pool_upstreams_cold": p.Cold, "pool_upstreams_ejected": p.Ejected,
			"pool_slots": p.Slots, "pool_running": p.Running, "pool_waiting": p.Waiting,
		} {
			gauges = append(gauges, reporter.Gauge{Name: name, Tags: map[string]string{"pool": p.Pool}, Value: float64(n)})
		}
	}
	return gauges
}

// truth returns 1 for true.
func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// formatUint writes a number.
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
