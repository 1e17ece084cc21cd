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

// placed is an order of a version, or a look at the version that an engine has.
type placed struct {
	version string
	look    bool
}

// placedEnd is how the order ended, or the version seen.
type placedEnd struct {
	outcome hwrouter.OrderOutcome
	fence   int64
	version string
}

// ordered is an engine's state.
type ordered struct {
	fence   int64
	version string
}

// fencing is the model of an engine's orders: fencing numbers never go back, and a look sees the last order.
func fencing() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{ordered{}} },
		Step: func(from, in, out any) []any {
			state, input, output := from.(ordered), in.(placed), out.(placedEnd)
			next := ordered{
				fence:   output.fence,
				version: input.version,
			}
			var states []any
			switch {
			case input.look:
				if output.version == state.version {
					states = append(states, state)
				}
			case output.outcome == hwrouter.OrderDone:
				if output.fence >= state.fence {
					states = append(states, next)
				}
			case output.outcome == hwrouter.OrderRefused:
				if output.fence < state.fence {
					states = append(states, state)
				}
			case output.outcome == hwrouter.OrderUnknown:
				states = append(states, state)
				if output.fence >= state.fence {
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

// fencingRounds is how often an orderer is paused past its lease.
const fencingRounds = 4

// ordersWithPauses pauses an orderer past its lease in every round while others order, and looks at the engine all the time.
func ordersWithPauses(t *testing.T, checks bool) *history {
	stage, err := hwscript.NewScenario(hwscript.Parse([]string{"routers=3", "engines=1"}))
	require.NoError(t, err)
	defer stage.Close()
	require.NoError(t, hwscript.WaitUntil("members", func() bool { return len(stage.World.AllRouters()[0].Router.AliveInstances()) == 3 }))
	engine := stage.World.Engines[0]
	engine.EnforceFencing(checks)
	h := &history{}
	order := func(ctx context.Context, client int, version string) {
		h.record(client, placed{
			version: version,
		}, func() any {
			router := stage.World.AllRouters()[client%3].Router
			result := router.PlaceOrder(ctx, hwrouter.Order{
				Upstream: engine.Server.Address(),
				Model:    hwworld.Model,
				Version:  version,
			})
			return placedEnd{
				outcome: result.Outcome,
				fence:   result.FencingToken,
			}
		})
	}
	for round := range fencingRounds {
		engine.BlockNextRead()
		late := hwtask.Start(context.Background(), func(ctx context.Context) error {
			order(ctx, 0, fmt.Sprint(round, "-late"))
			return nil
		})
		require.NoError(t, hwscript.WaitUntil("held", engine.ReadBlocked))
		stage.World.Store.ExpireLeases()
		var others []<-chan error
		for client := 1; client <= 4; client++ {
			others = append(others, hwtask.Start(context.Background(), func(ctx context.Context) error {
				order(ctx, client, fmt.Sprint(round, "-", client))
				h.record(client, placed{
					look: true,
				}, func() any {
					version, _ := engine.AppliedOrders()
					return placedEnd{
						version: version,
					}
				})
				return nil
			}))
		}
		require.NoError(t, hwtask.Join(others...))
		engine.UnblockRead()
		require.NoError(t, <-late)
		h.record(5, placed{
			look: true,
		}, func() any {
			version, _ := engine.AppliedOrders()
			return placedEnd{
				version: version,
			}
		})
	}
	return h
}

func TestFencingNumbersNeverGoBack(t *testing.T) {
	h := ordersWithPauses(t, true)
	outcomes := map[hwrouter.OrderOutcome]int{}
	for _, operation := range h.operations {
		outcomes[operation.Output.(placedEnd).outcome]++
	}
	assert.Equal(t, fencingRounds, outcomes[hwrouter.OrderRefused], "every late order reaches the engine and is refused: %v", outcomes)
	assert.True(t, legal(h, fencing()), "%+v", h.operations)
}

// TestTheFencingCheckSeesAPlantedFault lets the engine take every order although the document says that it checks.
func TestTheFencingCheckSeesAPlantedFault(t *testing.T) {
	assert.False(t, legal(ordersWithPauses(t, false), fencing()))
}
