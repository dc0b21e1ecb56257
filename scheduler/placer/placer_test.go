package placer_test

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/internal/rapidseed"
	"foxtaillug.org/scheduler/placer"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

// hosts returns n host IDs.
func hosts(n int) (ids []scheduler.HostID) {
	for i := range n {
		ids = append(ids, scheduler.HostID(fmt.Sprintf("h%d", i)))
	}
	return ids
}

// TestRemovedHostMovesOnlyItsUpstreams removes one host and checks that the
// upstreams of other owners do not move.
func TestRemovedHostMovesOnlyItsUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := hosts(rapid.IntRange(2, 30).Draw(t, "hosts"))
		gone := rapid.SampledFrom(all).Draw(t, "gone")
		upstreams := rapid.IntRange(1, 400).Draw(t, "upstreams")
		rest := slices.DeleteFunc(slices.Clone(all), func(id scheduler.HostID) bool { return id == gone })
		before, after := placer.NewShardMap(all, upstreams), placer.NewShardMap(rest, upstreams)
		for i := range upstreams {
			id := scheduler.UpstreamID(fmt.Sprint("u", i))
			if was := before.Replicas(id)[0]; was != gone && after.Replicas(id)[0] != was {
				t.Fatalf("%s moved although its owner was not removed", id)
			}
		}
	})
}

// TestLeavingHostsStayReplicasButRankLast marks hosts as leaving and checks that
// an upstream keeps its replicas and that leaving hosts are ranked after all
// others.
func TestLeavingHostsStayReplicasButRankLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := hosts(rapid.IntRange(1, 9).Draw(t, "hosts"))
		leaving := rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID).Draw(t, "leaving")
		before, after := placer.NewShardMap(all, 1).Replicas("u"), placer.NewShardMap(all, 1, placer.WithLeaving(leaving)).Replicas("u")
		for i, id := range after {
			if !slices.Contains(before, id) || len(before) != len(after) {
				t.Fatalf("replicas changed from %v to %v", before, after)
			}
			if i > 0 && !slices.Contains(leaving, id) && slices.Contains(leaving, after[i-1]) {
				t.Fatalf("leaving host %s is ranked before %s", after[i-1], id)
			}
		}
	})
}

func TestChoose(t *testing.T) {
	local := placer.WithLocal(true)
	tests := map[string]struct {
		candidates []placer.Candidate
		want       []scheduler.HostID
		none       bool
	}{
		"no candidates":       {none: true},
		"all unreachable":     {candidates: []placer.Candidate{placer.NewCandidate("a", 4, 0, placer.WithUnreachable(true))}, none: true},
		"local before remote": {candidates: []placer.Candidate{placer.NewCandidate("a", 4, 0), placer.NewCandidate("b", 4, 1, local)}, want: []scheduler.HostID{"b"}},
		"remote when full":    {candidates: []placer.Candidate{placer.NewCandidate("a", 4, 0), placer.NewCandidate("b", 4, 9, local)}, want: []scheduler.HostID{"a"}},
		"only one has slots":  {candidates: []placer.Candidate{placer.NewCandidate("a", 0, 0, local), placer.NewCandidate("b", 4, 3, local)}, want: []scheduler.HostID{"b"}},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			for draw := range uint64(20) {
				c, ok := placer.Choose(x.candidates, 42, draw)
				if ok == x.none {
					t.Fatalf("got %v %v", c, ok)
				}
				if ok && !slices.Contains(x.want, c.Host()) {
					t.Fatalf("got %s, want one of %v", c.Host(), x.want)
				}
			}
		})
	}
}

// TestSamePrefixSameOwner checks that requests with the same prefix go to the
// same owner as long as its load is below its bound.
func TestSamePrefixSameOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.Uint64().Draw(t, "prefix")
		var first scheduler.HostID
		for i := range 10 {
			var all []placer.Candidate
			for _, id := range hosts(8) {
				all = append(all, placer.NewCandidate(id, 10, rapid.IntRange(0, 12).Draw(t, "load"), placer.WithLocal(true)))
			}
			c, _ := placer.Choose(all, prefix, rapid.Uint64().Draw(t, "draw"))
			if i == 0 {
				first = c.Host()
			}
			if c.Host() != first {
				t.Fatalf("requests with one prefix went to %s and %s", first, c.Host())
			}
		}
	})
}

func ExampleRank() {
	hosts := []scheduler.HostID{"h1", "h2", "h3"}
	a := placer.Rank(hosts, "engine-1", 2)
	b := placer.Rank([]scheduler.HostID{"h3", "h1", "h2"}, "engine-1", 2)
	fmt.Println(slices.Equal(a, b))
	// Output: true
}

func BenchmarkChoose60Owners(b *testing.B) {
	var all []placer.Candidate
	for i, id := range hosts(60) {
		all = append(all, placer.NewCandidate(id, 48, i%50, placer.WithLocal(true)))
	}
	b.ReportAllocs()
	var draw uint64
	for b.Loop() {
		draw++
		placer.Choose(all, draw*0x9e3779b97f4a7c15, draw)
	}
}
