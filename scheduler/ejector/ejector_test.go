package ejector_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/ejector"
)

// newPool returns a pool of n upstreams.
func newPool(n int, now time.Time) (*ejector.Pool, []*ejector.Record) {
	p := &ejector.Pool{}
	var records []*ejector.Record
	for i := range n {
		records = append(records, ejector.NewRecord(fmt.Sprint("u", i)))
	}
	p.SetRecords(records, now)
	return p, records
}

var start = time.Unix(1000, 0)

// TestFailuresUntilEjection guards against verdicts that are too slow or too rash. Each character
// is a request of the first upstream: "x" fails, "." succeeds, "=" fails with the same content as
// the failure before and "l" loses its connection together with the one before.
func TestFailuresUntilEjection(t *testing.T) {
	tests := map[string]struct {
		upstreams int
		requests  string
		// unknown is set if the others have had no requests.
		unknown bool
		// want is the number of requests after which it is out, 0 if it stays.
		want int
	}{
		"three failures":                  {6, "xxx", false, 3},
		"two failures":                    {6, "xx", false, 0},
		"failures after many successes":   {6, "........................xxx", false, 27},
		"nearly all fail":                 {3, "xx.xx", false, 5},
		"a success between failures":      {6, "x.x.x.x.x", false, 9},
		"single failures among successes": {6, "x........x.........x.......x........x........x", false, 0},
		"the same request":                {6, "x=====.====x====", false, 0},
		"a crash loses all connections":   {6, "xllllll", false, 0},
		"one of two":                      {2, "xxx", false, 3},
		"one of two, nothing is known":    {2, "xxxxxx", true, 5},
		"nothing is known of the others":  {6, "xxxxxx", true, 5},
		"the only upstream":               {1, "xxxxxxxxxxxxx", false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, records := newPool(tt.upstreams, start)
			now, content, got := start, uint64(0), 0
			for _, r := range records[1:] {
				for range 40 {
					if !tt.unknown {
						p.Succeeded(r, start, start)
					}
				}
			}
			for i, x := range tt.requests {
				sent := now
				if x != 'l' {
					now = now.Add(30 * time.Millisecond)
				}
				switch x {
				case '.':
					p.Succeeded(records[0], sent, now)
				case '=':
					p.Failed(records[0], ejector.Failure{Content: content, Sent: sent}, now)
				default:
					content++
					p.Failed(records[0], ejector.Failure{Content: content, Sent: start, Lost: x == 'l' || tt.requests[len(tt.requests)-1] == 'l'}, now)
				}
				if got == 0 && records[0].Out() {
					got = i + 1
				}
			}
			if got != tt.want {
				t.Errorf("out after %d requests, want %d", got, tt.want)
			}
		})
	}
}

// TestUpstreamThatLeftThePoolIsNoEvidence guards against requests that end at an upstream after it
// has left the pool or restarted: it would take the place of an upstream that fails, or free one
// that is not taken.
func TestUpstreamThatLeftThePoolIsNoEvidence(t *testing.T) {
	fail := func(p *ejector.Pool, r *ejector.Record, now time.Time) {
		for i := range 8 {
			p.Failed(r, ejector.Failure{Content: uint64(1 + i), Sent: now}, now)
		}
	}
	tests := map[string]func(p *ejector.Pool, r *ejector.Record, leave func()){
		"it fails": func(p *ejector.Pool, r *ejector.Record, leave func()) {
			leave()
			fail(p, r, start)
		},
		"a trial succeeds": func(p *ejector.Pool, r *ejector.Record, leave func()) {
			fail(p, r, start)
			leave()
			p.Succeeded(r, start.Add(time.Second), start.Add(time.Second))
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			p, records := newPool(4, start)
			for _, r := range records[1:] {
				for range 40 {
					p.Succeeded(r, start, start)
				}
			}
			end(p, records[0], func() { p.SetRecords(records[1:], start) })
			if p.Out() != 0 {
				t.Fatalf("%d upstreams are out, want 0", p.Out())
			}
			fail(p, records[1], start.Add(time.Second))
			if p.Out() != 1 || !records[1].Out() {
				t.Errorf("%d upstreams are out, want the one that fails", p.Out())
			}
		})
	}
}

// TestAtMostAThirdIsOut checks under random results, hints, trials and changes of the pool that at
// most a third of it is out, and that the number and the list of changes are right.
func TestAtMostAThirdIsOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		p, all := newPool(12, now)
		members := all[:rapid.IntRange(1, 12).Draw(t, "members")]
		p.SetRecords(members, now)
		known, hinted := map[string]bool{}, map[string]bool{}
		content := uint64(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			// Requests also end at upstreams that have left the pool.
			r := all[rapid.IntRange(0, len(all)-1).Draw(t, "upstream")]
			sent := now.Add(-time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				for range 3 {
					content++
					p.Failed(r, ejector.Failure{Content: content, Sent: sent}, now)
				}
			case 5:
				p.Succeeded(r, sent, now)
			case 6:
				p.Hint(r, now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond), now)
			case 7:
				if r.TrialDue(now) {
					r.StartTrial(now)
				}
			case 8:
				p.Answered(r, sent, now)
			case 9:
				members = all[:rapid.IntRange(1, 12).Draw(t, "members")]
				p.SetRecords(members, now)
			}
			p.Review(now)
			out := 0
			for _, r := range members {
				if r.Out() {
					out++
				}
			}
			limit := max(1, len(members)/3)
			if len(members) == 1 {
				limit = 0
			}
			if out != p.Out() || out > limit {
				t.Fatalf("%d of %d upstreams are out, counted %d", out, len(members), p.Out())
			}
			for _, x := range p.Changes() {
				if known[x.ID] && x.Out && (!hinted[x.ID] || x.Hinted) {
					t.Fatalf("%s was ejected twice", x.ID)
				}
				known[x.ID], hinted[x.ID] = x.Out, x.Hinted
			}
			for _, r := range all[len(members):] {
				delete(known, fmt.Sprint("u", indexOf(all, r)))
			}
		}
	})
}

// indexOf returns the index of a record.
func indexOf(all []*ejector.Record, r *ejector.Record) int {
	for i := range all {
		if all[i] == r {
			return i
		}
	}
	return -1
}

// TestPartOfAPoolFailsAlike guards against ejections of the first upstreams that a failure of the
// whole pool happens to reach: they are back as soon as the others fail too.
func TestPartOfAPoolFailsAlike(t *testing.T) {
	p, records := newPool(6, start)
	now := start
	content := uint64(0)
	for _, r := range records {
		for range 50 {
			now = now.Add(time.Millisecond)
			p.Succeeded(r, now, now)
		}
	}
	for _, r := range records {
		for range 5 {
			now = now.Add(time.Millisecond)
			content++
			p.Failed(r, ejector.Failure{Content: content, Sent: now}, now)
			p.Review(now)
		}
	}
	if p.Out() != 0 {
		t.Errorf("%d upstreams are out although all fail", p.Out())
	}
}
