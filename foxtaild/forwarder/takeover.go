package forwarder

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/scheduler/coordinator"
)

const (
	// An upstream counts as silent before the first byte of its response after
	// firstByteFactor times the route's latency objective, at least
	// minFirstByteTimeout, plus prefillTimePerToken for each prompt token.
	firstByteFactor     = 2
	minFirstByteTimeout = 500 * time.Millisecond
	prefillTimePerToken = 80 * time.Microsecond
	// An upstream counts as silent within a stream after eventTimeoutFactor times the
	// route's MaxPause, at least minEventTimeout.
	eventTimeoutFactor = 4
	minEventTimeout    = 800 * time.Millisecond
	// takeoverInterval is the time between two admission requests for an upstream that
	// takes over from a silent one.
	takeoverInterval = 300 * time.Millisecond
	// acceptTimeout is how long the silent upstream's connection is kept open while
	// the other upstream may still reject the request. It allows for two round trips
	// between regions, and bounds the time in which both may work on the request.
	acceptTimeout = 150 * time.Millisecond
)

var (
	// errTakenOver is the error of a read that ended because another upstream has
	// taken the request over.
	errTakenOver = eris.New("another upstream has taken the request over")
	// errNoEnd is the error of a response that did not end after its last event.
	errNoEnd = eris.New("response from upstream did not end after its last event")
)

// phase is a part of a response.
type phase uint8

// The phases of a response.
const (
	awaitingHead phase = iota
	awaitingEvent
	// awaitingEnd follows the terminator of a stream.
	awaitingEnd
	// awaitingBody is the body of a response that is relayed as a whole.
	awaitingBody
)

// watcher looks for another upstream while the upstream of an attempt is silent. The
// attempt goes on until the other upstream has accepted the request.
type watcher struct {
	*attempt
	ctx  context.Context
	conn *connector.Conn
	// search is the admission request under way, nil if there is none.
	search *search
	// searched reports whether there was one since the last byte.
	searched bool
	// stalledFrom is when the last timeout of a read ends.
	stalledFrom time.Time
}

// watch starts to watch the attempt's connection. The returned function ends that.
func (a *attempt) watch(ctx context.Context) (stop func()) {
	w := &watcher{attempt: a, ctx: ctx, conn: a.conn}
	w.conn.Watch(w, a.r.Deadline)
	return func() {
		w.conn.Unwatch()
		w.endSearch()
	}
}

// mayTakeOver reports whether another upstream may take the request over.
func (w *watcher) mayTakeOver() bool {
	w.checkReplaced()
	r := w.r
	return r.Route.Retryable() && w.dispatched < r.Route.Attempts && w.mayGoOn() &&
		(w.phase == awaitingHead || w.phase == awaitingEvent)
}

// StallTimeout returns how long the upstream may be silent until another one is looked
// for.
func (w *watcher) StallTimeout() time.Duration {
	d := w.phaseTimeout()
	w.stalledFrom = time.Now().Add(d)
	return d
}

// phaseTimeout returns the timeout for the part of the response that is awaited.
func (w *watcher) phaseTimeout() time.Duration {
	route := w.r.Route
	switch {
	case w.phase == awaitingEnd:
		return max(eventTimeoutFactor*route.MaxPause, minEventTimeout)
	case w.search != nil || !w.mayTakeOver():
		return time.Until(w.r.Deadline)
	case w.searched:
		return takeoverInterval
	case w.phase == awaitingHead:
		return max(firstByteFactor*route.Objective, minFirstByteTimeout) + time.Duration(w.r.Prompt)*prefillTimePerToken
	default:
		return max(eventTimeoutFactor*route.MaxPause, minEventTimeout)
	}
}

// Stalled starts a search, or has the upstream that it found take the request over.
func (w *watcher) Stalled() error {
	if w.search == nil {
		// A search that was withdrawn may still wake the read.
		if time.Now().Before(w.stalledFrom) {
			return nil
		}
		if w.phase == awaitingEnd {
			return errNoEnd
		}
		if w.mayTakeOver() && !w.quarantine.Refuses(w.r.Digest, w.r.Parts) {
			w.startSearch()
		}
		return nil
	}
	g, done := w.search.result()
	if !done {
		return nil
	}
	w.search = nil
	switch {
	case g == nil:
		return nil
	case w.conn.Readable():
		g.ReportFinish(coordinator.Finish{Ending: coordinator.Unused})
		return nil
	case !w.takeOver(w.ctx, *g):
		return nil
	}
	return errTakenOver
}

