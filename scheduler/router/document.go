package router

import "time"

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of numbered events. They
	// run at most once, unless the route is resumable.
	Streaming
)

// String returns the kind's name for logs.
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

// Target is one of the pools among which a route's requests are split.
type Target struct {
	Pool   string
	Weight int
}

// Route says where the requests of one host and path prefix go. A route is a
// plain record: it is read from a document and not changed afterwards.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Resumable bool
	// Public routes need no API key.
	Public bool
	// Timeout is the longest time a request may take, including its answer.
	Timeout time.Duration
	// Objective is the time to the first byte that the operators aim at.
	Objective time.Duration
	// MaxPause is the longest pause between events that the operators aim at.
	MaxPause time.Duration
	// Attempts is the number of upstreams one request may be sent to.
	Attempts int
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Regions are where the route may be served; empty means anywhere.
	Regions []string
	Targets []Target
}

// Repeatable reports whether a request may be sent to a second upstream after
// the first may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pool describes the upstreams of one service or model.
type Pool struct {
	Name string
	// ColdRate is the rate a cold upstream tolerates, in requests a second;
	// 0 means that it needs no care.
	ColdRate float64
	// Stride is the number of tokens in one event of a stream.
	Stride int
}

// Workspace is one customer of the operators.
type Workspace struct {
	Name string
	Keys []string
	Tier int
	// Rate and Burst bound what the workspace uses, in tokens a second and
	// in tokens; a Rate of 0 means no bound.
	Rate, Burst float64
	// PlainCost is what a request without a token count costs, in tokens.
	PlainCost float64
	// Regions are where the workspace may be served; empty means anywhere.
	Regions []string
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request's head and body.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time in which a request's head must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
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
