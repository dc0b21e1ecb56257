package drainer_test

import (
	"fmt"
	"testing"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/drainer"
)

func TestUpstreamReason(t *testing.T) {
	tests := map[string]struct {
		do   func(d *drainer.Drainer)
		want drainer.Reason
	}{
		"no source":          {do: func(*drainer.Drainer) {}, want: drainer.InService},
		"domain drained":     {do: func(d *drainer.Drainer) { d.SetDrains(drainer.NewDrains([]scheduler.DomainID{"d"}, nil, nil)) }, want: drainer.DomainDrained},
		"upstream drained":   {do: func(d *drainer.Drainer) { d.SetDrains(drainer.NewDrains(nil, []scheduler.UpstreamID{"u"}, nil)) }, want: drainer.UpstreamDrained},
		"reported by itself": {do: func(d *drainer.Drainer) { d.SetLeaving("u", "report", true) }, want: drainer.UpstreamLeaving},
		"sources disagree":   {do: func(d *drainer.Drainer) { d.SetLeaving("u", "a", true); d.SetLeaving("u", "b", false) }, want: drainer.UpstreamLeaving},
		"no longer leaving":  {do: func(d *drainer.Drainer) { d.SetLeaving("u", "a", true); d.SetLeaving("u", "a", false) }, want: drainer.InService},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			d := drainer.New()
			x.do(d)
			if got := d.UpstreamReason("u", "d"); got != x.want {
				t.Errorf("got %v, want %v", got, x.want)
			}
		})
	}
}

func ExampleDrainer() {
	d := drainer.New()
	d.SetDrains(drainer.NewDrains([]scheduler.DomainID{"fes-saiss"}, nil, nil))
	fmt.Println(d.UpstreamReason("engine-3", "fes-saiss"))
	// Output: domainDrained
}
