package hwdispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwlimit"
	"github.com/hickorywick/hickorywick/lib/hwroute"
	"github.com/hickorywick/hickorywick/lib/hwshare"
	"github.com/hickorywick/hickorywick/lib/hwslot"
)

// Settings are the parts of the dispatcher that the document does not hold.
type Settings struct {
	Instance string
	Boot     uint64
	Zone     string
	Lease    time.Duration
	// StaticPartition gives the router its floor of slots for good, as a baseline.
	StaticPartition bool
	// StarvationTimeout is how long long work waits behind short work before it may claim its part of the account's slots.
	StarvationTimeout time.Duration
	// Lanes is how short work is told from long work.
	Lanes LaneRule
	// MaxCatchUp is the cap on what an account may catch up, in cost units per share.
	MaxCatchUp float64
	// InitialEstimate is the expected cost before anything was learned, in cost units.
	InitialEstimate float64
}

type running struct {
	request  Request
	upstream string
	started  time.Time
	estimate float64
	charged  float64
	lane     hwshare.Lane
	progress time.Time
}

type account struct {
	bound   int
	service float64
	running int
	// long is how many of the running requests are in the long lane.
	long int
	// short measures the account's short work.
	short shortLoad
	// pace bounds the starts of its long work.
	pace longPace
	// aim is the number of slots meant for the account at this router; aimed tells that a broker said so.
	aim   float64
	aimed bool
	// starts counts starts while backlogged; with since it gives the rate that predicts waits.
	starts float64
	since  time.Time
}

// Dispatcher is the state of one pool at one router.
type Dispatcher struct {
	settings  Settings
	pool      hwdocument.Pool
	queue     *hwshare.Queue[Request]
	counters  *hwshare.Counters
	estimator *hwshare.CostEstimator
	split     *hwshare.ThresholdEstimator
	holder    *hwslot.LeaseHolder
	detector  *hwlimit.OutlierDetector
	health    *hwlimit.Health
	chooser   *hwroute.Chooser
	accounts  map[string]*account
	running   map[string]*running
	zones     map[string]string
	// startedAt is when work last started at an upstream.
	startedAt map[string]time.Time
	// pendingSums is the pending work by account as of pendingAt.
	pendingSums map[string]float64
	pendingAt   time.Time
	// reported is each account's service at the last report, to bring the broker's counters up to date on arrival.
	reported map[string]float64
}

// New returns a dispatcher for a pool, with random numbers from the given source.
func New(settings Settings, pool hwdocument.Pool, accounts []hwdocument.Account, members []string, source rand.Source) *Dispatcher {
	d := &Dispatcher{
		settings: settings,
		queue:    hwshare.NewQueue[Request](),
		counters: hwshare.NewCounters(hwshare.CounterSettings{
			MaxCatchUp:   settings.MaxCatchUp,
			BacklogGrace: 0,
		}),
		estimator: hwshare.NewCostEstimator(settings.InitialEstimate),
		split:     hwshare.NewThresholdEstimator(),
		holder: hwslot.NewLeaseHolder(hwslot.LeaseHolderSettings{
			Instance:        settings.Instance,
			Boot:            settings.Boot,
			Pool:            pool.Name,
			Lease:           settings.Lease,
			StaticPartition: settings.StaticPartition,
		}),
		detector: hwlimit.NewOutlierDetector(hwlimit.OutlierSettings{
			MaxSampleAge:      speedWindow,
			SlowPermille:      slowPermille,
			RecoveredPermille: recoveredPermille,
			MinSamples:        minimumSamples,
		}),
		health: hwlimit.NewHealth(hwlimit.HealthSettings{
			InitialBackoff: firstPause,
			MaxBackoff:     longestPause,
		}),
		chooser: hwroute.NewChooser(hwroute.Settings{
			Zone:               settings.Zone,
			MaxAffinityEntries: affinityEntries,
			AffinityDiscount:   affinityDiscount,
			CrossZonePenalty:   zoneCostSeconds,
		}, source),
		startedAt: map[string]time.Time{},
		accounts:  map[string]*account{},
		running:   map[string]*running{},
		reported:  map[string]float64{},
	}
	d.holder.SetMembers(members)
	d.Configure(pool, accounts)
	return d
}

// The detector's and the chooser's constants.
const (
	speedWindow       = 3 * time.Second
	slowPermille      = 2000
	recoveredPermille = 1500
	minimumSamples    = 20
	firstPause        = 250 * time.Millisecond
	longestPause      = 5 * time.Second
	affinityEntries   = 10000
	affinityDiscount  = 0.3
	zoneCostSeconds   = 0.001
)

