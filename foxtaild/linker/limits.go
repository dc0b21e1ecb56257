package linker

import (
	"maps"
	"slices"
	"time"

	"foxtaillug.org/scheduler/observer"
)

// limitInterval is the time between two messages with changed limits to entry hosts.
const limitInterval = time.Second

// limitView is what a host knows from the responses of upstreams, at a time.
type limitView struct {
	at   time.Time
	list []observer.Observation
	// byUpstream holds the elements of list by upstream, and pauses those with a pause.
	byUpstream, pauses map[string]observer.Observation
}

// newLimitView returns the view of a host on a list. Pauses of other hosts are left out.
func newLimitView(host string, list []observer.Observation, now time.Time) *limitView {
	v := &limitView{at: now, byUpstream: make(map[string]observer.Observation, len(list)), pauses: make(map[string]observer.Observation)}
	for _, o := range list {
		switch {
		case o.PauseFor <= 0:
			v.byUpstream[o.Upstream] = o
		case o.Host == host:
			v.pauses[o.Upstream] = o
		default:
			continue
		}
		v.list = append(v.list, o)
	}
	return v
}

// observations returns the limits with their ages at a later time.
func (v *limitView) observations(now time.Time) []observer.Observation {
	list := make([]observer.Observation, len(v.list))
	for i, o := range v.list {
		o.Age += now.Sub(v.at)
		o.ColdFor = max(0, o.ColdFor-now.Sub(v.at))
		o.PauseFor = max(0, o.PauseFor-now.Sub(v.at))
		list[i] = o
	}
	return list
}

// sensitive reports whether an upstream has a limit, is brittle or leaving.
func (v *limitView) sensitive(upstream string, born int64) bool {
	if p, paused := v.pauses[upstream]; paused && p.Born >= born {
		return true
	}
	o, known := v.byUpstream[upstream]
	return known && o.Born >= born && (o.Limit.State == observer.Limited || o.Brittle || o.Leaving)
}

// accepts reports whether an upstream accepts requests of this host, or else why not.
func (v *limitView) accepts(upstream string, born int64, now time.Time) (reason string, ok bool) {
	if p, paused := v.pauses[upstream]; paused && p.Born >= born && now.Sub(v.at) < p.PauseFor {
		return "upstreamPaused", false
	}
	if o, known := v.byUpstream[upstream]; known && o.Born >= born && o.Leaving {
		return "upstreamLeaving", false
	}
	return "", true
}

// Accepts reports whether an upstream, whose entry names the start of its process, accepts
// requests of this host as far as it has said, or else why not.
func (l *Linker) Accepts(upstream string, born int64) (reason string, ok bool) {
	return l.loop.limits.Load().accepts(upstream, born, time.Now())
}

// Sensitive reports whether an upstream, whose entry names the start of its process, has named
// a limit, is brittle or leaving, as far as this host knows.
func (l *Linker) Sensitive(upstream string, born int64) bool {
	return l.loop.limits.Load().sensitive(upstream, born)
}

// reportLimits reports the limits that this host knows to the coordinators that it has a link to,
// if any coordinator has changed: each may grant other upstreams than before.
func (l *Linker) reportLimits(before, v *view) {
	list := l.loop.limits.Load().observations(time.Now())
	if len(list) == 0 || maps.Equal(before.coordinators, v.coordinators) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range v.coordinators {
		if k := l.links[address]; k != nil && k.live() {
			k.send(frame{Observed: list})
		}
	}
}

// observe records what a host has read in responses of upstreams.
func (l *loop) observe(source string, list []observer.Observation, now time.Time) {
	for _, o := range list {
		o.Host = source
		if change := l.coordinator.Observe(o, now); change != observer.None {
			l.log.Info("upstream limit", "upstream", o.Upstream, "change", change.String(), "limit", o.Limit.String(), "ageMs", o.Age.Milliseconds(), "pauseMs", o.PauseFor.Milliseconds(), "source", source)
		}
	}
}

// publishLimits keeps limits up to date and, on a coordinator, sends changes to the entry
// hosts, so that those that have to decide for themselves know them.
func (l *loop) publishLimits(now time.Time) {
	changes := l.coordinator.ObservedChanges()
	if v := l.limits.Load(); changes != l.limitsAt || len(v.list) > 0 && now.Sub(v.at) >= limitInterval {
		l.limitsAt = changes
		l.limits.Store(newLimitView(l.host, l.coordinator.Observed(0, now), now))
	}
	if l.coordinator.Standalone() {
		// Once this host coordinates, it sends all limits.
		l.sentLimits = 0
		return
	}
	if changes == l.sentLimits || now.Sub(l.sentLimitsAt) < limitInterval {
		return
	}
	for _, s := range l.sinks {
		l.sendLimits(s, l.sentLimits, now)
	}
	l.sentLimits, l.sentLimitsAt = changes, now
}

// sendLimits sends an entry host the limits that have changed since a number of changes.
// Only coordinators do: entry hosts report what they have seen themselves. The pauses of
// other hosts do not concern it.
func (l *loop) sendLimits(s sink, since uint64, now time.Time) {
	if l.coordinator.Standalone() {
		return
	}
	list := slices.DeleteFunc(l.coordinator.Observed(since, now), func(o observer.Observation) bool { return o.PauseFor > 0 })
	if len(list) > 0 {
		s(response{Observed: list})
	}
}
