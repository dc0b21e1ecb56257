package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler/reacher"
)

const (
	// probeInterval is the mean time between two probes of upstreams while this host is
	// likely cut off. It doubles, at most maxProbeDoublings times, with each probe that
	// connected although no upstream responded after it.
	probeInterval     = 500 * time.Millisecond
	maxProbeDoublings = 3
)

// reach judges whether this host is cut off from upstreams, from its own attempts. It is safe
// for concurrent use.
type reach struct {
	mu sync.Mutex
	// pools holds the failures at the upstreams of each pool, and all those at any.
	pools map[string]*reacher.Reacher
	all   reacher.Reacher
	// fresh holds the failures on new connections since an upstream last responded on one,
	// at freshAt: kept connections may live on while new ones are refused.
	fresh   reacher.Reacher
	freshAt time.Time
	// probes counts the probes that connected since an upstream last responded.
	probes int
}

// recordFailure records that a connection to an upstream could not be made, if unreached is
// set, or else was lost or silent before a response. It may have been a kept connection.
func (r *reach) recordFailure(pool, upstream string, unreached, reused bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[pool]
	if p == nil {
		p = &reacher.Reacher{}
		r.pools[pool] = p
	}
	p.Failed(upstream, unreached, now)
	r.all.Failed(upstream, unreached, now)
	if !reused {
		r.fresh.Failed(upstream, unreached, now)
	}
}

// recordResponse records that an upstream of a pool has responded, maybe on a kept connection.
func (r *reach) recordResponse(pool string, reused bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !reused {
		r.freshAt = now
		r.fresh.Responded()
	}
	r.probes = 0
	r.all.Responded()
	if p := r.pools[pool]; p != nil {
		p.Responded()
	}
}

// recordProbe records that a connection to an upstream of a pool could be made.
func (r *reach) recordProbe(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes++
	r.all.Probed()
	r.fresh.Probed()
	if p := r.pools[pool]; p != nil {
		p.Probed()
	}
}

// untilProbe returns a random time until the next probe.
func (r *reach) untilProbe() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := probeInterval << min(r.probes, maxProbeDoublings)
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// cutOff reports whether this host is likely cut off from a pool's upstreams.
func (r *reach) cutOff(pool string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[pool]
	return r.all.CutOff(now) || p != nil && p.CutOff(now)
}

// suspects returns the upstreams at which this host has failed, by pool, while it is likely
// cut off.
func (r *reach) suspects(now time.Time) map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make(map[string][]string)
	all := r.all.CutOff(now)
	for name, p := range r.pools {
		if all || p.CutOff(now) {
			list[name] = p.Upstreams(now)
		}
	}
	return list
}

// Gauges returns a metric: whether this host is likely cut off from the upstreams of any pool.
func (f *Forwarder) Gauges() []reporter.Gauge {
	g := reporter.Gauge{Name: "cut_off"}
	if len(f.reach.suspects(time.Now())) > 0 {
		g.Value = 1
	}
	return []reporter.Gauge{g}
}

// CutOff reports whether this host is likely cut off from the upstreams of a pool.
func (f *Forwarder) CutOff(pool string) bool { return f.reach.cutOff(pool, time.Now()) }

// ConnectedSince reports whether any upstream has responded to this host on a new connection
// after a time.
func (f *Forwarder) ConnectedSince(t time.Time) bool {
	f.reach.mu.Lock()
	defer f.reach.mu.Unlock()
	return f.reach.freshAt.After(t)
}

// CannotConnect reports whether this host is likely cut off from upstreams, though kept
// connections may live on.
func (f *Forwarder) CannotConnect() bool {
	f.reach.mu.Lock()
	defer f.reach.mu.Unlock()
	now := time.Now()
	return f.reach.all.CutOff(now) || f.reach.fresh.CutOff(now)
}

// ProbeUpstreams connects to upstreams now and then while this host is likely cut off, until
// ctx is done, so that it notices when it no longer is.
func (f *Forwarder) ProbeUpstreams(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.reach.untilProbe()):
		}
		for pool, upstreams := range f.reach.suspects(time.Now()) {
			if len(upstreams) == 0 {
				continue
			}
			id := upstreams[rand.IntN(len(upstreams))]
			e, ok := f.directory.Usable(id, time.Now())
			if !ok {
				continue
			}
			if err := f.connector.Probe(ctx, e.Address); err != nil {
				f.reach.recordFailure(pool, id, true, false, time.Now())
				continue
			}
			f.log.Info("upstreams reached", "pool", pool, "upstream", id)
			f.reach.recordProbe(pool)
		}
	}
}
