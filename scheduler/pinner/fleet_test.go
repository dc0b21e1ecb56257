package pinner_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"foxtaillug.org/scheduler/pinner"
)

const (
	// tick is the resolution of the simulated time.
	tick = 10 * time.Millisecond
	// batchInterval is the time between two batches of copies.
	batchInterval = 50 * time.Millisecond
	// maxTransit bounds the time of a message, and answerTimeout that of an inquiry.
	maxTransit    = 30 * time.Millisecond
	answerTimeout = 150 * time.Millisecond
	// maxLag bounds by how much a directory that counts as up to date is behind.
	maxLag = 2 * time.Second
	// maxServing is for how long upstreams serve that have left the directory.
	maxServing = 25 * time.Second
	// detection is the time after which hosts know that another one is dead.
	detection = time.Second
)

// state is what the platform's store says from a time on: the origins in service for each
// route.
type state struct {
	at       time.Duration
	possible map[string][]pinner.Origin
}

// usage is an origin of a route's streams.
type usage struct {
	route  string
	origin pinner.Origin
}

// message is a copy or an inquiry on its way, or the answer to one.
type message struct {
	at      time.Duration
	to      int
	deliver func()
}

// host is a process of the fleet.
type host struct {
	*pinner.Pinner
	domain int
	// alive is whether the process runs, and startedAt and diedAt are when it began or
	// ended to.
	alive             bool
	startedAt, diedAt time.Duration
	// suspendedUntil is when it goes on.
	suspendedUntil time.Duration
	// lag is by how much its directory is behind now, viewAt the time up to which it
	// has seen the store, and cutOff whether it is cut off from it.
	lag, viewAt, observedAt time.Duration
	cutOff                  bool
	// view is the index of the last state that it has seen, and seenAt says when each
	// origin appeared on a route in what it has seen.
	view   int
	seenAt map[usage]time.Duration
}

// stream is one that a caller reads.
type stream struct {
	key    pinner.Key
	route  string
	origin pinner.Origin
	host   int
	// process is that of the host that serves the stream.
	process *pinner.Pinner
	// beganAt is the time of the first event, and breaksAt that of its loss.
	beganAt, breaksAt time.Duration
	// servedAt is when the last host began to serve it, and lostAfter for how long it
	// did.
	servedAt, lostAfter time.Duration
	inquiring           bool
}

// outcome is what came of an inquiry.
type outcome struct {
	stream
	found, wrong bool
	at           time.Duration
}

// fleet is a simulated fleet that serves streams.
type fleet struct {
	rand    *rand.Rand
	now     time.Duration
	hosts   []*host
	streams []*stream
	states  []state
	sent    []message
	nextKey pinner.Key
	// appearedAt says when each origin last became possible for a route, and leftAt when
	// it was so last.
	appearedAt, leftAt map[usage]time.Duration
	outcomes           []outcome

	// loss is the fraction of messages that are lost, and split whether the domains
	// 0 and 1 are cut off from each other.
	loss  float64
	split bool
	// isolated is a host that no messages reach or leave, nil if there is none.
	isolated *host
	// fleetLag bounds the lag of directories, and hold is for how long hosts have seen
	// an origin before they use it.
	fleetLag, hold time.Duration
}

func newFleet(seed uint64, hosts, domains int, first state) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 1)), fleetLag: maxLag, states: []state{first},
		appearedAt: make(map[usage]time.Duration), leftAt: make(map[usage]time.Duration),
	}
	for i := range hosts {
		f.hosts = append(f.hosts, &host{domain: i % domains})
		f.start(i)
	}
	return f
}

// upTo returns a random duration from zero to less than another.
func (f *fleet) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(f.rand.Int64N(int64(d)))
}

// time returns the time of a host's clock.
func (f *fleet) time() time.Time { return start.Add(f.now) }

// start replaces the process of a host by one that knows nothing.
func (f *fleet) start(i int) {
	h := f.hosts[i]
	*h = host{
		Pinner: pinner.New(), domain: h.domain, alive: true, startedAt: f.now, lag: f.upTo(f.fleetLag), cutOff: h.cutOff,
		seenAt: make(map[usage]time.Duration),
	}
	h.viewAt = max(f.now-h.lag, 0)
	for h.view+1 < len(f.states) && f.states[h.view+1].at <= h.viewAt {
		h.view++
	}
	f.see(h)
}

