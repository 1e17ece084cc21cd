package hwload

import (
	"slices"
	"sync"
	"time"
)

// Record describes one completed request.
type Record struct {
	Account   string
	Label     string
	StartedAt time.Time
	// FirstOutputAt is when the first token, or the full non-streaming response, arrived; it is zero if none did.
	FirstOutputAt time.Time
	EndedAt       time.Time
	Straggler     bool
	Outcome       Outcome
}

func (r Record) withOutcome(outcome Outcome) Record {
	r.Outcome = outcome
	return r
}

// TimeToFirstOutput returns the time to the first token, or to the full response of a non-streaming request.
func (r Record) TimeToFirstOutput() time.Duration { return r.FirstOutputAt.Sub(r.StartedAt) }

// Sample holds the cumulative number of tokens served to each account at one point in time.
type Sample struct {
	At      time.Time
	Service map[string]int
}

// Recorder collects the completed requests and samples the tokens served to each account over time.
type Recorder struct {
	mutex   sync.Mutex
	started int
	records []Record
	served  map[string]int
	samples []Sample
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		served: map[string]int{},
	}
}

func (r *Recorder) recordStart() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.started++
}

func (r *Recorder) recordEnd(record Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.records = append(r.records, record)
}

func (r *Recorder) addServedTokens(account string, tokens int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.served[account] += tokens
}

// Sample stores a snapshot of the tokens served to each account so far.
func (r *Recorder) Sample(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	service := make(map[string]int, len(r.served))
	for account, tokens := range r.served {
		service[account] = tokens
	}
	r.samples = append(r.samples, Sample{
		At:      now,
		Service: service,
	})
}

// Samples returns a copy of the samples in chronological order.
func (r *Recorder) Samples() []Sample {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.samples)
}

// Records returns a copy of the records of all completed requests.
func (r *Recorder) Records() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.records)
}

// Unaccounted returns the number of requests that were started and have not completed.
func (r *Recorder) Unaccounted() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.started - len(r.records)
}

// Count returns the number of requests of an account with the given outcome; an empty account matches all accounts.
func (r *Recorder) Count(account string, outcome Outcome) int {
	count := 0
	for _, record := range r.Records() {
		if (account == "" || record.Account == account) && record.Outcome == outcome {
			count++
		}
	}
	return count
}

// ServedTokens returns the tokens served to all accounts between two times, taken from the nearest samples.
func (r *Recorder) ServedTokens(from, to time.Time) int {
	total := 0
	first, last := r.NearestSample(from), r.NearestSample(to)
	for account, tokens := range last.Service {
		total += tokens - first.Service[account]
	}
	return total
}

// NearestSample returns the sample closest in time to at, or a zero Sample if there are none.
func (r *Recorder) NearestSample(at time.Time) Sample {
	var nearest Sample
	for _, s := range r.Samples() {
		if nearest.At.IsZero() || s.At.Sub(at).Abs() < nearest.At.Sub(at).Abs() {
			nearest = s
		}
	}
	return nearest
}

// FairnessGap returns the largest difference in tokens served per share between any two accounts at any sample between from and to, counted from the sample nearest to from.
func (r *Recorder) FairnessGap(from, to time.Time, shares map[string]float64) float64 {
	first := r.NearestSample(from)
	largest := 0.0
	for _, s := range r.Samples() {
		if s.At.Before(from) || s.At.After(to) {
			continue
		}
		low, high, initialised := 0.0, 0.0, false
		for account, share := range shares {
			value := float64(s.Service[account]-first.Service[account]) / share
			if !initialised || value < low {
				low = value
			}
			if !initialised || value > high {
				high = value
			}
			initialised = true
		}
		largest = max(largest, high-low)
	}
	return largest
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
