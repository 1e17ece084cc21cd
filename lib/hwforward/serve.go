package hwforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtable"
	"github.com/hickorywick/hickorywick/lib/hwversion"
)

// exchange is the state of one client request while the router handles it.
type exchange struct {
	router     *Router
	writer     http.ResponseWriter
	controller *http.ResponseController
	request    *http.Request
	info       RequestInfo
	route      hwtable.Route
	// pool is the name of the pool that serves the request.
	pool      string
	account   string
	body      []byte
	prompt    hwprompt.Prompt
	cost      float64
	arrivedAt time.Time
	// deadline is when the response must be complete.
	deadline time.Time
	// identity identifies the whole request, segments are those of the prompt that other requests may share, and suspects are all of them.
	identity hwquarantine.Segment
	segments []hwquarantine.Segment
	suspects []hwquarantine.Segment
	// cautious is set if this router may not know what crashes upstreams, so that the request has to claim its segments.
	cautious bool
	// trial is set if the request is sent although one of its segments is quarantined.
	trial bool
	// sentAt is when the present attempt began, and proof what it shows if the upstream survives it.
	sentAt time.Time
	proof  hwquarantine.Proof
	// begun is set once a part of the answer has arrived. The router's lock guards it.
	begun bool
	// cancelled is set if the attempt was cancelled because a segment was quarantined.
	cancelled atomic.Bool
	// suspected is set if the connection of the present attempt broke.
	suspected bool
	// crashCheck is closed once it is known whether the upstream of the last attempt has crashed, or nil.
	crashCheck <-chan struct{}

	// executions is the number of attempts in which an upstream may have executed the request; attempts is the number of all attempts.
	executions int
	attempts   int
	excluded   []string
	inFlight   *hwplace.InFlightRequest
	choice     hwplace.Choice
	// version is the only software version at which the stream may go on, or 0 before it has begun.
	version hwplace.VersionHash
	// charged means that the account was charged for the stream when it began.
	charged bool
	// origin is where the stream began, in this exchange or in an earlier one.
	origin hwversion.Origin
	// headerSent is set once the response header was written to the client; status is the status of the response.
	headerSent bool
	status     int
	// lastEventID is the id of the last event that was relayed; eventCount is the number of relayed events.
	lastEventID string
	eventCount  int
	// resuming is set until the first event of a continuation has arrived.
	resuming    bool
	firstByteAt time.Time
	// writeDeadlineSetAt is when the write deadline of a stream was last extended.
	writeDeadlineSetAt time.Time
	// queueWait and shareUsage are inputs of the admission decision.
	queueWait  time.Duration
	shareUsage float64
	// reservedBytes is the memory that is reserved for the bodies of this exchange, in bytes.
	reservedBytes int64
	// hedge describes the second attempt that was sent while the first was running.
	hedge hedgeState
}

// ServeHTTP handles one client request.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.shed(w, request) {
		return
	}
	now := r.clock.Now()
	e := &exchange{
		router:     r,
		writer:     w,
		controller: http.NewResponseController(w),
		request:    request,
		info:       r.protocol.ParseRequest(request),
		arrivedAt:  now,
	}
	defer e.releaseMemory()
	r.metrics.requests.Add(1)
	if r.drainingSince.Load() != nil || r.cutOff.Load() || r.shedding.current.Load() != nil || r.MemoryFull() {
		w.Header().Set("Connection", "close")
	}
	if !e.readRequestBody(r.table.Load()) {
		return
	}
	// Time has passed, and the table may have changed, if the body came slowly.
	if refusal := e.prepare(r.clock.Now()); refusal != nil {
		e.writeRefusal(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), e.deadline)
	defer cancel()
	if e.takesUp() {
		if refusal := e.findVersion(ctx); refusal != nil {
			e.writeRefusal(refusal)
			return
		}
	}
	if e.cautious {
		if refusal := e.claimSuspects(ctx); refusal != nil {
			e.writeRefusal(refusal)
			return
		}
	}
	e.sendWithRetries(ctx)
}

// defaultMaxBodyBytes is the limit on the size of a request body while no table is active or the table sets no limit.
const defaultMaxBodyBytes = 4 << 20

