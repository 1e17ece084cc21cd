package hwscript

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakelist"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeservice"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakestore"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// ExpectationError reports a scenario expectation that was not met.
type ExpectationError struct {
	Subject string
	Want    string
	Got     string
}

func (e *ExpectationError) Error() string {
	return fmt.Sprintf("%s: want %s, got %s", e.Subject, e.Want, e.Got)
}

// expectOneOf returns an ExpectationError unless got is one of the alternatives in want, which are separated by |.
func expectOneOf(subject, want, got string) error {
	if slices.Contains(strings.Split(want, "|"), got) {
		return nil
	}
	return trace.Wrap(&ExpectationError{
		Subject: subject,
		Want:    want,
		Got:     got,
	})
}

// Command implements one command of the script language.
type Command func(s *Scenario, a Arguments) error

// Commands returns the commands of the script language by name.
func Commands() map[string]Command {
	return map[string]Command{
		"begin":      (*Scenario).StartRequest,
		"call":       callCommand,
		"reply":      replyCommand,
		"executions": executionsCommand,
		"router":     routerCommand,
		"store":      storeCommand,
		"list":       listCommand,
		"engine":     engineCommand,
		"service":    serviceCommand,
		"document":   documentCommand,
		"promote":    promoteCommand,
		"until":      untilCommand,
		"load":       loadCommand,
		"order":      orderCommand,
		"ordered":    orderedCommand,
		"logged":     loggedCommand,
		"peak":       peakCommand,
	}
}

// callCommand sends a request and waits for its response.
func callCommand(s *Scenario, a Arguments) error {
	if err := s.StartRequest(a); err != nil {
		return trace.Wrap(err)
	}
	_, err := s.AwaitReply(a.Arg(0))
	return trace.Wrap(err)
}

// replyCommand checks a response: NAME status= execution= type= body= replayed= cut= whole=. Alternatives are separated by |.
func replyCommand(s *Scenario, a Arguments) error {
	reply, err := s.AwaitReply(a.Arg(0))
	if err != nil {
		return trace.Wrap(err)
	}
	got := map[string]string{
		"status":    strconv.Itoa(reply.Status),
		"execution": reply.Execution,
		"type":      reply.Type,
		"body":      strings.ReplaceAll(reply.Body, " ", "_"),
		"replayed":  yesNo(reply.Replayed),
		"cut":       yesNo(reply.Cut),
		"whole":     yesNo(strings.Contains(reply.Body, "data: [DONE]")),
		"events":    strconv.Itoa(strings.Count(reply.Body, "chat.completion.chunk")),
	}
	failures := make([]error, 0, len(a.Settings))
	for name, want := range a.Settings {
		failures = append(failures, expectOneOf(a.Arg(0)+" "+name, want, got[name]))
	}
	if err := trace.NewAggregate(failures...); err != nil {
		return trace.WrapWithMessage(err, "response: %+v", reply)
	}
	return nil
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// executionsCommand checks how often a request name was executed across all services: NAME COUNT.
func executionsCommand(s *Scenario, a Arguments) error {
	return expectOneOf("executions of "+a.Arg(0), a.Arg(1), strconv.Itoa(s.executions(a.Arg(0))))
}

func (s *Scenario) executions(name string) int {
	total := 0
	for _, service := range s.World.Services {
		total += service.Executions(name)
	}
	return total
}

// routerCommand changes a router: kill, stop, leave, start, cut or heal NAME; see resolveRouter for the aliases of NAME. kill with listed=yes keeps the router in the instance list.
func routerCommand(s *Scenario, a Arguments) error {
	name, err := s.resolveRouter(a.Arg(1))
	if err != nil {
		return trace.Wrap(err)
	}
	if a.Arg(0) == "start" {
		return s.World.StartRouter(name, "zone-a")
	}
	router, err := s.World.FindRouter(name)
	if err != nil {
		return trace.Wrap(err)
	}
	switch a.Arg(0) {
	case "kill":
		router.Kill()
		if a.Settings["listed"] != "yes" {
			s.World.InstanceList.Remove(name)
		}
	case "stop":
		s.World.InstanceList.Remove(name)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		return router.Stop(ctx)
	case "leave":
		// The router drains in the background while the script continues.
		s.World.InstanceList.Remove(name)
		s.background = append(s.background, hwtask.Start(context.Background(), func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, waitTimeout)
			defer cancel()
			return router.Stop(ctx)
		}))
	case "cut":
		s.World.Network.Isolate(name)
	case "heal":
		s.World.Network.Heal(name)
	default:
		return trace.BadParameter("router: unknown subcommand %s", a.Arg(0))
	}
	return nil
}

// resolveRouter resolves "alive" to a router that is ready, "broker" to the instance that brokers the model pool, and "owner:KEY" to the instance that owns that key of account-1.
func (s *Scenario) resolveRouter(name string) (string, error) {
	key, isOwner := strings.CutPrefix(name, "owner:")
	if name != "alive" && name != "broker" && !isOwner {
		return name, nil
	}
	for _, r := range s.World.AllRouters() {
		switch {
		case !r.Router.Ready():
			continue
		case isOwner:
			return r.Router.KeyOwner("account-1", key), nil
		case name == "broker":
			return r.Router.Status(time.Now()).Brokers[hwworld.ModelPool], nil
		default:
			return r.Name, nil
		}
	}
	return "", trace.NotFound("no router is ready")
}

