package hwslot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RendezvousWeight returns the rendezvous weight of a member for a key.
func RendezvousWeight(key, member string) uint64 {
	// A buffer on the stack spares an allocation for each pair; longer names allocate.
	var buffer [typicalNameBytes]byte
	return xxhash.Sum64(append(append(append(buffer[:0], key...), 0), member...))
}

// typicalNameBytes is enough for an upstream's address and an instance's name.
const typicalNameBytes = 128

// RendezvousRank returns the members sorted by descending rendezvous weight for a key.
func RendezvousRank(key string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(RendezvousWeight(key, b), RendezvousWeight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// RendezvousOwner returns the member with the highest rendezvous weight for a key, or an empty string if there are no members.
func RendezvousOwner(key string, members []string) string {
	owner := ""
	for _, m := range members {
		if owner == "" || RendezvousWeight(key, m) > RendezvousWeight(key, owner) || (RendezvousWeight(key, m) == RendezvousWeight(key, owner) && m < owner) {
			owner = m
		}
	}
	return owner
}

// EvenSplit returns a member's part of an upstream's limit if the slots are split evenly between the members.
// The parts of all members add up to the limit exactly: the remainder goes to the members with the highest rendezvous weights.
func EvenSplit(upstream string, limit int, member string, members []string) int {
	if len(members) == 0 {
		return limit
	}
	slots, remainder := limit/len(members), limit%len(members)
	if remainder == 0 {
		return slots
	}
	rank := 0
	own := RendezvousWeight(upstream, member)
	for _, m := range members {
		weight := RendezvousWeight(upstream, m)
		if weight > own || (weight == own && m < member) {
			rank++
		}
		if rank >= remainder {
			return slots
		}
	}
	return slots + 1
}

// minUnleasedDivisor divides a router's even split; the result, rounded up, is what the router may use without a lease even if it held less.
const minUnleasedDivisor = 4

// SlotsWithoutLease returns how many slots of an upstream a router may use after its lease expired: what it held, but at most its even split and at least a part of it.
// A router that held little does not grow to its whole even split when a partition isolates it, so the broker need not reserve all of that for a member that does not report.
func SlotsWithoutLease(held, evenSplit int) int {
	return max(min(held, evenSplit), (evenSplit+minUnleasedDivisor-1)/minUnleasedDivisor)
}
