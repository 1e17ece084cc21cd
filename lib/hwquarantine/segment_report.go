package hwquarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SegmentReportKind is what a SegmentReport states.
type SegmentReportKind int

const (
	// SegmentCrashed states that an upstream crashed while a request with the segment waited for its answer there.
	SegmentCrashed SegmentReportKind = iota
	// SegmentAnswered states that a request with the segment was answered.
	SegmentAnswered
	// SegmentTried states that a router began a trial of a quarantined segment, and how many have begun in all.
	SegmentTried
)

// SegmentReport is what one router tells the others about a segment.
type SegmentReport struct {
	Segment Segment
	Kind    SegmentReportKind
	At      time.Time
	// Upstream is that of a crash, ID its identity if it is known. AnsweredBefore states of a crash that the segment had been answered earlier.
	Upstream       UpstreamHash
	ID             CrashID
	AnsweredBefore bool
	Trials         int
	// Dateless states that the time may be wrong, although it is not in the future.
	Dateless bool
}

const (
	// sendsPerChange is how many updates include a change, because datagrams get lost.
	sendsPerChange = 3
	// resendInterval is the time after which the history of a quarantined segment is sent again, for routers that have started or were cut off meanwhile. A router is silent while it hears the same from a peer.
	resendInterval = time.Second
	// pruneInterval is the time between two searches for what has expired.
	pruneInterval = time.Second
)

// Reports returns the reports for the next update to the peers, at most limit, and what has expired until now.
func (t *SegmentTracker) Reports(now time.Time, limit int) ([]SegmentReport, []SegmentChange) {
	if len(t.histories) == 0 {
		return nil, nil
	}
	var changes []SegmentChange
	if now.Sub(t.prunedAt) >= pruneInterval {
		t.prunedAt = now
		changes = t.prune(now)
	}
	var due []dueHistory
	for segment, h := range t.histories {
		if h.unsent > 0 || h.quarantined && now.Sub(h.sentAt) >= resendInterval {
			due = append(due, dueHistory{
				segment:        segment,
				segmentHistory: h,
			})
		}
	}
	slices.SortFunc(due, func(a, b dueHistory) int {
		return cmp.Or(-cmp.Compare(a.unsent, b.unsent), -cmp.Compare(len(a.crashes), len(b.crashes)), a.sentAt.Compare(b.sentAt), cmp.Compare(a.segment, b.segment))
	})
	var reports []SegmentReport
	for _, d := range due {
		next := d.reports(d.segment)
		if len(reports)+len(next) > limit {
			break
		}
		reports = append(reports, next...)
		d.sentAt = now
		d.unsent = max(0, d.unsent-1)
	}
	return reports, changes
}

// dueHistory is a history that is to be sent.
type dueHistory struct {
	segment Segment
	*segmentHistory
}

// All returns the reports about all segments, quarantined ones first and at most limit, for routers that exchange what they know in pairs.
func (t *SegmentTracker) All(now time.Time, limit int) []SegmentReport {
	t.prune(now)
	segments := slices.SortedFunc(maps.Keys(t.histories), func(a, b Segment) int {
		x, y := t.histories[a], t.histories[b]
		switch {
		case y.lessImportantThan(x):
			return -1
		case x.lessImportantThan(y):
			return 1
		default:
			return cmp.Compare(a, b)
		}
	})
	var reports []SegmentReport
	for _, segment := range segments {
		next := t.histories[segment].reports(segment)
		if len(reports)+len(next) > limit {
			break
		}
		reports = append(reports, next...)
	}
	return reports
}

// reports returns the whole history of a segment.
func (h *segmentHistory) reports(segment Segment) []SegmentReport {
	reports := make([]SegmentReport, 0, len(h.crashes)+2)
	if !h.answeredAt.IsZero() {
		reports = append(reports, SegmentReport{
			Segment: segment,
			Kind:    SegmentAnswered,
			At:      h.answeredAt,
		})
	}
	for _, crash := range h.crashes {
		reports = append(reports, SegmentReport{
			Segment:        segment,
			Kind:           SegmentCrashed,
			At:             crash.at,
			Upstream:       crash.upstream,
			ID:             crash.id,
			AnsweredBefore: h.answeredBefore,
		})
	}
	if !h.trialAt.IsZero() {
		reports = append(reports, SegmentReport{
			Segment: segment,
			Kind:    SegmentTried,
			At:      h.trialAt,
			Trials:  h.trials,
		})
	}
	return reports
}

