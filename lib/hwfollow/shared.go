package hwfollow

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwtable"
)

// PeerQuerier asks other routers for what they know of the store.
type PeerQuerier interface {
	// IsReader reports whether this router reads the store for the others.
	IsReader(now time.Time) bool
	// QueryPeers returns a state that is new enough. Its list is there only if it is wanted.
	QueryPeers(ctx context.Context, want Query) (Snapshot, error)
}

// DecodingSource is a source that can also read a table which another router got from it and passed on as it was encoded.
type DecodingSource interface {
	Source
	Decode(encoded []byte, revision int64) (*hwtable.Table, error)
}

// Query is what an asker needs beside revision and ages.
type Query struct {
	// WantList asks for the list, unless its digest is the given one.
	WantList        bool
	KnownListDigest uint64
	// WantTable asks for the encoded table, unless its revision is the given one.
	WantTable     bool
	KnownRevision int64
	// MaxAge is how old the list may be, or the table if the list is not wanted.
	MaxAge time.Duration
}

// NoSnapshotError says that the router which reads the store for the others knows nothing of it yet.
type NoSnapshotError struct{}

// Error says what happened.
func (e *NoSnapshotError) Error() string { return "the reader of the store knows nothing yet" }

// Accepts reports whether a state is new enough.
func (w Query) Accepts(state Snapshot) bool {
	if state.Revision == 0 {
		return false
	}
	if w.WantList {
		return state.ListAge < w.MaxAge
	}
	return state.TableAge < w.MaxAge
}

// SharedSource is a source that reads the store through one router of the fleet, so that the store's load does not grow with the fleet. A router that gets no answer new enough reads for itself.
type SharedSource struct {
	own    DecodingSource
	asker  PeerQuerier
	oldest time.Duration
	now    func() time.Time
	// list is the last list from a reader. Only Upstreams uses it, which is not called twice at once.
	list   []hwplace.Upstream
	digest uint64
}

// NewSharedSource returns a source that reads from own when this router is a reader, or when no reader has an answer younger than oldest.
func NewSharedSource(own DecodingSource, asker PeerQuerier, oldest time.Duration, now func() time.Time) *SharedSource {
	return &SharedSource{
		own:    own,
		asker:  asker,
		oldest: oldest,
		now:    now,
	}
}

// Table returns a reader's confirmation of the known revision, or its newer table, or else the store's. A router that knows nothing waits for a reader that knows nothing either, so that a fleet that starts before its configuration is there does not ask all at once.
func (s *SharedSource) Table(ctx context.Context, known int64) (TableResult, error) {
	if !s.asker.IsReader(s.now()) {
		state, err := s.asker.QueryPeers(ctx, Query{
			WantTable:     true,
			KnownRevision: known,
			MaxAge:        s.oldest,
		})
		var nothing *NoSnapshotError
		switch {
		case errors.As(err, &nothing) && known == 0:
			return TableResult{}, err
		case err != nil || state.Revision < known:
			// The store knows more, or nobody was asked who knows anything.
		case state.Revision == known:
			return TableResult{
				Revision: known,
				Age:      state.TableAge,
			}, nil
		default:
			// What can't be read, which the source logs, may only have been spoilt on its way.
			if table, err := s.own.Decode(state.EncodedTable, state.Revision); err == nil {
				return TableResult{
					Table:    table,
					Encoded:  state.EncodedTable,
					Revision: state.Revision,
					Age:      state.TableAge,
				}, nil
			}
		}
	}
	return s.own.Table(ctx, known)
}

// Ping asks the store itself.
func (s *SharedSource) Ping(ctx context.Context) error { return s.own.Ping(ctx) }

// Upstreams returns a reader's list, or else the store's.
func (s *SharedSource) Upstreams(ctx context.Context) (ListResult, error) {
	if !s.asker.IsReader(s.now()) {
		state, err := s.asker.QueryPeers(ctx, Query{
			WantList:        true,
			KnownListDigest: s.digest,
			MaxAge:          s.oldest,
		})
		var nothing *NoSnapshotError
		if errors.As(err, &nothing) && s.list == nil {
			return ListResult{}, err
		}
		if err == nil {
			if state.ListDigest != s.digest {
				s.list = state.List
				s.digest = state.ListDigest
			}
			return ListResult{
				Upstreams:  s.list,
				Age:        state.ListAge,
				Reconciled: true,
			}, nil
		}
	}
	return s.own.Upstreams(ctx)
}

// ListDigest returns a number that tells lists apart. The order does not matter.
func ListDigest(list []hwplace.Upstream) uint64 {
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
		sum += xxhash.Sum64(b)
	}
	return sum
}
