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

// Asker asks other routers for what they know of the store.
type Asker interface {
	// Reader reports whether this router reads the store for the others.
	Reader(now time.Time) bool
	// Ask returns a state that is new enough. Its list is there only if it is wanted.
	Ask(ctx context.Context, want Want) (State, error)
}

// Origin is a source that can also read a table which another router got from it and passed on as it was encoded.
type Origin interface {
	Source
	Decode(encoded []byte, revision int64) (*hwtable.Table, error)
}

// Want is what an asker needs beside revision and ages.
type Want struct {
	// List asks for the list, unless its digest is the given one.
	List   bool
	Digest uint64
	// Table asks for the encoded table, unless its revision is the given one.
	Table    bool
	Revision int64
	// Oldest is how old the list may be, or the table if the list is not wanted.
	Oldest time.Duration
}

// NothingKnownError says that the router which reads the store for the others knows nothing of it yet.
type NothingKnownError struct{}

// Error says what happened.
func (e *NothingKnownError) Error() string { return "the reader of the store knows nothing yet" }

// Fresh reports whether a state is new enough.
func (w Want) Fresh(state State) bool {
	if state.Revision == 0 {
		return false
	}
	if w.List {
		return state.ListAge < w.Oldest
	}
	return state.TableAge < w.Oldest
}

// Shared is a source that reads the store through one router of the fleet, so that the store's load does not grow with the fleet. A router that gets no answer new enough reads for itself.
type Shared struct {
	own    Origin
	asker  Asker
	oldest time.Duration
	now    func() time.Time
	// list is the last list from a reader. Only Upstreams uses it, which is not called twice at once.
	list   []hwplace.Upstream
	digest uint64
}

// NewShared returns a source that reads from own when this router is a reader, or when no reader has an answer younger than oldest.
func NewShared(own Origin, asker Asker, oldest time.Duration, now func() time.Time) *Shared {
	return &Shared{
		own:    own,
		asker:  asker,
		oldest: oldest,
		now:    now,
	}
}

// Table returns a reader's confirmation of the known revision, or its newer table, or else the store's. A router that knows nothing waits for a reader that knows nothing either, so that a fleet that starts before its configuration is there does not ask all at once.
func (s *Shared) Table(ctx context.Context, known int64) (TableAnswer, error) {
	if !s.asker.Reader(s.now()) {
		state, err := s.asker.Ask(ctx, Want{
			Table:    true,
			Revision: known,
			Oldest:   s.oldest,
		})
		var nothing *NothingKnownError
		switch {
		case errors.As(err, &nothing) && known == 0:
			return TableAnswer{}, err
		case err != nil || state.Revision < known:
			// The store knows more, or nobody was asked who knows anything.
		case state.Revision == known:
			return TableAnswer{
				Revision: known,
				Age:      state.TableAge,
			}, nil
		default:
			// What can't be read, which the source logs, may only have been spoilt on its way.
			if table, err := s.own.Decode(state.Encoded, state.Revision); err == nil {
				return TableAnswer{
					Table:    table,
					Encoded:  state.Encoded,
					Revision: state.Revision,
					Age:      state.TableAge,
				}, nil
			}
		}
	}
	return s.own.Table(ctx, known)
}

// Reach asks the store itself.
func (s *Shared) Reach(ctx context.Context) error { return s.own.Reach(ctx) }

// Upstreams returns a reader's list, or else the store's.
func (s *Shared) Upstreams(ctx context.Context) (ListAnswer, error) {
	if !s.asker.Reader(s.now()) {
		state, err := s.asker.Ask(ctx, Want{
			List:   true,
			Digest: s.digest,
			Oldest: s.oldest,
		})
		var nothing *NothingKnownError
		if errors.As(err, &nothing) && s.list == nil {
			return ListAnswer{}, err
		}
		if err == nil {
			if state.Digest != s.digest {
				s.list = state.List
				s.digest = state.Digest
			}
			return ListAnswer{
				Upstreams: s.list,
				Age:       state.ListAge,
				Settled:   true,
			}, nil
		}
	}
	return s.own.Upstreams(ctx)
}

// Digest returns a number that tells lists apart. The order does not matter.
func Digest(list []hwplace.Upstream) uint64 {
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
