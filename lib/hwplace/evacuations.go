package hwplace

import (
	"maps"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwrevision"
)

// EvacuatedZones are the availability zones under evacuation as of a revision of the store. The zero value is older than every set that was read.
type EvacuatedZones struct {
	Revision hwrevision.Revision
	Zones    []string
}

// restorationTTL is how long a restored zone is remembered. Everything that depends on a restoration, such as the return of traffic in steps, ends within some seconds.
const restorationTTL = time.Hour

// evacuation is the state of a zone that is or was evacuated.
type evacuation struct {
	active bool
	// restoredAt is when the last evacuation ended, or zero while one is active.
	restoredAt time.Time
}

// Evacuations are the availability zones whose upstreams must not get requests, because the operators evacuate them. Pools share them. They are not safe for concurrent use.
type Evacuations struct {
	revision hwrevision.Revision
	byZone   map[string]*evacuation
}

// NewEvacuations returns Evacuations without an evacuated zone.
func NewEvacuations() *Evacuations {
	return &Evacuations{
		byZone: map[string]*evacuation{},
	}
}

// Set replaces the set of evacuated zones, and returns in sorted order the zones that were not evacuated before and those that are no longer. A set with an earlier revision than the current one is ignored, so that delayed or duplicated messages undo nothing.
func (v *Evacuations) Set(now time.Time, revision hwrevision.Revision, zones []string) (evacuated, restored []string) {
	if revision.IsBefore(v.revision) {
		return nil, nil
	}
	v.revision = revision
	for _, zone := range zones {
		e := v.byZone[zone]
		if e == nil {
			e = &evacuation{}
			v.byZone[zone] = e
		}
		if !e.active {
			e.active = true
			e.restoredAt = time.Time{}
			evacuated = append(evacuated, zone)
		}
	}
	for zone, e := range v.byZone {
		switch {
		case e.active && !slices.Contains(zones, zone):
			e.active = false
			e.restoredAt = now
			restored = append(restored, zone)
		case !e.active && now.Sub(e.restoredAt) > restorationTTL:
			delete(v.byZone, zone)
		}
	}
	slices.Sort(evacuated)
	slices.Sort(restored)
	return evacuated, restored
}

// Revision returns the revision of the current set.
func (v *Evacuations) Revision() hwrevision.Revision { return v.revision }

// IsEvacuated reports whether a zone is evacuated.
func (v *Evacuations) IsEvacuated(zone string) bool {
	e := v.byZone[zone]
	return e != nil && e.active
}

// RestoredAt returns when the last evacuation of a zone ended. It is zero if the zone is evacuated, or has not been evacuated within the last hour.
func (v *Evacuations) RestoredAt(zone string) time.Time {
	if e := v.byZone[zone]; e != nil {
		return e.restoredAt
	}
	return time.Time{}
}

// Zones returns in sorted order the zones that are evacuated or were restored within the last hour.
func (v *Evacuations) Zones() []string { return slices.Sorted(maps.Keys(v.byZone)) }

// allowedRequests returns how many requests of this router an upstream of a zone may have at the same time: none while the zone is evacuated, and more and more of its slots once it is restored.
func (v *Evacuations) allowedRequests(now time.Time, zone string, slots int) int {
	e := v.byZone[zone]
	switch {
	case e == nil:
		return maxRequests
	case e.active:
		return 0
	default:
		return recoveringRequests(now.Sub(e.restoredAt), slots)
	}
}

// recoveringRequests returns how many requests an upstream may have at the same time, a given time after it takes requests again.
func recoveringRequests(elapsed time.Duration, slots int) int {
	if elapsed >= recoveryTime {
		return maxRequests
	}
	return 1 + int(float64(slots)*max(0, elapsed).Seconds()/recoveryTime.Seconds())
}

// isEvacuated reports whether an upstream's zone is evacuated.
func (p *Pool) isEvacuated(s *upstreamState) bool { return p.evacuations.IsEvacuated(s.upstream.Zone) }

// allowedRequests returns how many requests of this router an upstream may have at the same time, by what it says of itself and by the evacuation of its zone.
func (p *Pool) allowedRequests(now time.Time, s *upstreamState) int {
	return min(s.notice.allowedRequests(now, s.upstream.Slots), p.evacuations.allowedRequests(now, s.upstream.Zone, s.upstream.Slots))
}

// takesRequests reports whether an upstream may get a request of this router: it neither leaves nor pauses, its zone is not evacuated, and it is not busy with its first requests after a pause or an evacuation.
func (p *Pool) takesRequests(now time.Time, s *upstreamState) bool {
	return !s.isLeaving(now) && s.running < p.allowedRequests(now, s)
}

// EvacuatedUpstreams returns the number of upstreams in evacuated zones, without those that leave anyway.
func (p *Pool) EvacuatedUpstreams(now time.Time) int {
	count := 0
	for _, s := range p.ordered {
		if p.isEvacuated(s) && !s.isLeaving(now) {
			count++
		}
	}
	return count
}
