// Package hwfollow polls the platform's store for the routing table and the list of upstreams, and tracks how old a router's copies of them are.
//
// It polls at a short interval instead of relying on watches: a silent watch may have been dropped by the store, while the response to a poll proves that nothing newer existed when the poll was sent.
package hwfollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwrevision"
	"github.com/hickorywick/hickorywick/lib/hwtable"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Source provides the table and the list. A result was the newest at the time of the request, minus the age that it states.
type Source interface {
	// Table returns the table, or nil if its revision or version is still the known one.
	Table(ctx context.Context, known TableState) (TableResult, error)
	// Upstreams returns the whole list, without the entries that describe no usable upstream.
	Upstreams(ctx context.Context) (ListResult, error)
	// Ping sends the cheapest request that shows whether the source answers this router.
	Ping(ctx context.Context) error
}

// FleetSource is a source that also knows which tables other routers have in force.
type FleetSource interface {
	Source
	// NewerTable returns the table that another router has in force, if its version is higher than the given one, and otherwise no table. It says nothing about what the store holds.
	NewerTable(ctx context.Context, version uint64) (TableResult, error)
}

// TableState is what a router knows of the table: the newest revision of it in the store, and the version of the one in force. That one may come from another router, if the store has lost it.
type TableState struct {
	Revision hwrevision.Revision
	Version  uint64
}

// TableResult is the newest table, or nil if it is the known one, with its revision. Encoded is the table as the source stores it, to be passed on to other routers.
type TableResult struct {
	Table    *hwtable.Table
	Encoded  []byte
	Revision hwrevision.Revision
	Age      time.Duration
	// From is where the result came from: FromStore, or the address of a peer.
	From string
}

// FromStore is the origin of results that this router read from the store itself.
const FromStore = "store"

// ListResult is the newest list, with the zones that were evacuated when it was read. A reconciled list comes from another router, which has already added the upstreams that are retained after an outage.
type ListResult struct {
	Upstreams  []hwplace.Upstream
	Evacuated  hwplace.EvacuatedZones
	Age        time.Duration
	Reconciled bool
	// Era is the store's era as of which the list was read.
	Era uint64
	// KnownFor is how long the router that a reconciled list comes from has known a list, or 0 if it doesn't state that.
	KnownFor time.Duration
	// From is where the result came from: FromStore, or the address of a peer.
	From string
}

// peerList returns a reconciled list.
func (l ListResult) peerList() PeerList {
	return PeerList{
		Upstreams: l.Upstreams,
		Age:       l.Age,
		KnownFor:  l.KnownFor,
	}
}

// Sink receives the results of the polls.
type Sink interface {
	// SetTable reports whether the table is newer than the one in force and has replaced it.
	SetTable(now time.Time, table *hwtable.Table) bool
	// ConfirmTable records that the table was still the newest at the given time of the wall clock and of the boot clock.
	ConfirmTable(at time.Time, boot time.Duration)
	// SetUpstreams sets the list and the evacuated zones together, because a list is of no use to a router that does not know which of its zones are evacuated.
	SetUpstreams(now time.Time, list []hwplace.Upstream, evacuated hwplace.EvacuatedZones)
	// SetCutOff sets whether this router fails to reach the source while most others reach it.
	SetCutOff(cutOff bool)
}

// Settings are the intervals and timeouts of the polls.
type Settings struct {
	// TableInterval and ListInterval are the times between the starts of two polls.
	TableInterval time.Duration
	ListInterval  time.Duration
	// PingInterval is the time between two pings of the source. PingValidity is how long after a successful ping the source counts as reachable.
	PingInterval time.Duration
	PingValidity time.Duration
	// RetryInterval is the time between a failed poll for table or list and the next one of a router that reads the store for others; FailedPollWait states that of the others.
	RetryInterval time.Duration
	// Timeout bounds one poll for table or list, which may take several calls.
	Timeout time.Duration
	// MissingEntryGrace bounds how long after an outage of the source a missing entry counts as expired rather than removed: upstreams write theirs again.
	MissingEntryGrace Grace
}

// Clock provides the wall clock and the boot clock. The boot clock also advances while the machine is suspended.
type Clock struct {
	Now      func() time.Time
	BootTime func() time.Duration
}

