// Package scheduler names the things the decision logic talks about: hosts,
// upstreams, pools, workspaces and tiers.
//
// The packages below this one decide, and do nothing else. Each takes events
// together with the time at which they happened and returns orders; none of
// them starts a goroutine, opens a socket or reads a clock. The daemon feeds
// them and carries out what they order, so every decision can be replayed in
// a test on virtual time.
//
// A request passes through them in this order:
//
//   - placer picks the owner host that is asked for a slot;
//   - admitter, on that owner, queues the ask by tier and grants a slot;
//   - ramper says how many slots one upstream can use at present;
//   - leaser says how many of those slots this host may hand out;
//   - drainer says which upstreams must get nothing new;
//   - shedder makes all owners of a pool refuse tiers from the lowest up;
//   - booker runs a call that may not be repeated at most once;
//   - quarantiner keeps requests that crash upstreams away from them;
//   - versioner decides which configuration is in force.
package scheduler

// Tier is a standing; 0 is the highest and is shed last.
type Tier int

// Higher reports whether t has better standing than u.
func (t Tier) Higher(u Tier) bool {
	return t < u
}

// HostID names one foxtaild process by its host.
type HostID string

// IncarnationID names one run of a process; a restart makes a new one.
type IncarnationID string

// UpstreamID names one back end.
type UpstreamID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a region; links between regions are slow.
type RegionID string

// PoolID names the upstreams that serve one model or one service.
type PoolID string

// WorkspaceID names one customer of the operators.
type WorkspaceID string

// RequestID names one request of one entry within an owner.
type RequestID struct {
	entry HostID
	seq   uint64
}

// NewRequestID returns the identity of the request that entry numbered seq.
func NewRequestID(entry HostID, seq uint64) RequestID {
	return RequestID{entry: entry, seq: seq}
}

// Entry returns the host that keeps the request's body.
func (r RequestID) Entry() HostID {
	return r.entry
}

// Seq returns the entry's own number for the request.
func (r RequestID) Seq() uint64 {
	return r.seq
}

// Host is a member of the platform's host list.
type Host struct {
	id      HostID
	domain  DomainID
	region  RegionID
	address string
	leaving bool
}

// HostOption sets a detail of a Host.
type HostOption func(*Host)

// WithAddress sets the IP and port at which peers reach the host.
func WithAddress(address string) HostOption {
	return func(h *Host) { h.address = address }
}

// WithLeaving marks a host that is on its way out.
func WithLeaving(leaving bool) HostOption {
	return func(h *Host) { h.leaving = leaving }
}

// NewHost returns a host in a failure domain of a region.
func NewHost(id HostID, domain DomainID, region RegionID, opts ...HostOption) Host {
	h := Host{id: id, domain: domain, region: region}
	for _, opt := range opts {
		opt(&h)
	}
	return h
}

// ID returns the host's name.
func (h Host) ID() HostID { return h.id }

// Domain returns the host's failure domain.
func (h Host) Domain() DomainID { return h.domain }

// Region returns the host's region.
func (h Host) Region() RegionID { return h.region }

// Address returns the IP and port at which peers reach the host.
func (h Host) Address() string { return h.address }

// Leaving reports whether the host takes no new work.
func (h Host) Leaving() bool { return h.leaving }
