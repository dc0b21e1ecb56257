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

// maxLogLine bounds one log line, in bytes.
const maxLogLine = 1 << 20

// logLine is what is read of a host's log line; the rest stays in fields.
type logLine struct {
	Time       time.Time `json:"time"`
	Level      string    `json:"level"`
	Message    string    `json:"msg"`
	Host       string    `json:"host"`
	ID         string    `json:"id"`
	Outcome    string    `json:"outcome"`
	Reason     string    `json:"reason"`
	Status     int       `json:"status"`
	Tier       int       `json:"tier"`
	Upstream   string    `json:"upstream"`
	Upstreams  []string  `json:"upstreams"`
	Endings    []string  `json:"endings"`
	WaitedMs   int64     `json:"waitedMs"`
	FirstMs    int64     `json:"firstMs"`
	TookMs     int64     `json:"tookMs"`
	RetryMs    int64     `json:"retryAfterMs"`
	Ending     string    `json:"ending"`
	Error      string    `json:"error"`
	ConfigSeen uint64    `json:"version"`
}

// readLogs reads the log lines of files, or of standard input if there are
// none. What stands before a line's JSON, as other tools put it there, is
// passed over, and so are lines without any.
func readLogs(paths []string, take func(logLine)) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "read logs")
		}
	}()
	if len(paths) == 0 {
		return scanLogs(os.Stdin, take)
	}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return err
		}
		err = scanLogs(f, take)
		_ = f.Close()
		if err != nil {
			return eris.Wrap(err, p)
		}
	}
	return nil
}

// scanLogs reads the lines of one reader.
func scanLogs(r io.Reader, take func(logLine)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		_, text, ok := strings.Cut(s.Text(), "{")
		if !ok {
			continue
		}
		var l logLine
		if err := json.Unmarshal([]byte("{"+text), &l); err == nil && l.Message != "" {
			take(l)
		}
	}
	return s.Err()
}

// storyCmd tells a request's story from logs.
type storyCmd struct {
	Request string   `arg:"" help:"The request's identity."`
	Logs    []string `arg:"" optional:"" help:"Log files of all hosts; standard input if none." type:"existingfile"`
}

// Run prints the lines of a request in their order, with their meaning.
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
		return eris.Wrapf(errFault, "no line of request %s: it reached no host, or its line was left out (see \"log lines left out\")", c.Request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return o.print(lines, func(w io.Writer) {
		for _, l := range lines {
			_, _ = fmt.Fprintf(w, "%s %s: %s\n", l.Time.Format("15:04:05.000"), l.Host, tell(l))
		}
	})
}

// outcomes say what an outcome of the log means.
var outcomes = map[string]string{
	"complete":   "the whole answer was passed on",
	"notRun":     "refused; it has not run and will not",
	"overQuota":  "refused over its workspace's quota; it has not run and will not",
	"unknown":    "an upstream may have run it and its answer was lost",
	"timedOut":   "no answer came in time; an upstream may have run it",
	"broken":     "the answer broke off after it had begun",
	"failed":     "the upstream answered with a failure, which was passed on",
	"callerGone": "the caller left before its answer",
}

// tell says a line in words.
func tell(l logLine) string {
	switch l.Message {
	case "request":
		text := fmt.Sprintf("%s (%s", outcomes[l.Outcome], l.Outcome)
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
			text += fmt.Sprintf("; told to come back in %d ms", l.RetryMs)
		}
		return text
	case "request refused":
		return fmt.Sprintf("refused with status %d by configuration %d", l.Status, l.ConfigSeen)
	case "answer lost":
		return fmt.Sprintf("the answer of upstream %s was lost (%s): %s", l.Upstream, l.Ending, l.Error)
	case "upstream unreached":
		return fmt.Sprintf("upstream %s took no connection: %s", l.Upstream, l.Error)
	default:
		return l.Message
	}
}

// dayCmd sums logs up.
type dayCmd struct {
	Logs []string      `arg:"" optional:"" help:"Log files of all hosts; standard input if none." type:"existingfile"`
	Step time.Duration `help:"Length of one row." default:"1m"`
}

// dayRow is what happened in one step.
type dayRow struct {
	From     time.Time      `json:"from"`
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons"`
	LeftOut  bool           `json:"linesLeftOut"`
}

// Run prints outcomes and reasons by time, with a bar for what was not served.
func (c dayCmd) Run(o output) error {
	if c.Step <= 0 {
		return eris.Wrap(errFault, "--step must be above 0")
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
			r.LeftOut = true
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
	total, served := 0, r.Outcomes["complete"]
	for _, n := range r.Outcomes {
		total += n
	}
	bar := strings.Repeat("#", barWidth*(total-served)/total)
	_, _ = fmt.Fprintf(w, "%s %6d requests %6d complete |%-*s| %s\n", r.From.Format("15:04:05"), total, served, barWidth, bar, counts(r.Reasons))
	if r.LeftOut {
		_, _ = fmt.Fprintln(w, "         some lines were left out here; counters have all")
	}
}

// counts writes counters, the largest first.
func counts(m map[string]int) string {
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
