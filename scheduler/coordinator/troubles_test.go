package coordinator_test

import (
	"testing"
	"time"

	"foxtaillug.org/scheduler/coordinator"
)

// TestColdEnginesAreNotOverrun brings an engine back cold in a burst that
// would fill it at once. With its rate bounded it does not crash; without, as
// if the pool needed no care, it does.
func TestColdEnginesAreNotOverrun(t *testing.T) {
	p := pattern{rate: between(4*time.Second, 12*time.Second, 3), cold: [2]time.Duration{5 * time.Second, 11 * time.Second}}
	with, without := 0, 0
	for seed := range uint64(4) {
		with += run(p, seed, 14*time.Second).crashes()
		without += run(p, seed, 14*time.Second, (*coordinator.Coordinator).IgnoreCold).crashes()
	}
	t.Logf("%d crashes with the bound, %d without", with, without)
	if with > 0 || without == 0 {
		t.Errorf("%d crashes of a cold engine with the bound, %d without", with, without)
	}
}

// TestCallersThatLeaveCostNoSlots has a fifth of the callers leave after their
// objective in a burst. Those that stay are served more in time if the
// coordinator hears of it than if the work is done for nobody.
func TestCallersThatLeaveCostNoSlots(t *testing.T) {
	p := pattern{rate: between(4*time.Second, 9*time.Second, 2.5), leave: 0.2}
	deaf := p
	deaf.deaf = true
	with, without := &replay{}, &replay{}
	for seed := range uint64(4) {
		with.add(run(p, seed, 14*time.Second))
		without.add(run(deaf, seed, 14*time.Second))
	}
	served := func(r *replay) int { return r.inTime[1] + r.inTime[2] + r.late[1] + r.late[2] }
	t.Logf("middle and lowest tier served: %d if callers are heard, %d if not", served(with), served(without))
	if served(with) <= served(without) {
		t.Errorf("%d served if callers that leave are heard, %d if not", served(with), served(without))
	}
}

// TestCallersThatRepeatAtOnceHarmNobody has every refused caller ask again at
// once, three times. The highest tier is served as if nobody did.
func TestCallersThatRepeatAtOnceHarmNobody(t *testing.T) {
	p := pattern{rate: between(4*time.Second, 9*time.Second, 2.5)}
	noisy := p
	noisy.repeats = 3
	calm, loud := &replay{}, &replay{}
	for seed := range uint64(4) {
		calm.add(run(p, seed, 14*time.Second))
		loud.add(run(noisy, seed, 14*time.Second))
	}
	t.Logf("in time %v if nobody repeats, %v if all do; waited in vain %v, %v", calm.inTime, loud.inTime, calm.inVain, loud.inVain)
	for tier, n := range loud.inTime {
		if n*100 < calm.inTime[tier]*97 {
			t.Errorf("tier %d: %d in time while callers repeat, %d without", tier, n, calm.inTime[tier])
		}
	}
}