// storeCommand injects faults into the store: down, up, slow MS, lose-answers N (drop responses), lose-calls N (drop requests), cut-watches (close watches), replay (repeat watch events), lapse (expire leases).
func storeCommand(s *Scenario, a Arguments) error {
	number, _ := strconv.Atoi(a.Arg(1))
	switch a.Arg(0) {
	case "down":
		s.World.Store.SetFaults(hwfakestore.Faults{
			Down: true,
		})
	case "up":
		s.World.Store.SetFaults(hwfakestore.Faults{})
	case "slow":
		s.World.Store.SetFaults(hwfakestore.Faults{
			Delay: time.Duration(number) * time.Millisecond,
		})
	case "lose-answers":
		s.World.Store.SetFaults(hwfakestore.Faults{
			DropResponses: number,
		})
	case "lose-calls":
		s.World.Store.SetFaults(hwfakestore.Faults{
			DropRequests: number,
		})
	case "cut-watches":
		s.World.Store.CloseWatches()
	case "replay":
		s.World.Store.ReplayEvents()
	case "lapse":
		s.World.Store.ExpireLeases()
	default:
		return trace.BadParameter("store: unknown subcommand %s", a.Arg(0))
	}
	return nil
}

// listCommand changes the instance list: down, up, remove NAME, leaving NAME.
func listCommand(s *Scenario, a Arguments) error {
	switch a.Arg(0) {
	case "down", "up":
		s.World.InstanceList.SetDown(a.Arg(0) == "down")
	case "remove":
		s.World.InstanceList.Remove(a.Arg(1))
	case "leaving":
		router, err := s.World.FindRouter(a.Arg(1))
		if err != nil {
			return trace.Wrap(err)
		}
		s.World.InstanceList.Put(hwfakelist.Instance{
			Name:    router.Name,
			Address: router.PeerAddress(),
			Zone:    router.Zone,
			Leaving: true,
		})
	default:
		return trace.BadParameter("list: unknown subcommand %s", a.Arg(0))
	}
	return nil
}

// engineCommand changes an engine: kill, start, silence (stall responses), hold-reads, release-reads, slow FACTOR; the first argument is its number or all.
func engineCommand(s *Scenario, a Arguments) error {
	for i, engine := range s.World.Engines {
		if a.Arg(0) != "all" && a.Arg(0) != strconv.Itoa(i+1) {
			continue
		}
		switch a.Arg(1) {
		case "kill":
			engine.Server.Kill()
		case "start":
			if err := engine.Server.Start(); err != nil {
				return trace.Wrap(err)
			}
		case "silence":
			engine.StallResponses()
		case "hold-reads":
			engine.BlockNextRead()
		case "release-reads":
			engine.UnblockRead()
		case "slow":
			factor, err := strconv.ParseFloat(a.Arg(2), 64)
			if err != nil {
				return trace.Wrap(err)
			}
			engine.SetSlowdown(factor)
		default:
			return trace.BadParameter("engine: unknown subcommand %s", a.Arg(1))
		}
	}
	return nil
}

// serviceCommand changes all services: fail FAULT, swap (exchange the next responses), hold, release, kill, start.
func serviceCommand(s *Scenario, a Arguments) error {
	for _, service := range s.World.Services {
		switch a.Arg(0) {
		case "fail":
			service.InjectFaults(hwfakeservice.Fault(a.Arg(1)))
		case "swap":
			service.SwapNextResponses()
		case "hold":
			service.HoldResponses()
		case "release":
			service.ReleaseResponses()
		case "kill":
			service.Server.Kill()
		case "start":
			if err := service.Server.Start(); err != nil {
				return trace.Wrap(err)
			}
		default:
			return trace.BadParameter("service: unknown subcommand %s", a.Arg(0))
		}
	}
	return nil
}

// documentCommand publishes a changed document: drain=N drains engine N, share=X sets the share of account-1, broken=yes publishes an invalid document.
func documentCommand(s *Scenario, a Arguments) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	document := s.World.Document()
	if n := a.IntSetting("drain", 0); n > 0 {
		document.Pools[0].Upstreams[n-1].Draining = true
	}
	if share := a.IntSetting("share", 0); share > 0 {
		document.Accounts = slices.Clone(document.Accounts)
		document.Accounts[0].Share = float64(share)
	}
	if a.Settings["broken"] == "yes" {
		document.Accounts = nil
	}
	return s.World.PublishDocument(ctx, document)
}

