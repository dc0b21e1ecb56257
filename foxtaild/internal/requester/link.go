package requester

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"foxtaillug.org/contract/peerv1"
	"foxtaillug.org/foxtaild/internal/messenger"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
)

const (
	// heartbeatInterval is the maximum time between two frames on a stream with
	// pending requests. Grants are valid from the send time of the frame that
	// the owner read last, so that frame must be recent.
	heartbeatInterval = 100 * time.Millisecond
	// reconnectDelay is the minimum time before a failed stream is opened again.
	reconnectDelay = 300 * time.Millisecond
	// summaryTTL is how long an owner's summary is used.
	summaryTTL = time.Second
	// stoppingBackoff is how long a stopping owner receives no new requests.
	stoppingBackoff = 3 * time.Second
	// silenceTimeout is the maximum time without a frame from an owner that has
	// pending requests.
	silenceTimeout = 2 * time.Second
)

// errStreamFailed is returned for requests that were pending when the stream to
// the owner failed.
var errStreamFailed = eris.New("stream to the owner failed")

// result is the owner's decision on an admission request.
type result struct {
	slot *slot
	err  error
}

// pending is an admission request that waits for a decision.
type pending struct {
	request request
	result  chan result
}

// summary is the load of a pool that the owner reported last.
type summary struct {
	slots, running, queued int
	receivedAt             time.Time
	// sent is the number of requests sent to the owner since.
	sent int
}

// link is the stream to one owner. It is opened at first use, and at the next
// use after it failed.
type link struct {
	ctx       context.Context
	owner     scheduler.HostID
	self      scheduler.HostID
	messenger *messenger.Messenger
	// epoch is the time that the send times in frames count from.
	epoch time.Time

	mu   sync.Mutex
	open bool
	// hostSent is whether the first frame, which names this host, was sent.
	hostSent     bool
	failedAt     time.Time
	lastReceived time.Time
	// avoidUntil is the time until which a stopping owner receives no new
	// requests.
	avoidUntil time.Time
	// out is the next frame to send.
	out       peerv1.EntryFrame
	outReady  chan struct{}
	pending   map[uint64]*pending
	summaries map[scheduler.PoolID]*summary
}

// newLink returns a link that opens its stream at first use.
func newLink(ctx context.Context, owner, self scheduler.HostID, m *messenger.Messenger) *link {
	return &link{
		ctx:       ctx,
		owner:     owner,
		self:      self,
		messenger: m,
		epoch:     time.Now(),
		outReady:  make(chan struct{}, 1),
		pending:   make(map[uint64]*pending),
		summaries: make(map[scheduler.PoolID]*summary),
	}
}

// unavailable reports whether the owner is to be skipped because its stream
// failed recently or because it is stopping.
func (l *link) unavailable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.avoidUntil) || (!l.open && time.Since(l.failedAt) < reconnectDelay)
}

// avoid makes the owner unavailable for a while because it is stopping.
func (l *link) avoid() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidUntil = time.Now().Add(stoppingBackoff)
}

// setLoad sets the load of a candidate from the owner's last summary of a pool.
// Requests sent since then count as load.
func (l *link) setLoad(pool scheduler.PoolID, c *candidate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.summaries[pool]
	if !ok {
		return
	}
	c.load = s.running + s.queued + s.sent
	if time.Since(s.receivedAt) > summaryTTL {
		c.load = s.sent
		return
	}
	c.slots = s.slots
	c.hasRoom = s.running+s.queued+s.sent < s.slots
}

// admit requests a slot from the owner and waits for the decision.
func (l *link) admit(ctx context.Context, req request, id uint64) (s *slot, err error) {
	p := &pending{request: req, result: make(chan result, 1)}
	l.mu.Lock()
	l.start()
	l.pending[id] = p
	l.out.Asks = append(l.out.Asks, &peerv1.Ask{
		Id:           id,
		Pool:         req.Pool,
		Workspace:    req.Workspace,
		Tier:         uint32(req.Tier),
		PromptTokens: uint32(req.Prompt),
		OutputTokens: uint32(req.Output),
		Prefix:       req.Prefix,
		Digest:       req.Digest,
		WaitMs:       uint32(max(time.Until(req.deadline).Milliseconds(), 0)),
		Trace:        req.trace,
	})
	l.summary(scheduler.PoolID(req.Pool)).sent++
	l.mu.Unlock()
	l.signal()
	select {
	case r := <-p.result:
		return r.slot, r.err
	case <-ctx.Done():
		return nil, l.withdraw(id, p)
	}
}

// summary returns the summary of a pool, an empty one at first use. The caller
// holds mu.
func (l *link) summary(pool scheduler.PoolID) *summary {
	s, ok := l.summaries[pool]
	if !ok {
		s = &summary{}
		l.summaries[pool] = s
	}
	return s
}

// withdraw cancels a pending request. A slot that was granted meanwhile is
// returned unused.
func (l *link) withdraw(id uint64, p *pending) error {
	l.mu.Lock()
	if _, ok := l.pending[id]; ok {
		delete(l.pending, id)
		l.out.Withdrawals = append(l.out.Withdrawals, id)
	}
	l.mu.Unlock()
	l.signal()
	select {
	case r := <-p.result:
		if r.slot != nil {
			r.slot.finish(admitter.NotRun, usage{})
		}
	default:
	}
	return &refusedError{reason: admitter.Late, owner: l.owner}
}

