package forwarder_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
)

// TestRefusalAfterTakeover has the other upstream reject the request after it has taken
// it over. The first one may have run it.
func TestRefusalAfterTakeover(t *testing.T) {
	s, a := newTakeoverFixture(t)
	a.admit = func(context.Context) (string, error) { return "second", nil }
	closed := make(chan struct{})
	s.put("first", startUpstream(t, func(c net.Conn, _ string) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	}))
	s.put("second", startUpstream(t, func(c net.Conn, id string) {
		<-closed
		_, _ = io.WriteString(c, strings.ReplaceAll(response(503, notRunHeader+": 1\r\n", "busy"), "%ID", id))
	}))
	got := s.serve(idempotent, "id-1")
	if got.outcome() == "notRun" {
		t.Errorf("the caller received %q with %+v, though the first upstream may have run the request", got.outcome(), got.refusal)
	}
}

// TestRejectionAfterFailedTakeover has the other upstream close its connection during
// the takeover, after it may have run the request, and the first one reject it then.
func TestRejectionAfterFailedTakeover(t *testing.T) {
	s, a := newTakeoverFixture(t)
	a.admit = func(context.Context) (string, error) { return "second", nil }
	lost := make(chan struct{})
	s.put("first", startUpstream(t, func(c net.Conn, id string) {
		<-lost
		_, _ = io.WriteString(c, strings.ReplaceAll(response(503, notRunHeader+": 1\r\n", "busy"), "%ID", id))
	}))
	s.put("second", startUpstream(t, func(c net.Conn, _ string) {
		_ = c.Close()
		close(lost)
	}))
	got := s.serve(idempotent, "id-1")
	if got.outcome() == "notRun" {
		t.Errorf("the caller received %q with %+v, though the second upstream may have run the request", got.outcome(), got.refusal)
	}
}
