package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/observer"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

const (
	// headBufferBytes is the initial buffer size for a request's head.
	headBufferBytes = 1 << 10
	// maxStrayResponses is the number of interim (1xx) responses and responses to
	// other requests that are skipped in an attempt.
	maxStrayResponses = 2
	// maxResponseHeadBytes is the size limit of the head of a response.
	maxResponseHeadBytes = 64 << 10
	// bodyReadBytes is the initial size of the buffer for a whole response.
	bodyReadBytes = 4 << 10
	// maxKeepAliveSeconds is the longest timeout of a Keep-Alive header that is used.
	maxKeepAliveSeconds = 3600
	// maxInlineWriteBytes is the size of the largest request that is written
	// before the response is read. Larger requests are written concurrently, as
	// the upstream may respond before it has read everything.
	maxInlineWriteBytes = 4 << 10
)

// errInvalidResponse is the error of a response that is not authentic, encoded,
// too large or to another request.
var errInvalidResponse = eris.New("invalid response from upstream: not authentic, encoded, too large or to another request")

// attemptResult is how an attempt at one upstream ended.
type attemptResult struct {
	ending coordinator.Ending
	// delivered reports whether the whole response was relayed; final reports
	// whether the request ends without another attempt.
	delivered, final bool
	status           int
	// successor is the attempt that has taken the request over, if any.
	successor *attempt
	// lostBy is the error of a connection that was lost.
	lostBy error
}

// attempt is the exchange of a request with one upstream.
type attempt struct {
	*handler
	grant Grant
	span  trace.Span
	// upstream is the entry of the upstream that the request was sent to. version is that
	// of its software, empty if it is not known.
	upstream registrar.Entry
	version  string
	conn     *connector.Conn
	// release keeps the end of the request's context from closing the connection. It
	// returns false if that has happened.
	release func() bool
	start   time.Time
	finish  coordinator.Finish
	// written receives the result of a request write that runs while the
	// response is read; nil if there is no such write.
	written chan error
	// response and info are the head of the response once it has been read.
	response *http.Response
	info     ResponseInfo
	// phase is the part of the response that is awaited.
	phase phase
	// successor is the attempt that has taken the request over, if any.
	successor *attempt
	// relayed reports whether an event of this attempt was relayed.
	relayed bool
}

// newAttempt returns an attempt at the upstream of a grant, and its context. The
// attempt must be ended.
func (h *handler) newAttempt(ctx context.Context, g Grant) (*attempt, context.Context) {
	ctx, span := h.tracer.Start(ctx, "upstream", trace.WithAttributes(attribute.String("upstream", g.Upstream)))
	h.owner = g.Owner
	return &attempt{handler: h, grant: g, span: span, start: time.Now(), release: func() bool { return true }}, ctx
}

// attempt sends the request to the upstream of a grant and relays the response.
func (h *handler) attempt(ctx context.Context, g Grant) attemptResult {
	a, ctx := h.newAttempt(ctx, g)
	if res, ok := a.send(ctx); !ok {
		a.end(res)
		return res
	}
	return a.complete(ctx)
}

// complete relays the response to a request that has been sent and ends the attempt.
func (a *attempt) complete(ctx context.Context) attemptResult {
	res := a.receive(ctx)
	if a.successor != nil && res.successor == nil {
		// The response ended in the bytes that had been read before the takeover.
		a.successor.end(attemptResult{ending: coordinator.Cancelled})
	}
	a.end(res)
	return res
}

// end reports how the attempt has ended and keeps the connection if it is reusable.
func (a *attempt) end(res attemptResult) {
	defer a.span.End()
	released := a.release()
	switch {
	case a.conn == nil:
	case released && res.delivered && a.reusable():
		a.connector.Put(a.conn)
	default:
		_ = a.conn.Close()
	}
	a.finish.Ending = res.ending
	a.finish.Total = time.Since(a.start)
	a.grant.ReportFinish(a.finish)
	a.recordRun(res)
}

