package coordinator_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// releasePattern is the load during a rolling release of the engines.
type releasePattern struct {
	// load is the rate of new streams relative to the capacity.
	load float64
	// engines is the number of engines, breaks the fraction of streams that an engine
	// breaks off.
	engines int
	breaks  float64
	// crashes is set if an engine breaks off all of its streams every 2 s.
	crashes bool
	// unbound drops the versions of the requests.
	unbound bool
}

// stream is a stream of the replay, which is taken up again each time it is broken off.
type stream struct {
	// version is that of the engine that began it, empty before; engine is the last one
	// that ran it.
	version, engine string
	running         bool
	// admitted is the time of the last admission request.
	admitted time.Time
	// counted is set if two upstreams of the version served at that time.
	counted bool
}

// outcomes counts admission requests that got a slot and that were refused.
type outcomes struct{ granted, refused int }

// add counts a decision.
func (o *outcomes) add(granted bool) {
	if granted {
		o.granted++
	} else {
		o.refused++
	}
}

// share returns the fraction of the requests that got a slot.
func (o outcomes) share() float64 { return float64(o.granted) / float64(o.granted+o.refused) }

// release is one replay of a rolling release: each engine leaves twice and comes back at
// the next version, so that three versions serve for a while.
type release struct {
	releasePattern
	c       *coordinator.Coordinator
	heap    events
	n       int
	ids     uint64
	rnd     *rand.Rand
	entries map[string]registrar.Entry
	streams map[uint64]*stream
	// begun are new streams, resumed those taken up again by version, while two
	// engines of the version served. calls are of a higher tier.
	begun, calls outcomes
	resumed      map[string]*outcomes
	// mixed counts the streams that went on at another version, versions is the
	// largest number of versions that served at once.
	mixed, versions int
}

const (
	engineSlots = 6
	// callsShare is the fraction of the capacity that calls of a higher tier take.
	callsShare   = 0.25
	meanCall     = 250 * time.Millisecond
	meanStream   = 800 * time.Millisecond
	firstEvent   = 100 * time.Millisecond
	releaseStart = 2 * time.Second
	releaseEnd   = 22 * time.Second
	absence      = 700 * time.Millisecond
	warmUp       = 700 * time.Millisecond
	callTier     = 0
	streamTier   = 1
)

// schedule adds an event.
func (r *release) schedule(at time.Time, do func(time.Time)) {
	r.n++
	heap.Push(&r.heap, event{at: at, do: do, n: r.n})
}

// serving returns the number of engines of a version that may get new requests.
func (r *release) serving(version string) (n int) {
	for _, e := range r.entries {
		if e.Version == version {
			n++
		}
	}
	return n
}

// runRelease replays a pattern.
func runRelease(p releasePattern, seed uint64) *release {
	r := &release{
		releasePattern: p, c: newCoordinator(), rnd: rand.New(rand.NewPCG(seed, 9)),
		entries: map[string]registrar.Entry{}, streams: map[uint64]*stream{}, resumed: map[string]*outcomes{},
	}
	for i := range p.engines {
		e := registrar.Entry{ID: fmt.Sprint("engine-", i), Pool: "engines", Domain: "d", Slots: engineSlots, Version: "v1"}
		r.entries[e.ID] = e
		r.replace(start, e, releaseStart, i, "v2")
		r.replace(start, e, releaseStart+(releaseEnd-releaseStart)/3, i, "v3")
	}
	r.setUpstreams(start)
	slots := float64(p.engines * engineSlots)
	r.arrivals(slots*callsShare/meanCall.Seconds(), r.call)
	r.arrivals(slots*(p.load-callsShare)/meanStream.Seconds(), func(now time.Time) { r.admit(&stream{}, now) })
	for at := time.Duration(0); at < releaseEnd+10*time.Second; at += 10 * time.Millisecond {
		r.schedule(start.Add(at), func(time.Time) {})
	}
	for at := 3 * time.Second; p.crashes && at < releaseEnd; at += 2 * time.Second {
		r.schedule(start.Add(at), r.crash)
	}
	for len(r.heap) > 0 {
		e := heap.Pop(&r.heap).(event)
		e.do(e.at)
		r.apply(r.c.Advance(e.at), e.at)
	}
	return r
}

