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

// forwardMargin is added to a call's deadline to limit the wait for the response
// of the host that the call is forwarded to.
const forwardMargin = time.Second

// ticketTracker issues the tickets of this incarnation and tracks their use.
type ticketTracker struct {
	incarnation scheduler.IncarnationID

	mu     sync.Mutex
	booker *booker.Booker
	// running holds a channel for each ticket in use, by nonce. It is closed
	// when the use ends.
	running map[string]chan struct{}
}

// newTicketTracker returns a tracker of tickets that have not been used.
func newTicketTracker(incarnation scheduler.IncarnationID, b *booker.Booker) *ticketTracker {
	return &ticketTracker{incarnation: incarnation, booker: b, running: make(map[string]chan struct{})}
}

// begin decides on the use of a ticket. done is closed when the use in progress
// ends; it is nil if there is none.
func (tt *ticketTracker) begin(t booker.Ticket, call uint64) (decision booker.Decision, resp booker.Response, done chan struct{}) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	decision, resp = tt.booker.Begin(t, call, time.Now())
	if decision == booker.Run {
		tt.running[t.Nonce()] = make(chan struct{})
	}
	return decision, resp, tt.running[t.Nonce()]
}

// finish records the result of a ticket's use. A ticket whose call is proved
// not to have run may be used again.
func (tt *ticketTracker) finish(t booker.Ticket, resp booker.Response) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if resp.Outcome() == string(NotRun) {
		tt.booker.Abort(t)
	} else {
		tt.booker.Finish(t, resp)
	}
	close(tt.running[t.Nonce()])
	delete(tt.running, t.Nonce())
}

// issue returns a new ticket for a workspace.
func (tt *ticketTracker) issue(host scheduler.HostID, workspace scheduler.WorkspaceID) booker.Ticket {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return booker.NewTicket(host, tt.incarnation, workspace, tt.booker.Age(time.Now()), rand.Text())
}

// serveTicket serves a new ticket. Repeating the request is harmless.
func (r *Receiver) serveTicket(c fiber.Ctx, k *call) error {
	defer k.release()
	t := r.tickets.issue(r.tracker.Self().ID(), k.workspace.ID())
	c.Set(HeaderRequestID, k.id)
	return c.Status(fiber.StatusCreated).JSON(struct {
		Ticket           string `json:"ticket"`
		ExpiresInSeconds int    `json:"expiresInSeconds"`
	}{Ticket: t.Encode(r.secrets.ticket), ExpiresInSeconds: ceilSeconds(booker.DefaultLifetime)})
}

// serveBooking serves a call that may not be repeated and therefore requires a
// ticket.
func (r *Receiver) serveBooking(c fiber.Ctx, k *call, s serviceCall) error {
	text := c.Get(HeaderTicket)
	if text == "" {
		return r.refuse(c, k, notRunRefusal(fiber.StatusPreconditionRequired, reasonTicketNeeded, "This call may not be repeated. Take a ticket at POST /v1/tickets and send it as "+HeaderTicket+"."))
	}
	t, err := booker.DecodeTicket(text, r.secrets.ticket)
	if err != nil {
		return r.refuse(c, k, notRunRefusal(fiber.StatusBadRequest, reasonTicketInvalid, "The ticket was not issued here."))
	}
	if t.Workspace() != k.workspace.ID() {
		return r.refuse(c, k, notRunRefusal(fiber.StatusForbidden, reasonTicketOtherWorkspace, "The ticket belongs to another workspace."))
	}
	var resp booker.Response
	if t.Incarnation() == r.tickets.incarnation {
		resp = r.useTicket(k, t, s)
	} else {
		resp = r.forwardBooking(k, t, text, s)
	}
	defer k.release()
	b := &bufferedResponse{status: resp.Status(), contentType: resp.ContentType(), body: resp.Body()}
	if resp.Outcome() != string(Complete) {
		f := refusalFromResponse(resp)
		b.refused = &f
	}
	if _, forwarded := r.reporter.Explain(k.id); !forwarded {
		r.recordUnforwarded(k, Outcome(resp.Outcome()), resp.Reason())
	}
	r.log.Info("ticket used", "id", k.id, "workspace", string(k.workspace.ID()), "outcome", resp.Outcome(), "reason", resp.Reason(), "here", t.Incarnation() == r.tickets.incarnation)
	return r.writeResponse(c, k, b)
}

// refusalFromResponse converts a recorded response that is not the service's
// own to a refusal.
func refusalFromResponse(resp booker.Response) refusal {
	f := refusal{status: resp.Status(), outcome: Outcome(resp.Outcome()), reason: resp.Reason(), detail: string(resp.Body())}
	if f.outcome == NotRun {
		f.retryAfter = time.Second
	}
	return f
}

// responseFromRefusal converts a refusal to a response that can be recorded.
func responseFromRefusal(f refusal) booker.Response {
	return booker.NewResponse(f.status, "", []byte(f.detail), string(f.outcome), f.reason)
}

// callDigest returns a hash of a call, to detect different calls with the same
// ticket.
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

