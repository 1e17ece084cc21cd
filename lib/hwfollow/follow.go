// Package hwfollow keeps a router's routing table and list of upstreams as new as the platform's store has them, and notes how new that is.
//
// It asks on a short period in place of relying on watches: a watch that hears nothing may also be one that has been forgotten, and an answer that was asked for proves at its time that nothing newer exists.
package hwfollow

import (
	"context"
	"sync"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwtable"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Source is where the table and the list come from. Its answers are the newest at the time of the question, less the age that they state.
type Source interface {
	// Table returns the table, or nil when its revision is still the known one.
	Table(ctx context.Context, known int64) (TableResult, error)
	// Upstreams returns the whole list. Entries that name no usable upstream are left out.
	Upstreams(ctx context.Context) (ListResult, error)
	// Ping asks the least that shows whether the source answers this router.
	Ping(ctx context.Context) error
}

// TableResult is the newest table, or nil, with its revision. Encoded is the table as the source keeps it, for other routers.
type TableResult struct {
	Table    *hwtable.Table
	Encoded  []byte
	Revision int64
	Age      time.Duration
}

// ListResult is the newest list. Settled lists were already completed by another router with entries that lapsed for a moment.
type ListResult struct {
	Upstreams  []hwplace.Upstream
	Age        time.Duration
	Reconciled bool
}

// Sink takes what was learned.
type Sink interface {
	SetTable(now time.Time, table *hwtable.Table) bool
	ConfirmTable(at time.Time, boot time.Duration)
	SetUpstreams(now time.Time, list []hwplace.Upstream)
	// SetCutOff tells whether this router does not reach the source while most others do.
	SetCutOff(cutOff bool)
}

// Settings are the pace of the questions.
type Settings struct {
	// TableInterval and ListEvery are the times between two questions.
	TableInterval time.Duration
	ListInterval  time.Duration
	// PingInterval is the time between two questions whether the source can be reached at all. WayFresh is how long an answer counts.
	PingInterval time.Duration
	PingValidity time.Duration
	// RetryInterval is the time to the next question after a failed one for table or list.
	RetryInterval time.Duration
	// Timeout bounds one question for table or list, which may take several calls.
	Timeout time.Duration
	// MissingEntryGrace is how long an entry that is missing after an outage of the source counts as lapsed rather than gone: upstreams write theirs again.
	MissingEntryGrace time.Duration
}

// Clock tells the time; Boot also counts the time for which the machine was suspended.
type Clock struct {
	Now      func() time.Time
	BootTime func() time.Duration
}

// Poller asks a source and tells a sink.
type Poller struct {
	settings Settings
	source   Source
	sink     Sink
	fleet    Reachability
	logger   *hwevent.Logger
	clock    Clock
	revision int64
	// reached is when the last question was asked that the source itself answered. Only askWay uses it.
	reached time.Time
	list    ListReconciler

	// lock guards state.
	lock  sync.Mutex
	state known
}

// known is what the follower has learned and when, by the boot clock.
type known struct {
	revision int64
	encoded  []byte
	tableAt  time.Duration
	list     []hwplace.Upstream
	digest   uint64
	listAt   time.Duration
}

// Snapshot is what a router knows of the store, for routers that ask it in place of the store.
type Snapshot struct {
	Revision int64
	// EncodedTable is the table of this revision as the source keeps it.
	EncodedTable []byte
	TableAge     time.Duration
	ListAge      time.Duration
	ListDigest   uint64
	List         []hwplace.Upstream
}

// Snapshot returns what the follower knows. Before it knows both table and list there is none.
func (f *Poller) Snapshot() (Snapshot, bool) {
	boot := f.clock.BootTime()
	f.lock.Lock()
	defer f.lock.Unlock()
	k := f.state
	return Snapshot{
		Revision:     k.revision,
		EncodedTable: k.encoded,
		TableAge:     boot - k.tableAt,
		ListAge:      boot - k.listAt,
		ListDigest:   k.digest,
		List:         k.list,
	}, k.tableAt > 0 && k.listAt > 0
}

// New returns a follower that has not asked yet.
func New(settings Settings, source Source, sink Sink, fleet Reachability, logger *hwevent.Logger, clock Clock) *Poller {
	return &Poller{
		settings: settings,
		source:   source,
		sink:     sink,
		fleet:    fleet,
		logger:   logger,
		clock:    clock,
		list:     NewListReconciler(settings.MissingEntryGrace),
	}
}

// Run asks until the context ends.
func (f *Poller) Run(ctx context.Context) error {
	list := hwtask.Start(ctx, func(ctx context.Context) error {
		return f.repeat(ctx, "list", f.pace(f.settings.ListInterval), f.askList)
	})
	table := hwtask.Start(ctx, func(ctx context.Context) error {
		return f.repeat(ctx, "table", f.pace(f.settings.TableInterval), f.askTable)
	})
	way := hwtask.Start(ctx, func(ctx context.Context) error {
		// It is asked all the time, so each time counts for little.
		return f.repeat(ctx, "way", pace{
			every:   f.settings.PingInterval,
			retry:   f.settings.PingInterval / 2,
			timeout: min(f.settings.PingInterval, f.settings.Timeout),
		}, f.askWay)
	})
	return hwtask.Join(list, table, way)
}

// pace is how often a question is asked.
type pace struct {
	every time.Duration
	// retry is the time to the next question after a failed one.
	retry time.Duration
	// timeout bounds one question.
	timeout time.Duration
}

// pace returns the pace of the questions for table and list.
func (f *Poller) pace(every time.Duration) pace {
	return pace{
		every:   every,
		retry:   f.settings.RetryInterval,
		timeout: f.settings.Timeout,
	}
}

// repeat asks on a period and logs when the source is lost and regained.
func (f *Poller) repeat(ctx context.Context, what string, p pace, ask func(context.Context) error) error {
	var lostAt time.Time
	for ctx.Err() == nil {
		began := f.clock.Now()
		asking, cancel := context.WithTimeout(ctx, p.timeout)
		err := ask(asking)
		cancel()
		wait := p.every - f.clock.Now().Sub(began)
		switch {
		case err != nil && ctx.Err() == nil:
			if lostAt.IsZero() {
				lostAt = began
				f.logger.Emit(hwevent.StoreUnreachable, hwevent.With("question", what), hwevent.With("cause", err.Error()))
			}
			wait = p.retry
		case err == nil && !lostAt.IsZero():
			f.logger.Emit(hwevent.StoreReachable, hwevent.With("question", what), hwevent.With("lost-ms", f.clock.Now().Sub(lostAt).Milliseconds()))
			lostAt = time.Time{}
		}
		hwtask.Sleep(ctx, wait)
	}
	return nil
}

func (f *Poller) askTable(ctx context.Context) error {
	// What the answer says was true at some time after the question, so the question's time is the safe one.
	at, boot := f.clock.Now(), f.clock.BootTime()
	answer, err := f.source.Table(ctx, f.revision)
	if err != nil {
		return err
	}
	if answer.Table != nil && f.sink.SetTable(f.clock.Now(), answer.Table) {
		f.logger.Emit(hwevent.DocumentInForce, hwevent.With("version", answer.Table.Version()), hwevent.With("revision", answer.Revision))
	}
	f.revision = max(f.revision, answer.Revision)
	f.sink.ConfirmTable(at.Add(-answer.Age), boot-answer.Age)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.state.revision = f.revision
	if answer.Table != nil {
		f.state.encoded = answer.Encoded
	}
	f.state.tableAt = max(f.state.tableAt, boot-answer.Age)
	return nil
}

func (f *Poller) askList(ctx context.Context) error {
	boot := f.clock.BootTime()
	answer, err := f.source.Upstreams(ctx)
	now := f.clock.Now()
	if err != nil {
		f.list.SourceFailed(now)
		return err
	}
	list := answer.Upstreams
	if answer.Reconciled {
		f.list.Reset(list)
	} else {
		list = f.list.Reconcile(now, list)
	}
	f.sink.SetUpstreams(now, list)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.state.list = list
	f.state.digest = ListDigest(list)
	if f.list.InGracePeriod(now) {
		// Other routers had better ask elsewhere.
		f.state.listAt = unknownAt
		return nil
	}
	f.state.listAt = max(f.state.listAt, boot-answer.Age)
	return nil
}

// unknownAt is the time of a list that must not be passed on: older than any that is.
const unknownAt = time.Nanosecond
