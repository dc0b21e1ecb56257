package directory_test

import (
	"log/slog"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/registrar"
)

// TestHostsThatFeedEachOtherComeToRest has two hosts send each other what has changed, with a
// time on the way, after an upstream has turned cold or has disappeared around an outage.
func TestHostsThatFeedEachOtherComeToRest(t *testing.T) {
	tests := map[string]func(d *directory.Directory){
		"cold": func(d *directory.Directory) {
			d.Update(registrar.Position{Era: 1, Revision: 2}, func(r *registrar.Registrar) {
				r.Put(registrar.Entry{ID: "x", Pool: "engines", Domain: "d", Slots: 6, Born: 2, ColdUntil: now.Add(3 * time.Second)})
			})
		},
		"in its grace period": func(d *directory.Directory) {
			d.RecordStoreFailure(now)
			d.Update(registrar.Position{Era: 1, Revision: 2}, func(r *registrar.Registrar) { r.Remove("x", now) })
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			hosts := []*directory.Directory{listedDirectory(t, slog.New(slog.DiscardHandler), 1, "x"), listedDirectory(t, slog.New(slog.DiscardHandler), 1, "x")}
			var cursors [2]directory.Cursor
			for i, d := range hosts {
				_, cursors[i], _ = d.Snapshot(directory.Cursor{}, now)
			}
			change(hosts[0])
			sent := 0
			for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(60 * time.Millisecond) {
				for i, from := range hosts {
					s, next, ok := from.Snapshot(cursors[i], at)
					if !ok {
						continue
					}
					sent++
					cursors[i] = next
					if err := hosts[1-i].Adopt(s, at.Add(20*time.Millisecond)); err != nil {
						t.Fatal(err)
					}
				}
			}
			// The change and its end, and the answer to each.
			if sent > 6 {
				t.Errorf("%d updates for one change", sent)
			}
		})
	}
}
