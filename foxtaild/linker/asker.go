package linker

import (
	"context"
	"slices"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
)

// grantLife is how long a decision stays good: a host that was paused must not
// act on an old one.
const grantLife = 400 * time.Millisecond

// granted is a request that runs by a coordinator's grant.
type granted struct {
	coordinator.Running
	deadline time.Time
	// holders are the links whose coordinators count the request as running:
	// the one that granted it, and those that were told of it since. Each must
	// hear of its end.
	holders []*link
}

// takeLocal takes decisions of this host's own coordinator.
func (l *Linker) takeLocal(decisions []coordinator.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range decisions {
		if ch := l.local[d.ID]; ch != nil {
			ch <- d
			delete(l.local, d.ID)
		}
	}
}

// askLocal asks this host's own coordinator.
func (l *Linker) askLocal(ctx context.Context, a coordinator.Request) (d coordinator.Decision, err error) {
	ch := make(chan coordinator.Decision, 1)
	l.mu.Lock()
	l.local[a.ID] = ch
	l.mu.Unlock()
	l.loop.take(ctx, l.settings.Host, &frame{Asks: []coordinator.Request{a}})
	select {
	case d = <-ch:
		return d, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	delete(l.local, a.ID)
	l.mu.Unlock()
	l.loop.take(l.ctx, l.settings.Host, &frame{Withdrawn: []uint64{a.ID}, Finishes: []coordinator.Finish{{ID: a.ID, Ending: coordinator.Unused}}})
	return d, ctx.Err()
}

// link returns a live link to an address, dialling one if need be.
func (l *Linker) link(ctx context.Context, address string) (*link, error) {
	l.mu.Lock()
	k := l.links[address]
	if k != nil && k.live() {
		l.mu.Unlock()
		return k, nil
	}
	if time.Since(l.failed[address]) < linkRetry {
		l.mu.Unlock()
		return nil, errLink
	}
	l.mu.Unlock()
	k, err := dialLink(ctx, address, l.takeFeed, l.log)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed[address] = time.Now()
		return nil, err
	}
	if other := l.links[address]; other != nil && other.live() {
		k.fail(errLink)
		return other, nil
	}
	l.links[address] = k
	k.send(frame{Hello: l.hello(k)})
	return k, nil
}

// hello describes this entry to a new link's coordinator, which from then on
// holds what runs. The caller holds the lock.
func (l *Linker) hello(k *link) *hello {
	h := &hello{Entry: l.settings.Host}
	for _, r := range l.running {
		r.Left = time.Until(r.deadline)
		r.holders = append(r.holders, k)
		h.Running = append(h.Running, r.Running)
	}
	return h
}

// Admit gets a decision: of this domain's coordinator, of the one it names, or,
// where none answers, of this host alone.
func (l *Linker) Admit(ctx context.Context, a coordinator.Request) (g forwarder.Grant, err error) {
	a.ID = l.seq.Add(1)
	v := l.view.Load()
	began := time.Now()
	var via *link
	var d coordinator.Decision
	if v.self {
		d, err = l.askLocal(ctx, a)
	} else {
		d, via, err = l.askLink(ctx, v.coordinators[l.settings.Domain], a)
	}
	if err == nil && d.Domain != "" {
		next := after(a, time.Since(began))
		next.Redirected = true
		d, via, err = l.askLink(ctx, v.coordinators[d.Domain], next)
		if err == nil && d.Domain != "" {
			err = errLink
		}
	}
	if err != nil && ctx.Err() == nil {
		l.log.Debug("deciding alone", "ask", a.ID, "error", err.Error())
		via = nil
		d, err = l.askLocal(ctx, after(a, time.Since(began)))
		if err == nil && d.Domain != "" {
			d = coordinator.Decision{ID: a.ID, Reason: coordinator.NoCapacity, RetryAfter: linkRetry}
		}
	}
	if err != nil {
		return g, err
	}
	return l.grant(a, d, via), nil
}

// after returns an ask as it is when it has waited for a while.
func after(a coordinator.Request, waited time.Duration) coordinator.Request {
	a.Age += waited
	a.Left -= waited
	a.Waited += waited
	return a
}

// askLink asks a coordinator at an address.
func (l *Linker) askLink(ctx context.Context, address string, a coordinator.Request) (d coordinator.Decision, k *link, err error) {
	if address == "" || address == l.settings.Address {
		return d, nil, errLink
	}
	if k, err = l.link(ctx, address); err != nil {
		return d, nil, err
	}
	d, err = k.ask(ctx, a)
	return d, k, err
}

// grant wraps a decision so that its end is reported to who made it.
func (l *Linker) grant(a coordinator.Request, d coordinator.Decision, via *link) forwarder.Grant {
	now := time.Now()
	g := forwarder.Grant{Owner: l.settings.Host, Upstream: d.Upstream, Expires: now.Add(grantLife)}
	if via != nil {
		g.Owner = via.address
	}
	if d.Upstream == "" {
		g.Refusal = refusal(d)
		return g
	}
	r := &granted{
		Running:  coordinator.Running{ID: a.ID, Upstream: d.Upstream, Prompt: a.Prompt, Output: a.Output, Digest: a.Digest},
		deadline: now.Add(a.Left),
	}
	if via != nil {
		r.holders = []*link{via}
	}
	l.mu.Lock()
	l.running[a.ID] = r
	l.mu.Unlock()
	g.ReportFirstEvent = func(first time.Duration) {
		l.tell(r, via == nil, frame{Progress: []coordinator.Progress{{ID: a.ID, FirstToken: first}}})
	}
	g.ReportFinish = func(f coordinator.Finish) {
		f.ID = a.ID
		l.mu.Lock()
		delete(l.running, a.ID)
		l.mu.Unlock()
		l.tell(r, via == nil, frame{Finishes: []coordinator.Finish{f}})
	}
	return g
}

// refusal says what a coordinator's refusal means for the caller.
func refusal(d coordinator.Decision) *forwarder.Refusal {
	v := forwarder.NotRun
	if d.Reason == coordinator.OverQuota {
		v = forwarder.OverQuota
	}
	return &forwarder.Refusal{Outcome: v, Reason: d.Reason.String(), RetryAfter: d.RetryAfter}
}

// tell reports on a running request to whoever counts it.
func (l *Linker) tell(r *granted, local bool, f frame) {
	if local {
		l.loop.take(l.ctx, l.settings.Host, &f)
	}
	l.mu.Lock()
	holders := slices.Clone(r.holders)
	l.mu.Unlock()
	for _, k := range holders {
		if k.live() {
			k.send(f)
		}
	}
}
