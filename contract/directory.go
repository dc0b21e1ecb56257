package contract

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"foxtaillug.org/scheduler"
)

// servicePrefix starts the pool ID of a plain service; the pool ID of a model is
// the model's name.
const servicePrefix = "service/"

// ServicePool returns the ID of the pool that serves a plain service.
func ServicePool(service string) scheduler.PoolID {
	return scheduler.PoolID(servicePrefix + service)
}

// HashKey returns the hex-encoded HMAC-SHA256 of an API key, keyed with the
// pepper. Configurations hold this hash in place of the key.
func HashKey(pepper []byte, key string) string {
	h := hmac.New(sha256.New, pepper)
	_, _ = h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil))
}

// Member is an upstream with its region and the pools that it serves.
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

// Address returns the upstream's IP address and port.
func (m Member) Address() string { return m.spec.Address }

// ColdLimit returns how many requests the upstream may run at once while it
// is in cold start.
func (m Member) ColdLimit() int { return m.spec.ColdLimit }

// Limit returns how many requests the upstream may run at once.
func (m Member) Limit() int { return m.spec.Limit }

// WarmUp returns how long the upstream must respond successfully before it may run
// more than ColdLimit requests.
func (m Member) WarmUp() time.Duration {
	return time.Duration(m.spec.WarmUpSeconds * float64(time.Second))
}

// IsEngine reports whether the upstream is a model engine, which publishes load
// reports, rather than a plain service.
func (m Member) IsEngine() bool { return m.spec.Service == "" }

// Pools returns the pools that the upstream belongs to: one for each of its
// models, or the one of its plain service.
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

// WorkspaceInfo is a workspace with the settings of its tier.
type WorkspaceInfo struct {
	id          scheduler.WorkspaceID
	tier        scheduler.Tier
	tierName    string
	timeout     time.Duration
	concurrency int
}

// ID returns the workspace's name.
func (w WorkspaceInfo) ID() scheduler.WorkspaceID { return w.id }

// Tier returns the workspace's tier.
func (w WorkspaceInfo) Tier() scheduler.Tier { return w.tier }

// TierName returns the tier's name in the configuration.
func (w WorkspaceInfo) TierName() string { return w.tierName }

// Timeout returns how long a request may take in total. A caller may set a
// shorter timeout.
func (w WorkspaceInfo) Timeout() time.Duration { return w.timeout }

// Concurrency returns how many requests of the workspace may be in progress at
// one host; 0 means no limit.
func (w WorkspaceInfo) Concurrency() int { return w.concurrency }

// Directory is a checked configuration, indexed for look-ups. It is immutable.
type Directory struct {
	doc       Document
	members   map[scheduler.UpstreamID]Member
	pools     map[scheduler.PoolID][]Member
	byKeyHash map[string]WorkspaceInfo
	byID      map[scheduler.WorkspaceID]WorkspaceInfo
	models    map[string]Model
	services  map[string]Service
	attended  *schedule
}

// NewDirectory returns the directory of a document that package parser has
// checked.
func NewDirectory(doc Document) (d *Directory, err error) {
	doc = doc.WithDefaults()
	d = &Directory{
		doc:       doc,
		members:   make(map[scheduler.UpstreamID]Member, len(doc.Upstreams)),
		pools:     make(map[scheduler.PoolID][]Member),
		byKeyHash: make(map[string]WorkspaceInfo, len(doc.Workspaces)),
		byID:      make(map[scheduler.WorkspaceID]WorkspaceInfo, len(doc.Workspaces)),
		models:    make(map[string]Model, len(doc.Models)),
		services:  make(map[string]Service, len(doc.Services)),
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

// indexUpstreams fills members and pools.
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

// indexWorkspaces indexes the workspaces by ID and by key hash.
func (d *Directory) indexWorkspaces() {
	tiers := make(map[string]int, len(d.doc.Tiers))
	for i, t := range d.doc.Tiers {
		tiers[t.Name] = i
	}
	for _, w := range d.doc.Workspaces {
		i := tiers[w.Tier]
		ws := WorkspaceInfo{
			id:          scheduler.WorkspaceID(w.Name),
			tier:        scheduler.Tier(i),
			tierName:    w.Tier,
			timeout:     time.Duration(d.doc.Tiers[i].WaitSeconds * float64(time.Second)),
			concurrency: w.Concurrency,
		}
		d.byID[ws.id] = ws
		for _, hash := range w.KeyHashes {
			d.byKeyHash[hash] = ws
		}
	}
}

// Document returns the document with its defaults filled in.
func (d *Directory) Document() Document { return d.doc }

// Upstream returns an upstream by name.
func (d *Directory) Upstream(id scheduler.UpstreamID) (Member, bool) {
	m, ok := d.members[id]
	return m, ok
}

// Upstreams returns all upstreams in the document's order.
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

// Idempotent reports whether a call of the service with an HTTP method may be
// sent again after a failure.
func (s Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Authenticate returns the workspace that an API key's hash belongs to. The
// hash is keyed, so the time of the look-up reveals nothing about the API key.
func (d *Directory) Authenticate(hash string) (WorkspaceInfo, bool) {
	ws, ok := d.byKeyHash[hash]
	return ws, ok
}

// Workspace returns a workspace by name.
func (d *Directory) Workspace(id scheduler.WorkspaceID) (WorkspaceInfo, bool) {
	ws, ok := d.byID[id]
	return ws, ok
}

// NumTiers returns the number of tiers.
func (d *Directory) NumTiers() int { return len(d.doc.Tiers) }

// TierName returns the name of a tier, or "" if there is no such tier.
func (d *Directory) TierName(t scheduler.Tier) string {
	if int(t) >= len(d.doc.Tiers) || t < 0 {
		return ""
	}
	return d.doc.Tiers[t].Name
}

// AttendedFrom returns the start of the next attended hours, or now during
// attended hours.
func (d *Directory) AttendedFrom(now time.Time) time.Time {
	return d.attended.next(now)
}
