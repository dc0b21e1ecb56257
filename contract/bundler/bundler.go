// Package bundler encodes a checked configuration document as the values that
// operators publish, and decodes those values.
//
// A bundle consists of a manifest and parts. A part is named by the SHA-256
// digest of its bytes, so it is immutable and may be fetched from any source;
// the manifest lists the parts of one version. A host uses a version only when
// it has every part and every digest matches, so a version is never applied in
// part.
package bundler

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"foxtaillug.org/contract"
	"foxtaillug.org/contract/parser"
	"foxtaillug.org/scheduler/versioner"
)

const (
	// ManifestKey is the platform key under which operators publish the
	// manifest.
	ManifestKey = "foxtail/manifest"
	// PartKeyPrefix is the prefix of a part's platform key; the part's digest
	// follows it.
	PartKeyPrefix = "foxtail/parts/"
	// format is the version of the manifest format.
	format = 1
	// itemsPerPart limits the average number of upstreams or workspaces in a
	// part. It keeps parts to a few KB, because a change replaces whole parts.
	itemsPerPart = 16
)

// ErrCorrupt is returned if a part doesn't match its digest or doesn't decode,
// or if the assembled document is invalid.
var ErrCorrupt = eris.New("corrupt bundle")

// Manifest lists the digests of the parts of one version. The fields are the
// wire format.
type Manifest struct {
	Format  int      `json:"format"`
	Version uint64   `json:"version"`
	Parts   []string `json:"parts"`
}

// Bundle is one version of the configuration as it is published: the manifest
// and the bytes of the parts. Opened bundles also hold the decoded parts.
type Bundle struct {
	manifest []byte
	digests  []string
	parts    map[string][]byte
	decoded  map[string]contract.Document
	version  versioner.Version
}

// Manifest returns the bytes of the manifest.
func (b *Bundle) Manifest() []byte { return b.manifest }

// Digests returns the digests of the parts, in order.
func (b *Bundle) Digests() []string { return b.digests }

// Part returns the bytes of a part, or nil.
func (b *Bundle) Part(digest string) []byte { return b.parts[digest] }

// Version returns the version's number and the digest of its manifest.
func (b *Bundle) Version() versioner.Version { return b.version }

// Digest returns the SHA-256 digest of b in hex.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Encode encodes a document as a bundle.
func Encode(doc contract.Document) (b *Bundle, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "encode bundle")
		}
	}()
	b = &Bundle{parts: make(map[string][]byte)}
	for _, part := range split(doc) {
		text, err := json.Marshal(part)
		if err != nil {
			return nil, err
		}
		digest := Digest(text)
		b.parts[digest] = text
		b.digests = append(b.digests, digest)
	}
	b.manifest, err = json.Marshal(Manifest{Format: format, Version: doc.Version, Parts: b.digests})
	if err != nil {
		return nil, err
	}
	b.version = versioner.NewVersion(doc.Version, Digest(b.manifest))
	return b, nil
}

// split divides a document into parts such that a small change replaces few of
// them.
func split(doc contract.Document) []contract.Document {
	rest := doc
	rest.Version, rest.Upstreams, rest.Workspaces, rest.Drains = 0, nil, nil, contract.Drains{}
	parts := []contract.Document{rest, {Drains: doc.Drains}}
	for _, bucket := range buckets(doc.Upstreams, func(u contract.Upstream) string { return u.Name }) {
		parts = append(parts, contract.Document{Upstreams: bucket})
	}
	for _, bucket := range buckets(doc.Workspaces, func(w contract.Workspace) string { return w.Name }) {
		parts = append(parts, contract.Document{Workspaces: bucket})
	}
	return parts
}

// buckets divides items by a hash of their names, so that adding one changes
// one part only. The number of buckets is a power of two, so that it rarely
// changes.
func buckets[T any](items []T, name func(T) string) [][]T {
	n := 1 << bits.Len(uint(len(items)/itemsPerPart))
	all := make([][]T, n)
	for _, item := range items {
		i := xxhash.Sum64String(name(item)) % uint64(n)
		all[i] = append(all[i], item)
	}
	return lo.Filter(all, func(b []T, _ int) bool { return len(b) > 0 })
}

// ReadManifest decodes a manifest and returns it with its version.
func ReadManifest(text []byte) (m Manifest, v versioner.Version, err error) {
	if err := json.Unmarshal(text, &m); err != nil {
		return m, v, eris.Wrap(err, "read manifest")
	}
	if m.Format != format {
		return m, v, eris.Errorf("read manifest: format %d, want %d", m.Format, format)
	}
	if m.Version == 0 || len(m.Parts) == 0 {
		return m, v, eris.New("read manifest: version or parts are missing")
	}
	return m, versioner.NewVersion(m.Version, Digest(text)), nil
}

// Delta returns the parts of m that base doesn't have at the same index, by
// index.
func Delta(m, base Manifest) map[int]string {
	changes := make(map[int]string)
	for i, digest := range m.Parts {
		if i >= len(base.Parts) || base.Parts[i] != digest {
			changes[i] = digest
		}
	}
	return changes
}

// ApplyDelta builds the manifest of a version with n parts from another manifest
// and the changed parts by index. The digest of the result is not checked.
func ApplyDelta(base Manifest, version uint64, n int, changes map[int]string) (text []byte, err error) {
	m := Manifest{Format: format, Version: version, Parts: make([]string, n)}
	copy(m.Parts, base.Parts)
	for i, digest := range changes {
		if i < 0 || i >= n {
			return nil, eris.Errorf("apply delta: part index %d is out of range for %d parts", i, n)
		}
		m.Parts[i] = digest
	}
	return json.Marshal(m)
}

