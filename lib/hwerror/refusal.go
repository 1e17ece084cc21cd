// Package hwerror defines the failures that callers see: each has a stable kind, an HTTP status and a truthful statement about execution.
package hwerror

import (
	"errors"
	"net/http"
	"time"
)

// Execution states whether a request ran at an upstream.
type Execution string

const (
	// ExecutionNotRun is said only when no byte of the request was handed to an upstream connection, or the upstream said so itself.
	ExecutionNotRun Execution = "not-run"
	// ExecutionRan means that an upstream answered.
	ExecutionRan Execution = "ran"
	// ExecutionUnknown means that the request was handed over and no proof of its end came back.
	ExecutionUnknown Execution = "unknown"
)

// Kind is the stable name of a failure.
type Kind string

// The kinds of failure, as they stand in the field "type" of an error answer.
const (
	KindUnknownKey           Kind = "unknown-key"
	KindUnknownModel         Kind = "unknown-model"
	KindUnknownRoute         Kind = "unknown-route"
	KindMethodNotAllowed     Kind = "method-not-allowed"
	KindMalformedRequest     Kind = "malformed-request"
	KindBodyTooLarge         Kind = "body-too-large"
	KindQueueFull            Kind = "queue-full"
	KindDeadlineCannotBeMet  Kind = "deadline-cannot-be-met"
	KindNoUpstream           Kind = "no-upstream"
	KindNotReady             Kind = "not-ready"
	KindShuttingDown         Kind = "shutting-down"
	KindStoreUnavailable     Kind = "store-unavailable"
	KindUpstreamFailed       Kind = "upstream-failed"
	KindUpstreamTimeout      Kind = "upstream-timeout"
	KindAnswerCrossed        Kind = "answer-crossed"
	KindIdempotencyKeyInUse  Kind = "idempotency-key-in-use"
	KindIdempotencyKeyReused Kind = "idempotency-key-reused"
	KindOutcomeUnknown       Kind = "outcome-unknown"
	KindOutcomeKnown         Kind = "outcome-known"
	KindRequestQuarantined   Kind = "request-quarantined"
	KindCallerGone           Kind = "caller-gone"
)

// StatusClientClosedRequest is the status recorded for a caller that closed its connection before the answer; nobody receives it.
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
	KindNoUpstream:           http.StatusServiceUnavailable,
	KindNotReady:             http.StatusServiceUnavailable,
	KindShuttingDown:         http.StatusServiceUnavailable,
	KindStoreUnavailable:     http.StatusServiceUnavailable,
	KindUpstreamFailed:       http.StatusBadGateway,
	KindUpstreamTimeout:      http.StatusGatewayTimeout,
	KindAnswerCrossed:        http.StatusBadGateway,
	KindIdempotencyKeyInUse:  http.StatusConflict,
	KindIdempotencyKeyReused: http.StatusUnprocessableEntity,
	KindOutcomeUnknown:       http.StatusConflict,
	KindOutcomeKnown:         http.StatusConflict,
	KindRequestQuarantined:   http.StatusUnprocessableEntity,
	KindCallerGone:           StatusClientClosedRequest,
}

// RequestError is a failure that a caller is told about.
type RequestError struct {
	Kind        Kind
	Execution   Execution
	Message     string
	RetryAfter  time.Duration
	EventNumber int
	Cause       error
}

// Error returns the kind, the execution and the message.
func (r *RequestError) Error() string {
	return string(r.Kind) + " (" + string(r.Execution) + "): " + r.Message
}

// Unwrap returns the cause, which callers never see.
func (r *RequestError) Unwrap() error { return r.Cause }

// Status returns the HTTP status of the refusal.
func (r *RequestError) Status() int { return statuses[r.Kind] }

// NewRejection returns a refusal of a request that did not run.
func NewRejection(kind Kind, event int, message string) *RequestError {
	return &RequestError{
		Kind:        kind,
		Execution:   ExecutionNotRun,
		Message:     message,
		EventNumber: event,
	}
}

// NewFailure returns the failure of a request that was handed over.
func NewFailure(kind Kind, execution Execution, event int, message string, cause error) *RequestError {
	return &RequestError{
		Kind:        kind,
		Execution:   execution,
		Message:     message,
		EventNumber: event,
		Cause:       cause,
	}
}

// WithRetryAfter returns a copy that tells the caller when to try again.
func (r *RequestError) WithRetryAfter(after time.Duration) *RequestError {
	next := *r
	next.RetryAfter = after
	return &next
}

// AsRequestError returns err as a refusal; any other failure becomes an upstream failure whose execution is unknown.
func AsRequestError(err error) *RequestError {
	var refusal *RequestError
	if errors.As(err, &refusal) {
		return refusal
	}
	return NewFailure(KindUpstreamFailed, ExecutionUnknown, 0, "the request ended with an internal failure", err)
}
