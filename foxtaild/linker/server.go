package linker

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"sync/atomic"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
)

// serveLinks serves the links of other hosts until ctx ends.
func (l *Linker) serveLinks(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.listener.Close() })
	defer stop()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				l.log.Error("links not served", "error", err.Error())
			}
			return
		}
		go l.serveLink(ctx, conn)
	}
}

// links numbers the links that were served, so that an entry that links
// again is told apart from its former link.
var links atomic.Uint64

// serveLink serves one link.
func (l *Linker) serveLink(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	out := make(chan response, linkFrames)
	go writeResponses(ctx, cancel, conn, out)
	push := func(r response) {
		select {
		case out <- r:
		default:
			cancel()
		}
	}
	f := &follower{push: func(r response) bool {
		if len(out) > 0 {
			return false
		}
		push(r)
		return true
	}}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.followers, f)
	}()
	l.readFrames(ctx, conn, f, push)
}

// readFrames takes the frames of one link until it ends.
func (l *Linker) readFrames(ctx context.Context, conn net.Conn, fol *follower, push func(response)) {
	dec := gob.NewDecoder(bufio.NewReader(conn))
	entry := ""
	for {
		var f frame
		if err := dec.Decode(&f); err != nil {
			break
		}
		if f.Hello != nil {
			entry = f.Hello.Entry + "#" + formatUint(links.Add(1))
			l.loop.open(ctx, entry, func(d []coordinator.Decision) { push(response{Decisions: d}) }, f.Hello.Running)
		}
		if entry == "" {
			l.log.Warn("link without hello", "remote", conn.RemoteAddr().String())
			break
		}
		if f.Ping {
			push(response{})
		}
		if f.Fetch {
			if u := l.update(directory.Cursor{}, time.Now()); u.snapshot != nil {
				push(response{Snapshot: u.snapshot})
			}
		}
		if f.Follow {
			l.mu.Lock()
			l.followers[fol] = struct{}{}
			l.mu.Unlock()
		}
		l.loop.take(ctx, entry, &f)
	}
	if entry != "" {
		l.loop.close(l.ctx, entry)
	}
}

// writeResponses writes responses, several at once where they wait.
func writeResponses(ctx context.Context, cancel context.CancelFunc, conn net.Conn, out <-chan response) {
	defer cancel()
	w := bufio.NewWriterSize(conn, linkBuffer)
	enc := gob.NewEncoder(w)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-out:
			_ = conn.SetWriteDeadline(time.Now().Add(writeTime(len(r.Snapshot))))
			err := enc.Encode(&r)
			for err == nil && len(out) > 0 {
				r = <-out
				if len(r.Snapshot) > 0 {
					_ = conn.SetWriteDeadline(time.Now().Add(writeTime(len(r.Snapshot))))
				}
				err = enc.Encode(&r)
			}
			if err == nil {
				err = w.Flush()
			}
			if err != nil {
				return
			}
		}
	}
}

// writeTime returns how long a response with a snapshot may take to be written.
func writeTime(snapshot int) time.Duration {
	return linkSilence + time.Duration(snapshot)*time.Second/slowLink
}
