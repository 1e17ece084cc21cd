package hwslot

import (
	"maps"
	"math"
	"slices"
	"time"
)

// plan computes every router's target from the demand of all accounts.
func (b *Broker) plan(now time.Time) {
	b.plannedAt = now
	b.effectiveLimits = make(map[string]int, len(b.upstreamNames))
	for _, u := range b.upstreamNames {
		b.effectiveLimits[u] = b.effectiveLimit(u)
	}
	b.recountSlots(now)
	b.observeDemand(now)
	demands, byRouter := b.accountDemands(now)
	capacity := float64(b.totalLimit() - b.totalReserved())
	allocations := b.settings.Policy.Allocate(capacity, demands)
	b.routerTargets = map[string]float64{}
	b.accountTargets = map[routerAccount]float64{}
	spare := capacity
	for _, slots := range allocations {
		spare -= slots
	}
	for i, d := range demands {
		for _, local := range byRouter[d.Account] {
			b.routerTargets[local.instance] += allocations[i] * local.slots / d.Slots
			// Any account may use the capacity that exceeds the demand.
			b.accountTargets[routerAccount{
				instance: local.instance,
				account:  d.Account,
			}] = (allocations[i] + max(0, spare)) * local.slots / d.Slots
		}
	}
	// Spare slots are divided evenly, so that a router can start new work without a report first.
	live := b.liveRouters(now)
	for _, name := range live {
		b.routerTargets[name] += spare / float64(len(live))
	}
	b.planIdleReclaim(live)
	b.deficits = map[string]int{}
	for _, name := range live {
		held, _ := b.routers[name].slotTotals()
		b.deficits[name] = max(0, int(math.Ceil(b.routerTargets[name]))-held)
	}
}

// unassignedFraction is the part of the idle and free slots that the broker keeps unassigned while requests wait.
const unassignedFraction = 0.5

// planIdleReclaim decides how many idle slots each router gives back while requests wait in the pool.
//
// Routers keep slots idle for their accounts' short requests although long requests wait. The number that each router needs fluctuates, and the fleet needs far fewer at once than the sum of them. A slot that one router does not need now can start a short request at another router with that router's next report. A router without a startable request gets no more slots until it has one.
func (b *Broker) planIdleReclaim(live []string) {
	b.idleToReclaim = map[string]int{}
	idle := map[string]int{}
	totalIdle := 0
	anyWaiting := false
	for _, name := range live {
		r := b.routers[name]
		waiting, startable := r.queuedRequests()
		anyWaiting = anyWaiting || waiting > 0
		if startable > 0 {
			continue
		}
		held, inUse := r.slotTotals()
		idle[name] = max(0, held-inUse)
		totalIdle += idle[name]
	}
	if !anyWaiting {
		return
	}
	free := b.freeSlots()
	missing := max(0, unassignedFraction*float64(totalIdle+free)-float64(free))
	for name, count := range idle {
		held, _ := b.routers[name].slotTotals()
		if totalIdle > 0 {
			b.idleToReclaim[name] = int(missing * float64(count) / float64(totalIdle))
		}
		b.routerTargets[name] = math.Min(b.routerTargets[name], float64(held-b.idleToReclaim[name]))
	}
}

// slotTotals returns the slots that a router holds and uses over all upstreams.
func (r *router) slotTotals() (held, inUse int) {
	for _, h := range r.upstreams {
		held += h.held
		inUse += h.inUse
	}
	return held, inUse
}

// queuedRequests returns how many requests wait at a router, and how many of them would start if a slot were free.
func (r *router) queuedRequests() (waiting, startable int) {
	for _, row := range r.accounts {
		waiting += row.Waiting
		startable += row.Waiting - row.HeldBack
	}
	return waiting, startable
}

// observeDemand updates which accounts are backlogged, their pending cost, and the service rate of a slot.
func (b *Broker) observeDemand(now time.Time) {
	waiting := map[string]bool{}
	b.pendingCost = map[string]float64{}
	service := 0.0
	inUse := 0
	for _, r := range b.routers {
		if !b.hasLease(now, r) {
			continue
		}
		for account, row := range r.accounts {
			waiting[account] = waiting[account] || row.Waiting > 0
			b.pendingCost[account] += row.Pending
		}
		for _, h := range r.upstreams {
			inUse += h.inUse
		}
	}
	for _, account := range slices.Sorted(maps.Keys(waiting)) {
		b.counters.ObserveBacklog(now, account, waiting[account])
		service += b.serviceTotals.Total(account)
	}
	elapsed := now.Sub(b.rateSampledAt).Seconds()
	if elapsed < rateSampleInterval.Seconds() || inUse == 0 {
		return
	}
	if b.rateSampleService > 0 && service > b.rateSampleService {
		sample := (service - b.rateSampleService) / elapsed / float64(inUse)
		b.slotRate = smoothRate(b.slotRate, sample)
	}
	b.rateSampleService = service
	b.rateSampledAt = now
}

const (
	// rateSampleInterval is the shortest time over which the service rate is measured.
	rateSampleInterval = 500 * time.Millisecond
	// rateSmoothing is the weight of the newest sample in the moving average of the service rate.
	rateSmoothing = 0.3
)

// smoothRate returns the exponential moving average after a new sample; a mean of zero stands for no earlier sample.
func smoothRate(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + rateSmoothing*(sample-mean)
}

// routerAccount identifies an account at a router.
type routerAccount struct {
	instance string
	account  string
}

// routerDemand is the part of an account's demand at one router, in slots.
type routerDemand struct {
	instance string
	slots    float64
}

// accountDemands returns each account's demand over all live routers, and its parts by router. A router without a lease cannot be granted slots, so counting its demand would leave slots idle.
func (b *Broker) accountDemands(now time.Time) ([]Demand, map[string][]routerDemand) {
	byRouter := map[string][]routerDemand{}
	sums := map[string]float64{}
	for _, name := range b.liveRouters(now) {
		for account, row := range b.routers[name].accounts {
			slots := float64(row.Waiting + row.Running)
			if slots == 0 {
				continue
			}
			local := routerDemand{
				instance: name,
				slots:    slots,
			}
			byRouter[account] = append(byRouter[account], local)
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
		if b.slotRate > 0 {
			demand.Lag = b.counters.Lag(account, b.pendingCost) / b.slotRate
		}
		demands = append(demands, demand)
	}
	return demands, byRouter
}

// liveRouters returns the routers whose lease is in force, sorted.
func (b *Broker) liveRouters(now time.Time) []string {
	var names []string
	for name, r := range b.routers {
		if b.hasLease(now, r) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
