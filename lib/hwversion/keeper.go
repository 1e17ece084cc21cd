package hwversion

import (
	"bytes"
	"context"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Store reads and writes the record of streams, which has a part for each router.
type Store interface {
	// Read returns the parts of all routers by their names.
	Read(ctx context.Context) (map[string][]byte, error)
	// Write replaces a router's part, or removes it if the value is nil.
	Write(ctx context.Context, router string, value []byte) error
}

// Delegate has the streams that the record keeps.
type Delegate interface {
	// RecordedStreams returns the streams of this router that would be in doubt if all routers ended now, the latest last.
	RecordedStreams(now time.Time) []Stream
	// SettledVersions returns the pools of which one version alone has served for longer than a stream can last, with that version.
	SettledVersions(now time.Time) map[string]hwplace.VersionHash
	// MergeRecordedStreams adds streams of the record. Own are those of this router's part.
	MergeRecordedStreams(now time.Time, streams []Stream, own bool)
	// SetStreamRecordKnown reports that the whole record was merged, and what all parts of it state to be settled.
	SetStreamRecordKnown(now time.Time, settled map[string]hwplace.VersionHash)
}

// KeeperSettings are the times of a Keeper.
type KeeperSettings struct {
	// Router is the name of this router's part.
	Router string
	// CheckInterval is the time between two looks at whether streams have begun, and so the longest before a write that is due.
	CheckInterval time.Duration
	// Interval is the shortest time between two writes. IntervalPerRouter times the number of routers is another lower bound on it, which limits the writes of a large fleet.
	Interval          time.Duration
	IntervalPerRouter time.Duration
	// RetryInterval is the wait after a failed call. It doubles with each failure in a row, up to MaxRetryInterval.
	RetryInterval    time.Duration
	MaxRetryInterval time.Duration
	// Timeout bounds one read or write.
	Timeout time.Duration
}

// Dependencies are the parts that a Keeper uses.
type Dependencies struct {
	Store    Store
	Delegate Delegate
	// PeerCount returns how many other routers were heard lately.
	PeerCount func(now time.Time) int
	// NewestEra returns the newest era of the store that this router knows.
	NewestEra func() uint64
	Logger    *hwevent.Logger
	Now       func() time.Time
}

// maxRecordedStreams limits the whole record to 800 kB, because each router reads it when it starts. Each router states the latest of its streams.
const maxRecordedStreams = 1 << 16

// Keeper keeps the versions of streams beyond the lifetime of all routers. It reads the record when it starts, and replaces this router's part when the streams that would be in doubt without it change, or what is settled.
type Keeper struct {
	settings     KeeperSettings
	dependencies Dependencies
	// read is set once the record was read. Without it, the part of this router's earlier lifetime would be lost.
	read bool
	// written is this router's part as it was last written, or nil if there is none, and writtenEra the store's era then.
	written    []byte
	writtenEra uint64
	// writtenAt is when the last write began.
	writtenAt time.Time
	// failures counts the failed calls in a row.
	failures int
}

// NewKeeper returns a keeper that has not read the record yet.
func NewKeeper(settings KeeperSettings, dependencies Dependencies) *Keeper {
	return &Keeper{
		settings:     settings,
		dependencies: dependencies,
	}
}

// Run keeps the record until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		hwtask.Sleep(ctx, k.step(ctx))
	}
	return nil
}

// step makes the next call, if any is needed, and returns the time until the one after it.
func (k *Keeper) step(ctx context.Context) time.Duration {
	call, run := "write", k.write
	if !k.read {
		call, run = "read", k.readAll
	}
	err := run(ctx)
	if err == nil || ctx.Err() != nil {
		k.failures = 0
		now := k.dependencies.Now()
		routers := 1 + k.dependencies.PeerCount(now)
		next := k.writtenAt.Add(max(k.settings.Interval, time.Duration(routers)*k.settings.IntervalPerRouter))
		return max(k.settings.CheckInterval, next.Sub(now))
	}
	if k.failures == 0 {
		k.dependencies.Logger.Emit(hwevent.StreamRecordFailed, hwevent.With("call", call), hwevent.With("cause", err.Error()))
	}
	wait := k.settings.RetryInterval
	for range k.failures {
		wait = min(2*wait, k.settings.MaxRetryInterval)
	}
	k.failures++
	return wait
}

// readAll reads the parts of all routers.
func (k *Keeper) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.settings.Timeout)
	defer cancel()
	parts, err := k.dependencies.Store.Read(ctx)
	if err != nil {
		return err
	}
	k.read = true
	count := 0
	var agreed agreement
	for router, encoded := range parts {
		part := k.merge(router, encoded)
		agreed.add(part, k.dependencies.NewestEra())
		count += len(part.Streams)
	}
	k.dependencies.Delegate.SetStreamRecordKnown(k.dependencies.Now(), agreed.settled)
	k.dependencies.Logger.Emit(hwevent.StreamRecordRead, hwevent.With("instances", len(parts)), hwevent.With("streams", count))
	return nil
}

// merge passes the streams of a router's part on and returns the part. One that can't be decoded is logged and empty.
func (k *Keeper) merge(router string, encoded []byte) Part {
	part, err := Decode(encoded)
	if err != nil {
		k.dependencies.Logger.Emit(hwevent.StreamRecordFailed, hwevent.With("call", "decode"), hwevent.With("instance", router), hwevent.With("cause", err.Error()))
		return Part{}
	}
	own := router == k.settings.Router
	if own {
		k.written = encoded
		k.writtenEra = k.dependencies.NewestEra()
	}
	k.dependencies.Delegate.MergeRecordedStreams(k.dependencies.Now(), part.Streams, own)
	return part
}

// write replaces this router's part if it has changed.
func (k *Keeper) write(ctx context.Context) error {
	now := k.dependencies.Now()
	streams := k.dependencies.Delegate.RecordedStreams(now)
	streams = streams[max(0, len(streams)-maxRecordedStreams/(1+k.dependencies.PeerCount(now))):]
	settled := k.dependencies.Delegate.SettledVersions(now)
	era := k.dependencies.NewestEra()
	var encoded []byte
	if len(streams) > 0 || len(settled) > 0 {
		var err error
		encoded, err = Encode(Part{
			Streams: streams,
			Settled: settled,
			Era:     era,
		})
		if err != nil {
			return err
		}
	}
	isLost := k.written != nil && era > k.writtenEra
	if bytes.Equal(encoded, k.written) && !isLost {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, k.settings.Timeout)
	defer cancel()
	k.writtenAt = now
	if err := k.dependencies.Store.Write(ctx, k.settings.Router, encoded); err != nil {
		return err
	}
	k.written = encoded
	k.writtenEra = era
	return nil
}
