package receiver

import (
	"encoding/json"
	"net/http"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/foxtaild/internal/granter"
	"foxtaillug.org/foxtaild/internal/keeper"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/drainer"
	"foxtaillug.org/scheduler/registrar"
)

// traceHeader carries the W3C trace context to upstreams.
const traceHeader = "Traceparent"

// codec speaks to the product's own upstreams: plain HTTP, with the request's
// identity in a header that they return.
type codec struct{}

// Encode appends the head of a request. Only headers that are meant for the
// upstream are passed on: never the caller's key.
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

// Decode reads the head of an answer. An upstream that does not return the
// request's identity is taken to answer what it was asked.
func (codec) Decode(r *forwarder.Request, _ int, h http.Header) forwarder.ResponseInfo {
	id := h.Get(HeaderRequestID)
	return forwarder.ResponseInfo{MatchesRequest: id == "" || id == r.ID, Authentic: true}
}

// Tokens reads the number of output tokens from an answer.
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

// upstreams are those of the configuration in force.
type upstreams struct {
	keeper *keeper.Keeper
}

// Usable reports whether the configuration in force lets an upstream have new
// work, and where it is.
func (u upstreams) Usable(id string, _ time.Time) (e registrar.Entry, ok bool) {
	s := u.keeper.State()
	if s == nil {
		return e, false
	}
	m, ok := s.Directory().Upstream(scheduler.UpstreamID(id))
	if !ok {
		return e, false
	}
	d := drainer.New()
	d.SetDrains(granter.Drains(s.Directory()))
	return registrar.Entry{ID: id, Address: m.Address(), Domain: string(m.Domain())}, d.UpstreamReason(m.ID(), m.Domain()) == drainer.InService
}

// Stride returns 1: each event of a stream holds one token.
func (upstreams) Stride(string) int { return 1 }
