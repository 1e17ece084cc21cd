// Package hwburn measures how fast service-level objectives use up their error budget.
//
// Each instance counts the requests of an objective in buckets of time and their times in histograms. Counts and histograms add up, so the fleet's report is the sum of the instances' reports.
package hwburn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Objective is the share of an account's requests at a pool that must be answered in time and end truthfully.
type Objective struct {
	Account          string
	Pool             string
	LatencyThreshold time.Duration
	// Target is the share of good requests, between 0 and 1.
	Target float64
}

// AlertWindow is a pair of spans. It pages when both burn faster than its rate: the long one shows that it matters, the short one that it still goes on.
type AlertWindow struct {
	Name  string
	Short time.Duration
	Long  time.Duration
	// MaxBurnRate is how many times faster than evenly over the budget's period the budget may burn.
	MaxBurnRate float64
}

// AlertWindows are the pairs that are watched.
func AlertWindows() []AlertWindow {
	return []AlertWindow{
		{
			Name:        "fast",
			Short:       5 * time.Minute,
			Long:        time.Hour,
			MaxBurnRate: 14.4,
		},
		{
			Name:        "slow",
			Short:       30 * time.Minute,
			Long:        6 * time.Hour,
			MaxBurnRate: 6,
		},
	}
}

const (
	// bucketSpan is the resolution of the counts.
	bucketSpan = 30 * time.Second
	// bucketCount covers the longest window.
	bucketCount = int(6 * time.Hour / bucketSpan)
	// The histograms hold times from a millisecond to ten minutes with two digits.
	lowestMillis  = 1
	highestMillis = 600_000
	digits        = 2
)

// RequestCount is how many requests there were and how many of them were bad.
type RequestCount struct {
	Total int64 `json:"total"`
	Bad   int64 `json:"bad"`
}

func (c RequestCount) plus(other RequestCount) RequestCount {
	return RequestCount{
		Total: c.Total + other.Total,
		Bad:   c.Bad + other.Bad,
	}
}

type bucket struct {
	number int64
	count  RequestCount
}

// Meter counts one objective at one instance.
type Meter struct {
	objective Objective
	buckets   [bucketCount]bucket
	times     *hdrhistogram.Histogram
	since     time.Time
}

// NewMeter returns a meter without counts.
func NewMeter(now time.Time, objective Objective) *Meter {
	return &Meter{
		objective: objective,
		times:     hdrhistogram.New(lowestMillis, highestMillis, digits),
		since:     now,
	}
}

// Objective returns what the meter counts.
func (m *Meter) Objective() Objective { return m.objective }

// Observe takes a request that ended: the time to its first byte, and whether it ended as its caller was told.
func (m *Meter) Observe(now time.Time, first time.Duration, truthful bool) {
	number := now.UnixNano() / int64(bucketSpan)
	b := &m.buckets[number%int64(bucketCount)]
	if b.number != number {
		*b = bucket{
			number: number,
		}
	}
	b.count.Total++
	if !truthful || first > m.objective.LatencyThreshold {
		b.count.Bad++
	}
	// A time beyond the scale counts as its end; the library refuses it otherwise.
	_ = m.times.RecordValue(min(max(first.Milliseconds(), lowestMillis), highestMillis))
}

// CountWithin returns the counts of the last span.
func (m *Meter) CountWithin(now time.Time, span time.Duration) RequestCount {
	newest := now.UnixNano() / int64(bucketSpan)
	oldest := newest - int64(span/bucketSpan)
	var sum RequestCount
	for _, b := range m.buckets {
		if b.number > oldest && b.number <= newest {
			sum = sum.plus(b.count)
		}
	}
	return sum
}
