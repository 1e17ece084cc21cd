package hwmeasure

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
)

func (r *Result) fairnessMetrics() []Metric {
	shares := r.Size.SharesByAccount()
	tokens := float64(r.Recorder.ServedTokens(r.From, r.To))
	return []Metric{
		metric("gap", r.Recorder.FairnessGap(r.From, r.To, shares), "tokens/share"),
		metric("bound", FairnessBound(r.Size), "tokens/share"),
		metric("tokens-per-second", tokens/r.To.Sub(r.From).Seconds(), "1/s"),
		metric("slots-in-use", r.meanInFlight(r.From, r.To)/float64(r.Size.Slots()), "part"),
	}
}

func (r *Result) meanInFlight(from, to time.Time) float64 {
	sum, count := 0.0, 0
	for _, sample := range r.ConcurrencySamples {
		if sample.At.After(from) && sample.At.Before(to) {
			sum += float64(sample.InFlight)
			count++
		}
	}
	return sum / float64(max(1, count))
}

func (r *Result) minInFlight(from, to time.Time) float64 {
	lowest := math.Inf(1)
	for _, sample := range r.ConcurrencySamples {
		if sample.At.After(from) && sample.At.Before(to) {
			lowest = math.Min(lowest, float64(sample.InFlight))
		}
	}
	return lowest
}

func (r *Result) maxOverLimit() float64 {
	largest := int64(0)
	for _, sample := range r.ConcurrencySamples {
		largest = max(largest, sample.MaxOverLimit)
	}
	return float64(largest)
}

// reportIntervalSeconds is the routers' report interval.
const reportIntervalSeconds = 0.05

// FairnessBound returns the largest fairness gap, in tokens per share, that design/fairness.md allows, computed only from the limits in the configuration document.
func FairnessBound(size Size) float64 {
	total := size.TotalShares()
	lowest := math.Inf(1)
	for _, share := range size.Shares {
		lowest = math.Min(lowest, share)
	}
	inFlight := 2 * float64(size.Slots()) * largestCost / total
	singleRequest := 2 * largestCost / lowest
	reportDelay := 2 * reportIntervalSeconds * size.TokensPerSecond() / lowest
	return inFlight + singleRequest + reportDelay
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// timesToFirstOutput returns the times to the first token of the answered requests with a label that started after warm-up.
func (r *Result) timesToFirstOutput(label string) []time.Duration {
	var latencies []time.Duration
	for _, record := range r.Recorder.Records() {
		if record.Label == label && record.Outcome == hwload.OutcomeAnswered && record.StartedAt.After(r.From) {
			latencies = append(latencies, record.TimeToFirstOutput())
		}
	}
	return latencies
}

// minServiceRatio returns the lowest ratio, over all accounts and over windows from the given time on, of the tokens served to an account to its share of all tokens served in the window. Consecutive windows overlap by half.
func (r *Result) minServiceRatio(from time.Time, window time.Duration) float64 {
	lowest := math.Inf(1)
	for at := from; at.Add(window).Before(r.To); at = at.Add(window / 2) {
		first, last := r.Recorder.NearestSample(at), r.Recorder.NearestSample(at.Add(window))
		total := 0.0
		for account := range r.Size.SharesByAccount() {
			total += float64(last.Service[account] - first.Service[account])
		}
		for account, share := range r.Size.SharesByAccount() {
			ratio := float64(last.Service[account]-first.Service[account]) / total / (share / r.Size.TotalShares())
			lowest = math.Min(lowest, ratio)
		}
	}
	return lowest
}
