package pinner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// holdersInDomain and holders are the numbers of other hosts that get copies of a
	// record: those of the failure domain first, as callers come back to it, and at
	// least one elsewhere.
	holdersInDomain, holders = 2, 3
	// sourcesPerDomain is the number of hosts in each failure domain that are asked. All
	// holders may be in one domain, together with the host whose record it is.
	sourcesPerDomain = holders + 1
)

// Host is a host that may hold copies of records.
type Host struct {
	ID, Domain string
	// Address is where the host is reached.
	Address string
}

// Holders returns the hosts that get copies of a record made in a failure domain. The
// hosts must not include the one that sends them.
func Holders(k Key, domain string, hosts []Host) (list []Host) {
	ranked := rank(k, hosts, holders)
	inDomain := 0
	for _, h := range ranked {
		if h.Domain == domain && inDomain < holdersInDomain {
			inDomain++
			list = append(list, h)
		}
	}
	for _, h := range ranked {
		if len(list) < holders && h.Domain != domain {
			list = append(list, h)
		}
	}
	for _, h := range ranked {
		if len(list) < holders && !slices.Contains(list, h) {
			list = append(list, h)
		}
	}
	return list
}

// Sources returns the hosts to ask for a record.
func Sources(k Key, hosts []Host) (list []Host) { return rank(k, hosts, sourcesPerDomain) }

// weighted is a host with its weight for a key.
type weighted struct {
	Host
	weight uint64
}

// compare orders hosts by falling weight.
func compare(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
}

// rank orders hosts by rendezvous hashing of a key and returns the first ones of each
// domain, up to a limit.
func rank(k Key, hosts []Host, limit int) []Host {
	domains := make(map[string][]weighted)
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], uint64(k))
	for _, h := range hosts {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.Write(key[:])
		_, _ = d.WriteString(h.ID)
		w, list := weighted{h, d.Sum64()}, domains[h.Domain]
		if len(list) == limit && compare(w, list[limit-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, w, compare)
		domains[h.Domain] = slices.Insert(list[:min(len(list), limit-1)], at, w)
	}
	var all []weighted
	for _, list := range domains {
		all = append(all, list...)
	}
	slices.SortFunc(all, compare)
	ranked := make([]Host, 0, len(all))
	for _, w := range all {
		ranked = append(ranked, w.Host)
	}
	return ranked
}
