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

// checkTimeout bounds the search of the linearizability checker. A search that times out counts as a failure.
const checkTimeout = 30 * time.Second

// orderInput is a request with an idempotency key, or the final read of how often the key was executed.
type orderInput struct {
	key       string
	readCount bool
}

// orderOutput is the response that the client received, or the number of executions.
type orderOutput struct {
	execution string
	body      string
	executed  int
}

// idempotencyModel models one idempotency key: it has been executed or not, and all successful responses have the same body. The state is "" before the execution, "?" if it has been executed with an unknown response, and otherwise the response body.
func idempotencyModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(from, in, out any) []any {
			state, input, output := from.(string), in.(orderInput), out.(orderOutput)
			switch {
			case input.readCount && output.executed == 0:
				return stateIf(state, state == "")
			case input.readCount:
				return stateIf(state, state != "" && output.executed == 1)
			case output.execution == "not-run":
				return []any{state}
			case output.execution == "ran" && output.body != "":
				return stateIf(output.body, state == "" || state == "?" || state == output.body)
			case output.execution == "ran":
				return stateIf(state, state != "")
			case state == "":
				// The outcome is unknown: the order may have been executed or not.
				return []any{"", "?"}
			default:
				return []any{state}
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// stateIf returns the single next state, or none if the operation is not allowed.
func stateIf(state string, allowed bool) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

// history records the operations of concurrent clients.
type history struct {
	lock       sync.Mutex
	operations []porcupine.Operation
}

func (h *history) record(client int, input any, call func() any) {
	started := time.Now().UnixNano()
	output := call()
	finished := time.Now().UnixNano()
	h.lock.Lock()
	defer h.lock.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client,
		Input:    input,
		Output:   output,
		Call:     started,
		Return:   finished,
	})
}

// recordOrdersUnderFaults sends a few keys repeatedly and concurrently through all routers while the store drops requests and responses, the services crash or truncate responses, and a router, which may own keys, is killed.
func recordOrdersUnderFaults(t *testing.T, keyed bool) map[string]*history {
	scenario, err := hwscript.NewScenario(hwscript.Parse([]string{"routers=4", "services=2", "engines=1"}))
	require.NoError(t, err)
	defer scenario.Close()
	require.NoError(t, hwscript.WaitUntil("full membership", func() bool { return len(scenario.World.AllRouters()[0].Router.AliveInstances()) == 4 }))
	keys := []string{"k0", "k1", "k2", "k3", "k4", "k5"}
	histories := map[string]*history{}
	for _, key := range keys {
		histories[key] = &history{}
	}
	scenario.World.Store.SetFaults(hwfakestore.Faults{
		DropResponses: 6,
		DropRequests:  3,
	})
	for _, service := range scenario.World.Services {
		service.InjectFaults("die-after", "", "die-before", "", "truncate")
	}
	var tasks []<-chan error
	for client := range 8 {
		tasks = append(tasks, hwtask.Start(context.Background(), func(context.Context) error {
			random := rand.New(rand.NewPCG(uint64(client), 7))
			for round := range 10 {
				key := keys[random.IntN(len(keys))]
				histories[key].record(client, orderInput{
					key: key,
				}, func() any {
					return sendOrder(scenario, fmt.Sprintf("%d-%d", client, round), key, client%4, keyed)
				})
			}
			return nil
		}))
	}
	router, err := scenario.World.FindRouter("router-4")
	require.NoError(t, err)
	router.Kill()
	scenario.World.InstanceList.Remove("router-4")
	require.NoError(t, hwtask.Join(tasks...))
	for _, key := range keys {
		executed := 0
		for _, service := range scenario.World.Services {
			executed += service.Executions(key)
		}
		histories[key].record(99, orderInput{
			key:       key,
			readCount: true,
		}, func() any {
			return orderOutput{
				executed: executed,
			}
		})
	}
	return histories
}

