package hwquarantine

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Segment identifies what may crash an upstream: a segment of prompts (PromptSegment) or a whole request (RequestIdentity).
type Segment uint64

// RequestIdentity returns the identity of a whole request, which is the same for each repetition.
func RequestIdentity(account, path string, bodyHash uint64) Segment {
	return Segment(xxhash.Sum64String(account+"\x00"+path+"\x00"+strconv.FormatUint(bodyHash, 16))) | requestBit
}

// PromptSegment returns the identity of a segment of prompts from a hash of its model and content.
func PromptSegment(hash uint64) Segment { return Segment(hash) &^ requestBit }

// requestBit is set in the identities of whole requests.
const requestBit Segment = 1 << 63

// IsRequest reports whether the identity is that of a whole request.
func (s Segment) IsRequest() bool { return s&requestBit != 0 }

// String returns the form in which logs show a segment.
func (s Segment) String() string { return strconv.FormatUint(uint64(s), 16) }

// UpstreamHash is a hash of an upstream's address. A faulty host that crashes again and again is one upstream, whatever ids its processes get.
type UpstreamHash uint32

// SegmentSettings are the limits of a SegmentTracker.
type SegmentSettings struct {
	// MinCrashes is how many upstreams must have crashed under a segment that was never answered to quarantine it.
	MinCrashes int
	// MinCrashesAnswered is the same for a segment that was answered before. Crashes that another segment explains don't count.
	MinCrashesAnswered int
	// SuspicionTTL is how long a crash counts against a segment that is not quarantined.
	SuspicionTTL time.Duration
	// QuarantineTTL is how long after its last crash a quarantined segment is forgotten.
	QuarantineTTL time.Duration
	// FirstTrialDelay is the time from the last crash, or the last trial, to the first trial of a quarantined segment. Each further trial takes TrialBackoff times as long, and after MaxTrials there is none.
	FirstTrialDelay time.Duration
	TrialBackoff    float64
	MaxTrials       int
	// CautiousTrialDelay is the time to the first trial of a segment that is quarantined after fewer than MinCrashes.
	CautiousTrialDelay time.Duration
	// Isolation limits the trials of a router that no other can find.
	Isolation IsolationSettings
	// Caution bounds the time after a start in which one crash is enough for a quarantine.
	Caution CautionSettings
	// TrialTurn is how long one router alone may begin a trial that is due. After it the turn passes to the next router, because the first may get no request with the segment.
	TrialTurn time.Duration
	// MaxSegments limits the segments with crashes in memory, some 300 bytes each; AnsweredSegments is how many answered ones are remembered, 8 bytes each.
	MaxSegments      int
	AnsweredSegments int
}

// segmentHistory is what is known of a segment that was in flight at a crash.
type segmentHistory struct {
	// crashes are those since the last answer, in the order of their times.
	crashes []segmentCrash
	// answeredAt is the time of the last answer since the first crash; answeredBefore reports that any router saw an answer at all.
	answeredAt     time.Time
	answeredBefore bool
	// trials counts the trials since the quarantine began, trialAt is the last one's time.
	trials      int
	trialAt     time.Time
	quarantined bool
	updatedAt   time.Time
	// unsent is how many more updates to peers include this history, and sentAt when this router or a peer last sent it.
	unsent int
	sentAt time.Time
}

// outages counts the crashes that are far enough apart to have had different causes.
func (h *segmentHistory) outages() int {
	count := 0
	var last time.Time
	for _, c := range h.crashes {
		if count == 0 || c.at.Sub(last) >= outageWindow {
			count++
			last = c.at
		}
	}
	return count
}

func (h *segmentHistory) covers(crash segmentCrash) bool {
	return slices.ContainsFunc(h.crashes, crash.same)
}

// addCrash adds a crash, or its time if that was not known, and reports whether it was new.
func (h *segmentHistory) addCrash(crash segmentCrash) bool {
	if !crash.at.After(h.answeredAt) {
		return false
	}
	if i := slices.IndexFunc(h.crashes, crash.same); i >= 0 {
		known := &h.crashes[i]
		known.id = known.id.merged(crash.id)
		if !known.dateless || crash.dateless {
			return false
		}
		known.at, known.dateless, known.cautious = crash.at, false, crash.cautious
	} else {
		h.crashes = append(h.crashes, crash)
	}
	slices.SortFunc(h.crashes, func(a, b segmentCrash) int { return a.at.Compare(b.at) })
	h.crashes = h.crashes[max(0, len(h.crashes)-maxCrashesPerSegment):]
	return true
}

