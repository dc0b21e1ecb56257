package inspector

import (
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtaillug.org/foxtaild/forwarder"
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
	// unknownPartCrashes is the number of crashes from which on a part is refused, and
	// knownPartCrashes that for a part on which an answer had begun shortly before a
	// crash: sound parts that share requests with a crashing one are mostly known.
	unknownPartCrashes = 4
	knownPartCrashes   = 5
	// maxSpread is the longest time by which the refusals of one host end later than
	// those of another.
	maxSpread = time.Minute
	// begunRetention is how long the last answer that began on a part, and the last run
	// of a request that completed, are remembered, for at most begunCapacity parts and
	// requests each.
	begunRetention = time.Minute
	begunCapacity  = 4096
)

// loss is a run whose connection was lost.
type loss struct {
	forwarder.Loss
	lost time.Time
}

// Inspector keeps the crash reports of one host. It is safe for concurrent use.
type Inspector struct {
	log     *slog.Logger
	checker checker
	path    path
	// losses are the losses that wait for a health check.
	losses chan loss
	// requests and parts are the reports on the digests of whole requests and on
	// those of the parts of their prompts.
	requests, parts *Reports
	// spread is the time that this host adds to each refusal.
	spread time.Duration
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
	return func(i *Inspector) { i.checker.path = path }
}

// WithSensitive sets a function that reports whether an upstream limits the requests that it
// gets, or falls over if it rejects many. A health check of one only connects.
func WithSensitive(sensitive func(e registrar.Entry) bool) Option {
	return func(i *Inspector) { i.checker.sensitive = sensitive }
}

// WithHost sets the host's name. Refusals end at different times on hosts with
// different names.
func WithHost(name string) Option {
	return func(i *Inspector) { i.spread = time.Duration(xxhash.Sum64String(name) % uint64(maxSpread)) }
}

// WithPath sets functions that report whether this host can likely connect to no upstream, and
// whether any has responded to it on a new connection after a time. While the host is cut off
// nothing follows from health checks that fail.
func WithPath(cutOff func() bool, connectedSince func(time.Time) bool) Option {
	return func(i *Inspector) { i.path = path{cutOff: cutOff, connectedSince: connectedSince} }
}

// New returns an inspector without reports. The caller must call Run.
func New(log *slog.Logger, opts ...Option) *Inspector {
	i := &Inspector{
		log:     log,
		checker: checker{path: func(string) string { return "" }, sensitive: func(registrar.Entry) bool { return false }},
		losses:  make(chan loss, maxQueuedLosses),
	}
	for _, opt := range opts {
		opt(i)
	}
	spread := quarantiner.WithSpread(i.spread)
	history := quarantiner.WithHistory(begunRetention, begunCapacity)
	i.requests = newReports(log, "digest", "crash_digests", spread, history)
	i.parts = newReports(log, "part", "crash_parts", spread, history, quarantiner.WithThresholds(unknownPartCrashes, knownPartCrashes))
	return i
}

// Requests returns the reports on the digests of whole requests.
func (i *Inspector) Requests() *Reports { return i.requests }

// Parts returns the reports on the parts of prompts.
func (i *Inspector) Parts() *Reports { return i.parts }

// Refuses reports whether requests with a digest and parts must not run.
func (i *Inspector) Refuses(digest uint64, parts []uint64) bool {
	return i.requests.refuses(digest) || i.parts.refusesParts(parts)
}

// RecordLoss records that the connection of a request was lost or that no response
// arrived in time, and has the upstream checked.
func (i *Inspector) RecordLoss(l forwarder.Loss) {
	if l.Digest == 0 && len(l.Parts) == 0 {
		return
	}
	select {
	case i.losses <- loss{Loss: l, lost: time.Now()}:
	default:
		i.dropped.Add(1)
	}
}

// RecordBegun records that an upstream has begun to answer a request with some
// parts.
func (i *Inspector) RecordBegun(parts []uint64) { i.parts.recordBegun(parts) }

// RecordComplete records that an upstream has run a request with success.
func (i *Inspector) RecordComplete(digest uint64) { i.requests.recordBegun([]uint64{digest}) }

// recordCrash adds crash reports for a loss.
func (i *Inspector) recordCrash(l loss) {
	i.requests.recordCrash(l, l.Digest)
	if len(l.Parts) > 0 {
		i.parts.recordCrash(l, l.Parts...)
	}
}

// processID identifies the process of an upstream: one that restarts may keep its
// ID.
func processID(e registrar.Entry) uint64 {
	return xxhash.Sum64String(e.ID + "@" + strconv.FormatInt(e.Born, 10))
}

// Gauges returns metrics: the digests and parts with crash reports, those of them
// that are confirmed, the health checks by result and the losses without one.
func (i *Inspector) Gauges() []reporter.Gauge {
	gauges := append(i.requests.gauges(), i.parts.gauges()...)
	gauges = append(gauges, reporter.Gauge{Name: "losses_dropped", Value: float64(i.dropped.Load())})
	for r := range resultCount {
		gauges = append(gauges, reporter.Gauge{Name: "upstream_checks", Tags: map[string]string{"result": r.String()}, Value: float64(i.checked[r].Load())})
	}
	return gauges
}
