package registrar_test

import (
	"reflect"
	"testing"
	"time"

	"foxtaillug.org/scheduler/registrar"
)

func TestVersionsOfPools(t *testing.T) {
	entry := func(id, pool, version string) registrar.Entry {
		return registrar.Entry{ID: id, Pool: pool, Version: version}
	}
	tests := map[string]struct {
		do      func(r *registrar.Registrar)
		want    map[string][]string
		changes uint64
	}{
		"two pools": {
			func(r *registrar.Registrar) {
				r.Put(entry("c", "q", ""))
				r.Put(entry("b", "p", "v2"))
			}, map[string][]string{"p": {"v1", "v2"}, "q": {""}}, 2,
		},
		"same version": {
			func(r *registrar.Registrar) { r.Put(entry("b", "p", "v1")) },
			map[string][]string{"p": {"v1"}},
			0,
		},
		"published again": {
			func(r *registrar.Registrar) { r.Put(entry("a", "p", "v1")) },
			map[string][]string{"p": {"v1"}},
			0,
		},
		"leaving": {
			func(r *registrar.Registrar) {
				r.Put(registrar.Entry{ID: "a", Pool: "p", Version: "v1", Leaving: true})
			}, map[string][]string{"p": {"v1"}}, 0,
		},
		"evacuated": {
			func(r *registrar.Registrar) { r.Evacuate("", true) },
			map[string][]string{"p": {"v1"}},
			0,
		},
		"restarted at another version": {
			func(r *registrar.Registrar) { r.Put(entry("a", "p", "v2")) },
			map[string][]string{"p": {"v2"}},
			2,
		},
		"one of two removed": {
			func(r *registrar.Registrar) {
				r.Put(entry("b", "p", "v1"))
				r.Remove("a", at(0))
			}, map[string][]string{"p": {"v1"}}, 0,
		},
		"removed": {
			func(r *registrar.Registrar) { r.Remove("a", at(0)) },
			map[string][]string{},
			1,
		},
		"grace period after an outage": {
			func(r *registrar.Registrar) {
				r.MarkStoreUnavailable(at(0))
				r.Remove("a", at(time.Second))
			}, map[string][]string{"p": {"v1"}}, 0,
		},
		"grace period is over": {
			func(r *registrar.Registrar) {
				r.MarkStoreUnavailable(at(0))
				r.Remove("a", at(time.Second))
				r.Prune(at(time.Minute))
			}, map[string][]string{}, 1,
		},
		"listing without it": {
			func(r *registrar.Registrar) {
				r.Replace([]registrar.Entry{entry("b", "p", "v2")}, at(0))
			}, map[string][]string{"p": {"v2"}}, 2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New()
			r.Put(entry("a", "p", "v1"))
			before := r.VersionChanges()
			tt.do(r)
			if got := r.Versions(); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("versions are %v, want %v", got, tt.want)
			}
			if got := r.VersionChanges() - before; got != tt.changes {
				t.Errorf("%d changes, want %d", got, tt.changes)
			}
		})
	}
}
