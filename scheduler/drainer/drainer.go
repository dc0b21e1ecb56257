// Package drainer decides which upstreams and hosts get no new work because
// they are on their way out.
//
// News of leaving comes from the configuration in force, from the platform's
// host list and from the upstreams' own load reports, each with its own lag.
// Whichever says "leaving" first wins at once; work comes back only when none
// of them says so any more.
package drainer

import (
	"foxtaillug.org/scheduler"
)

// Reason says which source closed an upstream.
type Reason int

// The sources of updates, in the order in which they are reported.
const (
	// InService means that nothing closes the upstream.
	InService Reason = iota
	// DomainDrained means that operators took the failure domain out.
	DomainDrained
	// UpstreamDrained means that operators took the upstream out.
	UpstreamDrained
	// UpstreamLeaving means that the platform or the upstream says so.
	UpstreamLeaving
)

// String returns the reason as it appears in refusals and logs.
func (r Reason) String() string {
	switch r {
	case DomainDrained:
		return "domainDrained"
	case UpstreamDrained:
		return "upstreamDrained"
	case UpstreamLeaving:
		return "upstreamLeaving"
	default:
		return "open"
	}
}

// Drains is what a configuration takes out of service.
type Drains struct {
	domains   map[scheduler.DomainID]bool
	upstreams map[scheduler.UpstreamID]bool
	hosts     map[scheduler.HostID]bool
}

// NewDrains returns the drains of one configuration.
func NewDrains(domains []scheduler.DomainID, upstreams []scheduler.UpstreamID, hosts []scheduler.HostID) Drains {
	return Drains{domains: set(domains), upstreams: set(upstreams), hosts: set(hosts)}
}

// set returns the members of ids.
func set[K comparable](ids []K) map[K]bool {
	m := make(map[K]bool, len(ids))
	for _, id := range ids {
		m[id] = true
	}
	return m
}

// Drainer merges the sources for one host. It is not safe for concurrent use.
type Drainer struct {
	drains  Drains
	leaving map[scheduler.UpstreamID]map[string]bool
}

// New returns a drainer that closes nothing.
func New() *Drainer {
	return &Drainer{leaving: make(map[scheduler.UpstreamID]map[string]bool)}
}

// SetDrains takes the drains of the configuration in force.
func (d *Drainer) SetDrains(drains Drains) {
	d.drains = drains
}

// SetLeaving takes what one source last said of an upstream.
func (d *Drainer) SetLeaving(upstream scheduler.UpstreamID, source string, leaving bool) {
	sources, ok := d.leaving[upstream]
	if !ok {
		sources = make(map[string]bool)
		d.leaving[upstream] = sources
	}
	if leaving {
		sources[source] = true
		return
	}
	delete(sources, source)
}

// UpstreamReason returns why an upstream in a failure domain is closed, or Open.
func (d *Drainer) UpstreamReason(upstream scheduler.UpstreamID, domain scheduler.DomainID) Reason {
	switch {
	case d.drains.domains[domain]:
		return DomainDrained
	case d.drains.upstreams[upstream]:
		return UpstreamDrained
	case len(d.leaving[upstream]) > 0:
		return UpstreamLeaving
	default:
		return InService
	}
}

// HostDraining reports whether a host in a failure domain is on its way out.
func (d *Drainer) HostDraining(host scheduler.HostID, domain scheduler.DomainID) bool {
	return d.drains.hosts[host] || d.drains.domains[domain]
}
