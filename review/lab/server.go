package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// serverQueue is the number of requests that wait for a slot of a server.
	serverQueue = 12
)

// arrival is a request that has reached a server.
type arrival struct {
	id, path string
	at       time.Time
	ran      bool
	tenant   string
	address  string
}

// server is a stand-in of a server of the platform.
type server struct {
	id, service, zone, address string
	slots                      int
	// work is the time that a request takes; pieces is the number of events of a stream, 0
	// for a whole answer.
	work   time.Duration
	pieces int
	born   time.Time
	// coldFor is the time for which the server is cold after its start.
	coldFor time.Duration
	store   *store
	http    *http.Server
	stopped chan struct{}
	// crashing is the path of the request that crashes the server.
	crashing string
	// replaced is set once another process publishes under the same ID.
	replaced atomic.Bool

	crashOnce sync.Once

	mu       sync.Mutex
	seq      int
	busy     chan struct{}
	waiting  int
	arrivals []arrival
}

// startServer starts a server and registers it in the store.
func startServer(s *server) error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.born, s.stopped, s.busy = time.Now(), make(chan struct{}), make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	s.publish()
	go func() {
		for {
			select {
			case <-s.stopped:
				return
			case <-time.After(heartbeat):
				s.publish()
			}
		}
	}()
	return nil
}

// coldLeft returns for how much longer the server is cold.
func (s *server) coldLeft() time.Duration { return max(0, time.Until(s.born.Add(s.coldFor))) }

// publish writes the server's entry.
func (s *server) publish() {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	s.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"warmup-left-ms": s.coldLeft().Milliseconds(), "phase": "combined", "seq": seq, "born": s.born.UnixMilli(),
	})
}

// crash ends the server without a word: its connections are reset. The store removes its
// entry after three heartbeats.
func (s *server) crash() {
	s.crashOnce.Do(func() {
		close(s.stopped)
		_ = s.http.Close()
	})
	time.AfterFunc(3*heartbeat, func() {
		if !s.replaced.Load() {
			s.store.remove("servers/" + s.id)
		}
	})
}

// ServeHTTP serves a request or a health check.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["Date"] = nil
	h.Set("Instance-Id", s.id)
	if r.URL.Path == "/healthz" {
		if left := s.coldLeft(); left > 0 {
			h.Set("Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n := s.arrive(r, id)
	if s.crashing != "" && r.URL.Path == s.crashing {
		s.crash()
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !s.take(r) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.busy }()
	s.mu.Lock()
	s.arrivals[n].ran = true
	s.mu.Unlock()
	h.Set("Response-Seal", "seal."+id)
	if s.pieces == 0 {
		if pause(r, s.work) {
			_, _ = fmt.Fprintf(w, "answer to %s\n", id)
		}
		return
	}
	s.stream(w, r)
}

// stream answers with events.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	from := 0
	if v := r.Header.Get("Last-Event-Id"); v != "" {
		from, _ = strconv.Atoi(v)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= s.pieces; i++ {
		if !pause(r, s.work/time.Duration(s.pieces)) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// arrive records the arrival of a request and returns its number.
func (s *server) arrive(r *http.Request, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{id: id, path: r.URL.Path, at: time.Now(), tenant: r.Header.Get("Tenant"), address: r.RemoteAddr})
	return len(s.arrivals) - 1
}

// take waits for a slot. It returns false if the queue is full or the caller has left.
func (s *server) take(r *http.Request) bool {
	select {
	case s.busy <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= serverQueue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.busy <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// pause waits for a time. It returns false if the caller leaves meanwhile.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
