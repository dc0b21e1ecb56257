package acceptor_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/acceptor"
	"foxtaillug.org/foxtaild/internal/prober"
)

// TestDrainServesRequestsThatHaveBegun stops a server at different moments of a
// request.
func TestDrainServesRequestsThatHaveBegun(t *testing.T) {
	limits := acceptor.Limits{IdleTimeout: time.Hour, HeaderTimeout: time.Hour}
	tests := map[string]struct {
		// before sends a request up to the moment of the stop, after sends the rest.
		before, after func(*testing.T, *server)
		// responses is the number of responses after the stop.
		responses int
	}{
		"new connection, before the read returns": {func(t *testing.T, s *server) {
			s.send(t, firstRequest)
			wait(t, s.gate.arrived)
		}, func(_ *testing.T, s *server) {
			s.gate.release <- struct{}{}
		}, 1},
		"kept connection, before the read returns": {func(t *testing.T, s *server) {
			s.exchange(t)
			s.send(t, secondRequest)
			wait(t, s.gate.arrived)
		}, func(_ *testing.T, s *server) {
			s.gate.release <- struct{}{}
		}, 1},
		"kept connection, after a part was read": {func(t *testing.T, s *server) {
			s.exchange(t)
			s.send(t, secondRequest[:10])
			wait(t, s.gate.arrived)
			s.gate.release <- struct{}{}
			wait(t, s.gate.entered)
		}, func(t *testing.T, s *server) {
			s.gate.release <- struct{}{}
			s.send(t, secondRequest[10:])
		}, 1},
		"while it is served": {func(t *testing.T, s *server) {
			s.hold()
			s.send(t, firstRequest)
			s.gate.release <- struct{}{}
			wait(t, s.handling)
		}, func(_ *testing.T, s *server) {
			close(s.handled)
		}, 1},
		"after a byte was read during the previous request": {func(t *testing.T, s *server) {
			s.hold()
			s.send(t, firstRequest)
			s.gate.release <- struct{}{}
			wait(t, s.gate.arrived)
			wait(t, s.handling)
			s.send(t, secondRequest)
			if n := wait(t, s.gate.arrived); n != 1 {
				t.Fatalf("%d bytes read ahead, want 1", n)
			}
		}, func(_ *testing.T, s *server) {
			s.gate.release <- struct{}{}
			close(s.handled)
			s.gate.release <- struct{}{}
		}, 2},
		"after it was read with the previous request": {func(t *testing.T, s *server) {
			s.hold()
			s.send(t, firstRequest+secondRequest)
			s.gate.release <- struct{}{}
			wait(t, s.handling)
		}, func(_ *testing.T, s *server) {
			close(s.handled)
		}, 2},
		"while it is served, after it was read with others": {func(t *testing.T, s *server) {
			s.hold()
			s.send(t, firstRequest+secondRequest+secondRequest)
			s.gate.release <- struct{}{}
			wait(t, s.handling)
			s.handled <- struct{}{}
			wait(t, s.handling)
		}, func(_ *testing.T, s *server) {
			close(s.handled)
		}, 3},
		"between requests": {func(t *testing.T, s *server) { s.exchange(t) }, func(*testing.T, *server) {}, 0},
		"before the first": {func(t *testing.T, s *server) { wait(t, s.gate.entered) }, func(*testing.T, *server) {}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, limits, nil)
			tt.before(t, s)
			drained := s.acceptor.Drain()
			if n := s.gate.closes.Load(); n != 1 {
				t.Errorf("listener closed %d times after Drain, want once", n)
			}
			tt.after(t, s)
			for range tt.responses {
				if status := s.receive(t); status != http.StatusOK {
					t.Errorf("status %d, want 200", status)
				}
			}
			if rest, err := io.ReadAll(s.reader); len(rest) > 0 || err != nil {
				t.Errorf("read %q and error %v, want the end of the connection", rest, err)
			}
			wait(t, drained)
			if err := s.Shutdown(context.Background()); err != nil {
				t.Error(err)
			}
			if n := s.gate.closes.Load(); n != 1 {
				t.Errorf("listener closed %d times after Shutdown, want once", n)
			}
		})
	}
}

// TestDrainClosesConnectionBeingAccepted drains an acceptor after its listener has
// accepted a connection and before the acceptor tracks it.
func TestDrainClosesConnectionBeingAccepted(t *testing.T) {
	a := acceptor.New(func() acceptor.Limits { return acceptor.Limits{} })
	ours, theirs := net.Pipe()
	if err := theirs.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	var drained <-chan struct{}
	l := scriptedListener{conn: ours, onAccept: func() { drained = a.Drain() }}
	if c, err := a.Wrap(l).Accept(); c != nil || !errors.Is(err, net.ErrClosed) {
		t.Errorf("accepted %v with error %v, want none and %v", c, err, net.ErrClosed)
	}
	if _, err := theirs.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the caller reads error %v, want the end of the connection", err)
	}
	wait(t, drained)
}

// TestDrainServesRequestThatArrivedUnread drains when a request has arrived that the
// server has not begun to read.
func TestDrainServesRequestThatArrivedUnread(t *testing.T) {
	var once sync.Once
	s := newServer(t, acceptor.Limits{IdleTimeout: time.Hour, HeaderTimeout: time.Hour}, func(s *server, state http.ConnState) {
		if state != http.StateIdle {
			return
		}
		once.Do(func() {
			_, _ = io.WriteString(s.caller, secondRequest)
			for prober.Probe(s.gate.raw) != prober.Readable {
				runtime.Gosched()
			}
			s.acceptor.Drain()
		})
	})
	s.gate.release <- struct{}{}
	s.send(t, firstRequest)
	s.gate.release <- struct{}{}
	for range 2 {
		if status := s.receive(t); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
}
