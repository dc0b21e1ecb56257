package linker

import (
	"log/slog"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/observer"
)

// TestSubstituteCoordinatorIsToldLimits changes the coordinators of a fleet and checks which
// of those that a host has links to are told the limits that it knows.
func TestSubstituteCoordinatorIsToldLimits(t *testing.T) {
	tests := map[string]struct {
		before, after map[string]string
		told          bool
	}{
		"no change":                      {map[string]string{"a": "1", "b": "2"}, map[string]string{"a": "1", "b": "2"}, false},
		"a successor":                    {map[string]string{"a": "3", "b": "2"}, map[string]string{"a": "1", "b": "2"}, true},
		"a domain has lost its hosts":    {map[string]string{"a": "1", "b": "2"}, map[string]string{"a": "1"}, true},
		"a domain's hosts have returned": {map[string]string{"a": "1"}, map[string]string{"a": "1", "b": "2"}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			log := slog.New(slog.DiscardHandler)
			k := &link{address: "1", out: make(chan frame, 1), broken: make(chan struct{})}
			l := &Linker{loop: newLoop("host", coordinator.New("p", coordinator.Bounds{}), directory.New(log), log), links: map[string]*link{"1": k}}
			now := time.Now()
			l.loop.observe("test", []observer.Observation{{Upstream: "u", Limit: observer.Limit{State: observer.Limited, Rate: 2}}}, now)
			l.loop.publishLimits(now)
			l.reportLimits(&view{coordinators: tt.before}, &view{coordinators: tt.after})
			if told := len(k.out) > 0; told != tt.told {
				t.Errorf("the coordinator was told: %v, want %v", told, tt.told)
			}
		})
	}
}
