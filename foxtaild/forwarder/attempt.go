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
	"foxtaillug.org/scheduler/router"
)

const (
	// headBuffer is the usual size of a request's head, in bytes.
	headBuffer = 1 << 10
	// maxStray is the number of answers to other requests that are skipped on
	// one connection.
	maxStray = 2
	// inlineWrite is the largest request that is written before the answer is
	// read, in bytes; a larger one is written meanwhile, as the upstream may
	// answer before it has read everything.
	inlineWrite = 4 << 10
	// silentFactor times the objective is how long the first byte of an answer
	// may take where the request can be tried elsewhere, but never less than
	// minSilent; readTime is added for each prompt token.
	silentFactor = 2
	minSilent    = 500 * time.Millisecond
	readTime     = 80 * time.Microsecond
	// pauseFactor times the longest allowed pause is how long an event may
	// take where the stream can go on elsewhere, but never less than minPause.
	pauseFactor = 4
	minPause    = 800 * time.Millisecond
)

// errGarbled marks an answer that is not what the upstream meant to say.
var errGarbled = eris.New("the answer is not the upstream's")

// end says how an attempt at one upstream ended.
type end struct {
	ending coordinator.Ending
	// delivered reports that the answer was passed on whole, ended that no
	// further attempt makes sense.
	delivered, ended bool
	status           int
}

// attempt is one request at one upstream.
type attempt struct {
	*run
	grant  Grant
	conn   *connector.Conn
	began  time.Time
	finish coordinator.Finish
	// wrote receives the result of a write that goes on while the answer is
	// read; nil once it has been received.
	wrote chan error
}

// attempt sends the request to the upstream of a grant.
func (n *run) attempt(ctx context.Context, g Grant) (e end) {
	ctx, span := n.tracer.Start(ctx, "upstream", trace.WithAttributes(attribute.String("upstream", g.Upstream)))
	defer span.End()
	a := &attempt{run: n, grant: g, began: time.Now()}
	defer func() {
		a.finish.Ending = e.ending
		a.finish.Total = time.Since(a.began)
		g.ReportFinish(a.finish)
	}()
	id := g.Upstream
	entry, ok := n.directory.Usable(id, time.Now())
	if !ok {
		return a.unused("upstreamLeft")
	}
	conn, err := n.connector.Get(ctx, id, entry.Address)
	if err != nil {
		return a.unreached(ctx, err)
	}
	a.conn = conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	e = a.exchange(ctx)
	if stop() && e.delivered && a.settled() {
		n.connector.Put(conn)
	} else {
		_ = conn.Close()
	}
	return e
}

// settled reports whether the connection can carry another request: what was
// to be written has been.
func (a *attempt) settled() bool {
	if a.conn == nil {
		return false
	}
	if a.wrote == nil {
		return true
	}
	select {
	case err := <-a.wrote:
		return err == nil
	default:
		return false
	}
}

// unused ends an attempt of which no byte has left.
func (a *attempt) unused(reason string) end {
	a.refusal = Refusal{Outcome: NotRun, Reason: reason, RetryAfter: retryLater}
	return end{ending: coordinator.Unused}
}

// unreached ends an attempt whose upstream took no connection.
func (a *attempt) unreached(ctx context.Context, err error) end {
	if !a.maybeRun {
		a.refusal = Refusal{Outcome: NotRun, Reason: "unreached", RetryAfter: retryLater}
	}
	if ctx.Err() != nil {
		a.refuse(ctx)
		return end{ending: coordinator.Unused, ended: true}
	}
	a.log.Info("upstream unreached", "id", a.r.ID, "upstream", a.grant.Upstream, "error", err.Error())
	a.tried = append(a.tried, a.grant.Upstream)
	return end{ending: coordinator.Unreached}
}

// exchange sends the request and passes the answer on.
func (a *attempt) exchange(ctx context.Context) end {
	now := time.Now()
	left := time.Until(a.r.Deadline)
	if now.After(a.grant.Expires) {
		return a.unused("grantExpired")
	}
	if left < minLeft {
		a.refuse(ctx)
		return end{ending: coordinator.Unused, ended: true}
	}
	entry, ok := a.directory.Usable(a.grant.Upstream, now)
	if !ok || ctx.Err() != nil {
		return a.unused("upstreamLeft")
	}
	_ = a.conn.SetDeadline(a.r.Deadline)
	head := a.codec.Encode(make([]byte, 0, headBuffer), a.r, Dispatch{Upstream: entry, Remaining: left, LastEventID: a.after, Trace: traceContext(ctx)})
	a.tried = append(a.tried, a.grant.Upstream)
	a.sent++
	before := a.maybeRun
	a.maybeRun = true
	a.began = now
	if err := a.write(head); err != nil {
		return a.lost(ctx, err)
	}
	resp, ans, err := a.readHead()
	if err != nil {
		return a.lost(ctx, err)
	}
	a.finish.ColdFor = ans.ColdFor
	if ans.NotRun || ans.WrongUpstream {
		a.maybeRun = before
		return a.rejected(ans)
	}
	if resp.StatusCode/100 == 2 && (!ans.Authentic || resp.Header.Get("Content-Encoding") != "") {
		return a.lost(ctx, errGarbled)
	}
	a.ran = true
	a.setIdle(resp.Header)
	if a.r.Route.Kind == router.Streaming && resp.StatusCode/100 == 2 {
		return a.stream(ctx, resp)
	}
	return a.plain(ctx, resp, ans)
}