// readRequestBody reads the whole body, so that the request can be retried and the connection is ready for the next request. On failure it ends the request and returns false or panics.
func (e *exchange) readRequestBody(table *hwtable.Table) bool {
	if e.request.Body == nil || e.request.ContentLength == 0 {
		return true
	}
	limit := int64(defaultMaxBodyBytes)
	if table != nil && table.Limits().MaxBodyBytes > 0 {
		limit = table.Limits().MaxBodyBytes
	}
	// A client that stops sending must not occupy its connection forever.
	_ = e.controller.SetReadDeadline(e.arrivedAt.Add(e.router.settings.BodyTimeout))
	if e.request.ContentLength > limit {
		// A client that is still sending when the connection closes would see a reset instead of the refusal, so up to 2 times the limit is read and discarded.
		_, _ = io.Copy(io.Discard, io.LimitReader(e.request.Body, 2*limit))
		e.writeRefusal(newRefusal(hwerror.KindBodyTooLarge, "the body is larger than the limit"))
		return false
	}
	body, err := readLimited(e.request.Body, e.request.ContentLength, limit, e.reserveMemory)
	_ = e.controller.SetReadDeadline(time.Time{})
	var tooLarge *BodyTooLargeError
	var noMemory *BodyMemoryError
	switch {
	case errors.As(err, &tooLarge):
		e.writeRefusal(newRefusal(hwerror.KindBodyTooLarge, "the body is larger than the limit"))
		return false
	case errors.As(err, &noMemory):
		refusal := newRefusal(hwerror.KindQueueFull, "the instance has no memory for the body").WithRetryAfter(noUpstreamRetryAfter)
		refusal.Cause = err
		e.writeRefusal(refusal)
		return false
	case err != nil:
		e.router.logger.Emit(hwevent.CallerGone, hwevent.With("request-id", e.info.ID), hwevent.With("cause", err.Error()))
		panic(http.ErrAbortHandler)
	}
	e.body = body
	return true
}

func newRefusal(kind hwerror.Kind, message string) *hwerror.RequestError {
	return hwerror.NewRejection(kind, hwevent.RequestRefused.Number, message)
}

// Retry-After values of refusals for which the wait can't be estimated.
const (
	// notReadyRetryAfter applies to an instance without a recently confirmed table; other instances may be able to serve the request.
	notReadyRetryAfter = 300 * time.Millisecond
	// noUpstreamRetryAfter applies if no upstream is available or the instance has no memory for a body.
	noUpstreamRetryAfter = 500 * time.Millisecond
	// drainingRetryAfter applies to a draining instance; another instance can serve the request at once.
	drainingRetryAfter = 20 * time.Millisecond
)

// prepare determines all that the choice of an upstream needs, and makes all checks that need no upstream.
func (e *exchange) prepare(now time.Time) *hwerror.RequestError {
	r := e.router
	if refusal := e.authorize(now); refusal != nil {
		return refusal
	}
	e.prompt = hwprompt.New(e.info.Model, e.info.PromptTokens, e.info.PromptParts)
	e.cost = float64(e.info.PromptTokens) + r.settings.GeneratedTokenWeight*float64(e.info.MaxOutputTokens)
	e.identity = e.requestIdentity()
	for _, hash := range e.prompt.SharedContent() {
		e.segments = append(e.segments, hwquarantine.PromptSegment(hash))
	}
	e.suspects = append(slices.Clone(e.segments), e.identity)
	r.lock.Lock()
	defer r.lock.Unlock()
	if refusal := e.decideSegments(now); refusal != nil {
		return refusal
	}
	e.cautious = !e.trial && r.segments.Caution().IsActive(now)
	r.retryBudget(now, e.pool).Deposit(now)
	return nil
}

// authorize determines the request's route, pool, account and deadline by the active table, and checks whether the account may use the route.
func (e *exchange) authorize(now time.Time) *hwerror.RequestError {
	r := e.router
	table, confirmed := r.confirmedTable()
	if r.drainTimeOver(now) {
		return newRefusal(hwerror.KindShuttingDown, "the instance stops").WithRetryAfter(drainingRetryAfter)
	}
	if table == nil {
		return newRefusal(hwerror.KindNotReady, "no configuration is in force yet").WithRetryAfter(notReadyRetryAfter)
	}
	current := r.isWithin(confirmed, now, r.settings.TableMaxStaleness)
	route, found := table.Match(e.request.Host, requestPath(e.request))
	if !found {
		if !current {
			return newRefusal(hwerror.KindNotReady, "the configuration may be outdated").WithRetryAfter(notReadyRetryAfter)
		}
		return newRefusal(hwerror.KindUnknownRoute, "no route matches")
	}
	e.route = route
	account, authenticated := table.Authenticate(e.info.APIKey)
	if authenticated {
		e.account = account.Name
	}
	if table.RequiresKey(route) {
		// The key may have been revoked since the table was last confirmed.
		if !r.isWithin(confirmed, now, r.settings.KeyMaxStaleness) {
			return newRefusal(hwerror.KindNotReady, "keys can't be confirmed at present").WithRetryAfter(notReadyRetryAfter)
		}
		if !authenticated {
			if !current {
				return newRefusal(hwerror.KindNotReady, "the configuration may be outdated").WithRetryAfter(notReadyRetryAfter)
			}
			return newRefusal(hwerror.KindUnknownKey, "the key is not known")
		}
	}
	e.deadline = e.arrivedAt.Add(route.Timeout)
	if timeout := e.info.ClientTimeout; timeout > 0 && timeout < route.Timeout {
		e.deadline = e.arrivedAt.Add(timeout)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	e.pool = route.PickPool(r.random.Float64())
	return nil
}

// requestPath returns the path as the client sent it, without the query.
func requestPath(request *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(request), "?")
	return path
}

