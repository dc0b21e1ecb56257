// Package tallier counts what callers see and makes the report of a trial.
package tallier

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMs is the longest time that is told apart.
	maxMs = 600_000
	// digits is the precision of histograms.
	digits = 3
	// slice is the resolution of goodput over time.
	slice = time.Second
)

// Result is what a caller saw of one request.
type Result struct {
	Tier       string
	Outcome    string
	Reason     string
	Booking    string
	Began      time.Time
	FirstToken time.Duration
	Gaps       []time.Duration
	Total      time.Duration
	Tokens     int
	InTime     bool
}

// tierTally counts one tier.
type tierTally struct {
	issued, good, late int
	tokens             int
	first, gaps        *hdrhistogram.Histogram
	outcomes           map[string]int
	reasons            map[string]int
	goodAt             map[int]int
	issuedAt           map[int]int
}

// Tallier counts results. It is safe for concurrent use.
type Tallier struct {
	mu       sync.Mutex
	began    time.Time
	tiers    map[string]*tierTally
	bookings map[string]string
}

// New returns a tallier that starts counting now.
func New() *Tallier {
	return &Tallier{began: time.Now(), tiers: make(map[string]*tierTally), bookings: make(map[string]string)}
}

// tier returns the tally of a tier. The caller holds mu.
func (t *Tallier) tier(name string) *tierTally {
	x, ok := t.tiers[name]
	if !ok {
		x = &tierTally{
			first:    hdrhistogram.New(1, maxMs, digits),
			gaps:     hdrhistogram.New(1, maxMs, digits),
			outcomes: make(map[string]int),
			reasons:  make(map[string]int),
			goodAt:   make(map[int]int),
			issuedAt: make(map[int]int),
		}
		t.tiers[name] = x
	}
	return x
}

// Add counts a result.
func (t *Tallier) Add(r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.tier(r.Tier)
	x.issued++
	x.outcomes[r.Outcome]++
	if r.Reason != "" {
		x.reasons[r.Reason]++
	}
	at := int(r.Began.Sub(t.began) / slice)
	x.issuedAt[at]++
	if r.Booking != "" {
		t.bookings[r.Booking] = r.Outcome
	}
	if r.Outcome != "complete" {
		return
	}
	if !r.InTime {
		x.late++
		return
	}
	x.good++
	x.goodAt[at]++
	x.tokens += r.Tokens
	if r.Tokens > 0 {
		_ = x.first.RecordValue(max(r.FirstToken.Milliseconds(), 1))
	}
	for _, g := range r.Gaps {
		_ = x.gaps.RecordValue(max(g.Milliseconds(), 1))
	}
}

// Progress returns a line for a terminal.
func (t *Tallier) Progress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	line := fmt.Sprintf("%4.0fs", time.Since(t.began).Seconds())
	for _, name := range t.names() {
		x := t.tiers[name]
		line += fmt.Sprintf("  %s %d/%d", name, x.good, x.issued)
	}
	return line
}

