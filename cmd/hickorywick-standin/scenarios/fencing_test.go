package hwscenarios

import (
	"context"
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwscript"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// fencingInput is an order for a model version, or a read of the version that the engine last applied.
type fencingInput struct {
	version string
	read    bool
}

// fencingOutput is the outcome of the order, or the version read.
type fencingOutput struct {
	outcome hwrouter.OrderOutcome
	token   int64
	version string
}

// engineState is the model's state of an engine: the last accepted fencing token and version.
type engineState struct {
	token   int64
	version string
}

// fencingModel models the orders of one engine: accepted fencing tokens never decrease, and a read returns the version of the last applied order.
func fencingModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{engineState{}} },
		Step: func(from, in, out any) []any {
			state, input, output := from.(engineState), in.(fencingInput), out.(fencingOutput)
			next := engineState{
				token:   output.token,
				version: input.version,
			}
			var states []any
			switch {
			case input.read:
				if output.version == state.version {
					states = append(states, state)
				}
			case output.outcome == hwrouter.OrderDone:
				if output.token >= state.token {
					states = append(states, next)
				}
			case output.outcome == hwrouter.OrderRefused:
				if output.token < state.token {
					states = append(states, state)
				}
			case output.outcome == hwrouter.OrderUnknown:
				states = append(states, state)
				if output.token >= state.token {
					states = append(states, next)
				}
			default:
				states = append(states, state)
			}
			return states
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// lateOrderRounds is how often an ordering instance is paused past its lease.
const lateOrderRounds = 4

// recordLateOrders pauses an ordering instance past its lease in every round while other clients place orders and read the applied version. It returns the recorded operations.
func recordLateOrders(t *testing.T, enforceFencing bool) *history {
	scenario, err := hwscript.NewScenario(hwscript.Parse([]string{"routers=3", "engines=1"}))
	require.NoError(t, err)
	defer scenario.Close()
	require.NoError(t, hwscript.WaitUntil("full membership", func() bool { return len(scenario.World.AllRouters()[0].Router.AliveInstances()) == 3 }))
	engine := scenario.World.Engines[0]
	engine.EnforceFencing(enforceFencing)
	h := &history{}
	order := func(ctx context.Context, client int, version string) {
		h.record(client, fencingInput{
			version: version,
		}, func() any {
			router := scenario.World.AllRouters()[client%3].Router
			result := router.PlaceOrder(ctx, hwrouter.Order{
				Upstream: engine.Server.Address(),
				Model:    hwworld.Model,
				Version:  version,
			})
			return fencingOutput{
				outcome: result.Outcome,
				token:   result.FencingToken,
			}
		})
	}
	for round := range lateOrderRounds {
		engine.BlockNextRead()
		lateOrder := hwtask.Start(context.Background(), func(ctx context.Context) error {
			order(ctx, 0, fmt.Sprint(round, "-late"))
			return nil
		})
		require.NoError(t, hwscript.WaitUntil("blocked read", engine.ReadBlocked))
		scenario.World.Store.ExpireLeases()
		var others []<-chan error
		for client := 1; client <= 4; client++ {
			others = append(others, hwtask.Start(context.Background(), func(ctx context.Context) error {
				order(ctx, client, fmt.Sprint(round, "-", client))
				h.record(client, fencingInput{
					read: true,
				}, func() any {
					version, _ := engine.AppliedOrders()
					return fencingOutput{
						version: version,
					}
				})
				return nil
			}))
		}
		require.NoError(t, hwtask.Join(others...))
		engine.UnblockRead()
		require.NoError(t, <-lateOrder)
		h.record(5, fencingInput{
			read: true,
		}, func() any {
			version, _ := engine.AppliedOrders()
			return fencingOutput{
				version: version,
			}
		})
	}
	return h
}

func TestFencingTokensNeverDecrease(t *testing.T) {
	h := recordLateOrders(t, true)
	outcomes := map[hwrouter.OrderOutcome]int{}
	for _, operation := range h.operations {
		outcomes[operation.Output.(fencingOutput).outcome]++
	}
	assert.Equal(t, lateOrderRounds, outcomes[hwrouter.OrderRefused], "every late order reaches the engine and is rejected: %v", outcomes)
	assert.True(t, linearizable(h, fencingModel()), "%+v", h.operations)
}

// TestFencingModelDetectsUnfencedEngine checks that the model rejects the history of an engine that accepts every order although the document says that it checks fencing tokens.
func TestFencingModelDetectsUnfencedEngine(t *testing.T) {
	assert.False(t, linearizable(recordLateOrders(t, false), fencingModel()))
}
