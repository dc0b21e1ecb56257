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
	ranked := rank(k, hosts)
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
func Sources(k Key, hosts []Host) (list []Host) {
	asked := make(map[string]int)
	for _, h := range rank(k, hosts) {
		if asked[h.Domain] < sourcesPerDomain {
			asked[h.Domain]++
			list = append(list, h)
		}
	}
	return list
}

// rank orders hosts by rendezvous hashing of a key.
func rank(k Key, hosts []Host) []Host {
	type weighted struct {
		Host
		weight uint64
	}
	list := make([]weighted, 0, len(hosts))
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], uint64(k))
	for _, h := range hosts {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.Write(key[:])
		_, _ = d.WriteString(h.ID)
		list = append(list, weighted{h, d.Sum64()})
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	ranked := make([]Host, 0, len(list))
	for _, w := range list {
		ranked = append(ranked, w.Host)
	}
	return ranked
}
