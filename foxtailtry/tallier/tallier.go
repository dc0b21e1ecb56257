// Package tallier counts the results that callers receive and reports them by
// tier.
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
	// maxLatencyMs is the highest latency that the histograms can record, in
	// milliseconds.
	maxLatencyMs = 600_000
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 3
	// seriesInterval is the resolution of counts over time.
	seriesInterval = time.Second
)

// Result is the result of one request as its caller received it. FirstToken
// and Total are measured from SentAt; BookingRef is set for bookings only. A
// request is good if it completed and InTime is set.
type Result struct {
	Tier       string
	Outcome    string
	Reason     string
	BookingRef string
	SentAt     time.Time
	FirstToken time.Duration
	TokenGaps  []time.Duration
	Total      time.Duration
	Tokens     int
	InTime     bool
}

// tierTally holds the counts of one tier. Late requests completed, but not in
// time; tokens are those of good requests.
type tierTally struct {
	issued, good, late    int
	tokens                int
	firstToken, tokenGaps *hdrhistogram.Histogram
	outcomes              map[string]int
	reasons               map[string]int
	goodBySecond          map[int]int
	issuedBySecond        map[int]int
}

// Tallier counts results. It is safe for concurrent use.
type Tallier struct {
	mu        sync.Mutex
	startedAt time.Time
	tiers     map[string]*tierTally
	bookings  map[string]string
}

// New returns a tallier. Its time series start now.
func New() *Tallier {
	return &Tallier{startedAt: time.Now(), tiers: make(map[string]*tierTally), bookings: make(map[string]string)}
}