// answer records an answer and reports whether it was news. Crashes before it no longer count.
func (h *segmentHistory) answer(at time.Time) bool {
	h.answeredBefore = true
	if !at.After(h.answeredAt) {
		return false
	}
	h.answeredAt = at
	h.crashes = slices.DeleteFunc(h.crashes, func(c segmentCrash) bool { return !c.at.After(at) })
	h.trials = 0
	h.trialAt = time.Time{}
	return true
}

// addTrial records that count trials have begun, the last one at the given time.
func (h *segmentHistory) addTrial(at time.Time, count int) {
	if at.After(h.answeredAt) {
		h.trials = max(h.trials, count)
		h.trialAt = later(h.trialAt, at)
	}
}

// lastCrash returns the time of the last crash, or the zero time.
func (h *segmentHistory) lastCrash() time.Time {
	if len(h.crashes) == 0 {
		return time.Time{}
	}
	return h.crashes[len(h.crashes)-1].at
}

// trialDue returns when the next trial may begin, or false if there is none. It may be limited by the isolation of the router.
func (h *segmentHistory) trialDue(settings SegmentSettings, limited bool) (time.Time, bool) {
	if h.trials >= settings.MaxTrials || limited && h.trials >= settings.Isolation.MaxTrials {
		return time.Time{}, false
	}
	delay := time.Duration(float64(settings.FirstTrialDelay) * math.Pow(settings.TrialBackoff, float64(h.trials)))
	if h.trials == 0 && (limited || weight(h.crashes) < settings.MinCrashes) {
		delay = settings.CautiousTrialDelay
	}
	return later(h.lastCrash(), h.trialAt).Add(delay), true
}

// SegmentTracker finds the segments of prompts at which upstreams crash.
//
// A crash leaves many suspects: all segments of the requests that waited for their answer at that upstream. The culprit is never answered, so an answer clears a segment. Of the others, the culprit is at every crash, and the rest only at some of them. It is not safe for concurrent use.
type SegmentTracker struct {
	settings  SegmentSettings
	histories map[Segment]*segmentHistory
	answered  recentSet[Segment]
	// answeredAt is the time of the last answer to any request.
	answeredAt time.Time
	// prunedAt is when what has expired was last removed.
	prunedAt time.Time
	// caution is the state after a start.
	caution Caution
}

// NewSegmentTracker returns a tracker without crashes.
func NewSegmentTracker(settings SegmentSettings) *SegmentTracker {
	// A turn without a length would never pass to another router.
	settings.TrialTurn = max(settings.TrialTurn, time.Millisecond)
	return &SegmentTracker{
		settings:  settings,
		histories: map[Segment]*segmentHistory{},
		answered:  newRecentSet[Segment](settings.AnsweredSegments),
	}
}

// Start begins the caution of a router that starts now. A tracker that is not started is never cautious.
func (t *SegmentTracker) Start(now time.Time) {
	t.caution = NewCaution(now, t.settings.Caution)
}

// Caution returns the state after the start.
func (t *SegmentTracker) Caution() *Caution { return &t.caution }

// hasEnoughCrashes reports whether a segment that was never answered is quarantined unless another one explains its crashes.
func (t *SegmentTracker) hasEnoughCrashes(h *segmentHistory) bool {
	return weight(h.crashes) >= t.settings.MinCrashes ||
		slices.ContainsFunc(h.crashes, func(c segmentCrash) bool { return c.cautious })
}

// SegmentChange reports that a segment was quarantined or released.
type SegmentChange struct {
	Segment     Segment
	Quarantined bool
	// Crashes is the number of crashes since the last answer.
	Crashes int
}

// RecordCrash records that an upstream crashed while a request with the given segments waited for its answer there.
func (t *SegmentTracker) RecordCrash(now, at time.Time, upstream UpstreamHash, segments []Segment) []SegmentChange {
	for _, segment := range segments {
		h := t.history(now, segment)
		h.answeredBefore = h.answeredBefore || t.answered.contains(segment)
		if h.addCrash(segmentCrash{
			upstream: upstream,
			at:       at,
			id:       NewCrashID(at),
			cautious: t.caution.Covers(at),
		}) {
			h.unsent = sendsPerChange
		}
	}
	return t.refresh()
}

