package contract

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"foxtaillug.org/scheduler"
)

// servicePrefix marks the pools of plain services.
const servicePrefix = "service/"

// ServicePool returns the pool of a plain service.
func ServicePool(service string) scheduler.PoolID {
	return scheduler.PoolID(servicePrefix + service)
}

// HashKey returns the keyed hash under which an API key is configured.
func HashKey(pepper []byte, key string) string {
	h := hmac.New(sha256.New, pepper)
	_, _ = h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil))
}

// Member is one upstream of a pool.
type Member struct {
	spec   Upstream
	region scheduler.RegionID
}

// ID returns the upstream's name.
func (m Member) ID() scheduler.UpstreamID { return scheduler.UpstreamID(m.spec.Name) }

// Domain returns the upstream's failure domain.
func (m Member) Domain() scheduler.DomainID { return scheduler.DomainID(m.spec.Domain) }

// Region returns the upstream's region.
func (m Member) Region() scheduler.RegionID { return m.region }

// Address returns the upstream's IP and port.
func (m Member) Address() string { return m.spec.Address }

// ColdLimit returns how many requests it tolerates in cold start.
func (m Member) ColdLimit() int { return m.spec.ColdLimit }

// Limit returns how many requests it runs at most.
func (m Member) Limit() int { return m.spec.Limit }

// WarmUp returns how long it must answer well to get more than ColdLimit.
func (m Member) WarmUp() time.Duration {
	return time.Duration(m.spec.WarmUpSeconds * float64(time.Second))
}

// IsEngine reports whether the upstream is a model engine, which publishes load
// reports, and not a plain service.
func (m Member) IsEngine() bool { return m.spec.Service == "" }

// Pools returns the pools the upstream belongs to.
func (m Member) Pools() []scheduler.PoolID {
	if !m.IsEngine() {
		return []scheduler.PoolID{ServicePool(m.spec.Service)}
	}
	pools := make([]scheduler.PoolID, 0, len(m.spec.Models))
	for _, name := range m.spec.Models {
		pools = append(pools, scheduler.PoolID(name))
	}
	return pools
}

// WorkspaceInfo is what a host knows of one workspace.
type WorkspaceInfo struct {
	id          scheduler.WorkspaceID
	tier        scheduler.Tier
	tierName    string
	wait        time.Duration
	concurrency int
}

// ID returns the workspace's name.
func (s WorkspaceInfo) ID() scheduler.WorkspaceID { return s.id }

// Tier returns the workspace's tier.
func (s WorkspaceInfo) Tier() scheduler.Tier { return s.tier }

// TierName returns the tier as operators call it.
func (s WorkspaceInfo) TierName() string { return s.tierName }

// DefaultTimeout returns how long a request may take in all when its caller names no
// time.
func (s WorkspaceInfo) DefaultTimeout() time.Duration { return s.wait }

// Concurrency bounds the requests in progress at one host; 0 is no bound.
func (s WorkspaceInfo) Concurrency() int { return s.concurrency }

// Directory is a configuration made ready for use. It never changes.
type Directory struct {
	doc        Document
	members    map[scheduler.UpstreamID]Member
	pools      map[scheduler.PoolID][]Member
	workspaces map[string]WorkspaceInfo
	standings  map[scheduler.WorkspaceID]WorkspaceInfo
	models     map[string]Model
	services   map[string]Service
	attended   *schedule
}

// NewDirectory returns the directory of a checked document.
func NewDirectory(doc Document) (d *Directory, err error) {
	doc = doc.WithDefaults()
	d = &Directory{
		doc:        doc,
		members:    make(map[scheduler.UpstreamID]Member, len(doc.Upstreams)),
		pools:      make(map[scheduler.PoolID][]Member),
		workspaces: make(map[string]WorkspaceInfo, len(doc.Workspaces)),
		standings:  make(map[scheduler.WorkspaceID]WorkspaceInfo, len(doc.Workspaces)),
		models:     make(map[string]Model, len(doc.Models)),
		services:   make(map[string]Service, len(doc.Services)),
	}
	d.indexUpstreams()
	d.indexWorkspaces()
	for _, m := range doc.Models {
		d.models[m.Name] = m
	}
	for _, s := range doc.Services {
		d.services[s.Name] = s
	}
	d.attended, err = newSchedule(doc.Attended)
	return d, err
}

