package hwplace

import "time"

// Start records that a request is sent to the chosen upstream. It takes the permit if the upstream is cold.
func (p *Pool) Start(now time.Time, choice Choice, request Request) *InFlightRequest {
	inFlight := &InFlightRequest{
		Upstream:      choice.Upstream.ID,
		startedAt:     now,
		prefillTokens: float64(choice.PrefillTokens),
		plainService:  !p.hasEngines,
	}
	s := p.upstreams[choice.Upstream.ID]
	if s == nil {
		return inFlight
	}
	inFlight.permit = p.takePermit(now, s)
	inFlight.state = s
	var requests int
	requests, inFlight.tokensAhead = p.currentLoad(now, s)
	inFlight.queued = requests >= max(1, s.upstream.Slots) || choice.FetchFrom != ""
	if s.unanswered == 0 {
		s.unansweredSince = now
	}
	s.running++
	s.unanswered++
	s.pendingTokens += inFlight.prefillTokens
	s.recordSent(inFlight.prefillTokens)
	if p.hasEngines {
		p.meanPrefillTokens += prefillSmoothing * (inFlight.prefillTokens - p.meanPrefillTokens)
		p.cacheIndex.AddPrompt(choice.Upstream.ID, request.Prompt, p.cacheCapacity)
	}
	return inFlight
}

// RecordProgress records that the upstream sent an event or the whole answer of a request. The first call for a request means that its prompt has been prefilled; only that call returns true, with the time since the start.
func (p *Pool) RecordProgress(now time.Time, r *InFlightRequest) (first bool, elapsed time.Duration) {
	s := p.upstreams[r.Upstream]
	if s != nil {
		s.lastProgress = now
	}
	if r.progressed {
		return false, 0
	}
	r.progressed = true
	elapsed = now.Sub(r.startedAt)
	p.learnTime(now, s, r, elapsed)
	if s != nil {
		s.unanswered = max(0, s.unanswered-1)
		s.pendingTokens = max(0, s.pendingTokens-r.prefillTokens)
		s.addFailures(now, -successCredit)
	}
	return true, elapsed
}

// Progressed reports whether part of the answer has arrived.
func (r *InFlightRequest) Progressed() bool { return r.progressed }

// requestSmoothing is the weight of a new sample in the moving average of a plain service's request time.
const requestSmoothing = 0.05

// RecordLoad records the load that an upstream reported to this router.
func (p *Pool) RecordLoad(now time.Time, upstream string, load Load) {
	s := p.upstreams[upstream]
	if s == nil {
		return
	}
	s.recordSlowdown(now, load)
	// A load that peers can compute from their own reports is not sent to them.
	if known, _ := p.currentLoad(now, s); load.Waiting > 0 || load.Running > known {
		o := p.unsentObservation(s)
		o.load, o.loadAt = load, now
	}
	s.updateReportedLoad(now, load.Running, load.Waiting)
}

// Finish records that a request no longer runs. Failed means that the upstream is at fault. Only the first call for a request has an effect.
func (p *Pool) Finish(now time.Time, r *InFlightRequest, failed bool) {
	if r.finished {
		return
	}
	r.finished = true
	s := p.upstreams[r.Upstream]
	if s == nil {
		return
	}
	s.running = max(0, s.running-1)
	if !r.progressed {
		s.unanswered = max(0, s.unanswered-1)
		s.pendingTokens = max(0, s.pendingTokens-r.prefillTokens)
	}
	if failed {
		s.addFailures(now, 1)
	}
}

// FirstTokenOverhead returns the estimated part of the time to first token that depends neither on the queue nor on the length of the prompt.
func (p *Pool) FirstTokenOverhead() time.Duration { return milliseconds(p.prefill.overheadMS) }

// LearnedRates returns the estimated prefill rate in tokens per millisecond and the mean time of a plain service's request in milliseconds.
func (p *Pool) LearnedRates() (tokensPerMS, requestMS float64) {
	return p.prefill.tokensPerMS, p.meanRequestMS
}
