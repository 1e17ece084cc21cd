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

// ExpectationError says which expectation of a scenario does not hold.
type ExpectationError struct {
	Subject string
	Want    string
	Got     string
}

// Error names both sides.
func (e *ExpectationError) Error() string {
	return fmt.Sprintf("%s: want %s, got %s", e.Subject, e.Want, e.Got)
}

func expect(what, want, got string) error {
	if slices.Contains(strings.Split(want, "|"), got) {
		return nil
	}
	return trace.Wrap(&ExpectationError{
		Subject: what,
		Want:    want,
		Got:     got,
	})
}

// Command is a word of the language.
type Command func(s *Scenario, a Arguments) error

// Commands are the words of the language.
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

// callCommand sends a call and waits for its end.
func callCommand(s *Scenario, a Arguments) error {
	if err := s.StartRequest(a); err != nil {
		return trace.Wrap(err)
	}
	_, err := s.AwaitReply(a.Arg(0))
	return trace.Wrap(err)
}

// replyCommand compares a reply: NAME status= execution= type= body= replayed= cut= whole=. Alternatives are separated by |.
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
		"replayed":  yes(reply.Replayed),
		"cut":       yes(reply.Cut),
		"whole":     yes(strings.Contains(reply.Body, "data: [DONE]")),
		"events":    strconv.Itoa(strings.Count(reply.Body, "chat.completion.chunk")),
	}
	failures := make([]error, 0, len(a.Settings))
	for name, want := range a.Settings {
		failures = append(failures, expect(a.Arg(0)+" "+name, want, got[name]))
	}
	if err := trace.NewAggregate(failures...); err != nil {
		return trace.WrapWithMessage(err, "the reply was %+v", reply)
	}
	return nil
}

func yes(holds bool) string {
	if holds {
		return "yes"
	}
	return "no"
}

// executionsCommand compares how often a name was executed over all services: NAME COUNT.
func executionsCommand(s *Scenario, a Arguments) error {
	return expect("executions of "+a.Arg(0), a.Arg(1), strconv.Itoa(s.executions(a.Arg(0))))
}

func (s *Scenario) executions(name string) int {
	total := 0
	for _, service := range s.World.Services {
		total += service.Executions(name)
	}
	return total
}

// routerCommand changes a router: kill, stop, start, cut or heal NAME; broker and owner stand for the instance that brokers the model pool or owns a key.
func routerCommand(s *Scenario, a Arguments) error {
	name, err := s.routerName(a.Arg(1))
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
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		return router.Stop(ctx)
	case "leave":
		// The stop goes on while the scenario does.
		s.World.InstanceList.Remove(name)
		s.begun = append(s.begun, hwtask.Start(context.Background(), func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, patience)
			defer cancel()
			return router.Stop(ctx)
		}))
	case "cut":
		s.World.Network.Isolate(name)
	case "heal":
		s.World.Network.Heal(name)
	default:
		return trace.BadParameter("router does not know %s", a.Arg(0))
	}
	return nil
}

// routerName resolves "alive" to a router that is ready, "broker" to the instance that brokers the model pool, and "owner:KEY" to the owner of the key of account-1.
func (s *Scenario) routerName(name string) (string, error) {
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

// storeCommand changes the store: down, up, slow MS, lose-answers N, lose-calls N, cut-watches, replay, lapse.
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
		return trace.BadParameter("store does not know %s", a.Arg(0))
	}
	return nil
}

// listCommand changes the list of instances: down, up, remove NAME, leaving NAME.
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
		return trace.BadParameter("list does not know %s", a.Arg(0))
	}
	return nil
}

// engineCommand changes an engine: kill, start, silence, slow FACTOR; the first word is its number or all.
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
			return trace.BadParameter("engine does not know %s", a.Arg(1))
		}
	}
	return nil
}

// serviceCommand changes all services: fail FAULT, swap, hold, release, kill, start.
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
			return trace.BadParameter("service does not know %s", a.Arg(0))
		}
	}
	return nil
}

