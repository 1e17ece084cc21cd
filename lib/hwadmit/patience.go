package hwadmit

import "time"

// RetryDetector detects callers that retry after a refusal by the timeout that they send. Most callers of a route start with the same timeout, so a caller with a shorter one has probably spent the difference on an earlier attempt.
type RetryDetector struct {
	// longestTimeouts is keyed by route.
	longestTimeouts map[string]longestTimeout
}

// longestTimeout is the longest timeout that a caller of a route has sent recently.
type longestTimeout struct {
	timeout    time.Duration
	recordedAt time.Time
}

// NewRetryDetector returns a RetryDetector without any recorded timeouts.
func NewRetryDetector() *RetryDetector {
	return &RetryDetector{
		longestTimeouts: map[string]longestTimeout{},
	}
}

const (
	// longestTimeoutMaxAge is how long the longest timeout applies. Retries replace it only if no first attempt has renewed it within that time.
	longestTimeoutMaxAge = 10 * time.Second
	// minRetryReduction is by how much at least the timeout of a retry is shorter, because no refusal allows an earlier retry.
	minRetryReduction = 100 * time.Millisecond
)

// LikelyRetry records the timeout that a caller sends and reports whether its request is probably a retry. A timeout of 0 means that the caller sends none; such a request is never taken for a retry.
func (d *RetryDetector) LikelyRetry(now time.Time, route string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	longest := d.longestTimeouts[route]
	if timeout >= longest.timeout || now.Sub(longest.recordedAt) > longestTimeoutMaxAge {
		d.longestTimeouts[route] = longestTimeout{
			timeout:    timeout,
			recordedAt: now,
		}
		return false
	}
	return timeout <= longest.timeout-minRetryReduction
}

// Retain removes the routes for which known returns false.
func (d *RetryDetector) Retain(known func(route string) bool) {
	for route := range d.longestTimeouts {
		if !known(route) {
			delete(d.longestTimeouts, route)
		}
	}
}
