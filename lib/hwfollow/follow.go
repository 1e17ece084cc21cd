// Package hwfollow keeps a router's routing table and list of upstreams as new as the platform's store has them, and notes how new that is.
//
// It asks on a short period in place of relying on watches: a watch that hears nothing may also be one that has been forgotten, and an answer that was asked for proves at its time that nothing newer exists.
package hwfollow

import (
	"context"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwtable"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Source is where the table and the list come from. Its answers are the newest at the time of the question.
type Source interface {
	// Table returns the table, or nil when its revision is still the known one.
	Table(ctx context.Context, known int64) (*hwtable.Table, int64, error)
	// Upstreams returns the whole list. Entries that name no usable upstream are left out.
	Upstreams(ctx context.Context) ([]hwplace.Upstream, error)
}

// Sink takes what was learned.
type Sink interface {
	SetTable(now time.Time, table *hwtable.Table) bool
	Confirm(at time.Time, boot time.Duration)
	SetUpstreams(now time.Time, list []hwplace.Upstream)
}

// Settings are the pace of the questions.
type Settings struct {
	// TableEvery and ListEvery are the times between two questions.
	TableEvery time.Duration
	ListEvery  time.Duration
	// RetryEvery is the time to the next question after a failed one.
	RetryEvery time.Duration
	// Timeout bounds one question.
	Timeout time.Duration
	// Lapse is how long an entry that is missing after an outage of the source counts as lapsed rather than gone: upstreams write theirs again.
	Lapse time.Duration
}

// Clock tells the time; Boot also counts the time for which the machine was suspended.
type Clock struct {
	Now  func() time.Time
	Boot func() time.Duration
}

// Follower asks a source and tells a sink.
type Follower struct {
	settings Settings
	source   Source
	sink     Sink
	logger   *hwevent.Logger
	clock    Clock
	revision int64
	list     Lapsing
}

// New returns a follower that has not asked yet.
func New(settings Settings, source Source, sink Sink, logger *hwevent.Logger, clock Clock) *Follower {
	return &Follower{
		settings: settings,
		source:   source,
		sink:     sink,
		logger:   logger,
		clock:    clock,
		list:     NewLapsing(settings.Lapse),
	}
}

// Run asks until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	list := hwtask.Start(ctx, func(ctx context.Context) error {
		return f.repeat(ctx, "list", f.settings.ListEvery, f.askList)
	})
	table := hwtask.Start(ctx, func(ctx context.Context) error {
		return f.repeat(ctx, "table", f.settings.TableEvery, f.askTable)
	})
	return hwtask.Join(list, table)
}

// repeat asks on a period and logs when the source is lost and regained.
func (f *Follower) repeat(ctx context.Context, what string, every time.Duration, ask func(context.Context) error) error {
	var lostAt time.Time
	for ctx.Err() == nil {
		began := f.clock.Now()
		asking, cancel := context.WithTimeout(ctx, f.settings.Timeout)
		err := ask(asking)
		cancel()
		wait := every - f.clock.Now().Sub(began)
		switch {
		case err != nil && ctx.Err() == nil:
			if lostAt.IsZero() {
				lostAt = began
				f.logger.Emit(hwevent.StoreUnreachable, hwevent.With("question", what), hwevent.With("cause", err.Error()))
			}
			wait = f.settings.RetryEvery
		case err == nil && !lostAt.IsZero():
			f.logger.Emit(hwevent.StoreReachable, hwevent.With("question", what), hwevent.With("lost-ms", f.clock.Now().Sub(lostAt).Milliseconds()))
			lostAt = time.Time{}
		}
		pause(ctx, wait)
	}
	return nil
}

func pause(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Follower) askTable(ctx context.Context) error {
	// What the answer says was true at some time after the question, so the question's time is the safe one.
	at, boot := f.clock.Now(), f.clock.Boot()
	table, revision, err := f.source.Table(ctx, f.revision)
	if err != nil {
		return err
	}
	if table != nil && f.sink.SetTable(f.clock.Now(), table) {
		f.logger.Emit(hwevent.DocumentInForce, hwevent.With("version", table.Version()), hwevent.With("revision", revision))
	}
	f.revision = max(f.revision, revision)
	f.sink.Confirm(at, boot)
	return nil
}

func (f *Follower) askList(ctx context.Context) error {
	list, err := f.source.Upstreams(ctx)
	now := f.clock.Now()
	if err != nil {
		f.list.Lost(now)
		return err
	}
	f.sink.SetUpstreams(now, f.list.Take(now, list))
	return nil
}
