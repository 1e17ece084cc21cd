package hwversion

import (
	"maps"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

const (
	// maxListAge is how old the last list may be for the versions in it to count as those in service. Lists are polled more often than once a second.
	maxListAge = 2500 * time.Millisecond
	// restartLag is how long an upstream that has restarted at another version may be listed at the one before: entries lag by a second, and lists are up to a second old.
	restartLag = 2500 * time.Millisecond
	// newVersionTime is how long a version counts as new after it was first listed. It is longer than maxListAge, so that no router whose list is recent takes the versions before for the only ones once streams begin at the new one.
	newVersionTime = maxListAge + 500*time.Millisecond
	// minReportLead is how much later than this router a peer must have listed a version. Reports are older than they state by the time of their transfer, so without it two routers would keep a version alive by repeating each other.
	minReportLead = 500 * time.Millisecond
	// maxVersions bounds what a peer can make this router remember of a pool.
	maxVersions = 64
)

// Report is what a router knows of the versions of a pool, for its peers. Ages are relative to the time at which it was made.
type Report struct {
	Pool string
	// ObservedFor is for how long no version in service can have been missed.
	ObservedFor time.Duration
	// Ages is how long ago each version was last listed.
	Ages map[hwplace.VersionHash]time.Duration
}

// History is what is known of the versions of a pool that are, or were lately, in service. It is not safe for concurrent use.
type History struct {
	// since is the time from which no version in service can have been missed; listedAt is that of the last list.
	since    time.Time
	listedAt time.Time
	// lastListed is when each version was last listed.
	lastListed map[hwplace.VersionHash]time.Time
	// newSince is when each version of the last list was first listed, without those of the first list.
	newSince map[hwplace.VersionHash]time.Time
	// versions are those of the upstreams of the last list, and restarts those at which upstreams were listed at another version than before, the latest last.
	versions map[hwplace.IDHash]hwplace.VersionHash
	restarts map[hwplace.IDHash][]restart
}

// restart is the start of an upstream at another version than before.
type restart struct {
	listedAt time.Time
	version  hwplace.VersionHash
}

// NewHistory returns a history without a list.
func NewHistory() *History {
	return &History{
		lastListed: map[hwplace.VersionHash]time.Time{},
		newSince:   map[hwplace.VersionHash]time.Time{},
		versions:   map[hwplace.IDHash]hwplace.VersionHash{},
		restarts:   map[hwplace.IDHash][]restart{},
	}
}

// Observe records a list of the pool's upstreams. Versions that were last listed longer ago than the given time are forgotten.
func (h *History) Observe(now time.Time, list []hwplace.Upstream, lifetime time.Duration) {
	if !h.isFresh(now) {
		h.since = now
	}
	isFirst := h.listedAt.IsZero()
	h.listedAt = now
	versions := make(map[hwplace.IDHash]hwplace.VersionHash, len(list))
	for _, u := range list {
		id, version := hwplace.HashID(u.ID), u.VersionHash()
		versions[id] = version
		if _, known := h.lastListed[version]; !known && !isFirst {
			h.newSince[version] = now
		}
		h.lastListed[version] = now
		if before, listed := h.versions[id]; listed && before != version {
			h.restarts[id] = append(h.restarts[id], restart{
				listedAt: now,
				version:  version,
			})
		}
	}
	h.versions = versions
	maps.DeleteFunc(h.lastListed, func(_ hwplace.VersionHash, at time.Time) bool { return now.Sub(at) > lifetime })
	maps.DeleteFunc(h.newSince, func(_ hwplace.VersionHash, since time.Time) bool { return now.Sub(since) >= newVersionTime })
	for id, restarts := range h.restarts {
		h.restarts[id] = slices.DeleteFunc(restarts, func(r restart) bool { return now.Sub(r.listedAt) > lifetime+restartLag })
	}
	maps.DeleteFunc(h.restarts, func(_ hwplace.IDHash, restarts []restart) bool { return len(restarts) == 0 })
}

// isFresh reports whether the last list is recent.
func (h *History) isFresh(now time.Time) bool {
	return !h.listedAt.IsZero() && now.Sub(h.listedAt) <= maxListAge
}

// Only returns the version at which all streams of the given time have begun, or false if that is not certain. Version 0 means that the upstreams state none.
func (h *History) Only(now time.Time, lifetime time.Duration) (hwplace.VersionHash, bool) {
	var only hwplace.VersionHash
	count := 0
	for version, at := range h.lastListed {
		if now.Sub(at) <= lifetime {
			only = version
			count++
		}
	}
	switch {
	case count != 1:
		return 0, false
	case only == 0:
		return 0, true
	default:
		return only, h.isFresh(now) && now.Sub(h.since) >= lifetime
	}
}

// CertainAfter returns the time until it can be certain at which version the streams of the given time began, if the list does not change until then.
func (h *History) CertainAfter(now time.Time, lifetime time.Duration) time.Duration {
	listed := map[hwplace.VersionHash]bool{}
	for _, version := range h.versions {
		listed[version] = true
	}
	if len(listed) != 1 {
		return lifetime
	}
	latest := h.since
	for version, at := range h.lastListed {
		if !listed[version] && at.After(latest) {
			latest = at
		}
	}
	return max(0, latest.Add(lifetime).Sub(now))
}

// Settle records that a version alone had served for the given time when this router listed its first upstreams. It has no effect if the lists show another one.
func (h *History) Settle(version hwplace.VersionHash, lifetime time.Duration) {
	if _, listed := h.lastListed[version]; listed && len(h.lastListed) == 1 {
		h.since = h.since.Add(-lifetime)
	}
}

// IsObserved reports whether no version of the given time can have been missed.
func (h *History) IsObserved(now time.Time, lifetime time.Duration) bool {
	return h.isFresh(now) && now.Sub(h.since) >= lifetime
}

// NewVersions returns the versions at which no stream should begin yet, because other routers may not have listed them.
func (h *History) NewVersions(now time.Time) []hwplace.VersionHash {
	var versions []hwplace.VersionHash
	for version, since := range h.newSince {
		if now.Sub(since) < newVersionTime {
			versions = append(versions, version)
		}
	}
	return versions
}

// Contains reports whether a version is, or was lately, in service.
func (h *History) Contains(version hwplace.VersionHash) bool {
	_, listed := h.lastListed[version]
	return listed
}

// Versions returns the number of versions that are, or were lately, in service.
func (h *History) Versions() int { return len(h.lastListed) }

// IsInDoubt reports whether a stream may have begun at another version than the stated one, because its upstream restarted at another version about then, or was listed at another one.
func (h *History) IsInDoubt(origin Origin) bool {
	if origin.Conflicting {
		return true
	}
	listed := origin.Version
	for _, r := range h.restarts[origin.Upstream] {
		if !origin.BeganAt.After(r.listedAt) {
			return listed != origin.Version || origin.BeganAt.After(r.listedAt.Add(-restartLag))
		}
		// A request that was sent before the restart was listed may have its first event after it.
		listed = r.version
	}
	return listed != origin.Version
}

// Report returns what this router knows, or false without a recent list.
func (h *History) Report(now time.Time, pool string) (Report, bool) {
	report := Report{
		Pool:        pool,
		ObservedFor: now.Sub(h.since),
		Ages:        make(map[hwplace.VersionHash]time.Duration, len(h.lastListed)),
	}
	for version, at := range h.lastListed {
		report.Ages[version] = now.Sub(at)
	}
	return report, h.isFresh(now)
}

// Merge adds what a peer knows.
func (h *History) Merge(now time.Time, report Report) {
	if !h.isFresh(now) {
		return
	}
	for _, version := range slices.Sorted(maps.Keys(report.Ages)) {
		at := now.Add(-report.Ages[version])
		if len(h.lastListed) < maxVersions && at.After(h.lastListed[version].Add(minReportLead)) {
			h.lastListed[version] = at
		}
	}
	if since := now.Add(-report.ObservedFor); since.Before(h.since) {
		h.since = since
	}
}
