package hwadmit

import "time"

// Settings bound the wait with which requests are taken.
type Settings struct {
	// WaitPart is the largest estimated wait of an account within its share, as a part of the objective.
	WaitPart float64
	// UnderPart and OverPart scale that wait for an account that has had nothing of its share and for one that has had more than its share by OverSpan. In between the scale falls evenly and is 1 for an account that has all of its share.
	UnderPart float64
	OverPart  float64
	OverSpan  float64
	// ReturningPart scales that wait for a returning caller of an account within its share: it would hardly come a third time.
	ReturningPart float64
	// LendPart is how long an account over its share by OverSpan may occupy an upstream, as a part of the objective. What is lent can't be taken back before it has been read, so the others would wait that long.
	LendPart float64
	// ReturnFloor is the shortest time after which a refused caller is asked back.
	ReturnFloor time.Duration
	// ReturnSpread is added times a draw, so that refused callers do not return together.
	ReturnSpread time.Duration
}

// Request is what decides about one request.
type Request struct {
	// Wait is the estimated wait behind other work.
	Wait time.Duration
	// Objective is the time within which an answer is on time.
	Objective time.Duration
	// Ratio is the account's use as a part of its fair rate.
	Ratio float64
	// Reading is how long the request would occupy the upstream before its first token.
	Reading time.Duration
	// Returning tells that the caller was probably refused before.
	Returning bool
	// Draw lies in [0, 1).
	Draw float64
}

// Verdict is a decision with its reason in figures.
type Verdict struct {
	Admitted bool
	// Limit is the largest wait that would have been taken.
	Limit time.Duration
	// RetryAfter is when a refused caller should find room.
	RetryAfter time.Duration
}

// Decide takes or refuses a request. Within the account's share its own size does not count, so that large requests are not refused more often than small ones.
func (s Settings) Decide(r Request) Verdict {
	part := s.WaitPart
	// over tells how far the account is over its share, up to 1.
	over := 0.0
	switch {
	case r.Ratio <= 0:
		// Everybody gets what they ask for.
	case r.Ratio < 1:
		part *= s.UnderPart + (1-s.UnderPart)*r.Ratio
	default:
		over = min(1, (r.Ratio-1)/s.OverSpan)
		part *= 1 - (1-s.OverPart)*over
	}
	if r.Returning && over == 0 {
		part *= s.ReturningPart
	}
	limit := time.Duration(part * float64(r.Objective))
	lent := over * float64(r.Reading)
	if r.Wait <= limit && lent <= s.LendPart*float64(r.Objective) {
		return Verdict{
			Admitted: true,
			Limit:    limit,
		}
	}
	return Verdict{
		Limit:      limit,
		RetryAfter: max(s.ReturnFloor, r.Wait-limit) + time.Duration(r.Draw*float64(s.ReturnSpread)),
	}
}

// Limit returns the largest wait of an account that has all of its share.
func (s Settings) Limit(objective time.Duration) time.Duration {
	return time.Duration(s.WaitPart * float64(objective))
}