// requestTarget returns the request target in origin form and otherwise unchanged.
func requestTarget(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

// requestIdentity returns an identity that is the same for every repetition of the request: it covers account, method, target, body and prompt.
func (e *exchange) requestIdentity() hwquarantine.Segment {
	contentHash := xxhash.Sum64(e.body)
	for _, segment := range e.prompt.Segments() {
		contentHash = contentHash*31 + segment.PrefixHash
	}
	return hwquarantine.RequestIdentity(e.account, e.request.Method+" "+requestTarget(e.request), contentHash)
}

// writeRefusal ends the request with an error response from the router itself.
func (e *exchange) writeRefusal(refusal *hwerror.RequestError) {
	status := refusalStatus(refusal)
	e.status = status
	e.logEnd(refusal)
	h := e.writer.Header()
	h.Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := `{"error":{"type":"` + string(refusal.Kind) + `","execution":"` + string(refusal.Execution) + `","message":"` + refusal.Message + `"}}`
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.info.ID != "" {
		h.Set(e.router.protocol.RequestIDHeader(), e.info.ID)
	}
	e.extendWriteDeadline()
	e.writer.WriteHeader(status)
	// A write error means that the client has disconnected; nothing is left to do.
	_, _ = io.WriteString(e.writer, body)
}

// extendWriteDeadline sets the write deadline of the client's connection for one more write.
func (e *exchange) extendWriteDeadline() {
	_ = e.controller.SetWriteDeadline(e.router.clock.Now().Add(e.router.settings.WriteTimeout))
}

// logEnd counts and logs the end of the request. Parameter failure is nil if an upstream's response was relayed.
func (e *exchange) logEnd(failure *hwerror.RequestError) {
	r := e.router
	now := r.clock.Now()
	fields := []hwevent.Field{
		hwevent.With("request-id", e.info.ID),
		hwevent.With("status", e.status),
		hwevent.With("route", e.route.Name),
		hwevent.With("account", e.account),
		hwevent.With("ms", now.Sub(e.arrivedAt).Milliseconds()),
	}
	if e.inFlight != nil {
		fields = append(fields,
			hwevent.With("upstream", e.inFlight.Upstream),
			hwevent.With("sends", e.attempts),
			hwevent.With("read-tokens", e.choice.PrefillTokens),
		)
	}
	fields = append(fields, e.hedge.fields()...)
	if e.queueWait > 0 || e.shareUsage > 0 {
		fields = append(fields, hwevent.With("wait-ms", e.queueWait.Milliseconds()), hwevent.With("share-used", e.shareUsage))
	}
	if !e.firstByteAt.IsZero() {
		fields = append(fields, hwevent.With("first-ms", e.firstByteAt.Sub(e.arrivedAt).Milliseconds()), hwevent.With("events", e.eventCount))
	}
	event := hwevent.RequestFinished
	if failure != nil {
		event = hwevent.RequestRefused
		if failure.Execution != hwerror.ExecutionNotRun {
			event = hwevent.RequestFailed
		}
		fields = append(fields,
			hwevent.With("kind", string(failure.Kind)),
			hwevent.With("execution", string(failure.Execution)),
			hwevent.With("reason", failure.Message),
			hwevent.With("reading-ms", e.choice.PrefillTime.Milliseconds()),
			hwevent.With("table-version", r.tableVersion()),
			hwevent.With("table-age-ms", r.TableAge().Milliseconds()),
		)
		if failure.RetryAfter > 0 {
			fields = append(fields, hwevent.With("retry-after-ms", failure.RetryAfter.Milliseconds()))
		}
		if failure.Cause != nil {
			fields = append(fields, hwevent.With("cause", failure.Cause.Error()))
		}
	}
	r.metrics.recordEnd(event, failure, e, now)
	r.logger.Emit(event, fields...)
}

func (r *Router) tableVersion() uint64 {
	if table := r.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}
