package hwforward

import (
	"context"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

const (
	// claimInterval is the time in which the crash of an upstream under a request shows at all routers: the upstream closes the connection, the check finds that it accepts no other, and the report is in the next update.
	claimInterval = 500 * time.Millisecond
	// maxClaimWait is how long a request is held for its claim; one that would have to wait longer is refused at once. All routers of a fleet have to agree on it.
	maxClaimWait = time.Second
	// maxRecordedSegments bounds the record of crashes to some 70 kB.
	maxRecordedSegments = 64
)

// PeerClaims asks another router when a request may be sent.
type PeerClaims interface {
	// Claim returns what Router.Claim of the other router does, or false if that does not respond.
	Claim(ctx context.Context, router string, segment hwquarantine.Segment) (wait time.Duration, answered bool)
}

// SetPeerClaims sets how other routers are asked. Without it, this router decides alone.
func (r *Router) SetPeerClaims(claims PeerClaims) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.peerClaims = claims
}

// CrashRecord returns what the fleet has to keep beyond the lifetime of its routers.
func (r *Router) CrashRecord() []hwquarantine.SegmentReport {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.segments.Record(maxRecordedSegments)
}

// MergeCrashRecord adds the reports of the fleet's record.
func (r *Router) MergeCrashRecord(now time.Time, reports []hwquarantine.SegmentReport) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.logSegmentChanges(r.segments.Merge(now, reports))
	r.cancelQuarantined()
}

// SetRecordKnown reports that this router has the fleet's record.
func (r *Router) SetRecordKnown(now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.segments.Caution().RecordKnown(now)
}

// SetIsolated records whether this router hears no peer and can be found by none.
func (r *Router) SetIsolated(now time.Time, isolated bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.segments.Caution().SetIsolated(now, isolated)
}

// SetRecordAsked reports that the store was asked for the fleet's record, whatever came of it.
func (r *Router) SetRecordAsked() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.segments.Caution().RecordAsked()
}

// knowsCrashes reports whether this router knows what crashes upstreams, and logs when that changes. The lock must be held.
func (r *Router) knowsCrashes(now time.Time) bool {
	caution := r.segments.Caution()
	active := caution.IsActive(now)
	if active != r.loggedCaution && caution.IsSettled(now) {
		r.loggedCaution = active
		event := hwevent.CautionEnded
		if active {
			event = hwevent.CautionBegan
		}
		r.logger.Emit(event)
	}
	return !active
}

// Claim decides for all routers when a request with the given segment may be sent, and returns how long that takes. A request that would have to wait longer than a second is to be refused.
func (r *Router) Claim(now time.Time, segment hwquarantine.Segment) time.Duration {
	r.lock.Lock()
	defer r.lock.Unlock()
	segments := []hwquarantine.Segment{segment}
	if r.segments.AllAnswered(segments) {
		return 0
	}
	if _, quarantined := r.segments.Quarantined(segments); quarantined {
		return maxClaimWait + claimInterval
	}
	wait, _ := r.claims.Claim(now, segment)
	return wait
}

// claimSuspects makes requests with the same segment go one at a time, so that copies that come to several routers at once crash one upstream and not one each. It returns once the request may be sent, or a refusal. Segments that an upstream has survived need no claim.
//
// Segments are claimed one after the other and in the same order by all routers. Otherwise, of two requests with the same segments, each could get one claim and neither both.
func (e *exchange) claimSuspects(ctx context.Context) *hwerror.RequestError {
	r := e.router
	now := r.clock.Now()
	r.lock.Lock()
	unanswered := r.segments.Unanswered(e.suspects)
	routers := r.liveRouters(now)
	peers := r.peerClaims
	r.lock.Unlock()
	slices.Sort(unanswered)
	var longest time.Duration
	for _, segment := range unanswered {
		var wait time.Duration
		if owner := hwquarantine.TrialOwner(routers, segment, 0); owner == r.settings.Instance || peers == nil {
			wait = r.Claim(r.clock.Now(), segment)
		} else {
			// A router that does not respond can't hold requests up.
			wait, _ = peers.Claim(ctx, owner, segment)
		}
		longest = max(longest, wait)
		if wait > maxClaimWait {
			break
		}
	}
	if longest == 0 {
		return nil
	}
	if longest > maxClaimWait || r.clock.Now().Add(longest).After(e.deadline) {
		r.metrics.claimsRefused.Add(1)
		return newRefusal(hwerror.KindRequestQuarantined, "upstreams may crash at this request, and equal ones are being tried").WithRetryAfter(longest)
	}
	r.metrics.claimsHeld.Add(1)
	hwtask.Sleep(ctx, longest)
	// Meanwhile the configuration may have changed, and an equal request may have crashed its upstream.
	now = r.clock.Now()
	if refusal := e.authorize(now); refusal != nil {
		return refusal
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return e.decideSegments(now)
}
