package hwfleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwfollow"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

const (
	// asked is how many routers are asked in place of the store, in turn. The first reads the store. The second asks the first like the others do, so it knows nearly as much when the first is lost, and reads at once when it notices.
	asked = 2
	// readerSilence is how long a router may be silent and still be asked.
	readerSilence = 1200 * time.Millisecond
	// answerTimeout is how long an answer may take before the next reader is asked; a router answers from memory.
	answerTimeout = 120 * time.Millisecond
)

// NoReaderError says that no router answered with something new enough.
type NoReaderError struct {
	Asked int
}

// Error says what happened.
func (e *NoReaderError) Error() string {
	return "no router of the fleet answered with something new enough"
}

// SetState sets what the fleet answers to routers that ask.
func (f *Fleet) SetState(state func() (hwfollow.State, bool)) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.state = state
}

// ranked returns the routers that are asked, itself among them, by the hash of their addresses: all routers with the same view agree without asking.
func (f *Fleet) ranked(now time.Time) []netip.AddrPort {
	f.lock.Lock()
	defer f.lock.Unlock()
	routers := []netip.AddrPort{f.settings.Self}
	for address, p := range f.peers {
		if p.name != "" && now.Sub(p.heard) < readerSilence {
			routers = append(routers, address)
		}
	}
	rank := func(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }
	slices.SortFunc(routers, func(a, b netip.AddrPort) int { return cmp.Compare(rank(a), rank(b)) })
	return routers[:min(asked, len(routers))]
}

// Reader reports whether this router reads the store for the others.
func (f *Fleet) Reader(now time.Time) bool { return f.ranked(now)[0] == f.settings.Self }

// Ask asks in turn until an answer is new enough.
func (f *Fleet) Ask(ctx context.Context, want hwfollow.Want) (hwfollow.State, error) {
	targets := f.ranked(f.now())
	for _, target := range targets {
		if target == f.settings.Self {
			continue
		}
		if state, answered := f.askOne(ctx, target, want); answered && want.Fresh(state) {
			return state, nil
		}
	}
	return hwfollow.State{}, &NoReaderError{
		Asked: len(targets),
	}
}

func (f *Fleet) askOne(ctx context.Context, target netip.AddrPort, want hwfollow.Want) (hwfollow.State, bool) {
	nonce := rand.Uint64()
	answer := make(chan hwfollow.State, 1)
	f.lock.Lock()
	f.asking[nonce] = answer
	f.lock.Unlock()
	defer func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		delete(f.asking, nonce)
	}()
	f.write(target, &hwpeerpb.Datagram{
		Query: &hwpeerpb.StateQuery{
			Nonce:  nonce,
			Digest: want.Digest,
			List:   want.List,
		},
	})
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	select {
	case state := <-answer:
		return state, true
	case <-ctx.Done():
		return hwfollow.State{}, false
	}
}

// write sends one datagram under this router's name.
func (f *Fleet) write(target netip.AddrPort, datagram *hwpeerpb.Datagram) {
	datagram.Router = f.settings.Router
	datagram.Boot = f.settings.Boot
	bytes, err := proto.Marshal(datagram)
	if err != nil || len(bytes) > largestDatagram {
		f.logger.Emit(hwevent.PeerUnreachable, hwevent.With("datagram-bytes", len(bytes)))
		return
	}
	// A datagram that can't be sent is like one that is lost.
	_, _ = f.socket.WriteTo(bytes, net.UDPAddrFromAddrPort(target))
}

// answer tells a router what this one knows of the store.
func (f *Fleet) answer(to netip.AddrPort, query *hwpeerpb.StateQuery) {
	f.lock.Lock()
	ask := f.state
	f.lock.Unlock()
	if ask == nil {
		return
	}
	state, known := ask()
	if !known {
		return
	}
	message := &hwpeerpb.StoredState{
		Nonce:      query.GetNonce(),
		Revision:   state.Revision,
		TableAgeMs: milliseconds(state.TableAge),
		ListAgeMs:  milliseconds(state.ListAge),
		Digest:     state.Digest,
	}
	if query.GetList() && state.Digest != query.GetDigest() {
		for _, u := range state.List {
			message.Upstreams = append(message.Upstreams, &hwpeerpb.ListedUpstream{
				Id:      u.ID,
				Address: u.Address,
				Zone:    u.Zone,
				Pool:    u.Pool,
				Slots:   uint32(u.Slots),
				Started: u.Started,
				Leaving: u.Leaving,
				Version: uint32(u.Version),
			})
		}
	}
	f.write(to, &hwpeerpb.Datagram{
		State: message,
	})
}

// milliseconds rounds an age up, so that it is never understated.
func milliseconds(age time.Duration) uint32 {
	return uint32(min(max(0, age)+time.Millisecond-1, time.Hour) / time.Millisecond)
}

// answered hands an answer to whoever asked.
func (f *Fleet) answered(message *hwpeerpb.StoredState) {
	state := hwfollow.State{
		Revision: message.GetRevision(),
		TableAge: time.Duration(message.GetTableAgeMs()) * time.Millisecond,
		ListAge:  time.Duration(message.GetListAgeMs()) * time.Millisecond,
		Digest:   message.GetDigest(),
	}
	for _, u := range message.GetUpstreams() {
		state.List = append(state.List, hwplace.Upstream{
			ID:      u.GetId(),
			Address: u.GetAddress(),
			Zone:    u.GetZone(),
			Pool:    u.GetPool(),
			Slots:   int(u.GetSlots()),
			Started: u.GetStarted(),
			Leaving: u.GetLeaving(),
			Version: int(u.GetVersion()),
		})
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if answer := f.asking[message.GetNonce()]; answer != nil {
		// The channel has room for the one answer; a repeated datagram is dropped.
		select {
		case answer <- state:
		default:
		}
	}
}
