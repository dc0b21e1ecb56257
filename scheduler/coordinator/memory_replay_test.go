package coordinator_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
	"foxtaillug.org/scheduler/router"
)

const (
	// batchStep is the time of a step of a typical batch engine, batchPrefill that in which
	// it reads a prompt token, and batchStride the number of tokens in an event.
	batchStep    = 5050 * time.Microsecond
	batchPrefill = 24510 * time.Nanosecond
	batchStride  = 5
	// batchMemory is the memory of a batch engine, in tokens.
	batchMemory = 237_082
	// longestPrompt is the longest prompt of the load, in tokens.
	longestPrompt = 39_600
	// longestPause is the pause that makes a stream late.
	longestPause = 400 * time.Millisecond
)

// batchKind is a class of requests: mean numbers of tokens, and the objective.
type batchKind struct {
	share          float64
	prompt, output float64
	objective      time.Duration
}

// batchKinds are long prompts with short answers, medium ones, and long streams.
var batchKinds = []batchKind{
	{0.35, 2950, 52, 800 * time.Millisecond},
	{0.38, 1860, 23, 600 * time.Millisecond},
	{0.27, 603, 280, 500 * time.Millisecond},
}

// batchRequest is a request of the replay and what became of it.
type batchRequest struct {
	id                     uint64
	kind                   int
	prompt, expect, output int
	at                     time.Time
	upstream               string
	sent, first, lastEvent time.Time
	generated              int
	// pause is the longest time between two events, crowded the longest in which no prompt
	// alone took longer than longestPause.
	pause, crowded time.Duration
	done, refused  bool
}

// batchEngine simulates an engine that generates one token of each running request in a
// step, and reads the prompts that have arrived in the step after: a step with many prompt
// tokens delays the tokens of all requests.
type batchEngine struct {
	slowdown           float64
	stepping           bool
	arrived, generates []*batchRequest
	// reads holds what the engine read: the end of the step and the time that the longest
	// prompt of the step took.
	reads []batchRead
	// held is the number of tokens in memory, most its highest value.
	held, most int
}

// batchRead is a step in which an engine read prompts.
type batchRead struct {
	end     time.Time
	longest time.Duration
}

// batchReplay replays a load against a coordinator with batch engines.
type batchReplay struct {
	c        *coordinator.Coordinator
	engines  map[string]*batchEngine
	ids      map[*batchEngine]string
	requests []*batchRequest
	heap     events
	n        int
}

// schedule adds an event.
func (r *batchReplay) schedule(at time.Time, do func(time.Time)) {
	r.n++
	heap.Push(&r.heap, event{at: at, do: do, n: r.n})
}

// batchLoad describes a load: requests a second of all kinds at a time, and the factor by
// which prompts are longer.
type batchLoad struct {
	rate   func(at time.Duration) float64
	longer float64
	memory int
}

