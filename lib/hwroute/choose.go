// Package hwroute selects an upstream among those with a free slot.
package hwroute

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Candidate is an upstream that may take a request.
type Candidate struct {
	Upstream   string
	Zone       string
	SlotsInUse int
	FreeSlots  int
	// SecondsPerUnit is the time that the upstream takes per cost unit at its current load; 0 means unknown.
	SecondsPerUnit float64
	// Probe marks an upstream that needs one request to measure its health. It takes precedence over all other candidates, because two random choices would rarely pick it.
	Probe bool
}

// Settings are the parameters of a Chooser.
type Settings struct {
	// Zone is the router's own zone.
	Zone string
	// MaxAffinityEntries is the maximum number of prefixes whose upstream is recorded; 0 disables prefix affinity.
	MaxAffinityEntries int
	// AffinityDiscount is the fraction of the expected time that is saved if the prefix is cached.
	AffinityDiscount float64
	// CrossZonePenalty is the time added for an upstream in another zone, in seconds.
	CrossZonePenalty float64
}

// Chooser selects upstreams by the power of two choices: of two random candidates, it takes the one with the lower expected time.
// It records which upstream last received each prompt prefix. This is only a hint, because the engine may have evicted the prefix from its cache since.
type Chooser struct {
	settings      Settings
	random        *rand.Rand
	affinity      map[uint64]string
	evictionOrder []uint64
}

// NewChooser returns a chooser that takes its random numbers from source.
func NewChooser(settings Settings, source rand.Source) *Chooser {
	return &Chooser{
		settings: settings,
		random:   rand.New(source),
		affinity: map[uint64]string{},
	}
}

// Choose returns the upstream for a request of the given cost in cost units, or false if no candidate is eligible.
// A prefix of 0 means that the request has none. Upstreams in excluded have already been tried.
func (c *Chooser) Choose(candidates []Candidate, prefix uint64, cost float64, excluded []string) (string, bool) {
	eligible := make([]Candidate, 0, len(candidates))
	warmIndex := -1
	for _, candidate := range candidates {
		if candidate.FreeSlots <= 0 || slices.Contains(excluded, candidate.Upstream) {
			continue
		}
		if candidate.Probe {
			return candidate.Upstream, true
		}
		if prefix != 0 && c.affinity[prefix] == candidate.Upstream {
			warmIndex = len(eligible)
		}
		eligible = append(eligible, candidate)
	}
	if len(eligible) == 0 {
		return "", false
	}
	best := c.pickOfTwo(eligible, cost)
	if warmIndex >= 0 && c.expectedTime(eligible[warmIndex], cost)*(1-c.settings.AffinityDiscount) <= c.expectedTime(best, cost) {
		best = eligible[warmIndex]
	}
	c.recordAffinity(prefix, best.Upstream)
	return best.Upstream, true
}

// pickOfTwo returns the better of two random candidates, which may be the same one.
func (c *Chooser) pickOfTwo(eligible []Candidate, cost float64) Candidate {
	first := eligible[c.random.IntN(len(eligible))]
	second := eligible[c.random.IntN(len(eligible))]
	if comparison := cmp.Compare(c.expectedTime(first, cost), c.expectedTime(second, cost)); comparison > 0 {
		return second
	}
	return first
}

// expectedTime returns the expected time of a request in seconds. If SecondsPerUnit is unknown, the load stands in for the time.
func (c *Chooser) expectedTime(candidate Candidate, cost float64) float64 {
	load := float64(candidate.SlotsInUse+1) / float64(candidate.SlotsInUse+candidate.FreeSlots)
	expected := load
	if candidate.SecondsPerUnit > 0 {
		expected = candidate.SecondsPerUnit * cost * (1 + load)
	}
	if candidate.Zone != c.settings.Zone {
		expected += c.settings.CrossZonePenalty
	}
	return expected
}

// recordAffinity records the upstream of a prefix and evicts the oldest prefix if there are too many.
func (c *Chooser) recordAffinity(prefix uint64, upstream string) {
	if prefix == 0 || c.settings.MaxAffinityEntries == 0 {
		return
	}
	if _, known := c.affinity[prefix]; !known {
		c.evictionOrder = append(c.evictionOrder, prefix)
	}
	c.affinity[prefix] = upstream
	if len(c.evictionOrder) > c.settings.MaxAffinityEntries {
		delete(c.affinity, c.evictionOrder[0])
		c.evictionOrder = c.evictionOrder[1:]
	}
}
