package forwarder

import (
	"errors"
	"io"
	"syscall"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/router"
)

// connectionEnds are the errors of connections that the upstream, or the system that
// it ran on, has ended. Silence is none of them.
var connectionEnds = []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedStream, syscall.ECONNRESET, syscall.EPIPE}

// recordRun reports to the quarantine how a run ended at the upstream. An error of
// the upstream's own is not reported: it may precede the run.
func (a *attempt) recordRun(res attemptResult) {
	switch {
	case a.upstream.ID == "":
	case res.ending == coordinator.ConnectionLost, res.ending == coordinator.TimedOut:
		a.quarantine.RecordLoss(Loss{Digest: a.r.Digest, Parts: a.suspectParts(res.lostBy), Upstream: a.upstream, Sent: a.start})
	case res.ending != coordinator.Complete, res.status/100 != 2:
	case a.r.Route.Kind == router.Streaming && a.finish.FirstToken == 0:
		// A stream without events may be one that the upstream's crash has ended.
	default:
		if a.r.Route.Kind != router.Streaming {
			a.quarantine.RecordBegun(a.r.Parts)
		}
		a.quarantine.RecordComplete(a.r.Digest)
	}
}

// suspectParts returns the parts of the prompt that may have crashed the upstream
// when the connection was lost.
func (h *handler) suspectParts(err error) []uint64 {
	if h.hasBegun() {
		return nil
	}
	for _, end := range connectionEnds {
		if errors.Is(err, end) {
			return h.r.Parts
		}
	}
	return nil
}

// hasBegun reports whether any upstream has begun to answer the request, also in an
// earlier request that this one resumes. The head of a stream is no answer yet.
func (h *handler) hasBegun() bool {
	if h.r.Route.Kind == router.Streaming {
		return h.firstEvent != 0 || h.lastEventID != NoEvent
	}
	return h.responseStarted
}
