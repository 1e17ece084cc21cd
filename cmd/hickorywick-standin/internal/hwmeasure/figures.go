package hwmeasure

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
)

func (r *Result) fairness() []Metric {
	shares := r.Size.SharesByAccount()
	tokens := float64(r.Recorder.ServedTokens(r.From, r.To))
	return []Metric{
		figure("gap", r.Recorder.FairnessGap(r.From, r.To, shares), "tokens/share"),
		figure("bound", FairnessBound(r.Size), "tokens/share"),
		figure("tokens-per-second", tokens/r.To.Sub(r.From).Seconds(), "1/s"),
		figure("slots-in-use", r.meanUse(r.From, r.To)/float64(r.Size.Slots()), "part"),
	}
}

func (r *Result) meanUse(from, to time.Time) float64 {
	sum, count := 0.0, 0
	for _, u := range r.ConcurrencySamples {
		if u.At.After(from) && u.At.Before(to) {
			sum += float64(u.InFlight)
			count++
		}
	}
	return sum / float64(max(1, count))
}

func (r *Result) lowestUse(from, to time.Time) float64 {
	lowest := math.Inf(1)
	for _, u := range r.ConcurrencySamples {
		if u.At.After(from) && u.At.Before(to) {
			lowest = math.Min(lowest, float64(u.InFlight))
		}
	}
	return lowest
}

func (r *Result) mostAbove() float64 {
	most := int64(0)
	for _, u := range r.ConcurrencySamples {
		most = max(most, u.MaxOverLimit)
	}
	return float64(most)
}

// reportInterval is the routers' report interval in seconds.
const reportInterval = 0.05

// FairnessBound is the largest fairness gap that design/fairness.md allows, from the document's limits alone.
func FairnessBound(size Size) float64 {
	total := size.TotalShares()
	lowest := math.Inf(1)
	for _, share := range size.Shares {
		lowest = math.Min(lowest, share)
	}
	running := 2 * float64(size.Slots()) * largestCost / total
	one := 2 * largestCost / lowest
	reports := 2 * reportInterval * size.TokensPerSecond() / lowest
	return running + one + reports
}

func ms(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }

// waits are the times to the first token of answered requests with a label that began in the measured part.
func (r *Result) waits(label string) []time.Duration {
	var waits []time.Duration
	for _, record := range r.Recorder.Records() {
		if record.Label == label && record.Outcome == hwload.OutcomeAnswered && record.StartedAt.After(r.From) {
			waits = append(waits, record.TimeToFirstOutput())
		}
	}
	return waits
}

// lowestService returns the least that an account got in any window after a moment, against its share of all service in the window.
func (r *Result) lowestService(from time.Time, window time.Duration) float64 {
	lowest := math.Inf(1)
	for at := from; at.Add(window).Before(r.To); at = at.Add(window / 2) {
		first, last := r.Recorder.NearestSample(at), r.Recorder.NearestSample(at.Add(window))
		total := 0.0
		for account := range r.Size.SharesByAccount() {
			total += float64(last.Service[account] - first.Service[account])
		}
		for account, share := range r.Size.SharesByAccount() {
			part := float64(last.Service[account]-first.Service[account]) / total / (share / r.Size.TotalShares())
			lowest = math.Min(lowest, part)
		}
	}
	return lowest
}
