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
	"github.com/gravitational/trace"
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
	// largestPart bounds the part of a table or list that one datagram carries, in bytes, so that a large one does not fill a link.
	largestPart = 16 << 10
)

// NoReaderError says that no router answered with something new enough.
type NoReaderError struct {
	Candidates int
}

// Error says what happened.
func (e *NoReaderError) Error() string {
	return "no router of the fleet answered with something new enough"
}

// SetSnapshotFunc sets what the fleet answers to routers that ask.
func (f *Fleet) SetSnapshotFunc(state func() (hwfollow.Snapshot, bool)) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.state = state
}

// SetStoreReachable sets whether this router reaches the store by itself.
func (f *Fleet) SetStoreReachable(reaches bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.reaches = reaches
}

// PeerReachability returns how many peers reach the store by themselves, and how many say that they don't.
func (f *Fleet) PeerReachability(now time.Time) (reaching, cutOff int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, p := range f.peers {
		switch {
		case p.name == "" || now.Sub(p.heard) >= readerSilence:
		case p.reaches:
			reaching++
		default:
			cutOff++
		}
	}
	return reaching, cutOff
}

// ranked returns the routers that are asked, itself among them, by the hash of their addresses: all routers with the same view agree without asking. Those that don't reach the store are asked only if nobody does.
func (f *Fleet) ranked(now time.Time) []netip.AddrPort {
	f.lock.Lock()
	defer f.lock.Unlock()
	all := []netip.AddrPort{f.settings.Self}
	var reaching []netip.AddrPort
	if f.reaches {
		reaching = append(reaching, f.settings.Self)
	}
	for address, p := range f.peers {
		if p.name == "" || now.Sub(p.heard) >= readerSilence {
			continue
		}
		all = append(all, address)
		if p.reaches {
			reaching = append(reaching, address)
		}
	}
	routers := reaching
	if len(routers) == 0 {
		routers = all
	}
	rank := func(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }
	slices.SortFunc(routers, func(a, b netip.AddrPort) int { return cmp.Compare(rank(a), rank(b)) })
	return routers[:min(asked, len(routers))]
}

// IsReader reports whether this router reads the store for the others.
func (f *Fleet) IsReader(now time.Time) bool { return f.ranked(now)[0] == f.settings.Self }

// QueryPeers asks in turn until an answer is new enough and whole.
func (f *Fleet) QueryPeers(ctx context.Context, want hwfollow.Query) (hwfollow.Snapshot, error) {
	targets := f.ranked(f.now())
	ignorant := false
	for _, target := range targets {
		if target == f.settings.Self {
			continue
		}
		state, answered := f.fetch(ctx, target, want)
		if answered && want.Accepts(state) {
			return state, nil
		}
		ignorant = ignorant || answered && state.Revision == 0
	}
	if ignorant {
		return hwfollow.Snapshot{}, &hwfollow.NoSnapshotError{}
	}
	return hwfollow.Snapshot{}, &NoReaderError{
		Candidates: len(targets),
	}
}

// fetch asks one router, and for the other parts of what does not fit one datagram.
func (f *Fleet) fetch(ctx context.Context, target netip.AddrPort, want hwfollow.Query) (hwfollow.Snapshot, bool) {
	query := &hwpeerpb.StateQuery{
		Digest:   want.KnownListDigest,
		Revision: want.KnownRevision,
		List:     want.WantList,
		Table:    want.WantTable,
	}
	first, answered := f.askOne(ctx, target, query)
	if !answered {
		return hwfollow.Snapshot{}, false
	}
	state := hwfollow.Snapshot{
		Revision:   first.GetRevision(),
		TableAge:   time.Duration(first.GetTableAgeMs()) * time.Millisecond,
		ListAge:    time.Duration(first.GetListAgeMs()) * time.Millisecond,
		ListDigest: first.GetDigest(),
	}
	whole := first.GetPart()
	for len(whole) < int(first.GetSize()) {
		query.From = uint32(len(whole))
		next, answered := f.askOne(ctx, target, query)
		// After a change the parts would be of two tables or lists.
		if !answered || next.GetRevision() != first.GetRevision() || next.GetDigest() != first.GetDigest() || next.GetSize() != first.GetSize() || len(next.GetPart()) == 0 {
			return hwfollow.Snapshot{}, false
		}
		whole = append(whole, next.GetPart()...)
	}
	if want.WantTable {
		state.EncodedTable = whole
	}
	if want.WantList && state.ListDigest != want.KnownListDigest {
		list, err := listOf(whole)
		if err != nil {
			f.logger.Emit(hwevent.PeerRefused, hwevent.With("from", target.String()), hwevent.With("cause", err.Error()))
			return hwfollow.Snapshot{}, false
		}
		state.List = list
	}
	return state, true
}

