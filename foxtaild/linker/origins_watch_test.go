package linker

import (
	"reflect"
	"testing"
	"time"

	"foxtaillug.org/scheduler/pinner"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// watchedRoute returns a route whose streams may be taken up again.
func watchedRoute(name string, timeout time.Duration, targets ...router.Target) router.Route {
	return router.Route{Name: name, Host: name, Prefix: "/", Kind: router.Streaming, Resumable: true, Timeout: timeout, Targets: targets}
}

func TestPossibleOrigins(t *testing.T) {
	versions := map[string][]string{"p": {"v1", "v2"}, "q": {""}}
	toP, toQ, toNone := router.Target{Pool: "p", Weight: 1}, router.Target{Pool: "q", Weight: 1}, router.Target{Pool: "none", Weight: 1}
	p1, p2, q := pinner.Origin{Pool: "p", Version: "v1"}, pinner.Origin{Pool: "p", Version: "v2"}, pinner.Origin{Pool: "q"}
	once, whole := watchedRoute("a", time.Hour, toP), watchedRoute("b", time.Hour, toP)
	once.Resumable, whole.Kind = false, router.Idempotent
	tests := map[string]struct {
		routes      []router.Route
		want        map[string][]pinner.Origin
		wantTimeout time.Duration
	}{
		"none":                        {nil, map[string][]pinner.Origin{}, 0},
		"not taken up again":          {[]router.Route{once, whole}, map[string][]pinner.Origin{}, 0},
		"one pool":                    {[]router.Route{watchedRoute("a", time.Second, toP)}, map[string][]pinner.Origin{"a": {p1, p2}}, time.Second},
		"split":                       {[]router.Route{watchedRoute("a", time.Second, toQ, toP)}, map[string][]pinner.Origin{"a": {q, p1, p2}}, time.Second},
		"split without weight":        {[]router.Route{watchedRoute("a", time.Second, toQ, router.Target{Pool: "p"})}, map[string][]pinner.Origin{"a": {q}}, time.Second},
		"pool without upstreams":      {[]router.Route{watchedRoute("a", time.Second, toNone)}, map[string][]pinner.Origin{"a": {}}, time.Second},
		"longest timeout":             {[]router.Route{watchedRoute("a", 2*time.Second, toQ), watchedRoute("b", time.Second, toQ), once}, map[string][]pinner.Origin{"a": {q}, "b": {q}}, 2 * time.Second},
		"two routes of the same name": {[]router.Route{watchedRoute("a", time.Second, toQ), watchedRoute("a", time.Second, toP, toQ)}, map[string][]pinner.Origin{"a": {q, p1, p2}}, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table, err := router.NewTable(router.Document{Version: 1, Routes: tt.routes, Pools: []router.Pool{{Name: "p"}, {Name: "q"}, {Name: "none"}}})
			if err != nil {
				t.Fatal(err)
			}
			got, timeout := possibleOrigins(table, versions)
			if !reflect.DeepEqual(got, tt.want) || timeout != tt.wantTimeout {
				t.Errorf("origins %v, timeout %v, want %v, %v", got, timeout, tt.want, tt.wantTimeout)
			}
		})
	}
	if got, _ := possibleOrigins(nil, nil); len(got) != 0 {
		t.Errorf("without a configuration %v are possible", got)
	}
}

