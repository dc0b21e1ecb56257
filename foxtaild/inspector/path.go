package inspector

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"foxtaillug.org/scheduler/registrar"
)

const (
	// pathTimeout is how long a failed health check waits for a sign that this host reaches
	// upstreams, and pathInterval the time between two looks for one.
	pathTimeout  = 300 * time.Millisecond
	pathInterval = 10 * time.Millisecond
	// cutTimeout is how long a check waits for the end of what looks like a cut. An upstream
	// that has crashed is down for some seconds.
	cutTimeout = 2 * time.Second
)

// errCutOff is the error of a health check by a host that is likely cut off.
var errCutOff = eris.New("this host is likely cut off from upstreams")

// path reports whether this host reaches upstreams. The zero value assumes that it does.
type path struct {
	cutOff         func() bool
	connectedSince func(time.Time) bool
}

// sound reports whether a health check that failed after a loss says something of the
// upstream: another one has responded since on a new connection, as the check makes one, or
// the host does not count as cut off for a while.
func (p path) sound(ctx context.Context, lost time.Time) bool {
	return p.cutOff == nil || p.awaitConnection(ctx, lost, pathTimeout) || !p.cutOff()
}

// awaitConnection waits until an upstream has responded on a new connection after a time, and
// reports whether one has.
func (p path) awaitConnection(ctx context.Context, since time.Time, timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(pathInterval) {
		if p.connectedSince(since) {
			return true
		}
	}
	return false
}

// checkAgain checks an upstream once more as soon as the host, which seemed cut off, has
// connected to another one: many upstreams that crash look like a cut.
func (r *runner) checkAgain(ctx context.Context, e registrar.Entry) (res result, err error) {
	if !r.path.awaitConnection(ctx, time.Now(), cutTimeout) {
		return unknown, errCutOff
	}
	return r.checker.check(ctx, e)
}
