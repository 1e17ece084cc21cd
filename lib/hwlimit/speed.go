// Package hwlimit detects slowed upstreams from what the router itself observes.
//
// Engines report their load with a lag, so the detector uses the time between tokens and the time to the first byte of the router's own attempts, against the median of the pool.
package hwlimit

import (
	"slices"
	"time"
)

// OutlierSettings are the times and thresholds of the detector.
type OutlierSettings struct {
	// MaxSampleAge is how long an observation counts.
	MaxSampleAge time.Duration
	// SlowPermille is the speed against the pool's median, in thousandths, from which an upstream counts as slow.
	SlowPermille int
	// RecoveredPermille is the speed below which a slow upstream counts as recovered.
	RecoveredPermille int
	// MinSamples is how many observations a judgement needs.
	MinSamples int
}

type speed struct {
	gap     float64
	samples int
	slow    bool
	// permille is the last judgement; it stands while there is nothing newer.
	permille int
	seenAt   time.Time
}

// OutlierDetector keeps one mean gap per upstream of a pool.
type OutlierDetector struct {
	settings  OutlierSettings
	upstreams map[string]*speed
}

// NewOutlierDetector returns a detector without observations.
func NewOutlierDetector(settings OutlierSettings) *OutlierDetector {
	return &OutlierDetector{
		settings:  settings,
		upstreams: map[string]*speed{},
	}
}

// learningRate is the weight of the newest gap in the running mean.
const learningRate = 0.05

// Observe takes the time that one cost unit took at an upstream.
func (d *OutlierDetector) Observe(now time.Time, upstream string, gap time.Duration) {
	row, known := d.upstreams[upstream]
	if !known || now.Sub(row.seenAt) > d.settings.MaxSampleAge {
		fresh := &speed{}
		if known {
			fresh.slow = row.slow
			fresh.permille = row.permille
		}
		row = fresh
		d.upstreams[upstream] = row
	}
	row.seenAt = now
	row.samples++
	rate := max(learningRate, 1/float64(row.samples))
	row.gap += rate * (gap.Seconds() - row.gap)
}

// Remove drops an upstream that is gone.
func (d *OutlierDetector) Remove(upstream string) { delete(d.upstreams, upstream) }

// Evaluation is what the detector thinks of an upstream.
type Evaluation struct {
	Upstream string
	// SlownessPermille is the upstream's gap against the pool's median, in thousandths; 0 is no judgement.
	SlownessPermille int
	Slow             bool
	// Changed tells that Slow differs from the last judgement.
	Changed bool
}

// Evaluate compares every upstream with the median of the pool.
func (d *OutlierDetector) Evaluate(now time.Time) []Evaluation {
	var gaps []float64
	var names []string
	for name, row := range d.upstreams {
		names = append(names, name)
		if d.fresh(now, row) {
			gaps = append(gaps, row.gap)
		}
	}
	slices.Sort(names)
	slices.Sort(gaps)
	judgements := make([]Evaluation, 0, len(names))
	for _, name := range names {
		judgements = append(judgements, d.judge(now, name, gaps))
	}
	return judgements
}

func (d *OutlierDetector) fresh(now time.Time, row *speed) bool {
	return row.samples >= d.settings.MinSamples && now.Sub(row.seenAt) <= d.settings.MaxSampleAge
}

func (d *OutlierDetector) judge(now time.Time, name string, gaps []float64) Evaluation {
	row := d.upstreams[name]
	judgement := Evaluation{
		Upstream: name,
	}
	// Fewer than three upstreams have no median that tells a slow one from a fast one.
	if len(gaps) < 3 || !d.fresh(now, row) {
		judgement.Slow = row.slow
		judgement.SlownessPermille = row.permille
		return judgement
	}
	median := gaps[len(gaps)/2]
	row.permille = int(1000 * row.gap / max(median, 1e-9))
	judgement.SlownessPermille = row.permille
	was := row.slow
	switch {
	case judgement.SlownessPermille >= d.settings.SlowPermille:
		row.slow = true
	case judgement.SlownessPermille <= d.settings.RecoveredPermille:
		row.slow = false
	}
	judgement.Slow = row.slow
	judgement.Changed = was != row.slow
	return judgement
}

// SecondsPerUnit returns the mean time of one cost unit at an upstream in seconds, or 0 without observations.
func (d *OutlierDetector) SecondsPerUnit(upstream string) float64 {
	if row, known := d.upstreams[upstream]; known {
		return row.gap
	}
	return 0
}

// Slow reports whether an upstream counts as slow.
func (d *OutlierDetector) Slow(upstream string) bool {
	row, known := d.upstreams[upstream]
	return known && row.slow
}