// Configure takes the pool's and the accounts' settings of a new document.
func (d *Dispatcher) Configure(pool hwdocument.Pool, accounts []hwdocument.Account) {
	d.pool = pool
	d.zones = map[string]string{}
	limits := map[string]int{}
	for _, u := range pool.Upstreams {
		d.zones[u.Address] = u.Zone
		if !u.Draining {
			limits[u.Address] = pool.SlotLimit(u)
		}
	}
	for _, a := range accounts {
		d.account(a.Name).bound = a.QueueBound
		d.counters.SetShare(a.Name, a.Share)
	}
	d.holder.SetLimits(limits)
}

// SetMembers sets the instances among which floors are divided.
func (d *Dispatcher) SetMembers(members []string) { d.holder.SetMembers(members) }

func (d *Dispatcher) account(name string) *account {
	a, known := d.accounts[name]
	if !known {
		a = &account{
			bound: hwdocument.DefaultQueueBound,
		}
		d.accounts[name] = a
	}
	return a
}

// Enqueue admits a request, or rejects it when its account's queue is full or its deadline cannot be met.
func (d *Dispatcher) Enqueue(now time.Time, request Request) Effects {
	a := d.account(request.Account)
	waiting := d.queue.Waiting(request.Account)
	expected, known := d.expectedWait(now, request.Account)
	switch {
	case request.Requeued:
	case waiting >= a.bound:
		return rejected(request.ID, hwerror.KindQueueFull, expected)
	case !now.Before(request.Deadline):
		return rejected(request.ID, hwerror.KindDeadlineCannotBeMet, 0)
	case known && now.Add(expected).After(request.Deadline):
		return rejected(request.ID, hwerror.KindDeadlineCannotBeMet, expected)
	}
	estimate := d.estimate(request)
	d.split.Observe(estimate)
	entry := hwshare.Entry[Request]{
		ID:       request.ID,
		Account:  request.Account,
		Lane:     d.lane(estimate),
		Arrived:  now,
		Deadline: request.Deadline,
		Item:     request,
	}
	if request.Requeued {
		d.queue.PushFront(entry)
	} else {
		d.queue.Push(entry)
	}
	d.counters.ObserveBacklog(now, request.Account, true)
	if waiting == 0 {
		a.starts = 0
		a.since = now
	}
	effects := d.dispatch(now)
	effects.SendReport = true
	return effects
}

func rejected(id string, kind hwerror.Kind, after time.Duration) Effects {
	return Effects{
		Rejections: []Rejection{{
			ID:         id,
			Kind:       kind,
			RetryAfter: after,
		}},
	}
}

func (d *Dispatcher) estimate(request Request) float64 {
	return math.Max(request.PromptCost, d.estimator.Estimate(request.Account, request.CostHint))
}

func (d *Dispatcher) lane(cost float64) hwshare.Lane {
	border, found := d.border()
	if found && cost > border {
		return hwshare.LongLane
	}
	return hwshare.ShortLane
}

// rateSamples is how many starts a prediction of the wait needs.
const rateSamples = 8

// expectedWait predicts how long a new request of the account waits, from how fast its queue moved since it last was empty.
func (d *Dispatcher) expectedWait(now time.Time, name string) (time.Duration, bool) {
	a := d.account(name)
	elapsed := now.Sub(a.since).Seconds()
	if a.starts < rateSamples || elapsed <= 0 {
		return 0, false
	}
	seconds := float64(d.queue.Waiting(name)) * elapsed / a.starts
	return time.Duration(seconds * float64(time.Second)), true
}

// halveStarts forgets old starts, so that the predicted wait follows the present rate.
func (a *account) halveStarts(now time.Time) {
	const horizon = 2 * time.Second
	elapsed := now.Sub(a.since)
	if elapsed > horizon {
		a.since = now.Add(-elapsed / 2)
		a.starts /= 2
	}
}

// Cancel removes a waiting request and reports whether it was waiting.
func (d *Dispatcher) Cancel(now time.Time, accountName, id string) bool {
	found := d.queue.Remove(accountName, id)
	d.settleBacklog(now, accountName)
	return found
}

func (d *Dispatcher) settleBacklog(now time.Time, name string) {
	d.counters.ObserveBacklog(now, name, d.queue.Waiting(name) > 0)
}

// dispatch starts waiting requests while slots are free, the backlogged account with the lowest counter first.
func (d *Dispatcher) dispatch(now time.Time) Effects {
	var effects Effects
	for {
		// Ticks and ends come far more often than something waits.
		if d.queue.Empty() {
			return effects
		}
		upstreams := d.holder.AvailableUpstreams()
		if len(upstreams) == 0 {
			return effects
		}
		start, found := d.startOne(now, d.candidates(now, upstreams))
		if !found {
			return effects
		}
		if start.ID != "" {
			effects.Starts = append(effects.Starts, start)
		}
	}
}

