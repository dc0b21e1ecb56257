package linker

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// TestWaitingRequestsEndAfterAChange changes the configuration and the upstreams in the
// directory while requests of two entry hosts wait. Each must get one decision.
func TestWaitingRequestsEndAfterAChange(t *testing.T) {
	const (
		perEntry = 4
		timeout  = 30 * time.Second
	)
	engine := func(id, pool string, slots int) registrar.Entry {
		return registrar.Entry{ID: id, Pool: pool, Domain: "a", Slots: slots, Address: "127.0.0.1:1"}
	}
	tests := map[string]struct {
		pools []router.Pool
		after []registrar.Entry
		// served reports whether the change leaves an upstream to wait for.
		served bool
	}{
		"pool removed":       {pools: []router.Pool{{Name: "others"}}},
		"upstreams moved":    {pools: []router.Pool{{Name: "engines"}, {Name: "others"}}, after: []registrar.Entry{engine("engine", "others", 1)}},
		"upstreams replaced": {pools: []router.Pool{{Name: "engines"}}, after: []registrar.Entry{engine("new", "engines", 2*perEntry)}, served: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := directory.New(slog.New(slog.DiscardHandler))
			change := func(version uint64, pools []router.Pool, entries ...registrar.Entry) {
				if err := dir.Configure(router.Document{Version: version, Pools: pools}); err != nil {
					t.Error(err)
				}
				dir.Update(registrar.Position{Revision: version}, func(r *registrar.Registrar) { r.Replace(entries, time.Now()) })
			}
			change(1, []router.Pool{{Name: "engines"}}, engine("engine", "engines", 1))
			c := coordinator.New("process", coordinator.Bounds{})
			c.SetFleet(coordinator.Fleet{Hosts: 2, Share: 1, QuotaShare: 1, Domain: "a", Scope: []string{"a"}}, time.Now())
			l := newLoop("host", c, dir, slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			go l.run(ctx)
			decisions := make(chan coordinator.Decision, 4*perEntry)
			for _, entry := range []string{"one", "two"} {
				l.open(ctx, entry, func(r response) {
					for _, d := range r.Decisions {
						decisions <- d
					}
				}, &hello{Entry: entry})
				var asks []coordinator.Request
				for id := range uint64(perEntry) {
					asks = append(asks, coordinator.Request{ID: id, Pool: "engines", Prompt: 10, Output: 10, Objective: time.Second, Left: timeout})
				}
				l.applyFrame(ctx, entry, &frame{Asks: asks})
			}
			next := func() (d coordinator.Decision) {
				select {
				case d = <-decisions:
				case <-ctx.Done():
					t.Fatal("a request got no decision")
				}
				return d
			}
			if d := next(); d.Upstream != "engine" {
				t.Fatalf("first decision %+v, want the only slot", d)
			}
			change(2, tt.pools, tt.after...)
			granted := 0
			for range 2*perEntry - 1 {
				if d := next(); d.Upstream != "" {
					granted++
				}
			}
			if granted > 0 && !tt.served {
				t.Errorf("%d requests granted after the change, want none", granted)
			}
			left := make(chan int)
			l.enqueue(ctx, func(time.Time) { left <- len(l.pending) })
			if n := <-left; n != 0 || len(decisions) > 0 {
				t.Errorf("%d requests and %d decisions left, want none", n, len(decisions))
			}
		})
	}
}
