// Package hwhedge decides when a second attempt of a request, a hedge, is sent to another upstream while the first is still running, and limits the extra work.
//
// All decisions take the present time as an argument. A Policy is not safe for concurrent use.
package hwhedge

import "time"

// MaxRatio is the largest ratio of hedges to requests. Beyond it, hedges would take capacity that a pool needs when upstreams fail.
const MaxRatio = 0.2

// Settings configure a Policy.
type Settings struct {
	// Ratio is the largest ratio of hedges to requests, and of the prompt tokens that hedges make upstreams prefill to the prompt tokens of all requests, over Window. 0 disables hedges.
	Ratio float64
}

// RatioError reports a ratio outside the range from 0 to MaxRatio.
type RatioError struct{}

func (e *RatioError) Error() string { return "the hedge ratio must be between 0 and 0.2" }

// Check returns an error if the settings can't be used.
func (s Settings) Check() error {
	// The comparison is false for NaN.
	if s.Ratio >= 0 && s.Ratio <= MaxRatio {
		return nil
	}
	return &RatioError{}
}

// Reason is why a hedge was not sent.
type Reason string

// The reasons, in the order in which they are checked.
const (
	// Draining means that the router stops.
	Draining Reason = "draining"
	// SuspectRequest means that the request, or a part of its prompt, may crash upstreams.
	SuspectRequest Reason = "suspect-request"
	// AttemptsUsed means that the request has no attempt left.
	AttemptsUsed Reason = "attempts-used"
	// PoolBusy means that the pool has few free slots, or requests wait at most of its upstreams.
	PoolBusy Reason = "pool-busy"
	// NoUpstream means that no other upstream takes requests.
	NoUpstream Reason = "no-upstream"
	// WaitTooLong means that admission would refuse the request at the other upstream.
	WaitTooLong Reason = "wait-too-long"
	// LittleTime means that the other upstream would not answer before the deadline.
	LittleTime Reason = "little-time"
	// RouterLate means that this router runs late itself, so that an answer may have arrived without having been read.
	RouterLate Reason = "router-late"
	// NotFaster means that the other upstream is not expected to answer well before the first.
	NotFaster Reason = "not-faster"
	// RequestLimit and TokenLimit mean that the limit on extra requests or extra prompt tokens is reached.
	RequestLimit Reason = "request-limit"
	TokenLimit   Reason = "token-limit"
	// RetryBudget means that what is left of the retry budget is kept for retries after failures.
	RetryBudget Reason = "retry-budget"
)

const (
	// minFreeRatio is the part of a pool's slots that must be free.
	minFreeRatio = 0.25
	// maxWaitingRatio is the largest part of a pool's upstreams at which a new request may have to wait.
	maxWaitingRatio = 0.5
	// maxEstimateRatio is the largest time that the other upstream is expected to take, as a ratio of what the first is expected to take on. Estimates are often off by half.
	maxEstimateRatio = 0.5
	// maxLateness is how late a decision may be made. Beyond it the router is short of CPU time, and answers may wait to be read.
	maxLateness = 50 * time.Millisecond
	// maxChecks is how often a decision that may soon be another is made for one request.
	maxChecks = 3
)

// Situation is what a decision depends on.
type Situation struct {
	// Draining is set while the router stops.
	Draining bool
	// Suspect is set for a request that may crash upstreams.
	Suspect bool
	// AttemptsLeft is how many more attempts the request may have while the first is running.
	AttemptsLeft int
	// Slots and FreeSlots are those of the pool's upstreams that take requests.
	Slots     int
	FreeSlots int
	// Upstreams is the number of those upstreams, and WaitingUpstreams the number of those at which a new request would wait.
	Upstreams        int
	WaitingUpstreams int
	// Found is set if another upstream takes the request. The fields below apply to it.
	Found bool
	// Admitted is set if admission accepts the wait there.
	Admitted bool
	// Estimate is the estimated time until the answer, or the first event of a stream.
	Estimate time.Duration
	// Tokens is the number of prompt tokens that it would prefill.
	Tokens int
	// Elapsed is how long the first attempt has run, and Due when after its start the decision was to be made.
	Elapsed time.Duration
	Due     time.Duration
	// FirstEstimate is how long the first attempt was expected to take in all.
	FirstEstimate time.Duration
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Checks is the number of earlier decisions about the request.
	Checks int
}

