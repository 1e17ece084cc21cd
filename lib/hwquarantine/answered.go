package hwquarantine

// recentSet remembers the keys that were added last, in constant memory. A key may be forgotten when another one takes its place; a key that was never added is never reported.
type recentSet[K ~uint64] struct {
	places []K
}

// newRecentSet returns an empty set. Places is its capacity and takes 8 bytes each.
func newRecentSet[K ~uint64](places int) recentSet[K] {
	return recentSet[K]{
		places: make([]K, max(1, places)),
	}
}

func (s recentSet[K]) place(key K) *K { return &s.places[uint64(key)%uint64(len(s.places))] }

func (s recentSet[K]) add(key K) { *s.place(key) = key }

// contains reports whether a key was added. The zero key marks a free place and is never contained.
func (s recentSet[K]) contains(key K) bool { return key != 0 && *s.place(key) == key }
