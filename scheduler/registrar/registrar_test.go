package registrar_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/registrar"
)

// start is the start time of every test.
var start = time.Unix(1000, 0)

// at returns the time a duration after start.
func at(d time.Duration) time.Time { return start.Add(d) }

func TestUsable(t *testing.T) {
	ready := registrar.Entry{ID: "e", Pool: "p", Domain: "d", Slots: 6}
	leaving := ready
	leaving.Leaving = true
	tests := map[string]struct {
		do   func(r *registrar.Registrar)
		at   time.Duration
		want bool
	}{
		"ready":                  {func(r *registrar.Registrar) { r.Put(ready) }, 0, true},
		"unknown":                {func(*registrar.Registrar) {}, 0, false},
		"leaving":                {func(r *registrar.Registrar) { r.Put(ready); r.Put(leaving) }, 0, false},
		"removed":                {func(r *registrar.Registrar) { r.Put(ready); r.Remove("e", at(0)) }, 0, false},
		"evacuated":              {func(r *registrar.Registrar) { r.Put(ready); r.Evacuate("d", true) }, 0, false},
		"other domain evacuated": {func(r *registrar.Registrar) { r.Put(ready); r.Evacuate("x", true) }, 0, true},
		"evacuation ended": {func(r *registrar.Registrar) {
			r.Put(ready)
			r.Evacuate("d", true)
			r.Evacuate("d", false)
		}, 0, true},
		"removed long after an outage": {func(r *registrar.Registrar) {
			r.Put(ready)
			r.MarkStoreUnavailable(at(0))
			r.Remove("e", at(5*time.Second))
		}, 5 * time.Second, false},
		"expired during an outage": {func(r *registrar.Registrar) {
			r.Put(ready)
			r.MarkStoreUnavailable(at(0))
			r.Remove("e", at(time.Second))
		}, time.Second, true},
		"expired, not published again": {func(r *registrar.Registrar) {
			r.Put(ready)
			r.MarkStoreUnavailable(at(0))
			r.Remove("e", at(time.Second))
		}, 2500 * time.Millisecond, false},
		"expired, published again": {func(r *registrar.Registrar) {
			r.Put(ready)
			r.MarkStoreUnavailable(at(0))
			r.Remove("e", at(time.Second))
			r.Put(ready)
		}, 2500 * time.Millisecond, true},
		"leaving before the outage": {func(r *registrar.Registrar) {
			r.Put(leaving)
			r.MarkStoreUnavailable(at(0))
			r.Remove("e", at(time.Second))
		}, time.Second, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New()
			tt.do(r)
			if got := r.Usable("e", at(tt.at)); got != tt.want {
				t.Errorf("Usable is %v, want %v", got, tt.want)
			}
			if listed := len(r.UsableEntries(at(tt.at))) == 1; listed != tt.want {
				t.Errorf("listed by UsableEntries is %v, want %v", listed, tt.want)
			}
		})
	}
}

func TestSinceReturnsChanges(t *testing.T) {
	r := registrar.New()
	r.Put(registrar.Entry{ID: "a"})
	r.Put(registrar.Entry{ID: "b"})
	mark := r.Changes()
	r.Put(registrar.Entry{ID: "a"})
	if changed, removed := r.Since(mark); len(changed)+len(removed) != 0 {
		t.Fatalf("unchanged entry put again is reported: changed %v, removed %v", changed, removed)
	}
	r.Put(registrar.Entry{ID: "a", Leaving: true})
	r.Forget("b")
	changed, removed := r.Since(mark)
	if len(changed) != 1 || changed[0].ID != "a" || len(removed) != 1 || removed[0] != "b" {
		t.Errorf("changed %v, removed %v, want a changed and b removed", changed, removed)
	}
	r.Put(registrar.Entry{ID: "b"})
	if _, removed := r.Since(mark); len(removed) != 0 {
		t.Errorf("entry published again is reported as removed: %v", removed)
	}
}

func TestReplaceRemovesUnlistedEntries(t *testing.T) {
	r := registrar.New()
	r.Put(registrar.Entry{ID: "old"})
	r.Replace([]registrar.Entry{{ID: "new"}}, at(0))
	if r.Usable("old", at(0)) || !r.Usable("new", at(0)) {
		t.Error("usable entries differ from the listing")
	}
}
