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
	// linkDial bounds the set-up of a link.
	linkDial = 400 * time.Millisecond
	// linkSilence is how long a coordinator that owes an answer may be silent.
	linkSilence = 400 * time.Millisecond
	// linkPing is the time between pings while decisions are awaited.
	linkPing = 100 * time.Millisecond
	// linkFrames bounds the frames that wait to be written to a link.
	linkFrames = 256
	// linkRetry is how long a link that failed is not dialled again.
	linkRetry = 250 * time.Millisecond
	// linkBuffer is the size of a link's write buffer, in bytes.
	linkBuffer = 4 << 10
	// slowLink is the rate at which a snapshot is sent at the least, in bytes a
	// second: a tenth of the operators' slowest links.
	slowLink = 128 << 10
)

// errLink marks a coordinator that does not answer.
var errLink = eris.New("the coordinator does not answer")

// link is a connection to another host's coordinator.
type link struct {
	address string
	conn    net.Conn
	out     chan frame
	log     *slog.Logger

	// feed takes what the peer tells of its directory.
	feed func(response)

	mu      sync.Mutex
	pending map[uint64]chan coordinator.Decision
	heard   time.Time
	broken  chan struct{}
	err     error
}

// dialLink opens a link, on which a hello must be sent first.
func dialLink(ctx context.Context, address string, feed func(response), log *slog.Logger) (l *link, err error) {
	d := net.Dialer{Timeout: linkDial}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "link to %s", address)
	}
	l = &link{
		address: address,
		conn:    conn,
		out:     make(chan frame, linkFrames),
		log:     log,
		pending: make(map[uint64]chan coordinator.Decision),
		feed:    feed,
		heard:   time.Now(),
		broken:  make(chan struct{}),
	}
	go l.write()
	go l.read()
	return l, nil
}

// fail ends the link; whoever waits for a decision is told.
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

// live reports whether the link is in working order.
func (l *link) live() bool {
	select {
	case <-l.broken:
		return false
	default:
		return true
	}
}

// send queues a frame. A link that can't take it has failed.
func (l *link) send(f frame) {
	select {
	case l.out <- f:
	case <-l.broken:
	default:
		l.fail(eris.New("the link is congested"))
	}
}

// write writes frames, several at once where they wait, and pings while
// decisions are awaited.
func (l *link) write() {
	w := bufio.NewWriterSize(l.conn, linkBuffer)
	enc := gob.NewEncoder(w)
	tick := time.NewTicker(linkPing)
	defer tick.Stop()
	for {
		var f frame
		select {
		case <-l.broken:
			return
		case f = <-l.out:
		case now := <-tick.C:
			owed, silent := l.owed(now)
			if !owed {
				continue
			}
			if silent > linkSilence {
				l.fail(errLink)
				return
			}
			f = frame{Ping: true}
		}
		_ = l.conn.SetWriteDeadline(time.Now().Add(linkSilence))
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

// owed reports whether decisions are awaited, and how long nothing came.
func (l *link) owed(now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		l.heard = now
		return false, 0
	}
	return true, now.Sub(l.heard)
}

// read takes responses in.
func (l *link) read() {
	dec := gob.NewDecoder(bufio.NewReader(l.conn))
	for {
		var r response
		if err := dec.Decode(&r); err != nil {
			l.fail(err)
			return
		}
		l.mu.Lock()
		l.heard = time.Now()
		for _, d := range r.Decisions {
			if ch := l.pending[d.ID]; ch != nil {
				ch <- d
				delete(l.pending, d.ID)
			}
		}
		l.mu.Unlock()
		if r.Snapshot != nil || r.Current {
			l.feed(r)
		}
	}
}

// ask sends an ask and waits for its decision.
func (l *link) ask(ctx context.Context, a coordinator.Request) (d coordinator.Decision, err error) {
	ch := make(chan coordinator.Decision, 1)
	l.mu.Lock()
	if len(l.pending) == 0 {
		l.heard = time.Now()
	}
	l.pending[a.ID] = ch
	l.mu.Unlock()
	l.send(frame{Asks: []coordinator.Request{a}})
	select {
	case d = <-ch:
		return d, nil
	case <-l.broken:
		return d, errLink
	case <-ctx.Done():
	}
	l.mu.Lock()
	delete(l.pending, a.ID)
	l.mu.Unlock()
	select {
	case d = <-ch:
		if d.Upstream != "" {
			l.send(frame{Finishes: []coordinator.Finish{{ID: a.ID, Ending: coordinator.Unused}}})
		}
	default:
		l.send(frame{Withdrawn: []uint64{a.ID}, Finishes: []coordinator.Finish{{ID: a.ID, Ending: coordinator.Unused}}})
	}
	return d, ctx.Err()
}