// TestAnswersFollowTheDirectory changes the directory of a host that knows a sole origin
// and asks it before its next observation is due.
func TestAnswersFollowTheDirectory(t *testing.T) {
	start := time.Now()
	put := func(o *Origins, e registrar.Entry) {
		o.linker.directory.Update(registrar.Position{Revision: 1}, func(r *registrar.Registrar) { r.Put(e) })
	}
	tests := map[string]struct {
		change func(o *Origins)
		after  time.Duration
		want   pinner.Knowledge
	}{
		"nothing":                 {func(*Origins) {}, 0, pinner.Sole},
		"same version":            {func(o *Origins) { put(o, registrar.Entry{ID: "b", Pool: "p", Version: "v1"}) }, 0, pinner.Sole},
		"another version":         {func(o *Origins) { put(o, registrar.Entry{ID: "b", Pool: "p", Version: "v2"}) }, 0, pinner.Mixed},
		"leaving from the start":  {func(o *Origins) { put(o, registrar.Entry{ID: "b", Pool: "p", Version: "v2", Leaving: true}) }, 0, pinner.Mixed},
		"version of another pool": {func(o *Origins) { put(o, registrar.Entry{ID: "b", Pool: "q", Version: "v2"}) }, 0, pinner.Sole},
		"upstream replaced":       {func(o *Origins) { put(o, registrar.Entry{ID: "a", Pool: "p", Version: "v2"}) }, 0, pinner.Mixed},
		"process suspended":       {func(o *Origins) { o.linker.directory.RecordStoreResponse(start.Add(time.Minute)) }, 2 * time.Second, pinner.Unknown},
		"new split": {func(o *Origins) {
			doc := router.Document{Version: 2, Pools: []router.Pool{{Name: "p"}, {Name: "q"}}}
			doc.Routes = []router.Route{watchedRoute("r", time.Second, router.Target{Pool: "p", Weight: 1}, router.Target{Pool: "q", Weight: 1})}
			put(o, registrar.Entry{ID: "b", Pool: "q", Version: "v1"})
			if err := o.linker.directory.Configure(doc); err != nil {
				t.Error(err)
			}
		}, 0, pinner.Mixed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o, now := newOriginsWith(t), start
			d := o.linker.directory
			doc := router.Document{Version: 1, Pools: []router.Pool{{Name: "p"}, {Name: "q"}}}
			doc.Routes = []router.Route{watchedRoute("r", time.Second, router.Target{Pool: "p", Weight: 1})}
			if err := d.Configure(doc); err != nil {
				t.Fatal(err)
			}
			put(o, registrar.Entry{ID: "a", Pool: "p", Version: "v1"})
			d.MarkListed()
			for now.Sub(start) <= time.Second+returnTime+pinner.DefaultStaleness+observeInterval {
				now = now.Add(observeInterval)
				d.RecordStoreResponse(now)
				o.observe(now)
			}
			tt.change(o)
			if a, _ := o.answer(1, "r", now.Add(tt.after)); a.Knowledge != tt.want {
				t.Errorf("answer is %v, want %v", a.Knowledge, tt.want)
			}
		})
	}
}

// TestStaleDirectoryGivesNoAnswer lets the store respond no more.
func TestStaleDirectoryGivesNoAnswer(t *testing.T) {
	start := time.Now()
	o := newOriginsWith(t)
	d := o.linker.directory
	doc := router.Document{Version: 1, Pools: []router.Pool{{Name: "p"}}, Routes: []router.Route{watchedRoute("r", time.Second, router.Target{Pool: "p", Weight: 1})}}
	if err := d.Configure(doc); err != nil {
		t.Fatal(err)
	}
	d.Update(registrar.Position{Revision: 1}, func(r *registrar.Registrar) { r.Put(registrar.Entry{ID: "a", Pool: "p", Version: "v1"}) })
	d.MarkListed()
	const stoppedAt = 60 * time.Second
	for at := time.Duration(0); at < 2*stoppedAt; at += observeInterval {
		now := start.Add(at)
		if at <= stoppedAt {
			d.RecordStoreResponse(now)
		}
		want := pinner.Unknown
		if at > time.Second+returnTime+pinner.DefaultStaleness && at <= stoppedAt+maxDirectoryAge {
			want = pinner.Sole
		}
		if a, _ := o.answer(1, "r", now); a.Knowledge != want {
			t.Errorf("after %v the answer is %v, want %v", at, a.Knowledge, want)
		}
	}
}
