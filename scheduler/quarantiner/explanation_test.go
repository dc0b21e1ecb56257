package quarantiner_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/quarantiner"
)

// TestPartIsRefusedUnlessOtherPartsExplainItsCrashes checks requests with a part that
// has had as many crashes as an unknown part is refused after.
func TestPartIsRefusedUnlessOtherPartsExplainItsCrashes(t *testing.T) {
	const (
		part, first, second = quarantiner.Digest(1), quarantiner.Digest(2), quarantiner.Digest(3)
		// end is after all crashes, and further the upstream of the first crash of other
		// parts without the part.
		end     = 2 * unknownThreshold * time.Second
		further = unknownThreshold
	)
	record := func(q *quarantiner.Quarantiner, d quarantiner.Digest, upstreams ...int) {
		for _, i := range upstreams {
			crash(q, d, uint64(i), time.Duration(i)*time.Second)
		}
	}
	// Before each entry, the part has crashed upstreams 0 to 3.
	for name, test := range map[string]struct {
		do func(q *quarantiner.Quarantiner)
		// parts are the other parts of the request, sent some time after end.
		parts   []quarantiner.Digest
		after   time.Duration
		refuses bool
	}{
		"no other part": {do: func(*quarantiner.Quarantiner) {}, refuses: true},
		"one other part with further crashes": {
			do: func(q *quarantiner.Quarantiner) { record(q, first, 0, 1, 2, 3, further) },
		},
		"one other part in the request": {
			do:    func(q *quarantiner.Quarantiner) { record(q, first, 0, 1, 2, 3, further) },
			parts: []quarantiner.Digest{first}, refuses: true,
		},
		"two other parts": {
			do: func(q *quarantiner.Quarantiner) {
				record(q, first, 0, 2, further, further+1)
				record(q, second, 1, 3, further+2, further+3)
			},
		},
		"two other parts, one of them in the request": {
			do: func(q *quarantiner.Quarantiner) {
				record(q, first, 0, 2, further, further+1)
				record(q, second, 1, 3, further+2, further+3)
			},
			parts: []quarantiner.Digest{second}, refuses: true,
		},
		"same crashes": {
			do: func(q *quarantiner.Quarantiner) { record(q, first, 0, 1, 2, 3) },
		},
		"same crashes and in the request": {
			do:    func(q *quarantiner.Quarantiner) { record(q, first, 0, 1, 2, 3) },
			parts: []quarantiner.Digest{first}, refuses: true,
		},
		"a crash without the other part": {
			do:      func(q *quarantiner.Quarantiner) { record(q, first, 0, 1, 2, further, further+1) },
			refuses: true,
		},
		"other part not refused": {
			do:      func(q *quarantiner.Quarantiner) { record(q, first, 0, 1, 2) },
			refuses: true,
		},
		"more crashes than each other part": {
			do: func(q *quarantiner.Quarantiner) {
				record(q, part, further)
				record(q, first, 0, 1, 2, 3)
				record(q, second, 1, 2, 3, further)
			},
			refuses: true,
		},
		"answer on the other part": {
			do: func(q *quarantiner.Quarantiner) {
				record(q, first, 0, 1, 2, 3, further)
				begin(q, first, end)
			},
			refuses: true,
		},
		"answer on the other part between its crashes": {
			do: func(q *quarantiner.Quarantiner) {
				record(q, first, 0, 1)
				begin(q, first, 1500*time.Millisecond)
				record(q, first, 2, 3, further, further+1, further+2)
			},
			refuses: true,
		},
		"answer on the part before its last crashes": {
			do: func(q *quarantiner.Quarantiner) {
				begin(q, part, 3500*time.Millisecond)
				record(q, part, further, further+1, further+2, further+3, further+4)
				record(q, first, further, further+1, further+2, further+3, further+4)
			},
		},
		"refusal of the other part over": {
			do: func(q *quarantiner.Quarantiner) {
				record(q, part, further)
				begin(q, first, -time.Second)
				record(q, first, 0, 1, 2, 3, further)
			},
			after:   2 * time.Minute,
			refuses: true,
		},
		"crashes counted by another host only": {
			do: func(q *quarantiner.Quarantiner) {
				q.Merge(quarantiner.Report{Digest: part, Upstream: 0, Crashes: unknownThreshold + 1}, start.Add(end))
				q.Merge(quarantiner.Report{Digest: part, Upstream: further, Crashes: unknownThreshold + 2}, start.Add(end))
				record(q, first, 0, 1, 2, 3, further)
			},
			refuses: true,
		},
		"as many reports as are kept": {
			do: func(q *quarantiner.Quarantiner) {
				for i := range 2 * knownThreshold {
					record(q, part, further+i)
				}
				for i := range 4 * knownThreshold {
					record(q, first, i)
				}
			},
			refuses: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			q := newParts()
			record(q, part, 0, 1, 2, 3)
			test.do(q)
			if got := q.RefusesParts(start.Add(end+test.after), append(test.parts, part)...); got != test.refuses {
				t.Errorf("request refused: %v, want %v", got, test.refuses)
			}
		})
	}
}
