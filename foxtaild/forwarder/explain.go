package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"foxtaillug.org/contract"
)

// explanation returns the keys of the log line of a refused request that name what decided on
// the refusal, and no keys for any other request.
func (h *handler) explanation(res Result) slog.Attr {
	e := h.refusal.Explanation
	if e == nil || res.Status != 0 {
		return slog.Attr{}
	}
	attrs := []slog.Attr{
		slog.Int64("waitMs", e.Wait.Milliseconds()),
		slog.Int("upstreamsServing", e.Serving), slog.Int("upstreamsCold", e.Cold),
		slog.Int("upstreamsEjected", e.Ejected), slog.Int("upstreamsLeaving", e.Leaving),
	}
	if e.Asked > 0 || e.Level > 0 {
		attrs = append(attrs, slog.Float64("shareAsked", e.Asked), slog.Float64("shareServed", e.Served), slog.Float64("shareLevel", e.Level))
	}
	// A group without a key is inlined by handlers.
	return slog.Attr{Value: slog.GroupValue(attrs...)}
}

// report logs the request and calls the observer. Requests that failed are
// logged at the warn level, which has a separate log line budget.
func (h *handler) report(ctx context.Context, res Result) {
	r := h.r
	outcome, level := "complete", slog.LevelInfo
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		outcome = "callerGone"
	case res.Status == 0:
		outcome, level = h.refusal.Outcome.String(), slog.LevelWarn
	case !res.Complete:
		outcome, level = "broken", slog.LevelWarn
	case res.Status >= http.StatusInternalServerError:
		outcome, level = "failed", slog.LevelWarn
	}
	took := time.Since(r.Arrived)
	h.log.Log(context.Background(), level, "request",
		"id", r.ID, "route", r.Route.Name, "kind", r.Route.Kind.String(), "workspace", r.Workspace, "tier", r.Tier, "priority", r.Route.Priority, "pool", h.pool,
		"outcome", outcome, "status", res.Status, "reason", h.refusal.Reason,
		"retryAfterMs", h.refusal.RetryAfter.Milliseconds(),
		"resumes", r.Resumes, "after", r.LastEventID, "prompt", r.Prompt, "output", r.Output, "cost", r.Cost, "ageMs", r.Age.Milliseconds(),
		"waitedMs", h.waited.Milliseconds(), "firstMs", h.firstEvent.Milliseconds(), "pauseMs", h.longestPause.Milliseconds(), "tookMs", took.Milliseconds(),
		"owner", h.owner, "directoryAgeMs", h.directoryAge.Milliseconds(), "upstreams", h.tried, "upstreamVersions", h.versions, "streamVersions", h.relayedVersions, "endings", h.endings, "limits", h.limits, "digest", r.logDigest(), "parts", r.logParts(), "handedOverBy", r.HandedOverBy, h.explanation(res))
	if r.HandedOverBy != "" {
		// The caller's host counts it.
		return
	}
	upstream := ""
	if len(h.tried) > 0 {
		upstream = h.tried[len(h.tried)-1]
	}
	h.observe(contract.Explanation{
		RequestID: r.ID, At: r.Arrived, Workspace: r.Workspace, Tier: r.TierName, Pool: h.pool, Owner: h.owner, Upstream: upstream,
		Outcome: outcome, Reason: h.refusal.Reason, WaitedMs: h.waited.Milliseconds(), TotalMs: took.Milliseconds(), Dispatches: h.dispatched,
	}, h.firstEvent)
}
