// Package hwquarantine stops requests that crash upstreams (poison pills) from crashing more of them.
//
// SegmentTracker finds the whole requests, and the segments of prompts, at which upstreams crash; Exposures keeps what an upstream has executed until it is known to have outlived it. CrashTracker is the simpler policy of the OpenAI edge for whole requests.
//
// There, requests are identified by a fingerprint. A crash report states that an upstream crashed while the request was in flight there. Reports of crashes at two different upstreams quarantine the fingerprint for a limited time. A request that was only in flight by coincidence is cleared when another upstream completes it.
package hwquarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by a hash of its account, route and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(account, path string, bodyHash uint64) Fingerprint {
	return Fingerprint(xxhash.Sum64String(account + "\x00" + path + "\x00" + strconv.FormatUint(bodyHash, 16)))
}

// CrashReport states that an upstream crashed at OccurredAt while a request was in flight there, or, if Cleared is set, that the request was completed successfully at that time.
type CrashReport struct {
	Fingerprint Fingerprint
	Upstream    string
	OccurredAt  time.Time
	Cleared     bool
	// ID identifies the crash or completion among those of its request and upstream, wherever its report has been: milliseconds since 1970 at the clock of whoever saw it. If it is 0, OccurredAt states it.
	ID int64
	// ByClock states that OccurredAt is the time of another instance's clock.
	ByClock bool
}

// occurrence is a crash or a completion.
type occurrence struct {
	at time.Time
	id int64
	// byClock is set if the time is that of another instance's clock.
	byClock bool
}

// merged returns the later of two occurrences. Of two reports of the same one, it returns the earlier: a report is late by as long as it was on its way, and must not grow younger from one instance to the next. A time by the clock of another instance only counts without a better one.
func (o occurrence) merged(other occurrence) occurrence {
	replaces := other.at.After(o.at)
	if o.id == other.id {
		replaces = other.at.Before(o.at)
		if o.byClock != other.byClock {
			replaces = o.byClock
		}
	}
	if replaces {
		return other
	}
	return o
}

// Settings are the limits of a CrashTracker.
type Settings struct {
	// ReportTTL is how long a crash report counts. It is also the maximum time in quarantine after the last crash.
	ReportTTL time.Duration
	// MinUpstreams is how many different upstreams must have crashed to quarantine a request.
	MinUpstreams int
	// MaxFingerprints limits the number of fingerprints in memory.
	MaxFingerprints int
}

type crashHistory struct {
	// crashes holds the latest crash by upstream.
	crashes   map[string]occurrence
	cleared   occurrence
	updatedAt time.Time
}

// CrashTracker keeps crash reports and determines which requests are quarantined.
type CrashTracker struct {
	settings  Settings
	histories map[Fingerprint]*crashHistory
}

// New returns a CrashTracker without reports.
func New(settings Settings) *CrashTracker {
	return &CrashTracker{
		settings:  settings,
		histories: map[Fingerprint]*crashHistory{},
	}
}

// Merge adds crash reports of this instance or of its peers. Reports may arrive in any order and any number of times. It returns the fingerprints that are newly quarantined.
func (t *CrashTracker) Merge(now time.Time, reports ...CrashReport) []Fingerprint {
	var quarantined []Fingerprint
	for _, r := range reports {
		if now.Sub(r.OccurredAt) > t.settings.ReportTTL {
			continue
		}
		crashedBefore := t.crashedUpstreams(now, r.Fingerprint)
		t.apply(now, r)
		if crashedBefore < t.settings.MinUpstreams && t.crashedUpstreams(now, r.Fingerprint) >= t.settings.MinUpstreams {
			quarantined = append(quarantined, r.Fingerprint)
		}
	}
	return quarantined
}

