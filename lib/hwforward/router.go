package hwforward

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwlink"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwretry"
	"github.com/hickorywick/hickorywick/lib/hwtable"
)

// Settings are the router's bounds and weights.
type Settings struct {
	Placement hwplace.Settings
	Admission hwadmit.Settings
	// ShareWindow is the time over which accounts' rates are averaged.
	ShareWindow time.Duration
	// RetryRatio and RetryReserve bound what this router sends again, as a part of its requests and as a number on top.
	RetryRatio   float64
	RetryReserve float64
	// RetryRefillTime is the time in which the reserve fills up again. It has to be longer than the window over which sends are counted, so that two reserves never meet in one.
	RetryRefillTime time.Duration
	// KeyMaxStaleness is how long a confirmed table is good for requests with a key. TableFreshness is how long it is good for saying that a route or key does not exist.
	KeyMaxStaleness   time.Duration
	TableMaxStaleness time.Duration
	// BodyMemoryLimit bounds the memory of all bodies that are kept at a time, of requests and of answers, in bytes; 0 is no bound.
	BodyMemoryLimit int64
	// BodyTimeout bounds the reading of a request's body.
	BodyTimeout time.Duration
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	// DrainTime is how long a stopping router still takes requests.
	DrainTime time.Duration
	// GeneratedTokenWeight is the cost of a generated token in prompt tokens.
	GeneratedTokenWeight float64
	// Quarantine bounds the memory of requests that crash upstreams.
	Quarantine hwquarantine.Settings
}

// Clock tells the time. Boot also counts the time for which the machine was suspended, which the steady clock leaves out.
type Clock struct {
	Now      func() time.Time
	BootTime func() time.Duration
}

// Dependencies are what a router needs from outside.
type Dependencies struct {
	Protocol  Protocol
	Transport *hwlink.Transport
	Logger    *hwevent.Logger
	Clock     Clock
	Random    rand.Source
}

// confirmed is when the table in force was last known to be the newest, by both clocks.
type confirmed struct {
	at   time.Time
	boot time.Duration
}

// Router forwards requests. The lock guards all decisions below it; nothing that waits is called under it.
type Router struct {
	settings Settings
	edge     Protocol
	links    *hwlink.Transport
	logger   *hwevent.Logger
	clock    Clock
	metrics  Metrics
	checks   checks

	table     atomic.Pointer[hwtable.Table]
	confirmed atomic.Pointer[confirmed]
	// stopped is when the router was told to stop, nil before.
	stopped atomic.Pointer[time.Time]
	// cutOff tells that this router does not reach the store while most others do.
	cutOff   atomic.Bool
	inFlight atomic.Int64
	held     held

	lock     sync.Mutex
	random   *rand.Rand
	pools    map[string]*hwplace.Pool
	budgets  map[string]*hwretry.Budget
	shares   *hwadmit.FairShares
	patience *hwadmit.RetryDetector
	guard    *hwquarantine.CrashTracker
	// upstreams are all that the list names, by pool.
	upstreams map[string][]hwplace.Upstream
	// suspects are requests that were at an upstream when its connection broke.
	suspects []suspect
	// news are what peers should hear and have not been told yet; toldUse is when they last heard of the accounts' use.
	news    PeerUpdate
	toldUse time.Time
}

// New returns a router without a table or upstreams.
func New(settings Settings, dependencies Dependencies) *Router {
	return &Router{
		settings: settings,
		held: held{
			most: settings.BodyMemoryLimit,
		},
		edge:      dependencies.Protocol,
		links:     dependencies.Transport,
		logger:    dependencies.Logger,
		clock:     dependencies.Clock,
		random:    rand.New(dependencies.Random),
		pools:     map[string]*hwplace.Pool{},
		budgets:   map[string]*hwretry.Budget{},
		shares:    hwadmit.NewFairShares(settings.ShareWindow),
		patience:  hwadmit.NewRetryDetector(),
		guard:     hwquarantine.New(settings.Quarantine),
		upstreams: map[string][]hwplace.Upstream{},
		metrics:   newMetrics(),
	}
}

// SetTable puts a newer table in force. An older one is ignored: the configuration never goes back.
func (r *Router) SetTable(now time.Time, table *hwtable.Table) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if current := r.table.Load(); current != nil && table.Version() <= current.Version() {
		return false
	}
	r.table.Store(table)
	r.patience.Retain(table.HasRoute)
	for name, p := range r.pools {
		// What was learned about a plain service says nothing about an engine.
		if described, known := table.Pool(name); known && p.HasEngines() != (described.Engine != nil) {
			delete(r.pools, name)
		}
	}
	for name, list := range r.upstreams {
		r.update(now, name, list)
	}
	return true
}

// Table returns the table in force, or nil.
func (r *Router) Table() *hwtable.Table { return r.table.Load() }

