package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtaillug.org/scheduler/ejector"
)

const (
	// hintTTL is how long the verdict of another host is kept, and how long after it has taken
	// over upstreams a coordinator applies such verdicts.
	hintTTL = 2 * time.Second
	// trialPatience is how long a trial waits for a request that may be retried.
	trialPatience = 200 * time.Millisecond
)

// Ejection is an upstream that is out of service for its failures, or back.
type Ejection struct {
	Pool string
	ejector.Change
}

// outliers is the state of outlier ejection.
type outliers struct {
	// pools judge the upstreams of each pool by how they end requests.
	pools map[string]*ejector.Pool
	// hints are the verdicts of other hosts on upstreams, by when they were received.
	hints map[string]time.Time
}

// pool returns the ejector of a pool, creating it if needed.
func (o *outliers) pool(name string) *ejector.Pool {
	e := o.pools[name]
	if e == nil {
		e = &ejector.Pool{}
		if o.pools == nil {
			o.pools = make(map[string]*ejector.Pool)
		}
		o.pools[name] = e
	}
	return e
}

// out returns the number of a pool's upstreams that are out.
func (o *outliers) out(name string) int {
	if e := o.pools[name]; e != nil {
		return e.Out()
	}
	return 0
}

// isOut reports whether the upstream is out of service for its failures.
func (u *upstream) isOut() bool { return u.record != nil && u.record.Out() }

// timeUntilTrial returns the time until the upstream may get a request although it is out.
func (u *upstream) timeUntilTrial(now time.Time) time.Duration {
	if u.record == nil {
		return 0
	}
	return u.record.TimeUntilTrial(now)
}

// assignRecords passes the upstreams of a pool that may receive requests to its ejector.
func (c *Coordinator) assignRecords(p *pool, now time.Time) {
	if !c.features.Ejection {
		return
	}
	records := make([]*ejector.Record, 0, len(p.members))
	for _, u := range p.members {
		if u.record == nil {
			u.record = ejector.NewRecord(u.ID)
		}
		if u.inService() {
			records = append(records, u.record)
		}
	}
	c.outliers.pool(p.Name).SetRecords(records, now)
}

// adopted reports whether the request was granted by another coordinator. When it was sent is not
// known.
func (g *grant) adopted() bool { return g.req.Pool == "" }

// content returns a hash that distinguishes the request from others. Entry hosts of an earlier build
// don't send one; those of their requests that look alike count as one.
func (r *Request) content() uint64 {
	if r.Content != 0 {
		return uint64(r.Content)
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Workspace)
	return d.Sum64() ^ uint64(r.Prompt)<<32 ^ uint64(r.Output)<<16 | 1<<63
}

// recordEvidence passes how a request of an entry host ended, after a first event if responded is
// set, to the ejector of its upstream. A time-out after the first event says that the upstream is
// slow, not that it fails.
func (c *Coordinator) recordEvidence(entry string, g *grant, f Finish, responded bool, now time.Time) {
	u := g.upstream
	if u.record == nil {
		return
	}
	sent := g.at
	if g.adopted() {
		sent = time.Time{}
	}
	e := c.outliers.pool(u.Pool)
	lost := f.Ending == ConnectionLost
	switch {
	case f.Ending == Complete:
		e.Succeeded(u.record, sent, now)
		c.paceRestored(u, g.at, now)
	case f.Ending == Failed,
		lost && (responded || !c.entryOf(entry).reach.CutOff(now)),
		f.Ending == TimedOut && !responded && !c.entryOf(entry).reach.CutOff(now):
		e.Failed(u.record, ejector.Failure{Content: g.req.content(), Sent: sent, Lost: lost}, now)
	default:
		u.record.Void(sent, now)
	}
}

// recordAnswer passes the first event of a request to the ejector of its upstream.
func (c *Coordinator) recordAnswer(g *grant, now time.Time) {
	if u := g.upstream; u.record != nil && !g.adopted() {
		c.outliers.pool(u.Pool).Answered(u.record, g.at, now)
		c.paceRestored(u, g.at, now)
	}
}

