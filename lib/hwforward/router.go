package hwforward

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwfollow"
	"github.com/hickorywick/hickorywick/lib/hwhedge"
	"github.com/hickorywick/hickorywick/lib/hwlink"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwquota"
	"github.com/hickorywick/hickorywick/lib/hwretry"
	"github.com/hickorywick/hickorywick/lib/hwtable"
)

// Settings are the limits, timeouts and weights of a Router.
type Settings struct {
	Placement hwplace.Settings
	// Cold configures the limit on the requests to cold upstreams.
	Cold      hwplace.ColdSettings
	Admission hwadmit.Settings
	// ShareWindow is the averaging window of the accounts' rates.
	ShareWindow time.Duration
	// Retry limits the retries of this router for each pool, and RetrySlack is what all routers may retry besides.
	Retry      hwretry.BudgetSettings
	RetrySlack hwretry.FleetSlack
	// ExpectsPeers means that the settings name other routers.
	ExpectsPeers bool
	// SeeksPeers means that the router looks for others elsewhere too, and that SetMayHavePeers tells what came of it.
	SeeksPeers bool
	// MaxRetryAfterRatio is the longest Retry-After for which clients wait, as a ratio of the time that they have left.
	MaxRetryAfterRatio float64
	// KeyMaxStaleness is the maximum age of the table's last confirmation at which requests with a key are served. TableMaxStaleness is the maximum age at which the table is trusted to show that a route or key does not exist.
	KeyMaxStaleness   time.Duration
	TableMaxStaleness time.Duration
	// BodyMemoryLimit is the limit on the memory of all buffered request and response bodies together, in bytes; 0 means no limit.
	BodyMemoryLimit int64
	// BodyTimeout is the timeout for reading a request body.
	BodyTimeout time.Duration
	// WriteTimeout is the timeout of one write to a client.
	WriteTimeout time.Duration
	// DrainTime is how long a draining router still accepts requests.
	DrainTime time.Duration
	// GeneratedTokenWeight is the cost of one generated token, in prompt tokens.
	GeneratedTokenWeight float64
	// Segments configures the quarantine of requests, and segments of prompts, at which upstreams crash.
	Segments hwquarantine.SegmentSettings
	// SettleTime is how long after the end of an answer its request may still crash the upstream.
	SettleTime time.Duration
	// Instance is the name under which the peers know this router.
	Instance string
	// MemoryLimit is the memory that the process may take, in bytes; 0 means no limit. With one, the owner of the router must run MeasureMemory.
	MemoryLimit int64
	// LoadShedding configures the shedding of requests that this router has no processor time for.
	LoadShedding LoadSheddingSettings
	// Hedge limits second attempts of requests that run late; its zero value disables them.
	Hedge hwhedge.Settings
}

// Clock provides the time. Unlike the monotonic clock behind Now, BootTime also counts the time during which the machine was suspended.
type Clock struct {
	Now      func() time.Time
	BootTime func() time.Duration
}

// Dependencies are the collaborators of a Router.
type Dependencies struct {
	Protocol Protocol
	// CacheLister is nil if engines can't be asked for the contents of their caches.
	CacheLister CacheLister
	// KeyReader is nil if load is not shed.
	KeyReader KeyReader
	Transport *hwlink.Transport
	Logger    *hwevent.Logger
	Clock     Clock
	Random    rand.Source
	// StoreCalls are the counters of calls to the store that the metrics include, or nil if this router makes none.
	StoreCalls *hwfollow.CallCounters
	// NewestKnown is the newest state of the store that this router knows of, or nil if nothing else records it.
	NewestKnown *hwfollow.NewestKnown
}

// tableConfirmation is the last time at which the active table was known to be the newest, on both clocks.
type tableConfirmation struct {
	at       time.Time
	bootTime time.Duration
}

