package hwplace_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// BenchmarkChoose measures one choice for different numbers of upstreams and peers.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ upstreams, peers int }{{9, 3}, {140, 34}, {3500, 120}} {
		b.Run(fmt.Sprintf("upstreams-%d-peers-%d", size.upstreams, size.peers), func(b *testing.B) {
			p := enginePool(size.upstreams)
			for i := range uint64(2000) {
				request := documentRequest(i%200, i)
				choice, _ := p.Choose(start, request)
				p.Finish(start, p.Start(start, choice, request), false)
			}
			for peer := range size.peers {
				var loads []hwplace.PeerLoad
				for u := range min(40, size.upstreams) {
					loads = append(loads, hwplace.PeerLoad{Upstream: hwplace.HashID("engine-" + strconv.Itoa((peer*7+u)%size.upstreams)), PendingTokens: 1000, Running: 1})
				}
				p.SetPeerLoads(start, "router-"+strconv.Itoa(peer), loads)
			}
			b.ResetTimer()
			for i := range b.N {
				p.Choose(start.Add(time.Duration(i)), documentRequest(uint64(i%200), uint64(i)))
			}
		})
	}
}
