package router

import "time"

// Kind says whether the requests of a route may run more than once.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of numbered events. They run
	// at most once, unless the route is resumable.
	Streaming
)

// String returns the name of the kind as it is logged.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "nonIdempotent"
	default:
		return "streaming"
	}
}

// Target is one of the pools among which a route's requests are split, in
// proportion to its weight.
type Target struct {
	Pool   string
	Weight int
}

// Route defines how the requests of one host name and path prefix are served.
// It is read from a document and not changed afterwards.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be run again on another upstream, which sends the
	// same numbered events; those that the caller already has are skipped.
	Resumable bool
	// Public routes need no API key.
	Public bool
	// Timeout is the longest time a request may take, including its response.
	Timeout time.Duration
	// Objective is the target for the time to first byte.
	Objective time.Duration
	// MaxPause is the target for the longest pause between two events.
	MaxPause time.Duration
	// Attempts is the maximum number of upstreams that one request is sent to.
	Attempts int
	// Priority ranks routes within a tier; 0 is the highest.
	Priority int
	// Regions lists the regions that may serve the route; empty means any.
	Regions []string
	Targets []Target
}

// Retryable reports whether a request may be sent to a second upstream after
// the first may have run it.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pool describes the upstreams of one service or model.
type Pool struct {
	Name string
	// ColdRate is the rate that a cold upstream tolerates, in requests per
	// second; 0 means that it is not limited.
	ColdRate float64
	// Stride is the number of tokens in one event of a stream.
	Stride int
	// Memory is the number of tokens that an upstream holds in memory, 0 if it is not
	// known. The digest leaves it out, because hosts of a build without it must get the
	// same digest.
	Memory int `json:"-"`
	// HealthPath is the path of the upstreams' health checks, "" if they have none.
	HealthPath string
}

// Workspace is a customer of the operators, with its API keys and quota.
type Workspace struct {
	Name string
	Keys []string
	Tier int
	// Rate and Burst limit the usage of the workspace, in tokens per second and
	// in tokens; a Rate of 0 means no limit.
	Rate, Burst float64
	// PlainCost is the cost of a request without a token count, in tokens.
	PlainCost float64
	// Regions lists the regions that may serve the workspace; empty means any.
	Regions []string
}

// Limits bound the size and duration of callers' requests and idle connections.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header and
	// body.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout is the time within which a request's header must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
}

// Document is one version of the operators' configuration.
type Document struct {
	Version    uint64
	Routes     []Route
	Pools      []Pool
	Workspaces []Workspace
	Limits     Limits
}
