// Package hwfleet keeps the routers of a fleet informed of each other: each sends its present state to the others in datagrams several times a second.
//
// What is told is a state or a hint that the next datagram repeats or that may be lost, so nothing is acknowledged or kept; what must be agreed on goes through the platform's store. Routers find each other through a few seed addresses, and then through each other.
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
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Settings are a router's place in the fleet and the pace of its datagrams.
type Settings struct {
	Router string
	Boot   uint64
	// Self is the address that peers see datagrams come from.
	Self netip.AddrPort
	// Interval is the time between two datagrams to each peer.
	Interval time.Duration
	// MaxPerSecond bounds the datagrams of a second; 0 is no bound. A fleet in which Every would exceed it tells its news less often.
	MaxPerSecond int
	// PeerTimeout is how long a peer that says nothing is still told news; a peer that was cut off finds back through the seeds.
	PeerTimeout time.Duration
}

// pace returns the time between two datagrams to each of a number of peers.
func (s Settings) pace(peers int) time.Duration {
	if s.MaxPerSecond <= 0 {
		return s.Interval
	}
	return max(s.Interval, time.Duration(peers)*time.Second/time.Duration(s.MaxPerSecond))
}

// Delegate is what has news for peers and takes theirs.
type Delegate interface {
	TakePeerUpdate(now time.Time) hwforward.PeerUpdate
	ApplyPeerUpdate(now time.Time, peer string, news hwforward.PeerUpdate)
}

// peer is another router.
type peer struct {
	name     string
	boot     uint64
	sequence uint64
	heard    time.Time
	// reaches tells that it reaches the store by itself.
	reaches bool
	// named is when another router last named it.
	named time.Time
}

// Fleet exchanges datagrams with the other routers.
type Fleet struct {
	settings Settings
	socket   net.PacketConn
	teller   Delegate
	logger   *hwevent.Logger
	now      func() time.Time

	lock  sync.Mutex
	seeds []netip.AddrPort
	peers map[netip.AddrPort]*peer
	// asking are the questions that wait for their answers, by nonce.
	asking map[uint64]chan *hwpeerpb.StoredState
	state  func() (hwfollow.Snapshot, bool)
	// reaches tells that this router reaches the store by itself.
	reaches bool
	// list is the last one that was asked for.
	list encodedList
	// sequence numbers the datagrams sent.
	sequence uint64
	// grown tells that a router was heard for the first time since the members were last named. Whoever starts learns of all others at once then.
	grown bool
}

// New returns a fleet that talks over the given socket.
func New(settings Settings, socket net.PacketConn, teller Delegate, logger *hwevent.Logger, now func() time.Time) *Fleet {
	return &Fleet{
		settings: settings,
		socket:   socket,
		teller:   teller,
		logger:   logger,
		now:      now,
		peers:    map[netip.AddrPort]*peer{},
		asking:   map[uint64]chan *hwpeerpb.StoredState{},
	}
}

// SetSeeds replaces the addresses where routers may be found.
func (f *Fleet) SetSeeds(seeds []netip.AddrPort) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.seeds = seeds
}

// PeerCount returns the number of peers heard of lately.
func (f *Fleet) PeerCount(now time.Time) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	count := 0
	for _, p := range f.peers {
		if p.name != "" && now.Sub(p.heard) < f.settings.PeerTimeout {
			count++
		}
	}
	return count
}

// Run sends and receives until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.socket.Close() })
	defer stop()
	receiving := hwtask.Start(ctx, f.receive)
	tick := f.settings.Interval / ticksEvery
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var sent time.Time
	for {
		select {
		case <-ticker.C:
			// Ticks jitter; one that comes up to half of a tick early still counts.
			if now := f.now(); !now.Before(sent.Add(f.settings.pace(f.PeerCount(now)) - tick/2)) {
				sent = now
				f.send(now)
			}
		case <-ctx.Done():
			return hwtask.Join(receiving)
		}
	}
}

// ticksEvery is how many ticks fit the time between two datagrams, so that larger fleets, which tell their news less often, keep close to their pace.
const ticksEvery = 4

// largestDatagram bounds a datagram, in bytes.
const largestDatagram = 60_000

func (f *Fleet) receive(ctx context.Context) error {
	buffer := make([]byte, largestDatagram)
	for ctx.Err() == nil {
		n, from, err := f.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A refused datagram to a peer that is gone comes back here; it says nothing about the socket.
			continue
		}
		datagram := &hwpeerpb.Datagram{}
		address, known := addressOf(from)
		if err := proto.Unmarshal(buffer[:n], datagram); err != nil || !known || datagram.GetRouter() == "" {
			f.logger.Emit(hwevent.PeerRefused, hwevent.With("from", from.String()), hwevent.With("bytes", n))
			continue
		}
		f.take(f.now(), address, datagram)
	}
	return nil
}

