package inspector

import (
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler/quarantiner"
)

// Reports are the crash reports of one host on one kind of digest: whole requests or
// parts of prompts. They are safe for concurrent use.
type Reports struct {
	log *slog.Logger
	// logKey is the key of a digest in logs and gaugeName the name of the gauge that
	// counts digests.
	logKey, gaugeName string
	// changed receives a value when there are new reports for other hosts.
	changed chan struct{}

	mu      sync.Mutex
	reports *quarantiner.Quarantiner
	// digests and confirmed are the numbers of digests in reports, so that most
	// requests are passed without the lock.
	digests, confirmed atomic.Int64
}

// newReports returns an empty set of reports.
func newReports(log *slog.Logger, logKey, gaugeName string, opts ...quarantiner.Option) *Reports {
	return &Reports{log: log, logKey: logKey, gaugeName: gaugeName, changed: make(chan struct{}, 1), reports: quarantiner.New(opts...)}
}

// refuses reports whether requests with a digest must not run. The digest 0 means none.
func (r *Reports) refuses(digest uint64) bool {
	if digest == 0 || r.confirmed.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reports.Verdict(quarantiner.Digest(digest), time.Now()) == quarantiner.Refused
}

// refusesParts reports whether requests with some parts must not run. The part 0 means
// none.
func (r *Reports) refusesParts(parts []uint64) bool {
	if len(parts) == 0 || r.confirmed.Load() == 0 {
		return false
	}
	digests := make([]quarantiner.Digest, 0, len(parts))
	for _, p := range parts {
		if p != 0 {
			digests = append(digests, quarantiner.Digest(p))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reports.RefusesParts(time.Now(), digests...)
}

// update applies a change to the reports. If the function returns true, the
// reports are sent to other hosts without delay.
func (r *Reports) update(change func(q *quarantiner.Quarantiner) bool) {
	r.mu.Lock()
	send := change(r.reports)
	digests, confirmed := r.reports.Len()
	r.digests.Store(int64(digests))
	r.confirmed.Store(int64(confirmed))
	r.mu.Unlock()
	if send {
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
}

// recordCrash adds crash reports on some digests for a loss.
func (r *Reports) recordCrash(l loss, digests ...uint64) {
	process := processID(l.Upstream)
	r.update(func(q *quarantiner.Quarantiner) (send bool) {
		for _, d := range digests {
			d := quarantiner.Digest(d)
			if d != 0 && q.RecordCrash(d, process, l.Sent, l.lost) {
				r.logVerdict(d, q.Verdict(d, time.Now()), q.Crashes(d), l.Upstream.ID)
				send = true
			}
		}
		return send
	})
}

// recordBegun records that an upstream has begun to answer a request with some
// digests.
func (r *Reports) recordBegun(digests []uint64) {
	if len(digests) == 0 {
		return
	}
	r.update(func(q *quarantiner.Quarantiner) (send bool) {
		now := time.Now()
		for _, d := range digests {
			if d == 0 {
				continue
			}
			d := quarantiner.Digest(d)
			before := q.Verdict(d, now)
			if q.RecordBegun(d, now) {
				send = true
				if before == quarantiner.Refused {
					r.logVerdict(d, q.Verdict(d, now), q.Crashes(d), "answer")
				}
			}
		}
		return send
	})
}

// Changed returns a channel that receives a value when this host has new reports.
func (r *Reports) Changed() <-chan struct{} { return r.changed }

// Message returns at most n reports for any host.
func (r *Reports) Message(n int) quarantiner.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reports.Message(n, time.Now())
}

// Response returns at most n reports in response to the message of another host.
func (r *Reports) Response(m quarantiner.Message, n int) quarantiner.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reports.Response(m, n, time.Now())
}

// Receive processes the message of another host.
func (r *Reports) Receive(m quarantiner.Message) {
	if len(m.Reports) == 0 {
		return
	}
	r.update(func(q *quarantiner.Quarantiner) bool {
		now := time.Now()
		for _, x := range m.Reports {
			before := q.Verdict(x.Digest, now)
			q.Merge(x, now)
			// Every crash makes suspects on all hosts; the host that reports one logs it.
			if after := q.Verdict(x.Digest, now); after != before && (after == quarantiner.Refused || before == quarantiner.Refused) {
				r.logVerdict(x.Digest, after, q.Crashes(x.Digest), "peer")
			}
		}
		return false
	})
}

// logVerdict logs a changed verdict on a digest and where the reports came from.
func (r *Reports) logVerdict(d quarantiner.Digest, v quarantiner.Verdict, crashes int, source string) {
	r.log.Info("crash verdict", r.logKey, strconv.FormatUint(uint64(d), 16), "verdict", v.String(), "crashes", crashes, "source", source)
}

// gauges returns the numbers of digests with crash reports and of those of them that
// are confirmed.
func (r *Reports) gauges() []reporter.Gauge {
	return []reporter.Gauge{
		{Name: r.gaugeName, Value: float64(r.digests.Load())},
		{Name: r.gaugeName + "_confirmed", Value: float64(r.confirmed.Load())},
	}
}
