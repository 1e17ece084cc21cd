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

// Strike says that an upstream crashed with a request in flight, or, if Cleared is set, that the request was answered well at that time.
type Strike struct {
	Fingerprint Fingerprint
	Upstream    string
	At          time.Time
	Cleared     bool
}

// Settings bound the guard in time and memory.
type Settings struct {
	// Window is how long a strike counts, and so the longest time in quarantine after the last crash.
	Window time.Duration
	// Upstreams is how many separate upstreams must have crashed.
	Upstreams int
	// Entries bounds the fingerprints that are remembered.
	Entries int
}

type entry struct {
	strikes   map[string]time.Time
	clearedAt time.Time
	touched   time.Time
}

// Guard remembers strikes.
type Guard struct {
	settings Settings
	entries  map[Fingerprint]*entry
}

// New returns a guard without strikes.
func New(settings Settings) *Guard {
	return &Guard{
		settings: settings,
		entries:  map[Fingerprint]*entry{},
	}
}

// Merge takes strikes, own ones or those of peers, in any order and any number of times. It returns the fingerprints that are quarantined because of them.
func (g *Guard) Merge(now time.Time, strikes ...Strike) []Fingerprint {
	var quarantined []Fingerprint
	for _, s := range strikes {
		if now.Sub(s.At) > g.settings.Window {
			continue
		}
		before := g.count(now, s.Fingerprint)
		g.take(now, s)
		if before < g.settings.Upstreams && g.count(now, s.Fingerprint) >= g.settings.Upstreams {
			quarantined = append(quarantined, s.Fingerprint)
		}
	}
	return quarantined
}

func (g *Guard) take(now time.Time, s Strike) {
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
		e.clearedAt = later(e.clearedAt, s.At)
		return
	}
	e.strikes[s.Upstream] = later(e.strikes[s.Upstream], s.At)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// makeRoom forgets the fingerprint that was touched longest ago.
func (g *Guard) makeRoom() {
	if len(g.entries) < g.settings.Entries {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(g.entries)), func(a, b Fingerprint) int {
		return cmp.Or(g.entries[a].touched.Compare(g.entries[b].touched), cmp.Compare(a, b))
	})
	delete(g.entries, oldest)
}

// count returns at how many separate upstreams strikes count at present.
func (g *Guard) count(now time.Time, fingerprint Fingerprint) int {
	e := g.entries[fingerprint]
	if e == nil {
		return 0
	}
	count := 0
	for _, at := range e.strikes {
		if at.After(e.clearedAt) && now.Sub(at) <= g.settings.Window {
			count++
		}
	}
	return count
}

// Quarantined reports whether a request must not run now, and until when.
func (g *Guard) Quarantined(now time.Time, fingerprint Fingerprint) (time.Time, bool) {
	if g.count(now, fingerprint) < g.settings.Upstreams {
		return time.Time{}, false
	}
	times := slices.SortedFunc(maps.Values(g.entries[fingerprint].strikes), func(a, b time.Time) int { return b.Compare(a) })
	// It is free as soon as fewer strikes than the bound are left in the window.
	return times[g.settings.Upstreams-1].Add(g.settings.Window), true
}

// Suspect reports whether a request was in flight at a crash and has not been answered since. It should not share an upstream with other suspects.
func (g *Guard) Suspect(now time.Time, fingerprint Fingerprint) bool {
	return g.count(now, fingerprint) > 0
}

// Prune forgets what no longer counts.
func (g *Guard) Prune(now time.Time) {
	for fingerprint, e := range g.entries {
		if now.Sub(e.touched) > g.settings.Window {
			delete(g.entries, fingerprint)
		}
	}
}

// Strikes returns what counts at present, for peers that have not heard of it, the latest first and at most limit.
func (g *Guard) Strikes(now time.Time, limit int) []Strike {
	var all []Strike
	for fingerprint, e := range g.entries {
		for upstream, at := range e.strikes {
			if now.Sub(at) <= g.settings.Window {
				all = append(all, Strike{
					Fingerprint: fingerprint,
					Upstream:    upstream,
					At:          at,
				})
			}
		}
		if !e.clearedAt.IsZero() && now.Sub(e.clearedAt) <= g.settings.Window {
			all = append(all, Strike{
				Fingerprint: fingerprint,
				At:          e.clearedAt,
				Cleared:     true,
			})
		}
	}
	slices.SortFunc(all, func(a, b Strike) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Upstream, b.Upstream))
	})
	return all[:min(len(all), limit)]
}

// Struck reports whether strikes are remembered for a request.
func (g *Guard) Struck(fingerprint Fingerprint) bool {
	e := g.entries[fingerprint]
	return e != nil && len(e.strikes) > 0
}
