// Package hwfleet exchanges state between the routers of a fleet: each router sends its current state to all others in datagrams several times a second.
//
// A datagram contains state that the next one repeats, or hints that may be lost, so datagrams are neither acknowledged nor retransmitted; state that routers must agree on goes through the platform's store. Routers discover each other through a few addresses, the seeds and what hwdiscovery finds in the store, and then through the member lists of other routers.
package hwfleet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwfollow"
	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Settings identify a router to its peers and limit the rate of its datagrams.
type Settings struct {
	// Router is this router's name; Boot distinguishes its starts.
	Router string
	Boot   uint64
	// Self is the source address of this router's datagrams, as peers see it.
	Self netip.AddrPort
	// Interval is the time between two updates to each peer.
	Interval time.Duration
	// MaxPerSecond limits the datagrams sent in a second; 0 means no limit. In a fleet so large that Interval would exceed the limit, updates are sent less often.
	MaxPerSecond int
	// PeerTimeout is how long updates are still sent to a peer that sends nothing itself; a peer that was partitioned for longer rejoins through the seeds or the store.
	PeerTimeout time.Duration
}

// updateInterval returns the time between two updates to each of a number of peers.
func (s Settings) updateInterval(peers int) time.Duration {
	if s.MaxPerSecond <= 0 {
		return s.Interval
	}
	return max(s.Interval, time.Duration(peers)*time.Second/time.Duration(s.MaxPerSecond))
}

// Delegate provides the updates for peers and applies those from peers.
type Delegate interface {
	TakePeerUpdate(now time.Time) hwforward.PeerUpdate
	ApplyPeerUpdate(now time.Time, peer string, update hwforward.PeerUpdate)
	// Claim decides for all routers whether a request with the given segment may be sent, and returns how long it has to wait otherwise.
	Claim(now time.Time, segment hwquarantine.Segment) time.Duration
}

// peer is another router.
type peer struct {
	// name is empty until the first datagram from the peer.
	name string
	boot uint64
	// sequence is that of the last update.
	sequence uint64
	// lastSeen is when its last datagram arrived.
	lastSeen time.Time
	// storeReachable reports that the peer reaches the store directly.
	storeReachable bool
	// tableVersion is that of the table in force at the peer.
	tableVersion uint64
	// lastListed is when another router last included it in a member list.
	lastListed time.Time
}

// Fleet exchanges datagrams with the other routers.
type Fleet struct {
	settings Settings
	socket   net.PacketConn
	delegate Delegate
	logger   *hwevent.Logger
	now      func() time.Time

	lock  sync.Mutex
	seeds []netip.AddrPort
	peers map[netip.AddrPort]*peer
	// contacts are addresses where a router may be, with the number of updates that are still sent there without an answer.
	contacts map[netip.AddrPort]int
	// pendingQueries are the channels for the responses to this router's queries, by nonce.
	pendingQueries map[uint64]chan *hwpeerpb.StoredState
	// pendingClaims are the channels for the responses to this router's claims, by nonce.
	pendingClaims map[uint64]chan *hwpeerpb.ClaimResponse
	// pendingStreams are the channels for the answers to this router's queries for streams, by nonce.
	pendingStreams map[uint64]chan *hwpeerpb.StreamAnswer
	// streams is what the streams of peers are added to, or nil.
	streams StreamDirectory
	// snapshot returns the snapshot for responses to peers.
	snapshot func() (hwfollow.Snapshot, bool)
	// storeReachable reports that this router reaches the store directly.
	storeReachable bool
	// cachedList is the last list that was encoded.
	cachedList encodedList
	// waitingQueries are those for a list that is not encoded yet. listNeeded has a value if the newest list has to be encoded, which may have been done.
	waitingQueries chan waitingQuery
	listNeeded     chan struct{}
	// reader is the router that read the store on behalf of the fleet at the last update.
	reader netip.AddrPort
	// tableVersion is the version of the table in force that the last update stated.
	tableVersion uint64
	// newerTableHeard has a value after a peer has stated a higher version.
	newerTableHeard chan struct{}
	// sequence is that of the last update sent.
	sequence uint64
	// memberJoined reports that a router joined since the last member list was sent. The next update then includes the list, so that a router that has just started learns of all others at once.
	memberJoined bool
}

