package hwplace

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Sums that are updated by differences must equal those of all current reports, whatever the order of the reports' entries, while upstreams come and go and reports expire.
func TestPeerLoadSumsEqualTheReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Settings{}, NewNotices(), NewEvacuations(), 1000)
		now := time.Unix(1_700_000_000, 0)
		reports := map[string][]PeerLoad{}
		receivedAt := map[string]time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				var list []Upstream
				for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 10, rapid.ID[int]).Draw(t, "listed") {
					list = append(list, Upstream{ID: strconv.Itoa(i), Incarnation: int64(rapid.IntRange(0, 1).Draw(t, "incarnation"))})
				}
				p.SetUpstreams(list)
			} else {
				router := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "router")
				var loads []PeerLoad
				for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 12, rapid.ID[int]).Draw(t, "loads") {
					loads = append(loads, PeerLoad{
						Upstream:      HashID(strconv.Itoa(i)),
						PendingTokens: float64(rapid.IntRange(0, 3).Draw(t, "tokens")),
						Running:       rapid.IntRange(1, 3).Draw(t, "running"),
					})
				}
				p.SetPeerLoads(now, router, loads)
				reports[router], receivedAt[router] = loads, now
			}
			p.expirePeerReports(now)
			sums := map[IDHash]PeerLoad{}
			for router, loads := range reports {
				if now.Sub(receivedAt[router]) > peerReportMaxAge {
					delete(reports, router)
					continue
				}
				for _, l := range loads {
					sum := sums[l.Upstream]
					sums[l.Upstream] = PeerLoad{
						Upstream:      l.Upstream,
						PendingTokens: sum.PendingTokens + l.PendingTokens,
						Running:       sum.Running + l.Running,
					}
				}
			}
			for _, s := range p.upstreams {
				want := sums[IDHash(s.hash)]
				want.Upstream = IDHash(s.hash)
				assert.Equal(t, want, s.peers.load)
			}
			for hash, sum := range p.peerLoadSums {
				assert.Equal(t, sums[hash].Running, sum.load.Running)
				assert.Positive(t, sum.references)
			}
		}
	})
}
