package linker

import (
	"context"
	"encoding/gob"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/detector"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// silentEntry is an entry host that asks for slots on a link that then goes silent without
// being closed, as after a loss of power.
type silentEntry struct {
	conn net.Conn
	enc  *gob.Encoder
}

// dialPipe links an entry host to a linker and asks for a number of slots.
func dialPipe(ctx context.Context, t *testing.T, l *Linker, host string, slots int) *silentEntry {
	t.Helper()
	conn, remote := net.Pipe()
	go l.serveLink(ctx, conn)
	go func() {
		for dec := gob.NewDecoder(remote); ; {
			var r response
			if dec.Decode(&r) != nil {
				return
			}
		}
	}()
	e := &silentEntry{conn: remote, enc: gob.NewEncoder(remote)}
	f := frame{Hello: &hello{Entry: host}}
	for i := range slots {
		f.Asks = append(f.Asks, coordinator.Request{ID: uint64(i + 1), Pool: "engines", Prompt: 10, Output: 10, Objective: time.Second, Left: 20 * time.Second})
	}
	if err := e.enc.Encode(&f); err != nil {
		t.Fatal(err)
	}
	return e
}

// TestSlotsOfASilentHostAreReleased guards against slots that stay taken until the deadlines
// of requests whose entry host has lost power: it neither closes its link nor reports their ends.
func TestSlotsOfASilentHostAreReleased(t *testing.T) {
	tests := map[string]struct {
		happens func(ctx context.Context, t *testing.T, l *Linker) (close func())
		free    int
	}{
		"nothing": {func(context.Context, *testing.T, *Linker) func() { return func() {} }, 2},
		"found dead": {func(_ context.Context, _ *testing.T, l *Linker) func() {
			l.closeLinksOfDead([]detector.Member{{ID: "other", Status: detector.Dead}, {ID: "entry", Status: detector.Dead}})
			return func() {}
		}, 6},
		"suspected": {func(_ context.Context, _ *testing.T, l *Linker) func() {
			l.closeLinksOfDead([]detector.Member{{ID: "entry", Status: detector.Suspect}})
			return func() {}
		}, 2},
		"back after a restart": {func(ctx context.Context, t *testing.T, l *Linker) func() {
			e := dialPipe(ctx, t, l, "entry", 1)
			return func() { _ = e.conn.Close() }
		}, 5},
		"another host": {func(ctx context.Context, t *testing.T, l *Linker) func() {
			e := dialPipe(ctx, t, l, "second", 1)
			return func() { _ = e.conn.Close() }
		}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := slog.New(slog.DiscardHandler)
				d := directory.New(log)
				if err := d.Configure(router.Document{Version: 1, Pools: []router.Pool{{Name: "engines"}}}); err != nil {
					t.Fatal(err)
				}
				d.Update(registrar.Position{Revision: 1}, func(r *registrar.Registrar) {
					r.Put(registrar.Entry{ID: "engine", Pool: "engines", Domain: "a", Slots: 6, Address: "127.0.0.1:1"})
				})
				d.MarkListed()
				ctx, cancel := context.WithCancel(context.Background())
				c := coordinator.New("p", coordinator.Bounds{})
				l := &Linker{directory: d, log: log, ctx: ctx, loop: newLoop("host", c, d, log), followers: make(map[*follower]struct{})}
				c.SetFleet(coordinator.Fleet{Hosts: 2, Share: 1, QuotaShare: 1, Domain: "a", Scope: []string{"a"}, Regions: map[string]string{"a": "r"}}, time.Now())
				go l.loop.run(ctx)
				e := dialPipe(ctx, t, l, "entry", 4)
				synctest.Wait()
				closeOther := tt.happens(ctx, t, l)
				time.Sleep(time.Second)
				synctest.Wait()
				free := make(chan int, 1)
				l.loop.enqueue(ctx, func(now time.Time) { free <- c.Summary(now).Free["engines"] })
				if got := <-free; got != tt.free {
					t.Errorf("%d of 6 slots are free, want %d", got, tt.free)
				}
				_ = e.conn.Close()
				closeOther()
				cancel()
				synctest.Wait()
			})
		})
	}
}
