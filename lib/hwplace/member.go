package hwplace

import (
	"math"
	"time"
)

// upstreamState is the router's state for one upstream.
type upstreamState struct {
	upstream Upstream
	// hash is the 64-bit hash of the upstream's id, version that of its software.
	hash    uint64
	version VersionHash
	// cacheSlot is the upstream's slot in the cache index, and peers what the other routers have placed on it.
	cacheSlot int
	peers     *peerLoadSum
	// running counts this router's requests in flight at the upstream.
	running int
	// unanswered counts those of them from which nothing has been received yet.
	unanswered int
	// pendingTokens is the number of prompt tokens of the unanswered requests, which are not prefilled yet.
	pendingTokens float64
	// unansweredSince is when unanswered last rose from 0.
	unansweredSince time.Time
	// lastProgress is when the upstream last sent anything for one of this router's requests.
	lastProgress time.Time
	// failures is the exponentially decayed number of failures as of failuresAt.
	failures   float64
	failuresAt time.Time
	// slowdown is the moving average of the slowdown that the upstream reports, as of slowdownAt. 1 is normal speed; 0 means that it has reported none yet.
	slowdown   float64
	slowdownAt time.Time
	// reported is the newest load that the upstream reported, to this router or to a peer.
	reported reportedLoad
	// unreachablePeer is the peer that last failed to connect to the upstream, unreachableAt the time of that failure.
	unreachablePeer string
	unreachableAt   time.Time
	// notice is what the upstream has said of itself, or nil.
	notice *notice
	// cold is what is known of whether the upstream is cold, or nil.
	cold *coldState
	// speed is the model of the upstream's speed; it is used with Settings.UpstreamSpeeds.
	speed speedModel
}

const (
	// failureDecay is the time constant of the decay of failures: after it a failure has lost two thirds of its weight.
	failureDecay = 3 * time.Second
	// minFailures is the decayed count below which failures are ignored, because the remainder would still break ties between equal upstreams.
	minFailures = 0.05
	// slowdownDecay is the time constant of the average of reported slowdowns. Reports change many times a second.
	slowdownDecay = 700 * time.Millisecond
	// slowdownMaxAge is how long the averaged slowdown applies without a newer report.
	slowdownMaxAge = 4 * time.Second
	// silenceGrace is how long an upstream with unanswered requests may send nothing without a penalty. Prefill of a long prompt takes most of a second.
	silenceGrace = 900 * time.Millisecond
	// successCredit is the part of a failure that one answered request offsets.
	successCredit = 0.2
)

// recentFailures returns the decayed number of failures.
func (s *upstreamState) recentFailures(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	decayed := s.failures * math.Exp(-now.Sub(s.failuresAt).Seconds()/failureDecay.Seconds())
	if decayed < minFailures {
		return 0
	}
	return decayed
}

// addFailures adds to the decayed number of failures. A negative count offsets earlier failures.
func (s *upstreamState) addFailures(now time.Time, count float64) {
	s.failures = max(0, s.recentFailures(now)+count)
	s.failuresAt = now
}

// silenceMS returns for how many milliseconds beyond the grace period the upstream has sent nothing while requests were unanswered.
func (s *upstreamState) silenceMS(now time.Time) float64 {
	if s.unanswered == 0 {
		return 0
	}
	since := s.unansweredSince
	if s.lastProgress.After(since) {
		since = s.lastProgress
	}
	return max(0, (now.Sub(since)-silenceGrace).Seconds()*1000)
}

// slowdownFactor returns how many times longer than normal the upstream takes for its work, at least 1.
func (s *upstreamState) slowdownFactor(now time.Time) float64 {
	if s.slowdown == 0 || now.Sub(s.slowdownAt) > slowdownMaxAge {
		return 1
	}
	return max(1, s.slowdown)
}

// recordSlowdown adds the slowdown that an upstream reports to the moving average.
func (s *upstreamState) recordSlowdown(now time.Time, load Load) {
	if load.SlowdownPercent <= 0 {
		return
	}
	sample := float64(load.SlowdownPercent) / 100
	s.speed.recordSpell(now, sample)
	if s.slowdown == 0 {
		s.slowdown = sample
	} else {
		keep := math.Exp(-now.Sub(s.slowdownAt).Seconds() / slowdownDecay.Seconds())
		s.slowdown = s.slowdown*keep + sample*(1-keep)
	}
	s.slowdownAt = now
}
