package hwrouter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwintake"
	"github.com/hickorywick/hickorywick/lib/hwonce"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// keyedRequest records one attempt to run a request with an idempotency key at the owner of the key's partition.
type keyedRequest struct {
	router    *Router
	key       hwonce.KeyHash
	bodyHash  uint64
	attemptID uint64
}

func (r *Router) newKeyedRequest(call *hwintake.Call) *keyedRequest {
	return &keyedRequest{
		router:    r,
		key:       hwonce.HashKey(call.Account.Name, call.IdempotencyKey),
		bodyHash:  call.BodyHash,
		attemptID: rand.Uint64(),
	}
}

// begin asks the owner whether the request may run. After a lost reply it asks again with the same attempt ID, which is safe.
func (k *keyedRequest) begin(ctx context.Context) (hwonce.Decision, cachedResponse) {
	for n := range intendMaxAttempts {
		if n > 0 {
			hwtask.Sleep(ctx, intendRetryDelay)
		}
		decision, cached, err := k.askOwner(ctx)
		if err == nil && decision.Verdict != hwonce.VerdictNotOwner {
			return decision, cached
		}
	}
	return hwonce.Decision{
		Verdict: hwonce.VerdictUnavailable,
	}, cachedResponse{}
}

func (k *keyedRequest) askOwner(ctx context.Context) (hwonce.Decision, cachedResponse, error) {
	r := k.router
	owner := r.partitionOwner(k.key.Partition(oncePartitions))
	if owner == r.settings.Instance {
		decision, cached := r.decideLocally(ctx, hwonce.Intent{
			Key:       k.key,
			BodyHash:  k.bodyHash,
			AttemptID: k.attemptID,
		})
		return decision, cached, nil
	}
	row, known := r.lookupMember(owner)
	if !known {
		return hwonce.Decision{}, cachedResponse{}, trace.NotFound("the partition's owner is not a known member")
	}
	reply, err := r.peers.Intend(ctx, row.Address, &hwpeerpb.IntendRequest{
		KeyHigh: k.key.High,
		KeyLow:  k.key.Low,
		Body:    k.bodyHash,
		Attempt: k.attemptID,
	})
	if err != nil {
		r.probeNow(ctx, owner)
		return hwonce.Decision{}, cachedResponse{}, trace.Wrap(err)
	}
	if reply.GetVerdict() > uint32(hwonce.VerdictNotOwner) || reply.GetOutcome() > uint32(hwonce.OutcomeNotExecuted) {
		return hwonce.Decision{}, cachedResponse{}, trace.BadParameter("the partition owner's reply has an unknown verdict or outcome")
	}
	decision := hwonce.Decision{
		Verdict: hwonce.Verdict(reply.GetVerdict()),
		Record: hwonce.Record{
			Outcome:    hwonce.Outcome(reply.GetOutcome()),
			StatusCode: int(reply.GetStatus()),
		},
	}
	response := cachedResponse{
		body:        reply.GetAnswer(),
		contentType: reply.GetContentType(),
	}
	return decision, response, nil
}

// recordOutcome reports the outcome to the owner in the background, because the caller need not wait for it.
func (k *keyedRequest) recordOutcome(outcome hwonce.Outcome, status int, cached cachedResponse) {
	if len(cached.body) > maxCachedResponseBytes {
		cached = cachedResponse{}
	}
	started := k.router.background.start(func(ctx context.Context) {
		for n := range concludeMaxAttempts {
			if n > 0 {
				hwtask.Sleep(ctx, intendRetryDelay)
			}
			if k.sendOutcome(ctx, outcome, status, cached) {
				return
			}
		}
		k.router.logger.Emit(hwevent.OutcomeNotRecorded, hwevent.With("outcome", outcome.String()))
	})
	if !started {
		k.router.logger.Emit(hwevent.OutcomeNotRecorded, hwevent.With("outcome", outcome.String()))
	}
}

func (k *keyedRequest) sendOutcome(ctx context.Context, outcome hwonce.Outcome, status int, cached cachedResponse) bool {
	r := k.router
	owner := r.partitionOwner(k.key.Partition(oncePartitions))
	if owner == r.settings.Instance {
		return r.concludeLocally(k.key, k.attemptID, outcome, status, cached)
	}
	row, known := r.lookupMember(owner)
	if !known {
		return false
	}
	reply, err := r.peers.Conclude(ctx, row.Address, &hwpeerpb.ConcludeRequest{
		KeyHigh:     k.key.High,
		KeyLow:      k.key.Low,
		Attempt:     k.attemptID,
		Outcome:     uint32(outcome),
		Status:      uint32(status),
		Answer:      cached.body,
		ContentType: cached.contentType,
	})
	return err == nil && !reply.GetNotOwner()
}

// replayOrReject handles a keyed request that must not run, because its key was used before or it couldn't be recorded. It replays the cached response or returns an error.
func replayOrReject(writer http.ResponseWriter, decision hwonce.Decision, cached cachedResponse) *hwerror.RequestError {
	switch decision.Verdict {
	case hwonce.VerdictKeyReused:
		return hwerror.NewRejection(hwerror.KindIdempotencyKeyReused, hwevent.RequestRefused.Number, "the idempotency key was used before with another body")
	case hwonce.VerdictUnavailable, hwonce.VerdictNotOwner:
		requestErr := hwerror.NewRejection(hwerror.KindStoreUnavailable, hwevent.RequestRefused.Number, "the request cannot be recorded now, so it was not run")
		return requestErr.WithRetryAfter(time.Second)
	case hwonce.VerdictDuplicate, hwonce.VerdictRun:
	}
	switch {
	case decision.Record.Outcome == hwonce.OutcomeExecuted && cached.body != nil:
		writeCachedResponse(writer, decision.Record.StatusCode, cached)
		return nil
	case decision.Record.Outcome == hwonce.OutcomeExecuted:
		message := "the request with this key ran and was answered with status " + strconv.Itoa(decision.Record.StatusCode) + "; the answer is not kept any more"
		return hwerror.NewFailure(hwerror.KindOutcomeKnown, hwerror.ExecutionRan, hwevent.RequestFinished.Number, message, nil)
	case decision.Record.Outcome == hwonce.OutcomeRunning:
		requestErr := hwerror.NewFailure(hwerror.KindIdempotencyKeyInUse, hwerror.ExecutionUnknown, hwevent.OutcomeUnknown.Number, "the request with this key was begun and has no recorded end", nil)
		return requestErr.WithRetryAfter(time.Second)
	default:
		return hwerror.NewFailure(hwerror.KindOutcomeUnknown, hwerror.ExecutionUnknown, hwevent.OutcomeUnknown.Number, "it is not known whether the request with this key ran", nil)
	}
}

// ReplayHeader marks a response that is replayed for a repeated idempotency key.
const ReplayHeader = "Idempotency-Replayed"

func writeCachedResponse(writer http.ResponseWriter, status int, cached cachedResponse) {
	if cached.contentType != "" {
		writer.Header().Set("Content-Type", cached.contentType)
	}
	writer.Header().Set(ReplayHeader, "true")
	writer.Header().Set(hwintake.ExecutionHeader, string(hwerror.ExecutionRan))
	writer.Header().Set("Content-Length", strconv.Itoa(len(cached.body)))
	writer.WriteHeader(status)
	// If the caller has disconnected, it can repeat the request with the same key.
	_, _ = writer.Write(cached.body)
}
