package linker_test

import (
	"fmt"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
)

const (
	// crashPart is the part of a prompt that crashes upstreams.
	crashPart = 0xbad
	// callerPart is a part that sound requests of the same caller have too.
	callerPart = 0x5eed
	// maxCrashPartRuns is how often requests with crashPart may reach upstreams:
	// five times until the fifth crash and three times after it.
	maxCrashPartRuns = 8
)

// isQuarantined reports whether a request was refused because it crashes upstreams.
func isQuarantined(r *forwarder.Refusal) bool {
	return r != nil && r.Reason == coordinator.Quarantined.String()
}

// startFleet starts hosts that know each other.
func (f *crashFleet) startFleet(domain string, n int) {
	f.t.Helper()
	for i := range n {
		var seeds []string
		if i > 0 {
			seeds = []string{f.hosts[0].address}
		}
		f.start(fmt.Sprint("host-", i), domain, seeds...)
	}
	eventually(f.t, "the hosts know each other", func() bool {
		for _, h := range f.hosts {
			if len(h.Members()) != n-1 {
				return false
			}
		}
		return true
	})
}

// TestCrashingPartIsQuarantined sends requests no two of which are alike, with one
// part that crashes upstreams, to one host after the other. Sound requests share
// their other part.
func TestCrashingPartIsQuarantined(t *testing.T) {
	for name, accepting := range map[string]bool{"connections refused": false, "connections accepted and reset": true} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, accepting, 24, "a")
			f.startFleet("a", 3)
			digest := uint64(100)
			sent, served, refused, runs := 0, 0, 0, 0
			sound := func(h *host) {
				digest++
				r := f.send(h, "/sound", digest, callerPart)
				if isQuarantined(r) {
					t.Fatalf("sound request was refused: %+v", r)
				}
				sent++
				if r == nil {
					served++
				}
			}
			for _, h := range f.hosts {
				sound(h)
			}
			for n := 0; refused < 2*len(f.hosts); n++ {
				h := f.hosts[n%len(f.hosts)]
				digest++
				refusal := f.send(h, crashPath, digest, callerPart, crashPart)
				f.mu.Lock()
				runs = f.runs
				f.mu.Unlock()
				if runs > maxCrashPartRuns {
					t.Fatalf("requests with the part reached upstreams %d times, want at most %d", runs, maxCrashPartRuns)
				}
				if isQuarantined(refusal) {
					refused++
					if refusal.Outcome != forwarder.NotRun {
						t.Errorf("refusal says %v, want notRun", refusal.Outcome)
					}
				}
				if n > 20*maxCrashPartRuns {
					t.Fatalf("requests were not refused as quarantined after %d sends; last refusal %+v", n, refusal)
				}
				time.Sleep(crashPause)
				sound(f.hosts[(n+1)%len(f.hosts)])
			}
			t.Logf("%d requests with the part reached upstreams, %d of %d sound requests were served", runs, served, sent)
			if 2*served < sent {
				t.Errorf("%d of %d sound requests were served, want at least half", served, sent)
			}
		})
	}
}
