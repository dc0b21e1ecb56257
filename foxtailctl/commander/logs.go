package commander

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// logLine holds the keys of a host's log line that this package uses.
type logLine struct {
	Time          time.Time `json:"time"`
	Level         string    `json:"level"`
	Message       string    `json:"msg"`
	Host          string    `json:"host"`
	ID            string    `json:"id"`
	Outcome       string    `json:"outcome"`
	Reason        string    `json:"reason"`
	Status        int       `json:"status"`
	Tier          int       `json:"tier"`
	Upstream      string    `json:"upstream"`
	Upstreams     []string  `json:"upstreams"`
	Endings       []string  `json:"endings"`
	WaitedMs      int64     `json:"waitedMs"`
	FirstMs       int64     `json:"firstMs"`
	TookMs        int64     `json:"tookMs"`
	RetryAfterMs  int64     `json:"retryAfterMs"`
	Ending        string    `json:"ending"`
	Error         string    `json:"error"`
	Cause         string    `json:"cause"`
	ConfigVersion uint64    `json:"version"`
	Change        string    `json:"change"`
	Limit         string    `json:"limit"`
	PauseMs       int64     `json:"pauseMs"`
	explanation
}

// readLogs calls handle for each log line of files, or of standard input if
// there are no files. Text that other tools put before a line's JSON is skipped,
// and so are lines without JSON.
func readLogs(paths []string, handle func(logLine)) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "read logs")
		}
	}()
	if len(paths) == 0 {
		return scanLogs(os.Stdin, handle)
	}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return err
		}
		err = scanLogs(f, handle)
		_ = f.Close()
		if err != nil {
			return eris.Wrap(err, p)
		}
	}
	return nil
}

// scanLogs calls handle for each log line of r.
func scanLogs(r io.Reader, handle func(logLine)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		_, text, ok := strings.Cut(s.Text(), "{")
		if !ok {
			continue
		}
		var l logLine
		if err := json.Unmarshal([]byte("{"+text), &l); err == nil && l.Message != "" {
			handle(l)
		}
	}
	return s.Err()
}

// storyCmd shows what happened to a request, from the logs of hosts.
type storyCmd struct {
	Request string   `arg:"" help:"ID of the request."`
	Logs    []string `arg:"" optional:"" help:"Log files of all hosts; standard input if none are given." type:"existingfile"`
}

