package hwengine_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwengine"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// sheet has the figures of a data sheet of the users: an engine of four accelerators that serves a model with 70 billion parameters.
func sheet() hwengine.Settings {
	return hwengine.Settings{
		Slots:              64,
		Step:               3090 * time.Microsecond,
		StepPerRequest:     16500 * time.Nanosecond,
		TokensPerMS:        61.8,
		ChunkTokens:        1024,
		AttentionPerMPairs: 367 * time.Microsecond,
		FirstToken:         3700 * time.Microsecond,
		CacheTokens:        340_000,
	}
}

// firstTokenTimes returns when each request has its first token.
func firstTokenTimes(events []hwengine.Event) map[int]time.Duration {
	times := map[int]time.Duration{}
	for _, event := range events {
		if !event.Finished {
			times[event.ID] = event.At
		}
	}
	return times
}

func Example() {
	engine := hwengine.New(sheet())
	engine.Submit(hwengine.Request{
		ID:           1,
		Prompt:       hwprompt.New("m", 1000, nil),
		OutputTokens: 1,
	})
	for _, event := range engine.Advance(time.Second) {
		fmt.Println(event.At.Round(time.Millisecond), event.Finished)
	}
	// Output:
	// 23ms false
	// 23ms true
}

// The time to first token on an idle engine follows from the data sheet. A prompt of 32,000 tokens takes longer than an objective of 800 ms, wherever it is sent.
func TestIdleEngineKeepsToItsDataSheet(t *testing.T) {
	for _, tokens := range []int{1, 826, 5_000, 20_000, 31_000, 32_000, 54_600} {
		engine := hwengine.New(sheet())
		engine.Submit(hwengine.Request{
			Prompt:       hwprompt.New("m", tokens, nil),
			OutputTokens: 10,
		})
		chunks := math.Ceil(float64(tokens) / 1024)
		want := 3.7 + 3.09*chunks + float64(tokens)/61.8 + 0.367*float64(tokens)*float64(tokens)/2/1e6
		got := firstTokenTimes(engine.Advance(10 * time.Second))[0].Seconds() * 1000
		assert.InDelta(t, want, got, 0.01, tokens)
		assert.Equal(t, tokens >= 32_000, got > 800, tokens)
	}
}

// Requests are served in order of arrival, so a short chat reply waits behind a long draft.
func TestShortPromptWaitsBehindALongOne(t *testing.T) {
	engine := hwengine.New(sheet())
	engine.Submit(hwengine.Request{ID: 1, Prompt: hwprompt.New("m", 12_000, nil), OutputTokens: 300})
	engine.Submit(hwengine.Request{ID: 2, Prompt: hwprompt.New("m", 800, nil), OutputTokens: 300})
	times := firstTokenTimes(engine.Advance(10 * time.Second))
	assert.Greater(t, times[2], times[1])
	assert.Less(t, times[2], times[1]+30*time.Millisecond)
}

// A shared prefix is prefilled once, until it is evicted.
func TestCachedPrefixIsNotPrefilledAgain(t *testing.T) {
	engine := hwengine.New(sheet())
	draft := func(id int, document uint64) hwengine.Request {
		return hwengine.Request{
			ID:           id,
			Prompt:       hwprompt.New("m", 6_000, []hwprompt.Segment{{ID: document, Tokens: 5_000}}),
			OutputTokens: 1,
		}
	}
	engine.Submit(draft(0, 1))
	engine.Submit(draft(1, 1))
	first := engine.Advance(time.Second)
	require.Len(t, first, 4)
	assert.Equal(t, 6_000, first[0].PrefilledTokens)
	engine.Submit(draft(2, 1))
	assert.Equal(t, 1_000, engine.Advance(2 * time.Second)[0].PrefilledTokens)
	for i := range uint64(100) {
		engine.Submit(draft(3, 2+i))
	}
	engine.Advance(time.Minute)
	assert.Zero(t, engine.CachedTokens(draft(4, 1).Prompt), "the least recently used prefix is evicted")
}

// Whatever arrives, every request has one first and one last token, in order of time, the same in every run.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type arrival struct {
			gap     time.Duration
			request hwengine.Request
		}
		arrivals := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) arrival {
			return arrival{
				gap: time.Duration(rapid.IntRange(0, 200).Draw(t, "gap-ms")) * time.Millisecond,
				request: hwengine.Request{
					Prompt:       hwprompt.New("m", rapid.IntRange(1, 20_000).Draw(t, "tokens"), []hwprompt.Segment{{ID: rapid.Uint64Range(1, 4).Draw(t, "prefix"), Tokens: 500}}),
					OutputTokens: rapid.IntRange(1, 50).Draw(t, "output"),
				},
			}
		}), 1, 100).Draw(t, "arrivals")
		run := func() []hwengine.Event {
			engine := hwengine.New(sheet())
			var events []hwengine.Event
			var now time.Duration
			for i, a := range arrivals {
				now += a.gap
				events = append(events, engine.Advance(now)...)
				a.request.ID = i
				engine.Submit(a.request)
			}
			events = append(events, engine.Advance(now+time.Hour)...)
			if engine.Waiting()+engine.Running() != 0 {
				t.Fatalf("%d requests wait and %d run after an hour", engine.Waiting(), engine.Running())
			}
			return events
		}
		events := run()
		counts := map[int][2]int{}
		for i, event := range events {
			count := counts[event.ID]
			if event.Finished {
				count[1]++
			} else {
				count[0]++
			}
			counts[event.ID] = count
			if i > 0 && event.At < events[i-1].At {
				t.Fatalf("event at %s after one at %s", event.At, events[i-1].At)
			}
		}
		for i := range arrivals {
			if counts[i] != [2]int{1, 1} {
				t.Fatalf("request %d has %d first and %d last tokens", i, counts[i][0], counts[i][1])
			}
		}
		if again := run(); fmt.Sprint(events) != fmt.Sprint(again) {
			t.Fatal("two runs differ")
		}
	})
}
