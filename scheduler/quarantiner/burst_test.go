package quarantiner_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/quarantiner"
)

// TestBurstOfCrashesDoesNotHideLaterOnes has many runs of one digest crash upstreams at
// once, more than reports are kept of it, and then one after the other. The last host
// only receives the reports of the first.
func TestBurstOfCrashesDoesNotHideLaterOnes(t *testing.T) {
	const (
		digest = 7
		series = 30
		// batch is the number of reports in a message.
		batch = 24
	)
	kinds := map[string]struct {
		newQuarantiner func() *quarantiner.Quarantiner
		maxRuns        int
	}{
		"whole request": {func() *quarantiner.Quarantiner { return quarantiner.New() }, quarantiner.RefuseAfterCrashes},
		"part":          {func() *quarantiner.Quarantiner { return newParts() }, unknownThreshold},
	}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			for _, burst := range []int{1, 6, 7, 8, 9, 10, 11, 12, 20, 60} {
				q, peer := kind.newQuarantiner(), kind.newQuarantiner()
				for i := range burst {
					q.RecordCrash(digest, uint64(i), start, start.Add(time.Second))
				}
				runs, peerRuns := 0, 0
				for i := range series {
					at := start.Add(time.Duration(2+i) * time.Second)
					if peer.Verdict(digest, at) != quarantiner.Refused {
						peerRuns++
					}
					if q.Verdict(digest, at) != quarantiner.Refused {
						runs++
						q.RecordCrash(digest, uint64(1000+i), at, at.Add(time.Second/2))
					}
					for range 8 {
						peer.Receive(q.Message(batch, at.Add(time.Second/2)), at.Add(time.Second/2))
						q.Receive(peer.Message(batch, at.Add(time.Second/2)), at.Add(time.Second/2))
					}
				}
				if runs >= kind.maxRuns || peerRuns > kind.maxRuns {
					t.Errorf("after a burst of %d, %d of %d later runs were let through, %d at the peer; want fewer than %d", burst, runs, series, peerRuns, kind.maxRuns)
				}
			}
		})
	}
}