// startOne starts the next request, or moves one that turns out to be long to its lane; the start is then empty. It reports false when nothing can start.
func (d *Dispatcher) startOne(now time.Time, candidates []hwroute.Candidate) (Start, bool) {
	for _, name := range d.byCounter(now) {
		order := d.order(now, name)
		entry, found := d.queue.Peek(name, order)
		if !found {
			continue
		}
		estimate := d.estimate(entry.Item)
		if entry.Lane == hwshare.ShortLane && d.lane(estimate) == hwshare.LongLane {
			// What was learned since it arrived says that it is long.
			d.queue.Pop(name, order)
			entry.Lane = hwshare.LongLane
			d.queue.Push(entry)
			return Start{}, true
		}
		upstream, chosen := d.chooser.Choose(candidates, entry.Item.PrefixHash, estimate, d.excluded(entry.Item))
		if !chosen {
			// Only upstreams that this request has tried are free; the next account may use them.
			continue
		}
		d.queue.Pop(name, order)
		d.start(now, entry, upstream, estimate)
		return Start{
			ID:       entry.ID,
			Upstream: upstream,
		}, true
	}
	return Start{}, false
}

// excluded returns the upstreams that a request should avoid. When it would have to avoid all there are, it may use any.
func (d *Dispatcher) excluded(request Request) []string {
	avoid := request.Excluded
	if request.CrashSuspect {
		avoid = append(slices.Clone(avoid), d.withSuspects()...)
	}
	for _, u := range d.pool.Upstreams {
		if !u.Draining && !slices.Contains(avoid, u.Address) {
			return avoid
		}
	}
	return nil
}

func (d *Dispatcher) withSuspects() []string {
	var upstreams []string
	for _, r := range d.running {
		if r.request.CrashSuspect {
			upstreams = append(upstreams, r.upstream)
		}
	}
	return upstreams
}

func (d *Dispatcher) start(now time.Time, entry hwshare.Entry[Request], upstream string, estimate float64) {
	d.holder.Acquire(upstream)
	d.startedAt[upstream] = now
	a := d.account(entry.Account)
	a.running++
	a.starts++
	a.halveStarts(now)
	d.enterLane(now, a, entry.Lane)
	if entry.Lane == hwshare.LongLane {
		a.pace.allowance--
	}
	d.running[entry.ID] = &running{
		request:  entry.Item,
		upstream: upstream,
		started:  now,
		estimate: estimate,
		lane:     entry.Lane,
		progress: now,
	}
	if d.pendingSums != nil {
		d.pendingSums[entry.Account] += d.ahead(upstream, estimate)
	}
	d.settleBacklog(now, entry.Account)
}

// byCounter returns the accounts with waiting work, the lowest counter first; what runs counts with its expected cost.
func (d *Dispatcher) byCounter(now time.Time) []string {
	names := d.queue.Accounts()
	pending := d.pending(now)
	slices.SortStableFunc(names, func(a, b string) int {
		left := d.counters.Value(a) + pending[a]/d.counters.Share(a)
		right := d.counters.Value(b) + pending[b]/d.counters.Share(b)
		switch {
		case left < right:
			return -1
		case left > right:
			return 1
		default:
			return 0
		}
	})
	return names
}

// Finish settles a request and starts what its slot allows.
func (d *Dispatcher) Finish(now time.Time, id string, finish AttemptResult) Effects {
	r, known := d.running[id]
	if !known {
		return Effects{}
	}
	d.charge(r, finish.Cost)
	switch {
	case finish.ConnectFailed:
		d.health.RecordFailure(now, r.upstream)
	case !finish.Failed:
		d.health.RecordSuccess(r.upstream)
	}
	if !finish.Failed {
		d.split.Observe(finish.Cost)
		d.estimator.ObserveFinished(r.request.Account, r.request.CostHint, finish.Cost)
		d.observeWhole(now, r, finish.Cost)
	}
	a := d.account(r.request.Account)
	a.running--
	d.leaveLane(now, a, r.lane)
	delete(d.running, id)
	d.holder.Release(r.upstream)
	effects := d.dispatch(now)
	effects.SendReport = true
	return effects
}

// observeWhole judges an upstream's speed by a whole answer, when there was no stream to judge by.
func (d *Dispatcher) observeWhole(now time.Time, r *running, cost float64) {
	if r.progress != r.started || cost <= 0 || d.pool.Kind != hwdocument.KindEngine {
		return
	}
	d.detector.Observe(now, r.upstream, time.Duration(float64(now.Sub(r.started))/cost))
}
