package hwrecord

import (
	"context"
	"errors"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwrevision"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Entry is the record as the store holds it. Revision is that of its last change, with the number 0 if there is no record.
type Entry struct {
	Value    []byte
	Revision hwrevision.Revision
}

// Store reads and writes the record.
type Store interface {
	// Read returns the newest record.
	Read(ctx context.Context) (Entry, error)
	// Write replaces the record if its revision still has the expected number, and returns the new one. It returns a ConflictError if the record has changed, and any other error if it is not known whether the write took effect.
	Write(ctx context.Context, value []byte, expected hwrevision.Revision) (hwrevision.Revision, error)
}

// ConflictError reports that the record has another revision than the expected one.
type ConflictError struct {
	// Current is the record as it is.
	Current Entry
}

// Error returns a message.
func (e *ConflictError) Error() string { return "the record has changed" }

// Delegate has the reports that the record keeps.
type Delegate interface {
	// CrashRecord returns what is to be kept, the same reports in the same order as long as nothing has changed.
	CrashRecord() []hwquarantine.SegmentReport
	// MergeCrashRecord adds the reports of a record.
	MergeCrashRecord(now time.Time, reports []hwquarantine.SegmentReport)
	// SetRecordKnown reports that this router has the fleet's record: it was read, or there has never been one.
	SetRecordKnown(now time.Time)
	// SetRecordAsked reports that the store was asked for the record, whatever came of it.
	SetRecordAsked()
}

// Settings are the times of a Keeper.
type Settings struct {
	// Timeout bounds one call.
	Timeout time.Duration
	// CheckInterval is the time between two looks at what is to be kept, and so the shortest between two writes.
	CheckInterval time.Duration
	// RetryInterval is the wait after a failed call. It doubles with each failure in a row, up to MaxRetryInterval.
	RetryInterval    time.Duration
	MaxRetryInterval time.Duration
	// CreateDelay is how long after its start a router that finds no record creates it, so that it has heard which router writes.
	CreateDelay time.Duration
}

// Keeper reads the record when it starts, and replaces it when what is to be kept changes, if this router is the one that writes.
type Keeper struct {
	settings Settings
	store    Store
	delegate Delegate
	// The following are described at Dependencies.
	isWriter    func(now time.Time) bool
	isReachable func() bool
	newestEra   func() uint64
	logger      *hwevent.Logger
	now         func() time.Time

	// revision is that of the record that this router knows, and stored what it states. They are known once a call has been answered.
	revision hwrevision.Revision
	stored   []hwquarantine.SegmentReport
	known    bool
	// storedAt is when the record was last read or written.
	storedAt time.Time
	// checkedEra is the newest era at the last read.
	checkedEra uint64
	// failures counts the failed calls in a row; no call is made before retryAt.
	failures int
	retryAt  time.Time
	// mustWrite is set if the record can't be read, so that it has to be replaced whatever is to be kept.
	mustWrite bool
	// isLater is set if the record has a later format. It is left to the routers that know it.
	isLater bool
}

// Dependencies are the parts that a Keeper uses.
type Dependencies struct {
	Store    Store
	Delegate Delegate
	// IsWriter reports whether this router writes the record for the fleet.
	IsWriter func(now time.Time) bool
	// IsReachable reports whether the store answers this router's other calls. When it does so again after an outage, a failed call is repeated at once.
	IsReachable func() bool
	// NewestEra returns the newest era of the store that this router knows from its other calls.
	NewestEra func() uint64
	Logger    *hwevent.Logger
	Now       func() time.Time
}

// New returns a keeper that has not asked the store yet.
func New(settings Settings, dependencies Dependencies) *Keeper {
	return &Keeper{
		settings:    settings,
		store:       dependencies.Store,
		delegate:    dependencies.Delegate,
		isWriter:    dependencies.IsWriter,
		isReachable: dependencies.IsReachable,
		newestEra:   dependencies.NewestEra,
		logger:      dependencies.Logger,
		now:         dependencies.Now,
	}
}

// Run keeps the record until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	createAt := k.now().Add(k.settings.CreateDelay)
	wasReachable := true
	for ctx.Err() == nil {
		reachable := k.isReachable()
		if reachable && !wasReachable {
			k.retryAt = time.Time{}
		}
		wasReachable = reachable
		switch now := k.now(); {
		case now.Before(k.retryAt):
		case !k.known || k.isOutdated() && k.isWriter(now):
			k.read(ctx)
		case k.isLater:
		case k.revision.Number == 0 && now.After(createAt) && k.isWriter(now):
			k.write(ctx)
		case k.revision.Number > 0 && k.isWriter(now) && (k.mustWrite || k.isDue(now) || !sameFacts(k.stored, k.delegate.CrashRecord())):
			k.write(ctx)
		case k.revision.Number == 0 && now.After(createAt.Add(k.settings.CreateDelay)):
			// The router that writes has had time to create it.
			k.retryAt = now.Add(k.settings.MaxRetryInterval)
			k.read(ctx)
		}
		hwtask.Sleep(ctx, k.settings.CheckInterval)
	}
	return nil
}