// serveTrials reviews which upstreams of a pool are out, and grants each of those whose trial is
// due one queued request.
func (c *Coordinator) serveTrials(p *pool, now time.Time) {
	if !c.features.Ejection {
		return
	}
	c.applyHints(p, now)
	e := c.outliers.pool(p.Name)
	e.Review(now)
	c.paceReviewed(p, e.Out(), now)
	if e.Out() == 0 || len(p.waiting) == 0 {
		return
	}
	for _, u := range p.members {
		if !u.isOut() || !u.record.TrialDue(now) || !u.canAcceptTrial(now) {
			continue
		}
		i := c.nextTrial(p, u, now)
		if i < 0 {
			u.record.Postpone(sweepInterval, now)
			continue
		}
		u.record.StartTrial(now)
		c.grant(p.waiting[i], u, now)
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}

// canAcceptTrial reports whether an upstream that is out may receive a request apart from that.
func (u *upstream) canAcceptTrial(now time.Time) bool {
	if !u.inService() || now.Before(u.ejection.until) || now.Before(u.wrongUntil) || u.pace.Resting(now) ||
		len(u.running) >= u.trialSlots() || !u.withinLimit(now) || u.isClosed(now) {
		return false
	}
	return u.cold == nil || !u.isCold(now) || u.cold.Has(1, now)
}

// trialSlots returns the number of requests up to which an upstream that is out may get a trial.
// A window that failures have reduced does not count: the trial would wait for streams that were
// granted before.
func (u *upstream) trialSlots() int {
	if u.brittle || u.pace.Trial() {
		return u.slots()
	}
	return u.fullSlots()
}

// nextTrial returns the index of the queued request that is sent to an upstream as a trial, or -1 if
// there is none: the least urgent of those that may be retried, as it may fail, or of all others if
// the trial has waited for long. Requests that have been sent before have fewer attempts left.
func (c *Coordinator) nextTrial(p *pool, u *upstream, now time.Time) (last int) {
	last = -1
	patient := u.record.TrialOverdue(now) < trialPatience
	for i, w := range p.waiting {
		if patient && !w.Retryable || w.Repeat || c.tooLate(w, now) || !c.allowed(u, w.entry, w.Request, now) ||
			!u.hasRoom(key{w.entry, w.ID}, w.Request, w.rank(), now) {
			continue
		}
		if last < 0 || w.Retryable && !p.waiting[last].Retryable ||
			w.Retryable == p.waiting[last].Retryable && c.order(w, p.waiting[last]) > 0 {
			last = i
		}
	}
	return last
}

// Ejected returns the upstreams that are out of service for their failures by the evidence of this
// host, sorted by pool and ID; nil if none is.
func (c *Coordinator) Ejected() (ids []string) {
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		if c.outliers.out(name) == 0 {
			continue
		}
		for _, u := range c.pools[name].members {
			if u.isOut() && u.inService() && !u.record.Hinted() {
				ids = append(ids, u.ID)
			}
		}
	}
	return ids
}

// Ejections returns the upstreams that were ejected or have come back since the last call.
func (c *Coordinator) Ejections() (list []Ejection) {
	if !c.features.Ejection {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(c.outliers.pools)) {
		for _, change := range c.outliers.pools[name].Changes() {
			list = append(list, Ejection{Pool: name, Change: change})
		}
	}
	return list
}

// RecordEjected records which upstreams another host has out of service.
func (c *Coordinator) RecordEjected(ids []string, now time.Time) {
	if !c.features.Ejection {
		return
	}
	maps.DeleteFunc(c.outliers.hints, func(_ string, at time.Time) bool { return now.Sub(at) > hintTTL })
	for _, id := range ids {
		if c.outliers.hints == nil {
			c.outliers.hints = make(map[string]time.Time)
		}
		c.outliers.hints[id] = now
	}
}

// applyHints applies the verdicts of other hosts at a host that decides alone or has just taken
// over the upstreams of a pool. Any other coordinator knows better.
func (c *Coordinator) applyHints(p *pool, now time.Time) {
	if len(c.outliers.hints) == 0 || !c.fleet.Standalone && now.Sub(c.tookOverAt) >= hintTTL {
		return
	}
	maps.DeleteFunc(c.outliers.hints, func(_ string, at time.Time) bool { return now.Sub(at) > hintTTL })
	for _, u := range p.members {
		if at, hinted := c.outliers.hints[u.ID]; hinted && u.inService() {
			c.outliers.pool(p.Name).Hint(u.record, at, now)
		}
	}
}
