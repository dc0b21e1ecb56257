package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/router"
)

// unframedHead is the head of an authentic response with neither length nor chunks,
// which ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed + "\r\n"

// TestResponsesThatEndWithTheirConnection checks which responses with neither length
// nor chunks are complete.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	const crlfEvents = "id: 0\r\ndata: e0\r\n\r\nid: 1\r\ndata: e1\r\n\r\n"
	whole := func(s string) step { return step{bytes: unframedHead + s, action: closeConn} }
	reset := func(s string) step { return step{bytes: unframedHead + s, action: resetConn} }
	tests := map[string]struct {
		route         router.Route
		first, second step
		want          string
		arrived       [2]int
	}{
		"closed":                             {nonIdempotent, whole("all"), okResponse("no"), "200 all", [2]int{1, 0}},
		"closed, repeatable":                 {idempotent, whole("all"), okResponse("no"), "200 all", [2]int{1, 0}},
		"closed without a body":              {nonIdempotent, whole(""), okResponse("no"), "200 ", [2]int{1, 0}},
		"closed, keep-alive":                 {nonIdempotent, step{bytes: strings.Replace(unframedHead, "\r\n\r\n", "\r\nConnection: keep-alive\r\n\r\n", 1) + "all", action: closeConn}, okResponse("no"), "200 all", [2]int{1, 0}},
		"closed, HTTP/1.0":                   {nonIdempotent, step{bytes: strings.Replace(unframedHead, "HTTP/1.1", "HTTP/1.0", 1) + "all", action: closeConn}, okResponse("no"), "200 all", [2]int{1, 0}},
		"closed, status 404":                 {nonIdempotent, step{bytes: strings.Replace(unframedHead, "200", "404", 1) + "none", action: closeConn}, okResponse("no"), "404 none", [2]int{1, 0}},
		"closed inside the head":             {nonIdempotent, step{bytes: strings.TrimSuffix(unframedHead, "\r\n"), action: closeConn}, okResponse("no"), "unknown", [2]int{1, 0}},
		"closed without proof":               {nonIdempotent, step{bytes: strings.Replace(unframedHead, sealed, "", 1) + "forged", action: closeConn}, okResponse("no"), "unknown", [2]int{1, 0}},
		"reset":                              {nonIdempotent, reset("some"), okResponse("no"), "unknown", [2]int{1, 0}},
		"reset, repeatable":                  {idempotent, reset("some"), okResponse("yes"), "200 yes", [2]int{1, 1}},
		"reset without a body":               {nonIdempotent, reset(""), okResponse("no"), "unknown", [2]int{1, 0}},
		"reset, status 404":                  {nonIdempotent, step{bytes: strings.Replace(unframedHead, "200", "404", 1) + "no", action: resetConn}, okResponse("no"), "unknown", [2]int{1, 0}},
		"reset, then closed":                 {idempotent, reset("some"), whole("all"), "200 all", [2]int{1, 1}},
		"stream closed":                      {streaming, whole(relayedEvents(0, 3)), okResponse("no"), "200 " + relayedEvents(0, 3), [2]int{1, 0}},
		"stream closed, resumable":           {resumable, whole(relayedEvents(0, 3)), okResponse("no"), "200 " + relayedEvents(0, 3), [2]int{1, 0}},
		"stream closed, CRLF":                {streaming, whole(crlfEvents), okResponse("no"), "200 " + crlfEvents, [2]int{1, 0}},
		"stream closed without events":       {streaming, whole(""), okResponse("no"), "200 ", [2]int{1, 0}},
		"stream closed inside an event":      {streaming, whole(relayedEvents(0, 1) + "id: 2\nda"), okResponse("no"), "aborted", [2]int{1, 0}},
		"stream closed inside a first event": {streaming, whole("id: 0\nda"), okResponse("no"), "unknown", [2]int{1, 0}},
		"stream closed before an empty line": {streaming, whole(relayedEvents(0, 1) + "id: 2\ndata: e2\n"), okResponse("no"), "aborted", [2]int{1, 0}},
		"stream closed inside a CRLF":        {streaming, whole(crlfEvents + "id: 2\r\ndata: e2\r\n\r"), okResponse("no"), "aborted", [2]int{1, 0}},
		"stream closed inside a comment":     {streaming, whole(relayedEvents(0, 1) + ": wait"), okResponse("no"), "aborted", [2]int{1, 0}},
		"stream reset between events":        {streaming, reset(relayedEvents(0, 1)), okResponse("no"), "aborted", [2]int{1, 0}},
		"stream reset inside an event":       {streaming, reset(relayedEvents(0, 1) + "id: 2\nda"), okResponse("no"), "aborted", [2]int{1, 0}},
		"stream reset without events":        {streaming, reset(""), okResponse("no"), "unknown", [2]int{1, 0}},
		"resumed after an event's part":      {resumable, whole(relayedEvents(0, 1) + "id: 2\nda"), whole(relayedEvents(2, 3)), "200 " + relayedEvents(0, 3), [2]int{1, 1}},
		"resumed after no empty line":        {resumable, whole(relayedEvents(0, 1) + "id: 2\ndata: e2\n"), whole(relayedEvents(2, 3)), "200 " + relayedEvents(0, 3), [2]int{1, 1}},
		"resumed after a reset":              {resumable, reset(relayedEvents(0, 1)), whole(relayedEvents(2, 3)), "200 " + relayedEvents(0, 3), [2]int{1, 1}},
		"resumed before the first event":     {resumable, reset(""), whole(relayedEvents(0, 3)), "200 " + relayedEvents(0, 3), [2]int{1, 1}},
		"resumed after the last event":       {resumable, reset(relayedEvents(0, 3)), whole(""), "200 " + relayedEvents(0, 3), [2]int{1, 1}},
		"resumed, then reset":                {resumable, reset(relayedEvents(0, 1)), reset(relayedEvents(2, 2)), "aborted", [2]int{1, 1}},
		"resumed, then inside an event":      {resumable, reset(relayedEvents(0, 1)), whole("id: 2\nda"), "aborted", [2]int{1, 1}},
		"resumed from chunks":                {resumable, step{bytes: streamHead + events(0, 1), action: closeConn}, whole(relayedEvents(2, 3)), "200 " + relayedEvents(0, 3), [2]int{1, 1}},
		"resumed in chunks":                  {resumable, reset(relayedEvents(0, 1)), step{bytes: streamHead + events(2, 3) + "0\r\n\r\n"}, "200 " + relayedEvents(0, 3), [2]int{1, 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newServer(t, tt.first), newServer(t, tt.second)
			s := newFixture(t, first, second)
			if got := s.serve(tt.route, "id-1").outcome(); got != tt.want {
				t.Errorf("the caller received %q, want %q", got, tt.want)
			}
			if n := [2]int{len(first.requests()), len(second.requests())}; n != tt.arrived {
				t.Errorf("the upstreams received %v requests, want %v", n, tt.arrived)
			}
		})
	}
}

