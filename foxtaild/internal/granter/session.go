package granter

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"foxtaillug.org/contract/peerv1"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/admitter"
	"foxtaillug.org/scheduler/arbiter"
	"foxtaillug.org/scheduler/quarantiner"
)

const (
	// decisionQueueSize is the maximum number of decisions that wait to be sent to
	// one entry host. If an entry host does not read its decisions and the queue
	// is full, its stream is closed.
	decisionQueueSize = 16384
	// summaryInterval is the time between two pool summaries to an entry host.
	summaryInterval = 250 * time.Millisecond
)

// errSessionEnded ends a stream that the owner closes: the entry host has opened a
// newer one or does not read its decisions. The entry host receives the text.
var errSessionEnded = eris.New("superseded by a newer stream")

// decision is a grant or a refusal for an entry host.
type decision struct {
	grant   admitter.Grant
	refusal admitter.Refusal
	refused bool
}

// session is the stream of one entry host.
type session struct {
	entry     scheduler.HostID
	decisions chan decision
	// echo is the send time of the last received frame, in microseconds on the
	// entry host's clock.
	echo  atomic.Uint64
	ended chan struct{}
	// pools are the pools that the entry host has requested slots in.
	pools map[scheduler.PoolID]bool
}

// queueDecisions queues grants and refusals for their entry hosts. The requests of
// an entry host without a stream have been dropped already; the load reports show
// when the slots that were granted to it are free.
func (g *Granter) queueDecisions(actions arbiter.Actions) {
	for _, gr := range actions.Grants() {
		g.queueDecision(gr.ID().Entry(), decision{grant: gr})
	}
	for _, r := range actions.Refusals() {
		g.queueDecision(r.ID().Entry(), decision{refusal: r, refused: true})
	}
}

// queueDecision queues a decision for an entry host.
func (g *Granter) queueDecision(entry scheduler.HostID, d decision) {
	g.mu.Lock()
	s := g.sessions[entry]
	g.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.decisions <- d:
	default:
		g.log.Error("entry host does not read its decisions; closing its stream", "entry", entry)
		g.end(s)
	}
}

// begin registers a session and ends an older one of the same entry host.
func (g *Granter) begin(entry scheduler.HostID) *session {
	s := &session{
		entry:     entry,
		decisions: make(chan decision, decisionQueueSize),
		ended:     make(chan struct{}),
		pools:     make(map[scheduler.PoolID]bool),
	}
	g.mu.Lock()
	old := g.sessions[entry]
	g.sessions[entry] = s
	g.mu.Unlock()
	if old != nil {
		close(old.ended)
		g.dropEntry(entry)
	}
	return s
}

// end removes a session unless a newer one has replaced it.
func (g *Granter) end(s *session) {
	g.mu.Lock()
	current := g.sessions[s.entry] == s
	if current {
		delete(g.sessions, s.entry)
		close(s.ended)
	}
	g.mu.Unlock()
	if current {
		go g.dropEntry(s.entry)
	}
}

// dropEntry drops the requests of an entry host whose stream has ended.
func (g *Granter) dropEntry(entry scheduler.HostID) {
	g.call(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions { return a.DropEntry(entry, now) })
}

// Schedule serves the stream of one entry host.
func (g *Granter) Schedule(ctx context.Context, stream *connect.BidiStream[peerv1.EntryFrame, peerv1.OwnerFrame]) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	if err := g.messenger.AuthorizePeer(ctx, first.Host); err != nil {
		return err
	}
	s := g.begin(scheduler.HostID(first.Host))
	defer g.end(s)
	g.receive(s, first)
	failed := make(chan error, 1)
	go func() {
		for {
			f, err := stream.Receive()
			if err != nil {
				failed <- err
				return
			}
			g.receive(s, f)
		}
	}()
	return g.send(ctx, s, stream, failed)
}

