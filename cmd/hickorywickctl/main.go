// Command hickorywickctl is the operators' command-line tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywickctl/internal/hwcommand"
	"github.com/hickorywick/hickorywick/cmd/hickorywickctl/internal/hwquery"
	"github.com/hickorywick/hickorywick/lib/hwcheck"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// arguments are the flags and commands of the command line. Kong derives their names from the fields.
type arguments struct {
	Store        string        `default:"http://127.0.0.1:2379" env:"HICKORYWICK_STORE" help:"URL of the platform's key-value service."`
	StoreTimeout time.Duration `default:"2s" env:"HICKORYWICK_STORE_TIMEOUT" help:"Timeout of one call to the store."`
	Operators    []string      `default:"127.0.0.1:8081" env:"HICKORYWICK_OPERATORS" help:"Operators' addresses of the routers to ask."`
	OperatorKey  string        `env:"HICKORYWICK_OPERATOR_KEY" help:"Key for the operators' listeners."`
	Author       string        `env:"HICKORYWICK_AUTHOR,USER" default:"operator" help:"Author recorded with a written version."`

	Validate        validateCommand  `cmd:"" help:"Query: check a document file and print every fault."`
	Check           checkCommand     `cmd:"" help:"Query: check a document file for contradictions and entries that never match, and print what would change for callers."`
	Diff            diffCommand      `cmd:"" help:"Query: print what a document file would change."`
	Show            showCommand      `cmd:"" help:"Query: print the document in force."`
	History         historyCommand   `cmd:"" help:"Query: print the versions of an environment."`
	Status          statusCommand    `cmd:"" help:"Query: print instances, versions in force, brokers and slots."`
	Fairness        fairnessCommand  `cmd:"" help:"Query: print service by account and the gap now."`
	Upstreams       upstreamsCommand `cmd:"" help:"Query: print each upstream's slots, speed and health over the asked routers."`
	Explain         explainCommand   `cmd:"" help:"Query: print why a request waited, where it went and how it ended."`
	Story           storyCommand     `cmd:"" help:"Query: print a request's timeline from the saved logs of several routers."`
	Report          reportCommand    `cmd:"" help:"Query: reports for operators and finance."`
	Put             putCommand       `cmd:"" help:"Command: store a document file as the next version of its environment."`
	Promote         promoteCommand   `cmd:"" help:"Command: make one environment's document the next version of another."`
	Order           orderCommand     `cmd:"" help:"Command: make an upstream serve a version of a model, under the orderers' lease."`
	RollbackForward rollbackCommand  `cmd:"" help:"Command: make an earlier version's document the next version."`
}

func (a arguments) store() hwstore.Store {
	return hwstore.NewEtcd(a.Store, a.StoreTimeout, &http.Client{})
}

func (a arguments) invocation() hwcommand.Invocation {
	return hwcommand.Invocation{
		Store:  a.store(),
		Out:    os.Stdout,
		Author: a.Author,
	}
}

func (a arguments) operatorClient() hwquery.OperatorClient {
	return hwquery.OperatorClient{
		Addresses: a.Operators,
		Key:       a.OperatorKey,
	}
}

type fileArgument struct {
	File string `arg:"" type:"existingfile" help:"Document file."`
}

type environmentArgument struct {
	Environment string `arg:"" help:"Environment, such as trial or production."`
}

type validateCommand struct{ fileArgument }

// Run validates the document file.
func (c validateCommand) Run() error { return hwquery.Validate(os.Stdout, c.File) }

type checkCommand struct {
	File    string `arg:"" type:"path" help:"Document file."`
	Against string `type:"path" xor:"other" help:"Other version of the document file to compare with."`
	InForce bool   `xor:"other" help:"Compare with the document in force."`
	Strict  bool   `help:"End with status 1 if there are warnings."`
	Output  string `default:"text" enum:"text,json" help:"Format: text or json."`
}

// Run checks the document file. It ends with status 2 if there are errors.
func (c checkCommand) Run(ctx context.Context, a *arguments) error {
	return hwquery.Check(ctx, os.Stdout, a.store(), hwquery.CheckRequest{
		File:    c.File,
		Against: c.Against,
		InForce: c.InForce,
		Strict:  c.Strict,
		JSON:    c.Output == "json",
	})
}

type diffCommand struct{ fileArgument }

// Run prints what the document file would change.
func (c diffCommand) Run(ctx context.Context, a *arguments) error {
	return hwquery.Diff(ctx, os.Stdout, a.store(), c.File)
}

type showCommand struct{ environmentArgument }

// Run prints the document in force.
func (c showCommand) Run(ctx context.Context, a *arguments) error {
	return hwquery.Show(ctx, os.Stdout, a.store(), c.Environment)
}

type historyCommand struct{ environmentArgument }

// Run prints the versions of the environment.
func (c historyCommand) Run(ctx context.Context, a *arguments) error {
	return hwquery.History(ctx, os.Stdout, a.store(), c.Environment)
}

type statusCommand struct{}

// Run prints instances, brokers and slots.
func (c statusCommand) Run(ctx context.Context, a *arguments) error {
	return hwquery.Status(ctx, os.Stdout, a.operatorClient())
}

type fairnessCommand struct{}

// Run prints the service by account.
func (c fairnessCommand) Run(ctx context.Context, a *arguments) error {
	return hwquery.Fairness(ctx, os.Stdout, a.operatorClient())
}

type outputFlag struct {
	Output string `default:"table" enum:"table,json,csv" help:"Format: table, json or csv."`
}

func (o outputFlag) format() hwquery.Format { return hwquery.Format(o.Output) }

type upstreamsCommand struct{ outputFlag }

