package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/registrar"
)

// duo is a coordinator with two upstreams of eight slots, of which the first fails.
type duo struct {
	*coordinator.Coordinator
	t       *testing.T
	now     time.Time
	ids     uint64
	running map[string][]uint64
}

// newDuo returns one whose upstreams are not paced.
func newDuo(t *testing.T, f coordinator.Features) *duo {
	d := &duo{Coordinator: newCoordinator(coordinator.WithFeatures(f)), t: t, now: start, running: map[string][]uint64{}}
	d.list(nil)
	for range 10 {
		d.ask(16)
		d.wait(50 * time.Millisecond)
		d.end("engine-0", coordinator.Complete)
		d.end("engine-1", coordinator.Complete)
	}
	if l := d.Loads(d.now)[0]; l.Paced != 0 {
		t.Fatalf("%d upstreams paced", l.Paced)
	}
	return d
}

// list lists the upstreams again.
func (d *duo) list(change func(*registrar.Entry)) {
	var entries []registrar.Entry
	for i := range 2 {
		e := registrar.Entry{ID: fmt.Sprint("engine-", i), Pool: "engines", Domain: "d", Slots: 8}
		if change != nil {
			change(&e)
		}
		entries = append(entries, e)
	}
	d.SetUpstreams(entries, d.now)
}

// entryOf returns the entry host of a request: each sends one, so that what one can't reach does not
// keep the others away.
func entryOf(id uint64) string { return fmt.Sprint("entry-", id) }

// wait lets time pass.
func (d *duo) wait(t time.Duration) { d.now = d.now.Add(t) }

// ask sends a number of requests, withdraws those that are not granted at once and returns how
// many the first upstream got.
func (d *duo) ask(n int) int {
	before, first := len(d.running["engine-0"]), d.ids
	for range n {
		d.ids++
		r := request(d.ids)
		r.Retryable, r.Content = true, uint16(d.ids)
		d.Admit(entryOf(d.ids), r, d.now)
	}
	for _, x := range d.Advance(d.now) {
		if x.Upstream != "" {
			d.running[x.Upstream] = append(d.running[x.Upstream], x.ID)
		}
	}
	for id := first + 1; id <= d.ids; id++ {
		d.Withdraw(entryOf(id), id)
	}
	return len(d.running["engine-0"]) - before
}

// finish ends one request.
func (d *duo) finish(id uint64, ending coordinator.Ending) {
	d.Finish(entryOf(id), coordinator.Finish{ID: id, Ending: ending, Total: 10 * time.Millisecond}, d.now)
}

// end ends the requests of an upstream.
func (d *duo) end(upstream string, ending coordinator.Ending) {
	for _, id := range d.running[upstream] {
		d.finish(id, ending)
	}
	d.running[upstream] = nil
}

// eject has the first upstream fail all but a number of its requests, which have begun.
func (d *duo) eject(streams int, ending coordinator.Ending) {
	d.t.Helper()
	d.ask(16)
	ids := d.running["engine-0"]
	for _, id := range ids[:streams] {
		d.Progress(entryOf(id), coordinator.Progress{ID: id, FirstToken: 10 * time.Millisecond}, d.now)
	}
	for _, id := range ids[streams:] {
		d.wait(25 * time.Millisecond)
		d.finish(id, ending)
	}
	d.running["engine-0"] = ids[:streams]
	d.Advance(d.now)
	if l := d.Loads(d.now)[0]; l.Out != 1 {
		d.t.Fatalf("%d upstreams out, want 1", l.Out)
	}
}

// trial asks until the first upstream gets a trial, and returns the time that took.
func (d *duo) trial() time.Duration {
	d.t.Helper()
	from := d.now
	for d.now.Before(from.Add(4 * time.Second)) {
		if n := d.ask(4); n > 1 {
			d.t.Fatalf("%d trials at once", n)
		} else if n == 1 {
			return d.now.Sub(from)
		}
		d.wait(5 * time.Millisecond)
	}
	d.t.Fatal("no trial in 4 s")
	return 0
}

