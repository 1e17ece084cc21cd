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
	// pausedUntil is the time until which the upstream itself wants no requests.
	pausedUntil time.Time
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
	state.failures++
	state.backoffUntil = now.Add(backoff)
	h.upstreams[upstream] = state
}

// RecordPause records that an upstream wants no requests for a time. A shorter pause does not end an earlier one.
func (h *Health) RecordPause(now time.Time, upstream string, pause time.Duration) {
	state := h.upstreams[upstream]
	if end := now.Add(pause); end.After(state.pausedUntil) {
		state.pausedUntil = end
	}
	h.upstreams[upstream] = state
}

// Paused reports whether an upstream wants no requests at present.
func (h *Health) Paused(now time.Time, upstream string) bool {
	return now.Before(h.upstreams[upstream].pausedUntil)
}

// RecordSuccess records a response of the upstream and resets its backoff. A pause goes on: a response may have been on its way when it began.
func (h *Health) RecordSuccess(now time.Time, upstream string) {
	state, known := h.upstreams[upstream]
	switch {
	case !known:
	case now.Before(state.pausedUntil):
		h.upstreams[upstream] = connectState{
			pausedUntil: state.pausedUntil,
		}
	default:
		delete(h.upstreams, upstream)
	}
}

// Usable reports whether an upstream is not in backoff. The first request after the backoff probes it.
func (h *Health) Usable(now time.Time, upstream string) bool {
	return !now.Before(h.upstreams[upstream].backoffUntil)
}

// Down reports whether the last connection failed, regardless of the backoff.
func (h *Health) Down(upstream string) bool { return h.upstreams[upstream].failures > 0 }
