package hwprompt_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

func parts(ids ...uint64) []hwprompt.Segment {
	list := make([]hwprompt.Segment, 0, len(ids))
	for _, id := range ids {
		list = append(list, hwprompt.Segment{ID: id, Tokens: 100})
	}
	return list
}

func Example() {
	index := hwprompt.NewCacheIndex()
	index.AddPrompt("engine-1", hwprompt.New("m", 300, parts(1, 2, 3)), 10_000)
	fmt.Println(index.CachedTokens("engine-1", hwprompt.New("m", 300, parts(1, 2, 4))))
	// Output: 200
}

func TestAPartCountsOnlyWithAllBeforeItAndForItsModel(t *testing.T) {
	index := hwprompt.NewCacheIndex()
	index.AddPrompt("e", hwprompt.New("m", 0, parts(1, 2, 3)), 10_000)
	assert.Equal(t, 300, index.CachedTokens("e", hwprompt.New("m", 0, parts(1, 2, 3))))
	assert.Zero(t, index.CachedTokens("e", hwprompt.New("m", 0, parts(2, 3))), "the first part is missing")
	assert.Zero(t, index.CachedTokens("e", hwprompt.New("m", 0, parts(2, 1, 3))), "another order")
	assert.Zero(t, index.CachedTokens("e", hwprompt.New("n", 0, parts(1, 2, 3))), "another model")
	assert.Zero(t, index.CachedTokens("f", hwprompt.New("m", 0, parts(1, 2, 3))), "another upstream")
	index.RemoveUpstream("e")
	assert.Zero(t, index.CachedTokens("e", hwprompt.New("m", 0, parts(1, 2, 3))))
}

func TestTheLeastRecentlyReadPartGoesFirst(t *testing.T) {
	index := hwprompt.NewCacheIndex()
	for _, id := range []uint64{1, 2, 3, 1, 4} {
		index.AddPrompt("e", hwprompt.New("m", 0, parts(id)), 300)
	}
	assert.Zero(t, index.CachedTokens("e", hwprompt.New("m", 0, parts(2))))
	for _, id := range []uint64{1, 3, 4} {
		assert.Equal(t, 100, index.CachedTokens("e", hwprompt.New("m", 0, parts(id))), id)
	}
}

func TestTheSharedPartIsTheLastButOne(t *testing.T) {
	first, _ := hwprompt.New("m", 0, parts(1, 2, 8)).SharedPrefix()
	second, _ := hwprompt.New("m", 0, parts(1, 2, 9)).SharedPrefix()
	assert.Equal(t, first, second, "the last part is the request's own")
	_, shared := hwprompt.New("m", 0, nil).SharedPrefix()
	assert.False(t, shared)
}

// An upstream that leaves moves only the parts that it was first for.
func TestRankMovesOnlyTheLeavingUpstreamsParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chain := rapid.Uint64().Draw(t, "chain")
		count := rapid.IntRange(2, 40).Draw(t, "upstreams")
		gone := rapid.IntRange(0, count-1).Draw(t, "gone")
		first := func(skip int) int {
			best := -1
			for i := range count {
				if i != skip && (best < 0 || hwprompt.RendezvousScore(chain, hwprompt.HashUpstreamID(strconv.Itoa(i))) > hwprompt.RendezvousScore(chain, hwprompt.HashUpstreamID(strconv.Itoa(best)))) {
					best = i
				}
			}
			return best
		}
		if before := first(-1); before != gone && first(gone) != before {
			t.Fatalf("part moved from %d to %d though %d left", before, first(gone), gone)
		}
	})
}
