package forwarder

import (
	"context"
	"slices"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// requestGrant requests a grant and returns whether there is one. A refusal is
// kept unless the request may already have run.
func (h *handler) requestGrant(ctx context.Context) (Grant, bool) {
	r := h.r
	if h.quarantine.Refuses(r.Digest, r.Parts) {
		h.refuseQuarantined()
		return Grant{}, false
	}
	ctx, span := h.tracer.Start(ctx, "grantWait")
	defer span.End()
	start := time.Now()
	g, err := h.admitter.Admit(ctx, h.admission(start))
	h.waited += time.Since(start)
	if err != nil {
		h.setContextRefusal(ctx)
		return g, false
	}
	h.owner = g.Owner
	if g.Refusal == nil {
		return g, true
	}
	h.refuse(*g.Refusal)
	return g, false
}

// markTried excludes an upstream from further attempts.
func (h *handler) markTried(id, version string) {
	h.tried = append(h.tried, id)
	h.versions = append(h.versions, version)
}

// admission returns the admission request for another upstream than those tried and
// excluded, of the version that began the stream.
func (h *handler) admission(now time.Time) coordinator.Request {
	r := h.r
	version := ""
	if h.origin != nil {
		version = h.origin.Version
	}
	return coordinator.Request{
		Pool: h.pool, Workspace: r.Workspace, Tier: r.Tier, Priority: r.Route.Priority,
		Age: r.Age + now.Sub(r.Arrived), Objective: r.Route.Objective, MaxPause: r.Route.MaxPause, Left: r.Deadline.Sub(now), Waited: h.waited,
		Cost: r.Cost, Prompt: r.Prompt, Output: r.Output,
		Repeat: h.dispatched > 0, Exclude: slices.Concat(h.tried, h.excluded), Version: version, Regions: r.Regions, Digest: r.Digest, Prefix: r.Prefix,
		Retryable: r.Route.Retryable(),
	}
}
