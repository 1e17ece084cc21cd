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

// orderCommand places an order through a router: begin NAME ROUTER engine=N version=V, or end NAME outcome=O.
func orderCommand(s *Stage, a Arguments) error {
	if a.Word(0) == "end" {
		result, known := s.orders[a.Word(1)]
		if !known {
			return trace.NotFound("there is no order %s", a.Word(1))
		}
		select {
		case ended := <-result:
			return expect("order "+a.Word(1), a.Settings["outcome"], string(ended.Outcome))
		case <-time.After(patience):
			return trace.LimitExceeded("order %s did not end", a.Word(1))
		}
	}
	router, err := s.World.FindRouter(a.Word(2))
	if err != nil {
		return trace.Wrap(err)
	}
	address := s.World.Engines[a.Number("engine", 1)-1].Server.Address()
	ended := make(chan hwrouter.OrderResult, 1)
	s.orders[a.Word(1)] = ended
	s.begun = append(s.begun, hwtask.Start(context.Background(), func(ctx context.Context) error {
		ended <- router.Router.PlaceOrder(ctx, hwrouter.Order{
			Upstream: address,
			Model:    hwworld.Model,
			Version:  a.Settings["version"],
		})
		return nil
	}))
	return nil
}

// orderedCommand compares the version that an engine has: ENGINE VERSION.
func orderedCommand(s *Stage, a Arguments) error {
	number, err := strconv.Atoi(a.Word(0))
	if err != nil {
		return trace.Wrap(err)
	}
	version, fences := s.World.Engines[number-1].AppliedOrders()
	return trace.NewAggregate(
		expect("version ordered at engine "+a.Word(0), a.Word(1), version),
		expect("fencing numbers rise at engine "+a.Word(0), "yes", yes(slices.IsSorted(fences))))
}
