package hwquarantine

import (
	"cmp"
	"slices"
)

// recordEntry is a segment that is worth recording.
type recordEntry struct {
	segment Segment
	history *segmentHistory
}

// compare orders entries by importance, the most important first.
func (e recordEntry) compare(other recordEntry) int {
	h, o := e.history, other.history
	switch {
	case h.quarantined != o.quarantined:
		if h.quarantined {
			return -1
		}
		return 1
	case len(h.crashes) != len(o.crashes):
		return cmp.Compare(len(o.crashes), len(h.crashes))
	default:
		// Unlike the time of the last update, that of the last crash is nearly the same at all routers.
		return cmp.Or(o.lastCrash().Compare(h.lastCrash()), cmp.Compare(e.segment, other.segment))
	}
}

// minRecordedCrashes is the number of crashes since its last answer from which a segment is recorded that was answered before. Each crash of another cause leaves many segments with one, until their next answer.
const minRecordedCrashes = 2

// isRecorded reports whether a history is evidence that must not be lost.
func (h *segmentHistory) isRecorded() bool {
	if h.answeredBefore && !h.quarantined {
		return len(h.crashes) >= minRecordedCrashes
	}
	return len(h.crashes) > 0
}

// Record returns the reports that a fleet has to keep beyond the lifetime of its routers: those about segments that are quarantined or under suspicion, of at most limit segments. The most important ones come first.
func (t *SegmentTracker) Record(limit int) []SegmentReport {
	// Thousands of segments may be under suspicion, so only the most important ones are sorted.
	var entries []recordEntry
	for segment, h := range t.histories {
		if !h.isRecorded() {
			continue
		}
		entry := recordEntry{
			segment: segment,
			history: h,
		}
		if i, _ := slices.BinarySearchFunc(entries, entry, recordEntry.compare); i < limit {
			entries = slices.Insert(entries[:min(len(entries), limit-1)], i, entry)
		}
	}
	var reports []SegmentReport
	for _, e := range entries {
		reports = append(reports, e.history.reports(e.segment)...)
	}
	return reports
}