// askOne asks one router and waits for its answer.
func (f *Fleet) askOne(ctx context.Context, target netip.AddrPort, query *hwpeerpb.StateQuery) (*hwpeerpb.StoredState, bool) {
	query.Nonce = rand.Uint64()
	answer := make(chan *hwpeerpb.StoredState, 1)
	f.lock.Lock()
	f.asking[query.GetNonce()] = answer
	f.lock.Unlock()
	defer func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		delete(f.asking, query.GetNonce())
	}()
	f.write(target, &hwpeerpb.Datagram{
		Query: query,
	})
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	select {
	case state := <-answer:
		return state, true
	case <-ctx.Done():
		return nil, false
	}
}

// write sends one datagram under this router's name.
func (f *Fleet) write(target netip.AddrPort, datagram *hwpeerpb.Datagram) {
	datagram.Router = f.settings.Router
	datagram.Boot = f.settings.Boot
	f.lock.Lock()
	datagram.Reaches = f.reaches
	f.lock.Unlock()
	bytes, err := proto.Marshal(datagram)
	if err != nil || len(bytes) > largestDatagram {
		f.logger.Emit(hwevent.PeerUnreachable, hwevent.With("datagram-bytes", len(bytes)))
		return
	}
	// A datagram that can't be sent is like one that is lost.
	_, _ = f.socket.WriteTo(bytes, net.UDPAddrFromAddrPort(target))
}

// answer tells a router what this one knows of the store, also if that is nothing yet.
func (f *Fleet) answer(to netip.AddrPort, query *hwpeerpb.StateQuery) {
	f.lock.Lock()
	ask := f.state
	f.lock.Unlock()
	if ask == nil {
		return
	}
	message := &hwpeerpb.StoredState{
		Nonce: query.GetNonce(),
	}
	if state, known := ask(); known {
		message.Revision = state.Revision
		message.TableAgeMs = milliseconds(state.TableAge)
		message.ListAgeMs = milliseconds(state.ListAge)
		message.Digest = state.ListDigest
		var whole []byte
		switch {
		case query.GetList() && state.ListDigest != query.GetDigest():
			whole = f.encoded(state)
		case query.GetTable() && state.Revision != query.GetRevision():
			whole = state.EncodedTable
		}
		message.Size = uint32(len(whole))
		if from := int(query.GetFrom()); from < len(whole) {
			message.Part = whole[from:min(from+largestPart, len(whole))]
		}
	}
	f.write(to, &hwpeerpb.Datagram{
		State: message,
	})
}

// encoded returns a state's list as it goes to other routers. The last one is kept, because all of them ask for it after a change.
func (f *Fleet) encoded(state hwfollow.Snapshot) []byte {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.list.digest == state.ListDigest && f.list.bytes != nil {
		return f.list.bytes
	}
	message := &hwpeerpb.UpstreamList{}
	for _, u := range state.List {
		message.Upstreams = append(message.Upstreams, &hwpeerpb.ListedUpstream{
			Id:      u.ID,
			Address: u.Address,
			Zone:    u.Zone,
			Pool:    u.Pool,
			Slots:   uint32(u.Slots),
			Started: u.Incarnation,
			Leaving: u.Draining,
			Version: uint32(u.ModelVersion),
		})
	}
	bytes, err := proto.Marshal(message)
	if err != nil {
		f.logger.Emit(hwevent.PeerUnreachable, hwevent.With("cause", err.Error()))
		return nil
	}
	f.list = encodedList{
		digest: state.ListDigest,
		bytes:  bytes,
	}
	return bytes
}

// encodedList is a list of upstreams as it goes to other routers.
type encodedList struct {
	digest uint64
	bytes  []byte
}

// listOf reads a list from another router.
func listOf(bytes []byte) ([]hwplace.Upstream, error) {
	message := &hwpeerpb.UpstreamList{}
	if err := proto.Unmarshal(bytes, message); err != nil {
		return nil, trace.Wrap(err)
	}
	list := make([]hwplace.Upstream, 0, len(message.GetUpstreams()))
	for _, u := range message.GetUpstreams() {
		list = append(list, hwplace.Upstream{
			ID:           u.GetId(),
			Address:      u.GetAddress(),
			Zone:         u.GetZone(),
			Pool:         u.GetPool(),
			Slots:        int(u.GetSlots()),
			Incarnation:  u.GetStarted(),
			Draining:     u.GetLeaving(),
			ModelVersion: int(u.GetVersion()),
		})
	}
	return list, nil
}

// milliseconds rounds an age up, so that it is never understated.
func milliseconds(age time.Duration) uint32 {
	return uint32(min(max(0, age)+time.Millisecond-1, time.Hour) / time.Millisecond)
}

// answered hands an answer to whoever asked.
func (f *Fleet) answered(message *hwpeerpb.StoredState) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if answer := f.asking[message.GetNonce()]; answer != nil {
		// The channel has room for the one answer; a repeated datagram is dropped.
		select {
		case answer <- message:
		default:
		}
	}
}
