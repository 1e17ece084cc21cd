package hwrouter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwtask"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwfence"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// The times of orders to upstreams.
const (
	orderLease    = 10 * time.Second
	orderDeadline = 2 * time.Second
	largestOrder  = 64 << 10
)

// Order asks an upstream for a state: a model in a version, in a role. Orders are declarative, so repeating one does no harm.
type Order struct {
	Upstream string `json:"upstream"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Role     string `json:"role,omitempty"`
}

// OrderOutcome is how an order ended.
type OrderOutcome string

// The outcomes of an order.
const (
	// OrderDone means that the upstream was read back and is in the ordered state.
	OrderDone OrderOutcome = "done"
	// OrderRefused means that the upstream refused the fencing number: another holder came later.
	OrderRefused OrderOutcome = "refused"
	// OrderNotSent means that nothing was sent, because the lease was not surely held.
	OrderNotSent OrderOutcome = "not-sent"
	// OrderUnknown means that the order was sent and the upstream could not be read back.
	OrderUnknown OrderOutcome = "unknown"
)

// OrderResult is what the operator gets.
type OrderResult struct {
	Outcome      OrderOutcome `json:"outcome"`
	FencingToken int64        `json:"fence"`
	Message      string       `json:"message,omitempty"`
}

// orderMessage is an order as it goes to the upstream.
type orderMessage struct {
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role,omitempty"`
}

func (r *Router) ordererKey() string {
	return "/hickorywick/environments/" + r.settings.Environment + "/orderer"
}

// orderer is one holding of the lease.
type orderer struct {
	router *Router
	lease  hwfence.Lease
	id     hwstore.LeaseID
}

// PlaceOrder takes the orderers' lease, sends the order if the lease is surely held, and reads the upstream back.
func (r *Router) PlaceOrder(ctx context.Context, order Order) OrderResult {
	upstream, known := r.findUpstream(order.Upstream)
	if !known || r.store == nil {
		return notSent(trace.NotFound("no upstream %s in the document, or no store", order.Upstream))
	}
	o, err := r.acquireOrderer(ctx)
	if err != nil {
		return notSent(err)
	}
	defer o.release(ctx)
	result := o.place(ctx, upstream, order)
	r.logger.Emit(hwevent.OrderPlaced,
		hwevent.With("upstream", order.Upstream),
		hwevent.With("outcome", string(result.Outcome)),
		hwevent.With("fence", result.FencingToken))
	return result
}

func notSent(err error) OrderResult {
	return OrderResult{
		Outcome: OrderNotSent,
		Message: trace.UserMessage(err),
	}
}

func (r *Router) findUpstream(address string) (hwdocument.Upstream, bool) {
	document := r.Document()
	if document == nil {
		return hwdocument.Upstream{}, false
	}
	for _, pool := range document.Pools {
		for _, u := range pool.Upstreams {
			if u.Address == address {
				return u, true
			}
		}
	}
	return hwdocument.Upstream{}, false
}

func (r *Router) acquireOrderer(ctx context.Context) (*orderer, error) {
	sentAt := time.Now()
	id, err := r.store.Grant(ctx, orderLease)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	fence, err := r.store.Put(ctx, r.ordererKey(), []byte(r.settings.Instance), 0, id)
	if err != nil {
		var conflict *hwstore.ConflictError
		if errors.As(err, &conflict) {
			return nil, trace.CompareFailed("instance %s is placing an order", conflict.Current.Bytes)
		}
		return nil, trace.Wrap(err)
	}
	return &orderer{
		router: r,
		lease:  hwfence.NewLease(sentAt, time.Now(), orderLease, fence),
		id:     id,
	}, nil
}

// release ends the lease, so that the next order need not wait for it. A failure only makes the next one wait.
func (o *orderer) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderDeadline)
	defer cancel()
	_ = o.router.store.Revoke(ctx, o.id)
}