// Run prints each upstream's slots, speed and health.
func (c upstreamsCommand) Run(ctx context.Context, a *arguments) error {
	return hwquery.Upstreams(ctx, os.Stdout, a.operatorClient(), c.format())
}

type explainCommand struct {
	outputFlag
	Request string `arg:"" help:"The request's id: the header X-Request-Id of its answer."`
}

// Run prints why the request waited, where it went and how it ended.
func (c explainCommand) Run(ctx context.Context, a *arguments) error {
	return hwquery.Explain(ctx, os.Stdout, a.operatorClient(), c.Request, c.format())
}

type storyCommand struct {
	Request string   `arg:"" help:"Request id."`
	Logs    []string `arg:"" type:"path" help:"Saved logs, one file for each router."`
}

// Run prints the request's timeline.
func (c storyCommand) Run() error { return hwquery.Timeline(os.Stdout, c.Request, c.Logs) }

type reportCommand struct {
	Burn     burnCommand     `cmd:"" help:"How fast each service-level objective uses up its error budget."`
	Usage    usageCommand    `cmd:"" help:"What each client account used of each pool, in cost units."`
	Forecast forecastCommand `cmd:"" help:"What each client account will probably use in a month, against its share."`
}

type burnCommand struct{ outputFlag }

// Run prints the burn rates of the error budgets.
func (c burnCommand) Run(ctx context.Context, a *arguments) error {
	return hwquery.BurnRates(ctx, os.Stdout, a.operatorClient(), c.format())
}

type usageCommand struct {
	outputFlag
	environmentFlag
	From   time.Time `format:"2006-01-02T15" help:"First hour in UTC, such as 2026-12-01T00; the beginning of the month if absent."`
	To     time.Time `format:"2006-01-02T15" help:"Hour in UTC that ends the span; the present hour is the last one if absent."`
	ByHour bool      `help:"One line an hour, account and pool."`
}

type environmentFlag struct {
	Environment string `default:"production" help:"Environment whose usage is meant."`
}

// Run prints the usage of client accounts in cost units.
func (c usageCommand) Run(ctx context.Context, a *arguments) error {
	now := time.Now()
	timeRange := hwquery.TimeRange{
		From: c.From,
		To:   c.To,
	}
	if timeRange.From.IsZero() {
		timeRange.From = monthStart(now, 0)
	}
	if timeRange.To.IsZero() {
		timeRange.To = now
	}
	return hwquery.Usage(ctx, now, os.Stdout, a.store(), c.Environment, timeRange, c.ByHour, c.format())
}

type forecastCommand struct {
	outputFlag
	environmentFlag
	Month time.Time `format:"2006-01" help:"Month in UTC, such as 2027-01; the next one if absent."`
}

// Run prints the usage forecast for a month.
func (c forecastCommand) Run(ctx context.Context, a *arguments) error {
	now := time.Now()
	month := c.Month
	if month.IsZero() {
		month = monthStart(now, 1)
	}
	return hwquery.Forecast(ctx, now, os.Stdout, a.store(), c.Environment, hwquery.TimeRange{
		From: month,
		To:   monthStart(month, 1),
	}, c.format())
}

// monthStart returns the first instant in UTC of the month that lies offset months after the month of at.
func monthStart(at time.Time, offset int) time.Time {
	year, month, _ := at.UTC().Date()
	return time.Date(year, month+time.Month(offset), 1, 0, 0, 0, 0, time.UTC)
}

type putCommand struct{ fileArgument }

// Run stores the document file as the next version of its environment.
func (c putCommand) Run(ctx context.Context, a *arguments) error {
	return hwcommand.Put(ctx, time.Now(), a.invocation(), c.File)
}

type promoteCommand struct {
	From string `default:"trial" help:"Environment to take the document from."`
	To   string `default:"production" help:"Environment to bring it to."`
}

// Run makes one environment's document the next version of another.
func (c promoteCommand) Run(ctx context.Context, a *arguments) error {
	return hwcommand.Promote(ctx, time.Now(), a.invocation(), c.From, c.To)
}

type orderCommand struct {
	Upstream string `required:"" help:"Address of the upstream, as the document names it."`
	Model    string `required:"" help:"Model to serve."`
	Version  string `required:"" help:"Version of the model."`
	Role     string `help:"Role of the upstream, if it has several."`
}

// Run places the order through the first of the operators' addresses.
func (c orderCommand) Run(ctx context.Context, a *arguments) error {
	return hwcommand.PlaceOrder(ctx, os.Stdout, a.Operators[0], a.OperatorKey, hwrouter.Order{
		Upstream: c.Upstream,
		Model:    c.Model,
		Version:  c.Version,
		Role:     c.Role,
	})
}

type rollbackCommand struct {
	environmentArgument
	Version uint64 `required:"" help:"Earlier version whose document is to be in force again."`
}

// Run stores an earlier version's document as the next version.
func (c rollbackCommand) Run(ctx context.Context, a *arguments) error {
	return hwcommand.RollbackForward(ctx, time.Now(), a.invocation(), c.Environment, c.Version)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	args := &arguments{}
	command := kong.Parse(args,
		kong.Name("hickorywickctl"),
		kong.Description("Queries and commands for operators of hickorywick routers."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err := command.Run(args); err != nil {
		stop()
		os.Exit(exitStatus(err)) //nolint:gocritic // The deferred stop has been called.
	}
}

// exitStatus prints why a command failed and returns the program's status. A check has already printed its findings.
func exitStatus(err error) int {
	var status *hwcheck.StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	fmt.Fprintln(os.Stderr, "hickorywickctl:", trace.UserMessage(err))
	return 1
}
