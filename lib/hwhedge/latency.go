package hwhedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Size is the size class of a prompt.
type Size int

// The size classes: a service without prompts, and prompts up to each of the bounds in tokens.
const (
	NoPrompt Size = iota
	SmallPrompt
	MediumPrompt
	LargePrompt
)

// The longest prompts of a class, in tokens. Prefill takes some 20 ms at the first bound and some 200 ms at the second, so that one quantile serves all prompts of a class.
const (
	maxSmallPrompt  = 1000
	maxMediumPrompt = 8000
)

// Class is a group of requests with similar latencies.
type Class struct {
	Pool string
	// Stream is set for event streams, whose latency is the time to the first event.
	Stream bool
	Size   Size
}

// NewClass returns the class of a request with a prompt of the given length.
func NewClass(pool string, stream bool, tokens int) Class {
	size := LargePrompt
	switch {
	case tokens <= 0:
		size = NoPrompt
	case tokens <= maxSmallPrompt:
		size = SmallPrompt
	case tokens <= maxMediumPrompt:
		size = MediumPrompt
	}
	return Class{
		Pool:   pool,
		Stream: stream,
		Size:   size,
	}
}

const (
	// lateQuantile is the quantile, in percent, at which an attempt counts as late. One in twenty is as many as a usual ratio of 0.05 allows.
	lateQuantile = 95
	// earlyQuantile is the quantile, in percent, at which an attempt at a disturbed upstream counts as late.
	earlyQuantile = 50
	// minSamples is the number of latencies from which quantiles are used. With fewer, the quantile at 95 percent rests on one or two of them.
	minSamples = 60
	// rotationInterval is how long a histogram is filled before the next one replaces it. Quantiles cover one to two intervals.
	rotationInterval = 30 * time.Second
	// quantileMaxAge is how long a computed quantile is used.
	quantileMaxAge = 250 * time.Millisecond
	// minDelay is the earliest time of a hedge after the start of the first attempt: two round trips between zones and one step of an engine.
	minDelay = 10 * time.Millisecond
	// The upper end of the histograms' range, in milliseconds, and their precision in significant digits.
	maxLatencyMS    = 120_000
	histogramDigits = 2
)

// latencies keeps the latencies of one class in two histograms that take turns.
type latencies struct {
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	rotatedAt time.Time
	// schedule is the result of the last computation.
	schedule   Schedule
	computedAt time.Time
}

// Schedule states how long after the start of the first attempt a hedge is decided on.
type Schedule struct {
	// Early applies if the first upstream is silent or disturbed, Late otherwise.
	Early time.Duration
	Late  time.Duration
}

func newLatencies(now time.Time) *latencies {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMS, histogramDigits) }
	return &latencies{
		current:   histogram(),
		previous:  histogram(),
		rotatedAt: now,
	}
}

// rotate replaces histograms that are complete.
func (l *latencies) rotate(now time.Time) {
	elapsed := now.Sub(l.rotatedAt)
	if elapsed < rotationInterval {
		return
	}
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
	if elapsed >= 2*rotationInterval {
		l.previous.Reset()
	}
	l.rotatedAt = now
	l.computedAt = time.Time{}
}

func (l *latencies) record(elapsed time.Duration) {
	// The value is within the range of the histogram.
	_ = l.current.RecordValue(min(maxLatencyMS, max(1, elapsed.Milliseconds())))
}

// compute returns the schedule by the latencies, or false if there are too few.
func (l *latencies) compute(now time.Time) (Schedule, bool) {
	l.rotate(now)
	if l.current.TotalCount()+l.previous.TotalCount() < minSamples {
		return Schedule{}, false
	}
	if !l.computedAt.IsZero() && now.Sub(l.computedAt) < quantileMaxAge {
		return l.schedule, true
	}
	both := hdrhistogram.New(1, maxLatencyMS, histogramDigits)
	both.Merge(l.current)
	both.Merge(l.previous)
	l.schedule = newSchedule(quantile(both, earlyQuantile), quantile(both, lateQuantile))
	l.computedAt = now
	return l.schedule, true
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Millisecond
}

func newSchedule(early, late time.Duration) Schedule {
	return Schedule{
		Early: max(minDelay, early),
		Late:  max(minDelay, late),
	}
}

// Schedule returns when a hedge of a request is decided on. Until there are enough latencies, it follows from the latency objective of the route, beyond which an answer is late in any case. It returns false if there is no objective either.
func (p *Policy) Schedule(now time.Time, class Class, objective time.Duration) (Schedule, bool) {
	if l := p.latencies[class]; l != nil {
		if schedule, found := l.compute(now); found {
			return schedule, true
		}
	}
	return newSchedule(objective/2, objective), objective > 0
}

// RecordLatency records how long the first attempt of a request took until its answer, or the first event of a stream.
func (p *Policy) RecordLatency(now time.Time, class Class, elapsed time.Duration) {
	l := p.latencies[class]
	if l == nil {
		l = newLatencies(now)
		p.latencies[class] = l
	}
	l.rotate(now)
	l.record(elapsed)
}

// RecordCut records that the first attempt of a request was cancelled after its hedge had won. It would have taken longer. It counts as at least the late quantile, so that cancelled attempts don't lower the quantile and cause more and more hedges.
func (p *Policy) RecordCut(now time.Time, class Class, elapsed time.Duration) {
	if l := p.latencies[class]; l != nil {
		if schedule, found := l.compute(now); found {
			elapsed = max(elapsed, schedule.Late)
		}
	}
	p.RecordLatency(now, class, elapsed)
}