// Run prints the log lines of a request in the order of their times, each as a
// sentence.
func (c storyCmd) Run(o output) error {
	var lines []logLine
	if err := readLogs(c.Logs, func(l logLine) {
		if l.ID == c.Request {
			lines = append(lines, l)
		}
	}); err != nil {
		return err
	}
	if len(lines) == 0 {
		return eris.Wrapf(errInvalid, "no log line of request %s: it reached no host, or its lines were dropped (see \"log lines left out\")", c.Request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return o.print(lines, func(w io.Writer) {
		for _, l := range lines {
			_, _ = fmt.Fprintf(w, "%s %s: %s\n", l.Time.Format("15:04:05.000"), l.Host, describe(l))
		}
	})
}

// outcomeTexts maps the outcomes in log lines to their descriptions.
var outcomeTexts = map[string]string{
	"complete":   "the whole response was forwarded",
	"notRun":     "refused; it has not run and will not",
	"overQuota":  "refused because its workspace exceeded its quota; it has not run and will not",
	"unknown":    "an upstream may have run it and its response was lost",
	"timedOut":   "no response arrived before the deadline; an upstream may have run it",
	"broken":     "the response was cut off after it had started",
	"failed":     "the upstream responded with an error, which was forwarded",
	"callerGone": "the caller disconnected before the response was complete",
}

// describe returns the meaning of a log line as a sentence.
func describe(l logLine) string {
	switch l.Message {
	case "request":
		text := fmt.Sprintf("%s (%s", outcomeTexts[l.Outcome], l.Outcome)
		if l.Reason != "" {
			text += ", " + l.Reason
		}
		text += fmt.Sprintf("); waited %d ms, took %d ms", l.WaitedMs, l.TookMs)
		for i, u := range l.Upstreams {
			ending := "unknown"
			if i < len(l.Endings) {
				ending = l.Endings[i]
			}
			text += fmt.Sprintf("; at %s: %s", u, ending)
		}
		if l.Outcome == "notRun" || l.Outcome == "overQuota" {
			text += fmt.Sprintf("; retry after %d ms", l.RetryAfterMs)
		}
		text += l.explanation.describe()
		return text
	case "request refused":
		return fmt.Sprintf("refused with status %d by configuration %d", l.Status, l.ConfigVersion)
	case "answer lost":
		return fmt.Sprintf("the response of upstream %s was lost (%s): %s", l.Upstream, l.Ending, l.Error)
	case "response broken off":
		return fmt.Sprintf("the caller's connection was closed without a whole response (%s)", l.Cause)
	case "upstream unreached":
		return fmt.Sprintf("no connection to upstream %s: %s", l.Upstream, l.Error)
	default:
		return l.Message
	}
}

// dayCmd summarizes logs.
type dayCmd struct {
	Logs []string      `arg:"" optional:"" help:"Log files of all hosts; standard input if none are given." type:"existingfile"`
	Step time.Duration `help:"Time span of one row." default:"1m"`
}

// dayRow counts the requests of one step.
type dayRow struct {
	From         time.Time      `json:"from"`
	Outcomes     map[string]int `json:"outcomes"`
	Reasons      map[string]int `json:"reasons"`
	LinesLeftOut bool           `json:"linesLeftOut"`
}

// Run prints outcomes and reasons by time, with a bar for the fraction of
// requests that didn't complete.
func (c dayCmd) Run(o output) error {
	if c.Step <= 0 {
		return eris.Wrap(errInvalid, "--step must be above 0")
	}
	rows := make(map[time.Time]*dayRow)
	if err := readLogs(c.Logs, func(l logLine) {
		from := l.Time.Truncate(c.Step)
		r := rows[from]
		if r == nil {
			r = &dayRow{From: from, Outcomes: map[string]int{}, Reasons: map[string]int{}}
			rows[from] = r
		}
		switch l.Message {
		case "request":
			r.Outcomes[l.Outcome]++
			if l.Reason != "" && l.Outcome != "complete" {
				r.Reasons[l.Reason]++
			}
		case "request refused":
			r.Outcomes["refused"]++
			r.Reasons[fmt.Sprint("status", l.Status)]++
		case "log lines left out":
			r.LinesLeftOut = true
		}
	}); err != nil {
		return err
	}
	list := make([]*dayRow, 0, len(rows))
	for _, r := range rows {
		if len(r.Outcomes) > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *dayRow) int { return a.From.Compare(b.From) })
	return o.print(list, func(w io.Writer) {
		for _, r := range list {
			r.write(w)
		}
	})
}

// barWidth is the width of a row's bar, in characters.
const barWidth = 20

// write prints a row.
func (r *dayRow) write(w io.Writer) {
	total, complete := 0, r.Outcomes["complete"]
	for _, n := range r.Outcomes {
		total += n
	}
	bar := strings.Repeat("#", barWidth*(total-complete)/total)
	_, _ = fmt.Fprintf(w, "%s %6d requests %6d complete |%-*s| %s\n", r.From.Format("15:04:05"), total, complete, barWidth, bar, formatCounts(r.Reasons))
	if r.LinesLeftOut {
		_, _ = fmt.Fprintln(w, "         some log lines were left out here; the hosts' metrics are complete")
	}
}

// formatCounts lists counters, the largest first.
func formatCounts(m map[string]int) string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a, b)) })
	for i, n := range names {
		names[i] = fmt.Sprintf("%s %d", n, m[n])
	}
	return strings.Join(names, ", ")
}
