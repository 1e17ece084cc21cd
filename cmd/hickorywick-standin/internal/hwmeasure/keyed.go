package hwmeasure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// The load of requests with idempotency keys: 500 per second over all instances, with a store latency of 3 ms.
const (
	idempotentRequestsPerSecond = 500
	idempotencyDuration         = 10 * time.Second
	storeLatency                = 3 * time.Millisecond
)

// MeasureIdempotency measures the cost of recording requests with idempotency keys: store reads and writes per second, and request latency.
func MeasureIdempotency(ctx context.Context, out io.Writer) error {
	world, err := newIdempotencyWorld(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	defer world.Close()
	before := world.Store.RequestCounts()
	recorder := hwload.NewRecorder()
	load, cancel := context.WithTimeout(ctx, idempotencyDuration)
	defer cancel()
	var tasks []<-chan error
	client := hwload.NewClient(0)
	defer client.Close()
	for i, router := range world.AllRouters() {
		tasks = append(tasks, hwtask.Start(load, func(ctx context.Context) error {
			client.Run(ctx, func(string) string { return router.ClientAddress }, hwload.Source{
				Account:      AccountName(0),
				Router:       router.Name,
				ArrivalRate:  func(time.Duration) float64 { return idempotentRequestsPerSecond / float64(len(world.AllRouters())) },
				PlainService: true,
			}, uint64(i+1), recorder)
			return nil
		}))
	}
	if err := hwtask.Join(tasks...); err != nil {
		return trace.Wrap(err)
	}
	after := world.Store.RequestCounts()
	var latencies []time.Duration
	for _, r := range recorder.Records() {
		latencies = append(latencies, r.EndedAt.Sub(r.StartedAt))
	}
	_, maxExecutions := world.Services[0].MostExecuted()
	_, err = fmt.Fprintf(out, "case=keyed requests=%d answered=%d broken=%d most-executions-of-a-key=%d store-writes-per-second=%.1f store-reads-per-second=%.1f p50-ms=%.1f p99-ms=%.1f\n",
		len(latencies), recorder.Count("", hwload.OutcomeAnswered), recorder.Count("", hwload.OutcomeInvalid), maxExecutions,
		float64(after.Writes-before.Writes)/idempotencyDuration.Seconds(), float64(after.Reads-before.Reads)/idempotencyDuration.Seconds(),
		milliseconds(hwload.Percentile(latencies, 0.5)), milliseconds(hwload.Percentile(latencies, 0.99)))
	return trace.Wrap(err)
}

func newIdempotencyWorld(ctx context.Context) (*hwworld.Cluster, error) {
	world, err := hwworld.New(ctx, hwworld.Settings{
		Routers:      4,
		Zones:        3,
		Services:     1,
		ServiceSlots: 400,
		Accounts: []hwdocument.Account{{
			Name:       AccountName(0),
			Share:      1,
			KeySHA256:  []string{hwworld.AccountKeyDigest(AccountName(0))},
			QueueBound: 4096,
		}},
		Coordination: hwrouter.CoordinationLeased,
		Gain:         hwrouter.DefaultGain,
		Lanes:        hwdispatch.SplitLanes,
		RouterTiming: hwrouter.DefaultTiming(),
		StoreDelay:   storeLatency,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ready, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	if err := world.WaitReady(ready); err != nil {
		return nil, trace.Wrap(err)
	}
	waitForLeases()
	return world, nil
}
