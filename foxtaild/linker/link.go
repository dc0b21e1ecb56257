package linker

import (
	"bufio"
	"context"
	"encoding/gob"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/scheduler/coordinator"
)

const (
	// linkDialTimeout bounds the time to connect a link.
	linkDialTimeout = 400 * time.Millisecond
	// linkTimeout is how long a coordinator may send nothing while decisions
	// are awaited. It also bounds a write to a link.
	linkTimeout = 400 * time.Millisecond
	// linkPingInterval is the time between pings while decisions are awaited.
	linkPingInterval = 100 * time.Millisecond
	// linkQueue bounds the queue of messages to be written to a link, in either
	// direction.
	linkQueue = 256
	// linkBackoff is the minimum time before an address that could not be
	// connected to is dialled again.
	linkBackoff = 250 * time.Millisecond
	// linkBufferBytes is the size of a link's write buffer, at either end.
	linkBufferBytes = 4 << 10
	// minLinkRate is the minimum rate at which a snapshot is expected to be
	// sent, in bytes per second: a tenth of the operators' slowest links.
	minLinkRate = 128 << 10
)

// errUnresponsive reports that a coordinator can't be reached or did not
// respond.
var errUnresponsive = eris.New("coordinator does not respond")

// link is an outgoing connection to another host. It carries admission requests
// to the other host's coordinator, and decisions and directory updates back.
type link struct {
	address string
	conn    net.Conn
	out     chan frame
	log     *slog.Logger

	// onUpdate receives the peer's directory updates, and marks are the times that they refer
	// to.
	onUpdate func(*link, response)
	marks    marks

	mu sync.Mutex
	// pending holds the admission requests that wait for a decision, by ID. awaited
	// receives a value when there is one after there was none.
	pending map[uint64]chan coordinator.Decision
	awaited chan struct{}
	// lastReceived is when the last response arrived, or when a decision was
	// first awaited after none was.
	lastReceived time.Time
	// broken is closed when the link fails; err is the cause.
	broken chan struct{}
	err    error
}

// dialLink opens a link. The first frame sent on it must be a hello.
func dialLink(ctx context.Context, address string, onUpdate func(*link, response), log *slog.Logger) (l *link, err error) {
	d := net.Dialer{Timeout: linkDialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "link to %s", address)
	}
	l = &link{
		address:      address,
		conn:         conn,
		out:          make(chan frame, linkQueue),
		log:          log,
		pending:      make(map[uint64]chan coordinator.Decision),
		awaited:      make(chan struct{}, 1),
		onUpdate:     onUpdate,
		lastReceived: time.Now(),
		broken:       make(chan struct{}),
	}
	go l.write()
	go l.read()
	return l, nil
}

// fail closes the link and unblocks the callers that wait for a decision.
func (l *link) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return
	}
	l.err = err
	close(l.broken)
	_ = l.conn.Close()
}

// live reports whether the link has not failed.
func (l *link) live() bool {
	select {
	case <-l.broken:
		return false
	default:
		return true
	}
}

// send queues a frame. If the queue is full, the link fails.
func (l *link) send(f frame) {
	select {
	case l.out <- f:
	case <-l.broken:
	default:
		l.fail(eris.New("link send queue is full"))
	}
}

// write writes queued frames, batching those that are already queued, and
// sends pings while decisions are awaited. While none is, it waits for frames only: a
// host has many links, most of them idle.
func (l *link) write() {
	w := bufio.NewWriterSize(l.conn, linkBufferBytes)
	enc := gob.NewEncoder(w)
	timer := time.NewTimer(linkPingInterval)
	defer timer.Stop()
	ticking := true
	for {
		var f frame
		select {
		case <-l.broken:
			return
		case f = <-l.out:
		case <-l.awaited:
			if !ticking {
				ticking = true
				timer.Reset(linkPingInterval)
			}
			continue
		case now := <-timer.C:
			awaiting, silent := l.awaiting(now)
			if ticking = awaiting; !awaiting {
				continue
			}
			if silent > linkTimeout {
				l.fail(errUnresponsive)
				return
			}
			timer.Reset(linkPingInterval)
			f = frame{Ping: true}
		}
		_ = l.conn.SetWriteDeadline(time.Now().Add(linkTimeout))
		err := enc.Encode(&f)
		for err == nil && len(l.out) > 0 {
			f = <-l.out
			err = enc.Encode(&f)
		}
		if err == nil {
			err = w.Flush()
		}
		if err != nil {
			l.fail(err)
			return
		}
	}
}

// awaiting reports whether decisions are awaited and, if so, how long the other
// host has sent nothing.
func (l *link) awaiting(now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		l.lastReceived = now
		return false, 0
	}
	return true, now.Sub(l.lastReceived)
}

// read receives responses until the link fails.
func (l *link) read() {
	dec := gob.NewDecoder(bufio.NewReader(l.conn))
	for {
		var r response
		if err := dec.Decode(&r); err != nil {
			l.fail(err)
			return
		}
		l.mu.Lock()
		l.lastReceived = time.Now()
		for _, d := range r.Decisions {
			if ch := l.pending[d.ID]; ch != nil {
				ch <- d
				delete(l.pending, d.ID)
			}
		}
		l.mu.Unlock()
		if r.Snapshot != nil || r.Current || len(r.Observed) > 0 || r.Shares != nil || len(r.Ejected) > 0 {
			l.onUpdate(l, r)
		}
	}
}

// admit sends an admission request and waits for its decision. If ctx is done
// first, it withdraws the request and returns a slot that was granted meanwhile.
func (l *link) admit(ctx context.Context, req coordinator.Request) (d coordinator.Decision, err error) {
	ch := make(chan coordinator.Decision, 1)
	l.mu.Lock()
	first := len(l.pending) == 0
	if first {
		l.lastReceived = time.Now()
	}
	l.pending[req.ID] = ch
	l.mu.Unlock()
	if first {
		select {
		case l.awaited <- struct{}{}:
		default:
		}
	}
	l.send(frame{Asks: []coordinator.Request{req}})
	select {
	case d = <-ch:
		return d, nil
	case <-l.broken:
		return d, errUnresponsive
	case <-ctx.Done():
	}
	l.mu.Lock()
	delete(l.pending, req.ID)
	l.mu.Unlock()
	select {
	case d = <-ch:
		if d.Upstream != "" {
			l.send(frame{Finishes: []coordinator.Finish{{ID: req.ID, Ending: coordinator.Unused}}})
		}
	default:
		l.send(frame{Withdrawn: []uint64{req.ID}, Finishes: []coordinator.Finish{{ID: req.ID, Ending: coordinator.Unused}}})
	}
	return d, ctx.Err()
}
