package observer_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/observer"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// limited and unlimited return observations of an upstream's process.
func limited(rate float64, age time.Duration) observer.Observation {
	return observer.Observation{Upstream: "u", Born: 1, Limit: observer.Limit{State: observer.Limited, Rate: rate}, Age: age}
}

func unlimited(age time.Duration) observer.Observation {
	return observer.Observation{Upstream: "u", Born: 1, Limit: observer.Limit{State: observer.Unlimited}, Age: age}
}

// ExampleTable keeps a limit until a response to a later request names none.
func ExampleTable() {
	t := observer.NewTable()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := observer.Observation{Upstream: "engine-1", Limit: observer.Limit{State: observer.Limited, Rate: 1.5}}
	fmt.Println(t.Record(o, now))
	// This response is to a request that was sent before the limit was named.
	o.Limit, o.Age = observer.Limit{State: observer.Unlimited}, 3*time.Second
	fmt.Println(t.Record(o, now.Add(time.Second)))
	o.Age = 100 * time.Millisecond
	fmt.Println(t.Record(o, now.Add(time.Second)))
	// Output:
	// began
	// none
	// ended
}

// TestRecord records pairs of observations one second apart.
func TestRecord(t *testing.T) {
	other := func(o observer.Observation, born int64) observer.Observation {
		o.Born = born
		return o
	}
	unknown := observer.Observation{Upstream: "u", Born: 1}
	tests := map[string]struct {
		first, second observer.Observation
		want          observer.Change
		// rate is the limit with an entry of process 1 afterwards, -1 if there is none.
		rate float64
	}{
		"confirmed":                       {limited(2, 0), limited(2, 0), observer.None, 2},
		"raised":                          {limited(2, 0), limited(3, 0), observer.Changed, 3},
		"lowered to nothing":              {limited(2, 0), limited(0, 0), observer.Changed, 0},
		"ended":                           {limited(2, 0), unlimited(0), observer.Ended, -1},
		"older limit arrives later":       {limited(2, 0), limited(3, 5*time.Second), observer.None, 2},
		"request sent before":             {limited(2, 0), unlimited(2 * time.Second), observer.None, 2},
		"request sent at the same time":   {limited(2, 0), unlimited(time.Second), observer.None, 2},
		"unreadable":                      {limited(2, 0), unknown, observer.None, 2},
		"named again":                     {unlimited(0), limited(2, 0), observer.Began, 2},
		"nothing to end":                  {unlimited(0), unlimited(0), observer.None, -1},
		"new process, unlimited":          {limited(2, 0), other(unlimited(0), 2), observer.Ended, -1},
		"new process, limited":            {limited(2, 0), other(limited(2, 0), 2), observer.None, 2},
		"outdated entry":                  {limited(2, 0), other(limited(5, 0), 0), observer.Changed, 5},
		"outdated entry, unlimited":       {limited(2, 0), other(unlimited(0), 0), observer.Ended, -1},
		"former process, unlimited":       {limited(2, 0), other(unlimited(5*time.Second), 0), observer.None, 2},
		"former process, limited":         {limited(2, 0), other(limited(5, 5*time.Second), 0), observer.None, 2},
		"earlier, with a newer entry":     {limited(2, 0), other(limited(3, time.Hour), 2), observer.None, 2},
		"earlier naming of the same rate": {limited(2, 0), limited(2, time.Minute), observer.None, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := observer.NewTable()
			table.Record(tt.first, start)
			if got := table.Record(tt.second, start.Add(time.Second)); got != tt.want {
				t.Errorf("change %v, want %v", got, tt.want)
			}
			rate, _, ok := table.Limit("u", 1)
			if !ok {
				rate = -1
			}
			if rate != tt.rate {
				t.Errorf("limit %g, want %g", rate, tt.rate)
			}
		})
	}
}

