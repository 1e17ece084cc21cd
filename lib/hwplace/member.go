package hwplace

import (
	"math"
	"time"
)

// member is one upstream and what the router has seen of it.
type member struct {
	upstream Upstream
	// hash is that of the upstream's id.
	hash uint64
	// running are the router's own requests there, waiting those that have no answer yet, tokens their prompts that are not read yet.
	running int
	waiting int
	tokens  float64
	// waitingSince is when the oldest of the present run of unanswered requests was sent, progressed when anything came from the upstream.
	waitingSince time.Time
	progressed   time.Time
	// failures decays; failedAt is when it was last computed.
	failures float64
	failedAt time.Time
	// slow is the mean of what the upstream says of its speed, 1 is as usual.
	slow   float64
	slowAt time.Time
	// said is the newest load that it told this router or a peer.
	said said
	// blamedBy is the peer that last told that it is unreachable, at blamedAt.
	blamedBy string
	blamedAt time.Time
}

const (
	// troubleDecay is the time in which a failure loses two thirds of its weight.
	troubleDecay = 3 * time.Second
	// troubleForgotten is when a failure is forgotten altogether; less would still decide between equals.
	troubleForgotten = 0.05
	// slowDecay is the time over which an upstream's reports of its speed are averaged: they change many times a second.
	slowDecay = 700 * time.Millisecond
	// slowForget is how long a report of slowness counts without a newer one.
	slowForget = 4 * time.Second
	// quietAllowed is how long an upstream may leave a request without any sign before it counts as silent. Reading a long prompt takes most of a second.
	quietAllowed = 900 * time.Millisecond
	// goodAnswer is how much of a failure an answer makes up for.
	goodAnswer = 0.2
)

// trouble returns the decayed number of recent failures.
func (m *member) trouble(now time.Time) float64 {
	if m.failures == 0 {
		return 0
	}
	left := m.failures * math.Exp(-now.Sub(m.failedAt).Seconds()/troubleDecay.Seconds())
	if left < troubleForgotten {
		return 0
	}
	return left
}

func (m *member) addTrouble(now time.Time, amount float64) {
	m.failures = max(0, m.trouble(now)+amount)
	m.failedAt = now
}

// silence returns for how many milliseconds the upstream has kept requests waiting without any sign, beyond what is usual.
func (m *member) silence(now time.Time) float64 {
	if m.waiting == 0 {
		return 0
	}
	since := m.waitingSince
	if m.progressed.After(since) {
		since = m.progressed
	}
	return max(0, (now.Sub(since)-quietAllowed).Seconds()*1000)
}

// slowness returns how many times longer than usual work takes.
func (m *member) slowness(now time.Time) float64 {
	if m.slow == 0 || now.Sub(m.slowAt) > slowForget {
		return 1
	}
	return max(1, m.slow)
}

// report takes what an upstream says of its speed.
func (m *member) report(now time.Time, load Load) {
	if load.SlowdownPercent <= 0 {
		return
	}
	said := float64(load.SlowdownPercent) / 100
	if m.slow == 0 {
		m.slow = said
	} else {
		keep := math.Exp(-now.Sub(m.slowAt).Seconds() / slowDecay.Seconds())
		m.slow = m.slow*keep + said*(1-keep)
	}
	m.slowAt = now
}

// rate learns how many prompt tokens an engine reads in a millisecond while it also generates.
type rate struct {
	tokensPerMS float64
}

const (
	// rateSample is the smallest work from which the rate is learned, in tokens: short prompts tell more about the constant part.
	rateSample = 4000
	// aheadPart is the largest work ahead of a sample, as a part of its own. What peers report may have been read already, and would make the engine look faster than it is.
	aheadPart = 0.25
	// rateStep is the part of a sample that is taken over.
	rateStep = 0.02
	// firstTokenMS is FirstToken in milliseconds.
	firstTokenMS = 100
	// The learned rate stays within these bounds, in tokens per millisecond.
	rateLow  = 10
	rateHigh = 400
)

// FirstTokenOverhead is the part of the time to a first token that does not depend on the work ahead.
const FirstTokenOverhead = firstTokenMS * time.Millisecond

func (r *rate) learn(own, ahead float64, took time.Duration) {
	ms := took.Seconds()*1000 - firstTokenMS
	tokens := own + ahead
	if tokens < rateSample || ahead > aheadPart*own || ms <= 0 {
		return
	}
	sample := min(rateHigh, max(rateLow, tokens/ms))
	r.tokensPerMS += rateStep * (sample - r.tokensPerMS)
}
