package linker_test

import (
	"context"
	"testing"
	"time"

	"foxtaillug.org/scheduler/registrar"
)

// TestReaderThatTheStoreRefusesFollowsItsPeers has the store refuse one of two hosts that read
// it, or both but a third host, while an upstream begins to leave.
func TestReaderThatTheStoreRefusesFollowsItsPeers(t *testing.T) {
	tests := map[string]struct {
		// reads is the host that the store serves.
		reads int
	}{
		"one of two readers": {1},
		"both readers":       {2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := startHost(t, "one", freeAddress(t))
			hosts := []*host{first}
			for _, id := range []string{"two", "three"} {
				time.Sleep(5 * time.Millisecond) // The start times determine the order of age.
				hosts = append(hosts, startHost(t, id, freeAddress(t), first.address))
			}
			for _, h := range hosts {
				eventually(t, "all hosts know each other", func() bool { return len(h.Members()) == 2 })
				h.configure(t, 5)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				for ctx.Err() == nil {
					for i, h := range hosts {
						if i == tt.reads {
							h.dir.RecordStoreResponse(time.Now())
						} else if i < 2 {
							h.dir.RecordStoreFailure(time.Now())
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
			}()
			hosts[tt.reads].dir.Update(registrar.Position{Revision: 6}, func(r *registrar.Registrar) {
				r.Put(registrar.Entry{ID: "engine", Pool: "engines", Domain: "a", Slots: 6, Address: "127.0.0.1:1", Leaving: true})
			})
			for _, h := range hosts[:2] {
				eventually(t, "a reader has seen that the upstream leaves", func() bool {
					_, usable := h.dir.Usable("engine", time.Now())
					return !usable
				})
			}
		})
	}
}
