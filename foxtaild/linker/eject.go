package linker

import (
	"context"
	"log/slog"
	"math"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// ejectedInterval is the time between two messages to entry hosts with the upstreams that are out
// of service for their failures: half of the time for which they are valid.
const ejectedInterval = time.Second

// describe completes an admission request with what coordinators that eject upstreams for their
// failures use, in few bytes: 16 bits of the digest suffice to tell the failed requests of one
// upstream apart. Other coordinators are sent neither.
func (l *Linker) describe(req coordinator.Request) coordinator.Request {
	if !l.settings.Features.Ejection {
		req.Retryable = false
		return req
	}
	if req.Digest != 0 {
		// The lowest bit of a digest is always set, and 0 means that it is not known.
		req.Content = uint16(max(1, req.Digest>>16&math.MaxUint16))
	}
	return req
}

// receiveEjected passes the verdicts of a coordinator to this host's own, which uses them if it has
// to decide alone or takes over.
func (l *Linker) receiveEjected(ids []string) {
	if len(ids) > 0 {
		l.loop.enqueue(l.ctx, func(now time.Time) { l.loop.coordinator.RecordEjected(ids, now) })
	}
}

// publishEjections logs which upstreams were ejected or are back, those by the verdict of a
// coordinator, which logs them itself, for debugging only, and, on a coordinator, sends the
// entry hosts those that are out.
func (l *loop) publishEjections(now time.Time) {
	changes := l.coordinator.Ejections()
	for _, e := range changes {
		level, backLevel := slog.LevelWarn, slog.LevelInfo
		if e.Hinted {
			level, backLevel = slog.LevelDebug, slog.LevelDebug
		}
		if e.Out {
			l.log.Log(context.Background(), level, "upstream ejected", "pool", e.Pool, "upstream", e.ID, "reason", e.Reason, "failureRate", e.Rate, "poolFailureRate", e.PoolRate)
			continue
		}
		l.log.Log(context.Background(), backLevel, "upstream back in service", "pool", e.Pool, "upstream", e.ID, "reason", e.Reason, "outMs", e.Lasted.Milliseconds())
	}
	if l.coordinator.Standalone() || len(changes) == 0 && now.Sub(l.sentEjectedAt) < ejectedInterval {
		return
	}
	l.sentEjectedAt = now
	ids := l.coordinator.Ejected()
	if len(ids) == 0 {
		return
	}
	for _, s := range l.sinks {
		s(response{Ejected: ids})
	}
}