// reusable reports whether the connection can carry another request: the request has
// been written completely.
func (a *attempt) reusable() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// send connects to the upstream and sends the request. It returns false if the
// attempt ends with a result.
func (a *attempt) send(ctx context.Context) (res attemptResult, ok bool) {
	entry, ok := a.directory.Usable(a.grant.Upstream, time.Now())
	if !ok {
		return a.endNotAccepted("upstreamLeft"), false
	}
	if reason, ok := a.accepts(entry); !ok {
		return a.endNotAccepted(reason), false
	}
	if !a.mayGoOnAt(entry) {
		return a.endOtherVersion(entry), false
	}
	conn, err := a.connector.Get(ctx, a.grant.Upstream, entry.Address)
	if err != nil {
		return a.endUnreached(ctx, entry, err), false
	}
	a.conn = conn
	a.release = context.AfterFunc(ctx, func() { _ = conn.Close() })
	now := time.Now()
	left := time.Until(a.r.Deadline)
	if now.After(a.grant.Expires) {
		return a.endUnused("grantExpired"), false
	}
	if left < minTimeLeft {
		a.setContextRefusal(ctx)
		return attemptResult{ending: coordinator.Unused, final: true}, false
	}
	entry, ok = a.directory.Usable(a.grant.Upstream, now)
	if ctx.Err() != nil {
		return a.endUnused("upstreamLeft"), false
	}
	if !ok {
		return a.endNotAccepted("upstreamLeft"), false
	}
	if reason, ok := a.accepts(entry); !ok {
		return a.endNotAccepted(reason), false
	}
	if a.returns.mayHaveReturned(entry, now) {
		entry.Version = ""
	}
	if !a.mayGoOnAt(entry) {
		return a.endOtherVersion(entry), false
	}
	if a.quarantine.Refuses(a.r.Digest, a.r.Parts) {
		a.refuseQuarantined()
		return attemptResult{ending: coordinator.Unused, final: true}, false
	}
	_ = a.conn.SetDeadline(a.r.Deadline)
	head := a.codec.Encode(make([]byte, 0, headBufferBytes), a.r, Dispatch{Upstream: entry, Remaining: left, LastEventID: a.lastEventID, Trace: traceContext(ctx)})
	a.markTried(a.grant.Upstream, entry.Version)
	a.directoryAge = max(a.directoryAge, a.directory.Age(now))
	a.dispatched++
	a.possibleRuns++
	a.start, a.upstream, a.version = now, entry, entry.Version
	if err := a.writeRequest(head); err != nil {
		return a.endLost(ctx, err), false
	}
	return res, true
}

// receive relays the response to a request that has been sent.
func (a *attempt) receive(ctx context.Context) attemptResult {
	defer a.watch(ctx)()
	if a.response == nil {
		if err := a.readResponseHead(); err != nil {
			return a.endLost(ctx, err)
		}
	}
	resp := a.response
	if a.info.NotRun || a.info.WrongUpstream {
		return a.endRejected()
	}
	if !a.valid() {
		return a.endLost(ctx, errInvalidResponse)
	}
	a.responseStarted = true
	a.setIdleTimeout(resp.Header)
	if a.r.Route.Kind == router.Streaming && resp.StatusCode/100 == 2 {
		a.phase = awaitingEvent
		return a.relayStream(ctx, resp)
	}
	if a.headSent {
		return a.endFailed()
	}
	a.phase = awaitingBody
	return a.relayWhole(ctx, resp, a.info)
}

// valid reports whether the head of a successful response is authentic and its body
// not encoded.
func (a *attempt) valid() bool {
	return a.response.StatusCode/100 != 2 || a.info.Authentic && a.response.Header.Get("Content-Encoding") == ""
}

// traceContext returns the W3C traceparent of the current span, empty if it
// isn't sampled.
func traceContext(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c.Get("traceparent")
}

// writeRequest sends the request, in the background if it is larger than
// maxInlineWriteBytes.
func (a *attempt) writeRequest(head []byte) error {
	buffers := net.Buffers{head, a.r.Body}
	if len(head)+len(a.r.Body) <= maxInlineWriteBytes {
		_, err := buffers.WriteTo(a.conn.Conn)
		return err
	}
	a.written = make(chan error, 1)
	go func() {
		_, err := buffers.WriteTo(a.conn.Conn)
		a.written <- err
	}()
	return nil
}

