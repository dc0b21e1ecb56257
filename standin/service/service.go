// Package service is a small stand-in of a plain booking service. It counts
// every run of every call.
package service

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// requestIDHeader carries the identity of a call.
const requestIDHeader = "Foxtail-Request-Id"

// Service takes bookings and answers look-ups.
type Service struct {
	delay time.Duration

	mu      sync.Mutex
	runs    map[string]int
	broken  bool
	lookUps int
}

// New returns a service that takes delay for each call.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, runs: make(map[string]int)}
}

// Runs returns how often each booking ran, by its reference.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// SetBroken makes the service run bookings but break off before it answers.
func (s *Service) SetBroken(broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = broken
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.book)
	mux.HandleFunc("GET /bookings", s.lookUp)
	mux.HandleFunc("GET /stats", s.serveStats)
	return mux
}

// booking is the body of a call.
type booking struct {
	Reference string `json:"reference"`
}

// book runs a booking.
func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	var b booking
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.Reference == "" {
		http.Error(w, "reference is needed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[b.Reference]++
	n, broken := s.runs[b.Reference], s.broken
	s.mu.Unlock()
	time.Sleep(s.delay)
	if broken {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "{\"reference\":%q,\"run\":%d}\n", b.Reference, n)
}

// lookUp answers a call that may be repeated.
func (s *Service) lookUp(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.lookUps++
	n := len(s.runs)
	s.mu.Unlock()
	time.Sleep(s.delay)
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"bookings\":%d}\n", n)
}

// serveStats serves the runs.
func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Runs())
}
