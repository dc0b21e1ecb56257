package coordinator

import (
	"time"

	"foxtaillug.org/scheduler/balancer"
)

// Request is an admission request for one slot on an upstream of a pool. It is
// also sent between hosts; all times are durations, because the clocks of the
// hosts differ.
type Request struct {
	// ID is the entry host's own number for the request.
	ID        uint64
	Pool      string
	Workspace string
	// Tier is the priority class of the workspace and Priority ranks routes
	// within a tier; 0 is the highest of both.
	Tier, Priority int
	// Age is the time since the caller first sent the request.
	Age time.Duration
	// Objective is the target for the time to first byte, measured from the
	// same moment as Age.
	Objective time.Duration
	// Left is the time until the caller's deadline.
	Left time.Duration
	// Waited is the time the request has already waited for a slot elsewhere.
	Waited time.Duration
	// Cost is charged to the workspace's quota, in tokens.
	Cost float64
	// Prompt and Output are the number of prompt tokens and the expected number
	// of generated tokens; both are 0 for a call of a plain service.
	Prompt, Output int
	// Repeat marks a retry: the request has already been sent to an upstream.
	Repeat bool
	// Exclude lists upstreams that must not be tried again.
	Exclude []string
	// Version is the software version that the upstream must have, as a stream goes on
	// only at the version that began it; empty means any. Versions have no order. A
	// request with a version is called bound to it.
	Version string
	// Regions lists the regions that may serve the request; empty means any.
	Regions []string
	// MaxPause is the target for the longest pause between two events; 0 means unknown.
	MaxPause time.Duration
	// Digest identifies the request's content for owners that quarantine requests,
	// Prefix the start of its prompt; 0 means none.
	Digest, Prefix uint64
	// Content is a short hash of the request's content that distinguishes requests which an
	// upstream has failed; 0 means that it is not known.
	Content uint16
	// Retryable reports whether the request may be sent to a second upstream after it may have
	// run on a first.
	Retryable bool
	// Redirected marks a request that another coordinator has already checked
	// against the limits and redirected; it is not redirected again.
	Redirected bool
}

// Reason is the reason why an admission request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// None means that the request was not refused.
	None Reason = iota
	// NoCapacity means that no slot becomes free in time.
	NoCapacity
	// NoUpstream means that the pool has no upstream that may receive new
	// requests, or none of the version that the request is bound to.
	NoUpstream
	// OverQuota means that the workspace has used up its quota.
	OverQuota
	// OverRetries means that the pool's retry budget is used up.
	OverRetries
	// Quarantined means that earlier runs of the request crashed upstreams. Entry
	// hosts refuse for this reason, coordinators do not.
	Quarantined
)

// String returns the name of the reason as it is logged.
func (r Reason) String() string {
	return [...]string{"none", "noCapacity", "noUpstream", "overQuota", "overRetries", "quarantined"}[r]
}

// Decision is the response to an admission request: an upstream, a redirect to
// the coordinator of another failure domain, or a refusal.
type Decision struct {
	// Entry is the entry host that sent the request.
	Entry string
	ID    uint64
	// Upstream is the granted upstream; empty if none was granted.
	Upstream string
	// Domain is the failure domain that the request is redirected to; empty if
	// there is no redirect.
	Domain string
	Reason Reason
	// RetryAfter is the time after which the caller of a refused request should
	// retry.
	RetryAfter time.Duration
	// TooLarge marks a request that fits into the memory of no upstream of its pool. Its
	// Reason is NoCapacity, because a host of a build before has no name for another one.
	TooLarge bool
	// Explanation is what decided on a refusal, nil if that is not known.
	Explanation *Explanation
}

// Ending is the way in which a granted request ended.
type Ending uint8

