package hwrouter

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwintake"
	"github.com/hickorywick/hickorywick/lib/hwonce"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwretry"
	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// delivery is the state of one request while the router handles it.
type delivery struct {
	router *Router
	call   *hwintake.Call
	pool   *pool
	writer http.ResponseWriter
	// fingerprint identifies the request in crash reports.
	fingerprint hwquarantine.Fingerprint
	// trial reports that the request is sent although a segment of its prompt is quarantined.
	trial bool
	// receivedAt is when the request arrived, firstByteAt when the response header was written.
	receivedAt  time.Time
	firstByteAt time.Time
	attempts    int
	// excluded are the upstreams of failed attempts.
	excluded []string
	// maybeSent reports whether an earlier attempt may have reached an upstream.
	maybeSent bool
	// lastEventID is the ID of the last event that was relayed to the caller, from which an upstream can resume the stream.
	lastEventID string
	// headerWritten reports whether the response header was written.
	headerWritten bool
	// cost is the cost of the request so far, in cost units. chargedCost is the part of it that was charged for earlier attempts.
	cost        float64
	chargedCost float64
	// intentRecorded reports whether the request is recorded under its idempotency key. Such a request is completed even if its caller disconnects, so that a repeat gets the outcome.
	intentRecorded bool
	// responseComplete reports whether a complete, buffered response arrived from an upstream, even if the caller has disconnected. responseBody and responseStatus are that response.
	responseComplete bool
	responseBody     []byte
	responseStatus   int
	// pause is for how long the upstream of the last attempt wants no requests, or 0.
	pause time.Duration
	// resuming reports whether the next attempt resumes the stream.
	resuming bool
	// callerGone reports whether a write to the caller failed.
	callerGone bool
	// controller sets the write deadlines for the caller's connection and flushes it.
	controller *http.ResponseController
	// history is kept for operators after the request has ended.
	history requestHistory
}

// Serve handles a call: it waits for a slot, runs the call at an upstream and relays the response, with retries where allowed.
func (r *Router) Serve(ctx context.Context, call *hwintake.Call, writer http.ResponseWriter) {
	if !r.requests.begin() {
		hwintake.WriteError(writer, hwerror.NewRejection(hwerror.KindShuttingDown, hwevent.RequestRefused.Number, "the instance stops"))
		return
	}
	defer r.requests.end()
	r.metrics.requests.Add(1)
	d := &delivery{
		router:      r,
		call:        call,
		pool:        r.pool(call.Pool.Name),
		writer:      writer,
		controller:  http.NewResponseController(writer),
		receivedAt:  time.Now(),
		fingerprint: hwquarantine.FingerprintOf(call.Account.Name, call.Path, call.BodyHash),
	}
	// The connection may be reused for another request.
	defer func() { _ = d.controller.SetWriteDeadline(time.Time{}) }()
	if d.pool == nil {
		d.writeError(hwerror.NewRejection(hwerror.KindUnknownModel, hwevent.RequestRefused.Number, "the pool is not in force any more"))
		return
	}
	d.pool.depositRetry(time.Now())
	requestErr := r.quarantine.check(time.Now(), d.fingerprint)
	if requestErr == nil {
		requestErr = d.checkSegments(time.Now())
	}
	switch {
	case requestErr != nil:
	case call.IdempotencyKey == "" || call.Idempotent:
		requestErr = d.run(ctx)
	default:
		requestErr = d.runOnce(ctx)
	}
	d.recordObjectives(requestErr)
	r.recentRequests.add(d, requestErr)
	if requestErr != nil {
		d.writeError(requestErr)
		return
	}
	r.clearCrashReport(d.fingerprint)
	r.metrics.outcomes.Add(string(hwerror.ExecutionRan), 1)
}

// runOnce runs a non-idempotent request with an idempotency key, at most once for that key: it records the intent before and the outcome after.
func (d *delivery) runOnce(ctx context.Context) *hwerror.RequestError {
	keyed := d.router.newKeyedRequest(d.call)
	decision, cached := keyed.begin(ctx)
	if decision.Verdict == hwonce.VerdictUnavailable {
		// The intent may have been recorded despite the failure, so release the key.
		keyed.recordOutcome(hwonce.OutcomeNotExecuted, 0, cachedResponse{})
	}
	if decision.Verdict != hwonce.VerdictRun {
		return replayOrReject(d.writer, decision, cached)
	}
	d.intentRecorded = true
	requestErr := d.run(ctx)
	keyed.recordOutcome(d.recordedOutcome(requestErr), d.responseStatus, cachedResponse{
		body:        d.responseBody,
		contentType: d.writer.Header().Get("Content-Type"),
	})
	return requestErr
}

