package receiver

import (
	"encoding/json"
	"net/http"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/foxtaild/internal/granter"
	"foxtaillug.org/foxtaild/internal/tracker"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/drainer"
	"foxtaillug.org/scheduler/registrar"
)

// traceHeader carries the W3C trace context to upstreams.
const traceHeader = "Traceparent"

// codec implements forwarder.Codec for the upstreams of the receiver: plain
// HTTP with the request ID in a header that upstreams may return.
type codec struct{}

// Encode appends the request line and headers. Only headers meant for the
// upstream are forwarded, never the caller's API key.
func (codec) Encode(b []byte, r *forwarder.Request, d forwarder.Dispatch) []byte {
	b = forwarder.AppendRequestLine(b, r.Method, r.Target, d.Upstream.Address)
	for name, values := range r.Header {
		for _, v := range values {
			b = forwarder.AppendHeader(b, name, v)
		}
	}
	b = forwarder.AppendHeader(b, HeaderRequestID, r.ID)
	if d.Trace != "" {
		b = forwarder.AppendHeader(b, traceHeader, d.Trace)
	}
	return forwarder.AppendEnd(b, r.Method, len(r.Body))
}

// Decode interprets the headers of a response. A response without a request ID
// is assumed to belong to the request.
func (codec) Decode(r *forwarder.Request, _ int, h http.Header) forwarder.ResponseInfo {
	id := h.Get(HeaderRequestID)
	return forwarder.ResponseInfo{MatchesRequest: id == "" || id == r.ID, Authentic: true}
}

// Tokens returns the number of output tokens that a response body states.
func (codec) Tokens(body []byte) int {
	var a struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return 0
	}
	return a.Usage.CompletionTokens
}

// upstreamDirectory looks up upstreams in the configuration in force. It
// implements forwarder.Directory.
type upstreamDirectory struct {
	tracker *tracker.Tracker
}

// Usable returns an upstream's entry and whether the configuration in force
// allows the upstream to receive new requests.
func (u upstreamDirectory) Usable(id string, _ time.Time) (e registrar.Entry, ok bool) {
	cfg := u.tracker.Config()
	if cfg == nil {
		return e, false
	}
	m, ok := cfg.Directory().Upstream(scheduler.UpstreamID(id))
	if !ok {
		return e, false
	}
	d := drainer.New()
	d.SetDrains(granter.Drains(cfg.Directory()))
	return registrar.Entry{ID: id, Address: m.Address(), Domain: string(m.Domain())}, d.UpstreamReason(m.ID(), m.Domain()) == drainer.InService
}

// Stride returns 1: each event of a stream holds one token.
func (upstreamDirectory) Stride(string) int { return 1 }

// Age implements forwarder.Directory: the upstreams are those of the configuration in force.
func (upstreamDirectory) Age(time.Time) time.Duration { return 0 }
