package linker

import (
	"context"
	"sync/atomic"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
)

const (
	// loopEvents bounds the events that wait for the coordinator.
	loopEvents = 4096
	// loopTick is the time between two looks at what waits.
	loopTick = 20 * time.Millisecond
	// idleTick is the same while nothing waits.
	idleTick = 200 * time.Millisecond
	// loadPeriod is the time between two looks at how full the pools are: as
	// often as metrics are collected.
	loadPeriod = time.Second
)

// sink takes the decisions for one entry. It must not block.
type sink func([]coordinator.Decision)

// loop is the goroutine that owns this host's coordinator.
type loop struct {
	coordinator *coordinator.Coordinator
	directory   *directory.Directory
	events      chan func(now time.Time)
	sinks       map[string]sink
	seen        uint64
	applied     bool
	// loaded is how full the pools were when last looked at.
	loaded atomic.Pointer[[]coordinator.Load]
	// loadedAt is when that was.
	loadedAt time.Time
	// waiting counts asks without a decision.
	waiting map[askKey]bool
}

// askKey identifies an ask that has no decision yet.
type askKey struct {
	entry string
	id    uint64
}

// newLoop returns a loop that must be run.
func newLoop(c *coordinator.Coordinator, d *directory.Directory) *loop {
	return &loop{
		coordinator: c,
		directory:   d,
		events:      make(chan func(time.Time), loopEvents),
		sinks:       make(map[string]sink),
		waiting:     make(map[askKey]bool),
	}
}

// do runs an event on the loop's goroutine, in the order of the calls.
func (d *loop) do(ctx context.Context, event func(now time.Time)) {
	select {
	case d.events <- event:
	case <-ctx.Done():
	}
}

// run serves events until ctx ends.
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
		d.measure(now)
		wait := idleTick
		if len(d.waiting) > 0 {
			wait = loopTick
		}
		timer.Reset(wait)
	}
}

// measure notes now and then how full the pools are, for metrics.
func (d *loop) measure(now time.Time) {
	if now.Sub(d.loadedAt) < loadPeriod {
		return
	}
	d.loadedAt = now
	loads := d.coordinator.Loads(now)
	d.loaded.Store(&loads)
}

// loads returns how full the pools were when last looked at.
func (d *loop) loads() []coordinator.Load {
	if l := d.loaded.Load(); l != nil {
		return *l
	}
	return nil
}

// refresh takes over changes of the directory.
func (d *loop) refresh(now time.Time) {
	changes := d.directory.Changes()
	if d.applied && changes == d.seen {
		return
	}
	d.seen, d.applied = changes, true
	if t := d.directory.Table(); t != nil {
		d.coordinator.SetTable(t, now)
	}
	d.coordinator.SetUpstreams(d.directory.UsableUpstreams(now), now)
}

// deliver hands decisions to their entries.
func (d *loop) deliver(decisions []coordinator.Decision) {
	byEntry := make(map[string][]coordinator.Decision)
	for _, one := range decisions {
		delete(d.waiting, askKey{one.Entry, one.ID})
		byEntry[one.Entry] = append(byEntry[one.Entry], one)
	}
	for entry, list := range byEntry {
		if s := d.sinks[entry]; s != nil {
			s(list)
		}
	}
}

// open makes an entry known.
func (d *loop) open(ctx context.Context, entry string, s sink, running []coordinator.Running) {
	d.do(ctx, func(now time.Time) {
		d.coordinator.DropEntry(entry)
		d.sinks[entry] = s
		d.coordinator.Adopt(entry, running, now)
	})
}

// take applies a frame of an entry.
func (d *loop) take(ctx context.Context, entry string, f *frame) {
	d.do(ctx, func(now time.Time) {
		for _, x := range f.Finishes {
			d.coordinator.Finish(entry, x, now)
		}
		for _, p := range f.Progress {
			d.coordinator.Progress(entry, p)
		}
		for _, id := range f.Withdrawn {
			delete(d.waiting, askKey{entry, id})
			d.coordinator.Withdraw(entry, id)
		}
		for _, a := range f.Asks {
			d.waiting[askKey{entry, a.ID}] = true
			d.coordinator.Submit(entry, a, now)
		}
		if f.Summary != nil {
			d.coordinator.ReceiveSummary(*f.Summary, now)
		}
	})
}

// close forgets an entry whose link has ended.
func (d *loop) close(ctx context.Context, entry string) {
	d.do(ctx, func(time.Time) {
		d.coordinator.DropEntry(entry)
		delete(d.sinks, entry)
		for k := range d.waiting {
			if k.entry == entry {
				delete(d.waiting, k)
			}
		}
	})
}
