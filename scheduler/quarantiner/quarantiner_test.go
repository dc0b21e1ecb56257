package quarantiner_test

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/quarantiner"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

// TestSecondCrashRefusesOnlyTheSuspect crashes an upstream twice with random
// requests in flight. Only the digest that was in flight both times is refused.
func TestSecondCrashRefusesOnlyTheSuspect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const poison = quarantiner.Digest(1)
		now := time.Unix(1000, 0)
		q := quarantiner.New()
		inFlight := func(first quarantiner.Digest) []quarantiner.Digest {
			d := []quarantiner.Digest{}
			for i := range rapid.IntRange(0, 10).Draw(t, "others") {
				d = append(d, first+quarantiner.Digest(i))
			}
			return append(d, poison)
		}
		q.RecordCrash(inFlight(100), now)
		if q.Verdict(poison, now) != quarantiner.Suspect {
			t.Fatal("not suspected after one crash")
		}
		q.RecordCrash(inFlight(200), now.Add(time.Second))
		if q.Verdict(poison, now) != quarantiner.Refused {
			t.Fatal("not refused after two crashes")
		}
		for d := quarantiner.Digest(100); d < 220; d++ {
			if q.Verdict(d, now) == quarantiner.Refused {
				t.Fatalf("digest %d, in flight at only one crash, is refused", d)
			}
		}
	})
}

func TestVerdict(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		do   func(q *quarantiner.Quarantiner)
		at   time.Duration
		want quarantiner.Verdict
	}{
		"never seen":           {do: func(*quarantiner.Quarantiner) {}, want: quarantiner.Clean},
		"reported by a peer":   {do: func(q *quarantiner.Quarantiner) { q.Merge(1, 2, now) }, want: quarantiner.Refused},
		"peer has lower count": {do: func(q *quarantiner.Quarantiner) { q.Merge(1, 2, now); q.Merge(1, 1, now) }, want: quarantiner.Refused},
		"after the retention":  {do: func(q *quarantiner.Quarantiner) { q.Merge(1, 2, now) }, at: time.Minute, want: quarantiner.Clean},
		"evicted at capacity":  {do: func(q *quarantiner.Quarantiner) { q.Merge(1, 2, now); q.Merge(2, 1, now); q.Merge(3, 1, now) }, want: quarantiner.Clean},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			q := quarantiner.New(quarantiner.WithRetention(time.Minute), quarantiner.WithCapacity(2))
			x.do(q)
			if got := q.Verdict(1, now.Add(x.at)); got != x.want {
				t.Errorf("got %v, want %v", got, x.want)
			}
		})
	}
}
