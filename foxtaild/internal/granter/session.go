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
	// sessionRing bounds the answers that wait for one entry. An entry that
	// does not take its answers is cut off.
	sessionRing = 16384
	// summaryEvery is how often an entry hears how full pools are.
	summaryEvery = 250 * time.Millisecond
)

// errSuperseded says that the entry has opened another stream.
var errSuperseded = eris.New("superseded by a newer stream")

// answer is a grant or a refusal on its way to an entry.
type answer struct {
	grant   admitter.Grant
	refusal admitter.Refusal
	refused bool
}

// session is the stream of one entry.
type session struct {
	entry   scheduler.HostID
	answers chan answer
	echo    atomic.Uint64
	over    chan struct{}
	pools   map[scheduler.PoolID]bool
}

// answer passes grants and refusals to their entries. An entry that is gone
// is an orphan already; what it was granted clears with the load reports.
func (g *Granter) answer(o arbiter.Actions) {
	for _, gr := range o.Grants() {
		g.push(gr.ID().Entry(), answer{grant: gr})
	}
	for _, r := range o.Refusals() {
		g.push(r.ID().Entry(), answer{refusal: r, refused: true})
	}
}

// push queues an answer for an entry.
func (g *Granter) push(entry scheduler.HostID, a answer) {
	g.mu.Lock()
	s := g.sessions[entry]
	g.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.answers <- a:
	default:
		g.log.Error("entry takes no answers", "entry", entry)
		g.end(s)
	}
}

// begin registers a stream and supersedes an older one of the same entry.
func (g *Granter) begin(entry scheduler.HostID) *session {
	s := &session{
		entry:   entry,
		answers: make(chan answer, sessionRing),
		over:    make(chan struct{}),
		pools:   make(map[scheduler.PoolID]bool),
	}
	g.mu.Lock()
	old := g.sessions[entry]
	g.sessions[entry] = s
	g.mu.Unlock()
	if old != nil {
		close(old.over)
		g.orphan(entry)
	}
	return s
}

// end takes a stream off the register.
func (g *Granter) end(s *session) {
	g.mu.Lock()
	current := g.sessions[s.entry] == s
	if current {
		delete(g.sessions, s.entry)
		close(s.over)
	}
	g.mu.Unlock()
	if current {
		go g.orphan(s.entry)
	}
}

// orphan tells the arbiter that an entry can't be heard.
func (g *Granter) orphan(entry scheduler.HostID) {
	g.call(func(a *arbiter.Arbiter, now time.Time) arbiter.Actions { return a.DropEntry(entry, now) })
}

// Schedule serves the stream of one entry.
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

// send writes answers until the stream ends, as many to a frame as wait.
func (g *Granter) send(ctx context.Context, s *session, stream *connect.BidiStream[peerv1.EntryFrame, peerv1.OwnerFrame], failed <-chan error) error {
	tick := time.NewTicker(summaryEvery)
	defer tick.Stop()
	var told uint64
	for {
		frame := &peerv1.OwnerFrame{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.over:
			return errSuperseded
		case <-failed:
			return nil
		case a := <-s.answers:
			frame.EchoUs = s.echo.Load()
			g.collect(frame, s, a)
		case <-tick.C:
			if s.echo.Load() == told {
				continue
			}
			frame.EchoUs = s.echo.Load()
			frame.Summaries = g.summaries(s)
		}
		told = frame.EchoUs
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
}

// collect puts an answer and all that wait behind it into a frame. The time
// left of a grant is counted from after the echo was read, so the entry's
// reckoning from the echo never ends later than the grant.
func (g *Granter) collect(frame *peerv1.OwnerFrame, s *session, a answer) {
	now := time.Now()
	for {
		if a.refused {
			frame.Refusals = append(frame.Refusals, &peerv1.Refusal{
				Id:           a.refusal.ID().Seq(),
				Reason:       uint32(a.refusal.Reason()),
				RetryAfterMs: uint32(a.refusal.RetryAfter().Milliseconds()),
			})
		} else {
			frame.Grants = append(frame.Grants, &peerv1.Grant{
				Id:       a.grant.ID().Seq(),
				Upstream: string(a.grant.Upstream()),
				ValidMs:  uint32(max(a.grant.Until().Sub(now).Milliseconds(), 0)),
			})
		}
		select {
		case a = <-s.answers:
		default:
			return
		}
	}
}

// summaries returns how full the pools are that an entry has asked for.
func (g *Granter) summaries(s *session) (all []*peerv1.Summary) {
	g.call(func(a *arbiter.Arbiter, _ time.Time) (o arbiter.Actions) {
		for pool := range s.pools {
			slots, running, queued := a.Summary(pool)
			all = append(all, &peerv1.Summary{Pool: string(pool), Slots: uint32(slots), Running: uint32(running), Queued: uint32(queued)})
		}
		return o
	})
	return all
}

// receive passes what an entry says to the arbiter.
func (g *Granter) receive(s *session, f *peerv1.EntryFrame) {
	s.echo.Store(f.SentUs)
	g.post(func(a *arbiter.Arbiter, now time.Time) (o arbiter.Actions) {
		for _, fin := range f.Finishes {
			o.Add(a.Finish(scheduler.NewRequestID(s.entry, fin.Id), admitter.Ending(fin.Ending), usage(fin), now))
		}
		for _, id := range f.Withdrawals {
			a.Withdraw(scheduler.NewRequestID(s.entry, id))
		}
		for _, ask := range f.Asks {
			s.pools[scheduler.PoolID(ask.Pool)] = true
			o.Add(a.Admit(request(s.entry, ask, now), now))
		}
		return o
	})
}

// usage reads what a request took.
func usage(f *peerv1.Finish) admitter.Usage {
	return admitter.NewUsage(int(f.Tokens), time.Duration(f.FirstTokenMs)*time.Millisecond, time.Duration(f.TotalMs)*time.Millisecond)
}

// request reads an ask.
func request(entry scheduler.HostID, ask *peerv1.Ask, now time.Time) arbiter.Request {
	return arbiter.NewRequest(
		scheduler.PoolID(ask.Pool),
		admitter.NewRequest(
			scheduler.NewRequestID(entry, ask.Id),
			scheduler.WorkspaceID(ask.Workspace),
			scheduler.Tier(ask.Tier),
			now.Add(time.Duration(ask.WaitMs)*time.Millisecond),
			admitter.WithTokens(int(ask.PromptTokens), int(ask.OutputTokens)),
			admitter.WithPrefix(ask.Prefix),
		),
		quarantiner.Digest(ask.Digest),
	)
}
