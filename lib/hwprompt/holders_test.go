package hwprompt_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// The shared look-up must agree with the caches themselves through evictions, removals of upstreams and reuse of their slots.
func TestCachedTokensBySlotEqualsCachedTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := hwprompt.NewCacheIndex()
		upstream := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		prompt := rapid.Custom(func(t *rapid.T) hwprompt.Prompt {
			return hwprompt.New("m", 0, segments(rapid.SliceOfN(rapid.Uint64Range(1, 4), 0, 4).Draw(t, "segments")...))
		})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			u := upstream.Draw(t, "upstream")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				index.RemoveUpstream(u)
			case 1:
				index.AddListed(u, []hwprompt.CachedSegment{{
					Model:   "m",
					Segment: hwprompt.Segment{ID: rapid.Uint64Range(1, 4).Draw(t, "listed"), Tokens: 100},
				}}, 500)
			default:
				index.AddPrompt(u, prompt.Draw(t, "added"), 500)
			}
			p := prompt.Draw(t, "prompt")
			slots := map[string]int{}
			for _, id := range []string{"a", "b", "c", "d"} {
				slots[id] = index.Slot(id)
			}
			bySlot := index.CachedTokensBySlot(p)
			for id, slot := range slots {
				assert.Equal(t, index.CachedTokens(id, p), bySlot[slot], id)
			}
		}
	})
}

// More upstreams than a word of a set has bits must not share slots.
func TestCachedTokensBySlotOfManyUpstreams(t *testing.T) {
	index := hwprompt.NewCacheIndex()
	prompt := hwprompt.New("m", 0, segments(1, 2))
	for i := range 200 {
		id := string(rune('A' + i))
		assert.Equal(t, i, index.Slot(id))
		if i%3 == 0 {
			index.AddPrompt(id, prompt, 10_000)
		}
	}
	for slot, tokens := range index.CachedTokensBySlot(prompt) {
		want := 0
		if slot%3 == 0 {
			want = 200
		}
		assert.Equal(t, want, tokens, slot)
	}
}
