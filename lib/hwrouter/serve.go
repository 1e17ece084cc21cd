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
	// began is when the request came, firstByte when the head of its answer went out.
	began     time.Time
	firstByte time.Time
	// attempts counts the attempts made.
	attempts int
	excluded []string
	// handedOver tells that an earlier attempt may have reached an upstream.
	handedOver bool
	// events counts the events of a stream that the caller has.
	events int
	// lastEventID is the id of the last of them, by which an upstream resumes.
	lastEventID string
	// headed tells that the head of the answer was written.
	headed bool
	// cost is the cost of the request so far; base is the part that earlier attempts were charged.
	cost float64
	base float64
	// recordedIntent tells that the request is kept under a key; it then runs to its end even if its caller goes away, so that a repeat gets the outcome.
	recordedIntent bool
	// answered tells that a whole answer came, even if its caller did not stay for it; kept and status are that answer.
	answered bool
	kept     []byte
	status   int
	// resume tells that the next attempt continues the answer.
	resume bool
	// callerGone tells that the caller stopped taking its answer.
	callerGone bool
	// control sets the deadlines of writes to the caller.
	control *http.ResponseController
	// trail is what operators can ask about the request afterwards.
	trail trail
}

// Serve runs a call from its wait for a slot to the last byte of its answer.
func (r *Router) Serve(ctx context.Context, call *hwintake.Call, writer http.ResponseWriter) {
	r.metrics.requests.Add(1)
	d := &delivery{
		router:      r,
		call:        call,
		pool:        r.pool(call.Pool.Name),
		writer:      writer,
		control:     http.NewResponseController(writer),
		began:       time.Now(),
		fingerprint: hwquarantine.FingerprintOf(call.Account.Name, call.Path, call.BodyHash),
	}
	// The connection may carry another request later.
	defer func() { _ = d.control.SetWriteDeadline(time.Time{}) }()
	if d.pool == nil {
		d.refuse(hwerror.NewRejection(hwerror.KindUnknownModel, hwevent.RequestRefused.Number, "the pool is not in force any more"))
		return
	}
	d.pool.earn(time.Now())
	refusal := r.quarantine.refusal(time.Now(), d.fingerprint)
	switch {
	case refusal != nil:
	case call.IdempotencyKey == "" || call.Idempotent:
		refusal = d.run(ctx)
	default:
		refusal = d.once(ctx)
	}
	d.count(refusal)
	r.trails.keep(d, refusal)
	if refusal != nil {
		d.refuse(refusal)
		return
	}
	r.acquit(d.fingerprint)
	r.metrics.outcomes.Add(string(hwerror.ExecutionRan), 1)
}

// once runs a keyed request that must not be repeated under its record.
func (d *delivery) once(ctx context.Context) *hwerror.RequestError {
	intention := d.router.intention(d.call)
	decision, kept := intention.begin(ctx)
	if decision.Verdict == hwonce.VerdictUnavailable {
		// The intent may have been recorded all the same; its key must not stay in use.
		intention.end(hwonce.OutcomeNotExecuted, 0, keptAnswer{})
	}
	if decision.Verdict != hwonce.VerdictRun {
		return repeated(d.writer, decision, kept)
	}
	d.recordedIntent = true
	refusal := d.run(ctx)
	intention.end(d.recorded(refusal), d.status, keptAnswer{
		body:        d.kept,
		contentType: d.writer.Header().Get("Content-Type"),
	})
	return refusal
}

// recorded returns the outcome that the record keeps.
func (d *delivery) recorded(refusal *hwerror.RequestError) hwonce.Outcome {
	switch {
	case refusal == nil || d.answered:
		return hwonce.OutcomeExecuted
	case refusal.Execution == hwerror.ExecutionNotRun:
		return hwonce.OutcomeNotExecuted
	default:
		return hwonce.OutcomeUnknown
	}
}

