package hwmeasure

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
)

func brokerCase() Case {
	return Case{
		Name:         "broker-killed",
		QueueTimeout: time.Minute,
		Warmup:       4 * time.Second,
		Length:       16 * time.Second,
		Sources:      backlogged,
		Events: []Event{{
			Name: "kill",
			At:   4 * time.Second,
			Do:   killBroker,
		}},
		Figures: func(r *Result) []Figure {
			killed := r.Marks["kill"]
			return []Figure{
				figure("survivors-held-before", r.Note["survivors"], "slots"),
				figure("gap-from-five-seconds-after", r.Books.Gap(killed.Add(5*time.Second), r.To, r.Size.ShareOf()), "tokens/share"),
				figure("lowest-use-after", r.lowestUse(killed.Add(100*time.Millisecond), r.To), "slots"),
				figure("use-after-five-seconds", r.meanUse(killed.Add(5*time.Second), r.To), "slots"),
				figure("most-above-limit", r.mostAbove(), "slots"),
			}
		},
		Policies: Policies()[1:2],
	}
}

// killBroker ends the instance that brokers the model pool.
func killBroker(r *Result) error {
	broker := r.World.AllRouters()[0].Router.Status(time.Now()).Brokers[hwworld.ModelPool]
	for _, router := range r.World.AllRouters() {
		if router.Name == broker {
			continue
		}
		for _, p := range router.Router.Status(time.Now()).Pools {
			if p.Pool == hwworld.ModelPool {
				r.Note["survivors"] += float64(p.InUse)
			}
		}
	}
	router, err := r.World.FindRouter(broker)
	if err != nil {
		return trace.Wrap(err)
	}
	router.Kill()
	// The platform's list shows the loss after its lag.
	r.World.InstanceList.Remove(broker)
	return nil
}

func partitionCase() Case {
	return Case{
		Name:         "partition",
		QueueTimeout: time.Minute,
		Warmup:       4 * time.Second,
		Length:       24 * time.Second,
		Sources:      backlogged,
		Events: []Event{
			{
				Name: "cut",
				At:   2 * time.Second,
				Do: func(r *Result) error {
					r.World.Network.Isolate(Router(1))
					return nil
				},
			},
			{
				Name: "heal",
				At:   12 * time.Second,
				Do: func(r *Result) error {
					r.World.Network.Heal(Router(1))
					return nil
				},
			},
		},
		Figures: func(r *Result) []Figure {
			healed := r.Marks["heal"]
			return []Figure{
				figure("most-above-limit", r.mostAbove(), "slots"),
				figure("gap-during", r.Books.Gap(r.Marks["cut"], healed, r.Size.ShareOf()), "tokens/share"),
				figure("gap-from-3s-after-heal", r.Books.Gap(healed.Add(3*time.Second), r.To, r.Size.ShareOf()), "tokens/share"),
				figure("lowest-service-in-2s-after-heal", r.lowestService(healed, 2*time.Second), "part of share"),
				figure("use-while-cut", r.meanUse(r.Marks["cut"].Add(3*time.Second), healed), "slots"),
				figure("use-after-heal", r.meanUse(healed.Add(3*time.Second), r.To), "slots"),
				figure("lowest-use", r.lowestUse(r.From, r.To), "slots"),
			}
		},
		Policies: Policies()[1:2],
	}
}

// coldStartCase begins the load while every instance starts with empty state.
func coldStartCase() Case {
	return Case{
		Name:         "cold-start",
		QueueTimeout: time.Minute,
		Cold:         true,
		Warmup:       time.Second,
		Length:       24 * time.Second,
		Sources:      backlogged,
		Figures: func(r *Result) []Figure {
			leased := r.From.Add(hwrouter.StartupLearningPeriod(hwrouter.DefaultTiming()))
			return []Figure{
				figure("most-above-limit", r.mostAbove(), "slots"),
				figure("gap", r.Books.Gap(r.From, r.To, r.Size.ShareOf()), "tokens/share"),
				figure("gap-in-last-5s", r.Books.Gap(r.To.Add(-5*time.Second), r.To, r.Size.ShareOf()), "tokens/share"),
				figure("lowest-part-of-share-in-2s-once-leased", r.lowestService(leased.Add(time.Second), 2*time.Second), "part"),
				figure("slots-in-use", r.meanUse(r.From, r.To)/float64(r.Size.Slots()), "part"),
			}
		},
		Policies: Policies()[1:2],
	}
}
