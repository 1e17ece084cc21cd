// Package hwdemo demonstrates weighted fair sharing in one process: it runs stand-ins and four routers under a mixed load and prints a table of the results.
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

// Dimensions of the demonstration cluster.
const (
	routerCount       = 4
	engineCount       = 9
	slotsPerEngine    = 4
	slotsPerService   = 8
	interTokenLatency = 5 * time.Millisecond
	timeToFirstToken  = 10 * time.Millisecond
	sampleInterval    = 100 * time.Millisecond
	// brokerLearningPeriod is how long the brokers of a newly started fleet only confirm the holdings that routers report. During this time every router has an equal part of the slots.
	brokerLearningPeriod = 3500 * time.Millisecond
)

type accountLoad struct {
	name            string
	share           float64
	clientsByRouter map[string]int
}

// accountLoads returns the load of each account. The load is spread unevenly: each account sends requests to only one or two routers.
func accountLoads() []accountLoad {
	return []accountLoad{
		{
			name:            "franchise-managers",
			share:           4,
			clientsByRouter: map[string]int{"router-1": 40},
		},
		{
			name:            "cellar-stewards",
			share:           2,
			clientsByRouter: map[string]int{"router-1": 10, "router-2": 20},
		},
		{
			name:            "bar-staff",
			share:           2,
			clientsByRouter: map[string]int{"router-3": 30},
		},
		{
			name:            "brewers",
			share:           1,
			clientsByRouter: map[string]int{"router-4": 60},
		},
	}
}

// Run applies the load for the given duration and prints the results. It returns a VerificationError if a request has no recorded outcome, a response is invalid or an order was executed more than once.
func Run(ctx context.Context, out io.Writer, duration time.Duration) error {
	cluster, err := startCluster(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	defer cluster.Close()
	client := hwload.NewClient(0)
	defer client.Close()
	recorder := hwload.NewRecorder()
	startedAt := time.Now()
	runLoad(ctx, cluster, client, recorder, duration)
	return printResults(out, cluster, recorder, startedAt, startedAt.Add(duration))
}

func startCluster(ctx context.Context) (*hwworld.Cluster, error) {
	documentAccounts := make([]hwdocument.Account, 0, len(accountLoads()))
	for _, a := range accountLoads() {
		documentAccounts = append(documentAccounts, hwdocument.Account{
			Name:      a.name,
			Share:     a.share,
			KeySHA256: []string{hwworld.AccountKeyDigest(a.name)},
		})
	}
	cluster, err := hwworld.New(ctx, hwworld.Settings{
		Routers:     routerCount,
		Zones:       3,
		Engines:     engineCount,
		EngineSlots: slotsPerEngine,
		Engine: hwfakeengine.Settings{
			InterTokenLatency: interTokenLatency,
			TimeToFirstToken:  timeToFirstToken,
		},
		Services:     1,
		ServiceSlots: slotsPerService,
		Accounts:     documentAccounts,
		Coordination: hwrouter.CoordinationLeased,
		Gain:         hwrouter.DefaultGain,
		Lanes:        hwdispatch.SplitLanes,
		RouterTiming: hwrouter.DefaultTiming(),
		QueueTimeout: 10 * time.Second,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	readyContext, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if err := cluster.WaitReady(readyContext); err != nil {
		return nil, trace.Wrap(err)
	}
	time.Sleep(brokerLearningPeriod)
	return cluster, nil
}

func runLoad(ctx context.Context, cluster *hwworld.Cluster, client *hwload.Client, recorder *hwload.Recorder, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	address := func(name string) string {
		router, err := cluster.FindRouter(name)
		if err != nil {
			return ""
		}
		return router.ClientAddress
	}
	var tasks []<-chan error
	seed := uint64(1)
	startSource := func(source hwload.Source) {
		seed++
		sourceSeed := seed
		tasks = append(tasks, hwtask.Start(ctx, func(ctx context.Context) error {
			client.Run(ctx, address, source, sourceSeed, recorder)
			return nil
		}))
	}
	for _, a := range accountLoads() {
		for router, clients := range a.clientsByRouter {
			startSource(hwload.Source{
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
			startSource(hwload.Source{
				Account:      a.name,
				Router:       router,
				Concurrency:  2,
				Label:        "order",
				PlainService: true,
			})
		}
	}
	sampler := hwtask.Start(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			recorder.Sample(time.Now())
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
	_ = hwtask.Join(append(tasks, sampler)...)
}

// VerificationError counts the violations that the demonstration found. Unaccounted is the number of requests without a recorded outcome. InvalidResponses counts responses that belong to another request or are neither complete nor a reported failure. DuplicateExecutions counts the repeated executions of the order that was executed most often.
type VerificationError struct {
	Unaccounted         int
	InvalidResponses    int
	DuplicateExecutions int
}

// Error returns the count of each kind of violation.
func (e *VerificationError) Error() string {
	return fmt.Sprintf("%d requests unaccounted for, %d broken answers, %d orders executed more than once", e.Unaccounted, e.InvalidResponses, e.DuplicateExecutions)
}

func printResults(out io.Writer, cluster *hwworld.Cluster, recorder *hwload.Recorder, from, to time.Time) error {
	shares := map[string]float64{}
	totalShare := 0.0
	for _, a := range accountLoads() {
		shares[a.name] = a.share
		totalShare += a.share
	}
	totalTokens := recorder.ServedTokens(from, to)
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "account\tshare\tof all\ttokens\tof all\tanswered\tnot-run\tunknown")
	samples := recorder.Samples()
	tokensByAccount := samples[len(samples)-1].Service
	for _, a := range accountLoads() {
		_, _ = fmt.Fprintf(writer, "%s\t%g\t%.1f %%\t%d\t%.1f %%\t%d\t%d\t%d\n", a.name, a.share, 100*a.share/totalShare,
			tokensByAccount[a.name], 100*float64(tokensByAccount[a.name])/float64(totalTokens),
			recorder.Count(a.name, hwload.OutcomeAnswered), recorder.Count(a.name, hwload.OutcomeNotRun), recorder.Count(a.name, hwload.OutcomeUnknown))
	}
	_ = writer.Flush()
	capacityTokens := float64(engineCount*slotsPerEngine) * to.Sub(from).Seconds() / (2 * interTokenLatency.Seconds())
	_, maxExecutions := cluster.Services[0].MostExecuted()
	_, _ = fmt.Fprintf(out, "utilisation %.2f of %d slots; largest gap %.0f tokens per share; requests %d\n",
		float64(totalTokens)/capacityTokens, engineCount*slotsPerEngine, recorder.FairnessGap(from.Add(time.Second), to, shares), len(recorder.Records()))
	violations := &VerificationError{
		Unaccounted:         recorder.Unaccounted(),
		InvalidResponses:    recorder.Count("", hwload.OutcomeInvalid),
		DuplicateExecutions: max(0, maxExecutions-1),
	}
	_, _ = fmt.Fprintln(out, violations.Error())
	if violations.Unaccounted+violations.InvalidResponses+violations.DuplicateExecutions > 0 {
		return violations
	}
	return nil
}
