package hwscript

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// orderCommand places a model-version order through a router: begin NAME ROUTER engine=N version=V, or checks its outcome: end NAME outcome=O.
func orderCommand(s *Scenario, a Arguments) error {
	if a.Arg(0) == "end" {
		result, known := s.orders[a.Arg(1)]
		if !known {
			return trace.NotFound("no order named %s was placed", a.Arg(1))
		}
		select {
		case ended := <-result:
			return expectOneOf("order "+a.Arg(1), a.Settings["outcome"], string(ended.Outcome))
		case <-time.After(waitTimeout):
			return trace.LimitExceeded("order %s did not complete within the wait timeout", a.Arg(1))
		}
	}
	router, err := s.World.FindRouter(a.Arg(2))
	if err != nil {
		return trace.Wrap(err)
	}
	address := s.World.Engines[a.IntSetting("engine", 1)-1].Server.Address()
	ended := make(chan hwrouter.OrderResult, 1)
	s.orders[a.Arg(1)] = ended
	s.background = append(s.background, hwtask.Start(context.Background(), func(ctx context.Context) error {
		ended <- router.Router.PlaceOrder(ctx, hwrouter.Order{
			Upstream: address,
			Model:    hwworld.Model,
			Version:  a.Settings["version"],
		})
		return nil
	}))
	return nil
}

// orderedCommand checks the version last applied by an engine, and that its fencing tokens never decreased: ENGINE VERSION.
func orderedCommand(s *Scenario, a Arguments) error {
	number, err := strconv.Atoi(a.Arg(0))
	if err != nil {
		return trace.Wrap(err)
	}
	version, tokens := s.World.Engines[number-1].AppliedOrders()
	return trace.NewAggregate(
		expectOneOf("version applied by engine "+a.Arg(0), a.Arg(1), version),
		expectOneOf("fencing tokens in order at engine "+a.Arg(0), "yes", yesNo(slices.IsSorted(tokens))))
}
