package hwforward

import (
	"context"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwlink"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// pauseReturnSpread is the time over which callers return that were refused because all upstreams pause.
const pauseReturnSpread = time.Second

// recordResponseInfo records what an upstream says of itself in the header of a response.
func (r *Router) recordResponseInfo(pool string, upstream hwplace.Upstream, info ResponseInfo) {
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	p := r.pools[pool]
	if p == nil {
		return
	}
	if info.Load != nil {
		p.RecordLoad(now, upstream.ID, *info.Load)
	}
	if p.RecordLeaving(now, upstream, info.Leaving) {
		r.logLeaving(upstream.ID, pool, "answer")
	}
	if info.Pause > 0 && p.RecordPause(now, upstream, info.Pause) {
		r.logger.Emit(hwevent.UpstreamPausing, hwevent.With("upstream", upstream.ID), hwevent.With("pool", pool), hwevent.With("pause-ms", info.Pause.Milliseconds()))
	}
	if info.ColdFor > 0 {
		p.RecordCold(now, upstream, info.ColdFor)
		r.updateCold(now, pool, p, true)
	}
	if info.UnusablePause && p.RecordUnusablePause(now, upstream) {
		r.logger.Emit(hwevent.UpstreamPauseUnusable, hwevent.With("upstream", upstream.ID), hwevent.With("pool", pool))
	}
}

// logLeaving logs that an upstream leaves, and whether the list, an answer or a peer said so.
func (r *Router) logLeaving(upstream, pool, source string) {
	r.logger.Emit(hwevent.UpstreamLeaving, hwevent.With("upstream", upstream), hwevent.With("pool", pool), hwevent.With("source", source))
}

// isUpstreamUnavailable reports whether the chosen upstream has announced since the choice that it leaves or pauses, the list shows that it has left, restarted or begun to drain, its zone has been evacuated, or it has become cold and this router may not send to it now, or the client has left.
func (e *exchange) isUpstreamUnavailable() bool {
	r := e.router
	if e.clientLeft() {
		return true
	}
	now := r.clock.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	p := r.pools[e.pool]
	return p != nil && (!p.IsAvailable(now, e.choice.Upstream) || !p.MayWrite(now, e.inFlight))
}

// endWithheldAttempt ends an attempt of which nothing was sent because the upstream became unavailable. The request goes through admission again.
func (e *exchange) endWithheldAttempt(ctx context.Context, cause *hwlink.ExchangeError) attemptResult {
	e.finishAttempt(ctx, false, nil)
	return attemptResult{
		outcome: failed,
		unsent:  true,
		cause:   cause,
	}
}

// refuseWithoutUpstream refuses a request for which no upstream is eligible. If upstreams pause, the caller returns after the first of them takes requests again. The lock must be held.
func (e *exchange) refuseWithoutUpstream(now time.Time, pool *hwplace.Pool) *hwerror.RequestError {
	if refusal := e.refuseWithoutPermit(now, pool); refusal != nil {
		return refusal
	}
	earliest, pausing := pool.EarliestReturn(now)
	if refusal := e.refuseEvacuated(now, pool, earliest, pausing); refusal != nil {
		return refusal
	}
	if !pausing {
		return newRefusal(hwerror.KindNoUpstream, "the pool has no upstream").WithRetryAfter(noUpstreamRetryAfter)
	}
	wait := max(0, earliest.Sub(now)) + time.Duration(e.router.random.Float64()*float64(pauseReturnSpread))
	return newRefusal(hwerror.KindNoUpstream, "all upstreams of the pool pause").WithRetryAfter(wait)
}

// applyPeerLeaving applies what a peer has heard of leaving upstreams. The lock must be held.
func (r *Router) applyPeerLeaving(now time.Time, leaving []hwplace.LifetimeHash) {
	for _, hash := range leaving {
		for name, p := range r.pools {
			if upstream, news := p.RecordPeerLeaving(now, hash); news {
				r.logLeaving(upstream.ID, name, "peer")
			}
		}
	}
}
