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

// kind is a class of requests of the replayed load.
type kind struct {
	tier      int
	perSecond float64
	// prompt and output are the mean numbers of tokens.
	prompt, output float64
	objective      time.Duration
	deadline       time.Duration
}

// kinds are three tiers modelled on the load of the users: urgent requests with
// long prompts, medium ones, and long streams of low priority.
var kinds = []kind{
	{0, 9, 2890, 52, 600 * time.Millisecond, 5 * time.Second},
	{1, 10, 1800, 24, 500 * time.Millisecond, 3 * time.Second},
	{2, 7, 543, 280, 400 * time.Millisecond, 15 * time.Second},
}

// engine simulates an engine: it processes one prompt at a time and generates
// tokens at a fixed rate regardless of the other requests.
type engine struct {
	id       string
	slowdown float64
	// prefillFree is when the engine has processed all prompts it received.
	prefillFree time.Time
	down        func(at time.Duration) bool
	// coldFrom and coldTo bound a cold start, during which more than
	// maxColdRate requests within a second crash the engine for crashTime.
	coldFrom, coldTo time.Duration
	// recent are the arrival times of the last second while the engine is cold.
	recent       []time.Duration
	crashes      int
	crashedUntil time.Duration
}

const (
	// maxColdRate is the bound stated by the operators, in requests per second:
	// 13 times 1.5, plus 5.
	maxColdRate = 24
	crashTime   = 3 * time.Second
)

// accept counts a request that reaches the engine, and reports whether it runs.
func (e *engine) accept(at time.Duration) bool {
	if e.down(at) || at < e.crashedUntil {
		return false
	}
	if at < e.coldFrom || at >= e.coldTo {
		return true
	}
	kept := e.recent[:0]
	for _, r := range e.recent {
		if at-r < time.Second {
			kept = append(kept, r)
		}
	}
	e.recent = append(kept, at)
	if len(e.recent) > maxColdRate {
		e.crashes++
		e.recent, e.crashedUntil = nil, at+crashTime
		return false
	}
	return true
}

// start runs a request at a time and returns the times of its first event and
// its end.
func (e *engine) start(prompt, output int, now time.Time) (first, end time.Time) {
	prefill := time.Duration(e.slowdown * float64(prompt) * 20e3)
	from := now
	if e.prefillFree.After(now) {
		from = e.prefillFree
	}
	e.prefillFree = from.Add(prefill)
	first = e.prefillFree.Add(time.Duration(e.slowdown * 50e6))
	return first, first.Add(time.Duration(e.slowdown * float64(output) * 5e6))
}

// pattern is a load to be replayed.
type pattern struct {
	// rate multiplies the arrival rate at a time.
	rate func(at time.Duration) float64
	// tierRate additionally multiplies the arrival rate of one tier.
	tierRate func(tier int, at time.Duration) float64
	// down reports whether an engine is down at a time.
	down func(n int, at time.Duration) bool
	// cold is the start and the end of a cold start of engine 0; both 0 means
	// none.
	cold [2]time.Duration
	// retries is how many times a refused caller retries immediately.
	retries int
	// abandon is the fraction of callers that cancel after their objective if
	// nothing has arrived; the coordinator is notified unless noWithdraw is
	// set.
	abandon    float64
	noWithdraw bool
}

// event is a scheduled action of the replay.
type event struct {
	at time.Time
	do func(now time.Time)
	// n orders events of the same time by when they were scheduled.
	n int
}

// events is a heap of events by time.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].n < h[j].n
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// replay is one run of a pattern against a coordinator.
type replay struct {
	c       *coordinator.Coordinator
	engines map[string]*engine
	heap    events
	// n counts the scheduled events.
	n        int
	requests map[uint64]replayed
	// ids is the ID of the last admission request.
	ids uint64
	// submitted, inTime, late and refused count requests by tier.
	submitted, inTime, late, refused [3]int
	// wasted is the total time that refused requests waited.
	wasted time.Duration
	pattern
	// ended holds the requests that run or were refused, cancelled those whose
	// caller cancelled before that.
	ended, cancelled map[uint64]bool
	rnd              *rand.Rand
}

// crashes returns the number of crashes of all engines.
func (r *replay) crashes() (n int) {
	for _, e := range r.engines {
		n += e.crashes
	}
	return n
}

// add adds the counts of another replay.
func (r *replay) add(o *replay) {
	for tier := range r.submitted {
		r.submitted[tier] += o.submitted[tier]
		r.inTime[tier] += o.inTime[tier]
		r.late[tier] += o.late[tier]
		r.refused[tier] += o.refused[tier]
	}
	r.wasted += o.wasted
}

// replayed is a request of the replay.
type replayed struct {
	kind
	prompt, output int
	at             time.Time
	// retried counts the retries of the caller.
	retried int
}

