// Package engine is a stand-in for a model engine. It batches requests
// continuously, caches prompt prefixes, starts cold, crashes when it receives
// too many requests while it is cold, and publishes load reports with a delay.
package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Config describes one engine.
type Config struct {
	// Name is the engine's name in its statistics and epochs.
	Name string
	// Model is the name of the model that the engine serves.
	Model string
	// PrefillPerToken is the time to compute one uncached prompt token while no
	// other request runs.
	PrefillPerToken time.Duration
	// TokenTime is the time between two output tokens of a request while no
	// other request runs.
	TokenTime time.Duration
	// BatchSlowdown is the fraction by which each further request in the batch
	// lengthens TokenTime and PrefillPerToken.
	BatchSlowdown float64
	// ColdFor is the duration of a cold start.
	ColdFor time.Duration
	// ColdLimit is the number of concurrent requests that a cold engine handles;
	// one more crashes it.
	ColdLimit int
	// MaxBatch limits the requests computed at a time; further requests wait
	// inside the engine in order of arrival. 0 means no limit.
	MaxBatch int
	// Warm makes the first start warm. Restarts are always cold.
	Warm bool
	// ReportLag is the minimum age of a load report when it is served.
	ReportLag time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks.
	CacheBlocks int
	// PoisonMarker is a text that crashes the engine when a prompt contains it.
	// If empty, no prompt does.
	PoisonMarker string
	// Seed makes the random part of epochs reproducible.
	Seed uint64
}

// Stats counts what the engine has processed since it was created. Overloads
// are the crashes of the cold engine by requests beyond ColdLimit. Runs is the
// number of starts by request ID. The fields are the wire format.
type Stats struct {
	Name                string         `json:"name"`
	Started             int            `json:"started"`
	Completed           int            `json:"completed"`
	Running             int            `json:"running"`
	PrefilledTokens     int64          `json:"prefilledTokens"`
	CachedPrefillTokens int64          `json:"cachedPrefillTokens"`
	WastedPrefillTokens int64          `json:"wastedPrefillTokens"`
	GeneratedTokens     int64          `json:"generatedTokens"`
	Crashes             int            `json:"crashes"`
	Overloads           int            `json:"overloads"`
	MaxRunning          int            `json:"maxRunning"`
	MaxRunningCold      int            `json:"maxRunningCold"`
	Runs                map[string]int `json:"runs,omitempty"`
}