// The ways in which a granted request ends.
const (
	// Complete means that the upstream sent a complete and successful response.
	Complete Ending = iota
	// Unused means that the request was not sent to any upstream.
	Unused
	// Rejected means that the upstream refused the request without running it.
	Rejected
	// Failed means that the request ran and the upstream responded with an
	// error.
	Failed
	// ConnectionLost means that the connection closed after the request was
	// sent.
	ConnectionLost
	// TimedOut means that the upstream did not respond in time.
	TimedOut
	// ConnectFailed means that the connection to the upstream could not be
	// established.
	ConnectFailed
	// WrongUpstream means that another upstream than the granted one responded.
	WrongUpstream
	// Cancelled means that the caller cancelled the request.
	Cancelled
)

// String returns the name of the ending as it is logged.
func (e Ending) String() string {
	return [...]string{"complete", "unused", "rejected", "failed", "broken", "silent", "unreached", "mistaken", "abandoned"}[e]
}

// Finish reports to a coordinator how a granted request ended.
type Finish struct {
	ID     uint64
	Ending Ending
	// FirstToken is the time from sending the request to the first event; 0 if
	// there was none.
	FirstToken time.Duration
	// Generating is the time from the first to the last event.
	Generating time.Duration
	// Total is the time from sending the request to its end.
	Total time.Duration
	// Tokens is the number of tokens generated after the first event.
	Tokens int
}

// Progress reports to a coordinator the first event of a granted request.
type Progress struct {
	ID         uint64
	FirstToken time.Duration
}

// Running describes a granted request to a coordinator that did not grant it.
type Running struct {
	ID       uint64
	Upstream string
	Prompt   int
	Output   int
	// Left is the time until the request's deadline.
	Left time.Duration
	// Workspace, Tier and Priority are those of the admission request. An earlier build
	// leaves them out: an empty Workspace means unknown.
	Workspace      string
	Tier, Priority int
}

// Summary is the state that coordinators send each other several times a
// second.
type Summary struct {
	// Process identifies the coordinator's process, Domain its failure domain.
	Process, Domain string
	// Free is the number of free slots of each pool, less the queued requests.
	// Pools without an upstream that may receive new requests are left out.
	Free map[string]int
	// FreeByVersion is Free for the requests that are bound to a version, by pool and
	// version. Upstreams that do not say their version are left out.
	FreeByVersion map[string]map[string]int
	// Used is the usage admitted for each workspace since the process started,
	// in tokens.
	Used map[string]float64
	// Shares is the work of the busiest workspaces by pool and tier. An earlier build
	// leaves it out: it is then unknown, not 0.
	Shares []Share
	// Rooms is the capacity of each pool and how much of it is taken. It is nil if the
	// coordinator is of an earlier build or does not use them.
	Rooms map[string]balancer.Room
	// Ejected lists the upstreams that are out of service for their failures. It is valid for
	// 2 s, as a hint for hosts that take over their failure domain.
	Ejected []string
}

// Load is the load of a pool.
type Load struct {
	Pool string
	// Upstreams counts the upstreams that this coordinator may grant; Cold and
	// Ejected count those of them that are warming up and those that receive no
	// requests for a while after failures.
	Upstreams, Cold, Ejected int
	// Serving counts the upstreams that may receive requests and are not warming up.
	Serving int
	// Leaving counts the upstreams that have said that their process ends soon; the other
	// numbers leave them out.
	Leaving int
	// Out counts the upstreams that are out of service for their failures.
	Out int
	// Pausing counts the upstreams that want no requests of some host for a while.
	Pausing int
	// Paced counts the upstreams that have started or recovered and get fewer requests than
	// they have slots, until they have answered enough in time.
	Paced int
	// Slots is the total number of slots, Running the number of running
	// requests and Waiting the number of queued ones.
	Slots, Running, Waiting int
	// Limited counts the upstreams that name a limit, LimitRate is the sum of the shares
	// of these limits that the coordinator may use, in requests per second, and
	// LimitSpent the number of requests that they have admitted. LimitAge is the time
	// since the limit that has not been confirmed for longest was.
	Limited, LimitSpent int
	LimitRate           float64
	LimitAge            time.Duration
	// WorkRate is the work that the upstreams do per second with all slots in use, in
	// seconds on a typical upstream, and OverflowSent counts the requests that were
	// redirected by forecast.
	WorkRate     float64
	OverflowSent int
}
