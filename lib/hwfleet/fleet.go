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

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwfollow"
	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Settings are a router's place in the fleet and the pace of its datagrams.
type Settings struct {
	Router string
	Boot   uint64
	// Self is the address that peers see datagrams come from.
	Self netip.AddrPort
	// Every is the time between two datagrams to each peer.
	Every time.Duration
	// Forget is how long a peer that says nothing is still told news; a peer that was cut off finds back through the seeds.
	Forget time.Duration
}

// Teller is what has news for peers and takes theirs.
type Teller interface {
	Tell(now time.Time) hwforward.News
	Hear(now time.Time, peer string, news hwforward.News)
}

// peer is another router.
type peer struct {
	name     string
	boot     uint64
	sequence uint64
	heard    time.Time
	// named is when another router last named it.
	named time.Time
}

// Fleet exchanges datagrams with the other routers.
type Fleet struct {
	settings Settings
	socket   net.PacketConn
	teller   Teller
	logger   *hwevent.Logger
	now      func() time.Time

	lock  sync.Mutex
	seeds []netip.AddrPort
	peers map[netip.AddrPort]*peer
	// asking are the questions that wait for their answers, by nonce.
	asking map[uint64]chan hwfollow.State
	state  func() (hwfollow.State, bool)
	// sequence numbers the datagrams sent.
	sequence uint64
}

// New returns a fleet that talks over the given socket.
func New(settings Settings, socket net.PacketConn, teller Teller, logger *hwevent.Logger, now func() time.Time) *Fleet {
	return &Fleet{
		settings: settings,
		socket:   socket,
		teller:   teller,
		logger:   logger,
		now:      now,
		peers:    map[netip.AddrPort]*peer{},
		asking:   map[uint64]chan hwfollow.State{},
	}
}

// SetSeeds replaces the addresses where routers may be found.
func (f *Fleet) SetSeeds(seeds []netip.AddrPort) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.seeds = seeds
}

// Peers returns the number of peers heard of lately.
func (f *Fleet) Peers(now time.Time) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	count := 0
	for _, p := range f.peers {
		if p.name != "" && now.Sub(p.heard) < f.settings.Forget {
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
	ticker := time.NewTicker(f.settings.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.send(f.now())
		case <-ctx.Done():
			return hwtask.Join(receiving)
		}
	}
}

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
	joined := p.name == "" || now.Sub(p.heard) > f.settings.Forget || p.boot != datagram.GetBoot()
	late := p.boot == datagram.GetBoot() && datagram.GetSequence() <= p.sequence
	p.name = datagram.GetRouter()
	p.boot = datagram.GetBoot()
	p.heard = now
	if !late && !question {
		p.sequence = datagram.GetSequence()
	}
	for _, member := range datagram.GetMembers() {
		if address, err := netip.ParseAddrPort(member); err == nil && address != f.settings.Self {
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
		f.teller.Hear(now, datagram.GetRouter(), newsOf(now, datagram))
	}
}

// send tells every known peer and seed.
func (f *Fleet) send(now time.Time) {
	datagram := datagramOf(now, f.teller.Tell(now))
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

// targets returns where a datagram goes and completes it with the members. Seeds that were never heard of are tried now and then.
func (f *Fleet) targets(now time.Time, datagram *hwpeerpb.Datagram) []netip.AddrPort {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.sequence++
	datagram.Router = f.settings.Router
	datagram.Boot = f.settings.Boot
	datagram.Sequence = f.sequence
	var targets []netip.AddrPort
	for address, p := range f.peers {
		heard := now.Sub(p.heard) < f.settings.Forget
		switch {
		case heard:
			datagram.Members = append(datagram.Members, address.String())
			targets = append(targets, address)
		case p.name != "" && now.Sub(p.named) >= f.settings.Forget:
			f.logger.Emit(hwevent.MemberLeft, hwevent.With("instance", p.name), hwevent.With("silent-ms", now.Sub(p.heard).Milliseconds()))
			delete(f.peers, address)
		case now.Sub(p.named) < f.settings.Forget:
			targets = append(targets, address)
		default:
			delete(f.peers, address)
		}
	}
	if f.sequence%seedEvery != 1 {
		return targets
	}
	for _, seed := range f.seeds {
		if p := f.peers[seed]; seed != f.settings.Self && (p == nil || now.Sub(p.heard) >= f.settings.Forget) {
			targets = append(targets, seed)
		}
	}
	return targets
}

// seedEvery is how many datagrams pass between two to a seed that says nothing.
const seedEvery = 5

func datagramOf(now time.Time, news hwforward.News) *hwpeerpb.Datagram {
	datagram := &hwpeerpb.Datagram{}
	for pool, loads := range news.Loads {
		message := &hwpeerpb.PoolLoad{
			Pool: pool,
		}
		for _, l := range loads {
			message.Upstreams = append(message.Upstreams, &hwpeerpb.UpstreamLoad{
				Upstream: l.Upstream,
				Tokens:   uint32(l.Tokens),
				Running:  uint32(l.Running),
			})
		}
		datagram.Pools = append(datagram.Pools, message)
	}
	for account, use := range news.Use {
		datagram.Uses = append(datagram.Uses, &hwpeerpb.AccountUse{
			Account: account,
			Asked:   uint32(use.Asked),
			Given:   uint32(use.Given),
		})
	}
	for _, r := range news.Readings {
		datagram.Readings = append(datagram.Readings, &hwpeerpb.PartReading{
			Pool:     r.Pool,
			Upstream: r.Upstream,
			Chain:    r.Link.Chain,
			Tokens:   uint32(r.Link.Tokens),
		})
	}
	for _, s := range news.Strikes {
		datagram.Strikes = append(datagram.Strikes, &hwpeerpb.CrashStrike{
			Fingerprint: uint64(s.Fingerprint),
			Upstream:    s.Upstream,
			AgeMs:       uint32(max(0, now.Sub(s.At).Milliseconds())),
			Cleared:     s.Cleared,
		})
	}
	return datagram
}

func newsOf(now time.Time, datagram *hwpeerpb.Datagram) hwforward.News {
	news := hwforward.News{
		Loads: map[string][]hwplace.PeerLoad{},
		Use:   map[string]hwadmit.Use{},
	}
	for _, pool := range datagram.GetPools() {
		for _, l := range pool.GetUpstreams() {
			news.Loads[pool.GetPool()] = append(news.Loads[pool.GetPool()], hwplace.PeerLoad{
				Upstream: l.GetUpstream(),
				Tokens:   float64(l.GetTokens()),
				Running:  int(l.GetRunning()),
			})
		}
	}
	for _, use := range datagram.GetUses() {
		news.Use[use.GetAccount()] = hwadmit.Use{
			Asked: float64(use.GetAsked()),
			Given: float64(use.GetGiven()),
		}
	}
	for _, r := range datagram.GetReadings() {
		news.Readings = append(news.Readings, hwforward.Reading{
			Pool:     r.GetPool(),
			Upstream: r.GetUpstream(),
			Link: hwprompt.Link{
				Chain:  r.GetChain(),
				Tokens: int(r.GetTokens()),
			},
		})
	}
	for _, s := range datagram.GetStrikes() {
		news.Strikes = append(news.Strikes, hwquarantine.Strike{
			Fingerprint: hwquarantine.Fingerprint(s.GetFingerprint()),
			Upstream:    s.GetUpstream(),
			At:          now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond),
			Cleared:     s.GetCleared(),
		})
	}
	return news
}

// Listen opens the socket for datagrams.
func Listen(ctx context.Context, address string) (net.PacketConn, error) {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp4", address)
	return socket, trace.Wrap(err)
}