// recordedOutcome returns the outcome to be recorded under the request's idempotency key.
func (d *delivery) recordedOutcome(requestErr *hwerror.RequestError) hwonce.Outcome {
	switch {
	case requestErr == nil || d.responseComplete:
		return hwonce.OutcomeExecuted
	case requestErr.Execution == hwerror.ExecutionNotRun:
		return hwonce.OutcomeNotExecuted
	default:
		return hwonce.OutcomeUnknown
	}
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (d *delivery) run(ctx context.Context) *hwerror.RequestError {
	deadline := time.Now().Add(d.call.QueueTimeout)
	for {
		d.attempts++
		id := d.call.ID + "." + strconv.Itoa(d.attempts) + "." + hwintake.NewID()[:8]
		upstream, wait, requestErr := d.pool.acquire(ctx, time.Now(), d.dispatchRequest(id, deadline))
		d.history.addWait(time.Now(), wait)
		if requestErr != nil {
			return d.withPriorAttempts(requestErr)
		}
		startedAt := time.Now()
		failure := d.attempt(ctx, id, upstream)
		d.history.addAttempt(startedAt, time.Now(), upstream, failure)
		if failure == nil {
			return nil
		}
		if !d.prepareRetry(ctx, failure) {
			return d.requestError(ctx, failure)
		}
	}
}

func (d *delivery) dispatchRequest(id string, deadline time.Time) hwdispatch.Request {
	hint := 0.0
	if d.call.MaxTokens > 0 {
		hint = d.call.PromptTokens*d.call.Pool.PromptWeight + d.call.MaxTokens*d.call.Pool.GeneratedWeight
	}
	return hwdispatch.Request{
		ID:           id,
		Account:      d.call.Account.Name,
		CostHint:     hint,
		PromptCost:   d.call.PromptTokens * d.call.Pool.PromptWeight,
		Deadline:     deadline,
		PrefixHash:   d.call.PrefixHash,
		Excluded:     d.excluded,
		Requeued:     d.attempts > 1,
		CrashSuspect: d.router.quarantine.isSuspect(time.Now(), d.fingerprint),
	}
}

// withPriorAttempts corrects the execution state of an error that a retry got while queued: an earlier attempt may have run at an upstream.
func (d *delivery) withPriorAttempts(requestErr *hwerror.RequestError) *hwerror.RequestError {
	if !d.maybeSent {
		return requestErr
	}
	corrected := *requestErr
	corrected.Execution = hwerror.ExecutionUnknown
	return &corrected
}

// prepareRetry decides whether the request is retried after a failed attempt. If so, it takes a retry from the budget and prepares the next attempt.
func (d *delivery) prepareRetry(ctx context.Context, failure *hwupstream.Error) bool {
	next := hwretry.Decide(hwretry.Attempt{
		Number:             d.attempts,
		Idempotent:         d.call.Idempotent,
		MaybeSent:          failure.MaybeSent,
		ResponseStarted:    d.headerWritten,
		Resumable:          d.call.Pool.ResumesStreams && d.lastEventID != "",
		ClientDisconnected: ctx.Err() != nil || d.callerGone,
	})
	if d.router.quarantine.check(time.Now(), d.fingerprint) != nil || d.mayCrashUpstream(failure) {
		return false
	}
	if next == hwretry.Stop || !d.pool.withdrawRetry(time.Now()) {
		return false
	}
	d.excluded = append(d.excluded, failure.Upstream)
	d.maybeSent = d.maybeSent || failure.MaybeSent
	d.resuming = next == hwretry.Resume
	d.router.metrics.retries.Add(1)
	if d.resuming {
		d.router.metrics.resumes.Add(1)
	}
	d.router.logger.Emit(hwevent.UpstreamRetry, hwevent.With("request", d.call.ID), hwevent.With("failed", failure.Upstream))
	return true
}

// requestError returns the error that is sent to the caller after the last attempt has failed.
func (d *delivery) requestError(ctx context.Context, failure *hwupstream.Error) *hwerror.RequestError {
	execution := hwerror.ExecutionUnknown
	kind := hwerror.KindUpstreamFailed
	number := hwevent.OutcomeUnknown.Number
	message := "the upstream did not give a whole answer; it is not known whether the request ran"
	switch {
	case ctx.Err() != nil, d.callerGone:
		kind = hwerror.KindCallerGone
	case !failure.MaybeSent && !d.maybeSent:
		execution = hwerror.ExecutionNotRun
		kind = hwerror.KindNoUpstream
		number = hwevent.UpstreamFailed.Number
		message = "no upstream could be reached; the request did not run"
	case failure.ResponseMismatch:
		kind = hwerror.KindAnswerCrossed
		number = hwevent.AnswerCrossed.Number
	}
	return hwerror.NewFailure(kind, execution, number, message, failure)
}

// writeError sends the error to the caller. In a stream that has started, it is sent as an error event, and the end-of-stream marker is omitted.
func (d *delivery) writeError(requestErr *hwerror.RequestError) {
	r := d.router
	r.metrics.outcomes.Add(string(requestErr.Execution), 1)
	r.metrics.refusals.Add(string(requestErr.Kind), 1)
	event := hwevent.RequestRefused
	if requestErr.Execution == hwerror.ExecutionUnknown {
		event = hwevent.OutcomeUnknown
	}
	r.logger.Emit(event,
		hwevent.With("request", d.call.ID),
		hwevent.With("account", d.call.Account.Name),
		hwevent.With("kind", string(requestErr.Kind)),
		hwevent.With("execution", string(requestErr.Execution)))
	if !d.headerWritten {
		hwintake.WriteError(d.writer, requestErr)
		return
	}
	if d.call.Stream {
		_ = d.writeEvent("", "error", string(hwintake.ErrorJSON(requestErr)))
		return
	}
	// Part of a buffered response may have been sent, so aborting the connection is the only way to signal that the rest is missing.
	panic(http.ErrAbortHandler)
}
