package sharer_test

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/sharer"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// maxMin returns the max-min fair level by its definition: demands are taken out from the
// smallest on as long as they are below an equal part of the rest.
func maxMin(demands []float64, served float64) float64 {
	sorted, sum := slices.Sorted(slices.Values(demands)), 0.0
	for _, d := range sorted {
		sum += d
	}
	if sum-served <= 1e-5 {
		return math.Inf(1)
	}
	for i, d := range sorted {
		equal := served / float64(len(sorted)-i)
		if d >= equal {
			return equal
		}
		served -= d
	}
	return math.Inf(1)
}

// TestLevelIsMaxMin guards against a level that is not the max-min fair one for any
// demands, of this process and of others.
func TestLevelIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := sharer.New(start)
		n := rapid.IntRange(1, 40).Draw(t, "workspaces")
		demands := make([]float64, n)
		total := 0.0
		for i := range demands {
			asked := rapid.IntRange(0, 100).Draw(t, "asked")
			demands[i] = float64(asked)
			served := float64(rapid.IntRange(0, asked).Draw(t, "served"))
			total += served
			name := fmt.Sprint(i)
			if rapid.Bool().Draw(t, "remote") {
				s.Record("d2", "p", []sharer.Share{{Workspace: name}}, start)
				s.Record("d2", "p", []sharer.Share{{Workspace: name, Asked: demands[i], Served: []float64{0, served}}}, start)
				continue
			}
			a := s.Account(name, start)
			a.Ask(demands[i], start)
			a.Charge(rapid.IntRange(0, 9).Draw(t, "priority"), served, start)
		}
		s.Refresh(start)
		got, want := s.Level(start), maxMin(demands, total)
		if math.IsInf(want, 1) != math.IsInf(got, 1) || !math.IsInf(want, 1) && math.Abs(got-want) > 1e-5 {
			t.Fatalf("level %v, want %v", got, want)
		}
	})
}

// TestOver guards against a workspace that is found over its share by its idle time, by
// the size of one request, or for its urgent requests where its others exceed the share.
func TestOver(t *testing.T) {
	type step struct {
		workspace    string
		priority     int
		asked, given float64
		after        time.Duration
	}
	tests := map[string]struct {
		steps []step
		wait  time.Duration
		// want is the first priority at which a is over its share, Levels if none.
		want int
	}{
		"no contention":                      {[]step{{"a", 0, 50, 50, 0}, {"b", 0, 1, 1, 0}}, 0, sharer.Levels},
		"served more than another that asks": {[]step{{"a", 0, 50, 50, 0}, {"b", 0, 50, 10, 0}}, 0, 0},
		"served less":                        {[]step{{"a", 0, 50, 10, 0}, {"b", 0, 50, 50, 0}}, 0, sharer.Levels},
		"more by a part of a large request":  {[]step{{"a", 0, 10, 10, 0}, {"a", 0, 0.6, 0.6, 0}, {"b", 0, 20, 10, 0}}, 0, sharer.Levels},
		"streams exceed the share":           {[]step{{"a", 0, 5, 5, 0}, {"a", 1, 5, 5, 0}, {"a", 2, 40, 40, 0}, {"b", 0, 50, 10, 0}}, 0, 2},
		"urgent ones exceed it too":          {[]step{{"a", 1, 30, 30, 0}, {"a", 2, 10, 10, 0}, {"b", 0, 50, 10, 0}}, 0, 1},
		"long ago":                           {[]step{{"a", 0, 50, 50, 0}, {"b", 0, 50, 10, 10 * time.Second}, {"b", 0, 5, 0, 0}, {"a", 0, 5, 2, 0}}, 0, sharer.Levels},
		"a second of idle room ago":          {[]step{{"a", 0, 50, 50, 0}, {"b", 0, 10, 2, time.Second}, {"a", 0, 10, 2, 0}}, 0, sharer.Levels},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := sharer.New(start), start
			for _, x := range tt.steps {
				now = now.Add(x.after)
				a := s.Account(x.workspace, now)
				a.Ask(x.asked, now)
				a.Charge(x.priority, x.given, now)
			}
			s.Refresh(now)
			if got := s.Account("a", now).OverFrom(); got != tt.want {
				t.Errorf("over its share from priority %d, want %d (level %v)", got, tt.want, s.Level(now))
			}
		})
	}
}

