package forwarder_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/pinner"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

// setPool moves an upstream of the fixture to a pool.
func (s *fixture) setPool(id, pool string) {
	s.directory.Update(registrar.Position{Revision: 2}, func(r *registrar.Registrar) {
		e, _ := r.Entry(id)
		e.Pool = pool
		r.Put(e)
	})
}

// TestResumptionGoesOnAtItsOrigin has callers take up a stream after event 2.
func TestResumptionGoesOnAtItsOrigin(t *testing.T) {
	goesOn := "200 " + relayedEvents(3, 5)
	unnamed := func(r *forwarder.Request) { r.Resumes, r.ResumedStream, r.Digest = "", 0, 33 }
	unknown := func(r *forwarder.Request) { r.Resumes, r.ResumedStream = "", 0 }
	split := []router.Target{{Pool: "p", Weight: 99}, {Pool: "q", Weight: 1}}
	tests := map[string]struct {
		origin *pinner.Origin
		// pool and version are those of all upstreams.
		pool, version string
		change        func(r *forwarder.Request)
		want          string
		// asked is the number of admission requests, sent that of requests to upstreams.
		asked, sent int
		found       bool
	}{
		"origin is known":                 {&pinner.Origin{Pool: "p", Version: "v1"}, "p", "v1", nil, goesOn, 1, 1, true},
		"origin is another pool of split": {&pinner.Origin{Pool: "q", Version: "v1"}, "q", "v1", func(r *forwarder.Request) { r.Route.Targets = split }, goesOn, 1, 1, true},
		"route no longer targets pool":    {&pinner.Origin{Pool: "q", Version: "v1"}, "q", "v1", nil, "notRun unknownStream", 0, 0, true},
		"unknown stream":                  {nil, "p", "v1", nil, "notRun unknownStream", 0, 0, true},
		"origin without a version":        {&pinner.Origin{Pool: "p"}, "p", "", nil, "notRun unknownStream", 0, 0, true},
		"no stream is named":              {nil, "p", "v1", unnamed, "notRun unknownStream", 0, 0, true},
		"none is named, content is known": {&pinner.Origin{Pool: "p", Version: "v1"}, "p", "v1", unnamed, goesOn, 1, 1, true},
		"neither name nor content":        {nil, "p", "v1", unknown, "notRun unknownStream", 0, 0, true},
		"route is not resumable":          {&pinner.Origin{Pool: "p", Version: "v1"}, "p", "v1", func(r *forwarder.Request) { r.Route.Resumable = false }, "notRun unknownStream", 0, 0, false},
		"grants of another version":       {&pinner.Origin{Pool: "p", Version: "v1"}, "p", "v2", nil, "notRun noUpstream", 5, 0, true},
		"grants of an unknown version":    {&pinner.Origin{Pool: "p", Version: "v1"}, "p", "", nil, "notRun noUpstream", 5, 0, true},
		"grants of another pool":          {&pinner.Origin{Pool: "p", Version: "v1"}, "q", "v1", nil, "notRun noUpstream", 5, 0, true},
		"deadline while asking":           {&pinner.Origin{Pool: "p", Version: "v1"}, "p", "v1", func(r *forwarder.Request) { r.Deadline = r.Arrived }, "notRun deadline", 0, 0, false},
		"route without streams":           {nil, "p", "v2", func(r *forwarder.Request) { r.Route.Kind = router.Idempotent }, "200 " + relayedEvents(3, 5), 1, 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var servers []*server
			for range 6 {
				servers = append(servers, newServer(t, stream(3, 5)))
			}
			s := newOriginFixture(t, servers...)
			for _, id := range s.admitter.grants {
				s.setPool(id, tt.pool)
				s.setVersions(map[string]string{id: tt.version})
			}
			req, r := newRequest(resumable, 2), &recorder{}
			if tt.change != nil {
				tt.change(req)
			}
			id := forwarder.StreamID{Key: req.ResumedStream, Route: resumable.Name}
			if id.Key == 0 {
				id.Key = pinner.ContentKey(req.Digest)
			}
			if tt.origin != nil {
				s.origins.known = map[forwarder.StreamID]pinner.Origin{id: *tt.origin}
			}
			s.origins.delay = time.Millisecond
			s.Serve(context.Background(), req, r)
			got := r.outcome()
			if r.refusal != nil {
				got += " " + r.refusal.Reason
				if r.refusal.RetryAfter <= 0 {
					t.Error("the refusal has no Retry-After")
				}
			}
			if got != tt.want {
				t.Errorf("the caller received %q, want %q", got, tt.want)
			}
			sent := 0
			for _, x := range servers {
				for _, text := range x.requests() {
					sent++
					if want := "POST /p 2"; text != want {
						t.Errorf("an upstream received %q, want %q", text, want)
					}
				}
			}
			if len(s.admitter.requests) != tt.asked || sent != tt.sent {
				t.Errorf("%d admission requests and %d to upstreams, want %d and %d", len(s.admitter.requests), sent, tt.asked, tt.sent)
			}
			for _, x := range s.admitter.requests {
				if o := (pinner.Origin{Pool: x.Pool, Version: x.Version}); tt.origin != nil && o != *tt.origin {
					t.Errorf("asked for an upstream of %+v, want %+v", o, *tt.origin)
				}
				if tt.found && x.Waited < s.origins.delay {
					t.Errorf("the admission request says %v of waiting, but the origin took longer", x.Waited)
				}
			}
			if found := slices.Equal(s.origins.asked, []forwarder.StreamID{id}); found != tt.found || !found && len(s.origins.asked) > 0 {
				t.Errorf("asked for the origins of %v", s.origins.asked)
			}
			recorded := len(s.origins.recorded) == 1 && s.origins.recorded[0].StreamID == id && s.origins.recorded[0].Origin == *tt.origin
			if want := tt.want == goesOn && tt.found && id.Key != 0; recorded != want || !recorded && len(s.origins.recorded) > 0 {
				t.Errorf("recorded %+v, want the origin under the key of the resumed stream: %v", s.origins.recorded, want)
			}
			s.admitter.checkReturned(t)
		})
	}
}

