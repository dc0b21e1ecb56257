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

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// runTime is the time from sending a request to the crash that it causes.
const runTime = 20 * time.Millisecond

// crash records that a request crashed an upstream process at a time.
func crash(q *quarantiner.Quarantiner, d quarantiner.Digest, upstream uint64, at time.Duration) {
	q.RecordCrash(d, upstream, start.Add(at-runTime), start.Add(at))
}

// TestSecondCrashRefusesOnlyTheSuspect crashes two upstreams with random requests
// in flight. Only the digest that was in flight both times is refused.
func TestSecondCrashRefusesOnlyTheSuspect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const poison = quarantiner.Digest(1)
		q := quarantiner.New()
		record := func(upstream uint64, first quarantiner.Digest, at time.Duration) {
			for i := range rapid.IntRange(0, 10).Draw(t, "others") {
				crash(q, first+quarantiner.Digest(i), upstream, at)
			}
			crash(q, poison, upstream, at)
		}
		record(1, 100, 0)
		if q.Verdict(poison, start) != quarantiner.Suspect {
			t.Fatal("not suspected after one crash")
		}
		record(2, 200, time.Second)
		now := start.Add(time.Second)
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
	report := func(upstream uint64, age time.Duration) quarantiner.Report {
		return quarantiner.Report{Digest: 1, Upstream: upstream, AgeMs: uint32(age.Milliseconds()), RanMs: 20}
	}
	tests := map[string]struct {
		do   func(q *quarantiner.Quarantiner)
		at   time.Duration
		want quarantiner.Verdict
	}{
		"never seen": {do: func(*quarantiner.Quarantiner) {}, want: quarantiner.Clean},
		"two crashes reported by peers": {
			do:   func(q *quarantiner.Quarantiner) { q.Merge(report(1, time.Second), start); q.Merge(report(2, 0), start) },
			want: quarantiner.Refused,
		},
		"one own crash and one of a peer": {
			do:   func(q *quarantiner.Quarantiner) { crash(q, 1, 1, 0); q.Merge(report(2, time.Second), start) },
			want: quarantiner.Refused,
		},
		"the same crash reported by two peers": {
			do:   func(q *quarantiner.Quarantiner) { q.Merge(report(1, time.Second), start); q.Merge(report(1, 0), start) },
			want: quarantiner.Suspect,
		},
		"two crashes at the same time": {
			do:   func(q *quarantiner.Quarantiner) { crash(q, 1, 1, 0); crash(q, 1, 2, runTime/2) },
			want: quarantiner.Suspect,
		},
		"a run completed between two crashes": {
			do:   func(q *quarantiner.Quarantiner) { crash(q, 1, 1, 0); q.RecordComplete(1); crash(q, 1, 2, time.Second) },
			at:   time.Second,
			want: quarantiner.Suspect,
		},
		"a run completed after two crashes": {
			do:   func(q *quarantiner.Quarantiner) { crash(q, 1, 1, 0); crash(q, 1, 2, time.Second); q.RecordComplete(1) },
			at:   time.Second,
			want: quarantiner.Clean,
		},
		"after the refusal": {
			do:   func(q *quarantiner.Quarantiner) { crash(q, 1, 1, 0); crash(q, 1, 2, time.Second) },
			at:   61 * time.Second,
			want: quarantiner.Suspect,
		},
		"a third crash after the refusal": {
			do: func(q *quarantiner.Quarantiner) {
				crash(q, 1, 1, 0)
				crash(q, 1, 2, time.Second)
				crash(q, 1, 3, 61*time.Second)
			},
			at:   1200 * time.Second,
			want: quarantiner.Refused,
		},
		"after the retention": {
			do:   func(q *quarantiner.Quarantiner) { crash(q, 1, 1, 0); crash(q, 1, 2, time.Second) },
			at:   time.Second + 3*time.Minute,
			want: quarantiner.Clean,
		},
		"confirmed digest kept at capacity": {
			do: func(q *quarantiner.Quarantiner) {
				crash(q, 1, 1, 0)
				crash(q, 1, 2, time.Second)
				for d := quarantiner.Digest(2); d < 300; d++ {
					crash(q, d, 3, 2*time.Second)
				}
			},
			at:   2 * time.Second,
			want: quarantiner.Refused,
		},
		"suspect removed at capacity": {
			do: func(q *quarantiner.Quarantiner) {
				crash(q, 1, 1, 0)
				crash(q, 2, 2, time.Second)
				crash(q, 3, 3, 2*time.Second)
			},
			at:   2 * time.Second,
			want: quarantiner.Clean,
		},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			q := quarantiner.New(quarantiner.WithRetention(3*time.Minute), quarantiner.WithCapacity(2))
			x.do(q)
			if got := q.Verdict(1, start.Add(x.at)); got != x.want {
				t.Errorf("got %v, want %v", got, x.want)
			}
		})
	}
}

// TestCrashingRequestRunsFewTimesADay repeats a request every ten seconds.
func TestCrashingRequestRunsFewTimesADay(t *testing.T) {
	const maxRuns = 6 // three crashes and three further runs
	q := quarantiner.New()
	runs := 0
	for at := time.Duration(0); at < 24*time.Hour; at += 10 * time.Second {
		if q.Verdict(1, start.Add(at)) != quarantiner.Refused {
			runs++
			crash(q, 1, uint64(runs), at+runTime)
		}
	}
	if runs > maxRuns {
		t.Errorf("request ran %d times in a day, want at most %d", runs, maxRuns)
	}
}
