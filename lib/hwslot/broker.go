package hwslot

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwshare"
)

// BrokerSettings configure the broker of one pool.
type BrokerSettings struct {
	Pool string
	// Lease is how long a router may use its slots after its last answered report.
	Lease time.Duration
	// LearningPeriod is how long a new broker only confirms what routers report, so that it knows all holdings before it grants anything new.
	LearningPeriod time.Duration
	// MinPlanInterval is the shortest time between two computations of the targets.
	MinPlanInterval time.Duration
	// MaxCatchUp limits how much service an account that fell behind may catch up, in cost units per share.
	MaxCatchUp float64
	// StaticPartition grants every member its even split and never moves slots. It is a baseline for measurements.
	StaticPartition bool
	Policy          Policy
}

// holding is how many slots of an upstream a router holds and how many of them are in use.
type holding struct {
	held  int
	inUse int
}

// router is the broker's state of one reporting router.
type router struct {
	boot       hwshare.InstanceBoot
	sequence   uint64
	reportedAt time.Time
	upstreams  map[string]holding
	accounts   map[string]AccountRow
	// sentCounters are the counter rows last sent to the router, so that a grant contains only changed rows.
	sentCounters map[string]CounterRow
	// counted tells whether the router's holdings are included in the broker's heldSlots.
	counted bool
}

// Broker leases the slots of one pool.
type Broker struct {
	settings      BrokerSettings
	startedAt     time.Time
	limits        map[string]int
	upstreamNames []string
	members       map[string]bool
	routers       map[string]*router
	counters      *hwshare.Counters
	serviceTotals *hwshare.ServiceTotals
	plannedAt     time.Time
	// routerTargets is how many slots each router is to hold, as of the last plan.
	routerTargets map[string]float64
	// accountTargets is how many slots each account is to have at each router, as of the last plan.
	accountTargets map[routerAccount]float64
	// pendingCost is the expected cost that is not charged yet, by account.
	pendingCost map[string]float64
	// slotRate is the moving average of the service of one slot in use, in cost units a second.
	slotRate float64
	// rateSampleService is the service to all accounts at the time of the last sample, in cost units.
	rateSampleService float64
	rateSampledAt     time.Time
	// slowness is the reported slowness of each upstream in thousandths, by instance and upstream.
	slowness map[string]map[string]int
	// heldSlots is what routers with a lease hold, by upstream.
	heldSlots map[string]int
	// reservedSlots is what members without a lease may be using, by upstream.
	reservedSlots map[string]int
	// idleToReclaim is how many idle slots each router is to give back temporarily, as of the last plan.
	idleToReclaim map[string]int
	// deficits is how many slots each router is below its target, as of the last plan.
	deficits map[string]int
	// effectiveLimits are the limits reduced for slow upstreams, as of the last plan.
	effectiveLimits map[string]int
	// unreportedBound is the most that members that have not reported to this broker may hold, by upstream; nil during the learning period.
	unreportedBound map[string]int
}

// NewBroker returns a broker whose learning period begins now.
func NewBroker(now time.Time, settings BrokerSettings) *Broker {
	return &Broker{
		settings:  settings,
		startedAt: now,
		limits:    map[string]int{},
		members:   map[string]bool{},
		routers:   map[string]*router{},
		counters: hwshare.NewCounters(hwshare.CounterSettings{
			MaxCatchUp:   settings.MaxCatchUp,
			BacklogGrace: backlogGrace,
		}),
		serviceTotals: hwshare.NewServiceTotals(),
		routerTargets: map[string]float64{},
		pendingCost:   map[string]float64{},
		slowness:      map[string]map[string]int{},
		rateSampledAt: now,
	}
}

// backlogGrace keeps an account backlogged while its queue is empty only briefly, between two reports.
const backlogGrace = 200 * time.Millisecond

// SetLimits sets the slots of each upstream that takes new work.
func (b *Broker) SetLimits(limits map[string]int) {
	b.limits = maps.Clone(limits)
	b.effectiveLimits = maps.Clone(limits)
	b.upstreamNames = slices.Sorted(maps.Keys(limits))
	b.plannedAt = time.Time{}
}

// SetShare sets an account's share.
func (b *Broker) SetShare(account string, share float64) { b.counters.SetShare(account, share) }

// SetMembers sets the instances that may hold slots. A member whose lease expires still has slots reserved for it until it is removed here.
func (b *Broker) SetMembers(members []string) {
	next := map[string]bool{}
	for _, m := range members {
		next[m] = true
	}
	for name, r := range b.routers {
		if !next[name] {
			b.serviceTotals.Forget(r.boot)
			delete(b.routers, name)
			delete(b.slowness, name)
		}
	}
	b.members = next
	b.plannedAt = time.Time{}
}

// HandleReport processes a router's report and returns its grant.
func (b *Broker) HandleReport(now time.Time, report Report) Grant {
	r, known := b.routers[report.Instance]
	boot := hwshare.InstanceBoot{
		Instance: report.Instance,
		Boot:     report.Boot,
	}
	if !known || r.boot != boot {
		if !report.Full {
			return Grant{
				ResendFull: true,
				Sequence:   report.Sequence,
				Lease:      b.settings.Lease,
				FleetSize:  len(b.members),
			}
		}
		if known {
			b.serviceTotals.Forget(r.boot)
		}
		r = b.addRouter(report, boot)
	}
	if report.Sequence <= r.sequence {
		// A newer report has overtaken this one, and its sender no longer waits for the reply.
		return Grant{
			ResendFull: true,
			Sequence:   report.Sequence,
			Lease:      b.settings.Lease,
			FleetSize:  len(b.members),
		}
	}
	b.applyReport(now, r, report)
	// A router that isn't counted is new or reports again after its lease expired. The grant is only correct once its holdings are counted.
	if now.Sub(b.plannedAt) >= b.planInterval() || !r.counted {
		b.plan(now)
	}
	return b.buildGrant(now, report, r)
}

