package hwfleet

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

// discardDelegate provides empty updates and discards those from peers.
type discardDelegate struct{}

func (discardDelegate) TakePeerUpdate(time.Time) hwforward.PeerUpdate       { return hwforward.PeerUpdate{} }
func (discardDelegate) Claim(time.Time, hwquarantine.Segment) time.Duration { return 0 }

func (discardDelegate) ApplyPeerUpdate(time.Time, string, hwforward.PeerUpdate) {}
func (discardDelegate) senderAddress() netip.AddrPort                           { return netip.MustParseAddrPort("127.0.0.1:9") }

// FuzzDatagram checks that handling a datagram terminates whatever it contains, and that the update sent afterwards can be encoded.
func FuzzDatagram(f *testing.F) {
	seed, err := proto.Marshal(&hwpeerpb.Datagram{
		Router:  "a",
		Members: []uint64{10<<40 | 1<<16 | 7400, 0, 1<<64 - 1},
		Query:   &hwpeerpb.StateQuery{Nonce: 1},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x0a, 0x01, 'a'})
	speeds, err := proto.Marshal(&hwpeerpb.Datagram{
		Router: "a",
		Pools: []*hwpeerpb.PoolNews{{
			Pool:          "p",
			Speeds:        []uint32{1, 2, 3},
			SpeedPercents: []uint32{0, 170, 1<<32 - 1},
			SpeedWeights:  []uint32{1000, 1<<32 - 1},
		}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(speeds)
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = socket.Close() })
	f.Fuzz(func(t *testing.T, bytes []byte) {
		datagram := &hwpeerpb.Datagram{}
		if proto.Unmarshal(bytes, datagram) != nil || datagram.GetRouter() == "" {
			return
		}
		fleet := New(Settings{Router: "self", Interval: time.Second, PeerTimeout: time.Second}, socket, discardDelegate{}, hwevent.New(io.Discard, hwevent.Error), time.Now)
		now := time.Unix(1_700_000_000, 0)
		fleet.handleDatagram(now, discardDelegate{}.senderAddress(), datagram)
		update := encodeUpdate(now, decodeUpdate(now, datagram))
		fleet.completeUpdate(now, update)
		if _, err := proto.Marshal(update); err != nil {
			t.Fatal(err)
		}
	})
}
