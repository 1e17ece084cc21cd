package hwfollow

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwrevision"
	"github.com/hickorywick/hickorywick/lib/hwtable"
)

// PeerQuerier queries other routers for their snapshots of the store.
type PeerQuerier interface {
	// IsReader reports whether this router reads the store on behalf of the others.
	IsReader(now time.Time) bool
	// IsBackup reports whether this router takes over from the reader when that fails.
	IsBackup(now time.Time) bool
	// PeerCount returns how many other routers were heard lately.
	PeerCount(now time.Time) int
	// QueryPeers returns a snapshot that the query accepts. It contains the list or the encoded table only if the query wants it and doesn't know it.
	QueryPeers(ctx context.Context, query Query) (Snapshot, error)
	// QueryNewerTable returns the snapshot of a peer that has the newest table of all in force, and false if no peer has a newer one than the given version, or the peer did not respond.
	QueryNewerTable(ctx context.Context, version uint64) (Snapshot, bool)
}

// DecodingSource is a source that can also decode a table that another router got from it and passed on.
type DecodingSource interface {
	Source
	Decode(encoded []byte, revision hwrevision.Revision) (*hwtable.Table, error)
}

// Query states what a router wants from a peer's snapshot besides the revision and the ages.
type Query struct {
	// WantList asks for the list, unless its digest is the known one.
	WantList        bool
	KnownListDigest uint64
	// WantTable asks for the encoded table, unless its version is not higher than the known one.
	WantTable bool
	Known     TableState
	// MaxAge limits the age of the list, or that of the table if the list is not wanted.
	MaxAge time.Duration
}

// NoSnapshotError reports that the router that reads the store on behalf of the others has no snapshot yet.
type NoSnapshotError struct{}

func (e *NoSnapshotError) Error() string {
	return "the router that reads the store has no snapshot of it yet"
}

// Accepts reports whether a snapshot is recent enough.
func (q Query) Accepts(snapshot Snapshot) bool {
	if snapshot.Revision.Number == 0 {
		return false
	}
	if q.WantList {
		return snapshot.ListAge < q.MaxAge
	}
	return snapshot.TableAge < q.MaxAge
}

// statesNoEras reports whether the snapshot is of a release that states no eras. Later ones also state the version of their table, which is 0 if the operator gives none, and since when they have known a list.
func (s Snapshot) statesNoEras() bool { return s.ListEra == 0 && s.Version == 0 && s.ListKnownFor == 0 }

// SharedSource is a source that reads the store through one router of the fleet, the reader, so that the load of the store does not grow with the fleet. A router that gets no recent snapshot from a peer reads the store itself.
type SharedSource struct {
	store  DecodingSource
	peers  PeerQuerier
	maxAge time.Duration
	now    func() time.Time
	// random returns a random number from 0 to 1.
	random func() float64
	// list is the last list from a peer, with the zones that were evacuated then. Only Upstreams uses list, evacuatedZones, listDigest and listEra; it is never called concurrently.
	list           []hwplace.Upstream
	evacuatedZones []string
	listDigest     uint64
	// listEra is the highest era of the lists that Upstreams has returned.
	listEra uint64
	// tableGate is used by Table only, and listGate by Upstreams only. hasList reports that a poll has returned a list.
	tableGate ReadGate
	listGate  ReadGate
	hasList   bool
	// listReadAt is when the last list that Upstreams has returned was read from the store.
	listReadAt time.Time
	// tableFailures and listFailures are the failed reads of the store in a row.
	tableFailures int
	listFailures  int
	// offers is used by Table only.
	offers offerLogger
}

// NewSharedSource returns a source that reads the store if this router is the reader, or if no peer has a snapshot younger than maxAge.
func NewSharedSource(store DecodingSource, peers PeerQuerier, maxAge time.Duration, now func() time.Time) *SharedSource {
	return &SharedSource{
		store:  store,
		peers:  peers,
		maxAge: maxAge,
		now:    now,
		random: rand.Float64,
		offers: newOfferLogger(hwevent.Discard()),

		tableGate: NewReadGate(TablePace),
		listGate:  NewReadGate(ListPace),
	}
}

// WithRandom returns a copy that takes its random numbers, from 0 to 1, from the given function, which must be safe for concurrent use. The source must not be in use yet.
func (s *SharedSource) WithRandom(random func() float64) *SharedSource {
	clone := *s
	clone.random = random
	return &clone
}

