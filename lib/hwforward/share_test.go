package hwforward_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwtable"
)

// Pattern: an account that floods and one that gets much less than it, whose prompt's home is busy. The second goes to an idle engine, the first is refused.
func TestAnAccountThatIsBehindGoesToAnIdleEngine(t *testing.T) {
	w := newWorld(t, good, good)
	w.router.SetTable(w.clock.now(), hwtable.New(hwtable.Config{
		Version:  2,
		Routes:   routes(),
		Pools:    []hwtable.Pool{{Name: "ledger", Engine: &hwtable.Engine{Slots: 6, CacheTokens: 500_000}}},
		Accounts: []hwtable.Account{{Name: "flood", APIKeys: []string{"flood"}}, {Name: "behind", APIKeys: []string{"behind"}}},
		Limits:   hwtable.Limits{MaxBodyBytes: 1 << 20, FleetTokensPerSecond: 1000},
	}))
	w.confirm()
	busy := func(upstream string) hwplace.PeerLoad {
		return hwplace.PeerLoad{Upstream: hwplace.HashID(upstream), PendingTokens: 100_000, Running: 1}
	}
	use := map[string]hwadmit.Usage{
		"flood":  {Demand: 90_000, Admitted: 40_000},
		"behind": {Demand: 90_000, Admitted: 9_000},
	}
	hear := func(loads ...hwplace.PeerLoad) {
		w.router.ApplyPeerUpdate(w.clock.now(), "peer", newsOf(use, loads))
	}
	// With every engine busy both are refused.
	hear(busy("u0"), busy("u1"))
	for _, key := range []string{"flood", "behind"} {
		assert.Equal(t, http.StatusServiceUnavailable, w.call(http.MethodGet, "/safe/1", "", "X-Key", key).status, key)
	}
	assert.Zero(t, w.runs())
	hear(busy("u0"))
	assert.Equal(t, http.StatusOK, w.call(http.MethodGet, "/safe/1", "", "X-Key", "behind").status)
	assert.EqualValues(t, 1, w.served[1].Load())
}

func newsOf(use map[string]hwadmit.Usage, loads []hwplace.PeerLoad) hwforward.PeerUpdate {
	return hwforward.PeerUpdate{
		Loads:        map[string][]hwplace.PeerLoad{"ledger": loads},
		AccountUsage: use,
	}
}
