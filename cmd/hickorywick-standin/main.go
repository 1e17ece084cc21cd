// Command hickorywick-standin runs stand-ins for everything around a router: the store, the instance list, engines and services, and a demonstration of all together.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	klog "github.com/go-kratos/kratos/v2/log"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwdemo"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwmeasure"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwplatform"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwslope"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwkratos"
)

type arguments struct {
	Demo     demoCommand     `cmd:"" help:"Run stand-ins and four routers in this process under a mixed load and print who got what."`
	Measure  measureCommand  `cmd:"" help:"Measure a case under a policy with real routers on loopback sockets and print key=value lines."`
	Overhead overheadCommand `cmd:"" help:"Compare one router with the engine itself: added latency, tokens a second, memory per open stream; and what the record of keyed requests costs."`
	Slopes   slopesCommand   `cmd:"" help:"Read the output of Go benchmarks and print the line through each metric."`
	Platform platformCommand `cmd:"" help:"Serve the store, the instance list, engines and a service on loopback ports until interrupted."`
}

type measureCommand struct {
	Case   string `default:"all" help:"Case to measure, or all."`
	Policy string `default:"all" help:"Policy to measure, or all that the case compares."`
	Size   string `default:"tapkring" help:"Installation: tapkring, derwent or all."`
	Plots  string `type:"existingdir" help:"Directory for plots of each account's service over time; none are drawn without it."`
}

// Run measures.
func (c measureCommand) Run(ctx context.Context) error {
	return hwmeasure.RunAll(ctx, os.Stdout, hwmeasure.Selection{
		Case:   c.Case,
		Policy: c.Policy,
		Size:   c.Size,
		Plots:  c.Plots,
	})
}

type overheadCommand struct{}

// Run compares.
func (c overheadCommand) Run(ctx context.Context) error {
	if err := hwmeasure.Overhead(ctx, os.Stdout); err != nil {
		return err
	}
	return hwmeasure.MeasureIdempotency(ctx, os.Stdout)
}

type slopesCommand struct{}

// Run fits the lines.
func (c slopesCommand) Run() error { return hwslope.Run(os.Stdin, os.Stdout) }

type demoCommand struct {
	Length time.Duration `default:"8s" help:"How long the load lasts." env:"HICKORYWICK_DEMO_LENGTH"`
}

// Run runs the demonstration.
func (c demoCommand) Run(ctx context.Context) error {
	return hwdemo.Run(ctx, os.Stdout, c.Length)
}

type platformCommand struct {
	Port    int `default:"17000" help:"The first port; the store listens on it, the list on the next, then the engines, then the service."`
	Engines int `default:"3" help:"How many engines."`
	Routers int `default:"1" help:"How many routers the instance list names: router-1 with its peers' port 18001, and so on."`
}

// Run serves the stand-ins.
func (c platformCommand) Run(ctx context.Context) error {
	return hwplatform.Run(ctx, os.Stdout, hwplatform.Settings{
		FirstPort: c.Port,
		Engines:   c.Engines,
		Routers:   c.Routers,
	})
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	klog.SetLogger(hwkratos.New(hwevent.New(nil, hwevent.Warn)))
	var parsed arguments
	command := kong.Parse(&parsed,
		kong.Name("hickorywick-standin"),
		kong.Description("Stand-ins for the platform, engines and services around hickorywick routers."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "hickorywick-standin:", err)
		stop()
		os.Exit(1) //nolint:gocritic // The deferred stop has been called.
	}
}
