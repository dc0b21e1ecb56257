package quarantiner_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/quarantiner"
)

const (
	// unknownThreshold and knownThreshold are the numbers of crashes from which on
	// parts of prompts are refused.
	unknownThreshold = 4
	knownThreshold   = 5
	// historyRetention and historyCapacity bound what a host remembers of begins.
	historyRetention = time.Minute
	historyCapacity  = 4096
)

// newParts returns a quarantiner for parts of prompts.
func newParts(opts ...quarantiner.Option) *quarantiner.Quarantiner {
	return quarantiner.New(append([]quarantiner.Option{
		quarantiner.WithThresholds(unknownThreshold, knownThreshold),
		quarantiner.WithHistory(historyRetention, historyCapacity),
	}, opts...)...)
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
	const (
		hour = time.Hour
		// minute is a refusal after which requests run again.
		minute = 62 * time.Second
		// last is the time of the last crash of an unknown part.
		last = (unknownThreshold - 1) * time.Second
	)
	tests := map[string]struct {
		do   func(q *quarantiner.Quarantiner)
		at   time.Duration
		want quarantiner.Verdict
	}{
		"one crash less than the threshold": {
			do:   func(q *quarantiner.Quarantiner) { crashes(q, 1, unknownThreshold-1, 0) },
			at:   last,
			want: quarantiner.Suspect,
		},
		"crashes in series up to the threshold": {
			do:   func(q *quarantiner.Quarantiner) { crashes(q, 1, unknownThreshold, 0) },
			at:   last,
			want: quarantiner.Refused,
		},
		"an answer began between the crashes": {
			do: func(q *quarantiner.Quarantiner) {
				crashes(q, 1, unknownThreshold-1, 0)
				begin(q, 1, last-500*time.Millisecond)
				crashes(q, 1, 2, last)
			},
			at:   last + time.Second,
			want: quarantiner.Suspect,
		},
		"an answer began after the crashes": {
			do:   func(q *quarantiner.Quarantiner) { crashes(q, 1, unknownThreshold, 0); begin(q, 1, last) },
			at:   last,
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
		"one crash of a known part less than its threshold": {
			do:   func(q *quarantiner.Quarantiner) { begin(q, 1, -time.Second); crashes(q, 1, knownThreshold-1, 0) },
			at:   (knownThreshold - 2) * time.Second,
			want: quarantiner.Suspect,
		},
		"more crashes than reports are kept of": {
			do:   func(q *quarantiner.Quarantiner) { crashes(q, 1, 12, 0) },
			at:   100 * hour,
			want: quarantiner.Refused,
		},
		"crashes of a known part up to its threshold": {
			do:   func(q *quarantiner.Quarantiner) { begin(q, 1, -time.Second); crashes(q, 1, knownThreshold, 0) },
			at:   (knownThreshold - 1) * time.Second,
			want: quarantiner.Refused,
		},
		"crashes of a part that began too long ago": {
			do: func(q *quarantiner.Quarantiner) {
				begin(q, 1, -historyRetention-time.Second)
				crashes(q, 1, unknownThreshold, 0)
			},
			at:   last,
			want: quarantiner.Refused,
		},
		"two of the crashes at the same time": {
			do: func(q *quarantiner.Quarantiner) {
				crash(q, 1, 1, runTime/2)
				crashes(q, 1, unknownThreshold-1, 0)
			},
			at:   last,
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
		"crashes beside another guilty part": {
			do: func(q *quarantiner.Quarantiner) {
				for i := range unknownThreshold {
					crashes(q, 1, 1, time.Duration(2*i)*time.Second)
					crashes(q, 2, 1, time.Duration(2*i+1)*time.Second)
				}
			},
			at:   2 * last,
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
		"after the first refusal": {
			do:   func(q *quarantiner.Quarantiner) { crashes(q, 1, unknownThreshold, 0) },
			at:   last + minute,
			want: quarantiner.Suspect,
		},
		"a crash after the first refusal": {
			do:   func(q *quarantiner.Quarantiner) { crashes(q, 1, unknownThreshold, 0); crashes(q, 1, 1, last+minute) },
			at:   20 * time.Minute,
			want: quarantiner.Refused,
		},
		"four crashes beyond the higher threshold": {
			do: func(q *quarantiner.Quarantiner) {
				begin(q, 1, -time.Second)
				crashes(q, 1, knownThreshold, 0)
				crashes(q, 1, 1, 2*time.Minute)
				crashes(q, 1, 1, 30*time.Minute)
				crashes(q, 1, 1, 8*hour)
				crashes(q, 1, 1, 150*hour)
			},
			at:   1000 * hour,
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

// TestRefusalsEndAtDifferentTimes gives the same reports to hosts that differ in their
// spread.
func TestRefusalsEndAtDifferentTimes(t *testing.T) {
	const end = (unknownThreshold-1)*time.Second + time.Minute
	for name, x := range map[string]struct {
		spread time.Duration
		want   quarantiner.Verdict
	}{
		"no spread":        {want: quarantiner.Suspect},
		"a shorter spread": {spread: 10 * time.Second, want: quarantiner.Suspect},
		"a longer spread":  {spread: 30 * time.Second, want: quarantiner.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			q := newParts(quarantiner.WithSpread(x.spread))
			crashes(q, 1, unknownThreshold, 0)
			if v := q.Verdict(1, start.Add(end+20*time.Second)); v != x.want {
				t.Errorf("got %v, want %v", v, x.want)
			}
		})
	}
}

// TestBeginClearsLateReports receives reports of crashes from before an answer that
// began here, and sends on that they are cleared.
func TestBeginClearsLateReports(t *testing.T) {
	a, b := newParts(), newParts()
	crashes(b, 1, unknownThreshold, 0)
	begin(a, 1, unknownThreshold*time.Second)
	now := start.Add((unknownThreshold + 1) * time.Second)
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
	crashes(b, 1, knownThreshold-2, time.Second)
	now = start.Add(knownThreshold * time.Second)
	if v := b.Verdict(1, now); v != quarantiner.Suspect {
		t.Errorf("verdict after one crash less than the threshold is %v, want suspect", v)
	}
	a.Receive(b.Message(maxReports, now), now)
	crashes(a, 1, 1, knownThreshold*time.Second)
	now = start.Add((knownThreshold + 1) * time.Second)
	b.Receive(a.Message(maxReports, now), now)
	for name, q := range map[string]*quarantiner.Quarantiner{"first": a, "second": b} {
		if v := q.Verdict(1, now); v != quarantiner.Refused {
			t.Errorf("verdict of the %s host at the threshold is %v, want refused", name, v)
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
		if v := q.Verdict(d, start.Add((unknownThreshold-1)*time.Second)); v != want {
			t.Errorf("verdict of part %d is %v, want %v", d, v, want)
		}
	}
}
