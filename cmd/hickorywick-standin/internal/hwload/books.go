package hwload

import (
	"slices"
	"sync"
	"time"
)

// Record is one request that ended.
type Record struct {
	Account   string
	Label     string
	StartedAt time.Time
	// FirstOutputAt is when the first token or the whole answer came; it is zero without one.
	FirstOutputAt time.Time
	EndedAt       time.Time
	Straggler     bool
	Outcome       Outcome
}

func (r Record) with(outcome Outcome) Record {
	r.Outcome = outcome
	return r
}

// TimeToFirstOutput is the time to the first token.
func (r Record) TimeToFirstOutput() time.Duration { return r.FirstOutputAt.Sub(r.StartedAt) }

// Sample is the service of every account at a moment, in tokens.
type Sample struct {
	At      time.Time
	Service map[string]int
}

// Recorder hold every request and the service over time.
type Recorder struct {
	lock    sync.Mutex
	begun   int
	records []Record
	service map[string]int
	samples []Sample
}

// NewRecorder returns empty books.
func NewRecorder() *Recorder {
	return &Recorder{
		service: map[string]int{},
	}
}

func (b *Recorder) begin() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.begun++
}

func (b *Recorder) end(record Record) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.records = append(b.records, record)
}

func (b *Recorder) serve(account string, tokens int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.service[account] += tokens
}

// Sample notes the service of every account now.
func (b *Recorder) Sample(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	service := make(map[string]int, len(b.service))
	for account, tokens := range b.service {
		service[account] = tokens
	}
	b.samples = append(b.samples, Sample{
		At:      now,
		Service: service,
	})
}

// Samples returns the samples in order.
func (b *Recorder) Samples() []Sample {
	b.lock.Lock()
	defer b.lock.Unlock()
	return slices.Clone(b.samples)
}

// Records returns every request that ended.
func (b *Recorder) Records() []Record {
	b.lock.Lock()
	defer b.lock.Unlock()
	return slices.Clone(b.records)
}

// Unaccounted returns how many requests began and have no end.
func (b *Recorder) Unaccounted() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.begun - len(b.records)
}

// Count returns how many requests of an account ended in a way; an empty account stands for all.
func (b *Recorder) Count(account string, outcome Outcome) int {
	count := 0
	for _, r := range b.Records() {
		if (account == "" || r.Account == account) && r.Outcome == outcome {
			count++
		}
	}
	return count
}

// ServedTokens returns the service of all accounts between two moments, by the nearest samples.
func (b *Recorder) ServedTokens(from, to time.Time) int {
	total := 0
	first, last := b.NearestSample(from), b.NearestSample(to)
	for account, tokens := range last.Service {
		total += tokens - first.Service[account]
	}
	return total
}

// NearestSample returns the sample nearest to a moment.
func (b *Recorder) NearestSample(at time.Time) Sample {
	var best Sample
	for _, s := range b.Samples() {
		if best.At.IsZero() || s.At.Sub(at).Abs() < best.At.Sub(at).Abs() {
			best = s
		}
	}
	return best
}

// FairnessGap returns the largest distance in service per share that two accounts ever had between two moments, counted from the first one.
func (b *Recorder) FairnessGap(from, to time.Time, shares map[string]float64) float64 {
	first := b.NearestSample(from)
	worst := 0.0
	for _, s := range b.Samples() {
		if s.At.Before(from) || s.At.After(to) {
			continue
		}
		low, high, seen := 0.0, 0.0, false
		for account, share := range shares {
			value := float64(s.Service[account]-first.Service[account]) / share
			if !seen || value < low {
				low = value
			}
			if !seen || value > high {
				high = value
			}
			seen = true
		}
		worst = max(worst, high-low)
	}
	return worst
}

// Percentile returns the p-th percentile of the values, p in [0, 1].
func Percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
