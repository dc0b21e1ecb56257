package linker

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
)

const (
	// maxQueuedEvents bounds the queue of events for the coordinator.
	maxQueuedEvents = 4096
	// pendingTick is the maximum time between two advances of the coordinator
	// while requests are pending.
	pendingTick = 20 * time.Millisecond
	// idleTick is the maximum time between two advances while no request is
	// pending.
	idleTick = 200 * time.Millisecond
	// loadPeriod is the time between two measurements of the load of the
	// pools; it equals the collection interval of the metrics.
	loadPeriod = time.Second
)

// sink receives the decisions for one entry host, and changes of upstreams' limits. It must
// not block.
type sink func(response)

// loop is the event loop that owns this host's coordinator.
type loop struct {
	// host is the name of this host.
	host        string
	coordinator *coordinator.Coordinator
	directory   *directory.Directory
	events      chan func(now time.Time)
	sinks       map[string]sink
	// applied reports whether the directory has been applied to the
	// coordinator; seenChanges is its number of changes at the last time.
	seenChanges uint64
	applied     bool
	// limits are the known limits of upstreams, as of limitsAt changes. sentLimits is the
	// number of changes that entry hosts have been sent, at sentLimitsAt.
	limits               atomic.Pointer[limitView]
	limitsAt, sentLimits uint64
	sentLimitsAt         time.Time
	// sentEjectedAt is when entry hosts were last sent which upstreams are out of service.
	sentEjectedAt time.Time
	log           *slog.Logger
	// sentShares is the state of the messages on shares.
	sentShares sentShares
	// poolLoads is the load of the pools at the last measurement.
	poolLoads atomic.Pointer[[]coordinator.Load]
	// workspaceLoads is the load of the busiest workspaces at the last measurement.
	workspaceLoads atomic.Pointer[[]coordinator.WorkspaceLoad]
	// cutOff is the number of entry hosts that are likely cut off from upstreams.
	cutOff atomic.Int64
	// measuredAt is the time of the last measurement.
	measuredAt time.Time
	// pending holds the admission requests that wait for a decision.
	pending map[requestKey]bool
}

// requestKey identifies an admission request that has no decision yet.
type requestKey struct {
	entry string
	id    uint64
}

// newLoop returns a loop; the caller must call run.
func newLoop(host string, c *coordinator.Coordinator, d *directory.Directory, log *slog.Logger) *loop {
	l := &loop{
		host:        host,
		coordinator: c,
		log:         log,
		directory:   d,
		events:      make(chan func(time.Time), maxQueuedEvents),
		sinks:       make(map[string]sink),
		pending:     make(map[requestKey]bool),
	}
	l.limits.Store(&limitView{})
	return l
}

// enqueue adds an event for the loop's goroutine and doesn't wait until it has
// run; events run in the order of the calls. If the queue is full, it waits for
// room until ctx is done.
func (l *loop) enqueue(ctx context.Context, event func(now time.Time)) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// run processes events until ctx is done.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			now := time.Now()
			event(now)
			for more := true; more; {
				select {
				case event := <-l.events:
					event(now)
				default:
					more = false
				}
			}
		case <-timer.C:
		}
		now := time.Now()
		l.refresh(now)
		l.deliver(l.coordinator.Advance(now))
		l.publishLimits(now)
		l.publishEjections(now)
		l.publishShares(now)
		l.measureLoads(now)
		wait := idleTick
		if len(l.pending) > 0 {
			wait = pendingTick
		}
		timer.Reset(wait)
	}
}

// measureLoads records the load of the pools and workspaces for metrics, once per loadPeriod.
func (l *loop) measureLoads(now time.Time) {
	if now.Sub(l.measuredAt) < loadPeriod {
		return
	}
	l.measuredAt = now
	loads := l.coordinator.Loads(now)
	l.poolLoads.Store(&loads)
	workspaces := l.coordinator.WorkspaceLoads(now)
	l.workspaceLoads.Store(&workspaces)
	l.cutOff.Store(int64(l.coordinator.EntriesCutOff(now)))
}

// loads returns the load of the pools at the last measurement.
func (l *loop) loads() []coordinator.Load {
	if p := l.poolLoads.Load(); p != nil {
		return *p
	}
	return nil
}

// refresh applies changes of the directory to the coordinator.
func (l *loop) refresh(now time.Time) {
	changes := l.directory.Changes()
	if l.applied && changes == l.seenChanges {
		return
	}
	l.seenChanges, l.applied = changes, true
	if t := l.directory.Table(); t != nil {
		l.coordinator.SetTable(t, now)
	}
	l.coordinator.SetUpstreams(l.directory.UsableUpstreams(now), now)
}

// deliver sends decisions to their entry hosts.
func (l *loop) deliver(decisions []coordinator.Decision) {
	byEntry := make(map[string][]coordinator.Decision)
	for _, one := range decisions {
		delete(l.pending, requestKey{one.Entry, one.ID})
		byEntry[one.Entry] = append(byEntry[one.Entry], one)
	}
	for entry, list := range byEntry {
		if s := l.sinks[entry]; s != nil {
			s(response{Decisions: list})
		}
	}
}

// open registers an entry host with the requests that it already runs and the limits that
// it knows.
func (l *loop) open(ctx context.Context, entry string, s sink, h *hello) {
	l.enqueue(ctx, func(now time.Time) {
		l.coordinator.DropEntry(entry)
		l.sinks[entry] = s
		l.coordinator.Adopt(entry, h.Running, now)
		l.observe(entry, h.Observed, now)
		l.sendLimits(s, 0, now)
	})
}

// applyFrame applies a frame from an entry host.
func (l *loop) applyFrame(ctx context.Context, entry string, f *frame) {
	l.enqueue(ctx, func(now time.Time) {
		for _, x := range f.Finishes {
			l.coordinator.Finish(entry, x, now)
		}
		for _, p := range f.Progress {
			l.coordinator.Progress(entry, p, now)
		}
		for _, id := range f.Withdrawn {
			delete(l.pending, requestKey{entry, id})
			l.coordinator.Withdraw(entry, id)
		}
		for _, req := range f.Asks {
			l.pending[requestKey{entry, req.ID}] = true
			l.coordinator.Admit(entry, req, now)
		}
		l.observe(entry, f.Observed, now)
		if f.Summary != nil {
			l.coordinator.RecordSummary(*f.Summary, now)
		}
	})
}

// close removes an entry host whose link has ended.
func (l *loop) close(ctx context.Context, entry string) {
	l.enqueue(ctx, func(time.Time) {
		l.coordinator.DropEntry(entry)
		delete(l.sinks, entry)
		for k := range l.pending {
			if k.entry == entry {
				delete(l.pending, k)
			}
		}
	})
}
