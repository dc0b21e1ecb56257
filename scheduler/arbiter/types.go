package arbiter

import (
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/quarantiner"
)

// Upstream is what the configuration says of a back end.
type Upstream struct {
	id        scheduler.UpstreamID
	pool      scheduler.PoolID
	domain    scheduler.DomainID
	region    scheduler.RegionID
	coldLimit int
	limit     int
	warmUp    time.Duration
	reports   bool
}

// UpstreamOption sets a detail of an Upstream.
type UpstreamOption func(*Upstream)

// WithLimits sets how many requests it tolerates in cold start and at most.
func WithLimits(cold, full int) UpstreamOption {
	return func(u *Upstream) { u.coldLimit, u.limit = cold, full }
}

// WithWarmUp sets how long it must answer well to get more than its cold
// limit.
func WithWarmUp(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.warmUp = d }
}

// WithLoadReports says that the upstream publishes load reports. One that does
// not must be a plain service, whose slots are never lent while in use.
func WithLoadReports(reports bool) UpstreamOption {
	return func(u *Upstream) { u.reports = reports }
}

// NewUpstream returns a back end of a pool in a failure domain.
func NewUpstream(id scheduler.UpstreamID, pool scheduler.PoolID, domain scheduler.DomainID, region scheduler.RegionID, opts ...UpstreamOption) Upstream {
	u := Upstream{id: id, pool: pool, domain: domain, region: region, coldLimit: 1, limit: 1}
	for _, opt := range opts {
		opt(&u)
	}
	return u
}

// ID returns the upstream's name.
func (u Upstream) ID() scheduler.UpstreamID { return u.id }

// Pool returns the pool it belongs to.
func (u Upstream) Pool() scheduler.PoolID { return u.pool }

// Region returns the region it is in.
func (u Upstream) Region() scheduler.RegionID { return u.region }

// Request is an ask as it comes from an entry.
type Request struct {
	pool   scheduler.PoolID
	ask    admitter.Request
	digest quarantiner.Digest
}

// NewRequest returns an ask for a pool with the keyed digest of the request.
func NewRequest(pool scheduler.PoolID, ask admitter.Request, digest quarantiner.Digest) Request {
	return Request{pool: pool, ask: ask, digest: digest}
}

// LeaseRequest asks a lender for its shares of upstreams, or gives them back.
type LeaseRequest struct {
	to        scheduler.HostID
	upstreams []scheduler.UpstreamID
	release   bool
}

// To returns the lender.
func (l LeaseRequest) To() scheduler.HostID { return l.to }

// Upstreams returns whose shares are asked for.
func (l LeaseRequest) Upstreams() []scheduler.UpstreamID { return l.upstreams }

// Release reports whether the shares are given back.
func (l LeaseRequest) Release() bool { return l.release }

// ShedRequest asks an owner to refuse tiers of a pool from one down.
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

// From returns the highest tier to be refused.
func (s ShedRequest) From() scheduler.Tier { return s.from }

// Hold returns for how long.
func (s ShedRequest) Hold() time.Duration { return s.hold }

// Actions are what an Arbiter wants done.
type Actions struct {
	grants   []admitter.Grant
	refusals []admitter.Refusal
	loans    []LeaseRequest
	shuts    []ShedRequest
	suspects bool
	confirm  bool
}

// Grants returns the slots given out, for the entries named in their ids.
func (o Actions) Grants() []admitter.Grant { return o.grants }

// Refusals returns the asks that ended.
func (o Actions) Refusals() []admitter.Refusal { return o.refusals }

// LeaseRequests returns what to ask of lenders.
func (o Actions) LeaseRequests() []LeaseRequest { return o.loans }

// ShedRequests returns what to ask of other owners.
func (o Actions) ShedRequests() []ShedRequest { return o.shuts }

// SuspectsChanged reports whether peers should hear of new suspects at once.
func (o Actions) SuspectsChanged() bool { return o.suspects }

// NeedsConfirmation reports whether peers and the platform are to be asked for a newer
// configuration; Arbiter.NeedsConfirmation is to be called when that was done.
func (o Actions) NeedsConfirmation() bool { return o.confirm }

// add takes over what a pool ordered.
func (o *Actions) add(p admitter.Orders) {
	o.grants = append(o.grants, p.Grants()...)
	o.refusals = append(o.refusals, p.Refusals()...)
}

// Add appends the orders of a later event.
func (o *Actions) Add(p Actions) {
	o.grants = append(o.grants, p.grants...)
	o.refusals = append(o.refusals, p.refusals...)
	o.loans = append(o.loans, p.loans...)
	o.shuts = append(o.shuts, p.shuts...)
	o.suspects = o.suspects || p.suspects
	o.confirm = o.confirm || p.confirm
}

// Status is what operators see of an upstream at one host.
type Status struct {
	id      scheduler.UpstreamID
	slots   int
	limit   int
	running int
	cold    bool
	closed  string
}

// ID returns the upstream's name.
func (s Status) ID() scheduler.UpstreamID { return s.id }

// Slots returns how many requests this host may have on it.
func (s Status) Slots() int { return s.slots }

// Limit returns how many it tolerates at present.
func (s Status) Limit() int { return s.limit }

// Running returns how many it has by this host's grants.
func (s Status) Running() int { return s.running }

// Cold reports whether it is in cold start.
func (s Status) Cold() bool { return s.cold }

// Closed returns why it gets nothing new; "open" when it does.
func (s Status) Closed() string { return s.closed }
