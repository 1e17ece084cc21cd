package hwforward

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// crashSuspect is a request that was in flight at an upstream when its connection failed. It becomes a crash report only if the upstream proves to have crashed, because connections also fail for other reasons.
type crashSuspect struct {
	hwquarantine.Exposure
	lifetime hwplace.Lifetime
	// begun reports that a part of the answer had arrived.
	begun bool
	// broken reports that the connection broke before the end of the answer.
	broken bool
	// silent reports that the upstream did not close the connection itself.
	silent bool
}

const (
	// crashAttributionWindow is the maximum time between the failure of a connection and the detection of the crash to which it is attributed.
	crashAttributionWindow = 3 * time.Second
	// maxCrashSuspects limits the memory for suspects.
	maxCrashSuspects = 2048
	// maxLoggedSuspects and maxLoggedSegments limit what is logged for one crash.
	maxLoggedSuspects = 32
	maxLoggedSegments = 8
	// crashCheckDelay is the time from the failure of a connection to the attempt to open a new one, and crashCheckTimeout is the timeout of that attempt. A crashed upstream refuses the connection or does not respond.
	crashCheckDelay   = 30 * time.Millisecond
	crashCheckTimeout = 300 * time.Millisecond
)

// recordCrashSuspect records a request whose connection failed and checks in the background whether the upstream still accepts connections. The returned channel is closed once that is known.
func (r *Router) recordCrashSuspect(ctx context.Context, now time.Time, e *exchange, broken error) <-chan struct{} {
	upstream := e.choice.Upstream
	r.lock.Lock()
	defer r.lock.Unlock()
	r.crashSuspects = slices.DeleteFunc(r.crashSuspects, func(s crashSuspect) bool { return now.Sub(s.EndedAt) > crashAttributionWindow })
	if len(r.crashSuspects) < maxCrashSuspects {
		r.crashSuspects = append(r.crashSuspects, crashSuspect{
			Exposure: e.exposure(now),
			lifetime: upstream.Lifetime(),
			begun:    e.begun,
			broken:   true,
			silent:   isTimeout(broken),
		})
	}
	if checked, pending := r.pendingChecks[upstream.ID]; pending {
		return checked
	}
	checked := make(chan struct{})
	r.pendingChecks[upstream.ID] = checked
	// The check must continue after the request has ended.
	r.crashChecks.start(context.WithoutCancel(ctx), func(ctx context.Context) error {
		r.checkForCrash(ctx, upstream)
		close(checked)
		return nil
	})
	return checked
}

// checkForCrash finds out whether an upstream still accepts connections. One in an evacuated zone is not probed; only its restart shows that it has crashed.
func (r *Router) checkForCrash(ctx context.Context, upstream hwplace.Upstream) {
	hwtask.Sleep(ctx, crashCheckDelay)
	var err error
	if !r.isEvacuated(upstream) {
		err = r.probe(ctx, upstream)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.pendingChecks, upstream.ID)
	if err != nil || r.hasRestarted(upstream.Lifetime()) {
		r.recordCrash(r.clock.Now(), upstream)
	}
}

// probe opens a connection to an upstream.
func (r *Router) probe(ctx context.Context, upstream hwplace.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	return r.transport.Probe(ctx, upstream.Address)
}

// recordCrash records that an upstream accepts no connections, or that its next lifetime has begun. The lock must be held.
func (r *Router) recordCrash(now time.Time, upstream hwplace.Upstream) {
	lifetime := upstream.Lifetime()
	restarted := r.hasRestarted(lifetime)
	if !restarted && !r.isServing(now, upstream) {
		r.confirmCrash(now, upstream.ID, nil)
		return
	}
	exposures := r.exposures.Take(now, lifetime)
	suspects := r.confirmCrash(now, upstream.ID, exposures)
	at := crashTime(now, suspects)
	if !restarted {
		suspects = r.setAsideSilent(now, suspects)
	}
	r.recordSegmentCrash(now, at, lifetime.Address, suspects)
}

