// Package hwdemo shows the main job in one process: stand-ins, four routers, a mixed load, and a table at the end.
package hwdemo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
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

// The sizes of the demonstration.
const (
	routers      = 4
	engines      = 9
	engineSlots  = 4
	serviceSlots = 8
	tokenTime    = 5 * time.Millisecond
	firstToken   = 10 * time.Millisecond
	sampleEvery  = 100 * time.Millisecond
	// brokersListen is how long the brokers of a starting fleet only listen; until then every router has an equal part of the slots.
	brokersListen = 3500 * time.Millisecond
)

type demoAccount struct {
	name    string
	share   float64
	clients map[string]int
}

// accounts are spread unevenly: each is seen by one or two routers only.
func accounts() []demoAccount {
	return []demoAccount{
		{
			name:    "franchise-managers",
			share:   4,
			clients: map[string]int{"router-1": 40},
		},
		{
			name:    "cellar-stewards",
			share:   2,
			clients: map[string]int{"router-1": 10, "router-2": 20},
		},
		{
			name:    "bar-staff",
			share:   2,
			clients: map[string]int{"router-3": 30},
		},
		{
			name:    "brewers",
			share:   1,
			clients: map[string]int{"router-4": 60},
		},
	}
}

// Run runs the demonstration for a time, prints its table, and fails if any request is unaccounted for.
func Run(ctx context.Context, out io.Writer, length time.Duration) error {
	world, err := start(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	defer world.Close()
	client := hwload.NewClient(0)
	defer client.Close()
	books := hwload.NewRecorder()
	began := time.Now()
	load(ctx, world, client, books, length)
	return table(out, world, books, began, began.Add(length))
}

func start(ctx context.Context) (*hwworld.Cluster, error) {
	specs := make([]hwdocument.Account, 0, len(accounts()))
	for _, a := range accounts() {
		specs = append(specs, hwdocument.Account{
			Name:      a.name,
			Share:     a.share,
			KeySHA256: []string{hwworld.AccountKeyDigest(a.name)},
		})
	}
	world, err := hwworld.New(ctx, hwworld.Settings{
		Routers:     routers,
		Zones:       3,
		Engines:     engines,
		EngineSlots: engineSlots,
		Engine: hwfakeengine.Settings{
			InterTokenLatency: tokenTime,
			TimeToFirstToken:  firstToken,
		},
		Services:     1,
		ServiceSlots: serviceSlots,
		Accounts:     specs,
		Coordination: hwrouter.CoordinationLeased,
		Gain:         hwrouter.DefaultGain,
		Lanes:        hwdispatch.SplitLanes,
		RouterTiming: hwrouter.DefaultTiming(),
		QueueTimeout: 10 * time.Second,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ready, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if err := world.WaitReady(ready); err != nil {
		return nil, trace.Wrap(err)
	}
	time.Sleep(brokersListen)
	return world, nil
}

func load(ctx context.Context, world *hwworld.Cluster, client *hwload.Client, books *hwload.Recorder, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	address := func(name string) string {
		router, err := world.FindRouter(name)
		if err != nil {
			return ""
		}
		return router.ClientAddress
	}
	var tasks []<-chan error
	seed := uint64(1)
	run := func(source hwload.Source) {
		seed++
		own := seed
		tasks = append(tasks, hwtask.Start(ctx, func(ctx context.Context) error {
			client.Run(ctx, address, source, own, books)
			return nil
		}))
	}
	for _, a := range accounts() {
		for router, clients := range a.clients {
			run(hwload.Source{
				Account:     a.name,
				Router:      router,
				Concurrency: clients,
				Label:       "model",
				ResponseLengths: hwload.ResponseLengths{
					Median:            20,
					LogStdDev:         0.5,
					StragglerFraction: 0.03,
					StragglerFactor:   10,
				},
			})
			run(hwload.Source{
				Account:      a.name,
				Router:       router,
				Concurrency:  2,
				Label:        "order",
				PlainService: true,
			})
		}
	}
	sampler := hwtask.Start(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(sampleEvery)
		defer ticker.Stop()
		for {
			books.Sample(time.Now())
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
	_ = hwtask.Join(append(tasks, sampler)...)
}

// VerificationError says that requests began and nobody knows how they ended, or that an answer was not its caller's.
type VerificationError struct {
	Unaccounted         int
	InvalidResponses    int
	DuplicateExecutions int
}

// Error gives the numbers.
func (e *VerificationError) Error() string {
	return fmt.Sprintf("%d requests unaccounted for, %d broken answers, %d orders executed more than once", e.Unaccounted, e.InvalidResponses, e.DuplicateExecutions)
}

func table(out io.Writer, world *hwworld.Cluster, books *hwload.Recorder, from, to time.Time) error {
	shares := map[string]float64{}
	total := 0.0
	for _, a := range accounts() {
		shares[a.name] = a.share
		total += a.share
	}
	served := books.ServedTokens(from, to)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "account\tshare\tof all\ttokens\tof all\tanswered\tnot-run\tunknown")
	samples := books.Samples()
	last := samples[len(samples)-1].Service
	for _, a := range accounts() {
		_, _ = fmt.Fprintf(w, "%s\t%g\t%.1f %%\t%d\t%.1f %%\t%d\t%d\t%d\n", a.name, a.share, 100*a.share/total,
			last[a.name], 100*float64(last[a.name])/float64(served),
			books.Count(a.name, hwload.OutcomeAnswered), books.Count(a.name, hwload.OutcomeNotRun), books.Count(a.name, hwload.OutcomeUnknown))
	}
	_ = w.Flush()
	capacity := float64(engines*engineSlots) * to.Sub(from).Seconds() / (2 * tokenTime.Seconds())
	_, most := world.Services[0].MostExecuted()
	_, _ = fmt.Fprintf(out, "utilisation %.2f of %d slots; largest gap %.0f tokens per share; requests %d\n",
		float64(served)/capacity, engines*engineSlots, books.FairnessGap(from.Add(time.Second), to, shares), len(books.Records()))
	verdict := &VerificationError{
		Unaccounted:         books.Unaccounted(),
		InvalidResponses:    books.Count("", hwload.OutcomeInvalid),
		DuplicateExecutions: max(0, most-1),
	}
	_, _ = fmt.Fprintln(out, verdict.Error())
	if verdict.Unaccounted+verdict.InvalidResponses+verdict.DuplicateExecutions > 0 {
		return verdict
	}
	return nil
}
