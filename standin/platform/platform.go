// Package platform is a stand-in for the platform: a configuration service
// that the daemons can only read and watch, and a host list whose changes
// become visible after a delay.
//
// Paths under /operator are for operators and tests, to publish values and
// inject faults; the daemon never uses them.
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
	// RevisionHeader carries the revision of the returned value.
	RevisionHeader = "Platform-Revision"
	// maxValueBytes is the size limit of a published value.
	maxValueBytes = 1 << 20
	// maxWait limits how long a long poll waits.
	maxWait = 30 * time.Second
	// pollInterval is the time between two checks for changes during a long
	// poll.
	pollInterval = 20 * time.Millisecond
	// ReadsPerSecond is the rate limit for all readers together.
	ReadsPerSecond = 2000
)

// Host is an entry of the host list. The fields are the wire format.
type Host struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// HostList is the host list with its revision. The fields are the wire format.
type HostList struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// value is a published value with its revision.
type value struct {
	revision uint64
	body     []byte
}

// pendingHosts is a host list that becomes visible at visibleAt.
type pendingHosts struct {
	hosts     []Host
	visibleAt time.Time
}

// Platform is a stand-in platform. It is safe for concurrent use.
type Platform struct {
	lag     time.Duration
	limiter *rate.Limiter

	mu            sync.Mutex
	revision      uint64
	values        map[string]value
	frozen        map[string]value // what readers see while the configuration is stale; else nil
	hosts         []Host
	pending       []pendingHosts
	hostsRevision uint64
	down          bool
	reads         int
}

// New returns a platform whose host list changes become visible after lag.
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

// SetHosts replaces the host list; readers see the change after the lag.
func (p *Platform) SetHosts(hosts []Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, pendingHosts{hosts: hosts, visibleAt: time.Now().Add(p.lag)})
}

// SetDown sets whether every read fails.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetStale sets whether the values that readers see are frozen. While they
// are, readers see neither new values nor new revisions.
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

// Reads returns the number of reads so far. A long poll counts as one.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// readValue returns a value as readers see it.
func (p *Platform) readValue(key string) (v value, ok, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.frozen != nil {
		values = p.frozen
	}
	v, ok = values[key]
	return v, ok, p.down
}

// readHosts returns the host list as readers see it.
func (p *Platform) readHosts() (l HostList, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.pending) > 0 && !time.Now().Before(p.pending[0].visibleAt) {
		p.hosts = p.pending[0].hosts
		p.pending = p.pending[1:]
		p.hostsRevision++
	}
	return HostList{Revision: p.hostsRevision, Hosts: p.hosts}, p.down
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", p.limitReads(p.serveValue))
	mux.HandleFunc("GET /v1/hosts", p.limitReads(p.serveHosts))
	mux.HandleFunc("PUT /operator/values/{key...}", p.servePublish)
	mux.HandleFunc("PUT /operator/hosts", p.serveSetHosts)
	mux.HandleFunc("POST /operator/faults", p.serveFaults)
	mux.HandleFunc("GET /operator/reads", p.serveReads)
	return mux
}

// limitReads counts reads and applies the rate limit.
func (p *Platform) limitReads(next http.HandlerFunc) http.HandlerFunc {
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

// longPoll calls changed, which receives the revision that the reader has,
// until it returns true, the wait requested by the reader is over or the
// reader has disconnected.
func longPoll(r *http.Request, changed func(after uint64) bool) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	seconds, _ := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	deadline := time.Now().Add(min(time.Duration(seconds*float64(time.Second)), maxWait))
	for !changed(after) && time.Now().Before(deadline) && r.Context().Err() == nil {
		time.Sleep(pollInterval)
	}
}

// serveValue serves a value. With the query parameters after and wait it waits
// for a revision other than the one that the reader has, and responds with Not
// Modified if there is none.
func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	var v value
	var ok, down bool
	longPoll(r, func(after uint64) bool {
		v, ok, down = p.readValue(r.PathValue("key"))
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

// serveHosts serves the host list. With the query parameters after and wait it
// first waits for a revision other than the one that the reader has.
func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	var l HostList
	var down bool
	longPoll(r, func(after uint64) bool {
		l, down = p.readHosts()
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "larger than a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	p.Publish(r.PathValue("key"), body)
}

// serveSetHosts replaces the host list.
func (p *Platform) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(hosts)
}

// faultRequest lists the faults that a test can inject. A nil field leaves
// that fault unchanged.
type faultRequest struct {
	Down  *bool `json:"down"`
	Stale *bool `json:"stale"`
}

// serveFaults injects faults.
func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f faultRequest
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
