package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or the deletion of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	LeaseID  uint64 `json:"lease-id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store: ranges and watches of a map with
// one revision counter.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

// newStore serves an empty store at an address.
func newStore(address string) (s *store, err error) {
	s = &store{address: address, revision: 100, items: make(map[string]item), changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.handleRange)
	mux.HandleFunc("GET /api/kv-watch", s.handleWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a value under a key. Its return is the store's acknowledgement.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: b, Revision: s.revision, Created: created}
	s.items[key] = it
	s.record(it)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

// record adds a change to the history and wakes the watches. The caller holds the lock.
func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// handleRange answers with all items under a prefix.
func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	entries := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, map[string]any{"entries": entries, "has-more": false, "at": at})
}

// handleWatch answers with the changes after a revision as soon as there are any.
func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		events := []item{}
		s.mu.Lock()
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// reply sends a JSON body.
func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
