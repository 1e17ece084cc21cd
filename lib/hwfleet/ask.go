package hwfleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwfollow"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwrevision"
)

const (
	// maxReaders is how many routers are queried in place of the store, one after the other. The first one, the reader, reads the store. The second one is its backup: it queries the first as all others do, so its snapshot is nearly as recent when the first fails, and it starts to read the store as soon as it detects the failure.
	maxReaders = 2
	// readerTimeout is how long ago the last datagram of a router may be for the router still to be queried.
	readerTimeout = 1200 * time.Millisecond
	// queryTimeout is how long a response may take before the next router is queried; routers respond from memory.
	queryTimeout = 120 * time.Millisecond
	// maxPartBytes bounds the part of a table or list in one datagram, so that a large table does not saturate a link.
	maxPartBytes = 16 << 10
)

// NoReaderError reports that none of the candidate routers, which may include this one, returned a recent snapshot.
type NoReaderError struct {
	Candidates int
}

func (e *NoReaderError) Error() string {
	return "no peer returned a recent snapshot of the store"
}

// SetSnapshotFunc sets the function that returns the snapshot for responses to peers, and false if there is none yet.
func (f *Fleet) SetSnapshotFunc(snapshot func() (hwfollow.Snapshot, bool)) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.snapshot = snapshot
}

// SetStoreReachable sets whether peers may query this router: it reaches the store directly and has a snapshot.
func (f *Fleet) SetStoreReachable(reachable bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.storeReachable = reachable
}

// PeerReachability returns how many peers reach the store directly, and how many report that they don't.
func (f *Fleet) PeerReachability(now time.Time) (reachable, unreachable int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, p := range f.peers {
		switch {
		case p.name == "" || now.Sub(p.lastSeen) >= readerTimeout:
		case p.storeReachable:
			reachable++
		default:
			unreachable++
		}
	}
	return reachable, unreachable
}

// readers returns the routers to query in place of the store, in this order; this router may be among them. They are in the order of rankOf, so that all routers with the same view of the fleet agree on the reader. Routers that don't reach the store are candidates only if no router reaches it.
func (f *Fleet) readers(now time.Time) []netip.AddrPort {
	f.lock.Lock()
	defer f.lock.Unlock()
	all := []netip.AddrPort{f.settings.Self}
	var reachable []netip.AddrPort
	if f.storeReachable {
		reachable = append(reachable, f.settings.Self)
	}
	for address, p := range f.peers {
		if p.name == "" || now.Sub(p.lastSeen) >= readerTimeout {
			continue
		}
		all = append(all, address)
		if p.storeReachable {
			reachable = append(reachable, address)
		}
	}
	candidates := reachable
	if len(candidates) == 0 {
		candidates = all
	}
	slices.SortFunc(candidates, func(a, b netip.AddrPort) int { return cmp.Compare(rankOf(a), rankOf(b)) })
	return candidates[:min(maxReaders, len(candidates))]
}

// IsReader reports whether this router reads the store on behalf of the others.
func (f *Fleet) IsReader(now time.Time) bool { return f.readers(now)[0] == f.settings.Self }

// IsBackup reports whether this router is queried after the reader and takes over when that fails.
func (f *Fleet) IsBackup(now time.Time) bool {
	readers := f.readers(now)
	return len(readers) > 1 && readers[1] == f.settings.Self
}

// logReader logs a change of the reader since the last call. Only sendUpdate calls it.
func (f *Fleet) logReader(reader netip.AddrPort) {
	if reader == f.reader {
		return
	}
	previous := ""
	if f.reader.IsValid() {
		previous = f.reader.String()
	}
	f.logger.Emit(hwevent.StoreReaderChanged, hwevent.With("from", previous), hwevent.With("to", reader.String()), hwevent.With("self-reads", reader == f.settings.Self))
	f.reader = reader
}

