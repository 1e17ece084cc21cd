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

// Settings are the settings of the dispatcher that are not part of the configuration document.
type Settings struct {
	Instance string
	Boot     uint64
	Zone     string
	Lease    time.Duration
	// StaticPartition lets the router use its even split of the slots without a lease. It is a baseline for measurements.
	StaticPartition bool
	// StarvationTimeout is how long a long request waits behind short ones before it may take a part of the account's slots first.
	StarvationTimeout time.Duration
	// Lanes is the rule that divides requests into short and long ones.
	Lanes LaneRule
	// MaxCatchUp limits how much service an account that fell behind may catch up, in cost units per share.
	MaxCatchUp float64
	// InitialEstimate is the expected cost of a request before any was observed, in cost units.
	InitialEstimate float64
}

type runningRequest struct {
	request   Request
	upstream  string
	startedAt time.Time
	// estimate and charged are the expected cost and the cost charged so far, in cost units.
	estimate float64
	charged  float64
	lane     hwshare.Lane
	// progressAt is when progress was last charged, or startedAt if it never was.
	progressAt time.Time
}

type account struct {
	queueBound int
	// service is the cost charged to the account, in cost units.
	service float64
	running int
	// runningLong is how many of the running requests are in the long lane.
	runningLong int
	// shortLoad is the average number of running short requests.
	shortLoad loadAverage
	// longStarts limits the rate at which long requests start.
	longStarts startLimiter
	// targetSlots is how many slots the account is to have at this router; hasTarget reports whether a grant has set it.
	targetSlots float64
	hasTarget   bool
	// starts counts the starts since startsSince while requests waited. The rate of starts predicts waiting times.
	starts      float64
	startsSince time.Time
}

// Dispatcher schedules the requests of one pool at one router.
type Dispatcher struct {
	settings           Settings
	pool               hwdocument.Pool
	queue              *hwshare.Queue[Request]
	counters           *hwshare.Counters
	costEstimator      *hwshare.CostEstimator
	thresholdEstimator *hwshare.ThresholdEstimator
	holder             *hwslot.LeaseHolder
	detector           *hwlimit.OutlierDetector
	health             *hwlimit.Health
	chooser            *hwroute.Chooser
	accounts           map[string]*account
	running            map[string]*runningRequest
	zones              map[string]string
	// lastStartAt is when a request last started, by upstream.
	lastStartAt map[string]time.Time
	// pendingCost is the pending cost by account, in cost units, computed at pendingComputedAt.
	pendingCost       map[string]float64
	pendingComputedAt time.Time
	// reportedService is each account's service in the last report. It is used to add later charges to the counters of the broker's reply.
	reportedService map[string]float64
}

// New returns a dispatcher for a pool. The source provides the random numbers for the choice of upstreams.
func New(settings Settings, pool hwdocument.Pool, accounts []hwdocument.Account, members []string, source rand.Source) *Dispatcher {
	d := &Dispatcher{
		settings: settings,
		queue:    hwshare.NewQueue[Request](),
		counters: hwshare.NewCounters(hwshare.CounterSettings{
			MaxCatchUp:   settings.MaxCatchUp,
			BacklogGrace: 0,
		}),
		costEstimator:      hwshare.NewCostEstimator(settings.InitialEstimate),
		thresholdEstimator: hwshare.NewThresholdEstimator(),
		holder: hwslot.NewLeaseHolder(hwslot.LeaseHolderSettings{
			Instance:        settings.Instance,
			Boot:            settings.Boot,
			Pool:            pool.Name,
			Lease:           settings.Lease,
			StaticPartition: settings.StaticPartition,
		}),
		detector: hwlimit.NewOutlierDetector(hwlimit.OutlierSettings{
			MaxSampleAge:      maxSampleAge,
			SlowPermille:      slowPermille,
			RecoveredPermille: recoveredPermille,
			MinSamples:        minSamples,
		}),
		health: hwlimit.NewHealth(hwlimit.HealthSettings{
			InitialBackoff: initialBackoff,
			MaxBackoff:     maxBackoff,
		}),
		chooser: hwroute.NewChooser(hwroute.Settings{
			Zone:               settings.Zone,
			MaxAffinityEntries: affinityEntries,
			AffinityDiscount:   affinityDiscount,
			CrossZonePenalty:   crossZoneCostSeconds,
		}, source),
		lastStartAt:     map[string]time.Time{},
		accounts:        map[string]*account{},
		running:         map[string]*runningRequest{},
		reportedService: map[string]float64{},
	}
	d.holder.SetMembers(members)
	d.Configure(pool, accounts)
	return d
}

