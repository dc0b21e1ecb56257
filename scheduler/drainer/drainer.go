// Package drainer decides which upstreams and hosts receive no new requests
// because they are being drained or are leaving.
//
// The configuration in force, the platform's host list and the upstreams' own
// load reports can each mark an upstream as leaving, with different delays. The
// first source that does so takes effect immediately; the upstream receives requests
// again only when no source marks it as leaving any more.
package drainer

import (
	"foxtaillug.org/scheduler"
)

// Reason is the reason why an upstream receives no new requests.
type Reason int

// The reasons, in order of precedence if several apply to an upstream.
const (
	// InService means that the upstream receives new requests.
	InService Reason = iota
	// DomainDrained means that an operator has drained the failure domain.
	DomainDrained
	// UpstreamDrained means that an operator has drained the upstream.
	UpstreamDrained
	// UpstreamLeaving means that the platform or the upstream itself has reported
	// that the upstream is leaving.
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

// Drains is the set of failure domains, upstreams and hosts that a configuration
// drains.
type Drains struct {
	domains   map[scheduler.DomainID]bool
	upstreams map[scheduler.UpstreamID]bool
	hosts     map[scheduler.HostID]bool
}

// NewDrains returns the drains of one configuration.
func NewDrains(domains []scheduler.DomainID, upstreams []scheduler.UpstreamID, hosts []scheduler.HostID) Drains {
	return Drains{domains: set(domains), upstreams: set(upstreams), hosts: set(hosts)}
}

// set returns ids as a set.
func set[K comparable](ids []K) map[K]bool {
	m := make(map[K]bool, len(ids))
	for _, id := range ids {
		m[id] = true
	}
	return m
}

// Drainer merges the drains and leaving marks that one host has received. It is
// not safe for concurrent use.
type Drainer struct {
	drains  Drains
	leaving map[scheduler.UpstreamID]map[string]bool
}

// New returns a drainer with no drains and no leaving upstreams.
func New() *Drainer {
	return &Drainer{leaving: make(map[scheduler.UpstreamID]map[string]bool)}
}

// SetDrains replaces the drains with those of the configuration in force.
func (d *Drainer) SetDrains(drains Drains) {
	d.drains = drains
}

// SetLeaving sets whether one source reports an upstream as leaving.
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

// UpstreamReason returns why an upstream in a failure domain receives no new
// requests, or InService.
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

// HostDraining reports whether a host or its failure domain is drained.
func (d *Drainer) HostDraining(host scheduler.HostID, domain scheduler.DomainID) bool {
	return d.drains.hosts[host] || d.drains.domains[domain]
}
