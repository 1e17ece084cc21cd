package hwforward

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// crashSuspect is a request that was in flight at an upstream when its connection failed. It becomes a crash report only if the upstream proves to have crashed, because connections also fail for other reasons.
type crashSuspect struct {
	fingerprint hwquarantine.Fingerprint
	upstream    string
	at          time.Time
	// The fields below describe the request in logs. answered reports that part of its response had arrived; sends is the number of attempts.
	requestID string
	answered  bool
	sends     int
	// segments are the content hashes of the prompt's segments that other requests may share.
	segments []uint64
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

// recordCrashSuspect records a request whose connection failed and checks in the background whether the upstream still accepts connections.
func (r *Router) recordCrashSuspect(ctx context.Context, now time.Time, e *exchange, upstream, address string) {
	r.lock.Lock()
	r.crashSuspects = slices.DeleteFunc(r.crashSuspects, func(s crashSuspect) bool { return now.Sub(s.at) > crashAttributionWindow })
	checkPending := slices.ContainsFunc(r.crashSuspects, func(s crashSuspect) bool {
		return s.upstream == upstream && now.Sub(s.at) < crashCheckDelay
	})
	if len(r.crashSuspects) < maxCrashSuspects {
		r.crashSuspects = append(r.crashSuspects, crashSuspect{
			fingerprint: e.fingerprint,
			upstream:    upstream,
			at:          now,
			requestID:   e.info.ID,
			answered:    e.inFlight.Progressed(),
			sends:       e.attempts,
			segments:    e.prompt.SharedContent(),
		})
	}
	r.lock.Unlock()
	if checkPending {
		return
	}
	// The check must continue after the request has ended.
	r.crashChecks.start(context.WithoutCancel(ctx), func(ctx context.Context) error {
		hwtask.Sleep(ctx, crashCheckDelay)
		ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		defer cancel()
		if r.transport.CanConnect(ctx, address) {
			return nil
		}
		r.lock.Lock()
		defer r.lock.Unlock()
		r.confirmCrash(r.clock.Now(), upstream)
		return nil
	})
}

// confirmCrash turns the recent suspects of a crashed upstream into crash reports. The lock must be held.
func (r *Router) confirmCrash(now time.Time, upstream string) {
	var reports []hwquarantine.CrashReport
	var suspects []crashSuspect
	r.crashSuspects = slices.DeleteFunc(r.crashSuspects, func(s crashSuspect) bool {
		if s.upstream != upstream {
			return false
		}
		if now.Sub(s.at) <= crashAttributionWindow {
			suspects = append(suspects, s)
			reports = append(reports, hwquarantine.CrashReport{
				Fingerprint: s.fingerprint,
				Upstream:    s.upstream,
				OccurredAt:  s.at,
			})
		}
		return true
	})
	r.logCrash(upstream, suspects)
	r.mergeCrashReports(now, reports, true)
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
			hwevent.With("request-id", s.requestID),
			hwevent.With("upstream", upstream),
			hwevent.With("fingerprint", uint64(s.fingerprint)),
			hwevent.With("answered", s.answered),
			hwevent.With("sends", s.sends),
			hwevent.With("segments", hexList(s.segments[:min(len(s.segments), maxLoggedSegments)])))
	}
}

// hexList returns hashes in the form in which logs show them.
func hexList(hashes []uint64) string {
	texts := make([]string, 0, len(hashes))
	for _, hash := range hashes {
		texts = append(texts, strconv.FormatUint(hash, 16))
	}
	return strings.Join(texts, ",")
}

// mergeCrashReports adds crash reports and logs the requests that they quarantine. Reports by this router itself are also sent to the peers. The lock must be held.
func (r *Router) mergeCrashReports(now time.Time, reports []hwquarantine.CrashReport, local bool) {
	if len(reports) == 0 {
		return
	}
	for _, fingerprint := range r.quarantine.Merge(now, reports...) {
		r.logger.Emit(hwevent.RequestQuarantined, hwevent.With("fingerprint", uint64(fingerprint)))
	}
	if local {
		r.pendingUpdate.Strikes = append(r.pendingUpdate.Strikes, reports...)
	}
}

// clearCrashReports clears the crash reports of a request that was executed successfully. Nothing is sent to the peers if it has none.
func (r *Router) clearCrashReports(now time.Time, fingerprint hwquarantine.Fingerprint) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.quarantine.HasCrashes(fingerprint) {
		return
	}
	r.mergeCrashReports(now, []hwquarantine.CrashReport{
		{
			Fingerprint: fingerprint,
			OccurredAt:  now,
			Cleared:     true,
		},
	}, true)
}