// WithLogger returns a copy that logs the tables of peers that it does not take. The source must not be in use yet.
func (s *SharedSource) WithLogger(logger *hwevent.Logger) *SharedSource {
	clone := *s
	clone.offers = newOfferLogger(logger)
	return &clone
}

// Table returns a peer's confirmation of the known table or a peer's newer table, and otherwise reads the store, as often as a ReadGate allows it. Until then it returns DeferredReadError, so that a fleet whose reader fails or that starts before its configuration exists does not query the store all at once.
func (s *SharedSource) Table(ctx context.Context, known TableState) (TableResult, error) {
	if !s.peers.IsReader(s.now()) {
		snapshot, err := s.peers.QueryPeers(ctx, Query{
			WantTable: true,
			Known:     known,
			MaxAge:    s.maxAge,
		})
		if err == nil {
			if result, isCurrent := s.tableFromPeer(known, snapshot); isCurrent {
				s.tableGate.Reset()
				return result, nil
			}
		}
		// A reader that has just started has no snapshot; only a router without one waits for it longer.
		var noSnapshot *NoSnapshotError
		if wait := s.readWait(&s.tableGate, s.tableFailures, known.Revision.Number > 0 || !errors.As(err, &noSnapshot), time.Time{}); wait > 0 {
			return TableResult{}, &DeferredReadError{
				Wait:  wait,
				Cause: err,
			}
		}
	}
	result, err := s.store.Table(ctx, known)
	s.tableFailures = failuresInRow(s.tableFailures, err)
	return result, err
}

// tableFromPeer returns the result that a peer's snapshot gives, and false if only the store can tell which table is the newest: the peer knows an older revision, or its table can't be decoded, which the source logs, or its era does not follow the known one. An undecodable table may just have been corrupted in transit.
func (s *SharedSource) tableFromPeer(known TableState, snapshot Snapshot) (TableResult, bool) {
	result := TableResult{
		Revision: snapshot.Revision,
		Age:      snapshot.TableAge,
		From:     snapshot.From,
	}
	switch {
	case snapshot.Revision.Era < known.Revision.Era:
		s.offers.log(offerIn(snapshot), olderEra)
		return TableResult{}, false
	case !known.Revision.IsZero() && !hwrevision.IsNextEra(known.Revision.Era, snapshot.Revision.Era):
		// The peer may have just started, and believed a wrong era.
		s.offers.log(offerIn(snapshot), eraOutOfOrder)
		return TableResult{}, false
	case snapshot.Revision.IsBefore(known.Revision):
		s.offers.log(offerIn(snapshot), olderRevision)
		return TableResult{}, false
	case snapshot.Version == 0 && snapshot.Revision == known.Revision, snapshot.Version == known.Version && known.Version > 0:
		return result, true
	case snapshot.Version > 0 && snapshot.Version < known.Version:
		// The store has lost the table in force and holds no newer one.
		s.offers.log(offerIn(snapshot), olderVersion)
		return result, true
	}
	table, err := s.store.Decode(snapshot.EncodedTable, snapshot.Revision)
	if err != nil {
		s.offers.log(offerIn(snapshot), undecodable)
		return TableResult{}, false
	}
	result.Table = table
	result.Encoded = snapshot.EncodedTable
	return result, true
}

// NewerTable returns the table of a peer that has a newer one than the given version in force.
func (s *SharedSource) NewerTable(ctx context.Context, version uint64) (TableResult, error) {
	snapshot, found := s.peers.QueryNewerTable(ctx, version)
	if !found || snapshot.Version <= version {
		return TableResult{}, nil
	}
	table, err := s.store.Decode(snapshot.EncodedTable, snapshot.Revision)
	if err != nil {
		return TableResult{}, err
	}
	return TableResult{
		Table:    table,
		Encoded:  snapshot.EncodedTable,
		Revision: snapshot.Revision,
		Age:      snapshot.TableAge,
		From:     snapshot.From,
	}, nil
}

// failuresInRow returns the number of failures in a row after another call.
func failuresInRow(before int, err error) int {
	if err == nil {
		return 0
	}
	return before + 1
}

// Ping pings the store, never a peer.
func (s *SharedSource) Ping(ctx context.Context) error { return s.store.Ping(ctx) }

