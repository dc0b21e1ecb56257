package connector_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/connector"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 30 * time.Second

// TestResetIsNoCleanEnd resets a connection while a request is being written, so that
// the write takes the error that the kernel reports only once, and then reads.
func TestResetIsNoCleanEnd(t *testing.T) {
	tests := map[string]struct {
		end   func(c *net.TCPConn) error
		clean bool
	}{
		"reset":  {end: func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }},
		"closed": {end: func(c *net.TCPConn) error { return c.CloseWrite() }, clean: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			conn, err := connector.New().Get(context.Background(), "upstream", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
			accepted, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = accepted.Close() }()
			written := make(chan struct{})
			go func() {
				defer close(written)
				// More than the sockets' buffers hold.
				_, _ = conn.Write(make([]byte, 64<<20))
			}()
			if _, err := io.ReadFull(accepted, make([]byte, 1<<10)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(accepted, "some"); err != nil {
				t.Fatal(err)
			}
			if err := tt.end(accepted.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			if !tt.clean {
				<-written
			}
			b, err := io.ReadAll(conn.Reader())
			if clean := err == nil; string(b) != "some" || clean != tt.clean {
				t.Errorf("read %q, error %v; want some, clean end: %v", b, err, tt.clean)
			}
		})
	}
}