// Load is a load report. Epoch identifies the period since the engine's last
// start and changes with every restart. The fields are the wire format.
type Load struct {
	Epoch   string `json:"epoch"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
	Running int    `json:"running"`
	AgeMs   int64  `json:"ageMs"`
}

// loadSample is a load report with the time at which it was recorded.
type loadSample struct {
	load  Load
	taken time.Time
}

// sampleInterval is the minimum time between two recorded load samples.
const sampleInterval = 50 * time.Millisecond

// Engine is a stand-in model engine. It is safe for concurrent use.
type Engine struct {
	cfg Config

	mu          sync.Mutex
	rng         *rand.Rand
	epoch       string
	coldUntil   time.Time
	leaving     bool
	slowdown    float64 // factor for all times
	down        bool    // drops completions and load reports
	batchSlots  chan struct{}
	epochCtx    context.Context // done when the engine restarts
	cancelEpoch context.CancelFunc
	stats       Stats
	cache       *blockCache
	samples     []loadSample
}

// New returns an engine that begins a cold start, or a warm engine if cfg.Warm
// is set.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		slowdown: 1,
		cache:    newBlockCache(cfg.CacheBlocks),
		stats:    Stats{Name: cfg.Name, Runs: make(map[string]int)},
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart(time.Now())
	if cfg.Warm {
		e.coldUntil = time.Now()
	}
	return e
}

// restart aborts all requests and begins a new epoch with a cold start. The
// caller holds mu.
func (e *Engine) restart(now time.Time) {
	if e.cancelEpoch != nil {
		e.cancelEpoch()
	}
	e.epochCtx, e.cancelEpoch = context.WithCancel(context.Background())
	e.batchSlots = make(chan struct{}, max(e.cfg.MaxBatch, 1))
	e.epoch = fmt.Sprintf("%s-%08x", e.cfg.Name, e.rng.Uint32())
	e.coldUntil = now.Add(e.cfg.ColdFor)
	e.cache.clear()
	e.stats.Running = 0
	e.samples = nil
	e.recordLoad(now)
}

// Crash aborts all requests and restarts the engine cold.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.restart(time.Now())
}

// SetSlowdown multiplies all computing times by factor, to simulate a degraded
// engine.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetLeaving sets whether load reports announce that the engine is about to
// leave its pool.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetDown sets whether the engine is down, and restarts it. While it is down, it
// drops the connections of completions and load reports, as if the process were
// gone.
func (e *Engine) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
	e.restart(time.Now())
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Runs = make(map[string]int, len(e.stats.Runs))
	for id, n := range e.stats.Runs {
		s.Runs[id] = n
	}
	return s
}

// recordLoad appends the current load to the samples for later reports. The
// caller holds mu.
func (e *Engine) recordLoad(now time.Time) {
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].taken) < sampleInterval {
		return
	}
	e.samples = append(e.samples, loadSample{
		load: Load{
			Epoch:   e.epoch,
			Cold:    now.Before(e.coldUntil),
			Leaving: e.leaving,
			Running: e.stats.Running,
		},
		taken: now,
	})
}

// delayedLoad returns the newest load sample that is at least ReportLag old,
// or the oldest one if none is.
func (e *Engine) delayedLoad(now time.Time) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad(now)
	newest := 0
	for i, s := range e.samples {
		if now.Sub(s.taken) >= e.cfg.ReportLag {
			newest = i
		}
	}
	s := e.samples[newest]
	e.samples = e.samples[newest:]
	s.load.AgeMs = now.Sub(s.taken).Milliseconds()
	return s.load
}

// startRequest counts a request as started and running. It returns false if
// the engine is down, or if the request crashes it: because the engine is cold
// and exceeds ColdLimit, or because the prompt contains the poison marker.
// epochCtx ends with the engine's current epoch.
func (e *Engine) startRequest(id string, prompt string) (epochCtx context.Context, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.down {
		return nil, false
	}
	e.stats.Started++
	e.stats.Running++
	e.stats.Runs[id]++
	e.stats.MaxRunning = max(e.stats.MaxRunning, e.stats.Running)
	if now.Before(e.coldUntil) {
		e.stats.MaxRunningCold = max(e.stats.MaxRunningCold, e.stats.Running)
	}
	if now.Before(e.coldUntil) && e.stats.Running > e.cfg.ColdLimit {
		e.stats.Overloads++
		e.stats.Crashes++
		e.restart(now)
		return nil, false
	}
	if containsPoison(prompt, e.cfg.PoisonMarker) {
		e.stats.Crashes++
		e.restart(now)
		return nil, false
	}
	e.recordLoad(now)
	return e.epochCtx, true
}

// endRequest removes a request that was started in the epoch of epochCtx. The
// prefilled tokens of a request that did not complete count as wasted.
func (e *Engine) endRequest(epochCtx context.Context, completed bool, prefilled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if completed {
		e.stats.Completed++
	} else {
		e.stats.WastedPrefillTokens += int64(prefilled)
	}
	if epochCtx.Err() == nil {
		e.stats.Running--
		e.recordLoad(time.Now())
	}
}

// prefill returns the number of tokens of a prompt that must be computed, and
// the time that this takes at the current load.
func (e *Engine) prefill(prompt string) (tokens int, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := promptTokens(prompt)
	cached := e.cache.matchPrefix(prompt) * blockBytes / bytesPerToken
	tokens = max(total-cached, 1)
	e.stats.PrefilledTokens += int64(tokens)
	e.stats.CachedPrefillTokens += int64(min(cached, total))
	return tokens, time.Duration(float64(tokens) * float64(e.cfg.PrefillPerToken) * e.slowdownFactor())
}

// nextTokenTime counts an output token after the first one of a response, and
// returns the time to generate it at the current load.
func (e *Engine) nextTokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.GeneratedTokens++
	return time.Duration(float64(e.cfg.TokenTime) * e.slowdownFactor())
}

// slowdownFactor returns the factor by which the batch and a simulated fault
// lengthen all times. The caller holds mu.
func (e *Engine) slowdownFactor() float64 {
	n := e.stats.Running
	if e.cfg.MaxBatch > 0 {
		n = min(n, e.cfg.MaxBatch)
	}
	return e.slowdown * (1 + e.cfg.BatchSlowdown*float64(max(n-1, 0)))
}

// joinBatch waits for a free slot in the batch. It gives up when the engine
// restarts or the caller disconnects. The returned function releases the slot.
func (e *Engine) joinBatch(epochCtx, callerCtx context.Context) (leave func(), ok bool) {
	if e.cfg.MaxBatch == 0 {
		return func() {}, true
	}
	e.mu.Lock()
	slots := e.batchSlots
	e.mu.Unlock()
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	case <-epochCtx.Done():
		return nil, false
	case <-callerCtx.Done():
		return nil, false
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /stats", e.serveStats)
	mux.HandleFunc("POST /faults", e.serveFaults)
	return mux
}
