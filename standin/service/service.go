// Package service is a stand-in for a plain booking service. It counts the
// runs of each booking.
package service

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// requestIDHeader carries the request ID of the caller; the response repeats
// it.
const requestIDHeader = "Foxtail-Request-Id"

// Service serves bookings and lookups. It is safe for concurrent use.
type Service struct {
	delay time.Duration

	mu            sync.Mutex
	runs          map[string]int
	dropResponses bool
	lookups       int
}

// New returns a service that takes delay for each call.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, runs: make(map[string]int)}
}

// Runs returns the number of runs of each booking by its reference.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// SetDropResponses sets whether the service runs bookings but closes the
// connection instead of responding.
func (s *Service) SetDropResponses(drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = drop
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.serveBooking)
	mux.HandleFunc("GET /bookings", s.serveLookup)
	mux.HandleFunc("GET /stats", s.serveStats)
	return mux
}

// booking is the body of a booking request.
type booking struct {
	Reference string `json:"reference"`
}

// serveBooking runs a booking. A booking that is sent again runs again.
func (s *Service) serveBooking(w http.ResponseWriter, r *http.Request) {
	var b booking
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.Reference == "" {
		http.Error(w, "reference is needed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[b.Reference]++
	n, drop := s.runs[b.Reference], s.dropResponses
	s.mu.Unlock()
	time.Sleep(s.delay)
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "{\"reference\":%q,\"run\":%d}\n", b.Reference, n)
}

// serveLookup serves the number of distinct bookings. It is idempotent.
func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.lookups++
	n := len(s.runs)
	s.mu.Unlock()
	time.Sleep(s.delay)
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"bookings\":%d}\n", n)
}

// serveStats serves the number of runs of each booking.
func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Runs())
}