// promoteCommand runs concurrent promotions, by two operators unless the setting operators says otherwise, and expects exactly one to succeed.
func promoteCommand(s *Scenario, a Arguments) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	// All promotions start from the same head, so that they conflict.
	current, err := s.World.CurrentHead(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	operators := a.IntSetting("operators", 2)
	var promotions []<-chan error
	for i := range operators {
		promotions = append(promotions, hwtask.Start(ctx, func(ctx context.Context) error {
			return s.World.Promote(ctx, current, fmt.Sprintf("operator-%d", i+1))
		}))
	}
	succeeded := 0
	for _, promotion := range promotions {
		err := <-promotion
		var conflict *hwworld.VersionConflictError
		switch {
		case err == nil:
			succeeded++
		case !errors.As(err, &conflict):
			return trace.Wrap(err)
		}
	}
	return expectOneOf("successful promotions", "1", strconv.Itoa(succeeded))
}

// loadCommand starts or ends a mixed load on all routers: start, or end, which expects no unaccounted requests, no broken responses, no repeated execution and at least one answered request. unknown=N also expects N unknown outcomes.
func loadCommand(s *Scenario, a Arguments) error {
	if a.Arg(0) == "start" {
		return s.startLoad(a)
	}
	s.cancelLoad()
	if err := hwtask.Join(s.loadDone); err != nil {
		return trace.Wrap(err)
	}
	s.cancelLoad = nil
	mostExecuted, maxExecutions := "", 0
	for _, service := range s.World.Services {
		if name, count := service.MostExecuted(); count > maxExecutions {
			mostExecuted, maxExecutions = name, count
		}
	}
	failures := []error{
		expectOneOf("requests unaccounted for", "0", strconv.Itoa(s.loadResults.Unaccounted())),
		expectOneOf("broken responses", "0", strconv.Itoa(s.loadResults.Count("", hwload.OutcomeInvalid))),
	}
	if maxExecutions > 1 {
		failures = append(failures, expectOneOf("executions of "+mostExecuted, "1", strconv.Itoa(maxExecutions)))
	}
	if a.Settings["unknown"] != "" {
		failures = append(failures, expectOneOf("unknown outcomes", a.Settings["unknown"], strconv.Itoa(s.loadResults.Count("", hwload.OutcomeUnknown))))
	}
	if s.loadResults.Count("", hwload.OutcomeAnswered) == 0 {
		failures = append(failures, expectOneOf("answered requests", "some", "none"))
	}
	return trace.NewAggregate(failures...)
}

// startLoad sends model requests and service orders of both accounts through the routers listed in the setting routers, or through all.
func (s *Scenario) startLoad(a Arguments) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancelLoad = cancel
	s.loadResults = hwload.NewRecorder()
	client := hwload.NewClient(0)
	var tasks []<-chan error
	for i, router := range s.World.AllRouters() {
		if routers := a.Settings["routers"]; routers != "" && !strings.Contains(","+routers+",", ","+router.Name+",") {
			continue
		}
		for j, service := range []bool{true, false} {
			if service && a.Settings["only"] == "model" {
				continue
			}
			source := hwload.Source{
				Account:      fmt.Sprintf("account-%d", j+1),
				Router:       router.Name,
				Concurrency:  a.IntSetting("clients", 3),
				PlainService: service,
				Label:        "load",
				ResponseLengths: hwload.ResponseLengths{
					Median:    8,
					LogStdDev: 0.5,
				},
			}
			tasks = append(tasks, hwtask.Start(ctx, func(ctx context.Context) error {
				client.Run(ctx, s.readyAddress, source, uint64(10*i+j), s.loadResults)
				return nil
			}))
		}
	}
	s.loadDone = hwtask.Start(ctx, func(context.Context) error {
		defer client.Close()
		return hwtask.Join(tasks...)
	})
	return nil
}

// readyAddress mimics the platform's load balancer: requests for a router that is not ready go to another one that is.
func (s *Scenario) readyAddress(name string) string {
	named, err := s.World.FindRouter(name)
	if err == nil && named.Router.Ready() {
		return named.ClientAddress
	}
	for _, r := range s.World.AllRouters() {
		if r.Router.Ready() {
			return r.ClientAddress
		}
	}
	return named.ClientAddress
}

// loggedCommand expects that an event was logged, or with a leading "not" that it was not.
func loggedCommand(s *Scenario, a Arguments) error {
	want := "yes"
	name := a.Arg(0)
	if name == "not" {
		want = "no"
		name = a.Arg(1)
	}
	return expectOneOf("logged "+name, want, yesNo(strings.Contains(s.Log(), `"name":"`+name+`"`)))
}

// peakCommand expects that the peak concurrency of an engine did not exceed a limit: ENGINE LIMIT.
func peakCommand(s *Scenario, a Arguments) error {
	number, err := strconv.Atoi(a.Arg(0))
	if err != nil {
		return trace.Wrap(err)
	}
	limit, err := strconv.ParseInt(a.Arg(1), 10, 64)
	if err != nil {
		return trace.Wrap(err)
	}
	_, peak := s.World.Engines[number-1].InFlight()
	if peak > limit {
		return expectOneOf("peak concurrent requests at engine "+a.Arg(0), "at most "+a.Arg(1), strconv.FormatInt(peak, 10))
	}
	return nil
}