// RecordAnswer records that a request with the given segments was answered and that the upstream survived it.
func (t *SegmentTracker) RecordAnswer(now time.Time, segments []Segment) []SegmentChange {
	changed := false
	t.answeredAt = later(t.answeredAt, now)
	for _, segment := range segments {
		t.answered.add(segment)
		h := t.histories[segment]
		// Only the first answer after a crash is news; a popular segment gets many a second.
		if h == nil || len(h.crashes) == 0 && !h.quarantined {
			continue
		}
		h.updatedAt = now
		if h.answer(now) {
			h.unsent = sendsPerChange
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return t.refresh()
}

// RecordCached records that an engine has a segment in its cache: it has survived requests with it. Unlike an answer it does not clear the segment of crashes, because the engine may be about to crash under the first one.
func (t *SegmentTracker) RecordCached(segment Segment) { t.answered.add(segment) }

// history returns the history of a segment, which it creates if necessary.
func (t *SegmentTracker) history(now time.Time, segment Segment) *segmentHistory {
	h := t.histories[segment]
	if h == nil {
		t.evict()
		h = &segmentHistory{}
		t.histories[segment] = h
	}
	h.updatedAt = now
	return h
}

// evict removes a history if the tracker is full: of those with the fewest crashes the one that was not updated for longest, and a quarantined one only if there are no others.
func (t *SegmentTracker) evict() {
	if len(t.histories) < t.settings.MaxSegments {
		return
	}
	var victim Segment
	var least *segmentHistory
	for segment, h := range t.histories {
		if least == nil || h.lessImportantThan(least) {
			victim, least = segment, h
		}
	}
	delete(t.histories, victim)
}

func (h *segmentHistory) lessImportantThan(other *segmentHistory) bool {
	switch {
	case h.quarantined != other.quarantined:
		return other.quarantined
	case len(h.crashes) != len(other.crashes):
		return len(h.crashes) < len(other.crashes)
	default:
		return h.updatedAt.Before(other.updatedAt)
	}
}

// refresh determines again which segments are quarantined and returns the changes.
func (t *SegmentTracker) refresh() []SegmentChange {
	var candidates []*segmentHistory
	for _, h := range t.histories {
		if !h.answeredBefore && t.hasEnoughCrashes(h) {
			candidates = append(candidates, h)
		}
	}
	var changes []SegmentChange
	for segment, h := range t.histories {
		culprit := t.isCulprit(h, candidates)
		if culprit == h.quarantined {
			continue
		}
		h.quarantined = culprit
		h.unsent = max(h.unsent, 1)
		changes = append(changes, SegmentChange{
			Segment:     segment,
			Quarantined: culprit,
			Crashes:     len(h.crashes),
		})
	}
	return changes
}

// isCulprit decides whether a segment is quarantined. Candidates are the segments that were never answered and have enough crashes.
func (t *SegmentTracker) isCulprit(h *segmentHistory, candidates []*segmentHistory) bool {
	if h.answeredBefore {
		if len(h.crashes) < t.settings.MinCrashesAnswered {
			return false
		}
		var unexplained []segmentCrash
		for _, crash := range h.crashes {
			if !slices.ContainsFunc(candidates, func(c *segmentHistory) bool { return c.covers(crash) }) {
				unexplained = append(unexplained, crash)
			}
		}
		return weight(unexplained) >= t.settings.MinCrashesAnswered
	}
	if !t.hasEnoughCrashes(h) {
		return false
	}
	// A segment that only came along at some of the crashes of another one is no culprit. Two with the same crashes can't be told apart: both are held.
	return !slices.ContainsFunc(candidates, func(c *segmentHistory) bool {
		return len(c.crashes) > len(h.crashes) && !slices.ContainsFunc(h.crashes, func(crash segmentCrash) bool { return !c.covers(crash) })
	})
}

// Verdict is the decision about a request.
type Verdict struct {
	// Refused means that the request must not be sent. RetryAfter is then the time until a trial is due, or 0 if none is.
	Refused    bool
	RetryAfter time.Duration
	// Trial means that the request has quarantined segments and may be sent to find out whether they still crash upstreams. BeginTrial must be called when it is sent, and it must reach a single upstream.
	Trial bool
}

// TurnFunc reports whether it is this router's turn to begin a trial of a segment. Turns are numbered from 0.
type TurnFunc func(segment Segment, turn int) bool

// Decide decides whether a request with the given segments may be sent.
func (t *SegmentTracker) Decide(now time.Time, segments []Segment, isTurn TurnFunc) Verdict {
	verdict := Verdict{}
	var quarantined []Segment
	for _, segment := range segments {
		if h := t.histories[segment]; h != nil && h.quarantined {
			quarantined = append(quarantined, segment)
		}
	}
	for _, segment := range quarantined {
		verdict.Trial = true
		limited := t.caution.isolated && (len(quarantined) > 1 || !t.isTied(segment))
		due, planned := t.histories[segment].trialDue(t.settings, limited)
		if limited {
			due = due.Add(t.isolatedTrialDelay(segment))
		}
		if len(quarantined) > 1 {
			// A crash would tell nothing about each of them, so a request with only one of them goes first.
			due = due.Add(t.settings.FirstTrialDelay)
		}
		wait := due.Sub(now)
		switch {
		case !planned:
			verdict.Refused = true
		case wait > 0:
			verdict.Refused = true
			verdict.RetryAfter = max(verdict.RetryAfter, wait)
		case !isTurn(segment, int(-wait/t.settings.TrialTurn)):
			verdict.Refused = true
			verdict.RetryAfter = max(verdict.RetryAfter, t.settings.TrialTurn)
		}
	}
	if verdict.Refused {
		verdict.Trial = false
	}
	return verdict
}

// BeginTrial records that a request is sent as a trial of its quarantined segments.
func (t *SegmentTracker) BeginTrial(now time.Time, segments []Segment) {
	for _, segment := range segments {
		if h := t.histories[segment]; h != nil && h.quarantined {
			h.addTrial(now, h.trials+1)
			h.unsent = sendsPerChange
		}
	}
}

// Quarantined reports whether one of the segments is quarantined, with the largest number of crashes among those that are.
func (t *SegmentTracker) Quarantined(segments []Segment) (crashes int, quarantined bool) {
	for _, segment := range segments {
		if h := t.histories[segment]; h != nil && h.quarantined {
			crashes = max(crashes, len(h.crashes))
			quarantined = true
		}
	}
	return crashes, quarantined
}

// Convicted reports whether a segment is quarantined on evidence that coincidence does not explain: upstreams crashed at different times, none of them a neighbour in a single outage, while other requests were answered.
func (t *SegmentTracker) Convicted(segments []Segment) bool {
	return slices.ContainsFunc(segments, func(segment Segment) bool {
		h := t.histories[segment]
		return h != nil && h.quarantined && h.outages() >= minOutagesConvicted && t.answeredAt.After(h.crashes[0].at)
	})
}

// Suspected reports whether one of the segments was never answered and was in flight at a crash.
func (t *SegmentTracker) Suspected(segments []Segment) bool {
	return slices.ContainsFunc(segments, func(segment Segment) bool {
		h := t.histories[segment]
		return h != nil && len(h.crashes) > 0 && !h.answeredBefore
	})
}

// Unanswered returns those of the segments that are not known to have been answered.
func (t *SegmentTracker) Unanswered(segments []Segment) []Segment {
	var unanswered []Segment
	for _, segment := range segments {
		if !t.answered.contains(segment) {
			unanswered = append(unanswered, segment)
		}
	}
	return unanswered
}

// AllAnswered reports whether all of the segments are known to have been answered.
func (t *SegmentTracker) AllAnswered(segments []Segment) bool {
	return !slices.ContainsFunc(segments, func(segment Segment) bool { return !t.answered.contains(segment) })
}

// QuarantinedCount returns the number of quarantined segments.
func (t *SegmentTracker) QuarantinedCount() int {
	count := 0
	for _, h := range t.histories {
		if h.quarantined {
			count++
		}
	}
	return count
}

// prune forgets what has expired.
func (t *SegmentTracker) prune(now time.Time) []SegmentChange {
	maps.DeleteFunc(t.histories, func(_ Segment, h *segmentHistory) bool {
		if h.quarantined {
			return now.Sub(h.lastCrash()) > t.settings.QuarantineTTL
		}
		h.crashes = slices.DeleteFunc(h.crashes, func(c segmentCrash) bool { return now.Sub(c.at) > t.settings.SuspicionTTL })
		return len(h.crashes) == 0 && now.Sub(h.updatedAt) > t.settings.SuspicionTTL
	})
	return t.refresh()
}

// HasCrashes reports whether any segment is under suspicion or quarantined.
func (t *SegmentTracker) HasCrashes() bool {
	for _, h := range t.histories {
		if len(h.crashes) > 0 {
			return true
		}
	}
	return false
}
