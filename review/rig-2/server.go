package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// heartbeat is the interval of a server's writes to the store.
	heartbeat = 1200 * time.Millisecond
	// missedBeats is the number of heartbeats after which the store removes an entry.
	missedBeats = 3
)

// run is a request that a server has begun to work on.
type run struct {
	server, id, host string
	at               time.Time
}

// serverOptions say how a server stand-in works.
type serverOptions struct {
	service, zone string
	slots         int
	// work returns how long a request takes until its answer.
	work func(r *http.Request, body []byte) time.Duration
	// crashes reports whether a request crashes the server that has begun to run it, and
	// after which time.
	crashes func(body []byte) (after time.Duration, ok bool)
	// down is how long the server is down after a crash; 0 means for good. A server that
	// goes dark answers nothing meanwhile, like a machine without power: its connections
	// stay open, and new ones are not established.
	down time.Duration
	dark bool
	// coldFor is how long the server is cold after its start.
	coldFor time.Duration
	stream  bool
}

// server is a stand-in of one server of a service.
type server struct {
	serverOptions
	store   *store
	log     *record
	address string

	mu       sync.Mutex
	id       string
	born     time.Time
	seq      int
	listener net.Listener
	conns    map[net.Conn]struct{}
	stopped  context.CancelFunc
	arrivals []run
	runs     []run
	crashed  []time.Time
}

// incarnations numbers the starts of servers.
var incarnations atomic.Int64

// newServer starts a server at an address and registers it.
func newServer(st *store, log *record, address string, o serverOptions) *server {
	s := &server{serverOptions: o, store: st, log: log, address: address}
	s.start()
	return s
}

// start begins a new incarnation.
func (s *server) start() {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		s.log.line("server %s can't listen: %v", s.address, err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.id, s.born, s.seq = fmt.Sprintf("i-%08x", incarnations.Add(1)), time.Now(), 0
	s.listener, s.conns, s.stopped = l, make(map[net.Conn]struct{}), cancel
	id := s.id
	slots := make(chan struct{}, s.slots)
	s.mu.Unlock()
	s.log.line("server %s starts at %s for %s in %s", id, s.address, s.service, s.zone)
	h := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(ctx, id, slots, w, r) }),
		ConnState: func(c net.Conn, st http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch st {
			case http.StateNew:
				s.conns[c] = struct{}{}
			case http.StateClosed, http.StateHijacked:
				delete(s.conns, c)
			}
		},
	}
	go func() { _ = h.Serve(l) }()
	go s.beat(ctx, id)
}

// beat writes the server's entry to the store until the server ends.
func (s *server) beat(ctx context.Context, id string) {
	for {
		s.mu.Lock()
		s.seq++
		left := max(0, s.coldFor-time.Since(s.born))
		entry := map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
			"state": "ready", "warmup-left-ms": left.Milliseconds(), "seq": s.seq, "born": s.born.UnixMilli(),
		}
		s.mu.Unlock()
		s.store.put("servers/"+id, entry)
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
			time.Sleep(missedBeats * heartbeat)
			s.store.remove("servers/" + id)
			return
		}
	}
}

// crash ends the incarnation: its connections are reset, and new ones refused. The server
// is back after its time down.
func (s *server) crash(id, cause string) {
	s.mu.Lock()
	if s.id != id || s.listener == nil {
		s.mu.Unlock()
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	s.crashed = append(s.crashed, time.Now())
	s.stopped()
	conns := maps.Clone(s.conns)
	s.mu.Unlock()
	reset := func() {
		for c := range conns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	if !s.dark {
		reset()
	} else if lift, err := blackHole(s.address); err != nil {
		s.log.line("server %s: %v", id, err)
	} else {
		time.AfterFunc(s.down-50*time.Millisecond, func() { lift(); reset() })
	}
	s.log.line("server %s crashes: %s", id, cause)
	if s.down > 0 {
		time.AfterFunc(s.down, s.start)
	}
}

// serve serves one request.
func (s *server) serve(ctx context.Context, id string, slots chan struct{}, w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if target := r.Header.Get("Target-Instance"); target != "" && target != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	host := r.Header.Get("X-Via")
	s.mu.Lock()
	s.arrivals = append(s.arrivals, run{id, attempt, host, now})
	left := s.coldFor - now.Sub(s.born)
	s.mu.Unlock()
	if left > 0 {
		w.Header().Set("Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-ctx.Done():
		s.end(r)
	}
	defer func() { <-slots }()
	s.mu.Lock()
	s.runs = append(s.runs, run{id, attempt, host, time.Now()})
	s.mu.Unlock()
	s.log.line("server %s begins to run %s", id, attempt)
	if s.crashes != nil {
		if after, ok := s.crashes(body); ok {
			select {
			case <-time.After(after):
				s.crash(id, "by request "+attempt)
			case <-ctx.Done():
			}
			s.end(r)
		}
	}
	select {
	case <-time.After(s.work(r, body)):
	case <-r.Context().Done():
		s.log.line("server %s: %s was closed", id, attempt)
		return
	case <-ctx.Done():
		s.end(r)
	}
	w.Header().Set("Response-Seal", "seal."+attempt)
	if !s.stream {
		_, _ = io.WriteString(w, "answer to "+attempt+"\n")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 3; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, attempt)
		_ = http.NewResponseController(w).Flush()
	}
}

// seen returns the requests that have arrived at the server and those that it began to run.
func (s *server) seen() (arrivals, runs []run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.arrivals...), append([]run(nil), s.runs...)
}

// crashTimes returns when the server has crashed.
func (s *server) crashTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.crashed...)
}

// end ends a request of a server that has crashed, without an answer. If the server is dark,
// its connection stays open until the server is back.
func (s *server) end(r *http.Request) {
	if s.dark {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// blackHole has no connection to an address established until lift is called: it listens
// there with a queue that is full.
func blackHole(address string) (lift func(), err error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err = errors.Join(
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: a.Addr().As4(), Port: int(a.Port())}),
		syscall.Listen(fd, 0),
	); err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	var conns []net.Conn
	for {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			break
		}
		conns = append(conns, c)
	}
	return func() {
		_ = syscall.Close(fd)
		for _, c := range conns {
			_ = c.Close()
		}
	}, nil
}
