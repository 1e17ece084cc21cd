// Package hwrevision orders the revisions of a store whose history can be set back.
//
// A store that is restored from a copy loses its newest changes and assigns their revision numbers again. Its era rises each time, so only the era and the number together identify a state of the store.
package hwrevision

import (
	"cmp"
	"strconv"
)

// Revision identifies a state of the store. The zero value is before every state that was read.
type Revision struct {
	// Era is how often the store has been restored from a copy, with the corrections of that count.
	Era uint64
	// Number is the store's revision within the era.
	Number int64
}

// Compare returns -1, 0 or 1 if r is before, the same as or after the other revision.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// IsBefore reports whether r is before the other revision.
func (r Revision) IsBefore(other Revision) bool { return r.Compare(other) < 0 }

// IsZero reports whether r is the zero value, which stands for no revision.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the era and the number, such as "2:1041".
func (r Revision) String() string {
	return strconv.FormatUint(r.Era, 10) + ":" + strconv.FormatInt(r.Number, 10)
}
