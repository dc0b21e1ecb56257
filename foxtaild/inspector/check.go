package inspector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/scheduler/registrar"
)

const (
	// checkDialTimeout bounds the time to connect for a health check.
	checkDialTimeout = 500 * time.Millisecond
	// checkResponseTimeout is how long a health check waits for the first byte of
	// the response. An upstream may be busy and let it wait, so nothing follows from
	// a response that does not arrive.
	checkResponseTimeout = 500 * time.Millisecond
)

// result is the result of a health check.
type result int

// The results of health checks.
const (
	// alive upstreams responded or accepted the connection and kept it open.
	alive result = iota
	// dead upstreams refused the connection, could not be reached, or ended it
	// without a response.
	dead
	// unknown means that the check itself failed.
	unknown
	resultCount
)

// String returns the result's name in metrics and logs.
func (r result) String() string { return [...]string{"alive", "dead", "unknown"}[r] }

// checker runs health checks.
type checker struct {
	// path returns the path of the health checks of a pool, "" if there is none.
	path func(pool string) string
	// sensitive reports whether an upstream limits the requests that it gets, or falls over if
	// it rejects many, health checks among them.
	sensitive func(e registrar.Entry) bool
	dialer    net.Dialer
}

// check checks an upstream. The error says why it is not considered alive.
func (c checker) check(ctx context.Context, e registrar.Entry) (r result, err error) {
	defer func() { err = eris.Wrapf(err, "check upstream at %s", e.Address) }()
	dialCtx, cancel := context.WithTimeout(ctx, checkDialTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(dialCtx, "tcp", e.Address)
	if err != nil {
		return classifyDialError(ctx, err), err
	}
	defer func() { _ = conn.Close() }()
	path := c.path(e.Pool)
	if path == "" || c.sensitive(e) {
		return alive, nil
	}
	_ = conn.SetDeadline(time.Now().Add(checkResponseTimeout))
	if _, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, e.Address); err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return alive, nil
	case ctx.Err() != nil:
		return unknown, err
	default:
		return dead, err
	}
}

// classifyDialError returns what follows from a failure to connect. Errors of this
// host, such as a lack of file descriptors, say nothing about the upstream.
func classifyDialError(ctx context.Context, err error) result {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return unknown
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return dead
	case errors.As(err, &timeout) && timeout.Timeout():
		return dead
	default:
		return unknown
	}
}
