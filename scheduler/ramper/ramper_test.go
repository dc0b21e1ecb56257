package ramper_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/ramper"
)

// fast is a time to first token that does not count as slow.
const fast = 100 * time.Millisecond

func TestLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	respond := func(r *ramper.Ramper, from, to float64) {
		for s := from; s < to; s += 0.1 {
			r.RecordSuccess(at(s), fast, 10*time.Millisecond, at(s+0.05))
		}
	}
	tests := map[string]struct {
		do        func(r *ramper.Ramper)
		wantCold  bool
		wantLimit int
	}{
		"initial":              {do: func(*ramper.Ramper) {}, wantCold: true, wantLimit: 2},
		"within warm-up time":  {do: func(r *ramper.Ramper) { respond(r, 0, 4.9) }, wantCold: true, wantLimit: 2},
		"after warm-up time":   {do: func(r *ramper.Ramper) { respond(r, 0, 9) }, wantLimit: 16},
		"crash when warm":      {do: func(r *ramper.Ramper) { respond(r, 0, 9); r.RecordCrash(at(9)) }, wantCold: true, wantLimit: 2},
		"granted before crash": {do: func(r *ramper.Ramper) { r.RecordCrash(at(9)); respond(r, 0, 8) }, wantCold: true, wantLimit: 2},
		"reported warm":        {do: func(r *ramper.Ramper) { r.RecordReport(ramper.NewReport("e", false, 7, at(1)), at(1)) }, wantLimit: 7},
		"warm report before crash": {do: func(r *ramper.Ramper) {
			r.RecordCrash(at(2))
			r.RecordReport(ramper.NewReport("e", false, 7, at(1)), at(3))
		}, wantCold: true, wantLimit: 2},
		"reported cold": {do: func(r *ramper.Ramper) { respond(r, 0, 9); r.RecordReport(ramper.NewReport("e", true, 7, at(9)), at(9)) }, wantCold: true, wantLimit: 2},
		"new epoch": {do: func(r *ramper.Ramper) {
			r.RecordReport(ramper.NewReport("e", false, 7, at(1)), at(1))
			r.RecordReport(ramper.NewReport("f", false, 0, at(2)), at(2))
		}, wantCold: true, wantLimit: 2},
		"reports out of order": {do: func(r *ramper.Ramper) {
			r.RecordReport(ramper.NewReport("f", false, 7, at(2)), at(2))
			r.RecordReport(ramper.NewReport("e", true, 0, at(1)), at(3))
		}, wantLimit: 7},
		"slow first token": {do: func(r *ramper.Ramper) { respond(r, 0, 9); r.RecordSuccess(at(9), 3*time.Second, 0, at(12)) }, wantLimit: 12},
		"slow tokens":      {do: func(r *ramper.Ramper) { respond(r, 0, 9); r.RecordSuccess(at(9), fast, 46*time.Millisecond, at(12)) }, wantLimit: 12},
		"slow batch counts once": {do: func(r *ramper.Ramper) {
			respond(r, 0, 9)
			for range 5 {
				r.RecordSuccess(at(9), 3*time.Second, 0, at(12))
			}
		}, wantLimit: 12},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			r := ramper.New(2, 16, start)
			x.do(r)
			if r.Cold() != x.wantCold || r.Limit() != x.wantLimit {
				t.Errorf("cold %v limit %d, want %v %d", r.Cold(), r.Limit(), x.wantCold, x.wantLimit)
			}
		})
	}
}
