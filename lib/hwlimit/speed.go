// Package hwlimit detects slow and unreachable upstreams from the router's own requests (passive health checking).
//
// Engines report their load with a delay. The detector therefore measures the time between tokens and the time to first byte of the router's own attempts, and compares it with the median of the pool.
package hwlimit

import (
	"slices"
	"time"
)

// OutlierSettings are the settings of an OutlierDetector.
type OutlierSettings struct {
	// MaxSampleAge is how long the mean of an upstream is valid after its last sample. A later sample starts a new mean.
	MaxSampleAge time.Duration
	// SlowPermille is the ratio of an upstream's time per cost unit to the pool's median, in thousandths, from which the upstream counts as slow.
	SlowPermille int
	// RecoveredPermille is the ratio in thousandths up to which a slow upstream counts as recovered.
	RecoveredPermille int
	// MinSamples is how many samples an evaluation needs.
	MinSamples int
}

type speedAverage struct {
	// secondsPerUnit is the running mean of the time per cost unit.
	secondsPerUnit float64
	samples        int
	slow           bool
	// slownessPermille is the result of the last evaluation. It stays valid while there are too few current samples for another.
	slownessPermille int
	lastSampleAt     time.Time
}

// OutlierDetector detects the slow upstreams of a pool by the mean time that a cost unit takes at each.
type OutlierDetector struct {
	settings  OutlierSettings
	upstreams map[string]*speedAverage
}

// NewOutlierDetector returns a detector without samples.
func NewOutlierDetector(settings OutlierSettings) *OutlierDetector {
	return &OutlierDetector{
		settings:  settings,
		upstreams: map[string]*speedAverage{},
	}
}

// minSampleWeight is the weight of a new sample in the running mean after the first 1/minSampleWeight samples, which have equal weights.
const minSampleWeight = 0.05

// Observe adds a sample of the time that one cost unit took at an upstream.
func (d *OutlierDetector) Observe(now time.Time, upstream string, perUnit time.Duration) {
	average, known := d.upstreams[upstream]
	if !known || now.Sub(average.lastSampleAt) > d.settings.MaxSampleAge {
		restarted := &speedAverage{}
		if known {
			restarted.slow = average.slow
			restarted.slownessPermille = average.slownessPermille
		}
		average = restarted
		d.upstreams[upstream] = average
	}
	average.lastSampleAt = now
	average.samples++
	weight := max(minSampleWeight, 1/float64(average.samples))
	average.secondsPerUnit += weight * (perUnit.Seconds() - average.secondsPerUnit)
}

// Remove removes an upstream that left the pool.
func (d *OutlierDetector) Remove(upstream string) { delete(d.upstreams, upstream) }

// Evaluation is the detector's result for an upstream.
type Evaluation struct {
	Upstream string
	// SlownessPermille is the ratio of the upstream's time per cost unit to the pool's median, in thousandths; 0 means not evaluated yet.
	SlownessPermille int
	Slow             bool
	// Changed reports whether Slow differs from the previous evaluation.
	Changed bool
}

// Evaluate compares every upstream with the median of the pool.
func (d *OutlierDetector) Evaluate(now time.Time) []Evaluation {
	var means []float64
	var names []string
	for name, average := range d.upstreams {
		names = append(names, name)
		if d.hasCurrentMean(now, average) {
			means = append(means, average.secondsPerUnit)
		}
	}
	slices.Sort(names)
	slices.Sort(means)
	evaluations := make([]Evaluation, 0, len(names))
	for _, name := range names {
		evaluations = append(evaluations, d.evaluate(now, name, means))
	}
	return evaluations
}

// hasCurrentMean reports whether an upstream has enough samples and a recent one.
func (d *OutlierDetector) hasCurrentMean(now time.Time, average *speedAverage) bool {
	return average.samples >= d.settings.MinSamples && now.Sub(average.lastSampleAt) <= d.settings.MaxSampleAge
}

func (d *OutlierDetector) evaluate(now time.Time, name string, means []float64) Evaluation {
	average := d.upstreams[name]
	evaluation := Evaluation{
		Upstream: name,
	}
	// With fewer than three upstreams, the median does not distinguish slow ones from fast ones.
	if len(means) < 3 || !d.hasCurrentMean(now, average) {
		evaluation.Slow = average.slow
		evaluation.SlownessPermille = average.slownessPermille
		return evaluation
	}
	median := means[len(means)/2]
	average.slownessPermille = int(1000 * average.secondsPerUnit / max(median, 1e-9))
	evaluation.SlownessPermille = average.slownessPermille
	wasSlow := average.slow
	switch {
	case evaluation.SlownessPermille >= d.settings.SlowPermille:
		average.slow = true
	case evaluation.SlownessPermille <= d.settings.RecoveredPermille:
		average.slow = false
	}
	evaluation.Slow = average.slow
	evaluation.Changed = wasSlow != average.slow
	return evaluation
}

// SecondsPerUnit returns the mean time of one cost unit at an upstream in seconds, or 0 without samples.
func (d *OutlierDetector) SecondsPerUnit(upstream string) float64 {
	if average, known := d.upstreams[upstream]; known {
		return average.secondsPerUnit
	}
	return 0
}

// Slow reports whether an upstream counts as slow.
func (d *OutlierDetector) Slow(upstream string) bool {
	average, known := d.upstreams[upstream]
	return known && average.slow
}