// QueryPeers queries the reader and then its backup until one of them returns a complete snapshot that the query accepts.
func (f *Fleet) QueryPeers(ctx context.Context, query hwfollow.Query) (hwfollow.Snapshot, error) {
	targets := f.readers(f.now())
	noSnapshot := false
	for i, target := range targets {
		if target == f.settings.Self {
			continue
		}
		targetCtx, cancel := withPart(ctx, len(targets)-i+1)
		snapshot, answered := f.fetchSnapshot(targetCtx, target, query)
		cancel()
		if answered && query.Accepts(snapshot) {
			return snapshot, nil
		}
		noSnapshot = noSnapshot || answered && snapshot.Revision.Number == 0
	}
	if noSnapshot {
		return hwfollow.Snapshot{}, &hwfollow.NoSnapshotError{}
	}
	return hwfollow.Snapshot{}, &NoReaderError{
		Candidates: len(targets),
	}
}

// withPart returns a context that ends after the first of several equal parts of the time that is left. A router that responds slowly to each of many queries must leave time for the next router, and for the caller to read the store itself.
func withPart(ctx context.Context, parts int) (context.Context, context.CancelFunc) {
	deadline, limited := ctx.Deadline()
	if !limited {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/time.Duration(parts))
}

// fetchSnapshot queries one router, repeatedly if the table or list does not fit one datagram. It returns false if a response is missing, if the parts don't belong together, if the list can't be decoded, or if an era can't be believed.
func (f *Fleet) fetchSnapshot(ctx context.Context, target netip.AddrPort, query hwfollow.Query) (hwfollow.Snapshot, bool) {
	message := &hwpeerpb.StateQuery{
		Digest:   query.KnownListDigest,
		Revision: query.Known.Revision.Number,
		Era:      query.Known.Revision.Era,
		Version:  query.Known.Version,
		List:     query.WantList,
		Table:    query.WantTable,
	}
	first, answered := f.queryOne(ctx, target, message)
	if !answered {
		return hwfollow.Snapshot{}, false
	}
	snapshot := hwfollow.Snapshot{
		Revision: hwrevision.Revision{
			Era:    first.GetEra(),
			Number: first.GetRevision(),
		},
		Version:    first.GetVersion(),
		From:       target.String(),
		TableAge:   time.Duration(first.GetTableAgeMs()) * time.Millisecond,
		ListAge:    time.Duration(first.GetListAgeMs()) * time.Millisecond,
		ListDigest: first.GetDigest(),

		ListKnownFor: time.Duration(first.GetListKnownMs()) * time.Millisecond,
	}
	encoded := first.GetPart()
	for len(encoded) < int(first.GetSize()) {
		message.From = uint32(len(encoded))
		next, answered := f.queryPart(ctx, target, message)
		// If the snapshot changed in between, the parts belong to different tables or lists.
		if !answered || !haveSameState(next, first) || next.GetDigest() != first.GetDigest() || next.GetSize() != first.GetSize() || len(next.GetPart()) == 0 {
			return hwfollow.Snapshot{}, false
		}
		encoded = append(encoded, next.GetPart()...)
	}
	if query.WantTable {
		snapshot.EncodedTable = encoded
	}
	if query.WantList {
		decoded, err := decodeList(encoded)
		if err != nil {
			f.logger.Emit(hwevent.PeerRefused, hwevent.With("from", target.String()), hwevent.With("cause", err.Error()))
			return hwfollow.Snapshot{}, false
		}
		snapshot.Evacuated = decoded.Evacuated
		snapshot.ListEra = decoded.ListEra
		if snapshot.ListDigest != query.KnownListDigest {
			snapshot.List = decoded.List
		}
	}
	if era := max(snapshot.Revision.Era, snapshot.ListEra, snapshot.Evacuated.Revision.Era); era > hwrevision.MaxEra {
		f.logger.Emit(hwevent.PeerRefused, hwevent.With("from", target.String()), hwevent.With("era", era))
		return hwfollow.Snapshot{}, false
	}
	return snapshot, true
}

// maxPartTries is how often one part of a table or list is queried. A large one takes tens of datagrams, and the loss of one must not cost the others.
const maxPartTries = 3