// ConfirmTable notes that the table in force was the newest at the given time. The times are taken before the question was asked, because the table may have changed just after.
func (r *Router) ConfirmTable(at time.Time, boot time.Duration) {
	next := &confirmed{
		at:   at,
		boot: boot,
	}
	for {
		current := r.confirmed.Load()
		if current != nil && current.boot >= boot {
			return
		}
		if r.confirmed.CompareAndSwap(current, next) {
			return
		}
	}
}

// fresh reports whether the table was confirmed within a span, by the steady clock and by the one that counts suspended time.
func (r *Router) fresh(now time.Time, span time.Duration) bool {
	c := r.confirmed.Load()
	return c != nil && now.Sub(c.at) < span && r.clock.BootTime()-c.boot < span
}

// TableAge returns how long ago the table was confirmed.
func (r *Router) TableAge() time.Duration {
	if c := r.confirmed.Load(); c != nil {
		return r.clock.BootTime() - c.boot
	}
	return -1
}

// SetUpstreams replaces the list of upstreams.
func (r *Router) SetUpstreams(now time.Time, list []hwplace.Upstream) {
	byPool := map[string][]hwplace.Upstream{}
	for _, u := range list {
		byPool[u.Pool] = append(byPool[u.Pool], u)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	for name := range r.upstreams {
		if _, listed := byPool[name]; !listed {
			byPool[name] = nil
		}
	}
	for name, upstreams := range byPool {
		r.update(now, name, upstreams)
	}
	r.upstreams = byPool
}

// update gives a pool its upstreams and logs what changed.
func (r *Router) update(now time.Time, name string, list []hwplace.Upstream) {
	p := r.pool(name)
	if p == nil {
		return
	}
	added, left, leaving := p.SetUpstreams(list)
	for _, id := range added {
		r.logger.Emit(hwevent.UpstreamListed, hwevent.With("upstream", id), hwevent.With("pool", name))
	}
	for _, id := range leaving {
		r.logger.Emit(hwevent.UpstreamLeaving, hwevent.With("upstream", id), hwevent.With("pool", name))
	}
	for _, id := range append(left, added...) {
		r.convict(now, id)
	}
	for _, id := range left {
		r.logger.Emit(hwevent.UpstreamGone, hwevent.With("upstream", id), hwevent.With("pool", name))
	}
}

// pool returns the state of a pool that the table in force names. The lock must be held.
func (r *Router) pool(name string) *hwplace.Pool {
	if p := r.pools[name]; p != nil {
		return p
	}
	table := r.table.Load()
	if table == nil {
		return nil
	}
	described, known := table.Pool(name)
	if !known {
		return nil
	}
	tokens := 0
	if described.Engine != nil {
		tokens = described.Engine.CacheTokens
	}
	p := hwplace.New(r.settings.Placement, tokens)
	p.SetUpstreams(r.upstreams[name])
	r.pools[name] = p
	return p
}

// budget returns the retry budget of a pool. The lock must be held.
func (r *Router) budget(now time.Time, name string) *hwretry.Budget {
	b := r.budgets[name]
	if b == nil {
		b = hwretry.NewBudget(now, hwretry.BudgetSettings{
			Ratio:   r.settings.RetryRatio,
			Reserve: r.settings.RetryReserve,
			Trickle: r.settings.RetryReserve / r.settings.RetryRefillTime.Seconds(),
		})
		r.budgets[name] = b
	}
	return b
}

// Ready reports whether the router can serve callers.
func (r *Router) Ready(now time.Time) bool {
	if r.stopped.Load() != nil || r.cutOff.Load() || r.table.Load() == nil || !r.fresh(now, r.settings.KeyMaxStaleness) {
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, list := range r.upstreams {
		if len(list) > 0 {
			return true
		}
	}
	return false
}

// SetCutOff tells whether the router does not reach the store while most others do. It then serves on with what they pass on, and asks callers to connect to another instance.
func (r *Router) SetCutOff(cutOff bool) {
	if r.cutOff.Swap(cutOff) != cutOff {
		r.logger.Emit(hwevent.CutOffChanged, hwevent.With("cut-off", cutOff), hwevent.With("table-age-ms", r.TableAge().Milliseconds()))
	}
}

// StartDraining makes the router tell callers to close their connections. Requests are still served for the drain time and refused after it, because they might not end before the process does.
func (r *Router) StartDraining(now time.Time) { r.stopped.CompareAndSwap(nil, &now) }

// drained reports whether the router no longer takes requests.
func (r *Router) drained(now time.Time) bool {
	at := r.stopped.Load()
	return at != nil && now.Sub(*at) > r.settings.DrainTime
}

// InFlight returns the number of requests being served.
func (r *Router) InFlight() int64 { return r.inFlight.Load() }