// indexUpstreams fills the upstreams and pools.
func (d *Directory) indexUpstreams() {
	regions := make(map[string]string, len(d.doc.Domains))
	for _, dom := range d.doc.Domains {
		regions[dom.Name] = dom.Region
	}
	for _, u := range d.doc.Upstreams {
		m := Member{spec: u, region: scheduler.RegionID(regions[u.Domain])}
		d.members[m.ID()] = m
		for _, pool := range m.Pools() {
			d.pools[pool] = append(d.pools[pool], m)
		}
	}
}

// indexWorkspaces fills the workspaces by their key hashes.
func (d *Directory) indexWorkspaces() {
	tiers := make(map[string]int, len(d.doc.Tiers))
	for i, t := range d.doc.Tiers {
		tiers[t.Name] = i
	}
	for _, w := range d.doc.Workspaces {
		i := tiers[w.Tier]
		s := WorkspaceInfo{
			id:          scheduler.WorkspaceID(w.Name),
			tier:        scheduler.Tier(i),
			tierName:    w.Tier,
			wait:        time.Duration(d.doc.Tiers[i].WaitSeconds * float64(time.Second)),
			concurrency: w.Concurrency,
		}
		d.standings[s.id] = s
		for _, hash := range w.KeyHashes {
			d.workspaces[hash] = s
		}
	}
}

// Document returns the document with its defaults filled in.
func (d *Directory) Document() Document { return d.doc }

// Upstream returns one back end.
func (d *Directory) Upstream(id scheduler.UpstreamID) (Member, bool) {
	m, ok := d.members[id]
	return m, ok
}

// Upstreams returns all back ends in the document's order.
func (d *Directory) Upstreams() []Member {
	all := make([]Member, 0, len(d.doc.Upstreams))
	for _, u := range d.doc.Upstreams {
		all = append(all, d.members[scheduler.UpstreamID(u.Name)])
	}
	return all
}

// Pool returns the upstreams of a pool.
func (d *Directory) Pool(id scheduler.PoolID) []Member { return d.pools[id] }

// Pools returns the names of all pools, sorted.
func (d *Directory) Pools() []scheduler.PoolID {
	ids := make([]scheduler.PoolID, 0, len(d.pools))
	for id := range d.pools {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Model returns a model by name.
func (d *Directory) Model(name string) (Model, bool) {
	m, ok := d.models[name]
	return m, ok
}

// Service returns a plain service by name.
func (d *Directory) Service(name string) (Service, bool) {
	s, ok := d.services[name]
	return s, ok
}

// Idempotent reports whether calls of a service by a method may be repeated.
func (s Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Authenticate returns the workspace of an API key's hash. The hash is keyed,
// so the time of the look-up tells nothing of the key.
func (d *Directory) Authenticate(hash string) (WorkspaceInfo, bool) {
	s, ok := d.workspaces[hash]
	return s, ok
}

// Workspace returns a workspace by name.
func (d *Directory) Workspace(id scheduler.WorkspaceID) (WorkspaceInfo, bool) {
	s, ok := d.standings[id]
	return s, ok
}

// NumTiers returns the number of tiers.
func (d *Directory) NumTiers() int { return len(d.doc.Tiers) }

// TierName returns the name of a tier.
func (d *Directory) TierName(t scheduler.Tier) string {
	if int(t) >= len(d.doc.Tiers) || t < 0 {
		return ""
	}
	return d.doc.Tiers[t].Name
}

// AttendedFrom returns the time from which somebody attends, which is now
// during attended hours.
func (d *Directory) AttendedFrom(now time.Time) time.Time {
	return d.attended.next(now)
}
