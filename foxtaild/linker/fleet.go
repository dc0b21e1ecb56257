package linker

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/detector"
)

const (
	// unknownFleet is the size of fleet that a host assumes which has heard of
	// no other: the smallest that the operators run, twice over.
	unknownFleet = 12
	// quotaSlack widens a part of a quota within the allowed overshoot, so
	// that a few dead hosts cost nothing.
	quotaSlack = 1.15
	// aloneShare is the part of a host's limits that it uses while it decides
	// alone, beside what a coordinator may use.
	aloneShare = 0.25
	// viewPeriod is the least time between two derivations of the view: a tick
	// of the membership protocol, which derives what came in between.
	viewPeriod = gossipTick
)

// view is what is derived from membership.
type view struct {
	// coordinators maps failure domains to the address of their coordinator.
	coordinators map[string]string
	// self reports whether this host is its domain's coordinator.
	self bool
	// readers are the addresses of the hosts that read the store for this
	// host's domain.
	readers []string
	members []detector.Member
	hosts   int
}

// reads reports whether the host at an address reads the store.
func (v *view) reads(address string) bool { return slices.Contains(v.readers, address) }

// viewFleet derives a new view when membership has changed, after a start of
// many hosts not for each of them.
func (l *Linker) viewFleet(now time.Time) {
	settled := l.settled(now)
	if c := l.detector.Changes(); c == l.seen && settled == l.wasSettled || now.Sub(l.viewed) < viewPeriod {
		return
	}
	l.seen, l.wasSettled, l.viewed = l.detector.Changes(), settled, now
	old := l.view.Load()
	v := l.derive()
	l.view.Store(v)
	if old.self != v.self || old.hosts != v.hosts || !maps.Equal(old.coordinators, v.coordinators) {
		l.log.Info("view of the fleet", "hosts", v.hosts, "coordinator", v.self, "coordinators", v.coordinators)
	}
	l.applyFleet(v)
}

// derive works out the coordinators.
func (l *Linker) derive() *view {
	self := l.detector.Self()
	v := &view{coordinators: make(map[string]string), members: l.detector.Members()}
	oldest := make(map[string]detector.Member)
	for _, m := range append(slices.Clone(v.members), self) {
		v.hosts++
		if m.Status >= detector.Dead || m.Leaving {
			continue
		}
		if o, ok := oldest[m.Domain]; !ok || m.Older(o) {
			oldest[m.Domain] = m
		}
	}
	for domain, m := range oldest {
		v.coordinators[domain] = m.Address
	}
	v.self = l.wasSettled && oldest[self.Domain].ID == self.ID
	v.readers = domainReaders(self.Domain, append(slices.Clone(v.members), self))
	return v
}

// settled reports whether this host has listened long enough to know whether
// it is its domain's first. Until then it coordinates nothing.
func (l *Linker) settled(now time.Time) bool {
	return len(l.settings.Seeds) == 0 || now.Sub(l.started) >= settleTime
}

// scope returns the failure domains whose upstreams this host's domain
// coordinates: its own, and those without a live host that it is first to
// take over.
func (l *Linker) scope(v *view) []string {
	scope := []string{l.settings.Domain}
	for domain, region := range l.settings.Regions {
		if v.coordinators[domain] != "" || domain == l.settings.Domain {
			continue
		}
		heirs := make([]string, 0, len(v.coordinators))
		for d := range v.coordinators {
			heirs = append(heirs, d)
		}
		slices.SortFunc(heirs, func(a, b string) int {
			nearA, nearB := l.settings.Regions[a] == region, l.settings.Regions[b] == region
			if nearA != nearB {
				if nearA {
					return -1
				}
				return 1
			}
			return cmp.Compare(a, b)
		})
		if len(heirs) > 0 && heirs[0] == l.settings.Domain {
			scope = append(scope, domain)
		}
	}
	return scope
}

// fleetSize estimates how many hosts exist, and counts those that are heard
// and those of them in this host's failure domain. A failure domain of which
// no host was ever heard, as after a start behind a partition, counts as large
// as this host's own; a host that has heard nobody assumes a small fleet.
func fleetSize(s Settings, members []detector.Member) (hosts, heard, own int) {
	known := map[string]int{s.Domain: 1}
	heard, own = 1, 1
	for _, m := range members {
		known[m.Domain]++
		if m.Status >= detector.Dead {
			continue
		}
		heard++
		if m.Domain == s.Domain {
			own++
		}
	}
	if len(members) == 0 && len(s.Seeds) > 0 {
		known[s.Domain] = max(1, unknownFleet/max(len(s.Regions), 1))
	}
	for domain := range s.Regions {
		if known[domain] == 0 {
			known[domain] = known[s.Domain]
		}
	}
	for _, n := range known {
		hosts += n
	}
	return hosts, heard, own
}

// applyFleet tells the coordinator what the view means for it.
func (l *Linker) applyFleet(v *view) {
	hosts, heard, own := fleetSize(l.settings, v.members)
	f := coordinator.Fleet{
		Hosts: hosts, Domain: l.settings.Domain, Regions: l.settings.Regions,
		Standalone: !v.self, Scope: l.scope(v),
	}
	if v.self {
		f.Share = float64(own) / float64(hosts)
		f.QuotaShare = min(1, quotaSlack*float64(heard)/float64(hosts))
	} else {
		f.Share = aloneShare / float64(hosts)
		f.QuotaShare = aloneShare / float64(hosts)
	}
	if reflect.DeepEqual(f, l.applied) {
		return
	}
	l.applied = f
	l.loop.do(l.ctx, func(now time.Time) { l.loop.coordinator.SetFleet(f, now) })
}
