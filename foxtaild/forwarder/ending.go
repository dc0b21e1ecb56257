package forwarder

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// endUnused ends an attempt in which no byte was sent.
func (a *attempt) endUnused(reason string) attemptResult {
	a.refuse(Refusal{Outcome: NotRun, Reason: reason, RetryAfter: defaultRetryAfter})
	return attemptResult{ending: coordinator.Unused}
}

// endNotAccepted ends an attempt in which no byte was sent, as the upstream has told this host
// to send it no requests, or has left as far as this host knows. The coordinator that granted
// it may not know yet and would grant it again.
func (a *attempt) endNotAccepted(reason string) attemptResult {
	a.exclude(a.grant.Upstream)
	return a.endUnused(reason)
}

// endOtherVersion ends an attempt in which no byte was sent, as the stream can't go on at
// the upstream.
func (a *attempt) endOtherVersion(e registrar.Entry) attemptResult {
	a.exclude(a.grant.Upstream)
	a.log.Info("upstream of another version", "id", a.r.ID, "upstream", e.ID, "upstreamVersion", e.Version, "upstreamPool", e.Pool, "streamVersion", a.origin.Version, "pool", a.origin.Pool)
	return a.endUnused("otherVersion")
}

// endRestarted ends an attempt whose upstream may have another version than the stream.
// Its connection was not lost, so the request is no suspect.
func (a *attempt) endRestarted() attemptResult {
	a.refusal = Refusal{Outcome: Unknown, Reason: "otherVersion", RetryAfter: defaultRetryAfter}
	a.log.Info("upstream of another version", "id", a.r.ID, "upstream", a.upstream.ID, "upstreamVersion", "", "upstreamPool", a.upstream.Pool, "streamVersion", a.origin.Version, "pool", a.origin.Pool)
	return attemptResult{ending: coordinator.Cancelled}
}

// endUnreached ends an attempt whose upstream could not be connected to.
func (a *attempt) endUnreached(ctx context.Context, e registrar.Entry, err error) attemptResult {
	a.refuse(Refusal{Outcome: NotRun, Reason: "unreached", RetryAfter: defaultRetryAfter})
	if ctx.Err() != nil {
		a.setContextRefusal(ctx)
		return attemptResult{ending: coordinator.Unused, final: true}
	}
	a.log.Info("upstream unreached", "id", a.r.ID, "upstream", a.grant.Upstream, "error", err.Error())
	a.markTried(a.grant.Upstream, e.Version)
	a.unreached++
	a.reach.recordFailure(e.Pool, e.ID, true, false, time.Now())
	if errors.Is(err, syscall.ECONNREFUSED) {
		a.returns.recordRefused(e, time.Now())
	}
	return attemptResult{ending: coordinator.ConnectFailed}
}

// endRejected ends an attempt whose request the upstream has not run.
func (a *attempt) endRejected() attemptResult {
	a.possibleRuns--
	a.refuse(Refusal{Outcome: NotRun, Reason: "upstreamRejected", RetryAfter: defaultRetryAfter})
	if a.info.WrongUpstream {
		return attemptResult{ending: coordinator.WrongUpstream}
	}
	return attemptResult{ending: coordinator.Rejected}
}

// endFailed ends an attempt to which the upstream has responded with an error that
// can't be relayed, as the caller has already received events of the stream.
func (a *attempt) endFailed() attemptResult {
	a.refusal = Refusal{Outcome: Unknown, Reason: "upstreamFailed", RetryAfter: defaultRetryAfter}
	a.log.Info("stream not resumed", "id", a.r.ID, "upstream", a.grant.Upstream, "status", a.response.StatusCode, "after", a.lastEventID)
	return attemptResult{ending: coordinator.Failed, status: a.response.StatusCode}
}

// endLost ends an attempt whose request may have run and whose response was
// lost, or that another one has taken over.
func (a *attempt) endLost(ctx context.Context, err error) attemptResult {
	if a.successor != nil {
		a.refusal = Refusal{Outcome: TimedOut, Reason: "upstreamSilent", RetryAfter: defaultRetryAfter}
		a.log.Info("request taken over", "id", a.r.ID, "from", a.grant.Upstream, "to", a.successor.grant.Upstream, "after", a.lastEventID)
		return attemptResult{ending: coordinator.TimedOut, successor: a.successor}
	}
	if a.response == nil && !errors.Is(ctx.Err(), context.Canceled) {
		a.reach.recordFailure(a.upstream.Pool, a.upstream.ID, false, a.conn.Reused(), time.Now())
	}
	if ctx.Err() != nil || !time.Now().Before(a.r.Deadline) {
		a.setContextRefusal(ctx)
		if errors.Is(ctx.Err(), context.Canceled) {
			return attemptResult{ending: coordinator.Cancelled, final: true}
		}
		return attemptResult{ending: coordinator.TimedOut, final: true}
	}
	res := attemptResult{ending: coordinator.ConnectionLost, lostBy: err}
	a.refusal = Refusal{Outcome: Unknown, Reason: "answerLost", RetryAfter: defaultRetryAfter}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		res.ending = coordinator.TimedOut
		a.refusal = Refusal{Outcome: TimedOut, Reason: "upstreamSilent", RetryAfter: defaultRetryAfter}
	}
	a.log.Info("answer lost", "id", a.r.ID, "upstream", a.grant.Upstream, "upstreamVersion", a.upstream.Version, "ending", res.ending.String(), "after", a.lastEventID, "reused", a.conn.Reused(), "digest", a.r.logDigest(), "parts", a.r.logParts(), "error", err.Error())
	return res
}