func addressOf(from net.Addr) (netip.AddrPort, bool) {
	udp, isUDP := from.(*net.UDPAddr)
	if !isUDP {
		return netip.AddrPort{}, false
	}
	address := udp.AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), true
}

// take notes the sender and hands its news on, unless the datagram is older than one that came before.
func (f *Fleet) take(now time.Time, from netip.AddrPort, datagram *hwpeerpb.Datagram) {
	if datagram.GetRouter() == f.settings.Router {
		return
	}
	f.lock.Lock()
	p := f.peers[from]
	if p == nil {
		p = &peer{}
		f.peers[from] = p
	}
	question := datagram.GetQuery() != nil || datagram.GetState() != nil
	joined := p.name == "" || now.Sub(p.heard) > f.settings.PeerTimeout || p.boot != datagram.GetBoot()
	f.grown = f.grown || joined
	late := p.boot == datagram.GetBoot() && datagram.GetSequence() <= p.sequence
	p.name = datagram.GetRouter()
	p.boot = datagram.GetBoot()
	p.heard = now
	p.reaches = datagram.GetReaches()
	if !late && !question {
		p.sequence = datagram.GetSequence()
	}
	for _, member := range datagram.GetMembers() {
		if address := memberOf(member); address.Port() != 0 && address != f.settings.Self {
			if f.peers[address] == nil {
				f.peers[address] = &peer{}
			}
			f.peers[address].named = now
		}
	}
	f.lock.Unlock()
	if query := datagram.GetQuery(); query != nil {
		f.answer(from, query)
		return
	}
	if state := datagram.GetState(); state != nil {
		f.answered(state)
		return
	}
	if joined {
		f.logger.Emit(hwevent.MemberJoined, hwevent.With("instance", datagram.GetRouter()), hwevent.With("address", from.String()))
	}
	if !late {
		f.teller.ApplyPeerUpdate(now, datagram.GetRouter(), newsOf(now, datagram))
	}
}

// send tells every known peer and seed.
func (f *Fleet) send(now time.Time) {
	datagram := datagramOf(now, f.teller.TakePeerUpdate(now))
	targets := f.targets(now, datagram)
	bytes, err := proto.Marshal(datagram)
	if err != nil || len(bytes) > largestDatagram {
		f.logger.Emit(hwevent.PeerUnreachable, hwevent.With("datagram-bytes", len(bytes)))
		return
	}
	for _, target := range targets {
		// A datagram that can't be sent is like one that is lost; the next one follows soon.
		_, _ = f.socket.WriteTo(bytes, net.UDPAddrFromAddrPort(target))
	}
}

// targets returns where a datagram goes and completes it, now and then with the members. Seeds that were never heard of are tried as often.
func (f *Fleet) targets(now time.Time, datagram *hwpeerpb.Datagram) []netip.AddrPort {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.sequence++
	full := f.sequence%membersEvery == 1 || f.grown
	f.grown = false
	datagram.Router = f.settings.Router
	datagram.Boot = f.settings.Boot
	datagram.Reaches = f.reaches
	datagram.Sequence = f.sequence
	var targets []netip.AddrPort
	for address, p := range f.peers {
		heard := now.Sub(p.heard) < f.settings.PeerTimeout
		switch {
		case heard:
			if full {
				datagram.Members = append(datagram.Members, numberOf(address))
			}
			targets = append(targets, address)
		case p.name != "" && now.Sub(p.named) >= f.settings.PeerTimeout:
			f.logger.Emit(hwevent.MemberLeft, hwevent.With("instance", p.name), hwevent.With("silent-ms", now.Sub(p.heard).Milliseconds()))
			delete(f.peers, address)
		case now.Sub(p.named) < f.settings.PeerTimeout:
			targets = append(targets, address)
		default:
			delete(f.peers, address)
		}
	}
	if !full {
		return targets
	}
	for _, seed := range f.seeds {
		if p := f.peers[seed]; seed != f.settings.Self && (p == nil || now.Sub(p.heard) >= f.settings.PeerTimeout) {
			targets = append(targets, seed)
		}
	}
	return targets
}

// membersEvery is how many datagrams pass between two that name the members and that also go to a seed that says nothing.
const membersEvery = 5

// Listen opens the socket for datagrams.
func Listen(ctx context.Context, address string) (net.PacketConn, error) {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp4", address)
	return socket, trace.Wrap(err)
}
