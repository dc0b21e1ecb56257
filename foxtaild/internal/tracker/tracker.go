// Package tracker holds what a host has in force: its configuration and the
// newest host list. Readers get either with one atomic load.
package tracker

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

// Config is a configuration in force. It never changes.
type Config struct {
	version   versioner.Version
	directory *contract.Directory
	bundle    *bundler.Bundle
	since     time.Time
}

// Version returns the version in force.
func (s *Config) Version() versioner.Version { return s.version }

// Directory returns the configuration made ready for use.
func (s *Config) Directory() *contract.Directory { return s.directory }

// Bundle returns the configuration as it was published.
func (s *Config) Bundle() *bundler.Bundle { return s.bundle }

// Since returns when the version came into force here.
func (s *Config) Since() time.Time { return s.since }

// Tracker holds a host's knowledge. It is safe for concurrent use.
type Tracker struct {
	self   scheduler.Host
	config atomic.Pointer[Config]
	hosts  atomic.Pointer[[]scheduler.Host]

	stopping atomic.Bool

	mu       sync.Mutex
	versions *versioner.Versioner[*Config]
	onState  []func(*Config)
	onHosts  []func([]scheduler.Host)
	listed   []scheduler.Host
}

// New returns a tracker that knows nothing yet.
func New(self scheduler.Host) *Tracker {
	return &Tracker{self: self, versions: versioner.New[*Config]()}
}

// Self returns this host.
func (t *Tracker) Self() scheduler.Host { return t.self }

// Config returns the configuration in force, or nil.
func (t *Tracker) Config() *Config { return t.config.Load() }

// Hosts returns the newest host list; this host is always on it.
func (t *Tracker) Hosts() []scheduler.Host {
	if p := t.hosts.Load(); p != nil {
		return *p
	}
	return []scheduler.Host{t.self}
}

// HasHostList reports whether a host list has been read and passed on.
func (t *Tracker) HasHostList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed != nil
}

// Host returns a host on the newest list.
func (t *Tracker) Host(id scheduler.HostID) (scheduler.Host, bool) {
	return lo.Find(t.Hosts(), func(h scheduler.Host) bool { return h.ID() == id })
}

// OnConfig has f called with each configuration that comes into force.
func (t *Tracker) OnConfig(f func(*Config)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onState = append(t.onState, f)
}

// OnHosts has f called with each new host list.
func (t *Tracker) OnHosts(f func([]scheduler.Host)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onHosts = append(t.onHosts, f)
}

// Wants reports whether a version that was heard of is worth fetching.
func (t *Tracker) Wants(v versioner.Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versions.Wants(v)
}

// HasConflict reports whether two contents carried one version number.
func (t *Tracker) HasConflict() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versions.HasConflict()
}

// Apply checks a manifest and its parts and puts the whole in force if it is
// newer than what is. A faulty one is refused and changes nothing.
func (t *Tracker) Apply(manifest []byte, part func(digest string) ([]byte, error)) (err error) {
	_, v, err := bundler.ReadManifest(manifest)
	if err != nil {
		return err
	}
	if !t.Wants(v) {
		return nil
	}
	var former *bundler.Bundle
	if old := t.Config(); old != nil {
		former = old.Bundle()
	}
	bundle, dir, err := bundler.Open(manifest, part, former)
	if err != nil {
		t.reject(v, err)
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &Config{version: v, directory: dir, bundle: bundle, since: time.Now()}
	if err := t.versions.Apply(v, s); err != nil {
		return err
	}
	t.config.Store(s)
	for _, f := range t.onState {
		f(s)
	}
	if t.listed != nil {
		t.setHosts()
	}
	return nil
}

// reject remembers a version whose content is corrupt. One whose parts could
// not be read is tried again.
func (t *Tracker) reject(v versioner.Version, err error) {
	if !eris.Is(err, bundler.ErrCorrupt) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions.Reject(v)
}

// SetHosts takes a host list from the platform.
func (t *Tracker) SetHosts(hosts []scheduler.Host) {
	if !lo.ContainsBy(hosts, func(h scheduler.Host) bool { return h.ID() == t.self.ID() }) {
		hosts = append([]scheduler.Host{t.self}, hosts...)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = hosts
	t.setHosts()
}

// setHosts passes the host list on, with the hosts that operators have taken
// out marked as leaving. The caller holds mu.
func (t *Tracker) setHosts() {
	hosts := slices.Clone(t.listed)
	if s := t.config.Load(); s != nil {
		for i, h := range hosts {
			if slices.Contains(s.Directory().Document().Drains.Hosts, string(h.ID())) {
				scheduler.WithLeaving(true)(&hosts[i])
			}
		}
	}
	t.hosts.Store(&hosts)
	for _, f := range t.onHosts {
		f(hosts)
	}
}

// MarkStopping marks this host as being on its way out.
func (t *Tracker) MarkStopping() { t.stopping.Store(true) }

// Stopping reports whether this host is on its way out.
func (t *Tracker) Stopping() bool { return t.stopping.Load() }
