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

// TestTierIsShedOnlyWhenAllOwnersShedLowerTiers overloads owners at random
// tiers while requests and confirmations are delayed and lost. Whenever an
// owner may shed a tier, every owner must be shedding all lower tiers.
func TestTierIsShedOnlyWhenAllOwnersShedLowerTiers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		n := rapid.IntRange(1, 5).Draw(t, "owners")
		var ids []scheduler.HostID
		shedders := make(map[scheduler.HostID]*shedder.Shedder)
		for i := range n {
			ids = append(ids, scheduler.HostID(fmt.Sprintf("h%d", i)))
		}
		for _, id := range ids {
			shedders[id] = shedder.New(tiers)
			var others []scheduler.HostID
			for _, o := range ids {
				if o != id {
					others = append(others, o)
				}
			}
			shedders[id].SetPeers(others, now)
		}
		var inFlight []func()
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "owner")
			s := shedders[id]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s.ReportOverload(scheduler.Tier(rapid.IntRange(0, tiers-1).Draw(t, "tier")), now)
			case 1:
				from, hold, ok := s.NextRequest(now)
				if !ok {
					break
				}
				sent := now
				for _, o := range s.Peers() {
					inFlight = append(inFlight, func() {
						shedders[o].Shed(from, hold, now)
						inFlight = append(inFlight, func() { s.RecordShed(o, from, hold, sent, now) })
					})
				}
			case 2:
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
					deliver := inFlight[i]
					inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
					if rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
						deliver()
					}
				}
			}
			for _, id := range ids {
				for _, o := range ids {
					shedders[id].MarkAlive(o, now)
				}
				for tier := range scheduler.Tier(tiers) {
					if !shedders[id].MayShed(tier, now) {
						continue
					}
					for _, o := range ids {
						for lower := tier + 1; lower < tiers; lower++ {
							if _, shedding := shedders[o].Shedding(lower, now); !shedding {
								t.Fatalf("%s may shed tier %d while %s accepts tier %d", id, tier, o, lower)
							}
						}
					}
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

func TestUnreachableOwnerDoesNotBlockShedding(t *testing.T) {
	now := time.Unix(1000, 0)
	s := shedder.New(tiers)
	s.SetPeers([]scheduler.HostID{"dead"}, now)
	s.ReportOverload(0, now)
	s.NextRequest(now)
	if s.MayShed(1, now) {
		t.Error("tier 1 may be shed before a reachable owner has confirmed")
	}
	now = now.Add(shedder.DefaultPeerTimeout)
	s.ReportOverload(0, now)
	s.NextRequest(now)
	s.NextRequest(now)
	if !s.MayShed(0, now) {
		t.Error("tier 0 may not be shed although the only peer is unreachable")
	}
}

func TestSheddingExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	s := shedder.New(tiers)
	s.Shed(2, time.Second, now)
	if _, shedding := s.Shedding(2, now); !shedding {
		t.Error("tier 2 is not shed right after the request")
	}
	if left, shedding := s.Shedding(2, now.Add(time.Second)); shedding || left != 0 {
		t.Error("tier 2 is still shed after the hold time")
	}
	if _, shedding := s.Shedding(1, now); shedding {
		t.Error("tier 1 is shed although only tier 2 was requested")
	}
}
