package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/scheduler/pinner"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

const (
	// ResumptionDelay is how long after the deadline of a request its caller may still
	// take the stream up: the longest Retry-After, 2 s, and 1 s for a connection.
	ResumptionDelay = 3 * time.Second
	// unknownStreamRetryAfter is the retry delay sent to callers whose stream can't go on
	// here. Copies of its record may still arrive; callers that wait longer learn later
	// that they have to begin anew.
	unknownStreamRetryAfter = 150 * time.Millisecond
	// clockTolerance is by how much the clocks of hosts and upstreams may differ. An
	// upstream that returns takes longer than that.
	clockTolerance = 500 * time.Millisecond
)

// errOtherVersion is the error of a stream from an upstream that has started again since
// the request was sent, so that the version which answers is not known.
var errOtherVersion = eris.New("upstream started again since the request was sent")

// resumesStream reports whether the caller takes up a stream that an earlier request
// began. The responses of other kinds of routes are whole.
func (r *Request) resumesStream() bool {
	return r.Route.Kind == router.Streaming && r.LastEventID != NoEvent
}

// resumable reports whether callers may take up the streams of the request's route.
func (r *Request) resumable() bool { return r.Route.Kind == router.Streaming && r.Route.Resumable }

// stream returns the key of the stream that the request begins or takes up, 0 if there
// is none.
func (r *Request) stream() pinner.Key {
	if r.resumesStream() {
		return r.ResumedStream
	}
	return r.Stream
}

// soughtKey returns the key by which the stream that the request takes up is looked up: that
// of the stream if the caller names it, or else that of all streams with the same content.
// It is 0 if there is none.
func (r *Request) soughtKey() pinner.Key {
	if k := r.stream(); k != 0 {
		return k
	}
	return pinner.ContentKey(r.Digest)
}

// mayUse reports whether the route in force sends requests to a pool.
func (r *Request) mayUse(pool string) bool {
	return pool == r.Pool || slices.ContainsFunc(r.Route.Targets, func(t router.Target) bool { return t.Pool == pool })
}

// findOrigin sets the origin of the stream that the caller takes up. It returns false if
// the stream can't go on.
func (h *handler) findOrigin(ctx context.Context) bool {
	r := h.r
	var o pinner.Origin
	var cause string
	known := false
	switch {
	case !r.resumable():
		cause = "notResumable"
	default:
		cause = "unknown"
		if r.stream() == 0 {
			cause = "unnamed"
		}
		start := time.Now()
		o, known = h.origins.Find(ctx, StreamID{r.soughtKey(), r.Route.Name})
		h.waited += time.Since(start)
	}
	switch {
	case known && o.Version != "" && r.mayUse(o.Pool):
		h.pool, h.origin = o.Pool, &o
		return true
	case ctx.Err() != nil:
		h.setContextRefusal(ctx)
		return false
	case known && o.Version != "":
		cause = "poolLeft"
	}
	h.refuse(Refusal{Outcome: NotRun, Reason: "unknownStream", RetryAfter: unknownStreamRetryAfter})
	h.log.Info("stream not continued", "id", r.ID, "resumes", r.Resumes, "after", r.LastEventID, "cause", cause, "pool", o.Pool, "streamVersion", o.Version)
	return false
}

// mayGoOn reports whether any upstream may send further events: the stream has not begun,
// or it did at a known version.
func (h *handler) mayGoOn() bool { return h.origin == nil || h.origin.Version != "" }

// mayGoOnAt reports whether an upstream may send further events.
func (h *handler) mayGoOnAt(e registrar.Entry) bool {
	return h.origin == nil || h.mayGoOn() && h.origin.Version == e.Version && h.origin.Pool == e.Pool
}

// exclude excludes an upstream that the request was not sent to from further attempts.
func (h *handler) exclude(id string) { h.excluded = append(h.excluded, id) }

// checkRestart returns an error if the upstream has started again since the request was
// sent, unless the stream may begin there: then its version is unknown.
func (a *attempt) checkRestart() error {
	e, ok := a.directory.Usable(a.upstream.ID, time.Now())
	if !ok || e.Born == a.upstream.Born && e.Version == a.upstream.Version {
		return nil
	}
	if a.origin != nil {
		return errOtherVersion
	}
	a.version = ""
	return nil
}

// checkReplaced makes the stream's origin unknown if the upstream whose events were relayed
// last turns out to have been replaced by a process of another version before the request
// was sent to it. The entry of that process may arrive only now.
func (h *handler) checkReplaced() {
	if h.origin == nil || !h.mayGoOn() || h.relayedFrom.ID == "" {
		return
	}
	e, _ := h.directory.Usable(h.relayedFrom.ID, time.Now())
	if e.ID == "" || e.Born == h.relayedFrom.Born || e.Version == h.relayedFrom.Version {
		return
	}
	if time.UnixMilli(e.Born).After(h.relayedSince.Add(clockTolerance)) {
		return
	}
	h.relayedFrom = e
	h.origin = &pinner.Origin{Pool: h.pool}
	h.log.Info("upstream of another version", "id", h.r.ID, "upstream", e.ID, "upstreamVersion", e.Version, "upstreamPool", e.Pool, "streamVersion", "", "pool", h.pool)
	h.record()
}

// record records the stream's origin for hosts that are asked to take it up, by its own key
// and by that of its content: its caller may name it or not.
func (h *handler) record() {
	h.recordAs(h.r.stream())
	h.recordAs(pinner.ContentKey(h.r.Digest))
}

// recordAs records the stream's origin by a key, unless there is none.
func (h *handler) recordAs(k pinner.Key) {
	if r := h.r; k != 0 && r.resumable() {
		h.origins.Record(StreamID{k, r.Route.Name}, *h.origin, r.Deadline.Add(ResumptionDelay))
	}
}

// recordOrigin fixes the origin of a stream whose first event is about to be relayed, and
// records it for hosts that are asked to take the stream up.
func (a *attempt) recordOrigin() {
	if a.origin == nil {
		a.origin = &pinner.Origin{Pool: a.pool, Version: a.version}
	}
	if a.mayGoOn() {
		a.recordAs(a.r.stream())
	}
	// An origin that is not known counts for streams with the same content: the caller of
	// this one must not get events of theirs.
	a.recordAs(pinner.ContentKey(a.r.Digest))
}
