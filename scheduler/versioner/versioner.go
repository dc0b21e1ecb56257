// Package versioner decides which configuration a host has in force.
//
// Versions are ordered by number and, where two operators published the same
// number with other content, by digest, so that all hosts end with the same
// one. What is in force is only ever replaced by something newer in that
// order: a service that comes back stale, a peer that slept or a second
// publisher cannot take it back.
package versioner

import (
	"cmp"

	"github.com/rotisserie/eris"
)

// Version identifies one whole configuration.
type Version struct {
	number uint64
	digest string
}

// NewVersion returns the version with a number and the digest of its content.
func NewVersion(number uint64, digest string) Version {
	return Version{number: number, digest: digest}
}

// Number returns the operators' version number; 0 means none.
func (v Version) Number() uint64 { return v.number }

// Digest returns the digest of the content.
func (v Version) Digest() string { return v.digest }

// Newer reports whether v replaces w.
func (v Version) Newer(w Version) bool {
	return cmp.Or(cmp.Compare(v.number, w.number), cmp.Compare(v.digest, w.digest)) > 0
}

// ErrNotNewer says that something newer is in force already.
var ErrNotNewer = eris.New("an equal or newer configuration is in force")

// Versioner holds the configuration in force, of type T.
type Versioner[T any] struct {
	current  Version
	value    T
	rejected map[Version]bool
	conflict bool
}

// New returns a versioner with nothing in force.
func New[T any]() *Versioner[T] {
	return &Versioner[T]{rejected: make(map[Version]bool)}
}

// Current returns what is in force; its version's number is 0 when nothing is.
func (r *Versioner[T]) Current() (Version, T) {
	return r.current, r.value
}

// Wants reports whether a version that was heard of is worth fetching.
func (r *Versioner[T]) Wants(v Version) bool {
	return v.Newer(r.current) && !r.rejected[v]
}

// HasConflict reports whether two contents carried the same version number.
func (r *Versioner[T]) HasConflict() bool {
	return r.conflict
}

// Apply puts a whole, checked configuration in force. It returns ErrOlder and
// changes nothing when something at least as new is in force.
func (r *Versioner[T]) Apply(v Version, value T) error {
	if v.number == r.current.number && v.digest != r.current.digest {
		r.conflict = true
	}
	if !v.Newer(r.current) {
		return eris.Wrapf(ErrNotNewer, "version %d", v.number)
	}
	r.current, r.value = v, value
	clear(r.rejected)
	return nil
}

// Reject remembers that a version's content was found faulty, so that it is
// not fetched again and again.
func (r *Versioner[T]) Reject(v Version) {
	r.rejected[v] = true
}
