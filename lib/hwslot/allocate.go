package hwslot

import (
	"maps"
	"math"
	"slices"
	"time"
)

// reserved returns the slots of an upstream that others may be using: what live routers hold, and what silent members keep without a lease.
func (b *Broker) reserved(now time.Time, upstream string, except string) int {
	total := 0
	members := slices.Sorted(maps.Keys(b.members))
	for _, name := range members {
		if name == except {
			continue
		}
		r := b.routers[name]
		if b.alive(now, r) {
			total += r.upstreams[upstream].held
			continue
		}
		total += b.silent(r, upstream, name, members)
	}
	return total
}

// kept returns the slots that silent members may be using, over all upstreams.
func (b *Broker) kept(now time.Time) int {
	total := 0
	members := slices.Sorted(maps.Keys(b.members))
	for _, name := range members {
		r := b.routers[name]
		if b.alive(now, r) {
			continue
		}
		for _, u := range b.names {
			total += b.silent(r, u, name, members)
		}
	}
	return total
}

// silent returns what a silent member keeps at an upstream.
func (b *Broker) silent(r *router, upstream, name string, members []string) int {
	held := b.unheard[upstream]
	if r != nil {
		held = r.upstreams[upstream].held
	}
	return Decayed(held, Floor(upstream, b.limits[upstream], name, members))
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
		Sequence: report.Sequence,
		Lease:    b.settings.Lease,
		Fleet:    len(b.members),
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
	listening := now.Sub(b.started) < b.settings.Listen
	if !listening && b.unheard == nil {
		b.noteUnheard()
	}
	switch {
	case listening:
	case b.settings.Static:
		members := slices.Sorted(maps.Keys(b.members))
		for _, u := range b.names {
			allowed[u] = Floor(u, b.Limit(u), report.Instance, members)
		}
	case float64(total) >= target+1:
		lower(allowed, r.upstreams, total-int(math.Ceil(target)))
	default:
		b.raise(now, report.Instance, allowed, r, b.wanted(now, report.Instance, total, target))
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
		r.upstreams[u] = holding{
			held:  max(h.held, allowed[u]),
			inUse: h.inUse,
		}
	}
	grant.Counters = b.news(report.Instance, r)
	return grant
}

// wanted returns how many more slots a router should get: up to its target, and beyond it what nobody else is waiting for.
func (b *Broker) wanted(now time.Time, instance string, total int, target float64) int {
	wanted := max(0, int(math.Ceil(target))-total)
	waiting := 0
	for _, row := range b.routers[instance].accounts {
		waiting += row.Waiting
	}
	if waiting <= wanted {
		return wanted
	}
	free := b.free(now)
	for name, r := range b.routers {
		if name == instance {
			continue
		}
		held := 0
		for _, h := range r.upstreams {
			held += h.held
		}
		free -= max(0, int(math.Ceil(b.targets[name]))-held)
	}
	return max(wanted, min(waiting, free))
}

func (b *Broker) free(now time.Time) int {
	total := 0
	for _, u := range b.names {
		total += max(0, b.Limit(u)-b.reserved(now, u, ""))
	}
	return total
}

// lower takes idle slots first, then slots in use at the upstream where the router has most; those come free as requests end.
func lower(allowed map[string]int, holdings map[string]holding, count int) {
	names := slices.Sorted(maps.Keys(allowed))
	for ; count > 0; count-- {
		best := ""
		for _, u := range names {
			if allowed[u] == 0 {
				continue
			}
			if best == "" || moreSpare(allowed, holdings, u, best) {
				best = u
			}
		}
		if best == "" {
			return
		}
		allowed[best]--
	}
}

func moreSpare(allowed map[string]int, holdings map[string]holding, u, best string) bool {
	idle := allowed[u] - holdings[u].inUse
	idleBest := allowed[best] - holdings[best].inUse
	if max(idle, 0) != max(idleBest, 0) {
		return idle > idleBest
	}
	return allowed[u] > allowed[best]
}

// raise gives free slots, each from the upstream with the largest part of its limit free.
func (b *Broker) raise(now time.Time, instance string, allowed map[string]int, r *router, count int) {
	if count <= 0 {
		return
	}
	free := map[string]int{}
	for _, u := range b.names {
		free[u] = b.Limit(u) - b.reserved(now, u, instance) - max(r.upstreams[u].held, allowed[u])
	}
	for ; count > 0; count-- {
		best := ""
		for _, u := range b.names {
			if free[u] > 0 && (best == "" || free[u]*b.Limit(best) > free[best]*b.Limit(u)) {
				best = u
			}
		}
		if best == "" {
			return
		}
		free[best]--
		allowed[best]++
	}
}
