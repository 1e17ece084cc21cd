package hwforward

import (
	"context"
	"errors"
	"net/http"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
)

// failExchange ends a request that has no response and may not be retried.
func (e *exchange) failExchange(result attemptResult) {
	switch {
	case e.headerSent:
		e.abortResponse(result.cause)
	case result.fallback != nil:
		e.writeBuffered(result.fallback)
	case e.executions == 0 && (result.outcome == notExecuted || result.unsent):
		refusal := newRefusal(hwerror.KindNoUpstream, "no upstream took the request").WithRetryAfter(noUpstreamRetryAfter)
		refusal.Cause = result.cause
		e.writeRefusal(refusal)
	default:
		e.writeRefusal(hwerror.NewFailure(hwerror.KindUpstreamFailed, hwerror.ExecutionUnknown, hwevent.RequestFailed.Number, "the upstream failed", result.cause))
	}
}

// StoppingError is the cause with which a stopping server cancels the requests that are still in flight. Those that wait for their answer are told so.
type StoppingError struct{}

func (e *StoppingError) Error() string { return "the instance stops" }

// endOnContext ends a request whose deadline has passed, whose client has disconnected or whose instance stops.
func (e *exchange) endOnContext(ctx context.Context, result attemptResult) {
	var stop *StoppingError
	stopping := errors.As(context.Cause(ctx), &stop)
	switch {
	case !stopping && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.status = hwerror.StatusClientClosedRequest
		e.logEnd(hwerror.NewFailure(hwerror.KindCallerGone, hwerror.ExecutionUnknown, hwevent.CallerGone.Number, "the caller closed its connection", result.cause))
		panic(http.ErrAbortHandler)
	case e.headerSent:
		e.abortResponse(result.cause)
	case stopping && e.executions == 0:
		e.writeRefusal(newRefusal(hwerror.KindShuttingDown, "the instance stops").WithRetryAfter(drainingRetryAfter))
	case stopping:
		e.writeRefusal(hwerror.NewFailure(hwerror.KindUpstreamFailed, hwerror.ExecutionUnknown, hwevent.RequestFailed.Number, "the instance stops before the upstream has answered", result.cause))
	case e.executions == 0:
		e.writeRefusal(newRefusal(hwerror.KindDeadlineCannotBeMet, "the time was over before an upstream took the request"))
	default:
		e.writeRefusal(hwerror.NewFailure(hwerror.KindUpstreamTimeout, hwerror.ExecutionUnknown, hwevent.RequestFailed.Number, "the time was over before the upstream answered", result.cause))
	}
}

// abortResponse ends a response that has begun and can't be completed. The client must see that the response is truncated, so its connection is closed without the end of the body.
func (e *exchange) abortResponse(cause error) {
	e.logEnd(hwerror.NewFailure(hwerror.KindUpstreamFailed, hwerror.ExecutionUnknown, hwevent.RequestFailed.Number, "the response was aborted before its end", cause))
	panic(http.ErrAbortHandler)
}
