package hwforward

import (
	"bytes"
	"fmt"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

const (
	// coldReturnDelay and coldReturnSpread give when callers return that were refused by a router that owns no share of a cold upstream: another router may serve them then.
	coldReturnDelay  = 500 * time.Millisecond
	coldReturnSpread = time.Second
	// minColdRetryAfter is about a round trip of a caller; a permit that begins earlier may as well be waited for that long.
	minColdRetryAfter = 20 * time.Millisecond
)

// setColdLimit sets a pool's limit on cold upstreams from the active table. What is listed at that time has not just started. The lock must be held.
func (r *Router) setColdLimit(now time.Time, name string, p *hwplace.Pool) {
	table := r.table.Load()
	if r.cold == nil || table == nil {
		return
	}
	config, _ := table.Pool(name)
	p.SetColdLimit(r.cold, hwplace.ColdLimit{
		PerSecond: config.ColdPerSecond,
		StartTime: config.ColdStart,
	})
	r.updateCold(now, name, p, false)
}

// updateCold updates which upstreams of a pool are cold, and logs the changes. HadList reports that an upstream that is new in the list has just started. The lock must be held.
func (r *Router) updateCold(now time.Time, name string, p *hwplace.Pool, hadList bool) {
	for _, change := range p.UpdateCold(now, hadList) {
		if change.Cause == "" {
			r.logger.Emit(hwevent.UpstreamWarm, hwevent.With("upstream", change.Upstream.ID), hwevent.With("pool", name))
			continue
		}
		r.logger.Emit(hwevent.UpstreamCold, hwevent.With("upstream", change.Upstream.ID), hwevent.With("pool", name), hwevent.With("cause", string(change.Cause)))
	}
}

// refuseWithoutPermit refuses a request for which only cold upstreams are left of which this router has no permit, or returns nil if there are none. The lock must be held.
func (e *exchange) refuseWithoutPermit(now time.Time, pool *hwplace.Pool) *hwerror.RequestError {
	next, cold := pool.NextColdPermit(now)
	if !cold {
		return nil
	}
	e.router.metrics.coldRefusals.Add(1)
	wait := next.Sub(now)
	if next.IsZero() {
		wait = coldReturnDelay + time.Duration(e.router.random.Float64()*float64(coldReturnSpread))
	}
	return newRefusal(hwerror.KindNoUpstream, "all upstreams of the pool are cold and get no more requests at present").WithRetryAfter(max(wait, minColdRetryAfter))
}

// isUpstreamCold reports whether an upstream counts as cold.
func (r *Router) isUpstreamCold(pool, upstream string) bool {
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	p := r.pools[pool]
	return p != nil && p.IsCold(now, upstream)
}

// writeColdMetrics writes the metrics of the limit on cold upstreams, which are 0 if it is off. The lock must be held.
func (r *Router) writeColdMetrics(w *bytes.Buffer) {
	known, absent := r.cold.Routers()
	_, _ = fmt.Fprintf(w, "hickorywick_cold_permits_taken_total %d\n", r.cold.PermitsTaken())
	_, _ = fmt.Fprintf(w, "hickorywick_cold_requests_refused_total %d\n", r.metrics.coldRefusals.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_cold_share_routers %d\n", known)
	_, _ = fmt.Fprintf(w, "hickorywick_cold_share_routers_absent %d\n", absent)
}
