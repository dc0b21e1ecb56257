package linker

import (
	"fmt"
	"slices"
	"testing"

	"foxtaillug.org/scheduler/detector"
)

// members returns n members of a failure domain, all with one status.
func members(domain string, n int, s detector.Status) (list []detector.Member) {
	for i := range n {
		id := fmt.Sprintf("%s-%d", domain, i)
		list = append(list, detector.Member{ID: id, Address: id, Domain: domain, Status: s, StartIncarnation: uint64(i)})
	}
	return list
}

// concat joins lists of members.
func concat(lists ...[]detector.Member) (all []detector.Member) {
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

func TestFleetSize(t *testing.T) {
	s := Settings{Domain: "a", Seeds: []string{"x"}, Regions: map[string]string{"a": "r", "b": "r", "c": "s"}}
	tests := map[string]struct {
		members          []detector.Member
		hosts, live, own int
	}{
		"no other host seen":         {nil, 12, 1, 1},
		"all alive":                  {concat(members("a", 2, detector.Alive), members("b", 3, detector.Alive), members("c", 3, detector.Alive)), 9, 9, 3},
		"dead hosts still count":     {concat(members("a", 2, detector.Dead), members("b", 3, detector.Dead), members("c", 3, detector.Alive)), 9, 4, 1},
		"failure domain never seen":  {concat(members("a", 2, detector.Alive), members("b", 3, detector.Alive)), 9, 6, 3},
		"started behind a partition": {members("a", 2, detector.Alive), 9, 3, 3},
		"suspects count as live":     {concat(members("a", 2, detector.Suspect), members("b", 3, detector.Alive), members("c", 3, detector.Alive)), 9, 9, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			hosts, live, own := fleetSize(s, tt.members)
			if hosts != tt.hosts || live != tt.live || own != tt.own {
				t.Errorf("%d hosts, %d live, %d in the domain; want %d, %d, %d", hosts, live, own, tt.hosts, tt.live, tt.own)
			}
		})
	}
}

// TestReadersAreTheOldestLive has a region of two failure domains and another region.
func TestReadersAreTheOldestLive(t *testing.T) {
	a, b, c := members("a", 4, detector.Alive), members("b", 3, detector.Alive), members("c", 2, detector.Alive)
	a[0].Status, a[1].Leaving = detector.Suspect, true
	for i := range a {
		a[i].Region, a[i].StartIncarnation = "r", uint64(10+i)
	}
	for i := range b {
		b[i].Region, b[i].StartIncarnation = "r", uint64(20-10*i)
	}
	for i := range c {
		c[i].Region, c[i].StartIncarnation = "s", 1
	}
	tests := map[string]struct {
		self detector.Member
		// reads and feeds report whether the host reads the store and feeds its domain;
		// sources are the hosts that feed it.
		reads, feeds bool
		sources      []string
	}{
		"oldest of the region":        {b[2], true, true, []string{"b-1"}},
		"second oldest of the region": {b[1], true, true, []string{"b-2"}},
		"oldest of a domain":          {a[2], false, true, []string{"b-2", "b-1"}},
		"second oldest of a domain":   {a[3], false, true, []string{"b-2", "b-1"}},
		"another host":                {b[0], false, false, []string{"b-2", "b-1"}},
		"a host that is suspected":    {a[0], false, false, []string{"a-2", "a-3"}},
		"the only domain of a region": {c[1], true, true, []string{"c-0"}},
	}
	all := concat(a, b, c)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := &view{}
			v.setReaders(all, tt.self)
			if reads, feeds := v.readsStore(tt.self.Address), v.isReader(tt.self.Address); reads != tt.reads || feeds != tt.feeds {
				t.Errorf("reads the store: %v, feeds the domain: %v; want %v, %v", reads, feeds, tt.reads, tt.feeds)
			}
			if got := v.sources(tt.self.Address); !slices.Equal(got, tt.sources) {
				t.Errorf("fed by %v, want %v", got, tt.sources)
			}
		})
	}
}

// TestScopeCoversDomainsWithoutHosts checks that the upstreams of each failure
// domain are managed by exactly one live failure domain.
func TestScopeCoversDomainsWithoutHosts(t *testing.T) {
	regions := map[string]string{"a": "r", "b": "r", "c": "s", "d": "s"}
	tests := map[string][]string{
		"all domains live":         {"a", "b", "c", "d"},
		"one domain without hosts": {"a", "b", "c"},
		"one region without hosts": {"a", "b"},
		"one domain left":          {"d"},
	}
	for name, live := range tests {
		t.Run(name, func(t *testing.T) {
			v := &view{coordinators: map[string]string{}}
			for _, d := range live {
				v.coordinators[d] = d
			}
			owners := map[string]int{}
			for _, d := range live {
				l := &Linker{settings: Settings{Domain: d, Regions: regions}}
				for _, s := range l.scope(v) {
					owners[s]++
				}
			}
			for d := range regions {
				if owners[d] != 1 {
					t.Errorf("domain %s is in the scope of %d of %v, want 1", d, owners[d], live)
				}
			}
		})
	}
}
