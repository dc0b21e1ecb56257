package registrar

import "slices"

// poolVersion is a software version in a pool.
type poolVersion struct{ pool, version string }

// countVersion changes the number of entries with the pool and the version of e.
func (r *Registrar) countVersion(e Entry, by int) {
	k := poolVersion{e.Pool, e.Version}
	old := r.versions[k]
	r.versions[k] = old + by
	if old+by == 0 {
		delete(r.versions, k)
	}
	if old == 0 || old+by == 0 {
		r.versionChanges++
	}
}

// Versions returns the software versions of each pool's entries, sorted. Those of
// upstreams that receive no new requests are included, and so is the empty one.
func (r *Registrar) Versions() map[string][]string {
	byPool := make(map[string][]string)
	for k := range r.versions {
		byPool[k.pool] = append(byPool[k.pool], k.version)
	}
	for _, list := range byPool {
		slices.Sort(list)
	}
	return byPool
}

// VersionChanges returns how many times a version has come or gone in a pool.
func (r *Registrar) VersionChanges() uint64 { return r.versionChanges }