// TestSettle guards against work of requests that never ran or that took another time
// than forecast staying charged.
func TestSettle(t *testing.T) {
	tests := map[string]struct {
		work          float64
		notRun        bool
		after         time.Duration
		asked, served float64
	}{
		"as forecast":        {4, false, 0, 4, 4},
		"longer":             {6, false, 0, 6, 6},
		"shorter":            {1, false, 0, 1, 1},
		"shorter, a minute":  {1, false, time.Minute, 0, 0},
		"shorter, 200 ms":    {1, false, 200 * time.Millisecond, 1 / math.E, 1 / math.E},
		"never ran":          {0, true, 0, 4, 0},
		"never ran, 200 ms ": {0, true, 200 * time.Millisecond, 4 / math.E, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := sharer.New(start), start.Add(tt.after)
			a := s.Account("a", start)
			a.Ask(4, start)
			a.Charge(0, 4, start).Settle(tt.work, tt.notRun, now)
			if asked, served := a.Load(now); math.Abs(asked-tt.asked) > 1e-6 || math.Abs(served-tt.served) > 1e-6 {
				t.Errorf("asked %v, served %v, want %v, %v", asked, served, tt.asked, tt.served)
			}
		})
	}
}

// TestRecord guards against work that is counted twice or for too long when reports are
// lost, a process is replaced, or a partition ends.
func TestRecord(t *testing.T) {
	type report struct {
		process string
		served  float64
		at      time.Duration
		// absent is set if the report does not list the workspace.
		absent bool
	}
	tests := map[string]struct {
		reports []report
		at      time.Duration
		// want is the work served elsewhere that counts, undecayed.
		want float64
	}{
		"the first is the baseline":        {[]report{{"p", 100, 0, false}}, 0, 0},
		"difference":                       {[]report{{"p", 100, 0, false}, {"p", 110, 0, false}}, 0, 10},
		"a lost report":                    {[]report{{"p", 100, 0, false}, {"p", 130, 0, false}, {"p", 130, 0, false}}, 0, 30},
		"a new process":                    {[]report{{"p", 100, 0, false}, {"p", 110, 0, false}, {"q", 5, 0, false}, {"q", 7, 0, false}}, 0, 12},
		"listed late by a new process":     {[]report{{"p", 100, 0, false}, {"p", 110, 0, false}, {"q", 0, 0, true}, {"q", 500, 0, false}, {"q", 501, 0, false}}, 0, 11},
		"listed late, with smaller totals": {[]report{{"p", 100, 0, false}, {"p", 110, 0, false}, {"q", 0, 0, true}, {"q", 5, 0, false}, {"q", 6, 0, false}}, 0, 11},
		"a corrected forecast":             {[]report{{"p", 100, 0, false}, {"p", 110, 0, false}, {"p", 105, 0, false}}, 0, 5},
		"a report that is too old":         {[]report{{"p", 100, 0, false}, {"p", 110, 0, false}}, 1100 * time.Millisecond, 0},
		"work of a partition is not owed":  {[]report{{"p", 100, 0, false}, {"p", 500, 5 * time.Second, false}}, 5 * time.Second, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := sharer.New(start)
			a := s.Account("a", start)
			for _, r := range tt.reports {
				list := []sharer.Share{{Workspace: "a", Asked: r.served, Served: []float64{r.served}}}
				if r.absent {
					list = nil
				}
				s.Record("d2", r.process, list, start.Add(r.at))
			}
			now := start.Add(tt.at)
			s.Refresh(now)
			if _, served := a.Load(now); math.Abs(served-tt.want) > 1e-6 {
				t.Errorf("%v served, want %v", served, tt.want)
			}
		})
	}
}

// TestSuspendedSharer guards against sums that are no numbers or still count after a long
// suspension.
func TestSuspendedSharer(t *testing.T) {
	s := sharer.New(start)
	a := s.Account("a", start)
	a.Ask(10, start)
	a.Charge(0, 10, start)
	s.Account("b", start).Ask(10, start)
	s.Refresh(start)
	now := start.Add(24 * time.Hour)
	a = s.Account("a", now)
	a.Ask(1, now)
	s.Refresh(now)
	if asked, served := a.Load(now); math.Abs(asked-1) > 1e-6 || served > 1e-6 || a.Over(0) {
		t.Errorf("asked %v, served %v, over %v, want 1, 0, false", asked, served, a.Over(0))
	}
	if n := len(s.Accounts()); n != 1 {
		t.Errorf("%d accounts, want those that are used only", n)
	}
}
