package receiver

import (
	"context"
	"net/url"
	"time"

	"github.com/gofiber/fiber/v3"

	"foxtaillug.org/contract"
	"foxtaillug.org/scheduler/admitter"
)

// serviceCall is a call of a plain service.
type serviceCall struct {
	service     string
	method      string
	path        string
	contentType []byte
	body        []byte
}

// serveService serves a call of a plain service.
func (r *Receiver) serveService(c fiber.Ctx, k *call) error {
	ctx, span := r.reporter.Tracer().Start(k.ctx, "entry")
	defer span.End()
	k.ctx = ctx
	s := serviceCall{
		service:     c.Params("service"),
		method:      c.Method(),
		path:        servicePath(c),
		contentType: c.Request().Header.ContentType(),
		body:        c.Body(),
	}
	service, ok := k.dir.Service(s.service)
	if !ok {
		return r.refuse(c, k, notRun(fiber.StatusNotFound, reasonUnknownService, "There is no service of this name."))
	}
	k.pool = contract.ServicePool(s.service)
	if !service.Idempotent(s.method) {
		return r.serveBooking(c, k, s)
	}
	stop := watchCaller(c, k)
	defer stop()
	answer, f, ok := r.callService(k, s)
	if !ok {
		return r.refuse(c, k, f)
	}
	r.ended(k, Complete, "")
	return r.writeAnswer(c, k, answer)
}

// servicePath returns the path and query for the service itself.
func servicePath(c fiber.Ctx) string {
	u := url.URL{Path: "/" + c.Params("*")}
	path := u.EscapedPath()
	if q := c.Request().URI().QueryString(); len(q) > 0 {
		path += "?" + string(q)
	}
	return path
}

// answer is what a service answered.
type answer struct {
	status      int
	contentType string
	body        []byte
}

// callService dispatches a call of a plain service, once.
func (r *Receiver) callService(k *call, s serviceCall) (a answer, f refusal, ok bool) {
	u, f, ok := r.dispatch(k, work{method: s.method, path: s.path, contentType: s.contentType, body: s.body})
	if !ok {
		return answer{}, f, false
	}
	body, err := readAll(u)
	if err != nil {
		u.x.Cancel()
		return answer{}, r.broken(k, u, err), false
	}
	resp := u.x.Response()
	a = answer{status: resp.StatusCode(), contentType: string(resp.Header.ContentType()), body: body}
	u.x.Finish()
	if a.status >= fiber.StatusInternalServerError {
		u.finish(admitter.Failed, 0)
		return answer{}, refusal{status: fiber.StatusBadGateway, outcome: Failed, reason: reasonUpstreamError, detail: "The service answered with an error."}, false
	}
	u.finish(admitter.Complete, 0)
	return a, refusal{}, true
}

// writeAnswer sends a service's answer to the caller.
func (r *Receiver) writeAnswer(c fiber.Ctx, k *call, a answer) error {
	c.Set(fiber.HeaderContentType, a.contentType)
	c.Set(HeaderOutcome, string(Complete))
	c.Set(HeaderRequestID, k.id)
	return c.Status(a.status).Send(a.body)
}

// backgroundCall returns the record of a call that a peer forwards.
func (r *Receiver) backgroundCall(ctx context.Context, dir *contract.Directory, standing contract.Standing, id string) (*call, context.CancelFunc) {
	now := time.Now()
	k := &call{id: id, dir: dir, standing: standing, arrived: now, deadline: now.Add(standing.Wait())}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), k.deadline)
	k.ctx = ctx
	return k, cancel
}