// tier returns the counts of a tier and adds the tier if it is new. The caller
// holds mu.
func (t *Tallier) tier(name string) *tierTally {
	x, ok := t.tiers[name]
	if !ok {
		x = &tierTally{
			firstToken:     hdrhistogram.New(1, maxLatencyMs, significantDigits),
			tokenGaps:      hdrhistogram.New(1, maxLatencyMs, significantDigits),
			outcomes:       make(map[string]int),
			reasons:        make(map[string]int),
			goodBySecond:   make(map[int]int),
			issuedBySecond: make(map[int]int),
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
	second := int(r.SentAt.Sub(t.startedAt) / seriesInterval)
	x.issuedBySecond[second]++
	if r.BookingRef != "" {
		t.bookings[r.BookingRef] = r.Outcome
	}
	if r.Outcome != "complete" {
		return
	}
	if !r.InTime {
		x.late++
		return
	}
	x.good++
	x.goodBySecond[second]++
	x.tokens += r.Tokens
	if r.Tokens > 0 {
		_ = x.firstToken.RecordValue(max(r.FirstToken.Milliseconds(), 1))
	}
	for _, g := range r.TokenGaps {
		_ = x.tokenGaps.RecordValue(max(g.Milliseconds(), 1))
	}
}

// Progress returns the elapsed time and the good and sent requests of each
// tier in one line.
func (t *Tallier) Progress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	line := fmt.Sprintf("%4.0fs", time.Since(t.startedAt).Seconds())
	for _, name := range t.tierNames() {
		x := t.tiers[name]
		line += fmt.Sprintf("  %s %d/%d", name, x.good, x.issued)
	}
	return line
}

// tierNames returns the names of the tiers in alphabetical order. The caller
// holds mu.
func (t *Tallier) tierNames() []string {
	names := make([]string, 0, len(t.tiers))
	for n := range t.tiers {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// TierReport is the report of one tier. TokensPerSecond counts the tokens of
// good requests; GoodBySecond and IssuedBySecond count by the second in which
// a request was sent. The fields are the JSON format.
type TierReport struct {
	Tier            string         `json:"tier"`
	Issued          int            `json:"issued"`
	Good            int            `json:"good"`
	GoodFraction    float64        `json:"goodPart"`
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

// Report is the report of a trial. BookingsDoubled ran more than once,
// BookingsLost were reported as complete but never ran, and
// BookingsRefusedButRun were reported as not run but ran. EngineOverloads
// counts the crashes of cold engines that received too many requests.
// ControlBytes are the bytes of the control plane that all hosts sent.
// NewRequestsAfterDrain counts the requests that the drained engines started
// after the grace period of the drain. The fields are the JSON format.
type Report struct {
	Policy                string        `json:"policy"`
	Load                  float64       `json:"load"`
	Seed                  uint64        `json:"seed"`
	Seconds               float64       `json:"seconds"`
	Tiers                 []TierReport  `json:"tiers"`
	PrefillTokens         int64         `json:"prefillTokens"`
	WastedPrefillTokens   int64         `json:"wastedPrefillTokens"`
	WastedPrefillFraction float64       `json:"wastedPrefillPart"`
	Bookings              int           `json:"bookings"`
	BookingsDoubled       int           `json:"bookingsDoubled"`
	BookingsLost          int           `json:"bookingsLost"`
	BookingsRefusedButRun int           `json:"bookingsRefusedButRun"`
	EngineOverloads       int           `json:"engineOverloads"`
	ControlBytes          int64         `json:"controlBytes"`
	DrainedDomain         string        `json:"drainedDomain,omitempty"`
	DrainFrom             float64       `json:"drainFromSecond,omitempty"`
	DrainTo               float64       `json:"drainToSecond,omitempty"`
	NewRequestsAfterDrain int           `json:"newWorkAfterDrain"`
	Length                time.Duration `json:"-"`
}

// Report returns the report of the results so far. Length is the duration of
// the load; runs are the runs of each booking by its reference.
func (t *Tallier) Report(length time.Duration, runs map[string]int) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Seconds: length.Seconds(), Length: length, Bookings: len(t.bookings)}
	for _, name := range t.tierNames() {
		r.Tiers = append(r.Tiers, t.tiers[name].report(name, length))
	}
	for id, outcome := range t.bookings {
		switch n := runs[id]; {
		case n > 1:
			r.BookingsDoubled++
		case outcome == "complete" && n == 0:
			r.BookingsLost++
		case outcome == "notRun" && n > 0:
			r.BookingsRefusedButRun++
		}
	}
	return r
}

// report returns the report of the tier.
func (x *tierTally) report(name string, length time.Duration) TierReport {
	r := TierReport{
		Tier: name, Issued: x.issued, Good: x.good, Late: x.late,
		GoodFraction:    fraction(x.good, x.issued),
		GoodPerSecond:   float64(x.good) / length.Seconds(),
		TokensPerSecond: float64(x.tokens) / length.Seconds(),
		FirstTokenP50Ms: x.firstToken.ValueAtQuantile(50),
		FirstTokenP95Ms: x.firstToken.ValueAtQuantile(95),
		TokenGapP50Ms:   x.tokenGaps.ValueAtQuantile(50),
		TokenGapP95Ms:   x.tokenGaps.ValueAtQuantile(95),
		Outcomes:        x.outcomes,
		Reasons:         x.reasons,
	}
	for i := range int(length/seriesInterval) + 1 {
		r.GoodBySecond = append(r.GoodBySecond, x.goodBySecond[i])
		r.IssuedBySecond = append(r.IssuedBySecond, x.issuedBySecond[i])
	}
	return r
}

// fraction returns n/total, or 1 if total is 0.
func fraction(n, total int) float64 {
	if total == 0 {
		return 1
	}
	return float64(n) / float64(total)
}

// Write prints the report as a table of tiers and a summary.
func (r Report) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "TIER\tISSUED\tGOOD\tGOOD %\tGOOD/S\tTOKENS/S\tFIRST P50\tFIRST P95\tGAP P50\tGAP P95\tLATE\tNOT RUN\tFAILED\tUNKNOWN\t")
	for _, x := range r.Tiers {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.1f\t%.0f\t%d ms\t%d ms\t%d ms\t%d ms\t%d\t%d\t%d\t%d\t\n", x.Tier, x.Issued, x.Good, 100*x.GoodFraction, x.GoodPerSecond, x.TokensPerSecond,
			x.FirstTokenP50Ms, x.FirstTokenP95Ms, x.TokenGapP50Ms, x.TokenGapP95Ms, x.Late, x.Outcomes["notRun"], x.Outcomes["failed"], x.Outcomes["unknown"])
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "policy %s, load %.2f, seed %d, %.0f s\n", r.Policy, r.Load, r.Seed, r.Seconds)
	_, _ = fmt.Fprintf(w, "prefill %d tokens, wasted %d (%.2f%%)\n", r.PrefillTokens, r.WastedPrefillTokens, 100*r.WastedPrefillFraction)
	_, _ = fmt.Fprintf(w, "bookings %d, doubled %d, lost %d, reported as not run but run %d\n", r.Bookings, r.BookingsDoubled, r.BookingsLost, r.BookingsRefusedButRun)
	_, _ = fmt.Fprintf(w, "cold engines overloaded %d times, control %d bytes\n", r.EngineOverloads, r.ControlBytes)
	if r.DrainedDomain != "" {
		_, _ = fmt.Fprintf(w, "%s out of service from second %.0f to %.0f; requests started there after the first 3 s: %d\n", r.DrainedDomain, r.DrainFrom, r.DrainTo, r.NewRequestsAfterDrain)
	}
}
