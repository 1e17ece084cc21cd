package hwmeasure

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
	"github.com/hickorywick/hickorywick/lib/hwdispatch"
)

const (
	surgeStart    = 3 * time.Second
	surgeDuration = 5 * time.Second
	surgeDeadline = 2 * time.Second
)

func surgeCase() Case {
	return Case{
		Name:         "crest",
		QueueTimeout: surgeDeadline,
		Warmup:       3 * time.Second,
		Length:       10 * time.Second,
		Sources: func(size Size) []hwload.Source {
			// Before the surge the demand is a third of the capacity, split by share.
			meanTokens := shortLengths.Median * 1.08
			baseRate := size.TokensPerSecond() / meanTokens / 3
			var sources []hwload.Source
			for i, share := range size.Shares {
				accountRate := baseRate * share / size.TotalShares()
				sources = append(sources, hwload.Source{
					Account: AccountName(i),
					Router:  RouterName((i * i) % size.Routers),
					ArrivalRate: func(since time.Duration) float64 {
						begins := 3*time.Second + surgeStart
						if since < begins || since > begins+surgeDuration {
							return accountRate
						}
						// Demand grows tenfold within one second.
						return accountRate * (1 + 9*math.Min(1, (since-begins).Seconds()))
					},
					ResponseLengths: shortLengths,
					Label:           "crest",
				})
			}
			return sources
		},
		Metrics:  surgeMetrics,
		Policies: Policies(),
	}
}

func surgeMetrics(r *Result) []Metric {
	begins := r.From.Add(surgeStart)
	ends := begins.Add(surgeDuration)
	inTime, total := 0, 0
	served := map[string]float64{}
	for _, record := range r.Recorder.Records() {
		if record.Label != "crest" || record.StartedAt.Before(begins) || record.StartedAt.After(ends) {
			continue
		}
		total++
		if record.Outcome == hwload.OutcomeAnswered && record.TimeToFirstOutput() <= surgeDeadline+timeToFirstToken+50*time.Millisecond {
			inTime++
			served[record.Account]++
		}
	}
	lowest := math.Inf(1)
	for account, share := range r.Size.SharesByAccount() {
		ratio := served[account] / float64(max(1, inTime)) / (share / r.Size.TotalShares())
		lowest = math.Min(lowest, ratio)
	}
	return []Metric{
		metric("asked", float64(total), "1"),
		metric("answered-in-time", float64(inTime), "1"),
		metric("lowest-part-of-share", lowest, "part"),
		metric("slots-in-use", r.meanInFlight(begins.Add(time.Second), ends)/float64(r.Size.Slots()), "part"),
	}
}

// lanesCase measures the latency of short requests while the same accounts also send long requests; without the long requests it is the baseline. During the first minute after a cold start the routers learn which requests are long and drain the backlog that has built up; the warm case starts measuring after that.
func lanesCase(name string, warmup time.Duration, withLong bool) Case {
	split, mean, fifo := Policies()[1], Policies()[1], Policies()[1]
	mean.Name = "lanes-by-mean"
	mean.Lanes = hwdispatch.MeanLanes
	fifo.Name = "fifo"
	fifo.Lanes = hwdispatch.SingleLane
	return Case{
		Name:         name,
		QueueTimeout: time.Minute,
		Warmup:       warmup,
		Length:       15 * time.Second,
		Sources: func(size Size) []hwload.Source {
			rate := 0.3 * size.TokensPerSecond() / shortLengths.Median / 4
			var sources []hwload.Source
			for i := range 4 {
				sources = append(sources, hwload.Source{
					Account:         AccountName(i),
					Router:          RouterName(i % size.Routers),
					ArrivalRate:     func(time.Duration) float64 { return rate },
					ResponseLengths: shortLengths,
					Label:           "short",
				})
				if withLong {
					sources = append(sources, hwload.Source{
						Account:         AccountName(i),
						Router:          RouterName(i % size.Routers),
						Concurrency:     size.Slots() / 2,
						StartDelay:      2 * time.Second,
						ResponseLengths: longLengths,
						Label:           "long",
					})
				}
			}
			return sources
		},
		Metrics: func(r *Result) []Metric {
			latencies := r.timesToFirstOutput("short")
			return []Metric{
				metric("short-wait-p50", milliseconds(hwload.Percentile(latencies, 0.5)), "ms"),
				metric("short-wait-p99", milliseconds(hwload.Percentile(latencies, 0.99)), "ms"),
				metric("slots-in-use", r.meanInFlight(r.From, r.To)/float64(r.Size.Slots()), "part"),
			}
		},
		Policies: []Policy{split, mean, fifo},
	}
}

// slowUpstreamCase measures the latency of short requests while two engines are slowed down by a factor of five; with healthy set, no engine is slowed down.
func slowUpstreamCase(healthy bool) Case {
	c := Case{
		Name:         "slowed-upstreams",
		QueueTimeout: time.Minute,
		Warmup:       5 * time.Second,
		Length:       15 * time.Second,
		Sources: func(size Size) []hwload.Source {
			rate := 0.5 * size.TokensPerSecond() / shortLengths.Median / 4
			var sources []hwload.Source
			for i := range 4 {
				sources = append(sources, hwload.Source{
					Account:         AccountName(i),
					Router:          RouterName(i % size.Routers),
					ArrivalRate:     func(time.Duration) float64 { return rate },
					ResponseLengths: shortLengths,
					Label:           "short",
				})
			}
			return sources
		},
		Events: []Event{{
			Name:   "slow",
			Offset: -2 * time.Second,
			Apply: func(r *Result) error {
				r.World.Engines[0].SetSlowdown(5)
				r.World.Engines[1].SetSlowdown(5)
				return nil
			},
		}},
		Metrics: func(r *Result) []Metric {
			var durations []time.Duration
			for _, record := range r.Recorder.Records() {
				if record.Label == "short" && record.Outcome == hwload.OutcomeAnswered && record.StartedAt.After(r.From) {
					durations = append(durations, record.EndedAt.Sub(record.StartedAt))
				}
			}
			return []Metric{
				metric("short-p50", milliseconds(hwload.Percentile(durations, 0.5)), "ms"),
				metric("short-p99", milliseconds(hwload.Percentile(durations, 0.99)), "ms"),
			}
		},
		Policies: Policies()[1:2],
	}
	if healthy {
		c.Name = "healthy-upstreams"
		c.Events = nil
	}
	return c
}
