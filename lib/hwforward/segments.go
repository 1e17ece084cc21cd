package hwforward

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

const (
	// cancelCrashes is the number of crashes from which waiting requests with a quarantined segment are cancelled. With fewer, an answer to one of them may still show that the segment is harmless.
	cancelCrashes = 3
	// trialPeerTimeout is how long ago a peer's last update may be for the peer to take part in turns.
	trialPeerTimeout = 2 * time.Second
)

// decideSegments refuses the request if it, or one of its segments, is quarantined and no trial is due. The lock must be held.
func (e *exchange) decideSegments(now time.Time) *hwerror.RequestError {
	r := e.router
	verdict := r.segments.Decide(now, e.suspects, func(segment hwquarantine.Segment, turn int) bool {
		return hwquarantine.TrialOwner(r.liveRouters(now), segment, turn) == r.settings.Instance
	})
	e.trial = verdict.Trial
	if !verdict.Refused {
		return nil
	}
	return newRefusal(hwerror.KindRequestQuarantined, "upstreams crash at this request").WithRetryAfter(verdict.RetryAfter)
}

// liveRouters returns the names of this router and of the peers that were heard lately.
func (r *Router) liveRouters(now time.Time) []string {
	maps.DeleteFunc(r.peersHeard, func(_ string, at time.Time) bool { return now.Sub(at) > trialPeerTimeout })
	return append(slices.Collect(maps.Keys(r.peersHeard)), r.settings.Instance)
}

// refuseQuarantined decides again, before each attempt, about a request whose segments may have been quarantined since it was admitted. The lock must be held.
func (e *exchange) refuseQuarantined(now time.Time) *hwerror.RequestError {
	if _, quarantined := e.router.segments.Quarantined(e.suspects); !quarantined {
		return nil
	}
	if e.executions > 0 {
		return hwerror.NewFailure(hwerror.KindUpstreamFailed, hwerror.ExecutionUnknown, hwevent.RequestFailed.Number, "upstreams crash at this request", nil)
	}
	if e.trial && e.attempts > 0 {
		// The trial has begun, and no upstream has executed it yet.
		return nil
	}
	return e.decideSegments(now)
}

// beginTrial records that the request is sent as a trial. The lock must be held.
func (r *Router) beginTrial(now time.Time, e *exchange) {
	r.segments.BeginTrial(now, e.suspects)
	r.logger.Emit(hwevent.SegmentTried, hwevent.With("request-id", e.info.ID), hwevent.With("upstream", e.choice.Upstream.ID), hwevent.With("segments", hexList(e.segments[:min(len(e.segments), maxLoggedSegments)])))
}

// isCulpritSuspect reports whether the last attempt may have crashed its upstream, or would have if it had not been cancelled: the upstream did crash, and no upstream is known to have survived one of the prompt's segments. A second upstream could then crash as well, also if the answer had begun. Requests whose segments were all survived are not suspects; they only happened to be there.
func (e *exchange) isCulpritSuspect(ctx context.Context, result attemptResult) bool {
	if e.cancelled.Load() {
		return true
	}
	check := e.crashCheck
	e.crashCheck = nil
	if check == nil || result.unsent {
		return false
	}
	r := e.router
	suspects := e.segments
	r.lock.Lock()
	if r.segments.Caution().IsActive(r.clock.Now()) {
		// One crash is enough to hold the whole request then.
		suspects = e.suspects
	}
	harmless := r.segments.AllAnswered(suspects)
	r.lock.Unlock()
	if harmless {
		return false
	}
	select {
	case <-check:
	case <-ctx.Done():
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.segments.Suspected(suspects)
}

// watchAttempt makes it possible to cancel the attempt.
func (r *Router) watchAttempt(e *exchange, cancel context.CancelFunc) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.attempts[e] = cancel
}

func (r *Router) unwatchAttempt(e *exchange) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.attempts, e)
}

// recordSegmentCrash records the crash of an upstream against all that the suspects are identified by. The lock must be held.
func (r *Router) recordSegmentCrash(now, at time.Time, address string, suspects []crashSuspect) {
	var segments []hwquarantine.Segment
	for _, s := range suspects {
		segments = append(segments, s.Suspects()...)
	}
	r.logSegmentChanges(r.segments.RecordCrash(now, at, hwquarantine.UpstreamHash(hwplace.HashID(address)), segments))
	r.cancelQuarantined()
}

// takeSegmentReports returns the reports for the next update to the peers. The lock must be held.
func (r *Router) takeSegmentReports(now time.Time) []hwquarantine.SegmentReport {
	reports, changes := r.segments.Reports(now, maxSegmentReportsPerUpdate)
	r.logSegmentChanges(changes)
	return reports
}

// mergeSegmentReports adds a peer's reports. The lock must be held.
func (r *Router) mergeSegmentReports(now time.Time, peer string, reports []hwquarantine.SegmentReport) {
	r.peersHeard[peer] = now
	if len(reports) == 0 {
		return
	}
	r.logSegmentChanges(r.segments.Merge(now, reports))
	r.cancelQuarantined()
}

// logSegmentChanges logs changes of the quarantine.
func (r *Router) logSegmentChanges(changes []hwquarantine.SegmentChange) {
	for _, c := range changes {
		event := hwevent.SegmentReleased
		switch {
		case c.Quarantined && c.Segment.IsRequest():
			event = hwevent.RequestQuarantined
		case c.Quarantined:
			event = hwevent.SegmentQuarantined
		}
		r.logger.Emit(event, hwevent.With("segment", c.Segment.String()), hwevent.With("crashes", c.Crashes))
	}
}

// cancelQuarantined cancels the requests that would crash further upstreams. A response that has begun is aborted only on stronger evidence, because its end may be the answer that releases the segment. The lock must be held.
func (r *Router) cancelQuarantined() {
	if r.segments.QuarantinedCount() == 0 {
		return
	}
	for e, cancel := range r.attempts {
		if e.trial || e.begun && !r.segments.Convicted(e.suspects) {
			continue
		}
		if crashes, quarantined := r.segments.Quarantined(e.suspects); quarantined && crashes >= cancelCrashes {
			delete(r.attempts, e)
			e.cancelled.Store(true)
			cancel()
		}
	}
}
