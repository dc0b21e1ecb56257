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
	"foxtaillug.org/scheduler/pinner"
)

// Settings identify a host and say how it reaches the others.
type Settings struct {
	// Host is the name of the host; Process identifies this run of its process.
	Host, Process  string
	Domain, Region string
	// Address is the IP address and port for membership (UDP) and links (TCP).
	Address string
	// Seeds are the addresses of other hosts to join the fleet through; they
	// may be down.
	Seeds []string
	// Regions maps every failure domain to its region.
	Regions map[string]string
	// UpdateDeadline is the time within which a change in the store must take
	// effect on every host.
	UpdateDeadline time.Duration
	Bounds         coordinator.Bounds
	// Features are the optional parts of this host's coordinator.
	Features coordinator.Features
}

// Linker connects a host to its fleet. It is safe for concurrent use.
type Linker struct {
	settings  Settings
	directory *directory.Directory
	log       *slog.Logger
	loop      *loop
	detector  *detector.Detector
	// crashes are the crash reports on whole requests and partCrashes those on parts
	// of prompts.
	crashes, partCrashes CrashReports
	udpConn              *net.UDPConn
	listener             net.Listener
	origins              *Origins
	view                 atomic.Pointer[view]
	// seenChanges is the detector's number of changes when the view was
	// derived, viewedAt is when that was, and wasSettled reports whether this
	// host was settled then. appliedFleet is what was last passed to the
	// coordinator.
	seenChanges  uint64
	wasSettled   bool
	viewedAt     time.Time
	appliedFleet coordinator.Fleet
	// workspaces are the metrics by workspace.
	workspaces workspaceGauges
	// home are the hosts of this host's failure domain.
	home homeHosts
	// seq is the ID of the last admission request.
	seq atomic.Uint64
	// announced is the newest version of the configuration that another host has, and
	// current the host that has read the store furthest, as of comparedAt.
	announced  atomic.Uint64
	current    atomic.Pointer[currentPeer]
	comparedAt time.Time
	// leaving is closed by Leave.
	leaving chan struct{}
	// ctx is done when Run ends; cancel cancels it.
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time

	mu sync.Mutex
	// links and dialFailedAt are keyed by the address of the other host.
	links        map[string]*link
	dialFailedAt map[string]time.Time
	// running and localPending are keyed by the ID of the admission request.
	// localPending holds those that wait for this host's own coordinator.
	running      map[uint64]*runningRequest
	localPending map[uint64]chan coordinator.Decision
	// followers are the incoming links that receive directory changes, and followed
	// receives a value when there is another one.
	followers map[*follower]struct{}
	followed  chan struct{}
	// incoming holds the links that other hosts dialled, by the host's name.
	incoming map[string][]*incoming
}

// Option configures a Linker.
type Option func(*Linker)

// WithCrashReports sets the crash reports on whole requests and on parts of prompts
// to exchange with other hosts.
func WithCrashReports(requests, parts CrashReports) Option {
	return func(l *Linker) { l.crashes, l.partCrashes = requests, parts }
}

// WithOriginOptions sets options of what the host knows of the origins of streams.
func WithOriginOptions(opts ...pinner.Option) Option {
	return func(l *Linker) { l.origins = newOrigins(l, opts...) }
}

// New opens the sockets of a host. The caller must call Run.
func New(s Settings, d *directory.Directory, log *slog.Logger, opts ...Option) (l *Linker, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "create linker")
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
		loop:      newLoop(s.Host, coordinator.New(s.Process, s.Bounds, coordinator.WithFeatures(s.Features)), d, log),
		detector: detector.New(detector.Member{
			ID: s.Host, Address: s.Address, Domain: s.Domain, Region: s.Region,
			Incarnation: uint64(now.UnixMilli()),
		}, s.Seeds, uint64(now.UnixNano())),
		leaving:      make(chan struct{}),
		links:        make(map[string]*link),
		dialFailedAt: make(map[string]time.Time),
		running:      make(map[uint64]*runningRequest),
		localPending: make(map[uint64]chan coordinator.Decision),
		followers:    make(map[*follower]struct{}),
		followed:     make(chan struct{}, 1),
		started:      now,
		crashes:      noCrashReports{},
		partCrashes:  noCrashReports{},
	}
	l.origins = newOrigins(l)
	for _, opt := range opts {
		opt(l)
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.loop.sinks[s.Host] = l.deliverLocal
	l.view.Store(&view{storeReaders: []string{s.Address}, readers: []string{s.Address}, alone: isAlone(s)})
	if l.udpConn, err = net.ListenUDP("udp4", addr); err != nil {
		return nil, err
	}
	if l.listener, err = net.Listen("tcp4", s.Address); err != nil {
		_ = l.udpConn.Close()
		return nil, err
	}
	return l, nil
}

// Run serves until ctx is done.
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
	wg.Go(func() { l.feedFollowers(ctx) })
	wg.Go(func() { l.followReaders(ctx) })
	wg.Go(func() { l.origins.run(ctx) })
	wg.Wait()
}

// Leave announces to the fleet that this host is leaving, so that it is no longer
// chosen as a coordinator or store reader, and hands the records of origins over to
// others within a second. It must be called at most once.
func (l *Linker) Leave() { close(l.leaving) }

// Origins returns what this host and the others know of where streams began.
func (l *Linker) Origins() *Origins { return l.origins }

// Members returns the other known hosts.
func (l *Linker) Members() []detector.Member { return l.view.Load().members }

// Gauges returns metrics: the known hosts by state, whether this host is a
// coordinator, the links to other hosts, the granted requests of this entry host
// that have not ended, the records of origins, and the load of the pools and of the busiest
// workspaces as seen by this host's own coordinator.
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
		{Name: "coordinating", Value: boolToFloat(v.coordinating)},
		{Name: "links", Value: float64(links)},
		{Name: "entries_cut_off", Value: float64(l.loop.cutOff.Load())},
		{Name: "requests_running", Value: float64(running)},
	}
	gauges = append(gauges, l.origins.gauges()...)
	for _, p := range l.loop.loads() {
		for name, n := range map[string]int{
			"pool_upstreams": p.Upstreams, "pool_upstreams_cold": p.Cold, "pool_upstreams_ejected": p.Ejected, "pool_upstreams_out": p.Out, "pool_upstreams_leaving": p.Leaving, "pool_upstreams_pausing": p.Pausing,
			"pool_upstreams_paced": p.Paced, "pool_upstreams_serving": p.Serving,
			"pool_slots": p.Slots, "pool_running": p.Running, "pool_waiting": p.Waiting,
			"pool_upstreams_limited": p.Limited, "pool_limit_spent": p.LimitSpent,
		} {
			gauges = append(gauges, reporter.Gauge{Name: name, Tags: map[string]string{"pool": p.Pool}, Value: float64(n)})
		}
		gauges = append(gauges,
			reporter.Gauge{Name: "pool_work_rate", Tags: map[string]string{"pool": p.Pool}, Value: p.WorkRate},
			reporter.Gauge{Name: "pool_overflow_sent", Tags: map[string]string{"pool": p.Pool}, Value: float64(p.OverflowSent)},
			reporter.Gauge{Name: "pool_limit_rate", Tags: map[string]string{"pool": p.Pool}, Value: p.LimitRate},
			reporter.Gauge{Name: "pool_limit_age_seconds", Tags: map[string]string{"pool": p.Pool}, Value: p.LimitAge.Seconds()})
	}
	return append(gauges, l.workspaces.gauges(l.loop.workspaceLoads.Load())...)
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// formatUint formats n in base 10.
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