// queryPart queries a part from a router that has just answered, again if the datagrams are lost.
func (f *Fleet) queryPart(ctx context.Context, target netip.AddrPort, query *hwpeerpb.StateQuery) (*hwpeerpb.StoredState, bool) {
	for range maxPartTries {
		if part, answered := f.queryOne(ctx, target, query); answered || ctx.Err() != nil {
			return part, answered
		}
	}
	return nil, false
}

// haveSameState reports whether two responses are of the same table.
func haveSameState(a, b *hwpeerpb.StoredState) bool {
	return a.GetRevision() == b.GetRevision() && a.GetEra() == b.GetEra() && a.GetVersion() == b.GetVersion()
}

// needsTable reports whether a response includes the table. A router that states no version has no table yet, or is of an earlier release, which knows its table by the number of the revision.
func needsTable(query *hwpeerpb.StateQuery, snapshot hwfollow.Snapshot) bool {
	if query.GetVersion() == 0 {
		return query.GetRevision() == 0 || snapshot.Revision.Number != query.GetRevision()
	}
	return snapshot.Version > query.GetVersion()
}

// newestTable returns the highest version of a table that a peer has in force, and the peers that have it.
func (f *Fleet) newestTable(now time.Time) (version uint64, holders []netip.AddrPort) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for address, p := range f.peers {
		if p.name == "" || now.Sub(p.lastSeen) >= readerTimeout || p.tableVersion < version {
			continue
		}
		if p.tableVersion > version {
			version, holders = p.tableVersion, nil
		}
		holders = append(holders, address)
	}
	return version, holders
}

// NewestPeerTable returns the highest version of a table that a peer has in force, or 0.
func (f *Fleet) NewestPeerTable(now time.Time) uint64 {
	version, _ := f.newestTable(now)
	return version
}

// NewerTableHeard returns a channel that has a value after a peer has stated a higher version of a table than this router.
func (f *Fleet) NewerTableHeard() <-chan struct{} { return f.newerTableHeard }

// QueryNewerTable queries one of the peers that have the newest table in force, if its version is higher than the given one.
func (f *Fleet) QueryNewerTable(ctx context.Context, version uint64) (hwfollow.Snapshot, bool) {
	newest, holders := f.newestTable(f.now())
	if newest <= version {
		return hwfollow.Snapshot{}, false
	}
	return f.fetchSnapshot(ctx, holders[rand.IntN(len(holders))], hwfollow.Query{
		WantTable: true,
		Known: hwfollow.TableState{
			Version: version,
		},
	})
}

// queryOne sends a query to one router and waits for the response.
func (f *Fleet) queryOne(ctx context.Context, target netip.AddrPort, query *hwpeerpb.StateQuery) (*hwpeerpb.StoredState, bool) {
	query.Nonce = rand.Uint64()
	response := make(chan *hwpeerpb.StoredState, 1)
	f.lock.Lock()
	f.pendingQueries[query.GetNonce()] = response
	f.lock.Unlock()
	defer func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		delete(f.pendingQueries, query.GetNonce())
	}()
	f.sendDatagram(target, &hwpeerpb.Datagram{
		Query: query,
	})
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return await(ctx, response)
}

// await waits for a response until the context ends. One that has arrived is taken also after that, as a router finds it that got no processor time meanwhile.
func await[T any](ctx context.Context, responses <-chan T) (response T, answered bool) {
	select {
	case response = <-responses:
		return response, true
	case <-ctx.Done():
	}
	select {
	case response = <-responses:
		return response, true
	default:
		return response, false
	}
}

// sendDatagram sends one datagram, with this router as its sender.
func (f *Fleet) sendDatagram(target netip.AddrPort, datagram *hwpeerpb.Datagram) {
	datagram.Router = f.settings.Router
	datagram.Boot = f.settings.Boot
	f.lock.Lock()
	datagram.Reaches = f.storeReachable
	f.lock.Unlock()
	bytes, err := proto.Marshal(datagram)
	if err != nil || len(bytes) > maxDatagramBytes {
		f.logger.Emit(hwevent.PeerUnreachable, hwevent.With("datagram-bytes", len(bytes)))
		return
	}
	// A datagram that can't be sent is treated like a lost one.
	_, _ = f.socket.WriteTo(bytes, net.UDPAddrFromAddrPort(target))
}

