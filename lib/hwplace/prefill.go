package hwplace

import "time"

// prefillModel estimates the time to first token of an engine's request as a constant overhead plus a time per prompt token. It fits both by least squares over recent requests, because the overhead dominates short prompts and a rate that is computed from them would be wrong.
type prefillModel struct {
	tokensPerMS float64
	overheadMS  float64
	// The sums over the samples decay exponentially with the number of samples.
	weight           float64
	sumTokens        float64
	sumMS            float64
	sumTokensSquared float64
	sumTokensMS      float64
}

const (
	// maxAheadRatio is the largest work queued ahead of a sample, as a ratio of the sample's own tokens. Work that peers report may already have been prefilled, and would make the engine look faster than it is.
	maxAheadRatio = 0.25
	// sampleDecay is the factor by which the weight of earlier samples falls with each new one: the estimate rests on the last few hundred requests.
	sampleDecay = 0.995
	// priorSamples is the number of samples that the initial estimate counts for, half of them empty prompts and half of them prompts of priorTokens tokens.
	priorSamples = 20
	priorTokens  = 4000
	// initialOverheadMS is the overhead until one has been estimated, in milliseconds: two network round trips and one step of an engine.
	initialOverheadMS = 20
	// Estimates are clamped to these bounds, in tokens per millisecond. A sample beyond the upper bound is dropped: the engine had more of the prompt cached than the router knew.
	minTokensPerMS = 10
	maxTokensPerMS = 400
)

// newPrefillModel returns a model with an initial estimate of the rate.
func newPrefillModel(tokensPerMS float64) prefillModel {
	m := prefillModel{
		tokensPerMS: tokensPerMS,
		overheadMS:  initialOverheadMS,
	}
	const count = priorSamples / 2.0
	m.addToSums(0, initialOverheadMS, count)
	m.addToSums(priorTokens, initialOverheadMS+priorTokens/tokensPerMS, count)
	return m
}

func (m *prefillModel) addToSums(tokens, ms, count float64) {
	m.weight += count
	m.sumTokens += count * tokens
	m.sumMS += count * ms
	m.sumTokensSquared += count * tokens * tokens
	m.sumTokensMS += count * tokens * ms
}

// addSample updates the model from a request that prefilled own tokens behind ahead tokens of other work and had its first token after elapsed.
func (m *prefillModel) addSample(own, ahead float64, elapsed time.Duration) {
	ms := elapsed.Seconds() * 1000
	tokens := own + ahead
	if ahead > maxAheadRatio*own || ms*maxTokensPerMS < tokens {
		return
	}
	for _, sum := range []*float64{&m.weight, &m.sumTokens, &m.sumMS, &m.sumTokensSquared, &m.sumTokensMS} {
		*sum *= sampleDecay
	}
	m.addToSums(tokens, ms, 1)
	spread := m.weight*m.sumTokensSquared - m.sumTokens*m.sumTokens
	if spread <= 0 {
		return
	}
	msPerToken := (m.weight*m.sumTokensMS - m.sumTokens*m.sumMS) / spread
	msPerToken = min(1.0/minTokensPerMS, max(1.0/maxTokensPerMS, msPerToken))
	m.tokensPerMS = 1 / msPerToken
	m.overheadMS = max(0, (m.sumMS-msPerToken*m.sumTokens)/m.weight)
}
