package commander

import (
	"fmt"
	"strings"
)

// explanation holds the keys of a refused request's log line that name what decided on the
// refusal. A key that the line does not have is nil.
type explanation struct {
	WaitMs           *int64   `json:"waitMs,omitempty"`
	UpstreamsServing *int     `json:"upstreamsServing,omitempty"`
	UpstreamsCold    *int     `json:"upstreamsCold,omitempty"`
	UpstreamsEjected *int     `json:"upstreamsEjected,omitempty"`
	UpstreamsLeaving *int     `json:"upstreamsLeaving,omitempty"`
	ShareAsked       *float64 `json:"shareAsked,omitempty"`
	ShareServed      *float64 `json:"shareServed,omitempty"`
	ShareLevel       *float64 `json:"shareLevel,omitempty"`
}

// describe returns what decided on a refusal, as clauses that follow a sentence.
func (e explanation) describe() (text string) {
	if e.WaitMs != nil && *e.WaitMs > 0 {
		text += fmt.Sprintf("; forecast wait %d ms", *e.WaitMs)
	}
	var states []string
	for _, s := range []struct {
		n    *int
		name string
	}{{e.UpstreamsServing, "serving"}, {e.UpstreamsCold, "cold"}, {e.UpstreamsEjected, "ejected"}, {e.UpstreamsLeaving, "leaving"}} {
		if s.n != nil {
			states = append(states, fmt.Sprintf("%d %s", *s.n, s.name))
		}
	}
	if len(states) > 0 {
		text += "; upstreams: " + strings.Join(states, ", ")
	}
	if e.ShareAsked != nil && e.ShareServed != nil && e.ShareLevel != nil {
		text += fmt.Sprintf("; share: asked %.1f, served %.1f, fair level %.1f", *e.ShareAsked, *e.ShareServed, *e.ShareLevel)
	}
	return text
}
