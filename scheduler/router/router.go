// Package router finds the route, the pool and the workspace of a request.
//
// A Table is built once from each version of the configuration and never
// changed, so any number of goroutines may read it. A lookup costs one map
// access for each segment of the path, regardless of the number of routes.
//
// A Versioned holds the table in force and never goes back to an older one: a
// restarted or lagging source of configuration can't revert the configuration
// of a running process.
package router

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Table answers lookups on one version of the configuration.
type Table struct {
	doc        Document
	hosts      map[string]map[string]*Route
	pools      map[string]*Pool
	workspaces map[string]*Workspace
	keys       map[string]*Workspace
}

// NewTable validates a document and indexes it. The error names the first fault
// found; an invalid document yields no table at all.
func NewTable(doc Document) (t *Table, err error) {
	defer func() {
		if err != nil {
			t, err = nil, eris.Wrapf(err, "configuration %d", doc.Version)
		}
	}()
	t = &Table{
		doc:        doc,
		hosts:      make(map[string]map[string]*Route),
		pools:      make(map[string]*Pool, len(doc.Pools)),
		workspaces: make(map[string]*Workspace, len(doc.Workspaces)),
		keys:       make(map[string]*Workspace),
	}
	for i := range doc.Pools {
		t.pools[doc.Pools[i].Name] = &doc.Pools[i]
	}
	for i := range doc.Routes {
		if err = t.addRoute(&doc.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range doc.Workspaces {
		w := &doc.Workspaces[i]
		t.workspaces[w.Name] = w
		for _, k := range w.Keys {
			t.keys[k] = w
		}
	}
	return t, nil
}

// addRoute validates a route and indexes it.
func (t *Table) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return eris.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return eris.Errorf("route %q: no target service", r.Name)
	}
	for _, target := range r.Targets {
		if t.pools[target.Pool] == nil {
			return eris.Errorf("route %q: service %q is not in the configuration", r.Name, target.Pool)
		}
	}
	host := strings.ToLower(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = make(map[string]*Route)
	}
	t.hosts[host][r.Prefix] = r
	return nil
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.doc.Version }

// Limits returns the limits on callers' requests and connections.
func (t *Table) Limits() Limits { return t.doc.Limits }

// Pools returns all pools.
func (t *Table) Pools() []Pool { return t.doc.Pools }

// Routes returns all routes.
func (t *Table) Routes() []Route { return t.doc.Routes }

// Workspaces returns all workspaces.
func (t *Table) Workspaces() []Workspace { return t.doc.Workspaces }

// Pool returns the pool with a name.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// RequiresKey reports whether requests to routes that are not public need an
// API key.
func (t *Table) RequiresKey() bool { return len(t.workspaces) > 0 }

// Workspace returns the workspace that an API key belongs to.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok
}

// Route returns the route of a host name with the longest prefix of a path. The
// host may have a port; the path must not have a query.
func (t *Table) Route(host, path string) (*Route, bool) {
	if name, port, ok := strings.Cut(host, ":"); ok && !strings.Contains(port, ":") {
		host = name
	}
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		return nil, false
	}
	for end := len(path); end > 0; {
		cut := strings.LastIndexByte(path[:end], '/')
		if cut < 0 {
			return nil, false
		}
		if r, ok := prefixes[path[:cut+1]]; ok {
			return r, true
		}
		end = cut
	}
	return nil, false
}

// Target returns the pool that serves a request. Requests with the same id get
// the same pool; over many ids the pools get requests in proportion to their
// weights.
func (r *Route) Target(id string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return r.Targets[0].Pool
	}
	n := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		n -= max(t.Weight, 0)
		if n < 0 {
			return t.Pool
		}
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Pools returns the pools that Target may return.
func (r *Route) Pools() (pools []string) {
	for _, t := range r.Targets {
		if t.Weight > 0 && !slices.Contains(pools, t.Pool) {
			pools = append(pools, t.Pool)
		}
	}
	if len(pools) == 0 {
		return []string{r.Targets[0].Pool}
	}
	return pools
}

// Versioned holds the table in force. It is safe for concurrent use.
type Versioned struct {
	table atomic.Pointer[Table]
}

// Table returns the table in force; nil before the first Apply.
func (v *Versioned) Table() *Table { return v.table.Load() }

// Version returns the version in force; 0 before the first Apply.
func (v *Versioned) Version() uint64 {
	if t := v.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// Apply puts a table in force unless the current one has the same or a newer
// version, and reports whether it did.
func (v *Versioned) Apply(t *Table) bool {
	for {
		old := v.table.Load()
		if old != nil && old.Version() >= t.Version() {
			return false
		}
		if v.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
