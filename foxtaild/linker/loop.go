package linker

import (
	"context"
	"sync/atomic"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
)

const (
	// maxQueuedEvents bounds the queue of events for the coordinator.
	maxQueuedEvents = 4096
	// pendingTick is the time between two advances of the coordinator while
	// requests are pending.
	pendingTick = 20 * time.Millisecond
	// idleTick is the time between two advances while no request is pending.
	idleTick = 200 * time.Millisecond
	// loadPeriod is the time between two measurements of the load of the
	// pools; it equals the collection interval of the metrics.
	loadPeriod = time.Second
)

// sink receives the decisions for one entry host. It must not block.
type sink func([]coordinator.Decision)

// loop is the event loop that owns this host's coordinator.
type loop struct {
	coordinator *coordinator.Coordinator
	directory   *directory.Directory
	events      chan func(now time.Time)
	sinks       map[string]sink
	seenChanges uint64
	applied     bool
	// poolLoads is the load of the pools at the last measurement.
	poolLoads atomic.Pointer[[]coordinator.Load]
	// measuredAt is the time of the last measurement.
	measuredAt time.Time
	// pending holds the admission requests without a decision.
	pending map[requestKey]bool
}

// requestKey identifies an admission request that has no decision yet.
type requestKey struct {
	entry string
	id    uint64
}

// newLoop returns a loop; the caller must call run.
func newLoop(c *coordinator.Coordinator, d *directory.Directory) *loop {
	return &loop{
		coordinator: c,
		directory:   d,
		events:      make(chan func(time.Time), maxQueuedEvents),
		sinks:       make(map[string]sink),
		pending:     make(map[requestKey]bool),
	}
}

// do queues an event for the loop's goroutine; events run in the order of the
// calls.
func (d *loop) do(ctx context.Context, event func(now time.Time)) {
	select {
	case d.events <- event:
	case <-ctx.Done():
	}
}

// run processes events until ctx is done.
func (d *loop) run(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-d.events:
			now := time.Now()
			event(now)
			for more := true; more; {
				select {
				case event := <-d.events:
					event(now)
				default:
					more = false
				}
			}
		case <-timer.C:
		}
		now := time.Now()
		d.refresh(now)
		d.deliver(d.coordinator.Advance(now))
		d.measureLoads(now)
		wait := idleTick
		if len(d.pending) > 0 {
			wait = pendingTick
		}
		timer.Reset(wait)
	}
}

// measureLoads records the load of the pools for metrics, once per loadPeriod.
func (d *loop) measureLoads(now time.Time) {
	if now.Sub(d.measuredAt) < loadPeriod {
		return
	}
	d.measuredAt = now
	loads := d.coordinator.Loads(now)
	d.poolLoads.Store(&loads)
}

// loads returns the load of the pools at the last measurement.
func (d *loop) loads() []coordinator.Load {
	if l := d.poolLoads.Load(); l != nil {
		return *l
	}
	return nil
}

// refresh applies changes of the directory to the coordinator.
func (d *loop) refresh(now time.Time) {
	changes := d.directory.Changes()
	if d.applied && changes == d.seenChanges {
		return
	}
	d.seenChanges, d.applied = changes, true
	if t := d.directory.Table(); t != nil {
		d.coordinator.SetTable(t, now)
	}
	d.coordinator.SetUpstreams(d.directory.UsableUpstreams(now), now)
}

// deliver sends decisions to their entry hosts.
func (d *loop) deliver(decisions []coordinator.Decision) {
	byEntry := make(map[string][]coordinator.Decision)
	for _, one := range decisions {
		delete(d.pending, requestKey{one.Entry, one.ID})
		byEntry[one.Entry] = append(byEntry[one.Entry], one)
	}
	for entry, list := range byEntry {
		if s := d.sinks[entry]; s != nil {
			s(list)
		}
	}
}

// open registers an entry host and the requests that it already runs.
func (d *loop) open(ctx context.Context, entry string, s sink, running []coordinator.Running) {
	d.do(ctx, func(now time.Time) {
		d.coordinator.DropEntry(entry)
		d.sinks[entry] = s
		d.coordinator.Adopt(entry, running, now)
	})
}

// applyFrame applies a frame from an entry host.
func (d *loop) applyFrame(ctx context.Context, entry string, f *frame) {
	d.do(ctx, func(now time.Time) {
		for _, x := range f.Finishes {
			d.coordinator.Finish(entry, x, now)
		}
		for _, p := range f.Progress {
			d.coordinator.Progress(entry, p)
		}
		for _, id := range f.Withdrawn {
			delete(d.pending, requestKey{entry, id})
			d.coordinator.Withdraw(entry, id)
		}
		for _, req := range f.Asks {
			d.pending[requestKey{entry, req.ID}] = true
			d.coordinator.Submit(entry, req, now)
		}
		if f.Summary != nil {
			d.coordinator.ReceiveSummary(*f.Summary, now)
		}
	})
}

// close removes an entry host whose link has ended.
func (d *loop) close(ctx context.Context, entry string) {
	d.do(ctx, func(time.Time) {
		d.coordinator.DropEntry(entry)
		delete(d.sinks, entry)
		for k := range d.pending {
			if k.entry == entry {
				delete(d.pending, k)
			}
		}
	})
}
