package linker

import (
	"context"
	"slices"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/observer"
)

// grantLifetime is how long a decision stays valid. It keeps a host that was
// suspended from acting on an old one.
const grantLifetime = 400 * time.Millisecond

// runningRequest is a request that a coordinator has granted and that has not
// ended.
type runningRequest struct {
	coordinator.Running
	deadline time.Time
	// trackers are the links whose coordinators count the request as running:
	// the one that granted it and those that were notified of it since. The end
	// of the request must be reported on each of them.
	trackers []*link
}

// deliverLocal delivers decisions of this host's own coordinator.
func (l *Linker) deliverLocal(r response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range r.Decisions {
		if ch := l.localPending[d.ID]; ch != nil {
			ch <- d
			delete(l.localPending, d.ID)
		}
	}
}

// admitLocally gets a decision from this host's own coordinator.
func (l *Linker) admitLocally(ctx context.Context, req coordinator.Request) (d coordinator.Decision, err error) {
	ch := make(chan coordinator.Decision, 1)
	l.mu.Lock()
	l.localPending[req.ID] = ch
	l.mu.Unlock()
	l.loop.applyFrame(ctx, l.settings.Host, &frame{Asks: []coordinator.Request{req}})
	select {
	case d = <-ch:
		return d, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	delete(l.localPending, req.ID)
	l.mu.Unlock()
	l.loop.applyFrame(l.ctx, l.settings.Host, &frame{Withdrawn: []uint64{req.ID}, Finishes: []coordinator.Finish{{ID: req.ID, Ending: coordinator.Unused}}})
	return d, ctx.Err()
}

// link returns a live link to an address and dials one if there is none.
func (l *Linker) link(ctx context.Context, address string) (*link, error) {
	l.mu.Lock()
	k := l.links[address]
	if k != nil && k.live() {
		l.mu.Unlock()
		return k, nil
	}
	if time.Since(l.dialFailedAt[address]) < linkBackoff {
		l.mu.Unlock()
		return nil, errUnresponsive
	}
	l.mu.Unlock()
	k, err := dialLink(ctx, address, l.receiveUpdate, l.log)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.dialFailedAt[address] = time.Now()
		return nil, err
	}
	if other := l.links[address]; other != nil && other.live() {
		k.fail(errUnresponsive)
		return other, nil
	}
	l.links[address] = k
	k.send(frame{Hello: l.hello(k)})
	return k, nil
}

// hello describes this entry host, its running requests and the limits that it knows to
// the coordinator of a new link, which tracks the requests from then on. The caller holds
// the lock.
func (l *Linker) hello(k *link) *hello {
	h := &hello{Entry: l.settings.Host, Observed: l.loop.limits.Load().observations(time.Now())}
	for _, r := range l.running {
		r.Left = time.Until(r.deadline)
		r.trackers = append(r.trackers, k)
		h.Running = append(h.Running, r.Running)
	}
	return h
}

// Admit gets a decision for an admission request from the coordinator of this
// host's failure domain or from the coordinator it redirects to. If neither
// responds, this host's own coordinator decides.
func (l *Linker) Admit(ctx context.Context, req coordinator.Request) (g forwarder.Grant, err error) {
	req = l.describe(req)
	// Coordinators don't quarantine requests.
	req.ID, req.Digest = l.seq.Add(1), 0
	v := l.view.Load()
	began := time.Now()
	var via *link
	var d coordinator.Decision
	if v.coordinating {
		d, err = l.admitLocally(ctx, req)
	} else {
		d, via, err = l.admitRemotely(ctx, v.coordinators[l.settings.Domain], req)
	}
	if err == nil && d.Domain != "" {
		next := addWait(req, time.Since(began))
		next.Redirected = true
		d, via, err = l.admitRemotely(ctx, v.coordinators[d.Domain], next)
		if err == nil && d.Domain != "" {
			err = errUnresponsive
		}
	}
	if err != nil && ctx.Err() == nil {
		l.log.Debug("coordinator does not respond; deciding locally", "ask", req.ID, "error", err.Error())
		via = nil
		d, err = l.admitLocally(ctx, addWait(req, time.Since(began)))
		if err == nil && d.Domain != "" {
			d = coordinator.Decision{ID: req.ID, Reason: coordinator.NoCapacity, RetryAfter: linkBackoff}
		}
	}
	if err != nil {
		return g, err
	}
	return l.grant(req, d, via), nil
}

