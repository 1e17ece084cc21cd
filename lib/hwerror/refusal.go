// Package hwerror defines the errors that are returned to callers. Each has a stable kind, an HTTP status and a statement of whether the request was executed, which must be true.
package hwerror

import (
	"errors"
	"net/http"
	"time"
)

// Execution states whether an upstream executed a request.
type Execution string

const (
	// ExecutionNotRun is reported only if no byte of the request was written to an upstream connection, or the upstream itself reported that it did not execute the request.
	ExecutionNotRun Execution = "not-run"
	// ExecutionRan means that an upstream responded.
	ExecutionRan Execution = "ran"
	// ExecutionUnknown means that the request was sent, at least in part, and no proof of its outcome was received.
	ExecutionUnknown Execution = "unknown"
)

// Kind is the stable name of an error.
type Kind string

// The kinds of error, as sent in the field "type" of an error response.
const (
	KindUnknownKey           Kind = "unknown-key"
	KindUnknownModel         Kind = "unknown-model"
	KindUnknownRoute         Kind = "unknown-route"
	KindMethodNotAllowed     Kind = "method-not-allowed"
	KindMalformedRequest     Kind = "malformed-request"
	KindBodyTooLarge         Kind = "body-too-large"
	KindQueueFull            Kind = "queue-full"
	KindDeadlineCannotBeMet  Kind = "deadline-cannot-be-met"
	KindOverShare            Kind = "over-share"
	KindNoUpstream           Kind = "no-upstream"
	KindNotReady             Kind = "not-ready"
	KindShuttingDown         Kind = "shutting-down"
	KindOverloaded           Kind = "overloaded"
	KindStoreUnavailable     Kind = "store-unavailable"
	KindUpstreamFailed       Kind = "upstream-failed"
	KindUpstreamTimeout      Kind = "upstream-timeout"
	KindAnswerCrossed        Kind = "answer-crossed"
	KindIdempotencyKeyInUse  Kind = "idempotency-key-in-use"
	KindIdempotencyKeyReused Kind = "idempotency-key-reused"
	KindOutcomeUnknown       Kind = "outcome-unknown"
	KindOutcomeKnown         Kind = "outcome-known"
	KindRequestQuarantined   Kind = "request-quarantined"
	KindVersionInDoubt       Kind = "version-in-doubt"
	KindVersionGone          Kind = "version-gone"
	KindCallerGone           Kind = "caller-gone"
)

// StatusClientClosedRequest is the status recorded if the caller closed its connection before the response. It is never sent.
const StatusClientClosedRequest = 499

var statuses = map[Kind]int{
	KindUnknownKey:           http.StatusUnauthorized,
	KindUnknownModel:         http.StatusNotFound,
	KindUnknownRoute:         http.StatusNotFound,
	KindMethodNotAllowed:     http.StatusMethodNotAllowed,
	KindMalformedRequest:     http.StatusBadRequest,
	KindBodyTooLarge:         http.StatusRequestEntityTooLarge,
	KindQueueFull:            http.StatusTooManyRequests,
	KindDeadlineCannotBeMet:  http.StatusServiceUnavailable,
	KindOverShare:            http.StatusTooManyRequests,
	KindNoUpstream:           http.StatusServiceUnavailable,
	KindNotReady:             http.StatusServiceUnavailable,
	KindShuttingDown:         http.StatusServiceUnavailable,
	KindOverloaded:           http.StatusServiceUnavailable,
	KindStoreUnavailable:     http.StatusServiceUnavailable,
	KindUpstreamFailed:       http.StatusBadGateway,
	KindUpstreamTimeout:      http.StatusGatewayTimeout,
	KindAnswerCrossed:        http.StatusBadGateway,
	KindIdempotencyKeyInUse:  http.StatusConflict,
	KindIdempotencyKeyReused: http.StatusUnprocessableEntity,
	KindOutcomeUnknown:       http.StatusConflict,
	KindOutcomeKnown:         http.StatusConflict,
	KindRequestQuarantined:   http.StatusUnprocessableEntity,
	KindVersionInDoubt:       http.StatusServiceUnavailable,
	KindVersionGone:          http.StatusServiceUnavailable,
	KindCallerGone:           StatusClientClosedRequest,
}

// RequestError is an error that is reported to the caller of a request.
type RequestError struct {
	Kind        Kind
	Execution   Execution
	Message     string
	RetryAfter  time.Duration
	EventNumber int
	Cause       error
}

// Error returns the kind, the execution and the message.
func (e *RequestError) Error() string {
	return string(e.Kind) + " (" + string(e.Execution) + "): " + e.Message
}

// Unwrap returns the cause, which is not sent to callers.
func (e *RequestError) Unwrap() error { return e.Cause }

// Status returns the HTTP status of the error.
func (e *RequestError) Status() int { return statuses[e.Kind] }

// NewRejection returns the error of a request that was rejected without being executed.
func NewRejection(kind Kind, event int, message string) *RequestError {
	return &RequestError{
		Kind:        kind,
		Execution:   ExecutionNotRun,
		Message:     message,
		EventNumber: event,
	}
}

// NewFailure returns the error of a request that may have been sent to an upstream.
func NewFailure(kind Kind, execution Execution, event int, message string, cause error) *RequestError {
	return &RequestError{
		Kind:        kind,
		Execution:   execution,
		Message:     message,
		EventNumber: event,
		Cause:       cause,
	}
}

// WithRetryAfter returns a copy with the delay after which the caller may retry.
func (e *RequestError) WithRetryAfter(after time.Duration) *RequestError {
	updated := *e
	updated.RetryAfter = after
	return &updated
}

// AsRequestError returns the RequestError in err's chain. Any other error becomes a KindUpstreamFailed error with unknown execution.
func AsRequestError(err error) *RequestError {
	var requestError *RequestError
	if errors.As(err, &requestError) {
		return requestError
	}
	return NewFailure(KindUpstreamFailed, ExecutionUnknown, 0, "the request ended with an internal failure", err)
}
