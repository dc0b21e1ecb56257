package registrar

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of the store. The store counts its changes by
// revision; when it is restored from an older copy, its era rises and it assigns
// revisions after that copy's again. The era of a store without eras is 0.
type Position struct {
	Era, Revision uint64
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// String returns the position as it is logged.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Era, p.Revision) }
