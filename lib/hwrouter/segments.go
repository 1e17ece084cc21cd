package hwrouter

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtask"
	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// segmentSettings are the limits of the quarantine of segments; docs/design/quarantine.md gives the reasons.
var segmentSettings = hwquarantine.SegmentSettings{
	MinCrashes:         2,
	MinCrashesAnswered: 5,
	SuspicionTTL:       crashReportTTL,
	QuarantineTTL:      24 * time.Hour,
	FirstTrialDelay:    5 * time.Second,
	TrialBackoff:       8,
	MaxTrials:          3,
	TrialTurn:          3 * time.Second,
	MaxSegments:        4096,
	AnsweredSegments:   1 << 16,
	Caution:            cautionSettings,
}

// exposureSettings are the limits of the executions of which it is not known yet whether their upstreams survived them.
var exposureSettings = hwquarantine.ExposureSettings{
	SettleTime:   time.Second,
	RestartTime:  2 * time.Second,
	TTL:          5 * time.Second,
	MaxExposures: 4096,
}

const (
	// survivalCheckMargin is how long after the settle time an upstream is asked whether it lives.
	survivalCheckMargin = 100 * time.Millisecond
	// segmentReportsPerGossip limits the reports in one gossip message, some 25 bytes each.
	segmentReportsPerGossip = 100
)

// checkSegments refuses the request if one of its segments is quarantined and no trial is due.
func (d *delivery) checkSegments(now time.Time) *hwerror.RequestError {
	r := d.router
	routers := []string{r.settings.Instance}
	for _, row := range r.otherInstances() {
		routers = append(routers, row.Instance)
	}
	q := r.quarantine
	q.lock.Lock()
	defer q.lock.Unlock()
	verdict := q.segments.Decide(now, d.call.Segments, func(segment hwquarantine.Segment, turn int) bool {
		return hwquarantine.TrialOwner(routers, segment, turn) == r.settings.Instance
	})
	d.trial = verdict.Trial
	if !verdict.Refused {
		return nil
	}
	requestErr := hwerror.NewRejection(hwerror.KindRequestQuarantined, hwevent.SegmentQuarantined.Number, "upstreams crashed at a message of this chat, so it is refused for a time")
	return requestErr.WithRetryAfter(verdict.RetryAfter)
}

// beginTrial records the start of a trial if the request is one.
func (d *delivery) beginTrial(now time.Time) {
	if !d.trial || d.attempts > 1 {
		return
	}
	q := d.router.quarantine
	q.lock.Lock()
	defer q.lock.Unlock()
	q.segments.BeginTrial(now, d.call.Segments)
	d.router.logger.Emit(hwevent.SegmentTried, hwevent.With("request", d.call.ID))
}

// recordSegmentCrash records that an upstream crashed under the request. Those that have just ended there are suspects too.
func (d *delivery) recordSegmentCrash(now time.Time, upstream string) {
	q := d.router.quarantine
	q.lock.Lock()
	defer q.lock.Unlock()
	d.router.recordCrashOf(now, upstream, d.call.Segments)
}

// recordCrashOf records a crash against the given segments and those of the executions that the upstream has not outlived. The quarantine's lock must be held.
func (r *Router) recordCrashOf(now time.Time, upstream string, segments []hwquarantine.Segment) {
	q := r.quarantine
	suspects := slices.Clone(segments)
	for _, x := range q.exposures.Take(now, upstream) {
		suspects = append(suspects, x.Segments...)
	}
	r.logSegmentChanges(q.segments.RecordCrash(now, now, hwquarantine.UpstreamHash(xxhash.Sum64String(upstream)), suspects))
}

// recordExposure records the end of an answer. With success, it clears the segments of the request once the upstream has outlived it.
func (d *delivery) recordExposure(now time.Time, upstream string) {
	r := d.router
	if len(d.call.Segments) == 0 || !r.quarantine.addExposure(now, upstream, d.exposure(now)) {
		return
	}
	started := r.survivalChecks.tryStart(func(ctx context.Context) {
		hwtask.Sleep(ctx, exposureSettings.SettleTime+survivalCheckMargin)
		r.checkSurvival(ctx, upstream)
	})
	if !started {
		// The caller must not wait for a check; a later answer of this upstream starts one.
		r.quarantine.endCheck(upstream)
	}
}

// endCheck records that an upstream is not being checked. The answers that end from now on need another check.
func (q *quarantine) endCheck(upstream string) {
	q.lock.Lock()
	defer q.lock.Unlock()
	delete(q.checks, upstream)
}

