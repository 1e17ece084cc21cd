package hwdispatch

import (
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwroute"
)

// slowProbe is how often a slow upstream gets one request while others have free slots, to see whether it has recovered.
const slowProbe = 5 * time.Second

// candidates returns the upstreams that may take work now, among those with a free slot.
//
// One that could not be reached is left out during its pause, unless none of the pool can be reached: then callers should learn of it at once. A slow one is left out while a faster one has a free slot, but for a probe now and then; when nothing faster is free its slots are used, because work would wait otherwise.
func (d *Dispatcher) candidates(now time.Time, upstreams []string) []hwroute.Candidate {
	reachable := slices.ContainsFunc(d.pool.Upstreams, func(u hwdocument.Upstream) bool {
		return !u.Draining && d.health.Usable(now, u.Address)
	})
	var fast, slow []hwroute.Candidate
	for _, u := range upstreams {
		if reachable && !d.health.Usable(now, u) {
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
		case now.Sub(d.startedAt[u]) >= slowProbe:
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
