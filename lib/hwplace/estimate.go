package hwplace

import "time"

// estimate is how a request would fare at an upstream. It is smaller than a Choice, which is made of the best one only.
type estimate struct {
	upstream *upstreamState
	// score is in milliseconds, without the parts that depend on other requests.
	score         float64
	waitMS        float64
	prefillTokens int
	prefillMS     float64
	// fetches means that the request fetches from the cache of the holder.
	fetches       bool
	belowHalfLoad bool
}

// choice returns the choice of the estimated upstream.
func (e estimate) choice(now time.Time, hasEngines bool, holder *upstreamState) Choice {
	choice := Choice{
		Upstream:       e.upstream.upstream,
		QueueWait:      milliseconds(e.waitMS),
		BelowHalfLoad:  e.belowHalfLoad,
		RecentFailures: e.upstream.recentFailures(now),
	}
	if hasEngines {
		choice.PrefillTokens = e.prefillTokens
		choice.PrefillTime = milliseconds(e.prefillMS)
	}
	if e.fetches {
		choice.FetchFrom = holder.upstream.Address
	}
	return choice
}

// fromRandomPosition returns the upstreams before and after a position that the request's random number determines. Searches that begin there spread their choice among equals.
func (p *Pool) fromRandomPosition(request Request) (before, after []*upstreamState) {
	position := max(0, min(int(request.Random*float64(len(p.ordered))), len(p.ordered)))
	return p.ordered[:position], p.ordered[position:]
}
