package hwfakestore

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Copy is a copy of what a store holds, as a backup would have it.
type Copy struct {
	revision int64
	entries  map[string]entry
	history  []event
	leases   map[int64]lease
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() Copy {
	s.lock.Lock()
	defer s.lock.Unlock()
	return Copy{
		revision: s.revision,
		entries:  maps.Clone(s.entries),
		history:  slices.Clone(s.history),
		leases:   maps.Clone(s.leases),
	}
}

// newClusterID returns the ID of a new cluster. IDs have no order.
func newClusterID() uint64 { return rand.Uint64() | 1 }

// Restore replaces what the store holds by a copy: everything written since is lost, and its revisions are assigned again, by another cluster. All watches are closed, and the leases of the copy run from now on.
func (s *Store) Restore(c Copy) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.closeWatchesLocked()
	s.cluster = newClusterID()
	s.revision = c.revision
	s.entries = maps.Clone(c.entries)
	s.history = slices.Clone(c.history)
	s.leases = make(map[int64]lease, len(c.leases))
	for id, l := range c.leases {
		l.expires = s.now().Add(l.ttl)
		s.leases[id] = l
	}
}
