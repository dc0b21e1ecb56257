// Package logger writes JSON log lines without ever blocking its callers.
//
// Lines go through a bounded queue to one writer. Each kind of line, which is its
// level, message and reason, has a budget of lines per second. Lines beyond the
// budget are counted and reported in a line of their own, so that a flood of
// successes can't displace failures, and a flood of one failure can't displace
// another.
package logger

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"foxtaillug.org/foxtaild/reporter"
)

const (
	// maxQueuedLines bounds the queue of lines to be written; others are dropped.
	maxQueuedLines = 1024
	// linesPerKind is the number of lines of one kind per budgetPeriod.
	linesPerKind = 150
	// budgetPeriod is the time after which a budget is renewed.
	budgetPeriod = time.Second
	// maxKinds bounds the number of kinds with a budget of their own. All
	// further kinds share one.
	maxKinds = 256
	// reasonKey is the attribute that distinguishes kinds of one message.
	reasonKey = "reason"
)

// lineQueue is the bounded queue in front of the writer.
type lineQueue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// Write queues a copy of a line, or drops the line if the queue is full.
func (q *lineQueue) Write(b []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), b...):
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// kind identifies the lines that share a budget. The zero kind is that of all
// lines beyond maxKinds.
type kind struct {
	level           slog.Level
	message, reason string
}

// kindOf returns the kind of a line.
func kindOf(rec slog.Record) kind {
	k := kind{level: rec.Level, message: rec.Message}
	rec.Attrs(func(a slog.Attr) bool {
		if a.Key == reasonKey {
			k.reason = a.Value.String()
		}
		return a.Key != reasonKey
	})
	return k
}

// window counts the lines of one kind in the current period.
type window struct {
	since      time.Time
	used       int
	suppressed int
}

// shared is the state that a handler shares with the handlers derived from it.
type shared struct {
	queue *lineQueue
	now   func() time.Time

	mu     sync.Mutex
	kinds  map[kind]*window
	budget int
}

// handler is a slog.Handler that enforces the budgets.
type handler struct {
	slog.Handler
	*shared
}

// Logger is a slog.Logger with its own writer goroutine.
type Logger struct {
	*slog.Logger
	queue *lineQueue
	stop  func()
}

// New returns a logger that writes to w. The caller must call Close.
func New(w io.Writer, opts *slog.HandlerOptions) *Logger {
	return newLogger(w, opts, time.Now)
}

// newLogger is like New with a given clock.
func newLogger(w io.Writer, opts *slog.HandlerOptions, now func() time.Time) *Logger {
	q := &lineQueue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	h := &handler{
		Handler: slog.NewJSONHandler(q, opts),
		shared:  &shared{queue: q, now: now, kinds: make(map[kind]*window), budget: linesPerKind},
	}
	stop := make(chan struct{})
	go q.write(w, stop)
	return &Logger{Logger: slog.New(h), queue: q, stop: sync.OnceFunc(func() {
		close(stop)
		<-q.done
	})}
}

// Dropped returns the number of lines that were dropped because the queue was
// full.
func (l *Logger) Dropped() uint64 { return l.queue.dropped.Load() }

// Gauges returns metrics: the number of dropped lines.
func (l *Logger) Gauges() []reporter.Gauge {
	return []reporter.Gauge{{Name: "log_lines_dropped", Value: float64(l.Dropped())}}
}

// Close writes the queued lines and stops the writer.
func (l *Logger) Close() { l.stop() }

// write writes lines until stop is closed and the queue is empty.
func (q *lineQueue) write(w io.Writer, stop <-chan struct{}) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			// There is nowhere to report that a log line can't be written.
			_, _ = w.Write(line)
		case <-stop:
			for {
				select {
				case line := <-q.lines:
					_, _ = w.Write(line)
				default:
					return
				}
			}
		}
	}
}

// Handle writes a line if the budget of its kind allows.
func (h *handler) Handle(ctx context.Context, rec slog.Record) error {
	k := kindOf(rec)
	suppressed, ok := h.allow(k)
	if suppressed > 0 {
		note := slog.NewRecord(rec.Time, slog.LevelWarn, "log lines left out", 0)
		note.AddAttrs(slog.String("of", rec.Message), slog.String("atLevel", rec.Level.String()), slog.String("forReason", k.reason), slog.Int("lines", suppressed))
		if err := h.Handler.Handle(ctx, note); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	return h.Handler.Handle(ctx, rec)
}

// allow counts a line against the budget of its kind. It returns the number of
// lines that were suppressed in the previous period, if a new one begins, and
// whether this line may be written.
func (s *shared) allow(k kind) (suppressed int, ok bool) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	win := s.kinds[k]
	if win == nil && len(s.kinds) >= maxKinds {
		k = kind{}
		win = s.kinds[k]
	}
	if win == nil {
		win = &window{since: now}
		s.kinds[k] = win
	}
	if now.Sub(win.since) >= budgetPeriod {
		suppressed = win.suppressed
		*win = window{since: now}
	}
	if win.used >= s.budget {
		win.suppressed++
		return suppressed, false
	}
	win.used++
	return suppressed, true
}

// WithAttrs returns a handler with attributes that shares the budgets.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{Handler: h.Handler.WithAttrs(attrs), shared: h.shared}
}

// WithGroup returns a handler with a group that shares the budgets.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{Handler: h.Handler.WithGroup(name), shared: h.shared}
}
