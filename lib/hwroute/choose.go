// Package hwroute chooses an upstream among those that have a free slot.
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
	// SecondsPerUnit is how long the upstream takes for one cost unit at its present load; 0 is unknown.
	SecondsPerUnit float64
	// Probe asks for one request to see how the upstream does; it goes before all others, because two random choices would hardly ever pick it.
	Probe bool
}

// Settings weigh the reasons to prefer an upstream.
type Settings struct {
	Zone string
	// MaxAffinityEntries bounds the prefixes that are remembered.
	MaxAffinityEntries int
	// AffinityDiscount is the part of the expected time that a warm prefix saves.
	AffinityDiscount float64
	// CrossZonePenalty is the added time of another zone, in seconds.
	CrossZonePenalty float64
}

// Chooser picks upstreams by two random choices and the lower expected time.
// It remembers where prompts with the same prefix went; engines may have dropped the prefix since, so this is only a hint.
type Chooser struct {
	settings Settings
	random   *rand.Rand
	affinity map[uint64]string
	order    []uint64
}

// NewChooser returns a chooser that draws from the given source.
func NewChooser(settings Settings, source rand.Source) *Chooser {
	return &Chooser{
		settings: settings,
		random:   rand.New(source),
		affinity: map[uint64]string{},
	}
}

// Choose returns the upstream for a request of the given cost in cost units, or false without a candidate.
// A prefix of zero is none. Excluded upstreams were tried already.
func (c *Chooser) Choose(candidates []Candidate, prefix uint64, cost float64, excluded []string) (string, bool) {
	open := make([]Candidate, 0, len(candidates))
	warm := -1
	for _, candidate := range candidates {
		if candidate.FreeSlots <= 0 || slices.Contains(excluded, candidate.Upstream) {
			continue
		}
		if candidate.Probe {
			return candidate.Upstream, true
		}
		if prefix != 0 && c.affinity[prefix] == candidate.Upstream {
			warm = len(open)
		}
		open = append(open, candidate)
	}
	if len(open) == 0 {
		return "", false
	}
	best := c.better(open, cost)
	if warm >= 0 && c.expected(open[warm], cost)*(1-c.settings.AffinityDiscount) <= c.expected(best, cost) {
		best = open[warm]
	}
	c.remember(prefix, best.Upstream)
	return best.Upstream, true
}

func (c *Chooser) better(open []Candidate, cost float64) Candidate {
	first := open[c.random.IntN(len(open))]
	second := open[c.random.IntN(len(open))]
	if order := cmp.Compare(c.expected(first, cost), c.expected(second, cost)); order > 0 {
		return second
	}
	return first
}

// expected returns the expected time in seconds; without an observation the load alone decides.
func (c *Chooser) expected(candidate Candidate, cost float64) float64 {
	load := float64(candidate.SlotsInUse+1) / float64(candidate.SlotsInUse+candidate.FreeSlots)
	time := load
	if candidate.SecondsPerUnit > 0 {
		time = candidate.SecondsPerUnit * cost * (1 + load)
	}
	if candidate.Zone != c.settings.Zone {
		time += c.settings.CrossZonePenalty
	}
	return time
}

func (c *Chooser) remember(prefix uint64, upstream string) {
	if prefix == 0 || c.settings.MaxAffinityEntries == 0 {
		return
	}
	if _, known := c.affinity[prefix]; !known {
		c.order = append(c.order, prefix)
	}
	c.affinity[prefix] = upstream
	if len(c.order) > c.settings.MaxAffinityEntries {
		delete(c.affinity, c.order[0])
		c.order = c.order[1:]
	}
}
