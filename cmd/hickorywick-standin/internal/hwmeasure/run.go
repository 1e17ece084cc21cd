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

// Event is something done to the world during a run.
type Event struct {
	Offset time.Duration
	Name   string
	Apply  func(r *Result) error
}

// Case is a situation to measure.
type Case struct {
	Name         string
	QueueTimeout time.Duration
	// Resize changes the installation for the case; nil leaves it.
	Resize func(Size) Size
	// ColdStart begins the load while the fleet starts.
	ColdStart bool
	Warmup    time.Duration
	Length    time.Duration
	Sources   func(size Size) []hwload.Source
	Events    []Event
	Metrics   func(r *Result) []Metric
	Policies  []Policy
}

// Metric is one line of the result.
type Metric struct {
	Name  string
	Value float64
	Unit  string
}

func figure(name string, value float64, unit string) Metric {
	return Metric{
		Name:  name,
		Value: value,
		Unit:  unit,
	}
}

// ConcurrencySample is how many requests ran at the engines at a moment.
type ConcurrencySample struct {
	At       time.Time
	InFlight int64
	// MaxOverLimit is the most by which an engine exceeded its slots.
	MaxOverLimit int64
}

// Result is what a run left behind.
type Result struct {
	Size     Size
	Policy   Policy
	World    *hwworld.Cluster
	Recorder *hwload.Recorder
	// From and To bound the measured part.
	From               time.Time
	To                 time.Time
	ConcurrencySamples []ConcurrencySample
	// EventTimes are the moments of events.
	EventTimes   map[string]time.Time
	Observations map[string]float64
	control      int64
	cpu          time.Duration
	// controlCPU is the processor time of all routers' control.
	controlCPU time.Duration
	routers    int
	duration   time.Duration
}

// The rates at which a run is watched.
const (
	sampleEvery = 50 * time.Millisecond
	// settleMargin is added to the time for which the brokers of a starting fleet listen.
	settleMargin = 500 * time.Millisecond
)

// settle waits until the brokers of a fleet that has just started have listened and lease slots. A load that begins earlier meets equal parts of the capacity; that is the cold start, a case of its own.
func settle() {
	time.Sleep(hwrouter.StartupLearningPeriod(hwrouter.DefaultTiming()) + settleMargin)
}

// Run measures one case at one size under one policy.
func Run(ctx context.Context, c Case, size Size, policy Policy) (*Result, error) {
	if c.Resize != nil {
		size = c.Resize(size)
	}
	world, err := hwworld.New(ctx, size.world(policy, c))
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
		settle()
	}
	r := &Result{
		Size:         size,
		Policy:       policy,
		World:        world,
		Recorder:     hwload.NewRecorder(),
		EventTimes:   map[string]time.Time{},
		Observations: map[string]float64{},
		routers:      len(world.AllRouters()),
	}
	return r, r.run(ctx, c)
}

func (r *Result) run(ctx context.Context, c Case) error {
	client := hwload.NewClient(r.Size.CallerDelay)
	defer client.Close()
	began := time.Now()
	r.From = began.Add(c.Warmup)
	r.To = r.From.Add(c.Length)
	load, cancel := context.WithDeadline(ctx, r.To)
	defer cancel()
	var tasks []<-chan error
	for i, source := range c.Sources(r.Size) {
		tasks = append(tasks, hwtask.Start(load, func(ctx context.Context) error {
			client.Run(ctx, r.address, source, uint64(i+1), r.Recorder)
			return nil
		}))
	}
	tasks = append(tasks, hwtask.Start(load, r.watch))
	before := r.bytes()
	cpu := processorTime()
	profile, failure := startProfile()
	for _, event := range c.Events {
		time.Sleep(time.Until(r.From.Add(event.Offset)))
		r.EventTimes[event.Name] = time.Now()
		if err := event.Apply(r); err != nil {
			failure = err
		}
	}
	<-load.Done()
	r.control = r.bytes() - before
	r.cpu = processorTime() - cpu
	r.duration = time.Since(began)
	var profileFailure error
	r.controlCPU, profileFailure = profile.stop()
	return trace.NewAggregate(failure, profileFailure, hwtask.Join(tasks...))
}

// address returns where a source's router listens; under the central policy everything goes to the one router.
func (r *Result) address(name string) string {
	if r.Policy.Central {
		name = RouterName(0)
	}
	// The platform's balancer sends nothing to an instance that is gone.
	for _, router := range append(r.named(name), r.World.AllRouters()...) {
		if router.Router.Ready() {
			return router.ClientAddress
		}
	}
	return ""
}

func (r *Result) named(name string) []*hwworld.Router {
	router, err := r.World.FindRouter(name)
	if err != nil {
		return nil
	}
	return []*hwworld.Router{router}
}

func (r *Result) watch(ctx context.Context) error {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		now := time.Now()
		r.Recorder.Sample(now)
		use := ConcurrencySample{
			At: now,
		}
		for _, e := range r.World.Engines {
			running, _ := e.InFlight()
			use.InFlight += running
			use.MaxOverLimit = max(use.MaxOverLimit, running-int64(r.Size.EngineSlots))
		}
		r.ConcurrencySamples = append(r.ConcurrencySamples, use)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Result) bytes() int64 {
	total := int64(0)
	for _, router := range r.World.AllRouters() {
		total += router.Router.ControlTrafficBytes()
	}
	return total
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// common are the figures of every case.
func (r *Result) common() []Metric {
	heap := runtime.MemStats{}
	runtime.ReadMemStats(&heap)
	seconds := r.duration.Seconds()
	return []Metric{
		figure("requests", float64(len(r.Recorder.Records())), "1"),
		figure("unaccounted", float64(r.Recorder.Unaccounted()), "1"),
		figure("broken", float64(r.Recorder.Count("", hwload.OutcomeInvalid)), "1"),
		figure("unknown", float64(r.Recorder.Count("", hwload.OutcomeUnknown)), "1"),
		figure("not-run", float64(r.Recorder.Count("", hwload.OutcomeNotRun)), "1"),
		figure("control-kilobytes-per-second-and-instance", float64(r.control)/1000/seconds/float64(r.routers), "kB/s"),
		figure("control-percent-of-a-core-and-instance", 100*r.controlCPU.Seconds()/seconds/float64(r.routers), "%"),
		figure("process-cores", r.cpu.Seconds()/seconds, "cores"),
	}
}

// Print writes a result as lines of key=value.
func Print(out io.Writer, c Case, r *Result) {
	prefix := fmt.Sprintf("case=%s size=%s policy=%s", c.Name, r.Size.Name, r.Policy.Name)
	for _, f := range append(c.Metrics(r), r.common()...) {
		_, _ = fmt.Fprintf(out, "%s %s=%.4g unit=%s\n", prefix, f.Name, f.Value, f.Unit)
	}
}
