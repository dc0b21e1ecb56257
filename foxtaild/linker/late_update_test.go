package linker

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
)

// slowPath copies what arrives on one connection to another one, each part after a delay.
func slowPath(from, to net.Conn, delay time.Duration) {
	type part struct {
		b   []byte
		due time.Time
	}
	parts := make(chan part, 1000)
	go func() {
		defer close(parts)
		for b := make([]byte, 32<<10); ; {
			n, err := from.Read(b)
			if err != nil {
				return
			}
			parts <- part{append([]byte(nil), b[:n]...), time.Now().Add(delay)}
		}
	}()
	for p := range parts {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.b); err != nil {
			return
		}
	}
	_ = to.Close()
}

// feeding is a host that reads the store and one that it feeds, joined by a path that delays
// what the first one sends.
type feeding struct {
	source, fed *Linker
	link        *link
	stop        func()
}

// newFeeding starts both hosts in a synctest bubble. The caller must call stop.
func newFeeding(t *testing.T, delay time.Duration) *feeding {
	log := slog.New(slog.DiscardHandler)
	ctx, cancel := context.WithCancel(context.Background())
	host := func(d *directory.Directory) *Linker {
		l := &Linker{
			settings: Settings{Host: "h", UpdateDeadline: 4 * time.Second}, directory: d, log: log, ctx: ctx,
			loop: newLoop("h", coordinator.New("p", coordinator.Bounds{}), d, log), followers: make(map[*follower]struct{}),
			followed: make(chan struct{}, 1),
		}
		l.view.Store(&view{readers: []string{""}})
		go l.loop.run(ctx)
		return l
	}
	f := &feeding{source: host(filledDirectory(t, 3)), fed: host(directory.New(log))}
	near, far := net.Pipe()
	conn, remote := net.Pipe()
	go slowPath(far, conn, delay)
	go func() { _, _ = io.Copy(far, conn) }()
	go f.source.serveLink(ctx, near)
	go f.source.feedFollowers(ctx)
	f.link = &link{conn: remote, out: make(chan frame, linkQueue), log: log, pending: make(map[uint64]chan coordinator.Decision), awaited: make(chan struct{}, 1), onUpdate: f.fed.receiveUpdate, broken: make(chan struct{})}
	go f.link.write()
	go f.link.read()
	f.stop = func() {
		cancel()
		f.link.fail(io.EOF)
		for _, c := range []net.Conn{near, far, conn, remote} {
			_ = c.Close()
		}
		time.Sleep(2 * delay)
		synctest.Wait()
	}
	f.link.send(frame{Hello: &hello{Entry: "fed"}})
	f.fed.follow(f.link)
	return f
}

// TestUpdatesDelayedOnTheirWayCountAsOld has the updates of a host that reads the store arrive
// late at one that it feeds, as on a full link.
func TestUpdatesDelayedOnTheirWayCountAsOld(t *testing.T) {
	tests := map[string]struct {
		delay time.Duration
		want  bool
	}{
		"no delay":                   {0, true},
		"as between regions":         {12 * time.Millisecond, true},
		"almost as long as allowed":  {1800 * time.Millisecond, true},
		"longer than an age allowed": {2700 * time.Millisecond, false},
		"longer than the deadline":   {5 * time.Second, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFeeding(t, tt.delay)
				defer f.stop()
				respond := time.NewTicker(100 * time.Millisecond)
				defer respond.Stop()
				for until := time.Now().Add(20 * time.Second); time.Now().Before(until); <-respond.C {
					f.source.directory.RecordStoreResponse(time.Now())
				}
				if now := time.Now(); f.fed.directory.PeerSyncedWithin(now, f.fed.maxFeedAge()) != tt.want {
					t.Errorf("up to date is %v, want %v, with updates sent %v before they arrive", !tt.want, tt.want, tt.delay)
				}
				if !f.fed.directory.Loaded() {
					t.Error("the directory has not arrived")
				}
			})
		})
	}
}
