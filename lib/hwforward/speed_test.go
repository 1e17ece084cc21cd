package hwforward_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// Operators see in the metrics how far the upstreams of a pool differ, and in the log which ones.
func TestSpeedsOfUpstreamsAreShown(t *testing.T) {
	f := newFixtureWith(t, func(s *settings) { s.Placement.UpstreamSpeeds = true }, respondOK, respondOK)
	f.clock.stop()
	for i := range 6 {
		f.router.ApplyPeerUpdate(f.clock.now(), "peer-"+strconv.Itoa(i), hwforward.PeerUpdate{
			Observations: map[string][]hwplace.Observation{"ledger": {
				{Upstream: hwplace.HashID("u0"), SpeedFactor: 0.8, SpeedWeight: 15},
				{Upstream: hwplace.HashID("u1"), SpeedFactor: 1.8, SpeedWeight: 15},
			}},
		})
	}
	f.clock.monotonic.Add(int64(time.Second))
	update := f.router.TakePeerUpdate(f.clock.now())
	assert.Empty(t, update.Observations, "what peers observed is not passed on")
	var metrics strings.Builder
	f.router.WriteMetrics(&metrics, f.clock.now())
	assert.Contains(t, metrics.String(), `hickorywick_pool_speed_factor_least{pool="ledger"} 0.67`)
	assert.Contains(t, metrics.String(), `hickorywick_pool_speed_factor_greatest{pool="ledger"} 1.49`)
	assert.Eventually(t, func() bool {
		return strings.Contains(f.log.String(), "upstream-speed-changed") && strings.Contains(f.log.String(), `"to-percent":149`)
	}, 5*time.Second, 5*time.Millisecond)
}
