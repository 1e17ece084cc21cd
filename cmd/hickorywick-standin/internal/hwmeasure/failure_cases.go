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
			Name:   "kill",
			Offset: 4 * time.Second,
			Apply:  killBroker,
		}},
		Metrics: func(r *Result) []Metric {
			killed := r.EventTimes["kill"]
			return []Metric{
				figure("survivors-held-before", r.Observations["survivors"], "slots"),
				figure("gap-from-five-seconds-after", r.Recorder.FairnessGap(killed.Add(5*time.Second), r.To, r.Size.SharesByAccount()), "tokens/share"),
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
				r.Observations["survivors"] += float64(p.InUse)
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
				Name:   "cut",
				Offset: 2 * time.Second,
				Apply: func(r *Result) error {
					r.World.Network.Isolate(RouterName(1))
					return nil
				},
			},
			{
				Name:   "heal",
				Offset: 12 * time.Second,
				Apply: func(r *Result) error {
					r.World.Network.Heal(RouterName(1))
					return nil
				},
			},
		},
		Metrics: func(r *Result) []Metric {
			healed := r.EventTimes["heal"]
			return []Metric{
				figure("most-above-limit", r.mostAbove(), "slots"),
				figure("gap-during", r.Recorder.FairnessGap(r.EventTimes["cut"], healed, r.Size.SharesByAccount()), "tokens/share"),
				figure("gap-from-3s-after-heal", r.Recorder.FairnessGap(healed.Add(3*time.Second), r.To, r.Size.SharesByAccount()), "tokens/share"),
				figure("lowest-service-in-2s-after-heal", r.lowestService(healed, 2*time.Second), "part of share"),
				figure("use-while-cut", r.meanUse(r.EventTimes["cut"].Add(3*time.Second), healed), "slots"),
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
		ColdStart:    true,
		Warmup:       time.Second,
		Length:       24 * time.Second,
		Sources:      backlogged,
		Metrics: func(r *Result) []Metric {
			leased := r.From.Add(hwrouter.StartupLearningPeriod(hwrouter.DefaultTiming()))
			return []Metric{
				figure("most-above-limit", r.mostAbove(), "slots"),
				figure("gap", r.Recorder.FairnessGap(r.From, r.To, r.Size.SharesByAccount()), "tokens/share"),
				figure("gap-in-last-5s", r.Recorder.FairnessGap(r.To.Add(-5*time.Second), r.To, r.Size.SharesByAccount()), "tokens/share"),
				figure("lowest-part-of-share-in-2s-once-leased", r.lowestService(leased.Add(time.Second), 2*time.Second), "part"),
				figure("slots-in-use", r.meanUse(r.From, r.To)/float64(r.Size.Slots()), "part"),
			}
		},
		Policies: Policies()[1:2],
	}
}