// arrivals schedules requests at random times.
func (r *release) arrivals(perSecond float64, do func(time.Time)) {
	for at := time.Duration(0); at < releaseEnd; {
		at += time.Duration(r.rnd.ExpFloat64() / perSecond * float64(time.Second))
		r.schedule(start.Add(at), do)
	}
}

// replace lets an engine leave in its turn and come back at a version.
func (r *release) replace(now time.Time, e registrar.Entry, from time.Duration, turn int, version string) {
	at := now.Add(from + (releaseEnd-releaseStart)*2/3/time.Duration(r.engines)*time.Duration(turn))
	r.schedule(at, func(now time.Time) {
		delete(r.entries, e.ID)
		r.setUpstreams(now)
	})
	r.schedule(at.Add(absence), func(now time.Time) {
		e.Version, e.Born, e.ColdUntil = version, now.UnixMilli(), now.Add(warmUp)
		r.entries[e.ID] = e
		r.setUpstreams(now)
	})
}

// setUpstreams passes the engines to the coordinator.
func (r *release) setUpstreams(now time.Time) {
	var list []registrar.Entry
	versions := map[string]bool{}
	for _, e := range r.entries {
		list = append(list, e)
		versions[e.Version] = true
	}
	r.versions = max(r.versions, len(versions))
	r.c.SetUpstreams(list, now)
}

// call admits a request of the higher tier.
func (r *release) call(now time.Time) {
	r.ids++
	r.c.Admit("entry", coordinator.Request{ID: r.ids, Pool: "engines", Tier: callTier, Objective: 300 * time.Millisecond, Left: 3 * time.Second}, now)
}

// admit admits a stream: a new one, or one that is taken up again, sometimes by a host
// that knows at which engine it was broken off.
func (r *release) admit(s *stream, now time.Time) {
	r.ids++
	q := coordinator.Request{ID: r.ids, Pool: "engines", Tier: streamTier, Objective: 500 * time.Millisecond, Left: 8 * time.Second, Version: s.version}
	if s.version != "" && r.rnd.IntN(2) == 0 {
		q.Age, q.Exclude = 700*time.Millisecond, []string{s.engine}
	}
	if r.unbound {
		q.Version = ""
	}
	s.admitted, s.counted = now, r.serving(s.version) >= 2
	r.streams[r.ids] = s
	r.c.Admit("entry", q, now)
}

// crash lets a random engine break off its streams.
func (r *release) crash(now time.Time) {
	engine := fmt.Sprint("engine-", r.rnd.IntN(r.engines))
	last := r.ids
	for id := uint64(1); id <= last; id++ {
		if s := r.streams[id]; s != nil && s.running && s.engine == engine {
			r.breakOff(id, now)
		}
	}
}

// breakOff ends a running stream before its end; it is taken up again.
func (r *release) breakOff(id uint64, now time.Time) {
	s := r.streams[id]
	if s == nil {
		return
	}
	delete(r.streams, id)
	r.c.Finish("entry", coordinator.Finish{ID: id, Ending: coordinator.ConnectionLost, Total: firstEvent}, now)
	r.schedule(now.Add(time.Duration(r.rnd.IntN(100))*time.Millisecond), func(now time.Time) { r.admit(&stream{version: s.version, engine: s.engine}, now) })
}

// finish ends a request.
func (r *release) finish(id uint64, total time.Duration, now time.Time) {
	delete(r.streams, id)
	r.c.Finish("entry", coordinator.Finish{ID: id, Ending: coordinator.Complete, Total: total}, now)
}

