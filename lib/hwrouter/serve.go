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

// delivery is the state of one request on its way through the router.
type delivery struct {
	router *Router
	call   *hwintake.Call
	pool   *pool
	writer http.ResponseWriter
	// fingerprint names the request among those that crash upstreams.
	fingerprint hwquarantine.Fingerprint
	// receivedAt is when the request came, firstByte when the head of its answer went out.
	receivedAt  time.Time
	firstByteAt time.Time
	// attempts counts the attempts made.
	attempts int
	excluded []string
	// handedOver tells that an earlier attempt may have reached an upstream.
	handedOver bool
	// eventsSent counts the events of a stream that the caller has.
	eventsSent int
	// lastEventID is the id of the last of them, by which an upstream resumes.
	lastEventID string
	// headerWritten tells that the head of the answer was written.
	headerWritten bool
	// cost is the cost of the request so far; base is the part that earlier attempts were charged.
	cost        float64
	chargedCost float64
	// intentRecorded tells that the request is kept under a key; it then runs to its end even if its caller goes away, so that a repeat gets the outcome.
	intentRecorded bool
	// responseComplete tells that a whole answer came, even if its caller did not stay for it; kept and status are that answer.
	responseComplete bool
	responseBody     []byte
	responseStatus   int
	// resuming tells that the next attempt continues the answer.
	resuming bool
	// callerGone tells that the caller stopped taking its answer.
	callerGone bool
	// controller sets the deadlines of writes to the caller.
	controller *http.ResponseController
	// history is what operators can ask about the request afterwards.
	history requestHistory
}

// Serve runs a call from its wait for a slot to the last byte of its answer.
func (r *Router) Serve(ctx context.Context, call *hwintake.Call, writer http.ResponseWriter) {
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
	// The connection may carry another request later.
	defer func() { _ = d.controller.SetWriteDeadline(time.Time{}) }()
	if d.pool == nil {
		d.writeRefusal(hwerror.Refuse(hwerror.KindUnknownModel, hwevent.RequestRefused.Number, "the pool is not in force any more"))
		return
	}
	d.pool.earnRetry(time.Now())
	refusal := r.quarantine.refusal(time.Now(), d.fingerprint)
	switch {
	case refusal != nil:
	case call.Key == "" || call.Repeatable:
		refusal = d.run(ctx)
	default:
		refusal = d.runOnce(ctx)
	}
	d.recordObjectives(refusal)
	r.recentRequests.add(d, refusal)
	if refusal != nil {
		d.writeRefusal(refusal)
		return
	}
	r.clearCrashReport(d.fingerprint)
	r.metrics.outcomes.Add(string(hwerror.Ran), 1)
}

// runOnce runs a keyed request that must not be repeated under its record.
func (d *delivery) runOnce(ctx context.Context) *hwerror.Refusal {
	intention := d.router.newKeyedRequest(d.call)
	decision, kept := intention.begin(ctx)
	if decision.Verdict == hwonce.VerdictUnavailable {
		// The intent may have been recorded all the same; its key must not stay in use.
		intention.recordOutcome(hwonce.OutcomeNotExecuted, 0, cachedResponse{})
	}
	if decision.Verdict != hwonce.VerdictRun {
		return answerDuplicate(d.writer, decision, kept)
	}
	d.intentRecorded = true
	refusal := d.run(ctx)
	intention.recordOutcome(d.recordedOutcome(refusal), d.responseStatus, cachedResponse{
		body:        d.responseBody,
		contentType: d.writer.Header().Get("Content-Type"),
	})
	return refusal
}

// recordedOutcome returns the outcome that the record keeps.
func (d *delivery) recordedOutcome(refusal *hwerror.Refusal) hwonce.Outcome {
	switch {
	case refusal == nil || d.responseComplete:
		return hwonce.OutcomeExecuted
	case refusal.Execution == hwerror.NotRun:
		return hwonce.OutcomeNotExecuted
	default:
		return hwonce.OutcomeUnknown
	}
}

// run makes attempts until one ends well or none may follow.
func (d *delivery) run(ctx context.Context) *hwerror.Refusal {
	deadline := time.Now().Add(d.call.Deadline)
	for {
		d.attempts++
		id := d.call.ID + "." + strconv.Itoa(d.attempts) + "." + hwintake.NewID()[:8]
		upstream, wait, refusal := d.pool.acquire(ctx, time.Now(), d.dispatchRequest(id, deadline))
		d.history.addWait(time.Now(), wait)
		if refusal != nil {
			return d.withPriorAttempts(refusal)
		}
		began := time.Now()
		failure := d.attempt(ctx, id, upstream)
		d.history.addAttempt(began, time.Now(), upstream, failure)
		if failure == nil {
			return nil
		}
		if !d.prepareRetry(ctx, failure) {
			return d.refusalFor(ctx, failure)
		}
	}
}