// traceContext returns the W3C trace context of a span that is recorded.
func traceContext(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c.Get("traceparent")
}

// write sends the request, in the background if it is long.
func (a *attempt) write(head []byte) error {
	buffers := net.Buffers{head, a.r.Body}
	if len(head)+len(a.r.Body) <= inlineWrite {
		_, err := buffers.WriteTo(a.conn.Conn)
		return err
	}
	a.wrote = make(chan error, 1)
	go func() {
		_, err := buffers.WriteTo(a.conn.Conn)
		a.wrote <- err
	}()
	return nil
}

// silence returns how long the first byte may take.
func (a *attempt) silence() time.Duration {
	if !a.r.Route.Repeatable() || a.sent >= a.r.Route.Attempts {
		return time.Until(a.r.Deadline)
	}
	d := max(silentFactor*a.r.Route.Objective, minSilent) + time.Duration(a.r.Prompt)*readTime
	return min(d, time.Until(a.r.Deadline))
}

// readHead reads the head of the answer, past answers to other requests.
func (a *attempt) readHead() (resp *http.Response, ans ResponseInfo, err error) {
	_ = a.conn.SetReadDeadline(time.Now().Add(a.silence()))
	for range maxStray + 1 {
		resp, err = http.ReadResponse(a.conn.Reader(), &http.Request{Method: a.r.Method})
		if err != nil {
			return nil, ans, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		ans = a.codec.Decode(a.r, resp.StatusCode, resp.Header)
		if ans.MatchesRequest || ans.NotRun || ans.WrongUpstream {
			return resp, ans, nil
		}
		if _, err = io.Copy(io.Discard, io.LimitReader(resp.Body, int64(a.answerLimit))); err != nil {
			return nil, ans, err
		}
	}
	return nil, ans, errGarbled
}

// setIdle takes over how long the upstream keeps an idle connection.
func (a *attempt) setIdle(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil {
				a.conn.SetIdleTimeout(time.Duration(s) * time.Second)
			}
		}
	}
}

// rejected ends an attempt that the upstream has not run.
func (a *attempt) rejected(ans ResponseInfo) end {
	if !a.maybeRun {
		a.refusal = Refusal{Outcome: NotRun, Reason: "upstreamRejected", RetryAfter: retryLater}
	}
	if ans.WrongUpstream {
		return end{ending: coordinator.WrongUpstream}
	}
	return end{ending: coordinator.Rejected}
}

// lost ends an attempt whose request may have run and whose answer will not
// come.
func (a *attempt) lost(ctx context.Context, err error) end {
	if ctx.Err() != nil || !time.Now().Before(a.r.Deadline) {
		a.refuse(ctx)
		if errors.Is(ctx.Err(), context.Canceled) {
			return end{ending: coordinator.Abandoned, ended: true}
		}
		return end{ending: coordinator.TimedOut, ended: true}
	}
	e := end{ending: coordinator.ConnectionLost}
	a.refusal = Refusal{Outcome: Unknown, Reason: "answerLost", RetryAfter: retryLater}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		e.ending = coordinator.TimedOut
		a.refusal = Refusal{Outcome: TimedOut, Reason: "upstreamSilent", RetryAfter: retryLater}
	}
	a.log.Info("answer lost", "id", a.r.ID, "upstream", a.grant.Upstream, "ending", e.ending.String(), "after", a.after, "reused", a.conn.Reused(), "error", err.Error())
	return e
}

// plain reads a whole answer and passes it on.
func (a *attempt) plain(ctx context.Context, resp *http.Response, ans ResponseInfo) end {
	_ = a.conn.SetReadDeadline(a.r.Deadline)
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(a.answerLimit)+1))
	if err != nil {
		return a.lost(ctx, err)
	}
	if len(body) > a.answerLimit {
		return a.lost(ctx, errGarbled)
	}
	a.finish.Tokens = a.codec.Tokens(body)
	got := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.Close {
		a.closeAfter()
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.failure = got
		if !ans.Authentic {
			a.failure = nil
			a.refusal = Refusal{Outcome: Unknown, Reason: "upstreamFailed", RetryAfter: retryLater}
		}
		return end{ending: coordinator.Failed, status: resp.StatusCode}
	}
	res := a.deliver(got)
	return end{ending: coordinator.Complete, delivered: res.Complete, ended: true, status: res.Status}
}

// closeAfter closes the connection now that its answer is in.
func (a *attempt) closeAfter() {
	_ = a.conn.Close()
	a.conn = nil
}