// Poller polls a source and passes the results to a sink.
type Poller struct {
	settings     Settings
	source       FleetSource
	sink         Sink
	reachability Reachability
	logger       *hwevent.Logger
	clock        Clock
	newest       *NewestKnown
	// random returns a random number from 0 to 1.
	random func() float64
	// startedAt is when Run was called.
	startedAt time.Time
	// lastPing is when the last successful ping of the source was sent. Only pingLoop uses it.
	lastPing time.Time
	// pingFailing reports that the last ping failed.
	pingFailing atomic.Bool
	// graceChanged holds a value if the end of the grace period may have changed.
	graceChanged chan struct{}
	// listWanted holds a value if a list is polled before its time.
	listWanted chan struct{}

	// offers is used by pollTable only.
	offers offerLogger
	// tableLock keeps the tables in order that the sink gets. It is taken before lock.
	tableLock sync.Mutex

	// listLock guards reconciler and listReadAt, and keeps the lists in order that the sink gets. It is taken before lock.
	listLock   sync.Mutex
	reconciler ListReconciler
	// listReadAt is the time of the boot clock as of which the last list was read.
	listReadAt time.Duration

	// lock guards state.
	lock  sync.Mutex
	state pollState
}

// pollState holds the newest results of the polls. Times are those of the boot clock.
type pollState struct {
	known TableState
	// encodedTable is the table in force as the source stores it.
	encodedTable     []byte
	tableConfirmedAt time.Duration
	list             []hwplace.Upstream
	listEra          uint64
	evacuated        hwplace.EvacuatedZones
	listDigest       uint64
	listConfirmedAt  time.Duration
	// listKnownSince is when this router got its first list.
	listKnownSince time.Duration
}

// Snapshot is a router's copy of what the store holds, for other routers that query this router instead of the store.
type Snapshot struct {
	// Revision is the newest one of the table that the router knows of.
	Revision hwrevision.Revision
	// Version is that of the table in force, or 0 if the router states none.
	Version uint64
	// EncodedTable is the table in force as the source stores it.
	EncodedTable []byte
	TableAge     time.Duration
	ListAge      time.Duration
	ListDigest   uint64
	List         []hwplace.Upstream
	// ListEra is the store's era as of which the list was read.
	ListEra uint64
	// ListKnownFor is how long the router has known a list, or 0 if it doesn't state that. One that got its first list after an outage of the store does not know which upstreams expired in it.
	ListKnownFor time.Duration
	// Evacuated has no zones if the list was not wanted or is the known one.
	Evacuated hwplace.EvacuatedZones
	// From is the address of the peer that returned the snapshot, or empty for this router's own.
	From string
}

// Snapshot returns the newest table and list, and false until both have been polled.
func (p *Poller) Snapshot() (Snapshot, bool) {
	boot := p.clock.BootTime()
	p.lock.Lock()
	defer p.lock.Unlock()
	s := p.state
	return Snapshot{
		Revision:     s.known.Revision,
		Version:      s.known.Version,
		EncodedTable: s.encodedTable,
		TableAge:     boot - s.tableConfirmedAt,
		ListAge:      boot - s.listConfirmedAt,
		ListDigest:   s.listDigest,
		List:         s.list,
		ListEra:      s.listEra,
		ListKnownFor: max(boot-s.listKnownSince, time.Millisecond),
		Evacuated:    s.evacuated,
	}, s.tableConfirmedAt > 0 && s.listConfirmedAt > 0
}

// New returns a poller that has not polled yet.
func New(settings Settings, source FleetSource, sink Sink, reachability Reachability, logger *hwevent.Logger, clock Clock) *Poller {
	return &Poller{
		settings:     settings,
		source:       source,
		sink:         sink,
		reachability: reachability,
		logger:       logger,
		clock:        clock,
		newest:       &NewestKnown{},
		random:       rand.Float64,
		graceChanged: make(chan struct{}, 1),
		listWanted:   make(chan struct{}, 1),
		offers:       newOfferLogger(logger),
		reconciler:   NewListReconciler(settings.MissingEntryGrace),
	}
}

// SetNewestKnown sets the record of the newest eras and versions, before the poller runs.
func (p *Poller) SetNewestKnown(newest *NewestKnown) { p.newest = newest }

// SetRandom sets the source of the random numbers, from 0 to 1, before the poller runs. It must be safe for concurrent use.
func (p *Poller) SetRandom(random func() float64) { p.random = random }

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	p.startedAt = p.clock.Now()
	list := hwtask.Start(ctx, func(ctx context.Context) error {
		return p.pollLoop(ctx, "list", p.settings.ListInterval, p.listWanted, p.pollList)
	})
	table := hwtask.Start(ctx, func(ctx context.Context) error {
		return p.pollLoop(ctx, "table", p.settings.TableInterval, nil, p.pollTable)
	})
	newer := hwtask.Start(ctx, p.newerTableLoop)
	ping := hwtask.Start(ctx, p.pingLoop)
	expiry := hwtask.Start(ctx, p.expireLoop)
	return hwtask.Join(list, table, newer, ping, expiry)
}

