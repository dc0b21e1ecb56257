// Package platform is a small stand-in of the platform: a configuration
// service that can only be read and watched, and a host list that lags.
//
// Paths under /operator are the operators' own means of publishing; the
// daemon never uses them.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// RevisionHeader carries the revision of what was read.
	RevisionHeader = "Platform-Revision"
	// maxValue is the largest value that may be published.
	maxValue = 1 << 20
	// maxWait bounds how long a watch waits.
	maxWait = 30 * time.Second
	// poll is how often a watch looks again.
	poll = 20 * time.Millisecond
	// ReadsPerSecond is the limit over all readers.
	ReadsPerSecond = 2000
)

// Host is an entry of the host list. The fields are its wire format.
type Host struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// HostList is the host list. The fields are its wire format.
type HostList struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// value is something published.
type value struct {
	revision uint64
	body     []byte
}

// change is a host list that is not visible yet.
type change struct {
	hosts []Host
	at    time.Time
}

// Platform is the stand-in.
type Platform struct {
	lag     time.Duration
	limiter *rate.Limiter

	mu       sync.Mutex
	revision uint64
	values   map[string]value
	frozen   map[string]value
	hosts    []Host
	pending  []change
	hostRev  uint64
	down     bool
	reads    int
}

// New returns a platform whose host list lags.
func New(lag time.Duration) *Platform {
	return &Platform{
		lag:     lag,
		limiter: rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		values:  make(map[string]value),
	}
}

// Publish sets a value, as operators do.
func (p *Platform) Publish(key string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[key] = value{revision: p.revision, body: body}
}

// SetHosts changes the host list; it is seen after the lag.
func (p *Platform) SetHosts(hosts []Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, change{hosts: hosts, at: time.Now().Add(p.lag)})
}

// SetDown makes every read fail.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetStale freezes what readers see of the configuration, or thaws it.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if !stale {
		return
	}
	p.frozen = make(map[string]value, len(p.values))
	for k, v := range p.values {
		p.frozen[k] = v
	}
}

// Reads returns how many reads were counted, a waiting watch as one.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// read returns a value as readers see it.
func (p *Platform) read(key string) (v value, ok, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.frozen != nil {
		values = p.frozen
	}
	v, ok = values[key]
	return v, ok, p.down
}

// list returns the host list as readers see it.
func (p *Platform) list() (l HostList, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.pending) > 0 && !time.Now().Before(p.pending[0].at) {
		p.hosts = p.pending[0].hosts
		p.pending = p.pending[1:]
		p.hostRev++
	}
	return HostList{Revision: p.hostRev, Hosts: p.hosts}, p.down
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", p.counted(p.serveValue))
	mux.HandleFunc("GET /v1/hosts", p.counted(p.serveHosts))
	mux.HandleFunc("PUT /operator/values/{key...}", p.servePublish)
	mux.HandleFunc("PUT /operator/hosts", p.serveSetHosts)
	mux.HandleFunc("POST /operator/faults", p.serveFaults)
	mux.HandleFunc("GET /operator/reads", p.serveReads)
	return mux
}

// counted counts and limits reads.
func (p *Platform) counted(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.reads++
		p.mu.Unlock()
		if !p.limiter.Allow() {
			http.Error(w, "too many reads", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

// watch calls look until it reports something new, the wait is over or the
// reader went away.
func watch(r *http.Request, look func(after uint64) bool) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	seconds, _ := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	end := time.Now().Add(min(time.Duration(seconds*float64(time.Second)), maxWait))
	for !look(after) && time.Now().Before(end) && r.Context().Err() == nil {
		time.Sleep(poll)
	}
}

// serveValue serves a value once it is newer than the reader's.
func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	var v value
	var ok, down bool
	watch(r, func(after uint64) bool {
		v, ok, down = p.read(r.PathValue("key"))
		return down || (ok && v.revision != after)
	})
	switch after := r.URL.Query().Get("after"); {
	case down:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case !ok:
		http.NotFound(w, r)
	case strconv.FormatUint(v.revision, 10) == after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set(RevisionHeader, strconv.FormatUint(v.revision, 10))
		_, _ = w.Write(v.body)
	}
}

// serveHosts serves the host list once it is newer than the reader's.
func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	var l HostList
	var down bool
	watch(r, func(after uint64) bool {
		l, down = p.list()
		return down || l.Revision != after
	})
	if down {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

// servePublish sets a value.
func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, "larger than a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	p.Publish(r.PathValue("key"), body)
}

// serveSetHosts changes the host list.
func (p *Platform) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(hosts)
}

// faults are what a test can do to the platform.
type faults struct {
	Down  *bool `json:"down"`
	Stale *bool `json:"stale"`
}

// serveFaults causes failures.
func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Down != nil {
		p.SetDown(*f.Down)
	}
	if f.Stale != nil {
		p.SetStale(*f.Stale)
	}
}

// serveReads serves the number of reads.
func (p *Platform) serveReads(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Reads())
}
