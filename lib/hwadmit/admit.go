package hwadmit

import "time"

// Settings bound the wait with which requests are taken.
type Settings struct {
	// MaxWaitRatio is the largest estimated wait of an account within its share, as a part of the objective.
	MaxWaitRatio float64
	// UnusedShareFactor and OverPart scale that wait for an account that has had nothing of its share and for one that has had more than its share by OverSpan. In between the scale falls evenly and is 1 for an account that has all of its share.
	UnusedShareFactor float64
	OverShareFactor   float64
	OverShareRange    float64
	// RetryWaitFactor scales that wait for a returning caller of an account within its share: it would hardly come a third time.
	RetryWaitFactor float64
	// OverSharePrefillRatio is how long an account over its share by OverSpan may occupy an upstream, as a part of the objective. What is lent can't be taken back before it has been read, so the others would wait that long.
	OverSharePrefillRatio float64
	// MinRetryAfter is the shortest time after which a refused caller is asked back.
	MinRetryAfter time.Duration
	// RetryAfterJitter is added times a draw, so that refused callers do not return together.
	RetryAfterJitter time.Duration
}

// Request is what decides about one request.
type Request struct {
	// QueueWait is the estimated wait behind other work.
	QueueWait time.Duration
	// LatencyObjective is the time within which an answer is on time.
	LatencyObjective time.Duration
	// ShareUsage is the account's use as a part of its fair rate.
	ShareUsage float64
	// PrefillTime is how long the request would occupy the upstream before its first token.
	PrefillTime time.Duration
	// LikelyRetry tells that the caller was probably refused before.
	LikelyRetry bool
	// Random lies in [0, 1).
	Random float64
}

// Decision is a decision with its reason in figures.
type Decision struct {
	Admitted bool
	// MaxWait is the largest wait that would have been taken.
	MaxWait time.Duration
	// RetryAfter is when a refused caller should find room.
	RetryAfter time.Duration
}

// Decide takes or refuses a request. Within the account's share its own size does not count, so that large requests are not refused more often than small ones.
func (s Settings) Decide(r Request) Decision {
	part := s.MaxWaitRatio
	// over tells how far the account is over its share, up to 1.
	over := 0.0
	switch {
	case r.ShareUsage <= 0:
		// Everybody gets what they ask for.
	case r.ShareUsage < 1:
		part *= s.UnusedShareFactor + (1-s.UnusedShareFactor)*r.ShareUsage
	default:
		over = min(1, (r.ShareUsage-1)/s.OverShareRange)
		part *= 1 - (1-s.OverShareFactor)*over
	}
	if r.LikelyRetry && over == 0 {
		part *= s.RetryWaitFactor
	}
	limit := time.Duration(part * float64(r.LatencyObjective))
	lent := over * float64(r.PrefillTime)
	if r.QueueWait <= limit && lent <= s.OverSharePrefillRatio*float64(r.LatencyObjective) {
		return Decision{
			Admitted: true,
			MaxWait:  limit,
		}
	}
	return Decision{
		MaxWait:    limit,
		RetryAfter: max(s.MinRetryAfter, r.QueueWait-limit) + time.Duration(r.Random*float64(s.RetryAfterJitter)),
	}
}

// FairShareMaxWait returns the largest wait of an account that has all of its share.
func (s Settings) FairShareMaxWait(objective time.Duration) time.Duration {
	return time.Duration(s.MaxWaitRatio * float64(objective))
}
