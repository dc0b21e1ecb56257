package linker

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"sync/atomic"
	"time"

	"foxtaillug.org/foxtaild/directory"
)

// serveLinks accepts links from other hosts until ctx is done.
func (l *Linker) serveLinks(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.listener.Close() })
	defer stop()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				l.log.Error("can't accept links", "error", err.Error())
			}
			return
		}
		go l.serveLink(ctx, conn)
	}
}

// linkSeq numbers the accepted links, to distinguish a new link of an entry host
// from its former one.
var linkSeq atomic.Uint64

// serveLink serves one link until it ends.
func (l *Linker) serveLink(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	out := make(chan response, linkQueue)
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
	l.readFrames(ctx, conn, f, push, cancel)
}

// readFrames handles the frames of one link until it ends; cancel ends it.
func (l *Linker) readFrames(ctx context.Context, conn net.Conn, fol *follower, push func(response), cancel func()) {
	dec := gob.NewDecoder(bufio.NewReader(conn))
	entry := ""
	for {
		var f frame
		if err := dec.Decode(&f); err != nil {
			break
		}
		if f.Hello != nil {
			entry = f.Hello.Entry + "#" + formatUint(linkSeq.Add(1))
			k := &incoming{cancel: cancel}
			l.registerIncoming(f.Hello.Entry, k)
			defer l.forgetIncoming(f.Hello.Entry, k)
			l.loop.open(ctx, entry, push, f.Hello)
		}
		if entry == "" {
			l.log.Warn("first frame of link is not a hello", "remote", conn.RemoteAddr().String())
			break
		}
		if f.Ping {
			push(response{})
		}
		if f.Fetch {
			// The requester repeats its request until it is no longer behind, so a
			// snapshot that would have to wait for earlier responses is left out.
			if u := l.encodeUpdate(f.cursor(), time.Now()); u.snapshot != nil {
				_ = fol.push(response{Snapshot: u.snapshot})
			}
		}
		if f.Mark != 0 {
			fol.mark.Store(&receivedMark{f.Mark, time.Now()})
		}
		if f.Follow {
			l.mu.Lock()
			if _, follows := l.followers[fol]; !follows {
				fol.cursor = f.cursor()
				l.followers[fol] = struct{}{}
			}
			l.mu.Unlock()
			select {
			case l.followed <- struct{}{}:
			default:
			}
		}
		l.loop.applyFrame(ctx, entry, &f)
	}
	if entry != "" {
		l.loop.close(l.ctx, entry)
	}
}

// cursor returns the cursor of a host that has just asked for the directory.
func (f *frame) cursor() directory.Cursor {
	if !f.Deltas {
		return directory.Cursor{}
	}
	return directory.CursorAt(f.Version, f.Digest)
}

// writeResponses writes queued responses, batching those that are already
// queued.
func writeResponses(ctx context.Context, cancel context.CancelFunc, conn net.Conn, out <-chan response) {
	defer cancel()
	w := bufio.NewWriterSize(conn, linkBufferBytes)
	enc := gob.NewEncoder(w)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-out:
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout(len(r.Snapshot))))
			err := enc.Encode(&r)
			for err == nil && len(out) > 0 {
				r = <-out
				if len(r.Snapshot) > 0 {
					_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout(len(r.Snapshot))))
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

// writeTimeout returns the timeout for writing a response whose snapshot has n
// bytes.
func writeTimeout(n int) time.Duration {
	return linkTimeout + time.Duration(n)*time.Second/minLinkRate
}
