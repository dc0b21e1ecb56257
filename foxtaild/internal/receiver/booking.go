package receiver

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"foxtaillug.org/contract"
	"foxtaillug.org/contract/peerv1"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/booker"
	"foxtaillug.org/scheduler/router"
)

// forwardMargin is by how much the answer to a forwarded call may be late.
const forwardMargin = time.Second

// desk runs the tickets of this incarnation.
type desk struct {
	incarnation scheduler.IncarnationID

	mu      sync.Mutex
	booker  *booker.Booker
	running map[string]chan struct{}
}

// newDesk returns a desk that has run nothing.
func newDesk(incarnation scheduler.IncarnationID, b *booker.Booker) *desk {
	return &desk{incarnation: incarnation, booker: b, running: make(map[string]chan struct{})}
}

// begin decides on a use of a ticket. Over is closed when the use that is
// running ends.
func (d *desk) begin(t booker.Ticket, call uint64) (step booker.Decision, a booker.Response, over chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	step, a = d.booker.Begin(t, call, time.Now())
	if step == booker.Run {
		d.running[t.Nonce()] = make(chan struct{})
	}
	return step, a, d.running[t.Nonce()]
}

// finish records how the one run ended. One that is proved not to have run
// may be used again.
func (d *desk) finish(t booker.Ticket, a booker.Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.Outcome() == string(NotRun) {
		d.booker.Abort(t)
	} else {
		d.booker.Finish(t, a)
	}
	close(d.running[t.Nonce()])
	delete(d.running, t.Nonce())
}

// issue returns a new ticket of this incarnation.
func (d *desk) issue(host scheduler.HostID, workspace scheduler.WorkspaceID) booker.Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	return booker.NewTicket(host, d.incarnation, workspace, d.booker.Age(time.Now()), rand.Text())
}

// serveTicket issues a ticket. Asking again is harmless.
func (r *Receiver) serveTicket(c fiber.Ctx, k *call) error {
	defer k.release()
	t := r.desk.issue(r.keeper.Self().ID(), k.standing.ID())
	c.Set(HeaderRequestID, k.id)
	return c.Status(fiber.StatusCreated).JSON(struct {
		Ticket           string `json:"ticket"`
		ExpiresInSeconds int    `json:"expiresInSeconds"`
	}{Ticket: t.Encode(r.secrets.ticket), ExpiresInSeconds: seconds(booker.DefaultLifetime)})
}

// serveBooking serves a call that may not be repeated.
func (r *Receiver) serveBooking(c fiber.Ctx, k *call, s serviceCall) error {
	text := c.Get(HeaderTicket)
	if text == "" {
		return r.refuse(c, k, notRun(fiber.StatusPreconditionRequired, reasonTicketNeeded, "This call may not be repeated. Take a ticket at POST /v1/tickets and send it as "+HeaderTicket+"."))
	}
	t, err := booker.DecodeTicket(text, r.secrets.ticket)
	if err != nil {
		return r.refuse(c, k, notRun(fiber.StatusBadRequest, reasonTicketInvalid, "The ticket was not issued here."))
	}
	if t.Workspace() != k.standing.ID() {
		return r.refuse(c, k, notRun(fiber.StatusForbidden, reasonTicketForeign, "The ticket belongs to another workspace."))
	}
	var a booker.Response
	if t.Incarnation() == r.desk.incarnation {
		a = r.book(k, t, s)
	} else {
		a = r.forwardBooking(k, t, text, s)
	}
	defer k.release()
	w := &whole{status: a.Status(), contentType: a.ContentType(), body: a.Body()}
	if a.Outcome() != string(Complete) {
		f := refusalOfAnswer(a)
		w.refused = &f
	}
	if _, forwarded := r.reporter.Explain(k.id); !forwarded {
		r.note(k, Outcome(a.Outcome()), a.Reason())
	}
	r.log.Info("ticket used", "id", k.id, "workspace", string(k.standing.ID()), "outcome", a.Outcome(), "reason", a.Reason(), "here", t.Incarnation() == r.desk.incarnation)
	return r.writeWhole(c, k, w)
}

// refusalOfAnswer turns an answer that is not the service's own into a refusal.
func refusalOfAnswer(a booker.Response) refusal {
	f := refusal{status: a.Status(), outcome: Outcome(a.Outcome()), reason: a.Reason(), detail: string(a.Body())}
	if f.outcome == NotRun {
		f.retryAfter = time.Second
	}
	return f
}

// answerOf turns a refusal into an answer that can be remembered.
func answerOf(f refusal) booker.Response {
	return booker.NewResponse(f.status, "", []byte(f.detail), string(f.outcome), f.reason)
}

// callDigest tells two calls apart that use the same ticket.
func callDigest(s serviceCall) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{s.service, s.method, s.path} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(s.body)
	return d.Sum64()
}

