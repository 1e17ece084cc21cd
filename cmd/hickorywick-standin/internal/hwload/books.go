package hwload

import (
	"slices"
	"sync"
	"time"
)

// Record is one request that ended.
type Record struct {
	Account string
	Label   string
	Began   time.Time
	// First is when the first token or the whole answer came; it is zero without one.
	First   time.Time
	Ended   time.Time
	Long    bool
	Outcome Outcome
}

func (r Record) with(outcome Outcome) Record {
	r.Outcome = outcome
	return r
}

// Wait is the time to the first token.
func (r Record) Wait() time.Duration { return r.First.Sub(r.Began) }

// Sample is the service of every account at a moment, in tokens.
type Sample struct {
	At      time.Time
	Service map[string]int
}

// Books hold every request and the service over time.
type Books struct {
	lock    sync.Mutex
	begun   int
	records []Record
	service map[string]int
	samples []Sample
}

// NewBooks returns empty books.
func NewBooks() *Books {
	return &Books{
		service: map[string]int{},
	}
}

func (b *Books) begin() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.begun++
}

func (b *Books) end(record Record) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.records = append(b.records, record)
}

func (b *Books) serve(account string, tokens int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.service[account] += tokens
}

// Sample notes the service of every account now.
func (b *Books) Sample(now time.Time) {
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
func (b *Books) Samples() []Sample {
	b.lock.Lock()
	defer b.lock.Unlock()
	return slices.Clone(b.samples)
}

// Records returns every request that ended.
func (b *Books) Records() []Record {
	b.lock.Lock()
	defer b.lock.Unlock()
	return slices.Clone(b.records)
}

// Unaccounted returns how many requests began and have no end.
func (b *Books) Unaccounted() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.begun - len(b.records)
}

// Count returns how many requests of an account ended in a way; an empty account stands for all.
func (b *Books) Count(account string, outcome Outcome) int {
	count := 0
	for _, r := range b.Records() {
		if (account == "" || r.Account == account) && r.Outcome == outcome {
			count++
		}
	}
	return count
}

// Tokens returns the service of all accounts between two moments, by the nearest samples.
func (b *Books) Tokens(from, to time.Time) int {
	total := 0
	first, last := b.Nearest(from), b.Nearest(to)
	for account, tokens := range last.Service {
		total += tokens - first.Service[account]
	}
	return total
}

// Nearest returns the sample nearest to a moment.
func (b *Books) Nearest(at time.Time) Sample {
	var best Sample
	for _, s := range b.Samples() {
		if best.At.IsZero() || s.At.Sub(at).Abs() < best.At.Sub(at).Abs() {
			best = s
		}
	}
	return best
}

// Gap returns the largest distance in service per share that two accounts ever had between two moments, counted from the first one.
func (b *Books) Gap(from, to time.Time, shares map[string]float64) float64 {
	first := b.Nearest(from)
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
