package linker

import (
	"context"
	"encoding/gob"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"

	"foxtaillug.org/scheduler/coordinator"
)

// TestRepeatedFetchQueuesNoMoreSnapshots requests a snapshot again and again while the
// first is being sent. One may be queued behind it.
func TestRepeatedFetchQueuesNoMoreSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := filledDirectory(t, 300)
		ctx, cancel := context.WithCancel(context.Background())
		l := &Linker{
			directory: d, log: slog.New(slog.DiscardHandler), ctx: ctx,
			loop: newLoop("host", coordinator.New("p", coordinator.Bounds{}), d, slog.New(slog.DiscardHandler)), followers: make(map[*follower]struct{}),
		}
		conn, remote := net.Pipe()
		go l.serveLink(ctx, conn)
		defer func() {
			cancel()
			_ = remote.Close()
			synctest.Wait()
		}()
		enc, dec := gob.NewEncoder(remote), gob.NewDecoder(remote)
		send := func(f frame) {
			if err := enc.Encode(&f); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		send(frame{Hello: &hello{Entry: "e"}})
		for range 10 {
			send(frame{Fetch: true})
		}
		send(frame{Ping: true})
		receive := func() (snapshots int) {
			for {
				var r response
				if err := dec.Decode(&r); err != nil {
					t.Fatal(err)
				}
				if r.Snapshot == nil {
					return snapshots
				}
				snapshots++
			}
		}
		if n := receive(); n < 1 || n > 2 {
			t.Errorf("%d snapshots for requests made while the first was being sent, want 1 or 2", n)
		}
		send(frame{Fetch: true})
		send(frame{Ping: true})
		if n := receive(); n != 1 {
			t.Errorf("%d snapshots for a request on an idle link, want 1", n)
		}
	})
}
