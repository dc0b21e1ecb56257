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
	// assumedFleetSize is the number of hosts that a host assumes while it knows
	// no other: twice the smallest fleet that the operators run.
	assumedFleetSize = 12
	// quotaSlack is the factor by which a share of a quota is increased, within
	// the allowed overshoot, so that a few dead hosts do not reduce the total.
	quotaSlack = 1.15
	// standaloneShare is the fraction of a host's equal share of the fleet's
	// limits that the host uses while it decides without its coordinator. It
	// comes on top of what the coordinators may use.
	standaloneShare = 0.25
	// viewPeriod is the minimum time between two derivations of the view. It is
	// one tick of the membership protocol, so that the changes that arrived
	// within a tick are handled together.
	viewPeriod = gossipTick
)

// view is the state of the fleet as derived from the membership.
type view struct {
	// coordinators maps failure domains to the address of their coordinator.
	coordinators map[string]string
	// coordinating reports whether this host is the coordinator of its failure
	// domain.
	coordinating bool
	// storeReaders are the addresses of the hosts that read the store for this host's
	// region, and readers those of the hosts that feed its failure domain.
	storeReaders, readers []string
	// members are the other known hosts, live or not; hosts is their number
	// plus one for this host.
	members []detector.Member
	hosts   int
	// alone reports whether this host has never had another to connect to.
	alone bool
}

// isAlone reports whether the settings name no other host.
func isAlone(s Settings) bool {
	return !slices.ContainsFunc(s.Seeds, func(address string) bool { return address != s.Address })
}

// readsStore reports whether the host at an address reads the store for the region.
func (v *view) readsStore(address string) bool { return slices.Contains(v.storeReaders, address) }

// isReader reports whether the host at an address feeds the failure domain.
func (v *view) isReader(address string) bool { return slices.Contains(v.readers, address) }

// setReaders sets the readers of the region and of the failure domain of a host among members.
func (v *view) setReaders(members []detector.Member, self detector.Member) {
	v.readers = readersAmong(members, func(m detector.Member) bool { return m.Domain == self.Domain })
	v.storeReaders = readersAmong(members, func(m detector.Member) bool { return m.Region == self.Region })
}

// sources returns the addresses of the hosts that feed the host at an address: the readers of
// its failure domain, or those of the region if it is one of them. Hosts that read the store
// feed each other, as the store may refuse one of them.
func (v *view) sources(address string) []string {
	switch {
	case v.readsStore(address):
		return slices.DeleteFunc(slices.Clone(v.storeReaders), func(a string) bool { return a == address })
	case v.isReader(address):
		return v.storeReaders
	default:
		return v.readers
	}
}

// updateView derives a new view if the membership has changed, at most once per
// viewPeriod, so that many hosts starting at once do not each trigger it.
func (l *Linker) updateView(now time.Time) {
	settled := l.settled(now)
	if c := l.detector.Changes(); c == l.seenChanges && settled == l.wasSettled || now.Sub(l.viewedAt) < viewPeriod {
		return
	}
	l.seenChanges, l.wasSettled, l.viewedAt = l.detector.Changes(), settled, now
	old := l.view.Load()
	v := l.deriveView()
	l.view.Store(v)
	l.reportLimits(old, v)
	l.closeLinksOfDead(v.members)
	if old.coordinating != v.coordinating || old.hosts != v.hosts || !maps.Equal(old.coordinators, v.coordinators) {
		l.log.Info("view of the fleet", "hosts", v.hosts, "coordinator", v.coordinating, "coordinators", v.coordinators)
	}
	l.applyFleet(v)
}

// deriveView computes the view from the membership.
func (l *Linker) deriveView() *view {
	self := l.detector.Self()
	v := &view{coordinators: make(map[string]string), members: l.detector.Members()}
	v.alone = l.view.Load().alone && len(v.members) == 0
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
	v.coordinating = l.wasSettled && oldest[self.Domain].ID == self.ID
	v.setReaders(append(slices.Clone(v.members), self), self)
	return v
}

// settled reports whether this host has listened long enough to know whether it
// is the oldest of its failure domain. Until then it coordinates nothing.
func (l *Linker) settled(now time.Time) bool {
	return len(l.settings.Seeds) == 0 || now.Sub(l.started) >= settleTime
}

// scope returns the failure domains whose upstreams the coordinator of this
// host's failure domain manages: its own, and those without a live host for
// which it is the preferred substitute. Failure domains of the same region are
// preferred, then the first by name.
func (l *Linker) scope(v *view) []string {
	scope := []string{l.settings.Domain}
	for domain, region := range l.settings.Regions {
		if v.coordinators[domain] != "" || domain == l.settings.Domain {
			continue
		}
		candidates := make([]string, 0, len(v.coordinators))
		for d := range v.coordinators {
			candidates = append(candidates, d)
		}
		slices.SortFunc(candidates, func(a, b string) int {
			nearA, nearB := l.settings.Regions[a] == region, l.settings.Regions[b] == region
			if nearA != nearB {
				if nearA {
					return -1
				}
				return 1
			}
			return cmp.Compare(a, b)
		})
		if len(candidates) > 0 && candidates[0] == l.settings.Domain {
			scope = append(scope, domain)
		}
	}
	return scope
}

// fleetSize estimates how many hosts exist and counts the live ones, in total
// and in this host's failure domain. A failure domain of which no host has ever
// been seen, as after a start behind a network partition, is assumed to be as
// large as this host's own. A host that has seen no other assumes a small
// fleet.
func fleetSize(s Settings, members []detector.Member) (hosts, live, own int) {
	known := map[string]int{s.Domain: 1}
	live, own = 1, 1
	for _, m := range members {
		known[m.Domain]++
		if m.Status >= detector.Dead {
			continue
		}
		live++
		if m.Domain == s.Domain {
			own++
		}
	}
	if len(members) == 0 && len(s.Seeds) > 0 {
		known[s.Domain] = max(1, assumedFleetSize/max(len(s.Regions), 1))
	}
	for domain := range s.Regions {
		if known[domain] == 0 {
			known[domain] = known[s.Domain]
		}
	}
	for _, n := range known {
		hosts += n
	}
	return hosts, live, own
}

// applyFleet passes the fleet size, scope and shares of a view to this host's own
// coordinator.
func (l *Linker) applyFleet(v *view) {
	hosts, live, own := fleetSize(l.settings, v.members)
	f := coordinator.Fleet{
		Hosts: hosts, Domain: l.settings.Domain, Regions: l.settings.Regions,
		Standalone: !v.coordinating, Scope: l.scope(v),
		Complete: l.home.complete(l.settings, v.members),
	}
	if v.coordinating {
		f.Share = float64(own) / float64(hosts)
		f.QuotaShare = min(1, quotaSlack*float64(live)/float64(hosts))
	} else {
		f.Share = standaloneShare / float64(hosts)
		f.QuotaShare = standaloneShare / float64(hosts)
	}
	if reflect.DeepEqual(f, l.appliedFleet) {
		return
	}
	l.appliedFleet = f
	l.loop.enqueue(l.ctx, func(now time.Time) { l.loop.coordinator.SetFleet(f, now) })
}