// TestWarmUp records warm-ups of a process one second apart.
func TestWarmUp(t *testing.T) {
	cold := func(born int64, d time.Duration) observer.Observation {
		return observer.Observation{Upstream: "u", Born: born, ColdFor: d}
	}
	tests := map[string]struct {
		first, second observer.Observation
		// until is the end of the warm-up of process 1 in seconds after the start, 0 if there
		// is none, and changes the number of changes.
		until   float64
		changes uint64
	}{
		"named":                 {cold(1, 5*time.Second), cold(1, 4*time.Second), 5, 1},
		"cold again":            {cold(1, 5*time.Second), cold(1, 20*time.Second), 21, 2},
		"a little longer":       {cold(1, 5*time.Second), cold(1, 4500*time.Millisecond), 5.5, 1},
		"not named again":       {cold(1, 5*time.Second), unlimited(0), 5, 1},
		"with a limit":          {cold(1, 5*time.Second), limited(2, 0), 5, 2},
		"of a former process":   {cold(0, 5*time.Second), unlimited(0), 5, 1},
		"none":                  {unlimited(0), unlimited(0), 0, 0},
		"named after a limit":   {limited(2, 0), cold(1, 5*time.Second), 6, 2},
		"read by another entry": {cold(1, 5*time.Second), cold(0, 9*time.Second), 10, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := observer.NewTable()
			table.Record(tt.first, start)
			table.Record(tt.second, start.Add(time.Second))
			want := time.Time{}
			if tt.until > 0 {
				want = start.Add(time.Duration(tt.until * float64(time.Second)))
			}
			if got := table.ColdUntil("u", 1); !got.Equal(want) {
				t.Errorf("cold until %v, want %v", got, want)
			}
			if got := table.Changes(); got != tt.changes {
				t.Errorf("%d changes, want %d", got, tt.changes)
			}
		})
	}
}

// TestBrittle records pairs of observations one second apart.
func TestBrittle(t *testing.T) {
	brittle := observer.Observation{Upstream: "u", Born: 1, Brittle: true}
	both := limited(2, 0)
	both.Brittle = true
	tests := map[string]struct {
		first, second observer.Observation
		want          observer.Change
		brittle       bool
	}{
		"begins":                {unlimited(0), brittle, observer.TurnedBrittle, true},
		"goes on":               {brittle, brittle, observer.None, true},
		"ends":                  {brittle, unlimited(0), observer.TurnedSound, false},
		"request sent before":   {brittle, unlimited(2 * time.Second), observer.None, true},
		"nothing is said of it": {brittle, limited(2, 0), observer.Began, true},
		"with a limit":          {limited(2, 0), both, observer.TurnedBrittle, true},
		"both end":              {both, unlimited(0), observer.Ended, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := observer.NewTable()
			table.Record(tt.first, start)
			if got := table.Record(tt.second, start.Add(time.Second)); got != tt.want {
				t.Errorf("change %v, want %v", got, tt.want)
			}
			if got := table.Brittle("u", 1); got != tt.brittle {
				t.Errorf("brittle: %v, want %v", got, tt.brittle)
			}
			if table.Brittle("u", 2) {
				t.Error("a later process counts as brittle")
			}
		})
	}
}

