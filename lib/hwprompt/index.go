// Package hwprompt keeps track of which parts of prompts the engines hold in their caches, so that a prompt goes where most of it need not be read again.
//
// A prompt is a chain of parts. An engine can reuse a part only if it also holds all parts before it, so a part is named by the hash of the chain up to it. What the index says is a belief: engines evict on their own.
package hwprompt

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Segment is one part of a prompt.
type Segment struct {
	// ID names the part's contents; equal ids have equal contents.
	ID     uint64
	Tokens int
}

// ChainedSegment is a part together with everything before it.
type ChainedSegment struct {
	PrefixHash uint64
	Tokens     int
}

// Prompt is the chain of a request's parts for one model. It is immutable.
type Prompt struct {
	links  []ChainedSegment
	tokens int
}

// New returns the chain of the given parts. Tokens is the length of the whole prompt; what the parts do not cover belongs to the request alone.
func New(model string, tokens int, parts []Segment) Prompt {
	p := Prompt{
		links:  make([]ChainedSegment, 0, len(parts)),
		tokens: tokens,
	}
	chain := xxhash.Sum64String(model)
	sum := 0
	for _, part := range parts {
		chain = mix(chain, part.ID)
		sum += part.Tokens
		p.links = append(p.links, ChainedSegment{
			PrefixHash: chain,
			Tokens:     part.Tokens,
		})
	}
	p.tokens = max(tokens, sum)
	return p
}

// mix joins two hashes; the order matters.
func mix(a, b uint64) uint64 {
	a ^= b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2)
	a ^= a >> 33
	a *= 0xff51afd7ed558ccd
	return a ^ a>>33
}

// Tokens returns the length of the prompt.
func (p Prompt) Tokens() int { return p.tokens }

// Segments returns the parts with their chains.
func (p Prompt) Segments() []ChainedSegment { return p.links }

// SharedPrefix returns the chain of the deepest part that other requests share. The last part belongs to the request or its session.
func (p Prompt) SharedPrefix() (uint64, bool) {
	switch len(p.links) {
	case 0:
		return 0, false
	case 1:
		return p.links[0].PrefixHash, true
	default:
		return p.links[len(p.links)-2].PrefixHash, true
	}
}

type kept struct {
	chain  uint64
	tokens int
}

type cache struct {
	order  *list.List
	parts  map[uint64]*list.Element
	tokens int
}

// CacheIndex remembers for each upstream the parts that it has read, the least recently used going first.
type CacheIndex struct {
	caches map[string]*cache
}

// NewCacheIndex returns an index that knows no upstream.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{
		caches: map[string]*cache{},
	}
}

// AddPrompt notes that an upstream reads a prompt. Capacity is the part of its memory, in tokens, that is believed to hold prompts.
func (x *CacheIndex) AddPrompt(upstream string, prompt Prompt, capacity int) {
	for _, link := range prompt.links {
		x.AddSegment(upstream, link, capacity)
	}
}

// AddSegment notes that an upstream holds a part.
func (x *CacheIndex) AddSegment(upstream string, link ChainedSegment, capacity int) {
	c := x.caches[upstream]
	if c == nil {
		c = &cache{
			order: list.New(),
			parts: map[uint64]*list.Element{},
		}
		x.caches[upstream] = c
	}
	if element, found := c.parts[link.PrefixHash]; found {
		c.order.MoveToFront(element)
		return
	}
	c.parts[link.PrefixHash] = c.order.PushFront(kept{
		chain:  link.PrefixHash,
		tokens: link.Tokens,
	})
	c.tokens += link.Tokens
	for c.tokens > capacity && c.order.Len() > 1 {
		oldest := c.order.Remove(c.order.Back()).(kept)
		delete(c.parts, oldest.chain)
		c.tokens -= oldest.tokens
	}
}

// CachedTokens returns how many tokens of a prompt an upstream is believed to hold.
func (x *CacheIndex) CachedTokens(upstream string, prompt Prompt) int {
	c := x.caches[upstream]
	if c == nil {
		return 0
	}
	sum := 0
	for _, link := range prompt.links {
		if _, found := c.parts[link.PrefixHash]; !found {
			break
		}
		sum += link.Tokens
	}
	return sum
}

// RemoveUpstream drops an upstream, because it left or started again with an empty cache.
func (x *CacheIndex) RemoveUpstream(upstream string) { delete(x.caches, upstream) }

// HashUpstreamID returns the hash of an upstream's id.
func HashUpstreamID(upstream string) uint64 { return xxhash.Sum64String(upstream) }

// RendezvousScore orders upstreams, given by the hashes of their ids, for a part by rendezvous hashing: every router gets the same order without asking, and one upstream less moves only its own parts.
func RendezvousScore(chain, upstream uint64) uint64 { return mix(chain, upstream) }
