// Package hwprompt tracks which segments of prompts the engines hold in their prefix caches, so that a prompt can be routed to where most of it need not be prefilled again.
//
// A prompt is a sequence of segments. An engine can reuse a cached segment only if it has also cached all segments before it, so a segment is identified by the hash of the prefix that ends with it. The index is an estimate, because engines evict segments on their own.
package hwprompt

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Segment is a part of a prompt.
type Segment struct {
	// ID identifies the contents: segments with equal ids have equal contents.
	ID     uint64
	Tokens int
}

// ChainedSegment is a segment identified together with everything before it.
type ChainedSegment struct {
	// PrefixHash is the hash of the model and of all segments up to and including this one.
	PrefixHash uint64
	// ContentHash is the hash of the model and of this segment alone, by which engines list what they have cached.
	ContentHash uint64
	// Tokens is the length of this segment alone.
	Tokens int
}

// Prompt is the sequence of a request's segments for one model. It is immutable.
type Prompt struct {
	segments []ChainedSegment
	tokens   int
}

// New returns the prompt of the given segments. Tokens is the length of the whole prompt; what the segments do not cover is unique to the request.
func New(model string, tokens int, segments []Segment) Prompt {
	p := Prompt{
		segments: make([]ChainedSegment, 0, len(segments)),
		tokens:   tokens,
	}
	modelHash := xxhash.Sum64String(model)
	hash := modelHash
	sum := 0
	for _, segment := range segments {
		hash = mix(hash, segment.ID)
		sum += segment.Tokens
		p.segments = append(p.segments, ChainedSegment{
			PrefixHash:  hash,
			ContentHash: mix(modelHash, segment.ID),
			Tokens:      segment.Tokens,
		})
	}
	p.tokens = max(tokens, sum)
	return p
}

// mix combines two hashes; their order matters.
func mix(a, b uint64) uint64 {
	a ^= b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2)
	a ^= a >> 33
	a *= 0xff51afd7ed558ccd
	return a ^ a>>33
}

// Tokens returns the length of the prompt.
func (p Prompt) Tokens() int { return p.tokens }

// Segments returns the segments with the hashes of their prefixes.
func (p Prompt) Segments() []ChainedSegment { return p.segments }

// SharedContent returns the content hashes of the segments that other requests may share: all but the last one, which belongs to the request or its session alone.
func (p Prompt) SharedContent() []uint64 {
	if len(p.segments) < 2 {
		return nil
	}
	hashes := make([]uint64, 0, len(p.segments)-1)
	for _, segment := range p.segments[:len(p.segments)-1] {
		hashes = append(hashes, segment.ContentHash)
	}
	return hashes
}

// SharedPrefix returns the hash of the longest prefix that the prompt is expected to share with other requests, or false for a prompt without segments. Of several segments the last one belongs to the request or its session alone.
func (p Prompt) SharedPrefix() (uint64, bool) {
	switch len(p.segments) {
	case 0:
		return 0, false
	case 1:
		return p.segments[0].PrefixHash, true
	default:
		return p.segments[len(p.segments)-2].PrefixHash, true
	}
}

// cachedSegment is an element of a cache's recency list.
type cachedSegment struct {
	hash   uint64
	tokens int
}

// cache is the estimated content of one upstream's prefix cache.
type cache struct {
	index *CacheIndex
	// slot is the cache's position in the index.
	slot int
	// recency has the most recently used segment at its front.
	recency *list.List
	// segments is keyed by prefix hash, or by content hash for segments that the engine itself has listed.
	segments map[uint64]*list.Element
	// tokens is the sum over all segments.
	tokens int
}

// CacheIndex estimates the content of each upstream's prefix cache from the prompts sent to it, assuming LRU eviction.
type CacheIndex struct {
	caches map[string]*cache
	// holders is keyed like the segments of the caches.
	holders map[uint64]holders
	// slotCount is the number of slots that were ever in use, freeSlots those that are no longer.
	slotCount int
	freeSlots []int
	// tokens, prefix and having are buffers of CachedTokensBySlot.
	tokens         []int
	prefix, having slotSet
}

// NewCacheIndex returns an index without upstreams.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{
		caches:  map[string]*cache{},
		holders: map[uint64]holders{},
	}
}