// Resumed ends a search, as the upstream is no longer silent.
func (w *watcher) Resumed() {
	w.endSearch()
	w.searched = false
}

// startSearch requests a grant for another upstream in the background.
func (w *watcher) startSearch() {
	ctx, cancel := context.WithCancel(w.ctx)
	s := &search{cancel: cancel}
	w.search, w.searched = s, true
	if w.response == nil {
		w.reach.recordFailure(w.upstream.Pool, w.upstream.ID, false, w.conn.Reused(), time.Now())
	}
	w.log.Info("upstream silent", "id", w.r.ID, "upstream", w.grant.Upstream, "after", w.lastEventID)
	r := w.admission(time.Now())
	go func() {
		defer cancel()
		g, err := w.admitter.Admit(ctx, r)
		s.finish(g, err)
		w.conn.Wake(w)
	}()
}

// endSearch ends the search under way.
func (w *watcher) endSearch() {
	if w.search != nil {
		w.search.withdraw()
		w.search = nil
	}
}

// takeOver sends the request to the upstream of a grant. If that upstream accepts it
// and this attempt's is still silent, it closes the connection of this attempt and
// returns true.
func (a *attempt) takeOver(ctx context.Context, g Grant) bool {
	if e, ok := a.directory.Usable(g.Upstream, time.Now()); ok && e.Address == a.upstream.Address {
		// One of the two entries is outdated: the silent upstream would get the request again.
		a.exclude(g.Upstream)
		g.ReportFinish(coordinator.Finish{Ending: coordinator.Unused})
		return false
	}
	b, ctx := a.newAttempt(ctx, g)
	res, ok := b.send(ctx)
	if ok {
		res, ok = b.awaitAcceptance(ctx)
	}
	if !ok {
		a.endings = append(a.endings, res.ending.String())
		b.end(res)
		return false
	}
	if a.conn.Readable() {
		a.endings = append(a.endings, coordinator.Cancelled.String())
		b.end(attemptResult{ending: coordinator.Cancelled})
		return false
	}
	a.successor = b
	_ = a.conn.Close()
	return true
}

// awaitAcceptance waits until the upstream has begun to respond with success, or has
// not responded for acceptTimeout. It returns false if the attempt ends with a result.
func (a *attempt) awaitAcceptance(ctx context.Context) (res attemptResult, ok bool) {
	_ = a.conn.SetReadDeadline(time.Now().Add(acceptTimeout))
	if _, err := a.conn.Reader().Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
		return res, true
	}
	if err := a.readResponseHead(); err != nil {
		return a.endLost(ctx, err), false
	}
	switch {
	case a.info.NotRun, a.info.WrongUpstream:
		return a.endRejected(), false
	case !a.valid():
		return a.endLost(ctx, errInvalidResponse), false
	case a.response.StatusCode/100 != 2:
		return attemptResult{ending: coordinator.Failed, status: a.response.StatusCode}, false
	}
	return res, true
}

// search is an admission request that runs in the background.
type search struct {
	cancel context.CancelFunc

	mu sync.Mutex
	// grant is the granted upstream, nil if there is none.
	grant           *Grant
	done, withdrawn bool
}

// finish records the decision on the admission request. A grant that is no longer
// wanted is returned.
func (s *search) finish(g Grant, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	if err != nil || g.Refusal != nil {
		return
	}
	if s.withdrawn {
		g.ReportFinish(coordinator.Finish{Ending: coordinator.Unused})
		return
	}
	s.grant = &g
}

// result returns the granted upstream, if any, and whether there is a decision.
func (s *search) result() (g *Grant, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, s.grant = s.grant, nil
	return g, s.done
}

// withdraw withdraws the admission request and returns a grant that is already there.
func (s *search) withdraw() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn = true
	if s.grant != nil {
		s.grant.ReportFinish(coordinator.Finish{Ending: coordinator.Unused})
		s.grant = nil
	}
}