// condition returns what this router knows after a number of failures in a row.
func (p *Poller) condition(failures int) Condition {
	now := p.clock.Now()
	return Condition{
		Peers:      p.reachability.PeerCount(now),
		ReadsStore: p.reachability.IsReader(now) || p.reachability.IsBackup(now),
		Failures:   failures,
		Random:     p.random(),
	}
}

// failedPollWait returns the time between a failed poll for table or list and the next one, which is not beyond that of a deferred read.
func (p *Poller) failedPollWait(failures int, err error) time.Duration {
	wait := FailedPollWait(p.settings.RetryInterval, p.condition(failures))
	var deferred *DeferredReadError
	if errors.As(err, &deferred) {
		wait = min(wait, deferred.Wait)
	}
	return wait
}

// sleepUntilWanted waits for a time, until the channel has a value, or until the context ends.
func sleepUntilWanted(ctx context.Context, wait time.Duration, wanted <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wanted:
	case <-ctx.Done():
	}
}

// outageLogger logs the first of several failures in a row, and the success that ends them.
type outageLogger struct {
	logger       *hwevent.Logger
	question     string
	failingSince time.Time
}

// log logs the result of a call that was sent at the given time.
func (l *outageLogger) log(sentAt, now time.Time, err error) {
	switch {
	case err != nil && l.failingSince.IsZero():
		l.failingSince = sentAt
		l.logger.Emit(hwevent.StoreUnreachable, hwevent.With("question", l.question), hwevent.With("cause", err.Error()))
	case err == nil && !l.failingSince.IsZero():
		l.logger.Emit(hwevent.StoreReachable, hwevent.With("question", l.question), hwevent.With("lost-ms", now.Sub(l.failingSince).Milliseconds()))
		l.failingSince = time.Time{}
	}
}

// outageLogger returns a logger for the calls with a question.
func (p *Poller) outageLogger(question string) *outageLogger {
	return &outageLogger{
		logger:   p.logger,
		question: question,
	}
}

// failureCounter counts the failures in a row of the same sort: calls of the source, or reads that were deferred.
type failureCounter struct {
	failures    int
	wasDeferred bool
}

// count counts the result of a poll and returns the failures in a row, 0 after a success.
func (c *failureCounter) count(err error) int {
	var deferred *DeferredReadError
	isDeferred := errors.As(err, &deferred)
	if err == nil || isDeferred != c.wasDeferred {
		c.failures = 0
	}
	c.wasDeferred = isDeferred
	if err != nil {
		c.failures++
	}
	return c.failures
}

// pollLoop polls for table or list until the context ends. Parameter interval is the time between the starts of two polls, unless one is wanted earlier.
func (p *Poller) pollLoop(ctx context.Context, question string, interval time.Duration, wanted <-chan struct{}, poll func(context.Context) error) error {
	outages := p.outageLogger(question)
	var counter failureCounter
	for ctx.Err() == nil {
		began := p.clock.Now()
		pollCtx, cancel := context.WithTimeout(ctx, p.settings.Timeout)
		err := poll(pollCtx)
		cancel()
		if ctx.Err() == nil {
			outages.log(began, p.clock.Now(), err)
		}
		wait := interval - p.clock.Now().Sub(began)
		if failures := counter.count(err); failures > 0 {
			wait = p.failedPollWait(failures, err)
		}
		sleepUntilWanted(ctx, wait, wanted)
	}
	return nil
}

