package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/scheduler/coordinator"
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
	// The timeout for the first byte of a response, where the request can be
	// tried at another upstream, is firstByteFactor times the route's latency
	// objective, at least minFirstByteTimeout, plus prefillTimePerToken for
	// each prompt token.
	firstByteFactor     = 2
	minFirstByteTimeout = 500 * time.Millisecond
	prefillTimePerToken = 80 * time.Microsecond
	// The timeout for the next event of a stream, where the stream can resume
	// at another upstream, is eventTimeoutFactor times the route's MaxPause, at
	// least minEventTimeout.
	eventTimeoutFactor = 4
	minEventTimeout    = 800 * time.Millisecond
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
}

// attempt is the exchange of a request with one upstream.
type attempt struct {
	*handler
	grant Grant
	// upstream is the entry of the upstream that the request was sent to.
	upstream registrar.Entry
	conn     *connector.Conn
	start    time.Time
	finish   coordinator.Finish
	// written receives the result of a request write that runs while the
	// response is read; nil if there is no such write.
	written chan error
}

// attempt sends the request to the upstream of a grant and relays the response.
func (h *handler) attempt(ctx context.Context, g Grant) (res attemptResult) {
	ctx, span := h.tracer.Start(ctx, "upstream", trace.WithAttributes(attribute.String("upstream", g.Upstream)))
	defer span.End()
	a := &attempt{handler: h, grant: g, start: time.Now()}
	defer func() {
		a.finish.Ending = res.ending
		a.finish.Total = time.Since(a.start)
		g.ReportFinish(a.finish)
		a.recordRun(res)
	}()
	id := g.Upstream
	entry, ok := h.directory.Usable(id, time.Now())
	if !ok {
		return a.endUnused("upstreamLeft")
	}
	conn, err := h.connector.Get(ctx, id, entry.Address)
	if err != nil {
		return a.endUnreached(ctx, err)
	}
	a.conn = conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	res = a.exchange(ctx)
	if stop() && res.delivered && a.reusable() {
		h.connector.Put(conn)
	} else {
		_ = conn.Close()
	}
	return res
}

// recordRun reports to the quarantine how a run ended at the upstream. An error of
// the upstream's own is not reported: it may precede the run.
func (a *attempt) recordRun(res attemptResult) {
	switch {
	case a.upstream.ID == "":
	case res.ending == coordinator.ConnectionLost, res.ending == coordinator.TimedOut:
		a.quarantine.RecordLoss(a.r.Digest, a.upstream, a.start)
	case res.ending != coordinator.Complete, res.status/100 != 2:
	case a.r.Route.Kind == router.Streaming && a.finish.FirstToken == 0:
		// A stream without events may be one that the upstream's crash has ended.
	default:
		a.quarantine.RecordComplete(a.r.Digest)
	}
}

