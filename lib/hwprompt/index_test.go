package hwprompt_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

func segments(ids ...uint64) []hwprompt.Segment {
	list := make([]hwprompt.Segment, 0, len(ids))
	for _, id := range ids {
		list = append(list, hwprompt.Segment{ID: id, Tokens: 100})
	}
	return list
}

func Example() {
	index := hwprompt.NewCacheIndex()
	index.AddPrompt("engine-1", hwprompt.New("m", 300, segments(1, 2, 3)), 10_000)
	fmt.Println(index.CachedTokens("engine-1", hwprompt.New("m", 300, segments(1, 2, 4))))
	// Output: 200
}

func TestSegmentCountsOnlyWithItsWholePrefixAndModel(t *testing.T) {
	index := hwprompt.NewCacheIndex()
	index.AddPrompt("e", hwprompt.New("m", 0, segments(1, 2, 3)), 10_000)
	assert.Equal(t, 300, index.CachedTokens("e", hwprompt.New("m", 0, segments(1, 2, 3))))
	assert.Zero(t, index.CachedTokens("e", hwprompt.New("m", 0, segments(2, 3))), "the first segment is missing")
	assert.Zero(t, index.CachedTokens("e", hwprompt.New("m", 0, segments(2, 1, 3))), "another order")
	assert.Zero(t, index.CachedTokens("e", hwprompt.New("n", 0, segments(1, 2, 3))), "another model")
	assert.Zero(t, index.CachedTokens("f", hwprompt.New("m", 0, segments(1, 2, 3))), "another upstream")
	index.RemoveUpstream("e")
	assert.Zero(t, index.CachedTokens("e", hwprompt.New("m", 0, segments(1, 2, 3))))
}

func TestLeastRecentlyUsedSegmentIsEvicted(t *testing.T) {
	index := hwprompt.NewCacheIndex()
	for _, id := range []uint64{1, 2, 3, 1, 4} {
		index.AddPrompt("e", hwprompt.New("m", 0, segments(id)), 300)
	}
	assert.Zero(t, index.CachedTokens("e", hwprompt.New("m", 0, segments(2))))
	for _, id := range []uint64{1, 3, 4} {
		assert.Equal(t, 100, index.CachedTokens("e", hwprompt.New("m", 0, segments(id))), id)
	}
}

// Engines list segments by their contents, in no particular order and without their prefixes.
func TestListedSegmentsCountBehindCachedOnes(t *testing.T) {
	index := hwprompt.NewCacheIndex()
	listed := func(model string, ids ...uint64) []hwprompt.CachedSegment {
		list := make([]hwprompt.CachedSegment, 0, len(ids))
		for _, segment := range segments(ids...) {
			list = append(list, hwprompt.CachedSegment{Model: model, Segment: segment})
		}
		return list
	}
	index.AddListed("e", listed("m", 3, 2), 10_000)
	prompt := hwprompt.New("m", 0, segments(1, 2, 3))
	assert.Zero(t, index.CachedTokens("e", prompt), "the first segment is missing")
	index.AddPrompt("e", hwprompt.New("m", 0, segments(1)), 10_000)
	assert.Equal(t, 300, index.CachedTokens("e", prompt))
	assert.Equal(t, 100, index.CachedTokens("e", hwprompt.New("m", 0, segments(1, 4))))
	assert.Zero(t, index.CachedTokens("e", hwprompt.New("n", 0, segments(2, 3))), "another model")

	index.AddPrompt("e", prompt, 300)
	assert.Equal(t, 300, index.CachedTokens("e", prompt), "a listed segment that a prompt uses is not counted twice")
	index.AddListed("e", listed("m", 7), 300)
	assert.Zero(t, index.CachedTokens("e", prompt), "the least recently used segment is evicted")
}

func TestSharedPrefixExcludesTheLastSegment(t *testing.T) {
	first, _ := hwprompt.New("m", 0, segments(1, 2, 8)).SharedPrefix()
	second, _ := hwprompt.New("m", 0, segments(1, 2, 9)).SharedPrefix()
	assert.Equal(t, first, second, "the last segment belongs to the request alone")
	_, shared := hwprompt.New("m", 0, nil).SharedPrefix()
	assert.False(t, shared)
}

// The removal of an upstream moves only the prefixes for which it had the highest score.
func TestRemovalMovesOnlyTheUpstreamsOwnPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixHash := rapid.Uint64().Draw(t, "prefixHash")
		count := rapid.IntRange(2, 40).Draw(t, "upstreams")
		removed := rapid.IntRange(0, count-1).Draw(t, "removed")
		first := func(skip int) int {
			best := -1
			for i := range count {
				if i != skip && (best < 0 || hwprompt.RendezvousScore(prefixHash, hwprompt.HashUpstreamID(strconv.Itoa(i))) > hwprompt.RendezvousScore(prefixHash, hwprompt.HashUpstreamID(strconv.Itoa(best)))) {
					best = i
				}
			}
			return best
		}
		if before := first(-1); before != removed && first(removed) != before {
			t.Fatalf("prefix moved from upstream %d to %d on removal of %d", before, first(removed), removed)
		}
	})
}