// names returns the tiers' names, sorted. The caller holds mu.
func (t *Tallier) names() []string {
	names := make([]string, 0, len(t.tiers))
	for n := range t.tiers {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// TierReport is the report on one tier. The fields are the JSON format.
type TierReport struct {
	Tier            string         `json:"tier"`
	Issued          int            `json:"issued"`
	Good            int            `json:"good"`
	GoodPart        float64        `json:"goodPart"`
	GoodPerSecond   float64        `json:"goodPerSecond"`
	TokensPerSecond float64        `json:"tokensPerSecond"`
	Late            int            `json:"late"`
	FirstTokenP50Ms int64          `json:"firstTokenP50Ms"`
	FirstTokenP95Ms int64          `json:"firstTokenP95Ms"`
	TokenGapP50Ms   int64          `json:"tokenGapP50Ms"`
	TokenGapP95Ms   int64          `json:"tokenGapP95Ms"`
	Outcomes        map[string]int `json:"outcomes"`
	Reasons         map[string]int `json:"reasons"`
	GoodBySecond    []int          `json:"goodBySecond"`
	IssuedBySecond  []int          `json:"issuedBySecond"`
}

// Report is the report of a trial. The fields are the JSON format.
type Report struct {
	Policy          string        `json:"policy"`
	Load            float64       `json:"load"`
	Seed            uint64        `json:"seed"`
	Seconds         float64       `json:"seconds"`
	Tiers           []TierReport  `json:"tiers"`
	PrefillTokens   int64         `json:"prefillTokens"`
	WastedTokens    int64         `json:"wastedPrefillTokens"`
	WastedPart      float64       `json:"wastedPrefillPart"`
	Bookings        int           `json:"bookings"`
	BookingsDoubled int           `json:"bookingsDoubled"`
	BookingsLost    int           `json:"bookingsLost"`
	BookingsUntrue  int           `json:"bookingsRefusedButRun"`
	EngineOverloads int           `json:"engineOverloads"`
	ControlBytes    int64         `json:"controlBytes"`
	Drained         string        `json:"drainedDomain,omitempty"`
	DrainFrom       float64       `json:"drainFromSecond,omitempty"`
	DrainTo         float64       `json:"drainToSecond,omitempty"`
	NewWorkAfter    int           `json:"newWorkAfterDrain"`
	Length          time.Duration `json:"-"`
}

// Report makes the report of what was counted so far.
func (t *Tallier) Report(length time.Duration, runs map[string]int) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Seconds: length.Seconds(), Length: length, Bookings: len(t.bookings)}
	for _, name := range t.names() {
		r.Tiers = append(r.Tiers, t.tiers[name].report(name, length))
	}
	for id, outcome := range t.bookings {
		switch n := runs[id]; {
		case n > 1:
			r.BookingsDoubled++
		case outcome == "complete" && n == 0:
			r.BookingsLost++
		case outcome == "notRun" && n > 0:
			r.BookingsUntrue++
		}
	}
	return r
}

// report makes the report on one tier.
func (x *tierTally) report(name string, length time.Duration) TierReport {
	r := TierReport{
		Tier: name, Issued: x.issued, Good: x.good, Late: x.late,
		GoodPart:        part(x.good, x.issued),
		GoodPerSecond:   float64(x.good) / length.Seconds(),
		TokensPerSecond: float64(x.tokens) / length.Seconds(),
		FirstTokenP50Ms: x.first.ValueAtQuantile(50),
		FirstTokenP95Ms: x.first.ValueAtQuantile(95),
		TokenGapP50Ms:   x.gaps.ValueAtQuantile(50),
		TokenGapP95Ms:   x.gaps.ValueAtQuantile(95),
		Outcomes:        x.outcomes,
		Reasons:         x.reasons,
	}
	for i := range int(length/slice) + 1 {
		r.GoodBySecond = append(r.GoodBySecond, x.goodAt[i])
		r.IssuedBySecond = append(r.IssuedBySecond, x.issuedAt[i])
	}
	return r
}

// part returns n of all, 1 of nothing.
func part(n, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(n) / float64(all)
}

// Write prints a report as tables.
func (r Report) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "TIER\tISSUED\tGOOD\tGOOD %\tGOOD/S\tTOKENS/S\tFIRST P50\tFIRST P95\tGAP P50\tGAP P95\tLATE\tNOT RUN\tFAILED\tUNKNOWN\t")
	for _, x := range r.Tiers {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.1f\t%.0f\t%d ms\t%d ms\t%d ms\t%d ms\t%d\t%d\t%d\t%d\t\n", x.Tier, x.Issued, x.Good, 100*x.GoodPart, x.GoodPerSecond, x.TokensPerSecond,
			x.FirstTokenP50Ms, x.FirstTokenP95Ms, x.TokenGapP50Ms, x.TokenGapP95Ms, x.Late, x.Outcomes["notRun"], x.Outcomes["failed"], x.Outcomes["unknown"])
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "policy %s, load %.2f, seed %d, %.0f s\n", r.Policy, r.Load, r.Seed, r.Seconds)
	_, _ = fmt.Fprintf(w, "prefill %d tokens, wasted %d (%.2f%%)\n", r.PrefillTokens, r.WastedTokens, 100*r.WastedPart)
	_, _ = fmt.Fprintf(w, "bookings %d, doubled %d, lost %d, refused as not run but run %d\n", r.Bookings, r.BookingsDoubled, r.BookingsLost, r.BookingsUntrue)
	_, _ = fmt.Fprintf(w, "cold engines overloaded %d times, control %d bytes\n", r.EngineOverloads, r.ControlBytes)
	if r.Drained != "" {
		_, _ = fmt.Fprintf(w, "%s out of service from second %.0f to %.0f; new work there after 3 s: %d\n", r.Drained, r.DrainFrom, r.DrainTo, r.NewWorkAfter)
	}
}
