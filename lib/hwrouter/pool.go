package hwrouter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwretry"
	"github.com/hickorywick/hickorywick/lib/hwslot"
	"github.com/hickorywick/hickorywick/lib/hwtrail"
	"github.com/hickorywick/hickorywick/lib/hwusage"
)

// decision is the dispatcher's decision on a waiting request: an upstream, or a rejection.
type decision struct {
	upstream  string
	rejection *hwdispatch.Rejection
}

// pool holds a pool's dispatcher and the requests that wait for its decisions. It is safe for concurrent use.
type pool struct {
	name string
	// generation distinguishes a pool from earlier ones of the same name in this process.
	generation uint64
	// reportRequested signals that a report should be sent before the next heartbeat.
	reportRequested chan struct{}
	// stop ends the pool's goroutines when a new document no longer has the pool.
	stop context.CancelFunc

	lock       sync.Mutex
	dispatcher *hwdispatch.Dispatcher
	waiters    map[string]chan decision
	budget     *hwretry.Budget
}

// Settings of dispatchers, brokers and retry budgets that are the same for all pools.
const (
	starvationTimeout = 2 * time.Second
	// initialCostEstimate is the estimated cost, in cost units, of a request before any has been measured.
	initialCostEstimate = 100
	retryBudgetRatio    = 0.1
	retryBudgetInitial  = 10
	// retryBudgetWindow is how long a granted retry may be used. Bursts have no other cap: each retry waits for a slot like any attempt (docs/design/limits.md).
	retryBudgetWindow = 10 * time.Second
	// retryBudgetPerSecond is how many retries a second are granted without other traffic.
	retryBudgetPerSecond = 1
	catchUpFactor        = 20
	tickInterval         = 20 * time.Millisecond
	// seedMask is mixed into the seeds of the random number generators.
	seedMask = 0x9e3779b97f4a7c15
)

// lastPoolGeneration is the generation of the pool that this process created last.
var lastPoolGeneration atomic.Uint64

func newPool(now time.Time, settings Settings, document *hwdocument.Document, spec hwdocument.Pool, members []string) *pool {
	source := rand.NewPCG(settings.Boot, hwslot.RendezvousWeight(spec.Name, settings.Instance)^seedMask)
	budget := hwretry.NewBudget(now, hwretry.BudgetSettings{
		RetryRatio:     retryBudgetRatio,
		InitialRetries: retryBudgetInitial,
		Window:         retryBudgetWindow,
	}, 0)
	budget.SetRate(now, retryBudgetPerSecond)
	return &pool{
		name:            spec.Name,
		generation:      lastPoolGeneration.Add(1),
		reportRequested: make(chan struct{}, 1),
		waiters:         map[string]chan decision{},
		budget:          budget,
		dispatcher: hwdispatch.New(hwdispatch.Settings{
			Instance:          settings.Instance,
			Boot:              settings.Boot,
			Zone:              settings.Zone,
			Lease:             settings.Timing.LeaseDuration,
			StaticPartition:   settings.Coordination != CoordinationLeased,
			StarvationTimeout: starvationTimeout,
			Lanes:             settings.Lanes,
			MaxCatchUp:        maxCatchUp(spec),
			InitialEstimate:   initialCostEstimate,
		}, spec, document.Accounts, members, source),
	}
}

// maxCatchUp returns how much missed service an account may recover after a network partition: the largest cost of a few requests.
func maxCatchUp(spec hwdocument.Pool) float64 { return catchUpFactor * spec.LargestCost }

// acquire waits until the request may start at an upstream. The returned wait describes the queue at the request's arrival; it is nil if the request didn't have to wait.
func (p *pool) acquire(ctx context.Context, now time.Time, request hwdispatch.Request) (string, *hwtrail.Wait, *hwerror.RequestError) {
	decided := make(chan decision, 1)
	p.lock.Lock()
	p.waiters[request.ID] = decided
	p.apply(p.dispatcher.Enqueue(now, request))
	var wait *hwtrail.Wait
	if _, waits := p.waiters[request.ID]; waits {
		wait = &hwtrail.Wait{
			Began:   now,
			Outlook: p.dispatcher.QueueSnapshot(now, request),
		}
	}
	p.lock.Unlock()
	select {
	case d := <-decided:
		upstream, requestErr := decisionResult(d)
		return upstream, wait, requestErr
	case <-ctx.Done():
	}
	upstream, requestErr := p.cancel(request, decided)
	return upstream, wait, requestErr
}