// run replays a pattern for a time on four engines of one failure domain, two
// of which are slow.
func run(p pattern, seed uint64, length time.Duration, options ...func(*coordinator.Coordinator)) *replay {
	r := &replay{c: newCoordinator(), engines: map[string]*engine{}, requests: map[uint64]replayed{}, pattern: p, cancelled: map[uint64]bool{}, ended: map[uint64]bool{}, rnd: rand.New(rand.NewPCG(seed, 8))}
	for _, o := range options {
		o(r.c)
	}
	var entries []registrar.Entry
	for i, slowdown := range []float64{0.6, 0.6, 1.7, 1.7} {
		e := &engine{id: fmt.Sprint("engine-", i), slowdown: slowdown, down: func(time.Duration) bool { return false }}
		if p.down != nil {
			e.down = func(at time.Duration) bool { return p.down(i, at) }
		}
		if i == 0 {
			e.coldFrom, e.coldTo = p.cold[0], p.cold[1]
		}
		r.engines[e.id] = e
		entries = append(entries, registrar.Entry{ID: e.id, Pool: "engines", Domain: "d", Slots: 6})
	}
	r.c.SetUpstreams(entries, start)
	if p.cold[1] > 0 {
		r.schedule(start.Add(p.cold[0]), func(now time.Time) {
			restarted := slices.Clone(entries)
			restarted[0].Born, restarted[0].ColdUntil = 1, start.Add(p.cold[1])
			r.c.SetUpstreams(restarted, now)
		})
	}
	rnd := rand.New(rand.NewPCG(seed, 7))
	for _, k := range kinds {
		for at := time.Duration(0); at < length; {
			factor := p.rate(at)
			if p.tierRate != nil {
				factor *= p.tierRate(k.tier, at)
			}
			at += time.Duration(rnd.ExpFloat64() / (k.perSecond * factor) * float64(time.Second))
			x := replayed{
				kind:   k,
				prompt: int(k.prompt * math.Exp(rnd.NormFloat64()*0.8-0.32)),
				output: int(k.output*math.Exp(rnd.NormFloat64()-0.5)) + 4,
				at:     start.Add(at),
			}
			r.schedule(x.at, func(now time.Time) { r.submit(x, now) })
		}
	}
	// Empty events advance the coordinator at least every 20 ms.
	for at := time.Duration(0); at < length+15*time.Second; at += 20 * time.Millisecond {
		r.schedule(start.Add(at), func(time.Time) {})
	}
	for len(r.heap) > 0 {
		e := heap.Pop(&r.heap).(event)
		e.do(e.at)
		r.apply(r.c.Advance(e.at), e.at)
	}
	return r
}

// schedule adds an event.
func (r *replay) schedule(at time.Time, do func(time.Time)) {
	r.n++
	heap.Push(&r.heap, event{at: at, do: do, n: r.n})
}

// submit sends a request to the coordinator.
func (r *replay) submit(x replayed, now time.Time) {
	r.ids++
	id := r.ids
	r.requests[id] = x
	if x.retried == 0 {
		r.submitted[x.tier]++
	}
	r.c.Admit("entry", coordinator.Request{
		ID: id, Pool: "engines", Tier: x.tier, Objective: x.objective, Age: now.Sub(x.at), Left: x.deadline - now.Sub(x.at),
		Prompt: x.prompt, Output: x.output,
	}, now)
	if r.rnd.Float64() < r.pattern.abandon {
		r.schedule(now.Add(x.objective), func(time.Time) { r.cancel(id) })
	}
}

// cancel cancels a request for its caller unless it runs already or was refused.
func (r *replay) cancel(id uint64) {
	if r.ended[id] {
		return
	}
	r.cancelled[id] = true
	if !r.noWithdraw {
		r.c.Withdraw("entry", id)
	}
}

