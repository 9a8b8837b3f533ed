package feed

import "cmp"

// Version orders what the platform says. Its revisions count within an era: in a later
// era, which begins when the platform comes back from a copy of earlier keys, it gives
// out revisions again. Nothing of one era can be merged with anything of another.
type Version struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"at"`
}

// Compare returns a negative number if v is older than other, zero if they are equal,
// and a positive number if v is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}
