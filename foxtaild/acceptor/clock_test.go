package acceptor_test

import (
	"net"
	"testing"
	"time"
	"unsafe"

	"foxtaillug.org/foxtaild/acceptor"
)

// stepWallClock returns a time with t's monotonic reading whose time of day is
// later by step, a number of whole seconds. Package time has no function for that.
func stepWallClock(t *testing.T, at time.Time, step time.Duration) time.Time {
	t.Helper()
	// The first word of a Time with a monotonic reading holds a flag, 33 bits of
	// seconds and 30 bits of nanoseconds.
	const secondsShift = 30
	stepped := at
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(int64(step/time.Second) << secondsShift)
	if stepped.Sub(at) != 0 || stepped.Round(0).Sub(at.Round(0)) != step {
		t.Fatalf("the layout of time.Time has changed: %v and %v", at, stepped)
	}
	return stepped
}

func TestStepOfWallClockDoesNotChangeTimeouts(t *testing.T) {
	const idleTimeout = 10 * time.Second
	tests := map[string]struct {
		elapsed, step time.Duration
		expired       bool
	}{
		"forward before the timeout":  {idleTimeout / 2, time.Hour, false},
		"backward before the timeout": {idleTimeout / 2, -time.Hour, false},
		"forward after the timeout":   {2 * idleTimeout, time.Hour, true},
		"backward after the timeout":  {2 * idleTimeout, -time.Hour, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			a := acceptor.New(func() acceptor.Limits { return acceptor.Limits{IdleTimeout: idleTimeout, HeaderTimeout: idleTimeout} })
			caller, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = caller.Close() }()
			c, err := a.Wrap(l).Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			a.Sweep(stepWallClock(t, time.Now().Add(tt.elapsed), tt.step))
			if err := caller.Close(); err != nil {
				t.Fatal(err)
			}
			// The read of a connection that is kept returns the caller's close.
			_, err = c.Read(make([]byte, 1))
			if expired := isTimeout(err); expired != tt.expired {
				t.Errorf("expired %v, want %v; the read returned %v", expired, tt.expired, err)
			}
		})
	}
}

// isTimeout reports whether a read has failed by its deadline.
func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
