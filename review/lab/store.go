package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeItem is a key of the store, or the deletion of one.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// rangePage is the number of items on a page of a listing.
const rangePage = 500

// store is a stand-in of the platform's metadata store.
type store struct {
	// down is set while the store answers all calls with 503 and takes no writes.
	down atomic.Bool

	mu      sync.Mutex
	items   map[string]storeItem
	history []storeItem
	changed chan struct{}
}

// startStore serves a store at an address.
func startStore(address string) (s *store, err error) {
	s = &store{items: map[string]storeItem{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	if s.down.Load() {
		return
	}
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	it := storeItem{Key: key, Value: b, Revision: uint64(len(s.history) + 1)}
	it.Created = it.Revision
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.append(it)
}

// remove deletes a key.
func (s *store) remove(key string) {
	if s.down.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.append(storeItem{Key: key, Revision: uint64(len(s.history) + 1), Deleted: true})
}

// append adds a change to the history. The caller holds the lock.
func (s *store) append(it storeItem) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the three reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	var body any
	switch r.URL.Path {
	case "/api/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		body = it
	case "/api/kv-range":
		body = s.list(q.Get("prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, errWait := strconv.Atoi(q.Get("wait-ms"))
		if err != nil || errWait != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body = s.watch(r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// list returns a page of the items with a prefix.
func (s *store) list(prefix, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []storeItem{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			entries = append(entries, it)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	more := len(entries) > rangePage
	if more {
		entries = entries[:rangePage]
	}
	return map[string]any{"entries": entries, "has-more": more, "at": len(s.history)}
}

// watch returns the changes after a revision, and waits for the first one.
func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) map[string]any {
	end := time.After(wait)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, it := range s.history[min(after, uint64(len(s.history))):] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		at, changed := len(s.history), s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
			continue
		case <-end:
		case <-r.Context().Done():
		}
		return map[string]any{"events": events, "at": at}
	}
}
