package directory

import "cmp"

// Revision is a position in the history of the list. Number counts the changes. A list that comes back
// from an older copy gives numbers out again, which its Era tells apart. The zero Revision precedes
// all others.
type Revision struct{ Era, Number uint64 }

// Compare returns a negative number if r precedes o, 0 if they are equal, and a positive one otherwise.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Before reports whether r precedes o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// Earlier returns the earlier of two revisions.
func Earlier(a, b Revision) Revision {
	if b.Before(a) {
		return b
	}
	return a
}
