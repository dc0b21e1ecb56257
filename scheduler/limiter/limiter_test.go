package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/limiter"
)

var start = time.Unix(1000, 0)

func ExampleBucket() {
	b := limiter.NewBucket(2, 2, 2, start)
	fmt.Println(b.Take(1, start), b.Take(1, start), b.Take(1, start))
	fmt.Println(b.Take(1, start.Add(500*time.Millisecond)))
	// Output:
	// true true false
	// true
}

// TestBucketWindow checks that no window admits more than the size plus the
// refill during the window.
func TestBucketWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 50).Draw(t, "rate")
		size := rapid.Float64Range(1, 20).Draw(t, "size")
		b := limiter.NewBucket(rate, size, size, start)
		now := start
		var taken []time.Time
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gapMs")) * time.Millisecond)
			if b.Take(1, now) {
				taken = append(taken, now)
			}
		}
		for i, from := range taken {
			for n, to := range taken[i:] {
				if limit := size + rate*to.Sub(from).Seconds() + 1e-6; float64(n+1) > limit {
					t.Fatalf("%d tokens taken in %v, want at most %.2f", n+1, to.Sub(from), limit)
				}
			}
		}
	})
}

// TestQuotaAcrossHosts lets hosts that receive each other's usage with a delay
// admit a workspace whose demand is a multiple of its quota, and checks the sum
// over all hosts.
func TestQuotaAcrossHosts(t *testing.T) {
	const (
		hosts, rate, burst, cost = 6, 100_000.0, 100_000.0, 3000.0
		overshoot, allowance     = 0.25, 110_000.0
		window                   = 8 * time.Second
		lag                      = 150 * time.Millisecond
	)
	tests := map[string]struct {
		// partitioned is the number of hosts that exchange no reports with the
		// rest; both sides have their share of the quota.
		partitioned int
	}{
		"connected":       {0},
		"two partitioned": {2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			quotas := make([]*limiter.Quota, hosts)
			for i := range quotas {
				quotas[i] = limiter.NewQuota(rate, burst, start)
				side := hosts - tt.partitioned
				if i >= side {
					side = tt.partitioned
				}
				quotas[i].SetShare(float64(side)/hosts, start)
			}
			var admitted []time.Duration
			for ms := 0; ms < 30_000; ms += 10 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				for _, q := range quotas {
					if q.Admit(cost, now) {
						admitted = append(admitted, now.Sub(start))
					}
				}
				if time.Duration(ms)*time.Millisecond%lag != 0 {
					continue
				}
				for i, q := range quotas {
					for j, other := range quotas {
						if i != j && (i < hosts-tt.partitioned) == (j < hosts-tt.partitioned) {
							q.RecordUsage(fmt.Sprint(j), "process", other.Used(), now)
						}
					}
				}
			}
			bound := (rate*window.Seconds()+burst)*(1+overshoot) + allowance
			for i := range admitted {
				n := 0
				for _, later := range admitted[i:] {
					if later-admitted[i] <= window {
						n++
					}
				}
				if used := float64(n) * cost; used > bound {
					t.Fatalf("%.0f tokens admitted in %v from %v, want at most %.0f", used, window, admitted[i], bound)
				}
			}
			if total := float64(len(admitted)) * cost; total < 0.9*rate*30 {
				t.Errorf("%.0f tokens admitted in 30 s, want nearly all of %.0f", total, rate*30)
			}
		})
	}
}

func TestQuotaRefund(t *testing.T) {
	q := limiter.NewQuota(1, 100, start)
	if !q.Admit(50, start) || q.Admit(50, start) {
		t.Fatal("want exactly half of the burst available at the start")
	}
	q.Refund(50)
	if q.Used() != 0 || !q.Admit(50, start) {
		t.Error("refunded tokens are not available")
	}
	if wait := q.TimeUntil(50, time.Minute, start); wait != 50*time.Second {
		t.Errorf("tokens available in %v, want 50s", wait)
	}
}

func TestZeroRateIsUnlimited(t *testing.T) {
	q := limiter.NewQuota(0, 0, start)
	for range 1000 {
		if !q.Admit(1e9, start) {
			t.Fatal("request refused despite an unlimited quota")
		}
	}
}

// TestQuotaForgetsFormerProcesses restarts a source repeatedly: the first
// report of each new process sets a new baseline, and nothing is kept of the
// previous ones.
func TestQuotaForgetsFormerProcesses(t *testing.T) {
	q := limiter.NewQuota(1, 1000, start)
	for i := range 50 {
		process := fmt.Sprint("process-", i)
		q.RecordUsage("domain", process, 1e6, start)
		q.RecordUsage("domain", process, 1e6+2, start)
	}
	// Half of the burst is available at the start, and 50 x 2 were used.
	if !q.Admit(400, start) || q.Admit(1, start) {
		t.Error("usage of other processes is not counted from their first report")
	}
}

// TestLargeRequestsAreNotStarved offers three times a quota in requests of
// which one in ten is large: the size of a request must not decide whether it
// is admitted.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	const (
		rate, burst  = 20_000.0, 70_000.0
		small, large = 1_500.0, 7_000.0
		// minRatio is the operators' bound: the largest tenth of the requests
		// of a kind is served at least half as often as all of them.
		minRatio = 0.5
		length   = 60 * time.Second
	)
	now := time.Unix(1000, 0)
	q := limiter.NewQuota(rate, burst, now)
	rnd := rand.New(rand.NewPCG(1, 1))
	offered, admitted := map[float64]int{}, map[float64]int{}
	used := 0.0
	mean := 0.9*small + 0.1*large
	for at := time.Duration(0); at < length; at += time.Duration(rnd.ExpFloat64() * mean / (3 * rate) * float64(time.Second)) {
		cost := small
		if rnd.IntN(10) == 0 {
			cost = large
		}
		offered[cost]++
		if q.Admit(cost, now.Add(at)) {
			admitted[cost]++
			used += cost
		}
	}
	fraction := func(cost float64) float64 { return float64(admitted[cost]) / float64(offered[cost]) }
	if fraction(large) < minRatio*fraction(small) {
		t.Errorf("%.2f of the large requests admitted, %.2f of the small ones", fraction(large), fraction(small))
	}
	if limit := rate*length.Seconds() + burst + large; used > limit {
		t.Errorf("%.0f tokens admitted, want at most %.0f", used, limit)
	}
}
