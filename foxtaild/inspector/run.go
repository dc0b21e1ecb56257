package inspector

import (
	"context"
	"time"

	"foxtaillug.org/scheduler/registrar"
)

// inspection is the state of one upstream process with losses.
type inspection struct {
	upstream registrar.Entry
	// waiting are the losses to be decided by the next check, checking those to be
	// decided by the running one.
	waiting, checking []loss
	// startedAt is when the running check started; zero if none is running.
	startedAt time.Time
	// deadAt is when the last check that found the upstream dead started.
	deadAt time.Time
}

// isDead reports whether the upstream was known to be dead at a time.
func (n *inspection) isDead(t time.Time) bool {
	return t.After(n.deadAt) && t.Before(n.deadAt.Add(deadValidity))
}

// outcome is the result of a check.
type outcome struct {
	process uint64
	result  result
	err     error
}

// runner is the state of Run.
type runner struct {
	*Inspector
	inspections map[uint64]*inspection
	// queue lists the processes whose check waits for others to end.
	queue    []uint64
	running  int
	outcomes chan outcome
}

// Run checks the upstreams of losses until ctx is done.
func (i *Inspector) Run(ctx context.Context) {
	r := runner{Inspector: i, inspections: make(map[uint64]*inspection), outcomes: make(chan outcome, maxChecks)}
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-i.losses:
			r.addLoss(l)
		case o := <-r.outcomes:
			r.running--
			r.finish(o)
		}
		for r.running < maxChecks && len(r.queue) > 0 {
			r.start(ctx, r.queue[0])
			r.queue = r.queue[1:]
		}
	}
}

// addLoss adds a loss to the inspection of its upstream and queues a check if none
// is queued or running.
func (r *runner) addLoss(l loss) {
	id := processID(l.Upstream)
	n := r.inspections[id]
	if n == nil {
		n = &inspection{upstream: l.Upstream}
		r.inspections[id] = n
	}
	if n.isDead(l.Sent) {
		return
	}
	n.waiting = append(n.waiting, l)
	if n.startedAt.IsZero() && len(n.waiting) == 1 {
		r.queue = append(r.queue, id)
	}
}

// start starts the check of an upstream.
func (r *runner) start(ctx context.Context, id uint64) {
	n := r.inspections[id]
	n.startedAt = time.Now()
	n.checking, n.waiting = n.waiting, nil
	r.running++
	lost := n.checking[0].lost
	go func() {
		res, err := r.checker.check(ctx, n.upstream)
		if res == dead && !r.path.sound(ctx, lost) {
			res, err = r.checkAgain(ctx, n.upstream)
		}
		r.outcomes <- outcome{process: id, result: res, err: err}
	}()
}

// finish applies the result of a check.
func (r *runner) finish(o outcome) {
	r.checked[o.result].Add(1)
	n := r.inspections[o.process]
	if o.result == dead {
		n.deadAt = n.startedAt
		r.log.Info("upstream found dead", "upstream", n.upstream.ID, "pool", n.upstream.Pool, "losses", len(n.checking), "error", o.err.Error())
		for _, l := range n.checking {
			r.recordCrash(l)
		}
	}
	if o.result == unknown {
		r.log.Warn("upstream not checked", "upstream", n.upstream.ID, "losses", len(n.checking), "error", o.err.Error())
	}
	n.checking, n.startedAt = nil, time.Time{}
	later := n.waiting
	n.waiting = nil
	for _, l := range later {
		if o.result == dead && l.Sent.Before(n.deadAt) {
			r.recordCrash(l)
			continue
		}
		r.addLoss(l)
	}
	r.removeOld()
}

// removeOld removes the inspections that have ended.
func (r *runner) removeOld() {
	now := time.Now()
	for id, n := range r.inspections {
		if n.startedAt.IsZero() && len(n.waiting) == 0 && now.Sub(n.deadAt) >= deadValidity {
			delete(r.inspections, id)
		}
	}
}