// runBatch replays a load for a time on four engines, two of which are slow.
func runBatch(l batchLoad, seed uint64, length time.Duration, features coordinator.Features) *batchReplay {
	r := &batchReplay{engines: map[string]*batchEngine{}, ids: map[*batchEngine]string{}}
	r.c = coordinator.New("process", coordinator.Bounds{RetryRatio: 0.2, RetryAllowance: 58, RetryWindow: 10 * time.Second, ColdFactor: 1.5, ColdAllowance: 5}, coordinator.WithFeatures(features))
	table, err := router.NewTable(router.Document{Version: 1, Pools: []router.Pool{{Name: "engines", ColdRate: 13, Stride: batchStride, Memory: l.memory}}})
	if err != nil {
		panic(err)
	}
	r.c.SetTable(table, start)
	r.c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r"}}, start)
	var entries []registrar.Entry
	for i, slowdown := range []float64{0.6, 0.6, 1.7, 1.7} {
		id := fmt.Sprint("engine-", i)
		r.engines[id] = &batchEngine{slowdown: slowdown}
		r.ids[r.engines[id]] = id
		entries = append(entries, registrar.Entry{ID: id, Pool: "engines", Domain: "d", Slots: 6})
	}
	r.c.SetUpstreams(entries, start)
	rnd := rand.New(rand.NewPCG(seed, 11))
	for at := time.Duration(0); at < length; {
		at += time.Duration(rnd.ExpFloat64() / l.rate(at) * float64(time.Second))
		kind, x := 0, rnd.Float64()
		for x > batchKinds[kind].share && kind < len(batchKinds)-1 {
			x -= batchKinds[kind].share
			kind++
		}
		k := batchKinds[kind]
		q := &batchRequest{
			kind:   kind,
			prompt: min(longestPrompt, int(l.longer*k.prompt*math.Exp(rnd.NormFloat64()-0.5))+1),
			expect: int(k.output*math.Exp(rnd.NormFloat64()*0.5-0.32)) + 4,
			at:     start.Add(at),
		}
		q.output = int(float64(q.expect)*math.Exp(rnd.NormFloat64()*math.Log(1.95))) + 1
		r.requests = append(r.requests, q)
		id := uint64(len(r.requests))
		q.id = id
		r.schedule(q.at, func(now time.Time) {
			r.c.Admit("entry", coordinator.Request{
				ID: id, Pool: "engines", Objective: k.objective, MaxPause: longestPause, Left: 8 * time.Second,
				Prompt: q.prompt, Output: q.expect,
			}, now)
		})
	}
	for at := time.Duration(0); at < length+20*time.Second; at += 10 * time.Millisecond {
		r.schedule(start.Add(at), func(time.Time) {})
	}
	for len(r.heap) > 0 {
		e := heap.Pop(&r.heap).(event)
		e.do(e.at)
		for _, d := range r.c.Advance(e.at) {
			r.apply(d, e.at)
		}
	}
	return r
}

// apply carries out a decision.
func (r *batchReplay) apply(d coordinator.Decision, now time.Time) {
	q := r.requests[d.ID-1]
	if d.Upstream == "" {
		q.refused = true
		return
	}
	e := r.engines[d.Upstream]
	q.upstream, q.sent = d.Upstream, now
	r.schedule(now.Add(time.Millisecond), func(at time.Time) {
		e.arrived = append(e.arrived, q)
		if !e.stepping {
			r.step(e, at)
		}
	})
}

// step begins a step of an engine that has requests.
func (r *batchReplay) step(e *batchEngine, now time.Time) {
	e.stepping = len(e.arrived)+len(e.generates) > 0
	if !e.stepping {
		return
	}
	batch := e.arrived
	e.arrived = nil
	took := float64(batchStep)
	for _, q := range batch {
		took += float64(q.prompt) * float64(batchPrefill)
		e.held += q.prompt
	}
	e.generates = append(e.generates, batch...)
	end := now.Add(time.Duration(took * e.slowdown))
	longest := 0
	for _, q := range batch {
		longest = max(longest, q.prompt)
	}
	if longest > 0 {
		e.reads = append(e.reads, batchRead{end, time.Duration(float64(longest) * float64(batchPrefill) * e.slowdown)})
	}
	r.schedule(end, func(at time.Time) {
		e.generates = slices.DeleteFunc(e.generates, func(q *batchRequest) bool { return r.generate(e, q, at) })
		r.step(e, at)
	})
}

// generate adds a token to a request and reports whether it was the last.
func (r *batchReplay) generate(e *batchEngine, q *batchRequest, now time.Time) bool {
	q.generated++
	e.held++
	e.most = max(e.most, e.held)
	id, sent, first := q.id, q.sent, now
	switch {
	case q.generated == 1:
		q.first, q.lastEvent = now, now
		r.schedule(now.Add(time.Millisecond), func(at time.Time) {
			r.c.Progress("entry", coordinator.Progress{ID: id, FirstToken: first.Sub(sent)}, at)
		})
	case q.generated%batchStride == 0 || q.generated >= q.output:
		gap := now.Sub(q.lastEvent)
		q.pause = max(q.pause, gap)
		alone := false
		for i := len(e.reads) - 1; i >= 0 && e.reads[i].end.After(q.lastEvent); i-- {
			alone = alone || e.reads[i].longest > longestPause
		}
		if !alone {
			q.crowded = max(q.crowded, gap)
		}
		q.lastEvent = now
	}
	if q.generated < q.output {
		return false
	}
	q.done = true
	e.held -= q.prompt + q.generated
	r.schedule(now.Add(time.Millisecond), func(at time.Time) {
		r.c.Finish("entry", coordinator.Finish{
			ID: id, Ending: coordinator.Complete, FirstToken: q.first.Sub(q.sent),
			Generating: now.Sub(q.first), Tokens: q.generated - 1, Total: now.Sub(q.sent),
		}, at)
	})
	return true
}

