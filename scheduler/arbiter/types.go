package arbiter

import (
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/quarantiner"
)

// Upstream is the configuration of an upstream.
type Upstream struct {
	id          scheduler.UpstreamID
	pool        scheduler.PoolID
	domain      scheduler.DomainID
	region      scheduler.RegionID
	coldLimit   int
	limit       int
	warmUp      time.Duration
	loadReports bool
}

// UpstreamOption configures an Upstream.
type UpstreamOption func(*Upstream)

// WithLimits sets the maximum number of concurrent requests while the upstream
// is cold and once it is warm.
func WithLimits(cold, full int) UpstreamOption {
	return func(u *Upstream) { u.coldLimit, u.limit = cold, full }
}

// WithWarmUp sets how long the upstream must respond well before its limit
// rises above the cold limit.
func WithWarmUp(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.warmUp = d }
}

// WithLoadReports sets whether the upstream publishes load reports. One that
// does not must be a plain service; its slots are never leased while in use.
func WithLoadReports(reports bool) UpstreamOption {
	return func(u *Upstream) { u.loadReports = reports }
}

// NewUpstream returns an upstream of a pool in a failure domain of a region.
// Both its limits are 1 by default.
func NewUpstream(id scheduler.UpstreamID, pool scheduler.PoolID, domain scheduler.DomainID, region scheduler.RegionID, opts ...UpstreamOption) Upstream {
	u := Upstream{id: id, pool: pool, domain: domain, region: region, coldLimit: 1, limit: 1}
	for _, opt := range opts {
		opt(&u)
	}
	return u
}

// ID returns the ID of the upstream.
func (u Upstream) ID() scheduler.UpstreamID { return u.id }

// Pool returns the pool of the upstream.
func (u Upstream) Pool() scheduler.PoolID { return u.pool }

// Region returns the region of the upstream.
func (u Upstream) Region() scheduler.RegionID { return u.region }

// Request is an admission request as received from an entry host.
type Request struct {
	pool   scheduler.PoolID
	req    admitter.Request
	digest quarantiner.Digest
}

// NewRequest returns an admission request for a pool; digest is the keyed
// digest of the caller's request.
func NewRequest(pool scheduler.PoolID, req admitter.Request, digest quarantiner.Digest) Request {
	return Request{pool: pool, req: req, digest: digest}
}

// LeaseRequest asks a lessor to lease its shares of upstreams, or returns them.
type LeaseRequest struct {
	to        scheduler.HostID
	upstreams []scheduler.UpstreamID
	release   bool
}

// To returns the lessor.
func (l LeaseRequest) To() scheduler.HostID { return l.to }

// Upstreams returns the upstreams whose shares are requested or returned.
func (l LeaseRequest) Upstreams() []scheduler.UpstreamID { return l.upstreams }

// Release reports whether the shares are returned.
func (l LeaseRequest) Release() bool { return l.release }

// ShedRequest asks another owner of a pool to shed a tier and all lower tiers.
type ShedRequest struct {
	to   scheduler.HostID
	pool scheduler.PoolID
	from scheduler.Tier
	hold time.Duration
}

// To returns the other owner.
func (s ShedRequest) To() scheduler.HostID { return s.to }

// Pool returns the pool.
func (s ShedRequest) Pool() scheduler.PoolID { return s.pool }

// From returns the highest tier to shed.
func (s ShedRequest) From() scheduler.Tier { return s.from }

// Hold returns how long to shed the tiers.
func (s ShedRequest) Hold() time.Duration { return s.hold }

// Actions are the decisions of an Arbiter, to be carried out by the caller.
type Actions struct {
	grants            []admitter.Grant
	refusals          []admitter.Refusal
	leaseRequests     []LeaseRequest
	shedRequests      []ShedRequest
	suspectsChanged   bool
	needsConfirmation bool
}

// Grants returns the granted slots. The entry host of each is in its request
// ID.
func (a Actions) Grants() []admitter.Grant { return a.grants }

// Refusals returns the refused requests.
func (a Actions) Refusals() []admitter.Refusal { return a.refusals }

// LeaseRequests returns the requests to send to lessors.
func (a Actions) LeaseRequests() []LeaseRequest { return a.leaseRequests }

// ShedRequests returns the requests to send to other owners.
func (a Actions) ShedRequests() []ShedRequest { return a.shedRequests }

// SuspectsChanged reports whether to notify peers of new suspects immediately.
func (a Actions) SuspectsChanged() bool { return a.suspectsChanged }

// NeedsConfirmation reports whether to query peers and the platform for a newer
// configuration; call Arbiter.ConfirmConfiguration afterwards.
func (a Actions) NeedsConfirmation() bool { return a.needsConfirmation }

// add appends the actions of a pool.
func (a *Actions) add(p admitter.Actions) {
	a.grants = append(a.grants, p.Grants()...)
	a.refusals = append(a.refusals, p.Refusals()...)
}

// Add appends the actions of a later event.
func (a *Actions) Add(p Actions) {
	a.grants = append(a.grants, p.grants...)
	a.refusals = append(a.refusals, p.refusals...)
	a.leaseRequests = append(a.leaseRequests, p.leaseRequests...)
	a.shedRequests = append(a.shedRequests, p.shedRequests...)
	a.suspectsChanged = a.suspectsChanged || p.suspectsChanged
	a.needsConfirmation = a.needsConfirmation || p.needsConfirmation
}

// Status is the status of an upstream on one host, as shown to operators.
type Status struct {
	id      scheduler.UpstreamID
	slots   int
	limit   int
	running int
	cold    bool
	closed  string
}

// ID returns the ID of the upstream.
func (s Status) ID() scheduler.UpstreamID { return s.id }

// Slots returns how many requests this host may run on the upstream.
func (s Status) Slots() int { return s.slots }

// Limit returns how many concurrent requests the upstream can handle at
// present.
func (s Status) Limit() int { return s.limit }

// Running returns how many requests granted by this host run on the upstream.
func (s Status) Running() int { return s.running }

// Cold reports whether the upstream is cold.
func (s Status) Cold() bool { return s.cold }

// Closed returns why the upstream receives no new requests, or "open".
func (s Status) Closed() string { return s.closed }
