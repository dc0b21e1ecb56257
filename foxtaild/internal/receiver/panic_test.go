package receiver

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	recoverer "github.com/gofiber/fiber/v3/middleware/recover"

	"foxtaillug.org/contract"
	"foxtaillug.org/foxtaild/connector"
	"foxtaillug.org/foxtaild/forwarder"
	"foxtaillug.org/foxtaild/internal/tracker"
	"foxtaillug.org/foxtaild/reporter"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/router"
)

// panickingAdmitter panics for each request, or after its first event.
type panickingAdmitter struct{ afterFirstEvent bool }

func (a panickingAdmitter) Admit(context.Context, coordinator.Request) (forwarder.Grant, error) {
	if !a.afterFirstEvent {
		panic("no such pool")
	}
	return forwarder.Grant{
		Upstream: "u", Expires: time.Now().Add(time.Minute),
		ReportFirstEvent: func(time.Duration) { panic("no such pool") }, ReportFinish: func(coordinator.Finish) {},
	}, nil
}

// TestPanicIsLoggedWithRequestID checks that a panic while a request is handled is
// logged and counted with the request's ID, that its caller receives an error, and
// that the process goes on.
func TestPanicIsLoggedWithRequestID(t *testing.T) {
	tests := map[string]struct {
		afterFirstEvent, stream bool
		want                    string
	}{
		"whole response":              {want: `"reason":"internal"`},
		"stream before its response":  {stream: true, want: `"reason":"internal"`},
		"stream after its first line": {stream: true, afterFirstEvent: true, want: "event: error\ndata: "},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, func(_ int, id string) string {
				return strings.Replace(streamResponse(": comment\n\ndata: x\n\n"), "\r\n", "\r\n"+HeaderRequestID+": "+id+"\r\n", 1)
			})
			rep, err := reporter.New("host")
			if err != nil {
				t.Fatal(err)
			}
			dir, err := contract.NewDirectory(contract.Document{})
			if err != nil {
				t.Fatal(err)
			}
			var logs bytes.Buffer
			log := slog.New(slog.NewJSONHandler(&logs, nil))
			r := &Receiver{log: log, reporter: rep, tracker: &tracker.Tracker{}, forwarder: forwarder.New(panickingAdmitter{tt.afterFirstEvent}, codec{}, connector.New(),
				&fixedDirectory{address: u.address(), usable: alwaysUsable}, log, forwarder.WithTerminator(doneEvent))}
			r.app = fiber.New(fiber.Config{ErrorHandler: r.handleError})
			r.app.Use(recoverer.New())
			released := make(chan struct{})
			r.app.Post("/", func(c fiber.Ctx) error {
				k := newCall(context.Background(), "id-1", time.Minute)
				k.release, k.dir = func() { close(released) }, dir
				return r.handle(c, k, func(c fiber.Ctx, k *call) error {
					if tt.stream {
						return r.serveStream(c, k, newRequest(router.Streaming))
					}
					return r.writeResponse(c, k, r.forwardBuffered(k, newRequest(router.Idempotent)))
				})
			})
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = r.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}) }()
			defer func() { _ = r.app.Shutdown() }()
			resp, err := http.Post("http://"+l.Addr().String()+"/", "text/plain", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || !strings.Contains(string(body), tt.want) || !strings.Contains(string(body), `"requestId":"id-1"`) {
				t.Errorf("the caller received %q (%v), want %s and the request's ID", body, err, tt.want)
			}
			<-released
			if text := logs.String(); !strings.Contains(text, `"level":"ERROR","msg":"request handler panicked","id":"id-1","panic":"no such pool","stack":`) {
				t.Errorf("log %s, want the panic with the request's ID", text)
			}
			if e, ok := rep.Explain("id-1"); !ok || e.Reason != reasonInternal {
				t.Errorf("explanation %+v, want the reason %s", e, reasonInternal)
			}
		})
	}
}
