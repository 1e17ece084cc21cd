// Package hwquarantine keeps a request that crashes upstreams from crashing more of them.
//
// A request has a fingerprint. A strike says that an upstream crashed while the request was in flight there. Two strikes at separate upstreams quarantine the fingerprint for a bounded time; a bystander that is answered elsewhere is cleared.
package hwquarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint names a request: its account, route and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(account, path string, body uint64) Fingerprint {
	return Fingerprint(xxhash.Sum64String(account + "\x00" + path + "\x00" + strconv.FormatUint(body, 16)))
}

// CrashReport says that an upstream crashed with a request in flight, or, if Cleared is set, that the request was answered well at that time.
type CrashReport struct {
	Fingerprint Fingerprint
	Upstream    string
	OccurredAt  time.Time
	Cleared     bool
}

// Settings bound the guard in time and memory.
type Settings struct {
	// ReportTTL is how long a strike counts, and so the longest time in quarantine after the last crash.
	ReportTTL time.Duration
	// MinUpstreams is how many separate upstreams must have crashed.
	MinUpstreams int
	// MaxFingerprints bounds the fingerprints that are remembered.
	MaxFingerprints int
}

type entry struct {
	strikes   map[string]time.Time
	clearedAt time.Time
	touched   time.Time
}

// CrashTracker remembers strikes.
type CrashTracker struct {
	settings Settings
	entries  map[Fingerprint]*entry
}

// New returns a guard without strikes.
func New(settings Settings) *CrashTracker {
	return &CrashTracker{
		settings: settings,
		entries:  map[Fingerprint]*entry{},
	}
}

// Merge takes strikes, own ones or those of peers, in any order and any number of times. It returns the fingerprints that are quarantined because of them.
func (g *CrashTracker) Merge(now time.Time, strikes ...CrashReport) []Fingerprint {
	var quarantined []Fingerprint
	for _, s := range strikes {
		if now.Sub(s.OccurredAt) > g.settings.ReportTTL {
			continue
		}
		before := g.count(now, s.Fingerprint)
		g.take(now, s)
		if before < g.settings.MinUpstreams && g.count(now, s.Fingerprint) >= g.settings.MinUpstreams {
			quarantined = append(quarantined, s.Fingerprint)
		}
	}
	return quarantined
}

func (g *CrashTracker) take(now time.Time, s CrashReport) {
	e := g.entries[s.Fingerprint]
	if e == nil {
		g.makeRoom()
		e = &entry{
			strikes: map[string]time.Time{},
		}
		g.entries[s.Fingerprint] = e
	}
	e.touched = now
	if s.Cleared {
		e.clearedAt = later(e.clearedAt, s.OccurredAt)
		return
	}
	e.strikes[s.Upstream] = later(e.strikes[s.Upstream], s.OccurredAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// makeRoom forgets the fingerprint that was touched longest ago.
func (g *CrashTracker) makeRoom() {
	if len(g.entries) < g.settings.MaxFingerprints {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(g.entries)), func(a, b Fingerprint) int {
		return cmp.Or(g.entries[a].touched.Compare(g.entries[b].touched), cmp.Compare(a, b))
	})
	delete(g.entries, oldest)
}

// count returns at how many separate upstreams strikes count at present.
func (g *CrashTracker) count(now time.Time, fingerprint Fingerprint) int {
	e := g.entries[fingerprint]
	if e == nil {
		return 0
	}
	count := 0
	for _, at := range e.strikes {
		if at.After(e.clearedAt) && now.Sub(at) <= g.settings.ReportTTL {
			count++
		}
	}
	return count
}

// Quarantined reports whether a request must not run now, and until when.
func (g *CrashTracker) Quarantined(now time.Time, fingerprint Fingerprint) (time.Time, bool) {
	if g.count(now, fingerprint) < g.settings.MinUpstreams {
		return time.Time{}, false
	}
	times := slices.SortedFunc(maps.Values(g.entries[fingerprint].strikes), func(a, b time.Time) int { return b.Compare(a) })
	// It is free as soon as fewer strikes than the bound are left in the window.
	return times[g.settings.MinUpstreams-1].Add(g.settings.ReportTTL), true
}

// IsSuspect reports whether a request was in flight at a crash and has not been answered since. It should not share an upstream with other suspects.
func (g *CrashTracker) IsSuspect(now time.Time, fingerprint Fingerprint) bool {
	return g.count(now, fingerprint) > 0
}

// Prune forgets what no longer counts.
func (g *CrashTracker) Prune(now time.Time) {
	for fingerprint, e := range g.entries {
		if now.Sub(e.touched) > g.settings.ReportTTL {
			delete(g.entries, fingerprint)
		}
	}
}

// Reports returns what counts at present, for peers that have not heard of it, the latest first and at most limit.
func (g *CrashTracker) Reports(now time.Time, limit int) []CrashReport {
	var all []CrashReport
	for fingerprint, e := range g.entries {
		for upstream, at := range e.strikes {
			if now.Sub(at) <= g.settings.ReportTTL {
				all = append(all, CrashReport{
					Fingerprint: fingerprint,
					Upstream:    upstream,
					OccurredAt:  at,
				})
			}
		}
		if !e.clearedAt.IsZero() && now.Sub(e.clearedAt) <= g.settings.ReportTTL {
			all = append(all, CrashReport{
				Fingerprint: fingerprint,
				OccurredAt:  e.clearedAt,
				Cleared:     true,
			})
		}
	}
	slices.SortFunc(all, func(a, b CrashReport) int {
		return cmp.Or(b.OccurredAt.Compare(a.OccurredAt), cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Upstream, b.Upstream))
	})
	return all[:min(len(all), limit)]
}

// HasCrashes reports whether strikes are remembered for a request.
func (g *CrashTracker) HasCrashes(fingerprint Fingerprint) bool {
	e := g.entries[fingerprint]
	return e != nil && len(e.strikes) > 0
}
