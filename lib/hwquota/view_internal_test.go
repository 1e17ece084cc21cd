package hwquota

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each of 32 routers hears just over half of the others, and not the ones that rank before it. By its view, each of the first 21 owns one of six shares.
func TestTheWorstViewsOfASettledFleetKeepTheBound(t *testing.T) {
	const routers, mostUnheard = 32, 15
	limit := Limit{PerSecond: 5.9, Bound: 13}
	start := time.Unix(1_000_000, 0)
	names := make([]string, 0, routers)
	for n := range routers {
		names = append(names, "router-"+strconv.Itoa(n))
	}
	believers, wouldBelieve := 0, 0
	for _, name := range names {
		view := NewView(ViewSettings{Router: name, StartedAt: start, ExpectsPeers: true})
		limiter := NewLimiter(view)
		unheard := slices.Clone(names)
		slices.SortFunc(unheard, func(a, b string) int {
			if rankOf(names, a) < rankOf(names, b) {
				return -1
			}
			return 1
		})
		unheard = unheard[:min(mostUnheard, rankOf(names, name))]
		now := start
		for ; now.Before(start.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
			for _, peer := range names {
				if now.Before(start.Add(5*time.Second)) || !slices.Contains(unheard, peer) {
					view.RecordHeard(now, peer)
				}
			}
		}
		if present, _ := view.ranks("engine"); present < 6 {
			wouldBelieve++
		}
		if _, owner := limiter.Next(now, "engine", limit); owner {
			believers++
		}
	}
	require.Equal(t, 21, wouldBelieve, "the views are as bad as they can be")
	assert.Equal(t, 13, believers)
}

// rankOf returns how many routers rank before one for the upstream.
func rankOf(names []string, name string) int {
	view := NewView(ViewSettings{Router: name})
	for _, peer := range names {
		view.RecordHeard(time.Unix(1, 0), peer)
	}
	_, all := view.ranks("engine")
	return all
}
