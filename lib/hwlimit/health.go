package hwlimit

import "time"

// HealthSettings are the limits of the exponential backoff after failed connections.
type HealthSettings struct {
	// InitialBackoff is the backoff after the first failure. Each further failure doubles it, up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

type connectState struct {
	failures     int
	backoffUntil time.Time
}

// Health tracks which upstreams cannot be reached. During its backoff, an upstream gets no new requests unless no other upstream can take them.
type Health struct {
	settings  HealthSettings
	upstreams map[string]connectState
}

// NewHealth returns a Health to which every upstream is reachable.
func NewHealth(settings HealthSettings) *Health {
	return &Health{
		settings:  settings,
		upstreams: map[string]connectState{},
	}
}

// RecordFailure records a failed connection and starts the next backoff.
func (h *Health) RecordFailure(now time.Time, upstream string) {
	state := h.upstreams[upstream]
	backoff := min(h.settings.InitialBackoff<<min(state.failures, 16), h.settings.MaxBackoff)
	h.upstreams[upstream] = connectState{
		failures:     state.failures + 1,
		backoffUntil: now.Add(backoff),
	}
}

// RecordSuccess records a response of the upstream and resets its backoff.
func (h *Health) RecordSuccess(upstream string) { delete(h.upstreams, upstream) }

// Usable reports whether an upstream is not in backoff. The first request after the backoff probes it.
func (h *Health) Usable(now time.Time, upstream string) bool {
	return !now.Before(h.upstreams[upstream].backoffUntil)
}

// Down reports whether the last connection failed, regardless of the backoff.
func (h *Health) Down(upstream string) bool { return h.upstreams[upstream].failures > 0 }
