package hwscenarios

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakestore"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwscript"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwhead"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// checkTime bounds the search of a checker. A search that does not end counts as a failure.
const checkTime = 30 * time.Second

// orderCall is one caller's call with a key, or the last look at how often the key ran.
type orderCall struct {
	key  string
	look bool
}

// orderEnd is what the caller was told, or the number of executions.
type orderEnd struct {
	execution string
	body      string
	executed  int
}

// orders is the model of one key: it has run or not, and every answer that says so is the same.
func orders() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(from, in, out any) []any {
			state, input, output := from.(string), in.(orderCall), out.(orderEnd)
			switch {
			case input.look && output.executed == 0:
				return only(state, state == "")
			case input.look:
				return only(state, state != "" && output.executed == 1)
			case output.execution == "not-run":
				return []any{state}
			case output.execution == "ran" && output.body != "":
				return only(output.body, state == "" || state == "?" || state == output.body)
			case output.execution == "ran":
				return only(state, state != "")
			case state == "":
				// Unknown: it may have run or not.
				return []any{"", "?"}
			default:
				return []any{state}
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

func only(state string, allowed bool) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

// history collects operations of concurrent callers.
type history struct {
	lock       sync.Mutex
	operations []porcupine.Operation
}

func (h *history) record(client int, input any, call func() any) {
	begun := time.Now().UnixNano()
	output := call()
	ended := time.Now().UnixNano()
	h.lock.Lock()
	defer h.lock.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client,
		Input:    input,
		Output:   output,
		Call:     begun,
		Return:   ended,
	})
}

// ordersUnderFailure sends a few keys through all routers at once, again and again, while the store loses answers, the service dies and an owner is killed.
func ordersUnderFailure(t *testing.T, keyed bool) map[string]*history {
	stage, err := hwscript.NewScenario(hwscript.Parse([]string{"routers=4", "services=2", "engines=1"}))
	require.NoError(t, err)
	defer stage.Close()
	require.NoError(t, hwscript.WaitUntil("members", func() bool { return len(stage.World.AllRouters()[0].Router.AliveInstances()) == 4 }))
	keys := []string{"k0", "k1", "k2", "k3", "k4", "k5"}
	histories := map[string]*history{}
	for _, key := range keys {
		histories[key] = &history{}
	}
	stage.World.Store.SetFaults(hwfakestore.Faults{
		DropResponses: 6,
		DropRequests:  3,
	})
	for _, service := range stage.World.Services {
		service.InjectFaults("die-after", "", "die-before", "", "truncate")
	}
	var tasks []<-chan error
	for client := range 8 {
		tasks = append(tasks, hwtask.Start(context.Background(), func(context.Context) error {
			random := rand.New(rand.NewPCG(uint64(client), 7))
			for round := range 10 {
				key := keys[random.IntN(len(keys))]
				histories[key].record(client, orderCall{
					key: key,
				}, func() any {
					return callOrder(stage, fmt.Sprintf("%d-%d", client, round), key, client%4, keyed)
				})
			}
			return nil
		}))
	}
	router, err := stage.World.FindRouter("router-4")
	require.NoError(t, err)
	router.Kill()
	stage.World.InstanceList.Remove("router-4")
	require.NoError(t, hwtask.Join(tasks...))
	for _, key := range keys {
		executed := 0
		for _, service := range stage.World.Services {
			executed += service.Executions(key)
		}
		histories[key].record(99, orderCall{
			key:  key,
			look: true,
		}, func() any {
			return orderEnd{
				executed: executed,
			}
		})
	}
	return histories
}

