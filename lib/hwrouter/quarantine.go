package hwrouter

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwmember"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

// The bounds of the quarantine.
const (
	strikeWindow     = 2 * time.Minute
	strikeUpstreams  = 2
	strikeEntries    = 4096
	strikesPerGossip = 32
	crashDial        = 250 * time.Millisecond
)

// quarantine is the shared table of strikes.
type quarantine struct {
	lock  sync.Mutex
	guard *hwquarantine.CrashTracker
}

func newQuarantine() *quarantine {
	return &quarantine{
		guard: hwquarantine.New(hwquarantine.Settings{
			ReportTTL:       strikeWindow,
			MinUpstreams:    strikeUpstreams,
			MaxFingerprints: strikeEntries,
		}),
	}
}

func (q *quarantine) merge(now time.Time, strikes ...hwquarantine.CrashReport) []hwquarantine.Fingerprint {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.guard.Merge(now, strikes...)
}

func (q *quarantine) suspect(now time.Time, fingerprint hwquarantine.Fingerprint) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.guard.IsSuspect(now, fingerprint)
}

func (q *quarantine) rows(now time.Time) []*hwpeerpb.StrikeRow {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.guard.Prune(now)
	var rows []*hwpeerpb.StrikeRow
	for _, s := range q.guard.Reports(now, strikesPerGossip) {
		rows = append(rows, &hwpeerpb.StrikeRow{
			Fingerprint: uint64(s.Fingerprint),
			Upstream:    s.Upstream,
			AtMs:        s.OccurredAt.UnixMilli(),
			Cleared:     s.Cleared,
		})
	}
	return rows
}

// refusal returns why a request must not run, or nil.
func (q *quarantine) refusal(now time.Time, fingerprint hwquarantine.Fingerprint) *hwerror.RequestError {
	q.lock.Lock()
	defer q.lock.Unlock()
	until, quarantined := q.guard.Quarantined(now, fingerprint)
	if !quarantined {
		return nil
	}
	refusal := hwerror.NewRejection(hwerror.KindRequestQuarantined, hwevent.RequestQuarantined.Number, "upstreams crashed while this request was in flight, so it is refused for a time")
	return refusal.WithRetryAfter(until.Sub(now))
}

// takeStrikes merges strikes that a peer sent.
func (r *Router) takeStrikes(now time.Time, rows []*hwpeerpb.StrikeRow) {
	for _, row := range rows {
		r.quarantine.merge(now, hwquarantine.CrashReport{
			Fingerprint: hwquarantine.Fingerprint(row.GetFingerprint()),
			Upstream:    row.GetUpstream(),
			OccurredAt:  time.UnixMilli(row.GetAtMs()),
			Cleared:     row.GetCleared(),
		})
	}
}

// strike notes that an upstream crashed with a request in flight, and tells every peer before it returns: once the caller has its answer it may send the request to any of them next. A peer that does not answer costs one peer timeout.
func (r *Router) strike(fingerprint hwquarantine.Fingerprint, upstream string) {
	now := time.Now()
	quarantined := r.quarantine.merge(now, hwquarantine.CrashReport{
		Fingerprint: fingerprint,
		Upstream:    upstream,
		OccurredAt:  now,
	})
	for _, f := range quarantined {
		r.logger.Emit(hwevent.RequestQuarantined, hwevent.With("fingerprint", uint64(f)))
	}
	telling := newGroup(r.running)
	r.tellAll(telling)
	telling.wait()
}

// acquit notes that a request in flight at a crash was answered well.
func (r *Router) acquit(fingerprint hwquarantine.Fingerprint) {
	now := time.Now()
	if !r.quarantine.suspect(now, fingerprint) {
		return
	}
	r.quarantine.merge(now, hwquarantine.CrashReport{
		Fingerprint: fingerprint,
		OccurredAt:  now,
		Cleared:     true,
	})
	r.tellAll(r.background)
}

func (r *Router) tellAll(telling *group) {
	for _, row := range r.others() {
		telling.start(func(ctx context.Context) { _ = r.exchange(ctx, row, "", []hwmember.Row{}) })
	}
}

// crashed tells a crash from a broken connection: a crashed upstream takes no new connection.
func (r *Router) crashed(ctx context.Context, upstream string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashDial)
	defer cancel()
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", upstream)
	if err != nil {
		return true
	}
	_ = connection.Close()
	return false
}
