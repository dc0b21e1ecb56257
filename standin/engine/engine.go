// Package engine is a small stand-in of a model engine. It batches
// continuously, caches prompt prefixes, starts cold, falls over when it gets
// too much while cold, and reports its load late.
package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Config is what one engine is like.
type Config struct {
	// Name is the engine's name in answers.
	Name string
	// Model is what it serves.
	Model string
	// PrefillPerToken is the time one uncached prompt token takes alone.
	PrefillPerToken time.Duration
	// TokenTime is the time between tokens of a request alone.
	TokenTime time.Duration
	// BatchSlowdown is the part by which each further request in the batch
	// lengthens TokenTime and PrefillPerToken.
	BatchSlowdown float64
	// ColdFor is how long a cold start lasts.
	ColdFor time.Duration
	// ColdLimit is how many requests a cold engine tolerates without falling
	// over.
	ColdLimit int
	// MaxBatch bounds the requests computed at a time; the others wait inside
	// the engine in order of arrival. 0 is no bound.
	MaxBatch int
	// Warm starts the engine warm; later starts are cold all the same.
	Warm bool
	// ReportLag is how old a load report is when it can be read.
	ReportLag time.Duration
	// CacheBlocks bounds the prompt blocks in the prefix cache.
	CacheBlocks int
	// PoisonMarker crashes the engine when a prompt contains it; empty for
	// none.
	PoisonMarker string
	// Seed fixes the epochs.
	Seed uint64
}

// Stats are what the engine has seen. The fields are its wire format.
type Stats struct {
	Name          string         `json:"name"`
	Started       int            `json:"started"`
	Completed     int            `json:"completed"`
	Running       int            `json:"running"`
	Prefilled     int64          `json:"prefilledTokens"`
	CachedPrefill int64          `json:"cachedPrefillTokens"`
	WastedPrefill int64          `json:"wastedPrefillTokens"`
	Generated     int64          `json:"generatedTokens"`
	Crashes       int            `json:"crashes"`
	Overloads     int            `json:"overloads"`
	MaxRunning    int            `json:"maxRunning"`
	MaxCold       int            `json:"maxRunningCold"`
	Runs          map[string]int `json:"runs,omitempty"`
}

// Load is a load report. The fields are its wire format.
type Load struct {
	Epoch   string `json:"epoch"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
	Running int    `json:"running"`
	AgeMs   int64  `json:"ageMs"`
}

// snapshot is a load report with the time at which it was true.
type snapshot struct {
	load  Load
	taken time.Time
}

// reportEvery is how often the engine notes its load.
const reportEvery = 50 * time.Millisecond

// Engine is one stand-in engine.
type Engine struct {
	cfg Config

	mu        sync.Mutex
	rng       *rand.Rand
	epoch     string
	coldUntil time.Time
	leaving   bool
	slowdown  float64
	down      bool
	batch     chan struct{}
	life      context.Context
	crash     context.CancelFunc
	stats     Stats
	cache     *blockCache
	history   []snapshot
}

// New returns a cold engine.
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

// restart begins a new epoch. The caller holds mu.
func (e *Engine) restart(now time.Time) {
	if e.crash != nil {
		e.crash()
	}
	e.life, e.crash = context.WithCancel(context.Background())
	e.batch = make(chan struct{}, max(e.cfg.MaxBatch, 1))
	e.epoch = fmt.Sprintf("%s-%08x", e.cfg.Name, e.rng.Uint32())
	e.coldUntil = now.Add(e.cfg.ColdFor)
	e.cache.clear()
	e.stats.Running = 0
	e.history = nil
	e.note(now)
}

// Crash drops everything the engine is doing and starts it cold.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.restart(time.Now())
}

// SetSlowdown multiplies all times by f, as a failing engine would.
func (e *Engine) SetSlowdown(f float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = f
}

// SetLeaving says in load reports whether the engine is on its way out.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetDown makes the engine drop every request, as if it had gone.
func (e *Engine) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
	e.restart(time.Now())
}

// Stats returns what the engine has seen.
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

// note remembers the load for later reports. The caller holds mu.
func (e *Engine) note(now time.Time) {
	if n := len(e.history); n > 0 && now.Sub(e.history[n-1].taken) < reportEvery {
		return
	}
	e.history = append(e.history, snapshot{
		load: Load{
			Epoch:   e.epoch,
			Cold:    now.Before(e.coldUntil),
			Leaving: e.leaving,
			Running: e.stats.Running,
		},
		taken: now,
	})
}

// report returns the newest load that is old enough to be read.
func (e *Engine) report(now time.Time) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.note(now)
	newest := 0
	for i, s := range e.history {
		if now.Sub(s.taken) >= e.cfg.ReportLag {
			newest = i
		}
	}
	s := e.history[newest]
	e.history = e.history[newest:]
	s.load.AgeMs = now.Sub(s.taken).Milliseconds()
	return s.load
}

// admit starts a request, or drops the engine when it is cold and has too
// much. It returns the life of the engine that took the request.
func (e *Engine) admit(id string, prompt string) (life context.Context, ok bool) {
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
		e.stats.MaxCold = max(e.stats.MaxCold, e.stats.Running)
	}
	if now.Before(e.coldUntil) && e.stats.Running > e.cfg.ColdLimit {
		e.stats.Overloads++
		e.stats.Crashes++
		e.restart(now)
		return nil, false
	}
	if poisonous(prompt, e.cfg.PoisonMarker) {
		e.stats.Crashes++
		e.restart(now)
		return nil, false
	}
	e.note(now)
	return e.life, true
}

// leave ends a request that the engine with this life had taken.
func (e *Engine) leave(life context.Context, completed bool, prefilled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if completed {
		e.stats.Completed++
	} else {
		e.stats.WastedPrefill += int64(prefilled)
	}
	if life.Err() == nil {
		e.stats.Running--
		e.note(time.Now())
	}
}

// prefill returns how many tokens of a prompt must be computed and how long
// that takes now.
func (e *Engine) prefill(prompt string) (tokens int, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := promptTokens(prompt)
	cached := e.cache.lookUp(prompt) * blockBytes / bytesPerToken
	tokens = max(all-cached, 1)
	e.stats.Prefilled += int64(tokens)
	e.stats.CachedPrefill += int64(min(cached, all))
	return tokens, time.Duration(float64(tokens) * float64(e.cfg.PrefillPerToken) * e.crowding())
}

// tokenTime returns the time until the next token now.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Generated++
	return time.Duration(float64(e.cfg.TokenTime) * e.crowding())
}

// crowding is the factor by which the batch slows everything. The caller
// holds mu.
func (e *Engine) crowding() float64 {
	n := e.stats.Running
	if e.cfg.MaxBatch > 0 {
		n = min(n, e.cfg.MaxBatch)
	}
	return e.slowdown * (1 + e.cfg.BatchSlowdown*float64(max(n-1, 0)))
}

// enter waits for a place in the batch. The returned function gives it up.
func (e *Engine) enter(life, caller context.Context) (leave func(), ok bool) {
	if e.cfg.MaxBatch == 0 {
		return func() {}, true
	}
	e.mu.Lock()
	batch := e.batch
	e.mu.Unlock()
	select {
	case batch <- struct{}{}:
		return func() { <-batch }, true
	case <-life.Done():
		return nil, false
	case <-caller.Done():
		return nil, false
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /stats", e.serveStats)
	mux.HandleFunc("POST /faults", e.serveFaults)
	return mux
}
