// Package scheduler defines the types that the decision logic shares: hosts,
// upstreams, pools, workspaces and tiers.
//
// The packages below this one contain pure decision logic. Each takes events
// together with the time at which they happened and returns actions; none of
// them starts a goroutine, opens a socket or reads a clock. The daemons feed
// them events and carry out the actions, so tests can replay every decision in
// virtual time.
//
// Two programs use these packages. In foxtaild, several hosts share the slots of
// an upstream. It uses, roughly in the order in which a request needs them:
//
//   - placer picks the owner host from which a slot is requested;
//   - admitter, on that owner, queues the admission request by tier and grants
//     a slot;
//   - ramper computes how many slots of an upstream can be used at present;
//   - leaser computes how many of those slots this host may hand out;
//   - drainer tracks which upstreams must receive no new requests;
//   - shedder makes all owners of a pool refuse tiers from the lowest up;
//   - booker runs a call that is not idempotent at most once;
//   - quarantiner keeps requests that crash upstreams away from them;
//   - versioner decides which configuration is in force;
//   - arbiter combines placer, admitter, ramper, leaser, drainer, shedder and
//     quarantiner into the owner role of one host.
//
// In the program platform, one coordinator host decides for a whole failure
// domain. It uses:
//
//   - router finds the route, pool and workspace of a request;
//   - coordinator queues admission requests and grants slots, with the help of
//     limiter (rates and quotas), estimator (speed of upstreams) and
//     quarantiner;
//   - registrar keeps the directory of upstreams;
//   - pinner knows in which pool and at which software version a stream may go on;
//   - detector maintains the membership of the fleet.
package scheduler

// Tier is a priority class; 0 is the highest and is shed last.
type Tier int

// Higher reports whether t has a higher priority than u.
func (t Tier) Higher(u Tier) bool {
	return t < u
}

// HostID identifies a foxtaild process by the name of its host.
type HostID string

// IncarnationID identifies one run of a process; every restart gets a new one.
type IncarnationID string

// UpstreamID identifies an upstream, a back end that runs requests.
type UpstreamID string

// DomainID identifies a failure domain.
type DomainID string

// RegionID identifies a region. Links between regions are slow.
type RegionID string

// PoolID identifies the upstreams that serve one model or one service.
type PoolID string

// WorkspaceID identifies a workspace, a customer of the operators.
type WorkspaceID string

// RequestID identifies a request of an entry host within an owner.
type RequestID struct {
	entry HostID
	seq   uint64
}

// NewRequestID returns the identifier of the request that the entry host
// numbered seq.
func NewRequestID(entry HostID, seq uint64) RequestID {
	return RequestID{entry: entry, seq: seq}
}

// Entry returns the entry host, which holds the request's body.
func (r RequestID) Entry() HostID {
	return r.entry
}

// Seq returns the entry host's own number for the request.
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

// HostOption sets an optional attribute of a Host.
type HostOption func(*Host)

// WithAddress sets the IP address and port at which peers reach the host.
func WithAddress(address string) HostOption {
	return func(h *Host) { h.address = address }
}

// WithLeaving sets whether the host is shutting down and takes no new requests.
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

// Address returns the IP address and port at which peers reach the host.
func (h Host) Address() string { return h.address }

// Leaving reports whether the host is shutting down and takes no new requests.
func (h Host) Leaving() bool { return h.leaving }