// readResponseHead reads the head of the response. It skips interim responses and
// responses to other requests. A refusal that names no request may be an earlier one,
// repeated, unless it is the first response on the connection.
func (a *attempt) readResponseHead() error {
	first := !a.conn.Reused()
	for range maxStrayResponses + 1 {
		a.conn.SetReadLimit(maxResponseHeadBytes)
		resp, err := http.ReadResponse(a.conn.Reader(), &http.Request{Method: a.r.Method})
		if err != nil {
			return err
		}
		a.conn.SetReadLimit(-1)
		if resp.StatusCode < http.StatusContinue {
			// net/http panics when such a status is written.
			return errInvalidResponse
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		info := a.codec.Decode(a.r, resp.StatusCode, resp.Header)
		if info.MatchesRequest || info.refuses() && !info.NamesOther && first {
			a.response, a.info = resp, info
			a.reach.recordResponse(a.upstream.Pool, a.conn.Reused(), time.Now())
			a.reportTerms()
			return nil
		}
		first = false
		a.log.Info("response to another request", "id", a.r.ID, "upstream", a.upstream.ID, "status", resp.StatusCode, "refuses", info.refuses(), "reused", a.conn.Reused())
		if _, err = io.Copy(io.Discard, io.LimitReader(resp.Body, int64(a.maxResponseBytes))); err != nil {
			return err
		}
	}
	return errInvalidResponse
}

// reportTerms reports what the response says of its upstream.
func (a *attempt) reportTerms() {
	x := a.info.Terms
	a.limits = append(a.limits, x.Limit.String())
	if a.grant.ReportObservation == nil || x == (observer.Terms{}) {
		return
	}
	o := observer.Observation{Upstream: a.upstream.ID, Born: a.upstream.Born, Limit: x.Limit, ColdFor: x.ColdFor, Brittle: x.Brittle, Leaving: x.Leaving, PauseFor: x.PauseFor}
	if x.Limit.State == observer.Unlimited {
		o.Age = time.Since(a.start)
	}
	a.grant.ReportObservation(o)
}

// setIdleTimeout sets the connection's idle timeout from the upstream's
// Keep-Alive header.
func (a *attempt) setIdleTimeout(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s >= 0 && s <= maxKeepAliveSeconds {
				a.conn.SetIdleTimeout(time.Duration(s) * time.Second)
			}
		}
	}
}

// relayWhole reads a whole response and relays it. It keeps a 5xx response
// instead, as the request may be tried at another upstream.
func (a *attempt) relayWhole(ctx context.Context, resp *http.Response, info ResponseInfo) attemptResult {
	body, err := a.readBody(resp.Body)
	if err != nil {
		return a.endLost(ctx, err)
	}
	a.finish.Tokens = a.codec.Tokens(body)
	got := &response{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.Close {
		a.closeConn()
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.failedResponse = got
		if !info.Authentic {
			a.failedResponse = nil
			a.refusal = Refusal{Outcome: Unknown, Reason: "upstreamFailed", RetryAfter: defaultRetryAfter}
		}
		return attemptResult{ending: coordinator.Failed, status: resp.StatusCode}
	}
	res := a.deliver(got)
	return attemptResult{ending: coordinator.Complete, delivered: res.Complete, final: true, status: res.Status}
}

// readBody reads a whole body. It fails if the body is larger than
// maxResponseBytes or if there is no room for it among the buffers of all requests.
func (a *attempt) readBody(body io.Reader) (b []byte, err error) {
	for {
		if len(b) == cap(b) {
			if b, err = a.growBuffer(b, bodyReadBytes); err != nil {
				return nil, err
			}
		}
		// The buffer may be larger than the limit, of which no more than a byte beyond is read.
		n, err := body.Read(b[len(b):min(cap(b), a.maxResponseBytes+1)])
		b = b[:len(b)+n]
		switch {
		case len(b) > a.maxResponseBytes:
			return nil, errInvalidResponse
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// closeConn closes a connection that must not be reused after this response.
func (a *attempt) closeConn() {
	_ = a.conn.Close()
	a.conn = nil
}