// TestLeaving records pairs of observations one second apart. Nothing but a later process ends
// what a process has said.
func TestLeaving(t *testing.T) {
	leaving := func(born int64) observer.Observation {
		return observer.Observation{Upstream: "u", Born: born, Leaving: true}
	}
	other := func(o observer.Observation, born int64) observer.Observation {
		o.Born = born
		return o
	}
	tests := map[string]struct {
		first, second observer.Observation
		want          observer.Change
		// process 1 and 2 are leaving.
		one, two bool
	}{
		"said":                          {unlimited(0), leaving(1), observer.BeganLeaving, true, false},
		"said again":                    {leaving(1), leaving(1), observer.None, true, false},
		"a later response does not":     {leaving(1), unlimited(0), observer.None, true, false},
		"an earlier request's does not": {leaving(1), unlimited(5 * time.Second), observer.None, true, false},
		"a limit besides":               {leaving(1), limited(2, 0), observer.Began, true, false},
		"the next process":              {leaving(1), other(unlimited(0), 2), observer.None, true, false},
		"the next process too":          {leaving(1), leaving(2), observer.BeganLeaving, true, true},
		"a former process, late":        {leaving(2), leaving(1), observer.None, true, true},
		"an outdated entry":             {leaving(1), leaving(0), observer.None, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := observer.NewTable()
			table.Record(tt.first, start)
			if got := table.Record(tt.second, start.Add(time.Second)); got != tt.want {
				t.Errorf("change %v, want %v", got, tt.want)
			}
			if one, two := table.Leaving("u", 1), table.Leaving("u", 2); one != tt.one || two != tt.two {
				t.Errorf("leaving: %v, %v; want %v, %v", one, two, tt.one, tt.two)
			}
			copied := observer.NewTable()
			for _, o := range table.Since(0, start) {
				copied.Record(o, start)
			}
			if latest := table.Leaving("u", 2); tt.two && copied.Leaving("u", 2) != latest {
				t.Error("another table does not know it")
			}
			table.Prune(func(string) bool { return true }, start.Add(24*time.Hour))
			if got := table.Leaving("u", 1); got != tt.one {
				t.Errorf("after a day, leaving: %v, want %v", got, tt.one)
			}
		})
	}
}

// TestPause records pairs of observations of one host a second apart.
func TestPause(t *testing.T) {
	pause := func(host string, born int64, d time.Duration) observer.Observation {
		return observer.Observation{Upstream: "u", Born: born, Host: host, PauseFor: d}
	}
	sound := unlimited(0)
	sound.Host = "a"
	tests := map[string]struct {
		first, second observer.Observation
		want          observer.Change
		// until is the end of the pause of host a at process 1, in seconds after the start, 0
		// if there is none.
		until float64
	}{
		"named":                     {unlimited(0), pause("a", 1, 5*time.Second), observer.PausedHost, 6},
		"of another host":           {unlimited(0), pause("b", 1, 5*time.Second), observer.PausedHost, 0},
		"longer":                    {pause("a", 1, 5*time.Second), pause("a", 1, 9*time.Second), observer.PausedHost, 10},
		"the same":                  {pause("a", 1, 5*time.Second), pause("a", 1, 4*time.Second), observer.None, 5},
		"shorter":                   {pause("a", 1, 5*time.Second), pause("a", 1, time.Second), observer.None, 5},
		"not named again":           {pause("a", 1, 5*time.Second), sound, observer.None, 5},
		"of the next process":       {pause("a", 1, 5*time.Second), pause("a", 2, 2*time.Second), observer.PausedHost, 3},
		"of a former process":       {pause("a", 2, 5*time.Second), pause("a", 1, 9*time.Second), observer.None, 5},
		"of a former process alone": {pause("a", 0, 5*time.Second), sound, observer.None, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := observer.NewTable()
			table.Record(tt.first, start)
			if got := table.Record(tt.second, start.Add(time.Second)); got != tt.want {
				t.Errorf("change %v, want %v", got, tt.want)
			}
			want := time.Time{}
			if tt.until > 0 {
				want = start.Add(time.Duration(tt.until * float64(time.Second)))
			}
			if got := table.PausedUntil("u", 1, "a"); !got.Equal(want) {
				t.Errorf("paused until %v, want %v", got, want)
			}
			after := start.Add(time.Minute)
			table.Prune(func(string) bool { return true }, after)
			if list := table.Since(0, after); table.Pausing(after) || table.IsPausing("u", 1, after) || len(list) > 1 {
				t.Errorf("a minute later the table holds %+v", list)
			}
		})
	}
}