// see lets a host observe the state that its directory shows.
func (f *fleet) see(h *host) {
	possible := f.states[h.view].possible
	seenAt := make(map[usage]time.Duration)
	for route, origins := range possible {
		for _, o := range origins {
			at, known := h.seenAt[usage{route, o}]
			if !known {
				at = f.now
			}
			seenAt[usage{route, o}] = at
		}
	}
	h.seenAt, h.observedAt = seenAt, f.now
	h.Observe(possible, f.now-h.viewAt <= maxLag, window, f.time())
}

// change lets the store say something else from now on.
func (f *fleet) change(possible map[string][]pinner.Origin) {
	f.states = append(f.states, state{f.now, possible})
}

// running reports whether a host processes events now.
func (f *fleet) running(h *host) bool { return h.alive && f.now >= h.suspendedUntil }

// connected reports whether messages from one host arrive at another.
func (f *fleet) connected(a, b *host) bool {
	return a != f.isolated && b != f.isolated && (a.domain == b.domain || !f.split || a.domain > 1 || b.domain > 1)
}

// send delivers a message to a process later, unless it is lost.
func (f *fleet) send(from, to int, deliver func()) {
	if !f.connected(f.hosts[from], f.hosts[to]) || f.rand.Float64() < f.loss {
		return
	}
	process := f.hosts[to].Pinner
	f.sent = append(f.sent, message{f.now + f.upTo(maxTransit), to, func() {
		if f.hosts[to].Pinner == process && f.hosts[to].alive {
			deliver()
		}
	}})
}

// others returns the hosts that a host takes to be alive.
func (f *fleet) others(i int) (list []pinner.Host) {
	for j, h := range f.hosts {
		if j != i && (h.alive || f.now-h.diedAt < detection) {
			list = append(list, pinner.Host{ID: strconv.Itoa(j), Domain: strconv.Itoa(h.domain)})
		}
	}
	return list
}

// share sends copies of records to the hosts that hold them.
func (f *fleet) share(i int, copies []pinner.Copy) {
	if len(copies) == 0 {
		return
	}
	others := f.others(i)
	slices.SortFunc(copies, func(a, b pinner.Copy) int { return cmp.Compare(a.Key, b.Key) })
	for _, c := range copies {
		for _, holder := range pinner.Holders(c.Key, strconv.Itoa(f.hosts[i].domain), others) {
			to, _ := strconv.Atoi(holder.ID)
			until := f.time().Add(c.Left)
			f.send(i, to, func() { f.hosts[to].Receive(c.Key, c.Origin, until, f.time()) })
		}
	}
}

// stop ends a process as planned, after it has handed over its records.
func (f *fleet) stop(i int) {
	f.share(i, f.hosts[i].All(f.time()))
	f.kill(i)
}

// kill ends a process.
func (f *fleet) kill(i int) { f.hosts[i].alive, f.hosts[i].diedAt = false, f.now }

// serves reports whether an upstream of an origin responds now to a route's requests.
func (f *fleet) serves(u usage) bool {
	at, ok := f.leftAt[u]
	return ok && f.now-at <= maxServing
}

// begin lets a caller begin a stream at a host.
func (f *fleet) begin(i int, route string) {
	h := f.hosts[i]
	var usable []pinner.Origin
	for _, o := range f.states[h.view].possible[route] {
		if f.serves(usage{route, o}) && f.now-h.seenAt[usage{route, o}] >= f.hold {
			usable = append(usable, o)
		}
	}
	if !f.running(h) || len(usable) == 0 {
		return
	}
	f.nextKey++
	s := &stream{key: f.nextKey, route: route, origin: usable[f.rand.IntN(len(usable))], beganAt: f.now}
	f.streams = append(f.streams, s)
	f.serve(s, i)
}

