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
	// maxUngrouped is the number of upstreams up to which each upstream is
	// assigned to hosts on its own.
	maxUngrouped = 64
	// groupSize is the approximate number of upstreams per group if there are
	// more. A group is assigned as a whole, so that a host leases slots from few
	// lessors.
	groupSize = 6
)

// ShardMap assigns the upstreams of one region to hosts. The assignment never
// changes, but computed replica lists are cached, so a ShardMap is not safe for
// concurrent use.
type ShardMap struct {
	hosts    []scheduler.HostID
	leaving  []scheduler.HostID
	groups   int
	replicas map[string][]scheduler.HostID
}

// ShardMapOption configures a ShardMap.
type ShardMapOption func(*ShardMap)

// WithLeaving sets the hosts that are being drained. They keep their shares and
// lease them to other replicas, but own an upstream only if all of its replicas
// are leaving.
func WithLeaving(ids []scheduler.HostID) ShardMapOption {
	return func(m *ShardMap) { m.leaving = sorted(ids) }
}

// NewShardMap returns the shard map for a number of upstreams and the hosts that
// share them.
func NewShardMap(hosts []scheduler.HostID, upstreams int, opts ...ShardMapOption) ShardMap {
	m := ShardMap{hosts: sorted(hosts), groups: groupCount(upstreams), replicas: make(map[string][]scheduler.HostID)}
	for _, opt := range opts {
		opt(&m)
	}
	return m
}

// sorted returns a sorted copy of ids.
func sorted(ids []scheduler.HostID) []scheduler.HostID {
	c := slices.Clone(ids)
	slices.Sort(c)
	return c
}

// groupCount returns the number of groups for a number of upstreams; 0 means
// that each upstream is assigned on its own. It is a power of two, so that it
// changes rarely.
func groupCount(upstreams int) int {
	if upstreams <= maxUngrouped {
		return 0
	}
	return 1 << bits.Len(uint(upstreams/groupSize-1))
}

// Hosts returns the hosts of the region, sorted by ID.
func (m ShardMap) Hosts() []scheduler.HostID { return m.hosts }

// Group returns the key by which an upstream is assigned to hosts: its group, or
// its own ID if upstreams are not grouped.
func (m ShardMap) Group(upstream scheduler.UpstreamID) string {
	if m.groups == 0 {
		return string(upstream)
	}
	return "group/" + strconv.FormatUint(xxhash.Sum64String(string(upstream))%uint64(m.groups), 10)
}

// Replicas returns the hosts that share an upstream's slots, the owner first and
// leaving hosts last.
func (m ShardMap) Replicas(upstream scheduler.UpstreamID) []scheduler.HostID {
	group := m.Group(upstream)
	ids, ok := m.replicas[group]
	if !ok {
		ids = m.rankReplicas(group)
		m.replicas[group] = ids
	}
	return ids
}

// rankReplicas computes the replicas of a group.
func (m ShardMap) rankReplicas(group string) []scheduler.HostID {
	ids := Rank(m.hosts, group, MaxReplicas)
	if len(m.leaving) == 0 {
		return ids
	}
	staying, leaving := lo.FilterReject(ids, func(id scheduler.HostID, _ int) bool {
		return !slices.Contains(m.leaving, id)
	})
	return append(staying, leaving...)
}

// Equal reports whether two shard maps assign upstreams alike.
func (m ShardMap) Equal(o ShardMap) bool {
	return m.groups == o.groups && slices.Equal(m.hosts, o.hosts) && slices.Equal(m.leaving, o.leaving)
}

// ShardMaps holds the current shard map of each region. After a change of the
// host list or the upstreams, the maps of unaffected regions keep their cached
// replica lists.
type ShardMaps map[scheduler.RegionID]ShardMap

// Reuse returns the stored shard map of a region if it equals m; otherwise it
// stores m and returns it.
func (s ShardMaps) Reuse(region scheduler.RegionID, m ShardMap) ShardMap {
	if old, ok := s[region]; ok && old.Equal(m) {
		return old
	}
	s[region] = m
	return m
}
