package placer

import (
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

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

// ShardMap is how the upstreams of one region are divided among hosts. What
// it says never changes; it remembers what it has worked out, so it is not
// safe for concurrent use.
type ShardMap struct {
	hosts   []scheduler.HostID
	leaving []scheduler.HostID
	groups  int
	ranks   map[string][]scheduler.HostID
}

// ShardMapOption sets a detail of a Territory.
type ShardMapOption func(*ShardMap)

// WithLeaving names hosts that are on their way out. They keep their shares,
// to lend them, but own nothing as long as another guardian stays.
func WithLeaving(ids []scheduler.HostID) ShardMapOption {
	return func(t *ShardMap) { t.leaving = sorted(ids) }
}

// NewShardMap returns the division of a number of upstreams among hosts.
func NewShardMap(hosts []scheduler.HostID, upstreams int, opts ...ShardMapOption) ShardMap {
	t := ShardMap{hosts: sorted(hosts), groups: groupCount(upstreams), ranks: make(map[string][]scheduler.HostID)}
	for _, opt := range opts {
		opt(&t)
	}
	return t
}

// sorted returns a sorted copy.
func sorted(ids []scheduler.HostID) []scheduler.HostID {
	c := slices.Clone(ids)
	slices.Sort(c)
	return c
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
func (t ShardMap) Hosts() []scheduler.HostID { return t.hosts }

// Group returns the key under which an upstream is placed.
func (t ShardMap) Group(upstream scheduler.UpstreamID) string {
	if t.groups == 0 {
		return string(upstream)
	}
	return "group/" + strconv.FormatUint(xxhash.Sum64String(string(upstream))%uint64(t.groups), 10)
}

// Replicas returns the hosts that share an upstream's slots, owner first and
// those on their way out last.
func (t ShardMap) Replicas(upstream scheduler.UpstreamID) []scheduler.HostID {
	group := t.Group(upstream)
	ids, ok := t.ranks[group]
	if !ok {
		ids = t.rank(group)
		t.ranks[group] = ids
	}
	return ids
}

// rank works out the guardians of a group.
func (t ShardMap) rank(group string) []scheduler.HostID {
	ids := Rank(t.hosts, group, MaxReplicas)
	if len(t.leaving) == 0 {
		return ids
	}
	staying, leaving := lo.FilterReject(ids, func(id scheduler.HostID, _ int) bool {
		return !slices.Contains(t.leaving, id)
	})
	return append(staying, leaving...)
}

// Equal reports whether two territories divide alike.
func (t ShardMap) Equal(u ShardMap) bool {
	return t.groups == u.groups && slices.Equal(t.hosts, u.hosts) && slices.Equal(t.leaving, u.leaving)
}

// ShardMaps keeps the territories of regions from one change to the next, so that
// only what has changed is worked out anew.
type ShardMaps map[scheduler.RegionID]ShardMap

// Reuse returns the territory of a region: the one kept, if it divides alike.
func (a ShardMaps) Reuse(region scheduler.RegionID, t ShardMap) ShardMap {
	if old, ok := a[region]; ok && old.Equal(t) {
		return old
	}
	a[region] = t
	return t
}
