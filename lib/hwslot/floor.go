package hwslot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RendezvousWeight returns the rendezvous weight of a member for a key.
func RendezvousWeight(key, member string) uint64 { return xxhash.Sum64String(key + "\x00" + member) }

// RendezvousRank returns the members by falling rendezvous weight for a key.
func RendezvousRank(key string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(RendezvousWeight(key, b), RendezvousWeight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// RendezvousOwner returns the member of highest rendezvous weight, or an empty string without members.
func RendezvousOwner(key string, members []string) string {
	first := ""
	for _, m := range members {
		if first == "" || RendezvousWeight(key, m) > RendezvousWeight(key, first) || (RendezvousWeight(key, m) == RendezvousWeight(key, first) && m < first) {
			first = m
		}
	}
	return first
}

// EvenSplit returns how many slots of an upstream a member may use without a broker.
// Over all members the floors add up to the limit exactly: the remainder goes to the members of highest rendezvous weight.
func EvenSplit(upstream string, limit int, member string, members []string) int {
	if len(members) == 0 {
		return limit
	}
	floor := limit / len(members)
	rank := 0
	own := RendezvousWeight(upstream, member)
	for _, m := range members {
		weight := RendezvousWeight(upstream, m)
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

// SlotsWithoutLease returns how many slots of an upstream a router keeps when its lease ends: what it held, but at most its floor and at least a part of it.
// A router that held little when it was cut off does not take up its whole floor, so the broker need not keep all of it idle for a member that is silent.
func SlotsWithoutLease(held, floor int) int {
	return max(min(held, floor), (floor+leastPart-1)/leastPart)
}
