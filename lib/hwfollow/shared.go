package hwfollow

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// Asker asks other routers for what they know of the store.
type Asker interface {
	// Reader reports whether this router reads the store for the others.
	Reader(now time.Time) bool
	// Ask returns a state that is new enough. Its list is there only if it is wanted.
	Ask(ctx context.Context, want Want) (State, error)
}

// Want is what an asker needs beside revision and ages.
type Want struct {
	// List asks for the list, unless its digest is the given one.
	List   bool
	Digest uint64
	// Oldest is how old the list may be, or the table if the list is not wanted.
	Oldest time.Duration
}

// Fresh reports whether a state is new enough.
func (w Want) Fresh(state State) bool {
	if w.List {
		return state.ListAge < w.Oldest
	}
	return state.TableAge < w.Oldest
}

// Shared is a source that reads the store through one router of the fleet, so that the store's load does not grow with the fleet. A router that gets no answer new enough reads for itself.
type Shared struct {
	own    Source
	asker  Asker
	oldest time.Duration
	now    func() time.Time
	// list is the last list from a reader. Only Upstreams uses it, which is not called twice at once.
	list   []hwplace.Upstream
	digest uint64
}

// NewShared returns a source that reads from own when this router is a reader, or when no reader has an answer younger than oldest.
func NewShared(own Source, asker Asker, oldest time.Duration, now func() time.Time) *Shared {
	return &Shared{
		own:    own,
		asker:  asker,
		oldest: oldest,
		now:    now,
	}
}

// Table returns a reader's confirmation of the known revision, or else the store's table.
func (s *Shared) Table(ctx context.Context, known int64) (TableAnswer, error) {
	if known > 0 && !s.asker.Reader(s.now()) {
		state, err := s.asker.Ask(ctx, Want{
			Oldest: s.oldest,
		})
		if err == nil && state.Revision == known {
			return TableAnswer{
				Revision: known,
				Age:      state.TableAge,
			}, nil
		}
	}
	return s.own.Table(ctx, known)
}

// Upstreams returns a reader's list, or else the store's.
func (s *Shared) Upstreams(ctx context.Context) (ListAnswer, error) {
	if !s.asker.Reader(s.now()) {
		state, err := s.asker.Ask(ctx, Want{
			List:   true,
			Digest: s.digest,
			Oldest: s.oldest,
		})
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
		b = binary.LittleEndian.AppendUint64(b, uint64(u.Started))
		b = binary.LittleEndian.AppendUint32(b, uint32(u.Slots))
		b = binary.LittleEndian.AppendUint32(b, uint32(u.Version))
		if u.Leaving {
			b = append(b, 1)
		}
		sum += xxhash.Sum64(b)
	}
	return sum
}
