package hwmeasure

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
	"github.com/hickorywick/hickorywick/lib/hwdispatch"
)

const (
	crestBegins   = 3 * time.Second
	crestLength   = 5 * time.Second
	crestDeadline = 2 * time.Second
)

func crestCase() Case {
	return Case{
		Name:         "crest",
		QueueTimeout: crestDeadline,
		Warmup:       3 * time.Second,
		Length:       10 * time.Second,
		Sources: func(size Size) []hwload.Source {
			// Before the crest a third of the capacity is asked for, by share.
			mean := shortSizes.Median * 1.08
			base := size.TokensPerSecond() / mean / 3
			var sources []hwload.Source
			for i, share := range size.Shares {
				own := base * share / size.TotalShares()
				sources = append(sources, hwload.Source{
					Account: AccountName(i),
					Router:  RouterName((i * i) % size.Routers),
					ArrivalRate: func(since time.Duration) float64 {
						begins := 3*time.Second + crestBegins
						if since < begins || since > begins+crestLength {
							return own
						}
						// Demand grows tenfold within a second.
						return own * (1 + 9*math.Min(1, (since-begins).Seconds()))
					},
					ResponseLengths: shortSizes,
					Label:           "crest",
				})
			}
			return sources
		},
		Metrics:  crestFigures,
		Policies: Policies(),
	}
}

func crestFigures(r *Result) []Metric {
	begins := r.From.Add(crestBegins)
	ends := begins.Add(crestLength)
	inTime, all := 0, 0
	served := map[string]float64{}
	for _, record := range r.Recorder.Records() {
		if record.Label != "crest" || record.StartedAt.Before(begins) || record.StartedAt.After(ends) {
			continue
		}
		all++
		if record.Outcome == hwload.OutcomeAnswered && record.TimeToFirstOutput() <= crestDeadline+firstToken+50*time.Millisecond {
			inTime++
			served[record.Account]++
		}
	}
	lowest := math.Inf(1)
	for account, share := range r.Size.SharesByAccount() {
		part := served[account] / float64(max(1, inTime)) / (share / r.Size.TotalShares())
		lowest = math.Min(lowest, part)
	}
	return []Metric{
		figure("asked", float64(all), "1"),
		figure("answered-in-time", float64(inTime), "1"),
		figure("lowest-part-of-share", lowest, "part"),
		figure("slots-in-use", r.meanUse(begins.Add(time.Second), ends)/float64(r.Size.Slots()), "part"),
	}
}

// lanesCase measures short work beside long work of the same account; without the long work it is the baseline. A cold fleet learns during the first minute which work is long, and works off what piled up until then; the warm case begins after that.
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
			rate := 0.3 * size.TokensPerSecond() / shortSizes.Median / 4
			var sources []hwload.Source
			for i := range 4 {
				sources = append(sources, hwload.Source{
					Account:         AccountName(i),
					Router:          RouterName(i % size.Routers),
					ArrivalRate:     func(time.Duration) float64 { return rate },
					ResponseLengths: shortSizes,
					Label:           "short",
				})
				if withLong {
					sources = append(sources, hwload.Source{
						Account:         AccountName(i),
						Router:          RouterName(i % size.Routers),
						Concurrency:     size.Slots() / 2,
						StartDelay:      2 * time.Second,
						ResponseLengths: longSizes,
						Label:           "long",
					})
				}
			}
			return sources
		},
		Metrics: func(r *Result) []Metric {
			waits := r.waits("short")
			return []Metric{
				figure("short-wait-p50", ms(hwload.Percentile(waits, 0.5)), "ms"),
				figure("short-wait-p99", ms(hwload.Percentile(waits, 0.99)), "ms"),
				figure("slots-in-use", r.meanUse(r.From, r.To)/float64(r.Size.Slots()), "part"),
			}
		},
		Policies: []Policy{split, mean, fifo},
	}
}

// slowCase measures short work while two engines are five times slower; healthy is the same load without that.
func slowCase(healthy bool) Case {
	c := Case{
		Name:         "slowed-upstreams",
		QueueTimeout: time.Minute,
		Warmup:       5 * time.Second,
		Length:       15 * time.Second,
		Sources: func(size Size) []hwload.Source {
			rate := 0.5 * size.TokensPerSecond() / shortSizes.Median / 4
			var sources []hwload.Source
			for i := range 4 {
				sources = append(sources, hwload.Source{
					Account:         AccountName(i),
					Router:          RouterName(i % size.Routers),
					ArrivalRate:     func(time.Duration) float64 { return rate },
					ResponseLengths: shortSizes,
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
			var whole []time.Duration
			for _, record := range r.Recorder.Records() {
				if record.Label == "short" && record.Outcome == hwload.OutcomeAnswered && record.StartedAt.After(r.From) {
					whole = append(whole, record.EndedAt.Sub(record.StartedAt))
				}
			}
			return []Metric{
				figure("short-p50", ms(hwload.Percentile(whole, 0.5)), "ms"),
				figure("short-p99", ms(hwload.Percentile(whole, 0.99)), "ms"),
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