// signal makes write send the next frame.
func (l *link) signal() {
	select {
	case l.outReady <- struct{}{}:
	default:
	}
}

// start opens the stream if it is not open. The caller holds mu.
func (l *link) start() {
	if l.open {
		return
	}
	l.open = true
	l.hostSent = false
	l.lastReceived = time.Now()
	go l.run()
}

// run opens the stream and serves it until it ends.
func (l *link) run() {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	defer l.fail()
	client, err := l.messenger.Client(l.owner)
	if err != nil {
		return
	}
	stream, err := client.Schedule(ctx)
	if err != nil {
		return
	}
	defer func() { _ = stream.CloseResponse() }()
	go func() {
		defer cancel()
		for {
			f, err := stream.Receive()
			if err != nil {
				return
			}
			l.receive(f)
		}
	}()
	l.write(ctx, stream)
	_ = stream.CloseRequest()
}

// fail ends all pending requests. None of them has been dispatched to an
// upstream, so each may be sent to another owner. A frame that has not been sent
// yet is dropped.
func (l *link) fail() {
	l.mu.Lock()
	unanswered := l.pending
	l.pending = make(map[uint64]*pending)
	l.out = peerv1.EntryFrame{}
	l.open = false
	l.failedAt = time.Now()
	clear(l.summaries)
	l.mu.Unlock()
	for _, p := range unanswered {
		p.result <- result{err: errStreamFailed}
	}
}

// write sends frames until the stream ends.
func (l *link) write(ctx context.Context, stream *connect.BidiStreamForClientSimple[peerv1.EntryFrame, peerv1.OwnerFrame]) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		frame, alive := l.frame()
		if !alive {
			return
		}
		if frame != nil {
			if err := stream.Send(frame); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-l.outReady:
		case <-heartbeat.C:
		}
	}
}

// frame returns the next frame to send, or nil if it is empty and no request is
// pending. alive is false if the owner has sent nothing for too long.
func (l *link) frame() (frame *peerv1.EntryFrame, alive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) > 0 && time.Since(l.lastReceived) > silenceTimeout {
		return nil, false
	}
	empty := len(l.out.Asks)+len(l.out.Finishes)+len(l.out.Withdrawals) == 0
	if empty && len(l.pending) == 0 {
		l.lastReceived = time.Now()
		return nil, true
	}
	frame = &peerv1.EntryFrame{
		Asks:        l.out.Asks,
		Finishes:    l.out.Finishes,
		Withdrawals: l.out.Withdrawals,
		SentUs:      uint64(time.Since(l.epoch).Microseconds()),
	}
	if !l.hostSent {
		l.hostSent = true
		frame.Host = string(l.self)
	}
	l.out = peerv1.EntryFrame{}
	return frame, true
}

// receive handles a frame from the owner.
func (l *link) receive(f *peerv1.OwnerFrame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived = time.Now()
	echo := l.epoch.Add(time.Duration(f.EchoUs) * time.Microsecond)
	for _, g := range f.Grants {
		l.handleGrant(g, echo)
	}
	for _, r := range f.Refusals {
		l.resolve(r.Id, result{err: &refusedError{
			reason:     admitter.Reason(r.Reason),
			retryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
			owner:      l.owner,
		}})
	}
	for _, s := range f.Summaries {
		*l.summary(scheduler.PoolID(s.Pool)) = summary{
			slots: int(s.Slots), running: int(s.Running), queued: int(s.Queued), receivedAt: l.lastReceived,
		}
	}
}

// handleGrant turns a grant into a slot. The expiry is computed from the send time
// of the last frame that the owner had read before it granted the slot, so it is
// never later than the owner's own. If the request is no longer pending, the slot
// is returned unused. The caller holds mu.
func (l *link) handleGrant(g *peerv1.Grant, echo time.Time) {
	id := g.Id
	s := &slot{
		upstream: scheduler.UpstreamID(g.Upstream),
		owner:    l.owner,
		expiry:   echo.Add(time.Duration(g.ValidMs) * time.Millisecond),
		finish:   func(ending admitter.Ending, u usage) { l.finish(id, ending, u) },
	}
	if !l.resolve(id, result{slot: s}) {
		l.out.Finishes = append(l.out.Finishes, finishMessage(id, admitter.NotRun, usage{}))
	}
}

// resolve passes the result to a pending request. It reports whether the request
// was still pending. The caller holds mu.
func (l *link) resolve(id uint64, r result) bool {
	p, ok := l.pending[id]
	if !ok {
		return false
	}
	delete(l.pending, id)
	p.result <- r
	return true
}

// finish reports to the owner how a request ended.
func (l *link) finish(id uint64, ending admitter.Ending, u usage) {
	l.mu.Lock()
	if l.open {
		l.out.Finishes = append(l.out.Finishes, finishMessage(id, ending, u))
	}
	l.mu.Unlock()
	l.signal()
}

// finishMessage returns the message that reports how a request ended.
func finishMessage(id uint64, ending admitter.Ending, u usage) *peerv1.Finish {
	return &peerv1.Finish{
		Id:           id,
		Ending:       peerv1.Ending(ending),
		Tokens:       uint32(max(u.tokens, 0)),
		FirstTokenMs: uint32(max(u.firstToken.Milliseconds(), 0)),
		TotalMs:      uint32(max(u.total.Milliseconds(), 0)),
	}
}