// respond answers a peer's query from this router's snapshot. If that is incomplete, the revision in the response is 0, but a table that is in force is sent, because peers may have lost it. A query for a list that is not encoded yet waits for that.
func (f *Fleet) respond(to netip.AddrPort, query *hwpeerpb.StateQuery) {
	f.lock.Lock()
	snapshotFunc := f.snapshot
	f.lock.Unlock()
	if snapshotFunc == nil {
		return
	}
	message := &hwpeerpb.StoredState{
		Nonce: query.GetNonce(),
	}
	snapshot, complete := snapshotFunc()
	message.Version = snapshot.Version
	if complete {
		message.Revision = snapshot.Revision.Number
		message.Era = snapshot.Revision.Era
		message.TableAgeMs = ageMilliseconds(snapshot.TableAge)
		message.ListAgeMs = ageMilliseconds(snapshot.ListAge)
		message.ListKnownMs = ageMilliseconds(snapshot.ListKnownFor)
		message.Digest = snapshot.ListDigest
	}
	var beginning, rest []byte
	switch {
	case query.GetTable() && needsTable(query, snapshot):
		rest = snapshot.EncodedTable
	case !complete || !query.GetList():
	case snapshot.ListDigest != query.GetDigest():
		list, isEncoded := f.encodedList(snapshot.ListDigest)
		if !isEncoded {
			f.deferResponse(to, query)
			return
		}
		beginning, rest = encodeEvacuated(snapshot), list
	default:
		beginning = encodeRevision(snapshot)
	}
	message.Size = uint32(len(beginning) + len(rest))
	message.Part = partOf(beginning, rest, int(query.GetFrom()))
	f.sendDatagram(to, &hwpeerpb.Datagram{
		State: message,
	})
}

// partOf returns the part that begins at an offset of two slices in a row. It copies no more than a part: a long list has tens of them, and every router requests each.
func partOf(beginning, rest []byte, from int) []byte {
	if from >= len(beginning) {
		from = min(from-len(beginning), len(rest))
		return rest[from:min(from+maxPartBytes, len(rest))]
	}
	part := beginning[from:min(from+maxPartBytes, len(beginning))]
	return append(part, rest[:min(maxPartBytes-len(part), len(rest))]...)
}

// decodeList decodes a list, its era and the evacuated zones from another router.
func decodeList(bytes []byte) (hwfollow.Snapshot, error) {
	message := &hwpeerpb.UpstreamList{}
	if err := proto.Unmarshal(bytes, message); err != nil {
		return hwfollow.Snapshot{}, trace.Wrap(err)
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
			Cold:         u.GetCold(),
			Version:      u.GetSoftwareVersion(),
		})
	}
	return hwfollow.Snapshot{
		List:    list,
		ListEra: message.GetEra(),
		Evacuated: hwplace.EvacuatedZones{
			Revision: hwrevision.Revision{
				Era:    message.GetEvacuationEra(),
				Number: message.GetEvacuationRevision(),
			},
			Zones: message.GetEvacuatedZones(),
		},
	}, nil
}

// ageMilliseconds returns an age in milliseconds, at most an hour. It rounds up, so that an age is never understated.
func ageMilliseconds(age time.Duration) uint32 {
	return uint32(min(max(0, age)+time.Millisecond-1, time.Hour) / time.Millisecond)
}

// deliverResponse passes a response to the pending query with its nonce, if any.
func (f *Fleet) deliverResponse(message *hwpeerpb.StoredState) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if response := f.pendingQueries[message.GetNonce()]; response != nil {
		// The channel buffers the first response; duplicates of the datagram are dropped.
		select {
		case response <- message:
		default:
		}
	}
}