// Router forwards requests. The lock guards the fields below it; nothing that blocks is called while it is held.
type Router struct {
	settings    Settings
	protocol    Protocol
	cacheLister CacheLister
	transport   *hwlink.Transport
	logger      *hwevent.Logger
	clock       Clock
	metrics     Metrics
	shedding    *loadShedding
	storeCalls  *hwfollow.CallCounters
	newestKnown *hwfollow.NewestKnown
	crashChecks backgroundTasks
	cacheLists  backgroundTasks
	// closing is closed when the router ends.
	closing chan struct{}

	table     atomic.Pointer[hwtable.Table]
	confirmed atomic.Pointer[tableConfirmation]
	// drainingSince is when the router began to drain, or nil.
	drainingSince atomic.Pointer[time.Time]
	// cutOff is set while this router cannot reach the store and most other routers can.
	cutOff     atomic.Bool
	inFlight   atomic.Int64
	bodyMemory memoryLimiter

	lock         sync.Mutex
	random       *rand.Rand
	pools        map[string]*hwplace.Pool
	retryBudgets map[string]*hwretry.Budget
	shares       *hwadmit.FairShares
	// returnSchedules is keyed by pool.
	returnSchedules map[string]*hwadmit.ReturnSchedule
	// notices are what upstreams have said of themselves in answers.
	notices *hwplace.Notices
	// evacuations are the zones that the operators evacuate.
	evacuations *hwplace.Evacuations
	// fleet is this router's view of its fleet.
	fleet *hwquota.View
	// cold limits the requests to cold upstreams; nil if the limit is off.
	cold *hwplace.ColdUpstreams
	// upstreams is the current list of upstreams by pool.
	upstreams map[string][]hwplace.Upstream
	// cachesListed contains the pools whose engines were asked for the contents of their caches.
	cachesListed map[string]bool
	// cacheListsPending contains the engines, by pool, that were not asked because their zones were evacuated.
	cacheListsPending map[string][]hwplace.Upstream
	// crashSuspects are requests that were in flight at an upstream when its connection failed.
	crashSuspects []crashSuspect
	// pendingChecks holds, by upstream, a channel that is closed once it is known whether the upstream has crashed.
	pendingChecks map[string]chan struct{}
	segments      *hwquarantine.SegmentTracker
	// claims are those that this router decides, peerClaims asks others, or is nil. loggedCaution is whether the log says that this router is cautious.
	claims        *hwquarantine.Claims
	peerClaims    PeerClaims
	loggedCaution bool
	// exposures are the executions of which it is not known yet whether their upstreams survived them, and survivalChecks the lifetimes that are to be checked for it.
	exposures      *hwquarantine.Exposures[hwplace.Lifetime]
	survivalChecks map[hwplace.Lifetime]bool
	// restarts holds, by the lifetime that has ended, when the list showed the next one at its address.
	restarts map[hwplace.Lifetime]time.Time
	// attempts holds the attempts in flight, with the function that cancels each.
	attempts map[*exchange]func()
	// hedging is the state of hedged requests, or nil if they are disabled.
	hedging  *hedging
	versions *streamVersions
	// peersHeard is when each peer last sent an update.
	peersHeard map[string]time.Time
	// pendingUpdate is what has not been sent to the peers yet; usageSentAt is when the accounts' usage was last sent.
	pendingUpdate PeerUpdate
	usageSentAt   time.Time
}

// New returns a router without a table or upstreams.
func New(settings Settings, dependencies Dependencies) *Router {
	segments := hwquarantine.NewSegmentTracker(settings.Segments)
	segments.Start(dependencies.Clock.Now())
	fleet := hwquota.NewView(hwquota.ViewSettings{
		Router:       settings.Instance,
		StartedAt:    dependencies.Clock.Now(),
		ExpectsPeers: settings.ExpectsPeers,
		SeeksPeers:   settings.SeeksPeers,
	})
	return &Router{
		settings: settings,
		bodyMemory: memoryLimiter{
			limit: settings.BodyMemoryLimit,
		},
		protocol:        dependencies.Protocol,
		cacheLister:     dependencies.CacheLister,
		transport:       dependencies.Transport,
		logger:          dependencies.Logger,
		clock:           dependencies.Clock,
		storeCalls:      cmp.Or(dependencies.StoreCalls, &hwfollow.CallCounters{}),
		newestKnown:     cmp.Or(dependencies.NewestKnown, &hwfollow.NewestKnown{}),
		random:          rand.New(dependencies.Random),
		pools:           map[string]*hwplace.Pool{},
		retryBudgets:    map[string]*hwretry.Budget{},
		shares:          hwadmit.NewFairShares(dependencies.Clock.Now(), settings.ShareWindow),
		returnSchedules: map[string]*hwadmit.ReturnSchedule{},
		notices:         hwplace.NewNotices(),
		evacuations:     hwplace.NewEvacuations(),
		fleet:           fleet,
		cold:            hwplace.NewColdUpstreams(settings.Cold, fleet),
		pendingChecks:   map[string]chan struct{}{},
		segments:        segments,
		claims:          hwquarantine.NewClaims(claimInterval, maxClaimWait),
		exposures: hwquarantine.NewExposures[hwplace.Lifetime](hwquarantine.ExposureSettings{
			SettleTime:   settings.SettleTime,
			RestartTime:  minRestartTime,
			TTL:          exposureTTL,
			MaxExposures: maxExposures,
		}),
		survivalChecks: map[hwplace.Lifetime]bool{},
		restarts:       map[hwplace.Lifetime]time.Time{},
		attempts:       map[*exchange]func(){},
		peersHeard:     map[string]time.Time{},
		upstreams:      map[string][]hwplace.Upstream{},
		cachesListed:   map[string]bool{},
		versions:       newStreamVersions(dependencies.Clock.Now()),
		metrics:        newMetrics(),
		closing:        make(chan struct{}),

		cacheListsPending: map[string][]hwplace.Upstream{},
		shedding:          newLoadShedding(settings, dependencies),
		hedging:           newHedging(settings.Hedge),
	}
}

