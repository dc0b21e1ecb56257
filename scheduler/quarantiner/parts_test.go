package quarantiner_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/quarantiner"
)

const (
	// unknownThreshold and knownThreshold are the numbers of crashes from which on
	// parts of prompts are refused.
	unknownThreshold = 3
	knownThreshold   = 6
	// historyRetention and historyCapacity bound what a host remembers of begins.
	historyRetention = time.Minute
	historyCapacity  = 4096
)

// newParts returns a quarantiner for parts of prompts.
func newParts() *quarantiner.Quarantiner {
	return quarantiner.New(
		quarantiner.WithThresholds(unknownThreshold, knownThreshold),
		quarantiner.WithHistory(historyRetention, historyCapacity),
	)
}

// crashes records crashes of different upstreams, one a second from a time on.
func crashes(q *quarantiner.Quarantiner, d quarantiner.Digest, n int, from time.Duration) {
	for i := range n {
		at := from + time.Duration(i)*time.Second
		crash(q, d, uint64(at.Milliseconds()), at)
	}
}

// begin records that an answer on a part began.
func begin(q *quarantiner.Quarantiner, d quarantiner.Digest, at time.Duration) bool {
	return q.RecordBegun(d, start.Add(at))
}

func TestVerdictOnParts(t *testing.T) {
	const hour = time.Hour
	tests := map[string]struct {
		do   func(q *quarantiner.Quarantiner)
		at   time.Duration
		want quarantiner.Verdict
	}{
		"two crashes in series":   {do: func(q *quarantiner.Quarantiner) { crashes(q, 1, 2, 0) }, at: time.Second, want: quarantiner.Suspect},
		"three crashes in series": {do: func(q *quarantiner.Quarantiner) { crashes(q, 1, 3, 0) }, at: 2 * time.Second, want: quarantiner.Refused},
		"an answer began between the crashes": {
			do: func(q *quarantiner.Quarantiner) {
				crashes(q, 1, 2, 0)
				begin(q, 1, 1500*time.Millisecond)
				crashes(q, 1, 1, 2*time.Second)
			},
			at:   2 * time.Second,
			want: quarantiner.Suspect,
		},
		"an answer began after the crashes": {
			do:   func(q *quarantiner.Quarantiner) { crashes(q, 1, 3, 0); begin(q, 1, 2*time.Second) },
			at:   2 * time.Second,
			want: quarantiner.Clean,
		},
		"an answer began while the run was checked": {
			do:   func(q *quarantiner.Quarantiner) { begin(q, 1, 0); crash(q, 1, 1, runTime/2) },
			want: quarantiner.Clean,
		},
		"an answer began before the run was sent": {
			do:   func(q *quarantiner.Quarantiner) { begin(q, 1, -runTime); crash(q, 1, 1, 0) },
			want: quarantiner.Suspect,
		},
		"five crashes of a known part": {
			do:   func(q *quarantiner.Quarantiner) { begin(q, 1, -time.Second); crashes(q, 1, 5, 0) },
			at:   4 * time.Second,
			want: quarantiner.Suspect,
		},
		"twelve crashes of an unknown part": {
			do:   func(q *quarantiner.Quarantiner) { crashes(q, 1, 12, 0) },
			at:   100 * hour,
			want: quarantiner.Refused,
		},
		"six crashes of a known part": {
			do:   func(q *quarantiner.Quarantiner) { begin(q, 1, -time.Second); crashes(q, 1, 6, 0) },
			at:   5 * time.Second,
			want: quarantiner.Refused,
		},
		"three crashes of a part that began too long ago": {
			do:   func(q *quarantiner.Quarantiner) { begin(q, 1, -historyRetention-time.Second); crashes(q, 1, 3, 0) },
			at:   2 * time.Second,
			want: quarantiner.Refused,
		},
		"two crashes of upstreams at the same time": {
			do: func(q *quarantiner.Quarantiner) {
				crash(q, 1, 1, 0)
				crash(q, 1, 2, runTime/2)
				crash(q, 1, 3, time.Second)
			},
			at:   time.Second,
			want: quarantiner.Suspect,
		},
		"twelve upstreams of a rack at the same time": {
			do: func(q *quarantiner.Quarantiner) {
				for upstream := range uint64(12) {
					crash(q, 1, upstream, time.Duration(upstream)*time.Millisecond)
				}
			},
			want: quarantiner.Suspect,
		},
		"three crashes beside another guilty part": {
			do: func(q *quarantiner.Quarantiner) {
				for i := range 3 {
					crashes(q, 1, 1, time.Duration(2*i)*time.Second)
					crashes(q, 2, 1, time.Duration(2*i+1)*time.Second)
				}
			},
			at:   5 * time.Second,
			want: quarantiner.Refused,
		},
		"a flapping upstream with begins elsewhere": {
			do: func(q *quarantiner.Quarantiner) {
				for i := range 20 {
					crashes(q, 1, 1, time.Duration(i)*time.Second)
					begin(q, 1, time.Duration(i)*time.Second+runTime)
				}
			},
			at:   20 * time.Second,
			want: quarantiner.Clean,
		},
		"a part whose first refusal has ended": {do: func(q *quarantiner.Quarantiner) { crashes(q, 1, 3, 0) }, at: 62 * time.Second, want: quarantiner.Suspect},
		"a fourth crash after the refusal": {
			do:   func(q *quarantiner.Quarantiner) { crashes(q, 1, 3, 0); crashes(q, 1, 1, 62*time.Second) },
			at:   20 * time.Minute,
			want: quarantiner.Refused,
		},
		"three crashes beyond the higher threshold": {
			do: func(q *quarantiner.Quarantiner) {
				begin(q, 1, -time.Second)
				crashes(q, 1, knownThreshold, 0)
				crashes(q, 1, 1, 2*time.Minute)
				crashes(q, 1, 1, 30*time.Minute)
				crashes(q, 1, 1, 8*hour)
			},
			at:   100 * hour,
			want: quarantiner.Refused,
		},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			q := newParts()
			x.do(q)
			if got := q.Verdict(1, start.Add(x.at)); got != x.want {
				t.Errorf("got %v, want %v", got, x.want)
			}
		})
	}
}

