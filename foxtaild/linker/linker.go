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
	// Contacts are addresses of some other hosts, which may be down.
	Contacts []string
	// Regions maps every failure domain to its region.
	Regions map[string]string
	// UpdateBound is the time in which changes of the store must be in force.
	UpdateBound time.Duration
	Bounds      coordinator.Bounds
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
		loop:      newLoop(coordinator.New(s.Process, s.Bounds), d),
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

// formatUint writes a number.
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
