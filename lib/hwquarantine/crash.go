package hwquarantine

import (
	"slices"
	"time"
)

const (
	// sameCrashWindow is the time within which reports of one upstream are about the same crash. Routers detect a crash up to a second apart, and a restart takes longer.
	sameCrashWindow = 2 * time.Second
	// outageWindow is the time within which the crashes of several upstreams may be one outage, and minOutagesConvicted how many outages no coincidence explains.
	outageWindow        = 250 * time.Millisecond
	minOutagesConvicted = 3
	// maxCrashesPerSegment limits the crashes that are kept of one segment. More of them decide nothing.
	maxCrashesPerSegment = 16
)

// CrashID identifies a crash of an upstream in all reports about it, because clocks differ and the times of a record are not certain. 0 is not known.
type CrashID uint32

// NewCrashID returns the identity of a crash that a router saw at the given time of its clock: the time's milliseconds, whose lowest 32 bits repeat after 49 days.
func NewCrashID(at time.Time) CrashID { return max(1, CrashID(uint32(at.UnixMilli()))) }

// merged returns the identity that all routers agree on if several have seen the crash.
func (id CrashID) merged(other CrashID) CrashID {
	if id == 0 || other == 0 {
		return max(id, other)
	}
	return min(id, other)
}

// segmentCrash is a crash of an upstream while an unanswered request with the segment was in flight there.
type segmentCrash struct {
	upstream UpstreamHash
	at       time.Time
	id       CrashID
	// dateless is set if it is not known when the crash was, only that it was before the report.
	dateless bool
	// cautious is set if the router was cautious at the time of the crash, so that this one is enough.
	cautious bool
}

// same reports whether two reports are about the same crash.
func (c segmentCrash) same(other segmentCrash) bool {
	return c.upstream == other.upstream && (c.id != 0 && c.id == other.id || c.at.Sub(other.at).Abs() < sameCrashWindow)
}

// weight counts the upstreams among the crashes. Further crashes of the same upstream count half, so that a pool with a single upstream is protected too.
func weight(crashes []segmentCrash) int {
	upstreams := 0
	for i, c := range crashes {
		if !slices.ContainsFunc(crashes[:i], func(earlier segmentCrash) bool { return earlier.upstream == c.upstream }) {
			upstreams++
		}
	}
	return upstreams + (len(crashes)-upstreams)/2
}
