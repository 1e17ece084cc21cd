package hwadmit

import (
	"math"
	"time"
)

// OverShare returns the share usage of the accounts that exceed their fair rate, as ShareUsage returns it. It is empty while the throughput covers all demand. The map belongs to the caller.
func (s *FairShares) OverShare(now time.Time, throughput float64) map[string]float64 {
	s.refresh(now, throughput)
	usage := map[string]float64{}
	if math.IsInf(s.fairRate, 1) || s.fairRate <= 0 {
		return usage
	}
	for account, rates := range s.fleetUsage {
		if ratio := rates.Admitted / s.fairRate; ratio >= 1 {
			usage[account] = ratio
		}
	}
	return usage
}

// FullyOverShare returns the share usage from which the limits for accounts over their share apply in full.
func (s Settings) FullyOverShare() float64 { return 1 + s.OverShareRange }

// EarlyRetryAfter returns the RetryAfter of a refusal without an estimate of the queue wait. Random is a random number in [0, 1).
func (s Settings) EarlyRetryAfter(random float64) time.Duration {
	return s.MinRetryAfter + time.Duration(random*float64(s.RetryAfterJitter))
}
