package router

import (
	"encoding/json"
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrOtherBase reports that a delta does not apply to a document, but to another version or
// to another content of the same version.
var ErrOtherBase = eris.New("delta is relative to another document")

// Edit is a part of a list: Count elements of the base from From on, then New.
type Edit[T any] struct {
	From, Count int
	New         []T
}

// Delta describes a document by what differs from an earlier one, its base.
type Delta struct {
	// Base is the version of the base and BaseDigest its digest: a store that is restored
	// may serve another content under the same version.
	Base, BaseDigest uint64
	Version          uint64
	Routes           []Edit[Route]
	Pools            []Edit[Pool]
	Workspaces       []Edit[Workspace]
	Limits           Limits
}

// Digest returns a hash of the document's content. It is the same at all hosts, whether
// they read the document from the store or received it from a peer: an empty list, which
// may arrive as none, counts as none.
func (d *Document) Digest() uint64 {
	c := *d
	c.Routes = make([]Route, 0, len(d.Routes))
	for _, r := range d.Routes {
		r.Regions, r.Targets = orNil(r.Regions), orNil(r.Targets)
		c.Routes = append(c.Routes, r)
	}
	c.Workspaces = make([]Workspace, 0, len(d.Workspaces))
	for _, w := range d.Workspaces {
		w.Keys, w.Regions = orNil(w.Keys), orNil(w.Regions)
		c.Workspaces = append(c.Workspaces, w)
	}
	c.Pools = orNil(d.Pools)
	// A document has only fields that can be encoded.
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(b)
}

// orNil returns a list, or nil if it is empty.
func orNil[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// Diff returns the delta from a base with a digest to a document. Its size and the cost to
// apply it grow with what differs.
func Diff(base *Document, digest uint64, d *Document) *Delta {
	return &Delta{
		Base: base.Version, BaseDigest: digest, Version: d.Version,
		Routes:     diffList(base.Routes, d.Routes, func(r *Route) string { return r.Name }),
		Pools:      diffList(base.Pools, d.Pools, func(p *Pool) string { return p.Name }),
		Workspaces: diffList(base.Workspaces, d.Workspaces, func(w *Workspace) string { return w.Name }),
		Limits:     d.Limits,
	}
}

// Apply returns the document that a delta describes. It shares what has not changed with the
// base. The error is ErrOtherBase unless the base, which has a digest, is that of the delta.
func (x *Delta) Apply(base *Document, digest uint64) (d Document, err error) {
	if base.Version != x.Base || digest != x.BaseDigest {
		return d, ErrOtherBase
	}
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "delta from configuration %d to %d", x.Base, x.Version)
		}
	}()
	d = Document{Version: x.Version, Limits: x.Limits}
	if d.Routes, err = applyEdits(base.Routes, x.Routes); err != nil {
		return d, err
	}
	if d.Pools, err = applyEdits(base.Pools, x.Pools); err != nil {
		return d, err
	}
	d.Workspaces, err = applyEdits(base.Workspaces, x.Workspaces)
	return d, err
}

// diffList returns the edits that turn one list into another. Elements are looked for in the
// base by their names, which need not be unique.
func diffList[T any](base, list []T, name func(*T) string) (edits []Edit[T]) {
	at := make(map[string]int, len(base))
	for i := range base {
		at[name(&base[i])] = i
	}
	for i := range list {
		from, known := at[name(&list[i])]
		same := known && reflect.DeepEqual(base[from], list[i])
		last := len(edits) - 1
		switch {
		case same && last >= 0 && len(edits[last].New) == 0 && edits[last].From+edits[last].Count == from:
			edits[last].Count++
		case same:
			edits = append(edits, Edit[T]{From: from, Count: 1})
		case last < 0:
			edits = append(edits, Edit[T]{New: []T{list[i]}})
		default:
			edits[last].New = append(edits[last].New, list[i])
		}
	}
	return edits
}

// applyEdits returns the list that edits of a base describe.
func applyEdits[T any](base []T, edits []Edit[T]) (list []T, err error) {
	for _, e := range edits {
		if e.From < 0 || e.Count < 0 || e.From > len(base) || e.Count > len(base)-e.From {
			return nil, eris.Errorf("elements %d to %d of a list of %d", e.From, e.From+e.Count, len(base))
		}
		list = append(append(list, base[e.From:e.From+e.Count]...), e.New...)
	}
	return list, nil
}
