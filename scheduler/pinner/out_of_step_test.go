package pinner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler/pinner"
)

// Ways in which a host is out of step.
const (
	cutOffFromStore = "cut off from the store"
	cutOffFromAll   = "cut off from all"
	standsStill     = "suspended"
)

// outOfStep is a scenario in which one host misses, for a few seconds, what the store and maybe
// the others say, while a second version joins.
type outOfStep struct {
	seed           uint64
	hosts, domains int
	// lag bounds by how much the other hosts are behind the store, and loss is the fraction
	// of messages that are lost.
	lag  time.Duration
	loss float64
	way  string
}

// play has the other hosts begin streams at both versions at once and the first one take them
// up when they break. It returns what came of that.
func (s outOfStep) play() []outcome {
	one, two := pinner.Origin{Pool: "p", Version: "v1"}, pinner.Origin{Pool: "p", Version: "v2"}
	f := newFleet(s.seed, s.hosts, s.domains, state{possible: map[string][]pinner.Origin{"chat": {one}}})
	f.fleetLag, f.loss = s.lag, s.loss
	for f.now < 2*changePeriod {
		f.advance()
	}
	x := f.hosts[0]
	switch s.way {
	case cutOffFromStore:
		x.cutOff = true
	case cutOffFromAll:
		x.cutOff, f.isolated = true, x
	case standsStill:
		x.suspendedUntil = f.now + f.upTo(5*time.Second)
	}
	f.change(map[string][]pinner.Origin{"chat": {one, two}})
	for end := f.now + 6*time.Second; f.now < end; {
		f.advance()
		if f.happens(10) {
			f.begin(1+f.rand.IntN(len(f.hosts)-1), "chat")
		}
		for _, s := range f.streams {
			if s.key != 0 && !s.inquiring && f.running(x) && f.happens(2) {
				f.takeUp(s, 0)
			}
		}
		if f.happens(0.3) {
			x.cutOff, f.isolated = false, nil
		}
	}
	return f.outcomes
}

// check fails the test if a stream went on at another version.
func (s outOfStep) check(t interface{ Fatalf(string, ...any) }) {
	for _, o := range s.play() {
		if o.wrong {
			t.Fatalf("%s: a stream of %v that began at %v went on elsewhere at %v", s.way, o.origin, o.beganAt, o.at)
		}
	}
}

// TestHostOutOfStepJoinsNoVersions has streams taken up at a host that is out of step.
func TestHostOutOfStepJoinsNoVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outOfStep{
			seed: rapid.Uint64().Draw(t, "seed"), hosts: rapid.IntRange(3, 12).Draw(t, "hosts"), domains: rapid.IntRange(1, 3).Draw(t, "domains"),
			lag:  rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond}).Draw(t, "lag"),
			loss: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss"),
			way:  rapid.SampledFrom([]string{cutOffFromStore, cutOffFromAll, standsStill}).Draw(t, "way"),
		}.check(t)
	})
}

// TestLostCopiesBesideALaggingHostJoinNoVersions loses the copies of a stream's record and the
// answers of those that have it, while a host that is 0.3 s behind confirms the older version.
func TestLostCopiesBesideALaggingHostJoinNoVersions(t *testing.T) {
	outOfStep{seed: 0x154, hosts: 6, domains: 1, lag: 300 * time.Millisecond, loss: 0.1, way: cutOffFromStore}.check(t)
}
