package arbiter_test

import (
	"fmt"
	"testing"
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/arbiter"
	"foxtaillug.org/scheduler/drainer"
)

// The system size that the benchmarks assume.
const (
	targetRegions   = 6
	targetHosts     = 1200
	targetUpstreams = 6900
	targetModels    = 13
)

// target returns the hosts and upstreams of the assumed system size.
func target() (hosts []scheduler.Host, upstreams []arbiter.Upstream) {
	for i := range targetHosts {
		hosts = append(hosts, scheduler.NewHost(scheduler.HostID(fmt.Sprint("h", i)), "d", scheduler.RegionID(fmt.Sprint("r", i%targetRegions))))
	}
	for i := range targetUpstreams {
		upstreams = append(upstreams, arbiter.NewUpstream(
			scheduler.UpstreamID(fmt.Sprint("u", i)), scheduler.PoolID(fmt.Sprint("m", i%targetModels)), "d",
			scheduler.RegionID(fmt.Sprint("r", i%targetRegions)), arbiter.WithLimits(2, 16), arbiter.WithLoadReports(true)))
	}
	return hosts, upstreams
}

// BenchmarkConfigurationChange measures one configuration change on one host.
func BenchmarkConfigurationChange(b *testing.B) {
	hosts, upstreams := target()
	now := time.Unix(1000, 0)
	a := arbiter.New(hosts[0], now)
	a.SetHosts(hosts, now)
	a.SetConfiguration(upstreams, 3, drainer.Drains{}, now)
	for b.Loop() {
		a.SetConfiguration(upstreams, 3, drainer.Drains{}, now)
	}
}

// BenchmarkHostListChange measures one change of the host list on one host.
func BenchmarkHostListChange(b *testing.B) {
	hosts, upstreams := target()
	now := time.Unix(1000, 0)
	a := arbiter.New(hosts[0], now)
	a.SetConfiguration(upstreams, 3, drainer.Drains{}, now)
	i := 0
	for b.Loop() {
		i++
		now = now.Add(10 * time.Second)
		a.SetHosts(hosts[i%7:], now)
	}
}

// BenchmarkTick measures one Tick, which a host runs 20 times per second.
func BenchmarkTick(b *testing.B) {
	hosts, upstreams := target()
	now := time.Unix(1000, 0)
	a := arbiter.New(hosts[0], now)
	a.SetHosts(hosts, now)
	a.SetConfiguration(upstreams, 3, drainer.Drains{}, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		a.Tick(now)
	}
}
