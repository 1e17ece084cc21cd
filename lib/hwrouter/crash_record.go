package hwrouter

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwrecord"
	"github.com/hickorywick/hickorywick/lib/hwrevision"
	"github.com/hickorywick/hickorywick/lib/hwslot"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

const (
	// maxRecordedSegments bounds the record of crashes to some 70 kB.
	maxRecordedSegments = 64
	// crashRecordRecheckInterval is how often the router that writes the record reads it, because nothing else tells it that the store was restored from a copy.
	crashRecordRecheckInterval = time.Minute
)

var crashRecordSettings = hwrecord.Settings{
	Timeout:          time.Second,
	CheckInterval:    250 * time.Millisecond,
	RetryInterval:    500 * time.Millisecond,
	MaxRetryInterval: 15 * time.Second,
	CreateDelay:      500 * time.Millisecond,
}

// cautionSettings bound the time in which a router that knows of no crashes holds a segment after a single one. The record's timeout covers one call to the store, and the delay several gossip messages of a peer.
var cautionSettings = hwquarantine.CautionSettings{
	Duration:      time.Minute,
	PeerDelay:     2 * time.Second,
	RecordTimeout: 1500 * time.Millisecond,
}

// CrashRecordKey returns the store key of an environment's record of crashes.
func CrashRecordKey(environment string) string {
	return "/hickorywick/environments/" + environment + "/crashes"
}

// keepCrashRecord keeps what the fleet knows of segments in the store, so that it outlives all routers.
func (r *Router) keepCrashRecord(ctx context.Context) error {
	keeper := hwrecord.New(crashRecordSettings, hwrecord.Dependencies{
		Store: &crashRecordStore{
			store: r.store,
			key:   CrashRecordKey(r.settings.Environment),
		},
		Delegate: r,
		IsWriter: func(now time.Time) bool {
			return r.fleetKnown(now) && hwslot.RendezvousOwner("crashes", r.AliveInstances()) == r.settings.Instance
		},
		// A router that starts in an outage serves once it has a document, and the store has mostly answered then.
		IsReachable: func() bool { return r.current.Load() != nil },
		// The revisions of the record state no era, so each interval counts as one: the writer reads the record again.
		NewestEra: func() uint64 { return uint64(time.Since(r.startedAt) / crashRecordRecheckInterval) },
		Logger:    r.logger,
		Now:       time.Now,
	})
	return keeper.Run(ctx)
}

// CrashRecord returns what the fleet has to keep beyond the lifetime of its routers. Whole requests are not part of it, because they are quarantined for two minutes at most.
func (r *Router) CrashRecord() []hwquarantine.SegmentReport {
	q := r.quarantine
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.segments.Record(maxRecordedSegments)
}

// MergeCrashRecord adds the reports of the fleet's record.
func (r *Router) MergeCrashRecord(now time.Time, reports []hwquarantine.SegmentReport) {
	q := r.quarantine
	q.lock.Lock()
	defer q.lock.Unlock()
	r.logSegmentChanges(q.segments.Merge(now, reports))
}

// SetRecordKnown reports that this router has the fleet's record.
func (r *Router) SetRecordKnown(now time.Time) {
	r.quarantine.updateCaution(func(c *hwquarantine.Caution) { c.RecordKnown(now) })
}

// SetRecordAsked reports that the store was asked for the fleet's record, whatever came of it.
func (r *Router) SetRecordAsked() {
	r.quarantine.updateCaution(func(c *hwquarantine.Caution) { c.RecordAsked() })
}

func (q *quarantine) updateCaution(update func(*hwquarantine.Caution)) {
	q.lock.Lock()
	defer q.lock.Unlock()
	update(q.segments.Caution())
}

// knowsCrashes reports whether this router knows what crashes upstreams, so that a peer that hears from it does too. The answer holds for what is read after it.
func (q *quarantine) knowsCrashes(now time.Time) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	return !q.segments.Caution().IsActive(now)
}

// heardFromPeer records that a peer has sent its state.
func (q *quarantine) heardFromPeer(now time.Time, peerKnows bool) {
	if peerKnows {
		q.updateCaution(func(c *hwquarantine.Caution) { c.HeardFromPeer(now) })
	}
}

// awaitsRecord reports whether the store's answer about crashes may still come, so that the router had better not serve yet.
func (q *quarantine) awaitsRecord(now time.Time) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.segments.Caution().AwaitsRecord(now)
}

// crashRecordStore keeps the record under one key. It is used by one goroutine at a time.
type crashRecordStore struct {
	store hwstore.Store
	key   string
	// cluster is that of the record's revision, so that a write to a restored store is not confirmed.
	cluster uint64
}

// Read returns the record. The era of its revision is 0.
func (s *crashRecordStore) Read(ctx context.Context) (hwrecord.Entry, error) {
	value, err := s.store.Get(ctx, s.key)
	if err != nil {
		return hwrecord.Entry{}, trace.Wrap(err)
	}
	return s.entry(value), nil
}

func (s *crashRecordStore) entry(value hwstore.Value) hwrecord.Entry {
	s.cluster = value.Revision.Cluster
	return hwrecord.Entry{
		Value: value.Bytes,
		Revision: hwrevision.Revision{
			Number: value.Revision.Number,
		},
	}
}

// Write replaces the record if it still has the expected revision.
func (s *crashRecordStore) Write(ctx context.Context, value []byte, expected hwrevision.Revision) (hwrevision.Revision, error) {
	written, err := s.store.Put(ctx, s.key, value, hwstore.Revision{
		Cluster: s.cluster,
		Number:  expected.Number,
	}, hwstore.NoLease)
	var conflict *hwstore.ConflictError
	if errors.As(err, &conflict) && conflict.Current.Revision.Exists() {
		return hwrevision.Revision{}, &hwrecord.ConflictError{
			Current: s.entry(conflict.Current),
		}
	}
	if err != nil {
		return hwrevision.Revision{}, trace.Wrap(err)
	}
	s.cluster = written.Cluster
	return hwrevision.Revision{
		Number: written.Number,
	}, nil
}
