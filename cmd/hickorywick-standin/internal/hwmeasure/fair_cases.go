package hwmeasure

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
)

// backlogged keeps every account backlogged: each sends more than its share could ever run, through one or two routers only.
func backlogged(size Size) []hwload.Source {
	var sources []hwload.Source
	for i, share := range size.Shares {
		clients := int(math.Ceil(3*float64(size.Slots())*share/size.TotalShares())) + 4
		homes := []int{(i * i) % size.Routers}
		if i%3 == 0 {
			homes = append(homes, (i*i+1)%size.Routers)
		}
		for _, home := range homes {
			sources = append(sources, hwload.Source{
				Account:         AccountName(i),
				Router:          RouterName(home),
				Concurrency:     clients / len(homes),
				ResponseLengths: mixedSizes,
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
		Metrics:      func(r *Result) []Metric { return r.fairness() },
		Policies:     Policies(),
	}
}

// flooded is the account that sends 100 times its share, and small the one beside it.
const (
	flooded = 6
	small   = 7
)

// smallSource keeps as many requests of the small account going as its share of the slots is.
func smallSource(slots int) hwload.Source {
	return hwload.Source{
		Account:         AccountName(small),
		Router:          RouterName(1),
		Concurrency:     max(1, slots),
		ResponseLengths: shortSizes,
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
			alone := float64(size.Slots()) / size.TotalShares()
			return []hwload.Source{
				smallSource(int(alone)),
				{
					Account:         AccountName(flooded),
					Router:          RouterName(1),
					Concurrency:     int(100 * alone),
					ResponseLengths: mixedSizes,
					Label:           "flood",
				},
			}
		},
		Metrics:  smallFigures,
		Policies: Policies()[:2],
	}
}

// smallAloneCase gives the small account an engine of its own with its share of the slots: that is what it would wait without anybody else.
func smallAloneCase() Case {
	c := starvationCase()
	c.Name = "small-alone"
	c.Resize = func(size Size) Size {
		size.EngineSlots = max(1, int(float64(size.Slots())/size.TotalShares()))
		size.Engines = 1
		return size
	}
	c.Sources = func(size Size) []hwload.Source { return []hwload.Source{smallSource(size.Slots())} }
	c.Policies = Policies()[1:2]
	return c
}

func smallFigures(r *Result) []Metric {
	waits := r.waits("small")
	return []Metric{
		figure("small-wait-p50", ms(hwload.Percentile(waits, 0.5)), "ms"),
		figure("small-wait-p99", ms(hwload.Percentile(waits, 0.99)), "ms"),
	}
}