// AddPrompt records that an upstream prefills a prompt. Capacity is the size of its prefix cache in tokens.
func (x *CacheIndex) AddPrompt(upstream string, prompt Prompt, capacity int) {
	for _, segment := range prompt.segments {
		x.AddSegment(upstream, segment, capacity)
	}
}

// AddSegment records that an upstream has used a segment. Capacity is the size of its prefix cache in tokens.
func (x *CacheIndex) AddSegment(upstream string, segment ChainedSegment, capacity int) {
	c := x.cache(upstream)
	c.remove(segment.ContentHash)
	c.add(segment.PrefixHash, segment.Tokens, capacity)
}

// CachedSegment is a segment of a model's prompts that an engine itself states it has cached.
type CachedSegment struct {
	Model string
	Segment
}

// ContentHash returns the hash by which prompts of the model refer to the segment's content.
func (s CachedSegment) ContentHash() uint64 { return mix(xxhash.Sum64String(s.Model), s.ID) }

// AddListed records the segments that an upstream states it has cached. They are evicted like those of prompts that were sent there.
func (x *CacheIndex) AddListed(upstream string, segments []CachedSegment, capacity int) {
	c := x.cache(upstream)
	for _, segment := range segments {
		c.add(segment.ContentHash(), segment.Tokens, capacity)
	}
}

// cache returns the estimated content of an upstream's prefix cache, and creates it on first use.
func (x *CacheIndex) cache(upstream string) *cache {
	c := x.caches[upstream]
	if c == nil {
		c = &cache{
			index:    x,
			slot:     x.takeSlot(),
			recency:  list.New(),
			segments: map[uint64]*list.Element{},
		}
		x.caches[upstream] = c
	}
	return c
}

// takeSlot returns a slot that is not in use.
func (x *CacheIndex) takeSlot() int {
	if last := len(x.freeSlots) - 1; last >= 0 {
		slot := x.freeSlots[last]
		x.freeSlots = x.freeSlots[:last]
		return slot
	}
	x.slotCount++
	return x.slotCount - 1
}

// add makes a segment the most recently used one, and evicts the least recently used ones beyond the capacity in tokens.
func (c *cache) add(hash uint64, tokens, capacity int) {
	if element, found := c.segments[hash]; found {
		c.recency.MoveToFront(element)
		return
	}
	c.segments[hash] = c.recency.PushFront(cachedSegment{
		hash:   hash,
		tokens: tokens,
	})
	c.index.addHolder(hash, c.slot)
	c.tokens += tokens
	for c.tokens > capacity && c.recency.Len() > 1 {
		c.remove(c.recency.Back().Value.(cachedSegment).hash)
	}
}

func (c *cache) remove(hash uint64) {
	element, found := c.segments[hash]
	if !found {
		return
	}
	delete(c.segments, hash)
	c.index.removeHolder(hash, c.slot)
	c.tokens -= c.recency.Remove(element).(cachedSegment).tokens
}

// holds reports whether a segment is cached, provided that all segments before it are.
func (c *cache) holds(segment ChainedSegment) bool {
	_, used := c.segments[segment.PrefixHash]
	_, listed := c.segments[segment.ContentHash]
	return used || listed
}

// CachedTokens returns the length of the longest prefix of a prompt that an upstream is estimated to have cached.
func (x *CacheIndex) CachedTokens(upstream string, prompt Prompt) int {
	c := x.caches[upstream]
	if c == nil {
		return 0
	}
	sum := 0
	for _, segment := range prompt.segments {
		if !c.holds(segment) {
			break
		}
		sum += segment.Tokens
	}
	return sum
}

// RemoveUpstream clears the entries of an upstream that is gone or has restarted with an empty cache.
func (x *CacheIndex) RemoveUpstream(upstream string) {
	c := x.caches[upstream]
	if c == nil {
		return
	}
	for hash := range c.segments {
		x.removeHolder(hash, c.slot)
	}
	x.freeSlots = append(x.freeSlots, c.slot)
	delete(x.caches, upstream)
}

// HashUpstreamID returns the hash of an upstream's id.
func HashUpstreamID(upstream string) uint64 { return xxhash.Sum64String(upstream) }

// RendezvousScore returns the score of an upstream, given by the hash of its id, for a prefix. The upstream with the highest score is the first choice. All routers compute the same scores without communication, and the removal of an upstream moves only the prefixes for which it was the first choice.
func RendezvousScore(prefixHash, upstreamHash uint64) uint64 { return mix(prefixHash, upstreamHash) }
