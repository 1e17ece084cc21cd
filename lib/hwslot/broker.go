package hwslot

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwshare"
)

// BrokerSettings are the broker's times and its policy.
type BrokerSettings struct {
	Pool string
	// Lease is how long a router may use its slots after its last answered report.
	Lease time.Duration
	// LearningPeriod is how long a new broker only listens, to rebuild its tables from reports before it grants anything new.
	LearningPeriod time.Duration
	// MinPlanInterval is the shortest time between two computations of the aims.
	MinPlanInterval time.Duration
	// MaxCatchUp is the cap on what an account may catch up, in cost units per share.
	MaxCatchUp float64
	// StaticPartition grants every member its floor and moves nothing. It is a baseline for measurements.
	StaticPartition bool
	Policy          Policy
}

type holding struct {
	held  int
	inUse int
}

type router struct {
	origin    hwshare.InstanceBoot
	sequence  uint64
	reported  time.Time
	upstreams map[string]holding
	accounts  map[string]AccountRow
	// counters is what the router was last told, so that a reply holds only what changed.
	counters map[string]CounterRow
	// tallied tells that what it holds is in the broker's tally.
	tallied bool
}

// Broker leases the slots of one pool.
type Broker struct {
	settings BrokerSettings
	started  time.Time
	limits   map[string]int
	names    []string
	members  map[string]bool
	routers  map[string]*router
	counters *hwshare.Counters
	ledger   *hwshare.ServiceTotals
	planned  time.Time
	targets  map[string]float64
	aims     map[accountAt]float64
	pending  map[string]float64
	// rate is the service of one slot in cost units a second.
	rate      float64
	rateTotal float64
	rateAt    time.Time
	slowdown  map[string]map[string]int
	// held and kept are the tally: what live routers hold and silent members keep, by upstream.
	held map[string]int
	kept map[string]int
	// lent are the idle slots that routers give back for a while, as of the last plan.
	lent map[string]int
	// claims are the slots that routers lack to their targets, as of the last plan.
	claims map[string]int
	// limitsNow are the limits after slowness, as of the last plan.
	limitsNow map[string]int
	// unheard is the most that a member holds at an upstream that has not reported to this broker; nil while it listens.
	unheard map[string]int
}

// NewBroker returns a broker that begins to listen now.
func NewBroker(now time.Time, settings BrokerSettings) *Broker {
	return &Broker{
		settings: settings,
		started:  now,
		limits:   map[string]int{},
		members:  map[string]bool{},
		routers:  map[string]*router{},
		counters: hwshare.NewCounters(hwshare.CounterSettings{
			MaxCatchUp:   settings.MaxCatchUp,
			BacklogGrace: backlogGrace,
		}),
		ledger:   hwshare.NewServiceTotals(),
		targets:  map[string]float64{},
		pending:  map[string]float64{},
		slowdown: map[string]map[string]int{},
		rateAt:   now,
	}
}

// backlogGrace bridges the moments in which a backlogged account's queue is empty between two reports.
const backlogGrace = 200 * time.Millisecond

// SetLimits sets the slots of each upstream that takes new work.
func (b *Broker) SetLimits(limits map[string]int) {
	b.limits = maps.Clone(limits)
	b.limitsNow = maps.Clone(limits)
	b.names = slices.Sorted(maps.Keys(limits))
	b.planned = time.Time{}
}

// SetShare sets an account's share.
func (b *Broker) SetShare(account string, share float64) { b.counters.SetShare(account, share) }

// SetMembers sets the instances that may hold slots. A member that goes silent keeps its floor reserved until it is removed here.
func (b *Broker) SetMembers(members []string) {
	next := map[string]bool{}
	for _, m := range members {
		next[m] = true
	}
	for name, r := range b.routers {
		if !next[name] {
			b.ledger.Forget(r.origin)
			delete(b.routers, name)
			delete(b.slowdown, name)
		}
	}
	b.members = next
	b.planned = time.Time{}
}

// HandleReport takes a router's report and returns its grant.
func (b *Broker) HandleReport(now time.Time, report Report) Grant {
	r, known := b.routers[report.Instance]
	origin := hwshare.InstanceBoot{
		Instance: report.Instance,
		Boot:     report.Boot,
	}
	if !known || r.origin != origin {
		if !report.Full {
			return Grant{
				ResendFull: true,
				Sequence:   report.Sequence,
				Lease:      b.settings.Lease,
				FleetSize:  len(b.members),
			}
		}
		if known {
			b.ledger.Forget(r.origin)
		}
		r = b.admit(report, origin)
	}
	if report.Sequence <= r.sequence {
		// A report that was overtaken says nothing new; its sender has given up on the answer.
		return Grant{
			ResendFull: true,
			Sequence:   report.Sequence,
			Lease:      b.settings.Lease,
			FleetSize:  len(b.members),
		}
	}
	b.take(now, r, report)
	// A router that is not in the tally came back from silence or is new; the next grant needs it counted.
	if now.Sub(b.planned) >= b.replan() || !r.tallied {
		b.plan(now)
	}
	return b.grant(now, report, r)
}

