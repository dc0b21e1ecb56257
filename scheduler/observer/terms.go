package observer

import (
	"strconv"
	"time"
)

// State is what follows from a response about a limit.
type State uint8

// The states of a limit.
const (
	// Unknown means that nothing follows from the response: it names no limit but is
	// not proved to be the upstream's, or what it names can't be read.
	Unknown State = iota
	// Limited means that the response names a limit.
	Limited
	// Unlimited means that the upstream's response names no limit.
	Unlimited
)

// Limit is what a response says of the rate that its upstream accepts.
type Limit struct {
	State State
	// Rate is the number of requests per second from all hosts together. It is 0 unless
	// State is Limited, and may be 0 then too.
	Rate float64
}

// String returns the limit as it is logged.
func (l Limit) String() string {
	switch l.State {
	case Limited:
		return strconv.FormatFloat(l.Rate, 'g', -1, 64)
	case Unlimited:
		return "none"
	default:
		return "unknown"
	}
}

// Terms are what a response says of its upstream.
type Terms struct {
	Limit Limit
	// ColdFor is the remaining warm-up time.
	ColdFor time.Duration
	// Brittle reports whether the upstream falls over if it has to reject many requests.
	Brittle bool
	// Leaving reports whether the upstream's process ends soon.
	Leaving bool
	// PauseFor is the time for which the upstream wants no requests of the host that sent
	// this one, 0 if it names none.
	PauseFor time.Duration
}
