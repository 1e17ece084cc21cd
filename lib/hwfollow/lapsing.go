package hwfollow

import (
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// ListReconciler distinguishes upstreams that left from upstreams whose entries expired during an outage of the source. After an outage it retains missing upstreams for a grace period, in which they can register again.
type ListReconciler struct {
	gracePeriod time.Duration
	// current are the upstreams of the last list, by ID, including the retained ones.
	current map[string]hwplace.Upstream
	// retained are the upstreams that were listed before the outage and have not been listed since it ended.
	retained map[string]hwplace.Upstream
	// failing reports that the last poll failed; recovered is when polls began to succeed again.
	failing   bool
	recovered time.Time
	// evacuated is the newest set of evacuated zones.
	evacuated hwplace.EvacuatedZones
}

// NewListReconciler returns a reconciler without upstreams. The grace period starts when the source recovers from an outage.
func NewListReconciler(gracePeriod time.Duration) ListReconciler {
	return ListReconciler{
		gracePeriod: gracePeriod,
		current:     map[string]hwplace.Upstream{},
	}
}

// SourceFailed records a failed poll.
func (r *ListReconciler) SourceFailed(time.Time) { r.failing = true }

// Reconcile returns the list together with the upstreams that are retained for the grace period. A retained upstream that was draining stays marked as draining. An upstream that has been listed since the outage is not retained when it is missing again: it left.
func (r *ListReconciler) Reconcile(now time.Time, list []hwplace.Upstream) []hwplace.Upstream {
	if r.failing {
		r.failing = false
		r.recovered = now
		r.retained = r.current
	}
	r.current = make(map[string]hwplace.Upstream, len(list))
	for _, u := range list {
		r.current[u.ID] = u
		delete(r.retained, u.ID)
	}
	if !r.InGracePeriod(now) {
		r.retained = nil
		return list
	}
	merged := slices.Clone(list)
	for id, u := range r.retained {
		// Another outage within the grace period must retain it again.
		r.current[id] = u
		merged = append(merged, u)
	}
	return merged
}

// InGracePeriod reports whether missing upstreams are retained because an outage has just ended. A list from this period is only valid for a router that had the outage: for other routers, a missing upstream has left.
func (r *ListReconciler) InGracePeriod(now time.Time) bool {
	return !r.recovered.IsZero() && now.Sub(r.recovered) < r.gracePeriod
}

// Reset replaces all upstreams by a list that needs no reconciling, and retains none.
func (r *ListReconciler) Reset(list []hwplace.Upstream) {
	r.failing = false
	r.retained = nil
	r.current = make(map[string]hwplace.Upstream, len(list))
	for _, u := range list {
		r.current[u.ID] = u
	}
}

// ReconcileEvacuated returns the newest set of evacuated zones, which is the given one unless it was read before the last. It stays in effect while polls fail.
func (r *ListReconciler) ReconcileEvacuated(evacuated hwplace.EvacuatedZones) hwplace.EvacuatedZones {
	if evacuated.Revision >= r.evacuated.Revision {
		r.evacuated = evacuated
	}
	return r.evacuated
}
