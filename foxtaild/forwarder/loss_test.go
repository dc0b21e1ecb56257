package forwarder

import (
	"context"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"

	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/scheduler/router"
)

// TestSuspectParts checks which lost connections make the parts of a prompt
// suspects.
func TestSuspectParts(t *testing.T) {
	read := func(err error) error {
		return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	}
	streaming, whole := router.Route{Kind: router.Streaming}, router.Route{Kind: router.Idempotent}
	unbegun := handler{lastEventID: NoEvent}
	tests := map[string]struct {
		err   error
		route router.Route
		state handler
		want  bool
	}{
		"closed":                         {io.EOF, streaming, unbegun, true},
		"closed inside the response":     {io.ErrUnexpectedEOF, streaming, unbegun, true},
		"stream truncated":               {errTruncatedStream, streaming, unbegun, true},
		"reset":                          {read(syscall.ECONNRESET), streaming, unbegun, true},
		"reset while writing":            {&net.OpError{Op: "write", Err: os.NewSyscallError("writev", syscall.EPIPE)}, streaming, unbegun, true},
		"read timeout":                   {&net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}, streaming, unbegun, false},
		"no acknowledgements":            {read(syscall.ETIMEDOUT), streaming, unbegun, false},
		"host unreachable":               {read(syscall.EHOSTUNREACH), streaming, unbegun, false},
		"dial timeout":                   {&net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded}, streaming, unbegun, false},
		"closed by this host":            {net.ErrClosed, streaming, unbegun, false},
		"deadline of the request passed": {nil, streaming, unbegun, false},
		"response is too large":          {connector.ErrReadLimit, streaming, unbegun, false},
		"response is invalid":            {errInvalidResponse, streaming, unbegun, false},
		"event skipped":                  {errMissingEvent, streaming, unbegun, false},
		"buffers are full":               {errBuffersFull, whole, unbegun, false},
		"events received":                {io.ErrUnexpectedEOF, streaming, handler{lastEventID: NoEvent, firstEvent: 1}, false},
		"events received by the caller":  {io.ErrUnexpectedEOF, streaming, handler{lastEventID: 3}, false},
		"head of a stream received":      {io.ErrUnexpectedEOF, streaming, handler{lastEventID: NoEvent, responseStarted: true}, true},
		"head of a response received":    {io.ErrUnexpectedEOF, whole, handler{lastEventID: NoEvent, responseStarted: true}, false},
		"no head of a response":          {io.ErrUnexpectedEOF, whole, unbegun, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			parts := []uint64{11, 12}
			h := tt.state
			h.r = &Request{Parts: parts, Route: &tt.route}
			var want []uint64
			if tt.want {
				want = parts
			}
			if got := h.suspectParts(tt.err); !slices.Equal(got, want) {
				t.Errorf("suspects %v, want %v", got, want)
			}
		})
	}
}
