// Package hwretry decides whether a failed attempt may be retried, and limits retries by a budget so that an outage does not cause a retry storm.
package hwretry

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is the number of the attempt, counted from 1.
	Number int
	// Idempotent reports whether the request may be executed more than once.
	Idempotent bool
	// MaybeSent reports whether bytes of the request may have reached the upstream.
	MaybeSent bool
	// ResponseStarted reports whether bytes of the response have been sent to the caller.
	ResponseStarted bool
	// Resumable reports whether upstreams can continue a streamed response after its last event.
	Resumable bool
	// ClientDisconnected reports whether the client has disconnected, so that the response is no longer needed.
	ClientDisconnected bool
}

// Action is the next step after a failed attempt.
type Action int

const (
	// Stop ends the request with the error of the attempt.
	Stop Action = iota
	// Retry sends the request to another upstream.
	Retry
	// Resume sends the request to another upstream, which continues the response after the last event that the caller has received.
	Resume
)

// MaxAttempts is the maximum number of attempts per request, including the first.
const MaxAttempts = 3

// Decide returns the action that is allowed after a failed attempt. It does not consider retry budgets.
func Decide(a Attempt) Action {
	switch {
	case a.ClientDisconnected || a.Number >= MaxAttempts:
		return Stop
	case !a.MaybeSent && !a.ResponseStarted:
		return Retry
	case !a.Idempotent:
		return Stop
	case !a.ResponseStarted:
		return Retry
	case a.Resumable:
		return Resume
	default:
		return Stop
	}
}
