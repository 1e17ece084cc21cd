package hwadmit

import "time"

// RetryDetector tells callers that come again from those that come for the first time, by the time that they say they still wait: the callers of a route mostly begin with the same.
type RetryDetector struct {
	routes map[string]longest
}

// longest is the longest time that a caller of a route said lately.
type longest struct {
	span time.Duration
	at   time.Time
}

// NewRetryDetector returns a Patience that has seen no caller.
func NewRetryDetector() *RetryDetector {
	return &RetryDetector{
		routes: map[string]longest{},
	}
}

const (
	// patienceAge is how long the longest time counts. Callers that came again do not set it unless nobody came for the first time meanwhile.
	patienceAge = 10 * time.Second
	// patienceLess is how much less time a returning caller has at least: no refusal asks it back sooner.
	patienceLess = 100 * time.Millisecond
)

// LikelyRetry notes what a caller says and reports whether it was probably refused before. A caller that says nothing was not.
func (p *RetryDetector) LikelyRetry(now time.Time, route string, span time.Duration) bool {
	if span <= 0 {
		return false
	}
	seen := p.routes[route]
	if span >= seen.span || now.Sub(seen.at) > patienceAge {
		p.routes[route] = longest{
			span: span,
			at:   now,
		}
		return false
	}
	return span <= seen.span-patienceLess
}

// Retain forgets all routes but the given ones.
func (p *RetryDetector) Retain(known func(route string) bool) {
	for route := range p.routes {
		if !known(route) {
			delete(p.routes, route)
		}
	}
}
