package hwadmit

import "time"

// Settings are the limits of admission.
type Settings struct {
	// MaxWaitRatio is the longest queue wait with which a request of an account exactly at its fair share is admitted, as a ratio of the latency objective.
	MaxWaitRatio float64
	// UnusedShareFactor multiplies that wait for an account that has used nothing of its share and for all accounts while the throughput covers all demand, OverShareFactor for one that has exceeded its share by OverShareRange or more, as a ratio of the share. In between the factor is interpolated linearly; it is 1 for an account at its share.
	UnusedShareFactor float64
	OverShareFactor   float64
	OverShareRange    float64
	// OverSharePrefillRatio is the longest prefill that is admitted for an account over its share by OverShareRange or more, as a ratio of the latency objective. A running prefill can't be preempted, so the requests of other accounts would wait that long.
	OverSharePrefillRatio float64
	// MinRetryAfter is the shortest time after which a refused caller may retry.
	MinRetryAfter time.Duration
	// RetryAfterJitter is the range of the random addition to that time. It keeps refused callers from retrying at the same moment.
	RetryAfterJitter time.Duration
}

// Request is what the decision about a request depends on.
type Request struct {
	// QueueWait is the estimated wait behind other requests.
	QueueWait time.Duration
	// LatencyObjective is the time within which an answer is on time.
	LatencyObjective time.Duration
	// ShareUsage is the account's admitted rate as a ratio of its fair rate, or 0 without contention.
	ShareUsage float64
	// PrefillTime is how long the request would occupy the upstream before its first token.
	PrefillTime time.Duration
	// Random is a random number in [0, 1) for the jitter.
	Random float64
}

// Decision is the outcome of admission control for one request.
type Decision struct {
	Admitted bool
	// MaxWait is the longest queue wait with which the request would be admitted.
	MaxWait time.Duration
	// RetryAfter is when a refused caller should retry.
	RetryAfter time.Duration
}

// Decide admits or refuses a request. Within the account's share the size of the request doesn't count, so that large requests are not refused more often than small ones.
func (s Settings) Decide(r Request) Decision {
	ratio := s.MaxWaitRatio
	// excess is how far the account exceeds its share, as a ratio of OverShareRange and at most 1.
	excess := 0.0
	if r.ShareUsage < 1 {
		ratio *= s.UnusedShareFactor + (1-s.UnusedShareFactor)*r.ShareUsage
	} else {
		excess = min(1, (r.ShareUsage-1)/s.OverShareRange)
		ratio *= 1 - (1-s.OverShareFactor)*excess
	}
	maxWait := time.Duration(ratio * float64(r.LatencyObjective))
	prefill := excess * float64(r.PrefillTime)
	if r.QueueWait <= maxWait && prefill <= s.OverSharePrefillRatio*float64(r.LatencyObjective) {
		return Decision{
			Admitted: true,
			MaxWait:  maxWait,
		}
	}
	return Decision{
		MaxWait:    maxWait,
		RetryAfter: max(s.MinRetryAfter, r.QueueWait-maxWait) + time.Duration(r.Random*float64(s.RetryAfterJitter)),
	}
}

// FairShareMaxWait returns the longest admitted queue wait of an account exactly at its share.
func (s Settings) FairShareMaxWait(objective time.Duration) time.Duration {
	return time.Duration(s.MaxWaitRatio * float64(objective))
}
