package registrar_test

import (
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler/registrar"
)

// restoreFixture is a registrar with the upstream "live" and one of each other kind,
// right before its store is restored.
func restoreFixture(now time.Time) *registrar.Registrar {
	r := registrar.New()
	for _, id := range []string{"live", "leaving", "left", "lapsed", "new"} {
		r.Put(entryOf(id))
	}
	leaving := entryOf("leaving")
	leaving.Leaving = true
	r.Put(leaving)
	left := entryOf("left")
	left.Leaving = true
	r.Put(left)
	r.Remove("left", now)
	r.Remove("lapsed", now)
	r.Evacuate("evacuated", true)
	r.Put(registrar.Entry{ID: "inside", Domain: "evacuated", Born: 1})
	return r
}

// entryOf returns an entry of an upstream's first process.
func entryOf(id string) registrar.Entry {
	return registrar.Entry{ID: id, Domain: "d", Born: 1}
}

// TestRestoredStoreForgetsNothing lists an older copy, in which every upstream is ready
// but "new", which is missing, and nothing is evacuated.
func TestRestoredStoreForgetsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	listing := []registrar.Entry{entryOf("live"), entryOf("leaving"), entryOf("left"), entryOf("lapsed"), {ID: "inside", Domain: "evacuated", Born: 1}}
	restarted := func(id string) registrar.Entry {
		e := entryOf(id)
		e.Born = 2
		return e
	}
	tests := map[string]struct {
		then func(r *registrar.Registrar)
		at   time.Duration
		want []string
	}{
		"at once":                                {nil, 0, []string{"live", "new"}},
		"missing entry after the grace period":   {nil, 3 * time.Second, []string{"live"}},
		"missing entry is written again":         {func(r *registrar.Registrar) { r.Put(entryOf("new")) }, 3 * time.Second, []string{"live", "new"}},
		"lapsed upstream publishes again":        {func(r *registrar.Registrar) { r.Put(entryOf("lapsed")) }, 0, []string{"lapsed", "live", "new"}},
		"lapsed entry lapses again":              {func(r *registrar.Registrar) { r.Remove("lapsed", now) }, time.Minute, []string{"inside", "live"}},
		"lapsed entry stays":                     {nil, 11 * time.Second, []string{"lapsed", "live"}},
		"leaving upstream publishes as ready":    {func(r *registrar.Registrar) { r.Put(entryOf("leaving")) }, 0, []string{"live", "new"}},
		"upstream that has left publishes again": {func(r *registrar.Registrar) { r.Put(entryOf("left")) }, 0, []string{"live", "new"}},
		"leaving upstream has restarted":         {func(r *registrar.Registrar) { r.Put(restarted("leaving")) }, 0, []string{"leaving", "live", "new"}},
		"evacuation is written again":            {func(r *registrar.Registrar) { r.Evacuate("evacuated", true) }, 40 * time.Second, []string{"lapsed", "live"}},
		"evacuation is written again and ended":  {func(r *registrar.Registrar) { r.Evacuate("evacuated", true); r.Evacuate("evacuated", false) }, 0, []string{"inside", "live", "new"}},
		"evacuation is not written again":        {nil, 40 * time.Second, []string{"inside", "lapsed", "live"}},
		"a second restore in a row, at once":     {func(r *registrar.Registrar) { r.BeginEra(now); r.Replace(listing, now); r.ReplaceEvacuations(nil) }, 0, []string{"live", "new"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := restoreFixture(now)
			r.BeginEra(now)
			r.Replace(listing, now)
			r.ReplaceEvacuations(nil)
			if tt.then != nil {
				tt.then(r)
			}
			at := now.Add(tt.at)
			r.Prune(at)
			var got []string
			for _, e := range r.UsableEntries(at) {
				got = append(got, e.ID)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("usable %v, want %v", got, tt.want)
			}
		})
	}
}

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	sorted := []registrar.Position{{}, {Revision: 9}, {Era: 1}, {Era: 1, Revision: 2}, {Era: 2, Revision: 1}}
	for i, p := range sorted {
		for k, o := range sorted {
			if got, want := p.Compare(o) < 0, i < k; got != want {
				t.Errorf("%v before %v: %t, want %t", p, o, got, want)
			}
		}
	}
}
