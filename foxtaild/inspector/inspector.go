package inspector

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler/quarantiner"
	"foxtaillug.org/scheduler/registrar"
)

const (
	// maxQueuedLosses bounds the queue of losses that wait for a health check. Beyond
	// it they are dropped and counted.
	maxQueuedLosses = 1024
	// maxChecks is the maximum number of concurrent health checks.
	maxChecks = 8
	// deadValidity is how long an upstream counts as dead after a health check
	// found it so. A request sent to it in that time has not crashed it.
	deadValidity = time.Second
)

// loss is a request whose connection was lost.
type loss struct {
	digest     quarantiner.Digest
	upstream   registrar.Entry
	sent, lost time.Time
}

// Inspector keeps the crash reports of one host. It is safe for concurrent use.
type Inspector struct {
	log   *slog.Logger
	check func(ctx context.Context, e registrar.Entry) (result, error)
	// losses are the losses that wait for a health check.
	losses chan loss
	// changed receives a value when there are new reports for other hosts.
	changed chan struct{}

	mu      sync.Mutex
	reports *quarantiner.Quarantiner
	// digests and confirmed are the numbers of digests in reports, so that most
	// requests are passed without the lock.
	digests, confirmed atomic.Int64
	// checked counts the health checks by result, dropped the losses beyond
	// maxQueuedLosses.
	checked [resultCount]atomic.Uint64
	dropped atomic.Uint64
}

// Option configures an Inspector.
type Option func(*Inspector)

// WithHealthPath sets a function that returns the path of the health checks of a
// pool, or "" if its upstreams have none. Without one, an upstream that accepts a
// connection is considered alive.
func WithHealthPath(path func(pool string) string) Option {
	return func(i *Inspector) { i.check = checker{path: path}.check }
}

// New returns an inspector without reports. The caller must call Run.
func New(log *slog.Logger, opts ...Option) *Inspector {
	i := &Inspector{
		log:     log,
		check:   checker{path: func(string) string { return "" }}.check,
		losses:  make(chan loss, maxQueuedLosses),
		changed: make(chan struct{}, 1),
		reports: quarantiner.New(),
	}
	for _, opt := range opts {
		opt(i)
	}
	return i
}

// Refuses reports whether requests with a digest must not run.
func (i *Inspector) Refuses(digest uint64) bool {
	if digest == 0 || i.confirmed.Load() == 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reports.Verdict(quarantiner.Digest(digest), time.Now()) == quarantiner.Refused
}

// RecordLoss records that the connection of a request was lost or that no response
// arrived in time, and has the upstream checked.
func (i *Inspector) RecordLoss(digest uint64, upstream registrar.Entry, sent time.Time) {
	if digest == 0 {
		return
	}
	select {
	case i.losses <- loss{digest: quarantiner.Digest(digest), upstream: upstream, sent: sent, lost: time.Now()}:
	default:
		i.dropped.Add(1)
	}
}

// RecordComplete records that an upstream has run a request with success.
func (i *Inspector) RecordComplete(digest uint64) {
	if digest == 0 || i.digests.Load() == 0 {
		return
	}
	i.update(func(q *quarantiner.Quarantiner) bool { return q.RecordComplete(quarantiner.Digest(digest)) })
}

// update applies a change to the reports. If the function returns true, the
// reports are sent to other hosts without delay.
func (i *Inspector) update(change func(q *quarantiner.Quarantiner) bool) {
	i.mu.Lock()
	send := change(i.reports)
	digests, confirmed := i.reports.Len()
	i.digests.Store(int64(digests))
	i.confirmed.Store(int64(confirmed))
	i.mu.Unlock()
	if send {
		select {
		case i.changed <- struct{}{}:
		default:
		}
	}
}

// Changed returns a channel that receives a value when this host has new reports.
func (i *Inspector) Changed() <-chan struct{} { return i.changed }

// Message returns at most n reports for any host.
func (i *Inspector) Message(n int) (m quarantiner.Message) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reports.Message(n, time.Now())
}

// Response returns at most n reports in response to the message of another host.
func (i *Inspector) Response(m quarantiner.Message, n int) quarantiner.Message {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reports.Response(m, n, time.Now())
}

// Receive processes the message of another host.
func (i *Inspector) Receive(m quarantiner.Message) {
	if len(m.Reports) == 0 {
		return
	}
	i.update(func(q *quarantiner.Quarantiner) bool {
		now := time.Now()
		for _, r := range m.Reports {
			before := q.Verdict(r.Digest, now)
			q.Merge(r, now)
			// Every crash makes suspects on all hosts; the host that reports one logs it.
			if after := q.Verdict(r.Digest, now); after != before && (after == quarantiner.Refused || before == quarantiner.Refused) {
				i.logVerdict(r.Digest, after, q.Crashes(r.Digest), "peer")
			}
		}
		return false
	})
}

// logVerdict logs a changed verdict on a digest and where the reports came from.
func (i *Inspector) logVerdict(d quarantiner.Digest, v quarantiner.Verdict, crashes int, source string) {
	i.log.Info("crash verdict", "digest", strconv.FormatUint(uint64(d), 16), "verdict", v.String(), "crashes", crashes, "source", source)
}

// recordCrash adds a crash report for a loss.
func (i *Inspector) recordCrash(l loss) {
	i.update(func(q *quarantiner.Quarantiner) bool {
		if !q.RecordCrash(l.digest, processID(l.upstream), l.sent, l.lost) {
			return false
		}
		i.logVerdict(l.digest, q.Verdict(l.digest, time.Now()), q.Crashes(l.digest), l.upstream.ID)
		return true
	})
}

// processID identifies the process of an upstream: one that restarts may keep its
// ID.
func processID(e registrar.Entry) uint64 {
	return xxhash.Sum64String(e.ID + "@" + strconv.FormatInt(e.Born, 10))
}

// Gauges returns metrics: the digests with crash reports, those of them that are
// confirmed, the health checks by result and the losses without one.
func (i *Inspector) Gauges() []reporter.Gauge {
	gauges := []reporter.Gauge{
		{Name: "crash_digests", Value: float64(i.digests.Load())},
		{Name: "crash_digests_confirmed", Value: float64(i.confirmed.Load())},
		{Name: "losses_dropped", Value: float64(i.dropped.Load())},
	}
	for r := range resultCount {
		gauges = append(gauges, reporter.Gauge{Name: "upstream_checks", Tags: map[string]string{"result": r.String()}, Value: float64(i.checked[r].Load())})
	}
	return gauges
}