func (t *CrashTracker) apply(now time.Time, r CrashReport) {
	h := t.histories[r.Fingerprint]
	if h == nil {
		t.evictLeastRecent()
		h = &crashHistory{
			crashes: map[string]occurrence{},
		}
		t.histories[r.Fingerprint] = h
	}
	h.updatedAt = now
	reported := occurrence{
		at:      r.OccurredAt,
		id:      cmp.Or(r.ID, r.OccurredAt.UnixMilli()),
		byClock: r.ByClock,
	}
	if r.Cleared {
		h.cleared = h.cleared.merged(reported)
		return
	}
	h.crashes[r.Upstream] = h.crashes[r.Upstream].merged(reported)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// evictLeastRecent removes the least recently updated fingerprint if the tracker is full.
func (t *CrashTracker) evictLeastRecent() {
	if len(t.histories) < t.settings.MaxFingerprints {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.histories)), func(a, b Fingerprint) int {
		return cmp.Or(t.histories[a].updatedAt.Compare(t.histories[b].updatedAt), cmp.Compare(a, b))
	})
	delete(t.histories, oldest)
}

// crashedUpstreams returns how many different upstreams crashed with the request in flight, within ReportTTL and since the request was last cleared.
func (t *CrashTracker) crashedUpstreams(now time.Time, fingerprint Fingerprint) int {
	h := t.histories[fingerprint]
	if h == nil {
		return 0
	}
	count := 0
	for _, crash := range h.crashes {
		if crash.at.After(h.cleared.at) && now.Sub(crash.at) <= t.settings.ReportTTL {
			count++
		}
	}
	return count
}

// Quarantined reports whether a request is quarantined, and until when.
func (t *CrashTracker) Quarantined(now time.Time, fingerprint Fingerprint) (time.Time, bool) {
	if t.crashedUpstreams(now, fingerprint) < t.settings.MinUpstreams {
		return time.Time{}, false
	}
	crashes := slices.SortedFunc(maps.Values(t.histories[fingerprint].crashes), func(a, b occurrence) int { return b.at.Compare(a.at) })
	// The quarantine ends when fewer than MinUpstreams reports remain within ReportTTL.
	return crashes[t.settings.MinUpstreams-1].at.Add(t.settings.ReportTTL), true
}

// IsSuspect reports whether a request was in flight at a crash and has not been cleared since. Suspects should not share an upstream.
func (t *CrashTracker) IsSuspect(now time.Time, fingerprint Fingerprint) bool {
	return t.crashedUpstreams(now, fingerprint) > 0
}

// Prune removes the fingerprints that were not updated within ReportTTL.
func (t *CrashTracker) Prune(now time.Time) {
	for fingerprint, h := range t.histories {
		if now.Sub(h.updatedAt) > t.settings.ReportTTL {
			delete(t.histories, fingerprint)
		}
	}
}

// QuarantinedReports is Reports for the quarantined requests only.
func (t *CrashTracker) QuarantinedReports(now time.Time, limit int) []CrashReport {
	reports := slices.DeleteFunc(t.Reports(now, math.MaxInt), func(r CrashReport) bool {
		_, quarantined := t.Quarantined(now, r.Fingerprint)
		return !quarantined
	})
	return reports[:min(len(reports), limit)]
}

// Reports returns the reports within ReportTTL for sending to peers, the latest first and at most limit.
func (t *CrashTracker) Reports(now time.Time, limit int) []CrashReport {
	var all []CrashReport
	for fingerprint, h := range t.histories {
		for upstream, crash := range h.crashes {
			if now.Sub(crash.at) <= t.settings.ReportTTL {
				all = append(all, CrashReport{
					Fingerprint: fingerprint,
					Upstream:    upstream,
					OccurredAt:  crash.at,
					ID:          crash.id,
				})
			}
		}
		if !h.cleared.at.IsZero() && now.Sub(h.cleared.at) <= t.settings.ReportTTL {
			all = append(all, CrashReport{
				Fingerprint: fingerprint,
				OccurredAt:  h.cleared.at,
				Cleared:     true,
				ID:          h.cleared.id,
			})
		}
	}
	slices.SortFunc(all, func(a, b CrashReport) int {
		return cmp.Or(b.OccurredAt.Compare(a.OccurredAt), cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Upstream, b.Upstream))
	})
	return all[:min(len(all), limit)]
}

// HasCrashes reports whether any crash is recorded for a request.
func (t *CrashTracker) HasCrashes(fingerprint Fingerprint) bool {
	h := t.histories[fingerprint]
	return h != nil && len(h.crashes) > 0
}