// apply carries out decisions.
func (r *release) apply(decisions []coordinator.Decision, now time.Time) {
	for _, d := range decisions {
		s := r.streams[d.ID]
		if s == nil {
			r.calls.add(d.Upstream != "")
			if d.Upstream != "" {
				total := time.Duration(r.rnd.ExpFloat64() * float64(meanCall))
				r.schedule(now.Add(total), func(now time.Time) { r.finish(d.ID, total, now) })
			}
			continue
		}
		r.count(s, d)
		if d.Upstream == "" {
			delete(r.streams, d.ID)
			continue
		}
		s.engine, s.running = d.Upstream, true
		if s.version == "" {
			s.version = r.entries[d.Upstream].Version
		}
		total := firstEvent + time.Duration(r.rnd.ExpFloat64()*float64(meanStream-firstEvent))
		if r.rnd.Float64() < r.breaks {
			r.schedule(now.Add(firstEvent+time.Duration(r.rnd.Float64()*float64(total-firstEvent))), func(now time.Time) { r.breakOff(d.ID, now) })
			continue
		}
		r.schedule(now.Add(total), func(now time.Time) {
			if r.streams[d.ID] != nil {
				r.finish(d.ID, total, now)
			}
		})
	}
}

// count counts the decision on a stream.
func (r *release) count(s *stream, d coordinator.Decision) {
	if s.version == "" {
		r.begun.add(d.Upstream != "")
		return
	}
	if d.Upstream != "" && r.entries[d.Upstream].Version != s.version {
		r.mixed++
		return
	}
	if !s.counted || r.serving(s.version) < 2 {
		return
	}
	if r.resumed[s.version] == nil {
		r.resumed[s.version] = &outcomes{}
	}
	r.resumed[s.version].add(d.Upstream != "")
}

// TestStreamsGoOnDuringRollingRelease replays a rolling release under full load. No stream
// goes on at another version. While two engines of their version serve, streams that are
// taken up again get a slot at least half as often as new ones.
func TestStreamsGoOnDuringRollingRelease(t *testing.T) {
	// minResumed is the number of streams taken up again from which the bound holds.
	const minResumed, minRatio = 12, 0.5
	tests := map[string]releasePattern{
		"below capacity":           {load: 0.7, engines: 9, breaks: 0.1},
		"full load":                {load: 1.2, engines: 9, breaks: 0.1},
		"twice the capacity":       {load: 2, engines: 9, breaks: 0.1},
		"many streams broken off":  {load: 1.2, engines: 9, breaks: 0.4},
		"engines crash":            {load: 1.2, engines: 9, breaks: 0.05, crashes: true},
		"engines crash, few slots": {load: 1.5, engines: 6, breaks: 0.05, crashes: true},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				r := runRelease(p, seed)
				if r.versions < 3 {
					t.Fatalf("%d versions served at once, want 3", r.versions)
				}
				if r.mixed > 0 {
					t.Errorf("seed %d: %d streams went on at another version", seed, r.mixed)
				}
				t.Logf("seed %d: new streams %+v, calls %+v", seed, r.begun, r.calls)
				for version, o := range r.resumed {
					t.Logf("seed %d: streams of %s taken up again %+v", seed, version, *o)
					if n := o.granted + o.refused; n >= minResumed && o.share() < minRatio*r.begun.share() {
						t.Errorf("seed %d: %.2f of %d streams of %s taken up again got a slot, want at least half of the %.2f of new ones", seed, o.share(), n, version, r.begun.share())
					}
				}
			}
		})
	}
}

// TestBoundRequestsDoNotHoldUpOthers replays the same load with requests that are bound to
// a version and with requests that may run at any: about as many new streams and calls get
// a slot.
func TestBoundRequestsDoNotHoldUpOthers(t *testing.T) {
	// minRatio leaves room for the slots that the preferred requests get, at most as many
	// as there are streams taken up again.
	const minRatio = 0.9
	var bound, unbound [2]int
	for seed := range uint64(4) {
		p := releasePattern{load: 1.2, engines: 9, breaks: 0.1}
		with := runRelease(p, seed)
		p.unbound = true
		without := runRelease(p, seed)
		bound[0], bound[1] = bound[0]+with.begun.granted, bound[1]+with.calls.granted
		unbound[0], unbound[1] = unbound[0]+without.begun.granted, unbound[1]+without.calls.granted
	}
	t.Logf("new streams and calls granted: %v with bound requests, %v without", bound, unbound)
	for i := range bound {
		if float64(bound[i]) < minRatio*float64(unbound[i]) {
			t.Errorf("%v new streams and calls granted, want at least %v of the %v without versions", bound, minRatio, unbound)
		}
	}
}