// ejectAndPace enables the parts that decide whether and how an upstream returns.
var ejectAndPace = coordinator.Features{Ejection: true, Pacing: true}

// TestRestoredUpstreamStartsSlowly guards against an upstream that is flooded when a trial has
// returned it to service, and against a trial that does not count as the first request of the
// window, as which half of eight slots become five.
func TestRestoredUpstreamStartsSlowly(t *testing.T) {
	tests := map[string]struct {
		features coordinator.Features
		answer   func(d *duo, id uint64)
		want     int
	}{
		"a call":         {ejectAndPace, func(d *duo, id uint64) { d.finish(id, coordinator.Complete) }, 5},
		"without pacing": {ejection, func(d *duo, id uint64) { d.finish(id, coordinator.Complete) }, 8},
		"a stream": {ejectAndPace, func(d *duo, id uint64) {
			d.Progress(entryOf(id), coordinator.Progress{ID: id, FirstToken: 10 * time.Millisecond}, d.now)
			d.finish(id, coordinator.Complete)
		}, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDuo(t, tt.features)
			d.eject(0, coordinator.Failed)
			d.trial()
			id := d.running["engine-0"][0]
			d.running["engine-0"] = nil
			d.wait(10 * time.Millisecond)
			tt.answer(d, id)
			if got := d.ask(16); got != tt.want {
				t.Errorf("%d requests granted after the trial, want %d", got, tt.want)
			}
		})
	}
}

// TestUnjudgedTrialIsRepeatedSoon guards against a trial that is refused as not run and holds up
// the next one for a second, and against one that comes within the rest of a paced upstream, 100 ms, or
// within the second in which another process holds the address.
func TestUnjudgedTrialIsRepeatedSoon(t *testing.T) {
	tests := map[string]struct {
		features    coordinator.Features
		ending      coordinator.Ending
		least, most time.Duration
	}{
		"rejected, paced":     {ejectAndPace, coordinator.Rejected, 100 * time.Millisecond, 400 * time.Millisecond},
		"rejected, not paced": {ejection, coordinator.Rejected, 0, 400 * time.Millisecond},
		"wrong upstream":      {ejection, coordinator.WrongUpstream, time.Second, 1300 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDuo(t, tt.features)
			d.eject(0, coordinator.Failed)
			d.trial()
			d.end("engine-0", tt.ending)
			if took := d.trial(); took < tt.least || took > tt.most {
				t.Errorf("next trial after %v, want %v to %v", took, tt.least, tt.most)
			}
		})
	}
}

// TestStreamsDoNotHoldUpTrials guards against an upstream whose window its failures have reduced
// below the number of long streams that it still runs: it would stay out until they end.
func TestStreamsDoNotHoldUpTrials(t *testing.T) {
	d := newDuo(t, ejectAndPace)
	d.eject(4, coordinator.TimedOut)
	if took := d.trial(); took > time.Second {
		t.Errorf("first trial after %v, want at most 1 s", took)
	}
}

// TestTrialsOfUnreachableUpstreamAreFew guards against an upstream that is out and also can't be
// reached: the trials of the ejector must keep to the rests between those of the pace.
func TestTrialsOfUnreachableUpstreamAreFew(t *testing.T) {
	d := newDuo(t, ejectAndPace)
	d.eject(0, coordinator.Failed)
	trials := 0
	for from := d.now; d.now.Before(from.Add(3 * time.Second)); d.wait(5 * time.Millisecond) {
		trials += d.ask(4)
		d.end("engine-0", coordinator.ConnectFailed)
		d.end("engine-1", coordinator.Complete)
	}
	if trials < 2 || trials > 8 {
		t.Errorf("%d trials in 3 s, want 2 to 8", trials)
	}
}

