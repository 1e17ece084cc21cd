package hwrouter

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwmember"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

const (
	// crashReportTTL is how long a crash report counts against a request.
	crashReportTTL = 2 * time.Minute
	// quarantineMinUpstreams is how many upstreams must have crashed while a request was in flight for it to be quarantined.
	quarantineMinUpstreams = 2
	maxCrashFingerprints   = 4096
	crashReportsPerGossip  = 32
	crashDialTimeout       = 250 * time.Millisecond
)

// quarantine tracks requests, and segments of their prompts, that were in flight when upstreams crashed. It is safe for concurrent use.
type quarantine struct {
	lock     sync.Mutex
	tracker  *hwquarantine.CrashTracker
	segments *hwquarantine.SegmentTracker
	// exposures are the executions of which it is not known yet whether their upstreams survived them, and checks the upstreams that are to be checked for it.
	exposures *hwquarantine.Exposures[string]
	checks    map[string]bool
}

func newQuarantine() *quarantine {
	return &quarantine{
		tracker: hwquarantine.New(hwquarantine.Settings{
			ReportTTL:       crashReportTTL,
			MinUpstreams:    quarantineMinUpstreams,
			MaxFingerprints: maxCrashFingerprints,
		}),
		segments:  hwquarantine.NewSegmentTracker(segmentSettings),
		exposures: hwquarantine.NewExposures[string](exposureSettings),
		checks:    map[string]bool{},
	}
}

func (q *quarantine) merge(now time.Time, reports ...hwquarantine.CrashReport) []hwquarantine.Fingerprint {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.tracker.Merge(now, reports...)
}

func (q *quarantine) isSuspect(now time.Time, fingerprint hwquarantine.Fingerprint) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.tracker.IsSuspect(now, fingerprint)
}

func (q *quarantine) reportRows(now time.Time) []*hwpeerpb.StrikeRow {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.tracker.Prune(now)
	var rows []*hwpeerpb.StrikeRow
	for _, s := range q.tracker.Reports(now, crashReportsPerGossip) {
		rows = append(rows, &hwpeerpb.StrikeRow{
			Fingerprint: uint64(s.Fingerprint),
			Upstream:    s.Upstream,
			AtMs:        s.ID,
			Cleared:     s.Cleared,
			AgeMs:       proto.Uint32(uint32(max(0, now.Sub(s.OccurredAt).Milliseconds()))),
		})
	}
	return rows
}

// check returns an error for a quarantined request, or nil if the request may run.
func (q *quarantine) check(now time.Time, fingerprint hwquarantine.Fingerprint) *hwerror.RequestError {
	q.lock.Lock()
	defer q.lock.Unlock()
	until, quarantined := q.tracker.Quarantined(now, fingerprint)
	if !quarantined {
		return nil
	}
	requestErr := hwerror.NewRejection(hwerror.KindRequestQuarantined, hwevent.RequestQuarantined.Number, "upstreams crashed while this request was in flight, so it is refused for a time")
	return requestErr.WithRetryAfter(until.Sub(now))
}

// mergeCrashReports merges crash reports that a peer sent.
func (r *Router) mergeCrashReports(now time.Time, rows []*hwpeerpb.StrikeRow) {
	for _, row := range rows {
		r.quarantine.merge(now, hwquarantine.CrashReport{
			Fingerprint: hwquarantine.Fingerprint(row.GetFingerprint()),
			Upstream:    row.GetUpstream(),
			OccurredAt:  now.Add(-ageOf(now, row)),
			Cleared:     row.GetCleared(),
			ID:          row.GetAtMs(),
			ByClock:     row.AgeMs == nil,
		})
	}
}

// ageOf returns how long ago a row's event happened. Instances of the release before state only a time by the clock of whoever saw it, which may be ahead: that must not outweigh what happens until then.
func ageOf(now time.Time, row *hwpeerpb.StrikeRow) time.Duration {
	if row.AgeMs != nil {
		return time.Duration(row.GetAgeMs()) * time.Millisecond
	}
	return max(0, now.Sub(time.UnixMilli(row.GetAtMs())))
}

// reportCrash records that an upstream crashed with a request in flight, and sends the report to every peer before it returns: once the caller has its response, it may send the request to any of them next. A peer that does not respond delays the return by one peer timeout.
func (r *Router) reportCrash(fingerprint hwquarantine.Fingerprint, upstream string) {
	now := time.Now()
	quarantined := r.quarantine.merge(now, hwquarantine.CrashReport{
		Fingerprint: fingerprint,
		Upstream:    upstream,
		OccurredAt:  now,
	})
	for _, f := range quarantined {
		r.logger.Emit(hwevent.RequestQuarantined, hwevent.With("fingerprint", uint64(f)))
	}
	tasks := newTaskGroup(r.runContext)
	r.gossipToAll(tasks)
	tasks.wait()
}

// clearCrashReport clears the crash reports of a request that has completed successfully.
func (r *Router) clearCrashReport(fingerprint hwquarantine.Fingerprint) {
	now := time.Now()
	if !r.quarantine.isSuspect(now, fingerprint) {
		return
	}
	r.quarantine.merge(now, hwquarantine.CrashReport{
		Fingerprint: fingerprint,
		OccurredAt:  now,
		Cleared:     true,
	})
	r.gossipToAll(r.background)
}

func (r *Router) gossipToAll(tasks *taskGroup) {
	for _, row := range r.otherInstances() {
		tasks.start(func(ctx context.Context) { _ = r.gossipWith(ctx, row, "", []hwmember.Row{}) })
	}
}

// upstreamCrashed distinguishes a crash from a broken connection: a crashed upstream accepts no new connection.
func (r *Router) upstreamCrashed(ctx context.Context, upstream string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashDialTimeout)
	defer cancel()
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", upstream)
	if err != nil {
		return true
	}
	_ = connection.Close()
	return false
}