// serve lets a host serve a stream for a random time.
func (f *fleet) serve(s *stream, i int) {
	s.host, s.process, s.servedAt, s.inquiring = i, f.hosts[i].Pinner, f.now, false
	s.breaksAt = f.now + f.upTo(window-answerTimeout-2*tick)
	if f.rand.IntN(3) == 0 {
		s.breaksAt = f.now + f.upTo(time.Second)
	}
	s.process.Record(s.key, s.route, s.origin, f.time().Add(window), f.time())
}

// takeUp lets a caller take a stream up again at a host.
func (f *fleet) takeUp(s *stream, i int) {
	h := f.hosts[i]
	s.inquiring = true
	sources := pinner.Sources(s.key, f.others(i))
	q := pinner.NewInquiry(h.Answer(s.key, s.route, f.time()), len(sources), len(f.hosts) == 1)
	for _, source := range sources {
		j, _ := strconv.Atoi(source.ID)
		f.send(i, j, func() {
			a := f.hosts[j].Answer(s.key, s.route, f.time())
			f.send(j, i, func() { q.Add(a) })
		})
	}
	f.await(s, i, q, f.now+answerTimeout)
}

// await ends an inquiry when it is done or late.
func (f *fleet) await(s *stream, i int, q *pinner.Inquiry, deadline time.Duration) {
	process := f.hosts[i].Pinner
	f.sent = append(f.sent, message{f.now + tick, i, func() {
		if f.hosts[i].Pinner != process || !f.hosts[i].alive {
			s.inquiring = false
			return
		}
		if !q.Done() && f.now < deadline {
			f.await(s, i, q, deadline)
			return
		}
		o, found := q.Origin()
		f.outcomes = append(f.outcomes, outcome{*s, found, found && o != s.origin, f.now})
		if found && o == s.origin && f.rand.IntN(2) == 0 && f.serves(usage{s.route, o}) && slices.Contains(f.states[f.hosts[i].view].possible[s.route], o) {
			f.serve(s, i)
			return
		}
		s.key = 0
	}})
}

// advance processes the events until the next tick.
func (f *fleet) advance() {
	f.now += tick
	for route, origins := range f.states[len(f.states)-1].possible {
		for _, o := range origins {
			u := usage{route, o}
			if at, ok := f.leftAt[u]; !ok || f.now-at > tick {
				f.appearedAt[u] = f.now
			}
			f.leftAt[u] = f.now
		}
	}
	f.deliver()
	for i, h := range f.hosts {
		if f.running(h) {
			f.run(i)
		}
	}
	f.lose()
}

// deliver processes the messages that are due. A suspended host does so when it goes on,
// before it observes anything.
func (f *fleet) deliver() {
	due := f.sent
	f.sent = nil
	for _, m := range due {
		if m.at > f.now || f.hosts[m.to].alive && !f.running(f.hosts[m.to]) {
			f.sent = append(f.sent, m)
			continue
		}
		m.deliver()
	}
}

// run lets a host read its directory and send copies.
func (f *fleet) run(i int) {
	h := f.hosts[i]
	if f.rand.IntN(100) == 0 {
		h.lag = f.upTo(f.fleetLag)
	}
	if !h.cutOff {
		h.viewAt = max(h.viewAt, f.now-h.lag)
	}
	for h.view+1 < len(f.states) && f.states[h.view+1].at <= h.viewAt {
		h.view++
		f.see(h)
	}
	if f.now-h.observedAt >= interval {
		f.see(h)
	}
	if f.now%time.Second == 0 {
		h.Prune(f.time())
	}
	if (f.now+time.Duration(i)*tick)%batchInterval == 0 {
		f.share(i, h.Unshared(f.time()))
	}
}

// lose lets callers take streams up that broke, at random hosts, as long as they may.
func (f *fleet) lose() {
	f.streams = slices.DeleteFunc(f.streams, func(s *stream) bool { return s.key == 0 })
	for _, s := range f.streams {
		h := f.hosts[s.host]
		if s.inquiring || f.now < s.breaksAt && h.alive && h.Pinner == s.process {
			continue
		}
		if s.breaksAt > 0 {
			s.breaksAt, s.lostAfter = 0, f.now-s.servedAt
		}
		if i := f.rand.IntN(len(f.hosts)); f.running(f.hosts[i]) {
			f.takeUp(s, i)
		}
	}
}
