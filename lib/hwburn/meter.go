// Package hwburn measures the error budget burn rates of service-level objectives and alerts on them over several windows.
//
// Each instance counts the requests of an objective in time buckets and their latencies in a histogram. Both can be merged by addition, so the report over all instances is the sum of their reports.
package hwburn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Objective is a service-level objective: the fraction of an account's requests to a pool that must succeed with a time to first byte of at most LatencyThreshold.
type Objective struct {
	Account          string
	Pool             string
	LatencyThreshold time.Duration
	// Target is the fraction of requests that must be good, between 0 and 1.
	Target float64
}

// AlertWindow is a pair of time windows. It alerts when the burn rates over both exceed MaxBurnRate: the long window shows that the errors are significant, the short one that they are still occurring.
type AlertWindow struct {
	Name  string
	Short time.Duration
	Long  time.Duration
	// MaxBurnRate is the burn rate above which the pair alerts. At a burn rate of 1 the budget is used up exactly at the end of its period.
	MaxBurnRate float64
}

// AlertWindows returns the window pairs that are evaluated.
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
	// bucketDuration is the time resolution of the counts.
	bucketDuration = 30 * time.Second
	// bucketCount is the number of buckets that cover the longest window.
	bucketCount = int(6 * time.Hour / bucketDuration)
	// The histograms hold latencies from a millisecond to ten minutes with two significant digits.
	minLatencyMillis  = 1
	maxLatencyMillis  = 600_000
	significantDigits = 2
)

// RequestCount is the number of requests, and of those that were bad: failed or slower than the latency threshold.
type RequestCount struct {
	Total int64 `json:"total"`
	Bad   int64 `json:"bad"`
}

func (c RequestCount) add(other RequestCount) RequestCount {
	return RequestCount{
		Total: c.Total + other.Total,
		Bad:   c.Bad + other.Bad,
	}
}

type bucket struct {
	// index is the bucket's start as a multiple of bucketDuration since the Unix epoch.
	index int64
	count RequestCount
}

// Meter records the requests of one objective at one instance. It consists of a ring of time buckets and a latency histogram.
type Meter struct {
	objective Objective
	buckets   [bucketCount]bucket
	latencies *hdrhistogram.Histogram
}

// NewMeter returns an empty meter.
func NewMeter(objective Objective) *Meter {
	return &Meter{
		objective: objective,
		latencies: hdrhistogram.New(minLatencyMillis, maxLatencyMillis, significantDigits),
	}
}

// Objective returns the objective whose requests the meter records.
func (m *Meter) Objective() Objective { return m.objective }

// Observe records a finished request, given its time to first byte and whether it succeeded. A request whose outcome is unknown has not succeeded.
func (m *Meter) Observe(now time.Time, timeToFirstByte time.Duration, succeeded bool) {
	index := now.UnixNano() / int64(bucketDuration)
	b := &m.buckets[uint64(index)%uint64(bucketCount)]
	if b.index != index {
		*b = bucket{
			index: index,
		}
	}
	b.count.Total++
	if !succeeded || timeToFirstByte > m.objective.LatencyThreshold {
		b.count.Bad++
	}
	// Latencies outside the range of the histogram are clamped to it, since RecordValue rejects them.
	_ = m.latencies.RecordValue(min(max(timeToFirstByte.Milliseconds(), minLatencyMillis), maxLatencyMillis))
}

// CountWithin returns the counts of the window of the given length that ends now.
func (m *Meter) CountWithin(now time.Time, window time.Duration) RequestCount {
	newest := now.UnixNano() / int64(bucketDuration)
	oldest := newest - int64(window/bucketDuration)
	var sum RequestCount
	for _, b := range m.buckets {
		if b.index > oldest && b.index <= newest {
			sum = sum.add(b.count)
		}
	}
	return sum
}
