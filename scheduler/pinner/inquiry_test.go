package pinner_test

import (
	"testing"

	"foxtaillug.org/scheduler/pinner"
)

func TestInquiry(t *testing.T) {
	const asked = 5
	tests := map[string]struct {
		own     pinner.Answer
		answers []pinner.Answer
		asked   int
		alone   bool
		want    pinner.Origin
		// done reports whether further answers would not count.
		done bool
	}{
		"nobody answers":              {asked: asked},
		"nobody answers, own is sole": {asked: asked, own: sole(first)},
		"nobody else, own is sole":    {alone: true, own: sole(first), want: first, done: true},
		"nobody else, nothing known":  {alone: true, done: true},
		"nobody is reached":           {own: sole(first), done: true},
		"own record":                  {asked: asked, own: recorded(first), want: first, done: true},
		"a record elsewhere":          {asked: asked, answers: []pinner.Answer{recorded(first)}, want: first, done: true},
		"a record while mixed":        {asked: asked, own: mixed, answers: []pinner.Answer{mixed, recorded(first)}, want: first, done: true},
		"a record of another origin than the sole one": {
			asked: asked, own: sole(first), answers: []pinner.Answer{sole(first), sole(first), recorded(second)}, want: second, done: true,
		},
		"records differ":               {asked: asked, own: recorded(first), answers: []pinner.Answer{recorded(second)}, done: true},
		"two streams claim the record": {asked: asked, own: recorded(pinner.Origin{}), done: true},
		"the record has no version":    {asked: asked, answers: []pinner.Answer{recorded(versionless)}, done: true},
		"own is sole, one confirms":    {asked: asked, own: sole(first), answers: []pinner.Answer{sole(first)}, want: first},
		"own is sole, all confirm": {
			asked: 2, own: sole(first), answers: []pinner.Answer{sole(first), sole(first)}, want: first, done: true,
		},
		"own is sole, nobody can confirm": {asked: 2, own: sole(first), answers: []pinner.Answer{unknown(first), {}}, done: true},
		"own is unknown, one is sole":     {asked: asked, answers: []pinner.Answer{sole(first), {}}},
		"own is unknown, two are sole":    {asked: asked, answers: []pinner.Answer{sole(first), sole(first)}, want: first},
		"own is unknown, the only other host is sole": {
			asked: 1, answers: []pinner.Answer{sole(first)}, want: first, done: true,
		},
		"the sole origin has no version": {asked: asked, own: sole(versionless), answers: []pinner.Answer{sole(versionless)}},
		"sole origins differ":            {asked: asked, own: sole(first), answers: []pinner.Answer{sole(second)}},
		"sole pools differ":              {asked: asked, own: sole(first), answers: []pinner.Answer{sole(moved)}},
		"one knows of several":           {asked: asked, own: sole(first), answers: []pinner.Answer{sole(first), sole(first), mixed}},
		"own knows of several":           {asked: asked, own: mixed, answers: []pinner.Answer{sole(first), sole(first)}},
		"own watch is short and shows another": {
			asked: asked, own: unknown(second), answers: []pinner.Answer{sole(first), sole(first)},
		},
		"a short watch elsewhere shows another": {
			asked: asked, own: sole(first), answers: []pinner.Answer{sole(first), unknown(second)},
		},
		"a short watch shows the same": {
			asked: asked, own: unknown(first), answers: []pinner.Answer{sole(first), sole(first)}, want: first,
		},
		"short watches are no confirmation": {
			asked: asked, own: unknown(first), answers: []pinner.Answer{unknown(first), unknown(first)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := pinner.NewInquiry(test.own, test.asked, test.alone)
			for _, a := range test.answers {
				q.Add(a)
			}
			if got, ok := q.Origin(); got != test.want || ok != (test.want != pinner.Origin{}) {
				t.Errorf("got %v, %v; want %v", got, ok, test.want)
			}
			if got := q.Done(); got != test.done {
				t.Errorf("got %v, want done %v", got, test.done)
			}
		})
	}
}

// TestInquiryByContent asks for a stream of which only the content is known: that of another
// stream may be the same.
func TestInquiryByContent(t *testing.T) {
	const asked = 2
	tests := map[string]struct {
		own     pinner.Answer
		answers []pinner.Answer
		witness bool
		alone   bool
		want    pinner.Origin
		// done reports whether further answers would not count.
		done bool
	}{
		"own record, the others have not answered": {own: recorded(first), witness: true, want: first},
		"own record, all have answered": {
			own: recorded(first), answers: []pinner.Answer{mixed, mixed}, witness: true, want: first, done: true,
		},
		"no host has run since before the stream": {
			own: recorded(first), answers: []pinner.Answer{mixed, recorded(first)}, done: true,
		},
		"another stream has another origin": {
			own: recorded(first), answers: []pinner.Answer{recorded(second), mixed}, witness: true, done: true,
		},
		"another stream has no known origin": {
			answers: []pinner.Answer{recorded(versionless), recorded(first)}, witness: true, done: true,
		},
		"no record, versions are mixed": {own: mixed, answers: []pinner.Answer{mixed, mixed}, witness: true, done: true},
		"no record, one origin for long": {
			own: sole(first), answers: []pinner.Answer{sole(first), sole(first)}, witness: true, want: first, done: true,
		},
		"no record, hosts have just started": {
			own: unknown(first), answers: []pinner.Answer{unknown(first), unknown(first)}, done: true,
		},
		"the only host": {own: recorded(first), alone: true, witness: true, want: first},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := pinner.NewInquiry(tt.own, asked, tt.alone, pinner.ByContent())
			if tt.witness {
				q.Witness()
			}
			for _, a := range tt.answers {
				q.Add(a)
			}
			if got, ok := q.Origin(); got != tt.want || ok != (tt.want != pinner.Origin{}) {
				t.Errorf("got %v, %v; want %v", got, ok, tt.want)
			}
			if got := q.Done(); got != tt.done {
				t.Errorf("got %v, want done %v", got, tt.done)
			}
		})
	}
}
