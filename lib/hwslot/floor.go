package hwslot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the rendezvous weight of a member for a key.
func Weight(key, member string) uint64 { return xxhash.Sum64String(key + "\x00" + member) }

// Rank returns the members by falling rendezvous weight for a key.
func Rank(key string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// First returns the member of highest rendezvous weight, or an empty string without members.
func First(key string, members []string) string {
	first := ""
	for _, m := range members {
		if first == "" || Weight(key, m) > Weight(key, first) || (Weight(key, m) == Weight(key, first) && m < first) {
			first = m
		}
	}
	return first
}

// Floor returns how many slots of an upstream a member may use without a broker.
// Over all members the floors add up to the limit exactly: the remainder goes to the members of highest rendezvous weight.
func Floor(upstream string, limit int, member string, members []string) int {
	if len(members) == 0 {
		return limit
	}
	floor := limit / len(members)
	rank := 0
	own := Weight(upstream, member)
	for _, m := range members {
		weight := Weight(upstream, m)
		if weight > own || (weight == own && m < member) {
			rank++
		}
	}
	if rank < limit%len(members) {
		floor++
	}
	return floor
}

// leastPart is the part of its floor that a router without a lease may use even if it held less.
const leastPart = 4

// Decayed returns how many slots of an upstream a router keeps when its lease ends: what it held, but at most its floor and at least a part of it.
// A router that held little when it was cut off does not take up its whole floor, so the broker need not keep all of it idle for a member that is silent.
func Decayed(held, floor int) int {
	return max(min(held, floor), (floor+leastPart-1)/leastPart)
}
