package directory

import (
	"slices"

	"foxtaillug.org/scheduler/router"
)

// maxDocuments is the number of versions of the configuration that are kept as bases of deltas.
// Versions share what they have in common.
const maxDocuments = 8

// versionedDocument is a version of the configuration with its digest.
type versionedDocument struct {
	router.Document
	digest uint64
}

// Configure puts a document in force unless one with the same or a newer version
// already is. An invalid document is rejected with an error and the old one stays
// in force.
func (d *Directory) Configure(doc router.Document) (err error) {
	defer func() {
		if err != nil {
			d.log.Error("configuration refused", "version", doc.Version, "error", err.Error())
		}
	}()
	t, err := router.NewTable(doc)
	if err != nil {
		return err
	}
	digest := doc.Digest()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.table.Apply(t) {
		return nil
	}
	if n := len(d.documents); n >= maxDocuments {
		d.documents = slices.Delete(d.documents, 0, n-maxDocuments+1)
	}
	d.documents = append(d.documents, &versionedDocument{doc, digest})
	d.changes.Add(1)
	d.log.Info("configuration in force", "version", doc.Version, "routes", len(doc.Routes))
	return nil
}

// Configuration returns the version of the configuration in force and its digest, 0 if there
// is none.
func (d *Directory) Configuration() (version, digest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.documents); n > 0 {
		return d.documents[n-1].Version, d.documents[n-1].digest
	}
	return 0, 0
}

// ApplyDelta puts the version of the configuration in force that a delta describes, unless one
// with the same or a newer version already is. The error is router.ErrOtherBase if the delta
// is relative to another document than that in force.
func (d *Directory) ApplyDelta(x *router.Delta) (err error) {
	if x.Version <= d.table.Version() {
		return nil
	}
	d.mu.Lock()
	var base versionedDocument
	if n := len(d.documents); n > 0 {
		base = *d.documents[n-1]
	}
	d.mu.Unlock()
	doc, err := x.Apply(&base.Document, base.digest)
	if err != nil {
		return err
	}
	return d.Configure(doc)
}
