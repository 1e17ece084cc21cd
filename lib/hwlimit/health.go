package hwlimit

import "time"

// HealthSettings are the pauses after failed connections.
type HealthSettings struct {
	// InitialBackoff is the pause after the first failure; each further one doubles it up to Cap.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

type health struct {
	failures int
	until    time.Time
}

// Health remembers which upstreams could not be reached. During its pause an upstream gets no new work while others can take it.
type Health struct {
	settings  HealthSettings
	upstreams map[string]health
}

// NewHealth returns a table in which every upstream is reachable.
func NewHealth(settings HealthSettings) *Health {
	return &Health{
		settings:  settings,
		upstreams: map[string]health{},
	}
}

// RecordFailure notes a failed connection.
func (h *Health) RecordFailure(now time.Time, upstream string) {
	row := h.upstreams[upstream]
	pause := min(h.settings.InitialBackoff<<min(row.failures, 16), h.settings.MaxBackoff)
	h.upstreams[upstream] = health{
		failures: row.failures + 1,
		until:    now.Add(pause),
	}
}

// RecordSuccess notes that the upstream answered.
func (h *Health) RecordSuccess(upstream string) { delete(h.upstreams, upstream) }

// Usable reports whether an upstream is outside its pause. After the pause the next request probes it.
func (h *Health) Usable(now time.Time, upstream string) bool {
	return !now.Before(h.upstreams[upstream].until)
}

// Down reports whether the last connection failed, pause or not.
func (h *Health) Down(upstream string) bool { return h.upstreams[upstream].failures > 0 }
