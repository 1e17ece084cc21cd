package hwslot

import (
	"maps"
	"math"
	"slices"
	"time"
)

// recountSlots recomputes heldSlots and reservedSlots from all members. Between two plans, setHolding updates heldSlots incrementally.
func (b *Broker) recountSlots(now time.Time) {
	b.heldSlots = make(map[string]int, len(b.upstreamNames))
	b.reservedSlots = make(map[string]int, len(b.upstreamNames))
	var members []string
	for name := range b.members {
		r := b.routers[name]
		if b.hasLease(now, r) {
			for u, h := range r.upstreams {
				b.heldSlots[u] += h.held
			}
			r.counted = true
			continue
		}
		if r != nil {
			r.counted = false
		}
		if members == nil {
			members = slices.Sorted(maps.Keys(b.members))
		}
		for _, u := range b.upstreamNames {
			b.reservedSlots[u] += b.reservedFor(r, u, name, members)
		}
	}
}

// setHolding replaces what a router holds at an upstream and updates heldSlots.
func (b *Broker) setHolding(r *router, upstream string, next holding) {
	if r.counted {
		b.heldSlots[upstream] += next.held - r.upstreams[upstream].held
	}
	r.upstreams[upstream] = next
}

// totalReserved returns how many slots are reserved for members without a lease, over all upstreams.
func (b *Broker) totalReserved() int {
	total := 0
	for _, reserved := range b.reservedSlots {
		total += reserved
	}
	return total
}

// reservedFor returns how many slots of an upstream a member without a lease may be using. The router is nil if the member has not reported to this broker.
func (b *Broker) reservedFor(r *router, upstream, name string, members []string) int {
	held := b.unreportedBound[upstream]
	if r != nil {
		held = r.upstreams[upstream].held
	}
	return SlotsWithoutLease(held, EvenSplit(upstream, b.limits[upstream], name, members))
}

// hasLease reports whether the router's lease is in force.
func (b *Broker) hasLease(now time.Time, r *router) bool {
	return r != nil && now.Sub(r.reportedAt) <= b.settings.Lease
}

// boundUnreported computes an upper bound on what members hold that have not reported by the end of the learning period. The previous broker leased at most each upstream's limit, so they hold at most what the reporting routers do not.
func (b *Broker) boundUnreported() {
	b.unreportedBound = map[string]int{}
	for _, u := range b.upstreamNames {
		held := 0
		for _, r := range b.routers {
			held += r.upstreams[u].held
		}
		b.unreportedBound[u] = max(0, b.limits[u]-held)
	}
}

// buildGrant moves the router towards its target and returns its new holdings where they differ from the reported ones.
func (b *Broker) buildGrant(now time.Time, report Report, r *router) Grant {
	grant := Grant{
		Sequence:  report.Sequence,
		Lease:     b.settings.Lease,
		FleetSize: len(b.members),
	}
	allowed := map[string]int{}
	total := 0
	for u, h := range r.upstreams {
		allowed[u] = min(h.held, b.Limit(u))
		total += allowed[u]
	}
	target := b.routerTargets[report.Instance]
	if report.Leaving {
		target = 0
	}
	learning := now.Sub(b.startedAt) < b.settings.LearningPeriod
	if !learning && b.unreportedBound == nil {
		b.boundUnreported()
	}
	switch {
	case learning:
	case b.settings.StaticPartition:
		members := slices.Sorted(maps.Keys(b.members))
		for _, u := range b.upstreamNames {
			allowed[u] = EvenSplit(u, b.Limit(u), report.Instance, members)
		}
	case float64(total) >= target+1:
		excess := total - int(math.Ceil(target))
		reclaim(allowed, r.upstreams, min(excess, max(-b.freeAfterDeficitsOfOthers(report.Instance), b.overcommitted(), b.idleToReclaim[report.Instance])))
	default:
		b.assignFree(allowed, b.slotsToAdd(report.Instance, total, target))
	}
	for _, u := range slices.Sorted(maps.Keys(allowed)) {
		h := r.upstreams[u]
		if allowed[u] == h.held {
			continue
		}
		grant.Upstreams = append(grant.Upstreams, UpstreamRow{
			Upstream: u,
			Held:     allowed[u],
		})
		// The router may be using the slots it reported until its next report confirms the reduction.
		b.setHolding(r, u, holding{
			held:  max(h.held, allowed[u]),
			inUse: h.inUse,
		})
	}
	grant.Counters = b.changedCounters(report.Instance, r)
	return grant
}

