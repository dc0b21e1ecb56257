package logger

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

// clock is a fake clock.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

// TestFloodNeverBlocks logs several times as many lines as the queue holds while
// the writer is blocked.
func TestFloodNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	c := &clock{now: time.Unix(1, 0)}
	l := newLogger(w, nil, c.read)
	for range 4 * maxQueuedLines {
		c.now = c.now.Add(budgetPeriod / linesPerKind)
		l.Info("request")
	}
	if l.Dropped() == 0 {
		t.Error("no line was dropped although nothing was written")
	}
	close(w.release)
	l.Close()
	if n := strings.Count(w.out.String(), "\n"); n < maxQueuedLines {
		t.Errorf("%d lines written after the writer was released, want at least the %d in the queue", n, maxQueuedLines)
	}
}

// TestBudgets floods one kind of line and checks that another is written.
func TestBudgets(t *testing.T) {
	var out bytes.Buffer
	c := &clock{now: time.Unix(1, 0)}
	l := newLogger(&out, nil, c.read)
	derived := l.With("host", "h")
	for range 10 * linesPerKind {
		derived.Info("request")
	}
	derived.Warn("request failed")
	c.now = c.now.Add(budgetPeriod)
	derived.Info("request")
	l.Close()
	text := out.String()
	if n := strings.Count(text, `"msg":"request"`); n != linesPerKind+1 {
		t.Errorf("%d lines of the flood, want %d", n, linesPerKind+1)
	}
	for _, want := range []string{`"msg":"request failed"`, `"of":"request","atLevel":"INFO","forReason":"","lines":1350`} {
		if !strings.Contains(text, want) {
			t.Errorf("log does not contain %s", want)
		}
	}
}

// TestFloodOfOneReasonHidesNoOther floods the log with refusals for one or many
// reasons and checks that a refusal for another reason is still written.
func TestFloodOfOneReasonHidesNoOther(t *testing.T) {
	tests := map[string]func(i int) string{
		"one reason":             func(int) string { return "overQuota" },
		"new reason each time":   func(i int) string { return fmt.Sprint("reason ", i) },
		"reasons in rotation":    func(i int) string { return fmt.Sprint("reason ", i%3) },
		"flood without a reason": func(int) string { return "" },
	}
	for name, reason := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			c := &clock{now: time.Unix(1, 0)}
			l := newLogger(&out, nil, c.read)
			l.Warn("request", "id", "before", "reason", "noCapacity")
			for i := range 10 * linesPerKind {
				l.Warn("request", "id", i, "reason", reason(i))
			}
			l.Warn("request", "id", "after", "reason", "noCapacity")
			l.Close()
			for _, id := range []string{"before", "after"} {
				if !strings.Contains(out.String(), `"id":"`+id+`"`) {
					t.Errorf("log does not contain the line of request %s", id)
				}
			}
			if n := len(l.Handler().(*handler).kinds); n > maxKinds+1 {
				t.Errorf("%d kinds kept, want at most %d", n, maxKinds+1)
			}
		})
	}
}
