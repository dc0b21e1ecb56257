package linker

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"foxtaillug.org/foxtaild/directory"
	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// ejectingCoordinator returns a coordinator with two upstreams, the second of which is out if failed
// is set.
func ejectingCoordinator(failed bool, now time.Time) *coordinator.Coordinator {
	c := coordinator.New("process", coordinator.Bounds{}, coordinator.WithFeatures(coordinator.Features{Ejection: true}))
	c.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}}, now)
	var entries []registrar.Entry
	for i := range 2 {
		entries = append(entries, registrar.Entry{ID: fmt.Sprint("u", i), Pool: "p", Domain: "d", Slots: 100})
	}
	c.SetUpstreams(entries, now)
	for id := uint64(1); failed && id <= 400; id++ {
		c.Admit("e", coordinator.Request{ID: id, Pool: "p", Content: uint16(id), Left: time.Minute, Objective: time.Second}, now)
		for _, d := range c.Advance(now) {
			f := coordinator.Finish{ID: d.ID}
			if d.Upstream == "u1" {
				f.Ending = coordinator.Failed
			}
			if d.Upstream == "u1" || id%2 == 0 {
				c.Finish("e", f, now)
			}
		}
	}
	return c
}

// TestEntryHostsKnowWhichUpstreamsAreOut guards against a host that has to decide alone and sends
// requests to upstreams that its coordinator had ejected. An ejection is logged once.
func TestEntryHostsKnowWhichUpstreamsAreOut(t *testing.T) {
	now := time.Unix(1000, 0)
	var log bytes.Buffer
	l := newLoop("h", ejectingCoordinator(true, now), directory.New(slog.New(slog.DiscardHandler)), slog.New(slog.NewTextHandler(&log, nil)))
	var got []string
	sent := 0
	l.sinks["entry"] = func(r response) { got, sent = r.Ejected, sent+1 }
	for range 3 {
		l.publishEjections(now)
	}
	if !slices.Equal(got, []string{"u1"}) || sent != 1 {
		t.Fatalf("sent %d times %v, want u1 once", sent, got)
	}
	if n := strings.Count(log.String(), "upstream ejected"); n != 1 || !strings.Contains(log.String(), "upstream=u1") {
		t.Errorf("logged %q", log.String())
	}
	l.publishEjections(now.Add(ejectedInterval))
	if sent != 2 {
		t.Errorf("sent %d times after a second, want 2", sent)
	}
	alone := ejectingCoordinator(false, now)
	alone.RecordEjected(got, now)
	alone.Advance(now)
	if loads := alone.Loads(now); loads[0].Out != 1 {
		t.Errorf("%d upstreams are out by the verdict, want 1", loads[0].Out)
	}
}

// TestDescribe guards against coordinators that can't tell requests apart, and against bytes that
// coordinators without ejection have no use for.
func TestDescribe(t *testing.T) {
	tests := map[string]struct {
		on   bool
		req  coordinator.Request
		want coordinator.Request
	}{
		"ejection is off":       {false, coordinator.Request{Digest: 0xabcd1234ef01, Retryable: true}, coordinator.Request{Digest: 0xabcd1234ef01}},
		"a digest":              {true, coordinator.Request{Digest: 0xabcd1234ef01, Retryable: true}, coordinator.Request{Digest: 0xabcd1234ef01, Content: 0x1234, Retryable: true}},
		"bits that are zero":    {true, coordinator.Request{Digest: 0xef01}, coordinator.Request{Digest: 0xef01, Content: 1}},
		"an unknown digest":     {true, coordinator.Request{}, coordinator.Request{}},
		"may not be retried":    {true, coordinator.Request{Digest: 0x10001}, coordinator.Request{Digest: 0x10001, Content: 1}},
		"off, without a digest": {false, coordinator.Request{}, coordinator.Request{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := &Linker{settings: Settings{Features: coordinator.Features{Ejection: tt.on}}}
			if got := l.describe(tt.req); fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("request is %+v, want %+v", got, tt.want)
			}
		})
	}
}
