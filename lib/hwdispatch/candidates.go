package hwdispatch

import (
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwroute"
)

// slowProbeInterval is how often a slow upstream gets one probe request while faster upstreams have free slots, to detect its recovery.
const slowProbeInterval = 5 * time.Second

// candidates returns those of the given upstreams, all of which have a free slot, to which a request may be sent now.
//
// An unreachable upstream is left out during its backoff, unless the whole pool is unreachable: then requests fail at once instead of waiting. One that has asked for a pause is left out in any case. A slow upstream is left out while a faster one has a free slot, except for periodic probes. If only slow upstreams have free slots, they are used, because requests would have to wait otherwise.
func (d *Dispatcher) candidates(now time.Time, upstreams []string) []hwroute.Candidate {
	anyUsable := slices.ContainsFunc(d.pool.Upstreams, func(u hwdocument.Upstream) bool {
		return !u.Draining && d.health.Usable(now, u.Address)
	})
	var fast, slow []hwroute.Candidate
	for _, u := range upstreams {
		if d.health.Paused(now, u) || anyUsable && !d.health.Usable(now, u) {
			continue
		}
		candidate := hwroute.Candidate{
			Upstream:       u,
			Zone:           d.zones[u],
			SlotsInUse:     d.holder.InUse(u),
			FreeSlots:      d.holder.FreeSlots(u),
			SecondsPerUnit: d.detector.SecondsPerUnit(u),
		}
		switch {
		case !d.detector.Slow(u):
			fast = append(fast, candidate)
		case now.Sub(d.lastStartAt[u]) >= slowProbeInterval:
			candidate.Probe = true
			fast = append(fast, candidate)
		default:
			slow = append(slow, candidate)
		}
	}
	if len(fast) > 0 {
		return fast
	}
	return slow
}