// addWait returns a request with its times adjusted for a wait.
func addWait(req coordinator.Request, waited time.Duration) coordinator.Request {
	req.Age += waited
	req.Left -= waited
	req.Waited += waited
	return req
}

// admitRemotely gets a decision from the coordinator at an address.
func (l *Linker) admitRemotely(ctx context.Context, address string, req coordinator.Request) (d coordinator.Decision, k *link, err error) {
	if address == "" || address == l.settings.Address {
		return d, nil, errUnresponsive
	}
	if k, err = l.link(ctx, address); err != nil {
		return d, nil, err
	}
	d, err = k.admit(ctx, req)
	return d, k, err
}

// grant turns a decision into a grant that reports the progress and the end of
// the request to the coordinators that track it.
func (l *Linker) grant(req coordinator.Request, d coordinator.Decision, via *link) forwarder.Grant {
	now := time.Now()
	g := forwarder.Grant{Owner: l.settings.Host, Upstream: d.Upstream, Expires: now.Add(grantLifetime)}
	if via != nil {
		g.Owner = via.address
	}
	if d.Upstream == "" {
		g.Refusal = refusal(d)
		return g
	}
	r := &runningRequest{
		Running: coordinator.Running{
			ID: req.ID, Upstream: d.Upstream, Prompt: req.Prompt, Output: req.Output,
			Workspace: req.Workspace, Tier: req.Tier, Priority: req.Priority,
		},
		deadline: now.Add(req.Left),
	}
	if via != nil {
		r.trackers = []*link{via}
	}
	l.mu.Lock()
	l.running[req.ID] = r
	l.mu.Unlock()
	g.ReportFirstEvent = func(first time.Duration) {
		l.report(r, via == nil, frame{Progress: []coordinator.Progress{{ID: req.ID, FirstToken: first}}})
	}
	g.ReportObservation = func(o observer.Observation) {
		if o.Limit.State != observer.Limited && o.ColdFor <= 0 && !o.Brittle && !o.Leaving && o.PauseFor <= 0 && !l.Sensitive(o.Upstream, o.Born) {
			return
		}
		l.report(r, true, frame{Observed: []observer.Observation{o}})
	}
	g.ReportFinish = func(f coordinator.Finish) {
		f.ID = req.ID
		l.mu.Lock()
		delete(l.running, req.ID)
		l.mu.Unlock()
		l.report(r, via == nil, frame{Finishes: []coordinator.Finish{f}})
	}
	return g
}

// refusal translates a coordinator's refusal for the forwarder.
func refusal(d coordinator.Decision) *forwarder.Refusal {
	o := forwarder.NotRun
	if d.Reason == coordinator.OverQuota {
		o = forwarder.OverQuota
	}
	reason := d.Reason.String()
	if d.TooLarge {
		reason = "tooLarge"
	}
	return &forwarder.Refusal{Outcome: o, Reason: reason, RetryAfter: d.RetryAfter, Explanation: d.Explanation}
}

// report sends a frame about a running request to the coordinators that track it, and to
// this host's own if local is set.
func (l *Linker) report(r *runningRequest, local bool, f frame) {
	if local {
		l.loop.applyFrame(l.ctx, l.settings.Host, &f)
	}
	l.mu.Lock()
	trackers := slices.Clone(r.trackers)
	l.mu.Unlock()
	for _, k := range trackers {
		if k.live() {
			k.send(f)
		}
	}
}