// replanPerRow is how much longer the aims stand for each row of an account at a router. It bounds the processor time of planning, which grows with the rows.
const replanPerRow = 100 * time.Microsecond

// replan returns the shortest time between two computations of the aims.
func (b *Broker) replan() time.Duration {
	rows := 0
	for _, r := range b.routers {
		rows += len(r.accounts)
	}
	return max(b.settings.MinPlanInterval, time.Duration(rows)*replanPerRow)
}

// admit opens the row of a router that this broker has not heard before.
// The service it rendered so far was charged by the broker before, so it becomes the baseline; the router's view of the counters carries it over.
func (b *Broker) admit(report Report, origin hwshare.InstanceBoot) *router {
	r := &router{
		origin:    origin,
		upstreams: map[string]holding{},
		accounts:  map[string]AccountRow{},
		counters:  map[string]CounterRow{},
	}
	b.routers[report.Instance] = r
	b.members[report.Instance] = true
	for _, row := range report.KnownCounters {
		b.counters.Raise(row.Account, row.Counter)
	}
	for _, row := range report.Accounts {
		b.ledger.Merge(origin, row.Account, row.Service)
	}
	return r
}

func (b *Broker) take(now time.Time, r *router, report Report) {
	r.sequence = report.Sequence
	r.reported = now
	if report.Full {
		for u := range r.upstreams {
			b.put(r, u, holding{})
		}
		r.upstreams = map[string]holding{}
		r.accounts = map[string]AccountRow{}
		r.counters = map[string]CounterRow{}
	}
	for _, row := range report.Upstreams {
		b.put(r, row.Upstream, holding{
			held:  row.Held,
			inUse: row.InUse,
		})
		b.noteSlowness(report.Instance, row)
	}
	for _, row := range report.Accounts {
		r.accounts[row.Account] = row
		b.counters.Charge(row.Account, b.ledger.Merge(r.origin, row.Account, row.Service))
	}
	if report.Leaving {
		r.accounts = map[string]AccountRow{}
	}
}

// noteSlowness keeps what each router says about an upstream; a row without an observation withdraws it.
func (b *Broker) noteSlowness(instance string, row UpstreamRow) {
	if b.slowdown[instance] == nil {
		b.slowdown[instance] = map[string]int{}
	}
	if row.SlowPermille == 0 {
		delete(b.slowdown[instance], row.Upstream)
		return
	}
	b.slowdown[instance][row.Upstream] = row.SlowPermille
}

// SlownessPermille returns the median of what the routers say about an upstream in thousandths of the pool's median, or 1000 without observations.
func (b *Broker) SlownessPermille(upstream string) int {
	var seen []int
	for _, rows := range b.slowdown {
		if permille, found := rows[upstream]; found {
			seen = append(seen, permille)
		}
	}
	if len(seen) == 0 {
		return NormalSlownessPermille
	}
	slices.Sort(seen)
	return seen[len(seen)/2]
}

// NormalSlownessPermille is the slowness of an upstream at the pool's median, in thousandths.
const NormalSlownessPermille = 1000

// slowThreshold is the slowness from which an upstream's limit is lowered, in thousandths.
const slowThreshold = 2000

// Limit returns an upstream's slots as of the last plan.
func (b *Broker) Limit(upstream string) int { return b.limitsNow[upstream] }

// limit returns an upstream's slots at present: a slowed upstream keeps slots in proportion to its speed, and at least one, which probes it.
func (b *Broker) limit(upstream string) int {
	limit := b.limits[upstream]
	slowness := b.SlownessPermille(upstream)
	if slowness < slowThreshold || limit == 0 {
		return limit
	}
	return max(1, limit*NormalSlownessPermille/slowness)
}

func (b *Broker) capacity() int {
	total := 0
	for _, u := range b.names {
		total += b.Limit(u)
	}
	return total
}

// news returns the counters and aims that changed noticeably since the router was last told, for accounts it has work of.
func (b *Broker) news(instance string, r *router) []CounterRow {
	var rows []CounterRow
	for _, account := range slices.Sorted(maps.Keys(r.accounts)) {
		row := r.accounts[account]
		if row.Waiting+row.Running == 0 {
			continue
		}
		others := b.pending[account] - row.Pending
		next := CounterRow{
			Account: account,
			Counter: b.counters.Value(account) + max(0, others)/b.counters.Share(account),
			TargetSlots: math.Round(b.aims[accountAt{
				instance: instance,
				account:  account,
			}]),
		}
		if told, known := r.counters[account]; known && told == next {
			continue
		}
		r.counters[account] = next
		rows = append(rows, next)
	}
	return rows
}

// FairnessGap returns the distance between the backlogged accounts that lie farthest apart, in cost units per share.
func (b *Broker) FairnessGap() float64 { return b.counters.Gap() }

// TotalService returns the fleet's service to an account since this broker began, in cost units.
func (b *Broker) TotalService(account string) float64 { return b.ledger.Total(account) }