// TestResumedStreamKeepsItsVersion breaks a stream off that a caller has taken up.
func TestResumedStreamKeepsItsVersion(t *testing.T) {
	other := newServer(t, stream(4, 5))
	s := newOriginFixture(t, newServer(t, cut(3, 3)), other, newServer(t, stream(4, 5)))
	s.setVersions(map[string]string{"upstream-1": "v2"})
	s.origins.known = map[forwarder.StreamID]pinner.Origin{{Key: resumedStream, Route: resumable.Name}: {Pool: "p", Version: "v1"}}
	r := &recorder{}
	s.Serve(context.Background(), newRequest(resumable, 2), r)
	if got, want := r.outcome(), "200 "+relayedEvents(3, 5); got != want {
		t.Errorf("the caller received %q, want %q", got, want)
	}
	if n := len(other.requests()); n > 0 {
		t.Errorf("the upstream of the other version received %d requests", n)
	}
	s.admitter.checkReturned(t)
}

// orderedResponder fails at its first write and notes how many origins were recorded
// before its first call.
type orderedResponder struct {
	recorder
	origins *fakeOrigins
	before  int
}

func (r *orderedResponder) Begin(status int, h http.Header, n int) error {
	r.before = len(r.origins.recorded)
	return r.recorder.Begin(status, h, n)
}

func (r *orderedResponder) Write([]byte) error { return errors.New("caller disconnected") }

// TestOriginIsRecordedBeforeTheFirstEvent begins streams whose caller is gone.
func TestOriginIsRecordedBeforeTheFirstEvent(t *testing.T) {
	tests := map[string]struct {
		route   router.Route
		version string
		step    step
		key     pinner.Key
		content uint64
		want    []pinner.Key
	}{
		"resumable":               {resumable, "v1", stream(0, 3), ownStream, 0, []pinner.Key{ownStream}},
		"broken off":              {resumable, "v1", cut(0, 3), ownStream, 0, []pinner.Key{ownStream}},
		"not resumable":           {streaming, "v1", stream(0, 3), ownStream, 0, nil},
		"unknown version":         {resumable, "", stream(0, 3), ownStream, 0, nil},
		"no key":                  {resumable, "v1", stream(0, 3), 0, 0, nil},
		"no event":                {resumable, "v1", stream(0, -1), ownStream, 0, nil},
		"failed":                  {resumable, "v1", step{bytes: response(400, sealed, "no such model")}, ownStream, 0, nil},
		"content":                 {resumable, "v1", stream(0, 3), ownStream, 33, []pinner.Key{ownStream, pinner.ContentKey(33)}},
		"content without a key":   {resumable, "v1", stream(0, 3), 0, 33, []pinner.Key{pinner.ContentKey(33)}},
		"content, not resumable":  {streaming, "v1", stream(0, 3), ownStream, 33, nil},
		"content, unknown origin": {resumable, "", stream(0, 3), ownStream, 33, []pinner.Key{pinner.ContentKey(33)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newOriginFixture(t, newServer(t, tt.step))
			s.setVersions(map[string]string{"upstream-0": tt.version})
			r, req := &orderedResponder{origins: &s.origins}, newRequest(tt.route, forwarder.NoEvent)
			req.Stream, req.Digest = tt.key, tt.content
			s.Serve(context.Background(), req, r)
			if len(s.origins.recorded) != len(tt.want) || r.before != len(tt.want) {
				t.Fatalf("%d origins recorded, %d of them before the head, want %d", len(s.origins.recorded), r.before, len(tt.want))
			}
			for i, k := range tt.want {
				want := recordedOrigin{forwarder.StreamID{Key: k, Route: tt.route.Name}, pinner.Origin{Pool: "p", Version: tt.version}, req.Deadline.Add(forwarder.ResumptionDelay)}
				if s.origins.recorded[i] != want {
					t.Errorf("recorded %+v, want %+v", s.origins.recorded[i], want)
				}
			}
			s.admitter.checkReturned(t)
		})
	}
}