// New returns a fleet that exchanges datagrams over the given socket.
func New(settings Settings, socket net.PacketConn, delegate Delegate, logger *hwevent.Logger, now func() time.Time) *Fleet {
	return &Fleet{
		settings:       settings,
		socket:         socket,
		delegate:       delegate,
		logger:         logger,
		now:            now,
		peers:          map[netip.AddrPort]*peer{},
		contacts:       map[netip.AddrPort]int{},
		pendingQueries: map[uint64]chan *hwpeerpb.StoredState{},
		pendingClaims:  map[uint64]chan *hwpeerpb.ClaimResponse{},
		pendingStreams: map[uint64]chan *hwpeerpb.StreamAnswer{},

		newerTableHeard: make(chan struct{}, 1),
		waitingQueries:  make(chan waitingQuery, maxWaitingQueries),
		listNeeded:      make(chan struct{}, 1),
	}
}

// SetSeeds replaces the addresses through which routers are discovered.
func (f *Fleet) SetSeeds(seeds []netip.AddrPort) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.seeds = seeds
}

// PeerCount returns the number of peers that sent a datagram within PeerTimeout.
func (f *Fleet) PeerCount(now time.Time) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	count := 0
	for _, p := range f.peers {
		if p.name != "" && now.Sub(p.lastSeen) < f.settings.PeerTimeout {
			count++
		}
	}
	return count
}

// Run sends and receives until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.socket.Close() })
	defer stop()
	receiving, encoding := hwtask.Start(ctx, f.receive), hwtask.Start(ctx, f.encodeLists)
	tick := f.settings.Interval / ticksPerInterval
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var sent time.Time
	for {
		select {
		case <-ticker.C:
			// Ticks jitter, so an update is also sent if the tick is early by up to half a tick period.
			now := f.now()
			f.sendStreams(now)
			if !now.Before(sent.Add(f.settings.updateInterval(f.PeerCount(now)) - tick/2)) {
				sent = now
				f.sendUpdate(now)
			}
		case <-ctx.Done():
			return hwtask.Join(receiving, encoding)
		}
	}
}

// ticksPerInterval is the number of ticks in Settings.Interval. It is above 1 so that larger fleets, which send updates less often, stay close to their update interval.
const ticksPerInterval = 4

// maxDatagramBytes limits the size of a datagram.
const maxDatagramBytes = 60_000

func (f *Fleet) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := f.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The error reports that an earlier datagram was refused because its receiver no longer listens; the socket itself still works.
			continue
		}
		datagram := &hwpeerpb.Datagram{}
		address, isUDP := addrPort(from)
		if err := proto.Unmarshal(buffer[:n], datagram); err != nil || !isUDP || datagram.GetRouter() == "" {
			f.logger.Emit(hwevent.PeerRefused, hwevent.With("from", from.String()), hwevent.With("bytes", n))
			continue
		}
		f.handleDatagram(f.now(), address, datagram)
	}
	return nil
}

func addrPort(from net.Addr) (netip.AddrPort, bool) {
	udp, isUDP := from.(*net.UDPAddr)
	if !isUDP {
		return netip.AddrPort{}, false
	}
	address := udp.AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), true
}

// handleDatagram records the sender and passes on the query, response or update. An update that is older than one received before is dropped.
func (f *Fleet) handleDatagram(now time.Time, from netip.AddrPort, datagram *hwpeerpb.Datagram) {
	if datagram.GetRouter() == f.settings.Router {
		return
	}
	f.lock.Lock()
	p := f.peers[from]
	if p == nil {
		p = &peer{}
		f.peers[from] = p
	}
	isClaim := datagram.GetClaim() != nil || datagram.GetClaimResponse() != nil
	aboutStreams := isAboutStreams(datagram)
	isQuery := datagram.GetQuery() != nil || datagram.GetState() != nil || isClaim || aboutStreams
	joined := p.name == "" || now.Sub(p.lastSeen) > f.settings.PeerTimeout || p.boot != datagram.GetBoot()
	f.memberJoined = f.memberJoined || joined
	outdated := p.boot == datagram.GetBoot() && datagram.GetSequence() <= p.sequence
	p.name = datagram.GetRouter()
	if p.boot != datagram.GetBoot() {
		// A restarted router counts its updates from 1 again.
		p.boot = datagram.GetBoot()
		p.sequence = 0
		p.tableVersion = 0
	}
	p.lastSeen = now
	p.storeReachable = datagram.GetReaches()
	if !outdated && !isQuery {
		p.sequence = datagram.GetSequence()
		p.tableVersion = datagram.GetTableVersion()
		if p.tableVersion > f.tableVersion {
			select {
			case f.newerTableHeard <- struct{}{}:
			default:
			}
		}
	}
	for _, member := range datagram.GetMembers() {
		if address := decodeAddress(member); address.Port() != 0 && address != f.settings.Self {
			if f.peers[address] == nil {
				f.peers[address] = &peer{}
			}
			f.peers[address].lastListed = now
		}
	}
	f.lock.Unlock()
	if joined {
		f.logger.Emit(hwevent.MemberJoined, hwevent.With("instance", datagram.GetRouter()), hwevent.With("address", from.String()))
	}
	if query := datagram.GetQuery(); query != nil {
		f.respond(from, query)
		return
	}
	if state := datagram.GetState(); state != nil {
		f.deliverResponse(state)
		return
	}
	if isClaim {
		f.handleClaim(now, from, datagram)
		return
	}
	if aboutStreams {
		f.handleStreams(now, datagram, func(response *hwpeerpb.Datagram) { f.sendDatagram(from, response) })
		return
	}
	if !outdated {
		f.delegate.ApplyPeerUpdate(now, datagram.GetRouter(), decodeUpdate(now, datagram))
	}
}

