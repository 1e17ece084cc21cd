package hwmeasure

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Event is a change applied to the test environment during a run, such as a fault.
type Event struct {
	// Offset is relative to the start of the measured interval; negative offsets fall into the warm-up.
	Offset time.Duration
	Name   string
	Apply  func(r *Result) error
}

// Case is a scenario to measure.
type Case struct {
	Name         string
	QueueTimeout time.Duration
	// Resize adjusts the deployment size for the case; nil leaves it unchanged.
	Resize func(Size) Size
	// ColdStart starts the load without waiting for the brokers to lease slots.
	ColdStart bool
	Warmup    time.Duration
	Length    time.Duration
	Sources   func(size Size) []hwload.Source
	Events    []Event
	Metrics   func(r *Result) []Metric
	Policies  []Policy
}

// Metric is one measured value, printed on one line of the output.
type Metric struct {
	Name  string
	Value float64
	Unit  string
}

func metric(name string, value float64, unit string) Metric {
	return Metric{
		Name:  name,
		Value: value,
		Unit:  unit,
	}
}

// ConcurrencySample is the number of requests in flight at the engines at one point in time.
type ConcurrencySample struct {
	At       time.Time
	InFlight int64
	// MaxOverLimit is the largest number of requests by which any engine exceeded its slots.
	MaxOverLimit int64
}

// Result holds the measurements of one run.
type Result struct {
	Size     Size
	Policy   Policy
	World    *hwworld.Cluster
	Recorder *hwload.Recorder
	// From and To bound the measured interval, which follows the warm-up.
	From               time.Time
	To                 time.Time
	ConcurrencySamples []ConcurrencySample
	// EventTimes holds the time at which each event was applied, by event name.
	EventTimes map[string]time.Time
	// Observations holds values that events record, by name.
	Observations map[string]float64
	// controlBytes is the control traffic of all routers during the run.
	controlBytes int64
	processCPU   time.Duration
	// controlCPU is the CPU time that all routers spent on control-plane work.
	controlCPU  time.Duration
	routerCount int
	duration    time.Duration
}

const (
	// sampleInterval is the interval between samples of served tokens and requests in flight.
	sampleInterval = 50 * time.Millisecond
	// leaseWaitMargin is added to the startup learning period of the brokers.
	leaseWaitMargin = 500 * time.Millisecond
)

// waitForLeases waits until the brokers of newly started instances have finished their startup learning period and lease slots. Before that, the capacity is divided equally among the instances; the cold-start case measures this state.
func waitForLeases() {
	time.Sleep(hwrouter.StartupLearningPeriod(hwrouter.DefaultTiming()) + leaseWaitMargin)
}

// Run measures one case at one size under one policy.
func Run(ctx context.Context, c Case, size Size, policy Policy) (*Result, error) {
	if c.Resize != nil {
		size = c.Resize(size)
	}
	world, err := hwworld.New(ctx, size.worldSettings(policy, c))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer world.Close()
	ready, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	if err := world.WaitReady(ready); err != nil {
		return nil, trace.Wrap(err)
	}
	if !c.ColdStart {
		waitForLeases()
	}
	r := &Result{
		Size:         size,
		Policy:       policy,
		World:        world,
		Recorder:     hwload.NewRecorder(),
		EventTimes:   map[string]time.Time{},
		Observations: map[string]float64{},
		routerCount:  len(world.AllRouters()),
	}
	return r, r.run(ctx, c)
}

func (r *Result) run(ctx context.Context, c Case) error {
	client := hwload.NewClient(r.Size.CallerDelay)
	defer client.Close()
	started := time.Now()
	r.From = started.Add(c.Warmup)
	r.To = r.From.Add(c.Length)
	load, cancel := context.WithDeadline(ctx, r.To)
	defer cancel()
	var tasks []<-chan error
	for i, source := range c.Sources(r.Size) {
		tasks = append(tasks, hwtask.Start(load, func(ctx context.Context) error {
			client.Run(ctx, r.routerAddress, source, uint64(i+1), r.Recorder)
			return nil
		}))
	}
	tasks = append(tasks, hwtask.Start(load, r.sampleLoop))
	bytesBefore := r.controlTrafficBytes()
	cpuBefore := processCPUTime()
	profile, runErr := startProfile()
	for _, event := range c.Events {
		time.Sleep(time.Until(r.From.Add(event.Offset)))
		r.EventTimes[event.Name] = time.Now()
		if err := event.Apply(r); err != nil {
			runErr = err
		}
	}
	<-load.Done()
	r.controlBytes = r.controlTrafficBytes() - bytesBefore
	r.processCPU = processCPUTime() - cpuBefore
	r.duration = time.Since(started)
	var profileErr error
	r.controlCPU, profileErr = profile.stop()
	return trace.NewAggregate(runErr, profileErr, hwtask.Join(tasks...))
}

// routerAddress returns the address at which a source's router listens; under the central policy all sources use the single router.
func (r *Result) routerAddress(name string) string {
	if r.Policy.Central {
		name = RouterName(0)
	}
	// Like the platform's load balancer, this skips instances that are not ready.
	for _, router := range append(r.findRouter(name), r.World.AllRouters()...) {
		if router.Router.Ready() {
			return router.ClientAddress
		}
	}
	return ""
}

func (r *Result) findRouter(name string) []*hwworld.Router {
	router, err := r.World.FindRouter(name)
	if err != nil {
		return nil
	}
	return []*hwworld.Router{router}
}

func (r *Result) sampleLoop(ctx context.Context) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		r.Recorder.Sample(now)
		sample := ConcurrencySample{
			At: now,
		}
		for _, e := range r.World.Engines {
			running, _ := e.InFlight()
			sample.InFlight += running
			sample.MaxOverLimit = max(sample.MaxOverLimit, running-int64(r.Size.EngineSlots))
		}
		r.ConcurrencySamples = append(r.ConcurrencySamples, sample)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Result) controlTrafficBytes() int64 {
	total := int64(0)
	for _, router := range r.World.AllRouters() {
		total += router.Router.ControlTrafficBytes()
	}
	return total
}

func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// commonMetrics returns the metrics that every case reports.
func (r *Result) commonMetrics() []Metric {
	memStats := runtime.MemStats{}
	runtime.ReadMemStats(&memStats)
	seconds := r.duration.Seconds()
	return []Metric{
		metric("requests", float64(len(r.Recorder.Records())), "1"),
		metric("unaccounted", float64(r.Recorder.Unaccounted()), "1"),
		metric("broken", float64(r.Recorder.Count("", hwload.OutcomeInvalid)), "1"),
		metric("unknown", float64(r.Recorder.Count("", hwload.OutcomeUnknown)), "1"),
		metric("not-run", float64(r.Recorder.Count("", hwload.OutcomeNotRun)), "1"),
		metric("control-kilobytes-per-second-and-instance", float64(r.controlBytes)/1000/seconds/float64(r.routerCount), "kB/s"),
		metric("control-percent-of-a-core-and-instance", 100*r.controlCPU.Seconds()/seconds/float64(r.routerCount), "%"),
		metric("process-cores", r.processCPU.Seconds()/seconds, "cores"),
	}
}

// Print writes the metrics of a result, one per line, as key=value pairs.
func Print(out io.Writer, c Case, r *Result) {
	prefix := fmt.Sprintf("case=%s size=%s policy=%s", c.Name, r.Size.Name, r.Policy.Name)
	for _, f := range append(c.Metrics(r), r.commonMetrics()...) {
		_, _ = fmt.Fprintf(out, "%s %s=%.4g unit=%s\n", prefix, f.Name, f.Value, f.Unit)
	}
}