// TestResponseIsNotCompleteAfterResetDuringWrite resets the connection of a response
// with neither length nor chunks while its request is still being sent.
func TestResponseIsNotCompleteAfterResetDuringWrite(t *testing.T) {
	const tries = 20
	// More than the sockets' buffers hold.
	body := make([]byte, 32<<20)
	for route, part := range map[*router.Route]string{&nonIdempotent: "some", &streaming: relayedEvents(0, 1)} {
		t.Run(route.Name, func(t *testing.T) {
			t.Parallel()
			for i := range tries {
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err == nil {
						_, err = io.WriteString(c, strings.ReplaceAll(unframedHead, "%ID", r.Header.Get(idHeader))+part)
					}
					if err != nil {
						t.Errorf("upstream: %v", err)
					}
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				}()
				s := newFixture(t, &server{l: l})
				r := &recorder{}
				s.Serve(context.Background(), &forwarder.Request{
					ID: fmt.Sprint("id-", i), Method: http.MethodPost, Target: "/", Body: body, Route: route,
					Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), LastEventID: forwarder.NoEvent,
				}, r)
				_ = l.Close()
				if got := r.outcome(); got != "unknown" && got != "aborted" {
					t.Fatalf("try %d: the caller received %q, want no complete response", i, got)
				}
			}
		})
	}
}

// TestConnectionOfUnframedResponseIsNotReused sends a second request after each
// response that ended with its connection.
func TestConnectionOfUnframedResponseIsNotReused(t *testing.T) {
	for name, tt := range map[string]struct {
		route router.Route
		body  string
	}{
		"whole": {nonIdempotent, "all"}, "stream": {streaming, relayedEvents(0, 1)}, "stream without events": {streaming, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := newServer(t, step{bytes: unframedHead + tt.body, action: closeConn}, okResponse("second"))
			s := newFixture(t, srv)
			s.admitter.grants = []string{"upstream-0", "upstream-0"}
			if got := s.serve(tt.route, "id-1").outcome(); got != "200 "+tt.body {
				t.Errorf("the first request ended with %q, want 200 %q", got, tt.body)
			}
			if got := s.serve(nonIdempotent, "id-2").outcome(); got != "200 second" {
				t.Errorf("the second request ended with %q, want 200 second", got)
			}
			srv.mu.Lock()
			defer srv.mu.Unlock()
			if srv.conns != 2 {
				t.Errorf("%d connections, want 2", srv.conns)
			}
		})
	}
}
