package booker_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/booker"
	"foxtaillug.org/scheduler/internal/rapidseed"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

var key = []byte("0123456789abcdef")

func TestTicketRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := booker.NewTicket(
			scheduler.HostID(rapid.String().Draw(t, "host")),
			scheduler.IncarnationID(rapid.String().Draw(t, "incarnation")),
			scheduler.WorkspaceID(rapid.String().Draw(t, "workspace")),
			time.Duration(rapid.IntRange(0, 1<<40).Draw(t, "age"))*time.Millisecond,
			rapid.String().Draw(t, "nonce"),
		)
		got, err := booker.DecodeTicket(want.Encode(key), key)
		if err != nil || got != want {
			t.Fatalf("got %v, %v; want %v", got, err, want)
		}
	})
}

func TestInvalidTicketsAreRejected(t *testing.T) {
	good := booker.NewTicket("h", "i", "w", time.Second, "n").Encode(key)
	tests := map[string]string{
		"empty":            "",
		"other key":        booker.NewTicket("h", "i", "w", time.Second, "n").Encode([]byte("another key here")),
		"other workspace":  strings.Replace(good, "dw", "dx", 1),
		"truncated":        good[:len(good)-1],
		"too many fields":  good + ".x",
		"unknown version":  "t2" + good[2:],
		"empty hash":       good[:strings.LastIndexByte(good, '.')+1],
		"trailing newline": good + "\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := booker.DecodeTicket(text, key); !eris.Is(err, booker.ErrInvalidTicket) {
				t.Errorf("got %v, want ErrInvalidTicket", err)
			}
		})
	}
}

func FuzzDecodeTicket(f *testing.F) {
	f.Add(booker.NewTicket("h", "i", "w", time.Second, "n").Encode(key))
	f.Add("t1......")
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := booker.DecodeTicket(text, key)
		if err == nil && ticket.Encode(key) != text {
			t.Errorf("%q was decoded as %v", text, ticket)
		}
	})
}

// attempt is one request with a ticket in a history.
type attempt struct {
	ticket string
}

// result is the result of an attempt: whether the call ran, and the status of the
// response.
type result struct {
	ran    bool
	status int
}

// model defines which histories of attempts are valid: a ticket runs at most once,
// and every later attempt gets the response of that run.
var model = porcupine.Model{
	Init: func() any { return 0 },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, op := range history {
			a, _ := op.Input.(attempt)
			parts[a.ticket] = append(parts[a.ticket], op)
		}
		var all [][]porcupine.Operation
		for _, p := range parts {
			all = append(all, p)
		}
		return all
	},
	Step: func(state, _, output any) (bool, any) {
		status, _ := state.(int)
		out, _ := output.(result)
		if out.ran {
			return status == 0, out.status
		}
		return out.status == status || out.status == 0, status
	},
}

// TestTicketsRunAtMostOnce checks histories of overlapping, aborted and repeated
// attempts, including time that advances past the tickets' lifetimes and a booker
// that is at capacity.
func TestTicketsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now, clock := start, int64(0)
		b := booker.New("i", start, booker.WithLifetime(10*time.Second), booker.WithCapacity(3))
		names := []string{"a", "b", "c", "d"}
		running := make(map[string]int64)
		var history []porcupine.Operation
		status := 200
		for range rapid.IntRange(1, 60).Draw(t, "attempts") {
			clock++
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "ticket")
			ticket := booker.NewTicket("h", "i", "w", 0, name)
			if began, ok := running[name]; ok && rapid.Bool().Draw(t, "ends") {
				delete(running, name)
				if rapid.IntRange(0, 3).Draw(t, "aborted") == 0 {
					b.Abort(ticket)
					continue
				}
				status++
				b.Finish(ticket, booker.NewResponse(status, "", nil, "complete", ""))
				history = append(history, porcupine.Operation{Input: attempt{ticket: name}, Call: began, Output: result{ran: true, status: status}, Return: clock})
				continue
			}
			decision, resp := b.Begin(ticket, 1, now)
			switch decision {
			case booker.Run:
				if _, twice := running[name]; twice {
					t.Fatalf("ticket %s runs twice concurrently", name)
				}
				running[name] = clock
			case booker.Replay:
				history = append(history, porcupine.Operation{Input: attempt{ticket: name}, Call: clock, Output: result{status: resp.Status()}, Return: clock})
			}
		}
		if !porcupine.CheckOperations(model, history) {
			t.Fatalf("a ticket ran twice or got a wrong response: %v", history)
		}
	})
}

func TestBegin(t *testing.T) {
	start := time.Unix(1000, 0)
	ticket := booker.NewTicket("h", "i", "w", 0, "n")
	tests := map[string]struct {
		setup  func(b *booker.Booker)
		ticket booker.Ticket
		call   uint64
		at     time.Duration
		want   booker.Decision
	}{
		"first use":         {ticket: ticket, call: 1, want: booker.Run},
		"call is running":   {setup: func(b *booker.Booker) { b.Begin(ticket, 1, start) }, ticket: ticket, call: 1, want: booker.Wait},
		"different call":    {setup: func(b *booker.Booker) { b.Begin(ticket, 1, start) }, ticket: ticket, call: 2, want: booker.Mismatch},
		"other incarnation": {ticket: booker.NewTicket("h", "j", "w", 0, "n"), call: 1, want: booker.OtherIncarnation},
		"expired":           {ticket: ticket, call: 1, at: booker.DefaultLifetime, want: booker.Expired},
		"aborted":           {setup: func(b *booker.Booker) { b.Begin(ticket, 1, start); b.Abort(ticket) }, ticket: ticket, call: 1, want: booker.Run},
		"aborted, expired":  {setup: func(b *booker.Booker) { b.Begin(ticket, 1, start); b.Abort(ticket) }, ticket: ticket, call: 1, at: booker.DefaultLifetime, want: booker.Expired},
		"finished": {setup: func(b *booker.Booker) {
			b.Begin(ticket, 1, start)
			b.Finish(ticket, booker.NewResponse(201, "", nil, "complete", ""))
		}, ticket: ticket, call: 1, want: booker.Replay},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			b := booker.New("i", start)
			if x.setup != nil {
				x.setup(b)
			}
			if got, _ := b.Begin(x.ticket, x.call, start.Add(x.at)); got != x.want {
				t.Errorf("got decision %d, want %d", got, x.want)
			}
		})
	}
}
