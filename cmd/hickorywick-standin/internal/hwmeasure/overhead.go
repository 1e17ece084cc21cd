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

// The loads under which one router is compared with the engine itself.
const (
	overheadRate    = 1000
	overheadStreams = 500
	overheadLength  = 6 * time.Second
	idleStreams     = 1000
	streamTokenTime = 20 * time.Millisecond
)

// overheadWorld is one router before one engine with far more slots than are needed.
func overheadWorld(ctx context.Context, tokenTime time.Duration) (*hwworld.Cluster, error) {
	world, err := hwworld.New(ctx, hwworld.Settings{
		Routers:     1,
		Engines:     1,
		EngineSlots: 1_000_000,
		Engine: hwfakeengine.Settings{
			InterTokenLatency: tokenTime,
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
	settle()
	return world, nil
}

// Overhead compares one router with the engine itself, in the same run.
func Overhead(ctx context.Context, out io.Writer) error {
	if err := addedLatency(ctx, out); err != nil {
		return trace.Wrap(err)
	}
	return streaming(ctx, out)
}

func addedLatency(ctx context.Context, out io.Writer) error {
	world, err := overheadWorld(ctx, time.Microsecond)
	if err != nil {
		return trace.Wrap(err)
	}
	defer world.Close()
	source := hwload.Source{
		Account:     AccountName(0),
		ArrivalRate: func(time.Duration) float64 { return overheadRate },
		ResponseLengths: hwload.ResponseLengths{
			Median: 1,
		},
		NonStreaming: true,
	}
	medians := map[string]time.Duration{}
	// Each way is measured twice, in turn, so that a drift of the machine shows.
	for range 2 {
		for _, way := range ways(world) {
			books := load(ctx, way.address, source, overheadLength)
			var spans []time.Duration
			for _, r := range books.Records() {
				spans = append(spans, r.EndedAt.Sub(r.StartedAt))
			}
			medians[way.name] = hwload.Percentile(spans, 0.5)
			_, _ = fmt.Fprintf(out, "case=added-latency way=%s requests=%d broken=%d median-ms=%.3f p99-ms=%.3f\n", way.name, len(spans),
				books.Count("", hwload.OutcomeInvalid), ms(hwload.Percentile(spans, 0.5)), ms(hwload.Percentile(spans, 0.99)))
		}
	}
	_, err = fmt.Fprintf(out, "case=added-latency added-median-ms=%.3f\n", ms(medians["router"]-medians["direct"]))
	return trace.Wrap(err)
}

type way struct {
	name    string
	address string
}

func ways(world *hwworld.Cluster) []way {
	return []way{
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

func load(ctx context.Context, address string, source hwload.Source, length time.Duration) *hwload.Recorder {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	client := hwload.NewClient(0)
	defer client.Close()
	books := hwload.NewRecorder()
	client.Run(ctx, func(string) string { return address }, source, 1, books)
	return books
}

// streaming measures tokens a second at 25,000, and the memory of open streams beyond what the engine and the caller need for themselves.
func streaming(ctx context.Context, out io.Writer) error {
	world, err := overheadWorld(ctx, streamTokenTime)
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
	held := map[string]memory{}
	for _, way := range ways(world) {
		rate, cpu := tokenRate(ctx, world, way.address, source)
		rates[way.name] = rate
		held[way.name] = heldPerStream(ctx, way.address)
		_, _ = fmt.Fprintf(out, "case=streaming way=%s streams=%d tokens-per-second=%.0f process-cores=%.2f\n", way.name, overheadStreams, rate, cpu)
	}
	heap := (held["router"].heap - held["direct"].heap) / 1000
	stacks := (held["router"].stacks - held["direct"].stacks) / 1000
	_, err = fmt.Fprintf(out, "case=streaming fewer-tokens-percent=%.2f\ncase=idle-streams streams=%d kilobytes-per-stream=%.1f heap=%.1f stacks=%.1f\n",
		100*(1-rates["router"]/rates["direct"]), idleStreams, heap+stacks, heap, stacks)
	return trace.Wrap(err)
}

// tokenRate keeps streams open and counts the tokens that callers get in the middle of the run.
func tokenRate(ctx context.Context, world *hwworld.Cluster, address string, source hwload.Source) (rate, cores float64) {
	ctx, cancel := context.WithTimeout(ctx, overheadLength)
	defer cancel()
	client := hwload.NewClient(0)
	books := hwload.NewRecorder()
	// The streams never end by themselves; the run ends when the engine is restarted.
	running := hwtask.Start(ctx, func(ctx context.Context) error {
		client.Run(ctx, func(string) string { return address }, source, 1, books)
		return nil
	})
	time.Sleep(overheadLength / 3)
	begin := time.Now()
	books.Sample(begin)
	cpu := processorTime()
	<-ctx.Done()
	end := time.Now()
	books.Sample(end)
	cores = (processorTime() - cpu).Seconds() / end.Sub(begin).Seconds()
	world.Engines[0].Server.Kill()
	_ = hwtask.Join(running)
	client.Close()
	_ = world.Engines[0].Server.Start()
	return float64(books.ServedTokens(begin, end)) / end.Sub(begin).Seconds(), cores
}

// memory is what a process holds, in bytes.
type memory struct {
	heap   float64
	stacks float64
}

// heldPerStream returns the heap and stacks per open stream.
func heldPerStream(ctx context.Context, address string) memory {
	before := inUse()
	ctx, cancel := context.WithTimeout(ctx, overheadLength/2)
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
	after := inUse()
	_ = hwtask.Join(running)
	return memory{
		heap:   (after.heap - before.heap) / idleStreams,
		stacks: (after.stacks - before.stacks) / idleStreams,
	}
}

// collections is how many collections it takes until pooled buffers and the stacks of ended goroutines are free.
const collections = 3

func inUse() memory {
	for range collections {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memory{
		heap:   float64(m.HeapAlloc),
		stacks: float64(m.StackInuse),
	}
}