// planIntervalPerRow is the shortest plan interval for each account row, counted over all routers. It bounds the CPU time of planning, which grows with the number of rows.
const planIntervalPerRow = 100 * time.Microsecond

// planInterval returns the shortest time between two computations of the targets.
func (b *Broker) planInterval() time.Duration {
	rows := 0
	for _, r := range b.routers {
		rows += len(r.accounts)
	}
	return max(b.settings.MinPlanInterval, time.Duration(rows)*planIntervalPerRow)
}

// addRouter adds a router that has not reported to this broker in its current boot.
// The previous broker already charged the service in this first report, so it is merged without a charge. The counters that the router knows carry those charges over.
func (b *Broker) addRouter(report Report, boot hwshare.InstanceBoot) *router {
	r := &router{
		boot:         boot,
		upstreams:    map[string]holding{},
		accounts:     map[string]AccountRow{},
		sentCounters: map[string]CounterRow{},
	}
	b.routers[report.Instance] = r
	b.members[report.Instance] = true
	for _, row := range report.KnownCounters {
		b.counters.Raise(row.Account, row.Counter)
	}
	for _, row := range report.Accounts {
		b.serviceTotals.Merge(boot, row.Account, row.Service)
	}
	return r
}

// applyReport stores the rows of a report and charges the service since the previous one.
func (b *Broker) applyReport(now time.Time, r *router, report Report) {
	r.sequence = report.Sequence
	r.reportedAt = now
	if report.Full {
		for u := range r.upstreams {
			b.setHolding(r, u, holding{})
		}
		r.upstreams = map[string]holding{}
		r.accounts = map[string]AccountRow{}
		r.sentCounters = map[string]CounterRow{}
	}
	for _, row := range report.Upstreams {
		b.setHolding(r, row.Upstream, holding{
			held:  row.Held,
			inUse: row.InUse,
		})
		b.recordSlowness(report.Instance, row)
	}
	for _, row := range report.Accounts {
		r.accounts[row.Account] = row
		b.counters.Charge(row.Account, b.serviceTotals.Merge(r.boot, row.Account, row.Service))
	}
	if report.Leaving {
		r.accounts = map[string]AccountRow{}
	}
}

// recordSlowness stores the slowness of an upstream that a router reported. A row without an observation deletes the stored one.
func (b *Broker) recordSlowness(instance string, row UpstreamRow) {
	if b.slowness[instance] == nil {
		b.slowness[instance] = map[string]int{}
	}
	if row.SlowPermille == 0 {
		delete(b.slowness[instance], row.Upstream)
		return
	}
	b.slowness[instance][row.Upstream] = row.SlowPermille
}

// SlownessPermille returns the median of the slowness that routers reported for an upstream, in thousandths of the pool's median, or 1000 without observations.
func (b *Broker) SlownessPermille(upstream string) int {
	var observations []int
	for _, byUpstream := range b.slowness {
		if permille, found := byUpstream[upstream]; found {
			observations = append(observations, permille)
		}
	}
	if len(observations) == 0 {
		return NormalSlownessPermille
	}
	slices.Sort(observations)
	return observations[len(observations)/2]
}

// NormalSlownessPermille is the slowness of an upstream at the pool's median, in thousandths.
const NormalSlownessPermille = 1000

// slowThresholdPermille is the slowness from which an upstream's limit is lowered, in thousandths.
const slowThresholdPermille = 2000

// Limit returns an upstream's effective limit in slots, as of the last plan.
func (b *Broker) Limit(upstream string) int { return b.effectiveLimits[upstream] }

// effectiveLimit computes an upstream's limit from its present slowness. The limit of a slow upstream is proportional to its speed, and at least one slot, which probes whether the upstream has recovered.
func (b *Broker) effectiveLimit(upstream string) int {
	limit := b.limits[upstream]
	slowness := b.SlownessPermille(upstream)
	if slowness < slowThresholdPermille || limit == 0 {
		return limit
	}
	return max(1, limit*NormalSlownessPermille/slowness)
}

// totalLimit returns the sum of all effective limits.
func (b *Broker) totalLimit() int {
	total := 0
	for _, u := range b.upstreamNames {
		total += b.Limit(u)
	}
	return total
}

// changedCounters returns the counter rows that differ from those last sent to the router, for accounts that have work there.
func (b *Broker) changedCounters(instance string, r *router) []CounterRow {
	var rows []CounterRow
	for _, account := range slices.Sorted(maps.Keys(r.accounts)) {
		row := r.accounts[account]
		if row.Waiting+row.Running == 0 {
			continue
		}
		pendingElsewhere := b.pendingCost[account] - row.Pending
		next := CounterRow{
			Account: account,
			Counter: b.counters.Value(account) + max(0, pendingElsewhere)/b.counters.Share(account),
			TargetSlots: math.Round(b.accountTargets[routerAccount{
				instance: instance,
				account:  account,
			}]),
		}
		if sent, known := r.sentCounters[account]; known && sent == next {
			continue
		}
		r.sentCounters[account] = next
		rows = append(rows, next)
	}
	return rows
}

// FairnessGap returns the difference between the highest and the lowest counter of the backlogged accounts, in cost units per share.
func (b *Broker) FairnessGap() float64 { return b.counters.Gap() }

// TotalService returns the fleet's service to an account since this broker started, in cost units.
func (b *Broker) TotalService(account string) float64 { return b.serviceTotals.Total(account) }
