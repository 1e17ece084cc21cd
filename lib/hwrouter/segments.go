package hwrouter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
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
}

const (
	// survivedEvents is how many events show that an upstream has survived the beginning of an answer.
	survivedEvents = 2
	// segmentReportsPerGossip limits the reports in one gossip message, some 20 bytes each.
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

// recordSegmentCrash records that an upstream crashed under the request. An answer that had begun is no reason for a crash.
func (d *delivery) recordSegmentCrash(now time.Time, upstream string) {
	if d.answered {
		return
	}
	q := d.router.quarantine
	q.lock.Lock()
	defer q.lock.Unlock()
	d.router.logSegmentChanges(q.segments.RecordCrash(now, now, hwquarantine.UpstreamHash(xxhash.Sum64String(upstream)), d.call.Segments))
}

// recordAnswered records that an upstream has survived the beginning of the answer.
func (d *delivery) recordAnswered() {
	if d.answered || len(d.call.Segments) == 0 {
		return
	}
	d.answered = true
	q := d.router.quarantine
	q.lock.Lock()
	changes := q.segments.RecordAnswer(time.Now(), d.call.Segments)
	q.lock.Unlock()
	if len(changes) > 0 {
		d.router.logSegmentChanges(changes)
		d.router.gossipToAll(d.router.background)
	}
}

// mayCrashUpstream reports whether the request must not be sent again: it may have crashed its upstream, or one of its segments is quarantined. A request that was not sent has crashed nothing, whatever has happened to that upstream before.
func (d *delivery) mayCrashUpstream(failure *hwupstream.Error) bool {
	q := d.router.quarantine
	q.lock.Lock()
	defer q.lock.Unlock()
	_, quarantined := q.segments.Quarantined(d.call.Segments)
	return quarantined || failure.MaybeSent && !d.answered && q.segments.Suspected(d.call.Segments)
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
