package hwplace

import (
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// VersionHash identifies the version of the software of a pool's upstreams in messages between routers. 0 is no version.
type VersionHash uint32

// VersionHash returns the hash of the upstream's pool and version, or 0 if it states no version.
func (u Upstream) VersionHash() VersionHash {
	if u.Version == "" {
		return 0
	}
	// Two versions in service at the same time have the same 32 bits once in some billions.
	return max(1, VersionHash(hwprompt.HashUpstreamID(u.Pool+"\x00"+u.Version)))
}

// isOfVersion reports whether the upstream has the wanted version; 0 is any.
func (s *upstreamState) isOfVersion(wanted VersionHash) bool {
	return wanted == 0 || s.version == wanted
}

// HasVersion reports whether an upstream of the version is listed that does not leave.
func (p *Pool) HasVersion(now time.Time, version VersionHash) bool {
	return slices.ContainsFunc(p.ordered, func(s *upstreamState) bool { return s.version == version && !s.isLeaving(now) })
}