func (o *orderer) place(ctx context.Context, upstream hwdocument.Upstream, order Order) OrderResult {
	if inState, err := o.readBack(ctx, order); err != nil {
		return notSent(err)
	} else if inState {
		return OrderResult{
			Outcome:      OrderDone,
			FencingToken: o.lease.FencingToken,
		}
	}
	if err := o.maySend(ctx, upstream); err != nil {
		return notSent(err)
	}
	return o.send(ctx, order)
}

// maySend returns when the order may be sent, or why it must not be.
func (o *orderer) maySend(ctx context.Context, upstream hwdocument.Upstream) error {
	order := hwfence.Order{
		ChecksFencing: upstream.ChecksFencing,
		Deadline:      orderDeadline,
	}
	for {
		decision, until := o.lease.Decide(time.Now(), order)
		switch decision {
		case hwfence.Send:
			return nil
		case hwfence.Wait:
			hwtask.Sleep(ctx, time.Until(until))
		case hwfence.Confirm:
			sentAt := time.Now()
			ttl, err := o.router.store.KeepAlive(ctx, o.id)
			if err != nil {
				return trace.Wrap(err)
			}
			o.lease = o.lease.WithRenewal(sentAt, ttl)
			order.Confirmed = true
		case hwfence.Drop:
			return trace.LimitExceeded("the lease ran out before the order was sent")
		}
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
	}
}

func (o *orderer) send(ctx context.Context, order Order) OrderResult {
	// The connection is given up when the lease ends, so that a pause while sending does not deliver the order later.
	ctx, cancel := context.WithDeadline(ctx, o.lease.ExpiresAt)
	defer cancel()
	status, _, err := o.exchange(ctx, http.MethodPost, order.Upstream, orderMessage{
		Fence:   o.lease.FencingToken,
		Model:   order.Model,
		Version: order.Version,
		Role:    order.Role,
	})
	result := OrderResult{
		Outcome:      OrderUnknown,
		FencingToken: o.lease.FencingToken,
	}
	if status == http.StatusConflict {
		result.Outcome = OrderRefused
		result.Message = "the upstream has seen a higher fencing number"
		return result
	}
	inState, readErr := o.readBack(ctx, order)
	if inState {
		result.Outcome = OrderDone
		return result
	}
	if err := trace.NewAggregate(err, readErr); err != nil {
		result.Message = trace.UserMessage(err)
	}
	return result
}

func (o *orderer) readBack(ctx context.Context, order Order) (bool, error) {
	status, body, err := o.exchange(ctx, http.MethodGet, order.Upstream, nil)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if status != http.StatusOK {
		return false, trace.ConnectionProblem(nil, "the upstream answered with status %d", status)
	}
	var state orderMessage
	if err := json.Unmarshal(body, &state); err != nil {
		return false, trace.Wrap(err)
	}
	return state.Model == order.Model && state.Version == order.Version && state.Role == order.Role, nil
}

func (o *orderer) exchange(ctx context.Context, method, upstream string, message any) (int, []byte, error) {
	var body io.Reader = http.NoBody
	if message != nil {
		text, err := json.Marshal(message)
		if err != nil {
			return 0, nil, trace.Wrap(err)
		}
		// The plain reader keeps the HTTP library from sending an order again by itself.
		body = io.NopCloser(bytes.NewReader(text))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+upstream+"/orders", body)
	if err != nil {
		return 0, nil, trace.Wrap(err)
	}
	client := http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, largestOrder))
	return response.StatusCode, answer, trace.Wrap(err)
}

// orderHandler takes an operator's order.
func (r *Router) orderHandler(w http.ResponseWriter, request *http.Request) {
	var order Order
	if err := json.NewDecoder(io.LimitReader(request.Body, largestOrder)).Decode(&order); err != nil || order.Upstream == "" {
		w.WriteHeader(http.StatusBadRequest)
		writeJSON(w, notSent(trace.BadParameter("the body is not an order")))
		return
	}
	result := r.PlaceOrder(request.Context(), order)
	writeJSON(w, result)
}
