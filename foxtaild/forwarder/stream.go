package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/scheduler/coordinator"
)

const (
	// streamBufferBytes is the initial size of a stream's read buffer. The buffer
	// grows when less than half of this size is free.
	streamBufferBytes = 4 << 10
	// maxEventBytes is the size limit of one event.
	maxEventBytes = 1 << 20
)

var (
	// errTruncatedStream is the error of a stream that ended in the middle of an
	// event or before its terminator.
	errTruncatedStream = eris.New("stream from upstream ended inside an event or before its terminator")
	// errMissingEvent is the error of a stream that skipped an event ID.
	errMissingEvent = eris.New("stream from upstream skipped an event ID")
	// errCallerWrite is the error of a failed write to the caller.
	errCallerWrite = eris.New("write to the caller failed")
)

// event is one whole event of a stream.
type event struct {
	raw []byte
	// id is the event's ID, or NoEvent if it has none.
	id int64
	// hasData reports whether the event has a data line; isTerminator reports
	// whether one of its lines begins with the terminator.
	hasData, isTerminator bool
}

// nextEvent splits the first whole event off a buffer: all lines up to an empty
// one.
func nextEvent(b, terminator []byte) (e event, rest []byte, ok bool) {
	e.id = NoEvent
	for from := 0; ; {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return event{}, b, false
		}
		line := bytes.TrimSuffix(b[from:from+i], []byte("\r"))
		from += i + 1
		if len(line) == 0 {
			e.raw = b[:from]
			return e, b[from:], true
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err == nil {
				e.id = id
			}
		}
		e.hasData = e.hasData || bytes.HasPrefix(line, []byte("data:"))
		e.isTerminator = e.isTerminator || len(terminator) > 0 && bytes.HasPrefix(line, terminator)
	}
}

// relayStream relays events as they arrive.
func (a *attempt) relayStream(ctx context.Context, resp *http.Response) attemptResult {
	var first, last time.Time
	events := 0
	err := a.readEvents(resp.Body, func(e event) error {
		if a.successor != nil && a.origin == nil {
			// The successor may have another version.
			return errTakenOver
		}
		if e.isTerminator {
			a.phase = awaitingEnd
		}
		if e.isTerminator || !e.hasData {
			return a.relayEvent(resp, e)
		}
		now := time.Now()
		if first.IsZero() {
			first = now
			a.quarantine.RecordBegun(a.r.Parts)
			a.finish.FirstToken = first.Sub(a.start)
			a.grant.ReportFirstEvent(a.finish.FirstToken)
		}
		if a.firstEvent == 0 {
			a.firstEvent = now.Sub(a.r.Arrived)
		} else {
			a.longestPause = max(a.longestPause, now.Sub(a.lastEventAt))
		}
		last, a.lastEventAt = now, now
		events++
		return a.relayEvent(resp, e)
	})
	if events > 1 {
		a.finish.Generating = last.Sub(first)
		a.finish.Tokens = (events - 1) * a.directory.Stride(a.pool)
	}
	switch {
	case a.phase == awaitingEnd:
		if err != nil || resp.Close {
			a.closeConn()
		}
		return attemptResult{ending: coordinator.Complete, delivered: true, status: http.StatusOK}
	case err == nil && len(a.terminator) > 0:
		return a.endLost(ctx, errTruncatedStream)
	case err == nil && !a.headSent:
		res := a.deliver(&response{status: resp.StatusCode, header: resp.Header})
		return attemptResult{ending: coordinator.Complete, final: true, delivered: res.Complete, status: resp.StatusCode}
	case err == nil:
		if resp.Close {
			a.closeConn()
		}
		return attemptResult{ending: coordinator.Complete, delivered: true, status: http.StatusOK}
	case errors.Is(err, errCallerWrite):
		a.setContextRefusal(ctx)
		return attemptResult{ending: coordinator.Cancelled, final: true}
	case errors.Is(err, errOtherVersion) && a.successor == nil:
		return a.endRestarted()
	}
	return a.endLost(ctx, err)
}

// relayEvent relays one event, unless the caller has already received it.
func (a *attempt) relayEvent(resp *http.Response, e event) error {
	if e.id != NoEvent && e.id <= a.lastEventID {
		return nil
	}
	if e.id != NoEvent && a.lastEventID != NoEvent && e.id != a.lastEventID+1 {
		return errMissingEvent
	}
	if !a.relayed {
		if err := a.checkRestart(); err != nil {
			return err
		}
		a.relayed = true
		a.relayedFrom, a.relayedSince = a.upstream, a.start
		a.relayedVersions = append(a.relayedVersions, a.version)
	}
	if !a.headSent {
		a.recordOrigin()
		if err := a.responder.Begin(resp.StatusCode, resp.Header, -1); err != nil {
			return errCallerWrite
		}
		a.headSent = true
	}
	if err := a.responder.Write(e.raw); err != nil {
		return errCallerWrite
	}
	if e.id != NoEvent {
		a.lastEventID = e.id
	}
	return nil
}

// readEvents reads whole events and calls handle for each until the stream
// ends.
func (a *attempt) readEvents(body io.Reader, handle func(event) error) error {
	buf := make([]byte, 0, streamBufferBytes)
	for {
		if cap(buf)-len(buf) < streamBufferBytes/2 {
			grown, err := a.growBuffer(buf, streamBufferBytes)
			if err != nil {
				return err
			}
			buf = grown
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		rest := buf[:len(buf)+n]
		for {
			e, r, ok := nextEvent(rest, a.terminator)
			if !ok {
				break
			}
			if err := handle(e); err != nil {
				return err
			}
			rest = r
		}
		buf = append(buf[:0], rest...)
		switch {
		case errors.Is(err, io.EOF) && len(buf) == 0:
			return nil
		case errors.Is(err, io.EOF):
			return errTruncatedStream
		case err != nil:
			return err
		case len(buf) > maxEventBytes:
			return errInvalidResponse
		}
	}
}
