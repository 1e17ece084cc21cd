package hwplace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// prefillTime is the time to first token of an idle engine that prefills 48 tokens a millisecond, with 9 ms for the network and the first step.
func prefillTime(tokens int) time.Duration {
	return 9*time.Millisecond + time.Duration(float64(tokens)/48*float64(time.Millisecond))
}

// Long drafts, chat replies and short hints share the engines. The rate must not depend on the mix: with a constant overhead that was too large, short prompts made engines look three times as fast as they are, and waits were underestimated by as much.
func TestPrefillRateIsIndependentOfTheMixOfPrompts(t *testing.T) {
	for name, meanTokens := range map[string][]float64{
		"short-prompts": {826},
		"mixed-prompts": {826, 826, 826, 2368, 2368, 12_000},
		"long-prompts":  {12_000},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			p := enginePool(1)
			for i := range 2000 {
				now := start.Add(time.Duration(i) * 3 * time.Second)
				mean := meanTokens[random.IntN(len(meanTokens))]
				request := hwplace.Request{
					Prompt: hwprompt.New("m", int(mean*(0.5+random.Float64())), nil),
				}
				inFlight := p.Start(now, choose(t, p, now, request), request)
				p.RecordProgress(now.Add(prefillTime(request.Prompt.Tokens())), inFlight)
				p.Finish(now.Add(2*time.Second), inFlight, false)
			}
			tokensPerMS, _ := p.LearnedRates()
			assert.InEpsilon(t, 48, tokensPerMS, 0.02)
			assert.InDelta(t, 9, p.FirstTokenOverhead().Seconds()*1000, 1)
		})
	}
}

// An engine answers sooner than it could have prefilled the prompt, because it had cached more of it than the router knew.
func TestUnknownCacheHitsDoNotRaiseThePrefillRate(t *testing.T) {
	p := enginePool(1)
	for i := range 300 {
		now := start.Add(time.Duration(i) * 3 * time.Second)
		request := hwplace.Request{
			Prompt: hwprompt.New("m", 12_000, nil),
		}
		inFlight := p.Start(now, choose(t, p, now, request), request)
		p.RecordProgress(now.Add(12*time.Millisecond), inFlight)
		p.Finish(now.Add(2*time.Second), inFlight, false)
	}
	tokensPerMS, _ := p.LearnedRates()
	assert.InEpsilon(t, 50, tokensPerMS, 0.001, "the initial estimate")
}