// sendUpdate sends an update to the peers and, from time to time, to silent seeds.
func (f *Fleet) sendUpdate(now time.Time) {
	datagram := encodeUpdate(now, f.delegate.TakePeerUpdate(now))
	targets := f.completeUpdate(now, datagram)
	readers := f.readers(now)
	f.logReader(readers[0])
	f.prepareList(readers)
	bytes, err := proto.Marshal(datagram)
	if err != nil || len(bytes) > maxDatagramBytes {
		f.logger.Emit(hwevent.PeerUnreachable, hwevent.With("datagram-bytes", len(bytes)))
		return
	}
	for _, target := range targets {
		// A datagram that can't be sent is treated like a lost one; the next one follows soon.
		_, _ = f.socket.WriteTo(bytes, net.UDPAddrFromAddrPort(target))
	}
}

// completeUpdate adds the sender to an update, in some updates also the member list, and returns the addresses to send it to. The updates with a member list also go to seeds that send nothing. Peers that timed out are removed, unless another router still lists them.
func (f *Fleet) completeUpdate(now time.Time, datagram *hwpeerpb.Datagram) []netip.AddrPort {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.sequence++
	withMembers := f.sequence%memberListInterval(len(f.peers)) == 1 || f.memberJoined
	f.memberJoined = false
	datagram.Router = f.settings.Router
	datagram.Boot = f.settings.Boot
	datagram.Reaches = f.storeReachable
	datagram.Sequence = f.sequence
	f.tableVersion = datagram.GetTableVersion()
	var targets []netip.AddrPort
	for address, p := range f.peers {
		alive := now.Sub(p.lastSeen) < f.settings.PeerTimeout
		switch {
		case alive:
			if withMembers {
				datagram.Members = append(datagram.Members, encodeAddress(address))
			}
			targets = append(targets, address)
		case p.name != "" && now.Sub(p.lastListed) >= f.settings.PeerTimeout:
			f.logger.Emit(hwevent.MemberLeft, hwevent.With("instance", p.name), hwevent.With("silent-ms", now.Sub(p.lastSeen).Milliseconds()))
			delete(f.peers, address)
		case now.Sub(p.lastListed) < f.settings.PeerTimeout:
			targets = append(targets, address)
		default:
			delete(f.peers, address)
		}
	}
	targets = append(targets, f.takeContacts(now)...)
	if !withMembers {
		return targets
	}
	for _, seed := range f.seeds {
		if p := f.peers[seed]; seed != f.settings.Self && (p == nil || now.Sub(p.lastSeen) >= f.settings.PeerTimeout) {
			targets = append(targets, seed)
		}
	}
	return targets
}

// updatesPerMemberList is how many updates are sent for each one that includes the member list and also goes to silent seeds, unless the fleet is large.
const updatesPerMemberList = 5

// peersPerUpdate makes a member list rarer as it grows, so that lists take a bounded part of the datagrams: every peer sends one, and a router that joins causes another.
const peersPerUpdate = 4

// memberListInterval returns how many updates are sent for each one that includes the member list.
func memberListInterval(peers int) uint64 {
	return uint64(max(updatesPerMemberList, peers/peersPerUpdate))
}

// Listen opens a UDP socket over IPv4.
func Listen(ctx context.Context, address string) (net.PacketConn, error) {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp4", address)
	return socket, trace.Wrap(err)
}