// setAsideSilent returns the suspects whose connections the upstream closed itself. The others wait for the next lifetime, which shows that the upstream, and not the path to it, has failed. The lock must be held.
func (r *Router) setAsideSilent(now time.Time, suspects []crashSuspect) []crashSuspect {
	return slices.DeleteFunc(suspects, func(s crashSuspect) bool {
		if s.silent {
			r.exposures.Add(now, s.lifetime, s.Exposure)
		}
		return s.silent
	})
}

// crashTime returns when an upstream crashed: when the first connection to it broke, or now if none did.
func crashTime(now time.Time, suspects []crashSuspect) time.Time {
	for _, s := range suspects {
		if s.broken && s.EndedAt.Before(now) {
			now = s.EndedAt
		}
	}
	return now
}

// isServing reports whether an upstream is listed, not draining and not in an evacuated zone: one that leaves also closes its connections and accepts no new ones, and operators evacuate zones to stop or restart what runs there. The lock must be held.
func (r *Router) isServing(now time.Time, upstream hwplace.Upstream) bool {
	if r.evacuations.IsEvacuated(upstream.Zone) {
		return false
	}
	if p := r.pools[upstream.Pool]; p != nil && p.IsLeaving(now, upstream) {
		return false
	}
	return slices.ContainsFunc(r.upstreams[upstream.Pool], func(u hwplace.Upstream) bool {
		return u.ID == upstream.ID && !u.Draining
	})
}

// isTimeout reports whether a connection failed because nothing arrived. The upstream may then be as well as before, and this router cut off from it.
func isTimeout(err error) bool {
	var networkErr net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.As(err, &networkErr) && networkErr.Timeout()
}

// confirmCrash removes, logs and returns the recent suspects of a crashed upstream, and the executions that it has not outlived. The lock must be held.
func (r *Router) confirmCrash(now time.Time, upstream string, exposures []hwquarantine.Exposure) []crashSuspect {
	var suspects []crashSuspect
	r.crashSuspects = slices.DeleteFunc(r.crashSuspects, func(s crashSuspect) bool {
		if s.lifetime.ID != upstream {
			return false
		}
		if now.Sub(s.EndedAt) <= crashAttributionWindow {
			suspects = append(suspects, s)
		}
		return true
	})
	for _, x := range exposures {
		suspects = append(suspects, crashSuspect{
			Exposure: x,
			lifetime: hwplace.Lifetime{
				ID: upstream,
			},
			begun: x.Proof != hwquarantine.ProvesNothing,
		})
	}
	r.logCrash(upstream, suspects)
	return suspects
}

// logCrash logs a crash and the requests that were in flight there. Without suspects, this router had nothing to do with the upstream.
func (r *Router) logCrash(upstream string, suspects []crashSuspect) {
	if len(suspects) == 0 {
		return
	}
	r.metrics.crashes.Add(1)
	r.logger.Emit(hwevent.UpstreamCrashed, hwevent.With("upstream", upstream), hwevent.With("suspects", len(suspects)))
	for _, s := range suspects[:min(len(suspects), maxLoggedSuspects)] {
		r.logger.Emit(hwevent.CrashSuspect,
			hwevent.With("request-id", s.RequestID),
			hwevent.With("upstream", upstream),
			hwevent.With("request", s.Request.String()),
			hwevent.With("begun", s.begun),
			hwevent.With("ended", s.Proof != hwquarantine.ProvesNothing),
			hwevent.With("sends", s.Sends),
			hwevent.With("segments", hexList(s.Segments[:min(len(s.Segments), maxLoggedSegments)])))
	}
}

// hexList returns segments in the form in which logs show them.
func hexList(segments []hwquarantine.Segment) string {
	texts := make([]string, 0, len(segments))
	for _, segment := range segments {
		texts = append(texts, segment.String())
	}
	return strings.Join(texts, ",")
}
