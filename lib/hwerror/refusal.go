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
	// NotRun is said only when no byte of the request was handed to an upstream connection, or the upstream said so itself.
	NotRun Execution = "not-run"
	// Ran means that an upstream answered.
	Ran Execution = "ran"
	// Unknown means that the request was handed over and no proof of its end came back.
	Unknown Execution = "unknown"
)

// Kind is the stable name of a failure.
type Kind string

// The kinds of failure, as they stand in the field "type" of an error answer.
const (
	KindUnknownKey       Kind = "unknown-key"
	KindUnknownModel     Kind = "unknown-model"
	KindUnknownRoute     Kind = "unknown-route"
	KindMethodNotAllowed Kind = "method-not-allowed"
	KindMalformed        Kind = "malformed-request"
	KindTooLarge         Kind = "body-too-large"
	KindQueueFull        Kind = "queue-full"
	KindDeadline         Kind = "deadline-cannot-be-met"
	KindNoUpstream       Kind = "no-upstream"
	KindNotReady         Kind = "not-ready"
	KindShuttingDown     Kind = "shutting-down"
	KindStoreUnavailable Kind = "store-unavailable"
	KindUpstreamFailed   Kind = "upstream-failed"
	KindUpstreamTimeout  Kind = "upstream-timeout"
	KindAnswerCrossed    Kind = "answer-crossed"
	KindKeyInUse         Kind = "idempotency-key-in-use"
	KindKeyReused        Kind = "idempotency-key-reused"
	KindOutcomeUnknown   Kind = "outcome-unknown"
	KindOutcomeKnown     Kind = "outcome-known"
	KindQuarantined      Kind = "request-quarantined"
	KindCallerGone       Kind = "caller-gone"
)

// StatusCallerGone is the status recorded for a caller that closed its connection before the answer; nobody receives it.
const StatusCallerGone = 499

var statuses = map[Kind]int{
	KindUnknownKey:       http.StatusUnauthorized,
	KindUnknownModel:     http.StatusNotFound,
	KindUnknownRoute:     http.StatusNotFound,
	KindMethodNotAllowed: http.StatusMethodNotAllowed,
	KindMalformed:        http.StatusBadRequest,
	KindTooLarge:         http.StatusRequestEntityTooLarge,
	KindQueueFull:        http.StatusTooManyRequests,
	KindDeadline:         http.StatusServiceUnavailable,
	KindNoUpstream:       http.StatusServiceUnavailable,
	KindNotReady:         http.StatusServiceUnavailable,
	KindShuttingDown:     http.StatusServiceUnavailable,
	KindStoreUnavailable: http.StatusServiceUnavailable,
	KindUpstreamFailed:   http.StatusBadGateway,
	KindUpstreamTimeout:  http.StatusGatewayTimeout,
	KindAnswerCrossed:    http.StatusBadGateway,
	KindKeyInUse:         http.StatusConflict,
	KindKeyReused:        http.StatusUnprocessableEntity,
	KindOutcomeUnknown:   http.StatusConflict,
	KindOutcomeKnown:     http.StatusConflict,
	KindQuarantined:      http.StatusUnprocessableEntity,
	KindCallerGone:       StatusCallerGone,
}

// Refusal is a failure that a caller is told about.
type Refusal struct {
	Kind       Kind
	Execution  Execution
	Message    string
	RetryAfter time.Duration
	Event      int
	Cause      error
}

// Error returns the kind, the execution and the message.
func (r *Refusal) Error() string {
	return string(r.Kind) + " (" + string(r.Execution) + "): " + r.Message
}

// Unwrap returns the cause, which callers never see.
func (r *Refusal) Unwrap() error { return r.Cause }

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int { return statuses[r.Kind] }

// Refuse returns a refusal of a request that did not run.
func Refuse(kind Kind, event int, message string) *Refusal {
	return &Refusal{
		Kind:      kind,
		Execution: NotRun,
		Message:   message,
		Event:     event,
	}
}

// Fail returns the failure of a request that was handed over.
func Fail(kind Kind, execution Execution, event int, message string, cause error) *Refusal {
	return &Refusal{
		Kind:      kind,
		Execution: execution,
		Message:   message,
		Event:     event,
		Cause:     cause,
	}
}

// WithRetryAfter returns a copy that tells the caller when to try again.
func (r *Refusal) WithRetryAfter(after time.Duration) *Refusal {
	next := *r
	next.RetryAfter = after
	return &next
}

// AsRefusal returns err as a refusal; any other failure becomes an upstream failure whose execution is unknown.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return Fail(KindUpstreamFailed, Unknown, 0, "the request ended with an internal failure", err)
}
