package hwrouter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwtask"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwfence"
	"github.com/hickorywick/hickorywick/lib/hwresponse"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

const (
	// orderLeaseTTL is the time to live of the lease that an instance must hold to send an order.
	orderLeaseTTL = 10 * time.Second
	orderTimeout  = 2 * time.Second
	// maxOrderBytes is the largest body of an order or of an upstream's reply that is read.
	maxOrderBytes = 64 << 10
)

// Order is an operator's command to an upstream: the model, version and role that it should serve. Orders are declarative, so repeating one is harmless.
type Order struct {
	Upstream string `json:"upstream"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Role     string `json:"role,omitempty"`
}

// OrderOutcome is the result of an order.
type OrderOutcome string

// The outcomes of an order.
const (
	// OrderDone means that the upstream was queried and is in the ordered state.
	OrderDone OrderOutcome = "done"
	// OrderRefused means that the upstream rejected the fencing token: it has seen a later lease holder's.
	OrderRefused OrderOutcome = "refused"
	// OrderNotSent means that nothing was sent: the lease was not held for certain, or a check before sending failed.
	OrderNotSent OrderOutcome = "not-sent"
	// OrderUnknown means that the order was sent, but the upstream could not be confirmed to be in the ordered state.
	OrderUnknown OrderOutcome = "unknown"
)

// OrderResult is the response to an operator's order.
type OrderResult struct {
	Outcome      OrderOutcome `json:"outcome"`
	FencingToken int64        `json:"fence"`
	Message      string       `json:"message,omitempty"`
}

// orderMessage is the JSON form of an order sent to an upstream, and of the state that it reports.
type orderMessage struct {
	FencingToken int64  `json:"fence"`
	Model        string `json:"model"`
	Version      string `json:"version"`
	Role         string `json:"role,omitempty"`
}

func (r *Router) orderLeaseKey() string {
	return "/hickorywick/environments/" + r.settings.Environment + "/orderer"
}

// orderTokenKey returns the store key of the last fencing token.
func (r *Router) orderTokenKey() string {
	return "/hickorywick/environments/" + r.settings.Environment + "/orderer-token"
}

// orderSender sends orders while this instance holds the order lease. A new one is made for each acquired lease.
type orderSender struct {
	router *Router
	lease  hwfence.Lease
	id     hwstore.LeaseID
}

// PlaceOrder acquires the order lease, sends the order if the lease is certain to be held, and queries the upstream for the resulting state.
func (r *Router) PlaceOrder(ctx context.Context, order Order) OrderResult {
	upstream, known := r.findUpstream(order.Upstream)
	if !known || r.store == nil {
		return notSent(trace.NotFound("no upstream %s in the document, or no store", order.Upstream))
	}
	o, err := r.acquireOrderLease(ctx)
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

func (r *Router) acquireOrderLease(ctx context.Context) (*orderSender, error) {
	sentAt := time.Now()
	id, err := r.store.Grant(ctx, orderLeaseTTL)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	acquired, err := r.store.Put(ctx, r.orderLeaseKey(), []byte(r.settings.Instance), hwstore.Revision{}, id)
	if err != nil {
		var conflict *hwstore.ConflictError
		if errors.As(err, &conflict) {
			return nil, trace.CompareFailed("instance %s is placing an order", conflict.Current.Bytes)
		}
		return nil, trace.Wrap(err)
	}
	sender := &orderSender{
		router: r,
		id:     id,
	}
	fencingToken, err := r.takeFencingToken(ctx, acquired)
	if err != nil {
		sender.release(ctx)
		return nil, trace.Wrap(err)
	}
	sender.lease = hwfence.NewLease(sentAt, time.Now(), orderLeaseTTL, fencingToken)
	return sender, nil
}

// takeFencingToken stores and returns the next fencing token on behalf of the holder of the lease that was acquired at the given revision. It fails if the store has been restored since, because the restored store may have given the lease to another.
func (r *Router) takeFencingToken(ctx context.Context, acquired hwstore.Revision) (int64, error) {
	value, err := r.store.Get(ctx, r.orderTokenKey())
	if err != nil {
		return 0, trace.Wrap(err)
	}
	var last int64
	if value.Revision.Exists() {
		if last, err = strconv.ParseInt(string(value.Bytes), 10, 64); err != nil {
			return 0, trace.BadParameter("the store's fencing token %q is not a number", value.Bytes)
		}
	}
	next := hwfence.NextToken(time.Now(), last)
	written, err := r.store.Put(ctx, r.orderTokenKey(), strconv.AppendInt(nil, next, 10), value.Revision, hwstore.NoLease)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if acquired.IsOfOtherCluster(written.Cluster) {
		return 0, trace.Wrap(&hwstore.RestoredError{
			Call: "put",
		})
	}
	return next, nil
}

// release revokes the lease, so that the next order doesn't have to wait until it expires. If that fails, the next order waits.
func (s *orderSender) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	_ = s.router.store.Revoke(ctx, s.id)
}

func (s *orderSender) place(ctx context.Context, upstream hwdocument.Upstream, order Order) OrderResult {
	if inState, err := s.isApplied(ctx, order); err != nil {
		return notSent(err)
	} else if inState {
		return OrderResult{
			Outcome:      OrderDone,
			FencingToken: s.lease.FencingToken,
		}
	}
	if err := s.awaitSendPermission(ctx, upstream); err != nil {
		return notSent(err)
	}
	return s.send(ctx, order)
}

// awaitSendPermission waits until the order may be sent, and returns an error if it must not be sent.
func (s *orderSender) awaitSendPermission(ctx context.Context, upstream hwdocument.Upstream) error {
	order := hwfence.Order{
		ChecksFencing: upstream.ChecksFencing,
		Deadline:      orderTimeout,
	}
	for {
		decision, until := s.lease.Decide(time.Now(), order)
		switch decision {
		case hwfence.Send:
			return nil
		case hwfence.Wait:
			hwtask.Sleep(ctx, time.Until(until))
		case hwfence.Confirm:
			sentAt := time.Now()
			ttl, err := s.router.store.KeepAlive(ctx, s.id)
			if err != nil {
				return trace.Wrap(err)
			}
			s.lease = s.lease.WithRenewal(sentAt, ttl)
			order.Confirmed = true
		case hwfence.Drop:
			return trace.LimitExceeded("the lease ran out before the order was sent")
		}
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
	}
}

func (s *orderSender) send(ctx context.Context, order Order) OrderResult {
	// The request is cancelled when the lease ends, so that a pause of this process while sending doesn't deliver the order after that.
	ctx, cancel := context.WithDeadline(ctx, s.lease.ExpiresAt)
	defer cancel()
	status, _, err := s.roundTrip(ctx, http.MethodPost, order.Upstream, orderMessage{
		FencingToken: s.lease.FencingToken,
		Model:        order.Model,
		Version:      order.Version,
		Role:         order.Role,
	})
	result := OrderResult{
		Outcome:      OrderUnknown,
		FencingToken: s.lease.FencingToken,
	}
	if status == http.StatusConflict {
		result.Outcome = OrderRefused
		result.Message = "the upstream has seen a higher fencing number"
		return result
	}
	inState, readErr := s.isApplied(ctx, order)
	if inState {
		result.Outcome = OrderDone
		return result
	}
	if err := trace.NewAggregate(err, readErr); err != nil {
		result.Message = trace.UserMessage(err)
	}
	return result
}

func (s *orderSender) isApplied(ctx context.Context, order Order) (bool, error) {
	status, body, err := s.roundTrip(ctx, http.MethodGet, order.Upstream, nil)
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

func (s *orderSender) roundTrip(ctx context.Context, method, upstream string, message any) (int, []byte, error) {
	var body io.Reader = http.NoBody
	if message != nil {
		text, err := json.Marshal(message)
		if err != nil {
			return 0, nil, trace.Wrap(err)
		}
		// Wrapping the reader hides its type from net/http, which could otherwise rewind the body and send the order again by itself.
		body = io.NopCloser(bytes.NewReader(text))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+upstream+"/orders", body)
	if err != nil {
		return 0, nil, trace.Wrap(err)
	}
	client := http.Client{
		Transport: hwresponse.NewTransport(&http.Transport{
			DisableKeepAlives: true,
		}),
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxOrderBytes))
	return response.StatusCode, data, trace.Wrap(err)
}

// orderHandler handles an order that an operator sent.
func (r *Router) orderHandler(w http.ResponseWriter, request *http.Request) {
	var order Order
	if err := json.NewDecoder(io.LimitReader(request.Body, maxOrderBytes)).Decode(&order); err != nil || order.Upstream == "" {
		w.WriteHeader(http.StatusBadRequest)
		writeJSON(w, notSent(trace.BadParameter("the body is not an order")))
		return
	}
	result := r.PlaceOrder(request.Context(), order)
	writeJSON(w, result)
}