// Settings of the outlier detector, the backoff after failed connections and the choice of upstreams.
const (
	maxSampleAge         = 3 * time.Second
	slowPermille         = 2000
	recoveredPermille    = 1500
	minSamples           = 20
	initialBackoff       = 250 * time.Millisecond
	maxBackoff           = 5 * time.Second
	affinityEntries      = 10000
	affinityDiscount     = 0.3
	crossZoneCostSeconds = 0.001
)

// Configure applies the pool and accounts of a new configuration document.
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
		d.account(a.Name).queueBound = a.QueueBound
		d.counters.SetShare(a.Name, a.Share)
	}
	d.holder.SetLimits(limits)
}

// SetMembers sets the instances among which slots are split evenly.
func (d *Dispatcher) SetMembers(members []string) { d.holder.SetMembers(members) }

func (d *Dispatcher) account(name string) *account {
	a, known := d.accounts[name]
	if !known {
		a = &account{
			queueBound: hwdocument.DefaultQueueBound,
		}
		d.accounts[name] = a
	}
	return a
}

// Enqueue queues a request, or rejects it if its account's queue is full or its deadline cannot be met.
func (d *Dispatcher) Enqueue(now time.Time, request Request) Effects {
	a := d.account(request.Account)
	waiting := d.queue.Waiting(request.Account)
	expected, known := d.expectedWait(now, request.Account)
	switch {
	case request.Requeued:
	case waiting >= a.queueBound:
		return rejectionEffects(request.ID, hwerror.KindQueueFull, expected)
	case !now.Before(request.Deadline):
		return rejectionEffects(request.ID, hwerror.KindDeadlineCannotBeMet, 0)
	case known && now.Add(expected).After(request.Deadline):
		return rejectionEffects(request.ID, hwerror.KindDeadlineCannotBeMet, expected)
	}
	estimate := d.estimateCost(request)
	d.thresholdEstimator.Observe(estimate)
	entry := hwshare.Entry[Request]{
		ID:       request.ID,
		Account:  request.Account,
		Lane:     d.laneOf(estimate),
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
		a.startsSince = now
	}
	effects := d.dispatch(now)
	effects.SendReport = true
	return effects
}

func rejectionEffects(id string, kind hwerror.Kind, after time.Duration) Effects {
	return Effects{
		Rejections: []Rejection{{
			ID:         id,
			Kind:       kind,
			RetryAfter: after,
		}},
	}
}

// estimateCost returns the expected cost of a request, which is at least the cost of its prompt.
func (d *Dispatcher) estimateCost(request Request) float64 {
	return math.Max(request.PromptCost, d.costEstimator.Estimate(request.Account, request.CostHint))
}

func (d *Dispatcher) laneOf(cost float64) hwshare.Lane {
	threshold, found := d.longThreshold()
	if found && cost > threshold {
		return hwshare.LongLane
	}
	return hwshare.ShortLane
}

// minRateSamples is the minimum number of starts for predicting a waiting time.
const minRateSamples = 8

// expectedWait predicts how long a new request of the account waits, from the recent rate of starts of its queue. It reports false without enough starts.
func (d *Dispatcher) expectedWait(now time.Time, name string) (time.Duration, bool) {
	a := d.account(name)
	elapsed := now.Sub(a.startsSince).Seconds()
	if a.starts < minRateSamples || elapsed <= 0 {
		return 0, false
	}
	seconds := float64(d.queue.Waiting(name)) * elapsed / a.starts
	return time.Duration(seconds * float64(time.Second)), true
}

// decayStarts halves the count and the elapsed time once they cover more than the horizon, so that the predicted wait follows the current rate.
func (a *account) decayStarts(now time.Time) {
	const horizon = 2 * time.Second
	elapsed := now.Sub(a.startsSince)
	if elapsed > horizon {
		a.startsSince = now.Add(-elapsed / 2)
		a.starts /= 2
	}
}

// Cancel removes a waiting request and reports whether it was found.
func (d *Dispatcher) Cancel(now time.Time, accountName, id string) bool {
	found := d.queue.Remove(accountName, id)
	d.updateBacklog(now, accountName)
	return found
}

func (d *Dispatcher) updateBacklog(now time.Time, name string) {
	d.counters.ObserveBacklog(now, name, d.queue.Waiting(name) > 0)
}

