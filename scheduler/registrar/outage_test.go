package registrar_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/registrar"
)

// TestShortInterruptionKeepsNoUpstreamThatHasLeft removes the entry of an upstream after the
// store could not be read for a time, too short or long enough for entries to expire.
func TestShortInterruptionKeepsNoUpstreamThatHasLeft(t *testing.T) {
	const lapse = 2400 * time.Millisecond
	respond := func(d time.Duration) func(*registrar.Registrar) {
		return func(r *registrar.Registrar) { r.MarkStoreAvailable(at(d)) }
	}
	fail := func(d time.Duration) func(*registrar.Registrar) {
		return func(r *registrar.Registrar) { r.MarkStoreUnavailable(at(d)) }
	}
	remove := func(d time.Duration) func(*registrar.Registrar) {
		return func(r *registrar.Registrar) { r.Remove("e", at(d)) }
	}
	tests := map[string]struct {
		events []func(*registrar.Registrar)
		at     time.Duration
		want   bool
	}{
		"a watch was cut":                      {[]func(*registrar.Registrar){respond(0), fail(time.Second), remove(1200 * time.Millisecond)}, 1200 * time.Millisecond, false},
		"a watch was cut, then a response":     {[]func(*registrar.Registrar){respond(0), fail(time.Second), respond(1100 * time.Millisecond), remove(1200 * time.Millisecond)}, 1200 * time.Millisecond, false},
		"several short interruptions":          {[]func(*registrar.Registrar){respond(0), fail(time.Second), respond(1100 * time.Millisecond), fail(3 * time.Second), remove(3100 * time.Millisecond)}, 3100 * time.Millisecond, false},
		"an outage":                            {[]func(*registrar.Registrar){respond(0), fail(time.Second), fail(3 * time.Second), remove(3100 * time.Millisecond)}, 3100 * time.Millisecond, true},
		"an outage, then a response":           {[]func(*registrar.Registrar){respond(0), fail(time.Second), fail(3 * time.Second), respond(3100 * time.Millisecond), remove(3200 * time.Millisecond)}, 3200 * time.Millisecond, true},
		"an outage, then a short interruption": {[]func(*registrar.Registrar){respond(0), fail(3 * time.Second), respond(3100 * time.Millisecond), fail(3500 * time.Millisecond), remove(3600 * time.Millisecond)}, 3600 * time.Millisecond, true},
		"an outage, not published again":       {[]func(*registrar.Registrar){respond(0), fail(3 * time.Second), respond(3100 * time.Millisecond), remove(3200 * time.Millisecond)}, 5300 * time.Millisecond, false},
		"the store responds to other hosts":    {[]func(*registrar.Registrar){respond(0), fail(2 * time.Second), respond(1900 * time.Millisecond), fail(3 * time.Second), remove(3100 * time.Millisecond)}, 3100 * time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(registrar.WithLapse(lapse))
			r.Put(registrar.Entry{ID: "e"})
			for _, event := range tt.events {
				event(r)
			}
			if got := r.Usable("e", at(tt.at)); got != tt.want {
				t.Errorf("usable %v, want %v", got, tt.want)
			}
		})
	}
}
