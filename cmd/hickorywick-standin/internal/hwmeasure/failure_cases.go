package hwmeasure

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
)

func brokerFailureCase() Case {
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
				metric("survivors-held-before", r.Observations["survivors"], "slots"),
				metric("gap-from-five-seconds-after", r.Recorder.FairnessGap(killed.Add(5*time.Second), r.To, r.Size.SharesByAccount()), "tokens/share"),
				metric("lowest-use-after", r.minInFlight(killed.Add(100*time.Millisecond), r.To), "slots"),
				metric("use-after-five-seconds", r.meanInFlight(killed.Add(5*time.Second), r.To), "slots"),
				metric("most-above-limit", r.maxOverLimit(), "slots"),
			}
		},
		Policies: Policies()[1:2],
	}
}

// killBroker stops the instance that is the broker of the model pool. It first records how many slots the other instances hold.
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
	// The platform's instance list reflects the removal after its configured lag.
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
				metric("most-above-limit", r.maxOverLimit(), "slots"),
				metric("gap-during", r.Recorder.FairnessGap(r.EventTimes["cut"], healed, r.Size.SharesByAccount()), "tokens/share"),
				metric("gap-from-3s-after-heal", r.Recorder.FairnessGap(healed.Add(3*time.Second), r.To, r.Size.SharesByAccount()), "tokens/share"),
				metric("lowest-service-in-2s-after-heal", r.minServiceRatio(healed, 2*time.Second), "part of share"),
				metric("use-while-cut", r.meanInFlight(r.EventTimes["cut"].Add(3*time.Second), healed), "slots"),
				metric("use-after-heal", r.meanInFlight(healed.Add(3*time.Second), r.To), "slots"),
				metric("lowest-use", r.minInFlight(r.From, r.To), "slots"),
			}
		},
		Policies: Policies()[1:2],
	}
}

// coldStartCase starts the load while every instance starts up with empty state.
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
				metric("most-above-limit", r.maxOverLimit(), "slots"),
				metric("gap", r.Recorder.FairnessGap(r.From, r.To, r.Size.SharesByAccount()), "tokens/share"),
				metric("gap-in-last-5s", r.Recorder.FairnessGap(r.To.Add(-5*time.Second), r.To, r.Size.SharesByAccount()), "tokens/share"),
				metric("lowest-part-of-share-in-2s-once-leased", r.minServiceRatio(leased.Add(time.Second), 2*time.Second), "part"),
				metric("slots-in-use", r.meanInFlight(r.From, r.To)/float64(r.Size.Slots()), "part"),
			}
		},
		Policies: Policies()[1:2],
	}
}