// Decision is the outcome for one request.
type Decision struct {
	Hedge bool
	// Reason is why there is no hedge.
	Reason Reason
	// CheckAgain is how long after the start of the first attempt to decide again, or 0 if the decision is final.
	CheckAgain time.Duration
}

// Policy decides about hedges.
type Policy struct {
	settings  Settings
	latencies map[Class]*latencies
	requests  window
	hedges    window
}

// New returns a policy that has seen no request.
func New(settings Settings) *Policy {
	return &Policy{
		settings:  settings,
		latencies: map[Class]*latencies{},
	}
}

// RecordRequest records that a request with a prompt of the given length is sent to its first upstream.
func (p *Policy) RecordRequest(now time.Time, tokens int) { p.requests.add(now, tokens) }

// RecordHedge records that a hedge is sent that makes its upstream prefill the given number of tokens.
func (p *Policy) RecordHedge(now time.Time, tokens int) { p.hedges.add(now, tokens) }

// Decide decides whether a hedge is sent. The caller records it with RecordHedge.
func (p *Policy) Decide(now time.Time, s Situation) Decision {
	switch {
	case s.Draining:
		return suppressed(Draining)
	case s.Suspect:
		return suppressed(SuspectRequest)
	case s.AttemptsLeft < 1:
		return suppressed(AttemptsUsed)
	case float64(s.FreeSlots) < minFreeRatio*float64(s.Slots) || float64(s.WaitingUpstreams) > maxWaitingRatio*float64(s.Upstreams):
		return suppressed(PoolBusy)
	case !s.Found:
		return suppressed(NoUpstream)
	case !s.Admitted:
		return suppressed(WaitTooLong)
	case s.Estimate > s.TimeLeft:
		return suppressed(LittleTime)
	case s.Elapsed-s.Due > maxLateness:
		return checkAgain(RouterLate, s, s.Elapsed+maxLateness)
	}
	// An attempt that is late already is expected to take as long again: the longer it has been silent, the longer its upstream's trouble is likely to last.
	remaining := max(s.Elapsed, s.FirstEstimate-s.Elapsed)
	if float64(s.Estimate) > maxEstimateRatio*float64(remaining) {
		return checkAgain(NotFaster, s, time.Duration(float64(s.Estimate)/maxEstimateRatio)+time.Millisecond)
	}
	return p.decideLimit(now, s)
}

// decideLimit decides whether the limit allows one more hedge.
func (p *Policy) decideLimit(now time.Time, s Situation) Decision {
	requests, tokens := p.requests.sum(now, windowBuckets)
	// One bucket more covers all of the window, although the present bucket has only begun.
	hedges, hedgeTokens := p.hedges.sum(now, windowBuckets+1)
	if float64(hedges+1) > p.settings.Ratio*float64(requests) {
		return suppressed(RequestLimit)
	}
	if float64(hedgeTokens+s.Tokens) > p.settings.Ratio*float64(tokens) {
		return suppressed(TokenLimit)
	}
	return Decision{
		Hedge: true,
	}
}

func suppressed(reason Reason) Decision {
	return Decision{
		Reason: reason,
	}
}

// checkAgain returns a decision that is to be repeated at the given time after the start of the first attempt, unless it has been made too often.
func checkAgain(reason Reason, s Situation, at time.Duration) Decision {
	decision := suppressed(reason)
	if s.Checks < maxChecks {
		decision.CheckAgain = max(at, s.Elapsed+time.Millisecond)
	}
	return decision
}

// Reasons returns all reasons in the order in which they are checked.
func Reasons() []Reason {
	return []Reason{
		Draining, SuspectRequest, AttemptsUsed, PoolBusy, NoUpstream, WaitTooLong, LittleTime,
		RouterLate, NotFaster, RequestLimit, TokenLimit, RetryBudget,
	}
}
