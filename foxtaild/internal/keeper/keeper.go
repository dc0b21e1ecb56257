// Package keeper holds what a host has in force: its configuration and the
// newest host list. Readers get either with one atomic load.
package keeper

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"foxtaillug.org/contract"
	"foxtaillug.org/contract/bundler"
	"foxtaillug.org/scheduler"
	"foxtaillug.org/scheduler/versioner"
)

// State is a configuration in force. It never changes.
type State struct {
	version   versioner.Version
	directory *contract.Directory
	bundle    *bundler.Bundle
	since     time.Time
}

// Version returns the version in force.
func (s *State) Version() versioner.Version { return s.version }

// Directory returns the configuration made ready for use.
func (s *State) Directory() *contract.Directory { return s.directory }

// Bundle returns the configuration as it was published.
func (s *State) Bundle() *bundler.Bundle { return s.bundle }

// Since returns when the version came into force here.
func (s *State) Since() time.Time { return s.since }

// Keeper holds a host's knowledge. It is safe for concurrent use.
type Keeper struct {
	self  scheduler.Host
	state atomic.Pointer[State]
	hosts atomic.Pointer[[]scheduler.Host]

	stopping atomic.Bool

	mu       sync.Mutex
	versions *versioner.Versioner[*State]
	onState  []func(*State)
	onHosts  []func([]scheduler.Host)
	listed   []scheduler.Host
}

// New returns a keeper that knows nothing yet.
func New(self scheduler.Host) *Keeper {
	return &Keeper{self: self, versions: versioner.New[*State]()}
}

// Self returns this host.
func (k *Keeper) Self() scheduler.Host { return k.self }

// State returns the configuration in force, or nil.
func (k *Keeper) State() *State { return k.state.Load() }

// Hosts returns the newest host list; this host is always on it.
func (k *Keeper) Hosts() []scheduler.Host {
	if p := k.hosts.Load(); p != nil {
		return *p
	}
	return []scheduler.Host{k.self}
}

// Listed reports whether a host list has been read and passed on.
func (k *Keeper) Listed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listed != nil
}

// Host returns a host on the newest list.
func (k *Keeper) Host(id scheduler.HostID) (scheduler.Host, bool) {
	return lo.Find(k.Hosts(), func(h scheduler.Host) bool { return h.ID() == id })
}

// OnState has f called with each configuration that comes into force.
func (k *Keeper) OnState(f func(*State)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.onState = append(k.onState, f)
}

// OnHosts has f called with each new host list.
func (k *Keeper) OnHosts(f func([]scheduler.Host)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.onHosts = append(k.onHosts, f)
}

// Wants reports whether a version that was heard of is worth fetching.
func (k *Keeper) Wants(v versioner.Version) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.versions.Wants(v)
}

// Conflict reports whether two contents carried one version number.
func (k *Keeper) Conflict() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.versions.HasConflict()
}

// Offer checks a manifest and its parts and puts the whole in force if it is
// newer than what is. A faulty one is refused and changes nothing.
func (k *Keeper) Offer(manifest []byte, part func(digest string) ([]byte, error)) (err error) {
	_, v, err := bundler.ReadManifest(manifest)
	if err != nil {
		return err
	}
	if !k.Wants(v) {
		return nil
	}
	var former *bundler.Bundle
	if old := k.State(); old != nil {
		former = old.Bundle()
	}
	bundle, dir, err := bundler.Open(manifest, part, former)
	if err != nil {
		k.reject(v, err)
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &State{version: v, directory: dir, bundle: bundle, since: time.Now()}
	if err := k.versions.Apply(v, s); err != nil {
		return err
	}
	k.state.Store(s)
	for _, f := range k.onState {
		f(s)
	}
	if k.listed != nil {
		k.setHosts()
	}
	return nil
}

// reject remembers a version whose content is corrupt. One whose parts could
// not be read is tried again.
func (k *Keeper) reject(v versioner.Version, err error) {
	if !eris.Is(err, bundler.ErrCorrupt) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.versions.Reject(v)
}

// SetHosts takes a host list from the platform.
func (k *Keeper) SetHosts(hosts []scheduler.Host) {
	if !lo.ContainsBy(hosts, func(h scheduler.Host) bool { return h.ID() == k.self.ID() }) {
		hosts = append([]scheduler.Host{k.self}, hosts...)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listed = hosts
	k.setHosts()
}

// setHosts passes the host list on, with the hosts that operators have taken
// out marked as leaving. The caller holds mu.
func (k *Keeper) setHosts() {
	hosts := slices.Clone(k.listed)
	if s := k.state.Load(); s != nil {
		for i, h := range hosts {
			if slices.Contains(s.Directory().Document().Drains.Hosts, string(h.ID())) {
				scheduler.WithLeaving(true)(&hosts[i])
			}
		}
	}
	k.hosts.Store(&hosts)
	for _, f := range k.onHosts {
		f(hosts)
	}
}

// Stop marks this host as being on its way out.
func (k *Keeper) Stop() { k.stopping.Store(true) }

// Stopping reports whether this host is on its way out.
func (k *Keeper) Stopping() bool { return k.stopping.Load() }
