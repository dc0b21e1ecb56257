package drainer_test

import (
	"fmt"
	"testing"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/drainer"
)

func TestUpstream(t *testing.T) {
	tests := map[string]struct {
		do   func(d *drainer.Drainer)
		want drainer.Reason
	}{
		"nothing said":       {do: func(*drainer.Drainer) {}, want: drainer.InService},
		"domain taken out":   {do: func(d *drainer.Drainer) { d.SetDrains(drainer.NewDrains([]scheduler.DomainID{"d"}, nil, nil)) }, want: drainer.DomainDrained},
		"upstream taken out": {do: func(d *drainer.Drainer) { d.SetDrains(drainer.NewDrains(nil, []scheduler.UpstreamID{"u"}, nil)) }, want: drainer.UpstreamDrained},
		"says so itself":     {do: func(d *drainer.Drainer) { d.SetLeaving("u", "report", true) }, want: drainer.UpstreamLeaving},
		"one source is late": {do: func(d *drainer.Drainer) { d.SetLeaving("u", "a", true); d.SetLeaving("u", "b", false) }, want: drainer.UpstreamLeaving},
		"comes back":         {do: func(d *drainer.Drainer) { d.SetLeaving("u", "a", true); d.SetLeaving("u", "a", false) }, want: drainer.InService},
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
