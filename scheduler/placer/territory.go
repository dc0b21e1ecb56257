package placer

import (
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"foxtaillug.org/scheduler"
)

const (
	// ungrouped is the number of upstreams up to which each is placed by
	// itself.
	ungrouped = 64
	// groupSize is how many upstreams are placed together beyond that, so
	// that one host's loans come from few lenders.
	groupSize = 6
)

// Territory is how the upstreams of one region are divided among hosts. It
// never changes.
type Territory struct {
	hosts  []scheduler.HostID
	groups int
}

// NewTerritory returns the division of a number of upstreams among hosts.
func NewTerritory(hosts []scheduler.HostID, upstreams int) Territory {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	return Territory{hosts: sorted, groups: groupCount(upstreams)}
}

// groupCount returns into how many groups upstreams fall; 0 means each is its
// own. It is a power of two, so that it changes rarely.
func groupCount(upstreams int) int {
	if upstreams <= ungrouped {
		return 0
	}
	return 1 << bits.Len(uint(upstreams/groupSize-1))
}

// Hosts returns the hosts, sorted.
func (t Territory) Hosts() []scheduler.HostID { return t.hosts }

// Group returns the key under which an upstream is placed.
func (t Territory) Group(upstream scheduler.UpstreamID) string {
	if t.groups == 0 {
		return string(upstream)
	}
	return "group/" + strconv.FormatUint(xxhash.Sum64String(string(upstream))%uint64(t.groups), 10)
}

// Guardians returns the hosts that share an upstream's slots, owner first.
func (t Territory) Guardians(upstream scheduler.UpstreamID) []scheduler.HostID {
	return Rank(t.hosts, t.Group(upstream), MaxGuardians)
}

// Equal reports whether two territories divide alike.
func (t Territory) Equal(u Territory) bool {
	return t.groups == u.groups && slices.Equal(t.hosts, u.hosts)
}
