package pinner_test

import (
	"os"
	"testing"
	"time"

	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/pinner"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

const (
	window = 15 * time.Second
	// retention is for how long an origin that is gone counts, and settled after what
	// time records are not shared any more.
	retention = window + 30*time.Second
	settled   = retention + 3*time.Second + interval
	// interval is that of observations.
	interval = 200 * time.Millisecond
	route    = "chat"
	key      = pinner.Key(7)
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

var (
	first  = pinner.Origin{Pool: "m", Version: "v1"}
	second = pinner.Origin{Pool: "m", Version: "v2"}
	moved  = pinner.Origin{Pool: "n", Version: "v1"}
	// versionless is the origin at an upstream whose version is not known.
	versionless = pinner.Origin{Pool: "m"}
)

// watcher is a pinner with the time.
type watcher struct {
	*pinner.Pinner
	now time.Time
}

// observe lets a route's origins be possible for some time.
func (w *watcher) observe(d time.Duration, origins ...pinner.Origin) {
	w.observeRoutes(d, window, true, map[string][]pinner.Origin{route: origins})
}

// observeRoutes observes the origins of all routes for some time.
func (w *watcher) observeRoutes(d, window time.Duration, upToDate bool, possible map[string][]pinner.Origin) {
	for end := w.now.Add(d); ; w.now = w.now.Add(interval) {
		w.Observe(possible, upToDate, window, w.now)
		if !w.now.Before(end) {
			return
		}
	}
}

func sole(o pinner.Origin) pinner.Answer { return pinner.Answer{Knowledge: pinner.Sole, Origin: o} }

func recorded(o pinner.Origin) pinner.Answer {
	return pinner.Answer{Knowledge: pinner.Recorded, Origin: o}
}
func unknown(o pinner.Origin) pinner.Answer { return pinner.Answer{Origin: o} }

var mixed = pinner.Answer{Knowledge: pinner.Mixed}

// TestWitness reports for how long a host that observes has run.
func TestWitness(t *testing.T) {
	tests := map[string]struct {
		do   func(w *watcher)
		want bool
	}{
		"just started":              {do: func(*watcher) {}},
		"not longer than a stream":  {do: func(w *watcher) { w.observe(window, first) }},
		"longer than a stream":      {do: func(w *watcher) { w.observe(window+interval, first) }, want: true},
		"while versions are mixed":  {do: func(w *watcher) { w.observe(window+interval, first, second) }, want: true},
		"the directory is outdated": {do: func(w *watcher) { w.observeRoutes(window+interval, window, false, nil) }, want: true},
		"suspended": {do: func(w *watcher) {
			w.observe(2*window, first)
			w.now = w.now.Add(2 * time.Second)
		}},
		"suspended, and observes again": {do: func(w *watcher) {
			w.observe(2*window, first)
			w.now = w.now.Add(2 * time.Second)
			w.observe(window, first)
		}},
		"streams last longer": {do: func(w *watcher) {
			w.observe(window+interval, first)
			w.observeRoutes(0, 2*window, true, map[string][]pinner.Origin{route: {first}})
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := watcher{pinner.New(), start}
			tt.do(&w)
			if got := w.Witnesses(w.now); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestKeysOfStreamsAndContentDiffer has hashes that are small or differ in one bit.
func TestKeysOfStreamsAndContentDiffer(t *testing.T) {
	if k := pinner.ContentKey(0); k != 0 {
		t.Errorf("the hash 0 has the key %d", k)
	}
	for hash := uint64(1); hash < 9; hash++ {
		if k := pinner.StreamKey(hash); k == 0 || k.IsContent() {
			t.Errorf("the hash %d of a stream has the key %d", hash, k)
		}
		if k := pinner.ContentKey(hash); k == 0 || !k.IsContent() {
			t.Errorf("the hash %d of content has the key %d", hash, k)
		}
	}
}

func TestWatchOfRoute(t *testing.T) {
	tests := map[string]struct {
		do   func(w *watcher)
		want pinner.Answer
	}{
		"nothing observed": {do: func(*watcher) {}},
		"one origin for long": {
			do:   func(w *watcher) { w.observe(retention+interval, first) },
			want: sole(first),
		},
		"one origin, the host has just started": {
			do:   func(w *watcher) { w.observe(retention, first) },
			want: unknown(first),
		},
		"a second origin appears": {
			do:   func(w *watcher) { w.observe(2*retention, first); w.observe(0, first, second) },
			want: mixed,
		},
		"the second origin is gone for as long as its streams may last": {
			do: func(w *watcher) {
				w.observe(2*retention, first)
				w.observe(0, second)
				w.observe(window+interval, first)
			},
			want: mixed,
		},
		"the second origin is gone for longer than other hosts may use it": {
			do: func(w *watcher) {
				w.observe(2*retention, first)
				w.observe(0, second)
				w.observe(retention+2*interval, first)
			},
			want: sole(first),
		},
		"an origin without upstreams": {
			do:   func(w *watcher) { w.observe(2*retention, first); w.observe(window) },
			want: sole(first),
		},
		"an upstream without a version": {
			do:   func(w *watcher) { w.observe(2*retention, versionless) },
			want: unknown(versionless),
		},
		"a route moves to another pool": {
			do:   func(w *watcher) { w.observe(2*retention, first); w.observe(0, moved) },
			want: mixed,
		},
		"a route moves and comes back": {
			do: func(w *watcher) {
				w.observe(2*retention, first)
				w.observe(0, moved)
				w.observe(window, first)
			},
			want: mixed,
		},
		"a route leaves and comes back elsewhere": {
			do: func(w *watcher) {
				w.observe(2*retention, first)
				w.observeRoutes(time.Second, window, true, nil)
				w.observe(window, moved)
			},
			want: mixed,
		},
		"a route leaves and comes back": {
			do: func(w *watcher) {
				w.observe(2*retention, first)
				w.observeRoutes(time.Second, window, true, nil)
				w.observe(window, first)
			},
			want: unknown(first),
		},
		"a host was suspended": {
			do: func(w *watcher) {
				w.observe(2*retention, first)
				w.now = w.now.Add(2 * time.Second)
				w.observe(window, first)
			},
			want: unknown(first),
		},
		"a host was suspended and has not observed since": {
			do:   func(w *watcher) { w.observe(2*retention, first); w.now = w.now.Add(2 * time.Second) },
			want: unknown(first),
		},
		"a host was suspended while versions were mixed": {
			do: func(w *watcher) {
				w.observe(2*retention, first, second)
				w.now = w.now.Add(2 * time.Second)
				w.observe(0, first)
			},
			want: mixed,
		},
		"a host was suspended for long, and the version is another": {
			do: func(w *watcher) {
				w.observe(2*retention, first)
				w.now = w.now.Add(2 * retention)
				w.observe(0, second)
			},
			want: unknown(second),
		},
		"the directory is not up to date": {
			do: func(w *watcher) {
				w.observe(2*retention, first)
				w.observeRoutes(interval, window, false, map[string][]pinner.Origin{route: {first}})
			},
			want: unknown(first),
		},
		"the directory is not up to date while versions are mixed": {
			do: func(w *watcher) {
				w.observe(2*retention, first, second)
				w.observeRoutes(window, window, false, map[string][]pinner.Origin{route: {first, second}})
			},
			want: mixed,
		},
		"the directory has not been up to date for long": {
			do: func(w *watcher) {
				w.observe(2*retention, first, second)
				w.observeRoutes(retention+2*interval, window, false, map[string][]pinner.Origin{route: {first, second}})
			},
		},
		"the directory is up to date again": {
			do: func(w *watcher) {
				w.observe(2*retention, first)
				w.observeRoutes(interval, window, false, map[string][]pinner.Origin{route: {first}})
				w.now = w.now.Add(interval)
				w.observe(retention, first)
			},
			want: unknown(first),
		},
		"streams may last longer from now on": {
			do: func(w *watcher) {
				w.observe(2*retention, first)
				w.observe(0, second)
				w.observe(retention+2*interval, first)
				w.observeRoutes(0, 2*window, true, map[string][]pinner.Origin{route: {first}})
			},
			want: unknown(first),
		},
		"streams have lasted longer until now": {
			do: func(w *watcher) {
				possible := map[string][]pinner.Origin{route: {first}}
				w.observeRoutes(2*retention, 4*window, true, map[string][]pinner.Origin{route: {first, second}})
				w.observeRoutes(retention+2*interval, window, true, possible)
			},
			want: mixed,
		},
		"streams have lasted shorter in two steps": {
			do: func(w *watcher) {
				both := map[string][]pinner.Origin{route: {first, second}}
				w.observeRoutes(interval, 6*window, true, both)
				w.observeRoutes(6*window+retention-window-interval, 4*window, true, both)
				w.observeRoutes(retention+2*interval, window, true, map[string][]pinner.Origin{route: {first}})
			},
			want: mixed,
		},
		"streams lasted longer once": {
			do: func(w *watcher) {
				possible := map[string][]pinner.Origin{route: {first}}
				w.observeRoutes(0, 4*window, true, possible)
				w.observeRoutes(retention+3*window, window, true, possible)
				w.observe(0, second)
				w.observe(retention+2*interval, first)
			},
			want: sole(first),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := &watcher{pinner.New(), start}
			test.do(w)
			if got := w.Answer(key, route, w.now); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