// Upstreams returns a peer's list, and otherwise reads the store. If neither this router nor its peers have a list, it defers to the reader, as Table does.
func (s *SharedSource) Upstreams(ctx context.Context) (ListResult, error) {
	began := s.now()
	if !s.peers.IsReader(s.now()) {
		snapshot, err := s.peers.QueryPeers(ctx, Query{
			WantList:        true,
			KnownListDigest: s.listDigest,
			MaxAge:          s.maxAge,
		})
		var noSnapshot *NoSnapshotError
		// A peer that has not noticed yet that the store was restored has an older list.
		if err == nil && (!s.hasList || hwrevision.IsNextEra(s.listEra, snapshot.ListEra) || snapshot.statesNoEras()) {
			s.listEra = max(s.listEra, snapshot.ListEra)
			s.listGate.Reset()
			s.hasList = true
			s.listReadAt = began.Add(-snapshot.ListAge)
			if snapshot.ListDigest != s.listDigest {
				s.list = snapshot.List
				s.evacuatedZones = snapshot.Evacuated.Zones
				s.listDigest = snapshot.ListDigest
			}
			return ListResult{
				Upstreams: s.list,
				// The zones may be those of an earlier snapshot, because the digest covers them. Their revision must not be: a set that was read from the store in between would seem to be newer.
				Evacuated: hwplace.EvacuatedZones{
					Revision: snapshot.Evacuated.Revision,
					Zones:    s.evacuatedZones,
				},
				Age:        snapshot.ListAge,
				Reconciled: true,
				Era:        snapshot.ListEra,
				KnownFor:   snapshot.ListKnownFor,
				From:       snapshot.From,
			}, nil
		}
		if wait := s.readWait(&s.listGate, s.listFailures, s.hasList || !errors.As(err, &noSnapshot), s.listReadBy(s.now().Sub(began))); wait > 0 {
			return ListResult{}, &DeferredReadError{
				Wait:  wait,
				Cause: err,
			}
		}
	}
	sentAt := s.now()
	result, err := s.store.Upstreams(ctx)
	s.listFailures = failuresInRow(s.listFailures, err)
	if err == nil {
		s.hasList = true
		s.listReadAt = sentAt
	}
	s.listEra = max(s.listEra, result.Era)
	return result, err
}

// listReadBy returns when the poll has to begin that reads a list in place of the last one, or zero without a list. That poll queries the peers before, probably for as long as the last one did.
func (s *SharedSource) listReadBy(queryTime time.Duration) time.Time {
	if s.listReadAt.IsZero() {
		return time.Time{}
	}
	return s.listReadAt.Add(maxListAgeAtRead - queryTime)
}

// readWait returns how long this router leaves the store to others although no peer has a recent snapshot.
func (s *SharedSource) readWait(gate *ReadGate, failures int, hasSnapshot bool, readBy time.Time) time.Duration {
	now := s.now()
	return gate.Wait(now, hasSnapshot, Condition{
		Peers:      s.peers.PeerCount(now),
		ReadsStore: s.peers.IsBackup(now),
		Failures:   failures,
		Random:     s.random(),
		ReadBy:     readBy,
	})
}

// evacuatedPrefix distinguishes an evacuated zone in the digest from an upstream, whose ID is not empty.
const evacuatedPrefix = "\x00evacuated\x00"

// ListDigest returns a hash of a list and of the evacuated zones that does not depend on their order. It does not cover the revision as of which they were read, which changes whenever an upstream renews its entry.
func ListDigest(list []hwplace.Upstream, evacuatedZones ...string) uint64 {
	sum := uint64(len(list))
	var b []byte
	for _, u := range list {
		b = append(b[:0], u.ID...)
		b = append(append(append(b, 0), u.Address...), 0)
		b = append(append(append(b, u.Zone...), 0), u.Pool...)
		b = binary.LittleEndian.AppendUint64(b, uint64(u.Incarnation))
		b = binary.LittleEndian.AppendUint32(b, uint32(u.Slots))
		b = binary.LittleEndian.AppendUint32(b, uint32(u.ModelVersion))
		if u.Draining {
			b = append(b, 1)
		}
		if u.Cold {
			b = append(b, 2)
		}
		if u.Version != "" {
			b = append(append(b, 0), u.Version...)
		}
		sum += xxhash.Sum64(b)
	}
	for _, zone := range evacuatedZones {
		b = append(append(b[:0], evacuatedPrefix...), zone...)
		sum += xxhash.Sum64(b)
	}
	return sum
}
