package catalog

import "cmp"

// Position is a point in the history of the store. Revisions are given out again after the
// store came back from an older copy of its data, so they are compared within an epoch.
type Position struct {
	// Epoch counts how often the store came back from an older copy, as the store counts
	// it; zero if it does not.
	Epoch uint64
	// Revision is the store's revision within the epoch.
	Revision uint64
}

// Compare returns a negative number if p is before q, zero if they are equal, and a
// positive number if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Revision, q.Revision))
}
