package hwmeasure

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
)

// backlogged keeps requests of every account queued: each account sends more concurrent requests than its share of the slots can run, through only one or two routers.
func backlogged(size Size) []hwload.Source {
	var sources []hwload.Source
	for i, share := range size.Shares {
		clients := int(math.Ceil(3*float64(size.Slots())*share/size.TotalShares())) + 4
		routers := []int{(i * i) % size.Routers}
		if i%3 == 0 {
			routers = append(routers, (i*i+1)%size.Routers)
		}
		for _, router := range routers {
			sources = append(sources, hwload.Source{
				Account:         AccountName(i),
				Router:          RouterName(router),
				Concurrency:     clients / len(routers),
				ResponseLengths: mixedLengths,
				Label:           "backlogged",
			})
		}
	}
	return sources
}

func fairnessCase() Case {
	return Case{
		Name:         "fairness",
		QueueTimeout: time.Minute,
		Warmup:       4 * time.Second,
		Length:       20 * time.Second,
		Sources:      backlogged,
		Metrics:      func(r *Result) []Metric { return r.fairnessMetrics() },
		Policies:     Policies(),
	}
}

// floodingAccountIndex is the account that sends 100 times its share; smallAccountIndex is the account whose latency is measured at the same time.
const (
	floodingAccountIndex = 6
	smallAccountIndex    = 7
)

// smallAccountSource keeps as many requests of the small account in flight as its share of the slots.
func smallAccountSource(slots int) hwload.Source {
	return hwload.Source{
		Account:         AccountName(smallAccountIndex),
		Router:          RouterName(1),
		Concurrency:     max(1, slots),
		ResponseLengths: shortLengths,
		Label:           "small",
	}
}

func starvationCase() Case {
	return Case{
		Name:         "starvation",
		QueueTimeout: time.Minute,
		Warmup:       3 * time.Second,
		Length:       12 * time.Second,
		Sources: func(size Size) []hwload.Source {
			shareSlots := float64(size.Slots()) / size.TotalShares()
			return []hwload.Source{
				smallAccountSource(int(shareSlots)),
				{
					Account:         AccountName(floodingAccountIndex),
					Router:          RouterName(1),
					Concurrency:     int(100 * shareSlots),
					ResponseLengths: mixedLengths,
					Label:           "flood",
				},
			}
		},
		Metrics:  smallAccountMetrics,
		Policies: Policies()[:2],
	}
}

// smallAccountBaselineCase gives the small account a dedicated engine with its share of the slots. It is the baseline: the latency without competing load.
func smallAccountBaselineCase() Case {
	c := starvationCase()
	c.Name = "small-alone"
	c.Resize = func(size Size) Size {
		size.EngineSlots = max(1, int(float64(size.Slots())/size.TotalShares()))
		size.Engines = 1
		return size
	}
	c.Sources = func(size Size) []hwload.Source { return []hwload.Source{smallAccountSource(size.Slots())} }
	c.Policies = Policies()[1:2]
	return c
}

func smallAccountMetrics(r *Result) []Metric {
	latencies := r.timesToFirstOutput("small")
	return []Metric{
		metric("small-wait-p50", milliseconds(hwload.Percentile(latencies, 0.5)), "ms"),
		metric("small-wait-p99", milliseconds(hwload.Percentile(latencies, 0.99)), "ms"),
	}
}