// TestPausesAreToldToOtherTables copies the observations of one table to another.
func TestPausesAreToldToOtherTables(t *testing.T) {
	one, two := observer.NewTable(), observer.NewTable()
	for _, host := range []string{"a", "b"} {
		one.Record(observer.Observation{Upstream: "u", Born: 1, Host: host, PauseFor: 5 * time.Second, Limit: observer.Limit{State: observer.Limited, Rate: 2}}, start)
	}
	now := start.Add(time.Second)
	list := one.Since(0, now)
	if len(list) != 3 {
		t.Fatalf("%d observations, want that of the upstream and two of hosts", len(list))
	}
	for _, o := range list {
		two.Record(o, now)
	}
	for _, host := range []string{"a", "b"} {
		if got := two.PausedUntil("u", 1, host); !got.Equal(start.Add(5 * time.Second)) {
			t.Errorf("host %s is paused until %v", host, got)
		}
	}
	if _, _, ok := two.Limit("u", 1); !ok {
		t.Error("the limit is missing")
	}
}

// TestOlderRecordDoesNotReviveLimit gives a table, after the end of a limit, what a host has
// kept that does not know of the end.
func TestOlderRecordDoesNotReviveLimit(t *testing.T) {
	kept, table := observer.NewTable(), observer.NewTable()
	kept.Record(limited(2, 0), start)
	table.Record(limited(2, 0), start)
	table.Record(unlimited(0), start.Add(time.Second))
	now := start.Add(30 * time.Second)
	table.Prune(func(string) bool { return true }, now)
	for _, o := range kept.Since(0, now) {
		if change := table.Record(o, now); change != observer.None {
			t.Errorf("the limit %v", change)
		}
	}
}

// TestPrune removes what is not needed and keeps the limit of an upstream in use, however
// long it is not confirmed.
func TestPrune(t *testing.T) {
	tests := map[string]struct {
		o      observer.Observation
		usable bool
		after  time.Duration
		kept   bool
	}{
		"limit in use":           {limited(1, 0), true, 24 * time.Hour, true},
		"limit, not in use":      {limited(1, 0), false, 5 * time.Minute, true},
		"limit, gone":            {limited(1, 0), false, 11 * time.Minute, false},
		"end of a limit":         {unlimited(0), true, 30 * time.Second, true},
		"end of a limit, longer": {unlimited(0), true, 2 * time.Minute, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := observer.NewTable()
			table.Record(limited(2, time.Second), start)
			table.Record(tt.o, start)
			table.Prune(func(string) bool { return tt.usable }, start.Add(tt.after))
			if kept := len(table.Since(0, start)) > 0; kept != tt.kept {
				t.Errorf("kept: %v, want %v", kept, tt.kept)
			}
		})
	}
}

// TestTablesAgree records observations in two tables in different orders and twice: the
// tables hold the same.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []observer.Observation
		now := start.Add(time.Minute)
		for range rapid.IntRange(1, 12).Draw(t, "observations") {
			o := observer.Observation{
				Upstream: rapid.SampledFrom([]string{"u", "v"}).Draw(t, "upstream"),
				Born:     rapid.Int64Range(1, 2).Draw(t, "born"),
				// Two limits of the same time are not ordered.
				Age: time.Duration(len(list)*10+rapid.IntRange(0, 1).Draw(t, "age")*600) * time.Second / 10,
			}
			o.Limit.State = observer.State(rapid.IntRange(1, 2).Draw(t, "state"))
			if o.Limit.State == observer.Limited {
				o.Limit.Rate = rapid.Float64Range(0, 3).Draw(t, "rate")
			}
			list = append(list, o)
		}
		one, two := observer.NewTable(), observer.NewTable()
		// A limit of each process is known everywhere, so that its end is kept.
		for _, u := range []string{"u", "v"} {
			first := observer.Observation{Upstream: u, Born: 1, Limit: observer.Limit{State: observer.Limited, Rate: 9}, Age: time.Hour}
			one.Record(first, now)
			two.Record(first, now)
		}
		for _, o := range list {
			one.Record(o, now)
		}
		for _, o := range rapid.Permutation(slices.Concat(list, list)).Draw(t, "order") {
			two.Record(o, now)
		}
		if a, b := one.Since(0, now), two.Since(0, now); !slices.Equal(a, b) {
			t.Fatalf("tables differ: %+v, %+v", a, b)
		}
	})
}
