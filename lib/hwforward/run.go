package hwforward

import (
	"context"
	"errors"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwlink"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

// outcome is the result of one attempt.
type outcome int

const (
	// done means that the response was relayed to the client.
	done outcome = iota
	// notExecuted means that the request was certainly not executed by the upstream.
	notExecuted
	// failed means that there is no response to relay. Unless attemptResult.unsent is set, the request may have been executed.
	failed
)

// attemptResult describes the end of one attempt.
type attemptResult struct {
	outcome outcome
	// unsent is set if no byte of the request was sent to the upstream.
	unsent bool
	cause  error
	// fallback is an error response of the upstream, which is relayed if no other upstream may be tried.
	fallback *bufferedResponse
}

// maxUnsentAttempts is the maximum number of failed connection attempts per request.
const maxUnsentAttempts = 4

// sendWithRetries sends the request to upstreams until a response is relayed or no further attempt is allowed.
func (e *exchange) sendWithRetries(ctx context.Context) {
	unsent := 0
	for {
		// Nothing must be sent for a client that has disconnected. On a busy CPU the goroutine that detects the closed connection may not have run yet, so it gets a chance to run first.
		runtime.Gosched()
		if ctx.Err() != nil || e.clientLeft() {
			e.endOnContext(ctx, attemptResult{
				outcome: notExecuted,
				cause:   ctx.Err(),
			})
			return
		}
		refusal := e.chooseUpstream(ctx)
		if refusal != nil && e.headerSent {
			// A stream that has begun can only be continued or aborted.
			e.abortResponse(refusal)
		}
		if refusal != nil {
			e.writeRefusal(refusal)
			return
		}
		result := e.sendOnce(ctx)
		if result.outcome == done {
			return
		}
		if ctx.Err() != nil {
			e.endOnContext(ctx, result)
			return
		}
		if result.unsent {
			unsent++
		}
		if unsent < maxUnsentAttempts && !e.isCulpritSuspect(ctx, result) && e.mayRetry(result) {
			e.router.logger.Emit(hwevent.UpstreamRetry,
				hwevent.With("request-id", e.info.ID),
				hwevent.With("upstream", e.inFlight.Upstream),
				hwevent.With("sends", e.attempts),
				hwevent.With("cause", errorText(result.cause)))
			continue
		}
		e.failExchange(result)
		return
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// retryable reports whether the request may be executed more than once.
func (e *exchange) retryable() bool {
	if e.route.Streaming {
		return e.route.Resumable
	}
	return e.route.Idempotent
}

// mayRetry reports whether the request may be sent again after an attempt that produced no response.
func (e *exchange) mayRetry(result attemptResult) bool {
	r := e.router
	if result.unsent {
		return true
	}
	switch result.outcome {
	case notExecuted:
		// The request was not executed, so it need not be retryable.
		if e.attempts > max(1, e.route.MaxAttempts) {
			return false
		}
	default:
		if !e.retryable() || e.executions >= max(1, e.route.MaxAttempts) {
			return false
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.retryBudget(r.clock.Now(), e.pool).TryWithdraw(r.clock.Now())
}

// chooseUpstream selects an upstream and records the start of the attempt. Until an upstream may have executed the request, it also decides on admission.
func (e *exchange) chooseUpstream(ctx context.Context) *hwerror.RequestError {
	r := e.router
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	pool := r.pool(now, e.pool)
	if pool == nil {
		return newRefusal(hwerror.KindNoUpstream, "the route's pool is not known").WithRetryAfter(noUpstreamRetryAfter)
	}
	if refusal := e.refuseQuarantined(now); refusal != nil {
		return refusal
	}
	if e.isInDoubt() {
		if e.executions > 0 {
			return hwerror.NewFailure(hwerror.KindUpstreamFailed, hwerror.ExecutionUnknown, hwevent.RequestFailed.Number, "the upstream of the stream has restarted at another version", nil)
		}
		return e.refuseInDoubt(now)
	}
	if e.executions == 0 && r.drainTimeOver(now) {
		return newRefusal(hwerror.KindShuttingDown, "the instance stops").WithRetryAfter(drainingRetryAfter)
	}
	query := hwplace.Request{
		Prompt:      e.prompt,
		Excluded:    e.excluded,
		Random:      r.random.Float64(),
		LeastLoaded: e.trial,
		Version:     e.version,
		NewVersions: e.newVersions(now),
	}
	choice, found := pool.Choose(now, query)
	if !found && len(e.excluded) > 0 && ctx.Err() == nil {
		// Every upstream was tried. One that merely refused the request may accept it now.
		query.Excluded = nil
		choice, found = pool.Choose(now, query)
	}
	if !found {
		if e.executions > 0 {
			return hwerror.NewFailure(hwerror.KindUpstreamFailed, hwerror.ExecutionUnknown, hwevent.RequestFailed.Number, "no other upstream is left", nil)
		}
		return e.refuseWithoutUpstream(now, pool)
	}
	e.choice = choice
	switch {
	case e.attempts == 0:
		if refusal := e.decideAdmission(now, pool, query); refusal != nil {
			return refusal
		}
	case e.executions == 0:
		if refusal := e.readmit(); refusal != nil {
			return refusal
		}
	}
	if e.attempts == 0 && r.hedging != nil {
		r.hedging.policy.RecordRequest(now, e.prompt.Tokens())
	}
	e.attempts++
	if e.trial {
		r.beginTrial(now, e)
	}
	e.inFlight = e.startAttempt(now, pool, e.choice, query)
	return nil
}

// decideAdmission admits or refuses the request. If it would be refused and its account is served much less than the best-served one, it may go to an upstream that has less of its prompt cached but a shorter queue: the upstreams with its prefixes in their caches are busy, while those of the other account are not. The lock must be held.
func (e *exchange) decideAdmission(now time.Time, pool *hwplace.Pool, query hwplace.Request) *hwerror.RequestError {
	r := e.router
	// What was admitted when the stream began counts as within the account's share.
	metered := pool.HasEngines() && e.account != "" && !e.charged
	if metered {
		r.shares.RecordDemand(now, e.account, e.cost)
		e.shareUsage = r.shares.ShareUsage(now, e.account, r.table.Load().Limits().FleetTokensPerSecond)
	}
	e.queueWait = e.choice.QueueWait
	decision := r.settings.Admission.Decide(hwadmit.Request{
		QueueWait:        e.queueWait,
		LatencyObjective: e.route.LatencyObjective,
		ShareUsage:       e.shareUsage,
		PrefillTime:      e.choice.PrefillTime,
		Random:           r.random.Float64(),
	})
	if !decision.Admitted {
		reason := "the wait would be too long"
		if e.queueWait <= decision.MaxWait {
			reason = "the account is over its share and idle capacity is not lent for that long"
		}
		if !metered || !r.shares.Underserved(now, e.account, r.table.Load().Limits().FleetTokensPerSecond) {
			return e.refuseAdmission(now, pool, reason, decision)
		}
		query.MaxWait = r.settings.Admission.FairShareMaxWait(e.route.LatencyObjective)
		alternative, found := pool.Choose(now, query)
		if !found {
			return e.refuseAdmission(now, pool, reason, decision)
		}
		e.choice = alternative
		e.queueWait = alternative.QueueWait
	}
	if metered {
		r.shares.RecordAdmitted(now, e.account, e.cost)
	}
	return nil
}

// refuseAdmission refuses the request and tells the caller when to retry. Callers of accounts within their share have a right to the capacity, so each gets its time in the schedule of the pool. Those over their share only retry after the excess wait. The lock must be held.
func (e *exchange) refuseAdmission(now time.Time, pool *hwplace.Pool, reason string, decision hwadmit.Decision) *hwerror.RequestError {
	r := e.router
	retryAfter := decision.RetryAfter
	if pool.HasEngines() && e.shareUsage < 1 {
		// The retries of all routers share the part of the pool that is planned for them.
		cost := float64(e.choice.PrefillTime) * float64(r.shares.ReportingRouters(now)) / (retryCapacityRatio * float64(max(1, pool.ActiveUpstreams(now))))
		latest := now.Add(time.Duration(r.settings.MaxRetryAfterRatio * float64(e.deadline.Sub(now))))
		retryAfter = e.returnSchedule().Reserve(now.Add(retryAfter), latest, time.Duration(cost)).Sub(now)
	}
	return newRefusal(e.admissionRefusalKind(), reason).WithRetryAfter(retryAfter)
}

// retryCapacityRatio is the part of a pool's capacity that is planned for the retries of refused callers. The rest is for new requests.
const retryCapacityRatio = 0.5

// returnSchedule returns the schedule of the request's pool, and creates it on first use. The lock must be held.
func (e *exchange) returnSchedule() *hwadmit.ReturnSchedule {
	schedule := e.router.returnSchedules[e.pool]
	if schedule == nil {
		schedule = &hwadmit.ReturnSchedule{}
		e.router.returnSchedules[e.pool] = schedule
	}
	return schedule
}

// readmit repeats the admission decision for a request that no upstream has executed yet. Otherwise, if many upstreams crash or are full at the same time, their requests would queue at the other upstreams without a limit. The lock must be held.
func (e *exchange) readmit() *hwerror.RequestError {
	e.queueWait = e.choice.QueueWait
	decision := e.router.settings.Admission.Decide(hwadmit.Request{
		QueueWait:        e.queueWait,
		LatencyObjective: e.route.LatencyObjective,
		ShareUsage:       e.shareUsage,
		PrefillTime:      e.choice.PrefillTime,
		Random:           e.router.random.Float64(),
	})
	if decision.Admitted {
		return nil
	}
	return newRefusal(e.admissionRefusalKind(), "no upstream took the request, and the wait at the next would be too long").WithRetryAfter(decision.RetryAfter)
}

// sendOnce sends the request to the selected upstream and handles its response.
func (e *exchange) sendOnce(ctx context.Context) attemptResult {
	if e.mayHedge() {
		return e.sendHedged(ctx)
	}
	r := e.router
	now := r.clock.Now()
	// The deferred cancel ends the exchange with the upstream however this function returns.
	attemptCtx, cancel := e.attemptContext(ctx, now)
	defer cancel()
	r.watchAttempt(e, cancel)
	defer r.unwatchAttempt(e)
	response, result := e.exchangeHead(ctx, attemptCtx, now)
	if response == nil {
		return result
	}
	defer response.Close()
	// A client that leaves ends the attempt with a panic.
	defer e.recordExposure()
	if e.isStream(response) {
		return e.relayStream(ctx, response)
	}
	return e.bufferAndRelay(ctx, response)
}

// exchangeHead sends the request to the selected upstream and returns a response whose body may be relayed; the caller closes it and records the exposure. Otherwise the attempt has ended with the result. attemptCtx ends with ctx or with the attempt's timeout.
func (e *exchange) exchangeHead(ctx, attemptCtx context.Context, now time.Time) (*hwlink.Response, attemptResult) {
	r := e.router
	e.sentAt = now
	e.proof = hwquarantine.ProvesNothing
	e.suspected = false
	response, exchangeErr := r.transport.Do(attemptCtx, now, &hwlink.Request{
		Address: e.choice.Upstream.Address,
		Process: endpoint(e.choice.Upstream).Process,
		Method:  e.request.Method,
		Target:  requestTarget(e.request),
		Host:    e.request.Host,
		Header: r.protocol.UpstreamHeader(e.request.Header, ForwardInfo{
			TimeLeft:         e.deadline.Sub(now),
			ExpectedUpstream: e.choice.Upstream.ID,
			Account:          e.account,
			FetchCacheFrom:   e.choice.FetchFrom,
			LastEventID:      e.resumeEventID(),
		}),
		Body:            e.body,
		MaxConnIdleTime: e.maxConnIdleTime(),
		Withhold:        e.isUpstreamUnavailable,
		NewConnection:   slices.Contains(e.excluded, e.choice.Upstream.ID),
		ID:              e.info.ID,
		IDHeader:        r.protocol.RequestIDHeader(),
	})
	if exchangeErr != nil {
		return nil, e.endUnansweredAttempt(ctx, exchangeErr)
	}
	info := r.protocol.ParseResponse(response.Status, response.Header)
	r.recordResponseInfo(e.pool, e.choice.Upstream, info)
	if info.NotExecuted {
		defer response.Close()
		return nil, e.refusedByUpstream(ctx, response)
	}
	e.executions++
	reason := rejectionReason(response, info)
	if reason == "" && e.headerSent && !e.continuesStream(response) {
		reason = "to a resumed stream is not its continuation, status " + strconv.Itoa(response.Status)
	}
	if reason != "" {
		defer response.Close()
		defer e.recordExposure()
		return nil, e.rejectResponse(ctx, reason)
	}
	return response, attemptResult{}
}

// endUnansweredAttempt ends an attempt to which no response arrived.
func (e *exchange) endUnansweredAttempt(ctx context.Context, exchangeErr *hwlink.ExchangeError) attemptResult {
	var withheld *hwlink.WithheldError
	if errors.As(exchangeErr, &withheld) {
		return e.endWithheldAttempt(ctx, exchangeErr)
	}
	if exchangeErr.MaybeSent {
		e.executions++
	} else if ctx.Err() == nil {
		e.recordConnectFailure()
	}
	var broken error
	if exchangeErr.ConnectionFailed && exchangeErr.MaybeSent {
		broken = exchangeErr
	}
	e.finishAttempt(ctx, true, broken)
	if exchangeErr.MaybeSent {
		e.recordExposure()
	}
	e.excluded = append(e.excluded, e.choice.Upstream.ID)
	return attemptResult{
		outcome: failed,
		unsent:  !exchangeErr.MaybeSent,
		cause:   exchangeErr,
	}
}

// nonRetryableMaxIdle is the maximum idle time of a connection that is reused for a request that must not be executed twice. Upstreams that drop idle connections without closing them do so after seconds.
const nonRetryableMaxIdle = 700 * time.Millisecond

// maxConnIdleTime returns the maximum idle time of a connection that the attempt reuses; 0 means no limit.
func (e *exchange) maxConnIdleTime() time.Duration {
	if e.retryable() {
		return 0
	}
	return nonRetryableMaxIdle
}

// attemptContext returns the context of an attempt. An idempotent request that is not streamed and has another attempt left gets a timeout for this one, so that an unresponsive upstream does not use up the request's time.
//
// An attempt that may use all the remaining time gets no deadline of its own: both deadlines would expire at the same moment, and if the attempt's was seen first, it would be counted as a failure of the upstream.
func (e *exchange) attemptContext(ctx context.Context, now time.Time) (context.Context, context.CancelFunc) {
	timeout, limited := e.attemptTimeout(now)
	if !limited {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

// attemptTimeout returns the timeout of an attempt that begins now, or false if it may use all the remaining time.
func (e *exchange) attemptTimeout(now time.Time) (time.Duration, bool) {
	timeout := max(minAttemptTimeout, time.Duration(attemptTimeoutObjectives*float64(e.route.LatencyObjective)))
	limited := !e.route.Streaming && e.route.Idempotent && e.executions+1 < e.route.MaxAttempts && !now.Add(timeout).After(e.deadline)
	return timeout, limited
}

const (
	// attemptTimeoutObjectives is the timeout of an attempt as a multiple of the route's latency objective. A later response misses the objective in any case.
	attemptTimeoutObjectives = 1.5
	// minAttemptTimeout is the minimum timeout of an attempt. A short slowdown of an upstream does not justify executing a request twice.
	minAttemptTimeout = 200 * time.Millisecond
)

// resumeEventID returns the id of the last event that the client received, in this response or in an earlier one that the client resumes.
func (e *exchange) resumeEventID() string {
	if e.lastEventID != "" {
		return e.lastEventID
	}
	return e.info.LastEventID
}

// maxRefusalBytes is the maximum size of a refusal's body that is read to keep the connection, in bytes. The content is discarded; a new connection is cheaper than reading a larger body.
const maxRefusalBytes = 16 << 10

// refusedByUpstream ends an attempt that the upstream states it did not execute.
func (e *exchange) refusedByUpstream(ctx context.Context, response *hwlink.Response) attemptResult {
	if _, err := readLimited(response.Body, response.Length, maxRefusalBytes, e.reserveMemory); err == nil {
		response.ReleaseConnection(e.router.clock.Now())
	}
	e.finishAttempt(ctx, response.Status == http.StatusMisdirectedRequest, nil)
	e.excluded = append(e.excluded, e.choice.Upstream.ID)
	return attemptResult{
		outcome: notExecuted,
		cause: &UpstreamRefusedError{
			Upstream: e.choice.Upstream.ID,
			Status:   response.Status,
		},
	}
}

// UpstreamRefusedError reports that an upstream refused a request without executing it.
type UpstreamRefusedError struct {
	Upstream string
	Status   int
}

// Error returns the upstream and the status.
func (e *UpstreamRefusedError) Error() string {
	return "upstream " + e.Upstream + " refused with " + http.StatusText(e.Status)
}

// finishAttempt records the end of an attempt. Parameter upstreamFailed counts the attempt as a failure of the upstream; broken is the error with which the connection failed while the request was in flight, or nil.
func (e *exchange) finishAttempt(ctx context.Context, upstreamFailed bool, broken error) {
	r := e.router
	now := r.clock.Now()
	// An attempt that ended because of the client, the deadline or this router is no failure of the upstream.
	contextDone := ctx.Err() != nil || e.cancelled.Load()
	r.lock.Lock()
	if p := r.pools[e.pool]; p != nil {
		p.Finish(now, e.inFlight, upstreamFailed && !contextDone)
	}
	r.lock.Unlock()
	if upstreamFailed && !contextDone {
		r.logger.Emit(hwevent.UpstreamFailed,
			hwevent.With("request-id", e.info.ID),
			hwevent.With("upstream", e.choice.Upstream.ID),
			hwevent.With("broken", broken != nil),
			hwevent.With("trouble", e.choice.RecentFailures))
	}
	if broken != nil && !contextDone {
		e.suspected = true
		r.transport.CloseIdleConnections(e.choice.Upstream.Address)
		e.crashCheck = r.recordCrashSuspect(ctx, now, e, broken)
	}
}

// recordConnectFailure records that no connection to the upstream could be opened. The peers are informed as well.
func (e *exchange) recordConnectFailure() {
	r := e.router
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	if p := r.pools[e.pool]; p != nil {
		p.RecordConnectFailure(now, e.choice.Upstream.ID)
	}
}

// recordProgress records that part of the response has arrived. The first part shows how long the request waited at an engine.
func (e *exchange) recordProgress() {
	r := e.router
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	e.begun = true
	r.recordSurvival(now, e.choice.Upstream.Lifetime(), e.sentAt)
	p := r.pools[e.pool]
	if p == nil {
		return
	}
	overhead := p.FirstTokenOverhead()
	if first, elapsed := p.RecordProgress(now, e.inFlight); first && p.HasEngines() {
		r.metrics.recordWaitEstimate(e.choice.QueueWait, elapsed-e.choice.PrefillTime-overhead)
	}
}
