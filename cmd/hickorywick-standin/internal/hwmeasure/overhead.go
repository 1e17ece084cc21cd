package hwmeasure

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeengine"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// The loads for comparing requests through one router with requests sent directly to the engine.
const (
	overheadRequestsPerSecond = 1000
	overheadStreams           = 500
	overheadDuration          = 6 * time.Second
	idleStreams               = 1000
	streamInterTokenLatency   = 20 * time.Millisecond
)

// newOverheadWorld starts one router in front of one engine with far more slots than the load needs, so that no request queues.
func newOverheadWorld(ctx context.Context, tokenLatency time.Duration) (*hwworld.Cluster, error) {
	world, err := hwworld.New(ctx, hwworld.Settings{
		Routers:     1,
		Engines:     1,
		EngineSlots: 1_000_000,
		Engine: hwfakeengine.Settings{
			InterTokenLatency: tokenLatency,
		},
		Accounts: []hwdocument.Account{{
			Name:       AccountName(0),
			Share:      1,
			KeySHA256:  []string{hwworld.AccountKeyDigest(AccountName(0))},
			QueueBound: 100_000,
		}},
		Coordination: hwrouter.CoordinationLeased,
		Gain:         hwrouter.DefaultGain,
		Lanes:        hwdispatch.SplitLanes,
		RouterTiming: hwrouter.DefaultTiming(),
		QueueTimeout: time.Minute,
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

// Overhead compares requests through one router with requests sent directly to the engine, in the same run.
func Overhead(ctx context.Context, out io.Writer) error {
	if err := measureAddedLatency(ctx, out); err != nil {
		return trace.Wrap(err)
	}
	return measureStreaming(ctx, out)
}

func measureAddedLatency(ctx context.Context, out io.Writer) error {
	world, err := newOverheadWorld(ctx, time.Microsecond)
	if err != nil {
		return trace.Wrap(err)
	}
	defer world.Close()
	source := hwload.Source{
		Account:     AccountName(0),
		ArrivalRate: func(time.Duration) float64 { return overheadRequestsPerSecond },
		ResponseLengths: hwload.ResponseLengths{
			Median: 1,
		},
		NonStreaming: true,
	}
	medians := map[string]time.Duration{}
	// Both targets are measured twice, alternating, so that a drift in the machine's performance is visible.
	for range 2 {
		for _, t := range targets(world) {
			recorder := generateLoad(ctx, t.address, source, overheadDuration)
			var latencies []time.Duration
			for _, r := range recorder.Records() {
				latencies = append(latencies, r.EndedAt.Sub(r.StartedAt))
			}
			medians[t.name] = hwload.Percentile(latencies, 0.5)
			_, _ = fmt.Fprintf(out, "case=added-latency way=%s requests=%d broken=%d median-ms=%.3f p99-ms=%.3f\n", t.name, len(latencies),
				recorder.Count("", hwload.OutcomeInvalid), milliseconds(hwload.Percentile(latencies, 0.5)), milliseconds(hwload.Percentile(latencies, 0.99)))
		}
	}
	_, err = fmt.Fprintf(out, "case=added-latency added-median-ms=%.3f\n", milliseconds(medians["router"]-medians["direct"]))
	return trace.Wrap(err)
}

type target struct {
	name    string
	address string
}

func targets(world *hwworld.Cluster) []target {
	return []target{
		{
			name:    "direct",
			address: world.Engines[0].Server.Address(),
		},
		{
			name:    "router",
			address: world.AllRouters()[0].ClientAddress,
		},
	}
}

func generateLoad(ctx context.Context, address string, source hwload.Source, duration time.Duration) *hwload.Recorder {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	client := hwload.NewClient(0)
	defer client.Close()
	recorder := hwload.NewRecorder()
	client.Run(ctx, func(string) string { return address }, source, 1, recorder)
	return recorder
}

// measureStreaming measures the token throughput at a load of 25,000 tokens per second, and the memory per open stream in excess of what the engine and the client use.
func measureStreaming(ctx context.Context, out io.Writer) error {
	world, err := newOverheadWorld(ctx, streamInterTokenLatency)
	if err != nil {
		return trace.Wrap(err)
	}
	defer world.Close()
	source := hwload.Source{
		Account:     AccountName(0),
		Concurrency: overheadStreams,
		ResponseLengths: hwload.ResponseLengths{
			Median: 100_000,
		},
	}
	rates := map[string]float64{}
	memoryPerStream := map[string]memoryUse{}
	for _, t := range targets(world) {
		rate, cores := measureTokenRate(ctx, world, t.address, source)
		rates[t.name] = rate
		memoryPerStream[t.name] = measureMemoryPerStream(ctx, t.address)
		_, _ = fmt.Fprintf(out, "case=streaming way=%s streams=%d tokens-per-second=%.0f process-cores=%.2f\n", t.name, overheadStreams, rate, cores)
	}
	heap := (memoryPerStream["router"].heap - memoryPerStream["direct"].heap) / 1000
	stacks := (memoryPerStream["router"].stacks - memoryPerStream["direct"].stacks) / 1000
	_, err = fmt.Fprintf(out, "case=streaming fewer-tokens-percent=%.2f\ncase=idle-streams streams=%d kilobytes-per-stream=%.1f heap=%.1f stacks=%.1f\n",
		100*(1-rates["router"]/rates["direct"]), idleStreams, heap+stacks, heap, stacks)
	return trace.Wrap(err)
}

// measureTokenRate keeps streams open and returns the tokens per second that clients receive, and the CPU cores that the process uses, after the first third of the run.
func measureTokenRate(ctx context.Context, world *hwworld.Cluster, address string, source hwload.Source) (rate, cores float64) {
	ctx, cancel := context.WithTimeout(ctx, overheadDuration)
	defer cancel()
	client := hwload.NewClient(0)
	recorder := hwload.NewRecorder()
	// The streams are too long to complete during the run; restarting the engine ends them.
	running := hwtask.Start(ctx, func(ctx context.Context) error {
		client.Run(ctx, func(string) string { return address }, source, 1, recorder)
		return nil
	})
	time.Sleep(overheadDuration / 3)
	start := time.Now()
	recorder.Sample(start)
	cpuBefore := processCPUTime()
	<-ctx.Done()
	end := time.Now()
	recorder.Sample(end)
	cores = (processCPUTime() - cpuBefore).Seconds() / end.Sub(start).Seconds()
	world.Engines[0].Server.Kill()
	_ = hwtask.Join(running)
	client.Close()
	_ = world.Engines[0].Server.Start()
	return float64(recorder.ServedTokens(start, end)) / end.Sub(start).Seconds(), cores
}

// memoryUse is the memory in use by the process, in bytes.
type memoryUse struct {
	heap   float64
	stacks float64
}

// measureMemoryPerStream returns the heap and stack memory per open stream.
func measureMemoryPerStream(ctx context.Context, address string) memoryUse {
	before := readMemoryUse()
	ctx, cancel := context.WithTimeout(ctx, overheadDuration/2)
	defer cancel()
	client := hwload.NewClient(0)
	defer client.Close()
	running := hwtask.Start(ctx, func(ctx context.Context) error {
		client.Run(ctx, func(string) string { return address }, hwload.Source{
			Account:     AccountName(0),
			Concurrency: idleStreams,
			ResponseLengths: hwload.ResponseLengths{
				Median: 400,
			},
		}, 1, hwload.NewRecorder())
		return nil
	})
	<-ctx.Done()
	after := readMemoryUse()
	_ = hwtask.Join(running)
	return memoryUse{
		heap:   (after.heap - before.heap) / idleStreams,
		stacks: (after.stacks - before.stacks) / idleStreams,
	}
}

// gcCycles is the number of garbage collections after which pooled buffers and the stacks of exited goroutines are freed.
const gcCycles = 3

func readMemoryUse() memoryUse {
	for range gcCycles {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memoryUse{
		heap:   float64(m.HeapAlloc),
		stacks: float64(m.StackInuse),
	}
}
