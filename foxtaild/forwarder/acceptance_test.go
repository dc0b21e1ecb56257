package forwarder_test

import (
	"context"
	"log/slog"
	"slices"
	"testing"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/pinner"
	"foxtaillug.org/scheduler/registrar"
)

// TestUpstreamThatAcceptsNothingGetsNothing grants an upstream that has told the host to send
// it no requests, at each of the times at which a request is sent.
func TestUpstreamThatAcceptsNothingGetsNothing(t *testing.T) {
	failed := step{bytes: response(503, notRunHeader+": 1\r\n", "busy")}
	tests := map[string]struct {
		// steps are those of the upstreams in the order of the grants; refusing is the
		// number of the one that accepts nothing.
		steps    []step
		refusing int
		after    int64
		want     string
	}{
		"first attempt":         {[]step{stream(0, 5), stream(0, 5)}, 0, forwarder.NoEvent, "200 " + relayedEvents(0, 5)},
		"after a rejection":     {[]step{failed, stream(0, 5), stream(0, 5)}, 1, forwarder.NoEvent, "200 " + relayedEvents(0, 5)},
		"resumption":            {[]step{cut(0, 2), stream(3, 5), stream(3, 5)}, 1, forwarder.NoEvent, "200 " + relayedEvents(0, 5)},
		"resumption by callers": {[]step{stream(3, 5), stream(3, 5)}, 0, 2, "200 " + relayedEvents(3, 5)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var servers []*server
			for _, x := range tt.steps {
				servers = append(servers, newServer(t, x))
			}
			s := newOriginFixture(t, servers...)
			refusing := s.admitter.grants[tt.refusing]
			s.origins.known = map[forwarder.StreamID]pinner.Origin{{Key: resumedStream, Route: resumable.Name}: {Pool: "p", Version: "v1"}}
			for _, id := range s.admitter.grants {
				s.setVersions(map[string]string{id: "v1"})
			}
			s.Forwarder = forwarder.New(&s.admitter, testCodec{}, connector.New(), s.directory, slog.New(slog.DiscardHandler), forwarder.WithOrigins(&s.origins),
				forwarder.WithAcceptance(func(e registrar.Entry) (string, bool) { return "upstreamLeaving", e.ID != refusing }))
			r := &recorder{}
			s.Serve(context.Background(), newRequest(resumable, tt.after), r)
			if got := r.outcome(); got != tt.want {
				t.Errorf("the caller received %q, want %q", got, tt.want)
			}
			if n := len(servers[tt.refusing].requests()); n > 0 {
				t.Errorf("the upstream that accepts nothing received %d requests", n)
			}
			if last := s.admitter.requests[len(s.admitter.requests)-1]; !slices.Contains(last.Exclude, refusing) {
				t.Errorf("the last admission request excludes %v, want %s among them", last.Exclude, refusing)
			}
			s.admitter.checkReturned(t)
		})
	}
}

// TestRefusalSaysThatUpstreamsAcceptNothing grants only upstreams that accept nothing.
func TestRefusalSaysThatUpstreamsAcceptNothing(t *testing.T) {
	s := newFixture(t, newServer(t, okResponse("ok")))
	s.Forwarder = forwarder.New(s.admitter, testCodec{}, connector.New(), s.directory, slog.New(slog.DiscardHandler),
		forwarder.WithAcceptance(func(registrar.Entry) (string, bool) { return "upstreamLeaving", false }))
	r := s.serve(idempotent, "id")
	if r.refusal == nil || r.refusal.Outcome != forwarder.NotRun || r.refusal.RetryAfter <= 0 {
		t.Errorf("the caller received %+v, want a refusal that says that the request has not run", r.refusal)
	}
}

// TestUpstreamThatHasLeftIsNotGrantedAgain has a coordinator that does not know yet that an
// upstream has left grant it as long as the request does not exclude it.
func TestUpstreamThatHasLeftIsNotGrantedAgain(t *testing.T) {
	s := newOriginFixture(t, newServer(t, okResponse("ok")), newServer(t, okResponse("ok")))
	left, sound := s.admitter.grants[0], s.admitter.grants[1]
	s.directory.Update(registrar.Position{Revision: 2}, func(r *registrar.Registrar) {
		e, _ := r.Entry(left)
		e.Leaving = true
		r.Put(e)
	})
	s.Forwarder = forwarder.New(&outdatedAdmitter{&s.admitter, left, sound}, testCodec{}, connector.New(), s.directory, slog.New(slog.DiscardHandler))
	r := &recorder{}
	s.Serve(context.Background(), newRequest(idempotent, forwarder.NoEvent), r)
	if got := r.outcome(); got != "200 ok" {
		t.Errorf("the caller received %q, want the response of the other upstream", got)
	}
}

// outdatedAdmitter grants the first upstream unless the request excludes it.
type outdatedAdmitter struct {
	*grantAdmitter
	first, second string
}

func (a *outdatedAdmitter) Admit(ctx context.Context, r coordinator.Request) (forwarder.Grant, error) {
	a.grants = []string{a.first}
	if slices.Contains(r.Exclude, a.first) {
		a.grants = []string{a.second}
	}
	return a.grantAdmitter.Admit(ctx, r)
}
