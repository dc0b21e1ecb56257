package commander

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// termsCmd shows what upstreams have said of themselves, from the logs of hosts.
type termsCmd struct {
	Logs []string `arg:"" optional:"" help:"Log files of all hosts; standard input if none are given." type:"existingfile"`
}

// upstreamTerms is the latest that hosts have logged of an upstream.
type upstreamTerms struct {
	Upstream string `json:"upstream"`
	// Limit is the number of requests a second that it accepts from all hosts, empty if it
	// names none. Since is when that was logged.
	Limit   string    `json:"limit,omitempty"`
	Since   time.Time `json:"since"`
	Brittle bool      `json:"brittle"`
	Leaving bool      `json:"leaving"`
	// Pauses counts the times at which it wanted no requests of a host for a while, and
	// PausedUntil is the end of the last one.
	Pauses      int       `json:"pauses"`
	PausedUntil time.Time `json:"pausedUntil,omitzero"`
}

// add adds a log line.
func (u *upstreamTerms) add(l logLine) {
	u.Since = l.Time
	switch l.Change {
	case "began", "changed":
		u.Limit = l.Limit
	case "ended":
		u.Limit = ""
	case "brittle", "sound":
		u.Brittle = l.Change == "brittle"
	case "leaving":
		u.Leaving = true
	case "paused":
		u.Pauses++
		if until := l.Time.Add(time.Duration(l.PauseMs) * time.Millisecond); until.After(u.PausedUntil) {
			u.PausedUntil = until
		}
	}
}

// Run prints what each upstream has said, sorted by name.
func (c termsCmd) Run(o output) error {
	var lines []logLine
	if err := readLogs(c.Logs, func(l logLine) {
		if l.Message == "upstream limit" {
			lines = append(lines, l)
		}
	}); err != nil {
		return err
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	byName := make(map[string]*upstreamTerms)
	for _, l := range lines {
		if byName[l.Upstream] == nil {
			byName[l.Upstream] = &upstreamTerms{Upstream: l.Upstream}
		}
		byName[l.Upstream].add(l)
	}
	list := make([]*upstreamTerms, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, byName[name])
	}
	return o.print(list, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(t, "UPSTREAM\tLIMIT\tBRITTLE\tLEAVING\tPAUSES\tPAUSED UNTIL\tSINCE")
		for _, u := range list {
			until := "-"
			if !u.PausedUntil.IsZero() {
				until = u.PausedUntil.Format("15:04:05")
			}
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", u.Upstream, cmp.Or(u.Limit, "-"), strconv.FormatBool(u.Brittle), strconv.FormatBool(u.Leaving), u.Pauses, until, u.Since.Format("15:04:05"))
		}
		_ = t.Flush()
	})
}