func sendOrder(scenario *hwscript.Scenario, name, key string, router int, keyed bool) orderOutput {
	words := []string{name, fmt.Sprintf("router-%d", router+1), "POST", "/services/desk/orders", "body=" + key}
	if keyed {
		words = append(words, "key="+key)
	}
	if err := scenario.StartRequest(hwscript.Parse(words)); err != nil {
		return orderOutput{
			execution: "not-run",
		}
	}
	reply, err := scenario.AwaitReply(name)
	if err != nil || reply.Execution == "" {
		return orderOutput{
			execution: "unknown",
		}
	}
	end := orderOutput{
		execution: reply.Execution,
	}
	if reply.Status == 200 {
		end.body = reply.Body
	}
	return end
}

func linearizable(h *history, model porcupine.Model) bool {
	return porcupine.CheckOperationsTimeout(model, h.operations, checkTimeout) == porcupine.Ok
}

func TestIdempotencyKeyRunsAtMostOnceWithOneResponse(t *testing.T) {
	for key, h := range recordOrdersUnderFaults(t, true) {
		assert.True(t, linearizable(h, idempotencyModel()), "key %s: %+v", key, h.operations)
	}
}

// TestIdempotencyModelDetectsRepeatedExecution sends the same requests without their key, so that they are forwarded without a stored intent, and checks that the model rejects a resulting history.
func TestIdempotencyModelDetectsRepeatedExecution(t *testing.T) {
	detected := false
	for _, h := range recordOrdersUnderFaults(t, false) {
		detected = detected || !linearizable(h, idempotencyModel())
	}
	assert.True(t, detected, "the model must reject a history with repeated executions")
}

// headInput is a conditional write based on the version from, or a read.
type headInput struct {
	write bool
	from  uint64
}

// headOutput is the version read, or the result of a write: committed, lost to a conflicting write, or unknown.
type headOutput struct {
	version   uint64
	committed bool
	unknown   bool
}

// headModel models the head of an environment: versions increase by one, and only a write based on the current version takes effect.
func headModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(1)} },
		Step: func(from, in, out any) []any {
			state, input, output := from.(uint64), in.(headInput), out.(headOutput)
			switch {
			case !input.write && output.unknown:
				return []any{state}
			case !input.write && output.version == state:
				return []any{state}
			case !input.write:
				return nil
			case output.committed && input.from == state:
				return []any{state + 1}
			case output.committed:
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

// recordConcurrentPromotions runs conflicting promotions by several operators while the store drops requests and responses.
func recordConcurrentPromotions(t *testing.T) *history {
	scenario, err := hwscript.NewScenario(hwscript.Parse([]string{"routers=1", "services=0", "engines=1"}))
	require.NoError(t, err)
	defer scenario.Close()
	scenario.World.Store.SetFaults(hwfakestore.Faults{
		DropResponses: 8,
		DropRequests:  8,
	})
	h := &history{}
	var tasks []<-chan error
	for operator := range 4 {
		tasks = append(tasks, hwtask.Start(context.Background(), func(ctx context.Context) error {
			for range 6 {
				var current hwhead.StoredHead
				h.record(operator, headInput{}, func() any {
					read, err := scenario.World.CurrentHead(ctx)
					current = read
					return headOutput{
						version: read.Head.Version,
						unknown: err != nil,
					}
				})
				h.record(operator, headInput{
					write: true,
					from:  current.Head.Version,
				}, func() any {
					err := scenario.World.Promote(ctx, current, fmt.Sprint(operator))
					var conflict *hwworld.VersionConflictError
					return headOutput{
						committed: err == nil,
						unknown:   err != nil && !errors.As(err, &conflict),
					}
				})
			}
			return nil
		}))
	}
	require.NoError(t, hwtask.Join(tasks...))
	return h
}

func TestConcurrentPromotionsAreLinearizable(t *testing.T) {
	assert.True(t, linearizable(recordConcurrentPromotions(t), headModel()))
}

// TestHeadModelDetectsMisreportedWrite checks that the model rejects a history in which a committed write is reported as lost to a conflict, as by a writer that mistakes a lost response for a failure.
func TestHeadModelDetectsMisreportedWrite(t *testing.T) {
	h := recordConcurrentPromotions(t)
	for i, operation := range h.operations {
		if end := operation.Output.(headOutput); end.committed {
			h.operations[i].Output = headOutput{}
			break
		}
	}
	assert.False(t, linearizable(h, headModel()))
}
