// Package tracker holds the configuration in force at a host and the newest host
// list. Each is read with a single atomic load.
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

// Config is a configuration in force. It is immutable.
type Config struct {
	version   versioner.Version
	directory *contract.Directory
	bundle    *bundler.Bundle
	since     time.Time
}

// Version returns the version of the configuration.
func (c *Config) Version() versioner.Version { return c.version }

// Directory returns the configuration indexed for look-ups.
func (c *Config) Directory() *contract.Directory { return c.directory }

// Bundle returns the configuration as it was published.
func (c *Config) Bundle() *bundler.Bundle { return c.bundle }

// Since returns when the configuration came into force on this host.
func (c *Config) Since() time.Time { return c.since }

// Tracker holds the configuration and the host list of one host. It is safe for
// concurrent use.
type Tracker struct {
	self   scheduler.Host
	config atomic.Pointer[Config]
	hosts  atomic.Pointer[[]scheduler.Host]

	stopping atomic.Bool

	mu       sync.Mutex
	versions *versioner.Versioner[*Config]
	onConfig []func(*Config)
	onHosts  []func([]scheduler.Host)
	// platformHosts is the host list of the platform, without drains.
	platformHosts []scheduler.Host
}

// New returns a tracker without a configuration or a host list.
func New(self scheduler.Host) *Tracker {
	return &Tracker{self: self, versions: versioner.New[*Config]()}
}

// Self returns this host.
func (t *Tracker) Self() scheduler.Host { return t.self }

// Config returns the configuration in force, or nil if there is none.
func (t *Tracker) Config() *Config { return t.config.Load() }

// Hosts returns the newest host list, which always includes this host.
func (t *Tracker) Hosts() []scheduler.Host {
	if p := t.hosts.Load(); p != nil {
		return *p
	}
	return []scheduler.Host{t.self}
}

// HasHostList reports whether a host list has been set.
func (t *Tracker) HasHostList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.platformHosts != nil
}

// Host returns a host on the newest host list.
func (t *Tracker) Host(id scheduler.HostID) (scheduler.Host, bool) {
	return lo.Find(t.Hosts(), func(h scheduler.Host) bool { return h.ID() == id })
}

// OnConfig registers a function that is called with each configuration that comes
// into force. The functions of OnConfig and OnHosts are called one at a time, while
// the tracker is locked.
func (t *Tracker) OnConfig(f func(*Config)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onConfig = append(t.onConfig, f)
}

// OnHosts registers a function that is called with each new host list.
func (t *Tracker) OnHosts(f func([]scheduler.Host)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onHosts = append(t.onHosts, f)
}

// Wants reports whether a version is to be fetched: it is newer than the one in
// force and has not been rejected.
func (t *Tracker) Wants(v versioner.Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versions.Wants(v)
}

// HasConflict reports whether two different contents had the same version number.
func (t *Tracker) HasConflict() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versions.HasConflict()
}

// Apply checks a manifest and its parts and puts the configuration in force if it
// is newer than the one in force. If it is invalid, Apply returns an error and the
// one in force stays. part returns the part with a digest.
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
	cfg := &Config{version: v, directory: dir, bundle: bundle, since: time.Now()}
	if err := t.versions.Apply(v, cfg); err != nil {
		return err
	}
	t.config.Store(cfg)
	for _, f := range t.onConfig {
		f(cfg)
	}
	if t.platformHosts != nil {
		t.updateHosts()
	}
	return nil
}

// reject records a version whose content is corrupt, so that it is not fetched
// again. A version whose parts could not be read is not rejected.
func (t *Tracker) reject(v versioner.Version, err error) {
	if !eris.Is(err, bundler.ErrCorrupt) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions.Reject(v)
}

// SetHosts sets the host list of the platform. If this host is not on it, it is
// added.
func (t *Tracker) SetHosts(hosts []scheduler.Host) {
	if !lo.ContainsBy(hosts, func(h scheduler.Host) bool { return h.ID() == t.self.ID() }) {
		hosts = append([]scheduler.Host{t.self}, hosts...)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.platformHosts = hosts
	t.updateHosts()
}

// updateHosts publishes the host list, with the hosts that the configuration drains
// marked as leaving. The caller holds mu.
func (t *Tracker) updateHosts() {
	hosts := slices.Clone(t.platformHosts)
	if cfg := t.config.Load(); cfg != nil {
		for i, h := range hosts {
			if slices.Contains(cfg.Directory().Document().Drains.Hosts, string(h.ID())) {
				scheduler.WithLeaving(true)(&hosts[i])
			}
		}
	}
	t.hosts.Store(&hosts)
	for _, f := range t.onHosts {
		f(hosts)
	}
}

// MarkStopping records that this host is stopping.
func (t *Tracker) MarkStopping() { t.stopping.Store(true) }

// Stopping reports whether this host is stopping.
func (t *Tracker) Stopping() bool { return t.stopping.Load() }