func (p *Poller) pollList(ctx context.Context) error {
	sentAt, boot := p.clock.Now(), p.clock.BootTime()
	result, err := p.source.Upstreams(ctx)
	p.listLock.Lock()
	defer p.listLock.Unlock()
	now := p.clock.Now()
	if err != nil {
		// Missing upstreams are retained after an outage. A deferred read says nothing about the source, so it counts as an outage only if pings fail too.
		var deferred *DeferredReadError
		switch {
		case !errors.As(err, &deferred):
			p.reconciler.SourceFailed(sentAt)
		case p.pingFailing.Load():
			p.reconciler.ListMissed()
		}
		return err
	}
	if known := p.reconciler.Era(); !result.Reconciled && result.Era < known {
		return &OlderEraError{
			Era:   result.Era,
			Known: known,
		}
	}
	p.newest.RaiseEra(p.logger, result.From, result.Era, sentAt.Add(-result.Age))
	if result.Reconciled && boot-result.Age < p.listReadAt {
		// The peer read the store before this router did. It may know all the same that upstreams left which this router retains.
		if list, dropped := p.reconciler.DropRetained(now, result.peerList()); dropped {
			p.setList(now, list, p.reconciler.ReconcilePeerEvacuated(now, result.Evacuated, result.KnownFor))
		}
		return nil
	}
	list := result.Upstreams
	sinceLast := boot - p.listReadAt
	p.listReadAt = max(p.listReadAt, boot-result.Age)
	p.reconciler.EraSeen(now, sentAt.Add(-sinceLast), result.Era)
	retained, leftOut := p.reconciler.RetainedCount(), p.reconciler.LeftOutCount()
	var evacuated hwplace.EvacuatedZones
	if result.Reconciled {
		evacuated = p.reconciler.ReconcilePeerEvacuated(now, result.Evacuated, result.KnownFor)
		list = p.reconciler.Reset(now, sinceLast, result.peerList())
	} else {
		p.reconciler.CallAnswered(sentAt, now)
		evacuated = p.reconciler.ReconcileEvacuated(now, result.Evacuated)
		list = p.reconciler.Reconcile(now, sinceLast, list)
	}
	if count := p.reconciler.RetainedCount(); count > retained {
		p.logger.Emit(hwevent.UpstreamsRetained, hwevent.With("count", count), hwevent.With("since-failure-ms", p.reconciler.SinceFailure(now).Milliseconds()))
	}
	if count := p.reconciler.LeftOutCount(); count > leftOut {
		p.logger.Emit(hwevent.UpstreamsLeftOut, hwevent.With("count", count), hwevent.With("era", result.Era), hwevent.With("from", result.From))
	}
	p.setList(now, list, evacuated)
	return nil
}

// setList passes a list on to the sink and keeps it for other routers. The caller holds listLock.
func (p *Poller) setList(now time.Time, list []hwplace.Upstream, evacuated hwplace.EvacuatedZones) {
	p.sink.SetUpstreams(now, list, evacuated)
	select {
	case p.graceChanged <- struct{}{}:
	default:
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.state.listKnownSince == 0 {
		p.state.listKnownSince = p.clock.BootTime()
	}
	p.state.list = list
	p.state.listEra = p.reconciler.Era()
	p.state.evacuated = evacuated
	p.state.listDigest = ListDigest(list, evacuated.Zones...)
	if p.reconciler.InGracePeriod() {
		// The list may hold upstreams that left, so other routers must not take it from this one.
		p.state.listConfirmedAt = oldestTime
		return
	}
	p.state.listConfirmedAt = max(p.state.listConfirmedAt, p.listReadAt)
}

// expireLoop drops retained upstreams in time even if no list is read until then. Right before, it has a last list polled: their entries may be back since the last one.
func (p *Poller) expireLoop(ctx context.Context) error {
	var polledFor time.Time
	for ctx.Err() == nil {
		p.listLock.Lock()
		at, expires := p.reconciler.ExpiresAt()
		retains := p.reconciler.RetainedCount() > 0
		p.listLock.Unlock()
		if !expires {
			select {
			case <-p.graceChanged:
			case <-ctx.Done():
			}
			continue
		}
		// A call that fails in the meantime moves the time, so it is looked at again before anything is dropped.
		wait := at.Sub(p.clock.Now())
		if wait > lastPollLead {
			hwtask.Sleep(ctx, wait-lastPollLead)
			continue
		}
		if retains && !polledFor.Equal(at) {
			polledFor = at
			p.wantList()
		}
		hwtask.Sleep(ctx, max(wait, minExpiryWait))
		p.expire(p.clock.Now())
	}
	return nil
}

// wantList polls a list before its time.
func (p *Poller) wantList() {
	select {
	case p.listWanted <- struct{}{}:
	default:
	}
}

// lastPollLead is how long before retained upstreams are dropped the last list is polled. It covers a query to a peer, and leaves the list of the reader the more time to be newer than the entries.
const lastPollLead = 100 * time.Millisecond

// minExpiryWait keeps the loop from spinning if the clock stands.
const minExpiryWait = time.Millisecond

// expire drops the upstreams whose grace period is over.
func (p *Poller) expire(now time.Time) {
	p.listLock.Lock()
	defer p.listLock.Unlock()
	if list, expired := p.reconciler.Expire(now); expired {
		p.setList(now, list, p.reconciler.ReconcileEvacuated(now, hwplace.EvacuatedZones{}))
	}
}

// oldestTime is the confirmation time of a list that must not be passed on: 0 would mean that there is no list, and this one is too old for any other router.
const oldestTime = time.Nanosecond
