package hwcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwresponse"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
)

// orderTimeout exceeds the sum of the lease and the longest order.
const orderTimeout = 30 * time.Second

// OrderFailedError reports an order after which the upstream is not known to be in the ordered state.
type OrderFailedError struct {
	Result hwrouter.OrderResult
}

// Error returns the outcome and its reason.
func (e *OrderFailedError) Error() string {
	return fmt.Sprintf("order outcome %s: %s", e.Result.Outcome, e.Result.Message)
}

// maxResultBytes limits a router's answer to an order: an outcome and a message.
const maxResultBytes = 64 << 10

// PlaceOrder asks the router at an operators' address to place an order at an upstream under the orderers' lease, and prints the fencing number of an order that is done.
func PlaceOrder(ctx context.Context, out io.Writer, address, key string, order hwrouter.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return trace.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{
		Transport: hwresponse.NewTransport(nil),
	}
	response, err := client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var result hwrouter.OrderResult
	if err := hwresponse.DecodeJSON(response.Body, maxResultBytes, &result); err != nil {
		return trace.ConnectionProblem(err, "%s answered with status %d", address, response.StatusCode)
	}
	if result.Outcome != hwrouter.OrderDone {
		return trace.Wrap(&OrderFailedError{
			Result: result,
		})
	}
	_, err = fmt.Fprintf(out, "%s is in the ordered state, fencing number %d\n", order.Upstream, result.FencingToken)
	return trace.Wrap(err)
}
