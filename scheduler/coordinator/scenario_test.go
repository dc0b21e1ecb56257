package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// TestColdEngineIsNotOverloaded brings an engine back cold during a burst that
// would fill it at once. With a bounded rate it does not crash; without the
// bound, as if the pool had no cold rate, it does.
func TestColdEngineIsNotOverloaded(t *testing.T) {
	p := pattern{rate: between(4*time.Second, 12*time.Second, 3), cold: [2]time.Duration{5 * time.Second, 11 * time.Second}}
	with, without := 0, 0
	for seed := range uint64(4) {
		with += run(p, seed, 14*time.Second).crashes()
		without += run(p, seed, 14*time.Second, (*coordinator.Coordinator).IgnoreCold).crashes()
	}
	t.Logf("%d crashes with the bound, %d without", with, without)
	if with > 0 || without == 0 {
		t.Errorf("%d crashes of a cold engine with the bound, want 0; %d without, want some", with, without)
	}
}

// TestCancelledRequestsFreeCapacity lets a fifth of the callers cancel after
// their objective during a burst. More of the other callers are served if the
// coordinator is notified than if the engines keep working on cancelled
// requests.
func TestCancelledRequestsFreeCapacity(t *testing.T) {
	p := pattern{rate: between(4*time.Second, 9*time.Second, 2.5), abandon: 0.2}
	noWithdraw := p
	noWithdraw.noWithdraw = true
	with, without := &replay{}, &replay{}
	for seed := range uint64(4) {
		with.add(run(p, seed, 14*time.Second))
		without.add(run(noWithdraw, seed, 14*time.Second))
	}
	served := func(r *replay) int { return r.inTime[1] + r.inTime[2] + r.late[1] + r.late[2] }
	t.Logf("middle and lowest tier served: %d with notice of cancellations, %d without", served(with), served(without))
	if served(with) <= served(without) {
		t.Errorf("%d served with notice of cancellations, want more than the %d without", served(with), served(without))
	}
}

// TestImmediateRetriesDoNotHarmOthers lets every refused caller retry
// immediately, three times. In every tier about as many requests are served in
// time as without retries.
func TestImmediateRetriesDoNotHarmOthers(t *testing.T) {
	p := pattern{rate: between(4*time.Second, 9*time.Second, 2.5)}
	retrying := p
	retrying.retries = 3
	without, with := &replay{}, &replay{}
	for seed := range uint64(4) {
		without.add(run(p, seed, 14*time.Second))
		with.add(run(retrying, seed, 14*time.Second))
	}
	t.Logf("in time %v without retries, %v with; wait of refused requests %v, %v", without.inTime, with.inTime, without.wasted, with.wasted)
	for tier, n := range with.inTime {
		if n*100 < without.inTime[tier]*97 {
			t.Errorf("tier %d: %d in time with retries, %d without", tier, n, without.inTime[tier])
		}
	}
}
