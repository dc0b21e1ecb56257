package granter

import (
	"time"

	"foxtaillug.org/contract/peerv1"
	"foxtaillug.org/scheduler/arbiter"
	"foxtaillug.org/scheduler/quarantiner"
)

// maxSuspects is the maximum number of crash reports in a message to a peer.
const maxSuspects = 256

// RecordSuspects records the crash reports of a peer.
func (g *Granter) RecordSuspects(reports *peerv1.SuspectReports) {
	if len(reports.Reports) == 0 {
		return
	}
	m := suspectMessage(reports)
	g.post(func(a *arbiter.Arbiter, now time.Time) (out arbiter.Actions) {
		a.RecordSuspects(m, now)
		return out
	})
}

// Suspects returns the crash reports for a peer, up to the maximum for one
// message. If received is not nil, they are the response to it.
func (g *Granter) Suspects(received *peerv1.SuspectReports) (reports *peerv1.SuspectReports) {
	g.call(func(a *arbiter.Arbiter, now time.Time) (out arbiter.Actions) {
		var m quarantiner.Message
		if received == nil {
			m = a.Suspects(maxSuspects, now)
		} else {
			m = a.SuspectsFor(suspectMessage(received), maxSuspects, now)
		}
		reports = &peerv1.SuspectReports{Confirmed: m.Confirmed}
		for _, r := range m.Reports {
			reports.Reports = append(reports.Reports, &peerv1.Suspect{
				Digest: uint64(r.Digest), Crash: r.Upstream, AgeMs: r.AgeMs, RanMs: r.RanMs, Cleared: r.Cleared,
			})
		}
		return out
	})
	return reports
}

// suspectMessage decodes crash reports.
func suspectMessage(reports *peerv1.SuspectReports) quarantiner.Message {
	m := quarantiner.Message{Confirmed: reports.Confirmed}
	for _, r := range reports.Reports {
		m.Reports = append(m.Reports, quarantiner.Report{
			Digest: quarantiner.Digest(r.Digest), Upstream: r.Crash, AgeMs: r.AgeMs, RanMs: r.RanMs, Cleared: r.Cleared,
		})
	}
	return m
}
