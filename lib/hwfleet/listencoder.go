package hwfleet

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwfollow"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// Encoding a list of thousands of upstreams takes milliseconds, and many times that on a busy machine. A task of its own does that, so that the router receives datagrams in the meantime. It encodes the list of a router that is the reader or its backup before a peer requests it.

// maxWaitingQueries limits the queries that wait until the list is encoded. No fleet has more routers; further queries are dropped like lost datagrams.
const maxWaitingQueries = 1024

// waitingQuery is a query for a list that is not encoded yet.
type waitingQuery struct {
	from       netip.AddrPort
	query      *hwpeerpb.StateQuery
	receivedAt time.Time
}

// encodedList is a list of upstreams without the evacuated zones, encoded for other routers.
type encodedList struct {
	digest uint64
	bytes  []byte
}

// encodedList returns the encoded list with a digest, or false if that is not the last one that was encoded.
func (f *Fleet) encodedList(digest uint64) ([]byte, bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.cachedList.bytes, f.cachedList.digest == digest && f.cachedList.bytes != nil
}

// deferResponse makes a query wait until the list is encoded.
func (f *Fleet) deferResponse(from netip.AddrPort, query *hwpeerpb.StateQuery) {
	select {
	case f.waitingQueries <- waitingQuery{
		from:       from,
		query:      query,
		receivedAt: f.now(),
	}:
	default:
	}
}

// prepareList has the list encoded if this router is one of those that are queried.
func (f *Fleet) prepareList(readers []netip.AddrPort) {
	if !slices.Contains(readers, f.settings.Self) {
		return
	}
	select {
	case f.listNeeded <- struct{}{}:
	default:
	}
}

// encodeLists encodes lists and responds to the queries that wait for them, until the context ends.
func (f *Fleet) encodeLists(ctx context.Context) error {
	for {
		select {
		case <-f.listNeeded:
			f.encodeNewestList()
		case waiting := <-f.waitingQueries:
			// A peer that has given its query up has sent another one.
			if f.now().Sub(waiting.receivedAt) < queryTimeout && f.encodeNewestList() {
				f.respond(waiting.from, waiting.query)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// encodeNewestList encodes this router's list unless that has been done. It returns false if there is none or it can't be encoded.
func (f *Fleet) encodeNewestList() bool {
	f.lock.Lock()
	snapshotFunc := f.snapshot
	f.lock.Unlock()
	if snapshotFunc == nil {
		return false
	}
	snapshot, complete := snapshotFunc()
	if !complete {
		return false
	}
	if _, isEncoded := f.encodedList(snapshot.ListDigest); isEncoded {
		return true
	}
	bytes, err := encodeList(snapshot)
	if err != nil {
		f.logger.Emit(hwevent.PeerUnreachable, hwevent.With("cause", err.Error()))
		return false
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.cachedList = encodedList{
		digest: snapshot.ListDigest,
		bytes:  bytes,
	}
	return true
}

// encodeList encodes a snapshot's list without the evacuated zones.
func encodeList(snapshot hwfollow.Snapshot) ([]byte, error) {
	// Parts that are queried one after the other belong together if their digests are equal, so the order must not depend on that of the snapshot either.
	list := slices.SortedFunc(slices.Values(snapshot.List), func(a, b hwplace.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	message := &hwpeerpb.UpstreamList{}
	for _, u := range list {
		message.Upstreams = append(message.Upstreams, &hwpeerpb.ListedUpstream{
			Id:      u.ID,
			Address: u.Address,
			Zone:    u.Zone,
			Pool:    u.Pool,
			Slots:   uint32(u.Slots),
			Started: u.Incarnation,
			Leaving: u.Draining,
			Version: uint32(u.ModelVersion),
			Cold:    u.Cold,

			SoftwareVersion: u.Version,
		})
	}
	return proto.Marshal(message)
}