// cancel removes a waiting request whose caller has disconnected. If the request was assigned a slot in the meantime, the slot is freed.
func (p *pool) cancel(request hwdispatch.Request, decided chan decision) (string, *hwerror.RequestError) {
	now := time.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.waiters, request.ID)
	p.dispatcher.Cancel(now, request.Account, request.ID)
	select {
	case d := <-decided:
		if d.rejection == nil {
			p.apply(p.dispatcher.Finish(now, request.ID, hwdispatch.AttemptResult{
				Failed: true,
			}))
		}
	default:
	}
	return "", hwerror.NewRejection(hwerror.KindCallerGone, hwevent.RequestRefused.Number, "the caller went away while the request waited")
}

func decisionResult(d decision) (string, *hwerror.RequestError) {
	if d.rejection == nil {
		return d.upstream, nil
	}
	message := "the request cannot start before its deadline"
	if d.rejection.Kind == hwerror.KindQueueFull {
		message = "the account's queue is full"
	}
	requestErr := hwerror.NewRejection(d.rejection.Kind, hwevent.RequestRefused.Number, message)
	return "", requestErr.WithRetryAfter(max(d.rejection.RetryAfter, time.Second))
}

// apply delivers the dispatcher's decisions and requests a report if one is due. The caller holds the lock; the channels are buffered, so nothing blocks.
func (p *pool) apply(effects hwdispatch.Effects) {
	for _, start := range effects.Starts {
		p.deliver(start.ID, decision{
			upstream: start.Upstream,
		})
	}
	for i := range effects.Rejections {
		p.deliver(effects.Rejections[i].ID, decision{
			rejection: &effects.Rejections[i],
		})
	}
	if !effects.SendReport {
		return
	}
	select {
	case p.reportRequested <- struct{}{}:
	default:
	}
}

func (p *pool) deliver(id string, d decision) {
	if waiter, waiting := p.waiters[id]; waiting {
		delete(p.waiters, id)
		waiter <- d
	}
}

func (p *pool) chargeProgress(now time.Time, id string, cost float64) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.dispatcher.ChargeProgress(now, id, cost)
}

func (p *pool) finish(now time.Time, id string, result hwdispatch.AttemptResult) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.apply(p.dispatcher.Finish(now, id, result))
}

func (p *pool) depositRetry(now time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.budget.Deposit(now)
}

func (p *pool) withdrawRetry(now time.Time) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.budget.TryWithdraw(now)
}

func (p *pool) nextReport(now time.Time, leaving bool) hwslot.Report {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.dispatcher.NextReport(now, leaving)
}

func (p *pool) applyGrant(now time.Time, grant hwslot.Grant) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.apply(p.dispatcher.ApplyGrant(now, grant))
}

func (p *pool) reportFailed() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.dispatcher.ReportFailed()
}

func (p *pool) tick(now time.Time) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	effects, expired := p.dispatcher.Tick(now)
	p.apply(effects)
	return expired
}

func (p *pool) setDocument(document *hwdocument.Document, spec hwdocument.Pool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.dispatcher.Configure(spec, document.Accounts)
	p.apply(hwdispatch.Effects{
		SendReport: true,
	})
}

func (p *pool) setMembers(members []string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.dispatcher.SetMembers(members)
}

func (p *pool) status() hwdispatch.Status {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.dispatcher.Status()
}

// serviceTotals returns the service that each account has received from this pool.
func (p *pool) serviceTotals() []hwusage.CumulativeUsage {
	var totals []hwusage.CumulativeUsage
	for _, a := range p.status().Accounts {
		totals = append(totals, hwusage.CumulativeUsage{
			Pool:           p.name,
			PoolGeneration: p.generation,
			Account:        a.Account,
			Units:          a.Service,
		})
	}
	return totals
}

func (p *pool) idle() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.dispatcher.Idle()
}

// newBroker returns a broker for a pool whose broker this instance has just become.
func newBroker(now time.Time, settings Settings, learningPeriod time.Duration, document *hwdocument.Document, spec hwdocument.Pool, members []string) *hwslot.Broker {
	broker := hwslot.NewBroker(now, hwslot.BrokerSettings{
		Pool:            spec.Name,
		Lease:           settings.Timing.LeaseDuration,
		LearningPeriod:  learningPeriod,
		MinPlanInterval: settings.Timing.ReportInterval / 2,
		MaxCatchUp:      maxCatchUp(spec),
		StaticPartition: settings.Coordination == CoordinationStatic,
		Policy: hwslot.MaxMin{
			Gain: settings.Gain,
		},
	})
	configureBroker(broker, document, spec)
	broker.SetMembers(members)
	return broker
}

func configureBroker(broker *hwslot.Broker, document *hwdocument.Document, spec hwdocument.Pool) {
	limits := map[string]int{}
	for _, u := range spec.Upstreams {
		if !u.Draining {
			limits[u.Address] = spec.SlotLimit(u)
		}
	}
	broker.SetLimits(limits)
	for _, a := range document.Accounts {
		broker.SetShare(a.Name, a.Share)
	}
}
