package arbiter_test

import (
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/arbiter"
	"foxtaillug.org/scheduler/drainer"
	"foxtaillug.org/scheduler/leaser"
)

// TestGrantMadeWhileLeasingIsReturned lets a host hold the shares of two replicas, of
// which one has expired, and lease its own share while a request waits.
func TestGrantMadeWhileLeasingIsReturned(t *testing.T) {
	const u = scheduler.UpstreamID("u")
	now := time.Unix(1000, 0)
	ids := []scheduler.HostID{"h0", "h1", "h2", "h3"}
	var hosts []scheduler.Host
	for _, id := range ids {
		hosts = append(hosts, scheduler.NewHost(id, "d", "r"))
	}
	replicas := arbiter.RegionShardMap(hosts, "r", 1).Replicas(u)
	if len(replicas) < 4 {
		t.Fatalf("%d replicas, the test needs 4", len(replicas))
	}
	arbiters := make(map[scheduler.HostID]*arbiter.Arbiter)
	upstreams := []arbiter.Upstream{arbiter.NewUpstream(u, "p", "d", "r", arbiter.WithLimits(16, 16))}
	for i, h := range hosts {
		a := arbiter.New(hosts[i], now)
		a.SetHosts(hosts, now)
		a.SetConfiguration(upstreams, 1, drainer.Drains{}, now)
		arbiters[h.ID()] = a
	}
	// Times are advanced in small steps, so that no host assumes a suspension.
	advance := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(50 * time.Millisecond)
			for _, a := range arbiters {
				a.Tick(now)
			}
		}
	}
	ttl := leaser.New("x", now).TTL()
	above, self := replicas[0], arbiters[replicas[1]]
	advance(leaser.New("x", now).SettlingTime() + time.Second)
	lease := func(lessor scheduler.HostID) {
		shares, leased, _ := arbiters[lessor].Lease(u, replicas[1], now)
		if !leased {
			t.Fatalf("%s does not lease", lessor)
		}
		self.RecordLease(u, lessor, shares, now, now)
	}
	lease(replicas[2])
	advance(ttl / 8)
	lease(replicas[3])
	advance(ttl - ttl/8 - 50*time.Millisecond)
	now = now.Add(51 * time.Millisecond)
	request := admitter.NewRequest(scheduler.NewRequestID("h0", 1), "w", 0, now.Add(time.Minute))
	if out := self.Admit(arbiter.NewRequest("p", request, 0), now); len(out.Grants()) > 0 {
		t.Fatal("request was granted on an expired lease")
	}
	_, leased, out := self.Lease(u, above, now)
	if !leased {
		t.Fatalf("share is not leased to %s, which ranks above", above)
	}
	_, running, _ := self.Summary("p")
	granted := slices.ContainsFunc(out.Grants(), func(g admitter.Grant) bool { return g.ID() == request.ID() })
	if running != 1 || !granted {
		t.Errorf("%d requests hold a slot, and the grant is returned: %t", running, granted)
	}
}
