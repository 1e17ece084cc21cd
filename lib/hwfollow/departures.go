package hwfollow

import (
	"maps"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// lifetime identifies the time between a start of an upstream and its end.
type lifetime struct {
	id          string
	incarnation int64
}

func lifetimeOf(u hwplace.Upstream) lifetime {
	return lifetime{
		id:          u.ID,
		incarnation: u.Incarnation,
	}
}

// departure is what is remembered of an upstream that leaves.
type departure struct {
	// draining reports that the upstream is or was draining.
	draining bool
	// restored reports that the source was restored from a copy since. The copy may have an entry from before.
	restored bool
	// removedAt is when the entry was removed, or zero while it is listed. The entry of a copy is left out until leftOutUntil.
	removedAt    time.Time
	leftOutUntil time.Time
}

// departures are the upstreams that leave. They are remembered because a copy from which the source is restored may not show it.
type departures map[lifetime]departure

// restore records that the source was restored from a copy.
func (d departures) restore(now time.Time, restoration Restoration) {
	d.forget(now, restoration.RemovalMemory)
	for key, departure := range d {
		departure.restored = true
		if !departure.removedAt.IsZero() {
			departure.leftOutUntil = now.Add(restoration.EntryExpiry)
		}
		d[key] = departure
	}
}

// supersede records the entries of earlier starts of upstreams that are current or have left. Only a copy has them, whether or not this router knew of those starts.
func (d departures) supersede(now time.Time, list []hwplace.Upstream, current map[string]hwplace.Upstream, restoration Restoration) {
	latest := map[string]int64{}
	for key := range d {
		latest[key.id] = max(latest[key.id], key.incarnation)
	}
	for _, u := range list {
		if u.Incarnation < max(latest[u.ID], current[u.ID].Incarnation) {
			d[lifetimeOf(u)] = departure{
				removedAt:    now,
				leftOutUntil: now.Add(restoration.EntryExpiry),
			}
		}
	}
}

// confirm drops the doubts about entries that the restored source itself does not have: if they are listed later, their upstreams have written them.
func (d departures) confirm(list []hwplace.Upstream) {
	doubtful := departures{}
	for key, departure := range d {
		if !departure.leftOutUntil.IsZero() {
			doubtful[key] = departure
		}
	}
	if len(doubtful) == 0 {
		return
	}
	for _, u := range list {
		delete(doubtful, lifetimeOf(u))
	}
	for key, departure := range doubtful {
		departure.leftOutUntil = time.Time{}
		d[key] = departure
	}
}

// apply returns a list without the entries of upstreams that had left before a restoration, in which the upstreams that were draining then still are.
func (d departures) apply(now time.Time, list []hwplace.Upstream) []hwplace.Upstream {
	if len(d) == 0 {
		return list
	}
	applied := make([]hwplace.Upstream, 0, len(list))
	for _, u := range list {
		departure := d[lifetimeOf(u)]
		if now.Before(departure.leftOutUntil) {
			continue
		}
		u.Draining = u.Draining || departure.restored && departure.draining
		applied = append(applied, u)
	}
	return applied
}

// update records which upstreams leave. The upstreams are those of the last two lists, by ID.
func (d departures) update(now time.Time, previous, current map[string]hwplace.Upstream, memory time.Duration) {
	for _, u := range previous {
		if key := lifetimeOf(u); lifetimeOf(current[u.ID]) != key {
			d[key] = departure{
				draining:  u.Draining,
				restored:  d[key].restored,
				removedAt: now,
			}
		}
	}
	for _, u := range current {
		key := lifetimeOf(u)
		if !u.Draining {
			delete(d, key)
			continue
		}
		d[key] = departure{
			draining: true,
			restored: d[key].restored,
		}
	}
	d.forget(now, memory)
}

// forget forgets the upstreams that were removed longer ago than the memory.
func (d departures) forget(now time.Time, memory time.Duration) {
	maps.DeleteFunc(d, func(_ lifetime, departure departure) bool {
		return !departure.removedAt.IsZero() && now.Sub(departure.removedAt) >= memory && !now.Before(departure.leftOutUntil)
	})
}