// SetTable activates a table and reports whether it did. A table that is not newer than the active one is ignored: the configuration never goes back to an older version.
func (r *Router) SetTable(now time.Time, table *hwtable.Table) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if current := r.table.Load(); current != nil && table.Version() <= current.Version() {
		return false
	}
	r.table.Store(table)
	r.versions.setTable(table.LongestStream())
	for name, p := range r.pools {
		// What was learned about a plain service does not apply to an engine.
		if config, found := table.Pool(name); found && p.HasEngines() != (config.Engine != nil) {
			delete(r.pools, name)
			delete(r.cachesListed, name)
			continue
		}
		r.setColdLimit(now, name, p)
	}
	for name, list := range r.upstreams {
		r.updatePool(now, name, list)
	}
	return true
}

// Table returns the active table, or nil.
func (r *Router) Table() *hwtable.Table { return r.table.Load() }

// ConfirmTable records that the active table was the newest at the given time. The caller must take both times before it sends the query, because the table may change right after the response is produced, and must set a newer table before it confirms it.
func (r *Router) ConfirmTable(at time.Time, bootTime time.Duration) {
	next := &tableConfirmation{
		at:       at,
		bootTime: bootTime,
	}
	for {
		current := r.confirmed.Load()
		if current != nil && current.bootTime >= bootTime {
			return
		}
		if r.confirmed.CompareAndSwap(current, next) {
			return
		}
	}
}

// confirmedTable returns the active table and its last confirmation, which may be nil. The confirmation is loaded first, because one that is loaded after the table may be that of a newer table.
func (r *Router) confirmedTable() (*hwtable.Table, *tableConfirmation) {
	c := r.confirmed.Load()
	return r.table.Load(), c
}

// isWithin reports whether a confirmation is younger than maxAge, both by the monotonic clock and by the clock that counts suspended time.
func (r *Router) isWithin(c *tableConfirmation, now time.Time, maxAge time.Duration) bool {
	return c != nil && now.Sub(c.at) < maxAge && r.clock.BootTime()-c.bootTime < maxAge
}

// TableAge returns the time since the table was last confirmed, or -1 if it never was.
func (r *Router) TableAge() time.Duration {
	if c := r.confirmed.Load(); c != nil {
		return r.clock.BootTime() - c.bootTime
	}
	return -1
}

// SetUpstreams replaces the list of upstreams and, unless they are older than the current ones, the evacuated zones. Idle connections to upstreams that are no longer listed are closed. It must not be called concurrently.
func (r *Router) SetUpstreams(now time.Time, list []hwplace.Upstream, evacuated hwplace.EvacuatedZones) {
	byPool := map[string][]hwplace.Upstream{}
	for _, u := range list {
		byPool[u.Pool] = append(byPool[u.Pool], u)
	}
	if r.replaceUpstreams(now, byPool, evacuated) {
		r.transport.SetEndpoints(endpoints(list))
	}
}

// replaceUpstreams replaces the list of upstreams by pool, and reports whether it differs from the previous one.
func (r *Router) replaceUpstreams(now time.Time, byPool map[string][]hwplace.Upstream, evacuated hwplace.EvacuatedZones) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.setEvacuated(now, evacuated)
	for name := range r.upstreams {
		if _, listed := byPool[name]; !listed {
			byPool[name] = nil
		}
	}
	for name, upstreams := range byPool {
		r.versions.observe(now, name, upstreams)
		r.updatePool(now, name, upstreams)
	}
	changed := !maps.EqualFunc(r.upstreams, byPool, slices.Equal)
	r.upstreams = byPool
	r.listPendingCaches()
	return changed
}