// Open assembles a bundle and verifies it: the digest of every part and the
// document that the parts form. Parts that the previous bundle has are reused
// instead of fetched again; previous may be nil.
func Open(manifest []byte, part func(digest string) ([]byte, error), previous *Bundle) (b *Bundle, dir *contract.Directory, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "open bundle")
		}
	}()
	m, v, err := ReadManifest(manifest)
	if err != nil {
		return nil, nil, err
	}
	b = &Bundle{manifest: manifest, digests: m.Parts, parts: make(map[string][]byte), decoded: make(map[string]contract.Document), version: v}
	var doc contract.Document
	for _, digest := range m.Parts {
		if err := b.load(digest, part, previous); err != nil {
			return nil, nil, err
		}
		merge(&doc, b.decoded[digest])
	}
	doc.Version = m.Version
	if problems := parser.Check(doc); len(problems) > 0 {
		return nil, nil, eris.Wrapf(ErrCorrupt, "%s: %s, and %d more problems", problems[0].Path(), problems[0].Message(), len(problems)-1)
	}
	dir, err = contract.NewDirectory(doc)
	return b, dir, err
}

// load takes a part over from the previous bundle, or fetches and verifies it.
func (b *Bundle) load(digest string, part func(digest string) ([]byte, error), previous *Bundle) error {
	if previous != nil {
		if doc, ok := previous.decoded[digest]; ok {
			b.parts[digest], b.decoded[digest] = previous.parts[digest], doc
			return nil
		}
	}
	text, err := part(digest)
	if err != nil {
		return err
	}
	if Digest(text) != digest {
		return eris.Wrapf(ErrCorrupt, "part %s does not match its digest", digest)
	}
	var doc contract.Document
	if err := json.Unmarshal(text, &doc); err != nil {
		return eris.Wrap(ErrCorrupt, "part "+digest+": "+err.Error())
	}
	b.parts[digest], b.decoded[digest] = text, doc
	return nil
}

// merge adds the content of a part to a document.
func merge(doc *contract.Document, part contract.Document) {
	upstreams := append(doc.Upstreams, part.Upstreams...)
	workspaces := append(doc.Workspaces, part.Workspaces...)
	switch {
	case len(part.Regions) > 0 || len(part.Tiers) > 0:
		drains := doc.Drains
		*doc = part
		doc.Drains = drains
	case len(part.Upstreams)+len(part.Workspaces) == 0:
		doc.Drains = part.Drains
	}
	doc.Upstreams, doc.Workspaces = upstreams, workspaces
}

// Diff describes the changes from one document to another, one line per
// change.
func Diff(from, to contract.Document) []string {
	var lines []string
	lines = append(lines, diffSection("upstream", from.Upstreams, to.Upstreams, func(u contract.Upstream) string { return u.Name })...)
	lines = append(lines, diffSection("workspace", from.Workspaces, to.Workspaces, func(w contract.Workspace) string { return w.Name })...)
	lines = append(lines, diffSection("tier", from.Tiers, to.Tiers, func(t contract.Tier) string { return t.Name })...)
	lines = append(lines, diffSection("model", from.Models, to.Models, func(m contract.Model) string { return m.Name })...)
	lines = append(lines, diffSection("service", from.Services, to.Services, func(s contract.Service) string { return s.Name })...)
	lines = append(lines, diffSection("failure domain", from.Domains, to.Domains, func(d contract.Domain) string { return d.Name })...)
	lines = append(lines, diffDrains("failure domain", from.Drains.Domains, to.Drains.Domains)...)
	lines = append(lines, diffDrains("upstream", from.Drains.Upstreams, to.Drains.Upstreams)...)
	lines = append(lines, diffDrains("host", from.Drains.Hosts, to.Drains.Hosts)...)
	if fmt.Sprint(from.Limits) != fmt.Sprint(to.Limits) {
		lines = append(lines, "limits change")
	}
	if fmt.Sprint(from.Attended) != fmt.Sprint(to.Attended) {
		lines = append(lines, "attended hours change")
	}
	return lines
}

// diffSection describes the changes of one list of a document.
func diffSection[T any](kind string, from, to []T, name func(T) string) []string {
	before := lo.KeyBy(from, name)
	after := lo.KeyBy(to, name)
	var lines []string
	for _, item := range to {
		old, ok := before[name(item)]
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("%s %s is added", kind, name(item)))
		case fmt.Sprint(old) != fmt.Sprint(item):
			lines = append(lines, fmt.Sprintf("%s %s changes", kind, name(item)))
		}
	}
	for _, item := range from {
		if _, ok := after[name(item)]; !ok {
			lines = append(lines, fmt.Sprintf("%s %s is removed", kind, name(item)))
		}
	}
	return lines
}

// diffDrains describes what is taken out of service and what is returned to it.
func diffDrains(kind string, from, to []string) []string {
	returned, drained := lo.Difference(from, to)
	lines := lo.Map(drained, func(n string, _ int) string { return fmt.Sprintf("%s %s is taken out of service", kind, n) })
	return append(lines, lo.Map(returned, func(n string, _ int) string { return fmt.Sprintf("%s %s is returned to service", kind, n) })...)
}