func (d *delivery) exposure(now time.Time) hwquarantine.Exposure {
	proof := hwquarantine.ProvesSegments
	if d.responseStatus >= http.StatusMultipleChoices {
		proof = hwquarantine.ProvesNothing
	}
	return hwquarantine.Exposure{
		RequestID: d.call.ID,
		Segments:  d.call.Segments,
		EndedAt:   now,
		Proof:     proof,
	}
}

// addExposure adds an exposure and reports whether the upstream is now to be checked, because its survival would change what is known and no check is under way.
func (q *quarantine) addExposure(now time.Time, upstream string, exposure hwquarantine.Exposure) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	if q.segments.AllAnswered(exposure.Segments) && !q.segments.HasCrashes() {
		return false
	}
	q.exposures.Add(now, upstream, exposure)
	if q.checks[upstream] {
		return false
	}
	q.checks[upstream] = true
	return true
}

// checkSurvival finds out whether an upstream has outlived the answers that have ended there.
func (r *Router) checkSurvival(ctx context.Context, upstream string) {
	q := r.quarantine
	q.endCheck(upstream)
	if ctx.Err() != nil {
		return
	}
	checkedAt := time.Now()
	crashed := r.upstreamCrashed(ctx, upstream)
	q.lock.Lock()
	if crashed {
		r.recordCrashOf(time.Now(), upstream, nil)
	}
	var changes []hwquarantine.SegmentChange
	for _, x := range q.exposures.Survived(checkedAt, upstream, checkedAt) {
		if x.Proof == hwquarantine.ProvesSegments {
			changes = append(changes, q.segments.RecordAnswer(checkedAt, x.Segments)...)
		}
	}
	q.lock.Unlock()
	r.logSegmentChanges(changes)
	if crashed || len(changes) > 0 {
		r.gossipToAll(r.background)
	}
}

// mayCrashUpstream reports whether the request must not be sent again: it may have crashed its upstream, or one of its segments is quarantined. A request that was not sent has crashed nothing, whatever has happened to that upstream before.
func (d *delivery) mayCrashUpstream(failure *hwupstream.Error) bool {
	q := d.router.quarantine
	q.lock.Lock()
	defer q.lock.Unlock()
	_, quarantined := q.segments.Quarantined(d.call.Segments)
	return quarantined || failure.MaybeSent && q.segments.Suspected(d.call.Segments)
}

// segmentRows returns what this router knows of segments, for a peer.
func (q *quarantine) segmentRows(now time.Time) []*hwpeerpb.SegmentRow {
	q.lock.Lock()
	defer q.lock.Unlock()
	var rows []*hwpeerpb.SegmentRow
	for _, report := range q.segments.All(now, segmentReportsPerGossip) {
		rows = append(rows, &hwpeerpb.SegmentRow{
			Segment:        uint64(report.Segment),
			Kind:           uint32(report.Kind),
			AgeMs:          uint32(max(0, now.Sub(report.At).Milliseconds())),
			Upstream:       uint32(report.Upstream),
			AnsweredBefore: report.AnsweredBefore,
			Trials:         uint32(report.Trials),
			CrashId:        uint32(report.ID),
		})
	}
	return rows
}

// mergeSegmentRows adds what a peer knows.
func (r *Router) mergeSegmentRows(now time.Time, rows []*hwpeerpb.SegmentRow) {
	reports := make([]hwquarantine.SegmentReport, 0, len(rows))
	for _, row := range rows {
		reports = append(reports, hwquarantine.SegmentReport{
			Segment:        hwquarantine.Segment(row.GetSegment()),
			Kind:           hwquarantine.SegmentReportKind(row.GetKind()),
			At:             now.Add(-time.Duration(row.GetAgeMs()) * time.Millisecond),
			Upstream:       hwquarantine.UpstreamHash(row.GetUpstream()),
			AnsweredBefore: row.GetAnsweredBefore(),
			Trials:         int(min(row.GetTrials(), uint32(segmentSettings.MaxTrials))),
			ID:             hwquarantine.CrashID(row.GetCrashId()),
		})
	}
	r.quarantine.lock.Lock()
	defer r.quarantine.lock.Unlock()
	r.logSegmentChanges(r.quarantine.segments.Merge(now, reports))
}

func (r *Router) logSegmentChanges(changes []hwquarantine.SegmentChange) {
	for _, c := range changes {
		event := hwevent.SegmentReleased
		if c.Quarantined {
			event = hwevent.SegmentQuarantined
		}
		r.logger.Emit(event, hwevent.With("segment", c.Segment.String()), hwevent.With("crashes", c.Crashes))
	}
}

func (q *quarantine) unsettledAnswers() int {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.exposures.Count()
}