// apply carries out decisions: it retries or counts refused requests and runs
// the others on their engines.
func (r *replay) apply(decisions []coordinator.Decision, now time.Time) {
	for _, d := range decisions {
		x := r.requests[d.ID]
		if d.Upstream == "" {
			r.ended[d.ID] = true
		}
		if d.Upstream == "" && x.retried < r.retries {
			x.retried++
			r.schedule(now.Add(time.Millisecond), func(now time.Time) { r.submit(x, now) })
			continue
		}
		if d.Upstream == "" {
			r.refused[x.tier]++
			r.wasted += now.Sub(x.at)
			continue
		}
		e := r.engines[d.Upstream]
		if !e.accept(now.Sub(start)) {
			r.schedule(now.Add(time.Millisecond), func(now time.Time) {
				r.c.Finish("entry", coordinator.Finish{ID: d.ID, Ending: coordinator.ConnectFailed}, now)
				r.c.Admit("entry", coordinator.Request{
					ID: d.ID, Pool: "engines", Tier: x.tier, Objective: x.objective, Age: now.Sub(x.at), Left: x.deadline - now.Sub(x.at),
					Prompt: x.prompt, Output: x.output, Exclude: []string{d.Upstream},
				}, now)
			})
			continue
		}
		first, end := e.start(x.prompt, x.output, now)
		r.ended[d.ID] = true
		switch {
		case r.cancelled[d.ID]:
			// No caller waits for the result.
		case first.Sub(x.at) <= x.objective:
			r.inTime[x.tier]++
		default:
			r.late[x.tier]++
		}
		r.schedule(first, func(time.Time) {
			r.c.Progress("entry", coordinator.Progress{ID: d.ID, FirstToken: first.Sub(now)}, first)
		})
		r.schedule(end, func(at time.Time) {
			r.c.Finish("entry", coordinator.Finish{
				ID: d.ID, Ending: coordinator.Complete, FirstToken: first.Sub(now),
				Generating: end.Sub(first), Tokens: x.output, Total: end.Sub(now),
			}, at)
		})
	}
}

// fractionInTime returns the fraction of a tier's requests that met their
// objective.
func (r *replay) fractionInTime(tier int) float64 {
	return float64(r.inTime[tier]) / float64(r.submitted[tier])
}

// newCoordinator returns a coordinator of one failure domain.
func newCoordinator(opts ...coordinator.Option) *coordinator.Coordinator {
	c := coordinator.New("process", coordinator.Bounds{RetryRatio: 0.2, RetryAllowance: 58, RetryWindow: 10 * time.Second, ColdFactor: 1.5, ColdAllowance: 5}, opts...)
	t, err := router.NewTable(router.Document{Version: 1, Pools: []router.Pool{{Name: "engines", ColdRate: 13}}})
	if err != nil {
		panic(err)
	}
	c.SetTable(t, start)
	c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Regions: map[string]string{"d": "r"}}, start)
	return c
}

var start = time.Unix(1000, 0)

// between returns a rate that is high between two times and 1 otherwise.
func between(from, to time.Duration, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return 1
	}
}

// TestHighestTierMeetsItsObjective replays loads under which the highest tier
// must still be served in time, because the lower ones can yield.
func TestHighestTierMeetsItsObjective(t *testing.T) {
	const target = 0.9
	tests := map[string]pattern{
		"base load":                  {rate: between(0, 0, 1)},
		"burst of 1.5":               {rate: between(5*time.Second, 8*time.Second, 1.5)},
		"burst of 2":                 {rate: between(5*time.Second, 8*time.Second, 2)},
		"one engine down":            {rate: between(0, 0, 1), down: func(n int, at time.Duration) bool { return n == 3 && at > 5*time.Second && at < 9*time.Second }},
		"burst with one engine down": {rate: between(5*time.Second, 7*time.Second, 1.5), down: func(n int, at time.Duration) bool { return n == 2 && at > 5*time.Second && at < 9*time.Second }},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			r := run(p, 1, 20*time.Second)
			if got := r.fractionInTime(0); got < target {
				t.Errorf("%.3f of the highest tier in time, want at least %.2f (submitted %v, in time %v, late %v, refused %v)", got, target, r.submitted, r.inTime, r.late, r.refused)
			}
		})
	}
}

// TestOrderBySlack replays a burst with and without the order by slack within a
// tier. Without it, requests are served in order of arrival, each just too
// late, and the whole tier misses its objective.
func TestOrderBySlack(t *testing.T) {
	p := pattern{rate: between(4*time.Second, 9*time.Second, 2.6)}
	with, without := 0, 0
	for seed := range uint64(8) {
		on := run(p, seed, 14*time.Second)
		off := run(p, seed, 14*time.Second, (*coordinator.Coordinator).OrderByTierOnly)
		with += on.inTime[1]
		without += off.inTime[1]
	}
	t.Logf("middle tier in time: %d with the order by slack, %d without", with, without)
	if with <= without {
		t.Errorf("%d in time with the order by slack, want more than the %d without", with, without)
	}
}

// TestEveryRequestEndsOnce checks that every request ends exactly once under
// overload.
func TestEveryRequestEndsOnce(t *testing.T) {
	r := run(pattern{rate: between(2*time.Second, 6*time.Second, 4)}, 3, 10*time.Second)
	for tier := range r.submitted {
		if got := r.inTime[tier] + r.late[tier] + r.refused[tier]; got != r.submitted[tier] {
			t.Errorf("tier %d: %d of %d requests ended", tier, got, r.submitted[tier])
		}
	}
	if s := r.c.Summary(start.Add(time.Minute)); s.Free["engines"] != 24 {
		t.Errorf("%d slots free at the end, want all 24", s.Free["engines"])
	}
}
