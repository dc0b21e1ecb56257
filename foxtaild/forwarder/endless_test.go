package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/scheduler/router"
)

// maxEndlessBytes bounds what an upstream may send before its connection is closed:
// the largest response that is buffered, and what the sockets hold.
const maxEndlessBytes = 24 << 20

// endlessServer is an upstream that responds with a beginning and then repeats a
// part until its connection is closed.
type endlessServer struct {
	server
	sent atomic.Int64
	done chan struct{}
}

// newEndlessServer starts an upstream; %ID in the beginning is replaced.
func newEndlessServer(t *testing.T, beginning, part string) *endlessServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &endlessServer{server: server{t: t, l: l}, done: make(chan struct{})}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer close(s.done)
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, err = io.WriteString(c, strings.ReplaceAll(beginning, "%ID", r.Header.Get(idHeader)))
		for err == nil {
			var n int
			n, err = io.WriteString(c, part)
			s.sent.Add(int64(n))
		}
	}()
	return s
}

// TestEndlessResponseIsCutOff lets an upstream send bytes until the connection is
// closed.
func TestEndlessResponseIsCutOff(t *testing.T) {
	fill := strings.Repeat("x", 16<<10)
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": %ID\r\n" + sealed
	tests := map[string]struct{ beginning, part string }{
		"one header line":             {head + "Fill: ", fill},
		"many header lines":           {head, "Fill: " + fill + "\r\n"},
		"status line":                 {"HTTP/1.1 200 ", fill},
		"interim responses":           {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 500)},
		"body without length":         {head + "\r\n", fill},
		"chunks":                      {head + "Transfer-Encoding: chunked\r\n\r\n", chunk(fill)},
		"chunk extension":             {head + "Transfer-Encoding: chunked\r\n\r\n1;", fill},
		"trailer":                     {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Fill: " + fill + "\r\n"},
		"length larger than the body": {head + "Content-Length: 999999999999\r\n\r\n", fill},
		"response to another request": {"HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n\r\n", fill},
	}
	for name, tt := range tests {
		for route, want := range map[*router.Route]string{&idempotent: "200 yes", &nonIdempotent: "unknown"} {
			t.Run(name+", "+route.Name, func(t *testing.T) {
				t.Parallel()
				endless, next := newEndlessServer(t, tt.beginning, tt.part), newServer(t, okResponse("yes"))
				s := newFixture(t, &endless.server, next)
				if got := s.serve(*route, "id-1").outcome(); got != want {
					t.Errorf("the caller received %q, want %q", got, want)
				}
				<-endless.done
				if n := endless.sent.Load(); n > maxEndlessBytes {
					t.Errorf("the upstream sent %d bytes before it was cut off, want at most %d", n, maxEndlessBytes)
				}
			})
		}
	}
}

// TestEndlessEventIsCutOff lets an upstream send an event without end.
func TestEndlessEventIsCutOff(t *testing.T) {
	fill := strings.Repeat("x", 16<<10)
	for name, part := range map[string]string{"one line": chunk(fill), "many lines": chunk("data: " + fill + "\n"), "comments": chunk(": " + fill + "\n")} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endless := newEndlessServer(t, streamHead+chunk("id: 0\ndata: "), part)
			s := newFixture(t, &endless.server)
			if got := s.serve(streaming, "id-1").outcome(); got != "unknown" {
				t.Errorf("the caller received %q, want unknown", got)
			}
			<-endless.done
			if n := endless.sent.Load(); n > maxEndlessBytes {
				t.Errorf("the upstream sent %d bytes before it was cut off, want at most %d", n, maxEndlessBytes)
			}
		})
	}
}

// TestResponseBuffersAreBounded lets an upstream send a body that is smaller than the
// limit of one response but larger than that of all, and then many small ones.
func TestResponseBuffersAreBounded(t *testing.T) {
	const limit = 64 << 10
	large := newServer(t, okResponse(strings.Repeat("x", 2*limit)))
	s := newFixture(t, large)
	forwarder.WithBufferLimit(limit)(s.Forwarder)
	if got := s.serve(nonIdempotent, "large").outcome(); got != "unknown" {
		t.Errorf("the caller of the large response received %q, want unknown", got)
	}
	small := newServer(t, slices.Repeat([]step{okResponse("yes")}, 100)...)
	s = newFixture(t, small)
	forwarder.WithBufferLimit(limit)(s.Forwarder)
	s.admitter.grants = slices.Repeat(s.admitter.grants, 100)
	for range 100 {
		if got := s.serve(nonIdempotent, "small").outcome(); got != "200 yes" {
			t.Fatalf("the caller of a small response received %q, want 200 yes", got)
		}
	}
}
