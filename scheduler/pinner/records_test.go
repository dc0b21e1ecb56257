package pinner_test

import (
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler/pinner"
)

func TestRecordOfStream(t *testing.T) {
	until := start.Add(window)
	tests := map[string]struct {
		do   func(p *pinner.Pinner)
		at   time.Duration
		want pinner.Answer
	}{
		"own":      {do: func(p *pinner.Pinner) { p.Record(key, route, first, until, start) }, want: recorded(first)},
		"received": {do: func(p *pinner.Pinner) { p.Receive(key, first, until, start) }, want: recorded(first)},
		"expired":  {do: func(p *pinner.Pinner) { p.Record(key, route, first, until, start) }, at: window},
		"the stream goes on": {
			do: func(p *pinner.Pinner) {
				p.Record(key, route, first, until, start)
				p.Record(key, route, first, until.Add(window), start)
			},
			at:   window,
			want: recorded(first),
		},
		"an older copy arrives late": {
			do: func(p *pinner.Pinner) {
				p.Record(key, route, first, until.Add(window), start)
				p.Receive(key, first, until, start)
			},
			at:   window,
			want: recorded(first),
		},
		"received before own": {
			do: func(p *pinner.Pinner) {
				p.Receive(key, first, until.Add(window), start)
				p.Record(key, route, first, until, start)
			},
			at:   window,
			want: recorded(first),
		},
		"two streams have one ID": {
			do: func(p *pinner.Pinner) {
				p.Record(key, route, first, until, start)
				p.Record(key, route, second, until, start)
			},
			want: recorded(pinner.Origin{}),
		},
		"two streams have one ID, a copy comes from another host": {
			do: func(p *pinner.Pinner) {
				p.Record(key, route, first, until, start)
				p.Receive(key, second, until, start)
			},
			want: recorded(pinner.Origin{}),
		},
		"two streams have one ID, three copies": {
			do: func(p *pinner.Pinner) {
				p.Receive(key, first, until, start)
				p.Receive(key, second, until, start)
				p.Receive(key, second, until, start)
			},
			want: recorded(pinner.Origin{}),
		},
		"an ID is used again after its stream": {
			do: func(p *pinner.Pinner) {
				p.Record(key, route, first, until, start)
				p.Record(key, route, second, until.Add(window), until)
			},
			at:   window,
			want: recorded(second),
		},
		"an ID is used again after its stream, copies": {
			do: func(p *pinner.Pinner) {
				p.Receive(key, first, until, start)
				p.Receive(key, second, until.Add(window), until)
			},
			at:   window,
			want: recorded(second),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := pinner.New()
			test.do(p)
			if got := p.Answer(key, route, start.Add(test.at)); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestUnsharedRecords(t *testing.T) {
	record := func(w *watcher) { w.Record(key, route, first, w.now.Add(window), w.now) }
	tests := map[string]struct {
		do   func(w *watcher)
		want []pinner.Copy
	}{
		"a host that knows nothing": {
			do:   record,
			want: []pinner.Copy{{Key: key, Origin: first, Left: window}},
		},
		"a sole origin": {do: func(w *watcher) { w.observe(settled+2*interval, first); record(w) }},
		"a sole origin that other hosts may not know yet": {
			do:   func(w *watcher) { w.observe(settled-2*interval, first); record(w) },
			want: []pinner.Copy{{Key: key, Origin: first, Left: window}},
		},
		"an origin that is sole since the last observation": {
			do: func(w *watcher) {
				w.observe(retention, first)
				w.now = w.now.Add(interval)
				record(w)
			},
			want: []pinner.Copy{{Key: key, Origin: first, Left: window}},
		},
		"a second origin appears after the record": {
			do: func(w *watcher) {
				w.observe(settled+2*interval, first)
				record(w)
				w.Unshared(w.now)
				w.observe(0, first, second)
			},
			want: []pinner.Copy{{Key: key, Origin: first, Left: window}},
		},
		"the route leaves": {
			do: func(w *watcher) {
				w.observe(settled+2*interval, first)
				record(w)
				w.observeRoutes(0, window, true, nil)
			},
			want: []pinner.Copy{{Key: key, Origin: first, Left: window}},
		},
		"already shared": {do: func(w *watcher) { record(w); w.Unshared(w.now) }},
		"expired":        {do: func(w *watcher) { record(w); w.now = w.now.Add(window) }},
		"a copy":         {do: func(w *watcher) { w.Receive(key, first, w.now.Add(window), w.now) }},
		"the stream goes on": {
			do: func(w *watcher) {
				record(w)
				w.Unshared(w.now)
				w.Record(key, route, first, w.now.Add(2*window), w.now)
			},
			want: []pinner.Copy{{Key: key, Origin: first, Left: 2 * window}},
		},
		"another stream has the ID": {
			do: func(w *watcher) {
				record(w)
				w.Unshared(w.now)
				w.Record(key, route, second, w.now.Add(window), w.now)
			},
			want: []pinner.Copy{{Key: key, Left: window}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := &watcher{pinner.New(), start}
			test.do(w)
			if got := w.Unshared(w.now); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestLeavingHostHandsOverOwnRecordsAndCopies includes records that are not shared.
func TestLeavingHostHandsOverOwnRecordsAndCopies(t *testing.T) {
	w := &watcher{pinner.New(), start}
	w.observe(settled+2*interval, first)
	w.Record(1, route, first, w.now.Add(window), w.now)
	w.Receive(2, second, w.now.Add(window), w.now)
	w.Receive(3, second, w.now, w.now)
	if got := w.All(w.now); len(got) != 2 {
		t.Errorf("got %v, want records 1 and 2", got)
	}
	w.Prune(w.now)
	if got := w.Len(); got != 2 {
		t.Errorf("%d records after pruning, want 2", got)
	}
}

func TestRecordsAreBounded(t *testing.T) {
	const limit = 1 << 16
	p := pinner.New()
	for k := range limit + 2 {
		p.Receive(pinner.Key(k), first, start.Add(window), start)
	}
	p.Receive(0, first, start.Add(2*window), start)
	if p.Len() != limit || p.Dropped() != 2 {
		t.Errorf("%d records and %d dropped, want %d and 2", p.Len(), p.Dropped(), limit)
	}
	if got := p.Answer(0, route, start.Add(window)); got != recorded(first) {
		t.Errorf("got %v for a record that was extended, want it", got)
	}
	p.Receive(limit, first, start.Add(2*window), start.Add(window))
	if p.Len() != 2 || p.Dropped() != 2 {
		t.Errorf("%d records and %d dropped when others have expired, want 2 and 2", p.Len(), p.Dropped())
	}
}
