package hwquarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IsolationSettings are the limits of a router that hears no peer and that no peer could find. It can't know whether it is the only one, so it acts as one of several that see the same requests and don't hear each other. They apply to trials of a segment that is the only suspect of its crashes, and of several segments together. One that can't be told apart from another is probably sound: a request with it alone is tried as usual.
type IsolationSettings struct {
	// Router is the name by which the routers' trials are spread.
	Router string
	// MaxTrials is the number of trials after which there is none as long as the isolation lasts, those included that the list has shown.
	MaxTrials int
	// TrialSpread is the time over which the routers' trials are spread, well above the time after which the list shows that an upstream has crashed.
	TrialSpread time.Duration
}

// ownCrashTTL is how long after a crash that a router has seen the list may show its result.
const ownCrashTTL = 30 * time.Second

// RecordEnd records that the list shows the end of an upstream's lifetime without notice. If this router has seen no crash there and is isolated, it may be the result of a trial at another router, for each segment that it holds.
func (t *SegmentTracker) RecordEnd(now time.Time, upstream UpstreamHash) {
	if !t.caution.isolated || t.hasCrashed(now, upstream) {
		return
	}
	for segment, h := range t.histories {
		if !h.quarantined || h.trials >= t.settings.Isolation.MaxTrials || now.Sub(h.crashes[0].at) < t.settings.CautiousTrialDelay || t.isTied(segment) {
			// It has no trials left, nobody has held it for long enough to try it, or it may be sound.
			continue
		}
		h.addTrial(now, h.trials+1)
		h.unsent = sendsPerChange
	}
}

// hasCrashed reports whether this router knows a crash that explains that an upstream has ended.
func (t *SegmentTracker) hasCrashed(now time.Time, upstream UpstreamHash) bool {
	for _, h := range t.histories {
		if h.hasCrashed(now, upstream) {
			return true
		}
	}
	return false
}

// isTied reports whether a quarantined segment of prompts has the same crashes as another one. Whole requests don't count: each has crashes in common with its segments.
func (t *SegmentTracker) isTied(segment Segment) bool {
	h := t.histories[segment]
	for other, o := range t.histories {
		if other == segment || other.IsRequest() || segment.IsRequest() || !o.quarantined || len(o.crashes) != len(h.crashes) {
			continue
		}
		if !slices.ContainsFunc(h.crashes, func(c segmentCrash) bool { return !o.covers(c) }) {
			return true
		}
	}
	return false
}

// hasCrashed reports whether one of the last crashes was at the upstream.
func (h *segmentHistory) hasCrashed(now time.Time, upstream UpstreamHash) bool {
	for _, c := range h.crashes {
		if c.upstream == upstream && now.Sub(c.at) < ownCrashTTL {
			return true
		}
	}
	return false
}

// isolatedTrialDelay returns how much later than usual an isolated router tries a segment: all routers that hold it would do so at the same time otherwise.
func (t *SegmentTracker) isolatedTrialDelay(segment Segment) time.Duration {
	settings := t.settings.Isolation
	if settings.TrialSpread <= 0 {
		return 0
	}
	hash := xxhash.Sum64String(settings.Router + "/" + strconv.FormatUint(uint64(segment), 16))
	return time.Duration(hash % uint64(settings.TrialSpread))
}