// batchTotals counts what became of requests.
type batchTotals struct {
	asked, served, inTime int
	// latePauses counts the served requests with a pause over longestPause, crowded those
	// of them that several prompts together delayed so long.
	latePauses, crowded int
	// large and largeServed count the largest tenth of each kind by prompt.
	large, largeServed int
	// most is the highest number of tokens in an engine's memory.
	most int
}

// add adds the totals of a replay.
func (t *batchTotals) add(r *batchReplay) {
	for kind, k := range batchKinds {
		var prompts []int
		for _, q := range r.requests {
			if q.kind == kind {
				prompts = append(prompts, q.prompt)
			}
		}
		slices.Sort(prompts)
		large := prompts[len(prompts)*9/10]
		for _, q := range r.requests {
			if q.kind != kind {
				continue
			}
			t.asked++
			if q.prompt >= large {
				t.large++
			}
			if !q.done {
				continue
			}
			t.served++
			if q.prompt >= large {
				t.largeServed++
			}
			if q.pause > longestPause {
				t.latePauses++
			} else if q.first.Sub(q.at) <= k.objective {
				t.inTime++
			}
			if q.crowded > longestPause {
				t.crowded++
			}
		}
	}
	for _, e := range r.engines {
		t.most = max(t.most, e.most)
	}
}

// String lists the totals.
func (t batchTotals) String() string {
	return fmt.Sprintf("asked %d, served %d (%.3f), in time %d (%.3f), late by a pause %d, by several prompts %d, largest tenth served %.3f, most tokens %d",
		t.asked, t.served, float64(t.served)/float64(t.asked), t.inTime, float64(t.inTime)/float64(t.asked), t.latePauses, t.crowded, float64(t.largeServed)/float64(t.large), t.most)
}

// TestLongPromptsDelayFewStreams guards against upstreams that get several long prompts at
// once and delay the events of the streams beside them.
func TestLongPromptsDelayFewStreams(t *testing.T) {
	t.Parallel()
	steady := func(n float64) func(time.Duration) float64 { return func(time.Duration) float64 { return n } }
	tests := map[string]batchLoad{
		"below capacity":  {rate: steady(16), longer: 1, memory: batchMemory},
		"over capacity":   {rate: steady(40), longer: 1, memory: batchMemory},
		"longer prompts":  {rate: steady(16), longer: 3, memory: batchMemory},
		"burst":           {rate: func(at time.Duration) float64 { return between(5*time.Second, 8*time.Second, 4)(at) * 14 }, longer: 2, memory: batchMemory},
		"short of memory": {rate: steady(30), longer: 2, memory: 45_000},
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			var off, on batchTotals
			for seed := range uint64(6) {
				off.add(runBatch(l, seed, 20*time.Second, coordinator.Features{}))
				on.add(runBatch(l, seed, 20*time.Second, coordinator.Features{TokenRoom: true}))
			}
			t.Logf("off: %v", off)
			t.Logf("on:  %v", on)
			if on.crowded*10 > off.crowded*8 || on.latePauses > off.latePauses {
				t.Errorf("%d streams late by a pause, %d by several prompts; want at most the %d without token room, and 0.8 of the %d", on.latePauses, on.crowded, off.latePauses, off.crowded)
			}
			if on.inTime < off.inTime || on.served*100 < off.served*99 {
				t.Errorf("%d served, %d in time; want about the %d and at least the %d without token room", on.served, on.inTime, off.served, off.inTime)
			}
			if on.largeServed*on.asked*2 < on.served*on.large {
				t.Errorf("%d of the %d largest served, want half the rate of all, %d of %d", on.largeServed, on.large, on.served, on.asked)
			}
			if on.most > l.memory {
				t.Errorf("%d tokens in a memory of %d", on.most, l.memory)
			}
		})
	}
}
