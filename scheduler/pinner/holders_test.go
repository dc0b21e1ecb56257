package pinner_test

import (
	"slices"
	"strconv"
	"testing"

	"foxtaillug.org/scheduler/pinner"
)

// hostsIn returns hosts, as many as given in each failure domain.
func hostsIn(domains ...int) (list []pinner.Host) {
	for d, count := range domains {
		for range count {
			list = append(list, pinner.Host{ID: "h" + strconv.Itoa(len(list)), Domain: strconv.Itoa(d)})
		}
	}
	return list
}

// without returns all hosts but one.
func without(hosts []pinner.Host, h pinner.Host) []pinner.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(o pinner.Host) bool { return o == h })
}

func TestHoldersByFailureDomain(t *testing.T) {
	tests := map[string]struct {
		hosts []pinner.Host
		// own and others are the numbers of copies in the domain of the sender, which
		// is the first, and in other ones.
		own, others int
	}{
		"no other host":              {hosts: hostsIn(1)},
		"one other host":             {hosts: hostsIn(2), own: 1},
		"one domain":                 {hosts: hostsIn(9), own: 3},
		"three domains":              {hosts: hostsIn(3, 3, 3), own: 2, others: 1},
		"one host in each domain":    {hosts: hostsIn(1, 1, 1, 1), others: 3},
		"a small domain of its own":  {hosts: hostsIn(2, 9), own: 1, others: 2},
		"one host in another domain": {hosts: hostsIn(9, 1), own: 2, others: 1},
		"90 hosts":                   {hosts: hostsIn(30, 30, 30), own: 2, others: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for k := range pinner.Key(100) {
				own, others := 0, 0
				list := pinner.Holders(k, "0", without(test.hosts, test.hosts[0]))
				for i, h := range list {
					if slices.Contains(list[:i], h) {
						t.Fatalf("key %d: %v gets two copies", k, h)
					}
					if h.Domain == "0" {
						own++
					} else {
						others++
					}
				}
				if own != test.own || others != test.others {
					t.Fatalf("key %d: %d copies in the domain and %d elsewhere, want %d and %d", k, own, others, test.own, test.others)
				}
			}
		})
	}
}

// TestSourcesIncludeHolders has the one who asks know of no host that has died and of two
// that have started since the copies were sent.
func TestSourcesIncludeHolders(t *testing.T) {
	for name, hosts := range map[string][]pinner.Host{
		"one domain": hostsIn(9), "three domains": hostsIn(3, 3, 3), "90 hosts": hostsIn(30, 30, 30), "four domains": hostsIn(1, 2, 5, 9),
	} {
		t.Run(name, func(t *testing.T) {
			missed, count := 0, 0
			for k := range pinner.Key(300) {
				sender := hosts[int(k)%len(hosts)]
				holders := pinner.Holders(k, sender.Domain, without(hosts, sender))
				asker := hosts[int(k/7)%len(hosts)]
				same := pinner.Sources(k, without(hosts, asker))
				view := append(without(hosts, asker), pinner.Host{ID: "new1", Domain: "0"}, pinner.Host{ID: "new2", Domain: "0"})
				sources := pinner.Sources(k, view)
				for _, h := range holders {
					if h == asker {
						continue
					}
					if !slices.Contains(same, h) {
						t.Fatalf("key %d: %v holds a copy and is not asked", k, h)
					}
					count++
					if !slices.Contains(sources, h) {
						missed++
					}
				}
			}
			if 5*missed > count {
				t.Errorf("%d of %d holders are not asked after two hosts have started", missed, count)
			}
		})
	}
}

// TestCopiesStayWhenHostsLeave requires that only the copies of the host that has left
// move.
func TestCopiesStayWhenHostsLeave(t *testing.T) {
	hosts := hostsIn(5, 5, 5)
	for k := range pinner.Key(200) {
		before := pinner.Holders(k, "0", hosts)
		for _, gone := range before {
			after := pinner.Holders(k, "0", without(hosts, gone))
			for _, h := range before {
				if h != gone && !slices.Contains(after, h) {
					t.Fatalf("key %d: the copy at %v moves when %v leaves", k, h, gone)
				}
			}
		}
	}
}

// TestCopiesAreSpread requires that no host of a domain gets over half more than its part.
func TestCopiesAreSpread(t *testing.T) {
	const keys, others = 9000, 8
	copies := make(map[string]int)
	for k := range pinner.Key(keys) {
		for _, h := range pinner.Holders(k, "0", hostsIn(others + 1)[1:]) {
			copies[h.ID]++
		}
	}
	for id, n := range copies {
		if n > 3*keys*3/(2*others) {
			t.Errorf("%s holds %d copies of %d records", id, n, keys)
		}
	}
}
