package hwslot

import (
	"maps"
	"math"
	"slices"
	"time"
)

// plan computes every router's target from the demand of all accounts.
func (b *Broker) plan(now time.Time) {
	b.planned = now
	b.limitsNow = make(map[string]int, len(b.names))
	for _, u := range b.names {
		b.limitsNow[u] = b.limit(u)
	}
	b.tally(now)
	b.observe(now)
	demands, byRouter := b.demand(now)
	capacity := float64(b.capacity() - b.keptSlots())
	aims := b.settings.Policy.Allocate(capacity, demands)
	b.targets = map[string]float64{}
	b.aims = map[accountAt]float64{}
	left := capacity
	for _, aim := range aims {
		left -= aim
	}
	for i, d := range demands {
		for _, part := range byRouter[d.Account] {
			b.targets[part.instance] += aims[i] * part.slots / d.Slots
			// Any account may use what nobody asks for.
			b.aims[accountAt{
				instance: part.instance,
				account:  d.Account,
			}] = (aims[i] + max(0, left)) * part.slots / d.Slots
		}
	}
	// Slots that nobody asked for are spread evenly, so that a router can start new work without asking.
	reporting := b.live(now)
	for _, name := range reporting {
		b.targets[name] += left / float64(len(reporting))
	}
	b.lend(reporting)
	b.claims = map[string]int{}
	for _, name := range reporting {
		held, _ := b.routers[name].total()
		b.claims[name] = max(0, int(math.Ceil(b.targets[name]))-held)
	}
}

// lentPart is the part of the idle slots that the broker keeps in its hand while work waits.
const lentPart = 0.5

// lend brings part of the idle slots into the broker's hand while work waits in the pool.
//
// Routers keep slots idle for their accounts' short work although long work waits. How many each needs swings, and together they need far fewer than the sum: what one does not need now starts another one's short work with its next report. A router with nothing ready to start gets nothing more until it has.
func (b *Broker) lend(reporting []string) {
	b.lent = map[string]int{}
	idle := map[string]int{}
	sum := 0
	waits := false
	for _, name := range reporting {
		r := b.routers[name]
		waiting, ready := r.demand()
		waits = waits || waiting > 0
		if ready > 0 {
			continue
		}
		held, inUse := r.total()
		idle[name] = max(0, held-inUse)
		sum += idle[name]
	}
	if !waits {
		return
	}
	free := b.free()
	missing := max(0, lentPart*float64(sum+free)-float64(free))
	for name, count := range idle {
		held, _ := b.routers[name].total()
		if sum > 0 {
			b.lent[name] = int(missing * float64(count) / float64(sum))
		}
		b.targets[name] = math.Min(b.targets[name], float64(held-b.lent[name]))
	}
}

// total returns the slots that a router holds and uses over all upstreams.
func (r *router) total() (held, inUse int) {
	for _, h := range r.upstreams {
		held += h.held
		inUse += h.inUse
	}
	return held, inUse
}

// demand returns how many requests wait at a router, and how many of them would start with a free slot.
func (r *router) demand() (waiting, ready int) {
	for _, row := range r.accounts {
		waiting += row.Waiting
		ready += row.Waiting - row.HeldBack
	}
	return waiting, ready
}

// observe refreshes who is backlogged, what is running uncharged, and how much service a slot renders.
func (b *Broker) observe(now time.Time) {
	waiting := map[string]bool{}
	b.pending = map[string]float64{}
	total := 0.0
	inUse := 0
	for _, r := range b.routers {
		if !b.alive(now, r) {
			continue
		}
		for account, row := range r.accounts {
			waiting[account] = waiting[account] || row.Waiting > 0
			b.pending[account] += row.Pending
		}
		for _, h := range r.upstreams {
			inUse += h.inUse
		}
	}
	for _, account := range slices.Sorted(maps.Keys(waiting)) {
		b.counters.ObserveBacklog(now, account, waiting[account])
		total += b.ledger.Total(account)
	}
	elapsed := now.Sub(b.rateAt).Seconds()
	if elapsed < rateWindow.Seconds() || inUse == 0 {
		return
	}
	if b.rateTotal > 0 && total > b.rateTotal {
		sample := (total - b.rateTotal) / elapsed / float64(inUse)
		b.rate = mixRate(b.rate, sample)
	}
	b.rateTotal = total
	b.rateAt = now
}

const (
	rateWindow   = 500 * time.Millisecond
	rateLearning = 0.3
)

func mixRate(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + rateLearning*(sample-mean)
}

// accountAt names an account at a router.
type accountAt struct {
	instance string
	account  string
}

type routerPart struct {
	instance string
	slots    float64
}

// demand adds up what live routers need. What a silent one needed it cannot be granted, so counting it would leave slots idle.
func (b *Broker) demand(now time.Time) ([]Demand, map[string][]routerPart) {
	byRouter := map[string][]routerPart{}
	sums := map[string]float64{}
	for _, name := range b.live(now) {
		for account, row := range b.routers[name].accounts {
			slots := float64(row.Waiting + row.Running)
			if slots == 0 {
				continue
			}
			part := routerPart{
				instance: name,
				slots:    slots,
			}
			byRouter[account] = append(byRouter[account], part)
			sums[account] += slots
		}
	}
	demands := make([]Demand, 0, len(sums))
	for _, account := range slices.Sorted(maps.Keys(sums)) {
		demand := Demand{
			Account: account,
			Share:   b.counters.Share(account),
			Slots:   sums[account],
		}
		if b.rate > 0 {
			demand.Lag = b.counters.Lag(account, b.pending) / b.rate
		}
		demands = append(demands, demand)
	}
	return demands, byRouter
}

// live returns the routers whose lease runs.
func (b *Broker) live(now time.Time) []string {
	var names []string
	for name, r := range b.routers {
		if b.alive(now, r) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
