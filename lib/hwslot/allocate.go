package hwslot

import (
	"maps"
	"math"
	"slices"
	"time"
)

// tally adds up what live routers hold and what silent members keep, by upstream. Between two plans grants and reports keep it up to date.
func (b *Broker) tally(now time.Time) {
	b.held = make(map[string]int, len(b.names))
	b.kept = make(map[string]int, len(b.names))
	var members []string
	for name := range b.members {
		r := b.routers[name]
		if b.alive(now, r) {
			for u, h := range r.upstreams {
				b.held[u] += h.held
			}
			r.tallied = true
			continue
		}
		if r != nil {
			r.tallied = false
		}
		if members == nil {
			members = slices.Sorted(maps.Keys(b.members))
		}
		for _, u := range b.names {
			b.kept[u] += b.silent(r, u, name, members)
		}
	}
}

// put changes what a router holds at an upstream and keeps the tally.
func (b *Broker) put(r *router, upstream string, next holding) {
	if r.tallied {
		b.held[upstream] += next.held - r.upstreams[upstream].held
	}
	r.upstreams[upstream] = next
}

// keptSlots returns the slots that silent members may be using, over all upstreams.
func (b *Broker) keptSlots() int {
	total := 0
	for _, kept := range b.kept {
		total += kept
	}
	return total
}

// silent returns what a silent member keeps at an upstream.
func (b *Broker) silent(r *router, upstream, name string, members []string) int {
	held := b.unheard[upstream]
	if r != nil {
		held = r.upstreams[upstream].held
	}
	return SlotsWithoutLease(held, EvenSplit(upstream, b.limits[upstream], name, members))
}

func (b *Broker) alive(now time.Time, r *router) bool {
	return r != nil && now.Sub(r.reported) <= b.settings.Lease
}

// noteUnheard bounds what members hold that have not reported by the end of the listening: the broker before leased at most each upstream's limit, so they hold at most what the others do not.
func (b *Broker) noteUnheard() {
	b.unheard = map[string]int{}
	for _, u := range b.names {
		held := 0
		for _, r := range b.routers {
			held += r.upstreams[u].held
		}
		b.unheard[u] = max(0, b.limits[u]-held)
	}
}

func (b *Broker) grant(now time.Time, report Report, r *router) Grant {
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
	target := b.targets[report.Instance]
	if report.Leaving {
		target = 0
	}
	listening := now.Sub(b.started) < b.settings.LearningPeriod
	if !listening && b.unheard == nil {
		b.noteUnheard()
	}
	switch {
	case listening:
	case b.settings.StaticPartition:
		members := slices.Sorted(maps.Keys(b.members))
		for _, u := range b.names {
			allowed[u] = EvenSplit(u, b.Limit(u), report.Instance, members)
		}
	case float64(total) >= target+1:
		excess := total - int(math.Ceil(target))
		lower(allowed, r.upstreams, min(excess, max(-b.unclaimed(report.Instance), b.overcommitted(), b.lent[report.Instance])))
	default:
		b.raise(allowed, b.wanted(report.Instance, total, target))
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
		// Until the next report says otherwise the router may still be using what it reported.
		b.put(r, u, holding{
			held:  max(h.held, allowed[u]),
			inUse: h.inUse,
		})
	}
	grant.Counters = b.news(report.Instance, r)
	return grant
}

// wanted returns how many more slots a router should get: up to its target, and beyond it what nobody else is waiting for.
func (b *Broker) wanted(instance string, total int, target float64) int {
	wanted := max(0, int(math.Ceil(target))-total)
	_, ready := b.routers[instance].demand()
	if ready <= wanted {
		return wanted
	}
	return max(wanted, min(ready, b.unclaimed(instance)))
}

// unclaimed returns the free slots that no other router lacks to its target; below zero it is how many the others lack. A router above its target gives slots back only for others that lack them, or because more is held than there is: slots that come back to nobody would idle.
func (b *Broker) unclaimed(instance string) int {
	free := b.free()
	for name, claim := range b.claims {
		if name != instance {
			free -= claim
		}
	}
	return free
}

// overcommitted returns by how much holdings and what silent members keep exceed the limits, over all upstreams. It happens when leases ended and when two brokers were at work.
func (b *Broker) overcommitted() int {
	total := 0
	for _, u := range b.names {
		total += max(0, b.held[u]+b.kept[u]-b.Limit(u))
	}
	return total
}

func (b *Broker) free() int {
	total := 0
	for _, u := range b.names {
		total += max(0, b.Limit(u)-b.held[u]-b.kept[u])
	}
	return total
}

// lower takes idle slots first, then slots in use; those come free as requests end.
func lower(allowed map[string]int, holdings map[string]holding, count int) {
	if count <= 0 {
		return
	}
	names := slices.Sorted(maps.Keys(allowed))
	idle := make([]int, len(names))
	for i, u := range names {
		idle[i] = max(0, allowed[u]-holdings[u].inUse)
	}
	for i, taken := range spread(count, idle) {
		allowed[names[i]] -= taken
		count -= taken
	}
	busy := make([]int, len(names))
	for i, u := range names {
		busy[i] = allowed[u]
	}
	for i, taken := range spread(count, busy) {
		allowed[names[i]] -= taken
	}
}

// raise gives free slots, from each upstream in proportion to what it has free.
func (b *Broker) raise(allowed map[string]int, count int) {
	if count <= 0 {
		return
	}
	free := make([]int, len(b.names))
	for i, u := range b.names {
		free[i] = max(0, b.Limit(u)-b.held[u]-b.kept[u])
	}
	for i, given := range spread(count, free) {
		allowed[b.names[i]] += given
	}
}

// spread divides a count over bounds in proportion to them; no part exceeds its bound. What rounding leaves goes to those with the most room.
func spread(count int, bounds []int) []int {
	parts := make([]int, len(bounds))
	total := 0
	for _, bound := range bounds {
		total += bound
	}
	count = min(count, total)
	if count <= 0 {
		return parts
	}
	left := count
	order := make([]int, len(bounds))
	for i, bound := range bounds {
		parts[i] = count * bound / total
		left -= parts[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return (bounds[j] - parts[j]) - (bounds[i] - parts[i]) })
	for n := 0; left > 0; n = (n + 1) % len(order) {
		if i := order[n]; parts[i] < bounds[i] {
			parts[i]++
			left--
		}
	}
	return parts
}