// Merge adds the reports of a peer, or of the record. They may arrive in any order and any number of times, but the reports about a segment have to be its whole history at one router.
func (t *SegmentTracker) Merge(now time.Time, reports []SegmentReport) []SegmentChange {
	if len(reports) == 0 {
		return nil
	}
	crashes := map[Segment]int{}
	changed := false
	for _, r := range correctTimes(now, reports) {
		if now.Sub(r.At) > t.settings.QuarantineTTL {
			continue
		}
		h := t.history(now, r.Segment)
		switch r.Kind {
		case SegmentAnswered:
			t.answered.add(r.Segment)
			changed = h.answer(r.At) || changed
		case SegmentTried:
			h.addTrial(r.At, r.Trials)
		case SegmentCrashed:
			crashes[r.Segment]++
			h.answeredBefore = h.answeredBefore || r.AnsweredBefore || t.answered.contains(r.Segment)
			if !r.At.After(h.answeredAt) {
				// The peer has missed the answer.
				h.unsent = max(h.unsent, 1)
				continue
			}
			changed = h.addCrash(segmentCrash{
				upstream: r.Upstream,
				at:       r.At,
				id:       r.ID,
				dateless: r.Dateless,
				cautious: !r.Dateless && t.caution.Covers(r.At),
			}) || changed
		}
	}
	for segment, count := range crashes {
		if h := t.histories[segment]; h != nil && count >= len(h.crashes) {
			h.sentAt = now
		}
	}
	if !changed {
		return nil
	}
	return t.refresh()
}

// correctTimes returns reports whose times are not in the future and keep the order of their history, although the clocks of the routers that stated them may differ from this one's, or were set meanwhile. A time in the future would outweigh all evidence until then. Each time is moved by no more than that takes, so that none makes the others expire.
func correctTimes(now time.Time, reports []SegmentReport) []SegmentReport {
	corrected := slices.Clone(reports)
	events := map[Segment][]*SegmentReport{}
	for i := range corrected {
		if r := &corrected[i]; r.Kind != SegmentAnswered {
			events[r.Segment] = append(events[r.Segment], r)
		}
	}
	for _, history := range events {
		moveBack(now, history)
	}
	for i := range corrected {
		r := &corrected[i]
		if r.Kind != SegmentAnswered {
			continue
		}
		r.At = earlier(r.At, now)
		// A history holds only the crashes since its answer.
		for _, event := range events[r.Segment] {
			if event.Kind == SegmentCrashed {
				r.At = earlier(r.At, event.At.Add(-time.Millisecond))
			}
		}
	}
	return corrected
}

// moveBack moves the crashes and trials of a history that are in the future to the present. Those before them make room, as far apart as it takes to tell the crashes apart.
func moveBack(now time.Time, history []*SegmentReport) {
	slices.SortStableFunc(history, func(a, b *SegmentReport) int { return b.At.Compare(a.At) })
	latest, statedAt := now, now
	for i, r := range history {
		if i > 0 {
			latest = latest.Add(-min(statedAt.Sub(r.At), sameCrashWindow))
		}
		statedAt = r.At
		if ahead := r.At.Sub(latest); ahead > 0 {
			r.At = latest
			r.Dateless = r.Dateless || ahead >= sameCrashWindow
		}
		latest = r.At
	}
}

// TrialOwner returns which of the routers may begin a trial of a segment in a turn. All routers with the same view of the fleet agree without coordination.
func TrialOwner(routers []string, segment Segment, turn int) string {
	owner, highest := "", uint64(0)
	for _, router := range routers {
		score := xxhash.Sum64String(strconv.FormatUint(uint64(segment), 16) + "/" + strconv.Itoa(turn) + "/" + router)
		if owner == "" || score > highest {
			owner, highest = router, score
		}
	}
	return owner
}
