package hwplace_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
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

// BenchmarkChooseWarm measures one choice for a prompt of four segments, two of which many engines have cached, with as many peers as on the largest deployments.
func BenchmarkChooseWarm(b *testing.B) {
	for _, count := range []int{90, 140} {
		b.Run("upstreams-"+strconv.Itoa(count), func(b *testing.B) {
			p := enginePool(count)
			request := func(i uint64) hwplace.Request {
				return hwplace.Request{
					Prompt: hwprompt.New("m", 8_000, []hwprompt.Segment{
						{ID: 1 + i%5, Tokens: 2_000},
						{ID: 1000 + i%100, Tokens: 3_000},
						{ID: 1 << 20, Tokens: 500},
						{ID: 1<<40 + i, Tokens: 1_500},
					}),
					Random: float64(i%97) / 97,
				}
			}
			for i := range uint64(4000) {
				r := request(i)
				choice, _ := p.Choose(start, r)
				p.Finish(start, p.Start(start, choice, r), false)
			}
			for peer := range 87 {
				var loads []hwplace.PeerLoad
				for u := range 40 {
					loads = append(loads, hwplace.PeerLoad{Upstream: hwplace.HashID("engine-" + strconv.Itoa((peer*7+u)%count)), PendingTokens: 1000, Running: 1})
				}
				p.SetPeerLoads(start, "router-"+strconv.Itoa(peer), loads)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.Choose(start.Add(time.Duration(i)), request(uint64(i)))
			}
		})
	}
}
