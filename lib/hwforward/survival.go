package hwforward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwlink"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

const (
	// survivalCheckMargin is how much longer than the settle time a check waits for a sign of life of other requests, which costs nothing.
	survivalCheckMargin = 200 * time.Millisecond
	// maxExposures limits the executions that await a sign of life, some 150 bytes each.
	maxExposures = 4096
	// exposureTTL is how long an execution awaits a sign of life or of a crash: the settle time and a silence of some seconds before the crash shows.
	exposureTTL = 5 * time.Second
	// minRestartTime is shorter than an upstream takes from a crash until it answers again, by the platform's word some seconds.
	minRestartTime = 2 * time.Second
)

// exposure returns what an upstream has been exposed to by the present attempt, which has ended.
func (e *exchange) exposure(now time.Time) hwquarantine.Exposure {
	return hwquarantine.Exposure{
		RequestID: e.info.ID,
		Request:   e.identity,
		Segments:  e.segments,
		Sends:     e.attempts,
		EndedAt:   now,
		Proof:     e.proof,
	}
}

// recordExposure records the end of an attempt that an upstream may have executed. What it proves counts once the upstream is known to have survived it.
func (e *exchange) recordExposure() {
	if e.suspected {
		return
	}
	r := e.router
	now := r.clock.Now()
	exposure := e.exposure(now)
	upstream := e.choice.Upstream
	r.lock.Lock()
	defer r.lock.Unlock()
	r.exposures.Add(now, upstream.Lifetime(), exposure)
	switch {
	case r.hasRestarted(upstream.Lifetime()):
		// The list has shown the next lifetime while the request still waited for this one.
		r.recordCrash(now, upstream)
	case e.proof != hwquarantine.ProvesNothing:
		r.checkSurvival(upstream)
	}
}

// isUndecided reports whether the survival of an execution would change what is known of its request. The lock must be held.
func (r *Router) isUndecided(x hwquarantine.Exposure) bool {
	return r.segments.Suspected(x.Survived()) || x.Proof == hwquarantine.ProvesSegments && !r.segments.AllAnswered(x.Segments)
}

// recordSurvival records that an attempt, sent at sentAt, has just made progress at an upstream. The lock must be held.
func (r *Router) recordSurvival(now time.Time, lifetime hwplace.Lifetime, sentAt time.Time) {
	for _, x := range r.exposures.Survived(now, lifetime, sentAt) {
		if survived := x.Survived(); len(survived) > 0 {
			r.logSegmentChanges(r.segments.RecordAnswer(now, survived))
		}
	}
}

// checkSurvival finds out whether an upstream has survived its latest executions, unless other requests there show it first. The lock must be held.
func (r *Router) checkSurvival(upstream hwplace.Upstream) {
	lifetime := upstream.Lifetime()
	if r.survivalChecks[lifetime] {
		return
	}
	r.survivalChecks[lifetime] = true
	r.crashChecks.start(context.Background(), func(ctx context.Context) error {
		select {
		case <-time.After(r.settings.SettleTime + survivalCheckMargin):
			r.finishSurvivalCheck(ctx, upstream)
		case <-r.closing:
		}
		return nil
	})
}

// finishSurvivalCheck ends a check. An idle connection that is still open shows that the upstream's process lives, and a new one that its host does too. A new one is opened only if the answer would change what is known, or if the upstream has closed the idle ones, and never in an evacuated zone.
func (r *Router) finishSurvivalCheck(ctx context.Context, upstream hwplace.Upstream) {
	lifetime := upstream.Lifetime()
	now := r.clock.Now()
	r.lock.Lock()
	delete(r.survivalChecks, lifetime)
	settled := r.exposures.Settled(now, lifetime)
	undecided := slices.ContainsFunc(settled, r.isUndecided)
	suspicion := r.segments.HasCrashes()
	evacuated := r.evacuations.IsEvacuated(upstream.Zone)
	r.lock.Unlock()
	if len(settled) == 0 {
		return
	}
	var err error
	switch state := r.transport.IdleState(now, upstream.Address); {
	case state == hwlink.IdleOpen && (!suspicion || !undecided):
	case evacuated:
		return
	case state == hwlink.IdleClosed, undecided:
		err = r.probe(ctx, upstream)
	default:
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	switch {
	case err == nil:
		r.recordSurvival(now, lifetime, now)
	case errors.Is(err, syscall.ECONNREFUSED):
		// Without an answer at all, this router may be the one that is cut off.
		r.recordCrash(r.clock.Now(), upstream)
	}
}

// recordRestarts records the lifetimes that have ended without notice: the list shows the next one at the address of an upstream that it showed as serving. The lock must be held.
func (r *Router) recordRestarts(now time.Time, pool string, added []string, list []hwplace.Upstream) {
	maps.DeleteFunc(r.restarts, func(_ hwplace.Lifetime, at time.Time) bool { return now.Sub(at) > exposureTTL })
	for _, u := range list {
		if !slices.Contains(added, u.ID) {
			continue
		}
		for _, previous := range r.upstreams[pool] {
			if previous.Address == u.Address && isLaterLifetime(u, previous) && r.isServing(now, previous) {
				r.restarts[previous.Lifetime()] = now
				r.recordCrash(now, previous)
				r.segments.RecordEnd(now, hwquarantine.UpstreamHash(hwplace.HashID(u.Address)))
			}
		}
	}
}

// recordEnds records the lifetimes that have ended without notice and whose entries are gone before the next one is listed. The lock must be held.
func (r *Router) recordEnds(now time.Time, pool string, removed []string) {
	for _, u := range r.upstreams[pool] {
		if slices.Contains(removed, u.ID) && !r.hasRestarted(u.Lifetime()) && r.isServing(now, u) {
			r.segments.RecordEnd(now, hwquarantine.UpstreamHash(hwplace.HashID(u.Address)))
		}
	}
}

// isLaterLifetime reports whether an upstream is a later lifetime than another one at its address. Without incarnations, only the ID tells two lifetimes apart.
func isLaterLifetime(u, previous hwplace.Upstream) bool {
	if u.Incarnation == 0 && previous.Incarnation == 0 {
		return u.ID != previous.ID
	}
	return u.Incarnation > previous.Incarnation
}

// hasRestarted reports whether the list has shown that a lifetime ended without notice. The lock must be held.
func (r *Router) hasRestarted(lifetime hwplace.Lifetime) bool {
	_, restarted := r.restarts[lifetime]
	return restarted
}