func callOrder(stage *hwscript.Scenario, name, key string, router int, keyed bool) orderEnd {
	words := []string{name, fmt.Sprintf("router-%d", router+1), "POST", "/services/desk/orders", "body=" + key}
	if keyed {
		words = append(words, "key="+key)
	}
	if err := stage.StartRequest(hwscript.Parse(words)); err != nil {
		return orderEnd{
			execution: "not-run",
		}
	}
	reply, err := stage.AwaitReply(name)
	if err != nil || reply.Execution == "" {
		return orderEnd{
			execution: "unknown",
		}
	}
	end := orderEnd{
		execution: reply.Execution,
	}
	if reply.Status == 200 {
		end.body = reply.Body
	}
	return end
}

func legal(h *history, model porcupine.Model) bool {
	return porcupine.CheckOperationsTimeout(model, h.operations, checkTime) == porcupine.Ok
}

func TestAKeyRunsAtMostOnceAndAnswersAgree(t *testing.T) {
	for key, h := range ordersUnderFailure(t, true) {
		assert.True(t, legal(h, orders()), "key %s: %+v", key, h.operations)
	}
}

// TestTheOrderCheckSeesAPlantedFault sends the same calls without their key, so that they are handed over although no intent is stored.
func TestTheOrderCheckSeesAPlantedFault(t *testing.T) {
	objected := false
	for _, h := range ordersUnderFailure(t, false) {
		objected = objected || !legal(h, orders())
	}
	assert.True(t, objected, "calls that ran more than once must be seen")
}

// headCall is a write from a version, or a read.
type headCall struct {
	write bool
	from  uint64
}

// headEnd is the version that was read or written.
type headEnd struct {
	version uint64
	won     bool
	unknown bool
}

// head is the model of an environment's head: versions rise by one, and only a write that begins at the present version takes effect.
func head() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(1)} },
		Step: func(from, in, out any) []any {
			state, input, output := from.(uint64), in.(headCall), out.(headEnd)
			switch {
			case !input.write && output.unknown:
				return []any{state}
			case !input.write && output.version == state:
				return []any{state}
			case !input.write:
				return nil
			case output.won && input.from == state:
				return []any{state + 1}
			case output.won:
				return nil
			case output.unknown && input.from == state:
				return []any{state, state + 1}
			default:
				return []any{state}
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// racingPromotions lets operators promote against each other while the store loses calls and answers.
func racingPromotions(t *testing.T) *history {
	stage, err := hwscript.NewScenario(hwscript.Parse([]string{"routers=1", "services=0", "engines=1"}))
	require.NoError(t, err)
	defer stage.Close()
	stage.World.Store.SetFaults(hwfakestore.Faults{
		DropResponses: 8,
		DropRequests:  8,
	})
	h := &history{}
	var tasks []<-chan error
	for operator := range 4 {
		tasks = append(tasks, hwtask.Start(context.Background(), func(ctx context.Context) error {
			for range 6 {
				var current hwhead.StoredHead
				h.record(operator, headCall{}, func() any {
					read, err := stage.World.CurrentHead(ctx)
					current = read
					return headEnd{
						version: read.Head.Version,
						unknown: err != nil,
					}
				})
				h.record(operator, headCall{
					write: true,
					from:  current.Head.Version,
				}, func() any {
					err := stage.World.Promote(ctx, current, fmt.Sprint(operator))
					var raced *hwworld.VersionConflictError
					return headEnd{
						won:     err == nil,
						unknown: err != nil && !errors.As(err, &raced),
					}
				})
			}
			return nil
		}))
	}
	require.NoError(t, hwtask.Join(tasks...))
	return h
}

func TestRacingPromotionsAreLinearizable(t *testing.T) {
	assert.True(t, legal(racingPromotions(t), head()))
}

// TestThePromotionCheckSeesAPlantedFault reports a write that took effect as lost to another, as a writer does that takes its own lost answer for a failure.
func TestThePromotionCheckSeesAPlantedFault(t *testing.T) {
	h := racingPromotions(t)
	for i, operation := range h.operations {
		if end := operation.Output.(headEnd); end.won {
			h.operations[i].Output = headEnd{}
			break
		}
	}
	assert.False(t, legal(h, head()))
}