// endpoint returns the endpoint of an upstream.
func endpoint(u hwplace.Upstream) hwlink.Endpoint {
	return hwlink.Endpoint{
		Address: u.Address,
		Process: hwlink.Process{
			ID:          u.ID,
			Incarnation: u.Incarnation,
		},
	}
}

// endpoints returns the endpoints of a list of upstreams.
func endpoints(list []hwplace.Upstream) []hwlink.Endpoint {
	listed := make([]hwlink.Endpoint, 0, len(list))
	for _, u := range list {
		listed = append(listed, endpoint(u))
	}
	return listed
}

// updatePool sets the upstreams of a pool and logs the changes. The lock must be held.
func (r *Router) updatePool(now time.Time, name string, list []hwplace.Upstream) {
	p := r.pool(now, name)
	if p == nil {
		return
	}
	added, removed, draining := p.SetUpstreams(list)
	r.updateCold(now, name, p, len(r.upstreams) > 0)
	r.listCaches(name, p, list)
	for _, id := range added {
		r.logger.Emit(hwevent.UpstreamListed, hwevent.With("upstream", id), hwevent.With("pool", name))
	}
	for _, id := range draining {
		r.logLeaving(id, name, "list")
	}
	r.recordRestarts(now, name, added, list)
	// Any other upstream that was removed or restarted is assumed to have crashed.
	for _, id := range append(removed, added...) {
		r.confirmCrash(now, id, nil)
	}
	r.recordEnds(now, name, removed)
	for _, id := range removed {
		r.logger.Emit(hwevent.UpstreamGone, hwevent.With("upstream", id), hwevent.With("pool", name))
	}
}

// pool returns the state of a pool, which it creates on first use, or nil if the active table does not define the pool. The lock must be held.
func (r *Router) pool(now time.Time, name string) *hwplace.Pool {
	if p := r.pools[name]; p != nil {
		return p
	}
	table := r.table.Load()
	if table == nil {
		return nil
	}
	config, found := table.Pool(name)
	if !found {
		return nil
	}
	cacheTokens := 0
	if config.Engine != nil {
		cacheTokens = config.Engine.CacheTokens
	}
	p := hwplace.New(r.settings.Placement, r.notices, r.evacuations, cacheTokens)
	p.SetUpstreams(r.upstreams[name])
	r.setColdLimit(now, name, p)
	r.pools[name] = p
	// A pool with few requests has its part of the slack before the first of them.
	r.retryBudget(now, name)
	return p
}

// Ready reports whether the router can serve clients.
func (r *Router) Ready(now time.Time) bool {
	if r.drainingSince.Load() != nil || r.cutOff.Load() || r.shedding.outOfRotation.Load() || r.MemoryFull() || r.table.Load() == nil || !r.isWithin(r.confirmed.Load(), now, r.settings.KeyMaxStaleness) {
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.segments.Caution().AwaitsRecord(now) {
		return false
	}
	for _, list := range r.upstreams {
		if len(list) > 0 {
			return true
		}
	}
	return false
}

// SetCutOff sets whether the router cannot reach the store while most other routers can. While cut off, the router keeps serving from the state that its peers share, but it reports that it is not ready and closes client connections, so that clients connect to another instance.
func (r *Router) SetCutOff(cutOff bool) {
	if r.cutOff.Swap(cutOff) != cutOff {
		r.logger.Emit(hwevent.CutOffChanged, hwevent.With("cut-off", cutOff), hwevent.With("table-age-ms", r.TableAge().Milliseconds()))
	}
}

// StartDraining makes the router close its client connections after their next response. Requests are still served during the drain time and refused after it, because they might not end before the process exits.
func (r *Router) StartDraining(now time.Time) { r.drainingSince.CompareAndSwap(nil, &now) }

// drainTimeOver reports whether the drain time has passed, after which all requests are refused.
func (r *Router) drainTimeOver(now time.Time) bool {
	since := r.drainingSince.Load()
	return since != nil && now.Sub(*since) > r.settings.DrainTime
}

// InFlight returns the number of requests being served.
func (r *Router) InFlight() int64 { return r.inFlight.Load() }
