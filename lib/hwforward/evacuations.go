package hwforward

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// The Retry-After of refusals because all zones of a pool are evacuated is uniformly distributed from evacuatedMinRetryAfter to that plus evacuatedRetryAfterSpread. Nobody knows when a zone will be restored, and callers must not return all at once.
const (
	evacuatedMinRetryAfter    = 500 * time.Millisecond
	evacuatedRetryAfterSpread = time.Second
)

// setEvacuated replaces the evacuated zones unless the given ones are older, and logs the changes. The lock must be held.
func (r *Router) setEvacuated(now time.Time, next hwplace.EvacuatedZones) {
	evacuated, restored := r.evacuations.Set(now, next.Revision, next.Zones)
	for _, zone := range evacuated {
		r.logger.Emit(hwevent.ZoneEvacuated, hwevent.With("zone", zone), hwevent.With("revision", next.Revision.Number), hwevent.With("era", next.Revision.Era))
	}
	for _, zone := range restored {
		// Operators may have restarted what runs there.
		for _, p := range r.pools {
			p.MarkZoneCold(now, zone)
		}
		r.logger.Emit(hwevent.ZoneRestored, hwevent.With("zone", zone), hwevent.With("revision", next.Revision.Number), hwevent.With("era", next.Revision.Era))
	}
}

// isEvacuated reports whether an upstream's zone is evacuated.
func (r *Router) isEvacuated(upstream hwplace.Upstream) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.evacuations.IsEvacuated(upstream.Zone)
}

// listPendingCaches asks the engines whose zones have been restored what they have cached. Those that are no longer listed are forgotten. The lock must be held.
func (r *Router) listPendingCaches() {
	pending := r.cacheListsPending
	r.cacheListsPending = map[string][]hwplace.Upstream{}
	for pool, upstreams := range pending {
		if p := r.pools[pool]; p == nil || !p.HasEngines() {
			continue
		}
		for _, u := range upstreams {
			if slices.ContainsFunc(r.upstreams[pool], func(listed hwplace.Upstream) bool { return listed.Lifetime() == u.Lifetime() }) {
				r.startCacheList(pool, u)
			}
		}
	}
}

// refuseEvacuated refuses a request that no upstream of the pool can take because zones are evacuated, or returns nil if none of its upstreams is in such a zone or one of the others returns before the request would be retried. The lock must be held.
func (e *exchange) refuseEvacuated(now time.Time, pool *hwplace.Pool, earliest time.Time, returning bool) *hwerror.RequestError {
	if pool.EvacuatedUpstreams(now) == 0 || returning && earliest.Sub(now) < evacuatedMinRetryAfter {
		return nil
	}
	wait := evacuatedMinRetryAfter + time.Duration(e.router.random.Float64()*float64(evacuatedRetryAfterSpread))
	return newRefusal(hwerror.KindNoUpstream, "the zones of the pool's upstreams are evacuated").WithRetryAfter(wait)
}

// writeEvacuationMetrics writes a gauge for each zone that is or was evacuated lately. The lock must be held.
func (r *Router) writeEvacuationMetrics(w *bytes.Buffer) {
	for _, zone := range r.evacuations.Zones() {
		evacuated := 0
		if r.evacuations.IsEvacuated(zone) {
			evacuated = 1
		}
		_, _ = fmt.Fprintf(w, "hickorywick_zone_evacuated{zone=%q} %d\n", zone, evacuated)
	}
}