// TestTrialsOfColdUpstreamAreCharged guards against trials that exceed the rate of an upstream which
// turns cold while it is out, and against trials of a cold upstream by a host that decides alone.
func TestTrialsOfColdUpstreamAreCharged(t *testing.T) {
	for name, standalone := range map[string]bool{"coordinator": false, "standalone host": true} {
		t.Run(name, func(t *testing.T) {
			d := newDuo(t, ejectAndPace)
			d.eject(0, coordinator.Failed)
			d.list(func(e *registrar.Entry) { e.ColdUntil = d.now.Add(time.Hour) })
			if standalone {
				d.SetFleet(coordinator.Fleet{Hosts: 1, Share: 1, QuotaShare: 1, Domain: "d", Scope: []string{"d"}, Standalone: true}, d.now)
			}
			var sent []time.Time
			for from := d.now; d.now.Before(from.Add(5 * time.Second)); d.wait(5 * time.Millisecond) {
				for range d.ask(16) {
					sent = append(sent, d.now)
				}
				d.end("engine-0", coordinator.Complete)
				d.end("engine-1", coordinator.Complete)
			}
			f := coldFleet{arrivals: sent}
			if n := f.most(); float64(n) > coldBound*0.45 || standalone == (n > 0) {
				t.Errorf("%d requests in a second, want at most %.1f, and none by a standalone host", n, coldBound*0.45)
			}
		})
	}
}

// TestTrialsKeepToTheMemory guards against trials that exceed the memory of an upstream which
// still runs streams.
func TestTrialsKeepToTheMemory(t *testing.T) {
	c := newTokenRoom(2, 40_000)
	coordinator.WithFeatures(coordinator.Features{Ejection: true, TokenRoom: true})(c)
	c.SetUpstreams(nil, start)
	setEngines(c, 2, nil)
	now, id, sent := start, uint64(0), map[string][]uint64{}
	ask := func(n, prompt int) {
		for range n {
			id++
			r := sized(id, prompt, 10)
			r.Content, r.Retryable = uint16(id), true
			c.Admit("entry", r, now)
		}
		for _, x := range c.Advance(now) {
			if x.Upstream != "" {
				sent[x.Upstream] = append(sent[x.Upstream], x.ID)
			}
		}
	}
	ask(2, 30_000)
	for _, ids := range sent {
		c.Progress("entry", coordinator.Progress{ID: ids[0], FirstToken: time.Second}, now)
	}
	ask(10, 100)
	for _, x := range sent["engine-0"][1:] {
		now = now.Add(25 * time.Millisecond)
		c.Finish("entry", coordinator.Finish{ID: x, Ending: coordinator.Failed, Total: time.Millisecond}, now)
	}
	c.Advance(now)
	if l := c.Loads(now)[0]; l.Out != 1 {
		t.Fatalf("%d upstreams out, want 1", l.Out)
	}
	before := len(sent["engine-0"])
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		ask(1, 30_000)
	}
	if n := len(sent["engine-0"]) - before; n > 0 {
		t.Errorf("%d prompts of 30,000 tokens beside one of 30,000 in a memory of 40,000", n)
	}
}

// TestWrongUpstreamStaysOut guards against an upstream at whose address another process responds:
// each change of the directory had it lose requests again, and without one it stayed out for ever.
func TestWrongUpstreamStaysOut(t *testing.T) {
	moved := func(e *registrar.Entry) { e.Address = "10.0.0.9:80" }
	for name, features := range map[string]coordinator.Features{"ejection": ejection, "pacing": {Pacing: true}, "both": ejectAndPace} {
		t.Run(name, func(t *testing.T) {
			d := newDuo(t, features)
			d.ask(16)
			d.end("engine-0", coordinator.WrongUpstream)
			d.end("engine-1", coordinator.Complete)
			for range 8 {
				d.wait(100 * time.Millisecond)
				d.list(nil)
				if got := d.ask(16); got != 0 {
					t.Fatalf("%d requests granted although the entry is the same", got)
				}
				d.end("engine-1", coordinator.Complete)
			}
			d.wait(250 * time.Millisecond)
			if got := d.ask(16); got == 0 || features.Pacing && got != 1 {
				t.Fatalf("%d requests granted after a second", got)
			}
			d.end("engine-0", coordinator.WrongUpstream)
			d.end("engine-1", coordinator.Complete)
			d.wait(10 * time.Millisecond)
			d.list(moved)
			if got := d.ask(16); got == 0 {
				t.Error("no request granted although the address is another one")
			}
		})
	}
}
