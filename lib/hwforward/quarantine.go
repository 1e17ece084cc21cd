package hwforward

import (
	"context"
	"slices"
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
}

const (
	// crashAttributionWindow is the maximum time between the failure of a connection and the detection of the crash to which it is attributed.
	crashAttributionWindow = 3 * time.Second
	// maxCrashSuspects limits the memory for suspects.
	maxCrashSuspects = 2048
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
	r.crashSuspects = slices.DeleteFunc(r.crashSuspects, func(s crashSuspect) bool {
		if s.upstream != upstream {
			return false
		}
		if now.Sub(s.at) <= crashAttributionWindow {
			reports = append(reports, hwquarantine.CrashReport{
				Fingerprint: s.fingerprint,
				Upstream:    s.upstream,
				OccurredAt:  s.at,
			})
		}
		return true
	})
	r.mergeCrashReports(now, reports, true)
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
