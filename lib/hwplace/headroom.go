package hwplace

import "time"

// Headroom is how busy the upstreams are that take requests.
type Headroom struct {
	Slots     int
	FreeSlots int
	// Upstreams is the number of upstreams that take requests, and Waiting the number of those at which a new request would wait.
	Upstreams int
	Waiting   int
}

// Headroom returns how busy the pool is.
func (p *Pool) Headroom(now time.Time) Headroom {
	p.expirePeerReports(now)
	var h Headroom
	for _, s := range p.ordered {
		if !p.takesRequests(now, s) {
			continue
		}
		requests, tokens := p.currentLoad(now, s)
		h.Upstreams++
		h.Slots += s.upstream.Slots
		h.FreeSlots += max(0, s.upstream.Slots-requests)
		if requests >= s.upstream.Slots || p.hasEngines && tokens >= p.prefill.tokensPerMS {
			h.Waiting++
		}
	}
	return h
}

// disturbedSlowdown is the slowdown from which an upstream counts as disturbed. Smaller ones are common and cost less than a second attempt.
const disturbedSlowdown = 1.5

// IsDisturbed reports whether an upstream is known to be silent, or to work much more slowly than normal, or is no longer listed.
func (p *Pool) IsDisturbed(now time.Time, id string) bool {
	s := p.upstreams[id]
	return s == nil || s.silenceMS(now) > 0 || s.slowdownFactor(now) >= disturbedSlowdown || s.recentFailures(now) >= 1
}

// EstimateAnswer returns the estimated time until the first event of an engine, or the whole answer of a plain service, at a chosen upstream.
func (p *Pool) EstimateAnswer(now time.Time, choice Choice) time.Duration {
	if p.hasEngines {
		return choice.QueueWait + choice.PrefillTime + p.FirstTokenOverhead()
	}
	slowdown := 1.0
	if s := p.upstreams[choice.Upstream.ID]; s != nil {
		slowdown = s.slowdownFactor(now)
	}
	return choice.QueueWait + milliseconds(p.meanRequestMS*slowdown)
}
