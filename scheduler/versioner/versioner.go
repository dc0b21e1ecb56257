// Package versioner decides which configuration is in force at a host.
//
// Versions are ordered by number. If two operators publish different contents
// under the same number, these are ordered by digest, so that all hosts converge
// on the same one. The configuration in force is replaced only by a newer one in
// this order: a configuration service that comes back with stale data, a peer that
// was suspended or a second publisher cannot revert it.
package versioner

import (
	"cmp"

	"github.com/rotisserie/eris"
)

// Version identifies one complete configuration.
type Version struct {
	number uint64
	digest string
}

// NewVersion returns the version with a number and the digest of its content.
func NewVersion(number uint64, digest string) Version {
	return Version{number: number, digest: digest}
}

// Number returns the version number that operators assigned; 0 means none.
func (v Version) Number() uint64 { return v.number }

// Digest returns the digest of the content.
func (v Version) Digest() string { return v.digest }

// Newer reports whether v is newer than w and so replaces it.
func (v Version) Newer(w Version) bool {
	return cmp.Or(cmp.Compare(v.number, w.number), cmp.Compare(v.digest, w.digest)) > 0
}

// ErrNotNewer is returned for a configuration that is not newer than the one in
// force.
var ErrNotNewer = eris.New("an equal or newer configuration is in force")

// Versioner holds the configuration in force, a value of type T.
type Versioner[T any] struct {
	current  Version
	value    T
	rejected map[Version]bool
	conflict bool
}

// New returns a versioner with no configuration in force.
func New[T any]() *Versioner[T] {
	return &Versioner[T]{rejected: make(map[Version]bool)}
}

// Current returns the configuration in force and its version, whose number is 0
// if none is in force.
func (r *Versioner[T]) Current() (Version, T) {
	return r.current, r.value
}

// Wants reports whether a version that a peer or the store has is to be fetched:
// it is newer than the one in force and has not been rejected.
func (r *Versioner[T]) Wants(v Version) bool {
	return v.Newer(r.current) && !r.rejected[v]
}

// HasConflict reports whether two different contents had the same version number.
func (r *Versioner[T]) HasConflict() bool {
	return r.conflict
}

// Apply puts a complete, validated configuration in force. If the one in force is
// equal or newer, it returns ErrNotNewer and does not replace it.
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

// Reject records that the content of a version is invalid, so that it is not
// fetched again.
func (r *Versioner[T]) Reject(v Version) {
	r.rejected[v] = true
}