// dispatch starts waiting requests while slots are free. The account with the lowest counter goes first.
func (d *Dispatcher) dispatch(now time.Time) Effects {
	var effects Effects
	for {
		// This fast path is the common case: the queue is usually empty on ticks and when requests finish.
		if d.queue.Empty() {
			return effects
		}
		upstreams := d.holder.AvailableUpstreams()
		if len(upstreams) == 0 {
			return effects
		}
		start, found := d.startNext(now, d.candidates(now, upstreams))
		if !found {
			return effects
		}
		if start.ID != "" {
			effects.Starts = append(effects.Starts, start)
		}
	}
}

// startNext starts the next request. If that request has turned out to be long, it is moved to the long lane instead and the returned Start is empty. It reports false if no request can start.
func (d *Dispatcher) startNext(now time.Time, candidates []hwroute.Candidate) (Start, bool) {
	for _, name := range d.accountsByCounter(now) {
		order := d.laneOrder(now, name)
		entry, found := d.queue.Peek(name, order)
		if !found {
			continue
		}
		estimate := d.estimateCost(entry.Item)
		if entry.Lane == hwshare.ShortLane && d.laneOf(estimate) == hwshare.LongLane {
			// The estimate or the threshold has changed since the request arrived.
			d.queue.Pop(name, order)
			entry.Lane = hwshare.LongLane
			d.queue.Push(entry)
			return Start{}, true
		}
		upstream, chosen := d.chooser.Choose(candidates, entry.Item.PrefixHash, estimate, d.excludedUpstreams(entry.Item))
		if !chosen {
			// All upstreams with free slots are excluded for this request, but the next account may use them.
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

// excludedUpstreams returns the upstreams that a request should avoid, or none if that would exclude every upstream that is not draining.
func (d *Dispatcher) excludedUpstreams(request Request) []string {
	excluded := request.Excluded
	if request.CrashSuspect {
		excluded = append(slices.Clone(excluded), d.upstreamsWithSuspects()...)
	}
	for _, u := range d.pool.Upstreams {
		if !u.Draining && !slices.Contains(excluded, u.Address) {
			return excluded
		}
	}
	return nil
}

// upstreamsWithSuspects returns the upstreams at which crash suspects run.
func (d *Dispatcher) upstreamsWithSuspects() []string {
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
	d.lastStartAt[upstream] = now
	a := d.account(entry.Account)
	a.running++
	a.starts++
	a.decayStarts(now)
	d.recordLaneStart(now, a, entry.Lane)
	if entry.Lane == hwshare.LongLane {
		a.longStarts.tokens--
	}
	d.running[entry.ID] = &runningRequest{
		request:    entry.Item,
		upstream:   upstream,
		startedAt:  now,
		estimate:   estimate,
		lane:       entry.Lane,
		progressAt: now,
	}
	if d.pendingCost != nil {
		d.pendingCost[entry.Account] += d.costWithinHorizon(upstream, estimate)
	}
	d.updateBacklog(now, entry.Account)
}

// accountsByCounter returns the accounts with waiting requests in ascending order of their counters, to which the pending cost of running requests is added.
func (d *Dispatcher) accountsByCounter(now time.Time) []string {
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

// Finish charges the final cost of a request, releases its slot and starts waiting requests.
func (d *Dispatcher) Finish(now time.Time, id string, result AttemptResult) Effects {
	r, known := d.running[id]
	if !known {
		return Effects{}
	}
	d.charge(r, result.Cost)
	switch {
	case result.ConnectFailed:
		d.health.RecordFailure(now, r.upstream)
	case !result.Failed:
		d.health.RecordSuccess(now, r.upstream)
	}
	if result.Pause > 0 {
		d.health.RecordPause(now, r.upstream, result.Pause)
	}
	if !result.Failed {
		d.thresholdEstimator.Observe(result.Cost)
		d.costEstimator.ObserveFinished(r.request.Account, r.request.CostHint, result.Cost)
		d.observeCompleted(now, r, result.Cost)
	}
	a := d.account(r.request.Account)
	a.running--
	d.recordLaneEnd(now, a, r.lane)
	delete(d.running, id)
	d.holder.Release(r.upstream)
	effects := d.dispatch(now)
	effects.SendReport = true
	return effects
}

// observeCompleted samples an engine's speed from the total time of a request that reported no progress.
func (d *Dispatcher) observeCompleted(now time.Time, r *runningRequest, cost float64) {
	if r.progressAt != r.startedAt || cost <= 0 || d.pool.Kind != hwdocument.KindEngine {
		return
	}
	d.detector.Observe(now, r.upstream, time.Duration(float64(now.Sub(r.startedAt))/cost))
}
