package coordinator

import "time"

// Request requests one slot on an upstream of a pool. It is a message between
// hosts as well; all times are durations, as the hosts' clocks differ.
type Request struct {
	// ID numbers the ask among those of its entry host.
	ID        uint64
	Pool      string
	Workspace string
	// Tier is the workspace's standing and Priority ranks routes within a
	// tier; 0 is the highest of both.
	Tier, Priority int
	// Age is how long ago the caller first asked.
	Age time.Duration
	// Objective is the time to the first byte that the operators aim at,
	// counted like Age.
	Objective time.Duration
	// Left is how much longer the caller waits.
	Left time.Duration
	// Waited is how long the request has waited for a slot elsewhere.
	Waited time.Duration
	// Cost is what the request takes from its workspace's quota, in tokens.
	Cost float64
	// Prompt and Output are the tokens to be read and expected to be
	// generated; both are 0 for a plain call.
	Prompt, Output int
	// Repeat marks a request that an upstream was already sent.
	Repeat bool
	// Exclude names upstreams that are not to be tried again.
	Exclude []string
	// Regions are where the request may be served; empty means anywhere.
	Regions []string
	// Digest identifies the request's content for the quarantine, Prefix the
	// beginning of its prompt; 0 means none.
	Digest, Prefix uint64
	// Redirected marks an ask that another coordinator has counted against
	// the limits; it is not passed on again.
	Redirected bool
}

// Reason says why an ask was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// None is the reason of an ask that was not refused.
	None Reason = iota
	// NoCapacity means that no slot is free in time.
	NoCapacity
	// NoUpstream means that the pool has no upstream that may get work.
	NoUpstream
	// OverQuota means that the workspace has used up its quota.
	OverQuota
	// OverRetries means that the pool's retry budget is used up.
	OverRetries
	// Quarantined means that the request crashed upstreams before.
	Quarantined
)

// String returns the reason's name for logs.
func (r Reason) String() string {
	return [...]string{"none", "noCapacity", "noUpstream", "overQuota", "overRetries", "quarantined"}[r]
}

// Decision is the answer to an ask: an upstream, another failure domain whose
// coordinator is to be asked, or a refusal.
type Decision struct {
	// Entry is the host that asked.
	Entry string
	ID    uint64
	// Upstream is the upstream granted.
	Upstream string
	// Domain is the failure domain to ask instead.
	Domain string
	Reason Reason
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Ending says how a granted request ended.
type Ending uint8

// The ways a granted request ends.
const (
	// Complete requests were answered well.
	Complete Ending = iota
	// Unused grants reached no upstream.
	Unused
	// Rejected requests were refused by the upstream without running.
	Rejected
	// Failed requests ran and were answered with a failure.
	Failed
	// ConnectionLost requests lost their connection after they had been sent.
	ConnectionLost
	// TimedOut requests got no answer in time.
	TimedOut
	// Unreached upstreams took no connection.
	Unreached
	// WrongUpstream grants reached another upstream than the one named.
	WrongUpstream
	// Abandoned requests were given up by their caller.
	Abandoned
)

// String returns the ending's name for logs.
func (e Ending) String() string {
	return [...]string{"complete", "unused", "rejected", "failed", "broken", "silent", "unreached", "mistaken", "abandoned"}[e]
}

// Finish tells a coordinator how a granted request ended.
type Finish struct {
	ID     uint64
	Ending Ending
	// FirstToken is the time from sending to the first event, 0 if none came.
	FirstToken time.Duration
	// Generating is the time from the first to the last event.
	Generating time.Duration
	// Total is the time from sending to the end.
	Total time.Duration
	// Tokens is the number of tokens generated after the first event.
	Tokens int
	// ColdFor is how much longer the upstream said it stays cold.
	ColdFor time.Duration
}

// Progress tells a coordinator that a granted request got its first event.
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
	Digest   uint64
	// Left is how much longer the request may run.
	Left time.Duration
}

// Summary is what coordinators tell each other several times a second.
type Summary struct {
	// Process names the coordinator's process, Domain its failure domain.
	Process, Domain string
	// Free is the number of free slots of each pool, less what waits. A pool
	// without an upstream that may get work is not in it.
	Free map[string]int
	// Used is what each workspace was admitted since the process started, in
	// tokens.
	Used map[string]float64
	// Crashes counts upstream crashes by request digest.
	Crashes map[uint64]int
}

// Load is how full a pool is.
type Load struct {
	Pool string
	// Upstreams are those that may get work here, Cold and Ejected of them
	// are in cold start or kept from work after failures.
	Upstreams, Cold, Ejected int
	// Slots and Running count requests that fit and that run on them, Waiting
	// those that have no slot yet.
	Slots, Running, Waiting int
}
