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

// decision is what a waiting request is told: an upstream, or why there is none.
type decision struct {
	upstream  string
	rejection *hwdispatch.Rejection
}

// pool is the shared table of one pool: the dispatcher and the requests that wait for its decisions.
type pool struct {
	name string
	// life tells pools of one name apart.
	life uint64
	// changed asks for a report soon.
	changed chan struct{}
	// stop ends the pool's goroutines when the document drops the pool.
	stop context.CancelFunc

	lock       sync.Mutex
	dispatcher *hwdispatch.Dispatcher
	waiters    map[string]chan decision
	budget     *hwretry.Budget
	reportedAt time.Time
}

// The parts of the dispatcher's settings that are the same everywhere.
const (
	shortPatience = 2 * time.Second
	firstEstimate = 100
	retryRatio    = 0.1
	retryReserve  = 10
	retryTrickle  = 1
	catchUpFactor = 20
	tickEvery     = 20 * time.Millisecond
	randomStream  = 0x9e3779b97f4a7c15
)

// lives counts the pools of this process.
var lives atomic.Uint64

func newPool(now time.Time, settings Settings, document *hwdocument.Document, spec hwdocument.Pool, members []string) *pool {
	source := rand.NewPCG(settings.Boot, hwslot.RendezvousWeight(spec.Name, settings.Instance)^randomStream)
	return &pool{
		name:    spec.Name,
		life:    lives.Add(1),
		changed: make(chan struct{}, 1),
		waiters: map[string]chan decision{},
		budget: hwretry.NewBudget(now, hwretry.BudgetSettings{
			RetryRatio:          retryRatio,
			MaxBalance:          retryReserve,
			MinRetriesPerSecond: retryTrickle,
		}),
		dispatcher: hwdispatch.New(hwdispatch.Settings{
			Instance:          settings.Instance,
			Boot:              settings.Boot,
			Zone:              settings.Zone,
			Lease:             settings.Timing.LeaseDuration,
			StaticPartition:   settings.Coordination != CoordinationLeased,
			StarvationTimeout: shortPatience,
			Lanes:             settings.Lanes,
			MaxCatchUp:        catchUp(spec),
			InitialEstimate:   firstEstimate,
		}, spec, document.Accounts, members, source),
	}
}

// catchUp bounds what an account may make good after a partition: the largest cost of a few requests.
func catchUp(spec hwdocument.Pool) float64 { return catchUpFactor * spec.LargestCost }

// acquire waits until the request may start at an upstream. The wait says what the request found, and is nil if it started at once.
func (p *pool) acquire(ctx context.Context, now time.Time, request hwdispatch.Request) (string, *hwtrail.Wait, *hwerror.RequestError) {
	told := make(chan decision, 1)
	p.lock.Lock()
	p.waiters[request.ID] = told
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
	case d := <-told:
		upstream, refusal := settle(d)
		return upstream, wait, refusal
	case <-ctx.Done():
	}
	upstream, refusal := p.withdraw(request, told)
	return upstream, wait, refusal
}

// withdraw takes back a request whose caller is gone. A start that was decided in the meantime is given back.
func (p *pool) withdraw(request hwdispatch.Request, told chan decision) (string, *hwerror.RequestError) {
	now := time.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.waiters, request.ID)
	p.dispatcher.Cancel(now, request.Account, request.ID)
	select {
	case d := <-told:
		if d.rejection == nil {
			p.apply(p.dispatcher.Finish(now, request.ID, hwdispatch.AttemptResult{
				Failed: true,
			}))
		}
	default:
	}
	return "", hwerror.NewRejection(hwerror.KindCallerGone, hwevent.RequestRefused.Number, "the caller went away while the request waited")
}

func settle(d decision) (string, *hwerror.RequestError) {
	if d.rejection == nil {
		return d.upstream, nil
	}
	message := "the request cannot start before its deadline"
	if d.rejection.Kind == hwerror.KindQueueFull {
		message = "the account's queue is full"
	}
	refusal := hwerror.NewRejection(d.rejection.Kind, hwevent.RequestRefused.Number, message)
	return "", refusal.WithRetryAfter(max(d.rejection.RetryAfter, time.Second))
}

// apply carries effects out. The lock is held; the channels have room, so nothing blocks.
func (p *pool) apply(effects hwdispatch.Effects) {
	for _, start := range effects.Starts {
		p.tell(start.ID, decision{
			upstream: start.Upstream,
		})
	}
	for i := range effects.Rejections {
		p.tell(effects.Rejections[i].ID, decision{
			rejection: &effects.Rejections[i],
		})
	}
	if !effects.SendReport {
		return
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *pool) tell(id string, d decision) {
	if waiter, waiting := p.waiters[id]; waiting {
		delete(p.waiters, id)
		waiter <- d
	}
}

func (p *pool) progress(now time.Time, id string, cost float64) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.dispatcher.ChargeProgress(now, id, cost)
}

func (p *pool) finish(now time.Time, id string, finish hwdispatch.AttemptResult) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.apply(p.dispatcher.Finish(now, id, finish))
}

func (p *pool) earn(now time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.budget.Deposit(now)
}

func (p *pool) spend(now time.Time) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.budget.TryWithdraw(now)
}

func (p *pool) report(now time.Time, leaving bool) hwslot.Report {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reportedAt = now
	return p.dispatcher.NextReport(now, leaving)
}

func (p *pool) grant(now time.Time, grant hwslot.Grant) {
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

// totals returns the service of every account.
func (p *pool) totals() []hwusage.CumulativeUsage {
	var totals []hwusage.CumulativeUsage
	for _, a := range p.status().Accounts {
		totals = append(totals, hwusage.CumulativeUsage{
			Pool:           p.name,
			PoolGeneration: p.life,
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

// newBroker returns the broker of a pool for an instance that has just been chosen.
func newBroker(now time.Time, settings Settings, listen time.Duration, document *hwdocument.Document, spec hwdocument.Pool, members []string) *hwslot.Broker {
	broker := hwslot.NewBroker(now, hwslot.BrokerSettings{
		Pool:            spec.Name,
		Lease:           settings.Timing.LeaseDuration,
		LearningPeriod:  listen,
		MinPlanInterval: settings.Timing.ReportInterval / 2,
		MaxCatchUp:      catchUp(spec),
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
