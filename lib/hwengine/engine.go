// Package hwengine is a deterministic model of a batching inference engine: requests are admitted in order of arrival, prompts are prefilled in chunks between the tokens of running requests, and prefixes are cached. Tests of routing and admission run against it in virtual time, without sockets.
//
// The model leaves out transfers between engines, preemption and failures.
package hwengine

import (
	"time"

	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// Settings are the figures of an engine's data sheet.
type Settings struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// Step is the constant time of a step, and StepPerRequest what each generating request adds to it.
	Step           time.Duration
	StepPerRequest time.Duration
	// TokensPerMS is the prefill rate without the constant time of the steps, and ChunkTokens the number of prompt tokens that one step prefills at most.
	TokensPerMS float64
	ChunkTokens int
	// AttentionPerMPairs is the time for a million pairs of a prefilled token and a token before it.
	AttentionPerMPairs time.Duration
	// FirstToken is the constant part of the time to first token.
	FirstToken time.Duration
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// TimeFactor is the time of every step relative to these figures; 0 stands for 1.
	TimeFactor float64
	// Spells are the times in which steps take longer, in order of time.
	Spells []Spell
}

// Spell is a time in which an engine is slowed down, as by its neighbours on the same machine.
type Spell struct {
	// From and To are times since the engine's start.
	From time.Duration
	To   time.Duration
	// Slowdown is the time of a step in the spell relative to the time without it.
	Slowdown float64
}

// Request is a request for generated tokens.
type Request struct {
	// ID identifies the request in events.
	ID           int
	Prompt       hwprompt.Prompt
	OutputTokens int
}

// Event is the progress of a request.
type Event struct {
	ID int
	// At is the time since the engine's start.
	At time.Duration
	// PrefilledTokens is the number of prompt tokens that were not cached.
	PrefilledTokens int
	// Finished is false at the first token and true at the last one.
	Finished bool
}

// running is a request in the engine's batch.
type running struct {
	request Request
	// prefilled is the number of prompt tokens that are in memory, cached ones included; cached is the number of those.
	prefilled int
	cached    int
	generated int
}

// Engine is one engine. It is not safe for concurrent use.
type Engine struct {
	settings Settings
	now      time.Duration
	waiting  []Request
	batch    []*running
	cache    *hwprompt.CacheIndex
	// pastSpells is the number of spells that are over.
	pastSpells int
}

// cacheName is the name of the engine in its own cache index.
const cacheName = "engine"

// New returns an idle engine with an empty cache.
func New(settings Settings) *Engine {
	return &Engine{
		settings: settings,
		cache:    hwprompt.NewCacheIndex(),
	}
}

// Submit adds a request to the queue. Requests must be submitted after Advance to the time of their arrival.
func (e *Engine) Submit(request Request) { e.waiting = append(e.waiting, request) }

// Waiting returns the number of requests in the queue.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Running returns the number of requests in the batch.
func (e *Engine) Running() int { return len(e.batch) }

// CachedTokens returns how many tokens of a prompt are cached.
func (e *Engine) CachedTokens(prompt hwprompt.Prompt) int {
	return e.cache.CachedTokens(cacheName, prompt)
}

// Advance runs the engine until the given time since its start and returns the progress of requests in order of time. A step that has begun is completed.
func (e *Engine) Advance(to time.Duration) []Event {
	var events []Event
	for e.now < to {
		e.fillBatch()
		if len(e.batch) == 0 {
			e.now = to
			break
		}
		events = append(events, e.step()...)
	}
	return events
}

// fillBatch admits waiting requests in order of arrival while slots are free.
func (e *Engine) fillBatch() {
	for len(e.batch) < e.settings.Slots && len(e.waiting) > 0 {
		request := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.CachedTokens(request.Prompt)
		e.batch = append(e.batch, &running{
			request:   request,
			prefilled: cached,
			cached:    cached,
		})
	}
}

// Slowdown returns how many times longer a step that begins now takes because of a spell.
func (e *Engine) Slowdown() float64 {
	spells := e.settings.Spells
	for e.pastSpells < len(spells) && spells[e.pastSpells].To <= e.now {
		e.pastSpells++
	}
	if e.pastSpells < len(spells) && spells[e.pastSpells].From <= e.now {
		return spells[e.pastSpells].Slowdown
	}
	return 1
}

// step prefills one chunk and generates a token for each request whose prompt is prefilled.
func (e *Engine) step() []Event {
	duration := e.settings.Step
	chunk := e.settings.ChunkTokens
	var generating []*running
	for _, r := range e.batch {
		left := r.request.Prompt.Tokens() - r.prefilled
		if left <= 0 {
			duration += e.settings.StepPerRequest
			generating = append(generating, r)
			continue
		}
		tokens := min(chunk, left)
		if tokens == 0 {
			continue
		}
		chunk -= tokens
		pairs := float64(tokens) * (float64(r.prefilled) + float64(tokens)/2)
		duration += time.Duration(float64(tokens) / e.settings.TokensPerMS * float64(time.Millisecond))
		duration += time.Duration(pairs / 1e6 * float64(e.settings.AttentionPerMPairs))
		r.prefilled += tokens
		if r.prefilled == r.request.Prompt.Tokens() {
			e.cache.AddPrompt(cacheName, r.request.Prompt, e.settings.CacheTokens)
			generating = append(generating, r)
		}
	}
	if e.settings.TimeFactor > 0 {
		duration = time.Duration(e.settings.TimeFactor * float64(duration))
	}
	if slowdown := e.Slowdown(); slowdown != 1 {
		duration = time.Duration(slowdown * float64(duration))
	}
	e.now += duration
	return e.generate(generating)
}

// generate adds a token to each of the requests and removes those that are finished from the batch.
func (e *Engine) generate(generating []*running) []Event {
	var events []Event
	finished := map[*running]bool{}
	for _, r := range generating {
		r.generated++
		event := Event{
			ID:              r.request.ID,
			At:              e.now + e.settings.FirstToken,
			PrefilledTokens: r.request.Prompt.Tokens() - r.cached,
		}
		if r.generated == 1 {
			events = append(events, event)
		}
		if r.generated >= r.request.OutputTokens {
			event.Finished = true
			events = append(events, event)
			finished[r] = true
		}
	}
	kept := e.batch[:0]
	for _, r := range e.batch {
		if !finished[r] {
			kept = append(kept, r)
		}
	}
	e.batch = kept
	return events
}
