package receiver

import (
	"context"
	"net/url"
	"time"

	"github.com/gofiber/fiber/v3"

	"foxtaillug.org/contract"
	"foxtaillug.org/scheduler/router"
)

// serviceCall is a request to a plain service.
type serviceCall struct {
	service     string
	method      string
	path        string
	contentType string
	body        []byte
}

// request returns the request to send to the service.
func (s serviceCall) request(kind router.Kind) upstreamRequest {
	return upstreamRequest{kind: kind, method: s.method, path: s.path, contentType: s.contentType, body: s.body}
}

// serveService serves a request to a plain service.
func (r *Receiver) serveService(c fiber.Ctx, k *call) error {
	s := serviceCall{
		service:     c.Params("service"),
		method:      c.Method(),
		path:        servicePath(c),
		contentType: string(c.Request().Header.ContentType()),
		body:        c.Body(),
	}
	service, ok := k.dir.Service(s.service)
	if !ok {
		return r.refuse(c, k, notRunRefusal(fiber.StatusNotFound, reasonUnknownService, "There is no service of this name."))
	}
	k.pool = contract.ServicePool(s.service)
	if !service.Idempotent(s.method) {
		return r.serveBooking(c, k, s)
	}
	stop := watchCaller(c, k)
	defer stop()
	defer k.release()
	return r.writeResponse(c, k, r.forwardBuffered(k, s.request(router.Idempotent)))
}

// servicePath returns the path and query that are sent to the service.
func servicePath(c fiber.Ctx) string {
	u := url.URL{Path: "/" + c.Params("*")}
	path := u.EscapedPath()
	if q := c.Request().URI().QueryString(); len(q) > 0 {
		path += "?" + string(q)
	}
	return path
}

// backgroundCall returns a call that continues when its caller disconnects,
// until the deadline of its tier.
func (r *Receiver) backgroundCall(ctx context.Context, dir *contract.Directory, ws contract.WorkspaceInfo, id string) (*call, context.CancelFunc) {
	now := time.Now()
	k := &call{id: id, dir: dir, workspace: ws, arrived: now, deadline: now.Add(ws.Timeout())}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), k.deadline)
	k.ctx = ctx
	return k, cancel
}