// slotsToAdd returns how many more slots a router should get: up to its target, and beyond it for requests that could start at once, as far as no other router is short of slots.
func (b *Broker) slotsToAdd(instance string, total int, target float64) int {
	deficit := max(0, int(math.Ceil(target))-total)
	_, startable := b.routers[instance].queuedRequests()
	if startable <= deficit {
		return deficit
	}
	return max(deficit, min(startable, b.freeAfterDeficitsOfOthers(instance)))
}

// freeAfterDeficitsOfOthers returns how many free slots remain after every other router has reached its target. A negative result is the number of slots that the others lack.
//
// A router above its target gives slots back only if other routers lack them or the limits are exceeded. Slots that no other router needs would stay idle.
func (b *Broker) freeAfterDeficitsOfOthers(instance string) int {
	free := b.freeSlots()
	for name, deficit := range b.deficits {
		if name != instance {
			free -= deficit
		}
	}
	return free
}

// overcommitted returns by how much held and reserved slots exceed the limits, over all upstreams. This happens after leases expired and after two brokers were active at once.
func (b *Broker) overcommitted() int {
	total := 0
	for _, u := range b.upstreamNames {
		total += max(0, b.heldSlots[u]+b.reservedSlots[u]-b.Limit(u))
	}
	return total
}

// freeSlots returns how many slots are neither held nor reserved, over all upstreams.
func (b *Broker) freeSlots() int {
	total := 0
	for _, u := range b.upstreamNames {
		total += max(0, b.Limit(u)-b.heldSlots[u]-b.reservedSlots[u])
	}
	return total
}

// reclaim lowers the allowed slots by a count. It takes idle slots first, then slots in use, which become free as their requests end.
func reclaim(allowed map[string]int, holdings map[string]holding, count int) {
	if count <= 0 {
		return
	}
	names := slices.Sorted(maps.Keys(allowed))
	idle := make([]int, len(names))
	for i, u := range names {
		idle[i] = max(0, allowed[u]-holdings[u].inUse)
	}
	for i, taken := range apportion(count, idle) {
		allowed[names[i]] -= taken
		count -= taken
	}
	remaining := make([]int, len(names))
	for i, u := range names {
		remaining[i] = allowed[u]
	}
	for i, taken := range apportion(count, remaining) {
		allowed[names[i]] -= taken
	}
}

// assignFree raises the allowed slots by a count, taking from each upstream in proportion to its free slots.
func (b *Broker) assignFree(allowed map[string]int, count int) {
	if count <= 0 {
		return
	}
	free := make([]int, len(b.upstreamNames))
	for i, u := range b.upstreamNames {
		free[i] = max(0, b.Limit(u)-b.heldSlots[u]-b.reservedSlots[u])
	}
	for i, added := range apportion(count, free) {
		allowed[b.upstreamNames[i]] += added
	}
}

// apportion divides a count over bounds in proportion to them; no part exceeds its bound. The remainder after rounding down goes to the parts that are farthest below their bounds.
func apportion(count int, bounds []int) []int {
	parts := make([]int, len(bounds))
	total := 0
	for _, bound := range bounds {
		total += bound
	}
	count = min(count, total)
	if count <= 0 {
		return parts
	}
	remainder := count
	order := make([]int, len(bounds))
	for i, bound := range bounds {
		parts[i] = count * bound / total
		remainder -= parts[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return (bounds[j] - parts[j]) - (bounds[i] - parts[i]) })
	for n := 0; remainder > 0; n = (n + 1) % len(order) {
		if i := order[n]; parts[i] < bounds[i] {
			parts[i]++
			remainder--
		}
	}
	return parts
}