// run makes attempts until one ends well or none may follow.
func (d *delivery) run(ctx context.Context) *hwerror.RequestError {
	deadline := time.Now().Add(d.call.QueueTimeout)
	for {
		d.attempts++
		id := d.call.ID + "." + strconv.Itoa(d.attempts) + "." + hwintake.NewID()[:8]
		upstream, wait, refusal := d.pool.acquire(ctx, time.Now(), d.request(id, deadline))
		d.trail.waited(time.Now(), wait)
		if refusal != nil {
			return d.afterHandOver(refusal)
		}
		began := time.Now()
		failure := d.attempt(ctx, id, upstream)
		d.trail.attempted(began, time.Now(), upstream, failure)
		if failure == nil {
			return nil
		}
		if !d.again(ctx, failure) {
			return d.verdict(ctx, failure)
		}
	}
}

func (d *delivery) request(id string, deadline time.Time) hwdispatch.Request {
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
		CrashSuspect: d.router.quarantine.suspect(time.Now(), d.fingerprint),
	}
}

// afterHandOver corrects a refusal to wait again: what an earlier attempt handed over may have run.
func (d *delivery) afterHandOver(refusal *hwerror.RequestError) *hwerror.RequestError {
	if !d.handedOver {
		return refusal
	}
	corrected := *refusal
	corrected.Execution = hwerror.ExecutionUnknown
	return &corrected
}

// again decides whether another attempt follows a failed one.
func (d *delivery) again(ctx context.Context, failure *hwupstream.Error) bool {
	next := hwretry.Decide(hwretry.Attempt{
		Number:             d.attempts,
		Idempotent:         d.call.Idempotent,
		MaybeSent:          failure.MaybeSent,
		ResponseStarted:    d.headed,
		Resumable:          d.call.Pool.ResumesStreams && d.lastEventID != "",
		ClientDisconnected: ctx.Err() != nil || d.callerGone,
	})
	if d.router.quarantine.refusal(time.Now(), d.fingerprint) != nil {
		return false
	}
	if next == hwretry.Stop || !d.pool.spend(time.Now()) {
		return false
	}
	d.excluded = append(d.excluded, failure.Upstream)
	d.handedOver = d.handedOver || failure.MaybeSent
	d.resume = next == hwretry.Resume
	d.router.metrics.retries.Add(1)
	if d.resume {
		d.router.metrics.resumes.Add(1)
	}
	d.router.logger.Emit(hwevent.UpstreamRetry, hwevent.With("request", d.call.ID), hwevent.With("failed", failure.Upstream))
	return true
}

// verdict turns the last failure into what the caller is told.
func (d *delivery) verdict(ctx context.Context, failure *hwupstream.Error) *hwerror.RequestError {
	execution := hwerror.ExecutionUnknown
	kind := hwerror.KindUpstreamFailed
	number := hwevent.OutcomeUnknown.Number
	message := "the upstream did not give a whole answer; it is not known whether the request ran"
	switch {
	case ctx.Err() != nil, d.callerGone:
		kind = hwerror.KindCallerGone
	case !failure.MaybeSent && !d.handedOver:
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

// refuse tells the caller how the request ended. In a stream that has begun the error is its last event, and the end mark is missing.
func (d *delivery) refuse(refusal *hwerror.RequestError) {
	r := d.router
	r.metrics.outcomes.Add(string(refusal.Execution), 1)
	r.metrics.refusals.Add(string(refusal.Kind), 1)
	event := hwevent.RequestRefused
	if refusal.Execution == hwerror.ExecutionUnknown {
		event = hwevent.OutcomeUnknown
	}
	r.logger.Emit(event,
		hwevent.With("request", d.call.ID),
		hwevent.With("account", d.call.Account.Name),
		hwevent.With("kind", string(refusal.Kind)),
		hwevent.With("execution", string(refusal.Execution)))
	if !d.headed {
		hwintake.WriteError(d.writer, refusal)
		return
	}
	if d.call.Stream {
		_ = d.write("", "error", string(hwintake.ErrorJSON(refusal)))
		return
	}
	// Part of a whole answer is out: cutting the connection is the only way left to say that the rest will not come.
	panic(http.ErrAbortHandler)
}