// reusable reports whether the connection can carry another request: it is open
// and the request has been written completely.
func (a *attempt) reusable() bool {
	if a.conn == nil {
		return false
	}
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

// endUnused ends an attempt in which no byte was sent.
func (a *attempt) endUnused(reason string) attemptResult {
	a.refuse(Refusal{Outcome: NotRun, Reason: reason, RetryAfter: defaultRetryAfter})
	return attemptResult{ending: coordinator.Unused}
}

// endUnreached ends an attempt whose upstream could not be connected to.
func (a *attempt) endUnreached(ctx context.Context, err error) attemptResult {
	a.refuse(Refusal{Outcome: NotRun, Reason: "unreached", RetryAfter: defaultRetryAfter})
	if ctx.Err() != nil {
		a.setContextRefusal(ctx)
		return attemptResult{ending: coordinator.Unused, final: true}
	}
	a.log.Info("upstream unreached", "id", a.r.ID, "upstream", a.grant.Upstream, "error", err.Error())
	a.tried = append(a.tried, a.grant.Upstream)
	return attemptResult{ending: coordinator.ConnectFailed}
}

// exchange sends the request and relays the response.
func (a *attempt) exchange(ctx context.Context) attemptResult {
	now := time.Now()
	left := time.Until(a.r.Deadline)
	if now.After(a.grant.Expires) {
		return a.endUnused("grantExpired")
	}
	if left < minTimeLeft {
		a.setContextRefusal(ctx)
		return attemptResult{ending: coordinator.Unused, final: true}
	}
	entry, ok := a.directory.Usable(a.grant.Upstream, now)
	if !ok || ctx.Err() != nil {
		return a.endUnused("upstreamLeft")
	}
	if a.quarantine.Refuses(a.r.Digest) {
		a.refuseQuarantined()
		return attemptResult{ending: coordinator.Unused, final: true}
	}
	_ = a.conn.SetDeadline(a.r.Deadline)
	head := a.codec.Encode(make([]byte, 0, headBufferBytes), a.r, Dispatch{Upstream: entry, Remaining: left, LastEventID: a.lastEventID, Trace: traceContext(ctx)})
	a.tried = append(a.tried, a.grant.Upstream)
	a.dispatched++
	before := a.mayHaveRun
	a.mayHaveRun = true
	a.start, a.upstream = now, entry
	if err := a.writeRequest(head); err != nil {
		return a.endLost(ctx, err)
	}
	resp, info, err := a.readResponseHead()
	if err != nil {
		return a.endLost(ctx, err)
	}
	a.finish.ColdFor = info.ColdFor
	if info.NotRun || info.WrongUpstream {
		a.mayHaveRun = before
		return a.endRejected(info)
	}
	if resp.StatusCode/100 == 2 && (!info.Authentic || resp.Header.Get("Content-Encoding") != "") {
		return a.endLost(ctx, errInvalidResponse)
	}
	a.responseStarted = true
	a.setIdleTimeout(resp.Header)
	if a.r.Route.Kind == router.Streaming && resp.StatusCode/100 == 2 {
		return a.relayStream(ctx, resp)
	}
	return a.relayWhole(ctx, resp, info)
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

// firstByteTimeout returns how long to wait for the first byte of the response.
func (a *attempt) firstByteTimeout() time.Duration {
	if !a.r.Route.Retryable() || a.dispatched >= a.r.Route.Attempts {
		return time.Until(a.r.Deadline)
	}
	d := max(firstByteFactor*a.r.Route.Objective, minFirstByteTimeout) + time.Duration(a.r.Prompt)*prefillTimePerToken
	return min(d, time.Until(a.r.Deadline))
}

// readResponseHead reads the head of the response. It skips interim responses and
// responses to other requests.
func (a *attempt) readResponseHead() (resp *http.Response, info ResponseInfo, err error) {
	_ = a.conn.SetReadDeadline(time.Now().Add(a.firstByteTimeout()))
	for range maxStrayResponses + 1 {
		a.conn.SetReadLimit(maxResponseHeadBytes)
		resp, err = http.ReadResponse(a.conn.Reader(), &http.Request{Method: a.r.Method})
		if err != nil {
			return nil, info, err
		}
		a.conn.SetReadLimit(-1)
		if resp.StatusCode/100 == 1 {
			continue
		}
		info = a.codec.Decode(a.r, resp.StatusCode, resp.Header)
		if info.MatchesRequest || info.NotRun || info.WrongUpstream {
			return resp, info, nil
		}
		if _, err = io.Copy(io.Discard, io.LimitReader(resp.Body, int64(a.maxResponseBytes))); err != nil {
			return nil, info, err
		}
	}
	return nil, info, errInvalidResponse
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

// endRejected ends an attempt whose request the upstream has not run.
func (a *attempt) endRejected(info ResponseInfo) attemptResult {
	a.refuse(Refusal{Outcome: NotRun, Reason: "upstreamRejected", RetryAfter: defaultRetryAfter})
	if info.WrongUpstream {
		return attemptResult{ending: coordinator.WrongUpstream}
	}
	return attemptResult{ending: coordinator.Rejected}
}

// endLost ends an attempt whose request may have run and whose response was
// lost.
func (a *attempt) endLost(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil || !time.Now().Before(a.r.Deadline) {
		a.setContextRefusal(ctx)
		if errors.Is(ctx.Err(), context.Canceled) {
			return attemptResult{ending: coordinator.Cancelled, final: true}
		}
		return attemptResult{ending: coordinator.TimedOut, final: true}
	}
	res := attemptResult{ending: coordinator.ConnectionLost}
	a.refusal = Refusal{Outcome: Unknown, Reason: "answerLost", RetryAfter: defaultRetryAfter}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		res.ending = coordinator.TimedOut
		a.refusal = Refusal{Outcome: TimedOut, Reason: "upstreamSilent", RetryAfter: defaultRetryAfter}
	}
	a.log.Info("answer lost", "id", a.r.ID, "upstream", a.grant.Upstream, "ending", res.ending.String(), "after", a.lastEventID, "reused", a.conn.Reused(), "digest", a.r.logDigest(), "error", err.Error())
	return res
}

// relayWhole reads a whole response and relays it. It keeps a 5xx response
// instead, as the request may be tried at another upstream.
func (a *attempt) relayWhole(ctx context.Context, resp *http.Response, info ResponseInfo) attemptResult {
	_ = a.conn.SetReadDeadline(a.r.Deadline)
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
		n, err := body.Read(b[len(b):cap(b)])
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
