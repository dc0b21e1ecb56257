package linker

import (
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// sharesInterval is the time between two messages with the workspaces over their share. An
// entry host keeps to one for 3 s.
const sharesInterval = time.Second

// shares are the workspaces that are over their share.
type shares struct {
	Over []coordinator.OverShare
}

// sentShares describes the last message on shares to the entry hosts.
type sentShares struct {
	at time.Time
	// any reports whether it listed a workspace.
	any bool
}

// publishShares sends the workspaces over their share to the entry hosts if this host
// coordinates. An empty list is sent once, to end those before it.
func (l *loop) publishShares(now time.Time) {
	if l.coordinator.Standalone() || now.Sub(l.sentShares.at) < sharesInterval {
		return
	}
	over := l.coordinator.OverShares(now)
	before := l.sentShares.any
	l.sentShares = sentShares{at: now, any: len(over) > 0}
	if len(over) == 0 && !before {
		return
	}
	for _, s := range l.sinks {
		s(response{Shares: &shares{Over: over}})
	}
}

// holdShares passes the workspaces over their share on to this host's own coordinator.
func (l *Linker) holdShares(s *shares) {
	if s != nil {
		l.loop.enqueue(l.ctx, func(now time.Time) { l.loop.coordinator.HoldShares(s.Over, now) })
	}
}
