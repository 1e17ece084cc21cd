package hwplace

import (
	"math"
	"time"
)

const (
	// spellDecay is the time constant at which a reported slowdown falls back to the upstream's lasting mean. Spells of slowness last some 600 ms.
	spellDecay = 400 * time.Millisecond
	// slowdownPriorWeight is the number of reports of normal speed that the lasting mean starts with, so that one report from a spell doesn't count as lasting.
	slowdownPriorWeight = 4
	// maxSlowdown bounds reported slowdowns.
	maxSlowdown = 20
)

// recordSpell adds a reported slowdown, 1 at normal speed, to the lasting mean.
func (m *speedModel) recordSpell(now time.Time, slowdown float64) {
	slowdown = min(maxSlowdown, max(1, slowdown))
	m.slowdowns.add(now, slowdown, 1)
	if !now.Before(m.lastSlowdownAt) {
		m.lastSlowdown = slowdown
		m.lastSlowdownAt = now
	}
}

// lastingSlowdown returns the mean of the reported slowdowns over time.
func (m *speedModel) lastingSlowdown(now time.Time) float64 {
	keep := m.slowdowns.keep(now)
	return (m.slowdowns.sum*keep + slowdownPriorWeight) / (m.slowdowns.weight*keep + slowdownPriorWeight)
}

// currentSlowdown returns how many times longer than normal the upstream takes at present, at least 1: the newest report, which falls back to the lasting mean with its age.
func (s *upstreamState) currentSlowdown(now time.Time) float64 {
	m := &s.speed
	if m.lastSlowdown == 0 {
		return 1
	}
	lasting := m.lastingSlowdown(now)
	age := max(0, now.Sub(m.lastSlowdownAt).Seconds())
	return lasting + (m.lastSlowdown-lasting)*math.Exp(-age/spellDecay.Seconds())
}
