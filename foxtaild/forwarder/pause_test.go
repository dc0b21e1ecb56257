package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/forwarder"
)

// TestSilentReaderKeepsItsRequest has an upstream read nothing of a body for a while.
func TestSilentReaderKeepsItsRequest(t *testing.T) {
	for name, pause := range map[string]time.Duration{"1 s": time.Second, "1.4 s": 1400 * time.Millisecond, "1.8 s": 1800 * time.Millisecond, "2 s": 2 * time.Second, "3 s": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := newTakeoverFixture(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				time.Sleep(pause)
				buf := make([]byte, 64<<10)
				total := 0
				for total < 4<<20 {
					n, err := c.Read(buf)
					total += n
					if err != nil {
						return
					}
				}
				_, _ = io.WriteString(c, strings.ReplaceAll(response(200, sealed, "yes"), "%ID", "id-1"))
				_, _ = io.Copy(io.Discard, c)
			}()
			s.put("first", l.Addr().String())
			route := nonIdempotent
			route.Objective = time.Second
			r := &recorder{}
			s.Serve(context.Background(), &forwarder.Request{
				ID: "id-1", Method: http.MethodPost, Target: "/p", Body: bytes.Repeat([]byte("x"), 4<<20), Route: &route, Pool: "p",
				Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second), LastEventID: forwarder.NoEvent,
			}, r)
			if got := r.outcome(); got != "200 yes" {
				t.Errorf("the caller received %q with %+v", got, r.refusal)
			}
		})
	}
}