func (d *delivery) dispatchRequest(id string, deadline time.Time) hwdispatch.Request {
	hint := 0.0
	if d.call.TokenLimit > 0 {
		hint = d.call.PromptTokens*d.call.Pool.PromptWeight + d.call.TokenLimit*d.call.Pool.GeneratedWeight
	}
	return hwdispatch.Request{
		ID:           id,
		Account:      d.call.Account.Name,
		CostHint:     hint,
		PromptCost:   d.call.PromptTokens * d.call.Pool.PromptWeight,
		Deadline:     deadline,
		PrefixHash:   d.call.Prefix,
		Excluded:     d.excluded,
		Requeued:     d.attempts > 1,
		CrashSuspect: d.router.quarantine.isSuspect(time.Now(), d.fingerprint),
	}
}

// withPriorAttempts corrects a refusal to wait again: what an earlier attempt handed over may have run.
func (d *delivery) withPriorAttempts(refusal *hwerror.Refusal) *hwerror.Refusal {
	if !d.handedOver {
		return refusal
	}
	corrected := *refusal
	corrected.Execution = hwerror.Unknown
	return &corrected
}

// prepareRetry decides whether another attempt follows a failed one.
func (d *delivery) prepareRetry(ctx context.Context, failure *hwupstream.Error) bool {
	next := hwretry.Decide(hwretry.Attempt{
		Number:     d.attempts,
		Repeatable: d.call.Repeatable,
		HandedOver: failure.HandedOver,
		Answered:   d.headerWritten,
		Resumable:  d.call.Pool.ResumesStreams && d.lastEventID != "",
		CallerGone: ctx.Err() != nil || d.callerGone,
	})
	if d.router.quarantine.refusal(time.Now(), d.fingerprint) != nil {
		return false
	}
	if next == hwretry.Stop || !d.pool.spendRetry(time.Now()) {
		return false
	}
	d.excluded = append(d.excluded, failure.Upstream)
	d.handedOver = d.handedOver || failure.HandedOver
	d.resuming = next == hwretry.Resume
	d.router.metrics.retries.Add(1)
	if d.resuming {
		d.router.metrics.resumes.Add(1)
	}
	d.router.logger.Emit(hwevent.UpstreamRanAgain, hwevent.With("request", d.call.ID), hwevent.With("failed", failure.Upstream))
	return true
}

// refusalFor turns the last failure into what the caller is told.
func (d *delivery) refusalFor(ctx context.Context, failure *hwupstream.Error) *hwerror.Refusal {
	execution := hwerror.Unknown
	kind := hwerror.KindUpstreamFailed
	number := hwevent.OutcomeUnknown.Number
	message := "the upstream did not give a whole answer; it is not known whether the request ran"
	switch {
	case ctx.Err() != nil, d.callerGone:
		kind = hwerror.KindCallerGone
	case !failure.HandedOver && !d.handedOver:
		execution = hwerror.NotRun
		kind = hwerror.KindNoUpstream
		number = hwevent.UpstreamFailed.Number
		message = "no upstream could be reached; the request did not run"
	case failure.Crossed:
		kind = hwerror.KindAnswerCrossed
		number = hwevent.AnswerCrossed.Number
	}
	return hwerror.Fail(kind, execution, number, message, failure)
}

// writeRefusal tells the caller how the request ended. In a stream that has begun the error is its last event, and the end mark is missing.
func (d *delivery) writeRefusal(refusal *hwerror.Refusal) {
	r := d.router
	r.metrics.outcomes.Add(string(refusal.Execution), 1)
	r.metrics.refusals.Add(string(refusal.Kind), 1)
	event := hwevent.RequestRefused
	if refusal.Execution == hwerror.Unknown {
		event = hwevent.OutcomeUnknown
	}
	r.logger.Emit(event,
		hwevent.With("request", d.call.ID),
		hwevent.With("account", d.call.Account.Name),
		hwevent.With("kind", string(refusal.Kind)),
		hwevent.With("execution", string(refusal.Execution)))
	if !d.headerWritten {
		hwintake.WriteRefusal(d.writer, refusal)
		return
	}
	if d.call.Stream {
		_ = d.writeEvent("", "error", string(hwintake.RefusalJSON(refusal)))
		return
	}
	// Part of a whole answer is out: cutting the connection is the only way left to say that the rest will not come.
	panic(http.ErrAbortHandler)
}