// useTicket runs the call of a ticket of this incarnation, or returns the
// recorded response if it has already run.
func (r *Receiver) useTicket(k *call, t booker.Ticket, s serviceCall) booker.Response {
	for {
		decision, resp, done := r.tickets.begin(t, callDigest(s))
		switch decision {
		case booker.Run:
			resp = r.dispatchBooking(k, s)
			r.tickets.finish(t, resp)
			return resp
		case booker.Replay:
			return resp
		case booker.Wait:
			select {
			case <-done:
				continue
			case <-k.ctx.Done():
				return responseFromRefusal(refusal{status: fiber.StatusGatewayTimeout, outcome: Unknown, reason: reasonTimeout, detail: "The call is still running; ask again with the same ticket."})
			}
		default:
			return ticketRefusals[decision]
		}
	}
}

// ticketRefusals maps decisions to the responses for tickets that can't be
// used.
var ticketRefusals = map[booker.Decision]booker.Response{
	booker.Expired:          responseFromRefusal(refusal{status: fiber.StatusGone, outcome: Unknown, reason: reasonTicketExpired, detail: "The ticket has expired; what became of it is no longer known."}),
	booker.Mismatch:         responseFromRefusal(notRunRefusal(fiber.StatusUnprocessableEntity, reasonTicketMismatch, "The ticket was used for another call.")),
	booker.OtherIncarnation: responseFromRefusal(refusal{status: fiber.StatusGone, outcome: Unknown, reason: reasonIssuerGone, detail: "The process that issued the ticket is gone; nothing can run it any more."}),
	booker.Full:             responseFromRefusal(notRunRefusal(fiber.StatusServiceUnavailable, reasonTooManyTickets, "Too many tickets are in use.")),
}

// dispatchBooking runs a call that may not be repeated. The call continues when
// the caller disconnects, as the caller may fetch the response later with the
// same ticket.
func (r *Receiver) dispatchBooking(k *call, s serviceCall) booker.Response {
	own, cancel := r.backgroundCall(k.ctx, k.dir, k.workspace, k.id)
	defer cancel()
	own.pool = k.pool
	resp := r.forwardBuffered(own, s.request(router.NonIdempotent))
	if f := resp.refusal(); f != nil {
		return responseFromRefusal(*f)
	}
	return booker.NewResponse(resp.status, resp.contentType, resp.body, string(Complete), "")
}

// forwardBooking forwards a call to the incarnation that issued its ticket; no
// other one may run it.
func (r *Receiver) forwardBooking(k *call, t booker.Ticket, text string, s serviceCall) booker.Response {
	client, err := r.messenger.Client(t.Host())
	if err != nil {
		return ticketRefusals[booker.OtherIncarnation]
	}
	if current, ok := r.gossiper.Incarnation(t.Host()); (ok && current != t.Incarnation()) || t.Host() == r.tracker.Self().ID() {
		return ticketRefusals[booker.OtherIncarnation]
	}
	ctx, cancel := context.WithDeadline(k.ctx, k.deadline.Add(forwardMargin))
	defer cancel()
	reply, err := client.Book(ctx, &peerv1.BookRequest{
		Host:        string(r.tracker.Self().ID()),
		Ticket:      text,
		Service:     s.service,
		Method:      s.method,
		Path:        s.path,
		Workspace:   string(k.workspace.ID()),
		Body:        s.body,
		ContentType: s.contentType,
	})
	if err != nil {
		return responseFromRefusal(refusal{status: fiber.StatusGatewayTimeout, outcome: Unknown, reason: reasonIssuerUnreachable, detail: "The host that issued the ticket did not answer; ask again with the same ticket."})
	}
	return booker.NewResponse(int(reply.Status), reply.ContentType, reply.Body, reply.Outcome, reply.Reason)
}

// Book runs a call with a ticket that a peer forwards. It returns a Connect
// error if the peer, the ticket or the workspace is not accepted, the workspace
// has reached its concurrency limit or no configuration is in force.
func (r *Receiver) Book(ctx context.Context, req *peerv1.BookRequest) (reply *peerv1.BookReply, err error) {
	if err := r.messenger.AuthorizePeer(ctx, req.Host); err != nil {
		return nil, err
	}
	t, err := booker.DecodeTicket(req.Ticket, r.secrets.ticket)
	if err != nil || string(t.Workspace()) != req.Workspace {
		return nil, connect.NewError(connect.CodePermissionDenied, eris.New("ticket and workspace do not match"))
	}
	cfg := r.tracker.Config()
	if cfg == nil {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("no configuration in force"))
	}
	ws, ok := cfg.Directory().Workspace(scheduler.WorkspaceID(req.Workspace))
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, eris.New("no such workspace"))
	}
	if !r.beginRequest(ws) {
		return nil, connect.NewError(connect.CodeResourceExhausted, eris.New("too many requests in progress"))
	}
	defer r.endRequest(ws)
	k, cancel := r.backgroundCall(ctx, cfg.Directory(), ws, r.newID())
	defer cancel()
	s := serviceCall{service: req.Service, method: req.Method, path: req.Path, contentType: req.ContentType, body: req.Body}
	k.pool = contract.ServicePool(req.Service)
	resp := r.useTicket(k, t, s)
	return &peerv1.BookReply{
		Status: uint32(resp.Status()), ContentType: resp.ContentType(), Body: resp.Body(),
		Outcome: resp.Outcome(), Reason: resp.Reason(),
	}, nil
}
