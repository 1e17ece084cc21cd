package hwforward

import (
	"context"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwversion"
)

// PeerStreams asks other routers at which version a stream began.
type PeerStreams interface {
	// FindStream returns what Router.FindStream of one of the given routers does. It returns false if none of them knows the stream or responds.
	FindStream(ctx context.Context, routers []string, id hwversion.StreamID) (hwversion.Origin, bool)
}

// SetPeerStreams sets how other routers are asked. Without it, this router knows only the streams that it has served.
func (r *Router) SetPeerStreams(peers PeerStreams) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.versions.peers = peers
}

// takeUpOutcome is from where a router knows at which version a stream goes on that a client takes up, or why it does not go on.
type takeUpOutcome string

const (
	versionOfOwnMemory takeUpOutcome = "own"
	versionOfPeer      takeUpOutcome = "peer"
	onlyVersion        takeUpOutcome = "only"
	versionInDoubt     takeUpOutcome = "in-doubt"
	versionGone        takeUpOutcome = "gone"
)

// takeUpOutcomes lists the outcomes in the order of the metrics.
var takeUpOutcomes = []takeUpOutcome{versionOfOwnMemory, versionOfPeer, onlyVersion, versionInDoubt, versionGone}

const (
	// learningRetryAfter is when a stream that is in doubt may be taken up again if this router has not heard of its peers' streams, or read the record of streams, yet.
	learningRetryAfter = 300 * time.Millisecond
	// learningTime is the time after its start in which a router hears of all peers.
	learningTime = 1500 * time.Millisecond
	// maxChargedTakeUps is how often a stream may be taken up at a router without being charged to its account again.
	maxChargedTakeUps = 4
)

// takesUp reports whether the client takes up a stream that began with an earlier request.
func (e *exchange) takesUp() bool {
	return e.route.Streaming && e.route.Resumable && e.info.LastEventID != ""
}

// findVersion determines at which version a stream has to go on that the client takes up, and refuses the request if that is in doubt or if no upstream has this version.
func (e *exchange) findVersion(ctx context.Context) *hwerror.RequestError {
	origin, outcome := e.findOrigin(ctx)
	now := e.router.clock.Now()
	r := e.router
	r.lock.Lock()
	defer r.lock.Unlock()
	switch {
	case outcome == versionInDoubt:
	case !e.pinVersion(now, origin):
		outcome = versionGone
	case e.isInDoubt():
		outcome = versionInDoubt
	}
	r.versions.takeUps[outcome]++
	if outcome == versionOfOwnMemory || outcome == versionOfPeer {
		id := hwversion.HashRequest(e.account, e.info.Resumes)
		r.versions.memory.Add(now, hwversion.Stream{
			ID:     id,
			Origin: origin,
		}, false)
		e.charged = r.versions.memory.CountTakeUp(id) <= maxChargedTakeUps
	}
	r.logger.Emit(hwevent.StreamTakenUp,
		hwevent.With("request-id", e.info.ID),
		hwevent.With("resumes", e.info.Resumes),
		hwevent.With("last-event-id", e.info.LastEventID),
		hwevent.With("version", string(outcome)))
	switch outcome {
	case versionInDoubt:
		return e.refuseInDoubt(now)
	case versionGone:
		return newRefusal(hwerror.KindVersionGone, "no upstream has the version of the software at which the stream began")
	default:
		return nil
	}
}

// findOrigin returns where the stream began that the client takes up.
func (e *exchange) findOrigin(ctx context.Context) (hwversion.Origin, takeUpOutcome) {
	r := e.router
	now := r.clock.Now()
	id := hwversion.HashRequest(e.account, e.info.Resumes)
	r.lock.Lock()
	own, known := r.versions.memory.Find(id)
	routers := slices.DeleteFunc(hwversion.Owners(r.liveRouters(now), id), func(router string) bool { return router == r.settings.Instance })
	peers := r.versions.peers
	r.lock.Unlock()
	if known {
		return own, versionOfOwnMemory
	}
	if peers != nil && e.info.Resumes != "" && len(routers) > 0 {
		if origin, known := peers.FindStream(ctx, routers, id); known {
			return origin, versionOfPeer
		}
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if h := r.versions.histories[e.pool]; h != nil && len(e.route.Targets) == 1 {
		if version, certain := h.Only(now, e.streamLifetime()); certain {
			return hwversion.Origin{
				Version: version,
			}, onlyVersion
		}
	}
	return hwversion.Origin{}, versionInDoubt
}

// pinVersion makes the exchange go on at the version of an origin, in the pool of the route that has it. It returns false if none has. The lock must be held.
func (e *exchange) pinVersion(now time.Time, origin hwversion.Origin) bool {
	e.version = origin.Version
	e.origin = origin
	if origin.Version == 0 {
		return true
	}
	for _, target := range e.route.Targets {
		if target.Weight <= 0 && len(e.route.Targets) > 1 {
			continue
		}
		if p := e.router.pool(now, target.Pool); p != nil && p.HasVersion(now, origin.Version) {
			e.pool = target.Pool
			return true
		}
	}
	return false
}

// refuseInDoubt refuses a request that resumes a stream of which it is not known at which version it began. The caller is told when that can be known at the earliest; one that comes again before is refused again. The lock must be held.
func (e *exchange) refuseInDoubt(now time.Time) *hwerror.RequestError {
	v := e.router.versions
	retryAfter := e.streamLifetime()
	if h := v.histories[e.pool]; h != nil {
		retryAfter = h.CertainAfter(now, retryAfter)
	}
	if !v.recordKnown || now.Sub(v.startedAt) < learningTime {
		retryAfter = min(retryAfter, learningRetryAfter)
	}
	return newRefusal(hwerror.KindVersionInDoubt, "it is not known at which version of the upstreams' software the stream began").WithRetryAfter(retryAfter)
}

// streamLifetime returns how long a stream can last. The lock must be held.
func (e *exchange) streamLifetime() time.Duration {
	return min(maxStreamLifetime, max(e.router.versions.lifetime, e.route.Timeout, e.info.ClientTimeout))
}

// isInDoubt reports whether the stream may have begun at another version than the one that it is to go on at, as is known once the list shows that an upstream has restarted. The lock must be held.
func (e *exchange) isInDoubt() bool {
	h := e.router.versions.histories[e.pool]
	return e.origin != hwversion.Origin{} && h != nil && h.IsInDoubt(e.origin)
}
