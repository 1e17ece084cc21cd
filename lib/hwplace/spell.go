package hwplace

import "time"

const (
	// spellMaxAge is the age at which the average of reported slowdowns stops counting; its weight falls linearly until then, in favour of the upstream's lasting mean. The average itself lags by 0.7 s, and spells of slowness last some 600 ms. Falls with time constants of 0.1, 0.2, 0.4 and 1 s were compared: the last two gave more late first tokens (docs/design/engine-speeds.md).
	spellMaxAge = 400 * time.Millisecond
	// slowdownPriorWeight is the number of reports of normal speed that the lasting mean starts with, so that one report from a spell doesn't count as lasting.
	slowdownPriorWeight = 4
	// maxSlowdown bounds reported slowdowns.
	maxSlowdown = 20
)

// clampSlowdown clamps a slowdown to its bounds.
func clampSlowdown(slowdown float64) float64 { return min(maxSlowdown, max(1, slowdown)) }

// recordSpell adds a reported slowdown, 1 at normal speed, to the lasting mean.
func (m *speedModel) recordSpell(now time.Time, slowdown float64) {
	m.slowdowns.add(now, clampSlowdown(slowdown), 1)
	m.refreshLasting(now)
}

// refreshLasting computes the mean of the reported slowdowns. It is kept because each choice of an upstream reads it for all of them.
func (m *speedModel) refreshLasting(now time.Time) {
	weight := m.slowdowns.weightAt(now)
	m.lasting = 1 + (m.slowdowns.mean()-1)*weight/(weight+slowdownPriorWeight)
}

// currentSlowdown returns how many times longer than normal the upstream takes at present, at least 1: the average of its last reports, which falls back to the lasting mean with its age.
func (s *upstreamState) currentSlowdown(now time.Time) float64 {
	if s.slowdown == 0 {
		return 1
	}
	age := max(0, now.Sub(s.slowdownAt))
	if age >= spellMaxAge {
		return s.speed.lasting
	}
	weight := 1 - float64(age)/float64(spellMaxAge)
	return s.speed.lasting + (clampSlowdown(s.slowdown)-s.speed.lasting)*weight
}
