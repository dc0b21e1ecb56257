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
	// readChunk is the size of one read of a stream, in bytes.
	readChunk = 4 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

var (
	// errTorn marks a stream that ended in the middle of an event.
	errTorn = eris.New("the stream ended inside an event")
	// errGap marks a stream that lacks an event.
	errGap = eris.New("the stream lacks an event")
	// errCaller marks a caller that does not take its answer.
	errCaller = eris.New("the caller does not take the answer")
)

// event is one whole event of a stream.
type event struct {
	raw []byte
	id  int64
	// data reports whether it holds data, and is no comment; last that it
	// begins with the terminator.
	data, last bool
}

// nextEvent cuts the first whole event off a buffer: lines up to an empty one.
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
		e.data = e.data || bytes.HasPrefix(line, []byte("data:"))
		e.last = e.last || len(terminator) > 0 && bytes.HasPrefix(line, terminator)
	}
}

// pause returns how long the next event may take.
func (a *attempt) pause() time.Duration {
	if !a.resumable() || a.sent >= a.r.Route.Attempts {
		return time.Until(a.r.Deadline)
	}
	return min(max(pauseFactor*a.r.Route.MaxPause, minPause), time.Until(a.r.Deadline))
}

// stream passes events on as they arrive.
func (a *attempt) stream(ctx context.Context, resp *http.Response) end {
	var first, last time.Time
	events := 0
	terminated := false
	err := a.readEvents(resp.Body, func(e event) error {
		if e.last || !e.data {
			terminated = terminated || e.last
			return a.passOn(resp, e)
		}
		now := time.Now()
		if first.IsZero() {
			first = now
			a.finish.FirstToken = first.Sub(a.began)
			a.grant.ReportFirstEvent(a.finish.FirstToken)
		}
		if a.firstByte == 0 {
			a.firstByte = now.Sub(a.r.Arrived)
		} else {
			a.longest = max(a.longest, now.Sub(a.lastByte))
		}
		last, a.lastByte = now, now
		events++
		return a.passOn(resp, e)
	})
	if events > 1 {
		a.finish.Generating = last.Sub(first)
		a.finish.Tokens = (events - 1) * a.directory.Stride(a.r.Pool)
	}
	switch {
	case terminated:
		if err != nil || resp.Close {
			a.closeAfter()
		}
		return end{ending: coordinator.Complete, delivered: true, status: http.StatusOK}
	case err == nil && len(a.terminator) > 0:
		return a.lost(ctx, errTorn)
	case err == nil && !a.begun:
		res := a.deliver(&answer{status: resp.StatusCode, header: resp.Header})
		return end{ending: coordinator.Complete, ended: true, delivered: res.Complete, status: resp.StatusCode}
	case err == nil:
		if resp.Close {
			a.closeAfter()
		}
		return end{ending: coordinator.Complete, delivered: true, status: http.StatusOK}
	case errors.Is(err, errCaller):
		a.refuse(ctx)
		return end{ending: coordinator.Abandoned, ended: true}
	}
	return a.lost(ctx, err)
}

// passOn passes one event on, unless the caller already has it.
func (a *attempt) passOn(resp *http.Response, e event) error {
	if e.id != NoEvent && e.id <= a.after {
		return nil
	}
	if e.id != NoEvent && a.after != NoEvent && e.id != a.after+1 {
		return errGap
	}
	if !a.begun {
		if err := a.reply.Begin(resp.StatusCode, resp.Header, -1); err != nil {
			return errCaller
		}
		a.begun = true
	}
	if err := a.reply.Write(e.raw); err != nil {
		return errCaller
	}
	if e.id != NoEvent {
		a.after = e.id
	}
	return nil
}

// readEvents reads whole events until the stream ends.
func (a *attempt) readEvents(body io.Reader, take func(event) error) error {
	buf := make([]byte, 0, readChunk)
	for {
		_ = a.conn.SetReadDeadline(time.Now().Add(a.pause()))
		if cap(buf)-len(buf) < readChunk/2 {
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		rest := buf[:len(buf)+n]
		for {
			e, r, ok := nextEvent(rest, a.terminator)
			if !ok {
				break
			}
			if err := take(e); err != nil {
				return err
			}
			rest = r
		}
		buf = append(buf[:0], rest...)
		switch {
		case errors.Is(err, io.EOF) && len(buf) == 0:
			return nil
		case errors.Is(err, io.EOF):
			return errTorn
		case err != nil:
			return err
		case len(buf) > maxEvent:
			return errGarbled
		}
	}
}