// book runs a ticket of this incarnation, or gives the answer it had.
func (r *Receiver) book(k *call, t booker.Ticket, s serviceCall) booker.Response {
	for {
		step, a, over := r.desk.begin(t, callDigest(s))
		switch step {
		case booker.Run:
			a = r.runBooking(k, s)
			r.desk.finish(t, a)
			return a
		case booker.Replay:
			return a
		case booker.Wait:
			select {
			case <-over:
				continue
			case <-k.ctx.Done():
				return answerOf(refusal{status: fiber.StatusGatewayTimeout, outcome: Unknown, reason: reasonTimeout, detail: "The call is still running; ask again with the same ticket."})
			}
		default:
			return ticketRefusals[step]
		}
	}
}

// ticketRefusals are the answers to tickets that can't be used.
var ticketRefusals = map[booker.Decision]booker.Response{
	booker.Expired:          answerOf(refusal{status: fiber.StatusGone, outcome: Unknown, reason: reasonTicketExpired, detail: "The ticket has expired; what became of it is no longer known."}),
	booker.Mismatch:         answerOf(notRun(fiber.StatusUnprocessableEntity, reasonTicketMismatch, "The ticket was used for another call.")),
	booker.OtherIncarnation: answerOf(refusal{status: fiber.StatusGone, outcome: Unknown, reason: reasonIssuerGone, detail: "The process that issued the ticket is gone; nothing can run it any more."}),
	booker.Full:             answerOf(notRun(fiber.StatusServiceUnavailable, reasonTicketsFull, "Too many tickets are in use.")),
}

// runBooking dispatches a call that may not be repeated. The caller's going
// away does not stop it: the caller may ask again for the answer.
func (r *Receiver) runBooking(k *call, s serviceCall) booker.Response {
	own, cancel := r.backgroundCall(k.ctx, k.dir, k.standing, k.id)
	defer cancel()
	own.pool = k.pool
	a := r.callWhole(own, s.work(router.NonIdempotent))
	if f := a.refusal(); f != nil {
		return answerOf(*f)
	}
	return booker.NewResponse(a.status, a.contentType, a.body, string(Complete), "")
}

// forwardBooking passes a call to the incarnation that issued its ticket, which
// alone may run it.
func (r *Receiver) forwardBooking(k *call, t booker.Ticket, text string, s serviceCall) booker.Response {
	client, err := r.messenger.Client(t.Host())
	if err != nil {
		return ticketRefusals[booker.OtherIncarnation]
	}
	if current, ok := r.gossiper.Incarnation(t.Host()); (ok && current != t.Incarnation()) || t.Host() == r.keeper.Self().ID() {
		return ticketRefusals[booker.OtherIncarnation]
	}
	ctx, cancel := context.WithDeadline(k.ctx, k.deadline.Add(forwardMargin))
	defer cancel()
	reply, err := client.Book(ctx, &peerv1.BookRequest{
		Host:        string(r.keeper.Self().ID()),
		Ticket:      text,
		Service:     s.service,
		Method:      s.method,
		Path:        s.path,
		Workspace:   string(k.standing.ID()),
		Body:        s.body,
		ContentType: s.contentType,
	})
	if err != nil {
		return answerOf(refusal{status: fiber.StatusGatewayTimeout, outcome: Unknown, reason: reasonIssuerUnreached, detail: "The host that issued the ticket did not answer; ask again with the same ticket."})
	}
	return booker.NewResponse(int(reply.Status), reply.ContentType, reply.Body, reply.Outcome, reply.Reason)
}

// Book runs a ticketed call that a peer forwards.
func (r *Receiver) Book(ctx context.Context, req *peerv1.BookRequest) (reply *peerv1.BookReply, err error) {
	if err := r.messenger.Admit(ctx, req.Host); err != nil {
		return nil, err
	}
	t, err := booker.DecodeTicket(req.Ticket, r.secrets.ticket)
	if err != nil || string(t.Workspace()) != req.Workspace {
		return nil, connect.NewError(connect.CodePermissionDenied, eris.New("ticket and workspace do not match"))
	}
	s := r.keeper.State()
	if s == nil {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("no configuration in force"))
	}
	standing, ok := s.Directory().Workspace(scheduler.WorkspaceID(req.Workspace))
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, eris.New("no such workspace"))
	}
	if !r.enter(standing) {
		return nil, connect.NewError(connect.CodeResourceExhausted, eris.New("too many requests in progress"))
	}
	defer r.leave(standing)
	k, cancel := r.backgroundCall(ctx, s.Directory(), standing, r.newID())
	defer cancel()
	call := serviceCall{service: req.Service, method: req.Method, path: req.Path, contentType: req.ContentType, body: req.Body}
	k.pool = contract.ServicePool(req.Service)
	a := r.book(k, t, call)
	return &peerv1.BookReply{
		Status: uint32(a.Status()), ContentType: a.ContentType(), Body: a.Body(),
		Outcome: a.Outcome(), Reason: a.Reason(),
	}, nil
}
