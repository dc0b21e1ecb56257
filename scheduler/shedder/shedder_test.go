package shedder_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/shedder"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

const tiers = 3

// TestHigherTierIsShedOnlyWhenLowerAreShutEverywhere lets owners come under
// pressure at random tiers while requests and promises are delayed and lost.
// Whenever an owner may refuse a tier, every owner refuses all lower ones.
func TestHigherTierIsShedOnlyWhenLowerAreShutEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		n := rapid.IntRange(1, 5).Draw(t, "owners")
		var ids []scheduler.HostID
		ladders := make(map[scheduler.HostID]*shedder.Ladder)
		for i := range n {
			ids = append(ids, scheduler.HostID(fmt.Sprintf("h%d", i)))
		}
		for _, id := range ids {
			ladders[id] = shedder.New(tiers)
			var others []scheduler.HostID
			for _, o := range ids {
				if o != id {
					others = append(others, o)
				}
			}
			ladders[id].SetPeers(others, now)
		}
		var wire []func()
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "owner")
			l := ladders[id]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				l.Press(scheduler.Tier(rapid.IntRange(0, tiers-1).Draw(t, "tier")), now)
			case 1:
				from, hold, ok := l.Request(now)
				if !ok {
					break
				}
				asked := now
				for _, o := range l.Peers() {
					wire = append(wire, func() {
						ladders[o].Asked(from, hold, now)
						wire = append(wire, func() { l.Promised(o, from, hold, asked, now) })
					})
				}
			case 2:
				if len(wire) > 0 {
					i := rapid.IntRange(0, len(wire)-1).Draw(t, "message")
					do := wire[i]
					wire = append(wire[:i:i], wire[i+1:]...)
					if rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
						do()
					}
				}
			}
			for _, id := range ids {
				for _, o := range ids {
					ladders[id].Heard(o, now)
				}
				for tier := range scheduler.Tier(tiers) {
					if !ladders[id].Permits(tier, now) {
						continue
					}
					for _, o := range ids {
						for lower := tier + 1; lower < tiers; lower++ {
							if _, shut := ladders[o].Shut(lower, now); !shut {
								t.Fatalf("%s may shed tier %d while %s takes tier %d", id, tier, o, lower)
							}
						}
					}
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

func TestUnreachableOwnersDoNotHoldTheLadderUp(t *testing.T) {
	now := time.Unix(1000, 0)
	l := shedder.New(tiers)
	l.SetPeers([]scheduler.HostID{"dead"}, now)
	l.Press(0, now)
	l.Request(now)
	if l.Permits(1, now) {
		t.Error("a tier may be shed before a reachable owner has promised")
	}
	now = now.Add(shedder.DefaultReach)
	l.Press(0, now)
	l.Request(now)
	l.Request(now)
	if !l.Permits(0, now) {
		t.Error("an owner that can't be reached holds the ladder up")
	}
}

func TestShutTiersOpenByThemselves(t *testing.T) {
	now := time.Unix(1000, 0)
	l := shedder.New(tiers)
	l.Asked(2, time.Second, now)
	if _, shut := l.Shut(2, now); !shut {
		t.Error("tier 2 is open at once")
	}
	if left, shut := l.Shut(2, now.Add(time.Second)); shut || left != 0 {
		t.Error("tier 2 is shut after the hold")
	}
	if _, shut := l.Shut(1, now); shut {
		t.Error("tier 1 is shut although tier 2 was asked for")
	}
}