// documentCommand puts a changed document: drain=N takes engine N out of new work, share=X sets the share of account-1, broken=yes puts one that is not valid.
func documentCommand(s *Scenario, a Arguments) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// promoteCommand lets two operators promote at once and expects exactly one winner.
func promoteCommand(s *Scenario, a Arguments) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	// All of them have read the same head, so they race.
	current, err := s.World.CurrentHead(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	operators := a.IntSetting("operators", 2)
	var tasks []<-chan error
	for i := range operators {
		tasks = append(tasks, hwtask.Start(ctx, func(ctx context.Context) error {
			return s.World.Promote(ctx, current, fmt.Sprintf("operator-%d", i+1))
		}))
	}
	won := 0
	for _, task := range tasks {
		err := <-task
		var raced *hwworld.VersionConflictError
		switch {
		case err == nil:
			won++
		case !errors.As(err, &raced):
			return trace.Wrap(err)
		}
	}
	return expect("operators that won", "1", strconv.Itoa(won))
}

// loadCommand starts or ends a mixed load on all routers: start, or end with not-cut=yes to expect that every request ended as its caller was told.
func loadCommand(s *Scenario, a Arguments) error {
	if a.Arg(0) == "start" {
		return s.startLoad(a)
	}
	s.load()
	if err := hwtask.Join(s.loaded); err != nil {
		return trace.Wrap(err)
	}
	s.load = nil
	most, times := "", 0
	for _, service := range s.World.Services {
		if name, count := service.MostExecuted(); count > times {
			most, times = name, count
		}
	}
	failures := []error{
		expect("requests unaccounted for", "0", strconv.Itoa(s.books.Unaccounted())),
		expect("broken answers", "0", strconv.Itoa(s.books.Count("", hwload.OutcomeInvalid))),
	}
	if times > 1 {
		failures = append(failures, expect("executions of "+most, "1", strconv.Itoa(times)))
	}
	if a.Settings["unknown"] != "" {
		failures = append(failures, expect("unknown outcomes", a.Settings["unknown"], strconv.Itoa(s.books.Count("", hwload.OutcomeUnknown))))
	}
	if s.books.Count("", hwload.OutcomeAnswered) == 0 {
		failures = append(failures, expect("answered requests", "some", "none"))
	}
	return trace.NewAggregate(failures...)
}

// startLoad sends model requests and orders of both accounts through the routers named, or all.
func (s *Scenario) startLoad(a Arguments) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.load = cancel
	s.books = hwload.NewRecorder()
	client := hwload.NewClient(0)
	var tasks []<-chan error
	for i, router := range s.World.AllRouters() {
		if named := a.Settings["routers"]; named != "" && !strings.Contains(","+named+",", ","+router.Name+",") {
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
				client.Run(ctx, s.address, source, uint64(10*i+j), s.books)
				return nil
			}))
		}
	}
	s.loaded = hwtask.Start(ctx, func(context.Context) error {
		defer client.Close()
		return hwtask.Join(tasks...)
	})
	return nil
}

// address follows the platform's balancer: a router that is not ready gets nothing new; another one takes its place.
func (s *Scenario) address(name string) string {
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

// loggedCommand expects that an event was logged, or with not that none was.
func loggedCommand(s *Scenario, a Arguments) error {
	want := "yes"
	name := a.Arg(0)
	if name == "not" {
		want = "no"
		name = a.Arg(1)
	}
	return expect("logged "+name, want, yes(strings.Contains(s.Log(), `"name":"`+name+`"`)))
}

// peakCommand expects that an engine never ran more requests at once than a number: ENGINE MOST.
func peakCommand(s *Scenario, a Arguments) error {
	number, err := strconv.Atoi(a.Arg(0))
	if err != nil {
		return trace.Wrap(err)
	}
	most, err := strconv.ParseInt(a.Arg(1), 10, 64)
	if err != nil {
		return trace.Wrap(err)
	}
	_, peak := s.World.Engines[number-1].InFlight()
	if peak > most {
		return expect("requests at once at engine "+a.Arg(0), "at most "+a.Arg(1), strconv.FormatInt(peak, 10))
	}
	return nil
}
