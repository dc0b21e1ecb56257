package receiver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
)

// failing is a caller that takes some bytes and no more.
type failing struct {
	left int
}

func (f *failing) Write(b []byte) (int, error) {
	if f.left -= len(b); f.left < 0 {
		return 0, errors.New("gone")
	}
	return len(b), nil
}

func TestCopyEvents(t *testing.T) {
	long := "data: " + strings.Repeat("x", 3*lineBytes) + "\n\n"
	tests := map[string]struct {
		in     string
		tokens int
		done   bool
	}{
		"whole":              {in: "data: a\n\ndata: b\n\ndata: [DONE]\n\n", tokens: 2, done: true},
		"nothing":            {in: ""},
		"cut after an event": {in: "data: a\n\n", tokens: 1},
		"cut in an event":    {in: "data: a\n\ndata: b", tokens: 2},
		"cut in the last":    {in: "data: a\n\ndata: [DON", tokens: 2},
		"long event":         {in: long + "data: [DONE]\n\n", tokens: 1, done: true},
		"last event quoted":  {in: "data: " + strings.Repeat("x", lineBytes-len("data: ")) + "data: [DONE]\n\n", tokens: 1},
		"comments":           {in: ": keep\n\ndata: a\n\ndata: [DONE]\n\n", tokens: 1, done: true},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			firsts := 0
			tokens, done, err := copyEvents(bufio.NewReaderSize(strings.NewReader(x.in), lineBytes), bufio.NewWriter(&out), func() { firsts++ })
			if tokens != x.tokens || done != x.done || err != io.EOF {
				t.Errorf("got %d tokens, done %v, %v; want %d, %v", tokens, done, err, x.tokens, x.done)
			}
			if out.String() != x.in {
				t.Errorf("relayed %q, want %q", out.String(), x.in)
			}
			if firsts > 1 {
				t.Errorf("the first token came %d times", firsts)
			}
		})
	}
}

func TestCopyEventsNoticesTheCallerGone(t *testing.T) {
	in := bufio.NewReader(strings.NewReader(strings.Repeat("data: a\n\n", 1000)))
	_, _, err := copyEvents(in, bufio.NewWriterSize(&failing{left: 100}, 64), func() {})
	if !eris.Is(err, errCaller) {
		t.Errorf("got %v, want that the caller is gone", err)
	}
}

func BenchmarkCopyEvents(b *testing.B) {
	text := strings.Repeat("data: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n", 1000) + doneEvent + "\n\n"
	in, out := bufio.NewReaderSize(nil, lineBytes), bufio.NewWriter(io.Discard)
	r := strings.NewReader(text)
	b.ReportAllocs()
	for b.Loop() {
		r.Reset(text)
		in.Reset(r)
		if _, done, _ := copyEvents(in, out, func() {}); !done {
			b.Fatal("not whole")
		}
	}
}
