package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
	"foxtaillug.org/scheduler/observer"
	"foxtaillug.org/scheduler/registrar"
)

// pacedUpstream is a coordinator with one upstream of eight slots.
type pacedUpstream struct {
	*coordinator.Coordinator
	ids     uint64
	running []uint64
}

// newPacedUpstream returns one whose upstream has just been listed.
func newPacedUpstream(change func(*registrar.Entry)) *pacedUpstream {
	p := &pacedUpstream{Coordinator: newCoordinator(coordinator.WithFeatures(coordinator.Features{Pacing: true}))}
	p.list(change)
	return p
}

// list lists the upstream.
func (p *pacedUpstream) list(change func(*registrar.Entry)) {
	setEngines(p.Coordinator, 1, func(e *registrar.Entry) {
		e.Slots = 8
		if change != nil {
			change(e)
		}
	})
}

// ask sends a number of requests of different hosts and returns how many were granted.
func (p *pacedUpstream) ask(n int, now time.Time) (granted int) {
	for range n {
		p.ids++
		p.Admit(fmt.Sprint("host-", p.ids), request(p.ids), now)
	}
	for _, d := range p.Advance(now) {
		if d.Upstream != "" {
			granted++
			p.running = append(p.running, d.ID)
		}
	}
	for id := range p.ids {
		p.Withdraw(fmt.Sprint("host-", id+1), id+1)
	}
	return granted
}

// end ends all running requests.
func (p *pacedUpstream) end(ending coordinator.Ending, now time.Time) {
	for _, id := range p.running {
		p.Finish(fmt.Sprint("host-", id), coordinator.Finish{ID: id, Ending: ending, Total: 10 * time.Millisecond}, now)
	}
	p.running = nil
}

// open answers requests in time until the upstream is not paced.
func (p *pacedUpstream) open(t *testing.T, now time.Time) time.Time {
	t.Helper()
	for range 10 {
		p.ask(8, now)
		now = now.Add(50 * time.Millisecond)
		p.end(coordinator.Complete, now)
	}
	if l := p.Loads(now)[0]; l.Paced != 0 || l.Slots != 8 {
		t.Fatalf("%d upstreams paced, %d slots after half a second of answers in time", l.Paced, l.Slots)
	}
	return now
}

// TestStartedUpstreamOpensWithItsAnswers guards against a started upstream that is flooded,
// or left idle although it answers: it gets two requests, then twice as many with each round,
// and summaries count no more slots than that.
func TestStartedUpstreamOpensWithItsAnswers(t *testing.T) {
	p, now := newPacedUpstream(nil), start
	for _, want := range []int{2, 4, 8, 8} {
		if free := p.Summary(now).Free["engines"]; free != want {
			t.Errorf("%d slots free by the summary, want %d", free, want)
		}
		if got := p.ask(10, now); got != want {
			t.Errorf("%d requests granted, want %d", got, want)
		}
		now = now.Add(50 * time.Millisecond)
		p.end(coordinator.Complete, now)
	}
}

// TestReturnedUpstreamStartsAtHalf guards against an upstream that is flooded when it comes
// back, as from an evacuation, and against one that has answered before and starts at two.
func TestReturnedUpstreamStartsAtHalf(t *testing.T) {
	tests := map[string]struct {
		back func(*registrar.Entry)
		want int
	}{
		"same process": {want: 4},
		"restarted":    {back: func(e *registrar.Entry) { e.Born = 7 }, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPacedUpstream(nil)
			now := p.open(t, start)
			p.SetUpstreams(nil, now)
			p.list(tt.back)
			if got := p.ask(10, now.Add(time.Second)); got != tt.want {
				t.Errorf("%d requests granted, want %d", got, tt.want)
			}
		})
	}
}

// TestTrialsAreSingle guards against an upstream that is down and costs as many callers their
// first try at each trial as it has slots, and against one that stays ejected after a trial
// has succeeded.
func TestTrialsAreSingle(t *testing.T) {
	p := newPacedUpstream(nil)
	now := p.open(t, start)
	if got := p.ask(8, now); got != 8 {
		t.Fatalf("%d requests granted, want 8", got)
	}
	now = now.Add(time.Millisecond)
	p.end(coordinator.ConnectFailed, now)
	failures := 0
	for ; now.Before(start.Add(2 * time.Second)); now = now.Add(5 * time.Millisecond) {
		if got := p.ask(8, now); got > 1 {
			t.Fatalf("%d trial requests at once, want 1", got)
		}
		failures += len(p.running)
		p.end(coordinator.ConnectFailed, now)
	}
	if failures < 3 || failures > 4 {
		t.Errorf("%d trial requests in one and a half seconds, want 3 or 4", failures)
	}
	for p.ask(1, now) == 0 {
		now = now.Add(5 * time.Millisecond)
	}
	p.end(coordinator.Complete, now.Add(time.Millisecond))
	if got := p.ask(8, now.Add(2*time.Millisecond)); got < 3 {
		t.Errorf("%d requests granted after a trial that succeeded, want about half of 8 slots", got)
	}
}

// TestRejectionReducesTheWindow guards against a busy upstream that stays unused for a fixed
// time after it has refused one request, although it runs others.
func TestRejectionReducesTheWindow(t *testing.T) {
	p := newPacedUpstream(nil)
	now := p.open(t, start)
	p.ask(8, now)
	now = now.Add(10 * time.Millisecond)
	rejected := p.running[7]
	p.running = p.running[:7]
	p.Finish(fmt.Sprint("host-", rejected), coordinator.Finish{ID: rejected, Ending: coordinator.Rejected}, now)
	if got := p.ask(8, now); got != 0 {
		t.Errorf("%d requests granted beside seven, want 0 with a window of six", got)
	}
	p.end(coordinator.Complete, now)
	if got := p.ask(8, now); got != 6 {
		t.Errorf("%d requests granted at once, want 6", got)
	}
}

// TestAdoptedRequestsOpenTheWindow guards against a new coordinator that starts slowly with
// upstreams which run requests of the former one.
func TestAdoptedRequestsOpenTheWindow(t *testing.T) {
	for adopted, want := range map[int]int{0: 2, 1: 3, 6: 0} {
		t.Run(fmt.Sprint(adopted), func(t *testing.T) {
			p := newPacedUpstream(nil)
			for i := range adopted {
				p.Adopt("entry", []coordinator.Running{{ID: uint64(100 + i), Upstream: "engine-0", Left: time.Minute}}, start)
			}
			if got := p.ask(8, start); got != want {
				t.Errorf("%d requests granted beside %d, want %d", got, adopted, want)
			}
		})
	}
}

// TestPacingLeavesBrittleUpstreams guards against brittle upstreams that are paced twice:
// their room has its own rule.
func TestPacingLeavesBrittleUpstreams(t *testing.T) {
	p := newPacedUpstream(nil)
	p.Observe(observer.Observation{Upstream: "engine-0", Brittle: true}, start.Add(3*time.Second))
	if l := p.Loads(start.Add(3 * time.Second))[0]; l.Paced != 0 || l.Slots != 7 {
		t.Errorf("%d upstreams paced, %d slots; want 0 and 7", l.Paced, l.Slots)
	}
}
