package coordinator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// retryFleet simulates the holders of one pool's retry budget: a coordinator for each
// failure domain and a standalone coordinator on each host.
type retryFleet struct {
	rand       *rand.Rand
	domains    [][]*coordinator.Coordinator
	leaders    []*coordinator.Coordinator
	standalone []time.Time
	id         uint64
	// requests and retries are the times of the requests and of the retries that
	// were granted.
	requests, retries []time.Time
}

const (
	retryDomains, retryHosts = 6, 10
	retryRatio               = 0.2
	retryAllowance           = 168.0
	retryWindow              = 10 * time.Second
)

// newHolder returns a coordinator that has just started.
func newHolder(share float64, standalone bool, now time.Time) *coordinator.Coordinator {
	c := coordinator.New("p", coordinator.Bounds{RetryRatio: retryRatio, RetryAllowance: retryAllowance, RetryWindow: retryWindow})
	c.SetFleet(coordinator.Fleet{Hosts: retryDomains * retryHosts, Share: share, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Standalone: standalone}, now)
	setEngines(c, 20, nil)
	return c
}

// restartHost replaces the process of a host.
func (f *retryFleet) restartHost(domain, host int, now time.Time) {
	// A host that decides alone uses a quarter of its equal share.
	f.domains[domain][host] = newHolder(0.25/(retryDomains*retryHosts), true, now)
}

// elect replaces the coordinator of a failure domain.
func (f *retryFleet) elect(domain int, now time.Time) {
	f.leaders[domain] = newHolder(1./retryDomains, false, now)
}

// send sends a request to a host whose upstreams all fail, and then four retries.
func (f *retryFleet) send(domain, host int, now time.Time) {
	c := f.leaders[domain]
	if now.Before(f.standalone[domain]) {
		c = f.domains[domain][host]
	}
	f.requests = append(f.requests, now)
	for try := range 5 {
		f.id++
		r := request(f.id)
		r.Repeat = try > 0
		c.Admit("entry", r, now)
		for _, d := range c.Advance(now) {
			if d.Upstream != "" && r.Repeat {
				f.retries = append(f.retries, now)
			}
			c.Finish("entry", coordinator.Finish{ID: d.ID, Ending: coordinator.ConnectionLost}, now)
		}
	}
}

// count returns how many times lie in a window.
func count(times []time.Time, from time.Time, window time.Duration) (n float64) {
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// TestRetryBudgetWhileCoordinatorsChange changes coordinators, restarts hosts and lets
// failure domains decide alone, in series that overlap.
func TestRetryBudgetWhileCoordinatorsChange(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		f := &retryFleet{rand: rand.New(rand.NewPCG(seed, 1)), standalone: make([]time.Time, retryDomains)}
		for domain := range retryDomains {
			f.domains = append(f.domains, make([]*coordinator.Coordinator, retryHosts))
			f.leaders = append(f.leaders, nil)
			f.elect(domain, start)
			for host := range retryHosts {
				f.restartHost(domain, host, start)
			}
		}
		perSecond := []int{4, 40, 200}[seed%3]
		for ms := 0; ms < 40_000; ms += 20 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if f.rand.IntN(50) == 0 {
				f.elect(f.rand.IntN(retryDomains), now)
			}
			if f.rand.IntN(20) == 0 {
				f.restartHost(f.rand.IntN(retryDomains), f.rand.IntN(retryHosts), now)
			}
			if f.rand.IntN(100) == 0 {
				f.standalone[f.rand.IntN(retryDomains)] = now.Add(time.Duration(f.rand.IntN(3000)) * time.Millisecond)
			}
			for n := f.rand.IntN(perSecond/25 + 1); n >= 0; n-- {
				f.send(f.rand.IntN(retryDomains), f.rand.IntN(retryHosts), now)
			}
		}
		for i := 0; i < len(f.retries); i += 5 {
			from := f.retries[i]
			requests := max(count(f.requests, from, retryWindow), count(f.requests, from.Add(-retryWindow), retryWindow), count(f.requests, from.Add(-retryWindow/2), retryWindow))
			bound := retryRatio*requests + retryAllowance
			if n := count(f.retries, from, retryWindow); n > bound {
				t.Fatalf("seed %d: %.0f retries within %v of %v, want at most %.0f", seed, n, retryWindow, from.Sub(start), bound)
			}
		}
		if len(f.retries) == 0 {
			t.Fatalf("seed %d: no retry was allowed", seed)
		}
	}
}