// TestPartNearGuiltyPartIsNeverRefused lets a sound part take part in every crash
// while its own requests begin to be answered in between.
func TestPartNearGuiltyPartIsNeverRefused(t *testing.T) {
	const guilty, sound = quarantiner.Digest(1), quarantiner.Digest(2)
	q := newParts()
	for i := range 10 {
		at := time.Duration(i) * time.Second
		crashes(q, guilty, 1, at)
		crashes(q, sound, 1, at)
		if v := q.Verdict(sound, start.Add(at)); v == quarantiner.Refused {
			t.Fatalf("sound part is refused after crash %d", i+1)
		}
		begin(q, sound, at+500*time.Millisecond)
	}
	if v := q.Verdict(guilty, start.Add(9*time.Second)); v != quarantiner.Refused {
		t.Errorf("verdict of the guilty part is %v, want refused", v)
	}
}

// TestBeginClearsLateReports receives reports of crashes from before an answer that
// began here, and sends on that they are cleared.
func TestBeginClearsLateReports(t *testing.T) {
	a, b := newParts(), newParts()
	crashes(b, 1, 3, 0)
	begin(a, 1, 3*time.Second)
	now := start.Add(4 * time.Second)
	a.Receive(b.Message(maxReports, now), now)
	if v := a.Verdict(1, now); v != quarantiner.Clean {
		t.Errorf("verdict of the host where the answer began is %v, want clean", v)
	}
	b.Receive(a.Message(maxReports, now), now)
	if v := b.Verdict(1, now); v != quarantiner.Clean {
		t.Errorf("verdict of the host with the crashes is %v, want clean", v)
	}
}

// TestKnownPartHasOneThresholdOnAllHosts reports a crash of a known part to a host
// on which no answer on it began.
func TestKnownPartHasOneThresholdOnAllHosts(t *testing.T) {
	a, b := newParts(), newParts()
	begin(a, 1, -time.Second)
	crashes(a, 1, 1, 0)
	now := start.Add(500 * time.Millisecond)
	b.Receive(a.Message(maxReports, now), now)
	crashes(b, 1, 4, time.Second)
	now = start.Add(5 * time.Second)
	if v := b.Verdict(1, now); v != quarantiner.Suspect {
		t.Errorf("verdict after five crashes is %v, want suspect", v)
	}
	a.Receive(b.Message(maxReports, now), now)
	crashes(a, 1, 1, 6*time.Second)
	now = start.Add(7 * time.Second)
	b.Receive(a.Message(maxReports, now), now)
	for name, q := range map[string]*quarantiner.Quarantiner{"first": a, "second": b} {
		if v := q.Verdict(1, now); v != quarantiner.Refused {
			t.Errorf("verdict of the %s host after six crashes is %v, want refused", name, v)
		}
	}
	if x, y := a.Message(0, now).Confirmed, b.Message(0, now).Confirmed; x != y {
		t.Errorf("hosts with the same reports have different hashes, %x and %x", x, y)
	}
}

// TestHistoryIsBounded lets answers begin on more parts than the history holds.
func TestHistoryIsBounded(t *testing.T) {
	q := quarantiner.New(quarantiner.WithThresholds(unknownThreshold, knownThreshold), quarantiner.WithHistory(historyRetention, 2))
	begin(q, 1, -4*time.Second)
	begin(q, 2, -3*time.Second)
	begin(q, 1, -2*time.Second)
	begin(q, 3, -time.Second)
	for d, want := range map[quarantiner.Digest]quarantiner.Verdict{1: quarantiner.Suspect, 2: quarantiner.Refused, 3: quarantiner.Suspect} {
		crashes(q, d, unknownThreshold, 0)
		if v := q.Verdict(d, start.Add(2*time.Second)); v != want {
			t.Errorf("verdict of part %d is %v, want %v", d, v, want)
		}
	}
}