// send sends queued decisions and periodic summaries until the stream ends. Each
// frame holds all decisions queued at the time. A summary is skipped if no frame
// was received from the entry host since the last frame was sent to it.
func (g *Granter) send(ctx context.Context, s *session, stream *connect.BidiStream[peerv1.EntryFrame, peerv1.OwnerFrame], failed <-chan error) error {
	tick := time.NewTicker(summaryInterval)
	defer tick.Stop()
	var lastEcho uint64
	for {
		frame := &peerv1.OwnerFrame{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.ended:
			return errSessionEnded
		case <-failed:
			return nil
		case d := <-s.decisions:
			frame.EchoUs = s.echo.Load()
			g.collect(frame, s, d)
		case <-tick.C:
			if s.echo.Load() == lastEcho {
				continue
			}
			frame.EchoUs = s.echo.Load()
			frame.Summaries = g.summaries(s)
		}
		lastEcho = frame.EchoUs
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
}

// collect adds a decision and all further queued decisions to a frame. The remaining
// validity of a grant is computed after the echo was read, so the expiry that the
// entry host computes from the echo is never later than the grant's.
func (g *Granter) collect(frame *peerv1.OwnerFrame, s *session, d decision) {
	now := time.Now()
	for {
		if d.refused {
			frame.Refusals = append(frame.Refusals, &peerv1.Refusal{
				Id:           d.refusal.ID().Seq(),
				Reason:       uint32(d.refusal.Reason()),
				RetryAfterMs: uint32(d.refusal.RetryAfter().Milliseconds()),
			})
		} else {
			frame.Grants = append(frame.Grants, &peerv1.Grant{
				Id:       d.grant.ID().Seq(),
				Upstream: string(d.grant.Upstream()),
				ValidMs:  uint32(max(d.grant.Expires().Sub(now).Milliseconds(), 0)),
			})
		}
		select {
		case d = <-s.decisions:
		default:
			return
		}
	}
}

// summaries returns the load of the pools that an entry host has requested slots
// in.
func (g *Granter) summaries(s *session) (all []*peerv1.Summary) {
	g.call(func(a *arbiter.Arbiter, _ time.Time) (out arbiter.Actions) {
		for pool := range s.pools {
			slots, running, queued := a.Summary(pool)
			all = append(all, &peerv1.Summary{Pool: string(pool), Slots: uint32(slots), Running: uint32(running), Queued: uint32(queued)})
		}
		return out
	})
	return all
}

// receive passes a frame of an entry host to the arbiter.
func (g *Granter) receive(s *session, f *peerv1.EntryFrame) {
	s.echo.Store(f.SentUs)
	g.post(func(a *arbiter.Arbiter, now time.Time) (out arbiter.Actions) {
		for _, fin := range f.Finishes {
			out.Add(a.Finish(scheduler.NewRequestID(s.entry, fin.Id), admitter.Ending(fin.Ending), usage(fin), now))
		}
		for _, id := range f.Withdrawals {
			a.Withdraw(scheduler.NewRequestID(s.entry, id))
		}
		for _, req := range f.Asks {
			s.pools[scheduler.PoolID(req.Pool)] = true
			out.Add(a.Admit(request(s.entry, req, now), now))
		}
		return out
	})
}

// usage decodes the usage of a finished request.
func usage(f *peerv1.Finish) admitter.Usage {
	return admitter.NewUsage(int(f.Tokens), time.Duration(f.FirstTokenMs)*time.Millisecond, time.Duration(f.TotalMs)*time.Millisecond)
}

// request decodes an admission request.
func request(entry scheduler.HostID, req *peerv1.Ask, now time.Time) arbiter.Request {
	return arbiter.NewRequest(
		scheduler.PoolID(req.Pool),
		admitter.NewRequest(
			scheduler.NewRequestID(entry, req.Id),
			scheduler.WorkspaceID(req.Workspace),
			scheduler.Tier(req.Tier),
			now.Add(time.Duration(req.WaitMs)*time.Millisecond),
			admitter.WithTokens(int(req.PromptTokens), int(req.OutputTokens)),
			admitter.WithPrefix(req.Prefix),
		),
		quarantiner.Digest(req.Digest),
	)
}