// isOutdated reports whether the store was restored from a copy since the last read. The record may be an older one then, or another one with the same number.
func (k *Keeper) isOutdated() bool { return k.newestEra() > max(k.revision.Era, k.checkedEra) }

// isDue reports whether the record has to be written again although nothing has changed.
func (k *Keeper) isDue(now time.Time) bool {
	return len(k.stored) > 0 && now.Sub(k.storedAt) >= refreshInterval
}

// read reads the record.
func (k *Keeper) read(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, k.settings.Timeout)
	defer cancel()
	era := k.newestEra()
	entry, err := k.store.Read(callCtx)
	if ctx.Err() != nil {
		return
	}
	k.delegate.SetRecordAsked()
	if err != nil {
		k.fail("read", err)
		return
	}
	k.checkedEra = era
	k.learn(entry)
}

// learn merges a record that the store has returned.
func (k *Keeper) learn(entry Entry) {
	k.known = true
	k.revision = entry.Revision
	k.stored = nil
	k.isLater = false
	k.mustWrite = false
	if entry.Revision.Number == 0 {
		// That the store can be read does not mean that it takes the record.
		return
	}
	k.failures = 0
	now := k.now()
	k.storedAt = now
	reports, err := Decode(now, entry.Value)
	if err != nil {
		var formatErr *FormatError
		k.isLater = errors.As(err, &formatErr) && formatErr.IsLater()
		k.mustWrite = !k.isLater
		k.logger.Emit(hwevent.CrashRecordUnusable, hwevent.With("revision", entry.Revision.Number), hwevent.With("era", entry.Revision.Era), hwevent.With("bytes", len(entry.Value)), hwevent.With("cause", err.Error()))
		return
	}
	k.stored = reports
	k.logger.Emit(hwevent.CrashRecordRead, hwevent.With("revision", entry.Revision.Number), hwevent.With("era", entry.Revision.Era), hwevent.With("reports", len(reports)))
	k.delegate.MergeCrashRecord(now, reports)
	k.delegate.SetRecordKnown(now)
}

// write replaces the record. Only a router that has created it knows that there was none before: a write that fails may have taken effect, so it is followed by a read.
func (k *Keeper) write(ctx context.Context) {
	reports := k.delegate.CrashRecord()
	now := k.now()
	value, err := Encode(now, reports)
	if err != nil {
		k.fail("write", err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, k.settings.Timeout)
	defer cancel()
	revision, err := k.store.Write(callCtx, value, k.revision)
	if ctx.Err() != nil {
		return
	}
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		k.learn(conflict.Current)
	case err == nil && k.revision.Number > 0 && revision.Era > k.revision.Era:
		// The condition may have held for another record with the same number. Routers that wrote that one tell each other its reports; this one reads back what the store has.
		k.known = false
		k.logger.Emit(hwevent.CrashRecordOvertaken, hwevent.With("revision", revision.Number), hwevent.With("era", revision.Era), hwevent.With("expected-revision", k.revision.Number), hwevent.With("expected-era", k.revision.Era))
	case err != nil:
		k.known = false
		k.fail("write", err)
	default:
		k.failures = 0
		k.mustWrite = false
		k.revision = revision
		k.stored = reports
		k.storedAt = now
		k.delegate.SetRecordKnown(k.now())
	}
}

// fail logs a failed call and puts the next one off.
func (k *Keeper) fail(call string, err error) {
	wait := k.settings.RetryInterval
	for range k.failures {
		wait = min(2*wait, k.settings.MaxRetryInterval)
	}
	k.failures++
	k.retryAt = k.now().Add(wait)
	if k.failures == 1 {
		k.logger.Emit(hwevent.CrashRecordFailed, hwevent.With("call", call), hwevent.With("cause", err.Error()))
	}
}
