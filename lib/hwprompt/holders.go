package hwprompt

import "math/bits"

// slotSet is a set of slots, one bit each.
type slotSet []uint64

const slotsPerWord = 64

func (s slotSet) with(slot int) slotSet {
	for len(s) <= slot/slotsPerWord {
		s = append(s, 0)
	}
	s[slot/slotsPerWord] |= 1 << (slot % slotsPerWord)
	return s
}

func (s slotSet) remove(slot int) {
	if slot/slotsPerWord < len(s) {
		s[slot/slotsPerWord] &^= 1 << (slot % slotsPerWord)
	}
}

func (s slotSet) isEmpty() bool {
	for _, word := range s {
		if word != 0 {
			return false
		}
	}
	return true
}

// holders are the slots whose caches hold a segment. Most segments belong to one session and have one holder, so that no set is allocated for them.
type holders struct {
	// only is the single holder while set is nil.
	only int32
	set  *slotSet
}

// addHolder records that the cache in a slot holds a segment.
func (x *CacheIndex) addHolder(hash uint64, slot int) {
	h, found := x.holders[hash]
	switch {
	case !found:
		x.holders[hash] = holders{
			only: int32(slot),
		}
	case h.set != nil:
		*h.set = h.set.with(slot)
	case int(h.only) != slot:
		set := slotSet(nil).with(int(h.only)).with(slot)
		x.holders[hash] = holders{
			set: &set,
		}
	}
}

// removeHolder records that the cache in a slot no longer holds a segment.
func (x *CacheIndex) removeHolder(hash uint64, slot int) {
	h, found := x.holders[hash]
	switch {
	case !found:
	case h.set != nil:
		h.set.remove(slot)
		if h.set.isEmpty() {
			delete(x.holders, hash)
		}
	case int(h.only) == slot:
		delete(x.holders, hash)
	}
}

// appendHolders adds the holders of a segment to a set.
func (x *CacheIndex) appendHolders(set slotSet, hash uint64) slotSet {
	h, found := x.holders[hash]
	if !found {
		return set
	}
	if h.set == nil {
		return set.with(int(h.only))
	}
	for i, word := range *h.set {
		if i == len(set) {
			set = append(set, 0)
		}
		set[i] |= word
	}
	return set
}

// Slot returns the position of an upstream in the results of CachedTokensBySlot. It holds until RemoveUpstream.
func (x *CacheIndex) Slot(upstream string) int { return x.cache(upstream).slot }

// CachedTokensBySlot returns, by Slot, what CachedTokens returns for each upstream. It costs two look-ups for each segment, whatever the number of upstreams. The result is valid until the next call.
func (x *CacheIndex) CachedTokensBySlot(prompt Prompt) []int {
	for len(x.tokens) < x.slotCount {
		x.tokens = append(x.tokens, 0)
	}
	clear(x.tokens)
	for i, segment := range prompt.segments {
		clear(x.having)
		x.having = x.appendHolders(x.appendHolders(x.having[:0], segment.PrefixHash), segment.ContentHash)
		if i == 0 {
			x.prefix, x.having = x.having, x.prefix
		} else {
			x.prefix = x.prefix.intersect(x.having)
		}
		if x.prefix.isEmpty() {
			break
		}
		for word, set := range x.prefix {
			for ; set != 0; set &= set - 1 {
				x.tokens[word*slotsPerWord+bits.TrailingZeros64(set)] += segment.Tokens
			}
		}
	}
	return x.tokens
}

// intersect removes the slots that are not in another set.
func (s slotSet) intersect(other slotSet) slotSet {
	s = s[:min(len(s), len(other))]
	for i := range s {
		s[i] &= other[i]
	}
	return s
}
