package forwarder

import "log/slog"

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
